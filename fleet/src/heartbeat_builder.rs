//! What this VM tells the others in its heartbeats: everything now and then, changes as they come.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::Instant,
};

use boragerill::{
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
    member::MemberInfo,
    slot::{
        SlotDemand,
        SlotUsage, //
    },
    sync::lock,
    timer::millis, //
};

use crate::{
    jobs::JobEntry,
    state::FleetState, //
};

/// Heartbeats between two that tell everything.
const WHOLE_BEATS: u64 = 7;

/// First heartbeats of a process, which tell everything.
const FIRST_BEATS: u64 = 3;

/// Whole heartbeats between two that tell which VMs the sender knows and what all workspaces used.
const COMPLETE_BEATS: u64 = 4;

/// What the others were told last.
#[derive(Debug, Default)]
struct ReportedState {
    places: Vec<(u32, SlotUsage)>, // Sorted by the server's key.
    demands: Vec<SlotDemand>,
    jobs: Vec<JobStatus>, // Sorted by id.
    leaving: Vec<DrainAnnouncement>,
    info: MemberInfo,
}

/// Makes the heartbeats of this VM.
pub(crate) struct HeartbeatBuilder {
    state: Arc<FleetState>,
    sequence: AtomicU64,
    beats: AtomicU64,
    told: Mutex<ReportedState>,
}

impl HeartbeatBuilder {
    /// Makes a report of which nothing was told.
    pub(crate) fn new(state: Arc<FleetState>) -> HeartbeatBuilder {
        HeartbeatBuilder {
            state,
            sequence: AtomicU64::new(1),
            beats: AtomicU64::new(0),
            told: Mutex::default(),
        }
    }

    /// Returns the next periodic heartbeat.
    pub(crate) fn next_heartbeat(&self) -> Heartbeat {
        let number = self.beats.fetch_add(1, Ordering::Relaxed);
        if number >= FIRST_BEATS && number % WHOLE_BEATS != 0 {
            return self.changes().unwrap_or_else(|| self.sign_of_life());
        }
        let mut heartbeat = self.whole();
        if number / WHOLE_BEATS % COMPLETE_BEATS == 0 {
            heartbeat.members = self.known_members();
            heartbeat.uses = workspace_usage(lock(&self.state.rate_limiter).uses());
        }
        heartbeat
    }

    /// Returns a heartbeat that tells everything.
    pub(crate) fn whole(&self) -> Heartbeat {
        let info = lock(&self.state.members).own().clone();
        let mut told = lock(&self.told);
        told.places = self.places();
        told.jobs = self.jobs();
        told.leaving = self.state.backends.drain_announcements();
        told.info = info.clone();
        Heartbeat {
            member: Some(member_entry(&info)),
            full: true,
            places: told.places.iter().map(server_usage).collect(),
            uses: workspace_usage(lock(&self.state.rate_limiter).recent_usage(Instant::now())),
            jobs: told.jobs.clone(),
            leaving: told.leaving.iter().map(drain_notice).collect(),
            ..self.sign_of_life()
        }
    }

    /// Returns what has changed since the last heartbeat, if anything has.
    pub(crate) fn changes(&self) -> Option<Heartbeat> {
        let info = lock(&self.state.members).own().clone();
        if lock(&self.told).info != info {
            return Some(self.whole());
        }
        let places = self.changed_places();
        let jobs = self.changed_jobs();
        let leaving = self.new_leaving();
        let uses = workspace_usage(lock(&self.state.rate_limiter).take_changes());
        let demands = self.state.backends.own_demands();
        let before = std::mem::replace(&mut lock(&self.told).demands, demands.clone());
        let same = places.is_empty() && jobs.is_empty() && uses.is_empty() && leaving.is_empty();
        if same && before == demands {
            return None;
        }
        Some(Heartbeat {
            places,
            uses,
            jobs,
            leaving,
            ..self.sign_of_life()
        })
    }

    /// Returns the VMs that this one knows.
    pub(crate) fn known_members(&self) -> Vec<MemberEntry> {
        let members = lock(&self.state.members);
        let notes = members.members().iter();
        notes.map(|member| member_entry(&member.info)).collect()
    }

    /// Returns the least that a heartbeat says.
    fn sign_of_life(&self) -> Heartbeat {
        let demands = self.state.backends.own_demands();
        Heartbeat {
            sender: self.state.vm_hash,
            incarnation: self.state.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            catalog: self.state.catalog.version(),
            backends: self.state.backends.read(|table| table.through()),
            ends: self.state.cancellations.through(),
            demands: demands.into_iter().map(service_demand).collect(),
            ..Default::default()
        }
    }

    /// Returns the requests at servers, sorted by the servers' keys.
    fn places(&self) -> Vec<(u32, SlotUsage)> {
        let servers = self.state.backends.all();
        let uses = servers.iter().map(|state| (state.key, state.used()));
        let mut uses: Vec<(u32, SlotUsage)> = uses.filter(|(_, used)| used.total() > 0).collect();
        uses.sort_by_key(|entry| entry.0);
        uses
    }

    fn changed_places(&self) -> Vec<ServerUsage> {
        let places = self.places();
        let before = std::mem::replace(&mut lock(&self.told).places, places.clone());
        let find = |entries: &[(u32, SlotUsage)], key: u32| {
            let found = entries.binary_search_by_key(&key, |entry| entry.0);
            found.map_or(SlotUsage::default(), |index| entries[index].1)
        };
        let changed = places
            .iter()
            .filter(|entry| find(&before, entry.0) != entry.1);
        let freed = before
            .iter()
            .filter(|entry| find(&places, entry.0).total() == 0);
        let freed = freed.map(|entry| (entry.0, SlotUsage::default()));
        changed
            .copied()
            .chain(freed)
            .map(|entry| server_usage(&entry))
            .collect()
    }

    fn new_leaving(&self) -> Vec<DrainNotice> {
        let announcements = self.state.backends.drain_announcements();
        let before = std::mem::replace(&mut lock(&self.told).leaving, announcements.clone());
        let new = announcements
            .iter()
            .filter(|announcement| !before.contains(announcement));
        new.map(drain_notice).collect()
    }

    /// Returns the jobs that this VM runs or keeps, sorted by id.
    fn jobs(&self) -> Vec<JobStatus> {
        let now = Instant::now();
        let entries = self.state.jobs.all();
        entries.iter().map(|entry| job_status(entry, now)).collect()
    }

    fn changed_jobs(&self) -> Vec<JobStatus> {
        let jobs = self.jobs();
        let before = std::mem::replace(&mut lock(&self.told).jobs, jobs.clone());
        let is_told = |note: &JobStatus| {
            let found = before.binary_search_by(|known| known.id.cmp(&note.id));
            found.is_ok_and(|index| is_same_job(&before[index], note))
        };
        jobs.into_iter().filter(|note| !is_told(note)).collect()
    }
}

fn is_same_job(a: &JobStatus, b: &JobStatus) -> bool {
    a.chunks == b.chunks && a.closed == b.closed && a.waiting_tokens == b.waiting_tokens
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
    }
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
    let notes = uses.into_iter();
    notes
        .map(|(workspace, used)| WorkspaceUsage { workspace, used })
        .collect()
}
