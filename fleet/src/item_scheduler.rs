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
    job::JobPriority,
    quarantine::{
        PromptCheck,
        TrialTerms, //
    },
    rank::hash_name,
    slot::{
        choose_batch_server,
        free_slots,
        OwnUsage,
        SlotDemand,
        DUE_OVERDUE, //
    },
    stream_version::VersionKey,
    sync::lock, //
};
use log::info;
use metrics::counter;
use tokio::{
    sync::oneshot,
    time::timeout, //
};

use crate::{
    backends::RequestClass,
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
    server: u32,
    job_due: Duration,
    output_bytes: usize, // At the start of the run.
    preempt: Option<oneshot::Sender<()>>,
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

    /// Preempts `count` items on a server: those of the jobs due last, and of these the items that started with the
    /// least output.
    fn preempt_at(&self, server: u32, count: u32) {
        let mut running = lock(&self.running);
        let mut candidates: Vec<&mut RunningItem> = running
            .iter_mut()
            .filter(|item| item.server == server && item.preempt.is_some())
            .collect();
        candidates.sort_by_key(|item| (std::cmp::Reverse(item.job_due), item.output_bytes));
        for item in candidates
            .into_iter()
            .take(usize::try_from(count).unwrap_or(0))
        {
            counter!("items_paused_total").increment(1);
            if let Some(preempt) = item.preempt.take() {
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
        let demands = collect_demands(state, &catalog, &jobs, now);
        state.backends.set_own_demands(demands.clone());
        for demand in demands {
            self.start_service(state, &catalog, &jobs, demand, now);
        }
    }

    /// Starts items of one service, up to the number of free slots that other VMs' demands leave to this VM.
    fn start_service(
        self: &Arc<Self>,
        state: &Arc<FleetState>,
        catalog: &Catalog,
        jobs: &[(JobPriority, Arc<JobEntry>)],
        demand: SlotDemand,
        now: Instant,
    ) {
        let sole = sole_version(state, demand.service);
        let mut full_versions = Vec::new(); // Without a server for an item that has to resume at them.
        let mut allowed: Option<u32> = None; // Computed once the first server views are known.
        for (priority, entry) in jobs {
            let Some(route) = catalog.find_route(&entry.manifest.host, &entry.manifest.path) else {
                continue;
            };
            for index in startable_items(state, entry, priority, now) {
                let service = route.choose_service(&entry.items[index].id);
                let Some(service) = service.filter(|name| hash_name(name) == demand.service) else {
                    continue;
                };
                let remaining = allowed.get_or_insert_with(|| {
                    let (_, views) = state.server_views(service, None, now);
                    let free = free_slots(&views, RESERVED_SLOTS);
                    state
                        .backends
                        .allowed_starts(state.vm_hash, demand, free, now)
                });
                let version = resumed_version(state, (service, sole), entry, index);
                if version.is_some_and(|version| full_versions.contains(&version)) {
                    continue;
                }
                let (servers, views) = state.server_views(service, version, now);
                let chosen =
                    choose_batch_server(&views, &[], RESERVED_SLOTS).filter(|_| *remaining > 0);
                let Some(chosen) = chosen else {
                    match version {
                        Some(version) if *remaining > 0 => full_versions.push(version),
                        _ => return,
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
                *remaining -= 1;
                self.start(state, entry, route, index, permitted, priority.time_left);
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
        route: &Arc<CatalogRoute>,
        index: usize,
        permitted: PermittedServer,
        job_due: Duration,
    ) {
        let PermittedServer { server, permit } = permitted;
        let (preempt, preempted) = oneshot::channel();
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let started = lock(&entry.progress).start_item(index, server.version);
        let Some(started) = started else {
            // Its result has been found in the store since.
            return;
        };
        let output_bytes = lock(&entry.progress).output_bytes(index);
        lock(&self.running).push(RunningItem {
            number,
            job: entry.clone(),
            server: server.key,
            job_due,
            output_bytes,
            preempt: Some(preempt),
        });
        let outgoing = item_request(state, entry, route, index, started.last);
        // Counts the request at the server until the task counts it itself, so that the next choice includes it.
        let flight = state.backends.track_request(&server, RequestClass::Batch);
        let (runner, state, entry) = (self.clone(), state.clone(), entry.clone());
        let attempts = route.attempts;
        tokio::spawn(async move {
            drop(flight);
            let run = ItemRun {
                state: &state,
                entry: &entry,
                index,
                number: started.number,
                server: &server,
                attempts,
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

/// Returns the version at which an item has to be resumed; `None` if it may begin at any, since it has no output or no
/// server of the version that generated its output is left at `service`, to which its route goes now. `sole` is the only
/// version that can have generated it, if there is only one.
fn resumed_version(
    state: &FleetState,
    (service, sole): (&str, Option<VersionKey>),
    entry: &JobEntry,
    index: usize,
) -> Option<VersionKey> {
    let version = {
        let mut progress = lock(&entry.progress);
        if let Some(sole) = sole {
            progress.assume_version(index, sole);
        }
        progress.output_version(index)?
    };
    let is_left = state.backends.has_service_version(service, version);
    is_left.then_some(version)
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

/// Returns the number of startable items and the earliest due time by service, in the order of the jobs.
fn collect_demands(
    state: &FleetState,
    catalog: &Catalog,
    jobs: &[(JobPriority, Arc<JobEntry>)],
    now: Instant,
) -> Vec<SlotDemand> {
    let mut demands: Vec<SlotDemand> = Vec::new();
    for (priority, entry) in jobs {
        let Some(route) = catalog.find_route(&entry.manifest.host, &entry.manifest.path) else {
            continue;
        };
        let due_ms = match priority.overdue {
            true => DUE_OVERDUE,
            false => u32::try_from(priority.time_left.as_millis()).unwrap_or(DUE_OVERDUE),
        };
        for index in startable_items(state, entry, priority, now) {
            let Some(service) = route.choose_service(&entry.items[index].id) else {
                break;
            };
            let service = hash_name(service);
            match demands.iter_mut().find(|demand| demand.service == service) {
                Some(demand) => {
                    demand.waiting += 1;
                    demand.due_ms = demand.due_ms.min(due_ms);
                }
                None => demands.push(SlotDemand {
                    service,
                    waiting: 1,
                    due_ms,
                }),
            }
        }
    }
    demands
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
