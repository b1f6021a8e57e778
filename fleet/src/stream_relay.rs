//! Passes event streams on as they arrive, and resumes broken ones where the route allows it.

use std::{
    io,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    catalog::RouteKind,
    rank::hash_name,
    slot::{
        choose_online_server,
        SlotQuery, //
    },
    stream::EventSplitter,
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
use tokio::time::timeout;

use crate::{
    admission::{
        AdmittedRequest, //
    },
    attempt::{
        attempt,
        AttemptFailure,
        OutgoingRequest,
        ServerResponse, //
    },
    backends::BackendState,
    response::{
        pass_on,
        pieces,
        CallerResponse, //
    },
    state::FleetState, //
};

/// Longest wait for the first event of a stream that can be started elsewhere.
const FIRST_EVENT_STALL: Duration = Duration::from_millis(700);

/// Share of the longest pause in time after which a stream is resumed elsewhere.
const STALL_SHARE: f64 = 0.7;

/// Longest pauses in time after which a stream that can't be resumed is broken off. Its server is cut off
/// or hangs, and the caller may still have time to ask again.
const SILENT_PAUSES: u32 = 3;

/// Time beyond a request's deadline in which events that have arrived are still passed on.
const LATE_EVENTS: Duration = Duration::from_millis(250);

/// Requests that may wait at a server to which a stream is moved.
const RESUME_QUEUE: u32 = 2;

/// Servers that may refuse a resumed stream before it is broken off.
const RESUME_REFUSALS: usize = 4;

/// A stream whose first events are there.
pub(crate) struct OpenedStream {
    answer: ServerResponse,
    splitter: EventSplitter,
    first: Bytes,
}

/// Waits for the first complete event of an answer; who asks bounds the time of a stream that can't be
/// started elsewhere.
pub(crate) async fn open_stream(
    state: &FleetState,
    request: &AdmittedRequest,
    mut answer: ServerResponse,
) -> Result<OpenedStream, AttemptFailure> {
    let unknown = |cause: CompactString| AttemptFailure::Unknown(cause);
    let limit = match request.outgoing.repeatable {
        true => FIRST_EVENT_STALL,
        false => Duration::MAX,
    };
    let mut splitter = EventSplitter::default();
    let read = timeout(limit, read_events(&mut answer, &mut splitter)).await;
    match read {
        Ok(Ok(Some(first))) => Ok(OpenedStream {
            answer,
            splitter,
            first,
        }),
        Ok(Ok(None)) => Err(unknown("stream without an event".into())),
        Ok(Err(cause)) => {
            state
                .backends
                .record_failure(&answer.server, Instant::now());
            answer.abandon();
            Err(unknown(cause))
        }
        Err(_) => {
            state
                .backends
                .record_timeout(&answer.server, Instant::now());
            answer.abandon();
            Err(unknown("no event in time".into()))
        }
    }
}

/// Returns the next complete events, or nothing at the stream's end.
async fn read_events(
    answer: &mut ServerResponse,
    splitter: &mut EventSplitter,
) -> Result<Option<Bytes>, CompactString> {
    loop {
        if let Some(chunk) = splitter
            .take()
            .map_err(|fault| format_compact!("{fault:?}"))?
        {
            return Ok(Some(chunk.bytes));
        }
        match answer.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    splitter.push(bytes);
                }
            }
            Some(Err(error)) => return Err(format_compact!("stream broke off: {error}")),
            None => {
                splitter
                    .finish()
                    .map_err(|fault| format_compact!("{fault:?}"))?;
                return Ok(None);
            }
        }
    }
}

/// A stream on its way to its caller.
pub(crate) struct StreamRelay {
    state: Arc<FleetState>,
    service: CompactString,
    outgoing: OutgoingRequest,
    runs: u32,
    most_runs: u32,
    stall: Option<Duration>,
    first: Option<Bytes>,
    answer: Option<ServerResponse>,
    splitter: EventSplitter,
    arrived: Instant,
}

impl StreamRelay {
    /// Answers a caller with a stream.
    pub(crate) fn start(
        state: Arc<FleetState>,
        request: &AdmittedRequest,
        opened: OpenedStream,
        runs: u32,
    ) -> CallerResponse {
        let head = opened.answer.head.clone();
        let stall = match &request.route.kind {
            RouteKind::Stream(terms) if terms.longest_pause.is_zero() => None,
            RouteKind::Stream(terms) if terms.resumable => {
                Some(terms.longest_pause.mul_f64(STALL_SHARE))
            }
            RouteKind::Stream(terms) => Some(terms.longest_pause * SILENT_PAUSES),
            _ => None,
        };
        let names = state.format.names.clone();
        let relay = StreamRelay {
            service: request.service.clone(),
            outgoing: request.outgoing.clone(),
            runs,
            most_runs: request.route.attempts,
            stall,
            first: Some(opened.first),
            answer: Some(opened.answer),
            splitter: opened.splitter,
            arrived: request.arrived,
            state,
        };
        let body = stream::unfold(relay, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece, relay))
        });
        pass_on(&names, &head, pieces(body))
    }

    /// Returns the next events, nothing at the end, or an error with which the answer breaks off.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        loop {
            let answer = self.answer.as_mut()?;
            let remaining = self
                .outgoing
                .deadline
                .saturating_duration_since(Instant::now());
            let limit = self.stall.map_or(remaining, |stall| stall.min(remaining));
            // A server may send faster than time runs out for its next event.
            let too_late = Instant::now() >= self.outgoing.deadline + LATE_EVENTS;
            let cause = match timeout(limit, read_events(answer, &mut self.splitter)).await {
                Ok(Ok(Some(_))) if too_late => CompactString::const_new("deadline passed"),
                Ok(Ok(Some(events))) => return Some(Ok(events)),
                Ok(Ok(None)) => {
                    let answer = self.answer.take()?;
                    let service = hash_name(&self.service);
                    self.state
                        .wait_estimator
                        .record_run(service, answer.flight.age());
                    answer.finish();
                    return None;
                }
                Ok(Err(cause)) => cause,
                Err(_) => CompactString::const_new("no event in time"),
            };
            if !self.resume(&cause).await {
                counter!("streams_broken_total").increment(1);
                self.answer = None;
                return Some(Err(io::Error::other(cause.as_str())));
            }
        }
    }

    /// Moves the stream to another server after its last event, and returns whether it could.
    async fn resume(&mut self, cause: &str) -> bool {
        let Some(broken) = self.answer.take() else {
            return false;
        };
        let server = broken.server.clone();
        broken.abandon();
        self.state.backends.record_timeout(&server, Instant::now());
        let last = self.splitter.last();
        info!(
            request = self.outgoing.id.as_str(),
            server = server.server.id.as_str(),
            cause,
            event = last,
            runs = self.runs,
            age_ms = millis(self.arrived.elapsed());
            "stream broke off"
        );
        let Some(last) = last else {
            return false;
        };
        let out_of_time = Instant::now() >= self.outgoing.deadline;
        if !self.outgoing.repeatable || self.runs >= self.most_runs || out_of_time {
            return false;
        }
        let name = self.state.format.names.last_event.clone();
        self.outgoing.headers.insert(name, HeaderValue::from(last));
        self.splitter.discard_partial();
        self.find_server(vec![server.key]).await
    }

    async fn find_server(&mut self, mut tried: Vec<u32>) -> bool {
        for _ in 0..RESUME_REFUSALS {
            let Some(server) = self.choose(&tried) else {
                return false;
            };
            tried.push(server.key);
            match attempt(&self.state, &server, &self.outgoing).await {
                Ok(answer) if answer.head.status.is_success() => {
                    counter!("streams_resumed_total").increment(1);
                    self.runs += 1;
                    self.answer = Some(answer);
                    return true;
                }
                Ok(_) | Err(AttemptFailure::Unknown(_)) => {
                    self.runs += 1;
                    if self.runs >= self.most_runs {
                        return false;
                    }
                }
                Err(AttemptFailure::NotRun(..)) => {}
            }
        }
        false
    }

    fn choose(&self, tried: &[u32]) -> Option<Arc<BackendState>> {
        let now = Instant::now();
        let domain = &self.state.settings.domain;
        let (servers, views) = self.state.backends.views(&self.service, domain, now);
        let query = SlotQuery {
            prefix: None,
            draw: rand::random(),
            waiting: RESUME_QUEUE,
        };
        let index = choose_online_server(&views, tried, query)?;
        Some(servers[index].clone())
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let Some(answer) = &self.answer else {
            return;
        };
        counter!("callers_left_total").increment(1);
        info!(
            request = self.outgoing.id.as_str(),
            server = answer.server.server.id.as_str(),
            event = self.splitter.last(),
            age_ms = millis(self.arrived.elapsed());
            "caller left within a stream"
        );
    }
}
