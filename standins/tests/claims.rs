//! Every item of a chunk ends exactly once, whoever claims it and however holders fail.

use boragerill::{
    batch::{
        BatchItem,
        ChunkClaim,
        ItemOutcome,
        ItemResult, //
    },
    chunk::{
        ChunkRun,
        ChunkStep, //
    }, //
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
use serde_json::{
    json,
    Value, //
};
use standins::store::{
    ObjectStore,
    WriteFailure, //
};

const FEEDERS: usize = 3;
const ITEMS: usize = 70;

/// One event in the life of the feeders.
#[derive(Clone, Debug)]
enum FeederEvent {
    /// Claims the chunk; `lapsed` is the verdict on another's claim, right or wrong.
    Claim {
        feeder: usize,
        lapsed: bool,
    },
    /// Does the next step; `answer_lost` hides that a write took effect, so that it is tried again.
    Step {
        feeder: usize,
        answer_lost: bool,
    },
    /// Dies in the middle of running its items, after some of them ran.
    DieRunning {
        feeder: usize,
        ran: usize,
    },
    Die {
        feeder: usize,
    },
}

struct FeederReference;

impl ReferenceStateMachine for FeederReference {
    type State = bool;
    type Transition = FeederEvent;

    /// Draws whether the service's calls are idempotent.
    fn init_state() -> BoxedStrategy<bool> {
        any::<bool>().boxed()
    }

    fn transitions(_: &bool) -> BoxedStrategy<FeederEvent> {
        let feeder = 0..FEEDERS;
        prop_oneof![
            3 => (feeder.clone(), any::<bool>()).prop_map(|(feeder, lapsed)| FeederEvent::Claim { feeder, lapsed }),
            8 => (feeder.clone(), any::<bool>())
                .prop_map(|(feeder, answer_lost)| FeederEvent::Step { feeder, answer_lost }),
            1 => (feeder.clone(), 0..ITEMS).prop_map(|(feeder, ran)| FeederEvent::DieRunning { feeder, ran }),
            1 => feeder.prop_map(|feeder| FeederEvent::Die { feeder }),
        ]
        .boxed()
    }

    fn apply(idempotent: bool, _: &FeederEvent) -> bool {
        idempotent
    }
}

/// A feeder that holds, or believes to hold, the chunk.
struct Holder {
    version: u64,
    claim: ChunkClaim,
    run: ChunkRun,
}

/// The platform, the feeders, and the oracle: how often each item ran, and the first results seen.
struct FeederSystem {
    store: ObjectStore,
    feeders: Vec<Option<Holder>>,
    lives: usize,
    runs: Vec<u32>,
    committed: Option<Value>,
}

fn items() -> Vec<BatchItem> {
    (0..ITEMS)
        .map(|index| BatchItem {
            id: format_compact!("item-{index}"),
            body: Value::Null,
        })
        .collect()
}

impl FeederSystem {
    fn claim(&mut self, feeder: usize, lapsed: bool) {
        self.lives += 1;
        let holder = format_compact!("vm-{feeder}/{}", self.lives);
        let mut claim = ChunkClaim {
            holder: holder.clone(),
            ..Default::default()
        };
        let known = self.store.get("batchclaim", "chunk").cloned();
        let expected = match known {
            None => 0,
            Some(object) if lapsed => {
                let former: ChunkClaim = serde_json::from_value(object.spec).expect("claim");
                claim = ChunkClaim { holder, ..former };
                object.version
            }
            Some(_) => return,
        };
        let written = self
            .store
            .put("batchclaim", "chunk", Some(expected), "", json!(claim));
        let run = ChunkRun::resume(items(), &claim);
        self.feeders[feeder] = Some(Holder {
            version: written.expect("claimed"),
            claim,
            run,
        });
    }

    /// Runs the items of a range and returns their results.
    fn run_items(&mut self, feeder: usize, range: std::ops::Range<usize>) -> Vec<ItemResult> {
        let run = range.map(|index| {
            self.runs[index] += 1;
            let body = json!({"feeder": feeder, "run": self.runs[index]});
            ItemResult {
                id: format_compact!("item-{index}"),
                outcome: ItemOutcome::Answer,
                body,
            }
        });
        run.collect()
    }

    fn step(&mut self, feeder: usize, idempotent: bool, answer_lost: bool) {
        let Some(mut holder) = self.feeders[feeder].take() else {
            return;
        };
        let writes = if answer_lost { 2 } else { 1 };
        match holder.run.next_step(idempotent) {
            ChunkStep::MarkStarted { started } => {
                holder.claim.started = started;
                holder.claim.results = holder.run.results().to_vec();
                let value = json!(holder.claim);
                for _ in 0..writes {
                    match self.write_settled("batchclaim", holder.version, &value) {
                        Some(version) if !answer_lost => holder.version = version,
                        Some(version) => holder.version = version,
                        None => return,
                    }
                }
                holder.run.note_marked(started);
            }
            ChunkStep::Run(range) => {
                let results = self.run_items(feeder, range);
                holder.run.note_results(results);
            }
            ChunkStep::Commit => {
                let value = json!({ "results": holder.run.results() });
                for _ in 0..writes {
                    // A conflict means that another holder was first; its results stand.
                    self.write_settled("batchresult", 0, &value);
                }
                return;
            }
        }
        self.feeders[feeder] = Some(holder);
    }

    /// Writes as the client does: a conflict with the same value is an own earlier write.
    fn write_settled(&mut self, kind: &str, expected: u64, value: &Value) -> Option<u64> {
        match self
            .store
            .put(kind, "chunk", Some(expected), "", value.clone())
        {
            Ok(version) => Some(version),
            Err(WriteFailure::Conflict(version)) => {
                let same = self
                    .store
                    .get(kind, "chunk")
                    .is_some_and(|object| object.spec == *value);
                same.then_some(version)
            }
            Err(WriteFailure::Missing) => None,
        }
    }

    fn die_running(&mut self, feeder: usize, idempotent: bool, ran: usize) {
        if let Some(holder) = self.feeders[feeder].take() {
            if let ChunkStep::Run(range) = holder.run.next_step(idempotent) {
                let end = (range.start + ran).min(range.end);
                self.run_items(feeder, range.start..end);
            }
        }
    }
}

struct FeederTest;

impl StateMachineTest for FeederTest {
    type SystemUnderTest = FeederSystem;
    type Reference = FeederReference;

    fn init_test(_: &bool) -> FeederSystem {
        FeederSystem {
            store: ObjectStore::default(),
            feeders: (0..FEEDERS).map(|_| None).collect(),
            lives: 0,
            runs: vec![0; ITEMS],
            committed: None,
        }
    }

    fn apply(mut system: FeederSystem, &idempotent: &bool, event: FeederEvent) -> FeederSystem {
        match event {
            FeederEvent::Claim { feeder, lapsed } => system.claim(feeder, lapsed),
            FeederEvent::Step {
                feeder,
                answer_lost,
            } => system.step(feeder, idempotent, answer_lost),
            FeederEvent::DieRunning { feeder, ran } => system.die_running(feeder, idempotent, ran),
            FeederEvent::Die { feeder } => system.feeders[feeder] = None,
        }
        let results = system
            .store
            .get("batchresult", "chunk")
            .map(|object| object.spec.clone());
        if system.committed.is_none() {
            system.committed = results.clone();
        }
        assert_eq!(
            system.committed, results,
            "results changed after they were committed"
        );
        system
    }

    fn check_invariants(system: &FeederSystem, &idempotent: &bool) {
        if !idempotent {
            assert!(
                system.runs.iter().all(|&runs| runs <= 1),
                "an item ran twice"
            );
        }
        let Some(committed) = &system.committed else {
            return;
        };
        let results: Vec<ItemResult> =
            serde_json::from_value(committed["results"].clone()).expect("results");
        let ids: Vec<_> = results.iter().map(|result| result.id.clone()).collect();
        let expected: Vec<_> = items().into_iter().map(|item| item.id).collect();
        assert_eq!(ids, expected);
        for (index, result) in results.iter().enumerate() {
            let ran = system.runs[index] > 0;
            assert!(
                result.outcome == ItemOutcome::Unknown || ran,
                "item {index} has an answer and never ran"
            );
            assert!(!idempotent || result.outcome == ItemOutcome::Answer);
        }
    }
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(3))]
    #[test]
    fn items_end_exactly_once(sequential 1..60 => FeederTest);
}
