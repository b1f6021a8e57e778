//! Limits on the requests that a backend server takes a second from all VMs together, by its own statement or since it
//! is warming up.
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
    member::{
        Incarnation,
        USAGE_TIMEOUT, //
    },
    rate_limiter::FleetView,
    warmup::WarmupRate, //
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

/// Time from the turn of some VMs for a token of a process that is warming up to the turn of as many again: within two
/// or three of them also slow VMs learn of the others' requests.
const WARMUP_TURN_TIME: Duration = Duration::from_millis(16);

/// Time for which such a token is left to online requests before a batch item takes it.
const WARMUP_YIELD_TIME: Duration = Duration::from_millis(40);

/// Time until a request is tried again that a VM can't send since it reaches too small a part of the fleet or has just
/// started.
const BLOCKED_TIME: Duration = Duration::from_secs(1);

/// Largest number of tokens that a VM returns between two of its reports on a process that is warming up; a greater
/// decrease of its count means that it has begun to count anew.
const MAX_RETURNED: u64 = 2;

/// Time after the end of a warm-up for which its bucket is kept, since the VMs learn of it at different times and count
/// from its creation.
const WARMUP_KEEP_TIME: Duration = Duration::from_secs(10);

/// The same during a warm-up, whose windows are shorter.
const WARMUP_DEBT_TIME: Duration = Duration::from_secs(1);

/// Time without a request for a token of a process that is warming up after which a VM no longer counts as waiting for it.
const WAITING_GAP: Duration = Duration::from_millis(250);

/// Time after a stall of this VM's process in which it processes the reports that have arrived meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(5);

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

/// Token that this VM waits for, at a process that is warming up.
#[derive(Clone, Copy, Debug)]
struct AwaitedToken {
    token: u64, // Requests of all VMs so far.
    since: Instant,
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
    awaited: Option<AwaitedToken>,
    last_asked: Option<Instant>, // When a token was last asked for during a warm-up.
    numbered: Instant,           // When the number of the next token last changed.
    fraction: f64,               // Of the fleet that reported at the last refill during a warm-up.
}

/// Warm-up of one process.
#[derive(Clone, Copy, Debug)]
struct BucketWarmup {
    rate: WarmupRate,
    until: Instant,
    is_reported_over: bool, // Whether its end has been returned by `take_ended_warmups`.
}

/// Last statement, warm-up and token bucket of one process.
#[derive(Clone, Debug)]
struct ServerLimit {
    process: ProcessKey,
    statement: Option<LimitStatement>,
    changed: Instant, // When the limit last changed.
    is_new: bool,     // Whether the change hasn't been reported to the other VMs.
    warmup: Option<BucketWarmup>,
    bucket: SendBucket,
}

/// How the bucket of a process is refilled and used at one moment.
#[derive(Clone, Copy, Debug)]
struct BucketTerms {
    rate: f64, // Tokens accrued a second.
    capacity: f64,
    warmup: Option<WarmupTerms>,
}

/// Terms of a bucket of a process that is warming up.
#[derive(Clone, Copy, Debug)]
struct WarmupTerms {
    fraction: f64,    // Of the fleet that reports.
    full_rate: f64,   // Tokens accrued a second if the whole fleet reports.
    is_blocked: bool, // Whether this VM sends nothing.
}

/// The fleet as a decision on a limit sees it; `rank` returns this VM's rank among the reachable VMs for a number.
#[derive(Clone, Copy, Debug)]
pub struct SendTerms<F> {
    /// Reporting VMs and size of the fleet.
    pub view: FleetView,
    /// Rank of this VM for a number, the same at all VMs.
    pub rank: F,
    /// Whether requests may be sent to processes that are warming up.
    pub sends_to_warming: bool,
    /// Since when this VM's process has run without a stall.
    pub running_since: Instant,
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
                let known = limit.statement;
                if known.is_some_and(|known| !statement.replaces(&known)) {
                    return None;
                }
                let before = known.and_then(|known| known.requests_per_s);
                if known.is_none() && statement.requests_per_s.is_none() {
                    return None;
                }
                limit.statement = Some(statement);
                if before != statement.requests_per_s {
                    limit.changed = at;
                    limit.is_new = true;
                }
                if before.is_none() && !limit.is_warming(at) {
                    limit.bucket.tokens = 0.0;
                    limit.bucket.updated = at;
                }
                before
            }
            Err(index) => {
                statement.requests_per_s?;
                let limit = ServerLimit {
                    process,
                    statement: Some(statement),
                    changed: at,
                    is_new: true,
                    warmup: None,
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
        self.limits[index].stated_rate()
    }

    /// Replaces the processes that are warming up, sorted by process, and returns those that weren't before. The bucket
    /// of such a process is empty then.
    pub fn set_warmups(
        &mut self,
        warmups: &[(ProcessKey, WarmupRate, Instant)],
        now: Instant,
    ) -> Vec<ProcessKey> {
        for limit in &mut self.limits {
            let is_kept = warmups.binary_search_by_key(&limit.process, |warmup| warmup.0);
            if let Some(warmup) = limit.warmup.as_mut().filter(|_| is_kept.is_err()) {
                warmup.until = warmup.until.min(now);
            }
        }
        let mut begun = Vec::new();
        for &(process, rate, until) in warmups.iter().filter(|warmup| now < warmup.2) {
            let limit = self.limit_mut(process, now);
            if !limit.is_warming(now) {
                limit.bucket.begin_warmup(rate.requests_per_s, now);
                begun.push(process);
            }
            limit.warmup = Some(BucketWarmup {
                rate,
                until,
                is_reported_over: false,
            });
        }
        begun
    }

    /// Returns the entry of a process, which is made if there is none.
    fn limit_mut(&mut self, process: ProcessKey, now: Instant) -> &mut ServerLimit {
        let index = match self.search(process) {
            Ok(index) => index,
            Err(index) => {
                let limit = ServerLimit {
                    process,
                    statement: None,
                    changed: now,
                    is_new: false,
                    warmup: None,
                    bucket: SendBucket::new(now),
                };
                self.limits.insert(index, limit);
                index
            }
        };
        &mut self.limits[index]
    }

    /// Returns whether a limit or a warm-up of a process is in force.
    pub fn is_bound(&self, process: ProcessKey, now: Instant) -> bool {
        let found = self.search(process);
        let limit = found.ok().map(|index| &self.limits[index]);
        limit.is_some_and(|limit| limit.stated_rate().is_some() || limit.is_warming(now))
    }

    /// Returns whether a process is warming up.
    pub fn is_warming(&self, process: ProcessKey, now: Instant) -> bool {
        let found = self.search(process);
        found.is_ok_and(|index| self.limits[index].is_warming(now))
    }

    /// Returns the processes whose warm-ups have ended since the last call.
    pub fn take_ended_warmups(&mut self, now: Instant) -> Vec<ProcessKey> {
        let ended = self.limits.iter_mut().filter_map(|limit| {
            let warmup = limit.warmup.as_mut()?;
            let is_news = warmup.until <= now && !warmup.is_reported_over;
            warmup.is_reported_over |= is_news;
            is_news.then_some(limit.process)
        });
        ended.collect()
    }

    /// Empties the buckets of all processes that are warming up, since the tokens of the time in which this VM was
    /// paused may have been used by other VMs.
    pub fn empty_warming(&mut self, now: Instant) {
        let warming = self.limits.iter_mut().filter(|limit| limit.is_warming(now));
        warming.for_each(|limit| limit.bucket.empty(now));
    }

    /// Returns which requests the limit of a process admits now.
    pub fn admission<F>(&mut self, process: ProcessKey, terms: &SendTerms<F>) -> SendAdmission
    where
        F: Fn(u64) -> usize,
    {
        let Some((bucket, bounds)) = self.bucket_for(process, terms) else {
            return SendAdmission::All;
        };
        bucket.refill(&bounds, terms.now);
        if bucket.missing(SendClass::Batch, &bounds, terms) <= 0.0 {
            SendAdmission::All
        } else if bucket.missing(SendClass::Online, &bounds, terms) <= 0.0 {
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
        let Some((bucket, bounds)) = self.bucket_for(process, terms) else {
            return true;
        };
        bucket.refill(&bounds, terms.now);
        if bucket.missing(class, &bounds, terms) > 0.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        bucket.sent += 1;
        bucket.numbered = terms.now;
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
        let (bucket, bounds) = self.bucket_for(process, terms)?;
        bucket.refill(&bounds, terms.now);
        if bounds.is_blocked() {
            return Some((bounds.rate, BLOCKED_TIME));
        }
        let missing = bucket.missing(SendClass::Online, &bounds, terms).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / bounds.rate);
        Some((bounds.rate, wait.unwrap_or(Duration::MAX)))
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
        let Ok(index) = self.search(report.process) else {
            return;
        };
        let limit = &mut self.limits[index];
        let Some(bounds) = limit.terms(view, true, now) else {
            // A later warm-up or limit is charged only with later requests.
            limit.bucket.replace_report(&report, false, now);
            return;
        };
        let (bucket, rate) = (&mut limit.bucket, bounds.rate);
        bucket.refill(&bounds, now);
        let unreported = report.unreported_for.unwrap_or_default().as_secs_f64();
        let accrued = rate * unreported / view.reporting.max(1) as f64;
        let is_warming = bounds.warmup.is_some();
        let sent = bucket.replace_report(&report, is_warming, now);
        bucket.subtract(sent, accrued, is_warming, &report);
        let debt_time = match is_warming {
            true => WARMUP_DEBT_TIME,
            false => DEBT_TIME,
        };
        let debt = rate * debt_time.as_secs_f64() + 1.0;
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
        new.filter_map(|limit| {
            limit.is_new = false;
            Some((limit.process, limit.statement?))
        })
        .collect()
    }

    /// Returns the last statements of the processes whose limits have changed recently.
    pub fn recent_statements(&self, now: Instant) -> Vec<(ProcessKey, LimitStatement)> {
        let limits = self.limits.iter();
        limits
            .filter(|limit| now < limit.changed + REPEAT_TIME)
            .filter_map(|limit| Some((limit.process, limit.statement?)))
            .collect()
    }

    /// Returns the last statements of all processes that have stated a limit.
    pub fn statements(&self) -> Vec<(ProcessKey, LimitStatement)> {
        let limits = self.limits.iter();
        limits
            .filter_map(|limit| Some((limit.process, limit.statement?)))
            .collect()
    }

    /// Returns whether no process has stated a limit or has been warming up recently.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Removes the processes for which `is_listed` returns false, and those that have neither stated a limit nor been
    /// warming up recently.
    pub fn retain(&mut self, is_listed: impl Fn(ProcessKey) -> bool, now: Instant) {
        self.limits.retain(|limit| {
            let is_kept = |warmup: BucketWarmup| now < warmup.until + WARMUP_KEEP_TIME;
            let was_warming = limit.warmup.is_some_and(is_kept);
            was_warming || limit.statement.is_some() && is_listed(limit.process)
        });
    }

    /// Returns the bucket of a process and its terms, if a limit or a warm-up is in force.
    fn bucket_for<F>(
        &mut self,
        process: ProcessKey,
        terms: &SendTerms<F>,
    ) -> Option<(&mut SendBucket, BucketTerms)> {
        let index = self.search(process).ok()?;
        let limit = &mut self.limits[index];
        let bounds = limit.terms(terms.view, terms.sends_to_warming, terms.now)?;
        Some((&mut limit.bucket, bounds))
    }

    fn search(&self, process: ProcessKey) -> Result<usize, usize> {
        self.limits
            .binary_search_by_key(&process, |limit| limit.process)
    }
}

impl ServerLimit {
    fn stated_rate(&self) -> Option<f64> {
        self.statement?.requests_per_s
    }

    fn is_warming(&self, now: Instant) -> bool {
        self.warmup.is_some_and(|warmup| now < warmup.until)
    }

    /// Returns the terms of the bucket, if a limit or a warm-up is in force; of both, the lower rate and capacity.
    fn terms(&self, view: FleetView, sends_to_warming: bool, now: Instant) -> Option<BucketTerms> {
        let stated = self
            .stated_rate()
            .map(|rate| BucketTerms::stated(rate.max(MIN_RATE) * view.fraction()));
        let warmup = self.warmup.filter(|warmup| now < warmup.until);
        let Some(warmup) = warmup else {
            return stated;
        };
        let limits = stated.map_or((f64::INFINITY, f64::INFINITY), |stated| {
            (stated.rate, stated.capacity)
        });
        Some(BucketTerms::warming(
            warmup.rate,
            limits,
            view.fraction(),
            sends_to_warming,
        ))
    }
}

impl BucketTerms {
    /// Returns the terms of a limit that a server states.
    fn stated(rate: f64) -> BucketTerms {
        BucketTerms {
            rate,
            capacity: 1.0 + rate * CAPACITY_TIME.as_secs_f64(),
            warmup: None,
        }
    }

    /// Returns the terms of a warm-up, with a rate and a capacity of at most `limits`.
    fn warming(
        warmup: WarmupRate,
        limits: (f64, f64),
        fraction: f64,
        sends_to_warming: bool,
    ) -> BucketTerms {
        let rate = (warmup.requests_per_s * fraction).min(limits.0);
        let capacity = (warmup.capacity * fraction).min(limits.1);
        BucketTerms {
            rate,
            capacity,
            warmup: Some(WarmupTerms {
                fraction,
                full_rate: warmup.requests_per_s,
                is_blocked: !sends_to_warming || capacity < 1.0,
            }),
        }
    }

    fn is_blocked(&self) -> bool {
        self.warmup.is_some_and(|warmup| warmup.is_blocked)
    }
}

/// Returns the number of binary digits of a number.
fn bit_length(number: usize) -> u32 {
    usize::BITS - number.leading_zeros()
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
            awaited: None,
            last_asked: None,
            numbered: now,
            fraction: 0.0,
        }
    }

    /// Empties the bucket at the beginning of a warm-up, in which tokens accrue at `rate`; a recent debt stays.
    fn begin_warmup(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens += elapsed * rate;
        self.empty(now);
    }

    /// Removes the tokens; a debt stays.
    fn empty(&mut self, now: Instant) {
        self.tokens = self.tokens.min(0.0);
        self.updated = self.updated.max(now);
    }

    /// Adds the tokens that have accrued since the last call.
    fn refill(&mut self, terms: &BucketTerms, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * terms.rate).min(terms.capacity);
        let Some(warmup) = terms.warmup else {
            return;
        };
        // Tokens that accrued on behalf of VMs which had already become unreachable are taken back: these VMs may have
        // used them.
        let lost = (self.fraction - warmup.fraction).max(0.0) * warmup.full_rate;
        self.tokens -= lost * USAGE_TIMEOUT.as_secs_f64();
        self.fraction = warmup.fraction;
        if warmup.is_blocked {
            self.tokens = self.tokens.min(0.0);
        }
    }

    /// Returns how many tokens are missing until this VM may send a request.
    fn missing<F>(&mut self, class: SendClass, bounds: &BucketTerms, terms: &SendTerms<F>) -> f64
    where
        F: Fn(u64) -> usize,
    {
        if bounds.is_blocked() {
            return f64::INFINITY;
        }
        let missing = 1.0 - self.tokens;
        if bounds.warmup.is_some() {
            return self.missing_warming(class, bounds, terms);
        }
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
        missing + bounds.rate * wait.as_secs_f64()
    }

    /// The same for a process that is warming up. A full bucket gives no VM its turn at once: all may have begun to ask
    /// for its tokens just now.
    fn missing_warming<F>(
        &mut self,
        class: SendClass,
        bounds: &BucketTerms,
        terms: &SendTerms<F>,
    ) -> f64
    where
        F: Fn(u64) -> usize,
    {
        let last_asked = self.last_asked.replace(terms.now);
        let missing = 1.0 - self.tokens;
        if missing > 0.0 {
            self.awaited = None;
            return missing;
        }
        let token = self.token();
        let is_waiting = |asked: &Instant| terms.now < *asked + WAITING_GAP;
        let last_asked = last_asked.filter(is_waiting);
        let known = self.awaited.filter(|awaited| awaited.token == token);
        let since = match (last_asked, known) {
            (Some(_), Some(awaited)) => awaited.since,
            // The token has accrued since this VM last asked.
            (Some(asked), None) => {
                let surplus = Duration::try_from_secs_f64(-missing / bounds.rate);
                let accrued = terms.now.checked_sub(surplus.unwrap_or_default());
                asked.max(self.numbered).max(accrued.unwrap_or(asked))
            }
            (None, _) => terms.now,
        };
        self.awaited = Some(AwaitedToken { token, since });
        let since = since.max(terms.running_since + CATCH_UP_TIME);
        // VMs of low rank share turns: one after the other they would wait for long.
        let turn = WARMUP_TURN_TIME * bit_length(self.rank(terms));
        let turn = match class {
            SendClass::Online => turn,
            SendClass::Batch => turn + WARMUP_YIELD_TIME,
        };
        let end = since + turn;
        if terms.now >= end {
            return 0.0;
        }
        bounds.rate * (end - terms.now).as_secs_f64()
    }

    /// Returns the number of the next token: all VMs number them by the requests sent so far.
    fn token(&self) -> u64 {
        let reported = self.peers.iter().map(|peer| peer.sent);
        reported.fold(self.sent, u64::wrapping_add)
    }

    /// Returns this VM's rank for the next token.
    fn rank<F>(&mut self, terms: &SendTerms<F>) -> usize
    where
        F: Fn(u64) -> usize,
    {
        let token = self.token();
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

    /// Records a report, and returns the requests of its VM since the last one; negative if tokens were returned.
    /// A process that is warming up has got all requests of a VM's first report meanwhile.
    fn replace_report(&mut self, report: &SendReport, is_warming: bool, now: Instant) -> f64 {
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
                if !is_warming && now < self.created + ADOPTION_TIME {
                    report.sent
                } else {
                    0
                }
            }
        };
        if report.sent != before {
            self.numbered = now;
        }
        report.sent as f64 - before as f64
    }

    /// Subtracts what a VM has sent since its last report beyond the tokens that it accrued for itself.
    fn subtract(&mut self, sent: f64, accrued: f64, is_warming: bool, report: &SendReport) {
        self.tokens -= if sent > 0.0 {
            (sent - accrued).max(0.0)
        } else if !is_warming {
            sent
        } else if sent < -(MAX_RETURNED as f64) {
            report.sent as f64
        } else {
            0.0
        };
    }
}
