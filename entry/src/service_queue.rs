//! Queues the requests of a service while its backend servers are at capacity, fairly among workspaces.

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

/// State of a service's queue.
#[derive(Debug, Default)]
struct QueueState {
    queue: FairQueue,
    callers: Vec<(TicketId, oneshot::Sender<()>)>, // Notified on admission; sorted by ticket.
    capacity: u32,
}

/// Queue of one service's requests.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    state: Mutex<QueueState>,
}

/// A service's name and its queue.
type NamedQueue = (CompactString, Arc<ServiceQueue>);

/// Queues of all services that have received a request since the process started.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueTable {
    queues: Arc<Mutex<Vec<NamedQueue>>>, // Sorted by service name.
}

/// Permission to run one request; dropping the permit admits the next request.
#[derive(Debug)]
pub(crate) struct RequestPermit {
    queue: Arc<ServiceQueue>,
    admitted: Instant,
}

impl QueueTable {
    /// Returns the queue of a service, and creates an empty one on the service's first request.
    pub(crate) fn find(&self, service: &str) -> Arc<ServiceQueue> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        match queues.binary_search_by(|entry| entry.0.as_str().cmp(service)) {
            Ok(index) => queues[index].1.clone(),
            Err(index) => {
                let queue = Arc::<ServiceQueue>::default();
                queues.insert(index, (service.into(), queue.clone()));
                queue
            }
        }
    }

    /// Returns the queues that hold waiting requests.
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
    /// Waits until the request is admitted, while `capacity` requests may run at once.
    ///
    /// # Errors
    ///
    /// Returns `RefusalReason::CapacityShort` if the request can't run before its deadline or its
    /// workspace has too many waiting requests.
    pub(crate) async fn enter(
        self: &Arc<ServiceQueue>,
        request: QueueRequest,
        capacity: u32,
    ) -> Result<RequestPermit, RefusalResponse> {
        let (id, admitted) = {
            let mut state = self.lock();
            state.capacity = capacity;
            match state.queue.arrive(request, capacity, Instant::now()) {
                QueueDecision::Run => return Ok(self.permit()),
                QueueDecision::Refuse(wait) => return Err(capacity_refusal(wait)),
                QueueDecision::Wait(id) => {
                    let (sender, admitted) = oneshot::channel();
                    state.callers.push((id, sender));
                    (id, admitted)
                }
            }
        };
        counter!("requests_queued_total").increment(1);
        let mut guard = TicketGuard {
            queue: self,
            id,
            open: true,
        };
        match timeout_at(request.deadline.into(), admitted).await {
            Ok(Ok(())) => {
                guard.open = false;
                Ok(self.permit())
            }
            _ => Err(capacity_refusal(Duration::from_secs(1))),
        }
    }

    /// Sets the capacity, removes expired requests and admits as many waiting requests as fit.
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
            queue: self.clone(),
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
            let admitted = self
                .remove_caller(id)
                .is_some_and(|sender| sender.send(()).is_ok());
            if !admitted {
                // The caller has stopped waiting, so its slot is free again.
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

/// Removes a waiting request from the queue if its caller hangs up or its deadline passes.
struct TicketGuard<'a> {
    queue: &'a ServiceQueue,
    id: TicketId,
    open: bool, // False once the request is admitted.
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if self.open {
            let mut state = self.queue.lock();
            state.queue.cancel(self.id);
            state.remove_caller(self.id);
        }
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
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
