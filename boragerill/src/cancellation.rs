//! Table of cancelled jobs, which every VM keeps so that no VM runs them.
//!
//! Each cancellation has the revision at which the platform's store recorded it. A VM is complete up to a revision if
//! its table holds every cancellation up to it; another VM with a lower revision asks for the rest. A VM that has
//! stored a cancellation itself knows it before it is complete up to its revision.

use crate::{
    backend::Revision,
    job::JobId, //
};

/// Largest number of cancellations kept; the oldest are removed first.
const MAX_CANCELLATIONS: usize = 4096;

/// Revision of a cancellation whose revision isn't known.
pub const UNKNOWN_REVISION: Revision = 0;

/// A cancelled job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobCancellation {
    /// Revision of the store at which the cancellation was recorded, or [`UNKNOWN_REVISION`].
    pub revision: Revision,
    /// The job.
    pub job: JobId,
}

/// Cancelled jobs, complete up to one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct CancellationTable {
    through: Revision,
    entries: Vec<JobCancellation>, // Sorted by revision.
    jobs: Vec<JobId>,              // Sorted.
}

impl CancellationTable {
    /// Returns the store's revision up to which all cancellations are known.
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Adds a cancellation, and returns whether its job is new. The table may lack cancellations with lower
    /// revisions.
    pub fn insert(&mut self, cancellation: JobCancellation) -> bool {
        let found = self.jobs.binary_search(&cancellation.job);
        if found.is_ok() {
            let is_placed = cancellation.revision != UNKNOWN_REVISION;
            let known = self
                .entries
                .iter()
                .position(|known| known.job == cancellation.job);
            match known {
                Some(index) if is_placed => self.entries.remove(index),
                _ => return false,
            };
        }
        if let Err(index) = found {
            self.jobs.insert(index, cancellation.job.clone());
        }
        let index = self
            .entries
            .partition_point(|known| known.revision <= cancellation.revision);
        self.entries.insert(index, cancellation);
        self.remove_oldest();
        found.is_err()
    }

    /// Adds cancellations that complete the table up to `through`, and returns the jobs that are new.
    pub fn apply(&mut self, cancellations: Vec<JobCancellation>, through: Revision) -> Vec<JobId> {
        let mut added = Vec::new();
        for cancellation in cancellations {
            let job = cancellation.job.clone();
            if self.insert(cancellation) {
                added.push(job);
            }
        }
        self.through = self.through.max(through);
        added
    }

    /// Returns whether a job is known to be cancelled.
    pub fn contains(&self, job: &str) -> bool {
        let found = self.jobs.binary_search_by(|known| known.as_str().cmp(job));
        found.is_ok()
    }

    /// Returns the cancellations that a VM may lack that is complete up to a revision.
    pub fn since(&self, after: Revision) -> impl Iterator<Item = &JobCancellation> {
        let entries = self.entries.iter();
        entries.filter(move |known| known.revision > after || known.revision == UNKNOWN_REVISION)
    }

    fn remove_oldest(&mut self) {
        let excess = self.entries.len().saturating_sub(MAX_CANCELLATIONS);
        for removed in self.entries.drain(..excess) {
            self.jobs.retain(|job| *job != removed.job);
        }
    }
}
