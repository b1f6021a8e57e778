//! Holds requests back while a service is short of capacity, fairly among workspaces.

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
    queue::{
        FairQueue,
        QueueDecision,
        QueueRequest,
        TicketId, //
    },
    refusal::{
        RefusalReason,
        RefusalResponse, //
    }, //
};
use compact_str::CompactString;
use metrics::{
    counter,
    gauge, //
};
use tokio::{
    sync::oneshot,
    time::timeout_at, //
};

/// One service's queue and the callers that wait in it.
#[derive(Debug, Default)]
struct GateState {
    queue: FairQueue,
    callers: Vec<(TicketId, oneshot::Sender<()>)>, // Sorted by ticket.
    capacity: u32,
}

/// The gate of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceGate {
    state: Mutex<GateState>,
}

/// A service's name and its gate.
type NamedGate = (CompactString, Arc<ServiceGate>);

/// The gates of all services that were ever called.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateTable {
    gates: Arc<Mutex<Vec<NamedGate>>>, // Sorted by service.
}

/// Permission to run one request; given back when dropped.
#[derive(Debug)]
pub(crate) struct GatePermit {
    gate: Arc<ServiceGate>,
    admitted: Instant,
}

impl GateTable {
    /// Returns the gate of a service.
    pub(crate) fn find(&self, service: &str) -> Arc<ServiceGate> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        match gates.binary_search_by(|entry| entry.0.as_str().cmp(service)) {
            Ok(index) => gates[index].1.clone(),
            Err(index) => {
                let gate = Arc::<ServiceGate>::default();
                gates.insert(index, (service.into(), gate.clone()));
                gate
            }
        }
    }

    /// Returns the services whose requests wait.
    pub(crate) fn crowded(&self) -> Vec<NamedGate> {
        let gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        gates
            .iter()
            .filter(|entry| entry.1.lock().queue.waiting() > 0)
            .cloned()
            .collect()
    }
}

impl ServiceGate {
    /// Waits for capacity.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the request can't run before its deadline.
    pub(crate) async fn enter(
        self: &Arc<ServiceGate>,
        request: QueueRequest,
        capacity: u32,
    ) -> Result<GatePermit, RefusalResponse> {
        let (id, called) = {
            let mut state = self.lock();
            state.capacity = capacity;
            match state.queue.arrive(request, capacity, Instant::now()) {
                QueueDecision::Run => return Ok(self.permit()),
                QueueDecision::Refuse(wait) => return Err(short(wait)),
                QueueDecision::Wait(id) => {
                    let (caller, called) = oneshot::channel();
                    state.callers.push((id, caller));
                    (id, called)
                }
            }
        };
        counter!("requests_queued_total").increment(1);
        let mut cleanup = TicketGuard {
            gate: self,
            id,
            open: true,
        };
        match timeout_at(request.deadline.into(), called).await {
            Ok(Ok(())) => {
                cleanup.open = false;
                Ok(self.permit())
            }
            _ => Err(short(Duration::from_secs(1))),
        }
    }

    /// Takes over the capacity and lets those run that may.
    pub(crate) fn update(&self, capacity: u32) {
        let mut state = self.lock();
        state.capacity = capacity;
        for id in state.queue.expire(Instant::now()) {
            state.take_caller(id);
        }
        state.admit();
        gauge!("requests_waiting").set(state.queue.waiting() as f64);
    }

    fn permit(self: &Arc<ServiceGate>) -> GatePermit {
        GatePermit {
            gate: self.clone(),
            admitted: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    fn admit(&mut self) {
        while let Some(id) = self.queue.admit(self.capacity) {
            let called = self
                .take_caller(id)
                .is_some_and(|caller| caller.send(()).is_ok());
            if !called {
                // The caller was gone already.
                self.queue.end(Duration::ZERO);
            }
        }
    }

    fn take_caller(&mut self, id: TicketId) -> Option<oneshot::Sender<()>> {
        let index = self
            .callers
            .binary_search_by_key(&id, |entry| entry.0)
            .ok()?;
        Some(self.callers.remove(index).1)
    }
}

/// Removes a ticket whose caller stopped waiting.
struct TicketGuard<'a> {
    gate: &'a ServiceGate,
    id: TicketId,
    open: bool,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if self.open {
            let mut state = self.gate.lock();
            state.queue.cancel(self.id);
            state.take_caller(self.id);
        }
    }
}

impl Drop for GatePermit {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.queue.end(self.admitted.elapsed());
        state.admit();
    }
}

fn short(wait: Duration) -> RefusalResponse {
    RefusalResponse::not_run(
        RefusalReason::CapacityShort,
        "the service is short of capacity",
    )
    .retry_after(wait)
}
