//! Pace of heartbeats: to VMs of the own cell as within a small fleet, to distant VMs as often as the fleet's size allows.

use std::time::{
    Duration,
    Instant, //
};

use prost::Message;

use crate::{
    generated::messages::Heartbeat,
    member::{
        HEARTBEAT_TIMEOUT,
        USAGE_TIMEOUT, //
    },
};

/// Period of heartbeats within a cell, and of those that watch the store to all VMs.
pub const NEAR_PERIOD: Duration = Duration::from_millis(150);

/// Part of the period of distant heartbeats that each VM of the fleet adds: 1 s at 300 VMs. The rate at which a VM sends
/// them is the same at all larger sizes.
const PERIOD_PER_VM: Duration = Duration::from_micros(3333);

/// Longest period of distant heartbeats.
const MAX_DISTANT_PERIOD: Duration = Duration::from_secs(2);

/// Longest period between distant heartbeats with the complete state.
const DISTANT_FULL_PERIOD: Duration = Duration::from_secs(2);

/// Time for which VMs exchange lists often after the known VMs have changed.
const LIST_CHANGE_TIME: Duration = Duration::from_secs(5);

/// Shortest time between two lists that a VM sends since another VM knows other VMs, after a change and otherwise.
const LIST_INTERVALS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));

/// Interval in which the lists for VMs that join are counted.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of lists for VMs that join within that interval: 0.5 MB at 300 VMs.
const MAX_JOIN_LISTS: u32 = 30;

/// Returns the period of distant heartbeats in a fleet of `vms` VMs.
pub fn distant_period(vms: usize) -> Duration {
    let period = PERIOD_PER_VM * u32::try_from(vms).unwrap_or(u32::MAX);
    let period = Duration::from_millis(u64::try_from(period.as_millis()).unwrap_or(u64::MAX));
    period.clamp(NEAR_PERIOD, MAX_DISTANT_PERIOD)
}

/// Returns the time without a heartbeat after which a VM that states a period counts as unreachable: four periods.
pub fn heartbeat_timeout(period: Option<Duration>) -> Duration {
    scale(HEARTBEAT_TIMEOUT, period)
}

/// Returns the time without a heartbeat after which the usage of a VM that states a period counts as unknown.
pub fn usage_timeout(period: Option<Duration>) -> Duration {
    scale(USAGE_TIMEOUT, period)
}

/// Returns a time that is right for [`NEAR_PERIOD`], extended for a longer period.
fn scale(time: Duration, period: Option<Duration>) -> Duration {
    let Some(period) = period else {
        return time;
    };
    // A stated period isn't trusted beyond the longest one.
    let factor = period.min(MAX_DISTANT_PERIOD).as_secs_f64() / NEAR_PERIOD.as_secs_f64();
    time.mul_f64(factor.max(1.0))
}

/// Returns the number of distant heartbeats from one with the complete state to the next.
pub fn distant_full_interval(period: Duration) -> u64 {
    let interval = DISTANT_FULL_PERIOD.as_millis() / period.as_millis().max(1);
    u64::try_from(interval).unwrap_or(u64::MAX).max(1)
}

/// Changes that haven't been reported to distant VMs.
#[derive(Clone, Debug, Default)]
pub struct DistantChanges {
    pending: Heartbeat,
    reported_jobs: Vec<String>, // Ids.
    is_urgent: bool,
}

impl DistantChanges {
    /// Adds the changes of a heartbeat to the own cell. The later of two changes of the same entry counts.
    pub fn add(&mut self, changes: &Heartbeat) {
        let mut jobs = changes.jobs.iter();
        // Other VMs take over a job that is in the store and that no VM reports.
        let has_new_job = jobs.any(|job| !self.reported_jobs.contains(&job.id));
        self.is_urgent |= is_urgent(changes) || has_new_job;
        let pending = &mut self.pending;
        merge(&mut pending.uses, &changes.uses, |usage| usage.workspace);
        merge(&mut pending.jobs, &changes.jobs, |job| job.id.clone());
        let unreported = &changes.unreported_jobs;
        merge(&mut pending.unreported_jobs, unreported, |job| {
            job.id.clone()
        });
        let process = |server: u32, start: u64| (server, start);
        merge(&mut pending.leaving, &changes.leaving, |notice| {
            process(notice.server, notice.start)
        });
        merge(&mut pending.limits, &changes.limits, |notice| {
            process(notice.server, notice.start)
        });
        pending.crashes.extend_from_slice(&changes.crashes);
        pending.clearances.extend_from_slice(&changes.clearances);
        pending.streams.extend_from_slice(&changes.streams);
        if !changes.quarantines.is_empty() {
            pending.quarantines.clone_from(&changes.quarantines);
        }
    }

    /// Records a change that every heartbeat carries and that distant VMs have to know at once.
    pub fn set_urgent(&mut self) {
        self.is_urgent = true;
    }

    /// Returns whether the changes have to be reported to distant VMs at once.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Adds all changes to a heartbeat for distant VMs. Those of `heartbeat.full` are reported for the last time. Otherwise
    /// all but usage and streams, which are numerous and repeated in full ones, are repeated, since heartbeats may be lost.
    pub fn add_to(&mut self, heartbeat: &mut Heartbeat) {
        self.is_urgent = false;
        let pending = &mut self.pending;
        let uses = std::mem::take(&mut pending.uses);
        let missing = uses.into_iter().filter(|usage| {
            let mut reported = heartbeat.uses.iter();
            !reported.any(|reported| reported.workspace == usage.workspace)
        });
        let missing: Vec<_> = missing.collect();
        heartbeat.uses.extend(missing);
        heartbeat.streams = std::mem::take(&mut pending.streams);
        if heartbeat.full {
            self.reported_jobs = heartbeat.jobs.iter().map(|job| job.id.clone()).collect();
            *pending = Heartbeat::default();
            return;
        }
        heartbeat.jobs.clone_from(&pending.jobs);
        for job in &pending.jobs {
            if !self.reported_jobs.contains(&job.id) {
                self.reported_jobs.push(job.id.clone());
            }
        }
        heartbeat
            .unreported_jobs
            .clone_from(&pending.unreported_jobs);
        heartbeat.leaving.clone_from(&pending.leaving);
        heartbeat.limits.clone_from(&pending.limits);
        heartbeat.crashes.clone_from(&pending.crashes);
        heartbeat.clearances.clone_from(&pending.clearances);
        heartbeat.quarantines.clone_from(&pending.quarantines);
    }
}

/// Returns whether changes have to reach all VMs at once: a server drains or crashes, prompts are
/// quarantined or cleared, streams are begun that a client may take up at any VM, or jobs without a runner are found.
fn is_urgent(changes: &Heartbeat) -> bool {
    !changes.leaving.is_empty()
        || !changes.crashes.is_empty()
        || !changes.clearances.is_empty()
        || !changes.quarantines.is_empty()
        || !changes.streams.is_empty()
        || !changes.unreported_jobs.is_empty()
        || changes
            .limits
            .iter()
            .any(|notice| notice.warmup_ms.is_some())
}

/// Replaces the entries of `known` that `changes` has as well, and adds the others.
fn merge<T: Clone, K: PartialEq>(known: &mut Vec<T>, changes: &[T], key: impl Fn(&T) -> K) {
    for change in changes {
        match known.iter().position(|entry| key(entry) == key(change)) {
            Some(index) => known[index] = change.clone(),
            None => known.push(change.clone()),
        }
    }
}

/// Returns the encoded bytes of a heartbeat of `total` bytes by the kind of their content.
pub fn content_bytes(heartbeat: &Heartbeat, total: usize) -> [(&'static str, usize); 6] {
    let slots = encoded_bytes(&heartbeat.places) + encoded_bytes(&heartbeat.demands);
    let rates = encoded_bytes(&heartbeat.uses);
    let jobs = encoded_bytes(&heartbeat.jobs) + encoded_bytes(&heartbeat.unreported_jobs);
    let members = encoded_bytes(&heartbeat.members);
    let limits = encoded_bytes(&heartbeat.limits) + encoded_bytes(&heartbeat.limit_uses);
    let other = total.saturating_sub(slots + rates + jobs + members + limits);
    [
        ("slots", slots),
        ("rates", rates),
        ("jobs", jobs),
        ("members", members),
        ("limits", limits),
        ("other", other),
    ]
}

/// Returns the bytes of a repeated field; its tag takes one byte, or two from number 16 on, which is not distinguished.
fn encoded_bytes<M: Message>(entries: &[M]) -> usize {
    let bytes = entries.iter().map(|entry| {
        let length = entry.encoded_len();
        1 + prost::length_delimiter_len(length) + length
    });
    bytes.sum()
}

/// Decides when a VM sends its list of VMs to another one that knows other VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListPace {
    sent: Option<Instant>,
    changed: Option<Instant>,
    joins: Option<(Instant, u32)>, // Start of the present interval, and lists sent to VMs that join within it.
}

impl ListPace {
    /// Records that the VMs that this one knows have changed.
    pub fn record_change(&mut self, now: Instant) {
        self.changed = Some(now);
    }

    /// Returns whether a VM that joins may be sent the list now, and counts it as sent. The VM asks again otherwise.
    pub fn admit_join(&mut self, now: Instant) -> bool {
        let (start, sent) = self
            .joins
            .filter(|(start, _)| now < *start + JOIN_INTERVAL)
            .unwrap_or((now, 0));
        let admitted = sent < MAX_JOIN_LISTS;
        self.joins = Some((start, sent + u32::from(admitted)));
        admitted
    }

    /// Returns whether a list may be sent now, and counts it as sent.
    pub fn admit(&mut self, now: Instant) -> bool {
        let (short, long) = LIST_INTERVALS;
        let is_recent = |changed: Instant| now < changed + LIST_CHANGE_TIME;
        let interval = match self.changed.is_some_and(is_recent) {
            true => short,
            false => long,
        };
        let admitted = self.sent.is_none_or(|sent| now >= sent + interval);
        if admitted {
            self.sent = Some(now);
        }
        admitted
    }
}
