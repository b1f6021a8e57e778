//! Which software version of a service's servers began a stream.
//!
//! Servers of several versions may serve side by side, and the events of one stream have to come from one version. A
//! caller may take a stream up again at any VM. Each VM records the streams that it has begun, and reports them to the
//! others while more than one version may have begun a stream. A stream without a record is resumed only if a single
//! version has served for as long as a stream may last; a version is never guessed.
//!
//! That no other version has served is known from the absence of others in the list of servers, which proves nothing
//! when the list is old. So a VM vouches for a version only while its list was confirmed lately, and a version that is new
//! to a service begins streams only once no VM can vouch by a list that it isn't in: it is settled then.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

use crate::rank::{
    hash_name,
    score, //
};

/// Longest time from the first event of a stream to the last request that takes it up again: the longest timeout of a
/// caller, and that of callers that state none.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Time after a confirmation of the list of servers for which a VM vouches for a version.
pub const LIST_LIFETIME: Duration = Duration::from_secs(1);

/// Time after a version was first seen within which every VM that vouches for a version has seen it. Leases that no answer
/// of the store renews lapse within 3.3 s: a call of the first watcher waits for up to 1.4 s and is overdue after up to
/// 0.9 s, and a call of the other watchers, which begins 0.1 s later, is overdue after up to 0.9 s. [`LIST_LIFETIME`] later
/// no VM vouches by a list of before. The rest is for messages on their way.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Longest time between two observations of the list of a process that runs; after a longer one it stood still, and what
/// it receives first may be old.
pub const OBSERVE_LIMIT: Duration = Duration::from_secs(1);

/// Time for which a process that stood still vouches for no version.
const STANDSTILL_HOLD: Duration = Duration::from_secs(1);

/// Time without a confirmed list after which a version may have left, been forgotten by others and returned unnoticed.
const MISSED_TIME: Duration = Duration::from_secs(50);

/// Number of parts of the table of streams; each part is a sorted vector.
const TABLE_PARTS: usize = 256;

/// Most records in one part; the oldest yield.
const PART_LIMIT: usize = 2048;

/// Identifies a software version of a service.
pub type VersionKey = u64;

/// Hash of the name of a service.
pub type ServiceKey = u64;

/// Hash of the id of the request that brought a stream's first event.
pub type StreamKey = u64;

/// Returns the key of a version of a service.
pub fn version_key(service: &str, version: &str) -> VersionKey {
    score(hash_name(service), hash_name(version))
}

/// A stream and the version that began it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub version: VersionKey,
}

/// Record of one stream.
#[derive(Clone, Copy, Debug)]
struct StreamRecord {
    origin: StreamOrigin,
    recorded: Instant,
}

/// Streams that this VM or others have begun.
#[derive(Clone, Debug)]
pub struct StreamTable {
    parts: Vec<Vec<StreamRecord>>, // By the first bits of the stream's key; each sorted by stream.
    unreported: VecDeque<(ServiceKey, StreamRecord)>, // Begun by this VM, oldest first.
}

impl Default for StreamTable {
    fn default() -> StreamTable {
        StreamTable {
            parts: vec![Vec::new(); TABLE_PARTS],
            unreported: VecDeque::new(),
        }
    }
}

impl StreamTable {
    /// Records a stream of a service that this VM has begun.
    pub fn record_own(&mut self, service: ServiceKey, origin: StreamOrigin, now: Instant) {
        self.record(origin, now);
        let record = StreamRecord {
            origin,
            recorded: now,
        };
        self.unreported.push_back((service, record));
    }

    /// Records a stream that another VM has begun, unless it is known.
    pub fn record(&mut self, origin: StreamOrigin, now: Instant) {
        let part = &mut self.parts[part_index(origin.stream)];
        let found = part.binary_search_by_key(&origin.stream, |record| record.origin.stream);
        let Err(index) = found else {
            return;
        };
        let recorded = now;
        part.insert(index, StreamRecord { origin, recorded });
        if part.len() > PART_LIMIT {
            let times = part.iter().map(|record| record.recorded);
            let oldest = times.min().unwrap_or(now);
            part.retain(|record| record.recorded > oldest);
        }
    }

    /// Returns the version that began a stream.
    pub fn find(&self, stream: StreamKey) -> Option<VersionKey> {
        let part = &self.parts[part_index(stream)];
        let found = part.binary_search_by_key(&stream, |record| record.origin.stream);
        Some(part[found.ok()?].origin.version)
    }

    /// Returns up to `limit` streams that this VM has begun and not yet returned, of the services that `is_mixed`
    /// accepts.
    pub fn take_unreported(
        &mut self,
        is_mixed: impl Fn(ServiceKey) -> bool,
        limit: usize,
    ) -> Vec<StreamOrigin> {
        let mut taken = Vec::new();
        self.unreported.retain(|(service, record)| {
            let takes = taken.len() < limit && is_mixed(*service);
            if takes {
                taken.push(record.origin);
            }
            !takes
        });
        taken
    }

    /// Removes the records of streams that can't be taken up any more.
    pub fn prune(&mut self, now: Instant) {
        let is_current = |record: &StreamRecord| now < record.recorded + STREAM_LIFETIME;
        for part in &mut self.parts {
            part.retain(is_current);
        }
        while self
            .unreported
            .front()
            .is_some_and(|(_, record)| !is_current(record))
        {
            self.unreported.pop_front();
        }
    }
}

fn part_index(stream: StreamKey) -> usize {
    usize::try_from(stream >> 56).unwrap_or(0)
}

/// A version, and when a server of it was last registered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeenVersion {
    /// Service that the version belongs to.
    pub service: ServiceKey,
    /// The version.
    pub version: VersionKey,
    /// When one of its servers was last registered.
    pub last_seen: Instant,
    /// Whether one of its servers is registered now.
    pub registered: bool,
}

/// A version that the platform's store names. It is registered unless its last server has left, as stored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredVersion {
    /// The version.
    pub seen: SeenVersion,
    /// Time for which the store has named it as registered, at least.
    pub stored_for: Duration,
}

/// A version that some VM may not have seen yet.
#[derive(Clone, Copy, Debug)]
struct SettlingVersion {
    service: ServiceKey,
    version: VersionKey,
    first_seen: Instant,
}

/// Versions that the servers of each service had lately, as this VM knows them.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    seen: Vec<SeenVersion>,          // Sorted by service and version.
    settling: Vec<SettlingVersion>,  // Sorted by service and version.
    complete_since: Instant, // Versions that left before are unknown, except of these services:
    known_services: Vec<ServiceKey>, // Services whose versions the store named; sorted.
    observed: Instant,       // When the list of servers was last observed.
    confirmed: Instant,      // When the list was last confirmed as the newest.
    standstill_end: Option<Instant>, // Until when lists that were received before a standstill may count.
}

impl VersionHistory {
    /// Creates an empty history of a process that starts now.
    pub fn new(now: Instant) -> VersionHistory {
        VersionHistory {
            seen: Vec::new(),
            settling: Vec::new(),
            complete_since: now,
            known_services: Vec::new(),
            observed: now,
            confirmed: now,
            standstill_end: None,
        }
    }

    /// Records the versions of all registered servers by a list that was last confirmed at `confirmed`, if that is known, and
    /// returns whether a version has come or gone.
    pub fn observe(
        &mut self,
        registered: impl Iterator<Item = (ServiceKey, VersionKey)>,
        confirmed: Option<Instant>,
        now: Instant,
    ) -> bool {
        let confirmed = confirmed.unwrap_or(self.confirmed).max(self.confirmed);
        let has_missed =
            confirmed >= self.confirmed + MISSED_TIME || now >= self.observed + MISSED_TIME;
        self.confirmed = confirmed;
        if now.saturating_duration_since(self.observed) > OBSERVE_LIMIT {
            self.standstill_end = Some(now + STANDSTILL_HOLD);
        }
        self.observed = now;
        let before: Vec<(VersionKey, bool)> = self.registered_flags();
        let known = self.seen.clone();
        for known in &mut self.seen {
            known.registered = false;
        }
        for (service, version) in registered {
            if has_missed || self.is_new(&known, (service, version), now) {
                self.settle_later((service, version), now);
            }
            self.add(SeenVersion {
                service,
                version,
                last_seen: now,
                registered: true,
            });
        }
        self.seen
            .retain(|known| known.registered || now < known.last_seen + STREAM_LIFETIME);
        let seen = &self.seen;
        self.settling
            .retain(|settling| find_seen(seen, (settling.service, settling.version)).is_ok());
        before != self.registered_flags()
    }

    /// Records that the fleet has just started for the first time, so that no version has served before.
    pub fn begin_fleet(&mut self, now: Instant) {
        let earliest = now.checked_sub(STREAM_LIFETIME).unwrap_or(now);
        self.complete_since = self.complete_since.min(earliest);
    }

    /// Adds versions that were stored by a VM that knew the history. That of their services is complete from then on: a
    /// version begins streams beside those of another one only once it has been stored. Those that the store names once
    /// all VMs have seen them are settled: no VM that is behind replaces them there.
    pub fn adopt(&mut self, stored: Vec<StoredVersion>, now: Instant) {
        // By the clocks of other VMs only where this one doesn't know better.
        let is_known = |service: &ServiceKey| self.is_complete(*service, now);
        let mut complete: Vec<ServiceKey> =
            stored.iter().map(|stored| stored.seen.service).collect();
        complete.retain(is_known);
        for StoredVersion { seen, stored_for } in stored {
            let key = (seen.service, seen.version);
            let is_old = stored_for >= SETTLE_TIME && !complete.contains(&seen.service);
            match self.find_settling(key) {
                Ok(index) => {
                    let has_settled = now >= self.settling[index].first_seen + SETTLE_TIME;
                    if seen.registered && (is_old || has_settled) {
                        self.settling.remove(index);
                    }
                }
                Err(_) if find_seen(&self.seen, key).is_ok() || is_old || !seen.registered => {}
                Err(_) => self.settle_later(key, now),
            }
            match find_seen(&self.seen, key) {
                Ok(index) => {
                    let known = &mut self.seen[index];
                    known.last_seen = known.last_seen.max(seen.last_seen);
                }
                Err(index) => self.seen.insert(index, seen),
            }
            if let Err(index) = self.known_services.binary_search(&seen.service) {
                self.known_services.insert(index, seen.service);
            }
        }
    }

    /// Returns whether streams of more than one version of a service may be taken up now.
    pub fn is_mixed(&self, service: ServiceKey) -> bool {
        self.versions(service).count() > 1
    }

    /// Returns the only version that can have begun a stream of a service, if there is only one and the list of servers
    /// was confirmed as the newest lately, at `confirmed`.
    pub fn sole_version(
        &self,
        service: ServiceKey,
        confirmed: Option<Instant>,
        now: Instant,
    ) -> Option<VersionKey> {
        let confirmed = confirmed?;
        let mut versions = self.versions(service);
        let sole = versions.next()?;
        let is_certain = self.is_complete(service, now)
            && versions.next().is_none()
            && now.saturating_duration_since(confirmed) <= LIST_LIFETIME
            && now.saturating_duration_since(self.observed) <= OBSERVE_LIMIT
            && self.standstill_end.is_none_or(|end| now >= end);
        is_certain.then_some(sole)
    }

    /// Returns whether every VM that vouches for a version of the service has seen this one, and VMs that start know it.
    pub fn is_settled(&self, service: ServiceKey, version: VersionKey) -> bool {
        self.find_settling((service, version)).is_err()
    }

    /// Returns whether there is a version that isn't settled.
    pub fn has_settling(&self) -> bool {
        !self.settling.is_empty()
    }

    /// Returns whether all VMs have seen a registered version of which this one hasn't read that the store names it.
    pub fn has_unstored(&self, now: Instant) -> bool {
        let mut settling = self.settling.iter();
        settling.any(|settling| {
            let found = find_seen(&self.seen, (settling.service, settling.version));
            let is_registered = found.is_ok_and(|index| self.seen[index].registered);
            is_registered && now >= settling.first_seen + SETTLE_TIME
        })
    }

    /// Returns all versions that were seen lately.
    pub fn seen(&self) -> &[SeenVersion] {
        &self.seen
    }

    /// Returns the versions to store: those of services whose history is complete. Others may have had more versions than
    /// this VM knows.
    pub fn storable(&self, now: Instant) -> impl Iterator<Item = &SeenVersion> + '_ {
        let seen = self.seen.iter();
        seen.filter(move |known| self.is_complete(known.service, now))
    }

    /// Returns whether some VM may vouch for another version of the service than a registered one. `known` are the
    /// versions that were known before. The first versions of a service that never had another one aren't new; those that
    /// return are, since other VMs or the store may have forgotten them.
    fn is_new(&self, known: &[SeenVersion], key: (ServiceKey, VersionKey), now: Instant) -> bool {
        match find_seen(known, key) {
            Ok(index) => !known[index].registered,
            Err(_) => {
                let has_other = known.iter().any(|known| known.service == key.0);
                has_other || !self.is_complete(key.0, now)
            }
        }
    }

    fn is_complete(&self, service: ServiceKey, now: Instant) -> bool {
        let is_known = self.known_services.binary_search(&service).is_ok();
        is_known || now >= self.complete_since + STREAM_LIFETIME
    }

    fn settle_later(&mut self, (service, version): (ServiceKey, VersionKey), now: Instant) {
        let settling = SettlingVersion {
            service,
            version,
            first_seen: now,
        };
        match self.find_settling((service, version)) {
            Ok(index) => self.settling[index] = settling,
            Err(index) => self.settling.insert(index, settling),
        }
    }

    fn find_settling(&self, key: (ServiceKey, VersionKey)) -> Result<usize, usize> {
        self.settling
            .binary_search_by_key(&key, |settling| (settling.service, settling.version))
    }

    fn versions(&self, service: ServiceKey) -> impl Iterator<Item = VersionKey> + '_ {
        let seen = self.seen.iter();
        seen.filter(move |known| known.service == service)
            .map(|known| known.version)
    }

    fn registered_flags(&self) -> Vec<(VersionKey, bool)> {
        let seen = self.seen.iter();
        seen.map(|known| (known.version, known.registered))
            .collect()
    }

    fn add(&mut self, seen: SeenVersion) {
        match find_seen(&self.seen, (seen.service, seen.version)) {
            Ok(index) => {
                let known = &mut self.seen[index];
                known.last_seen = known.last_seen.max(seen.last_seen);
                known.registered |= seen.registered;
            }
            Err(index) => self.seen.insert(index, seen),
        }
    }
}

fn find_seen(seen: &[SeenVersion], key: (ServiceKey, VersionKey)) -> Result<usize, usize> {
    seen.binary_search_by_key(&key, |known| (known.service, known.version))
}
