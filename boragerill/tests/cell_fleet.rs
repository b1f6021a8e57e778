//! Membership and cells that VMs agree on through lost and reordered heartbeats, restarts, VMs that come and go, and cut
//! failure domains. The load that they answer: a fleet that is too large for each VM to report each change to all others.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    cell::{
        CellMap,
        CellServer,
        CellVm, //
    },
    heartbeat_pace::{
        heartbeat_timeout,
        NEAR_PERIOD, //
    },
    member::{
        MemberInfo,
        MemberTable,
        USAGE_TIMEOUT, //
    },
    rank::{
        hash_name,
        score, //
    },
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

const DOMAINS: usize = 3;
const FIRST_VMS: usize = 18;
const MAX_VMS: usize = 24;
const CELLS: usize = 3;
const STEP: Duration = Duration::from_millis(50);
const DISTANT_PERIOD: Duration = Duration::from_millis(500);
const LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Steps without faults after which all VMs agree: a request to an unreachable seed, and the lists that follow.
const SETTLE_STEPS: usize = 160;
/// Steps from one request to an unreachable seed to the next.
const REJOIN_STEPS: u64 = 80;

/// Returns the settings of the property test; `PROPTEST_CASES` sets the number of cases.
fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        cases: 48,
        ..ProptestConfig::default()
    }
}

/// Event in the simulated fleet.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// Some steps with `loss` percent of the messages lost, and the others reordered.
    Run {
        steps: usize,
        loss: u64,
    },
    /// A process ends and another one starts later.
    Kill {
        vm: usize,
    },
    Start {
        vm: usize,
    },
    /// A VM that no other one has known joins.
    Add,
    /// All processes end and start again.
    RestartAll,
    /// A failure domain is cut off from the others.
    Cut {
        domain: usize,
    },
    Heal,
    /// No faults for some time, after which all VMs agree.
    Settle,
}

/// Reference without state: the test checks only invariants.
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
            4 => (1..60_usize, 0..60_u64).prop_map(|(steps, loss)| FleetEvent::Run { steps, loss }),
            2 => (0..MAX_VMS).prop_map(|vm| FleetEvent::Kill { vm }),
            2 => (0..MAX_VMS).prop_map(|vm| FleetEvent::Start { vm }),
            1 => Just(FleetEvent::Add),
            1 => Just(FleetEvent::RestartAll),
            2 => (0..DOMAINS).prop_map(|domain| FleetEvent::Cut { domain }),
            1 => Just(FleetEvent::Heal),
            2 => Just(FleetEvent::Settle),
        ]
        .boxed()
    }

    fn apply((): (), _: &FleetEvent) {}
}

/// A heartbeat, or a list of VMs, on its way.
#[derive(Clone)]
struct Message {
    arrival: Instant,
    to: usize,
    from: usize,
    info: MemberInfo,
    sequence: u64,
    period: Option<Duration>,
    digest: u64,
    joins: bool,
    list: Vec<(MemberInfo, Duration)>,
}

/// One VM of the model.
struct VmModel {
    info: MemberInfo,
    table: MemberTable,
    is_running: bool,
    stopped: Instant,
    sequence: u64,
    has_list: bool,
    list_sent: Instant,
    map: CellMap,
}

struct FleetModel {
    vms: Vec<VmModel>,
    messages: Vec<Message>,
    cut: Option<(usize, Instant)>,
    loss: u64,
    calm_since: Instant, // Since when no message has been lost and no VM started.
    draws: u64,
    steps: u64,
    now: Instant,
}

fn info(vm: usize, incarnation: u64) -> MemberInfo {
    MemberInfo {
        vm: format!("vm-{vm}").into(),
        address: format!("127.0.0.{vm}:7360").into(),
        domain: format!("domain-{}", vm % DOMAINS).into(),
        incarnation,
        ..MemberInfo::default()
    }
}

fn hash(vm: usize) -> u64 {
    hash_name(&format!("vm-{vm}"))
}

impl FleetModel {
    fn new() -> FleetModel {
        let now = Instant::now() + Duration::from_secs(100);
        let mut model = FleetModel {
            vms: Vec::new(),
            messages: Vec::new(),
            cut: None,
            loss: 0,
            calm_since: now,
            draws: 0,
            steps: 0,
            now,
        };
        (0..FIRST_VMS).for_each(|_| model.add());
        model
    }

    fn add(&mut self) {
        if self.vms.len() == MAX_VMS {
            return;
        }
        let info = info(self.vms.len(), 1);
        self.vms.push(VmModel {
            table: MemberTable::new(info.clone()),
            info,
            is_running: true,
            stopped: self.now,
            sequence: 0,
            has_list: false,
            list_sent: self.now,
            map: CellMap::default(),
        });
        self.calm_since = self.now;
    }

    fn kill(&mut self, vm: usize) {
        if let Some(vm) = self.vms.get_mut(vm).filter(|vm| vm.is_running) {
            vm.is_running = false;
            vm.stopped = self.now;
            self.calm_since = self.now;
        }
    }

    fn start(&mut self, vm: usize) {
        let Some(model) = self.vms.get_mut(vm).filter(|vm| !vm.is_running) else {
            return;
        };
        model.info.incarnation += 1;
        model.table = MemberTable::new(model.info.clone());
        model.sequence = 0;
        model.is_running = true;
        model.has_list = false;
        model.map = CellMap::default();
        self.calm_since = self.now;
    }

    fn draw(&mut self, limit: u64) -> u64 {
        self.draws += 1;
        score(self.draws, 17) % limit
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let domain = self.cut.map(|cut| cut.0);
        domain.is_some_and(|domain| (a % DOMAINS == domain) != (b % DOMAINS == domain))
    }

    fn send(&mut self, message: Message) {
        let lost = self.draw(100) < self.loss;
        if lost || self.is_cut(message.from, message.to) {
            return;
        }
        let delay = match self.loss {
            0 => STEP,
            _ => STEP * (1 + u32::try_from(self.draw(4)).unwrap()),
        };
        let arrival = self.now + delay;
        self.messages.push(Message { arrival, ..message });
    }

    fn message(&mut self, from: usize, to: usize) -> Message {
        let vm = &mut self.vms[from];
        vm.sequence += 1;
        Message {
            arrival: self.now,
            to,
            from,
            info: vm.info.clone(),
            sequence: vm.sequence,
            period: None,
            digest: vm.table.digest(),
            joins: false,
            list: Vec::new(),
        }
    }

    fn send_list(&mut self, from: usize, to: usize) {
        let (vm, now) = (&self.vms[from], self.now);
        let members = vm.table.members().iter();
        let list = members.map(|member| (member.info.clone(), member.heard_age(now)));
        let list = list.collect();
        let mut message = self.message(from, to);
        message.list = list;
        self.send(message);
    }

    /// Sends the heartbeats of a VM that are due in this step.
    fn send_heartbeats(&mut self, from: usize) {
        let near_due = self.steps % 3 == from as u64 % 3;
        let distant_due = self.steps % 10 == from as u64 % 10;
        // Two VMs are seeds, and ask each other.
        let seed = match from {
            0 => 1,
            1 => 0,
            _ => from % 2,
        };
        let rejoins = self.steps % REJOIN_STEPS == from as u64 % REJOIN_STEPS
            && !self.vms[from].table.reaches(hash(seed), self.now);
        if near_due && !self.vms[from].has_list || rejoins {
            let mut message = self.message(from, seed);
            message.joins = true;
            self.send(message);
        }
        for to in 0..self.vms.len() {
            let Some(member) = self.vms[from].table.member(hash(to)) else {
                continue;
            };
            let is_unheard = member.last_heartbeat.is_none();
            let is_near = member.is_near();
            if near_due && (is_near || is_unheard) || distant_due && !is_near {
                let mut message = self.message(from, to);
                message.period = (!is_near).then_some(DISTANT_PERIOD);
                self.send(message);
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let (now, to, from) = (self.now, message.to, message.from);
        if !self.vms[to].is_running || to == from {
            return;
        }
        let vm = &mut self.vms[to];
        let outcome = vm
            .table
            .record_heartbeat(message.info, message.sequence, now);
        if outcome == boragerill::member::HeartbeatOutcome::Stale {
            return;
        }
        vm.table.record_period(hash(from), message.period);
        vm.table.record_cells(hash(from), Some(CELLS), false);
        vm.has_list |= !message.list.is_empty();
        for (info, age) in message.list {
            vm.table.add_listed(info, age, now);
        }
        let differs = vm.table.digest() != message.digest;
        if message.joins || differs && now >= vm.list_sent + LIST_INTERVAL {
            vm.list_sent = now;
            self.send_list(to, from);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let now = self.now;
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<Message>, Vec<Message>) = messages
            .into_iter()
            .partition(|message| message.arrival <= now);
        self.messages = later;
        due.into_iter().for_each(|message| self.receive(message));
        for vm in 0..self.vms.len() {
            if self.vms[vm].is_running {
                self.vms[vm].table.remove_expired(now);
                self.divide(vm);
                self.send_heartbeats(vm);
            }
        }
        if self.loss > 0 || self.cut.is_some() {
            self.calm_since = now;
        }
    }

    fn divide(&mut self, vm: usize) {
        let own = CellVm {
            hash: hash(vm),
            domain: &self.vms[vm].info.domain,
        };
        let members = self.vms[vm].table.members().iter();
        let others: Vec<CellVm<'_>> = members
            .map(|member| CellVm {
                hash: member.hash,
                domain: &member.info.domain,
            })
            .collect();
        let names: Vec<String> = (0..DOMAINS)
            .map(|domain| format!("domain-{domain}"))
            .collect();
        let servers: Vec<CellServer<'_>> = (0..30_u32)
            .map(|key| CellServer {
                key: key.wrapping_mul(2_654_435_761),
                service: "chat",
                domain: &names[key as usize % DOMAINS],
            })
            .collect();
        let map = CellMap::new(own, &others, &servers, CELLS);
        self.vms[vm].table.set_cell(true, &map.near);
        self.vms[vm].map = map;
    }

    fn run(&mut self, steps: usize, loss: u64) {
        self.loss = loss;
        (0..steps).for_each(|_| self.step());
        self.loss = 0;
    }

    fn running(&self) -> impl Iterator<Item = &VmModel> {
        self.vms.iter().filter(|vm| vm.is_running)
    }

    /// Checks that all VMs divide the fleet alike and reach each other.
    fn check_agreement(&self) {
        let size = self.running().count();
        for vm in self.running() {
            assert_eq!(vm.table.reachable_size(self.now), size, "{}", vm.info.vm);
            for other in self.running().filter(|other| other.info.vm != vm.info.vm) {
                let is_near = vm
                    .map
                    .near
                    .binary_search(&hash_name(&other.info.vm))
                    .is_ok();
                assert_eq!(is_near, vm.map.servers == other.map.servers);
                let member = vm.table.member(hash_name(&other.info.vm)).unwrap();
                assert_eq!(member.period.is_none(), is_near);
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
            FleetEvent::Run { steps, loss } => model.run(steps, loss),
            FleetEvent::Kill { vm } => {
                // The seeds restart only together with all others.
                if vm > 1 {
                    model.kill(vm);
                }
            }
            FleetEvent::Start { vm } => model.start(vm),
            FleetEvent::Add => model.add(),
            FleetEvent::RestartAll => {
                let count = model.vms.len();
                (0..count).for_each(|vm| model.kill(vm));
                (0..count).for_each(|vm| model.start(vm));
            }
            FleetEvent::Cut { domain } => model.cut = Some((domain, model.now)),
            FleetEvent::Heal => model.cut = None,
            FleetEvent::Settle => {
                model.cut = None;
                model.run(SETTLE_STEPS, 0);
                model.check_agreement();
            }
        }
        model
    }

    /// A VM that ended isn't reachable once its heartbeats are overdue, and the rates of a domain that is cut off don't count
    /// the VMs beyond the cut, however far apart their heartbeats are.
    fn check_invariants(model: &FleetModel, (): &()) {
        let longest = heartbeat_timeout(Some(DISTANT_PERIOD)) + STEP * 6;
        for vm in model.running() {
            for stopped in model.vms.iter().filter(|other| !other.is_running) {
                let is_overdue = model.now > stopped.stopped + longest;
                let is_reached = vm.table.reaches(hash_name(&stopped.info.vm), model.now);
                assert!(!(is_overdue && is_reached), "{}", stopped.info.vm);
            }
            let Some((domain, since)) = model.cut else {
                continue;
            };
            if model.now > since + USAGE_TIMEOUT + NEAR_PERIOD + STEP * 6 {
                let is_inside = vm.info.domain == format!("domain-{domain}");
                let side = model.vms.iter();
                let side = side
                    .filter(|other| (other.info.domain == format!("domain-{domain}")) == is_inside);
                let most = side.count();
                let reporting = vm.table.reporting_size(model.now);
                assert!(reporting <= most, "{reporting} of {most}");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn vms_agree_on_cells_after_any_faults(sequential 1..16 => FleetTest);
}

/// Returns the table of VM 0 after heartbeats of near and distant VMs in all domains.
fn table(now: Instant) -> MemberTable {
    let mut table = MemberTable::new(info(0, 1));
    for vm in 1..FIRST_VMS {
        table.record_heartbeat(info(vm, 1), 1, now);
        let period = (vm > 8).then_some(DISTANT_PERIOD);
        table.record_period(hash(vm), period);
    }
    table
}

/// Guards against distant VMs that come and go between their heartbeats, and against near ones that count for as long.
#[test]
fn distant_vms_are_reachable_for_longer_than_near_ones() {
    // arrange
    let now = Instant::now();
    let table = table(now);

    // act
    let sizes = [599, 601, 1999, 2001]
        .map(|after| table.reachable_size(now + Duration::from_millis(after)));

    // assert
    assert_eq!(sizes, [18, 10, 10, 1]);
}

/// Guards against a side of a partition that refills buckets for distant VMs beyond the cut until their long timeouts.
#[test]
fn distant_vms_of_a_cut_domain_stop_reporting_with_its_near_vms() {
    // arrange: near VMs of two domains go on
    let now = Instant::now();
    let mut table = table(now);
    let later = now + USAGE_TIMEOUT + Duration::from_millis(10);
    for vm in (1..9).filter(|vm| vm % DOMAINS != 2) {
        table.record_heartbeat(info(vm, 1), 2, later);
    }

    // act
    let reporting = table.reporting_size(later);
    let is_majority = table.reaches_half(later);

    // assert: the six VMs of the third domain are missing
    assert_eq!(reporting, 12);
    assert!(is_majority);
}

/// Guards against a VM that is alone and takes over jobs since distant VMs still count as reachable.
#[test]
fn vm_that_is_cut_off_notices_by_its_near_vms() {
    // arrange
    let now = Instant::now();
    let table = table(now);

    // act
    let after = now + Duration::from_millis(610);

    // assert
    assert!(!table.reaches_half(after));
    assert_eq!(table.reporting_size(after), 1);
    assert!(table.is_domain_unreachable(hash(10), after));
}

/// Guards against lists that keep a VM that is gone for ever, each VM learning of it again from another one.
#[test]
fn lists_do_not_keep_vms_that_are_gone() {
    // arrange
    let start = Instant::now();
    let mut tables = [MemberTable::new(info(0, 1)), MemberTable::new(info(1, 1))];
    tables[0].record_heartbeat(info(2, 1), 1, start);

    // act: both exchange lists each second
    for second in 1..=90 {
        let now = start + Duration::from_secs(second);
        for (from, to) in [(0, 1), (1, 0)] {
            let members = tables[from].members().iter();
            let list = members.map(|member| (member.info.clone(), member.heard_age(now)));
            let list: Vec<(MemberInfo, Duration)> = list.collect();
            for (info, age) in list {
                tables[to].add_listed(info, age, now);
            }
            tables[to].remove_expired(now);
        }
    }

    // assert
    assert!(tables.iter().all(|table| table.member(hash(2)).is_none()));
}

/// Guards against VMs of the previous build, which use all servers and know no cells, that receive no usage of servers.
#[test]
fn vms_of_the_previous_build_belong_to_each_cell() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    table.record_cells(hash(10), None, true);
    table.record_cells(hash(11), Some(CELLS), false);

    // act
    table.set_cell(true, &[hash(1)]);
    let is_near = [1, 2, 10, 11].map(|vm| table.member(hash(vm)).unwrap().is_near());

    // assert
    assert_eq!(is_near, [true, false, true, false]);
    assert_eq!(table.cell_size(), 3);
}
