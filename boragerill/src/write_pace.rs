//! Pace of a batch job's writes to the store.
//!
//! Each write of results or of a checkpoint is a call to the store, which all VMs share. A job that is due in many seconds
//! collects its results for longer than one that is due soon: what matters to its client is that results are listed in time.

use std::time::Duration;

/// Time that is left until a job is due, divided by the time for which its results are collected.
const COLLECT_DIVISOR: u32 = 6;

/// Shortest and longest time for which results are collected before they are stored. Clients read while a job runs, and
/// expect results that are ready within some seconds.
const COLLECT_TIMES: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(1500));

/// Time that is left until a job is due, divided by the period of its checkpoints.
const CHECKPOINT_DIVISOR: u32 = 4;

/// Shortest and longest period of checkpoints. What a job has generated since its last one is generated again after the
/// loss of its runner.
const CHECKPOINT_PERIODS: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(4));

/// Returns for how long results are collected; `time_left` is zero for overdue jobs and `None` for jobs without a due time.
/// That an item can never be done is stored soon: a runner that doesn't know it sends the item to a server once more.
pub fn collect_time(time_left: Option<Duration>, has_abandoned: bool) -> Duration {
    let time_left = time_left.filter(|_| !has_abandoned);
    scale(time_left, COLLECT_DIVISOR, COLLECT_TIMES)
}

/// Returns the time to the next checkpoint; `time_left` as for [`collect_time`]. The first one, before which all that a job
/// has generated would be lost with its runner, comes soon.
pub fn checkpoint_period(time_left: Option<Duration>, is_first: bool) -> Duration {
    let time_left = time_left.filter(|_| !is_first);
    scale(time_left, CHECKPOINT_DIVISOR, CHECKPOINT_PERIODS)
}

fn scale(
    time_left: Option<Duration>,
    divisor: u32,
    (shortest, longest): (Duration, Duration),
) -> Duration {
    time_left.map_or(shortest, |left| (left / divisor).clamp(shortest, longest))
}
