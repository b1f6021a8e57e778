//! The requests of all VMs to a server stay within the limit that it states, and use it, through partitions, restarts,
//! freezes and lost messages.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    member::USAGE_TIMEOUT,
    rank::score,
    rate_limiter::FleetView,
    server_limit::{
        LimitStatement,
        LimitTable,
        ProcessKey,
        SendAdmission,
        SendClass,
        SendReport,
        SendTerms, //
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

const SERVER: ProcessKey = (7, 1);
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_S: u32 = 100;
const WINDOW: Duration = Duration::from_secs(4);

/// Time after a change of the limit from which it binds all VMs.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests to the server that the fleet may send in a window.
fn allowed_requests(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the statement of a response that arrived at `received` to a request that was sent at `sent`.
fn statement(limit: Option<f64>, sent: Instant, received: Instant) -> LimitStatement {
    LimitStatement {
        requests_per_s: limit,
        sent,
        received,
    }
}

/// Returns the terms of the only VM of a fleet.
fn single_vm(now: Instant) -> SendTerms<impl Fn(u64) -> usize> {
    SendTerms {
        view: FleetView {
            reporting: 1,
            size: 1,
        },
        rank: |_| 0,
        sends_to_warming: true,
        running_since: now,
        now,
    }
}

/// One VM of a simulated fleet.
struct ModelVm {
    table: LimitTable,
    incarnation: u64,
    last_heartbeats: Vec<Instant>, // By VM.
    frozen_until: Instant,
}

/// A message between VMs: statements and requests of the sender.
#[derive(Clone)]
struct ModelMessage {
    from: usize,
    incarnation: u64,
    statements: Vec<(ProcessKey, LimitStatement)>,
    sends: Vec<(ProcessKey, u64)>,
}

/// Simulated fleet in front of one server, with messages that take one step.
struct FleetModel {
    vms: Vec<ModelVm>,
    side: usize, // VMs below this index are partitioned from the others; zero without a partition.
    lossy_until: Instant,
    messages: Vec<ModelMessage>,
    limit: Option<f64>,
    limit_stated: Option<Instant>, // When the server first stated the present limit.
    now: Instant,
    steps: u32,
    arrivals: Vec<Instant>,
}

impl FleetModel {
    fn new(vms: usize, limit: Option<f64>) -> FleetModel {
        let now = Instant::now();
        let vm = || ModelVm {
            table: LimitTable::default(),
            incarnation: 1,
            last_heartbeats: vec![now; vms],
            frozen_until: now,
        };
        FleetModel {
            vms: (0..vms).map(|_| vm()).collect(),
            side: 0,
            lossy_until: now,
            messages: Vec::new(),
            limit,
            limit_stated: None,
            now,
            steps: 0,
            arrivals: Vec::new(),
        }
    }

    fn set_limit(&mut self, limit: Option<f64>) {
        if self.limit != limit {
            self.limit = limit;
            self.limit_stated = None;
            self.arrivals.clear();
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        (a < self.side) == (b < self.side)
    }

    fn is_frozen(&self, vm: usize) -> bool {
        self.now < self.vms[vm].frozen_until
    }

    /// Delivers the messages of the last step; each VM for which `wants` returns a class then tries to send a request
    /// of this class.
    fn step(&mut self, wants: impl Fn(usize, u32) -> Option<SendClass>) {
        self.now += STEP;
        self.steps += 1;
        for message in std::mem::take(&mut self.messages) {
            for vm in 0..self.vms.len() {
                let lost = self.now < self.lossy_until && (self.steps as usize + vm) % 3 == 0;
                if vm != message.from && self.reaches(vm, message.from) && !lost {
                    self.deliver(vm, &message);
                }
            }
        }
        for vm in 0..self.vms.len() {
            if let Some(class) = wants(vm, self.steps).filter(|_| !self.is_frozen(vm)) {
                self.try_send(vm, class);
            }
        }
        for vm in (0..self.vms.len())
            .filter(|&vm| !self.is_frozen(vm))
            .collect::<Vec<_>>()
        {
            self.emit(vm);
        }
    }

    fn deliver(&mut self, vm: usize, message: &ModelMessage) {
        let (now, view) = (self.now, self.view(vm));
        let target = &mut self.vms[vm];
        let silence = now - target.last_heartbeats[message.from];
        target.last_heartbeats[message.from] = now;
        for (process, statement) in &message.statements {
            target.table.record(*process, *statement, now);
        }
        for &(process, sent) in &message.sends {
            let report = SendReport {
                process,
                vm: message.from as u64,
                incarnation: message.incarnation,
                sent,
                unreported_for: (silence > USAGE_TIMEOUT * 2).then_some(silence),
            };
            target.table.record_sends(report, view, now);
        }
    }

    fn view(&self, vm: usize) -> FleetView {
        let heartbeats = self.vms[vm].last_heartbeats.iter().enumerate();
        let reporting =
            heartbeats.filter(|(other, last)| *other == vm || self.now < **last + USAGE_TIMEOUT);
        FleetView {
            reporting: reporting.count(),
            size: self.vms.len(),
        }
    }

    fn terms(&self, vm: usize) -> SendTerms<impl Fn(u64) -> usize> {
        let now = self.now;
        let heartbeats = self.vms[vm].last_heartbeats.iter().enumerate();
        let reachable: Vec<u64> = heartbeats
            .filter(|(other, last)| *other == vm || now < **last + USAGE_TIMEOUT)
            .map(|(other, _)| other as u64)
            .collect();
        SendTerms {
            view: self.view(vm),
            rank: move |number| {
                let own = score(number, vm as u64);
                reachable
                    .iter()
                    .filter(|other| score(number, **other) > own)
                    .count()
            },
            sends_to_warming: true,
            running_since: now,
            now,
        }
    }

    fn try_send(&mut self, vm: usize, class: SendClass) {
        let terms = self.terms(vm);
        let (limit, now) = (self.limit, self.now);
        let table = &mut self.vms[vm].table;
        if table.take(SERVER, class, &terms) {
            self.arrivals.push(now);
            self.limit_stated.get_or_insert(now);
            table.record(SERVER, statement(limit, now, now + STEP / 2), now);
        }
    }

    /// Sends a VM's changes, or its complete state once a second.
    fn emit(&mut self, vm: usize) {
        let now = self.now;
        let full = (self.steps + vm as u32) % STEPS_PER_S == 0;
        let sender = &mut self.vms[vm];
        let (mut statements, mut sends) = (
            sender.table.take_new_statements(),
            sender.table.take_changes(),
        );
        if full {
            statements = sender.table.recent_statements(now);
            sends = sender.table.recent_sends(now);
        }
        let heartbeat = self.steps % 15 == 0;
        if heartbeat || full || !statements.is_empty() || !sends.is_empty() {
            self.messages.push(ModelMessage {
                from: vm,
                incarnation: self.vms[vm].incarnation,
                statements,
                sends,
            });
        }
    }

    /// Restarts a VM, which asks another one for its state.
    fn restart(&mut self, vm: usize) {
        let peer = (0..self.vms.len()).find(|&peer| peer != vm && self.reaches(peer, vm));
        let statements = peer.map(|peer| self.vms[peer].table.statements());
        let restarted = &mut self.vms[vm];
        restarted.table = LimitTable::default();
        restarted.incarnation += 1;
        for (process, statement) in statements.unwrap_or_default() {
            restarted.table.record(process, statement, self.now);
        }
    }

    /// Returns when the present limit binds all VMs.
    fn binding_since(&self) -> Option<Instant> {
        Some(self.limit_stated? + CONTACT_TIME)
    }

    /// Returns the largest number of requests in a window that begins once the limit binds.
    fn busiest_window(&self) -> usize {
        let Some(from) = self.binding_since() else {
            return 0;
        };
        let counted: Vec<Instant> = self
            .arrivals
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let window = |(index, start): (usize, &Instant)| {
            let end = *start + WINDOW;
            counted[index..].iter().filter(|at| **at < end).count()
        };
        counted.iter().enumerate().map(window).max().unwrap_or(0)
    }

    fn check(&self) {
        if let Some(limit) = self.limit {
            let busiest = self.busiest_window();
            let allowed = allowed_requests(limit);
            assert!(
                busiest <= allowed,
                "{busiest} requests in a window, {allowed} allowed by {limit} a second"
            );
        }
    }
}

#[test]
fn limit_holds_and_is_used_at_78_vms_whose_requests_all_wait() {
    // arrange
    let mut model = FleetModel::new(78, Some(3.5));

    // act
    for _ in 0..20 * STEPS_PER_S {
        model.step(|_, _| Some(SendClass::Online));
    }

    // assert
    model.check();
    let from = model.binding_since().expect("limit stated");
    let used = model.arrivals.iter().filter(|at| **at >= from);
    let used = used.count() as f64 / 17.0 / 3.5;
    assert!((0.9..1.1).contains(&used), "{used:.2} of the limit used");
}

#[test]
fn batch_items_take_only_what_waiting_online_requests_leave() {
    // arrange
    let mut model = FleetModel::new(6, Some(4.0));
    let classes = [SendClass::Online, SendClass::Batch];

    // act
    let mut taken = [0, 0];
    for step in 0..20 * STEPS_PER_S {
        for (class, taken) in classes.iter().zip(&mut taken) {
            // Online requests arrive in the second half of each 4 s.
            let waits = *class == SendClass::Batch || step % 400 >= 200;
            let before = model.arrivals.len();
            model.step(|vm, _| (waits && vm == step as usize % 6).then_some(*class));
            *taken += model.arrivals.len() - before;
        }
    }

    // assert
    let [online, batch] = taken;
    assert!(online > 60, "{online} online requests, {batch} batch items");
    assert!(batch > 40, "{online} online requests, {batch} batch items");
}

#[test]
fn batch_item_leaves_a_fresh_token_to_online_requests() {
    // arrange
    let start = Instant::now();
    let mut table = LimitTable::default();
    table.record(SERVER, statement(Some(4.0), start, start), start);

    // act
    let admissions = [100, 300, 1000].map(|millis| {
        let now = start + Duration::from_millis(millis);
        table.admission(SERVER, &single_vm(now))
    });

    // assert
    assert_eq!(
        admissions,
        [
            SendAdmission::Nothing,
            SendAdmission::Online,
            SendAdmission::All
        ]
    );
}

#[test]
fn only_a_response_to_a_later_request_ends_a_limit() {
    // arrange
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut table = LimitTable::default();
    table.record(SERVER, statement(Some(4.0), at(0), at(50)), at(50));

    // act
    table.record(SERVER, statement(None, at(10), at(60)), at(60));
    let overlapping = table.limit(SERVER);
    table.record(SERVER, statement(None, at(50), at(90)), at(90));
    let later = table.limit(SERVER);
    table.record(SERVER, statement(Some(4.0), at(20), at(45)), at(100));
    let earlier = table.limit(SERVER);

    // assert
    assert_eq!([overlapping, later, earlier], [Some(4.0), None, None]);
}

#[test]
fn limit_belongs_to_one_process_of_the_server() {
    // arrange
    let start = Instant::now();
    let mut table = LimitTable::default();
    table.record(SERVER, statement(Some(4.0), start, start), start);

    // act
    let next_process = (SERVER.0, SERVER.1 + 1);
    let admission = table.admission(next_process, &single_vm(start));

    // assert
    assert_eq!(admission, SendAdmission::All);
    assert_eq!(table.limit(next_process), None);
}

#[test]
fn server_that_takes_nothing_still_gets_a_request_every_four_seconds() {
    // arrange
    let start = Instant::now();
    let mut table = LimitTable::default();
    table.record(SERVER, statement(Some(0.0), start, start), start);

    // act
    let sent = (0..2000).filter(|step| {
        let terms = single_vm(start + STEP * *step);
        table.take(SERVER, SendClass::Online, &terms)
    });

    // assert
    assert_eq!(sent.count(), 4);
}

#[test]
fn returned_token_is_available_again() {
    // arrange
    let start = Instant::now();
    let now = start + Duration::from_millis(300);
    let mut table = LimitTable::default();
    table.record(SERVER, statement(Some(4.0), start, start), start);
    let taken = table.take(SERVER, SendClass::Online, &single_vm(now));
    let second = table.take(SERVER, SendClass::Online, &single_vm(now));

    // act
    table.return_token(SERVER);
    let again = table.take(SERVER, SendClass::Online, &single_vm(now));

    // assert
    assert_eq!([taken, second, again], [true, false, true]);
}

/// Event in the simulated fleet.
#[derive(Clone, Debug)]
enum LimitEvent {
    /// Requests wait at the VMs with an index of at least `first`, for some steps.
    Load { first: usize, steps: u32 },
    /// No requests wait for some steps.
    Idle { steps: u32 },
    /// The VMs with an index below `first` are partitioned from the others.
    Partition { first: usize },
    /// The partition ends.
    Heal,
    /// A third of the messages is lost for some steps.
    Lose { steps: u32 },
    /// One process restarts.
    Restart { vm: usize },
    /// One process stands still for some steps.
    Freeze { vm: usize, steps: u32 },
    /// The server states another limit.
    SetLimit { limit: Option<f64> },
}

const VMS: usize = 6;

/// Reference without state: the test checks only the bound.
#[derive(Clone, Debug)]
struct LimitReference;

impl ReferenceStateMachine for LimitReference {
    type State = ();
    type Transition = LimitEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<LimitEvent> {
        let limits = prop_oneof![
            Just(None),
            Just(Some(0.5)),
            Just(Some(3.5)),
            Just(Some(12.0))
        ];
        prop_oneof![
            6 => (0..VMS, 1..600_u32).prop_map(|(first, steps)| LimitEvent::Load { first, steps }),
            2 => (1..300_u32).prop_map(|steps| LimitEvent::Idle { steps }),
            2 => (1..VMS).prop_map(|first| LimitEvent::Partition { first }),
            2 => Just(LimitEvent::Heal),
            1 => (1..300_u32).prop_map(|steps| LimitEvent::Lose { steps }),
            1 => (0..VMS).prop_map(|vm| LimitEvent::Restart { vm }),
            1 => (0..VMS, 10..400_u32).prop_map(|(vm, steps)| LimitEvent::Freeze { vm, steps }),
            1 => limits.prop_map(|limit| LimitEvent::SetLimit { limit }),
        ]
        .boxed()
    }

    fn apply((): (), _: &LimitEvent) {}
}

struct LimitTest;

impl StateMachineTest for LimitTest {
    type SystemUnderTest = FleetModel;
    type Reference = LimitReference;

    fn init_test((): &()) -> FleetModel {
        FleetModel::new(VMS, Some(3.5))
    }

    fn apply(mut model: FleetModel, (): &(), event: LimitEvent) -> FleetModel {
        match event {
            LimitEvent::Load { first, steps } => {
                for _ in 0..steps {
                    model.step(|vm, _| (vm >= first).then_some(SendClass::Online));
                }
            }
            LimitEvent::Idle { steps } => (0..steps).for_each(|_| model.step(|_, _| None)),
            LimitEvent::Partition { first } => model.side = first,
            LimitEvent::Heal => model.side = 0,
            LimitEvent::Lose { steps } => model.lossy_until = model.now + STEP * steps,
            LimitEvent::Restart { vm } => model.restart(vm),
            LimitEvent::Freeze { vm, steps } => {
                model.vms[vm].frozen_until = model.now + STEP * steps;
            }
            LimitEvent::SetLimit { limit } => model.set_limit(limit),
        }
        model.check();
        model
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(37),
        ..ProptestConfig::default()
    })]
    #[test]
    fn requests_of_all_vms_stay_within_the_limit_through_faults(sequential 1..40 => LimitTest);
}
