//! How much of each backend server batch may take, and when it must yield.
//!
//! One feeder decides for a server. Entry processes tell it how many online requests they have in flight
//! there; the server's own report, which lags, covers entry processes that can't reach the feeder. Batch
//! takes the slots that online leaves, less a reserve for the arrivals that come before it can yield.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

use crate::online::OnlineLoadTable;

/// Age beyond which a server's own report counts for nothing.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time over which the reserve for arrivals halves.
const BURST_HALF_LIFE: Duration = Duration::from_secs(5);

/// Window over which arrivals come before batch can yield.
const YIELD_WINDOW: Duration = Duration::from_millis(30);

/// Largest share of the slots that is kept in reserve.
const RESERVE_SHARE: f64 = 0.25;

/// What a feeder knows of one server.
#[derive(Clone, Debug)]
struct SpareServer {
    address: CompactString,
    slots: u32,
    shares: OnlineLoadTable,
    reported: Option<(u32, Instant)>,
    batch: u32,
    batch_peak: u32, // Since the report before the newest.
    burst: f64,
    burst_noted: Instant,
    window_start: Instant,
    window_least: u32,
}

/// Decides how many batch items run on each server that this process feeds.
#[derive(Clone, Debug, Default)]
pub struct SpareTable {
    servers: Vec<SpareServer>, // Sorted by address.
}

impl SpareTable {
    /// Starts or goes on feeding a server.
    pub fn feed(&mut self, address: &str, slots: u32, now: Instant) {
        match self.search(address) {
            Ok(index) => self.servers[index].slots = slots,
            Err(index) => {
                let server = SpareServer {
                    address: address.into(),
                    slots,
                    shares: OnlineLoadTable::default(),
                    reported: None,
                    batch: 0,
                    batch_peak: 0,
                    burst: 0.0,
                    burst_noted: now,
                    window_start: now,
                    window_least: 0,
                };
                self.servers.insert(index, server);
            }
        }
    }

    /// Stops feeding the servers that `is_fed` denies; their running items end as they would.
    pub fn retain(&mut self, is_fed: impl Fn(&str) -> bool) {
        self.servers
            .retain(|server| server.batch > 0 || is_fed(&server.address));
        for server in self
            .servers
            .iter_mut()
            .filter(|server| !is_fed(&server.address))
        {
            server.slots = 0;
        }
    }

    /// Notes the online requests that an entry process has in flight on a server.
    pub fn note_online(&mut self, vm: &str, address: &str, in_flight: u32, now: Instant) {
        let Ok(index) = self.search(address) else {
            return;
        };
        let server = &mut self.servers[index];
        server.shares.record(vm, in_flight, now);
        server.note_burst(now);
    }

    /// Notes a server's own report of all its running requests.
    pub fn note_report(&mut self, address: &str, running: u32, now: Instant) {
        let Ok(index) = self.search(address) else {
            return;
        };
        let server = &mut self.servers[index];
        // The report may still count batch items that have ended since the one before.
        let online = running.saturating_sub(server.batch_peak);
        server.reported = Some((online, now));
        server.batch_peak = server.batch;
    }

    /// Takes a slot on the server with the most room, if any has room; `admits` limits the servers.
    pub fn take(&mut self, admits: impl Fn(&str) -> bool, now: Instant) -> Option<CompactString> {
        let rooms = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| admits(&server.address));
        let rooms =
            rooms.map(|(index, server)| (server.budget(now).saturating_sub(server.batch), index));
        let (room, index) = rooms.max_by_key(|&(room, index)| (room, std::cmp::Reverse(index)))?;
        if room == 0 {
            return None;
        }
        let server = &mut self.servers[index];
        server.batch += 1;
        server.batch_peak = server.batch_peak.max(server.batch);
        Some(server.address.clone())
    }

    /// Returns whether any server has room for batch.
    pub fn has_room(&self, now: Instant) -> bool {
        self.servers
            .iter()
            .any(|server| server.budget(now) > server.batch)
    }

    /// Gives a slot back.
    pub fn give_back(&mut self, address: &str) {
        if let Ok(index) = self.search(address) {
            let server = &mut self.servers[index];
            server.batch = server.batch.saturating_sub(1);
        }
    }

    /// Returns how many batch items a server runs above what it may.
    pub fn excess(&self, address: &str, now: Instant) -> u32 {
        let Ok(index) = self.search(address) else {
            return 0;
        };
        let server = &self.servers[index];
        server.batch.saturating_sub(server.budget(now))
    }

    /// Returns the addresses of the servers that are fed.
    pub fn addresses(&self) -> impl Iterator<Item = &CompactString> {
        self.servers.iter().map(|server| &server.address)
    }

    fn search(&self, address: &str) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|server| server.address.as_str().cmp(address))
    }
}

impl SpareServer {
    /// Returns how many batch items may run.
    fn budget(&self, now: Instant) -> u32 {
        self.slots
            .saturating_sub(self.online(now) + self.reserve(now))
    }

    fn online(&self, now: Instant) -> u32 {
        let shared = self.shares.total(now);
        let reported = self
            .reported
            .filter(|&(_, noted)| now < noted + REPORT_LIFETIME);
        shared.max(reported.map_or(0, |(online, _)| online))
    }

    /// Returns the slots kept free for arrivals: the largest recent rise within the yield window.
    fn reserve(&self, now: Instant) -> u32 {
        let most = (f64::from(self.slots) * RESERVE_SHARE).ceil();
        let reserve = self.burst_at(now).round().clamp(1.0, most.max(1.0));
        reserve as u32
    }

    fn burst_at(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.burst_noted)
            .as_secs_f64();
        self.burst * (-age * std::f64::consts::LN_2 / BURST_HALF_LIFE.as_secs_f64()).exp()
    }

    fn note_burst(&mut self, now: Instant) {
        let online = self.online(now);
        if now >= self.window_start + YIELD_WINDOW {
            self.window_start = now;
            self.window_least = online;
        }
        self.window_least = self.window_least.min(online);
        let rise = f64::from(online - self.window_least);
        if rise >= self.burst_at(now) {
            self.burst = rise;
            self.burst_noted = now;
        }
    }
}
