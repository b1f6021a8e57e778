//! Registry of the backend servers, with this VM's requests in flight, connections and health checks.

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
    cell::{
        choose_fallback,
        CellMap, //
    },
    drain::{
        DrainAnnouncement,
        DrainTable, //
    },
    rank::hash_name,
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
    stream_version::{
        version_key,
        ServiceKey,
        VersionHistory,
        VersionKey, //
    },
    sync::lock,
    timer::millis,
    warmup::WarmupCause, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use log::info;
use tokio::{
    sync::Notify,
    time::sleep, //
};

use crate::{
    crash_watch::LostRequest,
    pool::{
        BackendConnection,
        ConnectionPool, //
    },
    server_limits::LimitRegistry, //
};

/// Time for which a server is ejected after a timeout.
const TIMEOUT_EJECTION: Duration = Duration::from_millis(1000);

/// Shortest silence for which a server is ejected when a request reaches its deadline.
const MIN_SILENCE: Duration = Duration::from_millis(700);

/// Time within which an item that left a server has started at another one.
const MOVE_TIME: Duration = Duration::from_millis(1000);

/// Interval between connection attempts to an unreachable server.
const PROBE_PERIOD: Duration = Duration::from_millis(300);

/// One backend server.
#[derive(Debug)]
pub(crate) struct BackendState {
    /// Registered entry.
    pub(crate) server: BackendServer,
    /// Key that identifies the server in messages between VMs.
    pub(crate) key: u32,
    /// Key of the version of its software.
    pub(crate) version: VersionKey,
    shared: Arc<BackendShared>,
}

/// State that is kept when the entry of the same server process changes.
#[derive(Debug, Default)]
struct BackendShared {
    pool: ConnectionPool,
    online: AtomicU32,
    batch: AtomicU32,
    claims: AtomicU32, // Online requests that are counted but haven't been sent.
    drain_announced: AtomicBool,
    evacuated: AtomicBool,        // Whether its failure domain is evacuated.
    misdirected: AtomicBool,      // Whether another server was met at the address.
    health_check_due: AtomicBool, // Whether it has to be asked for its remaining warm-up time.
    health: Mutex<BackendHealth>,
    lost: Mutex<Vec<LostRequest>>, // Until it is known whether the process has crashed.
}

/// Health checks of a server process.
#[derive(Debug, Default)]
struct BackendHealth {
    failures: ServerHealth,
    unreachable: bool, // Until a connection can be opened.
    timed_out_until: Option<Instant>,
    last_success: Option<Instant>,
    moves: Vec<Instant>, // When items left the server for a free slot elsewhere.
    mismatched_until: Option<Instant>, // Idle connections may deliver mismatched responses.
}

/// Classes of requests that are counted separately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestClass {
    /// Requests of callers.
    Online,
    /// Items of batch jobs.
    Batch,
}

impl RequestClass {
    /// Returns the name used in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            RequestClass::Online => "online",
            RequestClass::Batch => "batch",
        }
    }
}

/// Registry of the backend servers.
#[derive(Debug)]
pub(crate) struct BackendRegistry {
    table: Mutex<BackendTable>,
    servers: ArcSwap<Vec<Arc<BackendState>>>, // Sorted by id.
    cell: ArcSwap<CellMap>,
    cell_servers: ArcSwap<Vec<Arc<BackendState>>>, // Sorted by id.
    slot_reports: Mutex<SlotTable>,
    demands: Mutex<DemandTable>,
    evacuated: Mutex<Vec<CompactString>>, // Names of the evacuated failure domains, sorted.
    own_demands: Mutex<Vec<SlotDemand>>,
    reachability: Mutex<ReachabilityTable>,
    drains: Mutex<DrainTable>,
    versions: Mutex<VersionHistory>,
    has_settling: AtomicBool, // Whether the history has versions that aren't settled.
    /// Signals that the next heartbeat has changes to report.
    pub(crate) changed: Notify,
    /// Signals that a version of the servers' software has come or gone.
    pub(crate) versions_changed: Notify,
    /// Signals that a slot may have been freed.
    pub(crate) slot_freed: Notify,
    started: Instant,
    limits: Arc<LimitRegistry>,
}

impl BackendRegistry {
    /// Returns a registry without servers, whose warm-ups are recorded in `limits`.
    pub(crate) fn new(limits: Arc<LimitRegistry>) -> BackendRegistry {
        BackendRegistry {
            limits,
            table: Mutex::default(),
            servers: ArcSwap::default(),
            cell: ArcSwap::default(),
            cell_servers: ArcSwap::default(),
            slot_reports: Mutex::default(),
            demands: Mutex::default(),
            evacuated: Mutex::default(),
            own_demands: Mutex::default(),
            reachability: Mutex::default(),
            drains: Mutex::default(),
            versions: Mutex::new(VersionHistory::new(Instant::now())),
            has_settling: AtomicBool::new(false),
            versions_changed: Notify::new(),
            changed: Notify::new(),
            slot_freed: Notify::new(),
            started: Instant::now(),
        }
    }

    /// Changes the table of entries and applies the result.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut BackendTable) -> T) -> T {
        let mut table = lock(&self.table);
        let result = change(&mut table);
        let known = self.servers.load();
        let servers: Vec<Arc<BackendState>> = table
            .servers()
            .map(|server| reuse_state(&known, server))
            .collect();
        let is_listed = table.through() > 0;
        if is_listed {
            let names = table
                .servers()
                .map(|server| (server.key(), server.id.clone()));
            self.limits
                .observe_servers(table.processes(), names, Instant::now());
        }
        let drains = lock(&self.drains);
        let evacuated = lock(&self.evacuated);
        for state in &servers {
            state.apply_drain_table(&drains);
            state.apply_evacuations(&evacuated);
        }
        self.servers.store(Arc::new(servers));
        drop((drains, evacuated));
        self.select_cell_servers();
        if is_listed {
            self.observe_listed(None, Instant::now());
        }
        self.slot_freed.notify_waiters();
        result
    }

    /// Returns the division of the fleet into cells.
    pub(crate) fn cell(&self) -> Arc<CellMap> {
        self.cell.load_full()
    }

    /// Replaces the division of the fleet into cells.
    pub(crate) fn set_cell(&self, map: CellMap) {
        // `update` selects the servers under the same lock.
        let _table = lock(&self.table);
        self.cell.store(Arc::new(map));
        self.select_cell_servers();
    }

    fn select_cell_servers(&self) {
        let cell = self.cell.load();
        let all = self.servers.load_full();
        let selected = match cell.is_divided() {
            false => all,
            true => {
                let selected = all.iter().filter(|state| cell.has_server(state.key));
                Arc::new(selected.cloned().collect())
            }
        };
        self.cell_servers.store(selected);
    }

    /// Returns a random server of another cell that takes requests, and a view of it. `is_usable` tells whether the server
    /// may be used.
    pub(crate) fn fallback_view(
        &self,
        (service, version): (&str, Option<VersionKey>),
        domain: &str,
        is_usable: impl Fn(&BackendState) -> bool,
        now: Instant,
    ) -> Option<(Arc<BackendState>, SlotView)> {
        let cell = self.cell.load();
        if !cell.is_divided() {
            return None;
        }
        let servers = self.servers.load();
        let reports = lock(&self.slot_reports);
        let position = choose_fallback(servers.len(), rand::random(), |position| {
            let state = &servers[position];
            let fits = state.server.service == service
                && version.is_none_or(|version| state.version == version)
                && !cell.has_server(state.key)
                && is_usable(state);
            let view = fits.then(|| self.view(state, domain, &reports, now));
            view.is_some_and(|view| {
                !view.leaving && !view.ejected && view.used.total() < view.slots
            })
        })?;
        let state = servers[position].clone();
        let view = self.view(&state, domain, &reports, now);
        Some((state, view))
    }

    /// Records the versions of the registered servers, if they are known yet. Their list was last confirmed at `confirmed`.
    pub(crate) fn observe_versions(&self, confirmed: Option<Instant>, now: Instant) {
        if self.read(BackendTable::through) > 0 {
            self.observe_listed(confirmed, now);
        }
    }

    fn observe_listed(&self, confirmed: Option<Instant>, now: Instant) {
        let servers = self.servers.load();
        let registered = servers
            .iter()
            .map(|state| (hash_name(&state.server.service), state.version));
        let mut has_changed = false;
        self.update_versions(|history| has_changed = history.observe(registered, confirmed, now));
        if has_changed {
            self.versions_changed.notify_one();
            self.changed.notify_one();
        }
    }

    /// Returns whether streams of more than one version of a service may be taken up now.
    pub(crate) fn has_mixed_versions(&self, service: ServiceKey) -> bool {
        lock(&self.versions).is_mixed(service)
    }

    /// Returns the only version that can have begun a stream of a service, if there is only one and the list of servers
    /// was confirmed lately, at `confirmed`.
    pub(crate) fn sole_version(
        &self,
        service: ServiceKey,
        confirmed: Option<Instant>,
    ) -> Option<VersionKey> {
        lock(&self.versions).sole_version(service, confirmed, Instant::now())
    }

    /// Returns whether some VM may not know a version yet.
    pub(crate) fn has_settling_versions(&self) -> bool {
        self.has_settling.load(Ordering::Relaxed)
    }

    /// Reads the history of versions.
    pub(crate) fn read_versions<T>(&self, read: impl FnOnce(&VersionHistory) -> T) -> T {
        read(&lock(&self.versions))
    }

    /// Changes the history of versions.
    pub(crate) fn update_versions(&self, change: impl FnOnce(&mut VersionHistory)) {
        let mut versions = lock(&self.versions);
        change(&mut versions);
        let has_settling = versions.has_settling();
        self.has_settling.store(has_settling, Ordering::Relaxed);
    }

    /// Returns the name of a version, for logs.
    pub(crate) fn version_name(&self, version: VersionKey) -> CompactString {
        let servers = self.servers.load();
        let named = servers.iter().find(|state| state.version == version);
        named.map_or_else(
            || format_compact!("{version:x}"),
            |state| state.server.version.clone(),
        )
    }

    /// Returns whether a server of a version takes new requests.
    pub(crate) fn has_server(&self, version: VersionKey) -> bool {
        let servers = self.servers.load();
        let mut servers = servers.iter();
        servers.any(|state| state.version == version && state.takes_work())
    }

    /// Returns whether a server of a version and service takes new requests.
    pub(crate) fn has_service_version(&self, service: &str, version: VersionKey) -> bool {
        let servers = self.servers.load();
        let mut servers = servers.iter();
        servers.any(|state| {
            state.version == version && state.server.service == service && state.takes_work()
        })
    }

    /// Reads the table of entries.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&BackendTable) -> T) -> T {
        read(&lock(&self.table))
    }

    /// Returns all servers.
    pub(crate) fn all(&self) -> Arc<Vec<Arc<BackendState>>> {
        self.servers.load_full()
    }

    /// Returns the servers of a service in the own cell, of one version if it is given, and a view of the load and health
    /// of each.
    pub(crate) fn views(
        &self,
        service: &str,
        version: Option<VersionKey>,
        domain: &str,
        now: Instant,
    ) -> (Vec<Arc<BackendState>>, Vec<SlotView>) {
        let servers = self.cell_servers.load();
        let selected = servers
            .iter()
            .filter(|state| state.server.service == service)
            .filter(|state| version.is_none_or(|version| state.version == version));
        let selected: Vec<Arc<BackendState>> = selected.cloned().collect();
        let reports = lock(&self.slot_reports);
        let views = selected
            .iter()
            .map(|state| self.view(state, domain, &reports, now));
        let views = views.collect();
        (selected, views)
    }

    /// Replaces the names of the evacuated failure domains by those that `read` returns, sorted. Of two calls at once, the
    /// one that reads the newer list takes effect last.
    pub(crate) fn update_evacuated(&self, read: impl FnOnce() -> Vec<CompactString>) {
        let mut evacuated = lock(&self.evacuated);
        *evacuated = read();
        for state in self.servers.load().iter() {
            state.apply_evacuations(&evacuated);
        }
        drop(evacuated);
        // Requests that wait for a slot choose again, or are refused.
        self.slot_freed.notify_waiters();
    }

    /// Returns whether any server is registered in a failure domain.
    pub(crate) fn has_domain(&self, domain: &str) -> bool {
        let servers = self.servers.load();
        let mut servers = servers.iter();
        servers.any(|state| state.server.domain == domain)
    }

    /// Records that a server's process announced that it is draining, and reports new announcements to other
    /// VMs.
    pub(crate) fn record_drain_announcement(&self, announcement: DrainAnnouncement) {
        let mut drains = lock(&self.drains);
        if !drains.record(announcement) {
            return;
        }
        let servers = self.servers.load();
        for state in servers.iter() {
            state.apply_drain_table(&drains);
        }
        drop(drains);
        let named = servers
            .iter()
            .find(|state| state.key == announcement.server);
        let id = named.map_or("unknown", |state| state.server.id.as_str());
        info!(server = id, start = announcement.start, source = announcement.source, age_ms = millis(announcement.received.elapsed()); "backend server draining");
        self.changed.notify_one();
    }

    /// Returns all known drain announcements.
    pub(crate) fn drain_announcements(&self) -> Vec<DrainAnnouncement> {
        lock(&self.drains).announcements().to_vec()
    }

    /// Removes the announcements of processes that have not been registered for some time.
    pub(crate) fn prune_drain_announcements(&self, now: Instant) {
        let servers = self.servers.load();
        let is_listed = |key: u32, start: u64| {
            let mut servers = servers.iter();
            servers.any(|state| state.key == key && state.server.start == start)
        };
        lock(&self.drains).remove_unlisted(is_listed, now);
    }

    /// Changes the other VMs' reports of slots in use.
    pub(crate) fn update_slot_reports(&self, change: impl FnOnce(&mut SlotTable)) {
        change(&mut lock(&self.slot_reports));
        self.slot_freed.notify_waiters();
    }

    /// Reads the other VMs' reports of slots in use.
    pub(crate) fn read_slot_reports<T>(&self, read: impl FnOnce(&SlotTable) -> T) -> T {
        read(&lock(&self.slot_reports))
    }

    /// Records the batch items that another VM could start.
    pub(crate) fn record_demands(&self, vm: u64, demands: Vec<SlotDemand>, now: Instant) {
        lock(&self.demands).record(vm, demands, now);
    }

    /// Reads the batch items that the other VMs could start.
    pub(crate) fn read_demands<T>(&self, read: impl FnOnce(&DemandTable) -> T) -> T {
        read(&lock(&self.demands))
    }

    /// Replaces the batch items that this VM could start, for the next heartbeat.
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

    /// Returns the batch items that this VM could start.
    pub(crate) fn own_demands(&self) -> Vec<SlotDemand> {
        lock(&self.own_demands).clone()
    }

    /// Counts a request as in flight at a server until the guard is dropped.
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
            is_claim: false,
            started: Instant::now(),
        }
    }

    /// Counts an online request at a server before it is sent.
    pub(crate) fn track_claim(self: &Arc<Self>, state: &Arc<BackendState>) -> InFlightGuard {
        state.shared.claims.fetch_add(1, Ordering::Relaxed);
        let mut claim = self.track_request(state, RequestClass::Online);
        claim.is_claim = true;
        claim
    }

    /// Records a successful response of a server.
    pub(crate) fn record_success(&self, state: &BackendState) {
        let now = Instant::now();
        let mut health = lock(&state.shared.health);
        health.failures.record_success();
        health.timed_out_until = None;
        health.last_success = Some(now);
        drop(health);
        let domain = &state.server.domain;
        lock(&self.reachability).record_reachable(domain, state.key, now);
    }

    /// Records that no connection to a server could be opened, and ejects the server until one can be opened.
    /// If its failure domain seems to be partitioned, all other servers of the domain are ejected as well.
    pub(crate) fn record_unreachable(self: &Arc<Self>, state: &Arc<BackendState>, now: Instant) {
        self.eject(state);
        let domain = &state.server.domain;
        if !lock(&self.reachability).record_unreachable(domain, state.key, now) {
            return;
        }
        for other in self.cell_servers.load().iter() {
            if other.server.domain == *domain {
                self.eject(other);
            }
        }
    }

    /// Ejects a server until a connection to it can be opened.
    fn eject(self: &Arc<Self>, state: &Arc<BackendState>) {
        state.pool().clear();
        if std::mem::replace(&mut lock(&state.shared.health).unreachable, true) {
            return;
        }
        info!(server = state.server.id.as_str(), domain = state.server.domain.as_str(); "backend server ejected");
        tokio::spawn(probe(self.clone(), state.clone()));
    }

    /// Counts the processes of servers as warming up for the time of their service, and reports it to the other VMs. An
    /// entry of a higher revision than the one known now ends the warm-up of its process if it states that there is none.
    /// Without effect in services that don't configure a rate of servers that warm up.
    ///
    /// To be called before a request may be sent to a server that was unreachable, and, with
    /// [`WarmupCause::Evacuated`], for the servers of a failure domain before they are used again after its evacuation.
    pub(crate) fn begin_warmup<'a>(
        &self,
        servers: impl IntoIterator<Item = &'a BackendState>,
        cause: WarmupCause,
    ) {
        self.limits.begin_warmup(servers, cause);
        self.changed.notify_one();
    }

    /// Records that a server failed a request.
    pub(crate) fn record_failure(&self, state: &BackendState, now: Instant) {
        lock(&state.shared.health)
            .failures
            .record_failure(self.age_ms(now));
    }

    /// Records that a server didn't respond in time or that its stream broke off, and ejects it for a short
    /// time.
    pub(crate) fn record_timeout(&self, state: &BackendState, now: Instant) {
        let mut health = lock(&state.shared.health);
        health.timed_out_until = Some(now + TIMEOUT_EJECTION);
        drop(health);
        state.pool().clear();
    }

    /// Records that a request has waited in vain for a server that has sent nothing of its response since `since`. The
    /// server is ejected only if it was silent for long and sent nothing to any other request meanwhile: a deadline may
    /// be short, and one run may hang.
    pub(crate) fn record_silence(&self, state: &BackendState, since: Instant, now: Instant) {
        let responded = lock(&state.shared.health).last_success;
        let is_silent = responded.is_none_or(|success| success < since);
        if is_silent && now.saturating_duration_since(since) >= MIN_SILENCE {
            self.record_timeout(state, now);
        }
    }

    /// Returns whether an item may leave a server while `free` slots are free elsewhere, and counts it. An item that has
    /// left takes its slot within [`MOVE_TIME`].
    pub(crate) fn admit_move(&self, state: &BackendState, free: u32, now: Instant) -> bool {
        let mut health = lock(&state.shared.health);
        let is_recent = |moved: &Instant| now.saturating_duration_since(*moved) < MOVE_TIME;
        health.moves.retain(is_recent);
        let admitted = health.moves.len() < usize::try_from(free).unwrap_or(usize::MAX);
        if admitted {
            health.moves.push(now);
        }
        admitted
    }

    /// Records that a server sent events of a stream.
    pub(crate) fn record_activity(&self, state: &BackendState) {
        lock(&state.shared.health).last_success = Some(Instant::now());
    }

    /// Records that a server that was silent responds again.
    pub(crate) fn record_recovery(&self, state: &BackendState) {
        lock(&state.shared.health).timed_out_until = None;
        self.slot_freed.notify_waiters();
    }

    /// Returns a server's state as the choice of a server sees it: the load from all VMs, and health.
    fn view(
        &self,
        state: &BackendState,
        domain: &str,
        reports: &SlotTable,
        now: Instant,
    ) -> SlotView {
        let others = reports.others(state.key, now);
        let own = state.used();
        let health = lock(&state.shared.health);
        let timed_out = health.timed_out_until.is_some_and(|until| now < until);
        SlotView {
            key: state.key,
            used: SlotUsage {
                online: own.online + others.online,
                batch: own.batch + others.batch,
            },
            slots: state.server.slots,
            local: state.server.domain == domain,
            leaving: !state.takes_work() || state.shared.misdirected.load(Ordering::Relaxed),
            ejected: timed_out
                || health.unreachable
                || health.failures.is_ejected(self.age_ms(now)),
            ..SlotView::default()
        }
    }

    /// Returns the time since the start of the process, as the clock of the health checks.
    fn age_ms(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.started))
    }
}

impl BackendState {
    /// Returns this VM's requests in flight at the server.
    pub(crate) fn used(&self) -> SlotUsage {
        SlotUsage {
            online: self.shared.online.load(Ordering::Relaxed),
            batch: self.shared.batch.load(Ordering::Relaxed),
        }
    }

    /// Returns whether no connection to the server could be opened since one last failed.
    pub(crate) fn is_unreachable(&self) -> bool {
        lock(&self.shared.health).unreachable
    }

    /// Returns this VM's requests that the server can know of: those in flight without the claims.
    pub(crate) fn sent(&self) -> u32 {
        let claims = self.shared.claims.load(Ordering::Relaxed);
        self.used().total().saturating_sub(claims)
    }

    /// Returns whether the server takes no new work, by its entry or by its own announcement.
    pub(crate) fn is_draining(&self) -> bool {
        self.server.leaving || self.shared.drain_announced.load(Ordering::Relaxed)
    }

    /// Returns whether the failure domain of the server is evacuated. Requests that run there are completed, but nothing
    /// new is sent.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.shared.evacuated.load(Ordering::Relaxed)
    }

    /// Returns whether the server may get new requests.
    pub(crate) fn takes_work(&self) -> bool {
        !self.is_draining() && !self.is_evacuated()
    }

    /// Records whether the server's failure domain is among the evacuated ones, which are sorted.
    fn apply_evacuations(&self, evacuated: &[CompactString]) {
        let is_evacuated = evacuated.binary_search(&self.server.domain).is_ok();
        self.shared.evacuated.store(is_evacuated, Ordering::Relaxed);
    }

    /// Marks the server as draining if the table holds an announcement of its process.
    fn apply_drain_table(&self, table: &DrainTable) {
        if table.find(self.key, self.server.start).is_some() {
            self.shared.drain_announced.store(true, Ordering::Relaxed);
        }
    }

    /// Returns whether the server has to be asked for its remaining warm-up time, once.
    pub(crate) fn take_health_check(&self) -> bool {
        self.shared.health_check_due.swap(false, Ordering::Relaxed)
    }

    /// Returns the pool of idle connections.
    pub(crate) fn pool(&self) -> &ConnectionPool {
        &self.shared.pool
    }

    /// Adds a lost request, and returns whether it is the first one of a new check of the process.
    pub(crate) fn add_lost_request(&self, request: LostRequest) -> bool {
        let mut lost = lock(&self.shared.lost);
        lost.push(request);
        lost.len() == 1
    }

    /// Ends a check of the process and returns the lost requests.
    pub(crate) fn take_lost_requests(&self) -> Vec<LostRequest> {
        std::mem::take(&mut lock(&self.shared.lost))
    }

    /// Records that another server listens at the address: this process is gone.
    pub(crate) fn record_misdirection(&self) {
        self.shared.misdirected.store(true, Ordering::Relaxed);
    }

    /// Records that a response on a reused connection belonged to another request.
    pub(crate) fn record_mismatch(&self, until: Instant) {
        lock(&self.shared.health).mismatched_until = Some(until);
        self.pool().clear();
    }

    /// Returns whether idle connections may deliver responses to earlier requests.
    pub(crate) fn has_recent_mismatch(&self, now: Instant) -> bool {
        let health = lock(&self.shared.health);
        health.mismatched_until.is_some_and(|until| now < until)
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

/// Tries to open a connection to an ejected server until that succeeds or its process is no longer registered.
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
        // Its process may have started anew, which its entry may not tell yet.
        registry.begin_warmup([state.as_ref()], WarmupCause::Reconnected);
        let warms_up = registry.limits.warms_up(&state.server.service);
        state
            .shared
            .health_check_due
            .store(warms_up, Ordering::Relaxed);
        let now = Instant::now();
        state.pool().put(connection, now);
        lock(&state.shared.health).unreachable = false;
        lock(&registry.reachability).record_reachable(&state.server.domain, state.key, now);
        info!(server = state.server.id.as_str(); "backend server reachable again");
        registry.slot_freed.notify_waiters();
        return;
    }
}

/// Returns the state for a server's entry, which keeps counts and connections if the process is the same.
fn reuse_state(known: &[Arc<BackendState>], server: &BackendServer) -> Arc<BackendState> {
    let found = known.binary_search_by(|state| state.server.id.cmp(&server.id));
    let shared = match found {
        Ok(index) if known[index].server == *server => return known[index].clone(),
        Ok(index) if is_same_process(&known[index].server, server) => known[index].shared.clone(),
        _ => Arc::default(),
    };
    Arc::new(BackendState {
        server: server.clone(),
        key: server.key(),
        version: version_key(&server.service, &server.version),
        shared,
    })
}

/// Returns whether two entries of a server belong to the same process.
fn is_same_process(known: &BackendServer, server: &BackendServer) -> bool {
    known.address == server.address && known.start == server.start
}

/// Counts a request as in flight at a server until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    registry: Arc<BackendRegistry>,
    shared: Arc<BackendShared>,
    kind: RequestClass,
    is_claim: bool, // Whether the request hasn't been sent.
    started: Instant,
}

impl InFlightGuard {
    /// Keeps counting the slot of a failed request until [`FAILED_HOLD`] after its start, about as long as a
    /// healthy server takes for a request. A server that fails requests at once would otherwise look idle and
    /// attract more of them.
    pub(crate) fn hold_slot(mut self) {
        let rest = FAILED_HOLD.saturating_sub(self.age());
        if self.kind == RequestClass::Batch {
            // The item's run has ended and can't be preempted, so its slot counts as an online one.
            self.shared.online.fetch_add(1, Ordering::Relaxed);
            self.shared.batch.fetch_sub(1, Ordering::Relaxed);
            self.kind = RequestClass::Online;
        }
        tokio::spawn(async move {
            sleep(rest).await;
            drop(self);
        });
    }

    /// Returns the guard for a request that is sent now and has been counted before.
    pub(crate) fn begin_request(mut self) -> InFlightGuard {
        self.end_claim();
        self.started = Instant::now();
        self
    }

    fn end_claim(&mut self) {
        if std::mem::take(&mut self.is_claim) {
            self.shared.claims.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Returns for how long the request has held its slot.
    pub(crate) fn age(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end_claim();
        self.shared
            .counter(self.kind)
            .fetch_sub(1, Ordering::Relaxed);
        self.registry.changed.notify_one();
        self.registry.slot_freed.notify_waiters();
    }
}
