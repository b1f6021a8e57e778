//! Directory of the batch jobs that other VMs run, and the decision which of them a VM has to take over.
//!
//! A job is known from the heartbeats of its runner, or from its manifest in the platform's store. A job without a
//! known runner is taken over like one whose runner is unreachable: nothing but its manifest is needed, so that it is
//! found whichever VMs were lost.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    job::JobId,
    member::{
        effective_silence,
        Incarnation,
        MemberTable, //
    },
    rank::hash_name,
};

/// Time without heartbeats of a job's runner after which another VM takes the job over.
pub const RUNNER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time after which a job is taken over whose manifest is in the store but that no VM has reported. A VM sends the
/// complete list of its jobs more often than that.
pub const UNREPORTED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time after which a VM announces a job that it found in the store and that no VM has reported, so that the runner
/// reports it again or the VM that ranks first takes it over.
pub const ANNOUNCE_DELAY: Duration = Duration::from_millis(500);

/// Time without heartbeats of a whole failure domain after which its jobs are taken over. A domain is partitioned
/// more often than lost, and its VMs continue to run their jobs during a partition.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(6500);

/// Time for which a VM leaves a job to a runner that it has been told of by a third VM and may not hear itself. VMs that
/// hear the runner take the job over earlier.
pub const CLAIM_HOLD_TIME: Duration = Duration::from_millis(6500);

/// Time within which a reachable VM reports every job that it runs.
const JOB_REPORT_PERIOD: Duration = Duration::from_millis(2500);

/// Time within which a reachable VM of another cell reports every job that it runs: three complete lists of jobs.
const DISTANT_REPORT_PERIOD: Duration = Duration::from_millis(6500);

/// Delay per rank before a VM takes a job over, so that VMs of higher rank can do so first.
const RANK_WAIT: Duration = Duration::from_millis(400);

/// Time for which a report with more stored chunks takes precedence over one of a competing runner.
const COMPETING_REPORT_LIFETIME: Duration = Duration::from_millis(2500);

/// Time for which a record is kept after its last refresh. A finished job whose record is gone is read from the store
/// again when it is found there.
const RECORD_LIFETIME: Duration = Duration::from_secs(660);

/// Process that runs a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobRunner {
    /// Hash of the VM's name.
    pub vm: u64,
    /// Start of the VM's process.
    pub incarnation: Incarnation,
}

/// What a VM knows of a job of another VM.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRecord {
    /// The job.
    pub id: JobId,
    /// Process that last reported the job; `None` while the job is known from the store only.
    pub runner: Option<JobRunner>,
    /// Time of the first submission on this process's clock.
    pub submitted: Instant,
    /// Tokens of the unfinished items.
    pub waiting_tokens: u64,
    /// Hash of workspace and route, whose waiting tokens are limited together.
    pub account: u64,
    /// Whether the job is finished or cancelled.
    pub closed: bool,
    /// Number of stored chunks of results.
    pub chunks: u32,
    /// Positions of the items that were abandoned and whose results weren't stored.
    pub abandoned: Vec<usize>,
    /// When the last report arrived, the job was found, or a takeover was postponed.
    pub refreshed: Instant,
}

/// A process that reports a job although another one has stored more of its results.
#[derive(Clone, Debug, PartialEq)]
pub struct OutdatedRunner {
    /// Process that reports the job.
    pub runner: JobRunner,
    /// Report of the runner that has stored more.
    pub current: JobRecord,
}

/// What a VM has to know of the fleet to decide on a takeover.
#[derive(Clone, Copy, Debug)]
pub struct TakeoverView<'a> {
    /// The other VMs.
    pub members: &'a MemberTable,
    /// When this VM last reached less than half of the fleet, if ever.
    pub last_minority: Option<Instant>,
}

/// Jobs of other VMs.
#[derive(Clone, Debug, Default)]
pub struct JobDirectory {
    records: Vec<JobRecord>,      // Sorted by id.
    found: Vec<(JobId, Instant)>, // Found in the store and not reported by any VM since; sorted by id.
}

impl JobDirectory {
    /// Returns all records, sorted by id.
    pub fn records(&self) -> &[JobRecord] {
        &self.records
    }

    /// Returns the record of a job.
    pub fn find(&self, id: &str) -> Option<&JobRecord> {
        Some(&self.records[self.search(id).ok()?])
    }

    /// Records a report of a job's runner, unless the known report supersedes it. Returns the runner of which the two
    /// reports show that it is outdated, which may not hear the other one.
    pub fn record_report(&mut self, report: JobRecord) -> Option<OutdatedRunner> {
        self.found.retain(|found| found.0 != report.id);
        let index = match self.search(&report.id) {
            Ok(index) => index,
            Err(index) => {
                self.records.insert(index, report);
                return None;
            }
        };
        let known = &mut self.records[index];
        if known.supersedes(&report) {
            return known.outdates(&report);
        }
        let outdated = report.outdates(known);
        *known = report;
        outdated
    }

    /// Records a job that is in the store or was announced by another VM, unless it is known. `refreshed` of the
    /// record is when the time without a report begins.
    pub fn record_unreported(&mut self, record: JobRecord) {
        if let Err(index) = self.search(&record.id) {
            self.records.insert(index, record);
        }
    }

    /// Records a job that this VM found in the store, and announces it to the other VMs while no VM reports it.
    pub fn record_found(&mut self, record: JobRecord) {
        let id = record.id.clone();
        let refreshed = record.refreshed;
        self.record_unreported(record);
        let is_unreported = self.find(&id).is_some_and(|known| known.runner.is_none());
        let known = self.found.binary_search_by(|found| found.0.cmp(&id));
        if let (true, Err(index)) = (is_unreported, known) {
            self.found.insert(index, (id, refreshed));
        }
    }

    /// Returns the jobs that this VM has to announce: it found them in the store, and no VM has reported them.
    pub fn unreported(&self, now: Instant) -> impl Iterator<Item = &JobRecord> {
        let due = self
            .found
            .iter()
            .filter(move |found| now >= found.1 + ANNOUNCE_DELAY);
        due.filter_map(|found| self.find(&found.0))
    }

    /// Postpones the takeover of a job as if its runner reported it at `time`, which may be in the future.
    pub fn postpone_takeover(&mut self, id: &str, time: Instant) {
        if let Ok(index) = self.search(id) {
            self.records[index].refreshed = time;
        }
    }

    /// Records that this VM runs or keeps a job itself, so that it needn't be announced.
    pub fn record_own(&mut self, id: &str) {
        self.found.retain(|found| found.0 != id);
    }

    /// Records that a job is finished or cancelled, so that it isn't taken over again once no VM reports it any more.
    pub fn record_closed(&mut self, id: &str, now: Instant) {
        self.record_own(id);
        match self.search(id) {
            Ok(index) => {
                self.records[index].closed = true;
                self.records[index].refreshed = now;
            }
            Err(index) => self.records.insert(
                index,
                JobRecord {
                    id: id.into(),
                    runner: None,
                    submitted: now,
                    waiting_tokens: 0,
                    account: 0,
                    closed: true,
                    chunks: 0,
                    abandoned: Vec::new(),
                    refreshed: now,
                },
            ),
        }
    }

    /// Removes records after their lifetime.
    pub fn remove_expired(&mut self, now: Instant) {
        self.records
            .retain(|record| now < record.refreshed + RECORD_LIFETIME);
    }

    /// Returns the jobs that this VM has to take over now.
    pub fn orphans(&self, view: TakeoverView<'_>, now: Instant) -> Vec<JobRecord> {
        let orphaned = self
            .records
            .iter()
            .filter(|record| record.is_orphaned(view, now));
        orphaned.cloned().collect()
    }

    /// Returns whether this VM has to take a job over now.
    pub fn is_orphaned(&self, id: &str, view: TakeoverView<'_>, now: Instant) -> bool {
        self.find(id)
            .is_some_and(|record| record.is_orphaned(view, now))
    }

    fn search(&self, id: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.id.as_str().cmp(id))
    }
}

impl JobRecord {
    /// Returns whether this report takes precedence over one of a competing runner: of two runners, the one that
    /// has stored more chunks continues.
    fn supersedes(&self, other: &JobRecord) -> bool {
        self.has_stored_more(other) && other.refreshed < self.refreshed + COMPETING_REPORT_LIFETIME
    }

    /// Returns whether the other report is of another runner, which has stored fewer chunks.
    fn has_stored_more(&self, other: &JobRecord) -> bool {
        self.runner.map(|runner| runner.vm) != other.runner.map(|runner| runner.vm)
            && self.chunks > other.chunks
    }

    /// Returns the runner of another report of the job if it has stored fewer chunks than the one of this report.
    fn outdates(&self, other: &JobRecord) -> Option<OutdatedRunner> {
        let runner = other.runner.filter(|_| self.has_stored_more(other))?;
        Some(OutdatedRunner {
            runner,
            current: self.clone(),
        })
    }

    /// Returns whether the VM with this view has to take the job over now.
    fn is_orphaned(&self, view: TakeoverView<'_>, now: Instant) -> bool {
        if self.closed {
            return false;
        }
        let since_minority = view
            .last_minority
            .map_or(Duration::MAX, |last| now.saturating_duration_since(last));
        let silence = effective_silence(self.time_since_report(view.members, now), since_minority);
        let timeout = self.takeover_timeout(view.members, now);
        if silence < timeout {
            return false;
        }
        let rank = view.members.own_rank(hash_name(&self.id), now);
        silence >= timeout + RANK_WAIT * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    fn takeover_timeout(&self, members: &MemberTable, now: Instant) -> Duration {
        match self.runner {
            None => UNREPORTED_TIMEOUT,
            Some(runner) if members.is_domain_unreachable(runner.vm, now) => DOMAIN_TIMEOUT,
            Some(_) => RUNNER_TIMEOUT,
        }
    }

    /// Returns the time for which the job has had no known runner: its runner is unreachable, has restarted, or no
    /// longer reports the job, or no VM has reported the job.
    fn time_since_report(&self, members: &MemberTable, now: Instant) -> Duration {
        let since_report = now.saturating_duration_since(self.refreshed);
        let Some((incarnation, runner)) = self
            .runner
            .and_then(|runner| Some((runner.incarnation, members.member(runner.vm)?)))
        else {
            return since_report;
        };
        if runner.info.incarnation != incarnation {
            return since_report;
        }
        if runner.is_reachable(now) {
            // A VM that became reachable again reports its jobs within `JOB_REPORT_PERIOD`.
            let since = self.refreshed.max(runner.since);
            let period = match runner.period {
                None => JOB_REPORT_PERIOD,
                Some(_) => DISTANT_REPORT_PERIOD,
            };
            return now.saturating_duration_since(since).saturating_sub(period);
        }
        let last_heartbeat = runner.last_heartbeat.unwrap_or(self.refreshed);
        now.saturating_duration_since(last_heartbeat)
            .min(since_report)
    }
}
