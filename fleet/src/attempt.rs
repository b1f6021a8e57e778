//! One attempt of a request at one backend server.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    drain::DrainAnnouncement,
    timer::millis, //
};
use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    header::{
        HeaderMap,
        HeaderValue,
        CONNECTION,
        CONTENT_ENCODING, //
    },
    http::response::Parts,
    Method,
    Request,
    Response,
    Uri, //
};
use metrics::counter;
use tokio::time::timeout;

use crate::{
    backends::{
        BackendState,
        InFlightGuard,
        RequestClass, //
    },
    pool::BackendConnection,
    state::FleetState,
    wire::HeaderNames, //
};

/// Longest idle time of a connection that carries a request which may run once only: the server may
/// close it just when the request is on its way, and nobody could tell whether it ran.
const SINGLE_IDLE: Duration = Duration::from_millis(1500);

/// Time for which a server's kept connections are suspect after an answer to another request.
const CROSSED_PERIOD: Duration = Duration::from_secs(6);

/// Kept connections that may fail before a new one is opened.
const STALE_CONNECTIONS: u32 = 2;

/// A request on its way to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    /// Identifies the request.
    pub(crate) id: CompactString,
    /// Method.
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) target: Uri,
    /// Headers, without those that belong to one connection.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// When work for it is in vain.
    pub(crate) deadline: Instant,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    /// Whether it is an item of a batch job.
    pub(crate) kind: RequestClass,
}

/// A server's answer whose head is there.
pub(crate) struct ServerResponse {
    /// Head of the answer.
    pub(crate) head: Parts,
    /// Rest of the answer.
    pub(crate) body: Incoming,
    /// Connection on which it comes.
    pub(crate) connection: BackendConnection,
    /// The server.
    pub(crate) server: Arc<BackendState>,
    /// Counts the request at the server.
    pub(crate) flight: InFlightGuard,
}

/// Why an attempt brought no answer.
#[derive(Clone, Debug)]
pub(crate) enum AttemptFailure {
    /// The request didn't run and won't.
    NotRun(NotRunCause, CompactString),
    /// The request may have run.
    Unknown(CompactString),
}

/// Why a request didn't run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NotRunCause {
    /// No connection could be opened.
    Unreachable,
    /// The server is full or has refused for another reason.
    Refused,
    /// Another server has the address.
    Misdirected,
}

impl NotRunCause {
    /// Returns the name in counters.
    pub(crate) fn name(self) -> &'static str {
        match self {
            NotRunCause::Unreachable => "unreachable",
            NotRunCause::Refused => "server_refused",
            NotRunCause::Misdirected => "misdirected",
        }
    }
}

impl ServerResponse {
    /// Keeps the connection for further requests after the answer was read to its end.
    pub(crate) fn finish(self) {
        let now = Instant::now();
        if !closes(&self.head.headers) {
            self.server.pool().put(self.connection, now);
        }
        drop(self.flight);
    }
}

impl ServerResponse {
    /// Gives up an answer that broke off; the connection closes, so that the server stops working on it.
    pub(crate) fn abandon(self) {
        drop((self.body, self.connection));
        self.flight.hold();
    }
}

/// Sends a request to a server and waits for the head of its answer.
pub(crate) async fn attempt(
    state: &FleetState,
    server: &Arc<BackendState>,
    request: &OutgoingRequest,
) -> Result<ServerResponse, AttemptFailure> {
    let flight = state.backends.track_request(server, request.kind);
    let result = exchange(state, server, request).await;
    let now = Instant::now();
    match result {
        Ok((response, connection)) => {
            let (head, body) = response.into_parts();
            let answer = ServerResponse {
                head,
                body,
                connection,
                server: server.clone(),
                flight,
            };
            check_head(state, request, answer)
        }
        Err(failure) => {
            match &failure {
                AttemptFailure::NotRun(NotRunCause::Unreachable, _) => {
                    state.backends.record_unreachable(server, now);
                }
                _ => {
                    state.backends.record_failure(server, now);
                    flight.hold();
                }
            }
            Err(failure)
        }
    }
}

/// Sends a request on a kept connection, or on a new one when the kept ones fail before it is sent.
async fn exchange(
    state: &FleetState,
    server: &Arc<BackendState>,
    request: &OutgoingRequest,
) -> Result<(Response<Incoming>, BackendConnection), AttemptFailure> {
    for _ in 0..STALE_CONNECTIONS {
        let Some(mut connection) = take_kept(server, request) else {
            break;
        };
        if connection.sender().ready().await.is_err() {
            continue;
        }
        match send(state, server, request, connection).await {
            Some(result) => return result,
            None => counter!("backend_connections_stale_total").increment(1),
        }
    }
    let opened = BackendConnection::open(server.server.address).await;
    let connection = opened.map_err(|error| {
        AttemptFailure::NotRun(NotRunCause::Unreachable, error.to_compact_string())
    })?;
    counter!("backend_connections_opened_total").increment(1);
    let sent = send(state, server, request, connection).await;
    sent.unwrap_or_else(|| {
        let cause = CompactString::const_new("connection closed before the request was sent");
        Err(AttemptFailure::NotRun(NotRunCause::Unreachable, cause))
    })
}

fn take_kept(server: &BackendState, request: &OutgoingRequest) -> Option<BackendConnection> {
    let now = Instant::now();
    if request.repeatable {
        return server.pool().take(Duration::MAX, now);
    }
    if server.is_crossed(now) {
        return None;
    }
    server.pool().take(SINGLE_IDLE, now)
}

/// Sends a request; returns `None` when nothing of it was sent.
async fn send(
    state: &FleetState,
    server: &BackendState,
    request: &OutgoingRequest,
    mut connection: BackendConnection,
) -> Option<Result<(Response<Incoming>, BackendConnection), AttemptFailure>> {
    let outgoing = build(&state.format.names, server, request);
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    let sending = connection.sender().try_send_request(outgoing);
    let Ok(result) = timeout(remaining, sending).await else {
        let cause = CompactString::const_new("deadline passed before the answer");
        return Some(Err(AttemptFailure::Unknown(cause)));
    };
    match result {
        Ok(response) => {
            connection.used = true;
            if let Some(seconds) = keep_alive(response.headers()) {
                connection.note_keep_alive(seconds);
            }
            Some(Ok((response, connection)))
        }
        Err(mut error) => match error.take_message() {
            Some(_) => None,
            None => {
                let cause = error.into_error().to_compact_string();
                Some(Err(AttemptFailure::Unknown(cause)))
            }
        },
    }
}

fn build(
    names: &HeaderNames,
    server: &BackendState,
    request: &OutgoingRequest,
) -> Request<Full<Bytes>> {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    headers.insert(
        names.remaining_ms.clone(),
        HeaderValue::from(millis(remaining)),
    );
    if let Ok(id) = HeaderValue::from_str(&server.server.id) {
        headers.insert(names.expected_server.clone(), id);
    }
    outgoing
}

/// Checks that an answer belongs to the request, and whether the request ran at all.
fn check_head(
    state: &FleetState,
    request: &OutgoingRequest,
    answer: ServerResponse,
) -> Result<ServerResponse, AttemptFailure> {
    let names = &state.format.names;
    let now = Instant::now();
    let headers = &answer.head.headers;
    let status = answer.head.status;
    let answered = headers.get(&names.request_id).map(HeaderValue::as_bytes);
    if answered.is_some_and(|id| id != request.id.as_bytes()) {
        answer.server.note_crossed(now + CROSSED_PERIOD);
        state.backends.record_failure(&answer.server, now);
        counter!("answers_crossed_total").increment(1);
        let cause = CompactString::const_new("answer belongs to another request");
        return Err(AttemptFailure::Unknown(cause));
    }
    if status != 421
        && headers
            .get(&names.leaving)
            .is_some_and(|value| value == "1")
    {
        record_drain_announcement(state, &answer.server, now);
    }
    if status == 421 || headers.contains_key(&names.not_run) {
        let cause = if status == 421 {
            NotRunCause::Misdirected
        } else {
            NotRunCause::Refused
        };
        let detail = format_compact!("status {}", status.as_u16());
        drain_refusal(answer);
        return Err(AttemptFailure::NotRun(cause, detail));
    }
    if status.is_success() {
        let spoilt =
            !headers.contains_key(&names.signature) || headers.contains_key(CONTENT_ENCODING);
        if spoilt || answered.is_none() {
            state.backends.record_failure(&answer.server, now);
            let cause = CompactString::const_new("answer without its marks");
            return Err(AttemptFailure::Unknown(cause));
        }
        state.backends.record_success(&answer.server);
    }
    Ok(answer)
}

/// Takes a server at its word that it leaves.
fn record_drain_announcement(state: &FleetState, server: &BackendState, now: Instant) {
    state.backends.record_drain_announcement(DrainAnnouncement {
        server: server.key,
        start: server.server.start,
        source: state.vm_hash,
        received: now,
    });
    // Items move on to other servers.
    state.jobs.work.notify_one();
}

/// Reads the rest of a refusal in the background, so that its connection can be kept.
fn drain_refusal(answer: ServerResponse) {
    let ServerResponse {
        head,
        body,
        connection,
        server,
        flight,
    } = answer;
    drop(flight);
    if closes(&head.headers) {
        return;
    }
    tokio::spawn(async move {
        let reading = http_body_util::BodyExt::collect(http_body_util::Limited::new(body, 65_536));
        if let Ok(Ok(_)) = timeout(Duration::from_millis(200), reading).await {
            server.pool().put(connection, Instant::now());
        }
    });
}

/// Returns whether a connection ends with this message.
fn closes(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    values.any(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    })
}

/// Returns for how many seconds the server keeps an idle connection.
fn keep_alive(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=")?.parse().ok())
}
