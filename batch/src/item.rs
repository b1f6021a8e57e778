//! Runs single items on backend servers.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    answer::check_response,
    batch::{
        BatchItem,
        ItemOutcome,
        ItemResult,
        ANSWER_LIMIT_BYTES, //
    },
    generated::messages::LoadReport,
    platform::root_cause,
    snapshot::{
        ServiceRecord,
        Snapshot, //
    },
    spare::SpareTable, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use metrics::counter;
use reqwest::Client;
use serde_json::Value;
use tokio::{
    sync::{
        oneshot,
        Notify, //
    },
    time::sleep, //
};

/// Longest time for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for reading a server's load.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before an item is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Where and for whom items run.
#[derive(Clone, Debug)]
pub(crate) struct ItemTarget {
    /// Service.
    pub(crate) service: Arc<ServiceRecord>,
    /// Path that items are posted to.
    pub(crate) path: CompactString,
    /// Workspace of the job.
    pub(crate) workspace: CompactString,
    /// Whether an item may run more than once.
    pub(crate) idempotent: bool,
}

/// How an attempt failed.
#[derive(Clone, Debug)]
struct AttemptFailure {
    sent: bool,
    cause: CompactString,
}

/// Runs items within the slots that online requests leave.
pub(crate) struct ItemRunner {
    http: Client,
    attempts: u32,
    yields: bool,
    state: Mutex<RunnerState>,
    freed: Notify,
}

/// Servers and the items that run on them.
#[derive(Default)]
struct RunnerState {
    spare: SpareTable,
    running: Vec<RunningItem>, // Oldest first.
    next_id: u64,
}

/// An item in flight that can be told to yield.
struct RunningItem {
    id: u64,
    address: CompactString,
    yields: Option<oneshot::Sender<()>>, // None when the item may not be run again.
}

impl ItemRunner {
    pub(crate) fn new(attempts: u32, item_timeout: Duration, yields: bool) -> ItemRunner {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(item_timeout)
            .no_proxy();
        ItemRunner {
            // Connections of their own keep batch items out of the way of online requests.
            http: client
                .redirect(reqwest::redirect::Policy::none())
                .build()
                .unwrap_or_default(),
            attempts,
            yields,
            state: Mutex::default(),
            freed: Notify::new(),
        }
    }

    /// Takes over the servers that this process feeds.
    pub(crate) fn update_servers(&self, vm: &str, snapshot: &Snapshot, feeders: &[CompactString]) {
        let Some(roster) = snapshot.roster() else {
            return;
        };
        let now = Instant::now();
        let mut fed: Vec<CompactString> = Vec::new();
        let mut state = self.lock();
        for server in snapshot
            .services()
            .iter()
            .flat_map(|service| &service.servers)
        {
            let feeder = roster.feeder_of(&server.address, &server.domain, feeders);
            let is_fed = feeder.is_some_and(|feeder| feeder == vm);
            if is_fed && !server.leaving {
                state.spare.feed(&server.address, server.slots, now);
                fed.push(server.address.clone());
            }
        }
        fed.sort();
        state.spare.retain(|address| {
            fed.binary_search_by(|known| known.as_str().cmp(address))
                .is_ok()
        });
    }

    /// Returns whether this process feeds a server of a service.
    pub(crate) fn feeds(&self, service: &ServiceRecord) -> bool {
        let state = self.lock();
        let mut addresses = state.spare.addresses();
        addresses.any(|address| has_server(service, address))
    }

    /// Takes over the loads that an entry process shares, and lets batch yield at once.
    pub(crate) fn note_loads(&self, load: &LoadReport) {
        if !self.yields {
            return;
        }
        let now = Instant::now();
        let mut state = self.lock();
        for server in &load.servers {
            state
                .spare
                .note_online(&load.vm, &server.address, server.in_flight, now);
            let excess = state.spare.excess(&server.address, now);
            if excess > 0 {
                state.yield_items(&server.address, excess);
            }
        }
    }

    /// Wakes the items that wait if there is room, which comes with time as loads and bursts age.
    pub(crate) fn wake_waiting(&self) {
        let has_room = self.lock().spare.has_room(Instant::now());
        if has_room {
            self.freed.notify_waiters();
        }
    }

    /// Reads the load reports of the servers that this process feeds.
    pub(crate) async fn read_reports(&self) {
        if !self.yields {
            return;
        }
        let addresses: Vec<CompactString> = self.lock().spare.addresses().cloned().collect();
        let reads = addresses.iter().map(|address| self.read_report(address));
        futures_util::future::join_all(reads).await;
    }

    async fn read_report(&self, address: &str) {
        let request = self
            .http
            .get(format!("http://{address}/load"))
            .timeout(REPORT_TIMEOUT);
        let Ok(response) = request.send().await else {
            return;
        };
        // Plain services report no load.
        let Ok(report) = response.json::<Value>().await else {
            return;
        };
        let Some(running) = report["running"]
            .as_u64()
            .and_then(|running| u32::try_from(running).ok())
        else {
            return;
        };
        let now = Instant::now();
        let mut state = self.lock();
        state.spare.note_report(address, running, now);
        let excess = state.spare.excess(address, now);
        if excess > 0 {
            state.yield_items(address, excess);
        }
    }

    /// Runs one item to its final result, after bounded attempts.
    pub(crate) async fn run(&self, target: &ItemTarget, item: &BatchItem) -> ItemResult {
        let mut cause = CompactString::default();
        let mut failures = 0;
        while failures < self.attempts {
            if failures > 0 {
                counter!("batch_retries_total").increment(1);
                sleep(RETRY_PAUSE).await;
            }
            match self.attempt_or_yield(target, item).await {
                // Yielding is no failure; the item waits for the next free slot.
                None => {
                    counter!("batch_yields_total").increment(1);
                    continue;
                }
                Some(Ok(answer)) => return result(item, ItemOutcome::Answer, answer),
                Some(Err(failure)) if failure.sent && !target.idempotent => {
                    return result(
                        item,
                        ItemOutcome::Unknown,
                        Value::from(failure.cause.as_str()),
                    );
                }
                Some(Err(failure)) => cause = failure.cause,
            }
            failures += 1;
        }
        result(item, ItemOutcome::Error, Value::from(cause.as_str()))
    }

    /// Runs an item once; returns `None` when it had to yield to online requests.
    async fn attempt_or_yield(
        &self,
        target: &ItemTarget,
        item: &BatchItem,
    ) -> Option<Result<Value, AttemptFailure>> {
        let (slot, yielded) = self.take_slot(target).await;
        let attempt = self.attempt(target, item, &slot.address);
        tokio::select! {
            ended = attempt => Some(ended),
            Ok(()) = yielded => None,
        }
    }

    async fn attempt(
        &self,
        target: &ItemTarget,
        item: &BatchItem,
        address: &str,
    ) -> Result<Value, AttemptFailure> {
        let request_id = format_compact!("{:016x}", rand::random::<u64>());
        let url = format!("http://{address}{}", target.path);
        let request = self
            .http
            .post(url)
            .header("x-request-id", request_id.as_str());
        let request = request
            .header("x-boragerill-workspace", target.workspace.as_str())
            .json(&item.body);
        let sent = request.send().await;
        let response = sent.map_err(|error| AttemptFailure {
            sent: !error.is_connect(),
            cause: root_cause(&error),
        })?;
        let failed = |cause: CompactString| AttemptFailure { sent: true, cause };
        let status = response.status();
        let body = response
            .bytes()
            .await
            .map_err(|error| failed(root_cause(&error)))?;
        if !status.is_success() {
            return Err(failed(format_compact!("status {}", status.as_u16())));
        }
        if body.len() > ANSWER_LIMIT_BYTES {
            return Err(failed(format_compact!(
                "answer is larger than {ANSWER_LIMIT_BYTES} bytes"
            )));
        }
        if target.service.is_engine {
            check_response(&body, &request_id)
                .map_err(|fault| failed(format_compact!("answer {fault:?}")))?;
        }
        serde_json::from_slice(&body)
            .map_err(|error| failed(format_compact!("answer is no JSON: {error}")))
    }

    /// Waits until a server has a slot for batch and takes it.
    async fn take_slot(&self, target: &ItemTarget) -> (BatchSlot<'_>, oneshot::Receiver<()>) {
        loop {
            let freed = self.freed.notified();
            if let Some(taken) = self.try_slot(target) {
                return taken;
            }
            freed.await;
        }
    }

    fn try_slot(&self, target: &ItemTarget) -> Option<(BatchSlot<'_>, oneshot::Receiver<()>)> {
        let mut state = self.lock();
        let address = state.spare.take(
            |address| has_server(&target.service, address),
            Instant::now(),
        )?;
        let (yields, yielded) = oneshot::channel();
        let id = state.next_id;
        state.next_id += 1;
        let yields = if target.idempotent {
            Some(yields)
        } else {
            None
        };
        state.running.push(RunningItem {
            id,
            address: address.clone(),
            yields,
        });
        Some((
            BatchSlot {
                runner: self,
                id,
                address,
            },
            yielded,
        ))
    }

    fn lock(&self) -> MutexGuard<'_, RunnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunnerState {
    /// Tells the youngest items on a server to yield; they have the least to lose.
    fn yield_items(&mut self, address: &str, count: u32) {
        let running = self
            .running
            .iter_mut()
            .rev()
            .filter(|item| item.address == address);
        let told = running.filter_map(|item| item.yields.take());
        for yields in told.take(usize::try_from(count).unwrap_or(0)) {
            // An error means that the item has just ended.
            let _ = yields.send(());
        }
    }
}

/// A slot of a server, given back when dropped.
struct BatchSlot<'a> {
    runner: &'a ItemRunner,
    id: u64,
    address: CompactString,
}

impl Drop for BatchSlot<'_> {
    fn drop(&mut self) {
        let mut state = self.runner.lock();
        state.running.retain(|item| item.id != self.id);
        state.spare.give_back(&self.address);
        drop(state);
        self.runner.freed.notify_one();
    }
}

fn has_server(service: &ServiceRecord, address: &str) -> bool {
    service
        .servers
        .binary_search_by(|server| server.address.as_str().cmp(address))
        .is_ok()
}

/// Makes the final result of an item.
pub(crate) fn result(item: &BatchItem, outcome: ItemOutcome, body: Value) -> ItemResult {
    ItemResult {
        id: item.id.clone(),
        outcome,
        body,
    }
}
