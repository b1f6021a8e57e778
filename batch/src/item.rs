//! Runs batch items on backend servers, within the slots that online requests leave free.

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
        MAX_RESPONSE_BYTES, //
    },
    generated::messages::LoadReport,
    headroom::HeadroomTable, //
    platform::root_cause,
    response_end::check_marked,
    snapshot::{
        ServiceRecord,
        Snapshot, //
    },
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

/// Timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for reading a server's load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before an item is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which attempts of which nothing was sent don't count: servers start again meanwhile.
const UNREACHABLE_LIMIT: Duration = Duration::from_secs(30);

/// Service and route that items are sent to, and the workspace that they run for.
#[derive(Clone, Debug)]
pub(crate) struct ItemTarget {
    /// Service that runs the items.
    pub(crate) service: Arc<ServiceRecord>,
    /// Path that items are posted to.
    pub(crate) path: CompactString,
    /// Workspace of the job.
    pub(crate) workspace: CompactString,
    /// Whether an item may run more than once.
    pub(crate) idempotent: bool,
}

/// Failure of an attempt.
#[derive(Clone, Debug)]
struct AttemptFailure {
    sent: bool, // Whether the server may have received the request.
    cause: CompactString,
}

/// Runs items within the slots that online requests leave free.
pub(crate) struct ItemRunner {
    http: Client,
    attempts: u32,
    yields: bool, // Whether load reports are read and items are preempted for online requests.
    state: Mutex<RunnerState>,
    slot_freed: Notify,
}

/// Servers and the items that run on them.
#[derive(Default)]
struct RunnerState {
    headroom: HeadroomTable,
    running: Vec<RunningItem>, // In the order of their starts.
    next_id: u64,
}

/// An item in flight.
struct RunningItem {
    id: u64,
    address: CompactString,
    preempt: Option<oneshot::Sender<()>>, // None when the item was preempted or may not be rerun.
}

impl ItemRunner {
    pub(crate) fn new(attempts: u32, item_timeout: Duration, yields: bool) -> ItemRunner {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(item_timeout)
            .no_proxy();
        ItemRunner {
            // Separate connections, so that batch items don't delay online requests.
            http: client
                .redirect(reqwest::redirect::Policy::none())
                .build()
                .unwrap_or_default(),
            attempts,
            yields,
            state: Mutex::default(),
            slot_freed: Notify::new(),
        }
    }

    /// Updates the servers that this process feeds from the configuration in force and the VMs whose batch
    /// processes run.
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
                state
                    .headroom
                    .update_server(&server.address, server.slots, now);
                fed.push(server.address.clone());
            }
        }
        fed.sort();
        state.headroom.retain(|address| {
            fed.binary_search_by(|known| known.as_str().cmp(address))
                .is_ok()
        });
    }

    /// Returns whether this process feeds a server of a service.
    pub(crate) fn feeds_service(&self, service: &ServiceRecord) -> bool {
        let state = self.lock();
        let mut addresses = state.headroom.addresses();
        addresses.any(|address| has_server(service, address))
    }

    /// Records the loads that an entry process reports, and preempts batch items at once where they exceed the
    /// budget.
    pub(crate) fn record_loads(&self, load: &LoadReport) {
        if !self.yields {
            return;
        }
        let now = Instant::now();
        let mut state = self.lock();
        for server in &load.servers {
            state
                .headroom
                .record_online_load(&load.vm, &server.address, server.in_flight, now);
            let excess = state.headroom.excess(&server.address, now);
            if excess > 0 {
                state.preempt_items(&server.address, excess);
            }
        }
    }

    /// Wakes the waiting items if a slot is free. Slots also become free without an event, as load reports
    /// expire and the reserve decays.
    pub(crate) fn wake_waiting(&self) {
        let has_free_slot = self.lock().headroom.has_free_slot(Instant::now());
        if has_free_slot {
            self.slot_freed.notify_waiters();
        }
    }

    /// Reads the load reports of all servers that this process feeds.
    pub(crate) async fn read_load_reports(&self) {
        if !self.yields {
            return;
        }
        let addresses: Vec<CompactString> = self.lock().headroom.addresses().cloned().collect();
        let reads = addresses
            .iter()
            .map(|address| self.read_load_report(address));
        futures_util::future::join_all(reads).await;
    }

    /// Reads the load report of a server and preempts batch items where they exceed the budget.
    async fn read_load_report(&self, address: &str) {
        let request = self
            .http
            .get(format!("http://{address}/load"))
            .timeout(LOAD_TIMEOUT);
        let Ok(response) = request.send().await else {
            return;
        };
        // Servers of plain services have no load report.
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
        state.headroom.record_server_report(address, running, now);
        let excess = state.headroom.excess(address, now);
        if excess > 0 {
            state.preempt_items(address, excess);
        }
    }

    /// Runs an item until an attempt succeeds or the attempts are used up, and returns the item's final result.
    ///
    /// An item of a non-idempotent route isn't retried after an attempt that the server may have received; its
    /// outcome is then `Unknown`.
    pub(crate) async fn run(&self, target: &ItemTarget, item: &BatchItem) -> ItemResult {
        let mut cause = CompactString::default();
        let mut failures = 0;
        let mut unreachable_until = None; // Until then attempts of which nothing was sent don't count.
        while failures < self.attempts {
            if !cause.is_empty() {
                counter!("batch_retries_total").increment(1);
                sleep(RETRY_DELAY).await;
            }
            match self.attempt_preemptible(target, item).await {
                // A preemption doesn't count as a failure; the item waits for the next free slot.
                None => {
                    counter!("batch_yields_total").increment(1);
                    continue;
                }
                Some(Ok(response)) => return item_result(item, ItemOutcome::Answer, response),
                Some(Err(failure)) if failure.sent && !target.idempotent => {
                    return item_result(
                        item,
                        ItemOutcome::Unknown,
                        Value::from(failure.cause.as_str()),
                    );
                }
                Some(Err(failure)) => {
                    cause = failure.cause;
                    let now = Instant::now();
                    let until = *unreachable_until.get_or_insert(now + UNREACHABLE_LIMIT);
                    if !failure.sent && now < until {
                        continue;
                    }
                }
            }
            failures += 1;
        }
        item_result(item, ItemOutcome::Error, Value::from(cause.as_str()))
    }

    /// Runs an item once on a server with a free slot; returns `None` when the item was preempted.
    async fn attempt_preemptible(
        &self,
        target: &ItemTarget,
        item: &BatchItem,
    ) -> Option<Result<Value, AttemptFailure>> {
        let (slot, preempted) = self.take_slot(target).await;
        let attempt = self.attempt(target, item, &slot.address);
        tokio::select! {
            outcome = attempt => Some(outcome),
            Ok(()) = preempted => None,
        }
    }

    /// Sends an item to a server and checks the response.
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
            .header("content-type", "application/json");
        let body = serde_json::to_vec(&item.body).unwrap_or_default();
        let request_bytes = body.len();
        let sent = request.body(body).send().await;
        let response = sent.map_err(|error| AttemptFailure {
            sent: !error.is_connect(),
            cause: root_cause(&error),
        })?;
        let failed = |cause: CompactString| AttemptFailure { sent: true, cause };
        let status = response.status();
        check_marked(&response, request_bytes).map_err(|cause| failed(cause.into()))?;
        let body = response
            .bytes()
            .await
            .map_err(|error| failed(root_cause(&error)))?;
        if !status.is_success() {
            return Err(failed(format_compact!("status {}", status.as_u16())));
        }
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(failed(format_compact!(
                "answer is larger than {MAX_RESPONSE_BYTES} bytes"
            )));
        }
        if target.service.is_engine {
            check_response(&body, &request_id)
                .map_err(|fault| failed(format_compact!("answer {fault:?}")))?;
        }
        serde_json::from_slice(&body)
            .map_err(|error| failed(format_compact!("answer is no JSON: {error}")))
    }

    /// Waits until a server of the service has a free slot and takes the slot. The receiver reports a preemption
    /// of the item.
    async fn take_slot(&self, target: &ItemTarget) -> (BatchSlot<'_>, oneshot::Receiver<()>) {
        loop {
            // Created before the check, so that no wake-up in between is missed.
            let slot_freed = self.slot_freed.notified();
            if let Some(slot) = self.try_take_slot(target) {
                return slot;
            }
            slot_freed.await;
        }
    }

    fn try_take_slot(&self, target: &ItemTarget) -> Option<(BatchSlot<'_>, oneshot::Receiver<()>)> {
        let mut state = self.lock();
        let address = state.headroom.take_slot(
            |address| has_server(&target.service, address),
            Instant::now(),
        )?;
        let (preempt, preempted) = oneshot::channel();
        let id = state.next_id;
        state.next_id += 1;
        let preempt = if target.idempotent {
            Some(preempt)
        } else {
            None
        };
        state.running.push(RunningItem {
            id,
            address: address.clone(),
            preempt,
        });
        Some((
            BatchSlot {
                runner: self,
                id,
                address,
            },
            preempted,
        ))
    }

    fn lock(&self) -> MutexGuard<'_, RunnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunnerState {
    /// Preempts the items on a server that were started last, because they lose the least work.
    fn preempt_items(&mut self, address: &str, count: u32) {
        let running = self
            .running
            .iter_mut()
            .rev()
            .filter(|item| item.address == address);
        let preemptible = running.filter_map(|item| item.preempt.take());
        for preempt in preemptible.take(usize::try_from(count).unwrap_or(0)) {
            // An error means that the item has just ended.
            let _ = preempt.send(());
        }
    }
}

/// A server's slot that an item occupies; released on drop.
struct BatchSlot<'a> {
    runner: &'a ItemRunner,
    id: u64,
    address: CompactString,
}

impl Drop for BatchSlot<'_> {
    fn drop(&mut self) {
        let mut state = self.runner.lock();
        state.running.retain(|item| item.id != self.id);
        state.headroom.release_slot(&self.address);
        drop(state);
        self.runner.slot_freed.notify_one();
    }
}

fn has_server(service: &ServiceRecord, address: &str) -> bool {
    service
        .servers
        .binary_search_by(|server| server.address.as_str().cmp(address))
        .is_ok()
}

/// Creates the final result of an item.
pub(crate) fn item_result(item: &BatchItem, outcome: ItemOutcome, body: Value) -> ItemResult {
    ItemResult {
        id: item.id.clone(),
        outcome,
        body,
    }
}
