//! Jobs that their clients ended, as every VM must know them.

use std::sync::Mutex;

use boragerill::{
    backend::Revision,
    job::JobId,
    sync::lock, //
};

/// Ended jobs that are remembered.
const ENDS_KEPT: usize = 4096;

#[derive(Debug, Default)]
struct CancellationTable {
    through: Revision,
    ends: Vec<(Revision, JobId)>, // Oldest first.
}

/// Ended jobs up to one revision of the store.
#[derive(Debug, Default)]
pub(crate) struct CancellationRegistry {
    table: Mutex<CancellationTable>,
}

impl CancellationRegistry {
    /// Returns the revision up to which the ends are known.
    pub(crate) fn through(&self) -> Revision {
        lock(&self.table).through
    }

    /// Takes over ends that complete the book to `through`, and returns those that are new.
    pub(crate) fn apply(&self, ends: Vec<(Revision, JobId)>, through: Revision) -> Vec<JobId> {
        let mut table = lock(&self.table);
        let mut fresh = Vec::new();
        for (revision, id) in ends {
            if table.ends.iter().any(|known| known.1 == id) {
                continue;
            }
            fresh.push(id.clone());
            let index = table.ends.partition_point(|known| known.0 <= revision);
            table.ends.insert(index, (revision, id));
        }
        table.through = table.through.max(through);
        let excess = table.ends.len().saturating_sub(ENDS_KEPT);
        table.ends.drain(..excess);
        fresh
    }

    /// Returns whether a job's end is known.
    pub(crate) fn contains(&self, id: &str) -> bool {
        lock(&self.table).ends.iter().any(|known| known.1 == id)
    }

    /// Returns the ends after a revision.
    pub(crate) fn since(&self, after: Revision) -> Vec<(Revision, JobId)> {
        let table = lock(&self.table);
        let start = table.ends.partition_point(|known| known.0 <= after);
        table.ends[start..].to_vec()
    }
}
