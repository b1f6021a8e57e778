//! What this VM makes of the heartbeats of the others.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    drain::DrainAnnouncement,
    error::ServeError,
    generated::messages::{
        DrainNotice,
        Heartbeat,
        JobStatus,
        MemberEntry, //
    },
    member::{
        HeartbeatOutcome,
        MemberInfo, //
    },
    rate_limiter::UsageReport,
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
    jobs::JobReport,
    peers,
    state::FleetState,
    takeover, //
};

/// Time between a VM's last heartbeat and the one before it, in which it is found to be silent.
const LOOK_PERIOD: Duration = Duration::from_millis(150);

/// Takes heartbeats over.
pub(crate) struct HeartbeatReceiver {
    state: Arc<FleetState>,
    fetching: Arc<AtomicBool>,
}

impl HeartbeatReceiver {
    /// Makes a listener that has heard nobody.
    pub(crate) fn new(state: Arc<FleetState>) -> HeartbeatReceiver {
        HeartbeatReceiver {
            state,
            fetching: Arc::default(),
        }
    }

    /// Takes a heartbeat over; returns whether its sender is to be told everything at once, because it
    /// joins or was not heard before.
    pub(crate) fn hear(&self, heartbeat: &Heartbeat, from: SocketAddr) -> bool {
        let now = Instant::now();
        if heartbeat.sender == self.state.vm_hash {
            return false;
        }
        let Some(silence) = self.note_sender(heartbeat, now) else {
            return heartbeat.joins;
        };
        self.add_members(heartbeat, now);
        self.take_places(heartbeat, now);
        self.take_uses(heartbeat, silence.filter(|time| !time.is_zero()), now);
        for note in &heartbeat.jobs {
            self.take_job(note, heartbeat, now);
        }
        for note in &heartbeat.leaving {
            self.state
                .backends
                .record_drain_announcement(drain_announcement(note, now));
        }
        self.fetch_newer(heartbeat, from);
        heartbeat.joins || silence.is_some()
    }

    /// Drops what silent VMs reported, and notes those that have just fallen silent.
    pub(crate) fn record_missed_heartbeats(&self, now: Instant) {
        let (gone, silent) = {
            let mut members = lock(&self.state.members);
            let gone = members.remove_expired(now);
            let before = now.checked_sub(LOOK_PERIOD).unwrap_or(now);
            let fallen = members.members().iter().filter(|member| {
                !member.is_reachable(now)
                    && member.is_reachable(before)
                    && member.last_heartbeat.is_some()
            });
            let silent: Vec<MemberInfo> = fallen.map(|member| member.info.clone()).collect();
            gauge!("members_heard").set(members.reachable_size(now) as f64);
            gauge!("members").set(members.fleet_size() as f64);
            (gone, silent)
        };
        for info in &silent {
            info!(vm = info.vm.as_str(), domain = info.domain.as_str(); "VM not heard any more");
        }
        if !silent.is_empty() {
            self.refill_buckets(now);
        }
        for vm in gone {
            let remove = |table: &mut boragerill::slot::SlotTable| table.remove_vm(vm);
            self.state.backends.update_slot_reports(remove);
        }
    }

    /// Notes the sender of a heartbeat, and returns for how long it had been silent, if it had been;
    /// nothing when the heartbeat is to be passed over.
    fn note_sender(&self, heartbeat: &Heartbeat, now: Instant) -> Option<Option<Duration>> {
        // Earnings up to now go by the part of the fleet that was heard.
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
                self.note_return(heartbeat.sender, silence, now);
                Some(Some(silence))
            }
        }
    }

    fn note_return(&self, sender: u64, silence: Duration, now: Instant) {
        let info = lock(&self.state.members)
            .find(sender)
            .map(|member| member.info.clone());
        if let Some(info) = info {
            info!(vm = info.vm.as_str(), domain = info.domain.as_str(), incarnation = info.incarnation, silence_ms = millis(silence); "VM heard");
        }
        self.refill_buckets(now);
    }

    fn refill_buckets(&self, now: Instant) {
        let view = self.state.fleet_view(now);
        lock(&self.state.rate_limiter).refill_all(view, now);
    }

    fn add_members(&self, heartbeat: &Heartbeat, now: Instant) {
        let mut members = lock(&self.state.members);
        for note in &heartbeat.members {
            members.add_member(member_info(note), now);
        }
    }

    fn take_places(&self, heartbeat: &Heartbeat, now: Instant) {
        let uses: Vec<(u32, SlotUsage)> = heartbeat
            .places
            .iter()
            .map(|note| {
                let used = SlotUsage {
                    online: note.online,
                    batch: note.batch,
                };
                (note.server, used)
            })
            .collect();
        let demands = heartbeat.demands.iter().map(|note| SlotDemand {
            service: note.service,
            waiting: note.waiting,
            due_ms: note.due_ms,
        });
        self.state
            .backends
            .record_demands(heartbeat.sender, demands.collect(), now);
        self.state.backends.update_slot_reports(|table| {
            table.record_heartbeat(heartbeat.sender, now);
            if heartbeat.full {
                table.replace_usage(heartbeat.sender, &uses);
                return;
            }
            for &(server, used) in &uses {
                table.record(heartbeat.sender, server, used);
            }
        });
        if heartbeat.full || !uses.is_empty() {
            self.state.jobs.work.notify_one();
        }
    }

    fn take_uses(&self, heartbeat: &Heartbeat, silence: Option<Duration>, now: Instant) {
        if heartbeat.uses.is_empty() {
            return;
        }
        let view = self.state.fleet_view(now);
        let mut rate_limiter = lock(&self.state.rate_limiter);
        for note in &heartbeat.uses {
            let report = UsageReport {
                vm: heartbeat.sender,
                incarnation: heartbeat.incarnation,
                workspace: note.workspace,
                used: note.used,
                silence,
            };
            rate_limiter.record_usage(report, view, now);
        }
    }

    fn take_job(&self, note: &JobStatus, heartbeat: &Heartbeat, now: Instant) {
        let age = Duration::from_millis(note.age_ms.into());
        let report = JobReport {
            id: note.id.as_str().into(),
            vm: heartbeat.sender,
            incarnation: heartbeat.incarnation,
            submitted: now.checked_sub(age).unwrap_or(now),
            waiting_tokens: note.waiting_tokens,
            account: note.account,
            closed: note.closed,
            chunks: note.chunks,
            noted: now,
        };
        takeover::compare(&self.state, &report);
        self.state.jobs.record(report);
    }

    /// Fetches what the sender knows and this VM doesn't yet.
    fn fetch_newer(&self, heartbeat: &Heartbeat, from: SocketAddr) {
        let state = &self.state;
        let catalog = heartbeat.catalog > state.catalog.version();
        let backends = heartbeat.backends > state.backends.read(|table| table.through())
            || heartbeat.ends > state.cancellations.through();
        if !catalog && !backends || self.fetching.swap(true, Ordering::Relaxed) {
            return;
        }
        let (state, address) = (state.clone(), from.to_string());
        let fetching = self.fetching.clone();
        tokio::spawn(async move {
            let result = fetch(&state, &address, catalog, backends).await;
            fetching.store(false, Ordering::Relaxed);
            if let Err(error) = result {
                info!(peer = address.as_str(), error = error.to_string().as_str(); "newer state not fetched");
            }
        });
    }
}

async fn fetch(
    state: &FleetState,
    address: &str,
    catalog: bool,
    backends: bool,
) -> Result<(), ServeError> {
    if catalog {
        peers::fetch_catalog(state, address).await?;
    }
    if backends {
        peers::fetch_backends(state, address).await?;
    }
    Ok(())
}

/// Reads what a VM says of itself or of another.
fn member_info(note: &MemberEntry) -> MemberInfo {
    MemberInfo {
        vm: note.vm.as_str().into(),
        address: note.address.as_str().into(),
        domain: note.domain.as_str().into(),
        incarnation: note.incarnation,
        leaving: note.leaving,
        follows: note.follows,
    }
}

/// Reads what a server said to another VM.
fn drain_announcement(note: &DrainNotice, now: Instant) -> DrainAnnouncement {
    let age = Duration::from_millis(note.age_ms.into());
    DrainAnnouncement {
        server: note.server,
        start: note.start,
        source: note.source,
        received: now.checked_sub(age).unwrap_or(now),
    }
}
