//! Load and health of backend servers, as known to this process.

use std::{
    sync::{
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Instant,
};

use arc_swap::ArcSwap;
use boragerill::{
    generated::messages::LoadTotals,
    rank::hash_name,
    route::{
        ServerHealth,
        ServerView, //
    },
    snapshot::{
        ServerRecord,
        ServiceRecord, //
    },
    timer::millis, //
};
use compact_str::CompactString;
use tokio::sync::Notify;

/// Fraction of a server's slots, as a divisor, by which online requests may exceed the slots.
const OVERCOMMIT_DIVISOR: u32 = 4;

/// Age from which on a known load of other VMs is ignored, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2000;

/// Load and health of one server.
#[derive(Debug, Default)]
pub(crate) struct ServerState {
    in_flight: AtomicU32,
    reported_in_flight: AtomicU32, // As last reported to the server's feeder.
    peer_load: AtomicU32,          // Requests of other VMs, by the server's last load header.
    peer_load_ms: AtomicU64,       // Time of the last load header, since the table was created.
    peer_online_load: AtomicU32,   // Online requests of other VMs, by the feeder's last totals.
    peer_online_load_ms: AtomicU64, // Time of the last totals, since the table was created.
    health: Mutex<ServerHealth>,
}

type ServerEntries = Vec<(CompactString, Arc<ServerState>)>; // Sorted by address.

/// States of all servers that were looked up since the process started.
#[derive(Debug)]
pub(crate) struct ServerTable {
    entries: ArcSwap<ServerEntries>,
    changed: Arc<Notify>,
    started: Instant,
}

impl Default for ServerTable {
    fn default() -> ServerTable {
        ServerTable {
            entries: ArcSwap::default(),
            changed: Arc::default(),
            started: Instant::now(),
        }
    }
}

impl ServerTable {
    /// Returns the state of a server, and creates the state on the first look-up.
    pub(crate) fn state(&self, address: &str) -> Arc<ServerState> {
        let entries = self.entries.load();
        if let Ok(index) = search(&entries, address) {
            return entries[index].1.clone();
        }
        drop(entries);
        self.entries.rcu(|entries| {
            let mut entries = ServerEntries::clone(entries);
            if let Err(index) = search(&entries, address) {
                entries.insert(index, (address.into(), Arc::default()));
            }
            entries
        });
        self.state(address)
    }

    /// Returns the servers of a service in the form that `route::choose` takes.
    pub(crate) fn views(&self, service: &ServiceRecord, domain: &str) -> Vec<ServerView> {
        let now_ms = self.now_ms();
        service
            .servers
            .iter()
            .map(|server| self.view(server, domain, now_ms))
            .collect()
    }

    /// Counts a request as in flight on a server until the returned guard is dropped.
    pub(crate) fn track_request(&self, address: &str) -> InFlightGuard {
        let state = self.state(address);
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_one();
        InFlightGuard {
            state,
            changed: self.changed.clone(),
        }
    }

    /// Waits until the requests in flight on any server have changed since the last wait.
    pub(crate) async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Returns the requests in flight on a server if they have to be reported to its feeder, and records
    /// them as reported.
    pub(crate) fn load_to_report(&self, address: &str, scope: ReportScope) -> Option<u32> {
        let entries = self.entries.load();
        let state = &entries[search(&entries, address).ok()?].1;
        let in_flight = state.in_flight.load(Ordering::Relaxed);
        let reported_in_flight = state.reported_in_flight.swap(in_flight, Ordering::Relaxed);
        let repeats = match scope {
            ReportScope::Changed => false,
            ReportScope::InFlight => in_flight > 0,
            ReportScope::All => true,
        };
        (repeats || in_flight != reported_in_flight).then_some(in_flight)
    }

    /// Returns how many requests of this process may run on a service: the overcommitted slots of its
    /// servers that accept new requests, less the online requests of other VMs.
    ///
    /// Batch items don't count, since batch yields to online requests.
    pub(crate) fn capacity(&self, service: &ServiceRecord) -> u32 {
        let now_ms = self.now_ms();
        let accepting = service.servers.iter().filter(|server| !server.leaving);
        let free_slots = accepting.map(|server| {
            let state = self.state(&server.address);
            overcommitted_slots(server.slots).saturating_sub(state.peer_online_load_at(now_ms))
        });
        free_slots.sum::<u32>().max(1)
    }

    /// Records the online requests of all VMs on the servers in this process's load reports.
    pub(crate) fn record_totals(&self, totals: LoadTotals) {
        let now_ms = self.now_ms();
        for server in totals.servers {
            let state = self.state(&server.address);
            let own = state.reported_in_flight.load(Ordering::Relaxed);
            state
                .peer_online_load
                .store(server.in_flight.saturating_sub(own), Ordering::Relaxed);
            state.peer_online_load_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    /// Updates a server's health after an attempt.
    pub(crate) fn record_outcome(&self, state: &ServerState, succeeded: bool) {
        let now_ms = self.now_ms();
        let mut health = state.lock_health();
        if succeeded {
            health.record_success();
        } else {
            health.record_failure(now_ms);
        }
    }

    /// Records the number of running requests from a server's load header.
    pub(crate) fn record_server_load(&self, state: &ServerState, running: u32) {
        let own = state.in_flight.load(Ordering::Relaxed);
        state
            .peer_load
            .store(running.saturating_sub(own), Ordering::Relaxed);
        state.peer_load_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    fn view(&self, server: &ServerRecord, domain: &str, now_ms: u64) -> ServerView {
        let state = self.state(&server.address);
        let ejected = state.lock_health().is_ejected(now_ms);
        ServerView {
            hash: hash_name(&server.address),
            local: server.domain == domain,
            leaving: server.leaving,
            ejected,
            load: state.in_flight.load(Ordering::Relaxed) + state.peer_load_at(now_ms),
            slots: server.slots,
        }
    }

    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }
}

impl ServerState {
    /// Returns the online requests of other VMs, or all their requests by the server's load header if
    /// the feeder's totals are too old.
    fn peer_online_load_at(&self, now_ms: u64) -> u32 {
        if now_ms < self.peer_online_load_ms.load(Ordering::Relaxed) + MAX_LOAD_AGE_MS {
            return self.peer_online_load.load(Ordering::Relaxed);
        }
        self.peer_load_at(now_ms)
    }

    /// Returns the requests of other VMs by the server's load header, or zero if the header is too old.
    fn peer_load_at(&self, now_ms: u64) -> u32 {
        let is_fresh = now_ms < self.peer_load_ms.load(Ordering::Relaxed) + MAX_LOAD_AGE_MS;
        if is_fresh {
            self.peer_load.load(Ordering::Relaxed)
        } else {
            0
        }
    }

    fn lock_health(&self) -> MutexGuard<'_, ServerHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Which servers' loads are reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReportScope {
    /// Those whose load has changed.
    Changed,
    /// Those whose load has changed or that have requests in flight.
    InFlight,
    /// All. The feeders respond with the totals of all VMs, which waiting requests need.
    All,
}

/// Counts an attempt as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    state: Arc<ServerState>,
    changed: Arc<Notify>,
}

impl InFlightGuard {
    /// Returns the server's state.
    pub(crate) fn state(&self) -> &ServerState {
        &self.state
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.changed.notify_one();
    }
}

/// Returns the number of online requests that a server may run before further ones wait.
///
/// Engines use continuous batching, so a few requests beyond the slots slow each request a little. That
/// costs less than letting requests wait for free slots because the known totals lag.
fn overcommitted_slots(slots: u32) -> u32 {
    slots + slots.div_ceil(OVERCOMMIT_DIVISOR)
}

fn search(entries: &ServerEntries, address: &str) -> Result<usize, usize> {
    entries.binary_search_by(|entry| entry.0.as_str().cmp(address))
}
