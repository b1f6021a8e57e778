//! Starts items of batch jobs in slots that online requests leave free, and preempts them.

use std::{
    sync::{
        atomic::{
            AtomicU64,
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
    catalog::{
        BatchTerms,
        Catalog,
        CatalogRoute,
        RouteKind, //
    },
    item_demand::{
        ItemClass,
        ItemDemands, //
    },
    item_resume::{
        ItemStart,
        ResumeCost,
        ResumePlan,
        VersionSlots, //
    },
    item_start::{
        choose_start_server,
        yields_to_demand,
        SlotTotals,
        WaitingItems, //
    },
    job::JobPriority,
    preemption::{
        items_to_cut,
        ItemView, //
    },
    quarantine::{
        PromptCheck,
        TrialTerms, //
    },
    rank::hash_name,
    residency::ResidencyRule,
    slot::{
        free_slots,
        OwnUsage,
        SlotView, //
    },
    stream_version::VersionKey,
    sync::lock,
    timer::millis, //
};
use log::info;
use metrics::counter;
use tokio::{
    sync::oneshot,
    time::timeout, //
};

use crate::{
    backends::{
        BackendState,
        RequestClass, //
    },
    item_run::{
        item_prompt,
        item_request,
        ItemRun, //
    },
    jobs::JobEntry,
    server_selection::PermittedServer,
    state::FleetState,
    state_fetch::FetchedState,
    stream_versions::sole_version,
    trial_wait::{
        trial_turn,
        TrialWait, //
    }, //
};

/// Slots of each server that batch leaves free for online requests.
const RESERVED_SLOTS: u32 = 0;

/// Longest interval between two scheduling passes.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time after submission for which a job's route may be missing before its items are abandoned.
const ROUTE_GRACE: Duration = Duration::from_secs(3);

/// Shortest and longest time for which an item under which servers crashed waits until it is tried again. Items are owed:
/// such crashes have other causes.
const TRIAL_WAITS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(3));

/// Divides the time until a job is due for the wait of such an item.
const TRIAL_WAIT_DIVISOR: u32 = 4;

/// A running item that can be preempted.
struct RunningItem {
    number: u64,
    job: Arc<JobEntry>,
    index: usize,
    server: u32,
    due: Instant,                         // When the job is due.
    preempt: Option<oneshot::Sender<()>>, // `None` once it has been preempted.
}

impl RunningItem {
    fn view(&self) -> ItemView {
        ItemView {
            due: self.due,
            output_bytes: lock(&self.job.progress).output_bytes(self.index),
            is_ending: self.preempt.is_none(),
        }
    }
}

/// Schedules the items of this VM's jobs.
#[derive(Default)]
pub(crate) struct ItemScheduler {
    running: Mutex<Vec<RunningItem>>,
    next: AtomicU64,
    trial_wait: Mutex<TrialWait>,
}

impl ItemScheduler {
    /// Starts and preempts items until the process ends.
    pub(crate) async fn run(self: Arc<Self>, state: Arc<FleetState>) {
        loop {
            // A timeout starts the next pass without a signal.
            let _ = timeout(CHECK_INTERVAL, state.jobs.work.notified()).await;
            state.limits.record_activity();
            self.stop_cancelled();
            self.preempt_items(&state);
            if !state.is_shutting_down() {
                self.start_items(&state);
            }
        }
    }

    /// Preempts items on servers where online requests would wait behind them, and on draining servers.
    fn preempt_items(&self, state: &FleetState) {
        let now = Instant::now();
        let servers = state.backends.all();
        for server in servers.iter() {
            let used = server.used();
            if used.batch == 0 {
                continue;
            }
            let own = OwnUsage {
                vm: state.vm_hash,
                used,
            };
            let slots = server.server.slots;
            let count = state
                .backends
                .read_slot_reports(|table| table.items_to_preempt(server.key, own, slots, now));
            let all = if server.is_draining() { used.batch } else { 0 };
            if count.max(all) > 0 {
                self.preempt_at(server.key, count.max(all));
            }
        }
    }

    /// Stops the running items of jobs that were cancelled or released to another VM.
    fn stop_cancelled(&self) {
        let mut running = lock(&self.running);
        for item in running.iter_mut().filter(|item| item.preempt.is_some()) {
            if !lock(&item.job.progress).is_cancelled() {
                continue;
            }
            if let Some(preempt) = item.preempt.take() {
                // An error means that the item has just ended.
                let _ = preempt.send(());
            }
        }
    }

    /// Preempts items on a server until `count` of its slots are or become free.
    fn preempt_at(&self, server: u32, count: u32) {
        let mut running = lock(&self.running);
        let at_server = running.iter_mut().filter(|item| item.server == server);
        let mut candidates: Vec<&mut RunningItem> = at_server.collect();
        let views: Vec<ItemView> = candidates.iter().map(|item| item.view()).collect();
        for index in items_to_cut(&views, count, Instant::now()) {
            counter!("items_paused_total").increment(1);
            if let Some(preempt) = candidates[index].preempt.take() {
                // An error means that the item has just ended.
                let _ = preempt.send(());
            }
        }
    }

    /// Starts items of all jobs in the order of their priority; abandons items of expired jobs and missing routes.
    fn start_items(self: &Arc<Self>, state: &Arc<FleetState>) {
        let now = Instant::now();
        let Some(catalog) = state.catalog.load() else {
            return;
        };
        // A newer configuration may have the routes that this one lacks.
        let is_behind = state.fetches.behind_since(FetchedState::Catalog).is_some();
        let mut jobs: Vec<(JobPriority, Arc<JobEntry>)> = Vec::new();
        for entry in state.jobs.all() {
            if lock(&entry.progress).is_closed() || entry.released.load(Ordering::Relaxed) {
                continue;
            }
            let route = catalog.find_route(&entry.manifest.host, &entry.manifest.path);
            match route.map(|route| &route.kind) {
                Some(RouteKind::Batch(terms)) => {
                    abandon_expired(&entry, terms, now);
                    jobs.push((priority(&entry, terms, now), entry));
                }
                _ if now > entry.submitted + ROUTE_GRACE && !is_behind => abandon_all(&entry),
                _ => {}
            }
        }
        jobs.sort_by_key(|job| job.0.rank());
        let mut services = Vec::new();
        let (mut demands, places) = collect_demands(state, &catalog, &jobs, &mut services, now);
        limit_relaxed(state, &mut demands, &mut services, now);
        state.backends.set_own_demands(demands.reported());
        for service in &services {
            let mut allowances = class_allowances(state, &demands, service, now);
            let terms = (service, places.as_slice(), allowances.as_mut_slice());
            self.start_service(state, &catalog, &jobs, terms, now);
        }
    }

    /// Starts items of one service, up to the number of free slots that other VMs' demands leave to each class of items.
    fn start_service(
        self: &Arc<Self>,
        state: &Arc<FleetState>,
        catalog: &Catalog,
        jobs: &[(JobPriority, Arc<JobEntry>)],
        (slots, places, allowances): (&ServiceSlots, &[ItemPlace], &mut [ClassAllowance]),
        now: Instant,
    ) {
        let mut full_versions = Vec::new(); // Without a server for an item that has to resume at them.
        for (position, (priority, entry)) in jobs.iter().enumerate() {
            let class = slots.classify(state, priority);
            let found = allowances.iter_mut().find(|known| known.class == class);
            let Some(allowance) = found.filter(|known| known.starts > 0) else {
                continue;
            };
            let Some(route) = catalog.find_route(&entry.manifest.host, &entry.manifest.path) else {
                continue;
            };
            let workspace = catalog.find_workspace(&entry.manifest.workspace);
            let residency = catalog.residency(&route.allowed_regions, workspace);
            for index in startable_items(state, entry, priority, now) {
                let service = route.choose_service(&entry.items[index].id);
                let Some(service) = service.filter(|name| hash_name(name) == slots.service) else {
                    continue;
                };
                if allowance.starts == 0 {
                    break;
                }
                let key = (position, index);
                let found = places.binary_search_by_key(&key, |place| (place.job, place.item));
                // An item that has stopped running since is placed in the next pass.
                let Ok(found) = found else {
                    continue;
                };
                let version = match places[found].start {
                    ItemStart::Anew => None,
                    ItemStart::GoOn | ItemStart::Queue => places[found].version,
                    ItemStart::Wait => continue,
                };
                if version.is_some_and(|version| full_versions.contains(&version)) {
                    continue;
                }
                let (servers, views) = state.server_views(service, version, &residency, now);
                let chosen = choose_start_server(&views, RESERVED_SLOTS, rand::random());
                let Some(chosen) = chosen else {
                    match version {
                        // Others may start at servers in other regions.
                        _ if residency.is_restricted() => {}
                        Some(version) => full_versions.push(version),
                        None => return,
                    }
                    continue;
                };
                let permitted = PermittedServer::take(state, &servers[chosen], RequestClass::Batch);
                let Some(permitted) = permitted else {
                    return;
                };
                if !self.admit(state, (priority, entry), index, now) {
                    continue;
                }
                allowance.starts -= 1;
                let job_due = now + priority.time_left;
                self.start(state, entry, (route, &residency), index, permitted, job_due);
            }
        }
    }

    /// Returns whether an item's prompt is not quarantined, or is due for a trial and it is this VM's turn. The VMs
    /// would otherwise all start a trial when a trial is due and a server is free.
    fn admit(
        &self,
        state: &FleetState,
        (priority, entry): (&JobPriority, &JobEntry),
        index: usize,
        now: Instant,
    ) -> bool {
        let workspace = &entry.manifest.workspace;
        let prompt = item_prompt(&state.format.names, workspace, &entry.items[index]);
        let terms = trial_terms(priority);
        if state.quarantine.check(&prompt, terms, now) == PromptCheck::Trial {
            let turn = trial_turn(state, now);
            if !lock(&self.trial_wait).is_over(turn, now) {
                return false;
            }
        }
        let admitted = state.quarantine.admit(&prompt, terms, now);
        !matches!(admitted, PromptCheck::Quarantined { .. })
    }

    fn start(
        self: &Arc<Self>,
        state: &Arc<FleetState>,
        entry: &Arc<JobEntry>,
        (route, residency): (&Arc<CatalogRoute>, &ResidencyRule),
        index: usize,
        permitted: PermittedServer,
        due: Instant,
    ) {
        let PermittedServer { server, permit } = permitted;
        let (preempt, preempted) = oneshot::channel();
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        log_given_up(entry, index, server.version);
        let started = lock(&entry.progress).start_item(index, server.version);
        let Some(started) = started else {
            // Its result has been found in the store since.
            return;
        };
        lock(&self.running).push(RunningItem {
            number,
            job: entry.clone(),
            index,
            server: server.key,
            due,
            preempt: Some(preempt),
        });
        let outgoing = item_request(state, entry, route, index, started.last, residency.clone());
        // Counts the request at the server until the task counts it itself, so that the next choice includes it.
        let flight = state.backends.track_request(&server, RequestClass::Batch);
        let (runner, state, entry) = (self.clone(), state.clone(), entry.clone());
        let attempts = route.attempts;
        let begun = Instant::now();
        tokio::spawn(async move {
            drop(flight);
            let run = ItemRun {
                state: &state,
                entry: &entry,
                index,
                number: started.number,
                server: &server,
                attempts,
                begun,
                deadline: outgoing.deadline,
            };
            tokio::select! {
                () = run.run(&outgoing, permit) => {}
                Ok(()) = preempted => {
                    run.pause(None);
                    info!(job = entry.id.as_str(), item = entry.items[index].id.as_str(), run = started.number, server = server.server.id.as_str(); "item preempted");
                }
            }
            lock(&runner.running).retain(|item| item.number != number);
            entry.ended.notify_one();
            state.jobs.work.notify_one();
        });
    }
}

/// Slots of a service to which items of this VM's jobs go.
struct ServiceSlots {
    service: u64,
    plan: ResumePlan,
    sought: Vec<VersionKey>, // Versions that were looked for in other cells, sorted.
    sole: Option<VersionKey>, // The only version that can have generated any output.
    run_time: Option<Duration>, // Mean time for which items hold a slot.
    yields: bool,            // Whether items yield to the online demand of recent seconds.
    free: u32,
    totals: SlotTotals,
    running: u32, // This VM's items.
    relaxed: u32, // Slots for items of jobs with time left.
    needed: u32,  // Such items that have to be started now to end in time.
}

impl ServiceSlots {
    fn new(state: &FleetState, service: &str, now: Instant) -> ServiceSlots {
        let (servers, views) = state.server_views(service, None, &ResidencyRule::default(), now);
        let mut plan = ResumePlan::default();
        add_views(&mut plan, &servers, &views);
        let key = hash_name(service);
        ServiceSlots {
            service: key,
            plan,
            sought: Vec::new(),
            sole: sole_version(state, key),
            run_time: state.load.item_run_time(key),
            yields: yields_to_demand(&views),
            free: free_slots(&views, RESERVED_SLOTS),
            totals: SlotTotals::of(&views, RESERVED_SLOTS),
            running: servers.iter().map(|server| server.used().batch).sum(),
            relaxed: 0,
            needed: 0,
        }
    }

    /// Decides where an item with output of a version can be started. `restricted` are the slots of the servers to which its
    /// job's items may go, if these are restricted.
    fn place(
        &mut self,
        state: &FleetState,
        service: &str,
        (entry, index, version): (&JobEntry, usize, VersionKey),
        restricted: Option<&mut ResumePlan>,
        now: Instant,
    ) -> ItemStart {
        if restricted.is_none() {
            self.add_other_cell(state, service, version, now);
        }
        let plan = restricted.unwrap_or(&mut self.plan);
        let mut progress = lock(&entry.progress);
        let lost = progress.output_time(index);
        let cost = ResumeCost {
            lost: lost.unwrap_or_else(|| entry.submitted.elapsed()),
            given_up: progress.given_up(index),
            waited: progress.idle_wait(index),
            run_time: self.run_time,
        };
        let start = plan.place(version, cost);
        if start == ItemStart::Wait {
            progress.record_idle_wait(index, now);
        }
        start
    }

    /// Adds the slots of a server of another cell if this cell has none of a version that other servers have.
    fn add_other_cell(
        &mut self,
        state: &FleetState,
        service: &str,
        version: VersionKey,
        now: Instant,
    ) {
        if self.plan.has_version(version) {
            return;
        }
        let Err(index) = self.sought.binary_search(&version) else {
            return;
        };
        self.sought.insert(index, version);
        if state.backends.has_service_version(service, version) {
            let residency = ResidencyRule::default();
            let servers = (service, Some(version));
            add_slots(&mut self.plan, state, servers, &residency, now);
        }
    }

    /// Returns the class of a job's items.
    fn classify(&self, state: &FleetState, priority: &JobPriority) -> ItemClass {
        match priority.overdue {
            _ if !self.yields => ItemClass::Equal,
            true => ItemClass::Overdue,
            false if state.load.is_relaxed(self.service, priority.time_left) => ItemClass::Relaxed,
            false => ItemClass::DueSoon,
        }
    }
}

/// Number of items of a class that may be started in this pass.
struct ClassAllowance {
    class: ItemClass,
    starts: u32,
}

/// Reduces the demands of jobs with time left to the items that may be started now: those in slots that online requests
/// aren't expected to need soon, and those that have to be started to end in time.
fn limit_relaxed(
    state: &FleetState,
    demands: &mut ItemDemands,
    services: &mut [ServiceSlots],
    now: Instant,
) {
    for slots in services {
        let Some(demand) = demands.get(slots.service, ItemClass::Relaxed) else {
            continue;
        };
        let waiting = WaitingItems {
            count: demand.waiting,
            running: slots.running,
            time_left: Duration::from_millis(demand.due_ms.into()),
        };
        let allowed = state
            .load
            .slots_for_items(slots.service, slots.totals, waiting, now);
        slots.relaxed = allowed.min(slots.free);
        slots.needed = state.load.needed_starts(slots.service, waiting);
        demands.limit(slots.service, ItemClass::Relaxed, slots.relaxed);
    }
}

/// Returns how many items of each class this VM may start at a service.
fn class_allowances(
    state: &FleetState,
    demands: &ItemDemands,
    slots: &ServiceSlots,
    now: Instant,
) -> Vec<ClassAllowance> {
    let classes = demands.classes().into_iter();
    let own = classes.filter(|known| known.0 == slots.service);
    let allowances = own.map(|(service, class)| {
        let allowed = |free| {
            state.backends.read_demands(|table| {
                demands.allowed_starts((service, class), free, (table, state.vm_hash), now)
            })
        };
        let starts = match class {
            // Items that would be late otherwise take any free slot.
            ItemClass::Relaxed => allowed(slots.relaxed).max(allowed(slots.free).min(slots.needed)),
            _ => allowed(slots.free),
        };
        ClassAllowance { class, starts }
    });
    allowances.collect()
}

/// Logs that an item begins anew at a server of another version than the one that generated its output, if there is any.
fn log_given_up(entry: &JobEntry, index: usize, version: VersionKey) {
    let progress = lock(&entry.progress);
    let given_up = progress.output_version(index);
    if given_up.is_none_or(|own| own == version) {
        return;
    }
    counter!("item_outputs_given_up_total").increment(1);
    info!(
        job = entry.id.as_str(),
        item = entry.items[index].id.as_str(),
        output_bytes = progress.output_bytes(index),
        output_ms = progress.output_time(index).map(millis),
        waited_ms = millis(progress.idle_wait(index));
        "item begins anew at another version"
    );
}

/// Adds the slots of the servers of a service, or only of one version, to a plan.
fn add_slots(
    plan: &mut ResumePlan,
    state: &FleetState,
    (service, version): (&str, Option<VersionKey>),
    residency: &ResidencyRule,
    now: Instant,
) {
    let (servers, views) = state.server_views(service, version, residency, now);
    add_views(plan, &servers, &views);
}

fn add_views(plan: &mut ResumePlan, servers: &[Arc<BackendState>], views: &[SlotView]) {
    for (server, view) in servers.iter().zip(views) {
        plan.add(VersionSlots::of(server.version, view, RESERVED_SLOTS));
    }
}

/// Returns the version that generated an item's output; `None` without output. `sole` is the only one that can have
/// generated any, if there is only one.
fn output_version(entry: &JobEntry, index: usize, sole: Option<VersionKey>) -> Option<VersionKey> {
    let mut progress = lock(&entry.progress);
    if let Some(sole) = sole {
        progress.assume_version(index, sole);
    }
    progress.output_version(index)
}

/// Returns when an item under which servers crashed is tried again. [`TrialWait`] gives the VMs their turns.
fn trial_terms(priority: &JobPriority) -> TrialTerms {
    let (shortest, longest) = TRIAL_WAITS;
    let longest_wait = match priority.overdue {
        true => longest,
        false => (priority.time_left / TRIAL_WAIT_DIVISOR).clamp(shortest, longest),
    };
    TrialTerms {
        longest_wait,
        ..TrialTerms::default()
    }
}

/// Returns the items of a job that can be started now; those with quarantined prompts can't.
fn startable_items(
    state: &FleetState,
    entry: &JobEntry,
    priority: &JobPriority,
    now: Instant,
) -> Vec<usize> {
    let mut startable = lock(&entry.progress).startable(now);
    if state.quarantine.is_active() {
        let terms = trial_terms(priority);
        startable.retain(|&index| {
            let prompt = item_prompt(
                &state.format.names,
                &entry.manifest.workspace,
                &entry.items[index],
            );
            let check = state.quarantine.check(&prompt, terms, now);
            !matches!(check, PromptCheck::Quarantined { .. })
        });
    }
    startable
}

/// Where an item of a job can be started in this pass.
struct ItemPlace {
    job: usize,  // Position of the job.
    item: usize, // Position of the item in the job.
    start: ItemStart,
    version: Option<VersionKey>, // Version of its output.
}

/// Returns the items that take slots as soon as some are free, by service and class, and where each startable item can be
/// started, sorted by job and item. Adds the services to which they go.
fn collect_demands(
    state: &FleetState,
    catalog: &Catalog,
    jobs: &[(JobPriority, Arc<JobEntry>)],
    services: &mut Vec<ServiceSlots>,
    now: Instant,
) -> (ItemDemands, Vec<ItemPlace>) {
    let mut demands = ItemDemands::default();
    let mut places = Vec::new();
    for (job, (priority, entry)) in jobs.iter().enumerate() {
        let Some(route) = catalog.find_route(&entry.manifest.host, &entry.manifest.path) else {
            continue;
        };
        let workspace = catalog.find_workspace(&entry.manifest.workspace);
        let residency = catalog.residency(&route.allowed_regions, workspace);
        let mut restricted: Option<(u64, ResumePlan)> = None; // Slots of a service.
        let time_left = (!priority.overdue).then_some(priority.time_left);
        for index in startable_items(state, entry, priority, now) {
            let Some(name) = route.choose_service(&entry.items[index].id) else {
                break;
            };
            let service = hash_name(name);
            let known = services.iter().position(|known| known.service == service);
            let position = known.unwrap_or_else(|| {
                services.push(ServiceSlots::new(state, name, now));
                services.len() - 1
            });
            let slots = &mut services[position];
            let class = slots.classify(state, priority);
            let version = output_version(entry, index, slots.sole);
            let is_known = restricted.as_ref().is_some_and(|own| own.0 == service);
            if residency.is_restricted() && version.is_some() && !is_known {
                let mut plan = ResumePlan::default();
                add_slots(&mut plan, state, (name, None), &residency, now);
                restricted = Some((service, plan));
            }
            let start = match version {
                Some(version) => {
                    let plan = restricted.as_mut().map(|own| &mut own.1);
                    slots.place(state, name, (entry, index, version), plan, now)
                }
                None => {
                    slots.plan.take_any();
                    ItemStart::Anew
                }
            };
            places.push(ItemPlace {
                job,
                item: index,
                start,
                version,
            });
            if start.takes_slot() {
                demands.add(service, class, time_left);
            }
        }
    }
    places.sort_by_key(|place| (place.job, place.item));
    (demands, places)
}

fn priority(entry: &JobEntry, terms: &BatchTerms, now: Instant) -> JobPriority {
    let due = entry.submitted + terms.due_after;
    JobPriority {
        time_left: due.saturating_duration_since(now),
        overdue: now >= due,
    }
}

/// Abandons the items of a job that has waited for longer than its route allows.
fn abandon_expired(entry: &JobEntry, terms: &BatchTerms, now: Instant) {
    if !terms.abandon_after.is_zero() && now >= entry.submitted + terms.abandon_after {
        abandon_all(entry);
    }
}

fn abandon_all(entry: &JobEntry) {
    let mut progress = lock(&entry.progress);
    let unfinished: Vec<usize> = progress.unfinished().collect();
    if unfinished.is_empty() {
        return;
    }
    for index in unfinished {
        progress.abandon_item(index);
    }
    drop(progress);
    entry.ended.notify_one();
}
