//! Backend servers that said in an answer that they leave.
//!
//! The platform may tell late, or not at all while its store is away; what a server says itself counts at
//! once. A fact names one process of a server: the next process under the same id or address doesn't
//! leave.

use std::time::{
    Duration,
    Instant, //
};

/// Time for which a fact is kept while no entry names its process: the entry may have lapsed with the
/// store and come back.
pub const UNLISTED_KEPT: Duration = Duration::from_secs(60);

/// What a server said, and who heard it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavingFact {
    /// Key of the server.
    pub server: u32,
    /// Start of the process that said it.
    pub start: u64,
    /// Hash of the VM that got the answer.
    pub source: u64,
    /// When the answer came, on this process's clock.
    pub heard: Instant,
}

/// All facts that a VM knows.
#[derive(Clone, Debug, Default)]
pub struct LeavingTable {
    facts: Vec<LeavingFact>, // Sorted by server and start.
}

impl LeavingTable {
    /// Takes a fact over, and returns whether it is new.
    pub fn note(&mut self, fact: LeavingFact) -> bool {
        match self.search(fact.server, fact.start) {
            Ok(_) => false,
            Err(index) => {
                self.facts.insert(index, fact);
                true
            }
        }
    }

    /// Returns what a server's process said, if it leaves.
    pub fn find(&self, server: u32, start: u64) -> Option<&LeavingFact> {
        Some(&self.facts[self.search(server, start).ok()?])
    }

    /// Returns all facts, to be told to other VMs.
    pub fn facts(&self) -> &[LeavingFact] {
        &self.facts
    }

    /// Forgets processes that no entry has named for long; without a start they can't be told from the
    /// next one and are forgotten at once.
    pub fn forget_unlisted(&mut self, is_listed: impl Fn(u32, u64) -> bool, now: Instant) {
        self.facts.retain(|fact| {
            let known = fact.start != 0 && now < fact.heard + UNLISTED_KEPT;
            known || is_listed(fact.server, fact.start)
        });
    }

    fn search(&self, server: u32, start: u64) -> Result<usize, usize> {
        self.facts
            .binary_search_by_key(&(server, start), |fact| (fact.server, fact.start))
    }
}
