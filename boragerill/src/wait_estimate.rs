//! Estimates how long a request waits for a slot, from the run times of this VM's own requests.

use std::{
    sync::Mutex,
    time::Duration, //
};

use crate::sync::lock;

/// Weight of a new run time in the moving average.
const RUN_WEIGHT: f64 = 0.1;

/// Run time assumed before the first run has ended.
const RUN_DEFAULT: Duration = Duration::from_millis(800);

/// Shortest retry delay.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);

/// Lower bound of the expected wait from which the retry delay is computed, before its jitter.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(400);

/// Divisor of the time left until the caller's deadline, which bounds the retry delay.
const RETRY_DIVISOR: u32 = 3;

/// Width of the jitter of the retry delay, relative to the delay.
const RETRY_JITTER: f64 = 0.4;

/// Requests that hold or wait for slots of a service, as far as they concern this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotLoad {
    /// This VM's part of the requests that hold slots.
    pub running: u32,
    /// Number of overdue requests that get slots before this one.
    pub ahead: u32,
}

/// Moving average of the run time of each service.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    runs: Mutex<Vec<(u64, Duration)>>, // Sorted by service.
}

impl WaitEstimator {
    /// Records how long a request held its slot.
    pub fn record_run(&self, service: u64, run: Duration) {
        let mut runs = lock(&self.runs);
        match runs.binary_search_by_key(&service, |entry| entry.0) {
            Ok(index) => {
                let mean = runs[index].1.mul_f64(1.0 - RUN_WEIGHT);
                runs[index].1 = mean + run.mul_f64(RUN_WEIGHT);
            }
            Err(index) => runs.insert(index, (service, run)),
        }
    }

    /// Returns the minimum time that an overdue request waits until a slot of this VM's part is free for it.
    pub fn expected_wait(&self, service: u64, load: SlotLoad) -> Duration {
        let runs = lock(&self.runs);
        let found = runs.binary_search_by_key(&service, |entry| entry.0);
        let run = found.map_or(RUN_DEFAULT, |index| runs[index].1);
        run * (load.ahead + 1) / load.running.max(1)
    }
}

/// Returns the delay after which a refused caller may retry: the expected wait, bounded by the time left until
/// the caller's deadline, with jitter so that callers don't retry together. `draw` is a random number between
/// 0 and 1.
pub fn retry_delay(expected: Duration, remaining: Duration, draw: f64) -> Duration {
    let longest = (remaining / RETRY_DIVISOR).max(RETRY_DELAY_MIN);
    let spread = 1.0 + RETRY_JITTER * (draw - 0.5);
    let wait = expected.max(RETRY_DELAY_BASE).mul_f64(spread);
    wait.clamp(RETRY_DELAY_MIN, longest)
}
