//! One run of one item of a batch job at one server.

use std::{
    sync::Arc,
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
    stream::EventSplitter,
    sync::lock, //
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
        OutgoingRequest,
        ServerResponse, //
    },
    backends::{
        BackendState,
        RequestClass, //
    },
    caller::set_workspace,
    dispatch::is_unreachable,
    jobs::JobEntry,
    state::FleetState, //
};

/// Pause before an item that a server refused is started again.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);

/// Pause before an item that failed is started again.
const FAILED_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for the head of an item's answer and for each of its next events.
const ITEM_STALL: Duration = Duration::from_millis(1500);

/// Share of the platform's limit on values that an item's output may fill; as JSON it may be longer.
const OUTPUT_SHARE: u64 = 2;

/// Status of a server that will never be able to run an item.
const NEVER_STATUS: u16 = 422;

/// One run of one item.
pub(crate) struct ItemRun<'a> {
    /// Shared state of the process.
    pub(crate) state: &'a FleetState,
    /// The job.
    pub(crate) entry: &'a JobEntry,
    /// Position of the item in the job.
    pub(crate) index: usize,
    /// Server that runs it.
    pub(crate) server: &'a Arc<BackendState>,
    /// Failures at servers after which the item is given up.
    pub(crate) attempts: u32,
    /// When the run is in vain.
    pub(crate) deadline: Instant,
}

impl ItemRun<'_> {
    /// Sends the item and takes what the server makes of it over into the job's progress.
    pub(crate) async fn run(&self, outgoing: &OutgoingRequest) {
        let now = Instant::now();
        let answered = timeout(ITEM_STALL, attempt(self.state, self.server, outgoing)).await;
        let failure = match answered {
            Ok(Ok(answer)) => return self.read(answer).await,
            Ok(Err(failure)) => failure,
            Err(_) => {
                self.state
                    .backends
                    .record_timeout(self.server, Instant::now());
                AttemptFailure::Unknown("no answer in time".into())
            }
        };
        let pause = match is_unreachable(&failure) {
            true => Duration::ZERO,
            false => REFUSED_PAUSE,
        };
        self.note(&failure);
        lock(&self.entry.progress).pause(self.index, Some(now + pause));
    }

    async fn read(&self, mut answer: ServerResponse) {
        let status = answer.head.status;
        if !status.is_success() {
            self.fail(status.as_u16());
            let rest = Limited::new(&mut answer.body, 65_536).collect();
            if let Ok(Ok(_)) = timeout(ITEM_STALL, rest).await {
                answer.finish();
            }
            return;
        }
        let deadline = tokio::time::Instant::from_std(self.deadline);
        let read = timeout_at(deadline, self.read_events(&mut answer)).await;
        match read.unwrap_or(Err("deadline passed before the end".into())) {
            Ok(()) => {
                lock(&self.entry.progress).complete(self.index);
                counter!("items_completed_total").increment(1);
                answer.finish();
            }
            Err(cause) => {
                self.state
                    .backends
                    .record_failure(self.server, Instant::now());
                answer.abandon();
                self.note(&AttemptFailure::Unknown(cause));
                let until = Instant::now() + REFUSED_PAUSE;
                lock(&self.entry.progress).pause(self.index, Some(until));
            }
        }
    }

    /// Reads events into the item's output until the stream's end.
    async fn read_events(&self, answer: &mut ServerResponse) -> Result<(), CompactString> {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = timeout(ITEM_STALL, answer.body.frame()).await;
            let Some(frame) = frame.map_err(|_| "no event in time")? else {
                return splitter
                    .finish()
                    .map_err(|fault| format_compact!("{fault:?}"));
            };
            let frame = frame.map_err(|error| format_compact!("stream broke off: {error}"))?;
            if let Some(bytes) = frame.data_ref() {
                splitter.push(bytes);
            }
            let chunk = splitter
                .take()
                .map_err(|fault| format_compact!("{fault:?}"))?;
            if let Some(chunk) = chunk {
                self.extend(&chunk.bytes)?;
            }
        }
    }

    /// Adds events to the item's output as long as it can be stored.
    fn extend(&self, events: &[u8]) -> Result<(), CompactString> {
        let limit = usize::try_from(self.state.settings.value_bytes / OUTPUT_SHARE);
        let mut progress = lock(&self.entry.progress);
        if progress.output_bytes(self.index) + events.len() > limit.unwrap_or(usize::MAX) {
            progress.discard(self.index, Instant::now() + FAILED_PAUSE);
            return Err("more output than can be stored".into());
        }
        progress.extend(self.index, events);
        Ok(())
    }

    fn fail(&self, status: u16) {
        let mut progress = lock(&self.entry.progress);
        if status == NEVER_STATUS {
            progress.abandon_item(self.index);
        } else {
            let until = Instant::now() + FAILED_PAUSE;
            progress.fail(self.index, self.attempts, until);
        }
        drop(progress);
        counter!("item_failures_total", "status" => status.to_string()).increment(1);
        info!(
            job = self.entry.id.as_str(),
            item = self.entry.items[self.index].id.as_str(),
            server = self.server.server.id.as_str(),
            status;
            "item failed"
        );
    }

    fn note(&self, failure: &AttemptFailure) {
        let (AttemptFailure::NotRun(_, cause) | AttemptFailure::Unknown(cause)) = failure;
        counter!("item_attempts_failed_total").increment(1);
        info!(
            job = self.entry.id.as_str(),
            item = self.entry.items[self.index].id.as_str(),
            server = self.server.server.id.as_str(),
            cause = cause.as_str();
            "item interrupted"
        );
    }
}

/// Returns the request for an item, which goes on after event `last`.
pub(crate) fn item_request(
    state: &FleetState,
    entry: &JobEntry,
    route: &CatalogRoute,
    index: usize,
    last: Option<u64>,
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
    set_workspace(names, &mut headers, &entry.manifest.workspace);
    let abandon = match &route.kind {
        RouteKind::Batch(terms) => terms.abandon,
        _ => Duration::ZERO,
    };
    OutgoingRequest {
        id: item.id.clone(),
        method: Method::POST,
        target: item.path.parse().unwrap_or_default(),
        headers,
        body: item.body.clone(),
        deadline: (entry.submitted + abandon).max(Instant::now() + ITEM_STALL),
        repeatable: true,
        kind: RequestClass::Batch,
    }
}
