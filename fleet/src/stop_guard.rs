//! Keeps a VM that stops from taking requests that it can't end, and ends what waits in time for a complete response.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    catalog::{
        CatalogRoute,
        RouteKind, //
    },
    rank::hash_name,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    stop_window::{
        RequestSpan,
        RouteHash, //
    },
    sync::lock, //
};
use tokio::time::{
    sleep_until,
    Instant as TokioInstant, //
};

use crate::{
    jobs::SUBMIT_LIMIT,
    state::FleetState,
    stream_relay::LATE_EVENT_GRACE, //
};

/// Retry delay for callers whose requests could outlast this VM's shutdown.
const SHUTDOWN_RETRY: Duration = Duration::from_millis(50);

/// Refuses a request that can't end before this VM does, if the VM stops. It arrived at `arrived` and has until `deadline`.
///
/// # Errors
///
/// Returns the refusal; the request has not run.
pub(crate) fn refuse_outlasting(
    state: &FleetState,
    route: &CatalogRoute,
    arrived: Instant,
    deadline: Instant,
) -> Result<(), RefusalResponse> {
    let Some(window) = state.stop_window() else {
        return Ok(());
    };
    let now = Instant::now();
    let limit = route
        .timeout
        .map_or(deadline, |limit| deadline.min(arrived + limit));
    let latest_end = match &route.kind {
        RouteKind::Batch(_) => deadline.min(arrived + SUBMIT_LIMIT),
        RouteKind::Stream(_) => limit + LATE_EVENT_GRACE,
        _ => limit,
    };
    let span = RequestSpan {
        latest_end,
        run_time: lock(&state.run_times).longest(hash_name(&route.name), now),
    };
    match window.admits(span, now) {
        true => Ok(()),
        false => Err(refuse_stopping()),
    }
}

/// Makes the refusal of a request that has not run, since this VM stops.
pub(crate) fn refuse_stopping() -> RefusalResponse {
    RefusalResponse::not_run(RefusalReason::ShuttingDown, "VM is shutting down")
        .retry_after(SHUTDOWN_RETRY)
}

/// Waits until a response has to be complete, since this VM ends soon.
pub(crate) async fn wait_for_last_answer(state: &FleetState) {
    state.wait_for_shutdown().await;
    if let Some(window) = state.stop_window() {
        sleep_until(TokioInstant::from_std(window.last_answer())).await;
    }
}

/// Waits until callers that wait for results get what there is, since this VM ends soon.
pub(crate) async fn wait_for_wait_end(state: &FleetState) {
    state.wait_for_shutdown().await;
    if let Some(window) = state.stop_window() {
        sleep_until(TokioInstant::from_std(window.wait_end())).await;
    }
}

/// Measures a run of a request, from when it is first sent to the end of its response.
pub(crate) struct RunTimer {
    state: Arc<FleetState>,
    route: RouteHash,
    begun: Instant,
    is_whole: bool,
}

impl RunTimer {
    /// Begins a measurement.
    pub(crate) fn start(state: &Arc<FleetState>, route: &str) -> RunTimer {
        let (route, begun) = (hash_name(route), Instant::now());
        lock(&state.run_times).begin(route, begun);
        RunTimer {
            state: state.clone(),
            route,
            begun,
            is_whole: false,
        }
    }

    /// Records that the response is complete, and as long as those of other requests.
    pub(crate) fn finish(mut self) {
        self.is_whole = true;
    }
}

impl Drop for RunTimer {
    fn drop(&mut self) {
        let now = Instant::now();
        lock(&self.state.run_times).end(self.route, self.begun, self.is_whole, now);
    }
}
