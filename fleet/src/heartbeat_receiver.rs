//! Applies the heartbeats of other VMs to the tables of this one.

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
    drain::DrainAnnouncement,
    generated::messages::{
        DrainNotice,
        Heartbeat,
        JobStatus,
        MemberEntry, //
    },
    job_directory::{
        JobRecord,
        JobRunner,
        ANNOUNCE_DELAY, //
    },
    member::{
        HeartbeatOutcome,
        MemberInfo, //
    },
    rate_limiter::{
        FleetView,
        UsageReport, //
    },
    slot::{
        SlotDemand,
        SlotUsage, //
    },
    sync::lock,
    timer::millis, //
};
use log::info;
use metrics::gauge;

use crate::{
    handover::item_positions,
    quarantine_notice::read_news,
    runner_conflicts::{
        notify_outdated,
        resolve_duplicate, //
    },
    state::FleetState,
    state_fetch::{
        record_number,
        FetchedState,
        StatedNumber, //
    }, //
};

/// Interval of the checks for missed heartbeats; equals the period of heartbeats, which trigger the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Applies received heartbeats to the state of the process.
pub(crate) struct HeartbeatReceiver {
    state: Arc<FleetState>,
    returned: Mutex<Vec<u64>>, // VMs that have become reachable and need this VM's complete state.
}

/// What the sender of a heartbeat needs from this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SenderNeed {
    /// Nothing.
    Nothing,
    /// The list of VMs.
    List,
}

impl HeartbeatReceiver {
    /// Creates a receiver.
    pub(crate) fn new(state: Arc<FleetState>) -> HeartbeatReceiver {
        HeartbeatReceiver {
            state,
            returned: Mutex::default(),
        }
    }

    /// Returns the VMs that have become reachable since the last call.
    pub(crate) fn take_returned(&self) -> Vec<u64> {
        std::mem::take(&mut lock(&self.returned))
    }

    /// Applies a heartbeat, and returns what its sender needs: the list of VMs if it asks to join, or if it knows other
    /// VMs than this one.
    pub(crate) fn handle(&self, heartbeat: &Heartbeat) -> SenderNeed {
        let now = Instant::now();
        if heartbeat.sender == self.state.vm_hash {
            return SenderNeed::Nothing;
        }
        let admits_join = heartbeat.joins && lock(&self.state.cells.lists).admit_join(now);
        let joins = match admits_join {
            true => SenderNeed::List,
            false => SenderNeed::Nothing,
        };
        let Some(silence) = self.record_sender(heartbeat, now) else {
            return joins;
        };
        self.add_members(heartbeat, now);
        let period = heartbeat.distant_period_ms;
        let period = period.map(|period| Duration::from_millis(period.into()));
        let has_left = lock(&self.state.members).record_period(heartbeat.sender, period);
        match period {
            None => self.record_slot_usage(heartbeat, now),
            Some(_) if has_left => self.forget_slot_usage(heartbeat.sender, now),
            Some(_) => {}
        }
        let unreported_for = silence.filter(|time| !time.is_zero());
        self.record_workspace_usage(heartbeat, unreported_for, now);
        self.state
            .limits
            .record_heartbeat(heartbeat, unreported_for, now);
        self.state.streams.record_heartbeat(heartbeat, now);
        if !heartbeat.speeds.is_empty() {
            let servers = self.state.backends.all();
            self.state.load.record_heartbeat(heartbeat, &servers);
        }
        for job in &heartbeat.jobs {
            self.record_job(job, heartbeat, now);
        }
        for job in &heartbeat.unreported_jobs {
            self.record_unreported_job(job, now);
        }
        for notice in &heartbeat.leaving {
            self.state
                .backends
                .record_drain_announcement(drain_announcement(notice, now));
        }
        self.state.quarantine.record_news(read_news(heartbeat, now));
        self.record_numbers(heartbeat);
        if silence.is_some() {
            lock(&self.returned).push(heartbeat.sender);
            self.state.backends.changed.notify_one();
        }
        match heartbeat.joins {
            true => joins,
            false => self.compare_lists(heartbeat, now),
        }
    }

    /// Returns whether the sender of a full heartbeat needs this VM's list, since it knows other VMs. The VM that has more
    /// isn't known, so that both send theirs.
    fn compare_lists(&self, heartbeat: &Heartbeat, now: Instant) -> SenderNeed {
        if !heartbeat.full {
            return SenderNeed::Nothing;
        }
        let digest = {
            let mut members = lock(&self.state.members);
            let cells = heartbeat
                .cells
                .and_then(|cells| usize::try_from(cells).ok());
            let is_legacy = heartbeat.members_digest.is_none();
            members.record_cells(heartbeat.sender, cells, is_legacy);
            members.digest()
        };
        let is_other = heartbeat
            .members_digest
            .is_some_and(|other| other != digest);
        match is_other && lock(&self.state.cells.lists).admit(now) {
            true => SenderNeed::List,
            false => SenderNeed::Nothing,
        }
    }

    /// Removes VMs that left or were unreachable for long, and logs those that have just become unreachable.
    pub(crate) fn record_missed_heartbeats(&self, now: Instant) {
        let (removed, unreachable) = {
            let mut members = lock(&self.state.members);
            let removed = members.remove_expired(now);
            let last_check = now.checked_sub(CHECK_INTERVAL).unwrap_or(now);
            let lost = members.members().iter().filter(|member| {
                !member.is_reachable(now)
                    && member.is_reachable(last_check)
                    && member.last_heartbeat.is_some()
            });
            let unreachable: Vec<MemberInfo> = lost.map(|member| member.info.clone()).collect();
            gauge!("members_heard").set(members.reachable_size(now) as f64);
            gauge!("members").set(members.fleet_size() as f64);
            (removed, unreachable)
        };
        for info in &unreachable {
            info!(vm = info.vm.as_str(), domain = info.domain.as_str(); "VM unreachable");
        }
        if !unreachable.is_empty() {
            self.refill_buckets(now);
        }
        for vm in removed {
            let remove = |table: &mut boragerill::slot::SlotTable| table.remove_vm(vm);
            self.state.backends.update_slot_reports(remove);
        }
    }

    /// Records the sender of a heartbeat. Returns `None` when the heartbeat is stale and must be ignored, else
    /// the time since the sender's last heartbeat if it has just become reachable.
    fn record_sender(&self, heartbeat: &Heartbeat, now: Instant) -> Option<Option<Duration>> {
        let outcome = {
            let mut members = lock(&self.state.members);
            match &heartbeat.member {
                Some(member) => {
                    members.record_heartbeat(member_info(member), heartbeat.sequence, now)
                }
                None => members.record_update(
                    heartbeat.sender,
                    heartbeat.incarnation,
                    heartbeat.sequence,
                    now,
                ),
            }
        };
        match outcome {
            HeartbeatOutcome::Stale => None,
            HeartbeatOutcome::Current => Some(None),
            HeartbeatOutcome::Returned(silence) => {
                self.record_return(heartbeat.sender, silence, now);
                Some(Some(silence))
            }
        }
    }

    fn record_return(&self, sender: u64, silence: Duration, now: Instant) {
        let info = lock(&self.state.members)
            .member(sender)
            .map(|member| member.info.clone());
        if let Some(info) = info {
            info!(vm = info.vm.as_str(), domain = info.domain.as_str(), incarnation = info.incarnation, silence_ms = millis(silence); "VM reachable");
        }
        self.refill_buckets(now);
    }

    /// Accrues tokens up to now whenever the number of reachable VMs changes, since the rate depends on it.
    fn refill_buckets(&self, now: Instant) {
        let view = self.state.fleet_view(now);
        lock(&self.state.rate_limiter).refill_all(view, now);
    }

    fn add_members(&self, heartbeat: &Heartbeat, now: Instant) {
        if heartbeat.members.is_empty() {
            return;
        }
        self.state.cells.record_list();
        let mut members = lock(&self.state.members);
        for entry in &heartbeat.members {
            let age = entry.heard_age_ms.unwrap_or_default();
            members.add_listed(member_info(entry), Duration::from_millis(age.into()), now);
        }
    }

    fn record_slot_usage(&self, heartbeat: &Heartbeat, now: Instant) {
        let usage: Vec<(u32, SlotUsage)> = heartbeat
            .places
            .iter()
            .map(|usage| {
                let used = SlotUsage {
                    online: usage.online,
                    batch: usage.batch,
                };
                (usage.server, used)
            })
            .collect();
        let demands = heartbeat.demands.iter().map(|demand| SlotDemand {
            service: demand.service,
            waiting: demand.waiting,
            due_ms: demand.due_ms,
        });
        self.state
            .backends
            .record_demands(heartbeat.sender, demands.collect(), now);
        self.state.backends.update_slot_reports(|table| {
            table.record_heartbeat(heartbeat.sender, now);
            if heartbeat.full {
                table.replace_usage(heartbeat.sender, &usage);
                return;
            }
            for &(server, used) in &usage {
                table.record(heartbeat.sender, server, used);
            }
        });
        if heartbeat.full || !usage.is_empty() {
            self.state.jobs.work.notify_one();
        }
    }

    /// Forgets the usage and demands of a VM that belongs to another cell now.
    fn forget_slot_usage(&self, vm: u64, now: Instant) {
        let backends = &self.state.backends;
        backends.record_demands(vm, Vec::new(), now);
        backends.update_slot_reports(|table| table.remove_vm(vm));
    }

    fn record_workspace_usage(
        &self,
        heartbeat: &Heartbeat,
        unreported_for: Option<Duration>,
        now: Instant,
    ) {
        if heartbeat.uses.is_empty() {
            return;
        }
        // Only the usage of VMs that were unreachable depends on the size of the fleet.
        let view = match unreported_for {
            Some(_) => self.state.fleet_view(now),
            None => FleetView {
                reporting: 1,
                size: 1,
            },
        };
        let mut rate_limiter = lock(&self.state.rate_limiter);
        for usage in &heartbeat.uses {
            let report = UsageReport {
                vm: heartbeat.sender,
                incarnation: heartbeat.incarnation,
                workspace: usage.workspace,
                used: usage.used,
                unreported_for,
            };
            rate_limiter.record_usage(report, view, now);
        }
    }

    fn record_job(&self, job: &JobStatus, heartbeat: &Heartbeat, now: Instant) {
        let age = Duration::from_millis(job.age_ms.into());
        let runner = JobRunner {
            vm: heartbeat.sender,
            incarnation: heartbeat.incarnation,
        };
        let report = JobRecord {
            id: job.id.as_str().into(),
            runner: Some(runner),
            submitted: now.checked_sub(age).unwrap_or(now),
            waiting_tokens: job.waiting_tokens,
            account: job.account,
            closed: job.closed,
            chunks: job.chunks,
            abandoned: item_positions(&job.abandoned),
            refreshed: now,
        };
        resolve_duplicate(&self.state, &job.id, heartbeat.sender, job.chunks);
        let jobs = &self.state.jobs;
        let outdated = jobs.update_directory(|directory| directory.record_report(report));
        if let Some(outdated) = outdated {
            notify_outdated(&self.state, outdated);
        }
    }

    /// Records a job that the sender found in the store and that no VM has reported to it. The runner reports it
    /// again.
    fn record_unreported_job(&self, job: &JobStatus, now: Instant) {
        let jobs = &self.state.jobs;
        if jobs.find(&job.id).is_some() {
            jobs.confirm(&job.id);
            self.state.backends.changed.notify_one();
            return;
        }
        let age = Duration::from_millis(job.age_ms.into());
        let record = JobRecord {
            id: job.id.as_str().into(),
            runner: None,
            submitted: now.checked_sub(age).unwrap_or(now),
            waiting_tokens: job.waiting_tokens,
            account: job.account,
            closed: false,
            chunks: 0,
            abandoned: Vec::new(),
            refreshed: now.checked_sub(ANNOUNCE_DELAY).unwrap_or(now),
        };
        jobs.update_directory(|directory| directory.record_unreported(record));
    }

    /// Records the numbers of the sender's states, which are fetched if they are newer.
    fn record_numbers(&self, heartbeat: &Heartbeat) {
        let (state, vm) = (&self.state, heartbeat.sender);
        lock(&state.transfers).record(vm, heartbeat.catalog);
        let watches = {
            let mut members = lock(&state.members);
            if let Some(watches) = heartbeat.watches {
                members.record_follows(vm, watches);
            }
            let member = members.member(vm);
            member.is_some_and(|member| member.info.follows)
        };
        for (kind, number) in [
            (FetchedState::Catalog, heartbeat.catalog),
            (FetchedState::Backends, heartbeat.backends),
            (FetchedState::Cancellations, heartbeat.ends),
        ] {
            let stated = StatedNumber {
                vm,
                watches,
                kind,
                number,
            };
            record_number(state, stated);
        }
        if !state.settings.evacuations {
            return;
        }
        state.evacuations.record_heartbeat(heartbeat);
        if let Some(number) = heartbeat.evacuations {
            let stated = StatedNumber {
                vm,
                watches,
                kind: FetchedState::Evacuations,
                number,
            };
            record_number(state, stated);
        }
    }
}

/// Converts the entry of a VM in a message.
fn member_info(entry: &MemberEntry) -> MemberInfo {
    MemberInfo {
        vm: entry.vm.as_str().into(),
        address: entry.address.as_str().into(),
        domain: entry.domain.as_str().into(),
        incarnation: entry.incarnation,
        leaving: entry.leaving,
        follows: entry.follows,
    }
}

/// Converts a drain announcement that another VM received; its age is counted back from now.
fn drain_announcement(notice: &DrainNotice, now: Instant) -> DrainAnnouncement {
    let age = Duration::from_millis(notice.age_ms.into());
    DrainAnnouncement {
        server: notice.server,
        start: notice.start,
        source: notice.source,
        received: now.checked_sub(age).unwrap_or(now),
    }
}
