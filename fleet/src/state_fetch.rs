//! Fetches configuration, backend servers and cancellations from VMs that have newer ones.

use std::{
    sync::{
        atomic::{
            AtomicBool,
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
    error::ServeError,
    link_reuse::LinkChoice,
    rank::hash_name,
    state_fetch::{
        FetchStep,
        FetchTerms,
        SourceTable,
        StateNumber,
        BUSY_TIME,
        FAILED_TIME,
        HEDGE_DELAY,
        MAX_REQUESTS, //
    },
    stream_version::LIST_LIFETIME,
    sync::lock,
    timer::millis,
};
use futures_util::{
    stream::FuturesUnordered,
    StreamExt, //
};
use log::info;
use metrics::{
    counter,
    gauge, //
};
use tokio::{
    sync::Notify,
    time::sleep_until, //
};

use crate::{
    peers::{
        self,
        FetchOutcome, //
    },
    state::FleetState,
    store_watch::is_first_watcher, //
};

/// Timeout of a request for a configuration, which may be large.
pub(crate) const CATALOG_TIMEOUT: Duration = Duration::from_millis(2000);

/// Timeout of a request for changes of backend servers and cancellations.
pub(crate) const CHANGES_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a state counts as the newest after a confirmation; heartbeats that confirm it arrive three times as often.
const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(450);

/// Time without a confirmation after which a state is reported as unconfirmed.
const UNCONFIRMED_REPORT_TIME: Duration = Duration::from_secs(1);

/// State that VMs fetch from each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FetchedState {
    /// The configuration, numbered by its version.
    Catalog,
    /// Backend servers, numbered by the store's revision.
    Backends,
    /// Cancelled jobs, numbered by the store's revision.
    Cancellations,
    /// Evacuated failure domains, numbered by the store's revision; only if the settings enable them.
    Evacuations,
}

impl FetchedState {
    /// Returns the name used in logs.
    fn name(self) -> &'static str {
        match self {
            FetchedState::Catalog => "catalog",
            FetchedState::Backends => "backends",
            FetchedState::Cancellations => "cancellations",
            FetchedState::Evacuations => "evacuations",
        }
    }
}

/// All kinds of state that VMs fetch from each other, which are those that are watched at the store.
const FETCHED_STATES: [FetchedState; 4] = [
    FetchedState::Catalog,
    FetchedState::Backends,
    FetchedState::Cancellations,
    FetchedState::Evacuations,
];

/// Number of the kinds of state that all VMs fetch; the settings enable the others.
pub(crate) const REGULAR_STATES: usize = 3;

/// Returns the kinds of state that this VM fetches and watches.
pub(crate) fn fetched_states(state: &FleetState) -> &'static [FetchedState] {
    match state.settings.evacuations {
        true => &FETCHED_STATES,
        false => &FETCHED_STATES[..REGULAR_STATES],
    }
}

/// VMs that have a newer state of one kind.
#[derive(Debug, Default)]
struct StateSources {
    table: Mutex<SourceTable>,
    changed: Notify,
    confirmed: Mutex<Option<Instant>>, // When the own state was last known to be the newest.
    is_reported: AtomicBool,           // Whether it was logged that the state isn't confirmed.
}

/// VMs that have a newer state, for each kind.
#[derive(Debug, Default)]
pub(crate) struct FetchSources {
    sources: [StateSources; FETCHED_STATES.len()],
}

impl FetchSources {
    fn of(&self, kind: FetchedState) -> &StateSources {
        &self.sources[kind as usize]
    }

    /// Records that the own state has a new number.
    pub(crate) fn record_own(&self, kind: FetchedState, own: StateNumber) {
        lock(&self.of(kind).table).record_own(own);
    }

    /// Returns the newest number that any VM has stated.
    pub(crate) fn newest(&self, kind: FetchedState) -> StateNumber {
        lock(&self.of(kind).table).newest()
    }

    /// Records that the own state is the newest one, by a response of the store or a VM that watches it.
    pub(crate) fn confirm(&self, kind: FetchedState) {
        *lock(&self.of(kind).confirmed) = Some(Instant::now());
    }

    /// Returns when the own state was last known to be the newest one; `None` if it never was.
    pub(crate) fn confirmed_at(&self, kind: FetchedState) -> Option<Instant> {
        *lock(&self.of(kind).confirmed)
    }

    /// Returns how long ago the own state was last known to be the newest one; `None` if it never was.
    pub(crate) fn unconfirmed_for(&self, kind: FetchedState) -> Option<Duration> {
        let confirmed = *lock(&self.of(kind).confirmed);
        confirmed.map(|confirmed| confirmed.elapsed())
    }

    /// Returns since when a newer state than the own one has been known of, if there is one.
    pub(crate) fn behind_since(&self, kind: FetchedState) -> Option<Instant> {
        lock(&self.of(kind).table).behind_since(Instant::now())
    }
}

/// Number of a state that a VM has stated in a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatedNumber {
    /// Hash of the VM's name.
    pub(crate) vm: u64,
    /// Whether the VM watches the store.
    pub(crate) watches: bool,
    /// Kind of the state.
    pub(crate) kind: FetchedState,
    /// Number of the state.
    pub(crate) number: StateNumber,
}

/// Records the number of a state that a VM has stated in a heartbeat.
pub(crate) fn record_number(state: &FleetState, stated: StatedNumber) {
    let StatedNumber {
        vm,
        watches,
        kind,
        number,
    } = stated;
    let own = own_number(state, kind);
    if watches && number <= own {
        state.fetches.confirm(kind);
    }
    if number <= own && lock(&state.fetches.of(kind).table).is_empty() {
        return;
    }
    let is_local = lock(&state.members).is_local(vm);
    let sources = state.fetches.of(kind);
    lock(&sources.table).record(vm, number, is_local, own, Instant::now());
    sources.changed.notify_one();
}

/// Returns whether the own state is known to be the newest one: this VM watches the store, or a heartbeat of one that does
/// has confirmed it lately.
pub(crate) fn is_confirmed(state: &FleetState, kind: FetchedState) -> bool {
    let confirmed = state.fetches.unconfirmed_for(kind);
    confirmed.is_some_and(|time| time <= CONFIRMATION_LIFETIME)
        || lock(&state.members).own().follows
}

/// Returns when the own list of servers was last known to be the newest one; `None` if it never was. The first watcher
/// knows it by its lease, since its calls end soon; the lease of another one lasts for as long as a call that waits.
pub(crate) fn servers_confirmed(state: &FleetState, now: Instant) -> Option<Instant> {
    let kind = FetchedState::Backends;
    let confirmed = match is_first_watcher(state) {
        true => now,
        false => (*lock(&state.fetches.of(kind).confirmed))?,
    };
    let behind_since = state.fetches.behind_since(kind);
    Some(behind_since.map_or(confirmed, |since| confirmed.min(since)))
}

/// Returns whether the own list of servers was known to be the newest one lately enough to vouch for a version by it.
pub(crate) fn has_confirmed_servers(state: &FleetState, now: Instant) -> bool {
    let confirmed = servers_confirmed(state, now);
    confirmed.is_some_and(|confirmed| now.saturating_duration_since(confirmed) <= LIST_LIFETIME)
}

/// Logs states that have just become unconfirmed or confirmed, and sets their metrics.
pub(crate) fn report_confirmations(state: &FleetState) {
    for &kind in fetched_states(state) {
        let Some(unconfirmed) = state.fetches.unconfirmed_for(kind) else {
            continue;
        };
        gauge!("state_unconfirmed_seconds", "kind" => kind.name()).set(unconfirmed.as_secs_f64());
        let is_unconfirmed = unconfirmed > UNCONFIRMED_REPORT_TIME;
        let is_reported = &state.fetches.of(kind).is_reported;
        if is_reported.swap(is_unconfirmed, Ordering::Relaxed) != is_unconfirmed {
            let number = own_number(state, kind);
            info!(kind = kind.name(), number, is_unconfirmed, unconfirmed_ms = millis(unconfirmed); "confirmation of a state changed");
        }
    }
}

/// Fetches newer states of all kinds until the process ends.
pub(crate) fn start(state: &Arc<FleetState>) {
    for &kind in fetched_states(state) {
        tokio::spawn(keep_current(state.clone(), kind));
    }
}

/// Fetches newer states of one kind until the process ends. Another VM is asked when a response takes long.
async fn keep_current(state: Arc<FleetState>, kind: FetchedState) {
    let sources = state.fetches.of(kind);
    let mut requests = FuturesUnordered::new();
    let mut next_request = Instant::now();
    loop {
        let step = next_step(&state, kind);
        if step == FetchStep::Idle {
            requests.clear();
        }
        let now = Instant::now();
        if let (FetchStep::Ask(vm), true) = (
            step,
            requests.len() < MAX_REQUESTS && (requests.is_empty() || next_request <= now),
        ) {
            next_request = now + HEDGE_DELAY;
            lock(&sources.table).postpone(vm, now + FAILED_TIME);
            // The response that is awaited may be late since its connection has fallen silent; others may have as well.
            let choice = match requests.is_empty() {
                true => LinkChoice::Recent,
                false => LinkChoice::New,
            };
            let state = state.clone();
            requests.push(async move {
                let before = own_number(&state, kind);
                let result = fetch(&state, kind, vm, choice).await;
                (vm, before, result)
            });
            continue;
        }
        let wake = match step {
            FetchStep::Idle => None,
            FetchStep::Wait(until) => Some(until),
            FetchStep::Ask(_) if requests.len() < MAX_REQUESTS => Some(next_request),
            FetchStep::Ask(_) => None,
        };
        tokio::select! {
            Some((vm, before, result)) = requests.next() => {
                let is_newer = own_number(&state, kind) > before;
                record_result(&state, kind, vm, result, is_newer);
            }
            () = sources.changed.notified() => {}
            () = sleep_until(wake.unwrap_or(now).into()), if wake.is_some() => {}
        }
    }
}

fn next_step(state: &FleetState, kind: FetchedState) -> FetchStep {
    let now = Instant::now();
    let number = own_number(state, kind);
    let members = lock(&state.members);
    let mut table = lock(&state.fetches.of(kind).table);
    table.retain(|vm| members.reaches(vm, now));
    // The changes of servers are small, so that every VM may fetch them from any other one.
    let rank = match kind {
        FetchedState::Catalog => members.own_domain_rank(hash_name("fetch"), now),
        FetchedState::Backends | FetchedState::Cancellations | FetchedState::Evacuations => 0,
    };
    let terms = FetchTerms {
        vm: state.vm_hash,
        number,
        rank,
    };
    table.next_step(terms, now)
}

async fn fetch(
    state: &FleetState,
    kind: FetchedState,
    vm: u64,
    choice: LinkChoice,
) -> Result<FetchOutcome, ServeError> {
    match kind {
        FetchedState::Catalog => peers::fetch_catalog(state, vm, CATALOG_TIMEOUT, choice).await,
        FetchedState::Backends | FetchedState::Cancellations | FetchedState::Evacuations => {
            peers::fetch_changes(state, vm, CHANGES_TIMEOUT, choice).await
        }
    }
}

/// Records the result of a request; `is_newer` tells whether the own state is newer now than before the request.
fn record_result(
    state: &FleetState,
    kind: FetchedState,
    vm: u64,
    result: Result<FetchOutcome, ServeError>,
    is_newer: bool,
) {
    let now = Instant::now();
    let mut table = lock(&state.fetches.of(kind).table);
    match result {
        Ok(FetchOutcome::Received) if is_newer => table.postpone(vm, now),
        // A VM that has restarted may not have the state any more that it stated before.
        Ok(FetchOutcome::Received) => table.postpone(vm, now + FAILED_TIME),
        Ok(FetchOutcome::Busy) => {
            counter!("state_fetches_busy_total").increment(1);
            table.postpone(vm, now + BUSY_TIME);
        }
        Err(error) => {
            counter!("state_fetches_failed_total").increment(1);
            table.postpone(vm, now + FAILED_TIME);
            drop(table);
            info!(kind = kind.name(), error = error.to_string().as_str(); "fetching newer state failed");
        }
    }
}

/// Returns the number of this VM's own state.
fn own_number(state: &FleetState, kind: FetchedState) -> StateNumber {
    match kind {
        FetchedState::Catalog => state.catalog.version(),
        FetchedState::Backends => state.backends.read(|table| table.through()),
        FetchedState::Cancellations => lock(&state.cancellations).through(),
        FetchedState::Evacuations => state.evacuations.through(),
    }
}
