//! Cache of other VMs' jobs as last read from the store. Stored result chunks never change, so only new ones
//! need to be read.

use std::{
    sync::Mutex,
    time::Instant, //
};

use boragerill::{
    job::{
        JobId,
        JobManifest,
        JobResult,
        ResultChunk, //
    },
    sync::lock, //
};

/// Size limit of the cache, in bytes of result text.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

/// A job as last read from the store.
#[derive(Clone, Debug)]
pub(crate) struct StoredJob {
    /// Manifest by which the job was accepted.
    pub(crate) manifest: JobManifest,
    /// Result chunks, in order.
    pub(crate) chunks: Vec<ResultChunk>,
    /// Time of the last read from the store.
    pub(crate) read: Instant,
}

impl StoredJob {
    /// Returns whether the results of all items have been read.
    pub(crate) fn is_complete(&self) -> bool {
        self.results().count() >= self.manifest.items
    }

    /// Returns the number of the first chunk that hasn't been read.
    pub(crate) fn next_chunk(&self) -> u32 {
        u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    /// Returns the results in order of position.
    pub(crate) fn results(&self) -> impl Iterator<Item = &JobResult> {
        self.chunks.iter().flat_map(|chunk| &chunk.results)
    }

    /// Returns the size of all result texts.
    fn bytes(&self) -> usize {
        self.results().map(|result| result.text.len()).sum()
    }
}

/// Least-recently-used cache of stored jobs.
#[derive(Debug, Default)]
pub(crate) struct ReadCache {
    jobs: Mutex<Vec<(JobId, StoredJob)>>, // Ordered by last use, the latest at the end.
}

impl ReadCache {
    /// Returns a cached job and marks it as most recently used.
    pub(crate) fn find(&self, id: &str) -> Option<StoredJob> {
        let mut jobs = lock(&self.jobs);
        let index = jobs.iter().position(|entry| entry.0 == id)?;
        let entry = jobs.remove(index);
        let stored = entry.1.clone();
        jobs.push(entry);
        Some(stored)
    }

    /// Adds or replaces a job, and evicts the least recently used ones while the cache exceeds its limit.
    pub(crate) fn put(&self, id: &str, stored: StoredJob) {
        let mut jobs = lock(&self.jobs);
        jobs.retain(|entry| entry.0 != id);
        jobs.push((id.into(), stored));
        let mut bytes: usize = jobs.iter().map(|entry| entry.1.bytes()).sum();
        while bytes > CACHE_BYTES && jobs.len() > 1 {
            bytes -= jobs.remove(0).1.bytes();
        }
    }
}
