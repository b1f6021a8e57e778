//! Subscribes to the configuration that control processes distribute, and publishes its snapshots.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use log::{
    info,
    warn, //
};
use metrics::gauge;
use tokio::{
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    config::{
        ConfigTable,
        DeltaBuffer,
        Version, //
    },
    error::{
        ServeError,
        Step, //
    },
    frame::FrameLink,
    generated::messages::{
        envelope::Body,
        ConfigDelta,
        ConfigObject,
        FeederList,
        Hello,
        LoadReport,
        Subscribe, //
    },
    snapshot::Snapshot,
    timer::millis, //
};

/// Period at which a control process sends its configuration version to subscribers.
pub const CONFIRM_PERIOD: Duration = Duration::from_millis(500);

/// Value of `age_ms` for a configuration that the platform never confirmed.
pub const AGE_UNKNOWN: u64 = u64::MAX;

/// Time without a message after which a subscriber switches to the next control process.
const FEED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay before connecting to a control process after a feed has ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Configuration of a process: the table of objects and the snapshot in force.
#[derive(Debug)]
pub struct SnapshotStore {
    table: Mutex<ConfigTable>,
    // Last accepted versions of objects whose newest version was rejected; sorted by kind and name.
    accepted_objects: Mutex<Vec<ConfigObject>>,
    current: ArcSwap<Snapshot>,
    changed: watch::Sender<Version>,
    feeders: ArcSwap<Vec<CompactString>>, // Sorted.
    started: Instant,
    confirmed_ms: AtomicU64, // Since `started`; zero until the first confirmation.
}

impl Default for SnapshotStore {
    fn default() -> SnapshotStore {
        SnapshotStore {
            table: Mutex::default(),
            accepted_objects: Mutex::default(),
            current: ArcSwap::default(),
            changed: watch::channel(0).0,
            feeders: ArcSwap::default(),
            started: Instant::now(),
            confirmed_ms: AtomicU64::new(0),
        }
    }
}

impl SnapshotStore {
    /// Returns the snapshot in force.
    pub fn load(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Returns the VMs with a running batch process, sorted.
    pub fn feeders(&self) -> Arc<Vec<CompactString>> {
        self.feeders.load_full()
    }

    /// Replaces the list of VMs with a running batch process.
    pub fn set_feeders(&self, list: FeederList) {
        let mut feeders: Vec<CompactString> =
            list.vms.into_iter().map(CompactString::from).collect();
        feeders.sort();
        self.feeders.store(Arc::new(feeders));
    }

    /// Returns a receiver that is notified of each change with the configuration's version.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.changed.subscribe()
    }

    /// Returns the time since the platform last confirmed the configuration, or `None` if it never did.
    pub fn age(&self) -> Option<Duration> {
        let confirmed = self.confirmed_ms.load(Ordering::Relaxed);
        let confirmed = (confirmed > 0).then(|| self.started + Duration::from_millis(confirmed))?;
        Some(confirmed.elapsed())
    }

    /// Records that the platform confirmed the configuration `age` ago.
    pub fn record_confirmation(&self, age: Duration) {
        let at = self.started.elapsed().saturating_sub(age);
        let at_ms = millis(at);
        self.confirmed_ms.fetch_max(at_ms.max(1), Ordering::Relaxed);
    }

    /// Calls `read` with the table of objects while holding its lock.
    pub fn with_table<T>(&self, read: impl FnOnce(&ConfigTable) -> T) -> T {
        read(&self.lock())
    }

    /// Applies a complete delta, publishes the new snapshot and returns the objects that were newer.
    pub fn apply(&self, delta: ConfigDelta) -> Vec<ConfigObject> {
        let mut table = self.lock();
        let previous_version = table.through();
        let age_ms = delta.age_ms;
        let previous = previous_objects(&table, &delta.objects);
        let is_complete = delta.full || delta.since <= previous_version;
        let newer = table.apply(delta);
        self.publish(&table, &newer, &previous, previous_version);
        if is_complete && age_ms != AGE_UNKNOWN {
            self.record_confirmation(Duration::from_millis(age_ms));
        }
        newer
    }

    /// Builds and publishes a snapshot. The caller holds the table's lock, so that snapshots are
    /// published in the order in which deltas were merged.
    fn publish(
        &self,
        table: &ConfigTable,
        newer: &[ConfigObject],
        previous: &[ConfigObject],
        previous_version: Version,
    ) {
        if newer.is_empty() && table.through() == previous_version {
            return;
        }
        let mut snapshot = Snapshot::clone(&self.current.load());
        for object in newer {
            let violation = snapshot.apply(object);
            if let Some(violation) = &violation {
                let (kind, name, version) = (&object.kind, &object.name, object.version);
                warn!(
                    "{kind}/{name}: version {version} rejected: {}: {}",
                    violation.field, violation.cause
                );
            }
            self.update_accepted(object, previous, violation.is_some());
        }
        snapshot.complete_to(table.through());
        gauge!("config_through").set(table.through() as f64);
        self.current.store(Arc::new(snapshot));
        self.changed.send_replace(table.through());
    }

    /// Returns the last accepted version of an object whose newest version was rejected, if this process
    /// knew it.
    pub fn last_accepted(&self, kind: &str, name: &str) -> Option<ConfigObject> {
        let accepted_objects = self.lock_accepted();
        let index = accepted_objects
            .binary_search_by(|known| object_key(known).cmp(&(kind, name)))
            .ok()?;
        Some(accepted_objects[index].clone())
    }

    /// Keeps the previous version of an object when its new version is rejected, and drops it once a
    /// version is accepted.
    fn update_accepted(&self, object: &ConfigObject, previous: &[ConfigObject], rejected: bool) {
        let mut accepted_objects = self.lock_accepted();
        let found =
            accepted_objects.binary_search_by(|known| object_key(known).cmp(&object_key(object)));
        match (found, rejected) {
            (Ok(index), false) => {
                accepted_objects.remove(index);
            }
            (Err(index), true) => {
                let accepted = previous
                    .iter()
                    .find(|known| object_key(known) == object_key(object) && !known.deleted);
                if let Some(accepted) = accepted {
                    accepted_objects.insert(index, accepted.clone());
                }
            }
            _ => {}
        }
    }

    fn lock_accepted(&self) -> std::sync::MutexGuard<'_, Vec<ConfigObject>> {
        self.accepted_objects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ConfigTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the table's versions of the objects that a delta may replace.
fn previous_objects(table: &ConfigTable, objects: &[ConfigObject]) -> Vec<ConfigObject> {
    let known = objects
        .iter()
        .filter_map(|object| table.find(&object.kind, &object.name));
    known.cloned().collect()
}

fn object_key(object: &ConfigObject) -> (&str, &str) {
    (&object.kind, &object.name)
}

/// Keeps `store` subscribed to one of `controls`, trying the next in the list whenever a feed ends;
/// `on_load` receives the load reports of entry processes. Returns only if the list is empty.
pub async fn subscribe_any(
    store: Arc<SnapshotStore>,
    hello: Hello,
    controls: Vec<CompactString>,
    mut on_load: impl FnMut(LoadReport),
) {
    while !controls.is_empty() {
        for address in &controls {
            let after = store.with_table(ConfigTable::through);
            let error = subscribe_one(address, &hello, after, |message| match message {
                FeedMessage::Delta(delta) => {
                    store.apply(delta);
                }
                FeedMessage::Load(load) => on_load(load),
                FeedMessage::Feeders(list) => store.set_feeders(list),
            })
            .await;
            info!("configuration feed ended: {error}");
            sleep(RECONNECT_DELAY).await;
        }
    }
}

/// Message from a control process to its subscribers.
#[derive(Clone, Debug)]
pub enum FeedMessage {
    /// A complete delta of the configuration.
    Delta(ConfigDelta),
    /// Load report of an entry process.
    Load(LoadReport),
    /// VMs with a running batch process.
    Feeders(FeederList),
}

/// Subscribes to one control process from version `after`, and returns the error that ended the feed,
/// such as a timeout between two messages.
pub async fn subscribe_one(
    address: &str,
    hello: &Hello,
    after: Version,
    mut on_message: impl FnMut(FeedMessage),
) -> ServeError {
    let (link, mut inbox) = match FrameLink::connect(address).await {
        Ok(connection) => connection,
        Err(error) => return error,
    };
    for body in [
        Body::Hello(hello.clone()),
        Body::Subscribe(Subscribe { after }),
    ] {
        if let Err(error) = link.push(0, body) {
            return error;
        }
    }
    let mut buffer = DeltaBuffer::default();
    loop {
        let envelope = match timeout(FEED_TIMEOUT, inbox.recv()).await {
            Ok(Some(envelope)) => envelope,
            Ok(None) => {
                let cause = CompactString::from("connection closed");
                return ServeError::Unreachable(Step::Receive, address.into(), cause);
            }
            Err(_) => return ServeError::Timeout(Step::Receive, address.into()),
        };
        match envelope.body {
            Some(Body::ConfigDelta(part)) => {
                buffer
                    .push(part)
                    .into_iter()
                    .for_each(|delta| on_message(FeedMessage::Delta(delta)));
            }
            Some(Body::LoadShare(load)) => on_message(FeedMessage::Load(load)),
            Some(Body::FeederList(list)) => on_message(FeedMessage::Feeders(list)),
            _ => {}
        }
    }
}
