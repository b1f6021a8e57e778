//! Serves online requests: checks them, finds a place, and passes the answer on.

use std::{
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    allowance::AllowanceVerdict,
    catalog::{
        Catalog,
        CatalogRoute,
        CatalogWorkspace,
        RouteKind, //
    },
    keys::hash_key,
    patience::{
        PlaceRule,
        PlaceWait, //
    },
    place::{
        choose_batch_place,
        choose_place,
        PlaceQuery,
        PlaceView, //
    },
    refusal::{
        RefusalAnswer,
        RefusalReason, //
    },
    sync::lock, //
};
use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    http::request::Parts,
    Request, //
};
use log::info;
use metrics::{
    counter,
    histogram, //
};
use tokio::time::{
    sleep,
    timeout, //
};

use crate::{
    answer::{
        pass_on,
        refusal,
        whole,
        CallerAnswer, //
    },
    attempt::{
        attempt,
        AttemptFailure,
        NotRunCause,
        OutgoingRequest,
        ServerAnswer, //
    },
    backends::{
        BackendState,
        FlightKind, //
    },
    caller::{
        set_workspace,
        CallerRequest, //
    },
    jobs,
    relay_stream::{
        open_stream,
        StreamRelay, //
    },
    state::{
        allowance_limit,
        FleetState, //
    },
    wire::CallerCall, //
};

/// When a caller may come back while this VM knows no configuration yet.
const CONFIG_RETRY: Duration = Duration::from_millis(300);

/// When a caller may come back whose request would outlast this VM.
const CLOSING_RETRY: Duration = Duration::from_millis(50);

/// When a caller may come back while no server can take its request.
const CAPACITY_RETRY: Duration = Duration::from_millis(400);

/// Places of a server that a request which is late anyway leaves to others.
const SPARE_PLACES: u32 = 1;

/// Servers that may refuse a request before it is refused to its caller.
const REFUSALS: usize = 6;

/// Longest time for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Most bytes of a refused body that are read.
const DISCARD_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Longest time for reading a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest whole answer that is kept here until it is complete, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Time before a caller leaves at which its request gets a final answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Longest wait for a freed place before servers are looked at again.
const PLACE_POLL: Duration = Duration::from_millis(10);

/// A request that may run.
pub(crate) struct AdmittedRequest {
    /// Route that it takes.
    pub(crate) route: Arc<CatalogRoute>,
    /// Service of the route.
    pub(crate) service: CompactString,
    /// What goes to a server.
    pub(crate) outgoing: OutgoingRequest,
    /// When the request had arrived.
    pub(crate) arrived: Instant,
    /// Time for which the caller had asked before.
    age: Duration,
    prefix: Option<u64>,
}

/// How a request is answered: by a server or by the system.
pub(crate) type CallerResult = Result<CallerAnswer, RefusalAnswer>;

/// Answers one call of a caller.
pub(crate) async fn serve(state: &Arc<FleetState>, request: Request<Incoming>) -> CallerAnswer {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let names = &state.format.names;
    let caller = match CallerRequest::read(names, &parts, arrived) {
        Ok(caller) => caller,
        Err(refused) => return refusal(names, &refused, ""),
    };
    let id = caller.id.clone();
    let mut leaving = LeaveNote::new(&id, arrived);
    let result = dispatch(state, caller, &parts, body).await;
    leaving.answered = true;
    histogram!("answer_head_seconds").record(arrived.elapsed().as_secs_f64());
    result.unwrap_or_else(|refused| {
        let (reason, outcome) = (refused.reason.name(), refused.state.name());
        counter!("refusals_total", "reason" => reason, "outcome" => outcome).increment(1);
        info!(
            request = id.as_str(),
            reason,
            outcome,
            detail = refused.detail.as_str(),
            catalog = state.catalog.version(),
            age_ms = millis(arrived.elapsed());
            "request refused"
        );
        refusal(names, &refused, &id)
    })
}

/// Logs, when it is dropped, that a caller left before its answer began.
struct LeaveNote<'a> {
    request: &'a str,
    arrived: Instant,
    answered: bool,
}

impl<'a> LeaveNote<'a> {
    fn new(request: &'a str, arrived: Instant) -> LeaveNote<'a> {
        LeaveNote {
            request,
            arrived,
            answered: false,
        }
    }
}

impl Drop for LeaveNote<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        counter!("callers_left_total").increment(1);
        info!(request = self.request, age_ms = millis(self.arrived.elapsed()); "caller left before its answer");
    }
}

async fn dispatch(
    state: &Arc<FleetState>,
    caller: CallerRequest,
    parts: &Parts,
    body: Incoming,
) -> CallerResult {
    let catalog = state.catalog.load().ok_or_else(|| {
        let detail = "no configuration has arrived yet";
        RefusalAnswer::not_run(RefusalReason::ConfigMissing, detail).retry_after(CONFIG_RETRY)
    })?;
    let call = (state.format.classify)(parts);
    if call != CallerCall::Request && catalog.has_host(&caller.host) {
        let workspace = identify(&catalog, &caller)?;
        return jobs::serve_call(state, &caller, call, &workspace.name).await;
    }
    if state.is_closing() {
        let detail = "this VM ends soon";
        return Err(
            RefusalAnswer::not_run(RefusalReason::ShuttingDown, detail).retry_after(CLOSING_RETRY)
        );
    }
    if caller.id.is_empty() {
        let field = state.format.names.request_id.as_str();
        return Err(RefusalAnswer::not_run(
            RefusalReason::RequestMalformed,
            field,
        ));
    }
    let found = catalog.find_route(&caller.host, caller.path());
    let route =
        found.ok_or_else(|| RefusalAnswer::not_run(RefusalReason::RouteUnknown, caller.path()))?;
    let workspace = match route.open || !catalog.needs_keys() {
        true => None,
        false => Some(identify(&catalog, &caller)?),
    };
    let body = read_body(&catalog, parts, body).await?;
    if let RouteKind::Batch(terms) = &route.kind {
        let name = workspace.map_or("", |workspace| workspace.name.as_str());
        return jobs::submit(state, &caller, (route.as_ref(), terms), name, body).await;
    }
    let request = admit(state, caller, route, workspace, body)?;
    let workspace = workspace.filter(|workspace| workspace.rate > 0.0);
    if let Some(workspace) = workspace {
        take_allowance(state, workspace).await?;
    }
    let result = run(state, request).await;
    if let (Some(workspace), Err(refused)) = (workspace, &result) {
        if refused.state == boragerill::refusal::RunState::NotRun {
            lock(&state.allowances).give_back(workspace.hash);
        }
    }
    result
}

/// Returns the workspace of the caller's key.
fn identify<'a>(
    catalog: &'a Catalog,
    caller: &CallerRequest,
) -> Result<&'a CatalogWorkspace, RefusalAnswer> {
    let key = caller
        .key
        .as_deref()
        .ok_or_else(|| RefusalAnswer::not_run(RefusalReason::KeyMissing, "authorization"))?;
    catalog
        .find_key(&hash_key(key))
        .ok_or_else(|| RefusalAnswer::not_run(RefusalReason::KeyUnknown, "authorization"))
}

async fn take_allowance(
    state: &FleetState,
    workspace: &CatalogWorkspace,
) -> Result<(), RefusalAnswer> {
    loop {
        let now = Instant::now();
        let share = state.fleet_share(now);
        let verdict = lock(&state.allowances).take(allowance_limit(workspace), share, now);
        match verdict {
            AllowanceVerdict::Granted => {
                state.backends.changed.notify_one();
                return Ok(());
            }
            AllowanceVerdict::Pending(wait) => sleep(wait).await,
            AllowanceVerdict::Refused(wait) => {
                let detail = format_compact!(
                    "workspace {}, {} of {} VMs heard",
                    workspace.name,
                    share.heard,
                    share.size
                );
                return Err(
                    RefusalAnswer::not_run(RefusalReason::RateExceeded, detail).retry_after(wait)
                );
            }
        }
    }
}

async fn read_body(
    catalog: &Catalog,
    parts: &Parts,
    body: Incoming,
) -> Result<Bytes, RefusalAnswer> {
    let limits = catalog.limits();
    let too_large =
        |detail: CompactString| RefusalAnswer::not_run(RefusalReason::BodyTooLarge, detail);
    let head: usize = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if head > limits.header_bytes {
        let detail = format_compact!("head of {head} bytes");
        return Err(RefusalAnswer::not_run(
            RefusalReason::HeaderTooLarge,
            detail,
        ));
    }
    let announced = body.size_hint().lower();
    if announced > limits.body_bytes as u64 {
        discard(body).await;
        return Err(too_large(format_compact!("body of {announced} bytes")));
    }
    let reading = Limited::new(body, limits.body_bytes).collect();
    let malformed =
        |detail: CompactString| RefusalAnswer::not_run(RefusalReason::RequestMalformed, detail);
    match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(read)) => Ok(read.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(too_large(format_compact!("{error}")))
        }
        Ok(Err(error)) => Err(malformed(format_compact!("body: {error}"))),
        Err(_) => Err(malformed(format_compact!("body not received in time"))),
    }
}

/// Reads the rest of a refused body, so that the refusal isn't lost with a connection that is reset.
async fn discard(body: Incoming) {
    let reading = async {
        let mut rest = Limited::new(body, DISCARD_LIMIT_BYTES);
        while let Some(Ok(_)) = rest.frame().await {}
    };
    // Whoever sends for longer loses the refusal.
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}

fn admit(
    state: &FleetState,
    caller: CallerRequest,
    route: &Arc<CatalogRoute>,
    workspace: Option<&CatalogWorkspace>,
    body: Bytes,
) -> Result<AdmittedRequest, RefusalAnswer> {
    let service = route.choose_service(&caller.id).ok_or_else(|| {
        RefusalAnswer::not_run(RefusalReason::RouteUnknown, "route without a service")
    })?;
    let mut headers = caller.headers;
    if let Some(workspace) = workspace {
        set_workspace(&state.format.names, &mut headers, &workspace.name);
    }
    let limit = route.timeout.map(|limit| caller.arrived + limit);
    let deadline = limit.map_or(caller.deadline, |limit| limit.min(caller.deadline));
    Ok(AdmittedRequest {
        service: service.clone(),
        arrived: caller.arrived,
        age: state.patience.note(
            &route.name,
            caller.deadline.saturating_duration_since(caller.arrived),
            caller.arrived,
        ),
        prefix: caller.prefix,
        outgoing: OutgoingRequest {
            id: caller.id,
            method: caller.method,
            target: caller.target,
            headers,
            body,
            deadline,
            repeatable: route.is_repeatable(),
            kind: FlightKind::Online,
        },
        route: route.clone(),
    })
}

/// What has happened to a request so far.
#[derive(Debug, Default)]
struct RunHistory {
    tried: Vec<u32>,
    refusals: usize,
    runs: u32,
    cause: CompactString,
}

/// Runs a request at one server after another, as far as its route allows.
async fn run(state: &Arc<FleetState>, request: AdmittedRequest) -> CallerResult {
    let mut history = RunHistory::default();
    loop {
        let server = find_place(state, &request, &history).await?;
        log_choice(state, &request, &server);
        let left = time_to_answer(&request);
        let limit = left - ANSWER_MARGIN.min(left / 8);
        let tried = timeout(limit, try_server(state, &server, &request, &mut history)).await;
        let timed_out = tried.is_err();
        let failure = match tried {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(failure)) => failure,
            Err(_) => {
                state.backends.note_silence(&server, Instant::now());
                AttemptFailure::Unknown("no answer before the caller leaves".into())
            }
        };
        note_failure(&request, &server, &failure, &mut history);
        history.tried.push(server.key);
        let out_of_time = timed_out || time_to_answer(&request).is_zero();
        match &failure {
            AttemptFailure::NotRun(..) if history.refusals < REFUSALS && !out_of_time => {}
            AttemptFailure::Unknown(_) if may_repeat(&request, &history) && !out_of_time => {}
            _ => return Err(final_refusal(&history, out_of_time)),
        }
    }
}

/// Notes which server a request goes to, and what spoke for it.
fn log_choice(state: &FleetState, request: &AdmittedRequest, server: &BackendState) {
    let used = server.used();
    info!(
        request = request.outgoing.id.as_str(),
        server = server.server.id.as_str(),
        domain = server.server.domain.as_str(),
        own_online = used.online,
        own_batch = used.batch,
        servers = state.backends.read(boragerill::backend::BackendTable::through),
        age_ms = millis(request.arrived.elapsed());
        "request routed"
    );
}

async fn try_server(
    state: &Arc<FleetState>,
    server: &Arc<BackendState>,
    request: &AdmittedRequest,
    history: &mut RunHistory,
) -> Result<CallerAnswer, AttemptFailure> {
    let answer = attempt(state, server, &request.outgoing).await?;
    accept(state, request, answer, history).await
}

/// Returns the time until the caller leaves without an answer.
fn time_to_answer(request: &AdmittedRequest) -> Duration {
    let now = Instant::now();
    let held = now.saturating_duration_since(request.arrived);
    let remaining = request.outgoing.deadline.saturating_duration_since(now);
    remaining.min(silence_limit(&request.route).saturating_sub(held))
}

fn may_repeat(request: &AdmittedRequest, history: &RunHistory) -> bool {
    request.outgoing.repeatable && history.runs < request.route.attempts
}

fn note_failure(
    request: &AdmittedRequest,
    server: &BackendState,
    failure: &AttemptFailure,
    history: &mut RunHistory,
) {
    let (reason, cause) = match failure {
        AttemptFailure::NotRun(reason, cause) => {
            history.refusals += 1;
            (reason.name(), cause)
        }
        AttemptFailure::Unknown(cause) => {
            history.runs += 1;
            ("server_failed", cause)
        }
    };
    counter!("attempts_failed_total", "reason" => reason).increment(1);
    info!(
        request = request.outgoing.id.as_str(),
        server = server.server.id.as_str(),
        online = server.used().online,
        reason,
        cause = cause.as_str(),
        age_ms = millis(request.arrived.elapsed());
        "attempt failed"
    );
    history.cause = format_compact!("{}: {cause}", server.server.address);
}

fn final_refusal(history: &RunHistory, out_of_time: bool) -> RefusalAnswer {
    let cause = history.cause.clone();
    if history.runs == 0 {
        return RefusalAnswer::not_run(RefusalReason::ServerUnavailable, cause)
            .retry_after(CAPACITY_RETRY);
    }
    let reason = if out_of_time {
        RefusalReason::DeadlinePassed
    } else {
        RefusalReason::ServerFailed
    };
    RefusalAnswer::unknown(reason, cause)
}

/// Finds a server that has a place, or will have one soon enough.
async fn find_place(
    state: &FleetState,
    request: &AdmittedRequest,
    history: &RunHistory,
) -> Result<Arc<BackendState>, RefusalAnswer> {
    let mut waiting = None;
    loop {
        let freed = state.backends.freed.notified();
        let now = Instant::now();
        let held = now.saturating_duration_since(request.arrived);
        let fresh = waiting.as_ref().is_some_and(FreshGuard::is_set);
        let wait = PlaceWait {
            age: request.age + held,
            held,
            target: request.route.target,
            remaining: request.outgoing.deadline.saturating_duration_since(now),
            silence: silence_limit(&request.route).saturating_sub(held),
            fresh_waiting: state.fresh_waiting.load(Ordering::Relaxed) - usize::from(fresh),
        };
        let rule = wait.rule();
        let (servers, views) = state
            .backends
            .views(&request.service, &state.settings.domain, now);
        if let Some(index) = choose(&views, request, history, rule) {
            return Ok(servers[index].clone());
        }
        let exhausted = !history.tried.is_empty() && history.tried.len() >= servers.len();
        let is_last = matches!(rule, PlaceRule::Last(_) | PlaceRule::LastSpare);
        if is_last || exhausted || servers.is_empty() {
            return Err(no_place(history, servers.len()));
        }
        waiting.get_or_insert_with(|| FreshGuard::new(state, !wait.is_late()));
        // Running out of time here only means to look again.
        let _ = timeout(PLACE_POLL, freed).await;
    }
}

/// Returns the time without an event after which callers of a route leave.
fn silence_limit(route: &CatalogRoute) -> Duration {
    match &route.kind {
        RouteKind::Stream(terms) if !terms.silence_limit.is_zero() => terms.silence_limit,
        _ => Duration::MAX,
    }
}

fn choose(
    views: &[PlaceView],
    request: &AdmittedRequest,
    history: &RunHistory,
    rule: PlaceRule,
) -> Option<usize> {
    let query = |waiting| PlaceQuery {
        prefix: request.prefix,
        draw: rand::random(),
        waiting,
    };
    match rule {
        PlaceRule::Free => choose_place(views, &history.tried, query(0)),
        PlaceRule::Queue(waiting) | PlaceRule::Last(waiting) => {
            choose_place(views, &history.tried, query(waiting))
        }
        PlaceRule::Spare | PlaceRule::LastSpare => {
            choose_batch_place(views, &history.tried, SPARE_PLACES)
        }
        PlaceRule::Wait => None,
    }
}

fn no_place(history: &RunHistory, servers: usize) -> RefusalAnswer {
    if history.runs > 0 {
        return final_refusal(history, false);
    }
    let detail = format_compact!("{servers} servers, none with a place");
    RefusalAnswer::not_run(RefusalReason::CapacityShort, detail).retry_after(CAPACITY_RETRY)
}

/// Counts a request that could be served in time and waits, until dropped.
struct FreshGuard<'a> {
    state: &'a FleetState,
    fresh: bool,
}

impl<'a> FreshGuard<'a> {
    fn new(state: &'a FleetState, fresh: bool) -> FreshGuard<'a> {
        if fresh {
            state.fresh_waiting.fetch_add(1, Ordering::Relaxed);
        }
        FreshGuard { state, fresh }
    }

    fn is_set(&self) -> bool {
        self.fresh
    }
}

impl Drop for FreshGuard<'_> {
    fn drop(&mut self) {
        if self.fresh {
            self.state.fresh_waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Turns a server's answer into the caller's, or finds that it has to be tried elsewhere.
async fn accept(
    state: &Arc<FleetState>,
    request: &AdmittedRequest,
    answer: ServerAnswer,
    history: &mut RunHistory,
) -> Result<CallerAnswer, AttemptFailure> {
    let status = answer.head.status;
    let is_stream = matches!(request.route.kind, RouteKind::Stream(_));
    if is_stream && status.is_success() {
        let opened = open_stream(state, request, answer).await?;
        return Ok(StreamRelay::start(
            state.clone(),
            request,
            opened,
            history.runs + 1,
        ));
    }
    if status.is_server_error() {
        state.backends.note_failure(&answer.server, Instant::now());
        let again = request.outgoing.repeatable && history.runs + 1 < request.route.attempts;
        if again && Instant::now() < request.outgoing.deadline {
            let cause = format_compact!("status {}", status.as_u16());
            return Err(AttemptFailure::Unknown(cause));
        }
    }
    pass_whole(state, request, answer).await
}

/// Reads an answer to its end before any of it is passed on.
async fn pass_whole(
    state: &FleetState,
    request: &AdmittedRequest,
    mut answer: ServerAnswer,
) -> Result<CallerAnswer, AttemptFailure> {
    let remaining = request
        .outgoing
        .deadline
        .saturating_duration_since(Instant::now());
    let reading = Limited::new(&mut answer.body, ANSWER_LIMIT_BYTES).collect();
    let unknown = |cause: CompactString| AttemptFailure::Unknown(cause);
    let body = match timeout(remaining, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Err(unknown(format_compact!("answer broke off: {error}"))),
        Err(_) => return Err(unknown("deadline passed within the answer".into())),
    };
    let passed = pass_on(&state.format.names, &answer.head, whole(body));
    answer.finish();
    Ok(passed)
}

/// Returns a time in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns whether a failure leaves the request free to go elsewhere.
pub(crate) fn is_unreachable(failure: &AttemptFailure) -> bool {
    matches!(failure, AttemptFailure::NotRun(NotRunCause::Unreachable, _))
}
