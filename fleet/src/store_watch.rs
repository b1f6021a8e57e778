//! Follows the platform's store: configuration, backend servers and ended jobs.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    api::PlatformObject,
    backend::{
        BackendChange,
        Revision, //
    },
    error::ServeError,
    rank::hash_name,
    sync::lock,
    timer::millis, //
};
use bytes::Bytes;
use log::{
    info,
    warn, //
};
use metrics::counter;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    jobs::{
        stop_job,
        END_KIND, //
    },
    state::{
        workspace_rate,
        FleetState, //
    },
};

/// Longest wait of one watch of most followers.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Longest wait of one watch of the first follower. A watch may miss changes without a sign while the
/// store drops its history; the next one finds out.
const CHECK_WAIT: Duration = Duration::from_millis(1000);

/// First pause after a failed call; doubles up to the longest.
const FAILED_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failed call.
const FAILED_LIMIT: Duration = Duration::from_millis(1000);

/// Period of looking whether others still follow the store.
const COVER_PERIOD: Duration = Duration::from_millis(250);

/// Time that each further VM waits before it follows the store in place of others; they may be back.
const STAND_IN_WAIT: Duration = Duration::from_millis(50);

/// Period of looking for backend servers that didn't come back.
const EXPIRE_PERIOD: Duration = Duration::from_millis(100);

/// VMs that follow the store; the others hear from them.
const FOLLOWERS: usize = 3;

/// What is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FollowedKind {
    Catalog,
    Backends,
    Ends,
}

const FOLLOWED: [FollowedKind; 3] = [
    FollowedKind::Catalog,
    FollowedKind::Backends,
    FollowedKind::Ends,
];

/// When the store last answered each of the follower's calls.
#[derive(Debug, Default)]
pub(crate) struct FollowState {
    failing: AtomicU64, // Bit i is set while calls for kind i fail.
    listed: AtomicU64,  // Bit i is set once kind i was listed.
    since: Mutex<Option<Instant>>,
}

impl FollowState {
    fn note(&self, kind: FollowedKind, answered: bool) {
        let bit = 1 << kind as u64;
        if answered {
            self.failing.fetch_and(!bit, Ordering::Relaxed);
            self.listed.fetch_or(bit, Ordering::Relaxed);
        } else {
            self.failing.fetch_or(bit, Ordering::Relaxed);
        }
        *lock(&self.since) = Some(Instant::now());
    }

    /// Returns whether every kind was listed and no call fails.
    fn is_sound(&self) -> bool {
        let all = (1 << FOLLOWED.len()) - 1;
        self.failing.load(Ordering::Relaxed) == 0 && self.listed.load(Ordering::Relaxed) == all
    }
}

/// Follows all kinds for as long as the process runs.
pub(crate) fn start(state: &Arc<FleetState>) {
    let follow = Arc::new(FollowState::default());
    for kind in FOLLOWED {
        tokio::spawn(follow_kind(state.clone(), follow.clone(), kind));
    }
}

async fn follow_kind(state: Arc<FleetState>, follow: Arc<FollowState>, kind: FollowedKind) {
    let mut pause = FAILED_PAUSE;
    let mut through = None;
    loop {
        if is_covered(&state) {
            lock(&state.members).own_mut().follows = false;
            through = None;
            // What others hear from the store counts as heard.
            note_store(&state, true);
            sleep(COVER_PERIOD).await;
            continue;
        }
        if through.is_none() && !stands_in(&state).await {
            continue;
        }
        let result = match through {
            None => list(&state, kind).await,
            Some(after) => watch(&state, kind, after).await,
        };
        follow.note(kind, result.is_ok() || is_compacted(&result));
        let sound = follow.is_sound();
        lock(&state.members).own_mut().follows = sound;
        match result {
            Ok(revision) => {
                through = Some(revision);
                pause = FAILED_PAUSE;
                note_store(&state, true);
            }
            Err(ServeError::Compacted(..)) => {
                info!(kind = kind_name(&state, kind); "history is gone, listing anew");
                through = None;
            }
            Err(error) => {
                counter!("platform_failures_total").increment(1);
                warn!(kind = kind_name(&state, kind), error = error.to_string().as_str(), pause_ms = millis(pause); "store not followed");
                note_store(&state, false);
                sleep(pause).await;
                pause = (pause * 2).min(FAILED_LIMIT);
            }
        }
    }
}

fn is_compacted(result: &Result<Revision, ServeError>) -> bool {
    matches!(result, Err(ServeError::Compacted(..)))
}

/// Returns whether enough VMs that rank before this one follow the store, and this one knows as much.
fn is_covered(state: &FleetState) -> bool {
    if state.catalog.version() == 0 || state.backends.read(|table| table.through()) == 0 {
        return false;
    }
    watchers_before(state) >= FOLLOWERS
}

/// Waits for this VM's turn to follow the store in place of VMs that rank before it, and returns whether it
/// still has to. A VM without a configuration doesn't wait.
async fn stands_in(state: &FleetState) -> bool {
    if state.catalog.version() == 0 {
        return true;
    }
    let rank = lock(&state.members).own_rank(hash_name("follow"), Instant::now());
    let turn = rank.saturating_sub(FOLLOWERS - 1);
    sleep(STAND_IN_WAIT * u32::try_from(turn).unwrap_or(u32::MAX)).await;
    !is_covered(state)
}

fn watchers_before(state: &FleetState) -> usize {
    lock(&state.members).watchers_before(hash_name("follow"), Instant::now())
}

fn note_store(state: &FleetState, answers: bool) {
    let now = Instant::now();
    if answers && !state.backends.read(|table| table.is_store_unavailable()) {
        return;
    }
    state.backends.update(|table| {
        if answers {
            table.record_store_available(now);
        } else {
            table.record_store_unavailable();
        }
        table.expire(now);
    });
}

/// Drops backend servers that did not register again in time, idle connections and old jobs, for as long
/// as the process runs.
pub(crate) async fn expire_old(state: Arc<FleetState>) {
    loop {
        sleep(EXPIRE_PERIOD).await;
        let now = Instant::now();
        let due = state.backends.read(|table| table.has_expired(now));
        if due {
            state.backends.update(|table| table.expire(now));
        }
        for server in state.backends.all().iter() {
            server.pool().prune(now);
        }
        state.backends.prune_drain_announcements(now);
        let kept = Duration::from_secs_f64(state.settings.results_kept_s);
        state.jobs.forget_old(kept, now);
    }
}

fn kind_name(state: &FleetState, kind: FollowedKind) -> &'static str {
    match kind {
        FollowedKind::Catalog => state.format.kinds.catalog,
        FollowedKind::Backends => state.format.kinds.backends,
        FollowedKind::Ends => END_KIND,
    }
}

async fn list(state: &FleetState, kind: FollowedKind) -> Result<Revision, ServeError> {
    let name = kind_name(state, kind);
    let (objects, through) = state.platform.list(name, |object| object).await?;
    take(state, kind, objects, through, true);
    Ok(through)
}

async fn watch(
    state: &FleetState,
    kind: FollowedKind,
    after: Revision,
) -> Result<Revision, ServeError> {
    let name = kind_name(state, kind);
    let wait = match watchers_before(state) {
        0 => CHECK_WAIT,
        _ => WATCH_WAIT,
    };
    let batch = state.platform.watch(&[name], after, wait).await?;
    if !batch.events.is_empty() {
        take(state, kind, batch.events, batch.version, false);
    }
    Ok(batch.version.max(after))
}

fn take(
    state: &FleetState,
    kind: FollowedKind,
    objects: Vec<PlatformObject>,
    through: Revision,
    whole: bool,
) {
    match kind {
        FollowedKind::Catalog => take_catalog(state, objects),
        FollowedKind::Backends => take_backends(state, objects, through, whole),
        FollowedKind::Ends => {
            let ends = objects.into_iter().filter(|object| !object.deleted);
            let ends = ends.map(|object| (object.version, object.name)).collect();
            for id in state.cancellations.apply(ends, through) {
                stop_job(state, &id);
            }
        }
    }
    state.backends.changed.notify_one();
}

fn take_catalog(state: &FleetState, objects: Vec<PlatformObject>) {
    let name = state.format.kinds.catalog_name;
    let named = objects
        .into_iter()
        .filter(|object| object.name == name && !object.deleted);
    for object in named {
        apply_catalog(state, object.spec.to_string().into(), "store");
    }
}

/// Puts a configuration in force if it is newer than the present one.
pub(crate) fn apply_catalog(state: &FleetState, spec: Bytes, source: &'static str) {
    let parsed = serde_json::from_slice::<Value>(&spec).map_err(|error| error.to_string().into());
    let decoded = parsed.and_then(|value| (state.format.decode_catalog)(&value));
    let catalog = match decoded {
        Ok(catalog) => catalog,
        Err(cause) => {
            counter!("catalogs_refused_total").increment(1);
            warn!(source, cause = cause.as_str(); "configuration can't be read");
            return;
        }
    };
    let limits: Vec<_> = catalog.workspaces().iter().map(workspace_rate).collect();
    if state.catalog.apply(catalog, spec) {
        let now = Instant::now();
        let view = state.fleet_view(now);
        lock(&state.rate_limiter).ensure_buckets(&limits, view, now);
        state.backends.changed.notify_one();
        state.jobs.work.notify_one();
    }
}

fn take_backends(state: &FleetState, objects: Vec<PlatformObject>, through: Revision, whole: bool) {
    let changes: Vec<BackendChange> = objects
        .into_iter()
        .map(|object| BackendChange {
            server: (!object.deleted)
                .then(|| (state.format.decode_backend)(&object.name, &object.spec))
                .flatten(),
            id: object.name,
            // A deletion carries the revision of the last write; it counts as of the batch.
            revision: if object.deleted {
                through
            } else {
                object.version
            },
            missing: false,
        })
        .collect();
    log_changes(&changes, "store");
    let now = Instant::now();
    state.backends.update(|table| {
        if whole {
            table.replace(changes, through, now);
        } else {
            table.apply(changes, through, now);
        }
    });
}

/// Notes what this VM learns of backend servers, and from whom.
pub(crate) fn log_changes(changes: &[BackendChange], source: &str) {
    for change in changes {
        let state = match &change.server {
            Some(server) if server.leaving => "leaving",
            Some(_) if change.missing => "missing",
            Some(_) => "ready",
            None => "gone",
        };
        info!(server = change.id.as_str(), revision = change.revision, state, source; "backend server changed");
    }
}
