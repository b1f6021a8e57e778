//! Detects crashes of backend servers: a connection breaks off, and the server refuses the next one.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    error::ServeError,
    prompt::PromptParts,
    quarantine::CrashReport,
    rank::hash_name,
    timer::millis, //
};
use compact_str::CompactString;
use log::info;
use metrics::counter;
use tokio::time::sleep;

use crate::{
    attempt::OutgoingRequest,
    backends::{
        BackendRegistry,
        BackendState,
        RequestClass, //
    },
    pool::BackendConnection,
    quarantine::QuarantineRegistry,
    state::FleetState, //
};

/// Time after which a connection that a process accepted while it ended is closed.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// A request whose connection broke off before the server had proved that it can run it.
#[derive(Clone, Debug)]
pub(crate) struct LostRequest {
    /// Request id.
    pub(crate) id: CompactString,
    /// Workspace that it belongs to.
    pub(crate) workspace: CompactString,
    /// Whether it is an online request or an item of a batch job.
    pub(crate) class: RequestClass,
    /// Parts of its prompt.
    pub(crate) prompt: PromptParts,
    /// When it was sent to the server.
    pub(crate) sent: Instant,
    /// When its connection broke off.
    pub(crate) lost: Instant,
}

impl LostRequest {
    /// Makes the record of a request that was sent `age` ago.
    pub(crate) fn new(request: &OutgoingRequest, age: Duration) -> LostRequest {
        let now = Instant::now();
        LostRequest {
            id: request.id.clone(),
            workspace: request.workspace.clone(),
            class: request.kind,
            prompt: request.prompt.clone(),
            sent: now.checked_sub(age).unwrap_or(now),
            lost: now,
        }
    }
}

/// Records a lost request, and checks in the background whether its server has crashed. Requests that are lost
/// during a check take part in it.
pub(crate) fn record_lost_request(
    state: &FleetState,
    server: &Arc<BackendState>,
    lost: LostRequest,
) {
    if server.add_lost_request(lost) {
        let (backends, quarantine) = (state.backends.clone(), state.quarantine.clone());
        let server = server.clone();
        tokio::spawn(async move { check_server(&backends, &quarantine, &server).await });
    }
}

/// Opens a connection to a server that has lost requests. Only a refusal shows that its process is gone: a
/// timeout may be due to a partition.
async fn check_server(
    backends: &Arc<BackendRegistry>,
    quarantine: &QuarantineRegistry,
    server: &Arc<BackendState>,
) {
    let opened = open_settled(server.server.address).await;
    let lost = server.take_lost_requests();
    let now = Instant::now();
    match opened {
        Ok(connection) => server.pool().put(connection, now),
        Err(ServeError::Rejected(..)) => {
            log_crash(server, &lost, now);
            backends.record_unreachable(server, now);
            for request in lost {
                quarantine.record_crash(crash_report(server, &request));
            }
            backends.changed.notify_one();
        }
        Err(_) => backends.record_unreachable(server, now),
    }
}

/// Opens a connection to a server whose process may be gone. A process that is ending may still accept one, and closes
/// it at once; then a second one shows whether the process is gone. The result may be closed as well by then.
///
/// # Errors
///
/// Returns `ServeError::Rejected` if no process listens at the address, other errors if that isn't known.
pub(crate) async fn open_settled(address: SocketAddr) -> Result<BackendConnection, ServeError> {
    let mut connection = BackendConnection::open(address).await?;
    sleep(SETTLE_TIME).await;
    if !connection.is_open() {
        connection = BackendConnection::open(address).await?;
        sleep(SETTLE_TIME).await;
    }
    Ok(connection)
}

fn crash_report(server: &BackendState, request: &LostRequest) -> CrashReport {
    let mut parts = request.prompt.keys().to_vec();
    parts.sort_unstable();
    CrashReport {
        request: hash_name(&request.id),
        server: server.key,
        start: server.server.start,
        sent: request.sent,
        crashed: request.lost,
        parts,
    }
}

fn log_crash(server: &BackendState, lost: &[LostRequest], now: Instant) {
    counter!("backend_crashes_total").increment(1);
    let id = server.server.id.as_str();
    info!(server = id, domain = server.server.domain.as_str(), start = server.server.start, lost = lost.len(); "backend server crashed");
    for request in lost {
        let age = now.saturating_duration_since(request.sent);
        info!(request = request.id.as_str(), workspace = request.workspace.as_str(), class = request.class.name(), server = id, prompt = request.prompt.text(), sent_age_ms = millis(age); "request lost in a crash");
    }
}
