//! Decides which processes of backend servers are warming up, and until when.
//!
//! A server that has just started is slow for some seconds. It states its remaining warm-up time in its entry, but a VM
//! may meet the process before it knows the entry, so that a process also counts as warming up for the time of its
//! service when it first appears after the VM's first list, when it was unreachable, and when the evacuation of its
//! failure domain has ended.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    backend::Revision,
    rate_limiter::FleetView,
    server_limit::ProcessKey, //
};

/// Time after the start of a VM's process in which it sends nothing to servers that are warming up: reports of the other
/// VMs' requests arrive within it.
const START_HOLD: Duration = Duration::from_secs(1);

/// Time for which a VM must have known that it is the only one of the fleet before it sends to such servers.
const ALONE_TIME: Duration = Duration::from_secs(2);

/// Time without a sign of life of the own process after which the process counts as having been paused. Other VMs stop
/// refilling their buckets on its behalf at about the same time.
const PAUSE_TIME: Duration = Duration::from_millis(600);

/// Time without a sign of life after which the process may decide by old reports, since it had no processor time. Signs of
/// life come more than twice as often.
const STALL_TIME: Duration = Duration::from_millis(60);

/// Time after a pause in which reports that arrived meanwhile are processed and the list of servers is fetched.
const PAUSE_RECOVERY: Duration = Duration::from_millis(500);

/// Time for which reports of a warm-up are repeated, since single messages may be lost.
const REPEAT_TIME: Duration = Duration::from_secs(3);

/// Time for which VMs that can't reach each other still refill their buckets on each other's behalf.
const SPLIT_TIME: f64 = 0.35;

/// Number of full buckets that fit into the bound beside the tokens accrued by two sides of a partition.
const FULL_BUCKETS: f64 = 3.0;

/// Warm-up of the servers of one service, as its configuration states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceWarmup {
    /// Time for which a process is slow after its start.
    pub time: Duration,
    /// Requests a second that a process takes meanwhile from all VMs together.
    pub requests_per_s: f64,
}

/// How far the requests to a server that is warming up may exceed the rate of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupTolerance {
    /// Factor.
    pub overage: f64,
    /// Requests beyond the factor.
    pub slack: f64,
}

impl Default for WarmupTolerance {
    fn default() -> WarmupTolerance {
        WarmupTolerance {
            overage: 1.5,
            slack: 5.0,
        }
    }
}

/// Token bucket of a process that is warming up, for a fleet whose VMs all report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupRate {
    /// Tokens accrued a second.
    pub requests_per_s: f64,
    /// Tokens that a full bucket holds.
    pub capacity: f64,
}

impl WarmupRate {
    /// Returns the bucket whose tokens stay within the tolerance if two sides of a partition each spend a full one and
    /// refill it at the full rate until they notice the partition.
    pub fn new(service: ServiceWarmup, tolerance: WarmupTolerance) -> WarmupRate {
        let rate = service.requests_per_s;
        let bound = rate * tolerance.overage + tolerance.slack;
        WarmupRate {
            requests_per_s: rate,
            capacity: ((bound - (1.0 + SPLIT_TIME) * rate) / FULL_BUCKETS).max(0.0),
        }
    }
}

/// Remaining warm-up time in an entry of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatedWarmup {
    /// Remaining time when the entry was received; zero if the process isn't warming up.
    pub remaining: Duration,
    /// Whether another VM reported the entry, so that the time includes what that VM presumed.
    pub is_reported: bool,
}

/// Entry of a server in the list of servers.
#[derive(Clone, Copy, Debug)]
pub struct ListedProcess {
    /// The process.
    pub process: ProcessKey,
    /// Hash of the name of its service.
    pub service: u64,
    /// Revision of the entry.
    pub revision: Revision,
    /// What the entry states, if anything.
    pub stated: Option<StatedWarmup>,
    /// When the entry was received.
    pub received: Instant,
}

/// Warm-up of a process that another VM reported.
#[derive(Clone, Copy, Debug)]
pub struct WarmupReport {
    /// End of the warm-up.
    pub until: Instant,
    /// Revision beyond which an entry ends the warm-up.
    pub revision: Revision,
    /// Whether the VM itself has found that the process is warming up.
    pub is_own: bool,
}

/// Why a process counts as warming up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WarmupCause {
    /// Its entry states it.
    Entry,
    /// A response to a health check stated it.
    Health,
    /// The process appeared after the VM's first list.
    Appeared,
    /// The process was unreachable.
    Reconnected,
    /// The evacuation of its failure domain ended.
    Evacuated,
    /// Another VM reported it.
    Reported,
    /// This VM was paused and may have missed the start of the process.
    Paused,
}

impl WarmupCause {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            WarmupCause::Entry => "entry",
            WarmupCause::Health => "health",
            WarmupCause::Appeared => "appeared",
            WarmupCause::Reconnected => "reconnected",
            WarmupCause::Evacuated => "evacuated",
            WarmupCause::Reported => "reported",
            WarmupCause::Paused => "paused",
        }
    }
}

/// Warm-up that is presumed until a later entry of the process states that it is over.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PresumedWarmup {
    until: Instant,
    revision: Revision, // Later entries end the warm-up.
    cause: WarmupCause,
}

/// What is known of one process.
#[derive(Clone, Debug)]
struct ProcessRecord {
    process: ProcessKey,
    service: Option<u64>, // Unknown until the process is listed.
    revision: Revision,
    is_listed: bool,
    appeared: Option<Instant>, // When it was first listed, unless by the first list.
    stated: Option<(StatedWarmup, Instant)>,
    presumed: Option<PresumedWarmup>,
    own: Option<(Instant, Instant)>, // Begin and end of a warm-up that this VM reports to others.
    is_new: bool,                    // Whether it hasn't been reported yet.
}

/// Warm-up of one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessWarmup {
    /// The process.
    pub process: ProcessKey,
    /// Its service's warm-up.
    pub service: ServiceWarmup,
    /// End of the warm-up.
    pub until: Instant,
    /// Revision beyond which an entry ends the warm-up.
    pub revision: Revision,
    /// Why the process counts as warming up.
    pub cause: WarmupCause,
}

/// Processes of backend servers and their warm-ups, as one VM knows them.
#[derive(Clone, Debug, Default)]
pub struct WarmupTable {
    services: Vec<(u64, ServiceWarmup)>, // Sorted by the hash of the service's name.
    records: Vec<ProcessRecord>,         // Sorted by process.
    has_list: bool,
}

impl WarmupTable {
    /// Replaces the services whose servers warm up.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = (u64, ServiceWarmup)>) {
        let usable = |service: &(u64, ServiceWarmup)| service.1.requests_per_s > 0.0;
        self.services = services.into_iter().filter(usable).collect();
        self.services.sort_by_key(|service| service.0);
    }

    /// Returns whether no service has servers that warm up.
    pub fn is_off(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns whether the servers of a service warm up.
    pub fn warms_up(&self, service: u64) -> bool {
        self.service(service).is_some()
    }

    /// Applies the complete list of servers. Records of processes that it lacks are kept while these are presumed to
    /// be warming up, since the list may be older than a report.
    pub fn observe(&mut self, listed: impl IntoIterator<Item = ListedProcess>, now: Instant) {
        for record in &mut self.records {
            record.is_listed = false;
        }
        let appeared = self.has_list.then_some(now);
        for entry in listed {
            self.observe_entry(entry, appeared);
        }
        self.has_list = true;
        self.records.retain(|record| {
            record.is_listed || record.presumed.is_some_and(|presumed| now < presumed.until)
        });
    }

    fn observe_entry(&mut self, entry: ListedProcess, appeared: Option<Instant>) {
        let record = self.record_mut(entry.process);
        record.is_listed = true;
        if record.service.is_none() {
            let is_reported = entry.stated.is_some_and(|stated| stated.is_reported);
            record.appeared = appeared.filter(|_| !is_reported);
        }
        record.service = Some(entry.service);
        record.revision = entry.revision;
        record.stated = entry.stated.map(|stated| (stated, entry.received));
        let is_warm = entry
            .stated
            .is_some_and(|stated| stated.remaining.is_zero());
        if is_warm {
            record.appeared = None;
            record.presumed = record
                .presumed
                .filter(|presumed| entry.revision <= presumed.revision);
        }
    }

    /// Records that a process counts as warming up for the time of its service, or for `time` if it is given, until a
    /// later entry states otherwise. The other VMs have to learn of it unless only this VM was paused.
    pub fn presume(
        &mut self,
        process: ProcessKey,
        time: Option<Duration>,
        cause: WarmupCause,
        now: Instant,
    ) {
        let Some(service) = self.find(process).and_then(|record| record.service) else {
            return;
        };
        let Some(service) = self.service(service) else {
            return;
        };
        let until = now + time.unwrap_or(service.time);
        let record = self.record_mut(process);
        record.extend(PresumedWarmup {
            until,
            revision: record.revision,
            cause,
        });
        if cause != WarmupCause::Paused {
            record.own = Some((now, until));
            record.is_new = true;
        }
    }

    /// Counts all processes that warm up as warming up for a short time, since this VM was paused.
    pub fn presume_all(&mut self, now: Instant) {
        let listed: Vec<ProcessKey> = self.records.iter().map(|record| record.process).collect();
        for process in listed {
            self.presume(process, Some(PAUSE_RECOVERY), WarmupCause::Paused, now);
        }
    }

    /// Records a warm-up that another VM reported, and returns whether that has changed anything. One that the VM doesn't
    /// report as its own finding has no effect if an earlier report is known: it may be that report, prolonged by the
    /// time of its transfers.
    pub fn record_report(
        &mut self,
        process: ProcessKey,
        report: WarmupReport,
        now: Instant,
    ) -> bool {
        if self.is_off() || report.until <= now {
            return false;
        }
        let record = self.record_mut(process);
        let has_ended = record.revision > report.revision
            && record
                .stated
                .is_some_and(|(stated, _)| stated.remaining.is_zero());
        let is_known = record
            .presumed
            .is_some_and(|presumed| presumed.revision >= report.revision);
        if has_ended || is_known && !report.is_own {
            return false;
        }
        let before = record.presumed;
        record.extend(PresumedWarmup {
            until: report.until,
            revision: report.revision,
            cause: WarmupCause::Reported,
        });
        record.presumed != before
    }

    /// Returns whether the list has a process.
    pub fn is_listed(&self, process: ProcessKey) -> bool {
        self.find(process).is_some_and(|record| record.is_listed)
    }

    /// Returns whether the list has another process of the server in place of this one.
    pub fn is_replaced(&self, process: ProcessKey) -> bool {
        if self.is_listed(process) {
            return false;
        }
        let first = self.search((process.0, 0)).unwrap_or_else(|index| index);
        let others = self.records[first..].iter();
        let mut others = others.take_while(|record| record.process.0 == process.0);
        others.any(|record| record.is_listed)
    }

    /// Returns the warm-up of a process, if it is warming up now.
    pub fn warmup(&self, process: ProcessKey, now: Instant) -> Option<ProcessWarmup> {
        self.record_warmup(self.find(process)?, now)
    }

    /// Returns the processes that are warming up now.
    pub fn warmups(&self, now: Instant) -> Vec<ProcessWarmup> {
        if self.is_off() {
            return Vec::new();
        }
        let records = self.records.iter();
        records
            .filter_map(|record| self.record_warmup(record, now))
            .collect()
    }

    /// Returns the remaining warm-up time of a process to report with its entry; zero if the entry states that the
    /// process isn't warming up, `None` if nothing is known.
    pub fn remaining(&self, process: ProcessKey, now: Instant) -> Option<Duration> {
        let record = self.find(process)?;
        let known = self
            .record_warmup(record, now)
            .map(|warmup| warmup.until.saturating_duration_since(now));
        let stated = record.stated.map(|(stated, received)| {
            let age = now.saturating_duration_since(received);
            stated.remaining.saturating_sub(age)
        });
        known.or(stated)
    }

    /// Returns the warm-ups that other VMs have to learn of and that have begun since the last call.
    pub fn take_new(&mut self, now: Instant) -> Vec<ProcessWarmup> {
        if self.is_off() {
            return Vec::new();
        }
        let is_new = |record: &mut ProcessRecord| std::mem::take(&mut record.is_new);
        let new: Vec<ProcessKey> = self
            .records
            .iter_mut()
            .filter_map(|record| is_new(record).then_some(record.process))
            .collect();
        let warmups = new.into_iter();
        warmups
            .filter_map(|process| self.own_warmup(self.find(process)?, now))
            .collect()
    }

    /// Returns the warm-ups that other VMs have to learn of and that have begun recently.
    pub fn recent(&self, now: Instant) -> Vec<ProcessWarmup> {
        if self.is_off() {
            return Vec::new();
        }
        let records = self.records.iter();
        let recent = records.filter(|record| {
            let own = record.own;
            own.is_some_and(|(begun, _)| now < begun + REPEAT_TIME)
        });
        recent
            .filter_map(|record| self.own_warmup(record, now))
            .collect()
    }

    /// Returns the warm-up of a process as far as this VM has found it, without what others reported.
    fn own_warmup(&self, record: &ProcessRecord, now: Instant) -> Option<ProcessWarmup> {
        let warmup = self.record_warmup(record, now)?;
        let (_, until) = record.own?;
        (now < until).then_some(ProcessWarmup { until, ..warmup })
    }

    fn record_warmup(&self, record: &ProcessRecord, now: Instant) -> Option<ProcessWarmup> {
        let service = match record.service {
            Some(service) => self.service(service)?,
            None => self.slowest_service()?,
        };
        let (until, cause) = record.end(service.time)?;
        (now < until).then(|| ProcessWarmup {
            process: record.process,
            service,
            until,
            revision: record
                .presumed
                .map_or(record.revision, |presumed| presumed.revision),
            cause,
        })
    }

    fn service(&self, service: u64) -> Option<ServiceWarmup> {
        let found = self
            .services
            .binary_search_by_key(&service, |entry| entry.0);
        Some(self.services[found.ok()?].1)
    }

    /// Returns the service of the lowest rate, for processes whose service isn't known yet.
    fn slowest_service(&self) -> Option<ServiceWarmup> {
        let services = self.services.iter().map(|entry| entry.1);
        services.min_by(|a, b| a.requests_per_s.total_cmp(&b.requests_per_s))
    }

    fn find(&self, process: ProcessKey) -> Option<&ProcessRecord> {
        Some(&self.records[self.search(process).ok()?])
    }

    fn record_mut(&mut self, process: ProcessKey) -> &mut ProcessRecord {
        let index = match self.search(process) {
            Ok(index) => index,
            Err(index) => {
                self.records.insert(index, ProcessRecord::new(process));
                index
            }
        };
        &mut self.records[index]
    }

    fn search(&self, process: ProcessKey) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&process, |record| record.process)
    }
}

impl ProcessRecord {
    fn new(process: ProcessKey) -> ProcessRecord {
        ProcessRecord {
            process,
            service: None,
            revision: 0,
            is_listed: false,
            appeared: None,
            stated: None,
            presumed: None,
            own: None,
            is_new: false,
        }
    }

    /// Presumes a warm-up, or prolongs the one that is presumed.
    fn extend(&mut self, warmup: PresumedWarmup) {
        let presumed = match self.presumed {
            Some(known) if known.until >= warmup.until => PresumedWarmup {
                revision: known.revision.max(warmup.revision),
                ..known
            },
            Some(known) => PresumedWarmup {
                revision: known.revision.max(warmup.revision),
                ..warmup
            },
            None => warmup,
        };
        self.presumed = Some(presumed);
    }

    /// Returns the end of the latest warm-up of the process, which may be past, and the cause of the warm-up.
    fn end(&self, time: Duration) -> Option<(Instant, WarmupCause)> {
        let stated = self.stated.map(|(stated, received)| {
            let until = received + stated.remaining;
            (until, WarmupCause::Entry)
        });
        let appeared = self
            .appeared
            .map(|appeared| (appeared + time, WarmupCause::Appeared));
        let presumed = self
            .presumed
            .map(|presumed| (presumed.until, presumed.cause));
        let ends = [stated, appeared, presumed];
        ends.into_iter().flatten().max_by_key(|end| end.0)
    }
}

/// Decides whether this VM knows enough of the fleet to send to servers that are warming up.
#[derive(Clone, Debug)]
pub struct WarmupGate {
    started: Instant,
    alone_since: Option<Instant>,
    last_active: Instant,
    running_since: Instant,
}

impl WarmupGate {
    /// Returns the gate of a VM whose process starts now.
    pub fn new(now: Instant) -> WarmupGate {
        WarmupGate {
            started: now,
            alone_since: None,
            last_active: now,
            running_since: now,
        }
    }

    /// Records the size of the fleet; `is_complete` tells whether the list of the fleet's VMs has been read.
    pub fn observe_fleet(&mut self, size: usize, is_complete: bool, now: Instant) {
        let is_alone = size <= 1 && is_complete;
        self.alone_since = self.alone_since.or(Some(now)).filter(|_| is_alone);
    }

    /// Records that the process runs, and returns whether it was paused before.
    pub fn record_activity(&mut self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.last_active);
        self.last_active = self.last_active.max(now);
        if silence >= STALL_TIME {
            self.running_since = now;
        }
        silence >= PAUSE_TIME
    }

    /// Returns since when the process has run without a stall.
    pub fn running_since(&self) -> Instant {
        self.running_since
    }

    /// Returns whether requests may be sent to servers that are warming up.
    pub fn is_open(&self, view: FleetView, now: Instant) -> bool {
        let knows_fleet = view.size > 1
            || self
                .alone_since
                .is_some_and(|since| now >= since + ALONE_TIME);
        now >= self.started + START_HOLD && knows_fleet
    }
}
