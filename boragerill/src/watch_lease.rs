//! Lease by which a VM that watches the platform's store vouches for its state to the other VMs.
//!
//! A watch that waits proves nothing: the store, or the connection, may have fallen silent. So the lease is valid only
//! while a response has arrived for each watched kind and the next one isn't overdue. The VM that ranks first among those
//! that watch lets its calls end one after the other, so that the lease lapses soon after the store has fallen silent.

use std::time::{
    Duration,
    Instant, //
};

/// Time within which the store responds to a call that doesn't wait, or after the wait of one that does, unless it is known
/// to be slow.
pub const RESPONSE_TIME: Duration = Duration::from_millis(350);

/// Longest time within which a response of a slow store is awaited before it is overdue.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(900);

/// How many times its last response time a slow store may take.
const RESPONSE_TOLERANCE: u32 = 2;

/// Interval between the ends of the first watcher's calls of one kind. A call may miss changes without an error while the
/// store compacts its history; the next call detects this.
const FIRST_WATCHER_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval between the ends of the first watcher's calls of a kind that changes rarely and whose changes may take longer
/// to arrive.
const RARE_KIND_INTERVAL: Duration = Duration::from_millis(2000);

/// Time between the end of a call of a rare kind and that of the first kind.
const RARE_KIND_OFFSET: Duration = Duration::from_millis(170);

/// Longest wait of one call of all watchers but the first.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Lease of one VM.
#[derive(Clone, Debug)]
pub struct WatchLease {
    kinds: Vec<KindLease>, // By kind; rare kinds come last.
    rare_kinds: usize,
    response_time: Duration,
}

/// What the calls of one kind have shown.
#[derive(Clone, Copy, Debug, Default)]
struct KindLease {
    is_answered: bool,         // Whether the last call that ended was answered.
    wait_end: Option<Instant>, // When the pending call stops waiting for changes.
    due: Option<Instant>,      // When the response to the pending call is overdue.
}

impl WatchLease {
    /// Creates the lease of a VM that hasn't called the store yet.
    pub fn new(kinds: usize) -> WatchLease {
        WatchLease {
            kinds: vec![KindLease::default(); kinds],
            rare_kinds: 0,
            response_time: RESPONSE_TIME,
        }
    }

    /// Returns the lease with one more kind, which changes rarely.
    pub fn with_rare_kind(mut self) -> WatchLease {
        self.kinds.push(KindLease::default());
        self.rare_kinds += 1;
        self
    }

    /// Records that a call that waits for `wait` begins, and returns when its response is overdue.
    pub fn begin_call(&mut self, kind: usize, wait: Duration, now: Instant) -> Instant {
        let due = now + wait + self.response_time;
        self.kinds[kind].wait_end = Some(now + wait);
        self.kinds[kind].due = Some(due);
        due
    }

    /// Records whether a call was answered; the next one is due soon. Later calls may take twice as long as this one.
    pub fn end_call(&mut self, kind: usize, is_answered: bool, now: Instant) {
        let wait_end = self.kinds[kind].wait_end.filter(|&end| end <= now);
        if let (true, Some(end)) = (is_answered, wait_end) {
            let taken = now.saturating_duration_since(end) * RESPONSE_TOLERANCE;
            self.response_time = taken.clamp(RESPONSE_TIME, MAX_RESPONSE_TIME);
        }
        self.kinds[kind] = KindLease {
            is_answered,
            wait_end: None,
            due: Some(now + self.response_time),
        };
    }

    /// Records that a kind isn't watched any more.
    pub fn release(&mut self, kind: usize) {
        self.kinds[kind] = KindLease::default();
    }

    /// Returns whether the VM vouches for its state.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.kinds
            .iter()
            .all(|kind| kind.is_answered && kind.due.is_some_and(|due| now < due))
    }

    /// Returns for how long a call of a kind waits for changes. `elapsed` is the time since any fixed moment. The calls of
    /// the first watcher end in turn, those of different kinds at different times.
    pub fn wait(&self, kind: usize, is_first: bool, elapsed: Duration) -> Duration {
        if !is_first {
            return WATCH_TIMEOUT;
        }
        let regular = self.kinds.len() - self.rare_kinds;
        let kinds = u32::try_from(regular.max(1)).unwrap_or(u32::MAX);
        let step = FIRST_WATCHER_INTERVAL / kinds;
        let (interval, offset) = match kind < regular {
            true => {
                let offset = step * u32::try_from(kind).unwrap_or_default();
                (FIRST_WATCHER_INTERVAL, offset)
            }
            false => (RARE_KIND_INTERVAL, RARE_KIND_OFFSET),
        };
        let phase = (elapsed + interval - offset).as_nanos() % interval.as_nanos();
        let until_end = interval.as_nanos() - phase;
        let until_end = Duration::from_nanos(u64::try_from(until_end).unwrap_or_default());
        // A call that would end at once waits for the next turn.
        match until_end < step {
            true => until_end + interval,
            false => until_end,
        }
    }
}
