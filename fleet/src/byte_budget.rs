//! Bytes that are held for clients, within a budget; clients that are shed are told.

use std::{
    sync::{
        Arc,
        Mutex,
        OnceLock, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    memory_budget::{
        MemoryBudget,
        ReservationId, //
    },
    sync::lock, //
};
use log::warn;
use metrics::counter;
use tokio::sync::Notify;

use crate::head_timer::HeadTimer;

/// Least time between two log lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits log lines of one kind to one each [`LOG_INTERVAL`].
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    last: Mutex<Option<Instant>>,
}

impl LogLimit {
    /// Returns whether a line may be logged now.
    pub(crate) fn permit(&self) -> bool {
        let now = Instant::now();
        let mut last = lock(&self.last);
        let is_due = last.is_none_or(|last| now.duration_since(last) >= LOG_INTERVAL);
        if is_due {
            *last = Some(now);
        }
        is_due
    }
}

/// Tells the task of a reservation, and its connection if there is one, that the reservation was shed.
#[derive(Debug, Default)]
pub(crate) struct ShedSignal {
    shed: Notify,
    connection: OnceLock<Arc<HeadTimer>>,
}

impl ShedSignal {
    /// Sets the connection that is closed when the reservation is shed.
    pub(crate) fn close_with(&self, connection: Arc<HeadTimer>) {
        // It is set once, when the response is handed to its connection.
        let _ = self.connection.set(connection);
    }

    fn send(&self) {
        self.shed.notify_one();
        if let Some(connection) = self.connection.get() {
            connection.close();
        }
    }
}

/// Budget that is shared by the clients of one kind.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    kind: &'static str,
    budget: Mutex<MemoryBudget<Arc<ShedSignal>>>,
    shed_log: LogLimit,
}

/// Bytes that are held for one client; released on drop.
#[derive(Debug)]
pub(crate) struct ByteReservation {
    owner: Arc<ByteBudget>,
    id: ReservationId,
    signal: Arc<ShedSignal>,
}

impl ByteBudget {
    /// Creates a budget; `kind` names its clients in metrics and log lines.
    pub(crate) fn new(kind: &'static str, capacity: usize) -> Arc<ByteBudget> {
        Arc::new(ByteBudget {
            kind,
            budget: Mutex::new(MemoryBudget::new(capacity)),
            shed_log: LogLimit::default(),
        })
    }

    /// Opens a reservation of no bytes.
    pub(crate) fn open(self: &Arc<ByteBudget>) -> ByteReservation {
        let signal = Arc::<ShedSignal>::default();
        let id = lock(&self.budget).open(signal.clone(), Instant::now());
        ByteReservation {
            owner: self.clone(),
            id,
            signal,
        }
    }

    fn record_shed(&self, number: usize, held: usize) {
        if number == 0 {
            return;
        }
        counter!("budget_shed_total", "kind" => self.kind).increment(number as u64);
        if self.shed_log.permit() {
            warn!(kind = self.kind, shed = number, held = held; "memory budget is short, clients shed");
        }
    }
}

impl ByteReservation {
    /// Sets the number of bytes that are held, and returns whether the budget suffices.
    pub(crate) fn resize(&self, bytes: usize) -> bool {
        let mut budget = lock(&self.owner.budget);
        let was_open = budget.bytes(self.id).is_some();
        let decision = budget.resize(self.id, bytes, Instant::now());
        let held = budget.held();
        drop(budget);
        let is_shed = was_open && !decision.is_granted;
        self.owner
            .record_shed(decision.shed.len() + usize::from(is_shed), held);
        decision.shed.iter().for_each(|signal| signal.send());
        decision.is_granted
    }

    /// Keeps the bytes from being shed; returns `false` if they were shed already.
    pub(crate) fn pin(&self) -> bool {
        lock(&self.owner.budget).pin(self.id)
    }

    /// Records that the client has taken bytes; returns `false` if they were shed.
    pub(crate) fn record_progress(&self) -> bool {
        let bytes = lock(&self.owner.budget).bytes(self.id);
        bytes.is_some_and(|bytes| self.resize(bytes))
    }

    /// Returns what tells that the bytes are shed.
    pub(crate) fn signal(&self) -> Arc<ShedSignal> {
        self.signal.clone()
    }

    /// Waits until the bytes are shed for other clients.
    pub(crate) async fn wait_until_shed(&self) {
        self.signal.shed.notified().await;
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        lock(&self.owner.budget).remove(self.id);
    }
}
