//! Forwards event streams to callers as events arrive, and resumes broken streams on other servers where
//! the route allows it.

use std::{
    io,
    pin::pin,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    catalog::{
        RouteKind,
        StreamTerms, //
    },
    load::EventClock,
    quarantine::{
        PromptCheck,
        TrialTerms, //
    },
    rank::hash_name,
    response_end::{
        BodyFraming,
        OutputState,
        ProcessState, //
    },
    stall::{
        StallAction,
        StallEnd,
        StallState,
        StallTerms,
        FIRST_EVENT_MOVE, //
    },
    stream::{
        EventId,
        EventSplitter, //
    },
    stream_version::VersionKey,
    timer::millis, //
};
use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::header::HeaderValue;
use log::info;
use metrics::counter;
use tokio::time::{
    error::Elapsed,
    sleep,
    timeout, //
};

use crate::{
    admission::AdmittedRequest,
    attempt::{
        attempt,
        AttemptFailure,
        OutgoingRequest,
        ServerResponse, //
    },
    backends::BackendState,
    crash_watch::{
        record_lost_request,
        LostRequest, //
    },
    dispatch::RETRY_PAUSE,
    quarantine::{
        RunProgress,
        RunProof, //
    },
    response::{
        forward_response,
        streamed_body,
        CallerResponse, //
    },
    response_end::check_end,
    server_limits::SendPermit,
    server_selection::{
        choose_resume_server,
        PermittedServer,
        ServerDemand, //
    },
    state::FleetState,
    stop_guard::RunTimer,
    stream_start::{
        FirstRead,
        OpenedStream, //
    },
};

/// Time after a request's deadline during which events already received are still forwarded.
pub(crate) const LATE_EVENT_GRACE: Duration = Duration::from_millis(250);

/// Time for which a run goes on while another server is asked to take the stream over. Both may work on it at the same
/// time for this long at most.
pub(crate) const HANDOVER_TIME: Duration = Duration::from_millis(250);

/// Time for which a server that refused a stream isn't asked again.
const REFUSED_TIME: Duration = Duration::from_millis(500);

/// Returns the next complete events, or `None` at the end of the stream.
///
/// # Errors
///
/// Returns the cause when the connection fails or the stream is malformed.
pub(crate) async fn read_events(
    response: &mut ServerResponse,
    splitter: &mut EventSplitter,
) -> Result<Option<Bytes>, CompactString> {
    loop {
        if let Some(chunk) = splitter
            .take()
            .map_err(|fault| format_compact!("{fault:?}"))?
        {
            response.renew_witness().await;
            return Ok(Some(chunk.bytes));
        }
        match response.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    splitter.push(bytes);
                }
            }
            Some(Err(error)) => return Err(format_compact!("reading the stream failed: {error}")),
            None => {
                splitter
                    .finish()
                    .map_err(|fault| format_compact!("{fault:?}"))?;
                return Ok(None);
            }
        }
    }
}

/// A stream that is being forwarded to its caller.
pub(crate) struct StreamRelay {
    state: Arc<FleetState>,
    route: CompactString,
    service: CompactString,
    version: VersionKey, // Version of the servers that the stream may go on at.
    outgoing: OutgoingRequest,
    runs: u32,
    max_runs: u32,
    stall: StallTerms,
    first: Option<FirstRead>,
    response: Option<ServerResponse>, // `None` once the stream has ended or its run was interrupted.
    begun_after: Option<EventId>,     // Event after which the current run began.
    begun_count: u64,                 // Number of events with content before the current run.
    tried: Vec<u32>,                  // Keys of the servers that ran the stream.
    refused: Vec<(u32, Instant)>,     // Keys of the servers that refused it lately.
    is_suspect: bool,                 // Whether other requests avoid the server for its silence.
    proof: RunProof,
    splitter: EventSplitter,
    arrived: Instant,
    last_event: Instant,       // When the last events arrived.
    last_sign: Instant,        // When the server last sent events or the head of its response.
    clock: Option<EventClock>, // Of the current run, once it has brought events.
    timer: Option<RunTimer>,
    is_from_beginning: bool, // Whether its caller has sent the whole stream's request, not one that takes it up.
}

impl StreamRelay {
    /// Returns the response whose body forwards the stream; `runs` counts the runs so far, this one included.
    pub(crate) fn start(
        state: Arc<FleetState>,
        request: &AdmittedRequest,
        opened: OpenedStream,
        (runs, timer): (u32, Option<RunTimer>),
    ) -> CallerResponse {
        let head = opened.response.head.clone();
        let stall = match &request.route.kind {
            RouteKind::Stream(terms) => StallTerms::new(terms),
            _ => StallTerms::new(&StreamTerms::default()),
        };
        let names = state.format.names.clone();
        let now = Instant::now();
        if request.outgoing.repeatable && request.version.is_none() {
            state
                .streams
                .record_start(&request.outgoing.id, &opened.response.server);
        }
        let relay = StreamRelay {
            route: request.route.name.clone(),
            service: request.service.clone(),
            version: opened.response.server.version,
            outgoing: request.outgoing.clone(),
            runs,
            max_runs: request.route.attempts,
            stall,
            first: Some(opened.first),
            begun_after: request.outgoing.last_event(&state.format.names),
            begun_count: 0,
            tried: vec![opened.response.server.key],
            refused: Vec::new(),
            response: Some(opened.response),
            is_suspect: false,
            proof: RunProof::default(),
            splitter: opened.splitter,
            arrived: request.arrived,
            last_event: now,
            last_sign: now,
            clock: None,
            timer,
            is_from_beginning: request.outgoing.last_event(&state.format.names).is_none(),
            state,
        };
        let body = stream::unfold(relay, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece, relay))
        });
        forward_response(&names, &head, streamed_body(body))
    }

    /// Returns the next events, `None` at the end, or an error that aborts the response.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        match self.first.take() {
            Some(FirstRead::Events(events)) => {
                self.record_events();
                return Some(Ok(events));
            }
            Some(FirstRead::End(process)) => {
                self.record_end(process);
                return None;
            }
            None => {}
        }
        let pause = self.last_event.elapsed();
        self.clock = self.clock.and_then(|clock| clock.after_pause(pause));
        // The caller may have paused its reading since the last events; that is no silence of the server.
        self.last_event = Instant::now();
        self.last_sign = self.last_event;
        let mut cause = CompactString::default(); // Why the last run was interrupted.
        loop {
            let mut end = None; // Why the stream ends, unless events have been received already.
            let limit = match self.stall.decide(&self.stall_state()) {
                StallAction::Wait { limit, suspect } => {
                    self.record_suspicion(suspect);
                    limit
                }
                StallAction::Move { retry, suspect } => {
                    self.record_suspicion(suspect);
                    match self.move_to_other_server().await {
                        MoveResult::Moved => continue,
                        MoveResult::NotPermitted => return Some(Err(self.abort(&cause))),
                        MoveResult::NoServer => retry,
                    }
                }
                StallAction::End(reason) => {
                    end = Some(reason);
                    Duration::ZERO
                }
            };
            let Some(response) = self.response.as_mut() else {
                match end {
                    Some(StallEnd::NotResumable) if !cause.is_empty() => {
                        return Some(Err(self.abort(&cause)))
                    }
                    Some(end) => return Some(Err(self.abort(end.text()))),
                    None => sleep(limit).await,
                }
                continue;
            };
            // A server that keeps sending never reaches a limit, so the deadline is checked here.
            let too_late = Instant::now() >= self.outgoing.deadline + LATE_EVENT_GRACE;
            let read = match timeout(limit, read_events(response, &mut self.splitter)).await {
                Ok(Ok(None)) => Ok(self.check_end().await),
                read => read,
            };
            match read {
                Ok(Ok(Some(_))) if too_late => {
                    return Some(Err(self.abort(StallEnd::DeadlinePassed.text())))
                }
                Ok(Ok(Some(events))) => {
                    self.record_events();
                    return Some(Ok(events));
                }
                Ok(Ok(None)) => return None,
                Ok(Err(failure)) => {
                    self.record_failure(&failure);
                    cause = failure;
                    if self.stall_state().resumable {
                        sleep(RETRY_PAUSE).await;
                    }
                }
                Err(_) => {
                    if let Some(end) = end {
                        return Some(Err(self.abort(end.text())));
                    }
                }
            }
        }
    }

    fn stall_state(&self) -> StallState {
        let now = Instant::now();
        StallState {
            server_silence: now.saturating_duration_since(self.last_sign),
            caller_wait: now.saturating_duration_since(self.last_event),
            remaining: self.outgoing.deadline.saturating_duration_since(now),
            resumable: self.outgoing.repeatable
                && self.runs < self.max_runs
                && self.splitter.last().is_some(),
            running: self.response.is_some(),
            begun: self.last_event >= self.last_sign,
        }
    }

    /// Makes other requests avoid a server that has been silent for long, until it sends events again.
    fn record_suspicion(&mut self, is_suspect: bool) {
        let Some(response) = self.response.as_ref().filter(|_| is_suspect) else {
            return;
        };
        self.is_suspect = true;
        self.state
            .backends
            .record_silence(&response.server, self.last_sign, Instant::now());
    }

    fn record_events(&mut self) {
        self.last_event = Instant::now();
        self.last_sign = self.last_event;
        self.record_progress(RunProgress::Events(self.splitter.event_count()));
        self.record_pace();
        if let Some(response) = &self.response {
            self.state.backends.record_activity(&response.server);
        }
        if let (true, Some(response)) = (self.is_suspect, &self.response) {
            self.state.backends.record_recovery(&response.server);
            self.is_suspect = false;
        }
    }

    /// Records the times of events, from which the speed of the server is learned.
    fn record_pace(&mut self) {
        let (now, count) = (self.last_event, self.splitter.event_count());
        let Some(clock) = &mut self.clock else {
            self.clock = Some(EventClock::start(now, count));
            return;
        };
        if let (Some(sample), Some(response)) = (clock.sample(now, count), &self.response) {
            self.state.load.record_pace(&response.server, sample, now);
        }
    }

    /// Ends the stream after its last run has ended, and returns `None`.
    ///
    /// # Errors
    ///
    /// Returns the cause if nothing shows that the run is complete.
    async fn check_end(&mut self) -> Result<Option<Bytes>, CompactString> {
        let output = self.output_state();
        if let Some(response) = &mut self.response {
            let checked = check_end(&self.outgoing, response, output).await;
            let process = checked.map_err(|fault| CompactString::const_new(fault.text()))?;
            self.record_end(process);
        }
        Ok(None)
    }

    /// Returns what the current run has brought.
    fn output_state(&self) -> OutputState {
        match self.begun_after {
            _ if self.splitter.output_count() > self.begun_count => OutputState::Received,
            None => OutputState::Missing,
            Some(_) => OutputState::Empty {
                can_be_shown: self.stall_state().resumable || self.splitter.has_begun_event(),
            },
        }
    }

    fn record_end(&mut self, process: Option<ProcessState>) {
        self.record_progress(RunProgress::Complete);
        if let Some(response) = self.response.take() {
            self.log_end(&response, process);
            if self.tried.len() == 1 && self.begun_after.is_none() {
                let events = self.splitter.event_count();
                let names = &self.state.format.names;
                self.state
                    .load
                    .record_length(names, &self.route, &self.outgoing, events);
            }
            let service = hash_name(&self.service);
            self.state
                .wait_estimator
                .record_run(service, response.in_flight.age());
            response.finish();
        }
        if let Some(timer) = self.timer.take().filter(|_| self.is_from_beginning) {
            timer.finish();
        }
    }

    /// Logs the end of a stream that has come from several runs, or whose end isn't marked.
    fn log_end(&self, response: &ServerResponse, process: Option<ProcessState>) {
        if self.begun_after.is_none() && response.framing == BodyFraming::Marked {
            return;
        }
        info!(
            request = self.outgoing.id.as_str(),
            route = self.route.as_str(),
            server = response.server.server.id.as_str(),
            version = response.server.server.version.as_str(),
            end = response.framing.name(),
            process = process.map(ProcessState::name),
            begun_after = self.begun_after,
            last_event = self.splitter.last(),
            runs = self.runs,
            age_ms = millis(self.arrived.elapsed());
            "stream complete"
        );
    }

    fn record_progress(&mut self, progress: RunProgress) {
        let prompt = &self.outgoing.prompt;
        self.proof.record(&self.state.quarantine, prompt, progress);
    }

    /// Records that the connection to the server failed or that the stream is malformed.
    fn record_failure(&mut self, cause: &str) {
        if let Some(response) = self.response.as_ref().filter(|_| !self.proof.is_proven()) {
            let lost = LostRequest::new(&self.outgoing, response.in_flight.age());
            record_lost_request(&self.state, &response.server, lost);
        }
        self.leave_server(cause);
    }

    /// Ends the run on the current server, if there is one.
    fn interrupt_run(&mut self, cause: &str) -> Option<Arc<BackendState>> {
        let response = self.response.take()?;
        let server = response.server.clone();
        response.abandon();
        self.is_suspect = false;
        self.clock = None;
        info!(
            request = self.outgoing.id.as_str(),
            route = self.route.as_str(),
            server = server.server.id.as_str(),
            version = server.server.version.as_str(),
            cause,
            silent_ms = millis(self.last_event.elapsed()),
            begun_after = self.begun_after,
            last_event = self.splitter.last(),
            runs = self.runs,
            age_ms = millis(self.arrived.elapsed());
            "stream interrupted"
        );
        Some(server)
    }

    /// Ends the run on the current server, if there is one, and makes other requests avoid the server.
    fn leave_server(&mut self, cause: &str) {
        if let Some(server) = self.interrupt_run(cause) {
            self.state.backends.record_timeout(&server, Instant::now());
        }
    }

    /// Resumes the stream on another server after its last event. The run on the current server ends only once
    /// another server is known to have room.
    async fn move_to_other_server(&mut self) -> MoveResult {
        let check = self.state.quarantine.check(
            &self.outgoing.prompt,
            TrialTerms::default(),
            Instant::now(),
        );
        if check != PromptCheck::Allowed {
            return match self.response {
                Some(_) => MoveResult::NoServer,
                None => MoveResult::NotPermitted,
            };
        }
        // A server that refused the stream may have room later.
        self.refused
            .retain(|refused| refused.1.elapsed() < REFUSED_TIME);
        let Some(PermittedServer { server, permit }) = self.choose_next_server() else {
            // Without a server of its version the caller has to begin the stream anew.
            let is_left = self.response.is_some() || self.state.backends.has_server(self.version);
            return match is_left {
                true => MoveResult::NoServer,
                false => MoveResult::NotPermitted,
            };
        };
        if let Some(last) = self.splitter.last() {
            let name = self.state.format.names.last_event.clone();
            self.outgoing.headers.insert(name, HeaderValue::from(last));
        }
        self.run_on(&server, permit).await;
        match self.refused.last() {
            // Events of the run that goes on are read before the next server is asked.
            Some(refused) if refused.0 == server.key && self.response.is_some() => {
                MoveResult::NoServer
            }
            _ => MoveResult::Moved,
        }
    }

    /// Chooses a server that has not run the stream. Once the connection to its server has failed, the stream may go
    /// back to a server that ran it before.
    fn choose_next_server(&self) -> Option<PermittedServer> {
        let choose = |excluded: &[u32], demand| {
            let residency = &self.outgoing.residency;
            let service = (self.service.as_str(), self.version, residency);
            choose_resume_server(&self.state, service, excluded, demand)
        };
        let refused: Vec<u32> = self.refused.iter().map(|refused| refused.0).collect();
        let excluded = [self.tried.as_slice(), refused.as_slice()].concat();
        match self.response {
            Some(_) => choose(&excluded, ServerDemand::Free),
            None => choose(&excluded, ServerDemand::Any)
                .or_else(|| choose(&refused, ServerDemand::Free)),
        }
    }

    /// Sends the request to a server. The run before goes on if the server refuses the request, and otherwise ends.
    async fn run_on(&mut self, server: &Arc<BackendState>, permit: SendPermit) {
        let answered = self.ask(server, permit).await;
        if let Ok(Err(AttemptFailure::NotRun(..))) = answered {
            self.refused.push((server.key, Instant::now()));
            return;
        }
        self.runs += 1;
        self.tried.push(server.key);
        match answered {
            Ok(Ok(response)) if response.head.status.is_success() => {
                self.end_silent_run();
                counter!("streams_resumed_total").increment(1);
                self.response = Some(response);
                self.begun_after = self.splitter.last();
                self.begun_count = self.splitter.output_count();
                self.last_sign = Instant::now();
                info!(
                    request = self.outgoing.id.as_str(),
                    server = server.server.id.as_str(),
                    version = server.server.version.as_str(),
                    begun_after = self.begun_after,
                    runs = self.runs,
                    silent_ms = millis(self.last_event.elapsed());
                    "stream resumed"
                );
            }
            Ok(_) => {}
            Err(_) => self.state.backends.record_timeout(server, Instant::now()),
        }
    }

    /// Sends the request to a server and waits for the head of its response. The run before ends after
    /// [`HANDOVER_TIME`] at the latest. Only a last run is waited for as long as the deadline allows.
    async fn ask(
        &mut self,
        server: &Arc<BackendState>,
        permit: SendPermit,
    ) -> Result<Result<ServerResponse, AttemptFailure>, Elapsed> {
        let (state, outgoing) = (self.state.clone(), self.outgoing.clone());
        let mut asking = pin!(attempt(&state, server, &outgoing, permit));
        if let Ok(answered) = timeout(HANDOVER_TIME, asking.as_mut()).await {
            return Ok(answered);
        }
        self.end_silent_run();
        let limit = match self.runs + 1 < self.max_runs {
            true => FIRST_EVENT_MOVE,
            false => Duration::MAX,
        };
        timeout(limit, asking).await
    }

    fn end_silent_run(&mut self) {
        self.leave_server("no event in time");
        self.splitter.discard_partial();
    }

    /// Ends the response without its end, so that it doesn't look complete.
    fn abort(&mut self, cause: &str) -> io::Error {
        counter!("streams_broken_total").increment(1);
        if let Some(server) = self.interrupt_run(cause) {
            let backends = &self.state.backends;
            backends.record_silence(&server, self.last_sign, Instant::now());
        }
        let remaining = self
            .outgoing
            .deadline
            .saturating_duration_since(Instant::now());
        info!(
            request = self.outgoing.id.as_str(),
            route = self.route.as_str(),
            cause,
            silent_ms = millis(self.last_event.elapsed()),
            remaining_ms = millis(remaining),
            deadline_source = self.outgoing.deadline_source.name(),
            runs = self.runs,
            age_ms = millis(self.arrived.elapsed());
            "stream aborted"
        );
        io::Error::other(cause)
    }
}

/// Result of moving a stream to another server.
enum MoveResult {
    /// The run on the server before has ended, and another server was tried.
    Moved,
    /// No other server has room now.
    NoServer,
    /// The stream must not run again.
    NotPermitted,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let Some(response) = &self.response else {
            return;
        };
        counter!("callers_left_total").increment(1);
        info!(
            request = self.outgoing.id.as_str(),
            server = response.server.server.id.as_str(),
            last_event = self.splitter.last(),
            age_ms = millis(self.arrived.elapsed());
            "caller disconnected during a stream"
        );
    }
}
