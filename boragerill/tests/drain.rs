//! Tests of drain announcements: they outlive network partitions and expired entries, and don't apply to later
//! processes of a server.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::drain::{
    DrainAnnouncement,
    DrainTable,
    UNLISTED_LIFETIME, //
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

const VMS: usize = 3;
const SERVERS: usize = 3;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

fn announcement(server: u32, start: u64, received: Instant) -> DrainAnnouncement {
    DrainAnnouncement {
        server,
        start,
        source: 1,
        received,
    }
}

#[test]
fn next_process_with_the_same_id_is_not_draining() {
    // arrange
    let now = Instant::now();
    let mut table = DrainTable::default();

    // act
    let new = table.record(announcement(4, 100, now));
    let again = table.record(announcement(4, 100, now + Duration::from_secs(1)));

    // assert
    assert!(new);
    assert!(!again);
    assert!(table.find(4, 100).is_some());
    assert!(table.find(4, 200).is_none());
}

#[test]
fn announcement_outlives_an_entry_that_expired_with_the_store() {
    // arrange
    let now = Instant::now();
    let mut table = DrainTable::default();
    table.record(announcement(4, 100, now));

    // act
    table.remove_unlisted(|_, _| false, now + UNLISTED_LIFETIME / 2);
    let unlisted = table.find(4, 100).is_some();
    table.remove_unlisted(|_, _| true, now + UNLISTED_LIFETIME * 3);
    let listed = table.find(4, 100).is_some();
    table.remove_unlisted(|_, _| false, now + UNLISTED_LIFETIME);

    // assert
    assert!(unlisted);
    assert!(listed);
    assert!(table.announcements().is_empty());
}

#[test]
fn announcement_without_a_start_is_removed_with_its_entry() {
    // arrange
    let now = Instant::now();
    let mut table = DrainTable::default();
    table.record(announcement(4, 0, now));

    // act
    table.remove_unlisted(|_, _| false, now);

    // assert
    assert!(table.announcements().is_empty());
}

/// Events of servers and VMs.
#[derive(Clone, Debug)]
enum ServerEvent {
    /// A server starts draining.
    Drain { server: usize },
    /// A server restarts with the same id.
    Restart { server: usize },
    /// The entry of a server expires, or is registered again.
    List { server: usize, listed: bool },
    /// A VM sends a request to a server and receives a response.
    Request { vm: usize, server: usize },
    /// All reachable VMs report their announcements to each other.
    Report,
    /// A VM is partitioned from the others, or the partition ends.
    Partition { vm: usize, partitioned: bool },
    /// The process of a VM restarts.
    RestartVm { vm: usize },
    /// Time passes.
    Wait { seconds: u64 },
}

/// Reference model: which server processes are draining, and which VMs know it.
#[derive(Clone, Debug, Default)]
struct ServerReference {
    starts: [u64; SERVERS],
    draining: [bool; SERVERS],
    listed: [bool; SERVERS],
    known: [[Option<u64>; SERVERS]; VMS], // Second in which the announcement was received.
    partitioned: [bool; VMS],
    second: u64,
}

impl ServerReference {
    fn request(&mut self, vm: usize, server: usize) {
        if self.draining[server] && self.listed[server] {
            self.known[vm][server].get_or_insert(self.second);
        }
    }

    fn report(&mut self) {
        let reachable: Vec<usize> = (0..VMS).filter(|&vm| !self.partitioned[vm]).collect();
        for server in 0..SERVERS {
            let first = reachable.iter().find_map(|&vm| self.known[vm][server]);
            for &vm in &reachable {
                self.known[vm][server] = self.known[vm][server].or(first);
            }
        }
    }

    /// Removes expired announcements of processes without an entry.
    fn remove_unlisted(&mut self) {
        for known in &mut self.known {
            for (server, second) in known.iter_mut().enumerate() {
                let kept = second.is_some_and(|at| self.second < at + UNLISTED_LIFETIME.as_secs());
                if !self.listed[server] && !kept {
                    *second = None;
                }
            }
        }
    }
}

impl ReferenceStateMachine for ServerReference {
    type State = ServerReference;
    type Transition = ServerEvent;

    fn init_state() -> BoxedStrategy<ServerReference> {
        Just(ServerReference {
            starts: [1; SERVERS],
            listed: [true; SERVERS],
            ..Default::default()
        })
        .boxed()
    }

    fn transitions(_: &ServerReference) -> BoxedStrategy<ServerEvent> {
        let server = 0..SERVERS;
        let vm = 0..VMS;
        prop_oneof![
            2 => server.clone().prop_map(|server| ServerEvent::Drain { server }),
            2 => server.clone().prop_map(|server| ServerEvent::Restart { server }),
            2 => (server.clone(), any::<bool>())
                .prop_map(|(server, listed)| ServerEvent::List { server, listed }),
            6 => (vm.clone(), server).prop_map(|(vm, server)| ServerEvent::Request { vm, server }),
            4 => Just(ServerEvent::Report),
            2 => (vm.clone(), any::<bool>())
                .prop_map(|(vm, partitioned)| ServerEvent::Partition { vm, partitioned }),
            1 => vm.prop_map(|vm| ServerEvent::RestartVm { vm }),
            2 => (1..20_u64).prop_map(|seconds| ServerEvent::Wait { seconds }),
        ]
        .boxed()
    }

    fn apply(mut state: ServerReference, event: &ServerEvent) -> ServerReference {
        match *event {
            ServerEvent::Drain { server } => state.draining[server] = true,
            ServerEvent::Restart { server } => {
                state.starts[server] += 1;
                state.draining[server] = false;
                state.listed[server] = true;
                for known in &mut state.known {
                    known[server] = None;
                }
            }
            ServerEvent::List { server, listed } => state.listed[server] = listed,
            ServerEvent::Request { vm, server } => state.request(vm, server),
            ServerEvent::Report => state.report(),
            ServerEvent::Partition { vm, partitioned } => state.partitioned[vm] = partitioned,
            ServerEvent::RestartVm { vm } => state.known[vm] = [None; SERVERS],
            ServerEvent::Wait { seconds } => state.second += seconds,
        }
        state.remove_unlisted();
        state
    }
}

/// Announcement tables of all VMs.
struct ServerModel {
    tables: Vec<DrainTable>,
    now: Instant,
}

impl StateMachineTest for ServerModel {
    type SystemUnderTest = ServerModel;
    type Reference = ServerReference;

    fn init_test(_: &ServerReference) -> ServerModel {
        ServerModel {
            tables: vec![DrainTable::default(); VMS],
            now: Instant::now(),
        }
    }

    fn apply(
        mut model: ServerModel,
        reference: &ServerReference,
        event: ServerEvent,
    ) -> ServerModel {
        let now = model.now;
        match event {
            ServerEvent::Request { vm, server } => {
                let announced = reference.draining[server] && reference.listed[server];
                if announced {
                    let key = u32::try_from(server).expect("small");
                    model.tables[vm].record(announcement(key, reference.starts[server], now));
                }
            }
            ServerEvent::Report => {
                let reachable: Vec<usize> =
                    (0..VMS).filter(|&vm| !reference.partitioned[vm]).collect();
                for &sender in &reachable {
                    let announcements = model.tables[sender].announcements().to_vec();
                    for &vm in &reachable {
                        for announcement in &announcements {
                            model.tables[vm].record(*announcement);
                        }
                    }
                }
            }
            ServerEvent::RestartVm { vm } => model.tables[vm] = DrainTable::default(),
            ServerEvent::Wait { seconds } => model.now = now + Duration::from_secs(seconds),
            _ => {}
        }
        let is_listed = |key: u32, start: u64| {
            let server = key as usize;
            reference.listed[server] && reference.starts[server] == start
        };
        for table in &mut model.tables {
            table.remove_unlisted(is_listed, model.now);
        }
        model
    }

    fn check_invariants(model: &ServerModel, reference: &ServerReference) {
        for (vm, table) in model.tables.iter().enumerate() {
            for server in 0..SERVERS {
                let key = u32::try_from(server).expect("small");
                let found = table.find(key, reference.starts[server]).is_some();
                if reference.listed[server] {
                    assert_eq!(
                        found,
                        reference.known[vm][server].is_some(),
                        "VM {vm}, server {server}"
                    );
                }
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn vms_know_draining_processes_as_in_the_reference_model(sequential 1..60 => ServerModel);
}
