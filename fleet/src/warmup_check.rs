//! Asks backend servers that were unreachable for their remaining warm-up time.

use std::{
    sync::Arc,
    time::Duration, //
};

use boragerill::{
    error::{
        ServeError,
        Step, //
    },
    timer::millis, //
};
use bytes::Bytes;
use compact_str::ToCompactString;
use http_body_util::Full;
use hyper::{
    header::HOST,
    Request, //
};
use log::info;
use metrics::counter;
use tokio::time::timeout;

use crate::{
    backends::BackendState,
    pool::BackendConnection,
    state::FleetState, //
};

/// Time limit for a response to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the health checks of servers that have become reachable since the last call.
pub(crate) fn check_reconnected(state: &Arc<FleetState>) {
    for server in state.backends.all().iter() {
        if server.take_health_check() {
            tokio::spawn(check_server(state.clone(), server.clone()));
        }
    }
}

async fn check_server(state: Arc<FleetState>, server: Arc<BackendState>) {
    let id = server.server.id.as_str();
    match timeout(HEALTH_TIMEOUT, read_remaining(&state, &server)).await {
        Ok(Ok(Some(remaining))) => {
            info!(server = id, remaining_ms = millis(remaining); "backend server stated its warm-up in a health check");
            state.limits.record_health(&server, remaining);
            state.backends.changed.notify_one();
        }
        Ok(Ok(None)) => {}
        Ok(Err(error)) => {
            counter!("server_health_checks_failed_total").increment(1);
            info!(server = id, error = error.to_string().as_str(); "health check failed");
        }
        Err(_) => {
            counter!("server_health_checks_failed_total").increment(1);
            info!(server = id; "health check timed out");
        }
    }
}

/// Sends a health check, and returns the remaining warm-up time that the response states, if any.
///
/// # Errors
///
/// Returns `ServeError::Unreachable` if there is no response, and `ServeError::Malformed` if it states no valid time.
async fn read_remaining(
    state: &FleetState,
    server: &BackendState,
) -> Result<Option<Duration>, ServeError> {
    let peer = server.server.address.to_compact_string();
    let catalog = state.catalog.load();
    let service = catalog
        .as_ref()
        .and_then(|catalog| catalog.find_service(&server.server.service));
    let Some(path) = service.map(|service| service.health_path.as_str()) else {
        return Ok(None);
    };
    let malformed = |cause| ServeError::Malformed(Step::Send, peer.clone(), cause);
    let request = Request::get(path)
        .header(HOST, peer.as_str())
        .body(Full::<Bytes>::default());
    let request = request.map_err(|error| malformed(error.to_compact_string()))?;
    let mut connection = BackendConnection::open(server.server.address).await?;
    let response = connection.sender().send_request(request).await;
    let response = response.map_err(|error| {
        ServeError::Unreachable(Step::Receive, peer.clone(), error.to_compact_string())
    })?;
    (state.format.decode_health)(response.headers())
        .map_err(|cause| ServeError::Malformed(Step::Receive, peer.clone(), cause))
}
