//! Calls of this VM to the store for each watched kind, and the lease that they make up.

use std::{
    future::Future,
    pin::pin,
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    backend::Revision,
    error::ServeError,
    sync::lock,
    timer::millis,
    watch_lease::WatchLease, //
};
use log::info;
use metrics::counter;
use tokio::time::timeout_at;

use crate::{
    jobs::CANCELLATION_KIND,
    state::FleetState,
    state_fetch::{
        FetchedState,
        REGULAR_STATES, //
    },
};

/// What the tasks of the watched kinds share.
#[derive(Debug)]
pub(crate) struct WatchState {
    lease: Mutex<WatchLease>,
    started: Instant,
}

impl WatchState {
    /// Creates the state of a VM that hasn't called the store yet.
    pub(crate) fn new(state: &FleetState) -> WatchState {
        let lease = WatchLease::new(REGULAR_STATES);
        let lease = match state.settings.evacuations {
            true => lease.with_rare_kind(),
            false => lease,
        };
        WatchState {
            lease: Mutex::new(lease),
            started: Instant::now(),
        }
    }

    /// Returns for how long the next call of a kind waits for changes.
    pub(crate) fn wait(&self, kind: FetchedState, is_short: bool) -> Duration {
        lock(&self.lease).wait(kind as usize, is_short, self.started.elapsed())
    }

    /// Carries a call out that waits for `wait` at the store. While its response is overdue, this VM doesn't state that it
    /// watches. `None` if a call that waited was abandoned then: its connection may have fallen silent.
    pub(crate) async fn call(
        &self,
        state: &FleetState,
        kind: FetchedState,
        wait: Duration,
        call: impl Future<Output = Result<Revision, ServeError>>,
    ) -> Option<Result<Revision, ServeError>> {
        let begin = Instant::now();
        let due = lock(&self.lease).begin_call(kind as usize, wait, begin);
        let mut call = pin!(call);
        if let Ok(result) = timeout_at(due.into(), &mut call).await {
            return Some(result);
        }
        counter!("platform_responses_overdue_total").increment(1);
        info!(kind = kind_name(state, kind), waited_ms = millis(begin.elapsed()); "response of the store overdue");
        self.update_follows(state);
        match wait.is_zero() {
            true => Some(call.await),
            false => None,
        }
    }

    /// Records the outcome of a call.
    pub(crate) fn end_call(&self, state: &FleetState, kind: FetchedState, is_answered: bool) {
        lock(&self.lease).end_call(kind as usize, is_answered, Instant::now());
        self.update_follows(state);
    }

    /// Records that a kind isn't watched any more.
    pub(crate) fn release(&self, state: &FleetState, kind: FetchedState) {
        lock(&self.lease).release(kind as usize);
        self.update_follows(state);
    }

    /// States to the other VMs whether this one watches the store.
    fn update_follows(&self, state: &FleetState) {
        let lease = lock(&self.lease);
        let follows = lease.is_valid(Instant::now());
        let before = std::mem::replace(&mut lock(&state.members).own_mut().follows, follows);
        drop(lease);
        if before != follows {
            info!(follows; "watching the store changed");
            state.backends.changed.notify_one();
        }
    }
}

/// Returns the store's name of a kind.
pub(crate) fn kind_name(state: &FleetState, kind: FetchedState) -> &'static str {
    match kind {
        FetchedState::Catalog => state.format.kinds.catalog,
        FetchedState::Backends => state.format.kinds.backends,
        FetchedState::Cancellations => CANCELLATION_KIND,
        FetchedState::Evacuations => state.format.kinds.evacuations,
    }
}
