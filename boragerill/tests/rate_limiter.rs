//! Rates over all VMs within the stated tolerance, whatever is cut, lost or restarted.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    member::EARNING_SILENCE,
    rate_limiter::{
        FleetView,
        RateDecision,
        RateLimiter,
        RateTolerance,
        UsageReport,
        WorkspaceRate, //
    }, //
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use proptest_state_machine::{
    prop_state_machine,
    ReferenceStateMachine,
    StateMachineTest, //
};

const VMS: usize = 5;
const WORKSPACE: u64 = 7;
const RATE: f64 = 30.0;
const BURST: f64 = 30.0;
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const STEP: Duration = Duration::from_millis(10);
const CALM_STEPS: u32 = 800;
const RESTART_STEPS: u32 = 30;

fn limit() -> WorkspaceRate {
    WorkspaceRate {
        workspace: WORKSPACE,
        rate: RATE,
        burst: BURST,
    }
}

fn tolerance() -> RateTolerance {
    RateTolerance {
        window: WINDOW,
        overage: OVERAGE,
        slack: SLACK,
    }
}

/// `PROPTEST_CASES` sets the number of cases of a long run.
fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// What happens to the fleet.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// Callers send to one VM as fast as `each` requests every step, for some steps.
    Send { vm: usize, steps: u32, each: u32 },
    /// Callers send to all VMs.
    SendAll { steps: u32 },
    /// Nothing comes for some steps.
    Wait { steps: u32 },
    /// The VMs below `first` can't reach the others.
    Cut { first: usize },
    /// All reach each other.
    Heal,
    /// One process starts anew.
    Restart { vm: usize },
    /// All processes start anew.
    RestartAll,
}

/// The oracle knows the bound only.
#[derive(Clone, Debug)]
struct FleetReference;

impl ReferenceStateMachine for FleetReference {
    type State = ();
    type Transition = FleetEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<FleetEvent> {
        prop_oneof![
            4 => (0..VMS, 1..60_u32, 1..3_u32)
                .prop_map(|(vm, steps, each)| FleetEvent::Send { vm, steps, each }),
            4 => (1..150_u32).prop_map(|steps| FleetEvent::SendAll { steps }),
            2 => (1..200_u32).prop_map(|steps| FleetEvent::Wait { steps }),
            2 => (1..VMS).prop_map(|first| FleetEvent::Cut { first }),
            2 => Just(FleetEvent::Heal),
            1 => (0..VMS).prop_map(|vm| FleetEvent::Restart { vm }),
            1 => Just(FleetEvent::RestartAll),
        ]
        .boxed()
    }

    fn apply((): (), _: &FleetEvent) {}
}

/// The fleet: a table a VM, and what each last heard of the others.
struct FleetModel {
    tables: Vec<RateLimiter>,
    incarnations: Vec<u64>,
    heard: Vec<Vec<Instant>>,
    sent: Vec<Vec<(u64, u64)>>,
    first: usize, // VMs below it are cut off from the others; zero for none.
    now: Instant,
    grants: Vec<Instant>,
}

impl FleetModel {
    /// Makes a fleet that has been calm for as long as a fleet is before its first requests.
    fn new() -> FleetModel {
        let now = Instant::now();
        let mut model = FleetModel {
            tables: (0..VMS)
                .map(|_| RateLimiter::new(None, tolerance(), now))
                .collect(),
            incarnations: vec![1; VMS],
            heard: vec![vec![now; VMS]; VMS],
            sent: vec![Vec::new(); VMS],
            first: 0,
            now,
            grants: Vec::new(),
        };
        (0..CALM_STEPS).for_each(|_| model.step());
        model
    }

    fn reach(&self, a: usize, b: usize) -> bool {
        (a < self.first) == (b < self.first)
    }

    fn view(&self, vm: usize) -> FleetView {
        let heard = (0..VMS)
            .filter(|&other| other == vm || self.now < self.heard[vm][other] + EARNING_SILENCE);
        FleetView {
            reporting: heard.count(),
            size: VMS,
        }
    }

    fn send(&mut self, vm: usize, count: u32) {
        let view = self.view(vm);
        for _ in 0..count {
            if self.tables[vm].take(limit(), view, self.now) == RateDecision::Granted {
                self.grants.push(self.now);
            }
        }
    }

    /// Tells everyone what was used, one step late.
    fn step(&mut self) {
        for from in 0..VMS {
            let uses = std::mem::replace(&mut self.sent[from], self.tables[from].uses());
            for to in (0..VMS).filter(|&to| to != from) {
                if !self.reach(from, to) {
                    continue;
                }
                let silence = self.now - self.heard[to][from];
                let silence = (silence >= EARNING_SILENCE).then_some(silence);
                let view = self.view(to);
                self.tables[to].refill_all(view, self.now);
                self.heard[to][from] = self.now;
                for &(workspace, used) in &uses {
                    let report = UsageReport {
                        vm: from as u64,
                        incarnation: self.incarnations[from],
                        workspace,
                        used,
                        silence,
                    };
                    self.tables[to].record_usage(report, view, self.now);
                }
            }
        }
        self.now += STEP;
        for vm in 0..VMS {
            let view = self.view(vm);
            self.tables[vm].ensure_buckets(&[limit()], view, self.now);
        }
    }

    fn restart(&mut self, vm: usize) {
        self.tables[vm] = RateLimiter::new(Some(0.0), tolerance(), self.now);
        self.incarnations[vm] += 1;
        self.sent[vm].clear();
        let past = self
            .now
            .checked_sub(EARNING_SILENCE)
            .expect("time since the start");
        self.heard[vm] = vec![past; VMS];
    }
}

impl FleetModel {
    fn restart_all(&mut self) {
        (0..VMS).for_each(|vm| self.restart(vm));
        (0..RESTART_STEPS).for_each(|_| self.step());
        for vm in 0..VMS {
            let view = self.view(vm);
            if 2 * view.reporting > VMS {
                self.tables[vm].add_restart_tokens(view, self.now);
            }
        }
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = FleetModel;
    type Reference = FleetReference;

    fn init_test((): &()) -> FleetModel {
        FleetModel::new()
    }

    fn apply(mut model: FleetModel, (): &(), event: FleetEvent) -> FleetModel {
        match event {
            FleetEvent::Send { vm, steps, each } => {
                for _ in 0..steps {
                    model.send(vm, each);
                    model.step();
                }
            }
            FleetEvent::SendAll { steps } => {
                for step in 0..steps {
                    model.send(step as usize % VMS, 1);
                    model.step();
                }
            }
            FleetEvent::Wait { steps } => (0..steps).for_each(|_| model.step()),
            FleetEvent::Cut { first } => model.first = first,
            FleetEvent::Heal => model.first = 0,
            FleetEvent::Restart { vm } => model.restart(vm),
            FleetEvent::RestartAll => model.restart_all(),
        }
        model
    }

    fn check_invariants(model: &FleetModel, (): &()) {
        let most = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
        let mut start = 0;
        for (end, &time) in model.grants.iter().enumerate() {
            while model.grants[start] + WINDOW < time {
                start += 1;
            }
            let used = (end - start + 1) as f64;
            assert!(used <= most, "{used} requests in a window, {most} allowed");
        }
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn bound_holds_within_the_tolerance(sequential 1..24 => FleetTest);
}

/// Returns how many requests are granted when `each` come at every VM in each of `steps`.
fn grant_evenly(model: &mut FleetModel, steps: u32, each: u32) -> usize {
    let before = model.grants.len();
    for _ in 0..steps {
        (0..VMS).for_each(|vm| model.send(vm, each));
        model.step();
    }
    model.grants.len() - before
}

#[test]
fn requests_within_the_rate_are_granted() {
    // arrange
    let mut model = FleetModel::new();
    let before = model.grants.len();

    // act: one request every 50 ms, which is two thirds of the rate, at one VM after the other
    for second in 0..200 {
        model.send(second % VMS, 1);
        (0..5).for_each(|_| model.step());
    }

    // assert
    assert_eq!(model.grants.len() - before, 200);
}

#[test]
fn greedy_workspace_gets_its_rate_and_no_more() {
    // arrange
    let mut model = FleetModel::new();

    // act: ten seconds of far more than the rate
    let granted = grant_evenly(&mut model, 1000, 1) as f64;

    // assert
    let most = RATE * 10.0 + BURST;
    assert!(granted >= most * 0.95, "{granted} of {most}");
    assert!(granted <= most + VMS as f64, "{granted} of {most}");
}

#[test]
fn simultaneous_bursts_do_not_multiply_the_burst() {
    // arrange
    let mut model = FleetModel::new();

    // act: a hundred requests at each VM at the same moment
    let granted = grant_evenly(&mut model, 1, 100);

    // assert
    assert!(granted as f64 <= BURST + VMS as f64, "{granted}");
}

#[test]
fn cut_part_earns_its_part() {
    // arrange
    let mut model = FleetModel::new();
    model.first = 2;
    (0..100).for_each(|_| model.step());

    // act: five seconds after the cut was noticed, each side asks for all it can get
    grant_evenly(&mut model, 100, 5);
    let granted = grant_evenly(&mut model, 500, 5) as f64;

    // assert
    let most = RATE * 5.0;
    assert!(granted <= most * 1.02 + VMS as f64, "{granted} of {most}");
    assert!(granted >= most * 0.9, "{granted} of {most}");
}

#[test]
fn use_during_a_cut_is_not_paid_twice() {
    // arrange
    let mut model = FleetModel::new();
    model.first = 2;
    grant_evenly(&mut model, 600, 2);

    // act
    model.first = 0;
    (0..20).for_each(|_| model.step());
    let granted = grant_evenly(&mut model, 300, 2) as f64;

    // assert: what both sides used beyond the rate while neither knew of the cut is owed, and no more
    let owed = BURST + RATE * EARNING_SILENCE.as_secs_f64();
    assert!(granted >= RATE * 3.0 - owed, "{granted}");
}

#[test]
fn restart_of_the_whole_fleet_leaves_something_to_use() {
    // arrange
    let mut model = FleetModel::new();

    // act
    model.restart_all();
    let granted = grant_evenly(&mut model, 1, 100) as f64;

    // assert: a part of the tolerance, and what was earned since
    let earned = RATE * STEP.as_secs_f64() * f64::from(RESTART_STEPS);
    let tolerated = (RATE * WINDOW.as_secs_f64() + BURST) * OVERAGE + SLACK;
    assert!(granted >= tolerated * 0.14, "{granted}");
    assert!(granted <= tolerated / 4.0 + earned, "{granted}");
}
