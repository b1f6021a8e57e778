//! Reuse of connections between VMs.
//!
//! An open connection may fall silent for good without a reset, while new ones work. So a connection is reused only with
//! recent evidence that it works: it was opened, or a response arrived on it, within `MAX_EVIDENCE_AGE`. Where a request
//! is sent beside one whose response is late, it uses a new one.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

/// Age of the last evidence that a connection works from which on it isn't reused.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(1000);

/// Which connection a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChoice {
    /// One that recently worked, or a new one.
    Recent,
    /// A new one.
    New,
}

#[derive(Clone, Debug)]
struct KeptLink<L> {
    address: CompactString,
    link: L,
    confirmed: Instant, // Last evidence that the connection works.
}

/// Connections that recently worked, at most one for each address.
#[derive(Clone, Debug)]
pub struct RecentLinks<L> {
    links: Vec<KeptLink<L>>, // Sorted by address.
}

impl<L> Default for RecentLinks<L> {
    fn default() -> RecentLinks<L> {
        RecentLinks { links: Vec::new() }
    }
}

impl<L: Clone + PartialEq> RecentLinks<L> {
    /// Returns the connection for a request to an address, unless a new one is needed. Drops connections that are no
    /// longer reused; they close once their last request has ended.
    pub fn find(&mut self, address: &str, choice: LinkChoice, now: Instant) -> Option<L> {
        self.links
            .retain(|kept| now < kept.confirmed + MAX_EVIDENCE_AGE);
        let index = self.search(address).ok()?;
        (choice == LinkChoice::Recent).then(|| self.links[index].link.clone())
    }

    /// Keeps a connection that was just opened, instead of an earlier one to the same address.
    pub fn insert(&mut self, address: &str, link: L, now: Instant) {
        let kept = KeptLink {
            address: address.into(),
            link,
            confirmed: now,
        };
        match self.search(address) {
            Ok(index) => self.links[index] = kept,
            Err(index) => self.links.insert(index, kept),
        }
    }

    /// Records that a response arrived on a connection, unless it has been replaced.
    pub fn confirm(&mut self, address: &str, link: &L, now: Instant) {
        if let Some(index) = self.position(address, link) {
            self.links[index].confirmed = now;
        }
    }

    /// Drops a connection on which a request failed, unless it has been replaced.
    pub fn remove(&mut self, address: &str, link: &L) {
        if let Some(index) = self.position(address, link) {
            self.links.remove(index);
        }
    }

    fn position(&self, address: &str, link: &L) -> Option<usize> {
        let index = self.search(address).ok()?;
        (self.links[index].link == *link).then_some(index)
    }

    fn search(&self, address: &str) -> Result<usize, usize> {
        self.links
            .binary_search_by(|kept| kept.address.as_str().cmp(address))
    }
}
