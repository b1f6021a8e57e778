//! Registry of the limits that backend servers state in their responses, shared by all VMs through heartbeats.

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
    generated::messages::{
        Heartbeat,
        LimitNotice,
        LimitUsage, //
    },
    member::MemberTable,
    rate_limiter::FleetView,
    server_limit::{
        LimitChange,
        LimitStatement,
        LimitTable,
        ProcessKey,
        SendAdmission,
        SendClass,
        SendReport,
        SendTerms, //
    },
    slot::SlotView,
    sync::lock, //
};
use log::info;
use metrics::counter;

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

/// Limits of the backend servers.
#[derive(Debug)]
pub(crate) struct LimitRegistry {
    table: Mutex<LimitTable>,
    members: Arc<Mutex<MemberTable>>,
}

/// Permission to send one request to a server; its token is returned if it is dropped before the request is sent.
#[derive(Debug)]
pub(crate) struct SendPermit {
    registry: Arc<LimitRegistry>,
    process: ProcessKey,
    has_token: bool, // Whether the process had a limit when the permission was taken.
    sent: bool,
    claim: Option<InFlightGuard>, // Counts the request before it is sent.
}

impl SendPermit {
    /// Records that the request is being sent.
    pub(crate) fn record_sent(&mut self) {
        self.sent = true;
    }

    /// Counts the request as in flight before it is sent.
    pub(crate) fn set_claim(&mut self, claim: InFlightGuard) {
        self.claim = Some(claim);
    }

    /// Returns what counts the request already, if anything does.
    pub(crate) fn take_claim(&mut self) -> Option<InFlightGuard> {
        self.claim.take()
    }

    /// Returns whether the permission was taken without a token from a process that has stated a limit since.
    pub(crate) fn lacks_token(&self) -> bool {
        let is_limited = || lock(&self.registry.table).limit(self.process).is_some();
        !self.has_token && is_limited()
    }

    /// Records that the connection failed before the request was sent.
    pub(crate) fn record_unsent(&mut self) {
        self.sent = false;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if self.has_token && !self.sent {
            lock(&self.registry.table).return_token(self.process);
        }
    }
}

impl LimitRegistry {
    /// Creates a registry without limits for the VM with the given table of members.
    pub(crate) fn new(members: Arc<Mutex<MemberTable>>) -> LimitRegistry {
        LimitRegistry {
            table: Mutex::default(),
            members,
        }
    }

    /// Records what a response of a server states about its limit.
    pub(crate) fn record(&self, server: &BackendState, statement: LimitStatement) {
        let process = process_key(server);
        let change = lock(&self.table).record(process, statement, statement.received);
        if let Some(change) = change {
            log_change(server.server.id.as_str(), &change, "response");
        }
    }

    /// Takes a token for a request to a server; returns `None` if the server's limit doesn't admit the request now.
    pub(crate) fn take(
        self: &Arc<Self>,
        server: &BackendState,
        class: RequestClass,
    ) -> Option<SendPermit> {
        let process = process_key(server);
        let terms = self.terms(Instant::now());
        let mut table = lock(&self.table);
        let has_token = table.limit(process).is_some();
        let admitted = table.take(process, send_class(class), &terms);
        drop(table);
        admitted.then(|| SendPermit {
            registry: self.clone(),
            process,
            has_token,
            sent: false,
            claim: None,
        })
    }

    /// Sets in the views of servers which requests the limits admit.
    pub(crate) fn apply(&self, servers: &[Arc<BackendState>], views: &mut [SlotView]) {
        let mut table = lock(&self.table);
        if table.is_empty() {
            return;
        }
        let terms = self.terms(Instant::now());
        for (server, view) in servers.iter().zip(views) {
            view.admission = table.admission(process_key(server), &terms);
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
        let mut table = lock(&self.table);
        if table.is_empty() {
            return Duration::ZERO;
        }
        let terms = self.terms(Instant::now());
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
        let Some(limit) = lock(&self.table).limit(process_key(server)) else {
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

    /// Adds recent changes of limits, or all limits, and this VM's recent requests to a full heartbeat.
    pub(crate) fn add_state(&self, heartbeat: &mut Heartbeat, all: bool) {
        let table = lock(&self.table);
        if table.is_empty() {
            return;
        }
        let now = Instant::now();
        let statements = match all {
            true => table.statements(),
            false => table.recent_statements(now),
        };
        heartbeat.limits = statements
            .iter()
            .map(|(process, statement)| limit_notice(*process, statement, now))
            .collect();
        heartbeat.limit_uses = limit_uses(table.recent_sends(now));
    }

    /// Adds what has changed since the last call to a heartbeat, and returns whether anything has.
    pub(crate) fn add_changes(&self, heartbeat: &mut Heartbeat) -> bool {
        let mut table = lock(&self.table);
        let now = Instant::now();
        let statements = table.take_new_statements();
        heartbeat.limits = statements
            .iter()
            .map(|(process, statement)| limit_notice(*process, statement, now))
            .collect();
        heartbeat.limit_uses = limit_uses(table.take_changes());
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
        let mut table = lock(&self.table);
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

    /// Removes the limits of processes that aren't registered any more.
    pub(crate) fn retain(&self, is_listed: impl Fn(ProcessKey) -> bool) {
        lock(&self.table).retain(is_listed);
    }

    fn terms(&self, now: Instant) -> SendTerms<impl Fn(u64) -> usize + '_> {
        SendTerms {
            view: self.view(now),
            rank: move |number| lock(&self.members).own_rank(number, now),
            now,
        }
    }

    fn view(&self, now: Instant) -> FleetView {
        let members = lock(&self.members);
        FleetView {
            reporting: members.reporting_size(now),
            size: members.fleet_size(),
        }
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

fn limit_notice(
    (server, start): ProcessKey,
    statement: &LimitStatement,
    now: Instant,
) -> LimitNotice {
    LimitNotice {
        server,
        start,
        requests_per_s: statement.requests_per_s,
        sent_age_us: age_us(statement.sent, now),
        age_us: age_us(statement.received, now),
    }
}

fn limit_statement(notice: &LimitNotice, now: Instant) -> LimitStatement {
    let rate = notice.requests_per_s;
    LimitStatement {
        requests_per_s: rate.filter(|rate| rate.is_finite() && *rate >= 0.0),
        sent: time_before(notice.sent_age_us, now),
        received: time_before(notice.age_us, now),
    }
}

fn limit_uses(sends: Vec<(ProcessKey, u64)>) -> Vec<LimitUsage> {
    let sends = sends.into_iter();
    sends
        .map(|((server, start), sent)| LimitUsage {
            server,
            start,
            sent,
        })
        .collect()
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
