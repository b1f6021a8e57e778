//! Limits on the requests that a backend server takes a second from all VMs together.
//!
//! A server states its limit in its responses, and takes it back by a response without one. Responses may arrive in
//! another order than they were written in, so a statement carries the time in which it was made.
//!
//! Each VM keeps a token bucket for each process with a limit. The bucket is refilled at the limit times the reporting
//! fraction of the fleet, and the requests that this VM and the reporting VMs send are subtracted: both sides of a
//! partition together keep the limit. VMs with waiting requests would all take the same token, so they take turns:
//! all of them rank the VMs alike for each token, and a VM of a lower rank takes it only if those before it don't.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    member::Incarnation,
    rate_limiter::FleetView, //
};

/// Time for which the tokens of a full bucket beyond the first accrue. Both sides of a partition may spend a full bucket
/// before they notice it.
const CAPACITY_TIME: Duration = Duration::from_millis(750);

/// Time over which the VMs' turns for a token are spread at most.
const TURN_SPREAD: Duration = Duration::from_millis(350);

/// Longest time from one VM's turn to the next one's; within it a VM learns of the others' requests.
const TURN_TIME: Duration = Duration::from_millis(20);

/// Time for which a token is left to online requests before a batch item takes it.
const BATCH_YIELD_TIME: Duration = Duration::from_millis(350);

/// Time after which a VM's rank for the same token is determined again, since the fleet may have changed.
const RANK_LIFETIME: Duration = Duration::from_millis(500);

/// Least rate at which requests are sent to a server, in requests a second: a response is needed to learn that a limit
/// has ended.
const MIN_RATE: f64 = 0.25;

/// Time after the creation of a bucket in which other VMs' first reports include requests from before it.
const ADOPTION_TIME: Duration = Duration::from_millis(1500);

/// Time whose tokens a bucket may owe at most; earlier excess is past the windows in which servers count.
const DEBT_TIME: Duration = Duration::from_secs(2);

/// Time for which statements and reports are repeated, since single messages may be lost.
const REPEAT_TIME: Duration = Duration::from_secs(3);

/// What a response of a server states about the server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests a second that the server takes from all VMs together; `None` if it states no limit.
    pub requests_per_s: Option<f64>,
    /// When the request was sent to the server; the statement was made later.
    pub sent: Instant,
    /// When the response arrived; the statement was made earlier.
    pub received: Instant,
}

impl LimitStatement {
    /// Returns whether this statement replaces `known`: it was made later, or states a lower limit if it isn't known
    /// which of both was made later.
    fn replaces(&self, known: &LimitStatement) -> bool {
        if known.sent >= self.received {
            return false;
        }
        self.sent >= known.received || self.rate_or_infinity() <= known.rate_or_infinity()
    }

    fn rate_or_infinity(&self) -> f64 {
        self.requests_per_s.unwrap_or(f64::INFINITY)
    }
}

/// Identifies one process of a server: the server's key and the start of the process.
pub type ProcessKey = (u32, u64);

/// Change of the limit of a server's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The process.
    pub process: ProcessKey,
    /// Limit before, in requests a second.
    pub before: Option<f64>,
    /// Limit now, in requests a second.
    pub now: Option<f64>,
}

/// Class of a request to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendClass {
    /// A request of a caller.
    Online,
    /// An item of a batch job.
    Batch,
}

/// Which requests the limit of a server admits now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SendAdmission {
    /// Online requests and batch items.
    #[default]
    All,
    /// Online requests only.
    Online,
    /// None.
    Nothing,
}

/// Requests of another VM to one process.
#[derive(Clone, Copy, Debug)]
pub struct SendReport {
    /// The process.
    pub process: ProcessKey,
    /// Hash of the VM's name.
    pub vm: u64,
    /// Start of the VM's process.
    pub incarnation: Incarnation,
    /// Requests that the VM has sent since it learned of the limit.
    pub sent: u64,
    /// Time since the VM's previous heartbeat, if it was unreachable in between.
    pub unreported_for: Option<Duration>,
}

/// Rank of this VM among the reachable ones for a token.
#[derive(Clone, Copy, Debug)]
struct TokenRank {
    token: u64, // Requests of all VMs so far.
    rank: usize,
    determined: Instant,
}

/// Requests of one VM, as last reported.
#[derive(Clone, Copy, Debug)]
struct ReportedSends {
    vm: u64,
    incarnation: Incarnation,
    sent: u64,
}

/// Token bucket of one process, as this VM sees it.
#[derive(Clone, Debug)]
struct SendBucket {
    tokens: f64, // Negative after requests that other VMs reported late.
    updated: Instant,
    created: Instant,
    sent: u64,
    changed: bool,
    last_sent: Option<Instant>,
    peers: Vec<ReportedSends>, // Sorted by VM.
    rank: Option<TokenRank>,
}

/// Last statement and token bucket of one process.
#[derive(Clone, Debug)]
struct ServerLimit {
    process: ProcessKey,
    statement: LimitStatement,
    changed: Instant, // When the limit last changed.
    is_new: bool,     // Whether the change hasn't been reported to the other VMs.
    bucket: SendBucket,
}

/// The fleet as a decision on a limit sees it; `rank` returns this VM's rank among the reachable VMs for a number.
#[derive(Clone, Copy, Debug)]
pub struct SendTerms<F> {
    /// Reporting VMs and size of the fleet.
    pub view: FleetView,
    /// Rank of this VM for a number, the same at all VMs.
    pub rank: F,
    /// Time of the decision.
    pub now: Instant,
}

/// Limits of the servers' processes, as this VM knows them.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: Vec<ServerLimit>, // Sorted by process.
}

impl LimitTable {
    /// Records a statement, and returns the change of the process's limit if there is one. A process that has never
    /// stated a limit has no entry.
    pub fn record(
        &mut self,
        process: ProcessKey,
        statement: LimitStatement,
        at: Instant,
    ) -> Option<LimitChange> {
        let before = match self.search(process) {
            Ok(index) => {
                let limit = &mut self.limits[index];
                if !statement.replaces(&limit.statement) {
                    return None;
                }
                let before = limit.statement.requests_per_s;
                limit.statement = statement;
                if before != statement.requests_per_s {
                    limit.changed = at;
                    limit.is_new = true;
                }
                if before.is_none() {
                    limit.bucket.tokens = 0.0;
                    limit.bucket.updated = at;
                }
                before
            }
            Err(index) => {
                statement.requests_per_s?;
                let limit = ServerLimit {
                    process,
                    statement,
                    changed: at,
                    is_new: true,
                    bucket: SendBucket::new(at),
                };
                self.limits.insert(index, limit);
                None
            }
        };
        let now = statement.requests_per_s;
        (before != now).then_some(LimitChange {
            process,
            before,
            now,
        })
    }

    /// Returns the limit in force of a process, in requests a second.
    pub fn limit(&self, process: ProcessKey) -> Option<f64> {
        let index = self.search(process).ok()?;
        self.limits[index].statement.requests_per_s
    }

    /// Returns which requests the limit of a process admits now.
    pub fn admission<F>(&mut self, process: ProcessKey, terms: &SendTerms<F>) -> SendAdmission
    where
        F: Fn(u64) -> usize,
    {
        let Some((bucket, rate)) = self.bucket(process, terms.view) else {
            return SendAdmission::All;
        };
        bucket.refill(rate, terms.now);
        if bucket.missing(SendClass::Batch, rate, terms) <= 0.0 {
            SendAdmission::All
        } else if bucket.missing(SendClass::Online, rate, terms) <= 0.0 {
            SendAdmission::Online
        } else {
            SendAdmission::Nothing
        }
    }

    /// Takes a token for a request to a process, and returns whether the request may be sent.
    pub fn take<F>(&mut self, process: ProcessKey, class: SendClass, terms: &SendTerms<F>) -> bool
    where
        F: Fn(u64) -> usize,
    {
        let Some((bucket, rate)) = self.bucket(process, terms.view) else {
            return true;
        };
        bucket.refill(rate, terms.now);
        if bucket.missing(class, rate, terms) > 0.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        bucket.sent += 1;
        bucket.changed = true;
        bucket.last_sent = Some(terms.now);
        true
    }

    /// Returns the token of a request that wasn't sent.
    pub fn return_token(&mut self, process: ProcessKey) {
        if let Ok(index) = self.search(process) {
            let bucket = &mut self.limits[index].bucket;
            bucket.tokens += 1.0;
            bucket.sent = bucket.sent.saturating_sub(1);
            bucket.changed = true;
        }
    }

    /// Returns the rate at which a process takes requests from this side of a partition, in requests a second, and the
    /// time until it admits an online request of this VM; `None` without a limit.
    pub fn next_admission<F>(
        &mut self,
        process: ProcessKey,
        terms: &SendTerms<F>,
    ) -> Option<(f64, Duration)>
    where
        F: Fn(u64) -> usize,
    {
        let (bucket, rate) = self.bucket(process, terms.view)?;
        bucket.refill(rate, terms.now);
        let missing = bucket.missing(SendClass::Online, rate, terms).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / rate);
        Some((rate, wait.unwrap_or(Duration::MAX)))
    }

    /// Empties the bucket of a process to which other VMs have sent the requests until now. Their first reports include
    /// requests from before.
    pub fn restart_bucket(&mut self, process: ProcessKey, now: Instant) {
        if let Ok(index) = self.search(process) {
            let bucket = &mut self.limits[index].bucket;
            bucket.tokens = bucket.tokens.min(0.0);
            bucket.updated = now;
            bucket.created = now;
        }
    }

    /// Subtracts the requests of another VM since its last report. While two VMs were partitioned, each side was
    /// refilled by its own fraction only, so that after a partition only the excess is subtracted.
    pub fn record_sends(&mut self, report: SendReport, view: FleetView, now: Instant) {
        let Some((bucket, rate)) = self.bucket(report.process, view) else {
            return;
        };
        bucket.refill(rate, now);
        let unreported = report.unreported_for.unwrap_or_default().as_secs_f64();
        let accrued = rate * unreported / view.reporting.max(1) as f64;
        bucket.record_sends(&report, accrued, now);
        let debt = rate * DEBT_TIME.as_secs_f64() + 1.0;
        bucket.tokens = bucket.tokens.max(-debt);
    }

    /// Returns this VM's requests to the processes for which they have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<(ProcessKey, u64)> {
        let changed = self.limits.iter_mut().filter(|limit| limit.bucket.changed);
        changed
            .map(|limit| {
                limit.bucket.changed = false;
                (limit.process, limit.bucket.sent)
            })
            .collect()
    }

    /// Returns this VM's requests to the processes to which it has sent some recently.
    pub fn recent_sends(&self, now: Instant) -> Vec<(ProcessKey, u64)> {
        let is_recent = |sent: Instant| now < sent + REPEAT_TIME;
        let limits = self.limits.iter();
        limits
            .filter(|limit| limit.bucket.last_sent.is_some_and(is_recent))
            .map(|limit| (limit.process, limit.bucket.sent))
            .collect()
    }

    /// Returns the last statements of the processes whose limits have changed since the last call.
    pub fn take_new_statements(&mut self) -> Vec<(ProcessKey, LimitStatement)> {
        let new = self.limits.iter_mut().filter(|limit| limit.is_new);
        new.map(|limit| {
            limit.is_new = false;
            (limit.process, limit.statement)
        })
        .collect()
    }

    /// Returns the last statements of the processes whose limits have changed recently.
    pub fn recent_statements(&self, now: Instant) -> Vec<(ProcessKey, LimitStatement)> {
        let limits = self.limits.iter();
        limits
            .filter(|limit| now < limit.changed + REPEAT_TIME)
            .map(|limit| (limit.process, limit.statement))
            .collect()
    }

    /// Returns the last statements of all processes that have stated a limit.
    pub fn statements(&self) -> Vec<(ProcessKey, LimitStatement)> {
        let limits = self.limits.iter();
        limits
            .map(|limit| (limit.process, limit.statement))
            .collect()
    }

    /// Returns whether no process has stated a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Removes the processes for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(ProcessKey) -> bool) {
        self.limits.retain(|limit| is_listed(limit.process));
    }

    /// Returns the bucket of a process and the rate at which it is refilled, if a limit is in force.
    fn bucket(&mut self, process: ProcessKey, view: FleetView) -> Option<(&mut SendBucket, f64)> {
        let index = self.search(process).ok()?;
        let limit = &mut self.limits[index];
        let rate = limit.statement.requests_per_s?.max(MIN_RATE);
        Some((&mut limit.bucket, rate * view.fraction()))
    }

    fn search(&self, process: ProcessKey) -> Result<usize, usize> {
        self.limits
            .binary_search_by_key(&process, |limit| limit.process)
    }
}

impl SendBucket {
    fn new(now: Instant) -> SendBucket {
        SendBucket {
            tokens: 0.0,
            updated: now,
            created: now,
            sent: 0,
            changed: false,
            last_sent: None,
            peers: Vec::new(),
            rank: None,
        }
    }

    /// Adds the tokens that have accrued since the last call.
    fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let capacity = 1.0 + rate * CAPACITY_TIME.as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
    }

    /// Returns how many tokens are missing until this VM may send a request.
    fn missing<F>(&mut self, class: SendClass, rate: f64, terms: &SendTerms<F>) -> f64
    where
        F: Fn(u64) -> usize,
    {
        let missing = 1.0 - self.tokens;
        if missing > 0.0 {
            return missing;
        }
        let turns = u32::try_from(terms.view.reporting).unwrap_or(u32::MAX);
        let turn = TURN_TIME.min(TURN_SPREAD / turns.max(1));
        let rank = u32::try_from(self.rank(terms)).unwrap_or(u32::MAX);
        let turn = turn.saturating_mul(rank).min(TURN_SPREAD);
        let wait = match class {
            SendClass::Online => turn,
            SendClass::Batch => turn + BATCH_YIELD_TIME,
        };
        missing + rate * wait.as_secs_f64()
    }

    /// Returns this VM's rank for the next token, which all VMs number by the requests sent so far.
    fn rank<F>(&mut self, terms: &SendTerms<F>) -> usize
    where
        F: Fn(u64) -> usize,
    {
        let reported = self.peers.iter().map(|peer| peer.sent);
        let token = reported.fold(self.sent, u64::wrapping_add);
        let known = self
            .rank
            .filter(|rank| rank.token == token && terms.now < rank.determined + RANK_LIFETIME);
        if let Some(known) = known {
            return known.rank;
        }
        let rank = (terms.rank)(token);
        self.rank = Some(TokenRank {
            token,
            rank,
            determined: terms.now,
        });
        rank
    }

    /// Subtracts what a VM has sent since its last report beyond the tokens that it accrued for itself.
    fn record_sends(&mut self, report: &SendReport, accrued: f64, now: Instant) {
        let reported = ReportedSends {
            vm: report.vm,
            incarnation: report.incarnation,
            sent: report.sent,
        };
        let found = self.peers.binary_search_by_key(&report.vm, |peer| peer.vm);
        let before = match found {
            Ok(index) => {
                let previous = std::mem::replace(&mut self.peers[index], reported);
                let same_process = previous.incarnation == report.incarnation;
                if same_process {
                    previous.sent
                } else {
                    0
                }
            }
            Err(index) => {
                self.peers.insert(index, reported);
                if now < self.created + ADOPTION_TIME {
                    report.sent
                } else {
                    0
                }
            }
        };
        let sent = report.sent as f64 - before as f64;
        self.tokens -= if sent > 0.0 {
            (sent - accrued).max(0.0)
        } else {
            sent
        };
    }
}
