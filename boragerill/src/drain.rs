//! Backend servers that announced in a response that they are draining.
//!
//! The platform may report a draining server late, or not at all while its store is unavailable, so a server's
//! own announcement takes effect at once. An announcement applies to one process of a server: the next process
//! with the same id or address isn't draining.

use std::time::{
    Duration,
    Instant, //
};

/// Time for which an announcement is kept while its process has no entry: the entry may have expired during an
/// outage of the store and be registered again.
pub const UNLISTED_LIFETIME: Duration = Duration::from_secs(60);

/// Announcement by one process of a server that it is draining.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainAnnouncement {
    /// Key of the server.
    pub server: u32,
    /// Start identifier of the process; 0 if unknown.
    pub start: u64,
    /// Hash of the name of the VM that received the announcement from the server.
    pub source: u64,
    /// When that VM received the announcement, on this process's clock.
    pub received: Instant,
}

/// Announcements that this VM knows.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    announcements: Vec<DrainAnnouncement>, // Sorted by server and start.
}

impl DrainTable {
    /// Records an announcement, and returns whether it is new.
    pub fn record(&mut self, announcement: DrainAnnouncement) -> bool {
        match self.search(announcement.server, announcement.start) {
            Ok(_) => false,
            Err(index) => {
                self.announcements.insert(index, announcement);
                true
            }
        }
    }

    /// Returns the announcement of a server's process, if the process is draining.
    pub fn find(&self, server: u32, start: u64) -> Option<&DrainAnnouncement> {
        Some(&self.announcements[self.search(server, start).ok()?])
    }

    /// Returns all announcements, sorted by server and start.
    pub fn announcements(&self) -> &[DrainAnnouncement] {
        &self.announcements
    }

    /// Removes the announcements of processes without an entry [`UNLISTED_LIFETIME`] after they were received.
    /// A process whose start is unknown can't be distinguished from its successor, so its announcement is
    /// removed as soon as the process has no entry.
    pub fn remove_unlisted(&mut self, is_listed: impl Fn(u32, u64) -> bool, now: Instant) {
        self.announcements.retain(|announcement| {
            let is_valid =
                announcement.start != 0 && now < announcement.received + UNLISTED_LIFETIME;
            is_valid || is_listed(announcement.server, announcement.start)
        });
    }

    fn search(&self, server: u32, start: u64) -> Result<usize, usize> {
        self.announcements
            .binary_search_by_key(&(server, start), |announcement| {
                (announcement.server, announcement.start)
            })
    }
}
