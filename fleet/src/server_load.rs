//! Registry of the load, speed and cost that this VM has learned of backend servers and requests.

use std::{
    sync::{
        atomic::{
            AtomicBool,
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

use boragerill::{
    generated::messages::{
        Heartbeat,
        SpeedNotice, //
    },
    item_start::{
        DemandHistory,
        SlotTotals,
        WaitingItems, //
    },
    load::{
        CostKeys,
        CostTable,
        DeclaredCost,
        FirstEvent,
        LoadReading,
        LoadTable,
        OutlookQuery,
        PaceSample,
        ServerSpeed, //
    },
    rank::hash_name,
    server_limit::ProcessKey,
    slot::SlotView,
    sync::lock, //
};
use log::info;
use metrics::counter;

use crate::{
    attempt::OutgoingRequest,
    backends::BackendState,
    caller::header_text,
    wire::HeaderNames, //
};

/// Speeds in one full heartbeat; each takes 16 bytes. A VM that has just started learns all within a few seconds, since
/// all VMs report different ones.
const SPEEDS_REPORTED: usize = 2;

/// Shortest time between two log lines about malformed statements.
const FAULT_LOG_PERIOD: Duration = Duration::from_secs(1);

/// What this VM knows of the load of servers and of the cost of requests.
#[derive(Debug, Default)]
pub(crate) struct LoadRegistry {
    servers: Mutex<LoadTable>,
    costs: Mutex<CostTable>,
    demand: Mutex<DemandHistory>,
    is_active: AtomicBool, // Whether any service is; saves the locks otherwise.
    fault_logged: Mutex<Option<Instant>>,
}

/// What the estimate for a request depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestCost {
    /// What the request declares.
    pub(crate) declared: DeclaredCost,
    /// Hash of the shared parts of its prompt.
    pub(crate) prompt: Option<u64>,
    /// Keys of its distributions.
    pub(crate) keys: CostKeys,
}

impl RequestCost {
    /// Returns the cost that a request of a route declares. Its headers are parsed once.
    pub(crate) fn of<'a>(
        names: &HeaderNames,
        route: &str,
        request: &'a OutgoingRequest,
    ) -> &'a RequestCost {
        let parse = || RequestCost::parse(names, route, request);
        request.cost.get_or_init(parse)
    }

    fn parse(names: &HeaderNames, route: &str, request: &OutgoingRequest) -> RequestCost {
        let prompt = request.prompt.shared_hash();
        let workspace = hash_name(&request.workspace);
        RequestCost {
            declared: declared_cost(names, request),
            prompt,
            keys: CostKeys::new(hash_name(route), workspace, prompt),
        }
    }
}

impl LoadRegistry {
    /// Records what a response of a server states about its load. A request that the server refused is still counted by
    /// this VM, but not by the server.
    pub(crate) fn record(&self, server: &BackendState, reading: &LoadReading, is_refused: bool) {
        for fault in &reading.faults {
            counter!("server_loads_malformed_total", "figures" => fault.name()).increment(1);
        }
        if let Some(fault) = reading.faults.first() {
            if self.may_log_fault(reading.statement.received) {
                info!(server = server.server.id.as_str(), figures = fault.name(), text = fault.text(); "malformed load");
            }
        }
        // The server can't have counted claimed requests, which haven't been sent.
        let own = server.sent().saturating_sub(u32::from(is_refused));
        let mut servers = lock(&self.servers);
        servers.record(
            process_key(server),
            service_key(server),
            reading.statement,
            own,
        );
        if reading.statement.slowdown.is_some() {
            self.is_active.store(true, Ordering::Relaxed);
        }
    }

    /// Returns whether the servers of any service are chosen by estimates.
    pub(crate) fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    /// Records the times of events of a server.
    pub(crate) fn record_pace(&self, server: &BackendState, sample: PaceSample, now: Instant) {
        if self.is_active.load(Ordering::Relaxed) {
            let (process, service) = (process_key(server), service_key(server));
            lock(&self.servers).record_pace(process, service, sample, now);
        }
    }

    /// Records the first event of a response, `delay` after its request was sent.
    pub(crate) fn record_first_event(
        &self,
        server: &BackendState,
        cost: &RequestCost,
        delay: Duration,
    ) {
        if !self.is_active.load(Ordering::Relaxed) {
            return;
        }
        let first = FirstEvent {
            declared: cost.declared,
            prompt: cost.prompt,
            delay,
        };
        let (process, service) = (process_key(server), service_key(server));
        lock(&self.servers).record_first_event(process, service, first, Instant::now());
    }

    /// Records a response that one run brought completely, with its number of events.
    pub(crate) fn record_length(
        &self,
        names: &HeaderNames,
        route: &str,
        request: &OutgoingRequest,
        events: u64,
    ) {
        if self.is_active.load(Ordering::Relaxed) {
            let cost = RequestCost::of(names, route, request);
            lock(&self.costs).record(cost.keys, cost.declared, events);
        }
    }

    /// Sets in the views of a service's servers what is expected there for a request, or for an ordinary one if no
    /// `cost` is given; does nothing for services whose servers don't state how long work takes.
    pub(crate) fn apply(
        &self,
        service: &str,
        (servers, views): (&[Arc<BackendState>], &mut [SlotView]),
        cost: Option<&RequestCost>,
        now: Instant,
    ) {
        if !self.is_active.load(Ordering::Relaxed) {
            return;
        }
        let events = cost.map(|cost| lock(&self.costs).estimate(cost.keys, cost.declared));
        let service = hash_name(service);
        let queries = servers.iter().zip(views.iter()).map(|(server, view)| {
            let declared = cost.map(|cost| cost.declared);
            OutlookQuery {
                process: process_key(server),
                service,
                reported: view.used.total(),
                own: server.used().total(),
                slots: view.slots,
                declared: declared.unwrap_or_default(),
                prompt: cost.and_then(|cost| cost.prompt),
                cost: events.unwrap_or_default(),
            }
        });
        let outlooks = lock(&self.servers).outlooks(service, queries, now);
        for (view, outlook) in views.iter_mut().zip(outlooks.unwrap_or_default()) {
            view.outlook = Some(outlook);
        }
    }

    /// Records the online requests at the servers of a service.
    pub(crate) fn record_demand(&self, service: &str, views: &[SlotView], now: Instant) {
        let totals = SlotTotals::of(views, 0);
        lock(&self.demand).record(hash_name(service), totals.online, now);
    }

    /// Records the use of the slots of a service, and returns how many more items may be started there.
    pub(crate) fn slots_for_items(
        &self,
        service: u64,
        totals: SlotTotals,
        waiting: WaitingItems,
        now: Instant,
    ) -> u32 {
        let mut demand = lock(&self.demand);
        demand.record(service, totals.online, now);
        demand.slots_for_items(service, totals, waiting)
    }

    /// Returns how many of this VM's waiting items have to be started now to come to their end in time.
    pub(crate) fn needed_starts(&self, service: u64, waiting: WaitingItems) -> u32 {
        lock(&self.demand).needed_starts(service, waiting)
    }

    /// Returns whether items of a job that is due after `time_left` yield to the demand of recent seconds.
    pub(crate) fn is_relaxed(&self, service: u64, time_left: Duration) -> bool {
        lock(&self.demand).is_relaxed(service, time_left)
    }

    /// Returns the mean time for which items of a service hold a slot, if some have ended.
    pub(crate) fn item_run_time(&self, service: u64) -> Option<Duration> {
        lock(&self.demand).run_time(service)
    }

    /// Records for how long an item held slots in all its runs.
    pub(crate) fn record_item_run(&self, server: &BackendState, run: Duration) {
        lock(&self.demand).record_run(service_key(server), run);
    }

    /// Adds some speeds to a full heartbeat.
    pub(crate) fn add_speeds(&self, heartbeat: &mut Heartbeat) {
        if !self.is_active.load(Ordering::Relaxed) {
            return;
        }
        let speeds = lock(&self.servers).next_speeds(SPEEDS_REPORTED);
        heartbeat.speeds = speeds.into_iter().map(speed_notice).collect();
    }

    /// Records the speeds that another VM reported; `servers` are the registered servers.
    pub(crate) fn record_heartbeat(&self, heartbeat: &Heartbeat, servers: &[Arc<BackendState>]) {
        for notice in &heartbeat.speeds {
            let process = (notice.server, notice.start);
            let speed = ServerSpeed {
                process,
                interval: Duration::from_micros(notice.interval_us.into()),
            };
            let mut table = lock(&self.servers);
            let service = table.service_of(process).or_else(|| {
                let found = servers.iter().find(|server| process_key(server) == process);
                found.map(|server| service_key(server))
            });
            if let Some(service) = service {
                table.record_reported(service, speed);
            }
        }
    }

    /// Removes the processes that aren't registered any more.
    pub(crate) fn retain(&self, is_listed: impl Fn(ProcessKey) -> bool) {
        let mut servers = lock(&self.servers);
        servers.retain(is_listed);
        let is_active = servers.is_any_active();
        self.is_active.store(is_active, Ordering::Relaxed);
    }

    fn may_log_fault(&self, now: Instant) -> bool {
        let mut logged = lock(&self.fault_logged);
        let is_due = logged.is_none_or(|logged| now >= logged + FAULT_LOG_PERIOD);
        if is_due {
            *logged = Some(now);
        }
        is_due
    }
}

fn declared_cost(names: &HeaderNames, request: &OutgoingRequest) -> DeclaredCost {
    let headers = &request.headers;
    DeclaredCost::parse(
        header_text(headers, &names.token_usage),
        header_text(headers, &names.length_hint),
        request.prompt.text(),
    )
}

fn process_key(server: &BackendState) -> ProcessKey {
    (server.key, server.server.start)
}

fn service_key(server: &BackendState) -> u64 {
    hash_name(&server.server.service)
}

fn speed_notice(speed: ServerSpeed) -> SpeedNotice {
    let (server, start) = speed.process;
    SpeedNotice {
        server,
        start,
        interval_us: u32::try_from(speed.interval.as_micros()).unwrap_or(u32::MAX),
    }
}
