//! Batch jobs: items, chunks, claims and results.
//!
//! A job's items are stored in immutable input objects, one for each chunk. A batch process claims a chunk by
//! a conditional write of the chunk's claim object, and commits all results of the chunk by creating the
//! chunk's result object. The result object is created at most once, so the commit of a holder that lost the
//! claim fails with a conflict, whatever its clock says.

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

/// Kind of the objects that hold the items of a chunk.
pub const INPUT_KIND: &str = "batchinput";

/// Kind of the objects that hold the claim of a chunk.
pub const CLAIM_KIND: &str = "batchclaim";

/// Kind of the objects that hold the results of a chunk.
pub const RESULT_KIND: &str = "batchresult";

/// Maximum number of items in one chunk.
pub const MAX_CHUNK_ITEMS: usize = 500;

/// Number of chunks at the beginning of a job that hold at most `MAX_SMALL_CHUNK_ITEMS` items.
pub const SMALL_CHUNKS: u32 = 20;

/// Maximum number of items in one of the first `SMALL_CHUNKS` chunks.
pub const MAX_SMALL_CHUNK_ITEMS: usize = 100;

/// Maximum bytes of items in one chunk, so that its results stay under the platform's object limit as well.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// Maximum bytes of a response kept in a result; a longer response counts as a failed attempt.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// One item of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BatchItem {
    /// Id chosen by the client; repeated in the result.
    pub id: CompactString,
    /// Request body that is posted to the service.
    pub body: Value,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemOutcome {
    /// The service responded.
    Answer,
    /// Every attempt failed.
    Error,
    /// The job was cancelled before the item ended.
    Cancelled,
    /// The item is not idempotent and may have run, but its response is lost.
    Unknown,
}

/// The final result of an item.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ItemResult {
    /// The item's id.
    pub id: CompactString,
    /// How the item ended.
    pub outcome: ItemOutcome,
    /// The response body, or the cause of the failure.
    pub body: Value,
}

/// Contents of a claim object.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChunkClaim {
    /// VM name and random incarnation of the process that holds the chunk, as `vm/incarnation`.
    pub holder: CompactString,
    /// Number of items, from the first, that may have been started; recorded for non-idempotent routes only.
    pub started: usize,
    /// Results of the items that had ended when `started` was last raised.
    pub results: Vec<ItemResult>,
}

/// Number of results by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Items that ended with a response.
    pub answered: u64,
    /// Items that ended with an error.
    pub failed: u64,
    /// Items that were cancelled.
    pub cancelled: u64,
    /// Items whose outcome is unknown.
    pub unknown: u64,
}

impl OutcomeCounts {
    /// Counts the outcomes of a chunk's results.
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

    /// Returns the label of a result object: the four counts, so that a listing of names and labels contains
    /// them.
    pub fn to_label(self) -> CompactString {
        format_compact!(
            "{} {} {} {}",
            self.answered,
            self.failed,
            self.cancelled,
            self.unknown
        )
    }

    /// Parses the label of a result object; returns `None` when the label lacks a count.
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

/// Returns the name prefix of the objects that one submission of a job wrote.
pub fn object_prefix(job: &str, submission: &str) -> CompactString {
    format_compact!("{job}.{submission}.")
}

/// Returns the name of a chunk's input, claim and result objects.
pub fn chunk_name(job: &str, submission: &str, index: u32) -> CompactString {
    format_compact!("{job}.{submission}.{index:06}")
}

/// Returns the chunk index in the name of a chunk's object; returns `None` when the name has no index.
pub fn parse_chunk_index(name: &str) -> Option<u32> {
    name.rsplit('.').next()?.parse().ok()
}

/// Returns the results with which a new holder of a chunk starts.
///
/// Items that an earlier holder may have started aren't started again: they keep their saved result, or end as
/// `Unknown`.
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

/// Detects expired claims of other holders.
///
/// A claim has expired when its version hasn't changed for the lifetime of claims on the observer's own clock.
/// A claim that is wrongly taken for expired costs repeated work, but never a second result.
#[derive(Clone, Debug, Default)]
pub struct ClaimMonitor {
    observed: Vec<(CompactString, Version, Instant)>, // Version and time of its first sight; sorted by name.
}

impl ClaimMonitor {
    /// Records a claim's version and returns whether the claim has expired.
    pub fn observe(
        &mut self,
        name: &str,
        version: Version,
        lifetime: Duration,
        now: Instant,
    ) -> bool {
        match self
            .observed
            .binary_search_by(|entry| entry.0.as_str().cmp(name))
        {
            Ok(index) if self.observed[index].1 == version => {
                self.observed[index].2 + lifetime <= now
            }
            Ok(index) => {
                self.observed[index] = (name.into(), version, now);
                false
            }
            Err(index) => {
                self.observed.insert(index, (name.into(), version, now));
                false
            }
        }
    }

    /// Removes the record of a claim that this process has taken.
    pub fn remove(&mut self, name: &str) {
        self.observed.retain(|entry| entry.0 != name);
    }
}

/// Properties of a job by which unfinished jobs are ordered.
#[derive(Clone, Copy, Debug)]
pub struct JobUrgency {
    /// Time since this process first saw the job's declaration.
    pub age: Duration,
    /// Time from acceptance until the job's results are due.
    pub due: Duration,
    /// Weight of the job's workspace.
    pub weight: u32,
    /// Chunks of the workspace's jobs that this process holds.
    pub held: u32,
}

impl JobUrgency {
    /// Returns the rank of a job; the job with the lowest rank runs first.
    ///
    /// Overdue jobs rank first, the longest overdue before the others. Then follow the jobs of the workspaces
    /// with the fewest held chunks for their weight, and among these the jobs that are due first.
    pub fn rank(&self) -> (u64, u64, u64) {
        let overdue = self.age.saturating_sub(self.due).as_millis();
        let overdue_rank = u64::MAX - u64::try_from(overdue).unwrap_or(u64::MAX);
        let served = u64::from(self.held) * 1000 / u64::from(self.weight.max(1));
        let time_left = millis(self.due.saturating_sub(self.age));
        (overdue_rank, served, time_left)
    }
}
