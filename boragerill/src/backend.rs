//! The backend servers that registered themselves, and which of them get new work.
//!
//! Entries come with the store's revisions. An entry that vanishes while the store is away, or shortly
//! after it is back, stays in use until the server had time to register again.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use compact_str::CompactString;

use crate::rank::hash_name;

/// Revision of the platform's store.
pub type Revision = u64;

/// Name under which a backend server registers.
pub type ServerId = CompactString;

/// Time after the store's return in which servers register again. A server that really left gets no new
/// work 2 s later at the latest.
pub const RETURN_GRACE: Duration = Duration::from_millis(1700);

/// Fewest servers of which half may be taken for lapsed by an outage.
const MASS_LAPSE_SERVERS: usize = 3;

/// Removed entries that are remembered for VMs that lag behind.
const REMOVED_KEPT: usize = 512;

/// One backend server as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Name of the entry; unlike the address it isn't used again by others.
    pub id: ServerId,
    /// IP number and port.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Identifies the start of the server's process.
    pub start: u64,
}

impl BackendServer {
    /// Returns the key by which VMs tell each other of the server.
    pub fn key(&self) -> u32 {
        server_key(&self.id)
    }
}

/// Returns the short key of a server's id.
pub fn server_key(id: &str) -> u32 {
    (hash_name(id) >> 32) as u32
}

/// One entry of the store, or what is left of a removed one.
#[derive(Clone, Debug)]
struct BackendEntry {
    id: ServerId,
    revision: Revision,
    server: Option<BackendServer>,
    missing: Option<Instant>, // When the entry was found missing.
}

/// A change of one entry, as VMs hand it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendChange {
    /// Name of the entry.
    pub id: ServerId,
    /// Revision of the change.
    pub revision: Revision,
    /// The server, or `None` when the entry is gone or names no server.
    pub server: Option<BackendServer>,
    /// Whether the entry is missing, but the server may still register again.
    pub missing: bool,
}

/// All entries up to one revision.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    through: Revision,
    entries: Vec<BackendEntry>, // Sorted by id.
    returned: Option<Instant>,  // When the store was last found back after it had been away.
    away: bool,
}

impl BackendTable {
    /// Returns the revision up to which the table is complete.
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Returns whether the store was last found not to answer.
    pub fn is_store_unavailable(&self) -> bool {
        self.away
    }

    /// Notes that the store can't be reached.
    pub fn record_store_unavailable(&mut self) {
        self.away = true;
    }

    /// Notes that the store answers.
    pub fn record_store_available(&mut self, now: Instant) {
        if std::mem::take(&mut self.away) {
            self.returned = Some(now);
        }
    }

    /// Takes over changes from the store, in their order, that complete the table to `through`.
    pub fn apply(&mut self, changes: Vec<BackendChange>, through: Revision, now: Instant) {
        let changes = last_changes(changes);
        if self.is_mass_lapse(&changes) {
            self.returned = Some(now);
        }
        let holds = self.holds_missing(now);
        self.apply_all(changes, through, holds, now);
    }

    /// Returns whether so many entries vanish at once that the store must have been away: a watch that
    /// was silent through an outage doesn't fail.
    fn is_mass_lapse(&self, changes: &[BackendChange]) -> bool {
        let in_use = self
            .servers()
            .filter(|server| !server.leaving)
            .collect::<Vec<_>>();
        let lapses = changes.iter().filter(|change| {
            change.server.is_none() && in_use.iter().any(|server| server.id == change.id)
        });
        in_use.len() >= MASS_LAPSE_SERVERS && lapses.count() * 2 >= in_use.len()
    }

    /// Takes over changes that another VM has told; it knows by itself which entries may come back.
    pub fn apply_reported(&mut self, changes: Vec<BackendChange>, through: Revision, now: Instant) {
        self.apply_all(changes, through, false, now);
    }

    fn apply_all(
        &mut self,
        changes: Vec<BackendChange>,
        through: Revision,
        holds: bool,
        now: Instant,
    ) {
        for change in changes {
            self.apply_one(change, holds, now);
        }
        self.through = self.through.max(through);
        self.forget_old();
    }

    /// Takes over a whole listing as of `through`; what it lacks is gone.
    pub fn replace(&mut self, listed: Vec<BackendChange>, through: Revision, now: Instant) {
        if through < self.through {
            return;
        }
        let mut ids: Vec<&ServerId> = listed.iter().map(|change| &change.id).collect();
        ids.sort();
        let gone: Vec<ServerId> = self
            .entries
            .iter()
            .filter(|entry| entry.server.is_some() && ids.binary_search(&&entry.id).is_err())
            .map(|entry| entry.id.clone())
            .collect();
        let removals = gone.into_iter().map(|id| BackendChange {
            id,
            revision: through,
            server: None,
            missing: false,
        });
        let changes = removals.chain(listed).collect();
        self.apply(changes, through, now);
    }

    /// Returns the changes after a revision, or everything when that is too long ago.
    pub fn changes_since(&self, since: Revision) -> Vec<BackendChange> {
        let newer = self.entries.iter().filter(|entry| entry.revision > since);
        newer
            .map(|entry| BackendChange {
                id: entry.id.clone(),
                revision: entry.revision,
                server: entry.server.clone(),
                missing: entry.missing.is_some(),
            })
            .collect()
    }

    /// Returns whether [`BackendTable::expire`] would drop an entry.
    pub fn has_expired(&self, now: Instant) -> bool {
        !self.away && self.entries.iter().any(|entry| self.is_lapsed(entry, now))
    }

    /// Returns whether the server of a missing entry had time to register again.
    fn is_lapsed(&self, entry: &BackendEntry, now: Instant) -> bool {
        let Some(missing) = entry.missing else {
            return false;
        };
        let since = self.returned.map_or(missing, |back| back.max(missing));
        entry.server.is_some() && now >= since + RETURN_GRACE
    }

    /// Drops entries whose servers had time to register again; returns whether any was dropped.
    pub fn expire(&mut self, now: Instant) -> bool {
        if !self.has_expired(now) {
            return false;
        }
        let lapsed: Vec<usize> = (0..self.entries.len())
            .filter(|&index| self.is_lapsed(&self.entries[index], now))
            .collect();
        for index in lapsed {
            self.entries[index].server = None;
            self.entries[index].missing = None;
        }
        true
    }

    /// Returns the servers in use, those that get no new work included.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.entries
            .iter()
            .filter_map(|entry| entry.server.as_ref())
    }

    fn apply_one(&mut self, change: BackendChange, holds: bool, now: Instant) {
        let found = self
            .entries
            .binary_search_by(|entry| entry.id.cmp(&change.id));
        let index = match found {
            Ok(index) if self.entries[index].revision >= change.revision => return,
            Ok(index) => index,
            Err(index) => {
                let entry = BackendEntry {
                    id: change.id.clone(),
                    revision: 0,
                    server: None,
                    missing: None,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        let known = found.is_ok();
        let entry = &mut self.entries[index];
        entry.revision = change.revision;
        match change.server {
            // Whoever holds a missing entry doesn't know whether the server is gone.
            Some(_) if change.missing && known && entry.server.is_none() => {}
            Some(server) => {
                entry.server = Some(server);
                entry.missing = change.missing.then_some(now);
            }
            // A server that was leaving has left; others may only have lapsed with the store.
            None if holds && entry.server.as_ref().is_some_and(|server| !server.leaving) => {
                entry.missing = Some(now);
            }
            None => {
                entry.server = None;
                entry.missing = None;
            }
        }
    }

    /// Returns whether entries that vanish now may come back by themselves.
    fn holds_missing(&self, now: Instant) -> bool {
        self.away
            || self
                .returned
                .is_some_and(|returned| now < returned + RETURN_GRACE)
    }

    fn forget_old(&mut self) {
        let removed = self.entries.iter().filter(|entry| entry.server.is_none());
        let mut revisions: Vec<Revision> = removed.map(|entry| entry.revision).collect();
        if revisions.len() <= REMOVED_KEPT {
            return;
        }
        revisions.sort_unstable();
        let oldest = revisions[revisions.len() - REMOVED_KEPT];
        self.entries
            .retain(|entry| entry.server.is_some() || entry.revision >= oldest);
    }
}

/// Returns the last change of each entry; the store names deletions by the revision of their batch, so
/// that only the order tells which change of an entry is the last.
fn last_changes(mut changes: Vec<BackendChange>) -> Vec<BackendChange> {
    changes.reverse();
    changes.sort_by(|one, other| one.id.cmp(&other.id));
    changes.dedup_by(|later, first| later.id == first.id);
    changes
}
