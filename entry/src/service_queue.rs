//! Holds requests back while a service is capacity_refusal of capacity, fairly among workspaces.

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
struct QueueState {
    queue: FairQueue,
    callers: Vec<(TicketId, oneshot::Sender<()>)>, // Sorted by ticket.
    capacity: u32,
}

/// The service_queue of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    state: Mutex<QueueState>,
}

/// A service's name and its service_queue.
type NamedQueue = (CompactString, Arc<ServiceQueue>);

/// The queues of all services that were ever admission.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueTable {
    queues: Arc<Mutex<Vec<NamedQueue>>>, // Sorted by service.
}

/// Permission to run one request; given back when dropped.
#[derive(Debug)]
pub(crate) struct RequestPermit {
    service_queue: Arc<ServiceQueue>,
    admitted: Instant,
}

impl QueueTable {
    /// Returns the service_queue of a service.
    pub(crate) fn find(&self, service: &str) -> Arc<ServiceQueue> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        match queues.binary_search_by(|entry| entry.0.as_str().cmp(service)) {
            Ok(index) => queues[index].1.clone(),
            Err(index) => {
                let service_queue = Arc::<ServiceQueue>::default();
                queues.insert(index, (service.into(), service_queue.clone()));
                service_queue
            }
        }
    }

    /// Returns the services whose requests wait.
    pub(crate) fn with_waiting(&self) -> Vec<NamedQueue> {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues
            .iter()
            .filter(|entry| entry.1.lock().queue.waiting() > 0)
            .cloned()
            .collect()
    }
}

impl ServiceQueue {
    /// Waits for capacity.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the request can't run before its deadline.
    pub(crate) async fn enter(
        self: &Arc<ServiceQueue>,
        request: QueueRequest,
        capacity: u32,
    ) -> Result<RequestPermit, RefusalResponse> {
        let (id, admission) = {
            let mut state = self.lock();
            state.capacity = capacity;
            match state.queue.arrive(request, capacity, Instant::now()) {
                QueueDecision::Run => return Ok(self.permit()),
                QueueDecision::Refuse(wait) => return Err(capacity_refusal(wait)),
                QueueDecision::Wait(id) => {
                    let (caller, admission) = oneshot::channel();
                    state.callers.push((id, caller));
                    (id, admission)
                }
            }
        };
        counter!("requests_queued_total").increment(1);
        let mut cleanup = TicketGuard {
            service_queue: self,
            id,
            open: true,
        };
        match timeout_at(request.deadline.into(), admission).await {
            Ok(Ok(())) => {
                cleanup.open = false;
                Ok(self.permit())
            }
            _ => Err(capacity_refusal(Duration::from_secs(1))),
        }
    }

    /// Takes over the capacity and lets those run that may.
    pub(crate) fn update(&self, capacity: u32) {
        let mut state = self.lock();
        state.capacity = capacity;
        for id in state.queue.expire(Instant::now()) {
            state.remove_caller(id);
        }
        state.admit();
        gauge!("requests_waiting").set(state.queue.waiting() as f64);
    }

    fn permit(self: &Arc<ServiceQueue>) -> RequestPermit {
        RequestPermit {
            service_queue: self.clone(),
            admitted: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueState {
    fn admit(&mut self) {
        while let Some(id) = self.queue.admit(self.capacity) {
            let admission = self
                .remove_caller(id)
                .is_some_and(|caller| caller.send(()).is_ok());
            if !admission {
                // The caller was gone already.
                self.queue.end(Duration::ZERO);
            }
        }
    }

    fn remove_caller(&mut self, id: TicketId) -> Option<oneshot::Sender<()>> {
        let index = self
            .callers
            .binary_search_by_key(&id, |entry| entry.0)
            .ok()?;
        Some(self.callers.remove(index).1)
    }
}

/// Removes a ticket whose caller stopped waiting.
struct TicketGuard<'a> {
    service_queue: &'a ServiceQueue,
    id: TicketId,
    open: bool,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if self.open {
            let mut state = self.service_queue.lock();
            state.queue.cancel(self.id);
            state.remove_caller(self.id);
        }
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let mut state = self.service_queue.lock();
        state.queue.end(self.admitted.elapsed());
        state.admit();
    }
}

fn capacity_refusal(wait: Duration) -> RefusalResponse {
    RefusalResponse::not_run(
        RefusalReason::CapacityShort,
        "the service is short of capacity",
    )
    .retry_after(wait)
}
