//! A stream is never resumed at a version that didn't begin it, whatever VMs, messages and versions are lost.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::stream_version::{
    version_key,
    SeenVersion,
    ServiceKey,
    StreamKey,
    StreamOrigin,
    StreamTable,
    VersionHistory,
    VersionKey,
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
    history.adopt(Vec::new(), now);
    history.observe([(SERVICE, 10)].into_iter(), now);
    history.observe([(SERVICE, 11)].into_iter(), now + seconds(1));

    // act
    let mixed = history.sole_version(SERVICE, now + seconds(1));
    let later = now + STREAM_LIFETIME + seconds(1);
    history.observe([(SERVICE, 11)].into_iter(), later);
    let sole = history.sole_version(SERVICE, later);

    // assert
    assert_eq!((mixed, sole), (None, Some(11)));
}

#[test]
fn process_that_has_just_started_vouches_for_no_version_before_it_knows_the_history() {
    // arrange
    let now = Instant::now();
    let mut history = VersionHistory::new(now);
    history.observe([(SERVICE, 11)].into_iter(), now);
    let gone = SeenVersion {
        service: SERVICE,
        version: 10,
        last_seen: now - seconds(3),
        registered: false,
    };

    // act
    let unknown = history.sole_version(SERVICE, now);
    history.adopt(vec![gone], now);
    let mixed = history.sole_version(SERVICE, now);
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

const VMS: usize = 3;
const VERSIONS: u64 = 3;

/// Event in the simulated fleet.
#[derive(Clone, Debug)]
enum StreamEvent {
    /// A VM begins a stream at one of the registered versions.
    Begin { vm: usize, choice: usize },
    /// A VM reports its streams, to the VMs whose bits are set.
    Report { vm: usize, receivers: usize },
    /// A VM restarts.
    Restart { vm: usize },
    /// All VMs restart.
    RestartAll,
    /// The registered versions become those whose bits are set.
    Register { versions: u64 },
    /// Time passes.
    Wait { seconds: u64 },
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
        prop_oneof![
            4 => (0..VMS, 0..8_usize).prop_map(|(vm, choice)| StreamEvent::Begin { vm, choice }),
            3 => (0..VMS, 0..1_usize << VMS)
                .prop_map(|(vm, receivers)| StreamEvent::Report { vm, receivers }),
            1 => (0..VMS).prop_map(|vm| StreamEvent::Restart { vm }),
            1 => Just(StreamEvent::RestartAll),
            2 => (1..1_u64 << VERSIONS).prop_map(|versions| StreamEvent::Register { versions }),
            2 => (1..90_u64).prop_map(|seconds| StreamEvent::Wait { seconds }),
            4 => (0..VMS, 0..64_usize).prop_map(|(vm, stream)| StreamEvent::TakeUp { vm, stream }),
        ]
        .boxed()
    }

    fn apply((): (), _: &StreamEvent) {}
}

/// Simulated fleet with a store that keeps the history of versions.
struct FleetModel {
    vms: Vec<(StreamTable, VersionHistory)>,
    stored: Vec<SeenVersion>,
    registered: Vec<VersionKey>,
    begun: Vec<(StreamOrigin, Instant)>,
    now: Instant,
}

impl FleetModel {
    fn new() -> FleetModel {
        let now = Instant::now();
        let mut history = VersionHistory::new(now);
        history.adopt(Vec::new(), now);
        let mut model = FleetModel {
            vms: vec![(StreamTable::default(), history); VMS],
            stored: Vec::new(),
            registered: vec![0],
            begun: Vec::new(),
            now,
        };
        model.observe();
        model
    }

    /// Lets all VMs see the registered versions, and stores the history when it changes.
    fn observe(&mut self) {
        for vm in 0..VMS {
            let registered: Vec<_> = self.registered.iter().map(|&key| (SERVICE, key)).collect();
            let (table, history) = &mut self.vms[vm];
            table.prune(self.now);
            if history.observe(registered.into_iter(), self.now) {
                self.stored = history.seen().to_vec();
            }
        }
    }

    fn restart(&mut self, vm: usize) {
        let mut history = VersionHistory::new(self.now);
        let stored = self.stored.iter().map(|seen| SeenVersion {
            // A version that was registered when it was stored may have served until now.
            last_seen: if seen.registered {
                self.now
            } else {
                seen.last_seen
            },
            registered: false,
            ..*seen
        });
        let current = stored.filter(|seen| self.now < seen.last_seen + STREAM_LIFETIME);
        history.adopt(current.collect(), self.now);
        self.vms[vm] = (StreamTable::default(), history);
    }

    /// Returns the version that a VM or another one knows for a stream.
    fn resolve(&self, vm: usize, stream: StreamKey) -> Option<VersionKey> {
        let (table, history) = &self.vms[vm];
        let asked = self.vms.iter().find_map(|(table, _)| table.find(stream));
        table
            .find(stream)
            .or_else(|| history.sole_version(SERVICE, self.now))
            .or(asked)
    }

    fn take_up(&self, vm: usize, stream: usize) {
        let Some((origin, begun)) = self.begun.get(stream % self.begun.len().max(1)) else {
            return;
        };
        if self.now >= *begun + STREAM_LIFETIME {
            return;
        }
        let resolved = self.resolve(vm, origin.stream);
        assert!(
            resolved.is_none_or(|version| version == origin.version),
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
            StreamEvent::Begin { vm, choice } => {
                let version = model.registered[choice % model.registered.len()];
                let begun = origin(model.begun.len() as u64, version);
                model.begun.push((begun, model.now));
                model.vms[vm].0.record_own(SERVICE, begun, model.now);
            }
            StreamEvent::Report { vm, receivers } => {
                let (table, history) = &mut model.vms[vm];
                let reported = table.take_unreported(|service| history.is_mixed(service), 99);
                for receiver in (0..VMS).filter(|receiver| receivers & (1 << receiver) != 0) {
                    for origin in &reported {
                        model.vms[receiver].0.record(*origin, model.now);
                    }
                }
            }
            StreamEvent::Restart { vm } => model.restart(vm),
            StreamEvent::RestartAll => (0..VMS).for_each(|vm| model.restart(vm)),
            StreamEvent::Register { versions } => {
                let keys = (0..VERSIONS).filter(|version| versions & (1 << version) != 0);
                model.registered = keys.collect();
            }
            StreamEvent::Wait { seconds } => model.now += Duration::from_secs(seconds),
            StreamEvent::TakeUp { vm, stream } => model.take_up(vm, stream),
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
