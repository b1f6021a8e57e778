//! Runs an admitted request at one server after another and passes the answer on.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    catalog::RouteKind,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    timer::millis, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use log::info;
use metrics::counter;
use tokio::time::timeout;

use crate::{
    admission::{
        AdmittedRequest,
        CallerResult, //
    },
    attempt::{
        attempt,
        AttemptFailure,
        NotRunCause,
        ServerResponse, //
    },
    backends::BackendState,
    response::{
        pass_on,
        whole,
        CallerResponse, //
    },
    server_selection::find_slot,
    state::FleetState,
    stream_relay::{
        open_stream,
        StreamRelay, //
    },
};

/// When a caller may come back whose request no server took.
const CAPACITY_RETRY: Duration = Duration::from_millis(400);

/// Servers that may refuse a request before it is refused to its caller.
const REFUSALS: usize = 6;

/// Largest whole answer that is kept here until it is complete, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Largest answer that tells of a failure, in bytes.
const FAILURE_LIMIT_BYTES: usize = 64 * 1024;

/// Time before a caller leaves at which its request gets a final answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// What has happened to a request so far.
#[derive(Debug, Default)]
pub(crate) struct RunHistory {
    /// Keys of the servers that were tried.
    pub(crate) tried: Vec<u32>,
    refusals: usize,
    /// Times that the request may have run.
    pub(crate) runs: u32,
    cause: CompactString,
}

/// Runs a request at one server after another, as far as its route allows.
pub(crate) async fn run(state: &Arc<FleetState>, request: AdmittedRequest) -> CallerResult {
    let mut history = RunHistory::default();
    loop {
        let server = find_slot(state, &request, &history).await?;
        log_choice(state, &request, &server);
        let left = time_to_answer(&request);
        let limit = left - ANSWER_MARGIN.min(left / 8);
        let tried = timeout(limit, try_server(state, &server, &request, &mut history)).await;
        let timed_out = tried.is_err();
        let failure = match tried {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(failure)) => failure,
            Err(_) => {
                state.backends.record_timeout(&server, Instant::now());
                AttemptFailure::Unknown("no answer before the caller leaves".into())
            }
        };
        record_attempt_failure(&request, &server, &failure, &mut history);
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
) -> Result<CallerResponse, AttemptFailure> {
    let answer = attempt(state, server, &request.outgoing).await?;
    accept(state, request, answer, history).await
}

/// Returns the time until the caller leaves without an answer.
fn time_to_answer(request: &AdmittedRequest) -> Duration {
    let now = Instant::now();
    let held = now.saturating_duration_since(request.arrived);
    let remaining = request.outgoing.deadline.saturating_duration_since(now);
    remaining.min(request.route.silence_limit().saturating_sub(held))
}

fn may_repeat(request: &AdmittedRequest, history: &RunHistory) -> bool {
    request.outgoing.repeatable && history.runs < request.route.attempts
}

fn record_attempt_failure(
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

/// Returns what a caller is told whose request isn't tried any more.
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

/// Turns a server's answer into the caller's, or finds that it has to be tried elsewhere.
async fn accept(
    state: &Arc<FleetState>,
    request: &AdmittedRequest,
    answer: ServerResponse,
    history: &mut RunHistory,
) -> Result<CallerResponse, AttemptFailure> {
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
        state
            .backends
            .record_failure(&answer.server, Instant::now());
        let again = request.outgoing.repeatable && history.runs + 1 < request.route.attempts;
        if again && Instant::now() < request.outgoing.deadline {
            let cause = format_compact!("status {}", status.as_u16());
            return Err(AttemptFailure::Unknown(cause));
        }
    }
    pass_whole(state, answer).await
}

/// Reads an answer to its end before any of it is passed on; [`run`] bounds the time.
async fn pass_whole(
    state: &FleetState,
    mut answer: ServerResponse,
) -> Result<CallerResponse, AttemptFailure> {
    let limit = match answer.head.status.is_success() {
        true => ANSWER_LIMIT_BYTES,
        false => FAILURE_LIMIT_BYTES,
    };
    let reading = Limited::new(&mut answer.body, limit).collect();
    let body = reading.await.map_err(|error| {
        state
            .backends
            .record_failure(&answer.server, Instant::now());
        AttemptFailure::Unknown(format_compact!("answer broke off: {error}"))
    })?;
    let body = body.to_bytes();
    let passed = pass_on(&state.format.names, &answer.head, whole(body));
    answer.finish();
    Ok(passed)
}

/// Returns whether a failure leaves the request free to go elsewhere.
pub(crate) fn is_unreachable(failure: &AttemptFailure) -> bool {
    matches!(failure, AttemptFailure::NotRun(NotRunCause::Unreachable, _))
}
