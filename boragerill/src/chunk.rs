//! The course of one claimed chunk, apart from its input and output.

use std::ops::Range;

use crate::batch::{
    resume_results,
    BatchItem,
    ChunkClaim,
    ItemResult, //
};

/// Items of a non-idempotent service that are marked as started by one write.
pub const WAVE_ITEMS: usize = 32;

/// What has to be done next for a chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkStep {
    /// Record in the claim that the items before `started` may have been started.
    MarkStarted {
        /// Number of items.
        started: usize,
    },
    /// Run these items.
    Run(Range<usize>),
    /// Create the result object.
    Commit,
}

/// A chunk that its holder is running.
#[derive(Clone, Debug)]
pub struct ChunkRun {
    items: Vec<BatchItem>,
    results: Vec<ItemResult>, // Of the first items, in their order.
    marked: usize,
}

impl ChunkRun {
    /// Goes on from what earlier holders recorded in the claim.
    pub fn resume(items: Vec<BatchItem>, claim: &ChunkClaim) -> ChunkRun {
        let results = resume_results(&items, claim);
        let marked = results.len();
        ChunkRun {
            items,
            results,
            marked,
        }
    }

    /// Returns the next step; items of a non-idempotent service are marked before they run.
    pub fn next_step(&self, idempotent: bool) -> ChunkStep {
        let done = self.results.len();
        if done == self.items.len() {
            return ChunkStep::Commit;
        }
        if idempotent {
            return ChunkStep::Run(done..self.items.len());
        }
        if self.marked > done {
            return ChunkStep::Run(done..self.marked);
        }
        ChunkStep::MarkStarted {
            started: (done + WAVE_ITEMS).min(self.items.len()),
        }
    }

    /// Notes that the claim now says that the items before `started` may have been started.
    pub fn note_marked(&mut self, started: usize) {
        self.marked = started;
    }

    /// Takes the results of the items that were run last, in their order.
    pub fn note_results(&mut self, results: Vec<ItemResult>) {
        self.results.extend(results);
    }

    /// Returns the items of a step.
    pub fn items(&self, range: Range<usize>) -> &[BatchItem] {
        &self.items[range]
    }

    /// Returns the items that have no result yet.
    pub fn open_items(&self) -> &[BatchItem] {
        &self.items[self.results.len()..]
    }

    /// Returns the results so far.
    pub fn results(&self) -> &[ItemResult] {
        &self.results
    }
}
