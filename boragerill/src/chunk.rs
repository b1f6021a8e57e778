//! State machine that runs one claimed chunk; the caller does the I/O.

use std::ops::Range;

use crate::batch::{
    resume_results,
    BatchItem,
    ChunkClaim,
    ItemResult, //
};

/// Items of a non-idempotent route that one write of the claim marks as started.
pub const ITEMS_PER_MARK: usize = 32;

/// Next step of a chunk, done by the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkStep {
    /// Record in the claim that the items before `started` may have been started.
    MarkStarted {
        /// Number of items, from the first.
        started: usize,
    },
    /// Run the items of this range.
    Run(Range<usize>),
    /// Create the result object.
    Commit,
}

/// Items and results of a chunk that its holder is running.
#[derive(Clone, Debug)]
pub struct ChunkRun {
    items: Vec<BatchItem>,
    results: Vec<ItemResult>, // Of the first items, in their order.
    marked: usize,            // Items, from the first, that the claim marks as started.
}

impl ChunkRun {
    /// Creates a run that resumes from the results that earlier holders recorded in the claim.
    pub fn resume(items: Vec<BatchItem>, claim: &ChunkClaim) -> ChunkRun {
        let results = resume_results(&items, claim);
        let marked = results.len();
        ChunkRun {
            items,
            results,
            marked,
        }
    }

    /// Returns the next step; items of a non-idempotent route are marked as started before they run.
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
            started: (done + ITEMS_PER_MARK).min(self.items.len()),
        }
    }

    /// Records that the claim now marks the items before `started` as started.
    pub fn record_marked(&mut self, started: usize) {
        self.marked = started;
    }

    /// Adds the results of the items that were run last, in the order of the items.
    pub fn record_results(&mut self, results: Vec<ItemResult>) {
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

    /// Returns the results so far, in the order of the items.
    pub fn results(&self) -> &[ItemResult] {
        &self.results
    }
}
