//! Follows the configuration that control processes hand out.

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

/// Period at which a control process confirms its version to subscribers.
pub const CONFIRM_PERIOD: Duration = Duration::from_millis(500);

/// Age of a configuration that the platform never confirmed.
pub const AGE_UNKNOWN: u64 = u64::MAX;

/// Silence after which a subscriber turns to another control process.
const FEED_SILENCE: Duration = Duration::from_millis(1500);

/// Pause between attempts to reach a control process.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Holds the configuration of a process and publishes the snapshot in force.
#[derive(Debug)]
pub struct SnapshotStore {
    table: Mutex<ConfigTable>,
    replaced: Mutex<Vec<ConfigObject>>, // Last accepted forms of refused objects; sorted by kind and name.
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
            replaced: Mutex::default(),
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

    /// Returns the VMs whose batch processes are known to run, sorted.
    pub fn feeders(&self) -> Arc<Vec<CompactString>> {
        self.feeders.load_full()
    }

    /// Takes over the VMs whose batch processes are known to run.
    pub fn set_feeders(&self, list: FeederList) {
        let mut feeders: Vec<CompactString> =
            list.vms.into_iter().map(CompactString::from).collect();
        feeders.sort();
        self.feeders.store(Arc::new(feeders));
    }

    /// Returns a receiver that is notified after each change.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.changed.subscribe()
    }

    /// Returns the time since the platform last confirmed the configuration, if it ever did.
    pub fn age(&self) -> Option<Duration> {
        let confirmed = self.confirmed_ms.load(Ordering::Relaxed);
        let confirmed = (confirmed > 0).then(|| self.started + Duration::from_millis(confirmed))?;
        Some(confirmed.elapsed())
    }

    /// Notes that the platform confirmed the configuration `age` ago.
    pub fn confirm(&self, age: Duration) {
        let at = self.started.elapsed().saturating_sub(age);
        let at_ms = millis(at);
        self.confirmed_ms.fetch_max(at_ms.max(1), Ordering::Relaxed);
    }

    /// Runs a function on the table of objects.
    pub fn with_table<T>(&self, read: impl FnOnce(&ConfigTable) -> T) -> T {
        read(&self.lock())
    }

    /// Takes over a whole delta and publishes the snapshot; returns the objects that were newer.
    pub fn apply(&self, delta: ConfigDelta) -> Vec<ConfigObject> {
        let mut table = self.lock();
        let before = table.through();
        let age_ms = delta.age_ms;
        let former = former_objects(&table, &delta.objects);
        let is_complete = delta.full || delta.since <= before;
        let fresh = table.apply(delta);
        self.publish(&table, &fresh, &former, before);
        if is_complete && age_ms != AGE_UNKNOWN {
            self.confirm(Duration::from_millis(age_ms));
        }
        fresh
    }

    /// Publishes while the table is locked, so that snapshots appear in the order of merging.
    fn publish(
        &self,
        table: &ConfigTable,
        fresh: &[ConfigObject],
        former: &[ConfigObject],
        before: Version,
    ) {
        if fresh.is_empty() && table.through() == before {
            return;
        }
        let mut snapshot = Snapshot::clone(&self.current.load());
        for object in fresh {
            let violation = snapshot.apply(object);
            if let Some(violation) = &violation {
                let (kind, name, version) = (&object.kind, &object.name, object.version);
                warn!(
                    "{kind}/{name}: version {version} refused: {}: {}",
                    violation.field, violation.cause
                );
            }
            self.note_replaced(object, former, violation.is_some());
        }
        snapshot.complete_to(table.through());
        gauge!("config_through").set(table.through() as f64);
        self.current.store(Arc::new(snapshot));
        self.changed.send_replace(table.through());
    }

    /// Returns the form of a refused object that was accepted last, if this process saw it.
    pub fn last_accepted(&self, kind: &str, name: &str) -> Option<ConfigObject> {
        let replaced = self.lock_replaced();
        let index = replaced
            .binary_search_by(|known| key_of(known).cmp(&(kind, name)))
            .ok()?;
        Some(replaced[index].clone())
    }

    /// Keeps the former object when its successor is refused, and forgets it when one is accepted.
    fn note_replaced(&self, object: &ConfigObject, former: &[ConfigObject], refused: bool) {
        let mut replaced = self.lock_replaced();
        let found = replaced.binary_search_by(|known| key_of(known).cmp(&key_of(object)));
        match (found, refused) {
            (Ok(index), false) => {
                replaced.remove(index);
            }
            (Err(index), true) => {
                let accepted = former
                    .iter()
                    .find(|known| key_of(known) == key_of(object) && !known.deleted);
                if let Some(accepted) = accepted {
                    replaced.insert(index, accepted.clone());
                }
            }
            _ => {}
        }
    }

    fn lock_replaced(&self) -> std::sync::MutexGuard<'_, Vec<ConfigObject>> {
        self.replaced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ConfigTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the known forms of objects that are about to be replaced.
fn former_objects(table: &ConfigTable, objects: &[ConfigObject]) -> Vec<ConfigObject> {
    let known = objects
        .iter()
        .filter_map(|object| table.find(&object.kind, &object.name));
    known.cloned().collect()
}

fn key_of(object: &ConfigObject) -> (&str, &str) {
    (&object.kind, &object.name)
}

/// Follows the control processes of a VM's own list, the first reachable one at a time; `on_load`
/// sees the loads that entry processes share.
pub async fn follow_any(
    store: Arc<SnapshotStore>,
    hello: Hello,
    controls: Vec<CompactString>,
    mut on_load: impl FnMut(LoadReport),
) {
    while !controls.is_empty() {
        for address in &controls {
            let after = store.with_table(ConfigTable::through);
            let ended = follow_one(address, &hello, after, |message| match message {
                FeedMessage::Delta(delta) => {
                    store.apply(delta);
                }
                FeedMessage::Load(load) => on_load(load),
                FeedMessage::Feeders(list) => store.set_feeders(list),
            })
            .await;
            info!("configuration feed ended: {ended}");
            sleep(RECONNECT_PAUSE).await;
        }
    }
}

/// What a control process pushes to those that follow it.
#[derive(Clone, Debug)]
pub enum FeedMessage {
    /// A whole change of the configuration.
    Delta(ConfigDelta),
    /// Loads that an entry process shares.
    Load(LoadReport),
    /// VMs whose batch processes are known to run.
    Feeders(FeederList),
}

/// Follows one control process until it falls silent, and returns the error that ended the feed.
pub async fn follow_one(
    address: &str,
    hello: &Hello,
    after: Version,
    mut on_message: impl FnMut(FeedMessage),
) -> ServeError {
    let (link, mut inbox) = match FrameLink::connect(address).await {
        Ok(opened) => opened,
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
        let envelope = match timeout(FEED_SILENCE, inbox.recv()).await {
            Ok(Some(envelope)) => envelope,
            Ok(None) => {
                let cause = CompactString::from("connection ended");
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
