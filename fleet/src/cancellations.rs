//! Registry of cancelled jobs, which every VM keeps so that no VM runs them again.

use std::sync::Mutex;

use boragerill::{
    backend::Revision,
    job::JobId,
    sync::lock, //
};

/// Largest number of cancellations kept; the oldest are removed first.
const MAX_CANCELLATIONS: usize = 4096;

#[derive(Debug, Default)]
struct CancellationTable {
    through: Revision,
    entries: Vec<(Revision, JobId)>, // Oldest first.
}

/// Cancelled jobs up to one revision of the store.
#[derive(Debug, Default)]
pub(crate) struct CancellationRegistry {
    table: Mutex<CancellationTable>,
}

impl CancellationRegistry {
    /// Returns the store's revision up to which all cancellations are known.
    pub(crate) fn through(&self) -> Revision {
        lock(&self.table).through
    }

    /// Adds cancellations that complete the registry to `through`, and returns the jobs that are new.
    pub(crate) fn apply(&self, cancelled: Vec<(Revision, JobId)>, through: Revision) -> Vec<JobId> {
        let mut table = lock(&self.table);
        let mut added = Vec::new();
        for (revision, id) in cancelled {
            if table.entries.iter().any(|known| known.1 == id) {
                continue;
            }
            added.push(id.clone());
            let index = table.entries.partition_point(|known| known.0 <= revision);
            table.entries.insert(index, (revision, id));
        }
        table.through = table.through.max(through);
        let excess = table.entries.len().saturating_sub(MAX_CANCELLATIONS);
        table.entries.drain(..excess);
        added
    }

    /// Returns whether a job is known to be cancelled.
    pub(crate) fn contains(&self, id: &str) -> bool {
        lock(&self.table).entries.iter().any(|known| known.1 == id)
    }

    /// Returns the cancellations after a revision.
    pub(crate) fn since(&self, after: Revision) -> Vec<(Revision, JobId)> {
        let table = lock(&self.table);
        let start = table.entries.partition_point(|known| known.0 <= after);
        table.entries[start..].to_vec()
    }
}
