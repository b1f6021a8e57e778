//! A stream is never resumed at a version that didn't begin it, whatever VMs, messages and versions are lost.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::stream_version::{
    version_key,
    SeenVersion,
    ServiceKey,
    StoredVersion,
    StreamKey,
    StreamOrigin,
    StreamTable,
    VersionHistory,
    VersionKey,
    LIST_LIFETIME,
    OBSERVE_LIMIT,
    SETTLE_TIME,
    STREAM_LIFETIME, //
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

const SERVICE: ServiceKey = 5;
const OTHER_SERVICE: ServiceKey = 6;

fn origin(stream: StreamKey, version: VersionKey) -> StreamOrigin {
    StreamOrigin { stream, version }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn stored_long_ago(seen: SeenVersion) -> StoredVersion {
    StoredVersion {
        seen,
        stored_for: STREAM_LIFETIME,
    }
}

/// Lets a history observe the registered versions for a time, as a running process does.
fn observe_until(
    history: &mut VersionHistory,
    versions: &[VersionKey],
    (from, to): (Instant, Instant),
) {
    let mut now = from;
    while now < to {
        now = (now + OBSERVE_LIMIT / 2).min(to);
        history.observe(
            versions.iter().map(|&version| (SERVICE, version)),
            Some(now),
            now,
        );
    }
}

/// Returns the history of a VM that has known version 10 for long, and the moment that it has reached.
fn settled_history() -> (VersionHistory, Instant) {
    let now = Instant::now();
    let mut history = VersionHistory::new(now);
    history.begin_fleet(now);
    history.observe([(SERVICE, 10)].into_iter(), Some(now), now);
    (history, now)
}

#[test]
fn streams_are_reported_once_their_service_has_two_versions() {
    // arrange
    let now = Instant::now();
    let mut table = StreamTable::default();
    table.record_own(SERVICE, origin(1, 10), now);
    table.record_own(OTHER_SERVICE, origin(2, 20), now);
    table.record_own(SERVICE, origin(3, 10), now);

    // act
    let none = table.take_unreported(|_| false, 9);
    let first = table.take_unreported(|service| service == SERVICE, 1);
    let second = table.take_unreported(|service| service == SERVICE, 9);
    let again = table.take_unreported(|service| service == SERVICE, 9);

    // assert
    assert_eq!(none, []);
    assert_eq!(first, [origin(1, 10)]);
    assert_eq!(second, [origin(3, 10)]);
    assert_eq!(again, []);
}

#[test]
fn records_end_when_their_streams_cannot_be_taken_up_any_more() {
    // arrange
    let now = Instant::now();
    let mut table = StreamTable::default();
    table.record_own(SERVICE, origin(1, 10), now);
    table.record(origin(2, 20), now + seconds(1));

    // act
    table.prune(now + STREAM_LIFETIME);

    // assert
    assert_eq!((table.find(1), table.find(2)), (None, Some(20)));
    assert_eq!(table.take_unreported(|_| true, 9), []);
}

#[test]
fn version_that_has_left_counts_for_as_long_as_its_streams_may_last() {
    // arrange
    let now = Instant::now();
    let mut history = VersionHistory::new(now);
    history.begin_fleet(now);
    history.observe([(SERVICE, 10)].into_iter(), Some(now), now);
    history.observe([(SERVICE, 11)].into_iter(), None, now + seconds(1));

    // act
    let soon = now + seconds(1);
    let mixed = history.sole_version(SERVICE, Some(soon), soon);
    let later = soon + STREAM_LIFETIME;
    observe_until(&mut history, &[11], (soon, later));
    let sole = history.sole_version(SERVICE, Some(later), later);

    // assert
    assert_eq!((mixed, sole), (None, Some(11)));
}

#[test]
fn process_that_has_just_started_vouches_for_no_version_before_it_knows_the_history() {
    // arrange
    let now = Instant::now();
    let mut history = VersionHistory::new(now);
    history.observe([(SERVICE, 11)].into_iter(), Some(now), now);
    let gone = SeenVersion {
        service: SERVICE,
        version: 10,
        last_seen: now - seconds(3),
        registered: false,
    };

    // act
    let unknown = history.sole_version(SERVICE, Some(now), now);
    history.adopt(vec![stored_long_ago(gone)], now);
    let mixed = history.sole_version(SERVICE, Some(now), now);
    let other = history.is_mixed(OTHER_SERVICE);

    // assert
    assert_eq!((unknown, mixed, other), (None, None, false));
    assert!(history.is_mixed(SERVICE));
}

#[test]
fn versions_of_two_services_have_different_keys() {
    // arrange, act
    let keys = [version_key("desk", "v1"), version_key("loom", "v1")];

    // assert
    assert_ne!(keys[0], keys[1]);
}

// Guards against ORDER: a VM vouched for the only version in a list of servers of unknown age.
#[test]
fn vm_vouches_for_a_version_only_while_its_list_of_servers_is_confirmed() {
    // arrange
    let (mut history, start) = settled_history();
    let now = start + LIST_LIFETIME + seconds(1);
    observe_until(&mut history, &[10], (start, now));

    // act
    let never = history.sole_version(SERVICE, None, now);
    let old = history.sole_version(SERVICE, Some(start), now);
    let current = history.sole_version(SERVICE, Some(now - LIST_LIFETIME), now);

    // assert
    assert_eq!((never, old, current), (None, None, Some(10)));
}

// Guards against ORDER: a process that had stood still went by the messages that had waited for it.
#[test]
fn vm_that_stood_still_vouches_for_no_version_at_first() {
    // arrange
    let (mut history, start) = settled_history();
    let now = start + OBSERVE_LIMIT + seconds(9);

    // act
    let before = history.sole_version(SERVICE, Some(now), now);
    history.observe([(SERVICE, 10)].into_iter(), Some(now), now);
    let at_first = history.sole_version(SERVICE, Some(now), now);
    let later = now + seconds(2);
    observe_until(&mut history, &[10], (now, later));
    let afterwards = history.sole_version(SERVICE, Some(later), later);

    // assert
    assert_eq!((before, at_first, afterwards), (None, None, Some(10)));
}

// Guards against ORDER: a new version began streams before all VMs knew it, and before the store named it.
#[test]
fn version_is_settled_once_all_vms_have_seen_it_and_the_store_names_it() {
    // arrange
    let (mut history, start) = settled_history();
    let seen = start + seconds(1);
    observe_until(&mut history, &[10, 11], (start, seen));
    let stored = |history: &VersionHistory| {
        let seen = history.seen().iter();
        let stored = seen.map(|&seen| StoredVersion {
            seen,
            stored_for: Duration::ZERO,
        });
        stored.collect()
    };
    let known = stored(&history);
    history.adopt(known, seen);
    let early = history.is_settled(SERVICE, 11);
    let settled = seen + SETTLE_TIME;
    observe_until(&mut history, &[10, 11], (seen, settled));
    let mut gone: Vec<StoredVersion> = stored(&history);
    for version in &mut gone {
        version.seen.registered = false;
    }
    history.adopt(gone, settled);

    // act
    let unstored = (
        history.is_settled(SERVICE, 11),
        history.has_unstored(settled),
    );
    let known = stored(&history);
    history.adopt(known, settled);

    // assert
    assert!(history.is_settled(SERVICE, 10));
    assert!(!early);
    assert_eq!(unstored, (false, true));
    assert!(history.is_settled(SERVICE, 11));
    assert!(!history.has_unstored(settled));
}

// Guards against ORDER: a version counted as known to all VMs at once, by the clock of a VM whose time of day is behind.
#[test]
fn age_of_a_stored_version_by_another_clock_does_not_settle_what_this_vm_has_just_seen() {
    // arrange
    let (mut history, start) = settled_history();
    let seen = start + seconds(1);
    observe_until(&mut history, &[10, 11], (start, seen));
    let stored = history.seen().iter().map(|&seen| StoredVersion {
        seen,
        stored_for: seconds(3600),
    });
    let stored: Vec<StoredVersion> = stored.collect();

    // act
    history.adopt(stored, seen);

    // assert
    assert!(history.is_settled(SERVICE, 10));
    assert!(!history.is_settled(SERVICE, 11));
}

// Guards against calls to the store without end: a version that left before it was stored was looked for there.
#[test]
fn version_that_has_left_is_not_looked_for_in_the_store() {
    // arrange
    let (mut history, start) = settled_history();
    let seen = start + seconds(1);
    observe_until(&mut history, &[10, 11], (start, seen));
    let settled = seen + SETTLE_TIME;

    // act
    observe_until(&mut history, &[10], (seen, settled));

    // assert
    assert!(!history.has_unstored(settled));
}

// Guards against ORDER: a VM that has just started took a new version for one that all VMs know.
#[test]
fn vm_that_starts_takes_a_version_as_settled_only_if_the_store_has_named_it_for_long() {
    // arrange
    let now = Instant::now();
    let mut history = VersionHistory::new(now);
    let seen = |version| SeenVersion {
        service: SERVICE,
        version,
        last_seen: now,
        registered: true,
    };
    let newer = StoredVersion {
        seen: seen(11),
        stored_for: SETTLE_TIME / 2,
    };
    history.adopt(vec![stored_long_ago(seen(10)), newer], now);

    // act
    history.observe(
        [(SERVICE, 10), (SERVICE, 11), (SERVICE, 12)].into_iter(),
        Some(now),
        now,
    );

    // assert
    let settled = [10, 11, 12].map(|version| history.is_settled(SERVICE, version));
    assert_eq!(settled, [true, false, false]);
}

// Guards against ORDER: a version that returned began streams at once, while other VMs had forgotten it.
#[test]
fn version_that_returns_settles_again() {
    // arrange
    let (mut history, start) = settled_history();
    let gone = start + STREAM_LIFETIME - SETTLE_TIME;
    observe_until(&mut history, &[11], (start, gone));

    // act
    history.observe([(SERVICE, 10), (SERVICE, 11)].into_iter(), Some(gone), gone);

    // assert
    assert!(!history.is_settled(SERVICE, 10));
}

const VMS: usize = 3;
const VERSIONS: u64 = 3;

/// Oldest list of servers that a VM takes for confirmed, in milliseconds.
const MAX_LAG_MS: u64 = 3_300;

/// Period in which a running VM observes its list.
const TICK: Duration = Duration::from_millis(500);

/// Event in the simulated fleet.
#[derive(Clone, Debug)]
enum StreamEvent {
    /// A VM begins a stream at one of the settled versions.
    Begin { vm: usize, choice: usize },
    /// A VM reports its streams, to the VMs whose bits are set.
    Report { vm: usize, receivers: usize },
    /// A VM restarts.
    Restart { vm: usize },
    /// All VMs restart.
    RestartAll,
    /// The lists that a VM receives are of this age; `None` if it receives none.
    Delay { vm: usize, lag_ms: Option<u64> },
    /// A VM stands still, or goes on and receives what waited for it.
    Stand { vm: usize, still: bool },
    /// A VM stores the versions that it knows.
    Store { vm: usize },
    /// The store responds from now on, or doesn't.
    Serve { available: bool },
    /// The registered versions become those whose bits are set.
    Register { versions: u64 },
    /// Time passes.
    Wait { ms: u64 },
    /// A caller takes one of the streams up again.
    TakeUp { vm: usize, stream: usize },
}

/// Reference without state: the model knows which version began each stream.
#[derive(Clone, Debug)]
struct StreamReference;

impl ReferenceStateMachine for StreamReference {
    type State = ();
    type Transition = StreamEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<StreamEvent> {
        let lag =
            prop_oneof![2 => Just(Some(0)), 2 => (0..=MAX_LAG_MS).prop_map(Some), 1 => Just(None)];
        prop_oneof![
            6 => (0..VMS, 0..8_usize).prop_map(|(vm, choice)| StreamEvent::Begin { vm, choice }),
            3 => (0..VMS, 0..1_usize << VMS)
                .prop_map(|(vm, receivers)| StreamEvent::Report { vm, receivers }),
            1 => (0..VMS).prop_map(|vm| StreamEvent::Restart { vm }),
            1 => Just(StreamEvent::RestartAll),
            3 => (0..VMS, lag).prop_map(|(vm, lag_ms)| StreamEvent::Delay { vm, lag_ms }),
            1 => (0..VMS, any::<bool>()).prop_map(|(vm, still)| StreamEvent::Stand { vm, still }),
            3 => (0..VMS).prop_map(|vm| StreamEvent::Store { vm }),
            1 => prop::bool::weighted(0.8).prop_map(|available| StreamEvent::Serve { available }),
            2 => (1..1_u64 << VERSIONS).prop_map(|versions| StreamEvent::Register { versions }),
            3 => (1..9_000_u64).prop_map(|ms| StreamEvent::Wait { ms }),
            1 => (1..90_000_u64).prop_map(|ms| StreamEvent::Wait { ms }),
            6 => (0..VMS, 0..64_usize).prop_map(|(vm, stream)| StreamEvent::TakeUp { vm, stream }),
        ]
        .boxed()
    }

    fn apply((): (), _: &StreamEvent) {}
}

/// One simulated VM.
struct VmModel {
    table: StreamTable,
    history: VersionHistory,
    list: Vec<VersionKey>,
    listed: Instant, // The list is as of then.
    confirmed: Option<Instant>,
    lag: Option<Duration>,
    stands_still: bool,
}

impl VmModel {
    fn new(history: VersionHistory, listed: Instant) -> VmModel {
        VmModel {
            table: StreamTable::default(),
            history,
            list: Vec::new(),
            listed,
            confirmed: None,
            lag: Some(Duration::ZERO),
            stands_still: false,
        }
    }
}

/// Simulated fleet with a store that keeps the history of versions.
struct FleetModel {
    vms: Vec<VmModel>,
    available: bool,                             // Whether the store responds.
    stored: Vec<(SeenVersion, Instant)>,         // With the time at which each was first stored.
    registered: Vec<(Instant, Vec<VersionKey>)>, // Since when, oldest first.
    begun: Vec<(StreamOrigin, Instant)>,
    now: Instant,
}

impl FleetModel {
    fn new() -> FleetModel {
        let now = Instant::now();
        let vm = || {
            let mut history = VersionHistory::new(now);
            history.begin_fleet(now);
            VmModel::new(history, now)
        };
        let mut model = FleetModel {
            vms: (0..VMS).map(|_| vm()).collect(),
            available: true,
            stored: Vec::new(),
            registered: vec![(now, vec![0])],
            begun: Vec::new(),
            now,
        };
        model.observe();
        model
    }

    /// Lets all VMs that run receive and observe their lists.
    fn observe(&mut self) {
        for vm in self.vms.iter_mut().filter(|vm| !vm.stands_still) {
            if let Some(lag) = vm.lag {
                vm.listed = vm.listed.max(self.now - lag);
                let mut lists = self.registered.iter().rev();
                if let Some((_, list)) = lists.find(|(since, _)| *since <= vm.listed) {
                    vm.list.clone_from(list);
                    vm.confirmed = Some(self.now);
                }
            }
            if !vm.list.is_empty() {
                let list = vm.list.iter().map(|&version| (SERVICE, version));
                vm.history.observe(list, vm.confirmed, self.now);
            }
            vm.table.prune(self.now);
        }
    }

    fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + TICK).min(until);
            self.observe();
            self.check_stored();
        }
    }

    /// Lets the first VM that runs store its versions, and those read that have versions to check.
    fn check_stored(&mut self) {
        let running = (0..VMS).filter(|&vm| !self.vms[vm].stands_still && self.available);
        let running: Vec<usize> = running.collect();
        if let Some(&first) = running.first() {
            self.store(first);
        }
        for vm in running {
            if self.vms[vm].history.has_unstored(self.now) {
                self.read(vm);
            }
        }
    }

    fn adopt_stored(&self, history: &mut VersionHistory) {
        let stored = self.stored.iter().map(|(seen, since)| StoredVersion {
            seen: SeenVersion {
                // A version that was registered when it was stored may have served until now.
                last_seen: match seen.registered {
                    true => self.now,
                    false => seen.last_seen,
                },
                ..*seen
            },
            stored_for: self.now - *since,
        });
        let current = stored.filter(|stored| self.now < stored.seen.last_seen + STREAM_LIFETIME);
        history.adopt(current.collect(), self.now);
    }

    fn restart(&mut self, vm: usize) {
        let mut history = VersionHistory::new(self.now);
        self.adopt_stored(&mut history);
        let (begin, _) = self.registered[0];
        self.vms[vm] = VmModel::new(history, begin);
    }

    fn read(&mut self, vm: usize) {
        let mut history = self.vms[vm].history.clone();
        self.adopt_stored(&mut history);
        self.vms[vm].history = history;
    }

    fn store(&mut self, vm: usize) {
        let mut confirmed = self.vms[vm].confirmed.iter();
        if !confirmed.any(|&confirmed| self.now <= confirmed + LIST_LIFETIME) {
            return;
        }
        self.read(vm);
        let seen = self.vms[vm].history.storable(self.now);
        let stored = seen.map(|seen| {
            let mut before = self.stored.iter();
            let before =
                before.find(|(before, _)| before.version == seen.version && before.registered);
            (*seen, before.map_or(self.now, |(_, since)| *since))
        });
        self.stored = stored.collect();
        self.read(vm);
    }

    fn begin(&mut self, vm: usize, choice: usize) {
        let (_, registered) = self.registered.last().expect("versions");
        let chosen = &mut self.vms[vm];
        let serving = chosen.list.iter().filter(|key| registered.contains(key));
        let settled = serving.filter(|&&key| chosen.history.is_settled(SERVICE, key));
        let settled: Vec<VersionKey> = settled.copied().collect();
        if let (false, false) = (settled.is_empty(), chosen.stands_still) {
            let begun = origin(self.begun.len() as u64, settled[choice % settled.len()]);
            self.begun.push((begun, self.now));
            chosen.table.record_own(SERVICE, begun, self.now);
        }
    }

    /// Returns the versions that a VM itself, or by asking the others, may take for a stream's.
    fn resolve(&self, vm: usize, stream: StreamKey) -> Vec<VersionKey> {
        let sole = |vm: &VmModel| vm.history.sole_version(SERVICE, vm.confirmed, self.now);
        let own = &self.vms[vm];
        if let Some(known) = own.table.find(stream).or_else(|| sole(own)) {
            return vec![known];
        }
        let others = self.vms.iter().filter(|vm| !vm.stands_still);
        let answers = others.flat_map(|vm| [vm.table.find(stream), sole(vm)]);
        answers.flatten().collect()
    }

    fn take_up(&self, vm: usize, stream: usize) {
        let Some((origin, begun)) = self.begun.get(stream % self.begun.len().max(1)) else {
            return;
        };
        if self.now >= *begun + STREAM_LIFETIME || self.vms[vm].stands_still {
            return;
        }
        let resolved = self.resolve(vm, origin.stream);
        assert!(
            resolved.iter().all(|&version| version == origin.version),
            "stream of version {} goes on at {resolved:?}",
            origin.version
        );
    }
}

struct StreamTest;

impl StateMachineTest for StreamTest {
    type SystemUnderTest = FleetModel;
    type Reference = StreamReference;

    fn init_test((): &()) -> FleetModel {
        FleetModel::new()
    }

    fn apply(mut model: FleetModel, (): &(), event: StreamEvent) -> FleetModel {
        match event {
            StreamEvent::Begin { vm, choice } => model.begin(vm, choice),
            StreamEvent::Report { vm, receivers } => {
                let VmModel { table, history, .. } = &mut model.vms[vm];
                let reported = table.take_unreported(|service| history.is_mixed(service), 99);
                for receiver in (0..VMS).filter(|receiver| receivers & (1 << receiver) != 0) {
                    for origin in &reported {
                        model.vms[receiver].table.record(*origin, model.now);
                    }
                }
            }
            StreamEvent::Restart { vm } => model.restart(vm),
            StreamEvent::RestartAll => (0..VMS).for_each(|vm| model.restart(vm)),
            StreamEvent::Delay { vm, lag_ms } => {
                model.vms[vm].lag = lag_ms.map(Duration::from_millis);
            }
            StreamEvent::Stand { vm, still } => {
                let resumes = model.vms[vm].stands_still && !still;
                model.vms[vm].stands_still = still;
                // Messages that waited confirm the list that it had.
                if resumes {
                    model.vms[vm].confirmed = Some(model.now);
                    return model;
                }
            }
            StreamEvent::Store { vm } if model.available => model.store(vm),
            StreamEvent::Store { .. } => {}
            StreamEvent::Serve { available } => model.available = available,
            StreamEvent::Register { versions } => {
                let keys = (0..VERSIONS).filter(|version| versions & (1 << version) != 0);
                model.registered.push((model.now, keys.collect()));
            }
            StreamEvent::Wait { ms } => model.wait(Duration::from_millis(ms)),
            StreamEvent::TakeUp { vm, stream } => {
                model.take_up(vm, stream);
                return model;
            }
        }
        model.observe();
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
    fn streams_go_on_only_at_the_version_that_began_them(sequential 1..60 => StreamTest);
}
