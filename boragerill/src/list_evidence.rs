//! Evidence that a VM's list of a job's results is as long as any other VM's.
//!
//! Whichever VM lists a result has stored it before, in the chunk with the next number. So a VM's list is current when the
//! next number is free. It stays current as long as the VM is told of every takeover, and knows the outcome of its own
//! writes; otherwise other VMs may list more.

use std::time::{
    Duration,
    Instant, //
};

use crate::member::MemberTable;

/// Time for which a list that was current is served by a VM that can't know of further results. Less than the time after
/// which all VMs must list what one of them has listed.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_millis(400);

/// A write of the next chunk whose outcome isn't known.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    begun: Instant, // The first attempt.
    may_be_stored: bool,
}

/// When a VM's list of a job's results was last known to be current.
#[derive(Clone, Copy, Debug)]
pub struct ListEvidence {
    confirmed: Instant,
    write: Option<PendingWrite>,
}

impl ListEvidence {
    /// Makes the evidence of a list that is current at `confirmed`.
    pub fn new(confirmed: Instant) -> ListEvidence {
        ListEvidence {
            confirmed,
            write: None,
        }
    }

    /// Records that the list is current at `confirmed`, such as when the call began that found the next number free.
    pub fn record(&mut self, confirmed: Instant) {
        self.confirmed = self.confirmed.max(confirmed);
    }

    /// Records that this VM writes the next chunk, perhaps once more.
    pub fn begin_write(&mut self, now: Instant) {
        self.write.get_or_insert(PendingWrite {
            begun: now,
            may_be_stored: false,
        });
    }

    /// Records that an attempt to write the next chunk failed, after which a chunk of that number may be stored, now or
    /// later.
    pub fn fail_write(&mut self, may_be_stored: bool) {
        if let Some(write) = &mut self.write {
            write.may_be_stored |= may_be_stored;
        }
        self.write = self.write.filter(|write| write.may_be_stored);
    }

    /// Records that the chunk that this VM wrote is stored and listed. Its number was free when the write began, whichever
    /// attempt stored it.
    pub fn end_write(&mut self) {
        if let Some(write) = self.write.take() {
            self.record(write.begun);
        }
    }

    /// Returns whether the VM with these members can be sure that no other VM lists more.
    pub fn holds(&self, members: &MemberTable, now: Instant) -> bool {
        let is_recent = |time: Instant| now < time + EVIDENCE_LIFETIME;
        let is_settled = self.write.is_none_or(|write| is_recent(write.begun));
        is_recent(self.confirmed) || is_settled && members.has_kept_contact(self.confirmed, now)
    }
}
