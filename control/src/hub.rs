//! State shared by the tasks of the control process.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    config::{
        split_delta,
        Version, //
    },
    feed::{
        SnapshotStore,
        AGE_UNKNOWN, //
    },
    frame::FrameLink,
    generated::messages::{
        envelope::Body,
        ConfigDelta,
        ConfigObject,
        FeederList,
        Hello,
        LoadReport,
        LoadTotals,
        ServerLoad,
        TokenRequest,
        TokenResponse, //
    },
    online::OnlineLoadTable,
    platform::{
        PlatformClient,
        PlatformObject, //
    },
    settings::ControlSettings,
    share::{
        ShareSettings,
        ShareState,
        GRANT_VALIDITY, //
    }, //
};
use compact_str::CompactString;
use tokio::sync::broadcast;

/// Capacity of the queue of configuration changes. A subscriber that lags further behind receives a delta
/// computed from the configuration table instead.
const CHANGE_QUEUE_CAPACITY: usize = 256;

/// Change of the configuration, sent to subscribers.
#[derive(Debug)]
pub(crate) enum HubChange {
    /// Objects changed.
    Delta(ConfigDelta),
    /// The configuration was listed again, so that the next delta doesn't follow from the previous one.
    Relisted,
}

/// State shared by the tasks of one control process.
pub(crate) struct ControlHub {
    /// Settings of the process.
    pub(crate) settings: ControlSettings,
    /// Random number drawn at the start of the process; never 0.
    pub(crate) incarnation: u64,
    /// Client of the platform.
    pub(crate) platform: PlatformClient,
    /// Configuration in force.
    pub(crate) store: SnapshotStore,
    share: Mutex<ShareState>,
    changes: broadcast::Sender<Arc<HubChange>>,
    publishing: Mutex<()>,
    load_subscribers: Mutex<Vec<FrameLink>>,
    online: Mutex<Vec<(CompactString, OnlineLoadTable)>>, // Sorted by address.
    feeders: Mutex<Vec<(CompactString, Instant)>>, // VM and its last heartbeat; sorted by VM.
}

impl ControlHub {
    pub(crate) fn new(settings: ControlSettings) -> ControlHub {
        let incarnation = rand::random::<u64>() | 1;
        let lease = Duration::from_millis(settings.lease_ms);
        let timing = ShareSettings {
            lease,
            heartbeat_timeout: lease,
            margin: GRANT_VALIDITY + lease / 20,
        };
        let share = ShareState::new(timing, &settings.vm, incarnation, Instant::now());
        ControlHub {
            incarnation,
            platform: PlatformClient::new(&settings.platform),
            store: SnapshotStore::default(),
            share: Mutex::new(share),
            changes: broadcast::channel(CHANGE_QUEUE_CAPACITY).0,
            publishing: Mutex::default(),
            load_subscribers: Mutex::default(),
            online: Mutex::default(),
            feeders: Mutex::default(),
            settings,
        }
    }

    /// Locks the state of the rate leases.
    pub(crate) fn lock_share(&self) -> MutexGuard<'_, ShareState> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a delta, sends the objects that changed to subscribers and returns these objects.
    ///
    /// Both happen under one lock, because a subscriber that has received a version must have received every
    /// object up to this version.
    pub(crate) fn apply(&self, mut delta: ConfigDelta) -> Vec<ConfigObject> {
        let _publishing = self
            .publishing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        delta
            .objects
            .retain(|object| object.kind != "roster" || object.name == self.settings.region);
        let full = delta.full;
        let since = self.store.load().through();
        let changed = self.store.apply(delta);
        let snapshot = self.store.load();
        self.update_roster(&changed);
        if changed.is_empty() && snapshot.through() == since {
            return changed;
        }
        let change = if full {
            HubChange::Relisted
        } else {
            let (objects, through) = (changed.clone(), snapshot.through());
            HubChange::Delta(ConfigDelta {
                objects,
                since,
                through,
                age_ms: self.age_ms(),
                ..Default::default()
            })
        };
        // An error means that there are no subscribers.
        let _ = self.changes.send(Arc::new(change));
        changed
    }

    /// Returns the delta from version `since` to the current configuration, split into parts of message size,
    /// and a receiver of all later changes.
    pub(crate) fn subscribe(
        &self,
        since: Version,
    ) -> (Vec<ConfigDelta>, broadcast::Receiver<Arc<HubChange>>) {
        let _publishing = self
            .publishing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let receiver = self.changes.subscribe();
        let delta = self.store.with_table(|table| table.delta_since(since));
        (
            split_delta(ConfigDelta {
                age_ms: self.age_ms(),
                ..delta
            }),
            receiver,
        )
    }

    /// Returns an empty delta that confirms that the configuration up to version `through` is current.
    pub(crate) fn confirmation(&self, through: Version) -> ConfigDelta {
        ConfigDelta {
            since: through,
            through,
            age_ms: self.age_ms(),
            ..Default::default()
        }
    }

    /// Returns the message that introduces this process on a new connection.
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            takes_loads: false,
        }
    }

    /// Adds the connection of a process of the own VM to which load reports are forwarded.
    pub(crate) fn add_load_subscriber(&self, link: FrameLink) {
        self.lock_load_subscribers().push(link);
    }

    /// Records a load report and returns the total online load of all VMs on the report's servers.
    pub(crate) fn record_loads(&self, load: &LoadReport) -> LoadTotals {
        let now = Instant::now();
        let mut online = self.online.lock().unwrap_or_else(PoisonError::into_inner);
        let total = |server: &ServerLoad| {
            let found = online.binary_search_by(|entry| entry.0.as_str().cmp(&server.address));
            let index = found.unwrap_or_else(|index| {
                online.insert(
                    index,
                    (server.address.as_str().into(), OnlineLoadTable::default()),
                );
                index
            });
            online[index].1.record(&load.vm, server.in_flight, now);
            ServerLoad {
                address: server.address.clone(),
                in_flight: online[index].1.total(now),
            }
        };
        LoadTotals {
            servers: load.servers.iter().map(total).collect(),
        }
    }

    /// Forwards a load report to the processes of the own VM that subscribed to reports.
    pub(crate) fn forward_load(&self, load: &LoadReport) {
        // Removes connections that have closed.
        self.lock_load_subscribers()
            .retain(|link| link.push(0, Body::LoadShare(load.clone())).is_ok());
    }

    /// Returns whether a batch process of the own VM is connected.
    pub(crate) fn has_batch_process(&self) -> bool {
        let mut subscribers = self.lock_load_subscribers();
        subscribers.retain(|link| !link.is_closed());
        !subscribers.is_empty()
    }

    /// Records from a peer's heartbeat whether the batch process of the peer's VM runs.
    pub(crate) fn record_feeder(&self, vm: &str, feeds: bool) {
        let mut feeders = self.lock_feeders();
        let known = feeders.binary_search_by(|entry| entry.0.as_str().cmp(vm));
        match (known, feeds) {
            (Ok(index), true) => feeders[index].1 = Instant::now(),
            (Ok(index), false) => {
                feeders.remove(index);
            }
            (Err(index), true) => feeders.insert(index, (vm.into(), Instant::now())),
            (Err(_), false) => {}
        }
    }

    /// Returns the VMs whose batch processes run, by heartbeats within the lease time.
    pub(crate) fn feeder_list(&self) -> FeederList {
        let lifetime = Duration::from_millis(self.settings.lease_ms);
        let own = self.has_batch_process().then(|| self.settings.vm.clone());
        let feeders = self.lock_feeders();
        let running = feeders.iter().filter(|entry| entry.1.elapsed() < lifetime);
        FeederList {
            vms: running
                .map(|entry| entry.0.to_string())
                .chain(own)
                .collect(),
        }
    }

    fn lock_feeders(&self) -> MutexGuard<'_, Vec<(CompactString, Instant)>> {
        self.feeders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_load_subscribers(&self) -> MutexGuard<'_, Vec<FrameLink>> {
        self.load_subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the requested tokens of a workspace's rate and returns the response.
    pub(crate) fn answer_token_request(&self, request: &TokenRequest) -> TokenResponse {
        let snapshot = self.store.load();
        let Some(workspace) = snapshot.find_workspace(&request.workspace) else {
            return TokenResponse::default();
        };
        self.lock_share()
            .take_tokens(&workspace.limit, request.tokens, Instant::now())
    }

    /// Returns the age of the configuration, in milliseconds.
    fn age_ms(&self) -> u64 {
        let age = self.store.age();
        age.map_or(AGE_UNKNOWN, |age| {
            u64::try_from(age.as_millis()).unwrap_or(AGE_UNKNOWN)
        })
    }

    fn update_roster(&self, changed: &[ConfigObject]) {
        if !changed.iter().any(|object| object.kind == "roster") {
            return;
        }
        if let Some(roster) = self.store.load().roster() {
            self.lock_share()
                .update_roster(roster.as_ref().clone(), Instant::now());
        }
    }
}

/// Converts an object of the platform to the message that processes exchange.
pub(crate) fn config_object(object: PlatformObject) -> ConfigObject {
    let spec = if object.deleted {
        Vec::new()
    } else {
        object.spec.to_string().into_bytes()
    };
    ConfigObject {
        kind: object.kind.into(),
        name: object.name.into(),
        version: object.version,
        created: object.created,
        deleted: object.deleted,
        spec,
    }
}
