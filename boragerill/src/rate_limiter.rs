//! Distributed token buckets: they bound the requests of each workspace over all VMs to its rate and
//! burst, within a configured tolerance, from the usage that VMs report to each other.
//!
//! Each VM keeps the complete bucket of a workspace as seen from that VM. The bucket is refilled at the
//! rate times the reachable fraction of the fleet, and the requests of this VM and of the reachable VMs
//! are subtracted. The sides of a network partition refill only by their own fractions, so that together
//! they never exceed the rate. Requests that other VMs report only later make the bucket negative: later
//! refills pay for them, and the excess stays within the tolerance.

use std::time::{
    Duration,
    Instant, //
};

use crate::member::{
    Incarnation,
    USAGE_TIMEOUT, //
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

/// By how much the requests of all VMs together may exceed a rate and burst.
#[derive(Clone, Copy, Debug)]
pub struct RateTolerance {
    /// Length of the windows in which requests are counted.
    pub window: Duration,
    /// Tolerated excess as a fraction of the requests that rate and burst allow in a window.
    pub overage: f64,
    /// Tolerated excess in addition to `overage`, in requests in a window.
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

/// Fraction of the tolerance that may be spent while a network partition is not yet detected.
const PARTITION_PART: f64 = 0.5;

/// Fraction of the tolerance that may be spent after a restart of the whole fleet.
const RESTART_PART: f64 = 0.15;

/// Fraction of the tolerance that may be spent on requests that VMs of other cells report with a delay.
const DELAY_PART: f64 = 0.35;

/// How many times its rate a workspace sends at most, as far as requests may be reported with a delay.
const EXPECTED_OVERLOAD: f64 = 4.0;

/// Fraction of the usable burst below which each request is reported to all VMs at once.
const URGENT_PART: f64 = 0.5;

/// Least usable fraction of a burst, however small the tolerance is.
const MIN_BURST_PART: f64 = 0.5;

impl RateTolerance {
    /// Returns the tolerated excess in one window, in requests.
    fn excess(self, limit: &WorkspaceRate) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        allowed * self.overage + self.slack
    }

    /// Returns the burst that each side of a network partition may use before the partition is detected:
    /// if both sides use this burst and still refill at the full rate, they stay within the tolerance.
    fn usable_burst(self, limit: &WorkspaceRate) -> f64 {
        let accrued_twice = limit.rate * USAGE_TIMEOUT.as_secs_f64();
        let tolerated = self.excess(limit) * PARTITION_PART;
        let each = (tolerated + limit.burst - accrued_twice) / 2.0;
        each.clamp(limit.burst * MIN_BURST_PART, limit.burst)
    }

    /// Returns how long a request may stay unknown to VMs of other cells while `tokens` are left. Within this time a
    /// workspace that sends [`EXPECTED_OVERLOAD`] times its rate takes no more than these tokens, those that accrue, and a
    /// part of the tolerance.
    fn report_delay(self, limit: &WorkspaceRate, tokens: f64, longest: Duration) -> Duration {
        let spare = tokens + self.excess(limit) * DELAY_PART;
        let delay = spare / (limit.rate * (EXPECTED_OVERLOAD - 1.0));
        let delay = Duration::try_from_secs_f64(delay.max(0.0)).unwrap_or(longest);
        delay.saturating_sub(PROPAGATION_TIME).min(longest)
    }
}

/// Reachability of the fleet as seen by the deciding VM.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// VMs whose usage reports arrive, the deciding VM included.
    pub reporting: usize,
    /// VMs of the fleet, the deciding VM included.
    pub size: usize,
}

impl FleetView {
    /// Returns the fraction of the fleet that reports; zero for an empty fleet.
    pub(crate) fn fraction(self) -> f64 {
        if self.size == 0 {
            return 0.0;
        }
        (self.reporting as f64 / self.size as f64).min(1.0)
    }
}

/// Usage of one workspace that another VM reported.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport {
    /// Hash of the VM's name.
    pub vm: u64,
    /// Start of the VM's process.
    pub incarnation: Incarnation,
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Requests that the VM admitted since the start of its process.
    pub used: u64,
    /// Time since the VM's previous heartbeat, if the VM's usage wasn't known in between.
    pub unreported_for: Option<Duration>,
}

/// Usage of one VM, as last reported.
#[derive(Clone, Copy, Debug)]
struct ReportedUsage {
    vm: u64,
    incarnation: Incarnation,
    used: u64,
}

/// Decision on a request of a workspace that has a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateDecision {
    /// The request may run.
    Granted,
    /// The request has to wait until earlier requests are reported to the other VMs; the caller tries
    /// again after this time.
    Pending(Duration),
    /// The rate is exceeded; the next token accrues after this time.
    Refused(Duration),
}

/// Time until the other VMs have received the report of a request.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(25);

/// Token bucket of one workspace as seen by one VM.
#[derive(Clone, Debug)]
struct WorkspaceBucket {
    limit: WorkspaceRate,
    tokens: f64, // Negative after usage that other VMs reported late.
    updated: Instant,
    used: u64,
    changed: bool,
    last_used: Option<Instant>,
    unreported: Vec<Instant>, // Requests within the last `PROPAGATION_TIME`, oldest first.
    report_due: Option<Instant>, // When VMs of other cells have to know of the requests.
    peers: Vec<ReportedUsage>, // Sorted by VM.
}

/// Token buckets of all workspaces as seen by one VM.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    buckets: Vec<WorkspaceBucket>, // Sorted by workspace.
    started: Instant,
    initial: f64,
    tolerance: RateTolerance,
    longest_delay: Duration, // Of reports to VMs of other cells; zero if there are none.
}

/// Time for which usage is reported again, since single reports may be lost.
const USAGE_RESEND_TIME: Duration = Duration::from_secs(3);

/// Time after the start of the process in which a workspace or VM without an entry may have been in use
/// before.
const STARTUP_PERIOD: Duration = Duration::from_secs(6);

impl RateLimiter {
    /// Makes a limiter without buckets. After a restart buckets begin with `initial` tokens, since the
    /// fleet may just have used their bursts; with `None`, at the first start of the fleet, they begin
    /// full.
    pub fn new(initial: Option<f64>, tolerance: RateTolerance, now: Instant) -> RateLimiter {
        RateLimiter {
            tolerance,
            buckets: Vec::new(),
            started: now,
            initial: initial.unwrap_or(f64::INFINITY),
            longest_delay: Duration::ZERO,
        }
    }

    /// Sets the longest time for which requests may stay unknown to VMs of other cells; zero if there are no other cells.
    pub fn set_report_delay(&mut self, longest: Duration) {
        self.longest_delay = longest;
    }

    /// Returns when the usage has to be reported to VMs of other cells; `None` if it is unchanged.
    pub fn report_due(&self) -> Option<Instant> {
        self.buckets
            .iter()
            .filter_map(|bucket| bucket.report_due)
            .min()
    }

    /// Records that the usage is reported to VMs of other cells.
    pub fn record_distant_report(&mut self) {
        for bucket in &mut self.buckets {
            bucket.report_due = None;
        }
    }

    /// Takes a token for one request. The requests that the other VMs don't know of yet are bounded by
    /// this VM's part of the bucket, so that VMs don't take the same tokens at the same time.
    pub fn take(&mut self, limit: WorkspaceRate, view: FleetView, now: Instant) -> RateDecision {
        if limit.rate <= 0.0 {
            return RateDecision::Granted;
        }
        let index = self.bucket_index(limit, now);
        let burst = self.tolerance.usable_burst(&limit);
        let bucket = &mut self.buckets[index];
        bucket.limit = limit;
        bucket.refill(burst, view, now);
        let decision = bucket.take(view, now);
        if decision == RateDecision::Granted && !self.longest_delay.is_zero() {
            let is_urgent = bucket.tokens < burst * view.fraction() * URGENT_PART;
            let delay = match is_urgent {
                true => Duration::ZERO,
                false => self
                    .tolerance
                    .report_delay(&limit, bucket.tokens, self.longest_delay),
            };
            let due = now + delay;
            bucket.report_due = Some(bucket.report_due.map_or(due, |before| before.min(due)));
        }
        decision
    }

    /// Returns the token of a request that didn't run.
    pub fn return_token(&mut self, workspace: u64) {
        if let Ok(index) = self.search(workspace) {
            let bucket = &mut self.buckets[index];
            bucket.tokens += 1.0;
            bucket.used = bucket.used.saturating_sub(1);
            bucket.changed = true;
        }
    }

    /// Subtracts the usage of another VM since its last report.
    ///
    /// While two VMs were partitioned, each side refilled only by its own fraction. After the partition
    /// only the usage beyond the tokens that the other VM accrued for itself is subtracted.
    pub fn record_usage(&mut self, report: UsageReport, view: FleetView, now: Instant) {
        let Ok(index) = self.search(report.workspace) else {
            return;
        };
        let bucket = &mut self.buckets[index];
        let reported = ReportedUsage {
            vm: report.vm,
            incarnation: report.incarnation,
            used: report.used,
        };
        let found = bucket
            .peers
            .binary_search_by_key(&report.vm, |peer| peer.vm);
        let before = match found {
            Ok(index) => {
                let previous = std::mem::replace(&mut bucket.peers[index], reported);
                let same_process = previous.incarnation == report.incarnation;
                if same_process {
                    previous.used
                } else {
                    0
                }
            }
            Err(index) => {
                bucket.peers.insert(index, reported);
                // Shortly after its start this process doesn't know which part of the usage is new.
                // Later the usage of a VM without an entry was zero before this report.
                if now < self.started + STARTUP_PERIOD {
                    return;
                }
                0
            }
        };
        let used = report.used as f64 - before as f64;
        let Some(unreported_for) = report.unreported_for else {
            bucket.tokens -= used;
            return;
        };
        let partitioned = unreported_for.min(now.saturating_duration_since(self.started));
        let accrued = bucket.limit.rate * partitioned.as_secs_f64() / view.size.max(1) as f64;
        bucket.tokens -= (used - accrued).max(0.0);
    }

    /// Returns the workspaces whose usage has changed since the last call: hash and requests so far.
    pub fn take_changes(&mut self) -> Vec<(u64, u64)> {
        let changed = self.buckets.iter_mut().filter(|bucket| bucket.changed);
        changed
            .map(|bucket| {
                bucket.changed = false;
                (bucket.limit.workspace, bucket.used)
            })
            .collect()
    }

    /// Returns the usage of workspaces with recent requests, to be reported once more.
    pub fn recent_usage(&self, now: Instant) -> Vec<(u64, u64)> {
        let recent = self.buckets.iter().filter(|bucket| {
            bucket
                .last_used
                .is_some_and(|used| now < used + USAGE_RESEND_TIME)
        });
        recent
            .map(|bucket| (bucket.limit.workspace, bucket.used))
            .collect()
    }

    /// Returns the usage of all workspaces that have any: hash and requests so far.
    pub fn usage(&self) -> Vec<(u64, u64)> {
        let used = self.buckets.iter().filter(|bucket| bucket.used > 0);
        used.map(|bucket| (bucket.limit.workspace, bucket.used))
            .collect()
    }

    /// Creates and refills the buckets of a configuration's workspaces, so that tokens accrue from now on.
    pub fn ensure_buckets(&mut self, limits: &[WorkspaceRate], view: FleetView, now: Instant) {
        for limit in limits.iter().filter(|limit| limit.rate > 0.0) {
            let index = self.bucket_index(*limit, now);
            let burst = self.tolerance.usable_burst(limit);
            self.buckets[index].limit = *limit;
            self.buckets[index].refill(burst, view, now);
        }
    }

    /// Adds tokens after a restart of the whole fleet. No VM knows the usage before the restart, so the
    /// added tokens come out of the tolerance.
    pub fn add_restart_tokens(&mut self, view: FleetView, now: Instant) {
        let tolerance = self.tolerance;
        for bucket in &mut self.buckets {
            let burst = tolerance.usable_burst(&bucket.limit);
            bucket.refill(burst, view, now);
            bucket.tokens += tolerance.excess(&bucket.limit) * RESTART_PART * view.fraction();
            bucket.refill(burst, view, now);
        }
    }

    /// Refills all buckets by the present view; to be called before the view changes.
    pub fn refill_all(&mut self, view: FleetView, now: Instant) {
        for bucket in &mut self.buckets {
            let burst = self.tolerance.usable_burst(&bucket.limit);
            bucket.refill(burst, view, now);
        }
    }

    fn bucket_index(&mut self, limit: WorkspaceRate, now: Instant) -> usize {
        match self.search(limit.workspace) {
            Ok(index) => index,
            Err(index) => {
                let in_startup = now < self.started + STARTUP_PERIOD;
                let initial = if in_startup {
                    self.initial
                } else {
                    f64::INFINITY
                };
                let bucket = WorkspaceBucket {
                    limit,
                    tokens: limit.burst.min(initial),
                    updated: now,
                    used: 0,
                    changed: false,
                    last_used: None,
                    unreported: Vec::new(),
                    report_due: None,
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
        if self.tokens < 1.0 {
            let rate = self.limit.rate * view.fraction();
            let wait = Duration::try_from_secs_f64((1.0 - self.tokens) / rate.max(1e-3));
            return RateDecision::Refused(wait.unwrap_or(Duration::MAX));
        }
        self.unreported
            .retain(|&taken| now < taken + PROPAGATION_TIME);
        let unreported = self.unreported.len() as f64;
        let own_part = (self.tokens + unreported) / view.reporting.max(1) as f64;
        if let Some(oldest) = self
            .unreported
            .first()
            .filter(|_| unreported >= own_part.max(1.0))
        {
            let wait = (*oldest + PROPAGATION_TIME).saturating_duration_since(now);
            return RateDecision::Pending(wait);
        }
        self.tokens -= 1.0;
        self.used += 1;
        self.changed = true;
        self.last_used = Some(now);
        self.unreported.push(now);
        RateDecision::Granted
    }

    /// Adds the tokens accrued since the last update, up to the reachable fraction of the burst and at least
    /// to one token.
    fn refill(&mut self, burst: f64, view: FleetView, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let fraction = view.fraction();
        self.updated = self.updated.max(now);
        let capacity = (burst * fraction).max(1.0);
        self.tokens = (self.tokens + elapsed * self.limit.rate * fraction).min(capacity);
    }
}
