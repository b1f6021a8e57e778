//! Rates and bursts over all VMs within a stated tolerance, from what VMs tell each other of their use.
//!
//! Each VM keeps the whole bucket of a workspace in its own view: it adds what the reachable part of the
//! fleet earns and takes off what it and the reachable VMs used. Parts of the fleet that can't hear each
//! other earn their own part only, so that together they never earn more than the rate. What is used
//! before the others have heard of it is paid back out of later earnings and stays within the tolerance.

use std::time::{
    Duration,
    Instant, //
};

use crate::member::{
    Incarnation,
    EARNING_SILENCE, //
};

/// Rate and burst of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceRate {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Requests a second over all VMs; zero sets no limit.
    pub rate: f64,
    /// Requests at once over all VMs.
    pub burst: f64,
}

/// By how much the use of all VMs together may exceed a rate and burst.
#[derive(Clone, Copy, Debug)]
pub struct RateTolerance {
    /// Length of the windows in which use is counted.
    pub window: Duration,
    /// Part of what rate and burst allow in a window.
    pub overage: f64,
    /// Requests in a window.
    pub slack: f64,
}

impl Default for RateTolerance {
    fn default() -> RateTolerance {
        RateTolerance {
            window: Duration::from_secs(1),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

/// Part of the tolerance that a cut may use.
const CUT_PART: f64 = 0.5;

/// Part of the tolerance that a restart of the whole fleet may use.
const RESTART_PART: f64 = 0.15;

/// Least part of a burst that is usable, however small the tolerance is.
const LEAST_BURST: f64 = 0.5;

impl RateTolerance {
    fn requests(self, limit: &WorkspaceRate) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        allowed * self.overage + self.slack
    }

    /// Returns the burst that the parts of a fleet may use which don't know yet that they are cut off
    /// from each other: if both use it, and earn as if they were not, they stay within the tolerance.
    fn usable_burst(self, limit: &WorkspaceRate) -> f64 {
        let earned_twice = limit.rate * EARNING_SILENCE.as_secs_f64();
        let tolerated = self.requests(limit) * CUT_PART;
        let each = (tolerated + limit.burst - earned_twice) / 2.0;
        each.clamp(limit.burst * LEAST_BURST, limit.burst)
    }
}

/// What the deciding VM knows of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// VMs that are heard, the own one included.
    pub reporting: usize,
    /// VMs of the fleet, the own one included.
    pub size: usize,
}

impl FleetView {
    fn fraction(self) -> f64 {
        if self.size == 0 {
            return 0.0;
        }
        (self.reporting as f64 / self.size as f64).min(1.0)
    }
}

/// What another VM says of its use.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport {
    /// Hash of the VM's name.
    pub vm: u64,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Requests since the start of its process.
    pub used: u64,
    /// How long the VM had been silent, if its use wasn't known for a while.
    pub silence: Option<Duration>,
}

/// Use of one VM, as last reported.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    vm: u64,
    incarnation: Incarnation,
    used: u64,
}

/// What happens to a request of a workspace that has a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateDecision {
    /// It may run.
    Granted,
    /// It may run once the other VMs have heard of the requests before it; to be asked again after
    /// this time.
    Pending(Duration),
    /// The rate is used up; the next request is earned after this time.
    Refused(Duration),
}

/// Time after which the other VMs have heard of a request.
pub const TOLD_AFTER: Duration = Duration::from_millis(25);

/// The bucket of one workspace in the view of one VM.
#[derive(Clone, Debug)]
struct WorkspaceBucket {
    limit: WorkspaceRate,
    level: f64, // Below zero while use that others reported late is paid back.
    updated: Instant,
    used: u64,
    changed: bool,
    used_at: Option<Instant>,
    untold: Vec<Instant>, // Requests taken within the last `TOLD_AFTER`, oldest first.
    peers: Vec<PeerCount>, // Sorted by VM.
}

/// The buckets of all workspaces.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    buckets: Vec<WorkspaceBucket>, // Sorted by workspace.
    started: Instant,
    first: f64,
    tolerance: RateTolerance,
}

/// Time for which use is told again, should a message have been lost.
const RECENT_TIME: Duration = Duration::from_secs(3);

/// Time after a start in which workspaces are new to the process but not to the fleet.
const UNKNOWN_PAST: Duration = Duration::from_secs(6);

impl RateLimiter {
    /// Makes an empty table. After a restart buckets begin with `first` requests, since the fleet may
    /// have used their bursts just before; on the first start of the fleet they begin full.
    pub fn new(first: Option<f64>, tolerance: RateTolerance, now: Instant) -> RateLimiter {
        RateLimiter {
            tolerance,
            buckets: Vec::new(),
            started: now,
            first: first.unwrap_or(f64::INFINITY),
        }
    }

    /// Takes one request's allowance. What the others haven't heard of yet is bounded by this VM's part
    /// of the bucket, so that VMs which take at the same moment don't take the same requests.
    pub fn take(&mut self, limit: WorkspaceRate, view: FleetView, now: Instant) -> RateDecision {
        if limit.rate <= 0.0 {
            return RateDecision::Granted;
        }
        let index = self.bucket_index(limit, now);
        let burst = self.tolerance.usable_burst(&limit);
        let bucket = &mut self.buckets[index];
        bucket.limit = limit;
        bucket.earn(burst, view, now);
        bucket.take(view, now)
    }

    /// Gives back the allowance of a request that didn't run.
    pub fn return_token(&mut self, workspace: u64) {
        if let Ok(index) = self.search(workspace) {
            let bucket = &mut self.buckets[index];
            bucket.level += 1.0;
            bucket.used = bucket.used.saturating_sub(1);
            bucket.changed = true;
        }
    }

    /// Takes over what another VM used since its start.
    ///
    /// After a silence both sides have earned their own parts only, so what the other one earned by
    /// itself meanwhile isn't taken off here; what it used beyond that is.
    pub fn record_usage(&mut self, report: UsageReport, view: FleetView, now: Instant) {
        let Ok(index) = self.search(report.workspace) else {
            return;
        };
        let bucket = &mut self.buckets[index];
        let count = PeerCount {
            vm: report.vm,
            incarnation: report.incarnation,
            used: report.used,
        };
        let found = bucket
            .peers
            .binary_search_by_key(&report.vm, |peer| peer.vm);
        let before = match found {
            Ok(index) => {
                let known = std::mem::replace(&mut bucket.peers[index], count);
                let same_process = known.incarnation == report.incarnation;
                if same_process {
                    known.used
                } else {
                    0
                }
            }
            Err(index) => {
                bucket.peers.insert(index, count);
                // A process that has just started can't tell what is new; later on a VM that wasn't
                // named before had used nothing.
                if now < self.started + UNKNOWN_PAST {
                    return;
                }
                0
            }
        };
        let used = report.used as f64 - before as f64;
        let Some(silence) = report.silence else {
            bucket.level -= used;
            return;
        };
        let alone = silence.min(now.saturating_duration_since(self.started));
        let earned = bucket.limit.rate * alone.as_secs_f64() / view.size.max(1) as f64;
        bucket.level -= (used - earned).max(0.0);
    }

    /// Returns the use of workspaces that has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<(u64, u64)> {
        let changed = self.buckets.iter_mut().filter(|bucket| bucket.changed);
        changed
            .map(|bucket| {
                bucket.changed = false;
                (bucket.limit.workspace, bucket.used)
            })
            .collect()
    }

    /// Returns the use of workspaces that used anything lately, to be told once more.
    pub fn recent_usage(&self, now: Instant) -> Vec<(u64, u64)> {
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.used_at.is_some_and(|used| now < used + RECENT_TIME));
        recent
            .map(|bucket| (bucket.limit.workspace, bucket.used))
            .collect()
    }

    /// Returns the use of all workspaces.
    pub fn uses(&self) -> Vec<(u64, u64)> {
        let used = self.buckets.iter().filter(|bucket| bucket.used > 0);
        used.map(|bucket| (bucket.limit.workspace, bucket.used))
            .collect()
    }

    /// Prepares buckets for the workspaces of a configuration, so that they earn from now on.
    pub fn ensure_buckets(&mut self, limits: &[WorkspaceRate], view: FleetView, now: Instant) {
        for limit in limits.iter().filter(|limit| limit.rate > 0.0) {
            let index = self.bucket_index(*limit, now);
            let burst = self.tolerance.usable_burst(limit);
            self.buckets[index].limit = *limit;
            self.buckets[index].earn(burst, view, now);
        }
    }

    /// Adds what the fleet may use after all of it has started anew: nobody knows what was used before,
    /// and the tolerance bears a part of it.
    pub fn add_restart_tokens(&mut self, view: FleetView, now: Instant) {
        let tolerance = self.tolerance;
        for bucket in &mut self.buckets {
            let burst = tolerance.usable_burst(&bucket.limit);
            bucket.earn(burst, view, now);
            bucket.level += tolerance.requests(&bucket.limit) * RESTART_PART * view.fraction();
            bucket.earn(burst, view, now);
        }
    }

    /// Earns for all workspaces at the present view, before the view changes.
    pub fn refill_all(&mut self, view: FleetView, now: Instant) {
        for bucket in &mut self.buckets {
            let burst = self.tolerance.usable_burst(&bucket.limit);
            bucket.earn(burst, view, now);
        }
    }

    fn bucket_index(&mut self, limit: WorkspaceRate, now: Instant) -> usize {
        match self.search(limit.workspace) {
            Ok(index) => index,
            Err(index) => {
                let is_known = now < self.started + UNKNOWN_PAST;
                let first = if is_known { self.first } else { f64::INFINITY };
                let bucket = WorkspaceBucket {
                    limit,
                    level: limit.burst.min(first),
                    updated: now,
                    used: 0,
                    changed: false,
                    used_at: None,
                    untold: Vec::new(),
                    peers: Vec::new(),
                };
                self.buckets.insert(index, bucket);
                index
            }
        }
    }

    fn search(&self, workspace: u64) -> Result<usize, usize> {
        self.buckets
            .binary_search_by_key(&workspace, |bucket| bucket.limit.workspace)
    }
}

impl WorkspaceBucket {
    fn take(&mut self, view: FleetView, now: Instant) -> RateDecision {
        if self.level < 1.0 {
            let earned = self.limit.rate * view.fraction();
            let wait = Duration::try_from_secs_f64((1.0 - self.level) / earned.max(1e-3));
            return RateDecision::Refused(wait.unwrap_or(Duration::MAX));
        }
        self.untold.retain(|&taken| now < taken + TOLD_AFTER);
        let untold = self.untold.len() as f64;
        let part = (self.level + untold) / view.reporting.max(1) as f64;
        if let Some(oldest) = self.untold.first().filter(|_| untold >= part.max(1.0)) {
            let wait = (*oldest + TOLD_AFTER).saturating_duration_since(now);
            return RateDecision::Pending(wait);
        }
        self.level -= 1.0;
        self.used += 1;
        self.changed = true;
        self.used_at = Some(now);
        self.untold.push(now);
        RateDecision::Granted
    }

    fn earn(&mut self, burst: f64, view: FleetView, now: Instant) {
        let time = now.saturating_duration_since(self.updated).as_secs_f64();
        let part = view.fraction();
        self.updated = self.updated.max(now);
        let most = (burst * part).max(1.0);
        self.level = (self.level + time * self.limit.rate * part).min(most);
    }
}
