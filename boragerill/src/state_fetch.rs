//! Fetching of numbered state, such as the configuration, from VMs that have a newer one.
//!
//! Every VM states the number of its state in its heartbeats. A VM that is behind asks one VM that is ahead, preferably
//! of its own failure domain, and another one if the response takes long. A VM sends a large state to a few others at a
//! time only; these send it on, so that the time grows with the logarithm of the number of VMs.

use std::time::{
    Duration,
    Instant, //
};

use crate::rank::score;

/// Number of a state; greater numbers are newer, zero means no state.
pub type StateNumber = u64;

/// Time after which another VM is asked while the response of the one before is awaited.
pub const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of VMs that are asked at once.
pub const MAX_REQUESTS: usize = 3;

/// Time for which a VM that refused a request as busy isn't asked again.
pub const BUSY_TIME: Duration = Duration::from_millis(50);

/// Time for which a VM that failed to respond isn't asked again.
pub const FAILED_TIME: Duration = Duration::from_millis(1000);

/// Delay per rank within the own failure domain before a VM of another one is asked. The VMs of the highest ranks fetch
/// the state across the boundary, and the others from them.
const REMOTE_DELAY: Duration = Duration::from_millis(25);

/// Longest delay before a VM of another failure domain is asked.
const MAX_REMOTE_DELAY: Duration = Duration::from_millis(250);

/// Time for which a newer state counts as existing after a VM has last stated it.
const STATED_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum number of VMs to which a large state is sent at once.
const MAX_TRANSFERS: usize = 4;

/// Time after which a transfer counts as finished, unless the receiver's heartbeat shows it before.
const TRANSFER_TIME: Duration = Duration::from_millis(400);

/// Least number of VMs of a fleet whose VMs don't all ask the store for their first state.
const MIN_SPREAD_VMS: usize = 80;

/// Number of VMs of a large fleet that ask the store for their first state at once.
const FIRST_CALLERS: usize = 8;

/// Time within which the others get their first state from these.
const FIRST_FETCH_TIME: Duration = Duration::from_millis(800);

/// Time over which the calls of the others are spread if they don't.
const FIRST_CALL_SPREAD: Duration = Duration::from_millis(1000);

/// Returns how long a VM without any state waits for other VMs to send theirs before it asks the store. `rank` is its rank
/// among the `vms` known VMs, reachable or not. The store would otherwise send all servers to all VMs after a restart of
/// the whole fleet.
pub fn first_call_delay(rank: usize, vms: usize) -> Duration {
    if vms < MIN_SPREAD_VMS || rank < FIRST_CALLERS {
        return Duration::ZERO;
    }
    FIRST_FETCH_TIME + FIRST_CALL_SPREAD.mul_f64((rank as f64 / vms as f64).min(1.0))
}

/// A VM that has a newer state than this one.
#[derive(Clone, Copy, Debug)]
struct StateSource {
    vm: u64, // Hash of the VM's name.
    number: StateNumber,
    is_local: bool, // Whether it belongs to the own failure domain.
    available: Instant,
}

/// What to do next to get a newer state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchStep {
    /// Ask the VM with this hash.
    Ask(u64),
    /// Decide again at this time.
    Wait(Instant),
    /// No VM is known to have a newer state.
    Idle,
}

/// Situation of the VM that fetches.
#[derive(Clone, Copy, Debug)]
pub struct FetchTerms {
    /// Hash of the VM's name.
    pub vm: u64,
    /// Number of its state.
    pub number: StateNumber,
    /// Rank of the VM within its failure domain, by which it waits before it asks VMs of other domains.
    pub rank: usize,
}

/// VMs that have a newer state than this one.
#[derive(Clone, Debug, Default)]
pub struct SourceTable {
    sources: Vec<StateSource>, // Sorted by VM.
    newest: StateNumber,
    behind_since: Option<Instant>,
    last_stated: Option<Instant>, // When any VM last stated a newer number than the own one.
}

impl SourceTable {
    /// Records the number that a VM has stated; a VM that has restarted may state a lower one than before.
    pub fn record(
        &mut self,
        vm: u64,
        number: StateNumber,
        is_local: bool,
        own: StateNumber,
        now: Instant,
    ) {
        let found = self.sources.binary_search_by_key(&vm, |source| source.vm);
        if number <= own {
            if let Ok(index) = found {
                self.sources.remove(index);
            }
            return;
        }
        if self.behind_since(now).is_none() {
            self.behind_since = Some(now);
            self.newest = number;
        }
        self.newest = self.newest.max(number);
        self.last_stated = Some(now);
        match found {
            Ok(index) => self.sources[index].number = number,
            Err(index) => self.sources.insert(
                index,
                StateSource {
                    vm,
                    number,
                    is_local,
                    available: now,
                },
            ),
        }
    }

    /// Records that the own state has a new number.
    pub fn record_own(&mut self, own: StateNumber) {
        self.sources.retain(|source| source.number > own);
        if own >= self.newest {
            self.behind_since = None;
        }
    }

    /// Returns the newest number that any VM has stated.
    pub fn newest(&self) -> StateNumber {
        self.newest
    }

    /// Returns since when a newer state than the own one has been known of, if any VM has stated one lately.
    pub fn behind_since(&self, now: Instant) -> Option<Instant> {
        let is_stated = self
            .last_stated
            .is_some_and(|stated| now < stated + STATED_LIFETIME);
        self.behind_since.filter(|_| is_stated)
    }

    /// Returns whether this VM knows of any VM that has a newer state.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// Records that a VM isn't asked before a time.
    pub fn postpone(&mut self, vm: u64, until: Instant) {
        if let Ok(index) = self.sources.binary_search_by_key(&vm, |source| source.vm) {
            self.sources[index].available = until;
        }
    }

    /// Removes VMs that can't be asked.
    pub fn retain(&mut self, is_reachable: impl Fn(u64) -> bool) {
        self.sources.retain(|source| is_reachable(source.vm));
    }

    /// Returns the next step.
    pub fn next_step(&self, terms: FetchTerms, now: Instant) -> FetchStep {
        let remote_from = self.remote_from(terms);
        let due = |source: &StateSource| match source.is_local {
            true => source.available,
            false => source.available.max(remote_from.unwrap_or(now)),
        };
        let newer = self.sources.iter();
        let newer = newer.filter(|source| source.number > terms.number);
        let Some(first) = newer.clone().map(due).min() else {
            return FetchStep::Idle;
        };
        // The newest state first, then the own domain; VMs that are behind choose different ones.
        let due_now = newer.filter(|source| due(source) <= now);
        let best = due_now.max_by_key(|source| {
            let preference = score(terms.vm, source.vm);
            (source.number, source.is_local, preference)
        });
        best.map_or(FetchStep::Wait(first), |source| FetchStep::Ask(source.vm))
    }

    /// Returns from when VMs of other failure domains are asked.
    fn remote_from(&self, terms: FetchTerms) -> Option<Instant> {
        let since = self.behind_since?;
        let rank = u32::try_from(terms.rank).unwrap_or(u32::MAX);
        let delay = REMOTE_DELAY.saturating_mul(rank).min(MAX_REMOTE_DELAY);
        // A VM without any state serves nothing, so it doesn't wait.
        (terms.number > 0).then(|| since + delay)
    }
}

/// Transfers of complete lists of servers to VMs without any. A receiver isn't known by name, so that each transfer counts
/// for [`TRANSFER_TIME`].
#[derive(Clone, Debug, Default)]
pub struct TransferWindow {
    begun: Vec<Instant>,
}

impl TransferWindow {
    /// Returns whether a transfer may begin, and records it.
    pub fn begin(&mut self, now: Instant) -> bool {
        self.begun.retain(|&begun| now < begun + TRANSFER_TIME);
        let admitted = self.begun.len() < MAX_TRANSFERS;
        if admitted {
            self.begun.push(now);
        }
        admitted
    }
}

/// Transfers of a large state to other VMs.
#[derive(Clone, Debug, Default)]
pub struct TransferTable {
    transfers: Vec<(u64, StateNumber, Instant)>, // Receiver, number, and when the transfer counts as finished.
}

impl TransferTable {
    /// Returns whether a transfer to a VM may begin, and records it.
    pub fn begin(&mut self, vm: u64, number: StateNumber, now: Instant) -> bool {
        self.transfers
            .retain(|transfer| transfer.2 > now && transfer.0 != vm);
        let admitted = self.transfers.len() < MAX_TRANSFERS;
        if admitted {
            self.transfers.push((vm, number, now + TRANSFER_TIME));
        }
        admitted
    }

    /// Records the number that a VM has stated, which shows that its transfer is finished.
    pub fn record(&mut self, vm: u64, number: StateNumber) {
        self.transfers
            .retain(|transfer| transfer.0 != vm || transfer.1 > number);
    }
}
