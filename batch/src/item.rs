//! Runs single items on backend servers.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use boragerill::{
    answer::check_whole,
    batch::{
        BatchItem,
        ItemOutcome,
        ItemResult,
        ANSWER_LIMIT_BYTES, //
    },
    platform::root_cause,
    rank::hash_name,
    route::{
        choose,
        RoutePolicy,
        RouteQuery,
        ServerView, //
    },
    snapshot::ServiceRecord, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use metrics::counter;
use reqwest::Client;
use serde_json::Value;
use tokio::{
    sync::Notify,
    time::sleep, //
};

/// Longest time for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before an item is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Share of a server's slots that batch takes at the most.
const SLOT_SHARE: f64 = 0.5;

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

/// Runs items within the slots that batch may take.
pub(crate) struct ItemRunner {
    http: Client,
    domain: CompactString,
    attempts: u32,
    in_flight: Mutex<Vec<(CompactString, u32)>>, // Sorted by address.
    freed: Notify,
}

impl ItemRunner {
    pub(crate) fn new(domain: &str, attempts: u32, item_timeout: Duration) -> ItemRunner {
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
            domain: domain.into(),
            attempts,
            in_flight: Mutex::default(),
            freed: Notify::new(),
        }
    }

    /// Runs one item to its final result, after bounded attempts.
    pub(crate) async fn run(&self, target: &ItemTarget, item: &BatchItem) -> ItemResult {
        let mut cause = CompactString::default();
        for attempt in 0..self.attempts {
            if attempt > 0 {
                counter!("batch_retries_total").increment(1);
                sleep(RETRY_PAUSE).await;
            }
            match self.attempt(target, item).await {
                Ok(answer) => return result(item, ItemOutcome::Answer, answer),
                Err(failure) if failure.sent && !target.idempotent => {
                    return result(
                        item,
                        ItemOutcome::Unknown,
                        Value::from(failure.cause.as_str()),
                    );
                }
                Err(failure) => cause = failure.cause,
            }
        }
        result(item, ItemOutcome::Error, Value::from(cause.as_str()))
    }

    async fn attempt(
        &self,
        target: &ItemTarget,
        item: &BatchItem,
    ) -> Result<Value, AttemptFailure> {
        let slot = self.take_slot(&target.service).await;
        let request_id = format_compact!("{:016x}", rand::random::<u64>());
        let url = format!("http://{}{}", slot.address, target.path);
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
            check_whole(&body, &request_id)
                .map_err(|fault| failed(format_compact!("answer {fault:?}")))?;
        }
        serde_json::from_slice(&body)
            .map_err(|error| failed(format_compact!("answer is no JSON: {error}")))
    }

    /// Waits until a server has a slot for batch and takes it.
    async fn take_slot(&self, service: &ServiceRecord) -> BatchSlot<'_> {
        loop {
            let freed = self.freed.notified();
            if let Some(address) = self.try_slot(service) {
                return BatchSlot {
                    runner: self,
                    address,
                };
            }
            freed.await;
        }
    }

    fn try_slot(&self, service: &ServiceRecord) -> Option<CompactString> {
        let mut in_flight = self.lock();
        let views: Vec<ServerView> = service
            .servers
            .iter()
            .map(|server| {
                let load = count_of(&in_flight, &server.address);
                let slots = ((f64::from(server.slots) * SLOT_SHARE) as u32).max(1);
                let local = server.domain == self.domain;
                let leaving = server.leaving || load >= slots;
                ServerView {
                    hash: hash_name(&server.address),
                    local,
                    leaving,
                    ejected: false,
                    load,
                    slots,
                }
            })
            .collect();
        let query = RouteQuery {
            policy: RoutePolicy::LeastInFlight,
            prefix: None,
            draw: rand::random(),
        };
        let address = service.servers[choose(&views, &[], query)?].address.clone();
        match in_flight.binary_search_by(|entry| entry.0.cmp(&address)) {
            Ok(index) => in_flight[index].1 += 1,
            Err(index) => in_flight.insert(index, (address.clone(), 1)),
        }
        Some(address)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(CompactString, u32)>> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot of a server, given back when dropped.
struct BatchSlot<'a> {
    runner: &'a ItemRunner,
    address: CompactString,
}

impl Drop for BatchSlot<'_> {
    fn drop(&mut self) {
        let mut in_flight = self.runner.lock();
        if let Ok(index) = in_flight.binary_search_by(|entry| entry.0.cmp(&self.address)) {
            in_flight[index].1 = in_flight[index].1.saturating_sub(1);
        }
        drop(in_flight);
        self.runner.freed.notify_waiters();
    }
}

fn count_of(in_flight: &[(CompactString, u32)], address: &str) -> u32 {
    let found = in_flight.binary_search_by(|entry| entry.0.as_str().cmp(address));
    found.map_or(0, |index| in_flight[index].1)
}

/// Makes the final result of an item.
pub(crate) fn result(item: &BatchItem, outcome: ItemOutcome, body: Value) -> ItemResult {
    ItemResult {
        id: item.id.clone(),
        outcome,
        body,
    }
}
