//! Backend servers that said in an answer that they leave.
//!
//! The platform may tell late, or not at all while its store is away; what a server says itself counts at
//! once. An announcement names one process of a server: the next process under the same id or address doesn't
//! leave.

use std::time::{
    Duration,
    Instant, //
};

/// Time for which an announcement is kept while no entry names its process: the entry may have lapsed with the
/// store and come back.
pub const UNLISTED_KEPT: Duration = Duration::from_secs(60);

/// What a server said, and who heard it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainAnnouncement {
    /// Key of the server.
    pub server: u32,
    /// Start of the process that said it.
    pub start: u64,
    /// Hash of the VM that got the answer.
    pub source: u64,
    /// When the answer came, on this process's clock.
    pub received: Instant,
}

/// All announcements that a VM knows.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    announcements: Vec<DrainAnnouncement>, // Sorted by server and start.
}

impl DrainTable {
    /// Takes an announcement over, and returns whether it is new.
    pub fn record(&mut self, announcement: DrainAnnouncement) -> bool {
        match self.search(announcement.server, announcement.start) {
            Ok(_) => false,
            Err(index) => {
                self.announcements.insert(index, announcement);
                true
            }
        }
    }

    /// Returns what a server's process said, if it leaves.
    pub fn find(&self, server: u32, start: u64) -> Option<&DrainAnnouncement> {
        Some(&self.announcements[self.search(server, start).ok()?])
    }

    /// Returns all announcements, to be told to other VMs.
    pub fn announcements(&self) -> &[DrainAnnouncement] {
        &self.announcements
    }

    /// Forgets processes that no entry has named for long; without a start they can't be told from the
    /// next one and are forgotten at once.
    pub fn remove_unlisted(&mut self, is_listed: impl Fn(u32, u64) -> bool, now: Instant) {
        self.announcements.retain(|announcement| {
            let known = announcement.start != 0 && now < announcement.received + UNLISTED_KEPT;
            known || is_listed(announcement.server, announcement.start)
        });
    }

    fn search(&self, server: u32, start: u64) -> Result<usize, usize> {
        self.announcements
            .binary_search_by_key(&(server, start), |announcement| {
                (announcement.server, announcement.start)
            })
    }
}
