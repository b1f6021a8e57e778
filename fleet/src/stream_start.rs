//! Sends a request for an event stream and waits for the first event, on another server if the first one is silent.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    quarantine::{
        PromptCheck,
        TrialTerms, //
    },
    response_end::{
        EndFault,
        OutputState,
        ProcessState, //
    },
    stall::FIRST_EVENT_MOVE,
    stream::EventSplitter, //
};
use bytes::Bytes;
use compact_str::format_compact;
use futures_util::future::{
    select,
    Either, //
};
use tokio::time::timeout;

use crate::{
    admission::AdmittedRequest,
    attempt::{
        attempt,
        AttemptFailure,
        ServerResponse, //
    },
    backends::BackendState,
    crash_watch::{
        record_lost_request,
        LostRequest, //
    },
    dispatch::{
        record_attempt_failure,
        RunHistory, //
    },
    response_end::check_end,
    server_limits::SendPermit,
    server_load::RequestCost,
    server_selection::{
        choose_other_start,
        PermittedServer, //
    },
    state::FleetState,
    stream_relay::{
        read_events,
        HANDOVER_TIME, //
    },
};

/// Interval at which a request without a first event looks for another server after that time.
const MOVE_RETRY_PERIOD: Duration = Duration::from_millis(100);

/// What the first read of a stream brought.
pub(crate) enum FirstRead {
    /// Events.
    Events(Bytes),
    /// The end of a stream that goes on after its last event, and the state of its server's process if it was needed.
    End(Option<ProcessState>),
}

/// A stream whose first events, or whose end without further events, have been received.
pub(crate) struct OpenedStream {
    /// Response of the server.
    pub(crate) response: ServerResponse,
    /// Splits the response's body into events.
    pub(crate) splitter: EventSplitter,
    /// First events or end.
    pub(crate) first: FirstRead,
}

/// Start of a server's response to a request for a stream.
pub(crate) enum StreamStart {
    /// The response is a stream.
    Opened(OpenedStream),
    /// The response has an error status.
    Error(ServerResponse),
}

/// Start of a response, or why the attempt failed.
type StartResult = Result<StreamStart, AttemptFailure>;

/// How a handover between two servers ended.
enum HandoverEnd {
    /// The server that was silent responded.
    Before(StartResult),
    /// The other server responded.
    Other(StartResult),
    /// None of them responded in time.
    Undecided,
}

/// Sends a request to `server`, and to another server with a free slot if it is silent for [`FIRST_EVENT_MOVE`], or
/// for the route's target if that is longer. A silent run goes on if the other server refuses or fails the request.
/// `server` is set to the server that the result is from; failures of others are added to the history. The caller of
/// this function has to limit the time.
pub(crate) async fn start_stream(
    state: &FleetState,
    request: &AdmittedRequest,
    (server, permit): (&mut Arc<BackendState>, SendPermit),
    history: &mut RunHistory,
) -> StartResult {
    let first = (server.clone(), permit);
    let mut running = Box::pin(begin(state, request, first, history.runs));
    let mut limit = FIRST_EVENT_MOVE.max(request.route.target);
    let mut refused = Vec::new();
    loop {
        if let Ok(start) = timeout(limit, running.as_mut()).await {
            return start;
        }
        limit = MOVE_RETRY_PERIOD;
        let excluded = [history.tried.as_slice(), refused.as_slice(), &[server.key]].concat();
        let chosen = choose_other_server(state, request, history.runs, &excluded);
        let Some(PermittedServer {
            server: other,
            permit,
        }) = chosen
        else {
            continue;
        };
        let chosen = (other.clone(), permit);
        let mut asking = Box::pin(begin(state, request, chosen, history.runs + 1));
        let both = select(running.as_mut(), asking.as_mut());
        let end = match timeout(HANDOVER_TIME, both).await {
            Ok(Either::Left((start, _))) => HandoverEnd::Before(start),
            Ok(Either::Right((start, _))) => HandoverEnd::Other(start),
            Err(_) => HandoverEnd::Undecided,
        };
        match end {
            HandoverEnd::Before(Err(failure)) => {
                leave(request, server, &failure, history);
                (running, *server) = (asking, other);
            }
            HandoverEnd::Before(start) => return start,
            HandoverEnd::Other(Ok(StreamStart::Opened(opened))) => {
                leave_silent(state, request, server, history);
                *server = other;
                return Ok(StreamStart::Opened(opened));
            }
            HandoverEnd::Other(Ok(StreamStart::Error(response))) => {
                let status = response.head.status.as_u16();
                let failure = AttemptFailure::Unknown(format_compact!("status {status}"));
                leave(request, &other, &failure, history);
            }
            HandoverEnd::Other(Err(failure)) => {
                if let AttemptFailure::NotRun(..) = failure {
                    refused.push(other.key);
                } else {
                    leave(request, &other, &failure, history);
                }
            }
            HandoverEnd::Undecided => {
                leave_silent(state, request, server, history);
                (running, *server) = (asking, other);
                limit = FIRST_EVENT_MOVE.max(request.route.target);
            }
        }
    }
}

/// Adds the failure of a server to the history.
fn leave(
    request: &AdmittedRequest,
    server: &BackendState,
    failure: &AttemptFailure,
    history: &mut RunHistory,
) {
    record_attempt_failure(request, server, failure, history);
    history.tried.push(server.key);
}

/// Records that a request leaves a server that has sent nothing of its response.
fn leave_silent(
    state: &FleetState,
    request: &AdmittedRequest,
    server: &BackendState,
    history: &mut RunHistory,
) {
    state.backends.record_timeout(server, Instant::now());
    let failure = AttemptFailure::Unknown("no response in time".into());
    leave(request, server, &failure, history);
}

/// Returns a server that a request may move to although another one still runs it, if one has a free slot.
fn choose_other_server(
    state: &FleetState,
    request: &AdmittedRequest,
    runs: u32,
    excluded: &[u32],
) -> Option<PermittedServer> {
    if !request.outgoing.repeatable || runs + 1 >= request.route.attempts {
        return None;
    }
    let prompt = &request.outgoing.prompt;
    let check = state
        .quarantine
        .check(prompt, TrialTerms::default(), Instant::now());
    if check != PromptCheck::Allowed {
        return None;
    }
    choose_other_start(state, request, excluded)
}

/// Sends a request to a server and waits for the first complete event of its response. A request that goes on after an
/// event may get none: then its caller lacked only the end. `runs` counts the runs before this one.
async fn begin(
    state: &FleetState,
    request: &AdmittedRequest,
    (server, permit): (Arc<BackendState>, SendPermit),
    runs: u32,
) -> StartResult {
    let mut response = attempt(state, &server, &request.outgoing, permit).await?;
    if !response.head.status.is_success() {
        return Ok(StreamStart::Error(response));
    }
    let mut splitter = EventSplitter::after(request.outgoing.last_event(&state.format.names));
    let first = match read_events(&mut response, &mut splitter).await {
        Ok(Some(events)) => {
            if state.load.is_active() {
                let names = &state.format.names;
                let cost = RequestCost::of(names, &request.route.name, &request.outgoing);
                let delay = response.in_flight.age();
                state.load.record_first_event(&server, cost, delay);
            }
            Ok(FirstRead::Events(events))
        }
        Ok(None) => {
            let output = match splitter.last() {
                None => OutputState::Missing,
                Some(_) => OutputState::Empty {
                    can_be_shown: request.outgoing.repeatable && runs + 1 < request.route.attempts,
                },
            };
            match check_end(&request.outgoing, &mut response, output).await {
                Err(EndFault::NothingAdded) => {
                    let cause = EndFault::NothingAdded.text().into();
                    return Err(AttemptFailure::Unproven(cause));
                }
                ended => ended
                    .map(FirstRead::End)
                    .map_err(|fault| fault.text().into()),
            }
        }
        Err(cause) => Err(cause),
    };
    match first {
        Ok(first) => Ok(StreamStart::Opened(OpenedStream {
            response,
            splitter,
            first,
        })),
        Err(cause) => {
            state.backends.record_failure(&server, Instant::now());
            let lost = LostRequest::new(&request.outgoing, response.in_flight.age());
            record_lost_request(state, &server, lost);
            response.abandon();
            Err(AttemptFailure::Unknown(cause))
        }
    }
}
