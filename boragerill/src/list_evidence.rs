//! Evidence that a VM's list of a job's results is as long as any other VM's.
//!
//! Whichever VM lists a result has stored it before, in the chunk with the next number. So a VM's list is current when the
//! next number is free. It stays current as long as the VM is told of every takeover; otherwise other VMs may list more.

use std::time::{
    Duration,
    Instant, //
};

use crate::member::MemberTable;

/// Time for which a list that was current is served by a VM that can't know of further results. Less than the time after
/// which all VMs must list what one of them has listed.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_millis(400);

/// When a VM's list of a job's results was last known to be current.
#[derive(Clone, Copy, Debug)]
pub struct ListEvidence {
    confirmed: Instant,
}

impl ListEvidence {
    /// Makes the evidence of a list that is current at `confirmed`.
    pub fn new(confirmed: Instant) -> ListEvidence {
        ListEvidence { confirmed }
    }

    /// Records that the list is current at `confirmed`, such as when the call began that found the next number free.
    pub fn record(&mut self, confirmed: Instant) {
        self.confirmed = self.confirmed.max(confirmed);
    }

    /// Returns whether the VM with these members can be sure that no other VM lists more.
    pub fn holds(&self, members: &MemberTable, now: Instant) -> bool {
        now < self.confirmed + EVIDENCE_LIFETIME || members.has_kept_contact(self.confirmed, now)
    }
}
