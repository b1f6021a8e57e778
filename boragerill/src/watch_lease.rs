//! Lease by which a VM that watches the platform's store vouches for its state to the other VMs.
//!
//! A watch that waits proves nothing: the store, or the connection, may have fallen silent. So the lease is valid only
//! while a response has arrived for each watched kind and the next one isn't overdue. The VM that ranks first among those
//! that watch lets its calls end one after the other, so that the lease lapses soon after the store has fallen silent.

use std::time::{
    Duration,
    Instant, //
};

/// Time within which the store responds to a call that doesn't wait, or after the wait of one that does.
pub const RESPONSE_TIME: Duration = Duration::from_millis(350);

/// Interval between the ends of the first watcher's calls of one kind. A call may miss changes without an error while the
/// store compacts its history; the next call detects this.
const FIRST_WATCHER_INTERVAL: Duration = Duration::from_millis(1000);

/// Longest wait of one call of all watchers but the first.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Lease of one VM.
#[derive(Clone, Debug)]
pub struct WatchLease {
    kinds: Vec<KindLease>, // By kind.
}

/// What the calls of one kind have shown.
#[derive(Clone, Copy, Debug, Default)]
struct KindLease {
    is_answered: bool,    // Whether the last call that ended was answered.
    due: Option<Instant>, // When the response to the pending call is overdue.
}

impl WatchLease {
    /// Creates the lease of a VM that hasn't called the store yet.
    pub fn new(kinds: usize) -> WatchLease {
        WatchLease {
            kinds: vec![KindLease::default(); kinds],
        }
    }

    /// Records that a call that waits for `wait` begins, and returns when its response is overdue.
    pub fn begin_call(&mut self, kind: usize, wait: Duration, now: Instant) -> Instant {
        let due = now + wait + RESPONSE_TIME;
        self.kinds[kind].due = Some(due);
        due
    }

    /// Records whether a call was answered; the next one is due soon.
    pub fn end_call(&mut self, kind: usize, is_answered: bool, now: Instant) {
        self.kinds[kind] = KindLease {
            is_answered,
            due: Some(now + RESPONSE_TIME),
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
        let kinds = u32::try_from(self.kinds.len().max(1)).unwrap_or(u32::MAX);
        let step = FIRST_WATCHER_INTERVAL / kinds;
        let offset = step * u32::try_from(kind).unwrap_or_default();
        let interval = FIRST_WATCHER_INTERVAL.as_nanos();
        let phase = (elapsed + FIRST_WATCHER_INTERVAL - offset).as_nanos() % interval;
        let until_end = Duration::from_nanos(u64::try_from(interval - phase).unwrap_or_default());
        // A call that would end at once waits for the next turn.
        match until_end < step {
            true => until_end + FIRST_WATCHER_INTERVAL,
            false => until_end,
        }
    }
}
