//! How soon a request that waits can have a place, from what this VM has seen of its own requests.

use std::{
    sync::Mutex,
    time::Duration, //
};

use crate::sync::lock;

/// Share of a new observation in the mean time of a run.
const RUN_WEIGHT: f64 = 0.1;

/// Time of a run before any was seen.
const RUN_DEFAULT: Duration = Duration::from_millis(800);

/// Shortest time after which a caller is told to come back.
const RETRY_SHORTEST: Duration = Duration::from_millis(150);

/// Least expected wait that a caller is told when it finds no place.
const RETRY_USUAL: Duration = Duration::from_millis(400);

/// Part of the time that a caller has left for which it can be asked to wait before it comes back.
const RETRY_SHARE: u32 = 3;

/// Returns of callers are spread over this part of the wait, around it.
const RETRY_SPREAD: f64 = 0.4;

/// What waits for and holds places of a service, as far as it concerns this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotLoad {
    /// This VM's part of the requests that hold places.
    pub running: u32,
    /// Late requests that get places before the one that asks.
    pub ahead: u32,
}

/// Mean time of the runs of each service.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    runs: Mutex<Vec<(u64, Duration)>>, // Sorted by service.
}

impl WaitEstimator {
    /// Notes for how long a request held its place.
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

    /// Returns how long a late request waits at least until a place of this VM's part is free for it.
    pub fn expected_wait(&self, service: u64, load: SlotLoad) -> Duration {
        let runs = lock(&self.runs);
        let found = runs.binary_search_by_key(&service, |entry| entry.0);
        let run = found.map_or(RUN_DEFAULT, |index| runs[index].1);
        run * (load.ahead + 1) / load.running.max(1)
    }
}

/// Returns when a caller may come back that finds no place: when one is expected, as far as its time allows,
/// and not all at once. `draw` lies between 0 and 1.
pub fn retry_delay(expected: Duration, remaining: Duration, draw: f64) -> Duration {
    let longest = (remaining / RETRY_SHARE).max(RETRY_SHORTEST);
    let spread = 1.0 + RETRY_SPREAD * (draw - 0.5);
    let wait = expected.max(RETRY_USUAL).mul_f64(spread);
    wait.clamp(RETRY_SHORTEST, longest)
}
