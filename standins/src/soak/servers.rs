//! Backend servers of a run, and what they receive.

use std::{
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
    event_chunk,
    first_event,
    rejection,
    stream_end,
    stream_head,
    ReceivedRequest,
    ResponseStep,
    StandardServer, //
};
use boragerill::sync::lock;
use serde_json::{
    json,
    Value, //
};

use super::config::SERVICE;

/// Number of the last event of every stream.
pub(crate) const LAST_EVENT: u64 = 18;

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

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

/// One backend server.
pub(crate) struct SoakServer {
    /// Id of its entry in the store.
    pub(crate) id: String,
    /// Requests that it received.
    pub(crate) arrivals: Arc<Mutex<Vec<ServerArrival>>>,
    server: StandardServer,
    version: String,
    domain: String,
    start: u128,
}

impl SoakServer {
    /// Starts a server whose streams name the version of its software.
    pub(crate) async fn start(id: String, version: &str, domain: String) -> SoakServer {
        let arrivals: Arc<Mutex<Vec<ServerArrival>>> = Arc::default();
        let (log, text) = (arrivals.clone(), version.to_owned());
        let server = StandardServer::start(move |request| {
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            lock(&log).push(ServerArrival {
                request: id,
                at: Instant::now(),
            });
            respond(request, &text)
        })
        .await;
        let start = SystemTime::now().duration_since(UNIX_EPOCH);
        SoakServer {
            id,
            arrivals,
            server,
            version: version.to_owned(),
            domain,
            start: start.unwrap_or_default().as_millis(),
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
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": u64::try_from(self.start).unwrap_or(u64::MAX),
        })
    }

    /// Closes all connections and the listener, and starts again after a time.
    pub(crate) fn crash(&self, downtime: Duration) {
        self.server.crash(downtime);
    }
}

/// Streams the events of a request from the first one that it asks for.
fn respond(request: &ReceivedRequest, version: &str) -> Vec<ResponseStep> {
    if !request.line.starts_with("POST ") {
        return rejection("400 Bad Request");
    }
    // The text of a stream belongs to what was asked for, which a client that resumes it sends again.
    let body = String::from_utf8_lossy(&request.body);
    let mut steps = vec![stream_head()];
    for number in first_event(request)..=LAST_EVENT {
        steps.push(event_chunk(number, &event_text(&body, version, number)));
        steps.push(ResponseStep::Wait(EVENT_PAUSE));
    }
    steps.push(stream_end());
    steps
}

/// Returns the text of an event.
pub(crate) fn event_text(body: &str, version: &str, number: u64) -> String {
    format!("{body} {version} {number}")
}
