//! One attempt of a request at one backend server.

use std::{
    sync::{
        Arc,
        OnceLock, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    drain::DrainAnnouncement,
    prompt::PromptParts,
    residency::ResidencyRule,
    response_end::BodyFraming,
    stream::EventId,
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
    body::{
        Body,
        Incoming, //
    },
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
use log::info;
use metrics::counter;
use tokio::time::timeout;

use crate::{
    backends::{
        BackendState,
        InFlightGuard,
        RequestClass, //
    },
    caller::header_text,
    crash_watch::{
        record_lost_request,
        LostRequest, //
    },
    pool::BackendConnection,
    response_end::EndWitness,
    server_limits::SendPermit,
    server_load::RequestCost,
    state::FleetState,
    wire::HeaderNames, //
};

/// Longest idle time of a connection that is reused for a non-repeatable request. The server could close
/// an older one while the request is being sent, and it would be unknown whether the request ran.
const NON_REPEATABLE_IDLE: Duration = Duration::from_millis(1500);

/// Time for which non-repeatable requests don't reuse a server's idle connections after one of them
/// delivered a mismatched response.
const MISMATCH_PERIOD: Duration = Duration::from_secs(6);

/// Idle connections that may turn out closed before a new one is opened.
const STALE_CONNECTIONS: u32 = 2;

/// What sets the deadline of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DeadlineSource {
    /// The time for which the caller waits.
    Caller,
    /// The timeout of the route.
    Route,
}

impl DeadlineSource {
    /// Returns the name used in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            DeadlineSource::Caller => "caller",
            DeadlineSource::Route => "route",
        }
    }
}

/// A request to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    /// Request id.
    pub(crate) id: CompactString,
    /// Workspace of the caller's key or of the job; empty on routes that are open to all.
    pub(crate) workspace: CompactString,
    /// Method.
    pub(crate) method: Method,
    /// Path and query, unchanged from the caller's request.
    pub(crate) target: Uri,
    /// Headers, without those that concern one connection only.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// Time after which the response is of no use.
    pub(crate) deadline: Instant,
    /// What sets the deadline.
    pub(crate) deadline_source: DeadlineSource,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    /// Whether it is an online request or an item of a batch job.
    pub(crate) kind: RequestClass,
    /// Parts of the prompt.
    pub(crate) prompt: PromptParts,
    /// Regions that it may be sent to.
    pub(crate) residency: ResidencyRule,
    /// What it costs, once that has been derived.
    pub(crate) cost: OnceLock<RequestCost>,
}

impl OutgoingRequest {
    /// Returns the event after which the request goes on, if it may.
    pub(crate) fn last_event(&self, names: &HeaderNames) -> Option<EventId> {
        let last = header_text(&self.headers, &names.last_event);
        last.filter(|_| self.repeatable)?.trim().parse().ok()
    }
}

/// A server's response whose head has been received.
pub(crate) struct ServerResponse {
    /// Head of the response.
    pub(crate) head: Parts,
    /// Body of the response.
    pub(crate) body: Incoming,
    /// What marks the end of the body.
    pub(crate) framing: BodyFraming,
    /// Second connection to the server, if the end of the body isn't marked.
    pub(crate) witness: Option<EndWitness>,
    /// Connection on which the response is received.
    pub(crate) connection: BackendConnection,
    /// Server that sent the response.
    pub(crate) server: Arc<BackendState>,
    /// Counts the request as in flight at the server.
    pub(crate) in_flight: InFlightGuard,
}

/// Why an attempt failed.
#[derive(Clone, Debug)]
pub(crate) enum AttemptFailure {
    /// The request didn't run and won't run.
    NotRun(NotRunCause, CompactString),
    /// The request may have run.
    Unknown(CompactString),
    /// The server ended the response without output and runs on. It may be asked again, which shows if there is none.
    Unproven(CompactString),
}

/// Why a request didn't run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NotRunCause {
    /// No connection could be opened.
    Unreachable,
    /// The server is full or rejected the request for another reason.
    Refused,
    /// Another server listens at the address.
    Misdirected,
    /// The server has begun to warm up, and takes no further request now.
    Withheld,
    /// The failure domain of the server is evacuated, or it isn't known whether it is.
    Evacuated,
    /// The server isn't in an allowed region.
    Restricted,
}

impl NotRunCause {
    /// Returns the name as a metric label.
    pub(crate) fn name(self) -> &'static str {
        match self {
            NotRunCause::Unreachable => "unreachable",
            NotRunCause::Refused => "server_refused",
            NotRunCause::Misdirected => "misdirected",
            NotRunCause::Withheld => "server_warming_up",
            NotRunCause::Evacuated => "evacuated",
            NotRunCause::Restricted => "restricted",
        }
    }
}

impl ServerResponse {
    /// Returns the connection to the pool after the response has been read completely.
    pub(crate) fn finish(self) {
        let now = Instant::now();
        if !closes_connection(&self.head.headers) {
            self.server.pool().put(self.connection, now);
        }
        drop(self.in_flight);
    }

    /// Abandons an incomplete response and closes its connection, so that the server stops working on the
    /// request.
    pub(crate) fn abandon(self) {
        drop((self.body, self.connection));
        self.in_flight.hold_slot();
    }
}

/// Sends a request to a server and waits for the head of its response; `permit` is taken from the server's limit.
///
/// # Errors
///
/// Returns why the attempt failed, and whether the request may have run.
pub(crate) async fn attempt(
    state: &FleetState,
    server: &Arc<BackendState>,
    request: &OutgoingRequest,
    mut permit: SendPermit,
) -> Result<ServerResponse, AttemptFailure> {
    let in_flight = match permit.take_claim() {
        Some(claim) => claim.begin_request(),
        None => state.backends.track_request(server, request.kind),
    };
    let sent = Instant::now();
    let result = exchange(state, server, request, permit).await;
    let now = Instant::now();
    match result {
        Ok((response, connection)) => {
            let (head, body) = response.into_parts();
            let framing = BodyFraming::of(&head.headers, body.is_end_stream());
            let response = ServerResponse {
                head,
                body,
                framing,
                witness: None,
                connection,
                server: server.clone(),
                in_flight,
            };
            let mut response = check_head(state, request, response, sent)?;
            if framing == BodyFraming::Connection {
                response.witness = Some(EndWitness::open(server));
            }
            Ok(response)
        }
        Err(failure) => {
            match &failure {
                AttemptFailure::NotRun(NotRunCause::Unreachable, _) => {
                    state.backends.record_unreachable(server, now);
                }
                // The server has no part in it.
                AttemptFailure::NotRun(
                    NotRunCause::Withheld | NotRunCause::Evacuated | NotRunCause::Restricted,
                    _,
                ) => {}
                _ => {
                    state.backends.record_failure(server, now);
                    let lost = LostRequest::new(request, in_flight.age());
                    record_lost_request(state, server, lost);
                    in_flight.hold_slot();
                }
            }
            Err(failure)
        }
    }
}

/// Sends a request on an idle connection, or on a new one if the idle ones fail before the request is sent.
async fn exchange(
    state: &FleetState,
    server: &Arc<BackendState>,
    request: &OutgoingRequest,
    mut permit: SendPermit,
) -> Result<(Response<Incoming>, BackendConnection), AttemptFailure> {
    for _ in 0..STALE_CONNECTIONS {
        let Some(mut connection) = take_idle(server, request) else {
            break;
        };
        if connection.sender().ready().await.is_err() {
            continue;
        }
        match send(state, server, request, connection, &mut permit).await {
            Some(result) => return result,
            None => counter!("backend_connections_stale_total").increment(1),
        }
    }
    let opened = BackendConnection::open(server.server.address).await;
    let connection = opened.map_err(|error| {
        AttemptFailure::NotRun(NotRunCause::Unreachable, error.to_compact_string())
    })?;
    counter!("backend_connections_opened_total").increment(1);
    let sent = send(state, server, request, connection, &mut permit).await;
    sent.unwrap_or_else(|| {
        let cause = CompactString::const_new("connection closed before the request was sent");
        Err(AttemptFailure::NotRun(NotRunCause::Unreachable, cause))
    })
}

/// Takes an idle connection that is safe to reuse for the request.
fn take_idle(server: &BackendState, request: &OutgoingRequest) -> Option<BackendConnection> {
    let now = Instant::now();
    if request.repeatable {
        return server.pool().take(&request.id, Duration::MAX, now);
    }
    if server.has_recent_mismatch(now) {
        return None;
    }
    server.pool().take(&request.id, NON_REPEATABLE_IDLE, now)
}

/// Sends a request on a connection; returns `None` if the connection failed before the request was sent.
async fn send(
    state: &FleetState,
    server: &BackendState,
    request: &OutgoingRequest,
    mut connection: BackendConnection,
    permit: &mut SendPermit,
) -> Option<Result<(Response<Incoming>, BackendConnection), AttemptFailure>> {
    // Views of servers exclude such a server already; this holds whichever way it was chosen.
    let domain = &server.server.domain;
    if !state.regions.admits_domain(&request.residency, domain) {
        counter!("restricted_sends_prevented_total").increment(1);
        let cause = CompactString::const_new("server not in an allowed region");
        return Some(Err(AttemptFailure::NotRun(NotRunCause::Restricted, cause)));
    }
    // The evacuation may have begun while the connection was opened.
    if server.is_evacuated() || state.is_sending_held(Instant::now()) {
        counter!("evacuated_sends_prevented_total").increment(1);
        let cause = CompactString::const_new("failure domain evacuated");
        return Some(Err(AttemptFailure::NotRun(NotRunCause::Evacuated, cause)));
    }
    let outgoing = build_request(&state.format.names, server, request);
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    if !permit.confirm_send(server) {
        counter!("warming_requests_withheld_total").increment(1);
        server.pool().put(connection, Instant::now());
        let cause = CompactString::const_new("the server has begun to warm up");
        return Some(Err(AttemptFailure::NotRun(NotRunCause::Withheld, cause)));
    }
    connection.record_request(&request.id);
    state.limits.record_send(server, request.kind, &request.id);
    let sending = connection.sender().try_send_request(outgoing);
    let Ok(result) = timeout(remaining, sending).await else {
        let cause = CompactString::const_new("deadline passed before the response");
        return Some(Err(AttemptFailure::Unknown(cause)));
    };
    match result {
        Ok(response) => {
            if let Some(seconds) = keep_alive_seconds(response.headers()) {
                connection.set_keep_alive(seconds);
            }
            Some(Ok((response, connection)))
        }
        Err(mut error) => match error.take_message() {
            Some(_) => {
                permit.record_unsent();
                None
            }
            None => {
                let cause = error.into_error().to_compact_string();
                Some(Err(AttemptFailure::Unknown(cause)))
            }
        },
    }
}

/// Builds the HTTP request, with the remaining time and the id of the expected server.
fn build_request(
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

/// Checks the head of a response.
///
/// # Errors
///
/// Returns a failure if the response belongs to another request or isn't signed, or if the server reports
/// that the request didn't run.
fn check_head(
    state: &FleetState,
    request: &OutgoingRequest,
    response: ServerResponse,
    sent: Instant,
) -> Result<ServerResponse, AttemptFailure> {
    let names = &state.format.names;
    let now = Instant::now();
    let headers = &response.head.headers;
    let status = response.head.status;
    let response_id = headers.get(&names.request_id).map(HeaderValue::as_bytes);
    if response_id.is_some_and(|id| id != request.id.as_bytes()) {
        response.server.record_mismatch(now + MISMATCH_PERIOD);
        state.backends.record_failure(&response.server, now);
        counter!("answers_crossed_total").increment(1);
        let cause = CompactString::const_new("response belongs to another request");
        return Err(AttemptFailure::Unknown(cause));
    }
    if status != 421 {
        record_limit(state, &response, sent, now);
        if let Some(reading) = (state.format.decode_load)(headers, sent, now) {
            let is_refused = headers.contains_key(&names.not_run);
            state.load.record(&response.server, &reading, is_refused);
        }
    }
    if status != 421
        && headers
            .get(&names.leaving)
            .is_some_and(|value| value == "1")
    {
        record_drain_announcement(state, &response.server, now);
    }
    if status == 421 || headers.contains_key(&names.not_run) {
        let cause = if status == 421 {
            response.server.record_misdirection();
            NotRunCause::Misdirected
        } else {
            NotRunCause::Refused
        };
        let detail = format_compact!("status {}", status.as_u16());
        discard_refusal(response, request.repeatable);
        return Err(AttemptFailure::NotRun(cause, detail));
    }
    if status.is_success() {
        let invalid =
            !headers.contains_key(&names.signature) || headers.contains_key(CONTENT_ENCODING);
        if invalid || response_id.is_none() {
            state.backends.record_failure(&response.server, now);
            let cause = CompactString::const_new(
                "response lacks its request id or signature, or is compressed",
            );
            return Err(AttemptFailure::Unknown(cause));
        }
        state.backends.record_success(&response.server);
    }
    Ok(response)
}

/// Records what a response states about the limit of its server.
fn record_limit(state: &FleetState, response: &ServerResponse, sent: Instant, received: Instant) {
    let headers = &response.head.headers;
    match (state.format.decode_limit)(headers, sent, received) {
        Ok(statement) => state.limits.record(&response.server, statement),
        Err(cause) => {
            counter!("server_limits_malformed_total").increment(1);
            info!(server = response.server.server.id.as_str(), cause = cause.as_str(); "malformed limit");
        }
    }
}

/// Records that a server announced in a response that it is draining.
fn record_drain_announcement(state: &FleetState, server: &BackendState, now: Instant) {
    state.backends.record_drain_announcement(DrainAnnouncement {
        server: server.key,
        start: server.server.start,
        source: state.vm_hash,
        received: now,
    });
    // Wakes the scheduler, which moves items to other servers.
    state.jobs.work.notify_one();
}

/// Reads the rest of a refusal in the background, so that its connection can be reused. A request that must not run twice
/// isn't sent there again: a late copy of the refusal would be read as the response to it.
fn discard_refusal(response: ServerResponse, is_repeatable: bool) {
    let ServerResponse {
        head,
        body,
        mut connection,
        server,
        in_flight,
        ..
    } = response;
    if is_repeatable {
        connection.withdraw_request();
    }
    drop(in_flight);
    if closes_connection(&head.headers) {
        return;
    }
    tokio::spawn(async move {
        let reading = http_body_util::BodyExt::collect(http_body_util::Limited::new(body, 65_536));
        if let Ok(Ok(_)) = timeout(Duration::from_millis(200), reading).await {
            server.pool().put(connection, Instant::now());
        }
    });
}

/// Returns whether the connection closes after this message.
fn closes_connection(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    values.any(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    })
}

/// Returns the server's idle timeout for the connection in seconds, if the response states it.
fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=")?.parse().ok())
}
