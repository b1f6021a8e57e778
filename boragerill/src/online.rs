//! Online requests that entry processes have in flight on one backend server.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

/// Age beyond which an entry process's load counts for nothing.
const SHARE_LIFETIME: Duration = Duration::from_secs(3);

/// Requests of one entry process.
#[derive(Clone, Debug)]
struct OnlineShare {
    vm: CompactString,
    in_flight: u32,
    noted: Instant,
}

/// What each entry process said last.
#[derive(Clone, Debug, Default)]
pub struct OnlineLoadTable {
    shares: Vec<OnlineShare>, // Sorted by VM.
}

impl OnlineLoadTable {
    /// Notes the requests that a VM's entry process has in flight.
    pub fn record(&mut self, vm: &str, in_flight: u32, now: Instant) {
        let share = OnlineShare {
            vm: vm.into(),
            in_flight,
            noted: now,
        };
        match self
            .shares
            .binary_search_by(|known| known.vm.as_str().cmp(vm))
        {
            Ok(index) => self.shares[index] = share,
            Err(index) => self.shares.insert(index, share),
        }
    }

    /// Returns the requests of all VMs that spoke lately.
    pub fn total(&self, now: Instant) -> u32 {
        let fresh = self
            .shares
            .iter()
            .filter(|share| now < share.noted + SHARE_LIFETIME);
        fresh.map(|share| share.in_flight).sum()
    }
}
