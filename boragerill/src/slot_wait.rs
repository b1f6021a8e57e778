//! How long online requests wait for a slot, and which go first when slots are short.
//!
//! Engines admit requests in order of arrival, so a request that is to run first has to be sent first. After
//! an outage, callers that waited through it retry together with callers that send a new request. Only the
//! new requests can still be served within their target latency, so they go first.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use compact_str::CompactString;

use crate::sync::lock;

/// Part of the target latency during which a request waits for a free slot.
const FREE_WAIT_SHARE: f64 = 0.2;

/// Part of the target latency after which a request that no server can take is refused.
const REFUSE_SHARE: f64 = 0.25;

/// Number of requests that may queue at one server beyond its slots.
const SERVER_QUEUE: u32 = 1;

/// Time that an overdue request needs to run once it has a slot; with less time left, it doesn't wait for one.
const OVERDUE_RUN: Duration = Duration::from_millis(1300);

/// Time before its caller disconnects at which an overdue request is refused at the latest.
const DISCONNECT_MARGIN: Duration = Duration::from_millis(1100);

/// State of a request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotWait {
    /// Estimated time since the caller first sent the request, earlier attempts included.
    pub age: Duration,
    /// Time since the request arrived at this VM.
    pub held: Duration,
    /// Target latency of the response.
    pub target: Duration,
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// Time until the caller disconnects unless it receives an event.
    pub idle_remaining: Duration,
    /// Number of other requests waiting at this VM that can still be served within their target.
    pub on_time_waiting: usize,
    /// Minimum expected time until a slot is free for an overdue request.
    pub expected: Duration,
    /// Time until the limit of some server admits the request; zero if one does now.
    pub limited_for: Duration,
}

/// Which slots a request may take now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotRule {
    /// A free slot.
    Free,
    /// A free slot, or a position in a server's queue of at most this length.
    Queue(u32),
    /// As `Queue`; without such a slot or position, the request is refused.
    QueueOrRefuse(u32),
    /// A free slot at a server with headroom: one that keeps a further slot free for on-time requests.
    Headroom,
    /// As `Headroom`; without such a slot, the request is refused.
    HeadroomOrRefuse,
    /// No slot; the request waits.
    Wait,
}

impl SlotWait {
    /// Returns whether the request is past its target latency.
    pub fn is_overdue(&self) -> bool {
        self.age >= self.target
    }

    /// Returns which slots the request may take now.
    pub fn rule(&self) -> SlotRule {
        if self.is_overdue() {
            return self.overdue_rule();
        }
        let served_at = self.held.saturating_add(self.limited_for);
        if served_at >= self.target.mul_f64(REFUSE_SHARE) {
            return SlotRule::QueueOrRefuse(SERVER_QUEUE);
        }
        if self.held < self.target.mul_f64(FREE_WAIT_SHARE) {
            SlotRule::Free
        } else {
            SlotRule::Queue(SERVER_QUEUE)
        }
    }

    fn overdue_rule(&self) -> SlotRule {
        if self.remaining < OVERDUE_RUN {
            return SlotRule::QueueOrRefuse(0);
        }
        if self.expected.saturating_add(DISCONNECT_MARGIN) > self.idle_remaining {
            return SlotRule::HeadroomOrRefuse;
        }
        if self.on_time_waiting > 0 {
            return SlotRule::Wait;
        }
        SlotRule::Headroom
    }
}

/// Longest recent timeout of the callers of each route.
#[derive(Debug, Default)]
pub struct TimeoutTable {
    routes: Mutex<Vec<(CompactString, Duration, Instant)>>, // Sorted by the route's name.
}

/// Time after which a recorded timeout may be replaced by a shorter one.
const TIMEOUT_LIFETIME: Duration = Duration::from_secs(20);

impl TimeoutTable {
    /// Records the time left for a request, and returns the estimated time since the caller first sent it: the
    /// difference to the route's longest timeout. A caller that retries has less time left.
    pub fn record(&self, route: &str, remaining: Duration, now: Instant) -> Duration {
        let mut routes = lock(&self.routes);
        match routes.binary_search_by(|entry| entry.0.as_str().cmp(route)) {
            Ok(index) => {
                let entry = &mut routes[index];
                if remaining >= entry.1 || now >= entry.2 + TIMEOUT_LIFETIME {
                    entry.1 = remaining;
                    entry.2 = now;
                }
                entry.1 - remaining
            }
            Err(index) => {
                routes.insert(index, (route.into(), remaining, now));
                Duration::ZERO
            }
        }
    }
}
