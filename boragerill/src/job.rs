//! Progress of a small batch job: items run side by side, and results are listed once they are stored.
//!
//! Results are kept as a log of chunks. Each chunk is an object of the platform that is created under
//! the next free number, so that all VMs agree on the position of every result: a runner that finds the
//! number taken adopts what stands there. Running an item twice costs work, never a second result.

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

use crate::stream::{
    event_data,
    event_id,
    split_events,
    EventId, //
};

/// Identifies a job among all jobs of its workspace; chosen by the client.
pub type JobId = CompactString;

/// Most bytes of text in one chunk of results.
pub const CHUNK_TEXT_BYTES: usize = 256 * 1024;

/// One item as the client submitted it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobItem {
    /// Identifies the item; also the id of its requests.
    pub id: CompactString,
    /// Path that the item is posted to.
    pub path: CompactString,
    /// Headers of the request.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body of the request.
    #[serde(with = "base64_body")]
    pub body: Bytes,
    /// Tokens of the prompt and of the longest output.
    pub tokens: u64,
}

/// What stands in the object by which a job is accepted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobManifest {
    /// Workspace of the job.
    pub workspace: CompactString,
    /// Host that the submission named.
    pub host: CompactString,
    /// Path that the submission was posted to.
    pub path: CompactString,
    /// Prefix of the route that took the submission.
    pub prefix: CompactString,
    /// Number of items.
    pub items: usize,
    /// Tokens of all items.
    pub tokens: u64,
    /// Objects that hold the items.
    pub parts: u32,
    /// Name of the objects that hold the items; differs between submissions.
    pub input: CompactString,
    /// Time of day of the submission, in milliseconds since 1970.
    pub submitted_ms: u64,
    /// Digest of the items, by which a resend is told from another job of the same id.
    pub digest: u64,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// Its whole output is there.
    Completed,
    /// It was given up.
    Failed,
}

/// The one final result of an item.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobResult {
    /// The item.
    pub id: CompactString,
    /// How it ended.
    pub outcome: JobOutcome,
    /// The data of all its events, separated by line feeds.
    pub text: CompactString,
}

/// Results that are stored together. A runner that takes a job over stores an empty chunk first: the
/// runner before it then meets that chunk instead of storing further results.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ResultChunk {
    /// VM and start of the process that stored the chunk.
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

/// Output of an item that isn't listed yet.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PartialOutput {
    /// Position of the item in the submission.
    pub item: usize,
    /// Number of the last event.
    pub last: EventId,
    /// Data of all events so far.
    pub text: CompactString,
    /// Whether the output is whole.
    pub whole: bool,
}

/// Output that is stored now and then, so that a runner that takes over goes on from there. It may be
/// old: every beginning of an item's output is a beginning of the same output.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobCheckpoint {
    /// Items that have come anywhere.
    pub outputs: Vec<PartialOutput>,
}

/// Returns the name of a chunk of results.
pub fn chunk_object_name(job: &str, index: u32) -> CompactString {
    format_compact!("{job}.{index:04}")
}

/// Returns the name of a part of the items.
pub fn part_object_name(input: &str, index: u32) -> CompactString {
    format_compact!("{input}.{index:04}")
}

/// Splits items into parts whose bodies stay under a limit.
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

/// Where an item stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemPhase {
    /// It can be started.
    Waiting,
    /// It runs.
    Running,
    /// It ended and isn't stored yet.
    Ended(JobOutcome),
    /// Its result is stored.
    Listed,
}

/// Progress of one item.
#[derive(Clone, Debug)]
struct ItemProgress {
    phase: ItemPhase,
    text: Vec<u8>,
    last: Option<EventId>,
    failures: u32,
    pause_until: Option<Instant>,
}

/// Progress of one job.
#[derive(Clone, Debug)]
pub struct JobProgress {
    items: Vec<ItemProgress>,
    ids: Vec<(CompactString, usize)>, // Sorted by id.
    listed: Vec<JobResult>,           // In the order of their positions.
    chunks: u32,                      // Chunks that are stored.
    pending: Option<ResultChunk>,     // Being stored; its content must not change.
    cancelled: bool,
}

impl JobProgress {
    /// Starts a job none of whose items has run.
    pub fn new<'a>(ids: impl Iterator<Item = &'a CompactString>) -> JobProgress {
        let mut ids: Vec<(CompactString, usize)> =
            ids.cloned().enumerate().map(|(i, id)| (id, i)).collect();
        let fresh = ItemProgress {
            phase: ItemPhase::Waiting,
            text: Vec::new(),
            last: None,
            failures: 0,
            pause_until: None,
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

    /// Returns whether nothing more will run: all is stored, or the client ended the job.
    pub fn is_closed(&self) -> bool {
        self.cancelled || self.is_complete()
    }

    /// Returns whether the client ended the job.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled
    }

    /// Ends the job for its client; what isn't stored yet stays so.
    pub fn cancel(&mut self) {
        self.cancelled = true;
    }

    /// Returns where an item stands.
    pub fn phase(&self, index: usize) -> ItemPhase {
        self.items[index].phase
    }

    /// Returns the position of an item in the submission.
    pub fn find(&self, id: &str) -> Option<usize> {
        let found = self.ids.binary_search_by(|entry| entry.0.as_str().cmp(id));
        Some(self.ids[found.ok()?].1)
    }

    /// Returns the items that can be started now: first those that have come farthest.
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

    /// Returns the items that haven't ended.
    pub fn unfinished(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.items.len()).filter(|&index| {
            matches!(
                self.items[index].phase,
                ItemPhase::Waiting | ItemPhase::Running
            )
        })
    }

    /// Marks an item as running, and returns the number of the event after which it goes on.
    pub fn start_item(&mut self, index: usize) -> Option<EventId> {
        self.items[index].phase = ItemPhase::Running;
        self.items[index].last
    }

    /// Returns how much of an item's output is there, in bytes.
    pub fn output_bytes(&self, index: usize) -> usize {
        self.items[index].text.len()
    }

    /// Returns the output of all items that aren't listed yet.
    pub fn checkpoint(&self) -> JobCheckpoint {
        let items = self.items.iter().enumerate();
        let outputs = items.filter_map(|(index, item)| {
            let whole = item.phase == ItemPhase::Ended(JobOutcome::Completed);
            let unlisted = whole || matches!(item.phase, ItemPhase::Waiting | ItemPhase::Running);
            let last = item.last.filter(|_| unlisted)?;
            Some(PartialOutput {
                item: index,
                last,
                text: CompactString::from_utf8_lossy(&item.text),
                whole,
            })
        });
        JobCheckpoint {
            outputs: outputs.collect(),
        }
    }

    /// Goes on from outputs that another runner received, where they are farther.
    pub fn adopt_checkpoint(&mut self, checkpoint: JobCheckpoint) {
        for output in checkpoint.outputs {
            let Some(item) = self.items.get_mut(output.item) else {
                continue;
            };
            let farther = item.last.is_none_or(|known| known < output.last);
            if item.phase != ItemPhase::Waiting || !farther {
                continue;
            }
            item.last = Some(output.last);
            item.text = output.text.as_bytes().to_vec();
            if output.whole {
                item.phase = ItemPhase::Ended(JobOutcome::Completed);
            }
        }
    }

    /// Adds complete events to an item's output.
    pub fn extend(&mut self, index: usize, chunk: &[u8]) {
        let item = &mut self.items[index];
        if item.phase != ItemPhase::Running {
            return;
        }
        for event in split_events(chunk) {
            if item.last.is_some() {
                item.text.push(b'\n');
            }
            item.text.extend_from_slice(&event_data(event));
            item.last = event_id(event).or(item.last).or(Some(0));
        }
    }

    /// Puts a running item back; it goes on where it stopped.
    pub fn pause(&mut self, index: usize, until: Option<Instant>) {
        let item = &mut self.items[index];
        if item.phase == ItemPhase::Running {
            item.phase = ItemPhase::Waiting;
            item.pause_until = until;
        }
    }

    /// Notes that a backend server failed an item; after `attempts` of these it is given up.
    pub fn fail(&mut self, index: usize, attempts: u32, until: Instant) {
        let item = &mut self.items[index];
        if item.phase != ItemPhase::Running {
            return;
        }
        item.failures += 1;
        if item.failures >= attempts {
            self.abandon_item(index);
            return;
        }
        // A failed run may have spoiled what came of it.
        self.discard(index, until);
    }

    /// Drops what came of a running item whose server sent more than can be its output.
    pub fn discard(&mut self, index: usize, until: Instant) {
        let item = &mut self.items[index];
        if item.phase == ItemPhase::Running {
            item.phase = ItemPhase::Waiting;
            item.pause_until = Some(until);
            item.text.clear();
            item.last = None;
        }
    }

    /// Gives an item up.
    pub fn abandon_item(&mut self, index: usize) {
        let item = &mut self.items[index];
        if matches!(item.phase, ItemPhase::Waiting | ItemPhase::Running) {
            item.phase = ItemPhase::Ended(JobOutcome::Failed);
            item.text.clear();
        }
    }

    /// Notes that an item's whole output is there.
    pub fn complete(&mut self, index: usize) {
        let item = &mut self.items[index];
        if item.phase == ItemPhase::Running {
            item.phase = ItemPhase::Ended(JobOutcome::Completed);
        }
    }

    /// Returns the number of items that ended and aren't stored.
    pub fn unlisted(&self) -> usize {
        let ended = self.items.iter();
        ended
            .filter(|item| matches!(item.phase, ItemPhase::Ended(_)))
            .count()
    }

    /// Returns the number and content of the chunk that `runner` has to store next; the same until its
    /// fate is known.
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

    /// Lists the results of a chunk that is stored under `number`.
    pub fn adopt_chunk(&mut self, number: u32, chunk: &ResultChunk) {
        if number != self.chunks {
            return;
        }
        self.pending = None;
        self.chunks += 1;
        for result in &chunk.results {
            let Some(index) = self.find(&result.id) else {
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
            let ItemPhase::Ended(outcome) = item.phase else {
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

/// A job as the order of work sees it.
#[derive(Clone, Copy, Debug)]
pub struct JobPriority {
    /// Time until the results are due; negative times are zero.
    pub time_left: Duration,
    /// Whether results are worth less by now.
    pub overdue: bool,
}

impl JobPriority {
    /// Returns the rank of a job, lowest first: those that can still be in time by their due time, then
    /// the late ones.
    pub fn rank(self) -> (bool, Duration) {
        (self.overdue, self.time_left)
    }
}

mod base64_body {
    //! Bodies as base64 text.

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
