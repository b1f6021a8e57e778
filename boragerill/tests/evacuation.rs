//! Tests of the table of evacuated failure domains: its list is the store's at the revision up to which it is complete,
//! whichever way it arrived.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    backend::Revision,
    evacuation::{
        DomainEvacuation,
        DomainState,
        EvacuationChange,
        EvacuationEntry,
        EvacuationTable,
        PauseDetector, //
    },
    rank::hash_name, //
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

const VMS: usize = 4;

const DOMAINS: [&str; 4] = ["domain-0", "domain-1", "domain-2", "domain-3"];

fn evacuation(domain: &str, revision: Revision) -> DomainEvacuation {
    DomainEvacuation {
        domain: domain.into(),
        revision,
    }
}

fn written(domain: &str, revision: Revision) -> EvacuationEntry {
    EvacuationEntry {
        domain: domain.into(),
        revision,
        removed: false,
    }
}

fn removed(domain: &str, revision: Revision) -> EvacuationEntry {
    EvacuationEntry {
        removed: true,
        ..written(domain, revision)
    }
}

fn change(domain: &str, begins: bool) -> EvacuationChange {
    EvacuationChange {
        domain: domain.into(),
        begins,
    }
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

// Guards against requests to an evacuated domain after a listing, or a response of another VM, that was sent before the
// entry was written has arrived late.
#[test]
fn older_list_does_not_replace_a_newer_one() {
    // arrange
    let mut table = EvacuationTable::default();
    table.replace(Vec::new(), 5);
    table.apply(vec![written("domain-1", 8)], 8);

    // act
    let listed = table.replace(Vec::new(), 7);
    let applied = table.apply(vec![removed("domain-1", 6)], 6);

    // assert
    assert!(listed.is_empty());
    assert!(applied.is_empty());
    assert_eq!(table.through(), 8);
    assert_eq!(table.state("domain-1"), DomainState::Evacuated);
}

// Guards against a second begin or end of the same evacuation, which would extend the warm-up of its servers.
#[test]
fn entry_that_is_written_or_removed_twice_has_no_further_effect() {
    // arrange
    let mut table = EvacuationTable::default();

    // act
    let first = table.apply(vec![written("domain-1", 2)], 2);
    let again = table.apply(vec![written("domain-1", 3)], 3);
    let listed_twice = vec![evacuation("domain-1", 3), evacuation("domain-1", 3)];
    let listed = table.replace(listed_twice, 4);
    let gone = table.apply(vec![removed("domain-1", 5)], 5);
    let gone_again = table.apply(vec![removed("domain-1", 6), removed("domain-9", 6)], 6);

    // assert
    assert_eq!(first, [change("domain-1", true)]);
    assert_eq!(gone, [change("domain-1", false)]);
    assert!(again.is_empty() && listed.is_empty() && gone_again.is_empty());
    assert!(table.entries().is_empty());
}

// Guards against a VM that starts while a domain is evacuated and takes an empty table for a list.
#[test]
fn table_without_a_list_takes_the_first_one_whole() {
    // arrange
    let mut table = EvacuationTable::default();
    let through_before = table.through();

    // act
    let domains = DOMAINS.map(|domain| evacuation(domain, 3));
    let changes = table.replace(domains.to_vec(), 9);

    // assert
    assert_eq!(through_before, 0);
    assert_eq!(changes, DOMAINS.map(|domain| change(domain, true)));
    let states = DOMAINS.map(|domain| table.state(domain));
    assert_eq!(states, [DomainState::Evacuated; 4]);
    assert_eq!(table.state("domain-unknown"), DomainState::Open);
}

// Guards against requests of a VM that is behind to a domain that was evacuated since, and against an old statement that
// keeps a domain out of use after its evacuation has ended.
#[test]
fn domain_in_a_stated_newer_list_is_doubtful_until_the_list_arrives() {
    // arrange
    let mut table = EvacuationTable::default();
    table.replace(Vec::new(), 5);
    let stated = [hash_name("domain-2")];

    // act
    let is_old_news = table.record_stated(5, &[hash_name("domain-1")]);
    let is_news = table.record_stated(9, &stated);
    let is_older_news = table.record_stated(7, &[]);
    let behind = DOMAINS.map(|domain| table.state(domain));
    table.replace(Vec::new(), 8);
    let still_behind = table.state("domain-2");
    table.replace(Vec::new(), 9);
    let current = table.state("domain-2");

    // assert
    use DomainState::{
        Doubtful,
        Open, //
    };
    assert_eq!((is_old_news, is_news, is_older_news), (false, true, false));
    assert_eq!(behind, [Open, Open, Doubtful, Open]);
    assert_eq!((still_behind, current), (Doubtful, Open));
}

// Guards against a domain that is used again since a VM that is ahead states a list without it, although the VM itself
// has not seen the end of the evacuation.
#[test]
fn evacuation_ends_only_by_a_list_not_by_a_statement() {
    // arrange
    let mut table = EvacuationTable::default();
    table.replace(vec![evacuation("domain-1", 4)], 5);

    // act
    table.record_stated(9, &[]);

    // assert
    assert_eq!(table.state("domain-1"), DomainState::Evacuated);
    assert!(table.has_newer_list());
}

// Guards against requests that a VM sends by an old list when it runs again after a pause.
#[test]
fn nothing_is_sent_after_a_pause_until_the_list_is_confirmed() {
    // arrange
    let start = Instant::now();
    let mut detector = PauseDetector::new(start);
    detector.tick(start + milliseconds(100));
    let resumed = start + milliseconds(9000);

    // act
    let before = detector.is_held(Some(start), start + milliseconds(200));
    let before_tick = detector.is_held(Some(start), resumed);
    detector.tick(resumed);
    let unconfirmed = detector.is_held(Some(start), resumed + milliseconds(100));
    let confirmed = detector.is_held(
        Some(resumed + milliseconds(50)),
        resumed + milliseconds(100),
    );
    let cut_off = detector.is_held(Some(start), resumed + milliseconds(600));

    // assert
    assert!(!before);
    assert!(before_tick && unconfirmed);
    assert!(!confirmed);
    assert!(!cut_off, "a VM that is cut off follows its last list");
}

/// Events of the store and of VMs.
#[derive(Clone, Debug)]
enum TableEvent {
    /// The operator writes an entry.
    Write { domain: usize },
    /// The operator removes an entry, if there is one.
    Remove { domain: usize },
    /// An object of another kind changes.
    OtherChange,
    /// A VM receives the changes since the last ones that it received from the store.
    Watch { vm: usize },
    /// A VM receives a list that the store made at an earlier revision.
    List { vm: usize, age: u64 },
    /// A VM receives the list of another one.
    Fetch { from: usize, to: usize },
    /// A VM receives a heartbeat of another one.
    Heartbeat { from: usize, to: usize },
    /// The process of a VM restarts.
    Restart { vm: usize },
}

/// Entries in the store, and all their changes.
#[derive(Clone, Debug, Default)]
struct StoreReference {
    revision: Revision,
    history: Vec<EvacuationEntry>,
}

impl StoreReference {
    /// Returns the evacuations at a revision, sorted by domain.
    fn at(&self, revision: Revision) -> Vec<DomainEvacuation> {
        let mut entries: Vec<DomainEvacuation> = Vec::new();
        for change in self.history.iter().filter(|e| e.revision <= revision) {
            entries.retain(|entry| entry.domain != change.domain);
            if !change.removed {
                entries.push(evacuation(&change.domain, change.revision));
            }
        }
        entries.sort_by(|a, b| a.domain.cmp(&b.domain));
        entries
    }

    fn since(&self, revision: Revision) -> Vec<EvacuationEntry> {
        let changes = self.history.iter();
        let changes = changes.filter(|change| change.revision > revision);
        changes.cloned().collect()
    }
}

impl ReferenceStateMachine for StoreReference {
    type State = StoreReference;
    type Transition = TableEvent;

    fn init_state() -> BoxedStrategy<StoreReference> {
        Just(StoreReference {
            revision: 1,
            ..StoreReference::default()
        })
        .boxed()
    }

    fn transitions(_state: &StoreReference) -> BoxedStrategy<TableEvent> {
        let vm = 0..VMS;
        let domain = 0..DOMAINS.len();
        let pair = (vm.clone(), vm.clone());
        prop_oneof![
            3 => domain.clone().prop_map(|domain| TableEvent::Write { domain }),
            3 => domain.prop_map(|domain| TableEvent::Remove { domain }),
            1 => Just(TableEvent::OtherChange),
            3 => vm.clone().prop_map(|vm| TableEvent::Watch { vm }),
            2 => (vm.clone(), 0_u64..4).prop_map(|(vm, age)| TableEvent::List { vm, age }),
            4 => pair.clone().prop_map(|(from, to)| TableEvent::Fetch { from, to }),
            3 => pair.prop_map(|(from, to)| TableEvent::Heartbeat { from, to }),
            1 => vm.prop_map(|vm| TableEvent::Restart { vm }),
        ]
        .boxed()
    }

    fn apply(mut state: StoreReference, event: &TableEvent) -> StoreReference {
        match event {
            TableEvent::Write { domain } => {
                state.revision += 1;
                let entry = written(DOMAINS[*domain], state.revision);
                state.history.push(entry);
            }
            TableEvent::Remove { domain } => {
                state.revision += 1;
                let entry = removed(DOMAINS[*domain], state.revision);
                state.history.push(entry);
            }
            TableEvent::OtherChange => state.revision += 1,
            _ => {}
        }
        state
    }
}

/// Table of one VM, and up to which revision it has received changes from the store.
#[derive(Clone, Debug, Default)]
struct VmTable {
    table: EvacuationTable,
    watched: Option<Revision>,
}

impl VmTable {
    /// Applies what `update` returns, and checks that it states each begin and end once.
    fn update(&mut self, update: impl FnOnce(&mut EvacuationTable) -> Vec<EvacuationChange>) {
        let before = self.table.clone();
        for change in update(&mut self.table) {
            let is_begun = |table: &EvacuationTable| {
                let mut entries = table.entries().iter();
                entries.any(|entry| entry.domain == change.domain)
            };
            assert_eq!(is_begun(&before), !change.begins);
            assert_eq!(is_begun(&self.table), change.begins);
        }
    }
}

struct TableTest;

impl StateMachineTest for TableTest {
    type SystemUnderTest = Vec<VmTable>;
    type Reference = StoreReference;

    fn init_test(_state: &StoreReference) -> Vec<VmTable> {
        vec![VmTable::default(); VMS]
    }

    fn apply(mut vms: Vec<VmTable>, state: &StoreReference, event: TableEvent) -> Vec<VmTable> {
        match event {
            TableEvent::Watch { vm } => {
                if let Some(watched) = vms[vm].watched.replace(state.revision) {
                    let changes = state.since(watched);
                    vms[vm].update(|table| table.apply(changes, state.revision));
                } else {
                    let entries = state.at(state.revision);
                    vms[vm].update(|table| table.replace(entries, state.revision));
                }
            }
            TableEvent::List { vm, age } => {
                let revision = state.revision.saturating_sub(age).max(1);
                let entries = state.at(revision);
                vms[vm].watched = Some(revision);
                vms[vm].update(|table| table.replace(entries, revision));
            }
            TableEvent::Fetch { from, to } => {
                let source = vms[from].table.clone();
                let entries = source.entries().to_vec();
                vms[to].update(|table| table.replace(entries, source.through()));
            }
            TableEvent::Heartbeat { from, to } => {
                let source = vms[from].table.clone();
                let stated = source.hashes();
                vms[to].table.record_stated(source.through(), &stated);
            }
            TableEvent::Restart { vm } => vms[vm] = VmTable::default(),
            _ => {}
        }
        vms
    }

    fn check_invariants(vms: &Vec<VmTable>, state: &StoreReference) {
        for vm in vms {
            let listed = vm.table.entries().iter().map(|entry| &entry.domain);
            let expected = state.at(vm.table.through());
            let expected = expected.iter().map(|entry| &entry.domain);
            assert!(listed.eq(expected), "{:?}", vm.table);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(45),
        ..ProptestConfig::default()
    })]

    // Guards against requests to an evacuated domain: a table's revision moved past an entry that it had not received, or
    // an older list undid a newer one.
    #[test]
    fn tables_hold_the_stores_list_at_their_revision(sequential 1..60 => TableTest);
}
