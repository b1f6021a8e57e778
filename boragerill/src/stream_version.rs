//! Which software version of a service's servers began a stream.
//!
//! Servers of several versions may serve side by side, and the events of one stream have to come from one version. A
//! caller may take a stream up again at any VM. Each VM records the streams that it has begun, and reports them to the
//! others while more than one version may have begun a stream. A stream without a record is resumed only if a single
//! version has served for as long as a stream may last; a version is never guessed.

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

/// Versions that the servers of each service had lately, as this VM knows them.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    seen: Vec<SeenVersion>,  // Sorted by service and version.
    complete_since: Instant, // Versions that left before are unknown.
}

impl VersionHistory {
    /// Creates an empty history of a process that starts now.
    pub fn new(now: Instant) -> VersionHistory {
        VersionHistory {
            seen: Vec::new(),
            complete_since: now,
        }
    }

    /// Records the versions of all registered servers, and returns whether a version has come or gone.
    pub fn observe(
        &mut self,
        registered: impl Iterator<Item = (ServiceKey, VersionKey)>,
        now: Instant,
    ) -> bool {
        let before: Vec<(VersionKey, bool)> = self.registered_flags();
        for known in &mut self.seen {
            known.registered = false;
        }
        for (service, version) in registered {
            self.add(SeenVersion {
                service,
                version,
                last_seen: now,
                registered: true,
            });
        }
        self.seen
            .retain(|known| known.registered || now < known.last_seen + STREAM_LIFETIME);
        before != self.registered_flags()
    }

    /// Adds versions that were stored by a VM that knew the history, which is complete from then on.
    pub fn adopt(&mut self, stored: Vec<SeenVersion>, now: Instant) {
        for version in stored {
            self.add(version);
        }
        let earliest = now.checked_sub(STREAM_LIFETIME).unwrap_or(now);
        self.complete_since = self.complete_since.min(earliest);
    }

    /// Returns whether streams of more than one version of a service may be taken up now.
    pub fn is_mixed(&self, service: ServiceKey) -> bool {
        self.versions(service).count() > 1
    }

    /// Returns the only version that can have begun a stream of a service, if there is only one.
    pub fn sole_version(&self, service: ServiceKey, now: Instant) -> Option<VersionKey> {
        let mut versions = self.versions(service);
        let sole = versions.next()?;
        let is_complete = now >= self.complete_since + STREAM_LIFETIME;
        (is_complete && versions.next().is_none()).then_some(sole)
    }

    /// Returns all versions that were seen lately.
    pub fn seen(&self) -> &[SeenVersion] {
        &self.seen
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
        let key = (seen.service, seen.version);
        let found = self
            .seen
            .binary_search_by_key(&key, |known| (known.service, known.version));
        match found {
            Ok(index) => {
                let known = &mut self.seen[index];
                known.last_seen = known.last_seen.max(seen.last_seen);
                known.registered |= seen.registered;
            }
            Err(index) => self.seen.insert(index, seen),
        }
    }
}
