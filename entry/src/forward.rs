//! Sends requests to backend servers, retries where that is safe, and checks answers.

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
    admit::RequestRoute,
    caller::{
        request_draw,
        CallerRequest, //
    },
    loads::{
        InFlightGuard,
        ServerTable, //
    }, //
};

/// Longest time for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// When a caller may come back while no server takes new work.
const SERVER_RETRY: Duration = Duration::from_secs(1);

/// Largest whole answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// One request on its way to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    /// The caller's request.
    pub(crate) caller: CallerRequest,
    /// Route that it takes.
    pub(crate) route: RequestRoute,
    /// Workspace that it runs for; empty on open routes.
    pub(crate) workspace: CompactString,
    /// Body.
    pub(crate) body: Bytes,
    /// Hash of the prompt's prefix.
    pub(crate) prefix: Option<u64>,
    /// Whether the answer is a stream of events.
    pub(crate) streamed: bool,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

/// An answer that was checked as far as it has arrived.
pub(crate) enum CheckedAnswer {
    /// A whole answer.
    Whole {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: CompactString,
        /// Body.
        body: Bytes,
    },
    /// A stream whose first event has arrived.
    Stream(Box<AnswerStream>),
}

/// An engine's answer that is still arriving.
pub(crate) struct AnswerStream {
    /// Connection to the server.
    pub(crate) response: Response,
    /// Cuts and checks events.
    pub(crate) scanner: EventScanner,
    /// The first event.
    pub(crate) first: StreamEvent,
    /// Keeps the server's load counted.
    pub(crate) _flight: InFlightGuard,
    /// Address of the server.
    pub(crate) server: CompactString,
}

/// A failed attempt.
struct AttemptFailure {
    progress: AttemptProgress,
    cause: CompactString,
    deadline_passed: bool,
}

/// Sends requests; shared by all of them.
pub(crate) struct ForwardClient {
    pooled: Client,
    single: Client,
    budget: Mutex<RetryBudget>,
    servers: ServerTable,
    policy: RoutePolicy,
    local_prefixes: bool,
    domain: CompactString,
    most_attempts: u32,
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
            // A call that may not run twice gets a connection of its own: whether it went out is then
            // known from the connecting alone.
            single: builder()
                .pool_max_idle_per_host(0)
                .build()
                .unwrap_or_default(),
            budget: Mutex::default(),
            servers: ServerTable::default(),
            policy,
            local_prefixes: settings.local_prefixes,
            domain: settings.domain.as_str().into(),
            most_attempts: settings.attempts,
        }
    }

    /// Returns the table of servers.
    pub(crate) fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Runs a request and returns its checked answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal or failure to answer with.
    pub(crate) async fn run(
        &self,
        request: &OutgoingRequest,
    ) -> Result<CheckedAnswer, RefusalResponse> {
        let mut tried: Vec<usize> = Vec::new();
        let mut sent_any = false;
        let mut last_cause = CompactString::default();
        loop {
            let service = &request.route.service;
            let Some(index) = self.choose_server(service, &tried, request) else {
                return Err(no_server(sent_any, &service.name, last_cause));
            };
            tried.push(index);
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
                attempts: u32::try_from(tried.len()).unwrap_or(u32::MAX),
                remaining: request.deadline.saturating_duration_since(Instant::now()),
            };
            let Some(reason) = self.lock_budget().decide(failed, self.most_attempts) else {
                return Err(final_failure(sent_any, &failure, &address));
            };
            counter!("retries_total", "reason" => reason.name()).increment(1);
            last_cause = failure.cause;
        }
    }

    fn choose_server(
        &self,
        service: &ServiceRecord,
        tried: &[usize],
        request: &OutgoingRequest,
    ) -> Option<usize> {
        let views = self.servers.views(service, &self.domain);
        let query = RouteQuery {
            policy: self.policy,
            prefix: request.prefix,
            local_prefixes: self.local_prefixes,
            draw: request_draw(),
        };
        choose(&views, tried, query)
    }

    async fn attempt(
        &self,
        request: &OutgoingRequest,
        address: &str,
    ) -> Result<CheckedAnswer, AttemptFailure> {
        let flight = self.servers.track_request(address);
        let result = self.send(request, address, flight).await;
        let state = self.servers.state(address);
        self.servers.note_end(&state, result.is_ok());
        if result.is_ok() {
            self.lock_budget().record_success();
        }
        result
    }

    async fn send(
        &self,
        request: &OutgoingRequest,
        address: &str,
        flight: InFlightGuard,
    ) -> Result<CheckedAnswer, AttemptFailure> {
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let sending = timeout(remaining, self.build(request, address).send()).await;
        let response = match sending {
            Err(_) => return Err(deadline_passed()),
            Ok(Err(error)) if error.is_connect() => return Err(nothing_sent(&error)),
            Ok(Err(error)) => return Err(sent(root_cause(&error))),
            Ok(Ok(response)) => response,
        };
        if let Some(running) = header_number(&response, "x-engine-load") {
            self.servers.note_report(flight.state(), running);
        }
        if response.status().is_server_error() {
            return Err(sent(format_compact!(
                "status {}",
                response.status().as_u16()
            )));
        }
        if request.route.service.is_engine {
            check_header(&response, &request.caller.id)?;
        }
        let is_stream = request.streamed && response.status().is_success();
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let checked = if is_stream && request.route.service.is_engine {
            timeout(remaining, open_stream(response, request, address, flight)).await
        } else {
            timeout(remaining, read_whole(response, request)).await
        };
        checked.unwrap_or_else(|_| Err(deadline_passed()))
    }

    fn build(&self, request: &OutgoingRequest, address: &str) -> reqwest::RequestBuilder {
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
            &self.single
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

    fn lock_budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the hash of a chat prompt's prefix within a workspace.
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
    flight: InFlightGuard,
) -> Result<CheckedAnswer, AttemptFailure> {
    let mut scanner = EventScanner::new(&request.caller.id);
    loop {
        match scanner.next_event() {
            Ok(Some(first)) => {
                let server = address.into();
                return Ok(CheckedAnswer::Stream(Box::new(AnswerStream {
                    response,
                    scanner,
                    first,
                    _flight: flight,
                    server,
                })));
            }
            Ok(None) => {}
            Err(fault) => return Err(sent(format_compact!("stream {fault:?}"))),
        }
        match response.chunk().await {
            Ok(Some(bytes)) => scanner.push(&bytes),
            Ok(None) => return Err(sent("stream ended before its first event".into())),
            Err(error) => return Err(sent(root_cause(&error))),
        }
    }
}

async fn read_whole(
    mut response: Response,
    request: &OutgoingRequest,
) -> Result<CheckedAnswer, AttemptFailure> {
    let status = response.status();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").into();
    let mut body = bytes::BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) if body.len() + bytes.len() > ANSWER_LIMIT_BYTES => {
                return Err(sent("answer is too large".into()));
            }
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) => break,
            Err(error) => return Err(sent(root_cause(&error))),
        }
    }
    if request.route.service.is_engine && status.is_success() {
        check_response(&body, &request.caller.id)
            .map_err(|fault| sent(format_compact!("answer {fault:?}")))?;
    }
    Ok(CheckedAnswer::Whole {
        status: status.as_u16(),
        content_type,
        body: body.freeze(),
    })
}

fn check_header(response: &Response, request_id: &str) -> Result<(), AttemptFailure> {
    let answered = response
        .headers()
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    if answered != Some(request_id) {
        return Err(sent("answer belongs to another request".into()));
    }
    Ok(())
}

fn header_number(response: &Response, name: &str) -> Option<u32> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn nothing_sent(error: &reqwest::Error) -> AttemptFailure {
    AttemptFailure {
        progress: AttemptProgress::NothingSent,
        cause: root_cause(error),
        deadline_passed: false,
    }
}

fn sent(cause: CompactString) -> AttemptFailure {
    AttemptFailure {
        progress: AttemptProgress::Sent,
        cause,
        deadline_passed: false,
    }
}

fn deadline_passed() -> AttemptFailure {
    AttemptFailure {
        deadline_passed: true,
        ..sent("deadline passed".into())
    }
}

fn no_server(sent_any: bool, service: &str, last_cause: CompactString) -> RefusalResponse {
    if sent_any {
        return RefusalResponse::unknown(RefusalReason::ServerFailed, last_cause);
    }
    RefusalResponse::not_run(RefusalReason::ServerUnavailable, service).retry_after(SERVER_RETRY)
}

fn final_failure(sent_any: bool, failure: &AttemptFailure, address: &str) -> RefusalResponse {
    let detail = format_compact!("{address}: {}", failure.cause);
    if !sent_any {
        return RefusalResponse::not_run(RefusalReason::ServerUnavailable, detail)
            .retry_after(SERVER_RETRY);
    }
    let reason = if failure.deadline_passed {
        RefusalReason::DeadlinePassed
    } else {
        RefusalReason::ServerFailed
    };
    RefusalResponse::unknown(reason, detail)
}

/// Handle to the shared client.
pub(crate) type SharedForward = Arc<ForwardClient>;
