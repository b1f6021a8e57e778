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
use tokio::time::sleep;

use super::{
    config::{
        HOST,
        KEY,
        SINGLE_PATH, //
    },
    events::{
        BreachKind,
        OrderBreach,
        OrderCheck,
        ServerRuns, //
    },
    load::SoakLoad,
};

/// Time that a client waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(5000);

/// Pause between attempts to take a stream up.
const TAKE_UP_PAUSE: Duration = Duration::from_millis(100);

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
    Disordered(OrderBreach),
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
    load: Arc<SoakLoad>,
    runs: ServerRuns,
}

impl SoakClients {
    /// Returns clients of the VMs at the given addresses.
    pub(crate) fn new(vms: Vec<SocketAddr>, load: Arc<SoakLoad>, runs: ServerRuns) -> SoakClients {
        let client = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT);
        SoakClients {
            client: client.build().expect("client"),
            vms: Arc::new(vms),
            records: Arc::default(),
            next: Arc::default(),
            load,
            runs,
        }
    }

    /// Returns what became of all requests so far.
    pub(crate) fn records(&self) -> Vec<ClientRecord> {
        lock(&self.records).clone()
    }

    /// Sends a request for a stream to a VM, and takes the stream up at others if it breaks and
    /// `is_taken_up` is set.
    pub(crate) async fn send(&self, vm: usize, path: &str, is_taken_up: bool) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let body = format!("subject-{number}");
        let mut reader = StreamReader::new(&body, path != SINGLE_PATH);
        let first = format!("{number:08x}0000");
        let mut outcome = self.attempt(vm, path, &mut reader, &first).await;
        for step in 1..=self.load.take_ups {
            let is_broken = match outcome {
                StreamOutcome::Broken(Some(_)) => true,
                StreamOutcome::Broken(None)
                | StreamOutcome::Failed
                | StreamOutcome::Status(429 | 502..=504) => step > 1,
                _ => false,
            };
            if !is_taken_up || !is_broken {
                return;
            }
            if step > 1 {
                sleep(TAKE_UP_PAUSE).await;
            }
            let other = (vm + step) % self.vms.len();
            let id = format!("{number:08x}{step:04x}");
            outcome = self.attempt(other, path, &mut reader, &id).await;
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
            .header("token-usage", format!("450,{}", self.load.last_event + 1))
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
            Ok(response) if response.status() == 200 => {
                let ends = (self.load.last_event, &self.runs);
                reader.read(response, id, ends).await
            }
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
    check: OrderCheck,
    request: String, // Id of the request that brought the first event.
}

impl StreamReader {
    fn new(body: &str, is_resumable: bool) -> StreamReader {
        StreamReader {
            body: body.to_owned(),
            check: OrderCheck::new(body, is_resumable),
            request: String::new(),
        }
    }

    /// Returns the last event's number and the request that brought the first event, if there is one.
    fn position(&self) -> Option<(u64, String)> {
        Some((self.check.last()?, self.request.clone()))
    }

    async fn read(
        &mut self,
        mut response: Response,
        id: &str,
        (last_event, runs): (u64, &ServerRuns),
    ) -> StreamOutcome {
        let mut buffer = String::new();
        loop {
            match response.chunk().await {
                Ok(Some(bytes)) => buffer.push_str(&String::from_utf8_lossy(&bytes)),
                Ok(None) if !buffer.is_empty() => {
                    let got = format!("the end after {buffer:?}");
                    let breach = self.check.breach(BreachKind::TooEarly, &got, runs);
                    return StreamOutcome::Disordered(breach);
                }
                Ok(None) => {
                    return match self.check.end(last_event, runs) {
                        Ok(()) => StreamOutcome::Complete,
                        Err(breach) => StreamOutcome::Disordered(breach),
                    }
                }
                Err(_) => return StreamOutcome::Broken(self.check.last()),
            }
            while let Some(end) = buffer.find("\n\n") {
                let event: String = buffer.drain(..end + 2).collect();
                if let Err(breach) = self.accept(&event, id, runs) {
                    return StreamOutcome::Disordered(breach);
                }
            }
        }
    }

    /// Checks that an event is the next one of the stream.
    fn accept(&mut self, event: &str, id: &str, runs: &ServerRuns) -> Result<(), OrderBreach> {
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        self.check.accept(data.unwrap_or(event), runs)?;
        if self.request.is_empty() {
            id.clone_into(&mut self.request);
        }
        Ok(())
    }
}
