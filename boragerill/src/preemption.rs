//! Which of a VM's items are cut at a server where online requests need their slots, and when these are sent.

use std::{
    cmp::Reverse,
    time::{
        Duration,
        Instant, //
    },
};

use crate::slot::SlotView;

/// Time left for a job, below which all jobs are equally urgent.
const URGENT: Duration = Duration::from_secs(1);

/// Longest time for which an online request waits until an item has left its slot. VMs learn of a request within 2 ms
/// and cut the item at once, but a busy one needs some tens of milliseconds. After that the request is sent anyway.
pub const CLAIM_TIME: Duration = Duration::from_millis(60);

/// Returns whether an online request that is sent to a server now waits until an item has left its slot. Sent earlier, it
/// would be queued behind the item or rejected, so that the item would be cut for nothing. Only servers with an outlook
/// are claimed: at others the wait costs more than it saves. Ejected servers are a last resort, and aren't waited for.
///
/// Counts reported requests only, as [`SlotTable::items_to_preempt`](crate::slot::SlotTable::items_to_preempt) does: no
/// item is cut for requests that only the server counts.
pub fn needs_cut(view: &SlotView) -> bool {
    let is_claimable = view.outlook.is_some() && !view.ejected;
    let is_full = view.used.total() >= view.slots;
    is_claimable && is_full && view.used.batch > 0 && view.used.online < view.slots
}

/// Returns whether a request that counts at the server already has a slot, or no item is left there that could free one.
/// Two requests that claim the slot of one item would otherwise both wait after it has left.
pub fn has_slot(view: &SlotView) -> bool {
    view.used.batch == 0 || view.used.total() <= view.slots
}

/// One of this VM's items at a server.
#[derive(Clone, Copy, Debug)]
pub struct ItemView {
    /// When its job is due.
    pub due: Instant,
    /// Output received so far, in all its runs.
    pub output_bytes: usize,
    /// Whether it has been cut already, but still holds its slot.
    pub is_ending: bool,
}

/// Returns the positions of the items to cut so that `count` slots become free. Items that have been cut before and
/// still hold their slots count. Of the others, those of the jobs with the most time go first, in steps of a doubling,
/// and of these the ones with the least output: the others are nearer to their end, and free their slots for good.
pub fn items_to_cut(items: &[ItemView], count: u32, now: Instant) -> Vec<usize> {
    let ending = items.iter().filter(|item| item.is_ending).count();
    let needed = usize::try_from(count).unwrap_or(usize::MAX);
    let running = (0..items.len()).filter(|&index| !items[index].is_ending);
    let mut running: Vec<usize> = running.collect();
    running.sort_by_key(|&index| {
        let item = items[index];
        let time_left = item.due.saturating_duration_since(now);
        (Reverse(urgency_step(time_left)), item.output_bytes)
    });
    running.truncate(needed.saturating_sub(ending));
    running
}

/// Returns how often the time left can be halved until it is [`URGENT`].
fn urgency_step(time_left: Duration) -> u32 {
    let seconds = time_left.as_secs() / URGENT.as_secs();
    u64::BITS - seconds.leading_zeros()
}
