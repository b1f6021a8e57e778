//! One run of one item of a batch job at one backend server.

use std::{
    future::Future,
    pin::pin,
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
    catalog::{
        CatalogRoute,
        RouteKind, //
    },
    job::{
        JobItem,
        OutputFault,
        RunNumber, //
    },
    load::EventClock,
    prompt::PromptParts,
    residency::ResidencyRule,
    response_end::{
        EndFault,
        OutputState,
        ProcessState, //
    },
    slot::free_slots,
    stream::{
        EventSplitter,
        StreamFault, //
    },
    sync::lock,
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
use hyper::{
    header::{
        HeaderMap,
        HeaderName,
        HeaderValue,
        HOST, //
    },
    Method, //
};
use log::info;
use metrics::counter;
use tokio::time::{
    timeout,
    timeout_at, //
};

use crate::{
    attempt::{
        attempt,
        AttemptFailure,
        DeadlineSource,
        NotRunCause,
        OutgoingRequest,
        ServerResponse, //
    },
    backends::{
        BackendState,
        RequestClass, //
    },
    caller::{
        forwardable_headers,
        set_workspace, //
    },
    crash_watch::{
        record_lost_request,
        LostRequest, //
    },
    jobs::JobEntry,
    quarantine::{
        RunProgress,
        RunProof, //
    },
    response_end::check_end,
    server_limits::SendPermit,
    state::FleetState,
    wire::HeaderNames, //
};

/// Delay before a refused or interrupted item is started again.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(40);

/// Shortest delay before an item is started again after its run broke off before its first output. The server may
/// have crashed under it.
const BROKEN_RUN_BACKOFF: Duration = Duration::from_millis(100);

/// Range over which such restarts are spread, so that not all items with a common prompt start at once.
const BROKEN_RUN_SPREAD: Duration = Duration::from_millis(900);

/// Delay before an item is started again after an error response or excessive output.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);

/// Longest wait for the rest of an error response.
const ERROR_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval at which an item whose server is silent looks for another one.
const MOVE_RETRY_PERIOD: Duration = Duration::from_millis(500);

/// Number of limits of silence after which a run is given up although no other server has a free slot.
const HANG_LIMITS: u32 = 4;

/// Shortest time that a run is given when its job may be abandoned soon.
const MIN_RUN_TIME: Duration = Duration::from_millis(1500);

/// Divides the platform's limit on values for an item's output; its JSON text may be longer.
const OUTPUT_DIVISOR: u64 = 2;

/// Status with which a server rejects an item that can never run (422 Unprocessable Content).
const UNPROCESSABLE_STATUS: u16 = 422;

/// One run of one item.
pub(crate) struct ItemRun<'a> {
    /// Shared state of the process.
    pub(crate) state: &'a FleetState,
    /// The job.
    pub(crate) entry: &'a JobEntry,
    /// Position of the item in the job.
    pub(crate) index: usize,
    /// Number of the run in the job's progress.
    pub(crate) number: RunNumber,
    /// Server that runs it.
    pub(crate) server: &'a Arc<BackendState>,
    /// Number of failures at servers after which the item is abandoned.
    pub(crate) attempts: u32,
    /// Time at which it was started.
    pub(crate) begun: Instant,
    /// Time at which the run is abandoned.
    pub(crate) deadline: Instant,
}

/// Why the run of an item ended without its outcome.
enum RunBreak {
    /// The server sent nothing for long, and another one has a free slot.
    ServerSilent,
    /// The connection failed, or the response is malformed.
    Failed(CompactString),
    /// The output can't be continued or stored, so the item begins anew.
    Unusable(CompactString),
    /// The response doesn't show whether the output is whole, so the next run brings its last event again.
    Unproven(CompactString),
    /// The item has ended, or another run of it has been started.
    Replaced,
}

impl From<CompactString> for RunBreak {
    fn from(cause: CompactString) -> RunBreak {
        RunBreak::Failed(cause)
    }
}

impl From<EndFault> for RunBreak {
    fn from(fault: EndFault) -> RunBreak {
        let cause = CompactString::const_new(fault.text());
        match fault {
            EndFault::NothingAdded => RunBreak::Unproven(cause),
            _ => RunBreak::Failed(cause),
        }
    }
}

impl ItemRun<'_> {
    /// Sends the item and records its output and outcome in the job's progress.
    pub(crate) async fn run(&self, outgoing: &OutgoingRequest, permit: SendPermit) {
        let answered = self
            .wait_for_server(attempt(self.state, self.server, outgoing, permit))
            .await;
        let failure = match answered {
            Some(Ok(response)) => return self.read(outgoing, response).await,
            Some(Err(failure)) => failure,
            None => AttemptFailure::Unknown("response timed out".into()),
        };
        let backoff = match failure {
            AttemptFailure::NotRun(NotRunCause::Unreachable, _) => Duration::ZERO,
            AttemptFailure::NotRun(..) => REFUSAL_BACKOFF,
            AttemptFailure::Unknown(_) | AttemptFailure::Unproven(_) => broken_run_backoff(),
        };
        self.record_interruption(outgoing, &failure);
        self.pause(Some(Instant::now() + backoff));
    }

    /// Ends the run and pauses the item until a time, if one is given.
    pub(crate) fn pause(&self, until: Option<Instant>) {
        self.add_run_time();
        let is_current = lock(&self.entry.progress).pause(self.index, self.number, until);
        self.record_change(is_current, "pause");
    }

    /// Counts the time of this run, and returns the time of all runs of the item if it is known.
    fn add_run_time(&self) -> Option<Duration> {
        let time = self.begun.elapsed();
        lock(&self.entry.progress).add_run_time(self.index, self.number, time)
    }

    /// Logs a change of the item's progress that had no effect, since the run isn't the current one.
    fn record_change(&self, is_current: bool, change: &str) {
        if is_current {
            return;
        }
        counter!("item_runs_replaced_total", "change" => change.to_owned()).increment(1);
        info!(
            job = self.entry.id.as_str(),
            item = self.entry.items[self.index].id.as_str(),
            run = self.number,
            server = self.server.server.id.as_str(),
            change;
            "change by a replaced run ignored"
        );
    }

    /// Waits for the server to send something, for as long as no other server has a free slot for the item; returns
    /// `None` once one has after the server was silent for long.
    async fn wait_for_server<T>(&self, sending: impl Future<Output = T>) -> Option<T> {
        let mut sending = pin!(sending);
        let mut wait = lock(&self.entry.progress).silence_limit(self.index);
        let patience = wait * HANG_LIMITS;
        let waiting_since = Instant::now();
        loop {
            if let Ok(sent) = timeout(wait, sending.as_mut()).await {
                return Some(sent);
            }
            let now = Instant::now();
            let backends = &self.state.backends;
            backends.record_silence(self.server, waiting_since, now);
            if waiting_since.elapsed() >= patience || self.may_move(now) {
                let is_current = lock(&self.entry.progress).record_silence(self.index, self.number);
                self.record_change(is_current, "silence");
                return None;
            }
            wait = MOVE_RETRY_PERIOD;
        }
    }

    /// Returns whether another server has a free slot that no other item of this VM has left the server for lately.
    fn may_move(&self, now: Instant) -> bool {
        let service = &self.server.server.service;
        let Some(rule) = self.state.job_residency(&self.entry.manifest) else {
            return false;
        };
        let (_, mut views) = self.state.server_views(service, None, &rule, now);
        views.retain(|view| view.key != self.server.key);
        let free = free_slots(&views, 0);
        self.state.backends.admit_move(self.server, free, now)
    }

    async fn read(&self, outgoing: &OutgoingRequest, mut response: ServerResponse) {
        let status = response.head.status;
        if !status.is_success() {
            self.record_item_failure(status.as_u16());
            let rest = Limited::new(&mut response.body, 65_536).collect();
            if let Ok(Ok(_)) = timeout(ERROR_RESPONSE_TIMEOUT, rest).await {
                response.finish();
            }
            return;
        }
        let deadline = tokio::time::Instant::from_std(self.deadline);
        let mut proof = RunProof::default();
        let reading = self.read_events(outgoing, &mut response, &mut proof);
        let read = timeout_at(deadline, reading).await;
        let late = || RunBreak::Failed("deadline passed before the end of the stream".into());
        let ended = match read.unwrap_or_else(|_| Err(late())) {
            Ok(process) => return self.complete(outgoing, response, process),
            Err(ended) => ended,
        };
        let cause = match &ended {
            RunBreak::ServerSilent => CompactString::const_new("no event in time"),
            RunBreak::Replaced => CompactString::const_new("another run has been started"),
            RunBreak::Unproven(cause) => cause.clone(),
            RunBreak::Failed(cause) | RunBreak::Unusable(cause) => {
                self.state
                    .backends
                    .record_failure(self.server, Instant::now());
                if !proof.is_proven() {
                    let lost = LostRequest::new(outgoing, response.in_flight.age());
                    record_lost_request(self.state, self.server, lost);
                }
                cause.clone()
            }
        };
        response.abandon();
        self.record_interruption(outgoing, &AttemptFailure::Unknown(cause));
        let until = Instant::now() + FAILURE_BACKOFF;
        if matches!(ended, RunBreak::Unusable(_)) {
            let is_current = lock(&self.entry.progress).discard(self.index, self.number, until);
            return self.record_change(is_current, "discard");
        }
        if matches!(ended, RunBreak::Unproven(_)) {
            let is_current = lock(&self.entry.progress).step_back(self.index, self.number, until);
            return self.record_change(is_current, "step_back");
        }
        let backoff = match proof.is_proven() {
            true => REFUSAL_BACKOFF,
            false => broken_run_backoff(),
        };
        self.pause(Some(Instant::now() + backoff));
    }

    /// Records that the output is complete.
    fn complete(
        &self,
        outgoing: &OutgoingRequest,
        response: ServerResponse,
        process: Option<ProcessState>,
    ) {
        let run_time = self.add_run_time();
        let is_current = lock(&self.entry.progress).complete(self.index, self.number);
        self.record_change(is_current, "complete");
        if is_current {
            if let Some(run_time) = run_time {
                self.state.load.record_item_run(self.server, run_time);
            }
            counter!("items_completed_total").increment(1);
            info!(
                job = self.entry.id.as_str(),
                item = self.entry.items[self.index].id.as_str(),
                run = self.number,
                server = self.server.server.id.as_str(),
                version = self.server.server.version.as_str(),
                end = response.framing.name(),
                process = process.map(ProcessState::name),
                begun_after = outgoing.last_event(&self.state.format.names),
                run_ms = millis(response.in_flight.age());
                "item complete"
            );
        }
        response.finish();
    }

    /// Appends events to the item's output until the stream ends.
    async fn read_events(
        &self,
        outgoing: &OutgoingRequest,
        response: &mut ServerResponse,
        proof: &mut RunProof,
    ) -> Result<Option<ProcessState>, RunBreak> {
        let quarantine = &self.state.quarantine;
        let last = outgoing.last_event(&self.state.format.names);
        let mut splitter = EventSplitter::after(last);
        let mut clock: Option<EventClock> = None;
        loop {
            let frame = self.wait_for_server(response.body.frame()).await;
            let Some(frame) = frame.ok_or(RunBreak::ServerSilent)? else {
                splitter
                    .finish()
                    .map_err(|fault| format_compact!("{fault:?}"))?;
                let output = match (splitter.output_count(), last) {
                    (0, None) => OutputState::Missing,
                    (0, Some(_)) => OutputState::Empty { can_be_shown: true },
                    _ => OutputState::Received,
                };
                let process = check_end(outgoing, response, output).await?;
                proof.record(quarantine, &outgoing.prompt, RunProgress::Complete);
                return Ok(process);
            };
            let frame = frame.map_err(|error| format_compact!("stream aborted: {error}"))?;
            if let Some(bytes) = frame.data_ref() {
                splitter.push(bytes);
            }
            let chunk = splitter.take().map_err(|fault| {
                let cause = format_compact!("{fault:?}");
                match fault == StreamFault::OutOfSequence && splitter.event_count() == 0 {
                    // The server doesn't go on after the last event.
                    true => RunBreak::Unusable(cause),
                    false => RunBreak::Failed(cause),
                }
            })?;
            if let Some(chunk) = chunk {
                response.renew_witness().await;
                self.state.backends.record_activity(self.server);
                self.record_pace(&mut clock, splitter.event_count());
                self.extend(&chunk.bytes)?;
                let progress = RunProgress::Events(splitter.event_count());
                proof.record(quarantine, &outgoing.prompt, progress);
            }
        }
    }

    /// Records the times of events, from which the speed of the server is learned.
    fn record_pace(&self, clock: &mut Option<EventClock>, count: u64) {
        let now = Instant::now();
        let clock = clock.get_or_insert_with(|| EventClock::start(now, count));
        if let Some(sample) = clock.sample(now, count) {
            self.state.load.record_pace(self.server, sample, now);
        }
    }

    /// Appends events to the item's output; fails when it exceeds what can be stored.
    fn extend(&self, events: &[u8]) -> Result<(), RunBreak> {
        let limit = usize::try_from(self.state.settings.value_bytes / OUTPUT_DIVISOR);
        let mut progress = lock(&self.entry.progress);
        if progress.output_bytes(self.index) + events.len() > limit.unwrap_or(usize::MAX) {
            let cause = "output exceeds the size that can be stored".into();
            return Err(RunBreak::Unusable(cause));
        }
        let extended = progress.extend(self.index, self.number, events);
        drop(progress);
        extended.map_err(|fault| match fault {
            OutputFault::RunReplaced => {
                self.record_change(false, "extend");
                RunBreak::Replaced
            }
            OutputFault::OutOfSequence => RunBreak::Unusable(format_compact!("{fault:?}")),
        })
    }

    fn record_item_failure(&self, status: u16) {
        let mut progress = lock(&self.entry.progress);
        let is_current = if status == UNPROCESSABLE_STATUS {
            progress.reject(self.index, self.number)
        } else {
            let until = Instant::now() + FAILURE_BACKOFF;
            progress.fail(self.index, self.number, self.attempts, until)
        };
        drop(progress);
        self.record_change(is_current, "fail");
        counter!("item_failures_total", "status" => status.to_string()).increment(1);
        info!(
            job = self.entry.id.as_str(),
            item = self.entry.items[self.index].id.as_str(),
            run = self.number,
            server = self.server.server.id.as_str(),
            status;
            "item failed"
        );
    }

    fn record_interruption(&self, outgoing: &OutgoingRequest, failure: &AttemptFailure) {
        let (AttemptFailure::NotRun(_, cause)
        | AttemptFailure::Unknown(cause)
        | AttemptFailure::Unproven(cause)) = failure;
        counter!("item_attempts_failed_total").increment(1);
        info!(
            job = self.entry.id.as_str(),
            item = self.entry.items[self.index].id.as_str(),
            run = self.number,
            workspace = self.entry.manifest.workspace.as_str(),
            prompt = outgoing.prompt.text(),
            server = self.server.server.id.as_str(),
            version = self.server.server.version.as_str(),
            begun_after = outgoing.last_event(&self.state.format.names),
            cause = cause.as_str();
            "item interrupted"
        );
    }
}

/// Returns the delay before an item is started again whose run broke off before its first output.
fn broken_run_backoff() -> Duration {
    BROKEN_RUN_BACKOFF + BROKEN_RUN_SPREAD.mul_f64(rand::random())
}

/// Returns the parts of an item's prompt, with the item's fingerprints.
pub(crate) fn item_prompt(names: &HeaderNames, workspace: &str, item: &JobItem) -> PromptParts {
    let mut headers = item.headers.iter();
    let found = headers.find(|header| header.0.eq_ignore_ascii_case(names.prefix.as_str()));
    let prompt = found.map_or_else(PromptParts::default, |header| PromptParts::parse(&header.1));
    prompt
        .with_fingerprints(workspace, &item.path, &item.body)
        .for_items()
}

/// Returns the request for an item, which resumes after event `last` if any.
pub(crate) fn item_request(
    state: &FleetState,
    entry: &JobEntry,
    route: &CatalogRoute,
    index: usize,
    last: Option<u64>,
    residency: ResidencyRule,
) -> OutgoingRequest {
    let names = &state.format.names;
    let item = &entry.items[index];
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let parsed = (
            HeaderName::try_from(name.as_str()),
            HeaderValue::from_str(value),
        );
        if let (Ok(name), Ok(value)) = parsed {
            headers.insert(name, value);
        }
    }
    let mut headers = forwardable_headers(names, &headers);
    let mut set = |name: &HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name.clone(), value);
        }
    };
    set(&names.request_id, &item.id);
    set(&HOST, &entry.manifest.host);
    if let Some(last) = last {
        set(&names.last_event, &last.to_string());
    }
    if !entry.manifest.workspace.is_empty() {
        set_workspace(names, &mut headers, &entry.manifest.workspace);
    }
    let abandon = match &route.kind {
        RouteKind::Batch(terms) => terms.abandon_after,
        _ => Duration::ZERO,
    };
    OutgoingRequest {
        id: item.id.clone(),
        workspace: entry.manifest.workspace.clone(),
        method: Method::POST,
        target: item.path.parse().unwrap_or_default(),
        headers,
        body: item.body.clone(),
        deadline: (entry.submitted + abandon).max(Instant::now() + MIN_RUN_TIME),
        deadline_source: DeadlineSource::Route,
        repeatable: true,
        kind: RequestClass::Batch,
        prompt: item_prompt(names, &entry.manifest.workspace, item),
        residency,
        cost: OnceLock::new(),
    }
}
