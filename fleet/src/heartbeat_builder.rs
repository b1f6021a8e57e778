//! Builds the heartbeats of this VM: the complete state periodically, changes in between.

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
    backend::Revision,
    catalog::CatalogVersion,
    cell::CellMap,
    drain::DrainAnnouncement,
    generated::messages::{
        DrainNotice,
        Heartbeat,
        JobStatus,
        MemberEntry,
        ServerUsage,
        ServiceDemand,
        WorkspaceUsage, //
    },
    heartbeat_pace::{
        distant_full_interval,
        distant_period,
        DistantChanges,
        NEAR_PERIOD, //
    },
    job_directory::JobRecord,
    member::{
        FleetMember,
        MemberInfo, //
    },
    slot::{
        SlotDemand,
        SlotUsage, //
    },
    sync::lock,
    timer::millis, //
};

use crate::{
    handover::encode_positions,
    jobs::JobEntry,
    quarantine_notice::add_news,
    state::FleetState, //
};

/// Number of periodic heartbeats from one full heartbeat to the next.
const FULL_HEARTBEAT_INTERVAL: u64 = 7;

/// Number of full heartbeats that a process starts with.
const INITIAL_FULL_HEARTBEATS: u64 = 3;

/// Largest number of jobs without a runner that a heartbeat announces, so that it fits into a datagram.
const MAX_UNREPORTED_JOBS: usize = 64;

/// What was last reported to the other VMs.
#[derive(Debug, Default)]
struct ReportedState {
    slot_usage: Vec<(u32, SlotUsage)>, // Sorted by the server's key.
    demands: Vec<SlotDemand>,
    jobs: Vec<JobStatus>,            // Sorted by id.
    unreported_jobs: Vec<JobStatus>, // Sorted by id.
    announcements: Vec<DrainAnnouncement>,
    info: MemberInfo,
    numbers: StateNumbers,
}

/// Numbers of the states that other VMs fetch when they are newer than theirs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct StateNumbers {
    catalog: CatalogVersion,
    backends: Revision,
    cancellations: Revision,
    evacuations: Revision,
}

/// What was last reported to the VMs of other cells.
#[derive(Debug, Default)]
struct DistantState {
    changes: DistantChanges,
    heartbeats: u64,
    due: Option<Instant>, // When the next heartbeat is sent.
    numbers: StateNumbers,
    info: MemberInfo,
}

/// Builds the heartbeats of this VM.
pub(crate) struct HeartbeatBuilder {
    state: Arc<FleetState>,
    sequence: AtomicU64,
    heartbeats: AtomicU64,
    reported: Mutex<ReportedState>,
    distant: Mutex<DistantState>,
}

impl HeartbeatBuilder {
    /// Creates a builder for a VM that has sent no heartbeat yet.
    pub(crate) fn new(state: Arc<FleetState>) -> HeartbeatBuilder {
        HeartbeatBuilder {
            state,
            sequence: AtomicU64::new(1),
            heartbeats: AtomicU64::new(0),
            reported: Mutex::default(),
            distant: Mutex::default(),
        }
    }

    /// Returns the next periodic heartbeat.
    pub(crate) fn next_heartbeat(&self) -> Heartbeat {
        let number = self.heartbeats.fetch_add(1, Ordering::Relaxed);
        if number >= INITIAL_FULL_HEARTBEATS && number % FULL_HEARTBEAT_INTERVAL != 0 {
            return self.changes().unwrap_or_else(|| self.minimal_heartbeat());
        }
        self.report_all()
    }

    /// Returns a heartbeat with the complete state, for all other VMs of the cell.
    fn report_all(&self) -> Heartbeat {
        // VMs of other cells get the changes that the complete state contains.
        let changes = match self.state.backends.cell().is_divided() {
            true => self.collect_changes(),
            false => None,
        };
        let state = self.complete_state();
        let heartbeat = Heartbeat {
            streams: changes.map_or_else(Vec::new, |changes| changes.streams),
            ..self.encode_full(&state)
        };
        *lock(&self.reported) = state;
        heartbeat
    }

    /// Returns a heartbeat with the complete state and the usage of all workspaces, for VMs that join or are reachable
    /// again.
    pub(crate) fn answer(&self) -> Heartbeat {
        let mut heartbeat = self.full_heartbeat();
        heartbeat.uses = workspace_usage(lock(&self.state.rate_limiter).usage());
        self.state.limits.add_state(&mut heartbeat, true);
        heartbeat
    }

    /// Returns when the next heartbeat to VMs of other cells is due; `None` if there are none.
    pub(crate) fn distant_due(&self, now: Instant) -> Option<Instant> {
        if !self.state.backends.cell().is_divided() {
            return None;
        }
        let info = lock(&self.state.members).own().clone();
        let report_due = lock(&self.state.rate_limiter).report_due();
        let distant = lock(&self.distant);
        let is_urgent = distant.changes.is_urgent()
            || distant.numbers.catalog != self.state.catalog.version()
            || distant.numbers.backends == 0 && self.numbers().backends > 0
            || distant.info != info;
        if is_urgent {
            return Some(now);
        }
        let due = distant.due.unwrap_or(now);
        Some(report_due.map_or(due, |report_due| report_due.min(due)))
    }

    /// Has the next heartbeat to VMs of other cells be sent at once, with the complete state.
    pub(crate) fn restart_distant(&self) {
        let mut distant = lock(&self.distant);
        distant.heartbeats = 0;
        distant.due = None;
    }

    /// Returns the next heartbeat to VMs of other cells, without usage of servers, and changes that haven't been reported to the
    /// own cell.
    pub(crate) fn distant_heartbeat(&self, now: Instant) -> (Option<Heartbeat>, Heartbeat) {
        let info = lock(&self.state.members).own().clone();
        let period = self.distant_period(info.follows);
        // A request that is admitted from here on is reported with the next heartbeat, the ones before with this one.
        lock(&self.state.rate_limiter).record_distant_report();
        let near = self.changes();
        let full = {
            let mut distant = lock(&self.distant);
            let number = distant.heartbeats;
            distant.heartbeats += 1;
            // Urgent heartbeats in between don't delay the next one, which VMs expect after a period.
            distant.due = Some(now + period);
            number % distant_full_interval(period) == 0 || distant.info != info
        };
        let mut heartbeat = match full {
            true => self.full_heartbeat(),
            false => self.minimal_heartbeat(),
        };
        self.address_distant(&mut heartbeat);
        let mut distant = lock(&self.distant);
        distant.numbers.catalog = heartbeat.catalog;
        distant.numbers.backends = heartbeat.backends;
        distant.info = info;
        distant.changes.add_to(&mut heartbeat);
        (near, heartbeat)
    }

    /// Removes from a heartbeat what only VMs of the own cell need, and states the period of heartbeats to the others.
    pub(crate) fn address_distant(&self, heartbeat: &mut Heartbeat) {
        let watches = lock(&self.state.members).own().follows;
        let period = self.distant_period(watches);
        heartbeat.places = Vec::new();
        heartbeat.demands = Vec::new();
        heartbeat.limit_uses = Vec::new();
        heartbeat.distant_period_ms = u32::try_from(millis(period)).ok();
    }

    /// Returns the period of heartbeats to VMs of other cells. The others need those of VMs that watch the store as often
    /// as within a cell: they confirm states, and another VM has to begin to watch when one of them is lost.
    fn distant_period(&self, watches: bool) -> Duration {
        match watches {
            true => NEAR_PERIOD,
            false => distant_period(lock(&self.state.members).members().len() + 1),
        }
    }

    /// Returns a heartbeat with the complete state, for one VM; the others receive changes as before.
    pub(crate) fn full_heartbeat(&self) -> Heartbeat {
        self.encode_full(&self.complete_state())
    }

    fn complete_state(&self) -> ReportedState {
        ReportedState {
            info: lock(&self.state.members).own().clone(),
            numbers: self.numbers(),
            slot_usage: self.slot_usage(),
            demands: self.state.backends.own_demands(),
            jobs: self.jobs(),
            unreported_jobs: self.unreported_jobs(),
            announcements: self.state.backends.drain_announcements(),
        }
    }

    fn encode_full(&self, state: &ReportedState) -> Heartbeat {
        let members_digest = lock(&self.state.members).digest();
        let mut heartbeat = Heartbeat {
            member: Some(member_entry(&state.info)),
            full: true,
            places: state.slot_usage.iter().map(server_usage).collect(),
            uses: workspace_usage(lock(&self.state.rate_limiter).recent_usage(Instant::now())),
            jobs: state.jobs.clone(),
            unreported_jobs: state.unreported_jobs.clone(),
            leaving: state.announcements.iter().map(drain_notice).collect(),
            cells: stated_cells(&self.state.backends.cell()),
            members_digest: Some(members_digest),
            ..self.minimal_heartbeat()
        };
        add_news(&mut heartbeat, &self.state.quarantine.repeated_news());
        self.state.limits.add_state(&mut heartbeat, false);
        self.state.load.add_speeds(&mut heartbeat);
        heartbeat
    }

    /// Returns a heartbeat with the changes since the last one, or a full one when the own VM's entry changed;
    /// `None` when nothing changed.
    pub(crate) fn changes(&self) -> Option<Heartbeat> {
        let info = lock(&self.state.members).own().clone();
        if lock(&self.reported).info != info {
            return Some(self.report_all());
        }
        self.collect_changes()
    }

    /// Returns a heartbeat with the changes since the last one; `None` when nothing changed.
    fn collect_changes(&self) -> Option<Heartbeat> {
        let watches = lock(&self.state.members).own().follows;
        let places = self.changed_slot_usage();
        let jobs = self.changed_jobs();
        let unreported_jobs = self.new_unreported_jobs();
        let leaving = self.new_drain_notices();
        let uses = workspace_usage(lock(&self.state.rate_limiter).take_changes());
        let demands = self.state.backends.own_demands();
        let before = std::mem::replace(&mut lock(&self.reported).demands, demands.clone());
        let news = self.state.quarantine.take_untold();
        let mut heartbeat = Heartbeat::default();
        let limits = self.state.limits.add_changes(&mut heartbeat);
        let streams = self.state.streams.add_new(&mut heartbeat, &self.state);
        let is_newer = self.has_newer_state(watches);
        let same = places.is_empty() && jobs.is_empty() && uses.is_empty() && leaving.is_empty();
        if same
            && !is_newer
            && unreported_jobs.is_empty()
            && !limits
            && !streams
            && news.is_empty()
            && before == demands
        {
            return None;
        }
        heartbeat = Heartbeat {
            places,
            uses,
            jobs,
            unreported_jobs,
            leaving,
            limits: heartbeat.limits,
            limit_uses: heartbeat.limit_uses,
            streams: heartbeat.streams,
            ..self.minimal_heartbeat()
        };
        add_news(&mut heartbeat, &news);
        if self.state.backends.cell().is_divided() {
            lock(&self.distant).changes.add(&heartbeat);
        }
        Some(heartbeat)
    }

    fn numbers(&self) -> StateNumbers {
        StateNumbers {
            catalog: self.state.catalog.version(),
            backends: self.state.backends.read(|table| table.through()),
            cancellations: lock(&self.state.cancellations).through(),
            evacuations: self.state.evacuations.through(),
        }
    }

    /// Returns whether a number has changed that has to be reported at once. Changes of servers are small, and all VMs
    /// can fetch them from those that watch the store, so that the others report them periodically.
    fn has_newer_state(&self, watches: bool) -> bool {
        let numbers = self.numbers();
        let before = std::mem::replace(&mut lock(&self.reported).numbers, numbers);
        match watches {
            true => before != numbers,
            false => before.catalog != numbers.catalog,
        }
    }

    /// Returns the entries of all known VMs.
    pub(crate) fn known_members(&self) -> Vec<MemberEntry> {
        let now = Instant::now();
        let members = lock(&self.state.members);
        let known = members.members().iter();
        known.map(|member| listed_entry(member, now)).collect()
    }

    /// Returns a heartbeat with only the fields that every heartbeat carries.
    fn minimal_heartbeat(&self) -> Heartbeat {
        let demands = self.state.backends.own_demands();
        let numbers = self.numbers();
        Heartbeat {
            sender: self.state.vm_hash,
            incarnation: self.state.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            catalog: numbers.catalog,
            backends: numbers.backends,
            ends: numbers.cancellations,
            demands: demands.into_iter().map(service_demand).collect(),
            evacuations: self
                .state
                .settings
                .evacuations
                .then_some(numbers.evacuations),
            evacuated: self.state.evacuations.hashes(),
            watches: Some(lock(&self.state.members).own().follows),
            ..Default::default()
        }
    }

    /// Returns this VM's requests at each backend server that has any, sorted by the servers' keys.
    fn slot_usage(&self) -> Vec<(u32, SlotUsage)> {
        let servers = self.state.backends.all();
        let usage = servers.iter().map(|state| (state.key, state.used()));
        let mut usage: Vec<(u32, SlotUsage)> = usage.filter(|(_, used)| used.total() > 0).collect();
        usage.sort_by_key(|entry| entry.0);
        usage
    }

    fn changed_slot_usage(&self) -> Vec<ServerUsage> {
        let usage = self.slot_usage();
        let before = std::mem::replace(&mut lock(&self.reported).slot_usage, usage.clone());
        let find = |entries: &[(u32, SlotUsage)], key: u32| {
            let found = entries.binary_search_by_key(&key, |entry| entry.0);
            found.map_or(SlotUsage::default(), |index| entries[index].1)
        };
        let changed = usage
            .iter()
            .filter(|entry| find(&before, entry.0) != entry.1);
        let freed = before
            .iter()
            .filter(|entry| find(&usage, entry.0).total() == 0);
        let freed = freed.map(|entry| (entry.0, SlotUsage::default()));
        changed
            .copied()
            .chain(freed)
            .map(|entry| server_usage(&entry))
            .collect()
    }

    fn new_drain_notices(&self) -> Vec<DrainNotice> {
        let announcements = self.state.backends.drain_announcements();
        let before = std::mem::replace(
            &mut lock(&self.reported).announcements,
            announcements.clone(),
        );
        let new = announcements
            .iter()
            .filter(|announcement| !before.contains(announcement));
        new.map(drain_notice).collect()
    }

    /// Returns the status of the jobs in this VM's registry, sorted by id.
    fn jobs(&self) -> Vec<JobStatus> {
        let now = Instant::now();
        let entries = self.state.jobs.all();
        entries.iter().map(|entry| job_status(entry, now)).collect()
    }

    fn changed_jobs(&self) -> Vec<JobStatus> {
        let jobs = self.jobs();
        let before = std::mem::replace(&mut lock(&self.reported).jobs, jobs.clone());
        let unconfirmed = self.state.jobs.take_unconfirmed();
        let is_reported = |job: &JobStatus| {
            let found = before.binary_search_by(|known| known.id.cmp(&job.id));
            found.is_ok_and(|index| is_same_status(&before[index], job))
                && !unconfirmed.iter().any(|id| *id == job.id)
        };
        jobs.into_iter().filter(|job| !is_reported(job)).collect()
    }

    /// Returns the jobs that this VM found in the store and that no VM has reported, sorted by id.
    fn unreported_jobs(&self) -> Vec<JobStatus> {
        let now = Instant::now();
        self.state.jobs.read_directory(|directory| {
            let unreported = directory.unreported(now).take(MAX_UNREPORTED_JOBS);
            unreported.map(|job| unreported_status(job, now)).collect()
        })
    }

    fn new_unreported_jobs(&self) -> Vec<JobStatus> {
        let jobs = self.unreported_jobs();
        let before = std::mem::replace(&mut lock(&self.reported).unreported_jobs, jobs.clone());
        let is_reported = |job: &JobStatus| {
            let found = before.binary_search_by(|known| known.id.cmp(&job.id));
            found.is_ok()
        };
        jobs.into_iter().filter(|job| !is_reported(job)).collect()
    }
}

fn unreported_status(job: &JobRecord, now: Instant) -> JobStatus {
    let age = now.saturating_duration_since(job.submitted);
    JobStatus {
        id: job.id.to_string(),
        age_ms: u32::try_from(millis(age)).unwrap_or(u32::MAX),
        waiting_tokens: job.waiting_tokens,
        account: job.account,
        ..JobStatus::default()
    }
}

fn is_same_status(a: &JobStatus, b: &JobStatus) -> bool {
    a.chunks == b.chunks
        && a.closed == b.closed
        && a.waiting_tokens == b.waiting_tokens
        && a.abandoned == b.abandoned
}

fn job_status(entry: &JobEntry, now: Instant) -> JobStatus {
    let waiting_tokens = entry.waiting_tokens();
    let age = now.saturating_duration_since(entry.submitted);
    let progress = lock(&entry.progress);
    JobStatus {
        id: entry.id.to_string(),
        age_ms: u32::try_from(millis(age)).unwrap_or(u32::MAX),
        waiting_tokens,
        account: entry.account(),
        closed: progress.is_closed(),
        chunks: progress.chunks(),
        abandoned: encode_positions(&progress.abandoned()),
    }
}

fn member_entry(info: &MemberInfo) -> MemberEntry {
    MemberEntry {
        vm: info.vm.to_string(),
        address: info.address.to_string(),
        domain: info.domain.to_string(),
        incarnation: info.incarnation,
        leaving: info.leaving,
        follows: info.follows,
        heard_age_ms: None,
    }
}

fn listed_entry(member: &FleetMember, now: Instant) -> MemberEntry {
    let age = millis(member.heard_age(now));
    MemberEntry {
        heard_age_ms: Some(u32::try_from(age).unwrap_or(u32::MAX)),
        ..member_entry(&member.info)
    }
}

/// Returns the number of cells as heartbeats state it.
fn stated_cells(cell: &CellMap) -> Option<u32> {
    let count = u32::try_from(cell.count).unwrap_or(u32::MAX);
    cell.is_divided().then_some(count)
}

fn server_usage(&(key, used): &(u32, SlotUsage)) -> ServerUsage {
    ServerUsage {
        server: key,
        online: used.online,
        batch: used.batch,
    }
}

fn drain_notice(announcement: &DrainAnnouncement) -> DrainNotice {
    DrainNotice {
        server: announcement.server,
        start: announcement.start,
        source: announcement.source,
        age_ms: u32::try_from(millis(announcement.received.elapsed())).unwrap_or(u32::MAX),
    }
}

fn service_demand(demand: SlotDemand) -> ServiceDemand {
    ServiceDemand {
        service: demand.service,
        waiting: demand.waiting,
        due_ms: demand.due_ms,
    }
}

fn workspace_usage(uses: Vec<(u64, u64)>) -> Vec<WorkspaceUsage> {
    uses.into_iter()
        .map(|(workspace, used)| WorkspaceUsage { workspace, used })
        .collect()
}
