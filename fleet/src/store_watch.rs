//! Watches the platform's store for configuration, backend servers and cancelled jobs.

use std::{
    sync::Arc,
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
    cancellation::JobCancellation,
    error::{
        ServeError,
        Step, //
    },
    evacuation::{
        DomainEvacuation,
        EvacuationEntry, //
    },
    rank::hash_name,
    state_fetch::first_call_delay,
    sync::lock,
    timer::millis,
    watch_health::{
        check_pause,
        StoreHealth,
        WatchHealth,
        WatchOutcome, //
    },
};
use log::{
    info,
    warn, //
};
use metrics::counter;
use tokio::time::sleep;

use crate::{
    catalog_store::apply_catalog,
    evacuations::apply_changes,
    jobs::{
        apply_cancellations,
        stop_cancelled_jobs, //
    },
    state::FleetState,
    state_fetch::{
        fetched_states,
        report_confirmations,
        servers_confirmed,
        FetchedState, //
    },
    warmup_check::check_reconnected, //
    watch_state::{
        kind_name,
        WatchState, //
    },
};

/// Shortest time from a watch call that is cut off to the next call.
const SHORT_WATCH: Duration = Duration::from_millis(300);

/// First back-off after a failed call; doubles up to `BACKOFF_MAX`.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest back-off after a failed call.
const BACKOFF_MAX: Duration = Duration::from_millis(1000);

/// Interval at which a VM checks whether it has to watch, and whether its calls may wait for long.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which other VMs are asked for a newer state before the store is.
const FETCH_TIME: Duration = Duration::from_millis(750);

/// Delay per rank before a VM replaces unreachable watchers, which may be reachable again by then.
const TURN_WAIT: Duration = Duration::from_millis(50);

/// Longest wait of a VM that starts until it knows how many VMs there are.
const FLEET_WAIT: Duration = Duration::from_millis(150);

/// Interval of the checks whether a VM that starts has got its first state from another one.
const FIRST_STATE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval of the checks for expired backend servers, connections and jobs.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of VMs that watch the store; the others receive changes from them.
const WATCHERS: usize = 3;

/// Watches all kinds until the process ends.
pub(crate) fn start(state: &Arc<FleetState>) {
    let watch_state = Arc::new(WatchState::new(state));
    for &kind in fetched_states(state) {
        tokio::spawn(watch_kind(state.clone(), watch_state.clone(), kind));
    }
}

async fn watch_kind(state: Arc<FleetState>, watch_state: Arc<WatchState>, kind: FetchedState) {
    let mut backoff = BACKOFF_MIN;
    let mut through = None;
    let mut is_watching = false;
    let mut health = WatchHealth::default();
    loop {
        if is_covered(&state, kind) {
            if std::mem::take(&mut is_watching) {
                watch_state.release(&state, kind);
            }
            // Responses of the store to other watchers show that it is available.
            record_store_response(&state, true);
            sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        if !is_watching {
            if !wait_for_turn(&state, kind).await {
                continue;
            }
            is_watching = true;
            health.require_answer();
        }
        let started = Instant::now();
        let call = match through {
            None => {
                let listing = list(&state, kind);
                let listing = watch_state.call(&state, kind, Duration::ZERO, listing);
                listing.await
            }
            Some(after) => watch(&state, &watch_state, kind, (after, health.needs_answer())).await,
        };
        let Some(result) = call else {
            health.require_answer();
            continue;
        };
        let store = health.record(outcome(&result));
        if store == StoreHealth::Unknown {
            counter!("platform_watches_cut_off_total").increment(1);
            info!(kind = kind_name(&state, kind), waited_ms = millis(started.elapsed()); "watch cut off, checking the store");
            // A store that cuts calls off at once isn't called all the time.
            sleep(SHORT_WATCH.saturating_sub(started.elapsed())).await;
            continue;
        }
        watch_state.end_call(&state, kind, store == StoreHealth::Available);
        match result {
            Ok(revision) => {
                state.fetches.confirm(kind);
                through = Some(revision);
                backoff = BACKOFF_MIN;
                record_store_response(&state, true);
            }
            Err(ServeError::Compacted(..)) => {
                info!(kind = kind_name(&state, kind); "store compacted its history, listing again");
                through = None;
            }
            Err(error) => {
                counter!("platform_failures_total").increment(1);
                let pause = check_pause(backoff, own_watch_rank(&state));
                warn!(kind = kind_name(&state, kind), error = error.to_string().as_str(), pause_ms = millis(pause); "watching the store failed");
                record_store_response(&state, false);
                pause_unless_covered(&state, kind, pause).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}

/// Returns what the result of a call shows. A call that is closed before its response was waiting for a change.
fn outcome(result: &Result<Revision, ServeError>) -> WatchOutcome {
    match result {
        Ok(_) | Err(ServeError::Compacted(..)) => WatchOutcome::Answered,
        Err(ServeError::Unreachable(Step::Receive, ..)) => WatchOutcome::CutOff,
        Err(_) => WatchOutcome::Failed,
    }
}

/// Returns whether this VM has its first state, gets newer ones from other VMs, and enough VMs of higher rank watch the
/// store.
fn is_covered(state: &FleetState, kind: FetchedState) -> bool {
    if state.catalog.version() == 0 || state.backends.read(|table| table.through()) == 0 {
        return false;
    }
    if kind == FetchedState::Evacuations && !state.evacuations.is_known() {
        return false;
    }
    watchers_of(state, kind) >= WATCHERS && !is_behind(state, kind)
}

/// Returns whether other VMs haven't sent a newer state that they have stated for long.
fn is_behind(state: &FleetState, kind: FetchedState) -> bool {
    let since = state.fetches.behind_since(kind);
    since.is_some_and(|since| since.elapsed() > FETCH_TIME)
}

/// Waits for this VM's turn, by its rank, to replace watchers that became unreachable, and returns whether it
/// is still needed. A VM without a configuration doesn't wait.
async fn wait_for_turn(state: &FleetState, kind: FetchedState) -> bool {
    if state.catalog.version() == 0 {
        return wait_for_first_state(state, kind).await;
    }
    let turn = own_watch_rank(state).saturating_sub(WATCHERS - 1);
    sleep(TURN_WAIT * u32::try_from(turn).unwrap_or(u32::MAX)).await;
    !is_covered(state, kind)
}

/// Returns this VM's rank for the watches among the reachable VMs.
fn own_watch_rank(state: &FleetState) -> usize {
    lock(&state.members).own_rank(hash_name("follow"), Instant::now())
}

/// Waits after a failed call, but not for longer than until enough VMs of higher rank watch the store.
async fn pause_unless_covered(state: &FleetState, kind: FetchedState, pause: Duration) {
    let until = Instant::now() + pause;
    while !is_covered(state, kind) {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        sleep(left.min(WATCHER_CHECK_INTERVAL)).await;
    }
}

/// Gives the other VMs of a large fleet time to send this VM its first state, and returns whether the store has to be asked.
async fn wait_for_first_state(state: &FleetState, kind: FetchedState) -> bool {
    let started = Instant::now();
    let has_seeds = !state.seeds().is_empty();
    while has_seeds && !state.cells.knows_fleet() && started.elapsed() < FLEET_WAIT {
        sleep(FIRST_STATE_CHECK_INTERVAL).await;
    }
    let delay = {
        let members = lock(&state.members);
        let rank = members.own_known_rank(hash_name("first"));
        first_call_delay(rank, members.members().len() + 1)
    };
    while started.elapsed() < delay {
        if state.catalog.version() > 0 && state.backends.read(|table| table.through()) > 0 {
            return !is_covered(state, kind);
        }
        sleep(FIRST_STATE_CHECK_INTERVAL).await;
    }
    true
}

/// Returns whether calls of a kind have to end soon, since no VM of higher rank watches, or other VMs don't send what
/// they state.
fn needs_short_calls(state: &FleetState, kind: FetchedState) -> bool {
    watchers_of(state, kind) == 0 || is_behind(state, kind)
}

/// Returns whether this VM ranks first among the VMs that watch the store.
pub(crate) fn is_first_watcher(state: &FleetState) -> bool {
    let follows = lock(&state.members).own().follows;
    follows && watchers_before(state) == 0
}

/// Returns how many VMs of higher rank watch a kind. VMs of earlier builds don't watch all kinds.
fn watchers_of(state: &FleetState, kind: FetchedState) -> usize {
    if kind != FetchedState::Evacuations {
        return watchers_before(state);
    }
    let follows = |vm| state.evacuations.is_follower(vm);
    let members = lock(&state.members);
    members.selected_watchers_before(hash_name("follow"), follows, Instant::now())
}

fn watchers_before(state: &FleetState) -> usize {
    lock(&state.members).watchers_before(hash_name("follow"), Instant::now())
}

/// Records whether the store responded; entries that vanish during an outage of the store are kept for a time.
fn record_store_response(state: &FleetState, available: bool) {
    let now = Instant::now();
    if available && !state.backends.read(|table| table.is_store_unavailable()) {
        return;
    }
    state.backends.update(|table| {
        if available {
            table.record_store_available(now);
        } else {
            table.record_store_unavailable();
        }
        table.expire(now);
    });
}

/// Removes backend servers that did not register again in time, idle connections, old drain announcements,
/// quarantines and jobs, and stops cancelled jobs, periodically until the process ends.
pub(crate) async fn prune_periodically(state: Arc<FleetState>) {
    loop {
        sleep(EXPIRY_CHECK_INTERVAL).await;
        let now = Instant::now();
        let has_expired = state.backends.read(|table| table.has_expired(now));
        if has_expired {
            state.backends.update(|table| table.expire(now));
        }
        for server in state.backends.all().iter() {
            server.pool().prune(now);
        }
        state.backends.prune_drain_announcements(now);
        let servers = state.backends.all();
        let is_listed = |process| {
            let mut servers = servers.iter();
            servers.any(|server| (server.key, server.server.start) == process)
        };
        state.limits.retain(is_listed, now);
        state.load.retain(is_listed);
        state.limits.review_warmups(now);
        check_reconnected(&state);
        let confirmed = servers_confirmed(&state, now);
        state.backends.observe_versions(confirmed, now);
        state.streams.prune(now);
        state.quarantine.review(now);
        let retention = Duration::from_secs_f64(state.settings.results_kept_s);
        state.jobs.remove_expired(retention, now);
        stop_cancelled_jobs(&state);
        report_confirmations(&state);
        state.evacuations.tick(now);
    }
}

async fn list(state: &FleetState, kind: FetchedState) -> Result<Revision, ServeError> {
    let name = kind_name(state, kind);
    let (objects, through) = state.platform.list(name, |object| object).await?;
    apply_objects(state, kind, objects, through, true);
    Ok(through)
}

/// Watches a kind after a revision with one call; `None` if the call was abandoned in favour of one that doesn't wait. A call
/// that needs an answer doesn't wait for changes.
async fn watch(
    state: &FleetState,
    watch_state: &WatchState,
    kind: FetchedState,
    (after, needs_answer): (Revision, bool),
) -> Option<Result<Revision, ServeError>> {
    let is_short = needs_answer || needs_short_calls(state, kind);
    let wait = match needs_answer {
        true => Duration::ZERO,
        false => watch_state.wait(kind, is_short),
    };
    let events = async {
        let name = kind_name(state, kind);
        let batch = state.platform.watch(&[name], after, wait).await?;
        if !batch.events.is_empty() {
            apply_objects(state, kind, batch.events, batch.version, false);
        }
        Ok(batch.version.max(after))
    };
    tokio::select! {
        result = watch_state.call(state, kind, wait, events) => result,
        () = wait_for_doubt(state, kind), if !is_short => None,
    }
}

/// Waits until a call that waits for long has to be replaced by one that is answered at once: a VM of higher rank watches
/// no more, maybe since the store has fallen silent, or other VMs don't send what they state.
async fn wait_for_doubt(state: &FleetState, kind: FetchedState) {
    let mut before = watchers_of(state, kind);
    loop {
        sleep(WATCHER_CHECK_INTERVAL).await;
        let now = watchers_of(state, kind);
        if now < before || is_behind(state, kind) {
            return;
        }
        before = now;
    }
}

fn apply_objects(
    state: &FleetState,
    kind: FetchedState,
    objects: Vec<PlatformObject>,
    through: Revision,
    is_listing: bool,
) {
    match kind {
        FetchedState::Catalog => apply_catalog_objects(state, objects),
        FetchedState::Backends => apply_backends(state, objects, through, is_listing),
        FetchedState::Cancellations => {
            let present = objects.into_iter().filter(|object| !object.deleted);
            let cancelled = present.map(|object| JobCancellation {
                revision: object.version,
                job: object.name,
            });
            apply_cancellations(state, cancelled.collect(), through, "store");
            record_own_revisions(state);
        }
        FetchedState::Evacuations => apply_evacuations(state, objects, through, is_listing),
    }
    state.backends.changed.notify_one();
}

fn apply_catalog_objects(state: &FleetState, objects: Vec<PlatformObject>) {
    let name = state.format.kinds.catalog_name;
    let named = objects
        .into_iter()
        .filter(|object| object.name == name && !object.deleted);
    for object in named {
        let text = object.spec.to_string();
        apply_catalog(state, &object.spec, text.into(), "store");
    }
}

fn apply_backends(
    state: &FleetState,
    objects: Vec<PlatformObject>,
    through: Revision,
    is_listing: bool,
) {
    let changes: Vec<BackendChange> = objects
        .into_iter()
        .map(|object| BackendChange {
            server: (!object.deleted)
                .then(|| (state.format.decode_backend)(&object.name, &object.spec))
                .flatten(),
            id: object.name,
            // A deleted object carries the revision of its last write, so the deletion takes the batch's revision.
            revision: if object.deleted {
                through
            } else {
                object.version
            },
            missing: false,
        })
        .collect();
    log_changes(changes.iter(), "store");
    let now = Instant::now();
    state.backends.update(|table| {
        if is_listing {
            table.replace(changes, through, now);
        } else {
            table.apply(changes, through, now);
        }
    });
    record_own_revisions(state);
}

fn apply_evacuations(
    state: &FleetState,
    objects: Vec<PlatformObject>,
    through: Revision,
    is_listing: bool,
) {
    let entries = objects.into_iter().map(|object| EvacuationEntry {
        domain: object.name,
        revision: object.version,
        removed: object.deleted,
    });
    let changes = match is_listing {
        true => {
            let present = entries.filter(|entry| !entry.removed);
            let present = present.map(|entry| DomainEvacuation {
                domain: entry.domain,
                revision: entry.revision,
            });
            state.evacuations.replace(present.collect(), through)
        }
        false => state.evacuations.apply(entries.collect(), through),
    };
    apply_changes(state, changes, "store");
    record_own_revisions(state);
}

/// Records up to which revisions this VM knows the backend servers, cancellations and evacuations.
pub(crate) fn record_own_revisions(state: &FleetState) {
    let through = state.backends.read(|table| table.through());
    state.fetches.record_own(FetchedState::Backends, through);
    let through = lock(&state.cancellations).through();
    state
        .fetches
        .record_own(FetchedState::Cancellations, through);
    let through = state.evacuations.through();
    state.fetches.record_own(FetchedState::Evacuations, through);
}

/// Logs changes of backend servers and their source.
pub(crate) fn log_changes<'a>(changes: impl Iterator<Item = &'a BackendChange>, source: &str) {
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
