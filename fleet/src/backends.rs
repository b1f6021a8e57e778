//! Backend servers as this VM uses them: own requests, connections and recent failures.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            AtomicU32,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use arc_swap::ArcSwap;
use boragerill::{
    backend::{
        BackendServer,
        BackendTable, //
    },
    drain::{
        DrainAnnouncement,
        DrainTable, //
    },
    reachability::ReachabilityTable,
    route::ServerHealth,
    slot::{
        DemandTable,
        SlotDemand,
        SlotTable,
        SlotUsage,
        SlotView,
        FAILED_HOLD, //
    },
    sync::lock,
    timer::millis, //
};
use log::info;
use tokio::{
    sync::Notify,
    time::sleep, //
};

use crate::pool::{
    BackendConnection,
    ConnectionPool, //
};

/// Time for which a server is passed over after it failed to answer at all.
const SILENT_PENALTY: Duration = Duration::from_millis(1000);

/// Period of trying to reach a server to which no connection could be opened.
const PROBE_PERIOD: Duration = Duration::from_millis(300);

/// One backend server.
#[derive(Debug)]
pub(crate) struct BackendState {
    /// As it registered itself.
    pub(crate) server: BackendServer,
    /// Key by which VMs name it.
    pub(crate) key: u32,
    shared: Arc<BackendShared>,
}

/// What stays the same while the entry of one process of a server changes.
#[derive(Debug, Default)]
struct BackendShared {
    pool: ConnectionPool,
    online: AtomicU32,
    batch: AtomicU32,
    said_leaving: AtomicBool,
    health: Mutex<BackendHealth>,
}

#[derive(Debug, Default)]
struct BackendHealth {
    failures: ServerHealth,
    unreachable: bool, // Until a connection can be opened again.
    silent_until: Option<Instant>,
    crossed_until: Option<Instant>,
}

/// Which requests a counter counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestClass {
    /// Requests of callers.
    Online,
    /// Items of batch jobs.
    Batch,
}

/// The servers in use.
#[derive(Debug)]
pub(crate) struct BackendRegistry {
    table: Mutex<BackendTable>,
    servers: ArcSwap<Vec<Arc<BackendState>>>, // Sorted by id.
    places: Mutex<SlotTable>,
    demands: Mutex<DemandTable>,
    own_demands: Mutex<Vec<SlotDemand>>,
    reachability: Mutex<ReachabilityTable>,
    leaving: Mutex<DrainTable>,
    /// Signals that requests at servers have changed and others have to be told.
    pub(crate) changed: Notify,
    /// Signals that a place may have become free.
    pub(crate) freed: Notify,
    started: Instant,
}

impl Default for BackendRegistry {
    fn default() -> BackendRegistry {
        BackendRegistry {
            table: Mutex::default(),
            servers: ArcSwap::default(),
            places: Mutex::default(),
            demands: Mutex::default(),
            own_demands: Mutex::default(),
            reachability: Mutex::default(),
            leaving: Mutex::default(),
            changed: Notify::new(),
            freed: Notify::new(),
            started: Instant::now(),
        }
    }
}

impl BackendRegistry {
    /// Changes the table of entries and puts the outcome in use.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut BackendTable) -> T) -> T {
        let mut table = lock(&self.table);
        let result = change(&mut table);
        let known = self.servers.load();
        let servers: Vec<Arc<BackendState>> = table
            .servers()
            .map(|server| keep_state(&known, server))
            .collect();
        let leaving = lock(&self.leaving);
        for state in &servers {
            state.recall_leaving(&leaving);
        }
        self.servers.store(Arc::new(servers));
        drop(leaving);
        self.freed.notify_waiters();
        result
    }

    /// Reads the table of entries.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&BackendTable) -> T) -> T {
        read(&lock(&self.table))
    }

    /// Returns all servers in use.
    pub(crate) fn all(&self) -> Arc<Vec<Arc<BackendState>>> {
        self.servers.load_full()
    }

    /// Returns the servers of a service with their requests.
    pub(crate) fn views(
        &self,
        service: &str,
        domain: &str,
        now: Instant,
    ) -> (Vec<Arc<BackendState>>, Vec<SlotView>) {
        let servers = self.servers.load();
        let members = servers
            .iter()
            .filter(|state| state.server.service == service);
        let members: Vec<Arc<BackendState>> = members.cloned().collect();
        let places = lock(&self.places);
        let views = members
            .iter()
            .map(|state| self.view(state, domain, &places, now));
        let views = views.collect();
        (members, views)
    }

    /// Notes that a server's process said that it leaves; other VMs are told what is new.
    pub(crate) fn record_drain_announcement(&self, announcement: DrainAnnouncement) {
        let mut leaving = lock(&self.leaving);
        if !leaving.record(announcement) {
            return;
        }
        let servers = self.servers.load();
        for state in servers.iter() {
            state.recall_leaving(&leaving);
        }
        drop(leaving);
        let named = servers
            .iter()
            .find(|state| state.key == announcement.server);
        let id = named.map_or("unknown", |state| state.server.id.as_str());
        info!(server = id, start = announcement.start, source = announcement.source, age_ms = millis(announcement.received.elapsed()); "backend server says that it leaves");
        self.changed.notify_one();
    }

    /// Returns the servers' processes that said that they leave.
    pub(crate) fn drain_announcements(&self) -> Vec<DrainAnnouncement> {
        lock(&self.leaving).announcements().to_vec()
    }

    /// Forgets processes of servers that have left.
    pub(crate) fn prune_drain_announcements(&self, now: Instant) {
        let servers = self.servers.load();
        let is_listed = |key: u32, start: u64| {
            let mut servers = servers.iter();
            servers.any(|state| state.key == key && state.server.start == start)
        };
        lock(&self.leaving).remove_unlisted(is_listed, now);
    }

    /// Changes the reports of other VMs.
    pub(crate) fn update_slot_reports(&self, change: impl FnOnce(&mut SlotTable)) {
        change(&mut lock(&self.places));
        self.freed.notify_waiters();
    }

    /// Reads the reports of other VMs.
    pub(crate) fn read_slot_reports<T>(&self, read: impl FnOnce(&SlotTable) -> T) -> T {
        read(&lock(&self.places))
    }

    /// Takes over what another VM could start.
    pub(crate) fn record_demands(&self, vm: u64, demands: Vec<SlotDemand>, now: Instant) {
        lock(&self.demands).record(vm, demands, now);
    }

    /// Returns how many of the own items of a service may be started in free places.
    pub(crate) fn allowed_starts(&self, vm: u64, own: SlotDemand, free: u32, now: Instant) -> u32 {
        lock(&self.demands).allowed_starts(vm, own, free, now)
    }

    /// Replaces what this VM could start, to be told to the others.
    pub(crate) fn set_own_demands(&self, demands: Vec<SlotDemand>) {
        let mut own = lock(&self.own_demands);
        let same = own.len() == demands.len()
            && own
                .iter()
                .zip(&demands)
                .all(|(a, b)| a.service == b.service && a.waiting == b.waiting);
        *own = demands;
        if !same {
            self.changed.notify_one();
        }
    }

    /// Returns what this VM could start.
    pub(crate) fn own_demands(&self) -> Vec<SlotDemand> {
        lock(&self.own_demands).clone()
    }

    /// Counts a request at a server until the guard is dropped.
    pub(crate) fn track_request(
        self: &Arc<Self>,
        state: &Arc<BackendState>,
        kind: RequestClass,
    ) -> InFlightGuard {
        state.shared.counter(kind).fetch_add(1, Ordering::Relaxed);
        self.changed.notify_one();
        InFlightGuard {
            registry: self.clone(),
            shared: state.shared.clone(),
            kind,
            begun: Instant::now(),
        }
    }

    /// Notes that a server answered.
    pub(crate) fn record_success(&self, state: &BackendState) {
        let mut health = lock(&state.shared.health);
        health.failures.record_success();
        health.silent_until = None;
        drop(health);
        let domain = &state.server.domain;
        lock(&self.reachability).record_reachable(domain, state.key, Instant::now());
    }

    /// Notes that no connection to a server could be opened; it is passed over until one can. When its
    /// whole failure domain seems to be cut off, so are the other servers there.
    pub(crate) fn record_unreachable(self: &Arc<Self>, state: &Arc<BackendState>, now: Instant) {
        self.pass_over(state);
        let domain = &state.server.domain;
        if !lock(&self.reachability).record_unreachable(domain, state.key, now) {
            return;
        }
        for other in self.servers.load().iter() {
            if other.server.domain == *domain {
                self.pass_over(other);
            }
        }
    }

    /// Passes a server over until a connection to it can be opened.
    fn pass_over(self: &Arc<Self>, state: &Arc<BackendState>) {
        state.pool().clear();
        if std::mem::replace(&mut lock(&state.shared.health).unreachable, true) {
            return;
        }
        info!(server = state.server.id.as_str(), domain = state.server.domain.as_str(); "backend server passed over");
        tokio::spawn(probe(self.clone(), state.clone()));
    }

    /// Notes that a server failed a request or could not be reached.
    pub(crate) fn record_failure(&self, state: &BackendState, now: Instant) {
        lock(&state.shared.health)
            .failures
            .record_failure(self.age_ms(now));
    }

    /// Notes that a server stayed silent, or refused connections.
    pub(crate) fn record_timeout(&self, state: &BackendState, now: Instant) {
        let mut health = lock(&state.shared.health);
        health.silent_until = Some(now + SILENT_PENALTY);
        drop(health);
        state.pool().clear();
    }

    fn view(
        &self,
        state: &BackendState,
        domain: &str,
        places: &SlotTable,
        now: Instant,
    ) -> SlotView {
        let others = places.others(state.key, now);
        let own = state.used();
        let health = lock(&state.shared.health);
        let silent = health.silent_until.is_some_and(|until| now < until);
        SlotView {
            key: state.key,
            used: SlotUsage {
                online: own.online + others.online,
                batch: own.batch + others.batch,
            },
            slots: state.server.slots,
            local: state.server.domain == domain,
            leaving: state.is_draining(),
            ejected: silent || health.unreachable || health.failures.is_ejected(self.age_ms(now)),
        }
    }

    /// Returns the time since the start, by which failures are judged.
    fn age_ms(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.started))
    }
}

impl BackendState {
    /// Returns this VM's requests at the server.
    pub(crate) fn used(&self) -> SlotUsage {
        SlotUsage {
            online: self.shared.online.load(Ordering::Relaxed),
            batch: self.shared.batch.load(Ordering::Relaxed),
        }
    }

    /// Returns whether the server gets no new work: by its entry or by its own word.
    pub(crate) fn is_draining(&self) -> bool {
        self.server.leaving || self.shared.said_leaving.load(Ordering::Relaxed)
    }

    /// Puts in force what the server's process said before.
    fn recall_leaving(&self, table: &DrainTable) {
        if table.find(self.key, self.server.start).is_some() {
            self.shared.said_leaving.store(true, Ordering::Relaxed);
        }
    }

    /// Returns the idle connections.
    pub(crate) fn pool(&self) -> &ConnectionPool {
        &self.shared.pool
    }

    /// Notes that an answer on a kept connection belonged to another request.
    pub(crate) fn note_crossed(&self, until: Instant) {
        lock(&self.shared.health).crossed_until = Some(until);
        self.pool().clear();
    }

    /// Returns whether kept connections may hold answers to earlier requests.
    pub(crate) fn is_crossed(&self, now: Instant) -> bool {
        let health = lock(&self.shared.health);
        health.crossed_until.is_some_and(|until| now < until)
    }
}

impl BackendShared {
    fn counter(&self, kind: RequestClass) -> &AtomicU32 {
        match kind {
            RequestClass::Online => &self.online,
            RequestClass::Batch => &self.batch,
        }
    }
}

/// Tries to open a connection to a server until it can, or the server is gone.
async fn probe(registry: Arc<BackendRegistry>, state: Arc<BackendState>) {
    loop {
        sleep(PROBE_PERIOD).await;
        let servers = registry.servers.load_full();
        let known = servers
            .iter()
            .find(|known| known.server.id == state.server.id);
        if known.is_none_or(|known| !Arc::ptr_eq(&known.shared, &state.shared)) {
            return;
        }
        let Ok(connection) = BackendConnection::open(state.server.address).await else {
            continue;
        };
        let now = Instant::now();
        state.pool().put(connection, now);
        lock(&state.shared.health).unreachable = false;
        lock(&registry.reachability).record_reachable(&state.server.domain, state.key, now);
        info!(server = state.server.id.as_str(); "backend server reached again");
        registry.freed.notify_waiters();
        return;
    }
}

/// Returns the known state of a server, or a new one when it registered anew.
fn keep_state(known: &[Arc<BackendState>], server: &BackendServer) -> Arc<BackendState> {
    let found = known.binary_search_by(|state| state.server.id.cmp(&server.id));
    let shared = match found {
        Ok(index) if known[index].server == *server => return known[index].clone(),
        Ok(index) if is_same_process(&known[index].server, server) => known[index].shared.clone(),
        _ => Arc::default(),
    };
    Arc::new(BackendState {
        server: server.clone(),
        key: server.key(),
        shared,
    })
}

fn is_same_process(known: &BackendServer, server: &BackendServer) -> bool {
    known.address == server.address && known.start == server.start
}

/// Counts a request at a server until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    registry: Arc<BackendRegistry>,
    shared: Arc<BackendShared>,
    kind: RequestClass,
    begun: Instant,
}

impl InFlightGuard {
    /// Keeps the place of a request that failed counted for as long as a sound server takes.
    pub(crate) fn hold(mut self) {
        let rest = FAILED_HOLD.saturating_sub(self.age());
        if self.kind == RequestClass::Batch {
            // Nothing is left that could be paused.
            self.shared.online.fetch_add(1, Ordering::Relaxed);
            self.shared.batch.fetch_sub(1, Ordering::Relaxed);
            self.kind = RequestClass::Online;
        }
        tokio::spawn(async move {
            sleep(rest).await;
            drop(self);
        });
    }

    /// Returns for how long the request has held its place.
    pub(crate) fn age(&self) -> Duration {
        self.begun.elapsed()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared
            .counter(self.kind)
            .fetch_sub(1, Ordering::Relaxed);
        self.registry.changed.notify_one();
        self.registry.freed.notify_waiters();
    }
}
