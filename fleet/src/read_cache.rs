//! Jobs of other VMs as this VM last read them from the store; chunks of results never change.

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

/// Bytes of results that are kept.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

/// A job as the store knows it.
#[derive(Clone, Debug)]
pub(crate) struct StoredJob {
    /// As it was accepted.
    pub(crate) manifest: JobManifest,
    /// Chunks of results in their order.
    pub(crate) chunks: Vec<ResultChunk>,
    /// When it was last read from the store.
    pub(crate) read: Instant,
}

impl StoredJob {
    /// Returns whether every result is there.
    pub(crate) fn is_complete(&self) -> bool {
        self.results().count() >= self.manifest.items
    }

    /// Returns the number of the first chunk that isn't there.
    pub(crate) fn next_chunk(&self) -> u32 {
        u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    /// Returns the results in the order of their positions.
    pub(crate) fn results(&self) -> impl Iterator<Item = &JobResult> {
        self.chunks.iter().flat_map(|chunk| &chunk.results)
    }

    fn bytes(&self) -> usize {
        self.results().map(|result| result.text.len()).sum()
    }
}

/// The jobs that were read last.
#[derive(Debug, Default)]
pub(crate) struct ReadCache {
    jobs: Mutex<Vec<(JobId, StoredJob)>>, // The one read last stands last.
}

impl ReadCache {
    /// Returns a job as it was last read.
    pub(crate) fn find(&self, id: &str) -> Option<StoredJob> {
        let mut jobs = lock(&self.jobs);
        let index = jobs.iter().position(|entry| entry.0 == id)?;
        let entry = jobs.remove(index);
        let stored = entry.1.clone();
        jobs.push(entry);
        Some(stored)
    }

    /// Keeps a job, and forgets those that were not read for longest.
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
