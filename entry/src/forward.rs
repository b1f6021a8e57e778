//! Sends requests to backend servers, retries failed attempts where a retry is safe, and checks responses.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    answer::{
        check_response,
        EventScanner,
        StreamEvent, //
    },
    platform::root_cause,
    rank::hash_name,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    response_end::{
        check_body,
        check_marked, //
    },
    retry::{
        AttemptProgress,
        FailedAttempt,
        RetryBudget, //
    },
    route::{
        choose,
        RoutePolicy,
        RouteQuery,
        PREFIX_BYTES, //
    },
    settings::EntrySettings,
    snapshot::ServiceRecord, //
};
use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use log::info;
use metrics::counter;
use reqwest::{
    Client,
    Method,
    Response, //
};
use serde_json::Value;
use tokio::time::timeout;

use crate::{
    admission::RequestRoute,
    backends::{
        InFlightGuard,
        ServerTable, //
    },
    caller::{
        random_number,
        CallerRequest, //
    }, //
};

/// Timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// `Retry-After` of a refusal while no backend server accepts requests.
const SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest body of a complete response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// An admitted request to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    /// The caller's request.
    pub(crate) caller: CallerRequest,
    /// Route that matches the request.
    pub(crate) route: RequestRoute,
    /// Workspace of the caller; empty on open routes.
    pub(crate) workspace: CompactString,
    /// Body.
    pub(crate) body: Bytes,
    /// Hash of the prompt's prefix, if the request is a chat request.
    pub(crate) prefix: Option<u64>,
    /// Whether the caller requests a stream of events.
    pub(crate) streamed: bool,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

/// A response whose received part was checked.
pub(crate) enum CheckedResponse {
    /// A complete response.
    Complete {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: CompactString,
        /// Body.
        body: Bytes,
    },
    /// A stream whose first event has arrived.
    Stream(Box<EventStream>),
}

/// A stream of events that an engine is still sending.
pub(crate) struct EventStream {
    /// Response of the server, whose body is read in chunks.
    pub(crate) response: Response,
    /// Splits the body into events and checks them.
    pub(crate) scanner: EventScanner,
    /// The first event.
    pub(crate) first: StreamEvent,
    /// Counts the request as in flight until the stream ends.
    pub(crate) _guard: InFlightGuard,
    /// Address of the server.
    pub(crate) server: CompactString,
}

/// How far an attempt got and why it failed.
struct AttemptFailure {
    progress: AttemptProgress,
    cause: CompactString,
    deadline_passed: bool,
}

/// Client for backend servers, shared by all requests.
pub(crate) struct ForwardClient {
    pooled: Client,
    unpooled: Client,
    retry_budget: Mutex<RetryBudget>,
    servers: ServerTable,
    policy: RoutePolicy,
    local_prefixes: bool,
    domain: CompactString,
    max_attempts: u32,
}

impl ForwardClient {
    pub(crate) fn new(policy: RoutePolicy, settings: &EntrySettings) -> ForwardClient {
        let builder = || {
            let client = Client::builder()
                .connect_timeout(CONNECT_TIMEOUT)
                .no_proxy();
            client
                .redirect(reqwest::redirect::Policy::none())
                .tcp_nodelay(true)
        };
        ForwardClient {
            pooled: builder().build().unwrap_or_default(),
            // A request that isn't idempotent gets a new connection: if connecting fails, no byte of the
            // request was sent and a retry is safe.
            unpooled: builder()
                .pool_max_idle_per_host(0)
                .build()
                .unwrap_or_default(),
            retry_budget: Mutex::default(),
            servers: ServerTable::default(),
            policy,
            local_prefixes: settings.local_prefixes,
            domain: settings.domain.as_str().into(),
            max_attempts: settings.attempts,
        }
    }

    /// Returns the load and health of the servers.
    pub(crate) fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Sends a request to a server, retries failed attempts, and returns the checked response.
    ///
    /// # Errors
    ///
    /// Returns the refusal or failure that the caller gets.
    pub(crate) async fn run(
        &self,
        request: &OutgoingRequest,
    ) -> Result<CheckedResponse, RefusalResponse> {
        let mut attempted: Vec<usize> = Vec::new();
        let mut sent_any = false;
        let mut last_cause = CompactString::default();
        loop {
            let service = &request.route.service;
            let Some(index) = self.choose_server(service, &attempted, request) else {
                return Err(no_server_refusal(sent_any, &service.name, last_cause));
            };
            attempted.push(index);
            let address = service.servers[index].address.clone();
            let failure = match self.attempt(request, &address).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            sent_any |= failure.progress != AttemptProgress::NothingSent;
            info!(
                "request {}: attempt at {address} failed: {}",
                request.caller.id, failure.cause
            );
            let failed = FailedAttempt {
                progress: failure.progress,
                idempotent: request.route.idempotent,
                attempts: u32::try_from(attempted.len()).unwrap_or(u32::MAX),
                remaining: request.deadline.saturating_duration_since(Instant::now()),
            };
            let Some(reason) = self.lock_retry_budget().decide(failed, self.max_attempts) else {
                return Err(failure_refusal(sent_any, &failure, &address));
            };
            counter!("retries_total", "reason" => reason.name()).increment(1);
            last_cause = failure.cause;
        }
    }

    fn choose_server(
        &self,
        service: &ServiceRecord,
        attempted: &[usize],
        request: &OutgoingRequest,
    ) -> Option<usize> {
        let views = self.servers.views(service, &self.domain);
        let query = RouteQuery {
            policy: self.policy,
            prefix: request.prefix,
            local_prefixes: self.local_prefixes,
            draw: random_number(),
        };
        choose(&views, attempted, query)
    }

    async fn attempt(
        &self,
        request: &OutgoingRequest,
        address: &str,
    ) -> Result<CheckedResponse, AttemptFailure> {
        let guard = self.servers.track_request(address);
        let result = self.send(request, address, guard).await;
        let state = self.servers.state(address);
        self.servers.record_outcome(&state, result.is_ok());
        if result.is_ok() {
            self.lock_retry_budget().record_success();
        }
        result
    }

    async fn send(
        &self,
        request: &OutgoingRequest,
        address: &str,
        guard: InFlightGuard,
    ) -> Result<CheckedResponse, AttemptFailure> {
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let sending = timeout(remaining, self.build_request(request, address).send()).await;
        let response = match sending {
            Err(_) => return Err(deadline_passed()),
            Ok(Err(error)) if error.is_connect() => return Err(connect_failure(&error)),
            Ok(Err(error)) => return Err(sent_failure(root_cause(&error))),
            Ok(Ok(response)) => response,
        };
        if let Some(running) = parse_header(&response, "x-engine-load") {
            self.servers.record_server_load(guard.state(), running);
        }
        if response.status().is_server_error() {
            return Err(sent_failure(format_compact!(
                "status {}",
                response.status().as_u16()
            )));
        }
        if request.route.service.is_engine {
            check_request_id(&response, &request.caller.id)?;
        }
        let is_stream = request.streamed && response.status().is_success();
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let checked = if is_stream && request.route.service.is_engine {
            timeout(remaining, open_stream(response, request, address, guard)).await
        } else {
            timeout(remaining, read_complete(response, request)).await
        };
        checked.unwrap_or_else(|_| Err(deadline_passed()))
    }

    fn build_request(&self, request: &OutgoingRequest, address: &str) -> reqwest::RequestBuilder {
        let caller = &request.caller;
        let query = caller
            .query
            .as_ref()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        let url = format!("http://{address}{}{query}", caller.path);
        let method = Method::from_bytes(caller.method.as_str().as_bytes()).unwrap_or(Method::POST);
        let client = if request.route.idempotent {
            &self.pooled
        } else {
            &self.unpooled
        };
        let mut outgoing = client
            .request(method, url)
            .header("x-request-id", caller.id.as_str());
        if !request.workspace.is_empty() {
            outgoing = outgoing.header("x-boragerill-workspace", request.workspace.as_str());
        }
        for (name, value) in &caller.headers {
            outgoing = outgoing.header(*name, value.as_str());
        }
        outgoing.body(request.body.clone())
    }

    fn lock_retry_budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the hash of the workspace's name and the start of a chat prompt, together `PREFIX_BYTES` at
/// most, or `None` if the body has no messages.
pub(crate) fn prefix_hash(workspace: &str, body: &Value) -> Option<u64> {
    let mut prompt = format!("{workspace}\n");
    for message in body["messages"].as_array()? {
        prompt.push_str(message["content"].as_str().unwrap_or_default());
        if prompt.len() > PREFIX_BYTES {
            break;
        }
    }
    let end = (0..=PREFIX_BYTES.min(prompt.len()))
        .rev()
        .find(|&end| prompt.is_char_boundary(end))?;
    Some(hash_name(&prompt[..end]))
}

async fn open_stream(
    mut response: Response,
    request: &OutgoingRequest,
    address: &str,
    guard: InFlightGuard,
) -> Result<CheckedResponse, AttemptFailure> {
    let mut scanner = EventScanner::new(&request.caller.id);
    loop {
        match scanner.next_event() {
            Ok(Some(first)) => {
                let server = address.into();
                return Ok(CheckedResponse::Stream(Box::new(EventStream {
                    response,
                    scanner,
                    first,
                    _guard: guard,
                    server,
                })));
            }
            Ok(None) => {}
            Err(fault) => return Err(sent_failure(format_compact!("stream {fault:?}"))),
        }
        match response.chunk().await {
            Ok(Some(bytes)) => scanner.push(&bytes),
            Ok(None) => return Err(sent_failure("stream ended before its first event".into())),
            Err(error) => return Err(sent_failure(root_cause(&error))),
        }
    }
}

async fn read_complete(
    mut response: Response,
    request: &OutgoingRequest,
) -> Result<CheckedResponse, AttemptFailure> {
    let status = response.status();
    let framing = check_marked(&response, request.body.len())
        .map_err(|cause| sent_failure(CompactString::const_new(cause)))?;
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").into();
    let mut body = bytes::BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) if body.len() + bytes.len() > MAX_RESPONSE_BYTES => {
                return Err(sent_failure("response is too large".into()));
            }
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) => break,
            Err(error) => return Err(sent_failure(root_cause(&error))),
        }
    }
    check_body(framing, status, &body).map_err(|fault| sent_failure(fault.text().into()))?;
    if request.route.service.is_engine && status.is_success() {
        check_response(&body, &request.caller.id)
            .map_err(|fault| sent_failure(format_compact!("response {fault:?}")))?;
    }
    Ok(CheckedResponse::Complete {
        status: status.as_u16(),
        content_type,
        body: body.freeze(),
    })
}

fn check_request_id(response: &Response, request_id: &str) -> Result<(), AttemptFailure> {
    let answered = response
        .headers()
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    if answered != Some(request_id) {
        return Err(sent_failure("response belongs to another request".into()));
    }
    Ok(())
}

fn parse_header(response: &Response, name: &str) -> Option<u32> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn connect_failure(error: &reqwest::Error) -> AttemptFailure {
    AttemptFailure {
        progress: AttemptProgress::NothingSent,
        cause: root_cause(error),
        deadline_passed: false,
    }
}

fn sent_failure(cause: CompactString) -> AttemptFailure {
    AttemptFailure {
        progress: AttemptProgress::Sent,
        cause,
        deadline_passed: false,
    }
}

fn deadline_passed() -> AttemptFailure {
    AttemptFailure {
        deadline_passed: true,
        ..sent_failure("deadline passed".into())
    }
}

fn no_server_refusal(sent_any: bool, service: &str, last_cause: CompactString) -> RefusalResponse {
    if sent_any {
        return RefusalResponse::unknown(RefusalReason::ServerFailed, last_cause);
    }
    RefusalResponse::not_run(RefusalReason::ServerUnavailable, service)
        .retry_after(SERVER_RETRY_AFTER)
}

fn failure_refusal(sent_any: bool, failure: &AttemptFailure, address: &str) -> RefusalResponse {
    let detail = format_compact!("{address}: {}", failure.cause);
    if !sent_any {
        return RefusalResponse::not_run(RefusalReason::ServerUnavailable, detail)
            .retry_after(SERVER_RETRY_AFTER);
    }
    let reason = if failure.deadline_passed {
        RefusalReason::DeadlinePassed
    } else {
        RefusalReason::ServerFailed
    };
    RefusalResponse::unknown(reason, detail)
}

/// Shared handle to the client.
pub(crate) type SharedForward = Arc<ForwardClient>;
