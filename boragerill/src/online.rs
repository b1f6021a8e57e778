//! Online requests in flight at one backend server, as reported by the entry processes.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

/// Age beyond which an entry process's report is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Last report of one entry process.
#[derive(Clone, Debug)]
struct OnlineLoad {
    vm: CompactString,
    in_flight: u32,
    recorded: Instant,
}

/// Last report of each entry process.
#[derive(Clone, Debug, Default)]
pub struct OnlineLoadTable {
    reports: Vec<OnlineLoad>, // Sorted by VM.
}

impl OnlineLoadTable {
    /// Records the number of requests that a VM's entry process has in flight.
    pub fn record(&mut self, vm: &str, in_flight: u32, now: Instant) {
        let report = OnlineLoad {
            vm: vm.into(),
            in_flight,
            recorded: now,
        };
        match self
            .reports
            .binary_search_by(|known| known.vm.as_str().cmp(vm))
        {
            Ok(index) => self.reports[index] = report,
            Err(index) => self.reports.insert(index, report),
        }
    }

    /// Returns the sum of all recent reports.
    pub fn total(&self, now: Instant) -> u32 {
        let recent = self
            .reports
            .iter()
            .filter(|report| now < report.recorded + REPORT_LIFETIME);
        recent.map(|report| report.in_flight).sum()
    }
}
