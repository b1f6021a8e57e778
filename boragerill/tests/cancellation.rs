//! Tests of the table of cancelled jobs: a VM that is complete up to a revision knows every cancellation up to it,
//! whichever way it learned of them.

use boragerill::{
    backend::Revision,
    cancellation::{
        CancellationTable,
        JobCancellation,
        UNKNOWN_REVISION, //
    },
    job::JobId, //
};
use compact_str::format_compact;
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use proptest_state_machine::{
    prop_state_machine,
    ReferenceStateMachine,
    StateMachineTest, //
};

const VMS: usize = 4;

fn cancellation(revision: Revision, job: &str) -> JobCancellation {
    JobCancellation {
        revision,
        job: job.into(),
    }
}

// Guards against UNASKED: a VM that had stored a cancellation itself never passed it on to others, which took their
// tables for complete and went on running the job.
#[test]
fn cancellation_stored_by_this_vm_is_passed_on() {
    // arrange: the VM stores a cancellation, and then receives it from the store
    let mut table = CancellationTable::default();
    table.apply(Vec::new(), 10);
    table.insert(cancellation(12, "job-1"));

    // act
    let before: Vec<JobCancellation> = table.since(10).cloned().collect();
    let added = table.apply(vec![cancellation(12, "job-1")], 14);
    let after: Vec<JobCancellation> = table.since(10).cloned().collect();

    // assert
    assert_eq!(before, [cancellation(12, "job-1")]);
    assert!(added.is_empty());
    assert_eq!(after, [cancellation(12, "job-1")]);
    assert_eq!(table.through(), 14);
    assert_eq!(table.since(12).count(), 0);
}

#[test]
fn cancellation_of_unknown_revision_is_passed_on_until_its_revision_is_known() {
    // arrange
    let mut table = CancellationTable::default();
    table.insert(cancellation(UNKNOWN_REVISION, "job-1"));

    // act
    let unknown = table.since(20).count();
    table.apply(vec![cancellation(12, "job-1")], 14);
    let placed = table.since(20).count();

    // assert
    assert_eq!((unknown, placed), (1, 0));
    assert_eq!(table.since(11).count(), 1);
    assert!(table.contains("job-1"));
}

/// Events of the store and of VMs.
#[derive(Clone, Debug)]
enum TableEvent {
    /// A VM cancels a job in the store and records it, with its revision or without.
    Cancel { vm: usize, with_revision: bool },
    /// An object of another kind changes.
    OtherChange,
    /// A VM receives the changes since its revision from the store.
    Watch { vm: usize },
    /// A VM receives the changes since its revision from another VM.
    Fetch { from: usize, to: usize },
    /// The process of a VM restarts.
    Restart { vm: usize },
}

/// Cancellations in the store.
#[derive(Clone, Debug, Default)]
struct StoreReference {
    revision: Revision,
    cancelled: Vec<(Revision, JobId)>,
}

impl ReferenceStateMachine for StoreReference {
    type State = StoreReference;
    type Transition = TableEvent;

    fn init_state() -> BoxedStrategy<StoreReference> {
        Just(StoreReference::default()).boxed()
    }

    fn transitions(_state: &StoreReference) -> BoxedStrategy<TableEvent> {
        let vm = 0..VMS;
        prop_oneof![
            3 => (vm.clone(), any::<bool>())
                .prop_map(|(vm, with_revision)| TableEvent::Cancel { vm, with_revision }),
            1 => Just(TableEvent::OtherChange),
            2 => vm.clone().prop_map(|vm| TableEvent::Watch { vm }),
            4 => (vm.clone(), vm.clone()).prop_map(|(from, to)| TableEvent::Fetch { from, to }),
            1 => vm.prop_map(|vm| TableEvent::Restart { vm }),
        ]
        .boxed()
    }

    fn apply(mut state: StoreReference, event: &TableEvent) -> StoreReference {
        match event {
            TableEvent::Cancel { .. } => {
                state.revision += 1;
                let job = format_compact!("job-{}", state.revision);
                state.cancelled.push((state.revision, job));
            }
            TableEvent::OtherChange => state.revision += 1,
            _ => {}
        }
        state
    }
}

struct TableTest;

impl StateMachineTest for TableTest {
    type SystemUnderTest = Vec<CancellationTable>;
    type Reference = StoreReference;

    fn init_test(_state: &StoreReference) -> Vec<CancellationTable> {
        vec![CancellationTable::default(); VMS]
    }

    fn apply(
        mut tables: Vec<CancellationTable>,
        state: &StoreReference,
        event: TableEvent,
    ) -> Vec<CancellationTable> {
        match event {
            TableEvent::Cancel { vm, with_revision } => {
                let (revision, job) = state.cancelled.last().expect("cancellation");
                let revision = match with_revision {
                    true => *revision,
                    false => UNKNOWN_REVISION,
                };
                tables[vm].insert(cancellation(revision, job));
            }
            TableEvent::Watch { vm } => {
                let through = tables[vm].through();
                let newer = state.cancelled.iter().filter(|entry| entry.0 > through);
                let newer = newer.map(|(revision, job)| cancellation(*revision, job));
                tables[vm].apply(newer.collect(), state.revision);
            }
            TableEvent::Fetch { from, to } => {
                let through = tables[to].through();
                if tables[from].through() > through {
                    let newer = tables[from].since(through).cloned().collect();
                    let complete = tables[from].through();
                    tables[to].apply(newer, complete);
                }
            }
            TableEvent::Restart { vm } => tables[vm] = CancellationTable::default(),
            TableEvent::OtherChange => {}
        }
        tables
    }

    fn check_invariants(tables: &Vec<CancellationTable>, state: &StoreReference) {
        for table in tables {
            let through = table.through();
            for (revision, job) in state.cancelled.iter().filter(|entry| entry.0 <= through) {
                assert!(table.contains(job), "{job} at {revision} of {through}");
                assert!(table.since(revision - 1).any(|known| known.job == *job));
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(44),
        ..ProptestConfig::default()
    })]

    // Guards against UNASKED: a table's revision moved past a cancellation that the table never received.
    #[test]
    fn tables_hold_every_cancellation_up_to_their_revision(sequential 1..50 => TableTest);
}
