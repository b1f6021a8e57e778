//! Progress of a small batch job: items run concurrently, and results are listed once they are stored.
//!
//! Results are kept as a log of chunks. Each chunk is an object of the platform that is created under the
//! next free number, so that all VMs agree on the position of every result: a runner that finds the number
//! taken adopts the stored chunk. An item that runs twice costs work, but never gets a second result.

use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    item_resume::IdleWait,
    stream::{
        event_data,
        event_id,
        is_comment,
        split_events,
        EventId, //
    },
    stream_version::VersionKey, //
};

/// Identifies a job among all jobs of its workspace; chosen by the client.
pub type JobId = CompactString;

/// Number of a run of an item among all runs that one runner started for the job.
pub type RunNumber = u64;

/// Largest size of the text in one chunk of results, in bytes; a single larger result has its own chunk.
pub const CHUNK_TEXT_BYTES: usize = 256 * 1024;

/// Time without output after which an item moves from its server to another one with a free slot.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Largest number of doublings of [`SILENCE_LIMIT`].
const MAX_SILENCE_DOUBLINGS: u32 = 3;

/// One item as the client submitted it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobItem {
    /// Identifies the item within its job; also the id of its requests.
    pub id: CompactString,
    /// Path of the item's request.
    pub path: CompactString,
    /// Headers of the request.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body of the request.
    #[serde(with = "base64_body")]
    pub body: Bytes,
    /// Tokens of the prompt and of the longest output.
    pub tokens: u64,
}

/// Content of a job's manifest object, by whose creation the job is accepted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobManifest {
    /// Workspace of the job.
    pub workspace: CompactString,
    /// Host header of the submission.
    pub host: CompactString,
    /// Path of the submission.
    pub path: CompactString,
    /// Path prefix of the route that matched the submission.
    pub prefix: CompactString,
    /// Number of items.
    pub items: usize,
    /// Tokens of all items.
    pub tokens: u64,
    /// Number of input parts, the objects that hold the items.
    pub parts: u32,
    /// Name prefix of the input parts; each submission has its own.
    pub input: CompactString,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Digest of the items, which distinguishes a repeated submission from another job with the same id.
    pub digest: u64,
    /// Regions that the route allowed, sorted; empty without a restriction, `None` in manifests of earlier versions. They
    /// hold once the route is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<CompactString>>,
}

/// Final outcome of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// The output is complete.
    Completed,
    /// The item was abandoned.
    Failed,
}

/// The only final result of an item.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobResult {
    /// Id of the item.
    pub id: CompactString,
    /// Outcome of the item.
    pub outcome: JobOutcome,
    /// Data of all events, separated by line feeds; empty for a failed item.
    pub text: CompactString,
}

/// Results that are stored together. A runner that takes a job over first stores an empty chunk as a fence:
/// the previous runner finds this chunk when it tries to store further results, and stops.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ResultChunk {
    /// Runner that stored the chunk: its VM and the start of its process.
    pub runner: CompactString,
    /// Results in the order of their positions.
    pub results: Vec<JobResult>,
}

/// Items that are stored together.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct InputPart {
    /// Items in the order of the submission.
    pub items: Vec<JobItem>,
}

/// Output of an item whose result isn't listed yet.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PartialOutput {
    /// Position of the item in the submission.
    pub item: usize,
    /// Id of the last event in `text`.
    pub last: EventId,
    /// Data of all events so far, separated by line feeds.
    pub text: CompactString,
    /// Whether the output is complete.
    pub whole: bool,
    /// Software version of the servers that generated the output; absent in outputs of builds without versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionKey>,
}

/// Checkpoint of the output of unlisted items, from which another runner continues after a takeover. An old
/// checkpoint is valid as well: every run of an item at one software version generates the same output.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobCheckpoint {
    /// Outputs of the items that have any.
    pub outputs: Vec<PartialOutput>,
}

/// Returns the name of the object that holds a chunk of results.
pub fn chunk_object_name(job: &str, index: u32) -> CompactString {
    format_compact!("{job}.{index:04}")
}

/// Returns the name of the object that holds an input part.
pub fn part_object_name(input: &str, index: u32) -> CompactString {
    format_compact!("{input}.{index:04}")
}

/// Splits items into parts whose bodies together don't exceed a limit; a single larger item has its own
/// part.
pub fn split_items(items: Vec<JobItem>, limit_bytes: usize) -> Vec<InputPart> {
    let mut parts = vec![InputPart::default()];
    let mut size = 0;
    for item in items {
        size += item.body.len();
        let last = parts.last().map_or(0, |part| part.items.len());
        if size > limit_bytes && last > 0 {
            parts.push(InputPart::default());
            size = item.body.len();
        }
        if let Some(part) = parts.last_mut() {
            part.items.push(item);
        }
    }
    parts
}

/// Phase of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemPhase {
    /// The item waits to be started.
    Waiting,
    /// The item runs.
    Running,
    /// The item has its outcome, but its result isn't stored yet.
    Finished(JobOutcome),
    /// The item's result is stored and listed.
    Listed,
}

/// A run of an item that has been started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartedRun {
    /// Identifies the run in changes of the item's progress.
    pub number: RunNumber,
    /// Id of the last event received, after which the run goes on; `None` if it begins anew.
    pub last: Option<EventId>,
}

/// Why events aren't added to the output of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFault {
    /// The run has ended, or another one has been started since.
    RunReplaced,
    /// The events don't continue the output, or have no numbers.
    OutOfSequence,
}

/// Progress of one item. Only the current run changes it: an earlier one may still be reading its response.
#[derive(Clone, Debug)]
struct ItemProgress {
    phase: ItemPhase,
    run: RunNumber, // The last one that was started; the current one while the item runs.
    text: Vec<u8>,
    last: Option<EventId>,
    last_start: Option<usize>, // Length of the text before the last event, if it is known.
    version: Option<VersionKey>, // Software version of the servers that generated the text.
    failures: u32,
    silent_runs: u32, // Runs that ended because their server sent nothing for long.
    pause_until: Option<Instant>,
    run_time: Option<Duration>, // Of the runs that generated the text; `None` if some of it is from a checkpoint.
    idle_wait: IdleWait,        // Since the last run.
    given_up: u32,              // Outputs discarded for runs at servers of other versions.
}

impl ItemProgress {
    /// Discards the output, so that the next run begins anew.
    fn clear_output(&mut self) {
        self.text.clear();
        self.last = None;
        self.last_start = None;
        self.run_time = Some(Duration::ZERO);
    }
}

/// Progress of one job.
#[derive(Clone, Debug)]
pub struct JobProgress {
    items: Vec<ItemProgress>,
    ids: Vec<(CompactString, usize)>, // Sorted by id.
    listed: Vec<JobResult>,           // In the order of their positions.
    chunks: u32,                      // Number of stored chunks.
    pending: Option<ResultChunk>,     // May be stored already, so its content must not change.
    cancelled: bool,
    runs: RunNumber, // Number of runs that were started.
}

impl JobProgress {
    /// Makes the progress of a job whose items haven't run.
    pub fn new<'a>(ids: impl Iterator<Item = &'a CompactString>) -> JobProgress {
        let mut ids: Vec<(CompactString, usize)> =
            ids.cloned().enumerate().map(|(i, id)| (id, i)).collect();
        let fresh = ItemProgress {
            phase: ItemPhase::Waiting,
            run: 0,
            text: Vec::new(),
            last: None,
            last_start: None,
            version: None,
            failures: 0,
            silent_runs: 0,
            pause_until: None,
            run_time: Some(Duration::ZERO),
            idle_wait: IdleWait::default(),
            given_up: 0,
        };
        let items = vec![fresh; ids.len()];
        ids.sort();
        JobProgress {
            items,
            ids,
            listed: Vec::new(),
            chunks: 0,
            pending: None,
            cancelled: false,
            runs: 0,
        }
    }

    /// Returns the number of items.
    pub fn total(&self) -> usize {
        self.items.len()
    }

    /// Returns the stored results in the order of their positions.
    pub fn listed(&self) -> &[JobResult] {
        &self.listed
    }

    /// Returns the number of stored chunks.
    pub fn chunks(&self) -> u32 {
        self.chunks
    }

    /// Returns whether every result is stored.
    pub fn is_complete(&self) -> bool {
        self.listed.len() == self.items.len()
    }

    /// Returns whether no more items will run: every result is stored, or the client cancelled the job.
    pub fn is_closed(&self) -> bool {
        self.cancelled || self.is_complete()
    }

    /// Returns whether the client cancelled the job.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled
    }

    /// Returns whether this runner gives the job up to another VM, which reports `chunks` stored chunks: the one that has
    /// stored more goes on, with equal numbers and while the job is open the preferred one. This also holds for a cancelled
    /// job, of which the other one may have listed more results; a complete list can't grow.
    pub fn yields_to(&self, chunks: u32, is_preferred: bool) -> bool {
        let is_behind = chunks > self.chunks;
        let is_even = chunks == self.chunks;
        !self.is_complete() && (is_behind || is_even && is_preferred && !self.cancelled)
    }

    /// Cancels the job: no more items start, and results that aren't stored yet stay so.
    pub fn cancel(&mut self) {
        self.cancelled = true;
    }

    /// Returns the phase of an item.
    pub fn phase(&self, index: usize) -> ItemPhase {
        self.items[index].phase
    }

    /// Returns the position of an item in the submission.
    pub fn item_index(&self, id: &str) -> Option<usize> {
        let found = self.ids.binary_search_by(|entry| entry.0.as_str().cmp(id));
        Some(self.ids[found.ok()?].1)
    }

    /// Returns the items that can be started now, those with the most output first.
    pub fn startable(&self, now: Instant) -> Vec<usize> {
        if self.cancelled {
            return Vec::new();
        }
        let waiting = (0..self.items.len()).filter(|&index| {
            let item = &self.items[index];
            item.phase == ItemPhase::Waiting && item.pause_until.is_none_or(|until| until <= now)
        });
        let mut waiting: Vec<usize> = waiting.collect();
        waiting.sort_by_key(|&index| std::cmp::Reverse(self.items[index].text.len()));
        waiting
    }

    /// Returns the items that have no outcome yet.
    pub fn unfinished(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.items.len()).filter(|&index| {
            matches!(
                self.items[index].phase,
                ItemPhase::Waiting | ItemPhase::Running
            )
        })
    }

    /// Returns the software version of the servers at which a partial output of an item can be continued; `None`
    /// without output.
    pub fn output_version(&self, index: usize) -> Option<VersionKey> {
        let item = &self.items[index];
        item.version.filter(|_| item.last.is_some())
    }

    /// Sets the version of a partial output of an item whose version isn't known: the only one that can have generated
    /// it.
    pub fn assume_version(&mut self, index: usize, version: VersionKey) {
        let item = &mut self.items[index];
        if item.last.is_some() && item.version.is_none() {
            item.version = Some(version);
        }
    }

    /// Returns for how long the runs that generated the output of an item held a slot; where that isn't known, as for others
    /// of the job with as much text. `None` if it can't be told.
    pub fn output_time(&self, index: usize) -> Option<Duration> {
        let item = &self.items[index];
        if item.run_time.is_some() {
            return item.run_time;
        }
        let known = self
            .items
            .iter()
            .filter(|item| !item.text.is_empty())
            .filter_map(|item| Some((item.run_time?, item.text.len())));
        let (time, bytes) = known.fold((Duration::ZERO, 0), |sum, item| {
            (sum.0 + item.0, sum.1 + item.1)
        });
        let bytes = u32::try_from(bytes).ok().filter(|&bytes| bytes > 0)?;
        Some(time.mul_f64(item.text.len() as f64 / f64::from(bytes)))
    }

    /// Returns the time for which an item has waited for a server of its version beside free slots of others.
    pub fn idle_wait(&self, index: usize) -> Duration {
        self.items[index].idle_wait.time()
    }

    /// Returns the number of outputs of an item that were given up for a server of another version.
    pub fn given_up(&self, index: usize) -> u32 {
        self.items[index].given_up
    }

    /// Records that an item waits now for a server of its version beside free slots of others.
    pub fn record_idle_wait(&mut self, index: usize, now: Instant) {
        self.items[index].idle_wait.add(now);
    }

    /// Starts a run of an item at a server of the given software version. The output of another version is discarded.
    /// Returns `None` if the item isn't waiting.
    pub fn start_item(&mut self, index: usize, version: VersionKey) -> Option<StartedRun> {
        let item = &mut self.items[index];
        if item.phase != ItemPhase::Waiting {
            return None;
        }
        self.runs += 1;
        item.phase = ItemPhase::Running;
        item.run = self.runs;
        item.idle_wait = IdleWait::default();
        if item.version != Some(version) {
            item.given_up += u32::from(item.last.is_some());
            item.clear_output();
            item.version = Some(version);
        }
        Some(StartedRun {
            number: item.run,
            last: item.last,
        })
    }

    /// Returns the item whose current run has the given number.
    fn current(&mut self, index: usize, run: RunNumber) -> Option<&mut ItemProgress> {
        let item = &mut self.items[index];
        (item.phase == ItemPhase::Running && item.run == run).then_some(item)
    }

    /// Returns the size of the output received of an item, in bytes.
    pub fn output_bytes(&self, index: usize) -> usize {
        self.items[index].text.len()
    }

    /// Returns a checkpoint of the output of all items that aren't listed and didn't fail.
    pub fn checkpoint(&self) -> JobCheckpoint {
        let items = self.items.iter().enumerate();
        let outputs = items.filter_map(|(index, item)| {
            let whole = item.phase == ItemPhase::Finished(JobOutcome::Completed);
            let unlisted = whole || matches!(item.phase, ItemPhase::Waiting | ItemPhase::Running);
            let last = item.last.filter(|_| unlisted)?;
            Some(PartialOutput {
                item: index,
                last,
                text: CompactString::from_utf8_lossy(&item.text),
                whole,
                version: item.version,
            })
        });
        JobCheckpoint {
            outputs: outputs.collect(),
        }
    }

    /// Takes over the output of waiting items from another runner's checkpoint, where it has more events.
    pub fn adopt_checkpoint(&mut self, checkpoint: JobCheckpoint) {
        for output in checkpoint.outputs {
            let Some(item) = self.items.get_mut(output.item) else {
                continue;
            };
            let has_more = item.last.is_none_or(|known| known < output.last);
            if item.phase != ItemPhase::Waiting || !has_more {
                continue;
            }
            item.last = Some(output.last);
            item.last_start = None;
            item.text = output.text.as_bytes().to_vec();
            item.run_time = None;
            item.version = output.version;
            if output.whole {
                item.phase = ItemPhase::Finished(JobOutcome::Completed);
            }
        }
    }

    /// Appends complete events to the output of an item: all of them, or none.
    ///
    /// # Errors
    ///
    /// Returns why the events can't be appended. The run must end, and the output is unchanged.
    pub fn extend(
        &mut self,
        index: usize,
        run: RunNumber,
        chunk: &[u8],
    ) -> Result<(), OutputFault> {
        let item = self.current(index, run).ok_or(OutputFault::RunReplaced)?;
        let mut events = split_events(chunk);
        events.retain(|event| !is_comment(event));
        let mut last = item.last;
        for event in &events {
            let id = event_id(event).ok_or(OutputFault::OutOfSequence)?;
            if last.is_some_and(|last| id != last + 1) {
                return Err(OutputFault::OutOfSequence);
            }
            last = Some(id);
        }
        for event in events {
            item.last_start = Some(item.text.len());
            if item.last.is_some() {
                item.text.push(b'\n');
            }
            item.text.extend_from_slice(&event_data(event));
            item.last = event_id(event);
        }
        Ok(())
    }

    /// Pauses an item until a time, if one is given; its output so far is kept. Like all changes by a run, it has no effect
    /// and returns `false` unless the run is the current one.
    pub fn pause(&mut self, index: usize, run: RunNumber, until: Option<Instant>) -> bool {
        let Some(item) = self.current(index, run) else {
            return false;
        };
        item.phase = ItemPhase::Waiting;
        item.pause_until = until;
        true
    }

    /// Adds the time for which a run held its slot, and returns the time of all runs that generated the item's output,
    /// if it is known. A run without output doesn't count, as it brings the item no nearer to its end.
    pub fn add_run_time(
        &mut self,
        index: usize,
        run: RunNumber,
        time: Duration,
    ) -> Option<Duration> {
        let item = self.current(index, run)?;
        if !item.text.is_empty() {
            item.run_time = item.run_time.map(|known| known + time);
        }
        item.run_time
    }

    /// Records that an item leaves a server that has sent nothing for long.
    pub fn record_silence(&mut self, index: usize, run: RunNumber) -> bool {
        let Some(item) = self.current(index, run) else {
            return false;
        };
        item.silent_runs += 1;
        true
    }

    /// Returns how long a server may send nothing before an item moves to another one with a free slot. The time
    /// doubles with each such move: an item that moves too early makes hardly any progress.
    pub fn silence_limit(&self, index: usize) -> Duration {
        SILENCE_LIMIT * (1 << self.items[index].silent_runs.min(MAX_SILENCE_DOUBLINGS))
    }

    /// Records a failed run of an item; after `attempts` failures the item is abandoned.
    pub fn fail(&mut self, index: usize, run: RunNumber, attempts: u32, until: Instant) -> bool {
        let Some(item) = self.current(index, run) else {
            return false;
        };
        item.failures += 1;
        if item.failures >= attempts {
            self.abandon_item(index);
            return true;
        }
        // The output of a failed run may be corrupt.
        self.discard(index, run, until)
    }

    /// Discards the output of an item, such as after a response longer than an output can be, and pauses the item until
    /// a time.
    pub fn discard(&mut self, index: usize, run: RunNumber, until: Instant) -> bool {
        let Some(item) = self.current(index, run) else {
            return false;
        };
        item.phase = ItemPhase::Waiting;
        item.pause_until = Some(until);
        item.clear_output();
        true
    }

    /// Takes the last event off the output of an item and pauses the item until a time. The next run has to bring the event
    /// again, which shows whether there are more; a run that is asked to go on after the last event of all shows nothing.
    pub fn step_back(&mut self, index: usize, run: RunNumber, until: Instant) -> bool {
        let Some(item) = self.current(index, run) else {
            return false;
        };
        item.phase = ItemPhase::Waiting;
        item.pause_until = Some(until);
        // Where the last event of a checkpoint begins isn't known, as the data of an event may have several lines.
        let before = item.last.and_then(|last| last.checked_sub(1));
        match (item.last_start.take(), before) {
            (Some(start), Some(before)) if start > 0 => {
                item.text.truncate(start);
                item.last = Some(before);
            }
            _ => item.clear_output(),
        }
        true
    }

    /// Abandons an item that its server rejects for good.
    pub fn reject(&mut self, index: usize, run: RunNumber) -> bool {
        if self.current(index, run).is_none() {
            return false;
        }
        self.abandon_item(index);
        true
    }

    /// Abandons a waiting or running item, which then counts as failed.
    pub fn abandon_item(&mut self, index: usize) {
        let item = &mut self.items[index];
        if matches!(item.phase, ItemPhase::Waiting | ItemPhase::Running) {
            item.phase = ItemPhase::Finished(JobOutcome::Failed);
            item.text.clear();
        }
    }

    /// Returns the positions of the abandoned items whose results aren't stored.
    pub fn abandoned(&self) -> Vec<usize> {
        let is_abandoned =
            |index: &usize| self.items[*index].phase == ItemPhase::Finished(JobOutcome::Failed);
        (0..self.items.len()).filter(is_abandoned).collect()
    }

    /// Abandons the items that an earlier runner has abandoned.
    pub fn adopt_abandoned(&mut self, abandoned: &[usize]) {
        let count = self.items.len();
        for &index in abandoned.iter().filter(|&&index| index < count) {
            self.abandon_item(index);
        }
    }

    /// Records that the output of an item is complete.
    pub fn complete(&mut self, index: usize, run: RunNumber) -> bool {
        let Some(item) = self.current(index, run) else {
            return false;
        };
        item.phase = ItemPhase::Finished(JobOutcome::Completed);
        true
    }

    /// Returns the number of finished items whose results aren't stored.
    pub fn unlisted(&self) -> usize {
        let items = self.items.iter();
        items
            .filter(|item| matches!(item.phase, ItemPhase::Finished(_)))
            .count()
    }

    /// Returns the number and content of the chunk that `runner` has to store next. Repeated calls return the
    /// same chunk until `adopt_chunk` is called, since an attempt without a response may have stored it.
    pub fn next_chunk(&mut self, runner: &str) -> Option<(u32, ResultChunk)> {
        if self.pending.is_none() {
            let chunk = self.collect_chunk(runner);
            if chunk.results.is_empty() {
                return None;
            }
            self.pending = Some(chunk);
        }
        Some((self.chunks, self.pending.clone()?))
    }

    /// Lists the results of the chunk that is stored under `number`, whichever runner stored the chunk;
    /// ignores any number but the next.
    pub fn adopt_chunk(&mut self, number: u32, chunk: &ResultChunk) {
        if number != self.chunks {
            return;
        }
        self.pending = None;
        self.chunks += 1;
        for result in &chunk.results {
            let Some(index) = self.item_index(&result.id) else {
                continue;
            };
            if self.items[index].phase == ItemPhase::Listed {
                continue;
            }
            self.items[index].phase = ItemPhase::Listed;
            self.items[index].text = Vec::new();
            self.listed.push(result.clone());
        }
    }

    fn collect_chunk(&self, runner: &str) -> ResultChunk {
        let mut chunk = ResultChunk {
            runner: runner.into(),
            ..Default::default()
        };
        let mut size = 0;
        for (id, index) in &self.ids {
            let item = &self.items[*index];
            let ItemPhase::Finished(outcome) = item.phase else {
                continue;
            };
            size += item.text.len();
            if size > CHUNK_TEXT_BYTES && !chunk.results.is_empty() {
                break;
            }
            chunk.results.push(JobResult {
                id: id.clone(),
                outcome,
                text: CompactString::from_utf8_lossy(&item.text),
            });
        }
        chunk
    }
}

/// Priority of a job's items over those of other jobs.
#[derive(Clone, Copy, Debug)]
pub struct JobPriority {
    /// Time until the results are due; zero once they are overdue.
    pub time_left: Duration,
    /// Whether the due time has passed.
    pub overdue: bool,
}

impl JobPriority {
    /// Returns the sort key of a job, lowest first: jobs that aren't overdue in the order of their due times,
    /// then overdue jobs.
    pub fn rank(self) -> (bool, Duration) {
        (self.overdue, self.time_left)
    }
}

mod base64_body {
    //! Serializes bodies as base64 text.

    use base64::{
        engine::general_purpose::STANDARD,
        Engine, //
    };
    use bytes::Bytes;
    use serde::{
        de::Error,
        Deserialize,
        Deserializer,
        Serializer, //
    };

    pub(super) fn serialize<S: Serializer>(body: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(body))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(from)?;
        let body = STANDARD.decode(text.as_bytes()).map_err(D::Error::custom)?;
        Ok(body.into())
    }
}
