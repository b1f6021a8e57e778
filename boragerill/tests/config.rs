//! Replication of the configuration: objects never revert, and a complete replica matches the platform.

use boragerill::{
    config::{
        split_delta,
        ConfigTable,
        DeltaBuffer, //
    },
    generated::messages::{
        ConfigDelta,
        ConfigObject, //
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

const REPLICAS: usize = 3;
const NAMES: usize = 6;

/// Event in the exchange between the platform and the replicas of its configuration.
#[derive(Clone, Debug)]
enum ConfigEvent {
    Write { name: usize },
    Delete { name: usize },
    Watch { replica: usize },
    BeginListing { replica: usize },
    EndListing { replica: usize },
    Send { from: usize, to: usize },
    Receive { replica: usize, index: usize },
    Restart { replica: usize },
}

/// Model of the platform: the newest version of each object, including deleted objects.
#[derive(Clone, Debug, Default)]
struct PlatformModel {
    objects: Vec<ConfigObject>,
    version: u64,
}

impl PlatformModel {
    fn set(&mut self, name: usize, deleted: bool) {
        self.version += 1;
        let name = format!("name-{name}");
        self.objects.retain(|object| object.name != name);
        let kind = "workspace".to_owned();
        let spec = if deleted {
            Vec::new()
        } else {
            self.version.to_be_bytes().to_vec()
        };
        self.objects.push(ConfigObject {
            kind,
            name,
            version: self.version,
            deleted,
            spec,
            created: 1,
        });
    }

    fn after(&self, version: u64) -> Vec<ConfigObject> {
        self.objects
            .iter()
            .filter(|object| object.version > version)
            .cloned()
            .collect()
    }

    fn live(&self) -> Vec<ConfigObject> {
        self.objects
            .iter()
            .filter(|object| !object.deleted)
            .cloned()
            .collect()
    }
}

struct ConfigReference;

impl ReferenceStateMachine for ConfigReference {
    type State = PlatformModel;
    type Transition = ConfigEvent;

    fn init_state() -> BoxedStrategy<PlatformModel> {
        Just(PlatformModel::default()).boxed()
    }

    fn transitions(_: &PlatformModel) -> BoxedStrategy<ConfigEvent> {
        let replica = 0..REPLICAS;
        prop_oneof![
            4 => (0..NAMES).prop_map(|name| ConfigEvent::Write { name }),
            2 => (0..NAMES).prop_map(|name| ConfigEvent::Delete { name }),
            1 => replica.clone().prop_map(|replica| ConfigEvent::Watch { replica }),
            3 => replica.clone().prop_map(|replica| ConfigEvent::BeginListing { replica }),
            3 => replica.clone().prop_map(|replica| ConfigEvent::EndListing { replica }),
            3 => (replica.clone(), replica.clone()).prop_map(|(from, to)| ConfigEvent::Send { from, to }),
            4 => (replica.clone(), 0_usize..8).prop_map(|(replica, index)| ConfigEvent::Receive { replica, index }),
            2 => replica.prop_map(|replica| ConfigEvent::Restart { replica }),
        ]
        .boxed()
    }

    fn apply(mut model: PlatformModel, event: &ConfigEvent) -> PlatformModel {
        match event {
            ConfigEvent::Write { name } => model.set(*name, false),
            ConfigEvent::Delete { name } => model.set(*name, true),
            _ => {}
        }
        model
    }
}

/// A replica with its pending listing and messages, and the highest version that it has had of each
/// object.
#[derive(Default)]
struct Replica {
    table: ConfigTable,
    listing: Option<(Vec<ConfigObject>, u64)>,
    inbox: Vec<ConfigDelta>,
    highest: Vec<(String, u64)>,
}

impl Replica {
    /// Asserts that no object has an older version than before.
    fn check_versions(&mut self) {
        for index in 0..NAMES {
            let name = format!("name-{index}");
            let version = self
                .table
                .find("workspace", &name)
                .map_or(0, |object| object.version);
            match self.highest.iter_mut().find(|entry| entry.0 == name) {
                Some(entry) => {
                    assert!(
                        version >= entry.1,
                        "{name} reverted from {} to {version}",
                        entry.1
                    );
                    entry.1 = version;
                }
                None => self.highest.push((name, version)),
            }
        }
    }
}

struct ConfigTest;

impl StateMachineTest for ConfigTest {
    type SystemUnderTest = Vec<Replica>;
    type Reference = ConfigReference;

    fn init_test(_: &PlatformModel) -> Vec<Replica> {
        (0..REPLICAS).map(|_| Replica::default()).collect()
    }

    fn apply(
        mut replicas: Vec<Replica>,
        model: &PlatformModel,
        event: ConfigEvent,
    ) -> Vec<Replica> {
        match event {
            ConfigEvent::Write { .. } | ConfigEvent::Delete { .. } => {}
            ConfigEvent::Watch { replica } => {
                let table = &mut replicas[replica].table;
                let since = table.through();
                let objects = model.after(since);
                table.apply(ConfigDelta {
                    objects,
                    since,
                    through: model.version,
                    ..Default::default()
                });
            }
            ConfigEvent::BeginListing { replica } => {
                replicas[replica].listing = Some((model.live(), model.version));
            }
            ConfigEvent::EndListing { replica } => {
                if let Some((objects, version)) = replicas[replica].listing.take() {
                    replicas[replica].table.apply_full(objects, version);
                }
            }
            ConfigEvent::Send { from, to } => {
                let since = replicas[to].table.through();
                let delta = replicas[from].table.delta_since(since);
                replicas[to].inbox.push(delta);
            }
            ConfigEvent::Receive { replica, index } => {
                let replica = &mut replicas[replica];
                if !replica.inbox.is_empty() {
                    let index = index % replica.inbox.len();
                    let delta = replica.inbox.remove(index);
                    replica.table.apply(delta);
                }
            }
            ConfigEvent::Restart { replica } => {
                // Messages sent to the old process reach the restarted one.
                let inbox = std::mem::take(&mut replicas[replica].inbox);
                replicas[replica] = Replica {
                    inbox,
                    ..Default::default()
                };
            }
        }
        replicas.iter_mut().for_each(Replica::check_versions);
        replicas
    }

    /// A replica matches the platform in all objects whose newest version is at most the replica's `through`.
    fn check_invariants(replicas: &Vec<Replica>, model: &PlatformModel) {
        for replica in replicas {
            let through = replica.table.through();
            for object in model
                .objects
                .iter()
                .filter(|object| object.version <= through)
            {
                let known = replica.table.find("workspace", &object.name);
                let same = known.map_or(object.deleted, |known| {
                    known.deleted == object.deleted && known.spec == object.spec
                });
                assert!(
                    same,
                    "{} differs although complete to {through}",
                    object.name
                );
            }
        }
    }
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        cases: 4000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(2))]
    #[test]
    fn replicas_never_revert(sequential 1..80 => ConfigTest);
}

#[test]
fn split_deltas_are_reassembled() {
    // Arrange: more objects than fit into one message; the receiver has an older and a newer version of
    // two.
    let object = |index: u64, version| ConfigObject {
        kind: "key".to_owned(),
        name: format!("key-{index}"),
        version,
        created: 1,
        deleted: version % 7 == 0,
        spec: Vec::new(),
    };
    let mut sender = ConfigTable::default();
    let objects = (0..5000)
        .map(|index| object(index, 10_000 - index))
        .collect();
    sender.apply(ConfigDelta {
        objects,
        through: 10_000,
        ..Default::default()
    });
    let mut receiver = ConfigTable::default();
    receiver.apply(ConfigDelta {
        objects: vec![object(0, 9_999), object(1, 20_000)],
        ..Default::default()
    });

    // Act.
    let mut buffer = DeltaBuffer::default();
    let parts = split_delta(sender.delta_since(0));
    let count = parts.len();
    let complete: Vec<ConfigDelta> = parts
        .into_iter()
        .filter_map(|part| buffer.push(part))
        .collect();
    for delta in complete.clone() {
        receiver.apply(delta);
    }

    // Assert: the parts form one delta, and the receiver keeps its newer object.
    assert_eq!((count, complete.len()), (3, 1));
    assert_eq!(receiver.through(), 10_000);
    assert_eq!(
        receiver.find("key", "key-0").map(|object| object.version),
        Some(10_000)
    );
    assert_eq!(
        receiver.find("key", "key-1").map(|object| object.version),
        Some(20_000)
    );
    assert_eq!(receiver.list("key").count(), sender.list("key").count());
}

#[test]
fn full_listing_propagates_deletions() {
    // Arrange: one VM has an object that was deleted before another VM listed the platform, so that the
    // second VM never saw the deletion.
    let object = |version| ConfigObject {
        kind: "key".to_owned(),
        name: "withdrawn".to_owned(),
        version,
        created: version,
        ..Default::default()
    };
    let mut older = ConfigTable::default();
    older.apply(ConfigDelta {
        objects: vec![object(1)],
        through: 1,
        ..Default::default()
    });
    let mut listed = ConfigTable::default();
    listed.apply_full(Vec::new(), 3);

    // Act.
    older.apply(listed.delta_since(older.through()));

    // Assert.
    assert_eq!(older.through(), 3);
    assert_eq!(older.list("key").count(), 0);
}
