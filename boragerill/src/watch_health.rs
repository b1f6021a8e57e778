//! Whether the platform's store is available, as one watch of it shows.
//!
//! The store may cut off a watch that waits, and the next call waits again unless something changes. A watch that was cut
//! off says nothing about the store, so the next call doesn't wait: its outcome does.

use std::time::Duration;

/// Number of VMs that check an unavailable store at the shortest interval.
const CHECKING_VMS: u32 = 6;

/// Longest pause between the checks of one VM.
const MAX_CHECK_PAUSE: Duration = Duration::from_secs(8);

/// Returns how long the VM with this rank among the reachable VMs waits after a failed call before it calls the store again.
/// While the store is unavailable to all VMs no VM watches it, and all of them would call it at the pace of one; the first
/// that is answered reports the store's state to the others.
pub fn check_pause(backoff: Duration, rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let pause = backoff.saturating_mul(1 + rank / CHECKING_VMS);
    pause.min(MAX_CHECK_PAUSE.max(backoff))
}

/// Outcome of a call of a watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchOutcome {
    /// The store responded.
    Answered,
    /// The connection was closed while the call waited.
    CutOff,
    /// The call was rejected, timed out, or couldn't be sent.
    Failed,
}

/// What the outcome shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreHealth {
    /// The store is available.
    Available,
    /// The next call will show it.
    Unknown,
    /// The store is unavailable.
    Unavailable,
}

/// Calls of one watch so far.
#[derive(Clone, Debug, Default)]
pub struct WatchHealth {
    is_uncertain: bool, // Whether the store hasn't responded since the last failure.
}

impl WatchHealth {
    /// Returns whether the next call has to be answered at once rather than wait for a change.
    pub fn needs_answer(&self) -> bool {
        self.is_uncertain
    }

    /// Records that a call was abandoned while it waited, so that the next one has to be answered at once.
    pub fn require_answer(&mut self) {
        self.is_uncertain = true;
    }

    /// Records the outcome of a call.
    pub fn record(&mut self, outcome: WatchOutcome) -> StoreHealth {
        let was_uncertain =
            std::mem::replace(&mut self.is_uncertain, outcome != WatchOutcome::Answered);
        match outcome {
            WatchOutcome::Answered => StoreHealth::Available,
            WatchOutcome::CutOff if !was_uncertain => StoreHealth::Unknown,
            WatchOutcome::CutOff | WatchOutcome::Failed => StoreHealth::Unavailable,
        }
    }
}
