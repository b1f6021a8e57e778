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
    generated::messages::{
        ConfigDelta,
        ConfigObject,
        TokenAnswer,
        TokenAsk, //
    },
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
use metrics::gauge;
use tokio::sync::broadcast;

/// Changes that a slow subscriber may lag behind before it is sent all that it lacks.
const CHANGE_QUEUE: usize = 256;

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
    changes: broadcast::Sender<Arc<ConfigDelta>>,
    publishing: Mutex<()>,
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
            settings,
        }
    }

    /// Locks the share state.
    pub(crate) fn lock_share(&self) -> MutexGuard<'_, ShareState> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges objects and passes the newer ones on to subscribers; returns those.
    ///
    /// Merging and passing on happen under one lock: a subscriber that sees a version must have seen
    /// every object up to it.
    pub(crate) fn merge(
        &self,
        objects: Vec<ConfigObject>,
        through: Option<Version>,
    ) -> Vec<ConfigObject> {
        let _publishing = self
            .publishing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let before = self.store.load().through();
        let fresh = self.store.merge(self.keep_own_region(objects), through);
        self.pass_on(&fresh, before);
        fresh
    }

    /// Merges a complete listing and passes on what was newer.
    pub(crate) fn merge_listing(&self, kind: &str, objects: Vec<ConfigObject>, version: Version) {
        let _publishing = self
            .publishing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let before = self.store.load().through();
        let fresh = self
            .store
            .merge_listing(kind, self.keep_own_region(objects), version);
        self.pass_on(&fresh, before);
    }

    /// Returns the parts that bring a subscriber up to date and a receiver of all later changes.
    pub(crate) fn subscribe(
        &self,
        after: Version,
    ) -> (Vec<ConfigDelta>, broadcast::Receiver<Arc<ConfigDelta>>) {
        let _publishing = self
            .publishing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let receiver = self.changes.subscribe();
        let missing = self
            .store
            .with_table(|table| (table.changes_after(after), table.through()));
        (split_delta(missing.0, missing.1, self.age_ms()), receiver)
    }

    /// Returns an empty delta that confirms the version sent to a subscriber so far.
    pub(crate) fn confirmation(&self, through: Version) -> ConfigDelta {
        ConfigDelta {
            through,
            age_ms: self.age_ms(),
            ..Default::default()
        }
    }

    /// Answers an ask for tokens.
    pub(crate) fn answer_ask(&self, ask: &TokenAsk) -> TokenAnswer {
        let snapshot = self.store.load();
        let Some(workspace) = snapshot.find_workspace(&ask.workspace) else {
            return TokenAnswer::default();
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

    fn keep_own_region(&self, mut objects: Vec<ConfigObject>) -> Vec<ConfigObject> {
        objects.retain(|object| object.kind != "roster" || object.name == self.settings.region);
        objects
    }

    fn pass_on(&self, fresh: &[ConfigObject], before: Version) {
        let snapshot = self.store.load();
        if fresh.iter().any(|object| object.kind == "roster") {
            if let Some(roster) = snapshot.roster() {
                self.lock_share()
                    .learn_roster(roster.as_ref().clone(), Instant::now());
            }
        }
        if fresh.is_empty() && snapshot.through() == before {
            return;
        }
        gauge!("config_through").set(snapshot.through() as f64);
        for part in split_delta(fresh.to_vec(), snapshot.through(), self.age_ms()) {
            // An error means that nobody is subscribed.
            let _ = self.changes.send(Arc::new(part));
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
