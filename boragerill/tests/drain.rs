//! Servers that leave by their own word get nothing more, whatever is cut, lapses or starts anew.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::drain::{
    DrainAnnouncement,
    DrainTable,
    UNLISTED_KEPT, //
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
fn next_process_under_the_same_id_does_not_leave() {
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
fn fact_outlasts_an_entry_that_lapses_with_the_store() {
    // arrange
    let now = Instant::now();
    let mut table = DrainTable::default();
    table.record(announcement(4, 100, now));

    // act
    table.remove_unlisted(|_, _| false, now + UNLISTED_KEPT / 2);
    let lapsed = table.find(4, 100).is_some();
    table.remove_unlisted(|_, _| true, now + UNLISTED_KEPT * 3);
    let listed = table.find(4, 100).is_some();
    table.remove_unlisted(|_, _| false, now + UNLISTED_KEPT);

    // assert
    assert!(lapsed);
    assert!(listed);
    assert!(table.announcements().is_empty());
}

#[test]
fn process_of_unknown_start_is_forgotten_with_its_entry() {
    // arrange
    let now = Instant::now();
    let mut table = DrainTable::default();
    table.record(announcement(4, 0, now));

    // act
    table.remove_unlisted(|_, _| false, now);

    // assert
    assert!(table.announcements().is_empty());
}

/// What happens to servers and VMs.
#[derive(Clone, Debug)]
enum ServerEvent {
    /// A server begins to leave.
    Leave { server: usize },
    /// A server starts anew under its id.
    Restart { server: usize },
    /// The entry of a server lapses, or is there again.
    Lapse { server: usize, listed: bool },
    /// A VM sends a request to a server and gets an answer.
    Ask { vm: usize, server: usize },
    /// All VMs that reach each other tell what they know.
    Tell,
    /// A VM can't be reached any more, or can again.
    Cut { vm: usize, cut: bool },
    /// The process of a VM starts anew.
    RestartVm { vm: usize },
    /// Time passes.
    Wait { seconds: u64 },
}

/// The oracle: what each process of a server has said, and who was told.
#[derive(Clone, Debug, Default)]
struct ServerReference {
    starts: [u64; SERVERS],
    leaving: [bool; SERVERS],
    listed: [bool; SERVERS],
    told: [[Option<u64>; SERVERS]; VMS], // Second of the answer.
    cut: [bool; VMS],
    second: u64,
}

impl ServerReference {
    fn ask(&mut self, vm: usize, server: usize) {
        if self.leaving[server] && self.listed[server] {
            self.told[vm][server].get_or_insert(self.second);
        }
    }

    fn tell(&mut self) {
        let reached: Vec<usize> = (0..VMS).filter(|&vm| !self.cut[vm]).collect();
        for server in 0..SERVERS {
            let first = reached.iter().find_map(|&vm| self.told[vm][server]);
            for &vm in &reached {
                self.told[vm][server] = self.told[vm][server].or(first);
            }
        }
    }

    /// Forgets what was said of processes that no entry has named for long.
    fn forget(&mut self) {
        for told in &mut self.told {
            for (server, second) in told.iter_mut().enumerate() {
                let kept = second.is_some_and(|at| self.second < at + UNLISTED_KEPT.as_secs());
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
            2 => server.clone().prop_map(|server| ServerEvent::Leave { server }),
            2 => server.clone().prop_map(|server| ServerEvent::Restart { server }),
            2 => (server.clone(), any::<bool>())
                .prop_map(|(server, listed)| ServerEvent::Lapse { server, listed }),
            6 => (vm.clone(), server).prop_map(|(vm, server)| ServerEvent::Ask { vm, server }),
            4 => Just(ServerEvent::Tell),
            2 => (vm.clone(), any::<bool>()).prop_map(|(vm, cut)| ServerEvent::Cut { vm, cut }),
            1 => vm.prop_map(|vm| ServerEvent::RestartVm { vm }),
            2 => (1..20_u64).prop_map(|seconds| ServerEvent::Wait { seconds }),
        ]
        .boxed()
    }

    fn apply(mut state: ServerReference, event: &ServerEvent) -> ServerReference {
        match *event {
            ServerEvent::Leave { server } => state.leaving[server] = true,
            ServerEvent::Restart { server } => {
                state.starts[server] += 1;
                state.leaving[server] = false;
                state.listed[server] = true;
                for told in &mut state.told {
                    told[server] = None;
                }
            }
            ServerEvent::Lapse { server, listed } => state.listed[server] = listed,
            ServerEvent::Ask { vm, server } => state.ask(vm, server),
            ServerEvent::Tell => state.tell(),
            ServerEvent::Cut { vm, cut } => state.cut[vm] = cut,
            ServerEvent::RestartVm { vm } => state.told[vm] = [None; SERVERS],
            ServerEvent::Wait { seconds } => state.second += seconds,
        }
        state.forget();
        state
    }
}

/// The tables of all VMs.
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
            ServerEvent::Ask { vm, server } => {
                let said = reference.leaving[server] && reference.listed[server];
                if said {
                    let key = u32::try_from(server).expect("small");
                    model.tables[vm].record(announcement(key, reference.starts[server], now));
                }
            }
            ServerEvent::Tell => {
                let reached: Vec<usize> = (0..VMS).filter(|&vm| !reference.cut[vm]).collect();
                for &teller in &reached {
                    let announcements = model.tables[teller].announcements().to_vec();
                    for &vm in &reached {
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
                        reference.told[vm][server].is_some(),
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
    fn servers_that_said_so_get_nothing_and_their_successors_do(sequential 1..60 => ServerModel);
}
