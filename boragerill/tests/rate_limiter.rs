//! The requests of all VMs stay within rate, burst and tolerance through partitions and restarts.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    member::USAGE_TIMEOUT,
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
const WARMUP_STEPS: u32 = 800;
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

/// Returns the settings of the property test; `PROPTEST_CASES` sets the number of cases.
fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Event in the simulated fleet.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// Callers send `each` requests a step to one VM, for some steps.
    Send { vm: usize, steps: u32, each: u32 },
    /// Callers send one request a step, to one VM after the other.
    SendAll { steps: u32 },
    /// No requests arrive for some steps.
    Wait { steps: u32 },
    /// The VMs with an index below `first` are partitioned from the others.
    Partition { first: usize },
    /// The partition ends.
    Heal,
    /// One process restarts.
    Restart { vm: usize },
    /// All processes restart.
    RestartAll,
}

/// Reference without state: the test checks only the bound.
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
            2 => (1..VMS).prop_map(|first| FleetEvent::Partition { first }),
            2 => Just(FleetEvent::Heal),
            1 => (0..VMS).prop_map(|vm| FleetEvent::Restart { vm }),
            1 => Just(FleetEvent::RestartAll),
        ]
        .boxed()
    }

    fn apply((): (), _: &FleetEvent) {}
}

/// Simulated fleet: each VM's rate limiter and the times at which it last received heartbeats.
struct FleetModel {
    limiters: Vec<RateLimiter>,
    incarnations: Vec<u64>,
    last_heartbeats: Vec<Vec<Instant>>,
    sent: Vec<Vec<(u64, u64)>>,
    first: usize, // VMs below this index are partitioned from the others; zero without a partition.
    now: Instant,
    grants: Vec<Instant>,
}

impl FleetModel {
    /// Makes a fleet that has run without requests for longer than a limiter's startup period.
    fn new() -> FleetModel {
        let now = Instant::now();
        let mut model = FleetModel {
            limiters: (0..VMS)
                .map(|_| RateLimiter::new(None, tolerance(), now))
                .collect(),
            incarnations: vec![1; VMS],
            last_heartbeats: vec![vec![now; VMS]; VMS],
            sent: vec![Vec::new(); VMS],
            first: 0,
            now,
            grants: Vec::new(),
        };
        (0..WARMUP_STEPS).for_each(|_| model.step());
        model
    }

    fn is_reachable(&self, a: usize, b: usize) -> bool {
        (a < self.first) == (b < self.first)
    }

    fn view(&self, vm: usize) -> FleetView {
        let reporting = (0..VMS).filter(|&other| {
            other == vm || self.now < self.last_heartbeats[vm][other] + USAGE_TIMEOUT
        });
        FleetView {
            reporting: reporting.count(),
            size: VMS,
        }
    }

    fn send(&mut self, vm: usize, count: u32) {
        let view = self.view(vm);
        for _ in 0..count {
            if self.limiters[vm].take(limit(), view, self.now) == RateDecision::Granted {
                self.grants.push(self.now);
            }
        }
    }

    /// Advances by one step; each VM receives the usage that the others had one step before.
    fn step(&mut self) {
        for from in 0..VMS {
            let uses = std::mem::replace(&mut self.sent[from], self.limiters[from].usage());
            for to in (0..VMS).filter(|&to| to != from) {
                if !self.is_reachable(from, to) {
                    continue;
                }
                let unreported_for = self.now - self.last_heartbeats[to][from];
                let unreported_for = (unreported_for >= USAGE_TIMEOUT).then_some(unreported_for);
                let view = self.view(to);
                self.limiters[to].refill_all(view, self.now);
                self.last_heartbeats[to][from] = self.now;
                for &(workspace, used) in &uses {
                    let report = UsageReport {
                        vm: from as u64,
                        incarnation: self.incarnations[from],
                        workspace,
                        used,
                        unreported_for,
                    };
                    self.limiters[to].record_usage(report, view, self.now);
                }
            }
        }
        self.now += STEP;
        for vm in 0..VMS {
            let view = self.view(vm);
            self.limiters[vm].ensure_buckets(&[limit()], view, self.now);
        }
    }

    fn restart(&mut self, vm: usize) {
        self.limiters[vm] = RateLimiter::new(Some(0.0), tolerance(), self.now);
        self.incarnations[vm] += 1;
        self.sent[vm].clear();
        let past = self
            .now
            .checked_sub(USAGE_TIMEOUT)
            .expect("clock is past the usage timeout");
        self.last_heartbeats[vm] = vec![past; VMS];
    }
}

impl FleetModel {
    fn restart_all(&mut self) {
        (0..VMS).for_each(|vm| self.restart(vm));
        (0..RESTART_STEPS).for_each(|_| self.step());
        for vm in 0..VMS {
            let view = self.view(vm);
            if 2 * view.reporting > VMS {
                self.limiters[vm].add_restart_tokens(view, self.now);
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
            FleetEvent::Partition { first } => model.first = first,
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
    fn usage_stays_within_the_tolerance_under_faults(sequential 1..24 => FleetTest);
}

/// Returns the number of granted requests when every VM receives `each` requests in each of `steps` steps.
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
fn overload_is_granted_the_rate_and_no_more() {
    // arrange
    let mut model = FleetModel::new();

    // act: ten seconds at far more than the rate
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
fn sides_of_a_partition_refill_by_their_fractions() {
    // arrange
    let mut model = FleetModel::new();
    model.first = 2;
    (0..100).for_each(|_| model.step());

    // act: once the partition is detected, both sides are overloaded for five seconds
    grant_evenly(&mut model, 100, 5);
    let granted = grant_evenly(&mut model, 500, 5) as f64;

    // assert
    let most = RATE * 5.0;
    assert!(granted <= most * 1.02 + VMS as f64, "{granted} of {most}");
    assert!(granted >= most * 0.9, "{granted} of {most}");
}

#[test]
fn usage_during_a_partition_is_subtracted_once() {
    // arrange
    let mut model = FleetModel::new();
    model.first = 2;
    grant_evenly(&mut model, 600, 2);

    // act
    model.first = 0;
    (0..20).for_each(|_| model.step());
    let granted = grant_evenly(&mut model, 300, 2) as f64;

    // assert: only the usage beyond the rate before the partition was detected is subtracted
    let excess = BURST + RATE * USAGE_TIMEOUT.as_secs_f64();
    assert!(granted >= RATE * 3.0 - excess, "{granted}");
}

#[test]
fn fleet_restart_grants_part_of_the_tolerance() {
    // arrange
    let mut model = FleetModel::new();

    // act
    model.restart_all();
    let granted = grant_evenly(&mut model, 1, 100) as f64;

    // assert: a part of the tolerance, and the tokens that accrued since the restart
    let accrued = RATE * STEP.as_secs_f64() * f64::from(RESTART_STEPS);
    let tolerated = (RATE * WINDOW.as_secs_f64() + BURST) * OVERAGE + SLACK;
    assert!(granted >= tolerated * 0.14, "{granted}");
    assert!(granted <= tolerated / 4.0 + accrued, "{granted}");
}
