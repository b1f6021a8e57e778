//! Admission of requests to a service that is short of capacity: start-time fair queueing by workspace.
//!
//! Each workspace's requests are spaced in virtual time by the inverse of its weight. A workspace that sends
//! five times as many requests as others therefore delays its own requests and not those of the others. A
//! request that can't be served before its deadline is refused at once.

use std::time::{
    Duration,
    Instant, //
};

/// Identifies a waiting request within one queue.
pub type TicketId = u64;

/// Maximum number of waiting requests of one workspace.
const MAX_WAITING: usize = 256;

/// Weight of a new service time in the moving average.
const AVERAGE_WEIGHT: f64 = 0.05;

/// One request that arrives at the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Weight of the workspace.
    pub weight: u32,
    /// Deadline of the caller.
    pub deadline: Instant,
}

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request may run now.
    Run,
    /// The request waits under this ticket.
    Wait(TicketId),
    /// The request can't run before its deadline, or its workspace has too many waiting requests; the caller
    /// may retry after this expected wait.
    Refuse(Duration),
}

#[derive(Clone, Copy, Debug)]
struct WaitingTicket {
    start: f64, // Virtual time.
    id: TicketId,
    workspace: u64,
    deadline: Instant,
}

#[derive(Clone, Copy, Debug)]
struct WorkspaceTag {
    workspace: u64,
    finish: f64, // Virtual time.
    waiting: usize,
}

/// Requests that wait for one service at one entry process.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    waiting: Vec<WaitingTicket>, // Sorted by start, then id.
    tags: Vec<WorkspaceTag>,     // Sorted by workspace.
    virtual_time: f64,
    running: u32,
    next_id: TicketId,
    service_seconds: f64, // Moving average; zero until the first request ends.
}

impl FairQueue {
    /// Admits, queues or refuses a request; at most `capacity` requests run concurrently.
    pub fn arrive(&mut self, request: QueueRequest, capacity: u32, now: Instant) -> QueueDecision {
        if self.waiting.is_empty() && self.running < capacity {
            let start = self.assign_start(request);
            self.virtual_time = self.virtual_time.max(start);
            self.running += 1;
            return QueueDecision::Run;
        }
        let ahead = self.waiting_ahead(request);
        let wait = self.expected_wait(ahead, capacity);
        let own = self
            .find_tag(request.workspace)
            .map_or(0, |tag| tag.waiting);
        if now + wait > request.deadline || own >= MAX_WAITING {
            return QueueDecision::Refuse(wait);
        }
        let start = self.assign_start(request);
        self.next_id += 1;
        let ticket = WaitingTicket {
            start,
            id: self.next_id,
            workspace: request.workspace,
            deadline: request.deadline,
        };
        let index = self
            .waiting
            .partition_point(|known| (known.start, known.id) < (start, ticket.id));
        self.waiting.insert(index, ticket);
        self.change_waiting(request.workspace, 1);
        QueueDecision::Wait(ticket.id)
    }

    /// Records that a request has ended after running for `time`.
    pub fn end(&mut self, time: Duration) {
        self.running = self.running.saturating_sub(1);
        let seconds = time.as_secs_f64();
        self.service_seconds = match self.service_seconds {
            average if average > 0.0 => average + AVERAGE_WEIGHT * (seconds - average),
            _ => seconds,
        };
    }

    /// Removes and returns the next waiting request if fewer than `capacity` requests run.
    pub fn admit(&mut self, capacity: u32) -> Option<TicketId> {
        if self.running >= capacity || self.waiting.is_empty() {
            return None;
        }
        let ticket = self.waiting.remove(0);
        self.virtual_time = self.virtual_time.max(ticket.start);
        self.change_waiting(ticket.workspace, -1);
        self.running += 1;
        Some(ticket.id)
    }

    /// Removes a request whose caller has disconnected, and returns whether the request was still waiting.
    pub fn cancel(&mut self, id: TicketId) -> bool {
        let Some(index) = self.waiting.iter().position(|ticket| ticket.id == id) else {
            return false;
        };
        let ticket = self.waiting.remove(index);
        self.change_waiting(ticket.workspace, -1);
        true
    }

    /// Removes and returns the waiting requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<TicketId> {
        let expired: Vec<WaitingTicket> = self
            .waiting
            .iter()
            .copied()
            .filter(|ticket| ticket.deadline <= now)
            .collect();
        expired.iter().for_each(|ticket| {
            self.cancel(ticket.id);
        });
        expired.into_iter().map(|ticket| ticket.id).collect()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Assigns a request its start tag and advances the finish tag of its workspace.
    fn assign_start(&mut self, request: QueueRequest) -> f64 {
        let index = match self
            .tags
            .binary_search_by_key(&request.workspace, |tag| tag.workspace)
        {
            Ok(index) => index,
            Err(index) => {
                let virtual_time = self.virtual_time;
                self.tags
                    .retain(|tag| tag.waiting > 0 || tag.finish > virtual_time);
                let index = index.min(
                    self.tags
                        .partition_point(|tag| tag.workspace < request.workspace),
                );
                let tag = WorkspaceTag {
                    workspace: request.workspace,
                    finish: 0.0,
                    waiting: 0,
                };
                self.tags.insert(index, tag);
                index
            }
        };
        let tag = &mut self.tags[index];
        let start = tag.finish.max(self.virtual_time);
        tag.finish = start + 1.0 / f64::from(request.weight.max(1));
        start
    }

    /// Returns the number of waiting requests that would run before this one.
    fn waiting_ahead(&self, request: QueueRequest) -> usize {
        let finish = self
            .find_tag(request.workspace)
            .map_or(0.0, |tag| tag.finish);
        let start = finish.max(self.virtual_time);
        self.waiting.partition_point(|ticket| ticket.start <= start)
    }

    fn expected_wait(&self, ahead: usize, capacity: u32) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(capacity.max(1));
        Duration::from_secs_f64(rounds * self.service_seconds)
    }

    fn find_tag(&self, workspace: u64) -> Option<&WorkspaceTag> {
        let index = self
            .tags
            .binary_search_by_key(&workspace, |tag| tag.workspace)
            .ok()?;
        Some(&self.tags[index])
    }

    fn change_waiting(&mut self, workspace: u64, change: isize) {
        if let Ok(index) = self
            .tags
            .binary_search_by_key(&workspace, |tag| tag.workspace)
        {
            let tag = &mut self.tags[index];
            tag.waiting = tag.waiting.saturating_add_signed(change);
        }
    }
}
