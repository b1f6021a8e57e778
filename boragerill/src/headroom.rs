//! Decides how many slots of each backend server batch items may use, and how many must be preempted.
//!
//! One batch process, the server's feeder, decides for each server. Entry processes report to the feeder how
//! many online requests they have in flight on the server. The server's own load report lags behind, but it
//! also counts the requests of entry processes that can't reach the feeder. Batch items use the slots that
//! online requests leave free, less a reserve for online requests that arrive before items can be preempted.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

use crate::online::OnlineLoadTable;

/// Age at which a server's own load report expires.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time in which the reserve for arriving online requests decays to half.
const RESERVE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Time that the preemption of batch items takes; the reserve covers the requests that arrive meanwhile.
const PREEMPTION_WINDOW: Duration = Duration::from_millis(30);

/// Largest fraction of a server's slots that is held in reserve.
const MAX_RESERVE_FRACTION: f64 = 0.25;

/// Slots, online load and batch items of one server.
#[derive(Clone, Debug)]
struct ServerHeadroom {
    address: CompactString,
    slots: u32,
    online_loads: OnlineLoadTable,
    reported: Option<(u32, Instant)>, // Online requests by the server's own report, and its time.
    batch_items: u32,                 // Running.
    batch_items_peak: u32,            // Largest number since the report before the latest.
    burst: f64,                       // Largest recent rise of the online load, in requests.
    burst_time: Instant,              // Time of that rise.
    window_start: Instant,
    window_min: u32, // Least online load since `window_start`.
}

/// Servers that this process feeds, with the slots that batch items may use on each.
#[derive(Clone, Debug, Default)]
pub struct HeadroomTable {
    servers: Vec<ServerHeadroom>, // Sorted by address.
}

impl HeadroomTable {
    /// Adds a server that this process feeds, or updates the server's slots.
    pub fn update_server(&mut self, address: &str, slots: u32, now: Instant) {
        match self.search(address) {
            Ok(index) => self.servers[index].slots = slots,
            Err(index) => {
                let server = ServerHeadroom {
                    address: address.into(),
                    slots,
                    online_loads: OnlineLoadTable::default(),
                    reported: None,
                    batch_items: 0,
                    batch_items_peak: 0,
                    burst: 0.0,
                    burst_time: now,
                    window_start: now,
                    window_min: 0,
                };
                self.servers.insert(index, server);
            }
        }
    }

    /// Removes the servers for which `is_fed` returns false; those with running items remain, without slots,
    /// until the items have ended.
    pub fn retain(&mut self, is_fed: impl Fn(&str) -> bool) {
        self.servers
            .retain(|server| server.batch_items > 0 || is_fed(&server.address));
        for server in self
            .servers
            .iter_mut()
            .filter(|server| !is_fed(&server.address))
        {
            server.slots = 0;
        }
    }

    /// Records the online requests that the entry process of a VM has in flight on a server.
    pub fn record_online_load(&mut self, vm: &str, address: &str, in_flight: u32, now: Instant) {
        let Ok(index) = self.search(address) else {
            return;
        };
        let server = &mut self.servers[index];
        server.online_loads.record(vm, in_flight, now);
        server.record_burst(now);
    }

    /// Records a server's own report of all its running requests, online and batch.
    pub fn record_server_report(&mut self, address: &str, running: u32, now: Instant) {
        let Ok(index) = self.search(address) else {
            return;
        };
        let server = &mut self.servers[index];
        // The report may still count batch items that have ended since the previous report.
        let online = running.saturating_sub(server.batch_items_peak);
        server.reported = Some((online, now));
        server.batch_items_peak = server.batch_items;
    }

    /// Takes a slot on the server with the most free slots for batch, among the servers that `admits` accepts,
    /// and returns the server's address; returns `None` when no slot is free.
    pub fn take_slot(
        &mut self,
        admits: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Option<CompactString> {
        let admitted = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| admits(&server.address));
        let free_slots = admitted
            .map(|(index, server)| (server.budget(now).saturating_sub(server.batch_items), index));
        let (free, index) =
            free_slots.max_by_key(|&(free, index)| (free, std::cmp::Reverse(index)))?;
        if free == 0 {
            return None;
        }
        let server = &mut self.servers[index];
        server.batch_items += 1;
        server.batch_items_peak = server.batch_items_peak.max(server.batch_items);
        Some(server.address.clone())
    }

    /// Returns whether any server has a free slot for batch.
    pub fn has_free_slot(&self, now: Instant) -> bool {
        self.servers
            .iter()
            .any(|server| server.budget(now) > server.batch_items)
    }

    /// Releases a slot that `take_slot` took on a server.
    pub fn release_slot(&mut self, address: &str) {
        if let Ok(index) = self.search(address) {
            let server = &mut self.servers[index];
            server.batch_items = server.batch_items.saturating_sub(1);
        }
    }

    /// Returns by how many the running batch items of a server exceed its batch budget.
    pub fn excess(&self, address: &str, now: Instant) -> u32 {
        let Ok(index) = self.search(address) else {
            return 0;
        };
        let server = &self.servers[index];
        server.batch_items.saturating_sub(server.budget(now))
    }

    /// Returns the addresses of the servers, including removed ones whose items haven't ended.
    pub fn addresses(&self) -> impl Iterator<Item = &CompactString> {
        self.servers.iter().map(|server| &server.address)
    }

    fn search(&self, address: &str) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|server| server.address.as_str().cmp(address))
    }
}

impl ServerHeadroom {
    /// Returns how many batch items may run at once.
    fn budget(&self, now: Instant) -> u32 {
        self.slots
            .saturating_sub(self.online(now) + self.reserve(now))
    }

    /// Returns the online requests in flight: the larger of the entry processes' total and the server's report.
    fn online(&self, now: Instant) -> u32 {
        let total = self.online_loads.total(now);
        let reported = self
            .reported
            .filter(|&(_, received)| now < received + REPORT_LIFETIME);
        total.max(reported.map_or(0, |(online, _)| online))
    }

    /// Returns the slots kept free for arriving online requests: the largest recent rise of the online load
    /// within the preemption window, at least 1.
    fn reserve(&self, now: Instant) -> u32 {
        let limit = (f64::from(self.slots) * MAX_RESERVE_FRACTION).ceil();
        let reserve = self.decayed_burst(now).round().clamp(1.0, limit.max(1.0));
        reserve as u32
    }

    /// Returns the recorded burst, halved for each `RESERVE_HALF_LIFE` since.
    fn decayed_burst(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.burst_time).as_secs_f64();
        self.burst * (-age * std::f64::consts::LN_2 / RESERVE_HALF_LIFE.as_secs_f64()).exp()
    }

    /// Updates the burst from the current online load.
    fn record_burst(&mut self, now: Instant) {
        let online = self.online(now);
        if now >= self.window_start + PREEMPTION_WINDOW {
            self.window_start = now;
            self.window_min = online;
        }
        self.window_min = self.window_min.min(online);
        let rise = f64::from(online - self.window_min);
        if rise >= self.decayed_burst(now) {
            self.burst = rise;
            self.burst_time = now;
        }
    }
}
