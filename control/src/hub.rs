//! What the tasks of the control process share.

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

/// Changes that a slow subscriber may lag behind before it is sent all that it lacks.
const CHANGE_QUEUE: usize = 256;

/// What subscribers are told.
#[derive(Debug)]
pub(crate) enum HubChange {
    /// Objects changed.
    Delta(ConfigDelta),
    /// The configuration was listed anew; deltas from before can't be continued.
    Relisted,
}

/// State shared by the tasks of one control process.
pub(crate) struct ControlHub {
    /// Settings of the process.
    pub(crate) settings: ControlSettings,
    /// Start of the process.
    pub(crate) incarnation: u64,
    /// Client of the platform.
    pub(crate) platform: PlatformClient,
    /// Configuration in force.
    pub(crate) store: SnapshotStore,
    share: Mutex<ShareState>,
    changes: broadcast::Sender<Arc<HubChange>>,
    publishing: Mutex<()>,
    load_takers: Mutex<Vec<FrameLink>>,
    online: Mutex<Vec<(CompactString, OnlineLoadTable)>>, // Sorted by address.
    feeders: Mutex<Vec<(CompactString, Instant)>>,        // VM and last heartbeat; sorted by VM.
}

impl ControlHub {
    pub(crate) fn new(settings: ControlSettings) -> ControlHub {
        let incarnation = rand::random::<u64>() | 1;
        let lease = Duration::from_millis(settings.lease_ms);
        let timing = ShareSettings {
            lease,
            silence: lease,
            margin: GRANT_VALIDITY + lease / 20,
        };
        let share = ShareState::new(timing, &settings.vm, incarnation, Instant::now());
        ControlHub {
            incarnation,
            platform: PlatformClient::new(&settings.platform),
            store: SnapshotStore::default(),
            share: Mutex::new(share),
            changes: broadcast::channel(CHANGE_QUEUE).0,
            publishing: Mutex::default(),
            load_takers: Mutex::default(),
            online: Mutex::default(),
            feeders: Mutex::default(),
            settings,
        }
    }

    /// Locks the share state.
    pub(crate) fn lock_share(&self) -> MutexGuard<'_, ShareState> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over a delta and passes the newer objects on to subscribers; returns those.
    ///
    /// Both happen under one lock: a subscriber that sees a version must have seen every object up
    /// to it.
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
        let fresh = self.store.apply(delta);
        let snapshot = self.store.load();
        self.update_roster(&fresh);
        if fresh.is_empty() && snapshot.through() == since {
            return fresh;
        }
        let change = if full {
            HubChange::Relisted
        } else {
            let (objects, through) = (fresh.clone(), snapshot.through());
            HubChange::Delta(ConfigDelta {
                objects,
                since,
                through,
                age_ms: self.age_ms(),
                ..Default::default()
            })
        };
        // An error means that nobody is subscribed.
        let _ = self.changes.send(Arc::new(change));
        fresh
    }

    /// Returns the parts that bring a subscriber up to date and a receiver of all later changes.
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

    /// Returns an empty delta that confirms the version sent to a subscriber so far.
    pub(crate) fn confirmation(&self, through: Version) -> ConfigDelta {
        ConfigDelta {
            since: through,
            through,
            age_ms: self.age_ms(),
            ..Default::default()
        }
    }

    /// Returns the introduction of this process.
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            takes_loads: false,
        }
    }

    /// Sends the loads that entry processes share to a process of the own VM.
    pub(crate) fn add_load_taker(&self, link: FrameLink) {
        self.lock_takers().push(link);
    }

    /// Notes shared loads and returns the totals of all VMs on the same servers.
    pub(crate) fn total_loads(&self, load: &LoadReport) -> LoadTotals {
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

    /// Passes shared loads on.
    pub(crate) fn pass_load(&self, load: &LoadReport) {
        // A connection that has ended takes nothing more.
        self.lock_takers()
            .retain(|link| link.push(0, Body::LoadShare(load.clone())).is_ok());
    }

    /// Returns whether a batch process of the own VM is connected.
    pub(crate) fn feeds(&self) -> bool {
        let mut takers = self.lock_takers();
        takers.retain(|link| !link.is_closed());
        !takers.is_empty()
    }

    /// Notes a heartbeat that says whether a peer's batch process runs.
    pub(crate) fn note_feeder(&self, vm: &str, feeds: bool) {
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

    /// Returns the VMs whose batch processes are known to run.
    pub(crate) fn feeder_list(&self) -> FeederList {
        let lifetime = Duration::from_millis(self.settings.lease_ms);
        let own = self.feeds().then(|| self.settings.vm.clone());
        let feeders = self.lock_feeders();
        let fresh = feeders.iter().filter(|entry| entry.1.elapsed() < lifetime);
        FeederList {
            vms: fresh.map(|entry| entry.0.to_string()).chain(own).collect(),
        }
    }

    fn lock_feeders(&self) -> MutexGuard<'_, Vec<(CompactString, Instant)>> {
        self.feeders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_takers(&self) -> MutexGuard<'_, Vec<FrameLink>> {
        self.load_takers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers an ask for tokens.
    pub(crate) fn answer_ask(&self, ask: &TokenRequest) -> TokenResponse {
        let snapshot = self.store.load();
        let Some(workspace) = snapshot.find_workspace(&ask.workspace) else {
            return TokenResponse::default();
        };
        self.lock_share()
            .ask(&workspace.limit, ask.tokens, Instant::now())
    }

    fn age_ms(&self) -> u64 {
        let age = self.store.age();
        age.map_or(AGE_UNKNOWN, |age| {
            u64::try_from(age.as_millis()).unwrap_or(AGE_UNKNOWN)
        })
    }

    fn update_roster(&self, fresh: &[ConfigObject]) {
        if !fresh.iter().any(|object| object.kind == "roster") {
            return;
        }
        if let Some(roster) = self.store.load().roster() {
            self.lock_share()
                .update_roster(roster.as_ref().clone(), Instant::now());
        }
    }
}

/// Turns an object of the platform into the form that processes exchange.
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
