//! Table of the registered backend servers, kept in sync with the platform's store.
//!
//! Changes carry the store's revisions. An entry that is removed while the store is unavailable, or shortly
//! after it is available again, stays in use until the server has had time to register again.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use compact_str::CompactString;

use crate::{
    rank::{
        hash_name,
        score, //
    },
    warmup::{
        ListedProcess,
        StatedWarmup, //
    }, //
};

/// Revision of the platform's store.
pub type Revision = u64;

/// Name under which a backend server registers.
pub type ServerId = CompactString;

/// Time that servers have to register again once the store is available. A server that is really gone must
/// get no new requests after 2 s at the latest.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(1700);

/// Minimum number of servers for which the removal of half of them counts as an outage of the store.
const MASS_EXPIRY_MIN_SERVERS: usize = 3;

/// Number of removed entries that are kept as tombstones for VMs whose tables are behind.
const TOMBSTONE_LIMIT: usize = 512;

/// Registration of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Name of the store's entry; unlike an address, an id is never reused by another server.
    pub id: ServerId,
    /// IP address and port.
    pub address: SocketAddr,
    /// Service that the server belongs to.
    pub service: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Version of the server's software. The events of one stream have to come from servers of one version.
    pub version: CompactString,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is draining and gets no new requests.
    pub leaving: bool,
    /// Start identifier of the server's process; changes with each restart.
    pub start: u64,
    /// Remaining warm-up time of the process, if the entry states it.
    pub warmup: Option<StatedWarmup>,
}

impl BackendServer {
    /// Returns the short key that identifies the server in messages between VMs.
    pub fn key(&self) -> u32 {
        server_key(&self.id)
    }

    /// Returns whether another entry is of the same process at the same address. The key stays the same when a server
    /// restarts.
    pub fn is_same_process(&self, other: &BackendServer) -> bool {
        self.id == other.id && self.start == other.start && self.address == other.address
    }
}

/// Returns the short key of a server id: the upper half of its hash.
pub fn server_key(id: &str) -> u32 {
    (hash_name(id) >> 32) as u32
}

/// One entry of the store, or the tombstone of a removed entry.
#[derive(Clone, Debug)]
struct BackendEntry {
    id: ServerId,
    revision: Revision,
    server: Option<BackendServer>,
    received: Instant,        // When the last change was received.
    missing: Option<Instant>, // When the entry was first missing in the store.
}

/// Change of one entry, from the store or from another VM.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendChange {
    /// Name of the entry.
    pub id: ServerId,
    /// Revision of the change.
    pub revision: Revision,
    /// The registered server, or `None` if the entry was removed or holds no valid registration.
    pub server: Option<BackendServer>,
    /// Whether the store lacks the entry, but the server may still register again.
    pub missing: bool,
}

/// All entries as of one revision.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    through: Revision,
    entries: Vec<BackendEntry>,       // Sorted by id.
    removals_since: Revision,         // All removals after this revision are held as tombstones.
    available_since: Option<Instant>, // End of the store's last outage.
    mass_expiry: Option<Instant>,     // Last removal that was taken for an outage.
    unavailable: bool,
}

impl BackendTable {
    /// Returns the revision up to which the table holds all changes.
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Returns whether the last request to the store failed.
    pub fn is_store_unavailable(&self) -> bool {
        self.unavailable
    }

    /// Records that the store is unavailable.
    pub fn record_store_unavailable(&mut self) {
        self.unavailable = true;
    }

    /// Records that the store responded; starts the registration grace period after an outage.
    pub fn record_store_available(&mut self, now: Instant) {
        if std::mem::take(&mut self.unavailable) {
            self.available_since = Some(now);
        }
    }

    /// Applies the store's changes up to `through`, in the store's order.
    pub fn apply(&mut self, changes: Vec<BackendChange>, through: Revision, now: Instant) {
        // A server that announced its leave isn't kept when its removal comes in the same answer.
        let is_leaving = |change: &&BackendChange| {
            let server = change.server.as_ref();
            server.is_some_and(|server| server.leaving)
        };
        for change in changes.iter().filter(is_leaving) {
            self.apply_one(change.clone(), false, now);
        }
        let changes = last_changes(changes);
        if self.is_mass_expiry(&changes) {
            self.mass_expiry = Some(now);
        }
        let keeps_missing = self.keeps_missing(now);
        self.apply_all(changes, through, keeps_missing, now);
    }

    /// Returns whether the changes remove at least half of the servers in use that the store lists. Such a removal is
    /// taken for an outage of the store, since a watch that receives nothing during an outage doesn't fail.
    fn is_mass_expiry(&self, changes: &[BackendChange]) -> bool {
        let listed = self.entries.iter().filter(|entry| entry.missing.is_none());
        let in_use: Vec<&BackendServer> = listed
            .filter_map(|entry| entry.server.as_ref())
            .filter(|server| !server.leaving)
            .collect();
        let expired = changes.iter().filter(|change| {
            change.server.is_none() && in_use.iter().any(|server| server.id == change.id)
        });
        in_use.len() >= MASS_EXPIRY_MIN_SERVERS && expired.count() * 2 >= in_use.len()
    }

    /// Applies changes that another VM reported. The reporting VM has already decided which missing entries
    /// are kept.
    pub fn apply_reported(&mut self, changes: Vec<BackendChange>, through: Revision, now: Instant) {
        self.apply_all(changes, through, false, now);
    }

    fn apply_all(
        &mut self,
        changes: Vec<BackendChange>,
        through: Revision,
        keeps_missing: bool,
        now: Instant,
    ) {
        for change in changes {
            self.apply_one(change, keeps_missing, now);
        }
        self.through = self.through.max(through);
        self.prune_tombstones();
    }

    /// Replaces the table by a full listing as of `through`; entries that the listing lacks are removed. A
    /// listing older than the table is ignored.
    pub fn replace(&mut self, listed: Vec<BackendChange>, through: Revision, now: Instant) {
        if through < self.through {
            return;
        }
        let removals = self.removals(&listed, through);
        let changes = removals.into_iter().chain(listed).collect();
        self.apply(changes, through, now);
        // A listing doesn't tell which servers were registered and removed before it.
        self.removals_since = through;
    }

    /// Returns removals of the servers in use that a complete list as of `through` lacks.
    fn removals(&self, listed: &[BackendChange], through: Revision) -> Vec<BackendChange> {
        let mut ids: Vec<&ServerId> = listed.iter().map(|change| &change.id).collect();
        ids.sort();
        let in_use = self.entries.iter().filter(|entry| entry.server.is_some());
        let removed = in_use.filter(|entry| ids.binary_search(&&entry.id).is_err());
        let removals = removed.map(|entry| BackendChange {
            id: entry.id.clone(),
            revision: through,
            server: None,
            missing: false,
        });
        removals.collect()
    }

    /// Returns whether [`BackendTable::changes_since`] returns all changes after a revision. Otherwise the table no longer
    /// holds all removals, and only the complete list of entries tells which servers were removed.
    pub fn holds_changes_since(&self, since: Revision) -> bool {
        since >= self.removals_since
    }

    /// Returns a digest of the servers in use. Tables with equal digests hold the same entries.
    pub fn digest(&self) -> u64 {
        let in_use = self.entries.iter().filter(|entry| entry.server.is_some());
        in_use.fold(0, |digest, entry| {
            digest ^ score(entry.revision, hash_name(&entry.id))
        })
    }

    /// Returns whether a change would change the table.
    pub fn is_news(&self, change: &BackendChange) -> bool {
        let found = self.search(&change.id);
        found.map_or(change.server.is_some(), |index| {
            self.entries[index].revision < change.revision
        })
    }

    /// Applies the complete list of entries that another VM reported. Entries that it lacks are removed, unless they are
    /// newer than the list.
    pub fn replace_reported(
        &mut self,
        listed: Vec<BackendChange>,
        through: Revision,
        now: Instant,
    ) {
        if through < self.through {
            return;
        }
        // A tombstone may belong to an earlier registration of a server than this table holds.
        let listed: Vec<BackendChange> = listed
            .into_iter()
            .filter(|change| change.server.is_some())
            .collect();
        let removals = self.removals(&listed, through);
        self.apply_all(removals, through, false, now);
        self.apply_all(listed, through, false, now);
        self.removals_since = through;
    }

    /// Returns the changes after a revision; removals only as far as their tombstones are still kept.
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

    /// Returns for how long a missing entry has been kept; nothing while the store is unavailable, since its server has
    /// had no time to register again.
    pub fn missing_age(&self, id: &str, now: Instant) -> Option<Duration> {
        let found = self.search(id);
        let since = self.missing_since(&self.entries[found.ok()?])?;
        (!self.unavailable).then(|| now.saturating_duration_since(since))
    }

    /// Records for how long the VM that reported a missing entry has kept it. Otherwise each VM that it is reported to
    /// would keep it for as long again.
    pub fn record_missing_age(&mut self, id: &str, age: Duration, now: Instant) {
        let found = self.search(id);
        let Some(missing) = found
            .ok()
            .and_then(|index| self.entries[index].missing.as_mut())
        else {
            return;
        };
        *missing = (*missing).min(now.checked_sub(age).unwrap_or(now));
    }

    /// Returns whether [`BackendTable::expire`] would remove an entry.
    pub fn has_expired(&self, now: Instant) -> bool {
        !self.unavailable && self.entries.iter().any(|entry| self.is_expired(entry, now))
    }

    /// Returns whether the grace period of a missing entry is over.
    fn is_expired(&self, entry: &BackendEntry, now: Instant) -> bool {
        let since = self.missing_since(entry);
        entry.server.is_some() && since.is_some_and(|since| now >= since + REGISTRATION_GRACE)
    }

    /// Returns when the grace period of an entry began, if it is missing.
    fn missing_since(&self, entry: &BackendEntry) -> Option<Instant> {
        let missing = entry.missing?;
        let available = self.available_since;
        Some(available.map_or(missing, |available| available.max(missing)))
    }

    /// Removes missing entries whose grace period is over, and returns whether any was removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        if !self.has_expired(now) {
            return false;
        }
        let expired: Vec<usize> = (0..self.entries.len())
            .filter(|&index| self.is_expired(&self.entries[index], now))
            .collect();
        for index in expired {
            self.entries[index].server = None;
            self.entries[index].missing = None;
        }
        true
    }

    /// Returns the servers in use, including draining ones.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.entries
            .iter()
            .filter_map(|entry| entry.server.as_ref())
    }

    /// Returns the processes of the servers in use and what their entries state about their warm-up.
    pub fn processes(&self) -> impl Iterator<Item = ListedProcess> + '_ {
        self.entries.iter().filter_map(|entry| {
            let server = entry.server.as_ref()?;
            Some(ListedProcess {
                process: (server.key(), server.start),
                service: hash_name(&server.service),
                revision: entry.revision,
                stated: server.warmup,
                received: entry.received,
            })
        })
    }

    fn apply_one(&mut self, change: BackendChange, keeps_missing: bool, now: Instant) {
        let found = self.search(&change.id);
        let index = match found {
            Ok(index) if self.entries[index].revision >= change.revision => return,
            Ok(index) => index,
            Err(index) => {
                let entry = BackendEntry {
                    id: change.id.clone(),
                    revision: 0,
                    server: None,
                    received: now,
                    missing: None,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        let known = found.is_ok();
        let entry = &mut self.entries[index];
        entry.revision = change.revision;
        entry.received = now;
        match change.server {
            // A VM that keeps a missing entry doesn't know whether the server was removed; this VM does.
            Some(_) if change.missing && known && entry.server.is_none() => {}
            Some(server) => {
                entry.server = Some(server);
                // An entry that is reported again has been missing since the first report.
                let since = entry.missing.unwrap_or(now);
                entry.missing = change.missing.then_some(since);
            }
            // A draining server has stopped; the entry of another one may only have expired in the outage.
            None if keeps_missing
                && entry.server.as_ref().is_some_and(|server| !server.leaving) =>
            {
                // A listing removes it once more.
                entry.missing = entry.missing.or(Some(now));
            }
            None => {
                entry.server = None;
                entry.missing = None;
            }
        }
    }

    /// Returns whether entries removed now are kept, because their servers may register again.
    fn keeps_missing(&self, now: Instant) -> bool {
        let outages = [self.available_since, self.mass_expiry];
        let mut outages = outages.into_iter().flatten();
        self.unavailable || outages.any(|since| now < since + REGISTRATION_GRACE)
    }

    /// Returns the index of an entry, or where it would be inserted.
    fn search(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.id.as_str().cmp(id))
    }

    fn prune_tombstones(&mut self) {
        let removed = self.entries.iter().filter(|entry| entry.server.is_none());
        let mut revisions: Vec<Revision> = removed.map(|entry| entry.revision).collect();
        if revisions.len() <= TOMBSTONE_LIMIT {
            return;
        }
        revisions.sort_unstable();
        let oldest = revisions[revisions.len() - TOMBSTONE_LIMIT];
        self.removals_since = self.removals_since.max(oldest.saturating_sub(1));
        self.entries
            .retain(|entry| entry.server.is_some() || entry.revision >= oldest);
    }
}

/// Returns the last change of each entry. The last one is found by order: the store gives every deletion the
/// revision of its batch, so that revisions within a batch aren't comparable.
fn last_changes(mut changes: Vec<BackendChange>) -> Vec<BackendChange> {
    changes.reverse();
    changes.sort_by(|one, other| one.id.cmp(&other.id));
    changes.dedup_by(|later, first| later.id == first.id);
    changes
}
