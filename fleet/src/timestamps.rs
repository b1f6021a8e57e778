//! Times in messages between VMs: they are sent as ages, since the VMs' clocks differ.

use std::time::{
    Duration,
    Instant, //
};

/// Returns the time from `time` to `now`, in microseconds.
pub(crate) fn age_us(time: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(time);
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the time `age_us` microseconds before `now`, or `now` if the clock doesn't reach that far back.
pub(crate) fn time_before(age_us: u64, now: Instant) -> Instant {
    now.checked_sub(Duration::from_micros(age_us))
        .unwrap_or(now)
}
