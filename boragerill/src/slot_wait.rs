//! How long online requests wait here for a place, and who goes first when places are short.
//!
//! Engines admit in order of arrival, so whoever is to go first has to be sent first. After an outage the
//! callers that waited through it come back together with those that have only just asked; the latter can
//! still be served in time and go first.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use compact_str::CompactString;

use crate::sync::lock;

/// Share of the time in which an answer is in time for which a request waits for a free place.
const FREE_SHARE: f64 = 0.2;

/// Share of that time after which a request that no server can take is refused.
const REFUSE_SHARE: f64 = 0.25;

/// Requests that may wait at one server beyond its places.
const SERVER_QUEUE: u32 = 1;

/// Time that a late request needs once it has a place.
const LATE_RUN: Duration = Duration::from_millis(1300);

/// Time before callers leave at which a late request is told that it won't be served.
const LEAVE_MARGIN: Duration = Duration::from_millis(1100);

/// A request that waits for a place.
#[derive(Clone, Copy, Debug)]
pub struct SlotWait {
    /// Time since the caller first asked, as far as that can be told.
    pub age: Duration,
    /// Time since the request came to this VM.
    pub held: Duration,
    /// Time within which an answer is in time.
    pub target: Duration,
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// Time until the caller leaves unless an event comes.
    pub idle_remaining: Duration,
    /// Requests that could still be served in time and wait here too.
    pub on_time_waiting: usize,
    /// Least time until a place can be free for a request that is late.
    pub expected: Duration,
}

/// Which places a request may take now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotRule {
    /// A free one.
    Free,
    /// A free one, or one in the queue of a server that is this long at most.
    Queue(u32),
    /// As `Queue`; if there is none, the request is refused.
    QueueOrRefuse(u32),
    /// A free one that others will hardly need.
    Headroom,
    /// As `Headroom`; if there is none, the request is refused.
    HeadroomOrRefuse,
    /// None; it waits.
    Wait,
}

impl SlotWait {
    /// Returns whether the request can't be served in time any more.
    pub fn is_overdue(&self) -> bool {
        self.age >= self.target
    }

    /// Returns which places the request may take now.
    pub fn rule(&self) -> SlotRule {
        if self.is_overdue() {
            return self.late_rule();
        }
        if self.held < self.target.mul_f64(FREE_SHARE) {
            SlotRule::Free
        } else if self.held < self.target.mul_f64(REFUSE_SHARE) {
            SlotRule::Queue(SERVER_QUEUE)
        } else {
            SlotRule::QueueOrRefuse(SERVER_QUEUE)
        }
    }

    fn late_rule(&self) -> SlotRule {
        if self.remaining < LATE_RUN {
            return SlotRule::QueueOrRefuse(0);
        }
        if self.expected.saturating_add(LEAVE_MARGIN) > self.idle_remaining {
            return SlotRule::HeadroomOrRefuse;
        }
        if self.on_time_waiting > 0 {
            return SlotRule::Wait;
        }
        SlotRule::Headroom
    }
}

/// Time that callers of a route give their requests, from what they say.
#[derive(Debug, Default)]
pub struct TimeoutTable {
    routes: Mutex<Vec<(CompactString, Duration, Instant)>>, // Sorted by the route's name.
}

/// Time after which a longer time that callers once gave is forgotten.
const MEMORY: Duration = Duration::from_secs(20);

impl TimeoutTable {
    /// Notes the time that a caller gives a request, and returns how long ago it first asked: what its
    /// time is short of that of others.
    pub fn record(&self, route: &str, remaining: Duration, now: Instant) -> Duration {
        let mut routes = lock(&self.routes);
        match routes.binary_search_by(|entry| entry.0.as_str().cmp(route)) {
            Ok(index) => {
                let entry = &mut routes[index];
                if remaining >= entry.1 || now >= entry.2 + MEMORY {
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
