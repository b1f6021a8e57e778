//! Choice among servers by the estimated times of a request's events.

use std::time::Duration;

use crate::slot::SlotView;

/// Factor and time within which estimates count as equal; the less loaded server is chosen then. VMs with the same
/// estimates would otherwise all choose the same server, and short requests would take the slots of fast servers from
/// long ones.
const EQUAL: (f64, Duration) = (1.15, Duration::from_millis(100));

/// Factor and time by which a server of the VM's own failure domain may be later than the best one. Streams that run in
/// the own domain survive its partition, others have to be resumed, which costs about as much as this.
const LOCAL_ALLOWANCE: (f64, Duration) = (1.5, Duration::from_millis(250));

/// Reduces candidates, given by their positions in `views`, to those at which a request's events are expected soonest.
/// Ejected servers and those without a free slot remain only if there are no others. Without estimates, all remain.
pub fn soonest(views: &[SlotView], mut candidates: Vec<usize>) -> Vec<usize> {
    if candidates
        .iter()
        .any(|&index| views[index].outlook.is_none())
    {
        return candidates;
    }
    let tier = |index: usize| (views[index].ejected, views[index].is_full());
    if let Some(best) = candidates.iter().map(|&index| tier(index)).min() {
        candidates.retain(|&index| tier(index) == best);
    }
    let expected = |index: usize| expected_time(&views[index]);
    let Some(best) = candidates.iter().map(|&index| expected(index)).min() else {
        return candidates;
    };
    let local = candidates.iter().filter(|&&index| views[index].local);
    let best_local = local.map(|&index| expected(index)).min();
    match best_local.filter(|&local| local <= later(best, LOCAL_ALLOWANCE)) {
        Some(limit) => {
            candidates.retain(|&index| views[index].local && expected(index) <= later(limit, EQUAL))
        }
        None => candidates.retain(|&index| expected(index) <= later(best, EQUAL)),
    }
    candidates
}

/// Returns the sum of the times of the first and the last event: callers wait for both.
fn expected_time(view: &SlotView) -> Duration {
    let outlook = view.outlook.unwrap_or_default();
    outlook.first + outlook.last
}

fn later(time: Duration, (factor, allowance): (f64, Duration)) -> Duration {
    time.mul_f64(factor) + allowance
}
