//! Each item of a small batch job has one result, and results keep their positions, whichever runners run
//! the job.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::job::{
    split_items,
    ItemPhase,
    JobCheckpoint,
    JobItem,
    JobOutcome,
    JobProgress,
    JobResult,
    OutputFault,
    PartialOutput,
    ResultChunk,
    StartedRun, //
};
use compact_str::{
    format_compact,
    CompactString, //
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

const RUNNERS: usize = 3;
const ITEMS: usize = 5;
const EVENTS: u64 = 4;
const ATTEMPTS: u32 = 3;
const FAILING_ITEM: usize = 2;
const VERSION: u64 = 1;

fn item_id(index: usize) -> CompactString {
    format_compact!("item-{index}")
}

fn new_progress() -> JobProgress {
    let ids: Vec<CompactString> = (0..ITEMS).map(item_id).collect();
    JobProgress::new(ids.iter())
}

/// Starts a run of a waiting item at a server of the usual version.
fn start(progress: &mut JobProgress, item: usize) -> StartedRun {
    progress.start_item(item, VERSION).expect("waiting item")
}

/// Returns events of an item as received.
fn events(item: usize, numbers: std::ops::Range<u64>) -> Vec<u8> {
    let events: String = numbers.map(|number| event(item, number)).collect();
    events.into_bytes()
}

fn event_text(item: usize, event: u64) -> String {
    format!("{item}.{event}")
}

fn event(item: usize, event: u64) -> String {
    format!("id: {event}\ndata: {}\n\n", event_text(item, event))
}

fn full_text(item: usize) -> String {
    let events: Vec<String> = (0..EVENTS).map(|event| event_text(item, event)).collect();
    events.join("\n")
}

// Guards against LOST: a VM that had stopped a cancelled job kept it, and its shorter list, although another VM had listed
// more of its results.
#[test]
fn job_is_given_up_to_the_runner_that_has_stored_more() {
    // arrange
    let result = |item| JobResult {
        id: item_id(item),
        outcome: JobOutcome::Completed,
        text: "0.0".into(),
    };
    let chunk = |items: std::ops::Range<usize>| ResultChunk {
        runner: "vm-1.1".into(),
        results: items.map(result).collect(),
    };
    let mut open = new_progress();
    open.adopt_chunk(0, &chunk(0..1));
    let mut cancelled = open.clone();
    cancelled.cancel();
    let mut complete = open.clone();
    complete.adopt_chunk(1, &chunk(1..ITEMS));

    // act
    let yields = |progress: &JobProgress| {
        let cases = [(0, true), (1, false), (1, true), (2, false)];
        cases.map(|(chunks, is_preferred)| progress.yields_to(chunks, is_preferred))
    };

    // assert
    assert_eq!(yields(&open), [false, false, true, true]);
    assert_eq!(yields(&cancelled), [false, false, false, true]);
    assert_eq!(yields(&complete), [false; 4]);
    assert!(!complete.yields_to(3, true));
}

// Guards against ORDER: a comment counted as an event. Before the first event it made an item go on after event 0, which
// was never received; later it added an empty line to the text.
#[test]
fn comments_in_a_stream_are_no_output_of_an_item() {
    // arrange
    let mut progress = new_progress();
    let first = start(&mut progress, 0);

    // act
    let mut extended = progress.extend(0, first.number, b": one moment\n\n");
    let output = progress.output_version(0);
    progress.pause(0, first.number, None);
    let run = start(&mut progress, 0);
    for number in 0..EVENTS {
        let received = format!("{}: more\n\n", event(0, number));
        extended = extended.and(progress.extend(0, run.number, received.as_bytes()));
    }
    progress.complete(0, run.number);
    let (_, chunk) = progress.next_chunk("runner").expect("chunk");

    // assert
    assert_eq!((output, run.last, extended), (None, None, Ok(())));
    assert_eq!(chunk.results[0].text, full_text(0));
}

// Guards against ORDER: two runs of one item wrote into one text. A run that had ended with an error response was still
// open, and preempting it paused the run after it, which went on reading beside a third one.
#[test]
fn run_that_was_replaced_changes_nothing_of_the_next_one() {
    // arrange: the first run fails, and the second one receives an event
    let now = Instant::now();
    let mut progress = new_progress();
    let first = start(&mut progress, 0).number;
    progress.fail(0, first, ATTEMPTS, now);
    let second = start(&mut progress, 0).number;
    let extended = progress.extend(0, second, &events(0, 0..1));

    // act: everything that the first run can do
    let changes = [
        progress.pause(0, first, None),
        progress.record_silence(0, first),
        progress.fail(0, first, 1, now),
        progress.discard(0, first, now),
        progress.reject(0, first),
        progress.complete(0, first),
    ];
    let late = progress.extend(0, first, &events(0, 1..2));
    let third = progress.start_item(0, VERSION);

    // assert
    assert_eq!(changes, [false; 6]);
    assert_eq!((extended, late), (Ok(()), Err(OutputFault::RunReplaced)));
    assert_eq!(third, None);
    assert!(!progress.startable(now).contains(&0));
    assert_eq!(progress.phase(0), ItemPhase::Running);
    assert_eq!(progress.output_bytes(0), event_text(0, 0).len());
    assert_eq!(progress.silence_limit(0), Duration::from_millis(1500));
}

// Guards against ORDER: events were appended to a text without a look at the event before them.
#[test]
fn events_that_do_not_continue_the_output_are_not_appended() {
    for faulty in [0..1, 1..2, 3..4] {
        // arrange
        let mut progress = new_progress();
        let run = start(&mut progress, 0).number;
        progress
            .extend(0, run, &events(0, 0..2))
            .expect("first events");
        let known = progress.checkpoint();

        // act: a correct event before them doesn't help
        let alone = progress.extend(0, run, &events(0, faulty.clone()));
        let joined = [events(0, 2..3), events(0, faulty), b"data: x\n\n".to_vec()].concat();
        let joined = progress.extend(0, run, &joined);

        // assert
        assert_eq!([alone, joined], [Err(OutputFault::OutOfSequence); 2]);
        assert_eq!(progress.checkpoint(), known);
    }
}

// Guards against ORDER: an event without a number counted as event 0 for the run that went on after it.
#[test]
fn events_without_numbers_are_no_output() {
    // arrange
    let mut progress = new_progress();
    let run = start(&mut progress, 0).number;

    // act
    let extended = progress.extend(0, run, b"data: a\n\ndata: b\n\n");

    // assert
    assert_eq!(extended, Err(OutputFault::OutOfSequence));
    assert_eq!(progress.output_bytes(0), 0);
}

/// Event in the simulated life of a job.
#[derive(Clone, Debug)]
enum JobEvent {
    /// A runner receives some events of an item, which completes with the last one.
    Run {
        runner: usize,
        item: usize,
        events: u64,
    },
    /// The item fails at a backend server.
    Fail { runner: usize, item: usize },
    /// A runner stores results; the store's response may be lost.
    StoreChunk { runner: usize, lost: bool },
    /// A runner stores a checkpoint.
    Checkpoint { runner: usize },
    /// A VM takes the job over, whether or not another VM runs it.
    Takeover { runner: usize },
    /// A runner's process crashes and loses its state.
    Crash { runner: usize },
    /// The client cancels the job at one runner.
    Cancel { runner: usize },
}

/// Reference without state: the expected result of every item is fixed.
#[derive(Clone, Debug)]
struct JobReference;

impl ReferenceStateMachine for JobReference {
    type State = ();
    type Transition = JobEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<JobEvent> {
        prop_oneof![
            10 => (0..RUNNERS, 0..ITEMS, 1..=EVENTS)
                .prop_map(|(runner, item, events)| JobEvent::Run { runner, item, events }),
            2 => (0..RUNNERS).prop_map(|runner| JobEvent::Fail { runner, item: FAILING_ITEM }),
            6 => (0..RUNNERS, any::<bool>())
                .prop_map(|(runner, lost)| JobEvent::StoreChunk { runner, lost }),
            2 => (0..RUNNERS).prop_map(|runner| JobEvent::Checkpoint { runner }),
            3 => (0..RUNNERS).prop_map(|runner| JobEvent::Takeover { runner }),
            2 => (0..RUNNERS).prop_map(|runner| JobEvent::Crash { runner }),
            1 => (0..RUNNERS).prop_map(|runner| JobEvent::Cancel { runner }),
        ]
        .boxed()
    }

    fn apply((): (), _: &JobEvent) {}
}

/// One process that runs the job.
struct RunnerModel {
    name: CompactString,
    progress: JobProgress,
}

/// Simulated store and runners.
struct JobModel {
    chunks: Vec<ResultChunk>,
    checkpoint: JobCheckpoint,
    runners: Vec<Option<RunnerModel>>,
    starts: u32,
    last_listing: Vec<String>, // Results stored after the last event, by position.
}

impl JobModel {
    fn new() -> JobModel {
        let mut model = JobModel {
            chunks: Vec::new(),
            checkpoint: JobCheckpoint::default(),
            runners: (0..RUNNERS).map(|_| None).collect(),
            starts: 0,
            last_listing: Vec::new(),
        };
        model.runners[0] = Some(RunnerModel {
            name: "accepted".into(),
            progress: new_progress(),
        });
        model
    }

    fn progress(&mut self, runner: usize) -> Option<&mut JobProgress> {
        self.runners[runner]
            .as_mut()
            .map(|model| &mut model.progress)
    }

    fn run(&mut self, runner: usize, item: usize, count: u64) {
        let Some(progress) = self.progress(runner) else {
            return;
        };
        if !progress.startable(Instant::now()).contains(&item) {
            return;
        }
        let run = start(progress, item);
        let next = run.last.map_or(0, |last| last + 1);
        let end = (next + count).min(EVENTS);
        progress
            .extend(item, run.number, &events(item, next..end))
            .expect("events in sequence");
        if end == EVENTS {
            progress.complete(item, run.number);
        } else {
            progress.pause(item, run.number, None);
        }
    }

    fn fail(&mut self, runner: usize, item: usize) {
        let now = Instant::now();
        let Some(progress) = self.progress(runner) else {
            return;
        };
        if progress.startable(now).contains(&item) {
            let run = start(progress, item).number;
            progress.fail(item, run, ATTEMPTS, now);
        }
    }

    fn store_chunk(&mut self, runner: usize, lost: bool) {
        let Some(model) = &mut self.runners[runner] else {
            return;
        };
        let Some((number, chunk)) = model.progress.next_chunk(&model.name) else {
            return;
        };
        let index = number as usize;
        if index == self.chunks.len() {
            self.chunks.push(chunk.clone());
            if lost {
                return;
            }
        }
        let stored = self.chunks[index].clone();
        if stored.runner == model.name {
            // Its own chunk; the response to an earlier attempt was lost.
            assert_eq!(stored, chunk);
            model.progress.adopt_chunk(number, &stored);
        } else {
            self.runners[runner] = None;
        }
    }

    fn take_over_job(&mut self, runner: usize) {
        self.starts += 1;
        let mut progress = new_progress();
        for (number, chunk) in (0..).zip(&self.chunks) {
            progress.adopt_chunk(number, chunk);
        }
        progress.adopt_checkpoint(self.checkpoint.clone());
        let fence = ResultChunk {
            runner: format_compact!("start-{}", self.starts),
            results: Vec::new(),
        };
        progress.adopt_chunk(progress.chunks(), &fence);
        self.chunks.push(fence.clone());
        self.runners[runner] = Some(RunnerModel {
            name: fence.runner,
            progress,
        });
    }

    fn checkpoint(&mut self, runner: usize) {
        if let Some(progress) = self.progress(runner) {
            self.checkpoint = progress.checkpoint();
        }
    }

    fn listing(&self) -> Vec<String> {
        let results = self.chunks.iter().flat_map(|chunk| &chunk.results);
        results
            .map(|result| format!("{} {:?} {}", result.id, result.outcome, result.text))
            .collect()
    }
}

struct JobTest;

impl StateMachineTest for JobTest {
    type SystemUnderTest = JobModel;
    type Reference = JobReference;

    fn init_test((): &()) -> JobModel {
        JobModel::new()
    }

    fn apply(mut model: JobModel, (): &(), event: JobEvent) -> JobModel {
        match event {
            JobEvent::Run {
                runner,
                item,
                events,
            } => model.run(runner, item, events),
            JobEvent::Fail { runner, item } => model.fail(runner, item),
            JobEvent::StoreChunk { runner, lost } => model.store_chunk(runner, lost),
            JobEvent::Checkpoint { runner } => model.checkpoint(runner),
            JobEvent::Takeover { runner } => model.take_over_job(runner),
            JobEvent::Crash { runner } => model.runners[runner] = None,
            JobEvent::Cancel { runner } => {
                if let Some(progress) = model.progress(runner) {
                    progress.cancel();
                }
            }
        }
        let listing = model.listing();
        for runner in model.runners.iter().flatten() {
            let shown = runner.progress.listed();
            for (position, result) in shown.iter().enumerate() {
                let line = format!("{} {:?} {}", result.id, result.outcome, result.text);
                // Every result that a runner lists is stored at the same position.
                assert_eq!(listing.get(position), Some(&line));
            }
        }
        assert!(
            listing.starts_with(&model.last_listing),
            "the result at a position has changed"
        );
        model.last_listing = listing;
        model
    }

    fn check_invariants(model: &JobModel, (): &()) {
        let results = model.chunks.iter().flat_map(|chunk| &chunk.results);
        let mut ids: Vec<&CompactString> = Vec::new();
        for result in results {
            assert!(!ids.contains(&&result.id), "{} has two results", result.id);
            ids.push(&result.id);
            let item: usize = result.id["item-".len()..].parse().expect("index");
            match result.outcome {
                JobOutcome::Completed => assert_eq!(result.text, full_text(item)),
                JobOutcome::Failed => assert_eq!(item, FAILING_ITEM),
            }
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn items_finish_once_and_positions_are_stable(sequential 1..60 => JobTest);
}

#[test]
fn job_without_faults_completes_with_full_texts() {
    // arrange
    let mut model = JobModel::new();

    // act
    for item in 0..ITEMS {
        model.run(0, item, 1);
        model.run(0, item, EVENTS);
    }
    model.store_chunk(0, false);

    // assert
    let progress = model.progress(0).expect("runner");
    assert!(progress.is_complete());
    assert!(progress
        .listed()
        .iter()
        .all(|result| result.outcome == JobOutcome::Completed));
}

#[test]
fn failing_item_is_abandoned_and_blocks_no_other() {
    // arrange
    let mut model = JobModel::new();

    // act
    for _ in 0..ATTEMPTS {
        model.fail(0, FAILING_ITEM);
    }
    for item in (0..ITEMS).filter(|&item| item != FAILING_ITEM) {
        model.run(0, item, EVENTS);
    }
    model.store_chunk(0, false);

    // assert
    let progress = model.progress(0).expect("runner");
    assert!(progress.is_complete());
    assert_eq!(progress.phase(FAILING_ITEM), ItemPhase::Listed);
}

#[test]
fn previous_runner_is_fenced_after_a_takeover() {
    // arrange
    let mut model = JobModel::new();
    model.run(0, 1, EVENTS);

    // act: another VM takes the job over before the first runner stores its result
    model.take_over_job(1);
    model.store_chunk(0, false);

    // assert
    assert!(model.runners[0].is_none());
    assert!(model.listing().is_empty());
}

#[test]
fn new_runner_continues_from_the_checkpoint() {
    // arrange
    let mut model = JobModel::new();
    model.run(0, 3, 2);
    model.run(0, 4, EVENTS);
    model.checkpoint(0);

    // act
    model.runners[0] = None;
    model.take_over_job(2);
    let progress = model.progress(2).expect("runner");

    // assert
    assert_eq!(
        progress.phase(4),
        ItemPhase::Finished(JobOutcome::Completed)
    );
    assert_eq!(start(progress, 3).last, Some(1));
}

#[test]
fn output_of_another_software_version_is_discarded() {
    // arrange
    let mut progress = JobProgress::new([item_id(0)].iter());
    let run = start(&mut progress, 0).number;
    let extended = progress.extend(0, run, &events(0, 0..1));
    progress.pause(0, run, None);
    let known = progress.output_version(0);

    // act
    let resumed = start(&mut progress, 0);
    progress.pause(0, resumed.number, None);
    let begun = progress.start_item(0, VERSION + 1).expect("waiting item");

    // assert
    assert_eq!(extended, Ok(()));
    assert_eq!(
        (known, resumed.last, begun.last),
        (Some(VERSION), Some(0), None)
    );
    assert_eq!(
        (progress.output_bytes(0), progress.output_version(0)),
        (0, None)
    );
}

#[test]
fn output_of_an_unknown_software_version_goes_on_only_if_one_version_is_certain() {
    // arrange
    let mut progress = JobProgress::new([item_id(0)].iter());
    let output = PartialOutput {
        last: 3,
        text: "a".into(),
        ..PartialOutput::default()
    };

    // act
    progress.adopt_checkpoint(JobCheckpoint {
        outputs: vec![output],
    });

    let known = progress.output_version(0);
    let mut assumed = progress.clone();
    assumed.assume_version(0, VERSION);

    // assert
    assert_eq!(known, None);
    assert_eq!(start(&mut progress, 0).last, None);
    assert_eq!(start(&mut assumed, 0).last, Some(3));
}

#[test]
fn cancelled_job_starts_no_items_and_keeps_listed_results() {
    // arrange
    let mut model = JobModel::new();
    model.run(0, 0, EVENTS);
    model.store_chunk(0, false);

    // act
    let progress = model.progress(0).expect("runner");
    progress.cancel();

    // assert
    assert!(progress.startable(Instant::now()).is_empty());
    assert!(progress.is_closed());
    assert_eq!(progress.listed().len(), 1);
}

#[test]
fn large_submissions_are_split_into_parts_under_the_limit() {
    // arrange
    let item = |size: usize| JobItem {
        body: vec![0; size].into(),
        ..Default::default()
    };

    // act
    let parts = split_items(vec![item(40), item(50), item(20), item(200), item(1)], 100);

    // assert
    let sizes: Vec<usize> = parts.iter().map(|part| part.items.len()).collect();
    assert_eq!(sizes, [2, 1, 1, 1]);
}

/// Guards against an item that makes one event of progress a run, since each of its servers is silent for a time.
#[test]
fn item_waits_longer_after_each_run_that_a_silent_server_interrupted() {
    // arrange
    let mut progress = new_progress();

    // act
    let limits: Vec<Duration> = (0..6)
        .map(|_| {
            let limit = progress.silence_limit(0);
            let run = start(&mut progress, 0).number;
            progress.record_silence(0, run);
            progress.pause(0, run, None);
            limit
        })
        .collect();
    let other = progress.silence_limit(1);

    // assert
    let expected = [1500, 3000, 6000, 12_000, 12_000, 12_000];
    assert_eq!(limits, expected.map(Duration::from_millis));
    assert_eq!(other, Duration::from_millis(1500));
}

// Guards against BUDGET: each runner of a job sent an item that can never be done to one more server.
#[test]
fn new_runner_adopts_the_items_that_were_abandoned() {
    // arrange
    let mut first = new_progress();
    let run = start(&mut first, FAILING_ITEM).number;
    first.reject(FAILING_ITEM, run);

    // act
    let mut second = new_progress();
    second.adopt_abandoned(&[FAILING_ITEM, ITEMS + 7]);

    // assert
    assert_eq!(first.abandoned(), [FAILING_ITEM]);
    assert_eq!(second.abandoned(), [FAILING_ITEM]);
    assert!(!second.startable(Instant::now()).contains(&FAILING_ITEM));
    let (number, chunk) = second.next_chunk("runner").expect("chunk");
    assert_eq!((number, chunk.results.len()), (0, 1));
    assert_eq!(chunk.results[0].outcome, JobOutcome::Failed);
}
