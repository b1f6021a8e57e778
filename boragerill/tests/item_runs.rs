//! The text of an item is made of its events in order, each once and all of one software version, however many runs of
//! the item are open at a time, and from whichever checkpoints a runner continues.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    job::{
        JobCheckpoint,
        JobOutcome,
        JobProgress,
        RunNumber, //
    },
    response_end::{
        BodyFraming,
        ConnectionEnd,
        EndFault,
        EndVerdict,
        OutputState,
        ProcessState,
        ResponseEnd, //
    },
    stream::EventId,
};
use compact_str::{
    format_compact,
    CompactString, //
};
use proptest::{
    prelude::*,
    sample::Index,
    strategy::ValueTree,
    test_runner::{
        RngSeed,
        TestRunner, //
    },
};
use proptest_state_machine::{
    prop_state_machine,
    ReferenceStateMachine,
    StateMachineTest, //
};

const ITEMS: usize = 2;
const EVENTS: EventId = 6;
const ATTEMPTS: u32 = 1000;

fn item_id(index: usize) -> CompactString {
    format_compact!("item-{index}")
}

fn new_progress() -> JobProgress {
    let ids: Vec<CompactString> = (0..ITEMS).map(item_id).collect();
    JobProgress::new(ids.iter())
}

fn event_text(item: usize, version: u64, event: EventId) -> String {
    format!("{item}.{version}.{event}")
}

/// Returns the text of an item after its first `count` events.
fn prefix(item: usize, version: u64, count: EventId) -> String {
    let texts: Vec<String> = (0..count)
        .map(|event| event_text(item, version, event))
        .collect();
    texts.join("\n")
}

fn framings() -> impl Strategy<Value = BodyFraming> {
    prop_oneof![Just(BodyFraming::Marked), Just(BodyFraming::Connection)]
}

/// Event in the life of items whose runs overlap.
#[derive(Clone, Debug)]
enum RunEvent {
    /// An item starts at a server, if it waits.
    Start { item: usize, version: u64 },
    /// A run receives events, as long as there are any left.
    Receive { run: Index, count: EventId },
    /// A run receives its next event again, or misses one.
    ReceiveWrong { run: Index, skipped: bool },
    /// A run is preempted or interrupted.
    Pause { run: Index },
    /// The server of a run answers with an error.
    Fail { run: Index },
    /// A run finds its output unusable.
    Discard { run: Index },
    /// The response of a run ends after its last event, or its server breaks it off before its first one.
    End { run: Index, framing: BodyFraming },
    /// The runner stores a checkpoint.
    Checkpoint,
    /// Another runner continues from two of the checkpoints.
    Takeover { first: Index, second: Index },
}

/// Reference without state: the text of an item is fixed for each version.
#[derive(Clone, Debug)]
struct RunReference;

impl ReferenceStateMachine for RunReference {
    type State = ();
    type Transition = RunEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<RunEvent> {
        let run = any::<Index>;
        prop_oneof![
            6 => (0..ITEMS, 1..=2_u64).prop_map(|(item, version)| RunEvent::Start { item, version }),
            8 => (run(), 1..=3_u64).prop_map(|(run, count)| RunEvent::Receive { run, count }),
            1 => (run(), any::<bool>())
                .prop_map(|(run, skipped)| RunEvent::ReceiveWrong { run, skipped }),
            4 => run().prop_map(|run| RunEvent::Pause { run }),
            2 => run().prop_map(|run| RunEvent::Fail { run }),
            1 => run().prop_map(|run| RunEvent::Discard { run }),
            4 => (run(), framings()).prop_map(|(run, framing)| RunEvent::End { run, framing }),
            2 => Just(RunEvent::Checkpoint),
            1 => (run(), run()).prop_map(|(first, second)| RunEvent::Takeover { first, second }),
        ]
        .boxed()
    }

    fn apply((): (), _: &RunEvent) {}
}

/// A run whose response is still read, whether or not it is the current run of its item.
#[derive(Clone, Debug)]
struct OpenRun {
    item: usize,
    number: RunNumber,
    version: u64,
    begun_after: Option<EventId>,
    next: EventId,
}

impl OpenRun {
    /// Returns whether the run has brought an event.
    fn has_output(&self) -> bool {
        self.next > self.begun_after.map_or(0, |last| last + 1)
    }

    fn events(&self, numbers: std::ops::Range<EventId>) -> Vec<u8> {
        let events: String = numbers
            .map(|event| {
                let text = event_text(self.item, self.version, event);
                format!("id: {event}\ndata: {text}\n\n")
            })
            .collect();
        events.into_bytes()
    }
}

/// A runner with its open runs, and the checkpoints that runners have stored.
struct RunModel {
    progress: JobProgress,
    runs: Vec<OpenRun>,
    checkpoints: Vec<JobCheckpoint>,
}

impl RunModel {
    fn start(&mut self, item: usize, version: u64) {
        if let Some(run) = self.progress.start_item(item, version) {
            self.runs.push(OpenRun {
                item,
                number: run.number,
                version,
                begun_after: run.last,
                next: run.last.map_or(0, |last| last + 1),
            });
        }
    }

    /// Returns an open run.
    fn select(&mut self, run: &Index) -> Option<&mut OpenRun> {
        (!self.runs.is_empty()).then(|| run.get_mut(&mut self.runs))
    }

    fn receive(&mut self, run: &Index, count: EventId) {
        let Some(run) = self.select(run) else {
            return;
        };
        let end = (run.next + count).min(EVENTS);
        let events = run.events(run.next..end);
        run.next = end;
        let (item, number) = (run.item, run.number);
        // A run that was replaced goes on reading until it is told.
        let _ = self.progress.extend(item, number, &events);
    }

    fn receive_wrong(&mut self, run: &Index, skipped: bool) {
        let Some(run) = self.select(run).map(|run| run.clone()) else {
            return;
        };
        let wrong = match skipped {
            true => run.next + 1,
            false => run.next.saturating_sub(1),
        };
        // The first event of a text is any one that the server begins with.
        if run.next > 0 {
            let events = run.events(wrong..wrong + 1);
            let extended = self.progress.extend(run.item, run.number, &events);
            assert!(extended.is_err(), "event {wrong} added to {run:?}");
        }
    }

    fn change(
        &mut self,
        run: &Index,
        change: impl FnOnce(&mut JobProgress, usize, RunNumber) -> bool,
    ) {
        let Some(run) = self.select(run).map(|run| run.clone()) else {
            return;
        };
        change(&mut self.progress, run.item, run.number);
    }

    /// Ends the response of a run whose server goes on. A marked end is the end of the output. What a server breaks off
    /// between two events can't be told from its end, so it does that only before the first one.
    fn end(&mut self, run: &Index, framing: BodyFraming) {
        let Some(open) = self.select(run).map(|run| run.clone()) else {
            return;
        };
        let is_whole = open.next == EVENTS;
        let is_cut = !open.has_output() && framing == BodyFraming::Connection;
        if !is_whole && !is_cut {
            return;
        }
        let output = match (open.has_output(), open.begun_after) {
            (true, _) => OutputState::Received,
            (false, None) => OutputState::Missing,
            (false, Some(_)) => OutputState::Empty { can_be_shown: true },
        };
        let end = ResponseEnd {
            framing,
            output,
            connection: Some(ConnectionEnd::Regular),
            process: Some(ProcessState::Running),
            may_run_again: true,
        };
        let now = Instant::now();
        match end.decide() {
            EndVerdict::Complete => self.change(run, JobProgress::complete),
            EndVerdict::BrokenOff(EndFault::NothingAdded) => self
                .change(run, |progress, item, run| {
                    progress.step_back(item, run, now)
                }),
            _ => self.change(run, |progress, item, run| progress.pause(item, run, None)),
        }
    }

    fn take_over(&mut self, first: &Index, second: &Index) {
        self.progress = new_progress();
        self.runs.clear();
        if self.checkpoints.is_empty() {
            return;
        }
        for chosen in [first, second] {
            let checkpoint = chosen.get(&self.checkpoints).clone();
            self.progress.adopt_checkpoint(checkpoint);
        }
    }
}

struct RunTest;

impl StateMachineTest for RunTest {
    type SystemUnderTest = RunModel;
    type Reference = RunReference;

    fn init_test((): &()) -> RunModel {
        RunModel {
            progress: new_progress(),
            runs: Vec::new(),
            checkpoints: Vec::new(),
        }
    }

    fn apply(mut model: RunModel, (): &(), event: RunEvent) -> RunModel {
        let now = Instant::now();
        match event {
            RunEvent::Start { item, version } => model.start(item, version),
            RunEvent::Receive { run, count } => model.receive(&run, count),
            RunEvent::ReceiveWrong { run, skipped } => model.receive_wrong(&run, skipped),
            RunEvent::Pause { run } => {
                model.change(&run, |progress, item, run| progress.pause(item, run, None));
            }
            RunEvent::Fail { run } => model.change(&run, |progress, item, run| {
                progress.fail(item, run, ATTEMPTS, now)
            }),
            RunEvent::Discard { run } => {
                model.change(&run, |progress, item, run| progress.discard(item, run, now));
            }
            RunEvent::End { run, framing } => model.end(&run, framing),
            RunEvent::Checkpoint => model.checkpoints.push(model.progress.checkpoint()),
            RunEvent::Takeover { first, second } => model.take_over(&first, &second),
        }
        model
    }

    fn check_invariants(model: &RunModel, (): &()) {
        for output in model.progress.checkpoint().outputs {
            let version = output.version.expect("version");
            assert_eq!(output.text, prefix(output.item, version, output.last + 1));
            assert!(!output.whole || output.last + 1 == EVENTS);
        }
        let chunk = model.progress.clone().next_chunk("runner");
        for result in chunk.into_iter().flat_map(|(_, chunk)| chunk.results) {
            let item: usize = result.id["item-".len()..].parse().expect("index");
            let texts = [1, 2].map(|version| prefix(item, version, EVENTS));
            assert_eq!(result.outcome, JobOutcome::Completed);
            assert!(texts.iter().any(|text| *text == result.text));
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(50),
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    // Guards against ORDER: two runs of one item wrote into one text.
    #[test]
    fn text_of_an_item_has_each_event_once_in_order(sequential 1..80 => RunTest);
}

/// Returns an index that selects the only run.
fn first_index() -> Index {
    let strategy = any::<Index>();
    let tree = strategy.new_tree(&mut TestRunner::deterministic());
    tree.expect("index").current()
}

/// Guards against an item that never ends at servers whose responses have no marked end: each run that goes on after the last
/// event is empty, and shows nothing.
#[test]
fn item_whose_last_event_is_known_completes_at_servers_without_marked_ends() {
    for is_taken_over in [false, true] {
        // arrange
        let mut model = RunTest::init_test(&());
        let first = first_index();
        model.start(0, 1);
        model.receive(&first, EVENTS);
        model.change(&first, |progress, item, run| {
            progress.pause(item, run, None)
        });
        model.checkpoints.push(model.progress.checkpoint());
        if is_taken_over {
            model.take_over(&first, &first);
        }
        model.runs.clear();

        // act
        let mut begun_after = Vec::new();
        while model.progress.unlisted() == 0 && begun_after.len() < 10 {
            model.start(0, 1);
            begun_after.extend(model.runs.iter().map(|run| run.begun_after));
            model.receive(&first, EVENTS);
            model.end(&first, BodyFraming::Connection);
            model.runs.clear();
        }

        // assert: the text of a checkpoint isn't taken apart, so its item begins anew
        let proving = (!is_taken_over).then_some(EVENTS - 2);
        assert_eq!(begun_after, [Some(EVENTS - 1), proving]);
        let (_, chunk) = model.progress.next_chunk("runner").expect("result");
        assert_eq!(chunk.results[0].text, prefix(0, 1, EVENTS));
    }
}

/// Items are cut and go on elsewhere. On earlier code, only the last run counted, so that long items were taken for short
/// ones and started too late.
#[test]
fn run_time_of_an_item_covers_all_runs_that_generated_its_output() {
    // arrange
    let second = Duration::from_secs(1);
    let mut progress = new_progress();
    let start = |progress: &mut JobProgress| {
        let started = progress.start_item(0, 1);
        started.expect("the item waits").number
    };
    let run_with_event = |progress: &mut JobProgress, event: EventId| {
        let run = start(progress);
        let text = format!("id: {event}\ndata: {event}\n\n");
        progress
            .extend(0, run, text.as_bytes())
            .expect("the next event");
        run
    };

    // act
    let first = start(&mut progress);
    let without_output = progress.add_run_time(0, first, second);
    progress.pause(0, first, None);
    let cut = run_with_event(&mut progress, 0);
    let after_cut = progress.add_run_time(0, cut, 8 * second);
    progress.pause(0, cut, None);
    let resumed = run_with_event(&mut progress, 1);
    let replaced = progress.add_run_time(0, cut, second);
    let at_end = progress.add_run_time(0, resumed, 3 * second);
    progress.discard(0, resumed, Instant::now());
    let anew = run_with_event(&mut progress, 0);
    let after_discard = progress.add_run_time(0, anew, second);

    // assert
    assert_eq!(without_output, Some(Duration::ZERO));
    assert_eq!((after_cut, at_end), (Some(8 * second), Some(11 * second)));
    assert_eq!((replaced, after_discard), (None, Some(second)));
}
