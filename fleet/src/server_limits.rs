//! Registry of the limits that backend servers state in their responses and of their warm-ups, shared by all VMs through
//! heartbeats.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    backend::ServerId,
    catalog::CatalogService,
    generated::messages::{
        Heartbeat,
        LimitNotice,
        LimitUsage, //
    },
    member::MemberTable,
    rank::hash_name,
    rate_limiter::FleetView,
    send_tables::{
        SendTables,
        SendToken, //
    },
    server_limit::{
        LimitChange,
        LimitStatement,
        ProcessKey,
        SendAdmission,
        SendClass,
        SendReport,
        SendTerms, //
    },
    slot::SlotView,
    sync::lock,
    timer::millis,
    warmup::{
        ListedProcess,
        ProcessWarmup,
        WarmupCause,
        WarmupGate,
        WarmupReport,
        WarmupTolerance, //
    }, //
};
use log::info;
use metrics::{
    counter,
    gauge, //
};

use crate::{
    backends::{
        BackendState,
        InFlightGuard,
        RequestClass, //
    },
    timestamps::{
        age_us,
        time_before, //
    }, //
};

/// Largest number of warm-ups in a heartbeat, so that it fits into a datagram; the list of servers states the others.
const MAX_WARMUP_NOTICES: usize = 256;

/// Age of the statement in notices of processes that haven't stated a limit: older than any statement.
const NO_STATEMENT_AGE_US: u64 = 86_400_000_000;

/// Limits and warm-ups of the backend servers.
#[derive(Debug)]
pub(crate) struct LimitRegistry {
    tables: Mutex<RegistryTables>,
    members: Arc<Mutex<MemberTable>>,
}

/// Limits and warm-ups, and what their logs need.
#[derive(Debug)]
struct RegistryTables {
    sends: SendTables,
    is_registered: bool, // Whether the list of the fleet's VMs has been read.
    names: Vec<(u32, ServerId)>, // Sorted by the server's key.
}

/// Permission to send one request to a server; its token is returned if it is dropped before the request is sent.
#[derive(Debug)]
pub(crate) struct SendPermit {
    registry: Arc<LimitRegistry>,
    token: SendToken,
    sent: bool,
    claim: Option<InFlightGuard>, // Counts the request before it is sent.
}

impl SendPermit {
    /// Records that the request is being sent, and returns whether it may be: the server may have begun to warm up since
    /// the permission was given.
    pub(crate) fn confirm_send(&mut self, server: &BackendState) -> bool {
        self.sent = self.registry.confirm(&mut self.token, server);
        self.sent
    }

    /// Counts the request as in flight before it is sent.
    pub(crate) fn set_claim(&mut self, claim: InFlightGuard) {
        self.claim = Some(claim);
    }

    /// Returns what counts the request already, if anything does.
    pub(crate) fn take_claim(&mut self) -> Option<InFlightGuard> {
        self.claim.take()
    }

    /// Records that the connection failed before the request was sent.
    pub(crate) fn record_unsent(&mut self) {
        self.sent = false;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if !self.sent {
            lock(&self.registry.tables).sends.return_token(&self.token);
        }
    }
}

impl RegistryTables {
    /// Applies the present warm-ups to the buckets, and logs those that begin.
    fn apply_warmups(&mut self, now: Instant) {
        for warmup in self.sends.apply_warmups(now) {
            self.log_begin(&warmup, now);
        }
    }

    fn log_begin(&self, warmup: &ProcessWarmup, now: Instant) {
        let source = warmup.cause.name();
        counter!("server_warmups_total", "source" => source).increment(1);
        let remaining = warmup.until.saturating_duration_since(now);
        let (key, start) = warmup.process;
        info!(server = self.name(key), key, start, source, remaining_ms = millis(remaining); "backend server warming up");
    }

    /// Returns the name of a server for logs.
    fn name(&self, key: u32) -> &str {
        let found = self.names.binary_search_by_key(&key, |entry| entry.0);
        found.map_or("unknown", |index| self.names[index].1.as_str())
    }

    /// Records that the process runs, and how it goes on after a pause.
    fn record_activity(&mut self, now: Instant) {
        if self.sends.record_activity(now) {
            info!("this VM was paused, all servers count as warming up for a moment");
            self.apply_warmups(now);
        }
    }

    /// Returns whether the servers of a service warm up.
    fn warms_up(&self, service: &str) -> bool {
        let warmups = &self.sends.warmups;
        !warmups.is_off() && warmups.warms_up(hash_name(service))
    }

    /// Returns whether nothing may be sent to a server that warms up, whatever its bucket holds: a connection to it has
    /// to be opened first, or the list has another process in its place.
    fn withholds(&self, server: &BackendState) -> bool {
        server.is_unreachable() || self.sends.warmups.is_replaced(process_key(server))
    }

    /// Returns the notices of limits, and of warm-ups beside them.
    fn notices(
        &self,
        statements: &[(ProcessKey, LimitStatement)],
        warmups: Vec<ProcessWarmup>,
        now: Instant,
    ) -> Vec<LimitNotice> {
        let stated = statements.iter().map(|(process, statement)| LimitNotice {
            requests_per_s: statement.requests_per_s,
            sent_age_us: age_us(statement.sent, now),
            age_us: age_us(statement.received, now),
            ..unlimited_notice(*process)
        });
        let warming = warmups.iter().take(MAX_WARMUP_NOTICES);
        let warming = warming.map(|warmup| LimitNotice {
            warmup_ms: Some(remaining_ms(warmup, now)),
            warmup_revision: warmup.revision,
            ..unlimited_notice(warmup.process)
        });
        stated.chain(warming).collect()
    }

    fn uses(&self, sends: Vec<(ProcessKey, u64)>, now: Instant) -> Vec<LimitUsage> {
        let sends = sends.into_iter();
        sends
            .map(|(process, sent)| {
                let warmup = self.sends.warmups.warmup(process, now);
                LimitUsage {
                    server: process.0,
                    start: process.1,
                    sent,
                    warmup_ms: warmup.map(|warmup| remaining_ms(&warmup, now)),
                    warmup_revision: warmup.map_or(0, |warmup| warmup.revision),
                }
            })
            .collect()
    }

    /// Records the warm-ups that another VM reported.
    fn record_warmups(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let report = |remaining: u32, revision, is_own| WarmupReport {
            until: now + Duration::from_millis(remaining.into()),
            revision,
            is_own,
        };
        let notices = heartbeat.limits.iter().filter_map(|notice| {
            let report = report(notice.warmup_ms?, notice.warmup_revision, true);
            Some(((notice.server, notice.start), report))
        });
        let uses = heartbeat.limit_uses.iter().filter_map(|usage| {
            let report = report(usage.warmup_ms?, usage.warmup_revision, false);
            Some(((usage.server, usage.start), report))
        });
        if self.sends.record_reports(notices.chain(uses), now) {
            self.apply_warmups(now);
        }
    }
}

impl LimitRegistry {
    /// Creates a registry without limits for the VM with the given table of members.
    pub(crate) fn new(
        members: Arc<Mutex<MemberTable>>,
        tolerance: WarmupTolerance,
    ) -> LimitRegistry {
        let tables = RegistryTables {
            sends: SendTables::new(tolerance, Instant::now()),
            is_registered: false,
            names: Vec::new(),
        };
        LimitRegistry {
            tables: Mutex::new(tables),
            members,
        }
    }

    /// Replaces the services whose servers warm up by those of a configuration.
    pub(crate) fn set_services(&self, services: &[CatalogService]) {
        let services = services
            .iter()
            .filter_map(|service| Some((hash_name(&service.name), service.warmup?)));
        let mut tables = lock(&self.tables);
        tables.sends.warmups.set_services(services);
        tables.apply_warmups(Instant::now());
    }

    /// Applies the complete list of servers, before requests are sent to servers that it adds.
    pub(crate) fn observe_servers(
        &self,
        processes: impl Iterator<Item = ListedProcess>,
        names: impl Iterator<Item = (u32, ServerId)>,
        now: Instant,
    ) {
        let mut tables = lock(&self.tables);
        tables.names = names.collect();
        tables.names.sort_unstable_by_key(|entry| entry.0);
        tables.sends.warmups.observe(processes, now);
        tables.apply_warmups(now);
    }

    /// Counts processes of servers as warming up for the time of their service from now on, until a later entry of a
    /// server states that it isn't warming up; the other VMs learn of it. Without effect in services whose servers don't
    /// warm up.
    ///
    /// [`BackendRegistry::begin_warmup`](crate::backends::BackendRegistry::begin_warmup) has the other VMs told at once.
    pub(crate) fn begin_warmup<'a>(
        &self,
        servers: impl IntoIterator<Item = &'a BackendState>,
        cause: WarmupCause,
    ) {
        let now = Instant::now();
        let mut tables = lock(&self.tables);
        if tables.sends.warmups.is_off() {
            return;
        }
        for server in servers {
            tables
                .sends
                .warmups
                .presume(process_key(server), None, cause, now);
        }
        tables.apply_warmups(now);
    }

    /// Records the remaining warm-up time that a server stated in a response to a health check.
    pub(crate) fn record_health(&self, server: &BackendState, remaining: Duration) {
        if remaining.is_zero() {
            return;
        }
        let now = Instant::now();
        let mut tables = lock(&self.tables);
        let (process, cause) = (process_key(server), WarmupCause::Health);
        tables
            .sends
            .warmups
            .presume(process, Some(remaining), cause, now);
        tables.apply_warmups(now);
    }

    /// Returns whether the servers of a service warm up.
    pub(crate) fn warms_up(&self, service: &str) -> bool {
        lock(&self.tables)
            .sends
            .warmups
            .warms_up(hash_name(service))
    }

    /// Returns the remaining warm-up time of a server's process, if anything is known about it.
    pub(crate) fn remaining_warmup(&self, process: ProcessKey, now: Instant) -> Option<Duration> {
        lock(&self.tables).sends.warmups.remaining(process, now)
    }

    /// Records that the list of the fleet's VMs has been read from the store.
    pub(crate) fn record_registration(&self) {
        lock(&self.tables).is_registered = true;
    }

    /// Records that the process runs; to be called at least every 25 ms.
    pub(crate) fn record_activity(&self) {
        let mut tables = lock(&self.tables);
        if !tables.sends.warmups.is_off() {
            tables.record_activity(Instant::now());
        }
    }

    /// Logs warm-ups that have ended, and records that the process runs and how large the fleet is.
    pub(crate) fn review_warmups(&self, now: Instant) {
        let size = lock(&self.members).fleet_size();
        let mut tables = lock(&self.tables);
        let is_registered = tables.is_registered;
        tables.sends.gate.observe_fleet(size, is_registered, now);
        tables.record_activity(now);
        for (key, start) in tables.sends.limits.take_ended_warmups(now) {
            info!(server = tables.name(key), key, start; "backend server warm");
        }
        let warming = tables.sends.warmups.warmups(now).len();
        gauge!("servers_warming_up").set(warming as f64);
    }

    /// Records what a response of a server states about its limit.
    pub(crate) fn record(&self, server: &BackendState, statement: LimitStatement) {
        let process = process_key(server);
        let mut tables = lock(&self.tables);
        let change = tables
            .sends
            .limits
            .record(process, statement, statement.received);
        drop(tables);
        if let Some(change) = change {
            log_change(server.server.id.as_str(), &change, "response");
        }
    }

    /// Takes a token for a request to a server; returns `None` if the server's limit or warm-up doesn't admit the request
    /// now.
    pub(crate) fn take(
        self: &Arc<Self>,
        server: &BackendState,
        class: RequestClass,
    ) -> Option<SendPermit> {
        let (process, class) = (process_key(server), send_class(class));
        let now = Instant::now();
        let mut tables = lock(&self.tables);
        let token = match tables.sends.is_off() {
            true => Some(SendToken {
                process,
                class,
                taken: None,
            }),
            false => {
                tables.record_activity(now);
                self.take_token(&mut tables, server, class, now)
            }
        };
        let is_warming = token.is_none() && tables.sends.limits.is_warming(process, now);
        drop(tables);
        if is_warming {
            counter!("warming_refusals_total").increment(1);
        }
        token.map(|token| SendPermit {
            registry: self.clone(),
            token,
            sent: false,
            claim: None,
        })
    }

    fn take_token(
        &self,
        tables: &mut RegistryTables,
        server: &BackendState,
        class: SendClass,
        now: Instant,
    ) -> Option<SendToken> {
        if tables.warms_up(&server.server.service) && tables.withholds(server) {
            return None;
        }
        let terms = self.terms(&tables.sends.gate, now);
        tables.sends.take(process_key(server), class, &terms)
    }

    /// Returns whether a request with a token may still be sent, and replaces its token if the server has begun to warm
    /// up since the token was taken, or if that was long ago.
    fn confirm(&self, token: &mut SendToken, server: &BackendState) -> bool {
        let now = Instant::now();
        let mut tables = lock(&self.tables);
        if !tables.warms_up(&server.server.service) {
            return true;
        }
        tables.record_activity(now);
        if tables.withholds(server) {
            return false;
        }
        if tables.sends.is_valid(token, now) {
            return true;
        }
        tables.sends.return_token(token);
        token.taken = None;
        match self.take_token(&mut tables, server, token.class, now) {
            Some(taken) => *token = taken,
            None => return false,
        }
        true
    }

    /// Sets in the views of servers which requests the limits and warm-ups admit.
    pub(crate) fn apply(&self, servers: &[Arc<BackendState>], views: &mut [SlotView]) {
        let mut tables = lock(&self.tables);
        if tables.sends.is_off() {
            return;
        }
        let now = Instant::now();
        tables.record_activity(now);
        let terms = self.terms(&tables.sends.gate.clone(), now);
        // All are servers of one service.
        let first = servers.first();
        let warms_up = first.is_some_and(|server| tables.warms_up(&server.server.service));
        for (server, view) in servers.iter().zip(views) {
            view.admission = match warms_up && tables.withholds(server) {
                true => SendAdmission::Nothing,
                false => tables.sends.limits.admission(process_key(server), &terms),
            };
        }
    }

    /// Returns the time until the limit of some server admits an online request of this VM that comes after `ahead`
    /// others; zero if one admits requests now.
    pub(crate) fn expected_wait(
        &self,
        servers: &[Arc<BackendState>],
        views: &[SlotView],
        ahead: usize,
    ) -> Duration {
        let usable = views
            .iter()
            .zip(servers)
            .filter(|(view, _)| !view.leaving && !view.ejected);
        let mut tables = lock(&self.tables);
        if tables.sends.limits.is_empty() {
            return Duration::ZERO;
        }
        let terms = self.terms(&tables.sends.gate.clone(), Instant::now());
        let table = &mut tables.sends.limits;
        let (mut total, mut soonest) = (0.0, Duration::MAX);
        for (view, server) in usable {
            let next = table.next_admission(process_key(server), &terms);
            let Some((rate, wait)) = next.filter(|_| view.admission == SendAdmission::Nothing)
            else {
                return Duration::ZERO;
            };
            total += rate;
            soonest = soonest.min(wait);
        }
        if total <= 0.0 {
            return Duration::ZERO;
        }
        let others = (ahead * terms.view.reporting) as f64 / total;
        soonest.max(Duration::try_from_secs_f64(others).unwrap_or(Duration::MAX))
    }

    /// Logs and counts a request to a server that has a limit.
    pub(crate) fn record_send(&self, server: &BackendState, class: RequestClass, request: &str) {
        let process = process_key(server);
        let tables = lock(&self.tables);
        let is_warming = tables.sends.limits.is_warming(process, Instant::now());
        let limit = tables.sends.limits.limit(process);
        drop(tables);
        if is_warming {
            counter!("warming_requests_total", "class" => class.name()).increment(1);
        }
        let Some(limit) = limit else {
            return;
        };
        counter!("limited_requests_total", "class" => class.name()).increment(1);
        let used = server.used();
        info!(
            request,
            class = class.name(),
            server = server.server.id.as_str(),
            limit,
            own_online = used.online,
            own_batch = used.batch;
            "request sent to a limited server"
        );
    }

    /// Counts the refusal of a request that found all servers of its service warming up.
    pub(crate) fn record_refusal(&self, servers: &[Arc<BackendState>]) {
        let tables = lock(&self.tables);
        if tables.sends.warmups.is_off() || servers.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut processes = servers.iter().map(|server| process_key(server));
        let all_warming = processes.all(|process| tables.sends.limits.is_warming(process, now));
        drop(tables);
        if all_warming {
            counter!("warming_services_exhausted_total").increment(1);
        }
    }

    /// Adds recent changes of limits and warm-ups, or all of them, and this VM's recent requests to a full heartbeat.
    pub(crate) fn add_state(&self, heartbeat: &mut Heartbeat, all: bool) {
        let tables = lock(&self.tables);
        if tables.sends.limits.is_empty() {
            return;
        }
        let now = Instant::now();
        let (statements, warmups) = match all {
            true => (
                tables.sends.limits.statements(),
                tables.sends.warmups.warmups(now),
            ),
            false => (
                tables.sends.limits.recent_statements(now),
                tables.sends.warmups.recent(now),
            ),
        };
        heartbeat.limits = tables.notices(&statements, warmups, now);
        heartbeat.limit_uses = tables.uses(tables.sends.limits.recent_sends(now), now);
    }

    /// Adds what has changed since the last call to a heartbeat, and returns whether anything has.
    pub(crate) fn add_changes(&self, heartbeat: &mut Heartbeat) -> bool {
        let mut tables = lock(&self.tables);
        if tables.sends.limits.is_empty() {
            return false;
        }
        let now = Instant::now();
        let statements = tables.sends.limits.take_new_statements();
        let warmups = tables.sends.warmups.take_new(now);
        let sends = tables.sends.limits.take_changes();
        heartbeat.limits = tables.notices(&statements, warmups, now);
        heartbeat.limit_uses = tables.uses(sends, now);
        !heartbeat.limits.is_empty() || !heartbeat.limit_uses.is_empty()
    }

    /// Applies the limits and requests that another VM reported; `unreported_for` is the time since its previous
    /// heartbeat if it was unreachable in between.
    pub(crate) fn record_heartbeat(
        &self,
        heartbeat: &Heartbeat,
        unreported_for: Option<Duration>,
        now: Instant,
    ) {
        if heartbeat.limits.is_empty() && heartbeat.limit_uses.is_empty() {
            return;
        }
        let view = self.view(now);
        let mut tables = lock(&self.tables);
        tables.record_activity(now);
        tables.record_warmups(heartbeat, now);
        let table = &mut tables.sends.limits;
        for notice in &heartbeat.limits {
            let process = (notice.server, notice.start);
            let change = table.record(process, limit_statement(notice, now), now);
            if let Some(change) = change {
                log_change(&notice.server.to_string(), &change, "heartbeat");
            }
        }
        for usage in &heartbeat.limit_uses {
            let report = SendReport {
                process: (usage.server, usage.start),
                vm: heartbeat.sender,
                incarnation: heartbeat.incarnation,
                sent: usage.sent,
                unreported_for,
            };
            table.record_sends(report, view, now);
        }
    }

    /// Removes the limits of processes that aren't registered any more, and warm-ups that ended some time ago.
    pub(crate) fn retain(&self, is_listed: impl Fn(ProcessKey) -> bool, now: Instant) {
        lock(&self.tables).sends.limits.retain(is_listed, now);
    }

    fn terms(&self, gate: &WarmupGate, now: Instant) -> SendTerms<impl Fn(u64) -> usize + '_> {
        let view = self.view(now);
        SendTerms {
            view,
            rank: move |number| lock(&self.members).own_cell_rank(number, now),
            sends_to_warming: gate.is_open(view, now),
            running_since: gate.running_since(),
            now,
        }
    }

    /// Returns how many VMs of the cell report their requests: only these send requests to limited servers of the cell.
    fn view(&self, now: Instant) -> FleetView {
        let members = lock(&self.members);
        FleetView {
            reporting: members.cell_reporting_size(now),
            size: members.cell_size(),
        }
    }

    /// Empties the buckets of servers that have just come to this VM's cell.
    pub(crate) fn restart_buckets<'a>(&self, servers: impl Iterator<Item = &'a Arc<BackendState>>) {
        let mut tables = lock(&self.tables);
        let limits = &mut tables.sends.limits;
        if limits.is_empty() {
            return;
        }
        let now = Instant::now();
        for server in servers {
            limits.restart_bucket(process_key(server), now);
        }
    }

    /// Returns whether a limit of a server is in force, or the server is warming up.
    pub(crate) fn is_limited(&self, server: &BackendState) -> bool {
        let process = process_key(server);
        let tables = lock(&self.tables);
        let limits = &tables.sends.limits;
        limits.limit(process).is_some() || limits.is_warming(process, Instant::now())
    }
}

/// Returns the key of a server's process.
fn process_key(server: &BackendState) -> ProcessKey {
    (server.key, server.server.start)
}

fn send_class(class: RequestClass) -> SendClass {
    match class {
        RequestClass::Online => SendClass::Online,
        RequestClass::Batch => SendClass::Batch,
    }
}

/// Returns the notice of a process that hasn't stated a limit.
fn unlimited_notice((server, start): ProcessKey) -> LimitNotice {
    LimitNotice {
        server,
        start,
        sent_age_us: NO_STATEMENT_AGE_US,
        age_us: NO_STATEMENT_AGE_US,
        ..LimitNotice::default()
    }
}

fn remaining_ms(warmup: &ProcessWarmup, now: Instant) -> u32 {
    let remaining = warmup.until.saturating_duration_since(now);
    u32::try_from(millis(remaining)).unwrap_or(u32::MAX)
}

fn limit_statement(notice: &LimitNotice, now: Instant) -> LimitStatement {
    let rate = notice.requests_per_s;
    LimitStatement {
        requests_per_s: rate.filter(|rate| rate.is_finite() && *rate >= 0.0),
        sent: time_before(notice.sent_age_us, now),
        received: time_before(notice.age_us, now),
    }
}

fn log_change(server: &str, change: &LimitChange, source: &str) {
    counter!("server_limits_changed_total").increment(1);
    info!(
        server,
        start = change.process.1,
        before = change.before,
        limit = change.now,
        source;
        "backend server's limit changed"
    );
}
