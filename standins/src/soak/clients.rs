//! Clients of a run: streams at all VMs, and requests that show which configuration is in force.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::sync::lock;
use reqwest::{
    Client,
    Response, //
};

use super::{
    config::{
        HOST,
        KEY, //
    },
    servers::{
        event_text,
        LAST_EVENT, //
    },
};

/// Time that a client waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(5000);

/// What became of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StreamOutcome {
    /// All events arrived in order.
    Complete,
    /// The response ended early and didn't look complete, after the event with this number.
    Broken(Option<u64>),
    /// The VM responded with another status.
    Status(u16),
    /// No response.
    Failed,
    /// Events are missing, doubled or from several versions, or the end came early.
    Disordered(String),
}

/// A request of a client and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct ClientRecord {
    /// Id of the request.
    pub(crate) id: String,
    /// VM that received it.
    pub(crate) vm: usize,
    /// Path prefix of its route.
    pub(crate) path: String,
    /// Time at which it was sent.
    pub(crate) sent: Instant,
    /// Time at which its outcome was known.
    pub(crate) ended: Instant,
    /// Its outcome.
    pub(crate) outcome: StreamOutcome,
}

/// Sends requests and records their outcomes.
#[derive(Clone)]
pub(crate) struct SoakClients {
    client: Client,
    vms: Arc<Vec<SocketAddr>>,
    records: Arc<Mutex<Vec<ClientRecord>>>,
    next: Arc<AtomicU64>,
}

impl SoakClients {
    /// Returns clients of the VMs at the given addresses.
    pub(crate) fn new(vms: Vec<SocketAddr>) -> SoakClients {
        let client = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT);
        SoakClients {
            client: client.build().expect("client"),
            vms: Arc::new(vms),
            records: Arc::default(),
            next: Arc::default(),
        }
    }

    /// Returns what became of all requests so far.
    pub(crate) fn records(&self) -> Vec<ClientRecord> {
        lock(&self.records).clone()
    }

    /// Sends a request for a stream to a VM, and resumes the stream once at another one if that is allowed.
    pub(crate) async fn send(&self, vm: usize, path: &str, resumable: bool) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let body = format!("subject-{number}");
        let mut reader = StreamReader::new(&body);
        let first = self
            .attempt(vm, path, &mut reader, &format!("{number:08x}0000"))
            .await;
        if let (true, StreamOutcome::Broken(Some(_))) = (resumable, &first) {
            let other = (vm + 1) % self.vms.len();
            self.attempt(other, path, &mut reader, &format!("{number:08x}0001"))
                .await;
        }
    }

    async fn attempt(
        &self,
        vm: usize,
        path: &str,
        reader: &mut StreamReader,
        id: &str,
    ) -> StreamOutcome {
        let sent = Instant::now();
        let mut request = self
            .client
            .post(format!("http://{}{path}a", self.vms[vm]))
            .header("host", HOST)
            .header("attempt-id", id)
            .header("model", "m")
            .header("token-usage", "450,19")
            .header("prompt-prefix", format!("5c1e07a2:200,{id}:250"))
            .header("time-remaining-ms", REQUEST_TIMEOUT.as_millis().to_string())
            .header("authorization", format!("Token {KEY}"))
            .body(reader.body.clone());
        if let Some((last, resumed)) = reader.position() {
            request = request
                .header("last-event-id", last)
                .header("resumes", resumed);
        }
        let outcome = match request.send().await {
            Ok(response) if response.status() == 200 => reader.read(response, id).await,
            Ok(response) => StreamOutcome::Status(response.status().as_u16()),
            Err(_) => StreamOutcome::Failed,
        };
        lock(&self.records).push(ClientRecord {
            id: id.to_owned(),
            vm,
            path: path.to_owned(),
            sent,
            ended: Instant::now(),
            outcome: outcome.clone(),
        });
        outcome
    }
}

/// Reads the events of one stream, also from several responses.
struct StreamReader {
    body: String,
    version: Option<String>,
    last: Option<u64>,
    request: String, // Id of the request that brought the first event.
}

impl StreamReader {
    fn new(body: &str) -> StreamReader {
        StreamReader {
            body: body.to_owned(),
            version: None,
            last: None,
            request: String::new(),
        }
    }

    /// Returns the last event's number and the request that brought the first event, if there is one.
    fn position(&self) -> Option<(u64, String)> {
        Some((self.last?, self.request.clone()))
    }

    async fn read(&mut self, mut response: Response, id: &str) -> StreamOutcome {
        let mut buffer = String::new();
        loop {
            match response.chunk().await {
                Ok(Some(bytes)) => buffer.push_str(&String::from_utf8_lossy(&bytes)),
                Ok(None) if self.last == Some(LAST_EVENT) && buffer.is_empty() => {
                    return StreamOutcome::Complete
                }
                Ok(None) => {
                    let cause = format!("complete after {:?}, rest {buffer:?}", self.last);
                    return StreamOutcome::Disordered(cause);
                }
                Err(_) => return StreamOutcome::Broken(self.last),
            }
            while let Some(end) = buffer.find("\n\n") {
                let event: String = buffer.drain(..end + 2).collect();
                if let Err(cause) = self.accept(&event, id) {
                    return StreamOutcome::Disordered(cause);
                }
            }
        }
    }

    /// Checks that an event is the next one of the stream.
    fn accept(&mut self, event: &str, id: &str) -> Result<(), String> {
        let expected = self.last.map_or(0, |last| last + 1);
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let data = data.ok_or_else(|| format!("event without data: {event:?}"))?;
        let version = data.split(' ').nth(1).unwrap_or_default().to_owned();
        let known = self.version.get_or_insert(version);
        if data != event_text(&self.body, known, expected) {
            return Err(format!("expected {expected} of {known}, got {data:?}"));
        }
        if self.last.is_none() {
            self.request = id.to_owned();
        }
        self.last = Some(expected);
        Ok(())
    }
}
