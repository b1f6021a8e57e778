//! Backend servers of a run, and what they receive.

use std::{
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use crate::standard_server::{
    complete_response,
    event_chunk,
    first_event,
    head,
    rejection,
    stream_end,
    stream_head,
    ReceivedRequest,
    ResponseStep,
    StandardServer, //
};
use boragerill::sync::lock;
use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};
use serde_json::{
    json,
    Value, //
};

use super::{
    config::{
        SERVICE,
        WARMUP_TIME, //
    },
    events::{
        event_text,
        ServerRun,
        ServerRuns, //
    },
    load::SoakLoad,
};

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Longest time from the end of a response to a second one on its connection, in milliseconds.
const MAX_EXTRA_DELAY_MS: u64 = 40;

/// Number of requests that a server runs at once.
const SLOTS: u32 = 8;

/// A request that reached a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerArrival {
    /// Id of the request.
    pub(crate) request: String,
    /// Time of its arrival.
    pub(crate) at: Instant,
}

/// How all servers of a run respond.
#[derive(Clone, Debug)]
pub(crate) struct ServerTerms {
    /// Load.
    pub(crate) load: Arc<SoakLoad>,
    /// Seed of the choice of malformed responses.
    pub(crate) seed: u64,
    /// Runs at all servers.
    pub(crate) runs: ServerRuns,
}

/// One backend server.
pub(crate) struct SoakServer {
    /// Id of its entry in the store.
    pub(crate) id: String,
    /// Requests that it received.
    pub(crate) arrivals: Arc<Mutex<Vec<ServerArrival>>>,
    /// When its warm-ups began.
    pub(crate) warmups: WarmupTimes,
    server: StandardServer,
    version: String,
    domain: String,
    start: Mutex<u128>,
}

/// Times at which the warm-ups of a server began.
pub(crate) type WarmupTimes = Arc<Mutex<Vec<Instant>>>;

/// Returns the remaining time of the last warm-up, in milliseconds.
fn remaining_ms(warmups: &WarmupTimes) -> u64 {
    let last = lock(warmups).last().copied();
    let remaining = last.map(|begun| WARMUP_TIME.saturating_sub(begun.elapsed()));
    let remaining = remaining.unwrap_or_default().as_millis();
    u64::try_from(remaining).unwrap_or(u64::MAX)
}

impl SoakServer {
    /// Starts a server whose streams name the version of its software.
    pub(crate) async fn start(
        id: String,
        version: &str,
        domain: String,
        terms: &ServerTerms,
    ) -> SoakServer {
        let arrivals: Arc<Mutex<Vec<ServerArrival>>> = Arc::default();
        let warmups = WarmupTimes::default();
        let script = terms.script(&id, version, (&arrivals, &warmups));
        SoakServer {
            id,
            arrivals,
            warmups,
            server: StandardServer::start(script).await,
            version: version.to_owned(),
            domain,
            start: Mutex::new(unix_millis()),
        }
    }

    /// Ends the server without an announcement, and starts another one at its address at once.
    pub(crate) fn succeed(&self, id: String, version: &str, terms: &ServerTerms) -> SoakServer {
        let arrivals: Arc<Mutex<Vec<ServerArrival>>> = Arc::default();
        let warmups = WarmupTimes::default();
        self.server.crash(Duration::ZERO);
        self.server
            .set_script(terms.script(&id, version, (&arrivals, &warmups)));
        SoakServer {
            id,
            arrivals,
            warmups,
            server: self.server.clone(),
            version: version.to_owned(),
            domain: self.domain.clone(),
            start: Mutex::new(unix_millis()),
        }
    }

    /// Returns the entry of the server in the store.
    pub(crate) fn entry(&self, state: &str, sequence: u64) -> Value {
        json!({
            "service": SERVICE,
            "address": self.server.address().to_string(),
            "zone": self.domain,
            "version": self.version,
            "slots": SLOTS,
            "state": state,
            "cold_remaining_ms": remaining_ms(&self.warmups),
            "sequence": sequence,
            "born": u64::try_from(*lock(&self.start)).unwrap_or(u64::MAX),
        })
    }

    /// Begins the warm-up of a new process.
    pub(crate) fn begin_warmup(&self) {
        *lock(&self.start) = unix_millis();
        lock(&self.warmups).push(Instant::now());
    }

    /// Closes all connections and the listener, and starts again after a time.
    pub(crate) fn crash(&self, downtime: Duration) {
        self.server.crash(downtime);
    }
}

/// How a response is malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseFault {
    /// It breaks off in the middle of an event.
    WithinEvent,
    /// It breaks off between two events.
    BetweenEvents,
    /// The connection is reset right after it.
    ResetAfter,
    /// A second response follows at once.
    Extra,
    /// A second response follows later.
    LateExtra,
}

impl ResponseFault {
    /// All faults.
    const ALL: [ResponseFault; 5] = [
        ResponseFault::WithinEvent,
        ResponseFault::BetweenEvents,
        ResponseFault::ResetAfter,
        ResponseFault::Extra,
        ResponseFault::LateExtra,
    ];

    /// Returns the name in descriptions of runs.
    fn name(self) -> &'static str {
        match self {
            ResponseFault::WithinEvent => "broken off within an event",
            ResponseFault::BetweenEvents => "broken off between events",
            ResponseFault::ResetAfter => "reset after its end",
            ResponseFault::Extra => "followed by a second response",
            ResponseFault::LateExtra => "followed by a late second response",
        }
    }
}

fn unix_millis() -> u128 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_millis()
}

impl ServerTerms {
    /// Returns the script of the server with an id and a version, which logs what arrives.
    fn script(
        &self,
        id: &str,
        version: &str,
        (arrivals, warmups): (&Arc<Mutex<Vec<ServerArrival>>>, &WarmupTimes),
    ) -> impl Fn(&ReceivedRequest) -> Vec<ResponseStep> + Send + Sync + 'static {
        let (terms, arrivals, warmups) = (self.clone(), arrivals.clone(), warmups.clone());
        let (id, version) = (id.to_owned(), version.to_owned());
        move |request| {
            if request.line.starts_with("GET /health") {
                let remaining = remaining_ms(&warmups);
                let extra = format!("Cold-Ms: {remaining}\r\nContent-Length: 0\r\n");
                return vec![ResponseStep::Write(head("200 OK", &extra))];
            }
            let expected = request.header("expected-instance");
            if expected.is_some_and(|expected| expected != id) {
                return rejection("421 Misdirected Request");
            }
            let request_id = request.header("attempt-id").unwrap_or_default().to_owned();
            lock(&arrivals).push(ServerArrival {
                request: request_id,
                at: Instant::now(),
            });
            terms.respond(request, &id, &version)
        }
    }

    /// Streams the events of a request from the first one that it asks for.
    fn respond(&self, request: &ReceivedRequest, server: &str, version: &str) -> Vec<ResponseStep> {
        if !request.line.starts_with("POST ") {
            return rejection("400 Bad Request");
        }
        // The text of a stream belongs to what was asked for, which a client that resumes it sends again.
        let body = String::from_utf8_lossy(&request.body);
        let last = self.load.last_event_of(&body);
        let first = first_event(request);
        let id = request.header("attempt-id").unwrap_or_default();
        let mut random = StdRng::seed_from_u64(self.response_seed(id));
        let is_framed = !random.random_bool(self.load.unframed);
        let is_garbled = is_framed && random.random_bool(self.load.garbled);
        let fault = is_garbled
            .then(|| ResponseFault::ALL[random.random_range(0..ResponseFault::ALL.len())]);
        let run = self.runs.begin(ServerRun {
            request: id.to_owned(),
            server: server.to_owned(),
            version: version.to_owned(),
            after: first.checked_sub(1),
            is_framed,
            fault: fault.map(ResponseFault::name),
            at: Instant::now(),
        });
        let text = |number| event_text(&body, version, number, run);
        let mut steps = vec![match is_framed {
            true => stream_head(),
            false => unframed_head(),
        }];
        for number in first..=last {
            steps.push(match is_framed {
                true => event_chunk(number, &text(number)),
                false => unframed_event(number, &text(number)),
            });
            steps.push(ResponseStep::Wait(EVENT_PAUSE));
        }
        match is_framed {
            true => steps.push(stream_end()),
            false => steps.push(ResponseStep::Close),
        }
        if let Some(fault) = fault {
            garble(&mut steps, fault, &mut random);
        }
        steps
    }

    /// Returns a seed that differs between the runs of a request: one that is malformed each time would never end.
    fn response_seed(&self, id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, id, self.runs.of(id).len()).hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns the head of a stream that ends with its connection.
fn unframed_head() -> ResponseStep {
    let extra = "Content-Type: text/event-stream\r\nConnection: close\r\n";
    ResponseStep::Write(head("200 OK", extra))
}

/// Returns an event of a stream that ends with its connection.
fn unframed_event(number: u64, data: &str) -> ResponseStep {
    ResponseStep::Write(format!("id: {number}\ndata: {data}\n\n"))
}

/// Makes the steps of a response in chunks malformed.
fn garble(steps: &mut Vec<ResponseStep>, fault: ResponseFault, random: &mut StdRng) {
    let extra = complete_response("200 OK", "id: 0\ndata: extra\n\n");
    match fault {
        ResponseFault::WithinEvent => {
            // Writes of events have the odd places.
            let place = 1 + 2 * random.random_range(0..steps.len() / 2);
            steps.truncate(place + 1);
            if let Some(ResponseStep::Write(text)) = steps.last_mut() {
                text.truncate(random.random_range(1..text.len() - 2));
            }
            steps.push(ResponseStep::Close);
        }
        ResponseFault::BetweenEvents => {
            let place = 1 + 2 * random.random_range(0..steps.len() / 2);
            steps.truncate(place);
            let is_reset = random.random_bool(0.5);
            steps.push(match is_reset {
                true => ResponseStep::Reset,
                false => ResponseStep::Close,
            });
        }
        ResponseFault::ResetAfter => steps.push(ResponseStep::Reset),
        ResponseFault::Extra => steps.extend(extra),
        ResponseFault::LateExtra => {
            let delay = random.random_range(1..MAX_EXTRA_DELAY_MS);
            steps.push(ResponseStep::Wait(Duration::from_millis(delay)));
            steps.extend(extra);
        }
    }
}
