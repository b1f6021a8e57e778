//! Batch jobs: items, chunks, claims and results.
//!
//! A job's items are stored in immutable input objects. A feeder claims a chunk by conditional update of
//! its claim object and commits all results of the chunk by creating its result object, which exists at
//! most once: a late holder's commit loses whatever its clock says.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::{
    format_compact,
    CompactString, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

use crate::{
    config::Version,
    timer::millis, //
};

/// Kind of the objects that hold items.
pub const INPUT_KIND: &str = "batchinput";

/// Kind of the objects that hold claims.
pub const CLAIM_KIND: &str = "batchclaim";

/// Kind of the objects that hold results.
pub const RESULT_KIND: &str = "batchresult";

/// Most items of one chunk.
pub const CHUNK_ITEMS: usize = 500;

/// Chunks at the beginning of a job that hold fewer items.
pub const SMALL_CHUNKS: u32 = 20;

/// Most items of one of those chunks.
pub const SMALL_CHUNK_ITEMS: usize = 100;

/// Most bytes of items in one chunk, so that its results stay under the platform's limit as well.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// Most bytes of one answer kept in a result; longer ones end as errors.
pub const ANSWER_LIMIT_BYTES: usize = 64 * 1024;

/// One item of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BatchItem {
    /// Chosen by the client; repeated in the result.
    pub id: CompactString,
    /// Body that is posted to the service.
    pub body: Value,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemOutcome {
    /// The service answered.
    Answer,
    /// Every attempt failed.
    Error,
    /// The job was cancelled before the item ended.
    Cancelled,
    /// The item is not idempotent and may have run, but its answer is lost.
    Unknown,
}

/// The one final result of an item.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ItemResult {
    /// The item's id.
    pub id: CompactString,
    /// How the item ended.
    pub outcome: ItemOutcome,
    /// The answer, or the cause of the failure.
    pub body: Value,
}

/// Contents of a claim object.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChunkClaim {
    /// VM and start of the process that holds the chunk.
    pub holder: CompactString,
    /// Items, from the first, that may have been started; kept for non-idempotent calls only.
    pub started: usize,
    /// Results of items that ended before `started` was last raised.
    pub results: Vec<ItemResult>,
}

/// Counts of results by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Items that were answered.
    pub answered: u64,
    /// Items that ended with an error.
    pub failed: u64,
    /// Items that were cancelled.
    pub cancelled: u64,
    /// Items whose outcome is unknown.
    pub unknown: u64,
}

impl OutcomeCounts {
    /// Counts the outcomes of a chunk.
    pub fn of(results: &[ItemResult]) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for result in results {
            match result.outcome {
                ItemOutcome::Answer => counts.answered += 1,
                ItemOutcome::Error => counts.failed += 1,
                ItemOutcome::Cancelled => counts.cancelled += 1,
                ItemOutcome::Unknown => counts.unknown += 1,
            }
        }
        counts
    }

    /// Returns the sum of two counts.
    pub fn plus(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            answered: self.answered + other.answered,
            failed: self.failed + other.failed,
            cancelled: self.cancelled + other.cancelled,
            unknown: self.unknown + other.unknown,
        }
    }

    /// Returns the number of items that ended.
    pub fn total(self) -> u64 {
        self.answered + self.failed + self.cancelled + self.unknown
    }

    /// Returns the label of a result object, by which a listing shows the counts.
    pub fn to_label(self) -> CompactString {
        format_compact!(
            "{} {} {} {}",
            self.answered,
            self.failed,
            self.cancelled,
            self.unknown
        )
    }

    /// Parses the label of a result object.
    pub fn parse_label(label: &str) -> Option<OutcomeCounts> {
        let mut numbers = label.split(' ').map(str::parse::<u64>);
        let mut next = || numbers.next()?.ok();
        let counts = OutcomeCounts {
            answered: next()?,
            failed: next()?,
            cancelled: next()?,
            unknown: next()?,
        };
        Some(counts)
    }
}

/// Returns the name prefix of a job's objects.
pub fn object_prefix(job: &str, submission: &str) -> CompactString {
    format_compact!("{job}.{submission}.")
}

/// Returns the name of a chunk's objects.
pub fn chunk_name(job: &str, submission: &str, index: u32) -> CompactString {
    format_compact!("{job}.{submission}.{index:06}")
}

/// Returns the index in a chunk's name.
pub fn parse_chunk_index(name: &str) -> Option<u32> {
    name.rsplit('.').next()?.parse().ok()
}

/// Returns the results with which a new holder of a chunk starts: an item that an earlier holder may
/// have started keeps its saved result or ends as unknown, and is not started again.
pub fn resume_results(items: &[BatchItem], claim: &ChunkClaim) -> Vec<ItemResult> {
    let started = items.iter().take(claim.started);
    let results = started.map(|item| {
        let saved = claim.results.iter().find(|result| result.id == item.id);
        saved.cloned().unwrap_or_else(|| ItemResult {
            id: item.id.clone(),
            outcome: ItemOutcome::Unknown,
            body: Value::from("the run was interrupted; its outcome is unknown"),
        })
    });
    results.collect()
}

/// Decides when the claim of another holder has lapsed: its version stood still for a whole lapse
/// period on the observer's own clock. Wrong verdicts cost work, never a second result.
#[derive(Clone, Debug, Default)]
pub struct ClaimWatch {
    seen: Vec<(CompactString, Version, Instant)>, // Sorted by name.
}

impl ClaimWatch {
    /// Notes a claim's version and returns whether it has lapsed.
    pub fn observe(&mut self, name: &str, version: Version, lapse: Duration, now: Instant) -> bool {
        match self
            .seen
            .binary_search_by(|entry| entry.0.as_str().cmp(name))
        {
            Ok(index) if self.seen[index].1 == version => self.seen[index].2 + lapse <= now,
            Ok(index) => {
                self.seen[index] = (name.into(), version, now);
                false
            }
            Err(index) => {
                self.seen.insert(index, (name.into(), version, now));
                false
            }
        }
    }

    /// Forgets a chunk that is done.
    pub fn forget(&mut self, name: &str) {
        self.seen.retain(|entry| entry.0 != name);
    }
}

/// A job as the order of work sees it.
#[derive(Clone, Copy, Debug)]
pub struct JobUrgency {
    /// Time since this process first saw the job.
    pub age: Duration,
    /// Time from acceptance to the due time.
    pub due: Duration,
    /// Weight of the job's workspace.
    pub weight: u32,
    /// Chunks that this process holds for the workspace.
    pub held: u32,
}

impl JobUrgency {
    /// Returns the rank of a job, lowest first: late jobs by how late they are, then the least
    /// served workspace for its weight, and among those the job due first.
    pub fn rank(&self) -> (u64, u64, u64) {
        let late = self.age.saturating_sub(self.due).as_millis();
        let lateness = u64::MAX - u64::try_from(late).unwrap_or(u64::MAX);
        let served = u64::from(self.held) * 1000 / u64::from(self.weight.max(1));
        let left = millis(self.due.saturating_sub(self.age));
        (lateness, served, left)
    }
}
