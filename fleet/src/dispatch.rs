//! Dispatches an admitted request to backend servers, with retries, and forwards the response.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    catalog::RouteKind,
    quarantine::{
        PromptCheck,
        TrialTerms, //
    },
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    response_end::{
        EndFault,
        OutputState, //
    },
    timer::millis, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use log::info;
use metrics::counter;
use tokio::time::{
    sleep,
    timeout, //
};

use crate::{
    admission::{
        AdmittedRequest,
        CallerResult, //
    },
    attempt::{
        attempt,
        AttemptFailure,
        ServerResponse, //
    },
    backends::BackendState,
    caller::header_text,
    crash_watch::{
        record_lost_request,
        LostRequest, //
    },
    held_body::{
        receive,
        BodyFault,
        HeldBody, //
    },
    quarantine::{
        RunProgress,
        RunProof, //
    },
    response::{
        forward_response,
        refusal,
        CallerResponse, //
    },
    response_end::check_end,
    server_limits::SendPermit,
    server_selection::{
        find_slot,
        PermittedServer, //
    },
    state::FleetState,
    stop_guard::{
        refuse_stopping,
        wait_for_last_answer,
        RunTimer, //
    },
    stream_relay::StreamRelay,
    stream_start::{
        start_stream,
        StreamStart, //
    },
    trial_wait::trial_turn, //
};

/// Retry delay for callers whose request no server accepted.
const CAPACITY_RETRY: Duration = Duration::from_millis(400);

/// Number of attempts that may fail without the request having run before its caller gets a refusal.
const MAX_REFUSALS: usize = 6;

/// Largest non-streaming response that is buffered until it is complete, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Largest error response that is buffered, in bytes.
const ERROR_RESPONSE_LIMIT_BYTES: usize = 64 * 1024;

/// Time before a caller times out at which its request gets a final response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Pause before a request whose server failed is sent to another one. Servers that crash together are noticed
/// meanwhile.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Attempts of a request so far.
#[derive(Default)]
pub(crate) struct RunHistory {
    /// Keys of the servers that the request was sent to.
    pub(crate) tried: Vec<u32>,
    refusals: usize, // Attempts in which the request didn't run.
    /// Number of attempts in which the request may have run.
    pub(crate) runs: u32,
    is_trial: bool, // Whether it is sent although its prompt is quarantined, until it may have run.
    cause: CompactString,
    timer: Option<RunTimer>, // From the first attempt on.
}

/// Sends a request to one server after another until one responds or the route allows no further attempt.
pub(crate) async fn dispatch_request(
    state: &Arc<FleetState>,
    request: AdmittedRequest,
) -> CallerResult {
    let mut history = RunHistory::default();
    loop {
        let terms = trial_terms(state);
        let checked = state
            .quarantine
            .check(&request.outgoing.prompt, terms, Instant::now());
        refuse_quarantined(checked, &history)?;
        let PermittedServer { mut server, permit } = tokio::select! {
            found = find_slot(state, &request, &history) => found?,
            () = wait_for_last_answer(state) => return Err(refuse_at_end(&history)),
        };
        if !history.is_trial {
            let admitted = state
                .quarantine
                .admit(&request.outgoing.prompt, terms, Instant::now());
            refuse_quarantined(admitted, &history)?;
            history.is_trial = admitted == PromptCheck::Trial;
        }
        log_routing(state, &request, &server);
        history
            .timer
            .get_or_insert_with(|| RunTimer::start(state, &request.route.name));
        let remaining = time_until_disconnect(&request);
        let limit = remaining - RESPONSE_MARGIN.min(remaining / 8);
        let sent = Instant::now();
        let trying = timeout(
            limit,
            try_server(state, (&mut server, permit), &request, &mut history),
        );
        let result = tokio::select! {
            result = trying => result,
            () = wait_for_last_answer(state) => {
                let stopped = AttemptFailure::Unknown("VM ends before the response".into());
                record_attempt_failure(&request, &server, &stopped, &mut history);
                return Err(refuse_at_end(&history));
            }
        };
        let timed_out = result.is_err();
        let failure = match result {
            Ok(Ok(response)) => {
                record_other_cell(state, &server, true);
                if let Some(timer) = history.timer.filter(|_| response.status().is_success()) {
                    timer.finish();
                }
                return Ok(response);
            }
            Ok(Err(failure)) => failure,
            Err(_) => {
                let now = Instant::now();
                state.backends.record_silence(&server, sent, now);
                AttemptFailure::Unknown("no response before the caller's timeout".into())
            }
        };
        record_attempt_failure(&request, &server, &failure, &mut history);
        if matches!(failure, AttemptFailure::NotRun(..)) {
            record_other_cell(state, &server, false);
        }
        if !matches!(failure, AttemptFailure::Unproven(_)) {
            history.tried.push(server.key);
        }
        let out_of_time = timed_out || time_until_disconnect(&request).is_zero();
        match &failure {
            AttemptFailure::NotRun(..) if history.refusals < MAX_REFUSALS && !out_of_time => {}
            AttemptFailure::Unknown(_) | AttemptFailure::Unproven(_)
                if may_retry(&request, &history) && !out_of_time =>
            {
                sleep(RETRY_PAUSE).await;
            }
            _ => return Err(final_refusal(&history, out_of_time)),
        }
    }
}

/// Returns the refusal for a request without a response when this VM ends.
fn refuse_at_end(history: &RunHistory) -> RefusalResponse {
    match history.runs {
        0 => refuse_stopping(),
        _ => final_refusal(history, false),
    }
}

/// Records whether a server took a request, if it belongs to another cell.
fn record_other_cell(state: &FleetState, server: &BackendState, is_accepted: bool) {
    if !state.backends.cell().has_server(server.key) {
        state.cells.record_fallback(is_accepted);
    }
}

/// Returns when a request with a quarantined prompt may be tried here.
fn trial_terms(state: &FleetState) -> TrialTerms {
    if !state.quarantine.is_active() {
        return TrialTerms::default();
    }
    TrialTerms {
        turn: trial_turn(state, Instant::now()),
        ..TrialTerms::default()
    }
}

/// Refuses a request whose prompt is quarantined, unless it is sent as a trial.
fn refuse_quarantined(check: PromptCheck, history: &RunHistory) -> Result<(), RefusalResponse> {
    let PromptCheck::Quarantined {
        retry_after,
        crashes,
    } = check
    else {
        return Ok(());
    };
    if history.is_trial {
        return Ok(());
    }
    if history.runs > 0 {
        return Err(final_refusal(history, false));
    }
    let detail = format_compact!("prompt quarantined after {crashes} crashes of backend servers");
    let refused = RefusalResponse::not_run(RefusalReason::PromptQuarantined, detail);
    Err(refused.retry_after(retry_after))
}

/// Logs the server chosen for a request and the load that this VM has placed on it.
fn log_routing(state: &FleetState, request: &AdmittedRequest, server: &BackendState) {
    let used = server.used();
    info!(
        request = request.outgoing.id.as_str(),
        workspace = request.outgoing.workspace.as_str(),
        route = request.route.name.as_str(),
        prompt = request.outgoing.prompt.text(),
        resumed_request = header_text(&request.outgoing.headers, &state.format.names.resumed_request),
        last_event = header_text(&request.outgoing.headers, &state.format.names.last_event),
        server = server.server.id.as_str(),
        version = server.server.version.as_str(),
        domain = server.server.domain.as_str(),
        own_online = used.online,
        own_batch = used.batch,
        servers = state.backends.read(boragerill::backend::BackendTable::through),
        age_ms = millis(request.arrived.elapsed());
        "request routed"
    );
}

/// Sends a request to `server`, which is set to another one if the request moves, and returns the response to the
/// caller.
async fn try_server(
    state: &Arc<FleetState>,
    (server, permit): (&mut Arc<BackendState>, SendPermit),
    request: &AdmittedRequest,
    history: &mut RunHistory,
) -> Result<CallerResponse, AttemptFailure> {
    let response = match request.route.kind {
        RouteKind::Stream(_) => {
            match start_stream(state, request, (server, permit), history).await? {
                StreamStart::Opened(opened) => {
                    let run = (history.runs + 1, history.timer.take());
                    return Ok(StreamRelay::start(state.clone(), request, opened, run));
                }
                StreamStart::Error(response) => response,
            }
        }
        _ => attempt(state, server, &request.outgoing, permit).await?,
    };
    handle_response(state, request, response, history).await
}

/// Returns the time until the caller disconnects unless it receives the response or an event.
fn time_until_disconnect(request: &AdmittedRequest) -> Duration {
    let now = Instant::now();
    let held = now.saturating_duration_since(request.arrived);
    let remaining = request.outgoing.deadline.saturating_duration_since(now);
    remaining.min(request.route.event_timeout().saturating_sub(held))
}

/// Returns whether the request may run once more.
fn may_retry(request: &AdmittedRequest, history: &RunHistory) -> bool {
    request.outgoing.repeatable && history.runs < request.route.attempts
}

/// Counts and logs a failed attempt, and adds it to the history.
pub(crate) fn record_attempt_failure(
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
        AttemptFailure::Unknown(cause) | AttemptFailure::Unproven(cause) => {
            history.runs += 1;
            history.is_trial = false;
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

/// Returns the refusal for a request that gets no further attempt.
pub(crate) fn final_refusal(history: &RunHistory, out_of_time: bool) -> RefusalResponse {
    let cause = history.cause.clone();
    if history.runs == 0 {
        return RefusalResponse::not_run(RefusalReason::ServerUnavailable, cause)
            .retry_after(CAPACITY_RETRY);
    }
    let reason = if out_of_time {
        RefusalReason::DeadlinePassed
    } else {
        RefusalReason::ServerFailed
    };
    RefusalResponse::unknown(reason, cause)
}

/// Makes the caller's response from a server's.
///
/// # Errors
///
/// Returns the failure of an attempt that has to be repeated on another server.
async fn handle_response(
    state: &Arc<FleetState>,
    request: &AdmittedRequest,
    response: ServerResponse,
    history: &RunHistory,
) -> Result<CallerResponse, AttemptFailure> {
    let status = response.head.status;
    if status.is_server_error() {
        state
            .backends
            .record_failure(&response.server, Instant::now());
        let retry = request.outgoing.repeatable && history.runs + 1 < request.route.attempts;
        if retry && Instant::now() < request.outgoing.deadline {
            let cause = format_compact!("status {}", status.as_u16());
            return Err(AttemptFailure::Unknown(cause));
        }
    }
    forward_complete(state, request, response).await
}

/// Buffers a response until it is complete and forwards it; [`dispatch_request`] limits the time.
async fn forward_complete(
    state: &FleetState,
    request: &AdmittedRequest,
    mut response: ServerResponse,
) -> Result<CallerResponse, AttemptFailure> {
    let limit = match response.head.status.is_success() {
        true => RESPONSE_LIMIT_BYTES,
        false => ERROR_RESPONSE_LIMIT_BYTES,
    };
    let mut held = HeldBody::new(&state.caller_bytes);
    let read = match receive(&mut held, &mut response.body, limit).await {
        Ok(()) => {
            let output = match response.head.status.is_success() && held.is_empty() {
                true => OutputState::Empty { can_be_shown: true },
                false => OutputState::Received,
            };
            match check_end(&request.outgoing, &mut response, output).await {
                Err(EndFault::NothingAdded) => {
                    let cause = EndFault::NothingAdded.text().into();
                    return Err(AttemptFailure::Unproven(cause));
                }
                checked => checked.map(drop).map_err(|fault| fault.text().into()),
            }
        }
        // No failure of the server, and running the request again would take as much memory.
        Err(BodyFault::Shed) => return Ok(refuse_response(state, request)),
        Err(BodyFault::TooLarge) => Err(format_compact!("response of more than {limit} bytes")),
        Err(BodyFault::Broken(error)) => {
            Err(format_compact!("reading the response failed: {error}"))
        }
    };
    read.map_err(|cause| {
        state
            .backends
            .record_failure(&response.server, Instant::now());
        let lost = LostRequest::new(&request.outgoing, response.in_flight.age());
        record_lost_request(state, &response.server, lost);
        AttemptFailure::Unknown(cause)
    })?;
    if response.head.status.is_success() {
        let prompt = &request.outgoing.prompt;
        RunProof::default().record(&state.quarantine, prompt, RunProgress::Complete);
    }
    let (body, signal) = held.into_response();
    let mut forwarded = forward_response(&state.format.names, &response.head, body);
    forwarded.extensions_mut().insert(signal);
    response.finish();
    Ok(forwarded)
}

/// Makes the response to a request whose response was shed while it was received. The request may have run.
fn refuse_response(state: &FleetState, request: &AdmittedRequest) -> CallerResponse {
    let detail = "response shed, the memory budget is short";
    let refused = RefusalResponse::unknown(RefusalReason::ServerFailed, detail);
    refusal(&state.format.names, &refused, &request.outgoing.id)
}
