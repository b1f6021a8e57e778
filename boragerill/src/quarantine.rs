//! Quarantine of prompts that crash backend servers.
//!
//! A part of a prompt may crash every server that begins to respond to it. Such requests are recognized by the
//! crashes that they leave behind: parts are quarantined once several crashes, one after the other, have each
//! broken off a request with these parts before its first output, and no request with them had any output
//! meanwhile. An ordinary crash breaks off many requests, but they were all sent before it, and their parts have
//! output elsewhere soon afterwards. Where many servers crash under the same parts at once, fewer rounds or a
//! time without output suffice.
//!
//! What the broken-off requests have in common is quarantined as a whole, so that a request is refused only if
//! its prompt has all of these parts. A part leaves the quarantine with its first output. From time to time one
//! request is let through as a trial.
//!
//! The VMs tell each other about crashes, outputs and quarantines. Times of other VMs are converted to this
//! process's clock by their age, so that they are off by the time that a message takes.

use std::time::{
    Duration,
    Instant, //
};

use crate::prompt::PartKey;

/// Number of crashes, one after the other, from which on parts are quarantined.
const QUARANTINE_CRASHES: u32 = 3;

/// Number of servers that crash under the same parts from which on two crashes, one after the other, suffice.
const MANY_SERVERS: usize = 5;

/// Time without output after which a single round of crashes of that many servers suffices.
const OUTPUT_WAIT: Duration = Duration::from_millis(300);

/// Time from the quarantine to the first trial if fewer crashes occurred one after the other.
const EARLY_TRIAL_DELAY: Duration = Duration::from_millis(500);

/// Time from the quarantine to the first trial.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(2);

/// Number of crashes that a quarantine counts at least once a trial has crashed a server.
const FAILED_TRIAL_CRASHES: u32 = QUARANTINE_CRASHES + 1;

/// Difference up to which the times of one moment may differ as several VMs tell them: the time that a message takes.
const MESSAGE_TOLERANCE: Duration = Duration::from_millis(40);

/// Difference up to which two reports of crashes under one request at one process mean the same run. A server needs
/// longer to start again.
const SAME_RUN_TOLERANCE: Duration = Duration::from_secs(1);

/// Difference up to which two times of a trial, as two VMs tell them, mean the same trial.
const TRIAL_TOLERANCE: Duration = Duration::from_secs(1);

/// Time to the next trial after the first one crashed a server; doubles with each further crash.
const TRIAL_DELAY: Duration = Duration::from_secs(60);

/// Largest number of doublings of [`TRIAL_DELAY`].
const MAX_TRIAL_DOUBLINGS: u32 = 6;

/// When a request with quarantined parts may be let through as a trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrialTerms {
    /// Longest wait for a trial after the last crash or trial.
    pub longest_wait: Duration,
    /// Time after a trial is due at which the turn of this VM comes. The VMs would otherwise all let one through before
    /// they know of each other's.
    pub turn: Duration,
}

impl Default for TrialTerms {
    fn default() -> TrialTerms {
        TrialTerms {
            longest_wait: Duration::MAX,
            turn: Duration::ZERO,
        }
    }
}

/// Time for which quarantined parts without requests are remembered after a trial is due.
const IDLE_LIFETIME: Duration = Duration::from_secs(600);

/// Time for which a crash counts as evidence for a new quarantine.
const REPORT_LIFETIME: Duration = Duration::from_secs(60);

/// Largest number of crash reports kept; the oldest are removed first.
const MAX_REPORTS: usize = 256;

/// A request that was broken off by a crash before its first output.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Hash of the request's id.
    pub request: u64,
    /// Key of the server.
    pub server: u32,
    /// Start identifier of the server's process.
    pub start: u64,
    /// When the request was sent to the server.
    pub sent: Instant,
    /// When its connection broke off.
    pub crashed: Instant,
    /// Parts of its prompt, sorted.
    pub parts: Vec<PartKey>,
}

impl CrashReport {
    /// Returns whether two reports mean the same run. A request may run once more at a server whose restart isn't
    /// known yet.
    fn is_same(&self, other: &CrashReport) -> bool {
        let later = self.crashed.max(other.crashed);
        let earlier = self.crashed.min(other.crashed);
        self.request == other.request
            && self.server == other.server
            && self.start == other.start
            && later < earlier + SAME_RUN_TOLERANCE
    }
}

/// First output of a request with a suspect part, which shows that the part doesn't crash servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartClearance {
    /// The part.
    pub part: PartKey,
    /// When the output arrived.
    pub cleared: Instant,
}

/// Parts that are quarantined together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineEntry {
    /// The parts, sorted; a request is refused if its prompt has all of them.
    pub parts: Vec<PartKey>,
    /// Number of crashes, one after the other.
    pub crashes: u32,
    /// Time of the first of these crashes.
    pub first_crash: Instant,
    /// Time of the last crash.
    pub last_crash: Instant,
    /// When the last trial was let through.
    pub last_trial: Option<Instant>,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromptCheck {
    /// No quarantine concerns the prompt.
    Allowed,
    /// The request may be sent as a trial, see [`QuarantineTable::start_trial`].
    Trial,
    /// The prompt is quarantined.
    Quarantined {
        /// Time until the next trial.
        retry_after: Duration,
        /// Number of crashes.
        crashes: u32,
    },
}

/// Crash reports, cleared parts and quarantines, as one VM knows them.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    reports: Vec<CrashReport>,      // Sorted by the time of the crash.
    clearances: Vec<PartClearance>, // Sorted by part.
    entries: Vec<QuarantineEntry>, // Sorted by their parts; no entry's parts include those of another.
}

impl QuarantineEntry {
    /// Returns when the next trial may be let through, at the latest `longest_wait` after the last crash or trial.
    fn trial_due(&self, longest_wait: Duration) -> Instant {
        let last = self
            .last_trial
            .map_or(self.last_crash, |trial| trial.max(self.last_crash));
        last + self.trial_delay().min(longest_wait)
    }

    fn trial_delay(&self) -> Duration {
        match self.crashes.checked_sub(FAILED_TRIAL_CRASHES) {
            None if self.crashes < QUARANTINE_CRASHES => EARLY_TRIAL_DELAY,
            None => FIRST_TRIAL_DELAY,
            Some(failed) => TRIAL_DELAY * (1 << failed.min(MAX_TRIAL_DOUBLINGS)),
        }
    }

    /// Takes over what another VM knows about the same parts. A time changes only if the other VM has seen a
    /// later crash or trial: repeated messages would otherwise move it by their delay, again and again.
    fn merge(&mut self, other: &QuarantineEntry) {
        if other.crashes > self.crashes {
            self.crashes = other.crashes;
            self.last_crash = other.last_crash;
        }
        let is_later = |trial: Instant| {
            self.last_trial
                .is_none_or(|known| trial > known + TRIAL_TOLERANCE)
        };
        if let Some(trial) = other.last_trial.filter(|trial| is_later(*trial)) {
            self.last_trial = Some(trial);
        }
    }
}

impl QuarantineTable {
    /// Returns the crash reports in the order of the crashes.
    pub fn reports(&self) -> &[CrashReport] {
        &self.reports
    }

    /// Returns the cleared parts, sorted by part.
    pub fn clearances(&self) -> &[PartClearance] {
        &self.clearances
    }

    /// Returns the quarantined parts.
    pub fn entries(&self) -> &[QuarantineEntry] {
        &self.entries
    }

    /// Returns the parts whose outputs have to be recorded, sorted: those of crashed requests and the
    /// quarantined ones.
    pub fn suspects(&self) -> Vec<PartKey> {
        let reported = self.reports.iter().flat_map(|report| {
            let parts = report.parts.iter();
            parts.filter(|part| !self.is_cleared(**part, report.crashed))
        });
        let quarantined = self.entries.iter().flat_map(|entry| &entry.parts);
        let mut suspects: Vec<PartKey> = reported.chain(quarantined).copied().collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    /// Records a request that was broken off by a crash, and returns whether the report is new.
    pub fn record_crash(&mut self, report: CrashReport) -> bool {
        if self.reports.iter().any(|known| known.is_same(&report)) {
            return false;
        }
        let index = self
            .reports
            .partition_point(|known| known.crashed <= report.crashed);
        self.reports.insert(index, report.clone());
        let excess = self.reports.len().saturating_sub(MAX_REPORTS);
        self.reports.drain(..excess);
        if !self.count_repeated_crash(&report) {
            self.quarantine_common_parts(&report, CrashEvidence::is_sufficient);
        }
        true
    }

    /// Quarantines parts under which many servers have crashed at once and which have had no output for a time.
    pub fn review(&mut self, now: Instant) {
        let is_settled = |report: &&CrashReport| now >= report.crashed + OUTPUT_WAIT;
        let settled: Vec<CrashReport> = self.reports.iter().filter(is_settled).cloned().collect();
        for report in settled {
            let mut entries = self.entries.iter();
            if !entries.any(|entry| includes(&report.parts, &entry.parts)) {
                self.quarantine_common_parts(&report, |evidence| evidence.is_settled(now));
            }
        }
    }

    /// Records the output of a request, and returns the suspect parts that it clears.
    pub fn record_output(&mut self, parts: &[PartKey], now: Instant) -> Vec<PartClearance> {
        let suspects = self.suspects();
        let cleared = parts
            .iter()
            .filter(|part| suspects.binary_search(part).is_ok());
        let cleared = cleared.map(|&part| PartClearance { part, cleared: now });
        let cleared: Vec<PartClearance> = cleared.collect();
        for clearance in &cleared {
            self.record_clearance(*clearance);
        }
        cleared
    }

    /// Records that a part has been cleared, and returns whether that is new.
    pub fn record_clearance(&mut self, clearance: PartClearance) -> bool {
        match self
            .clearances
            .binary_search_by_key(&clearance.part, |known| known.part)
        {
            Ok(index) if self.clearances[index].cleared >= clearance.cleared => return false,
            Ok(index) => self.clearances[index] = clearance,
            Err(index) => self.clearances.insert(index, clearance),
        }
        for mut entry in std::mem::take(&mut self.entries) {
            if clearance.cleared > entry.first_crash {
                entry.parts.retain(|part| *part != clearance.part);
            }
            self.insert_entry(entry);
        }
        true
    }

    /// Records a quarantine that another VM or an earlier process of this VM has found, and returns whether it
    /// changes this VM's.
    pub fn record_entry(&mut self, mut entry: QuarantineEntry) -> bool {
        let first = entry.first_crash;
        entry.parts.retain(|part| !self.is_cleared(*part, first));
        let before = self.entries.clone();
        self.insert_entry(entry);
        self.entries != before
    }

    /// Returns whether a request with the given parts may be sent, see [`check_prompt`].
    pub fn check(&self, parts: &[PartKey], terms: TrialTerms, now: Instant) -> PromptCheck {
        check_prompt(&self.entries, &self.suspects(), parts, terms, now)
    }

    /// Records that a request with the given parts is let through as a trial.
    pub fn start_trial(&mut self, parts: &[PartKey], now: Instant) {
        let concerned = self.entries.iter_mut();
        for entry in concerned.filter(|entry| includes(parts, &entry.parts)) {
            entry.last_trial = Some(now);
        }
    }

    /// Removes what is too old to matter, and returns whether a quarantine was removed.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        self.reports
            .retain(|report| now < report.crashed + REPORT_LIFETIME);
        self.clearances
            .retain(|clearance| now < clearance.cleared + REPORT_LIFETIME);
        let before = self.entries.len();
        self.entries
            .retain(|entry| now < entry.trial_due(Duration::MAX) + IDLE_LIFETIME);
        self.entries.len() < before
    }

    /// Counts a crash for the quarantines that concern the request, and returns whether there is any.
    fn count_repeated_crash(&mut self, report: &CrashReport) -> bool {
        let concerned = self.entries.iter_mut();
        let mut is_counted = false;
        for entry in concerned.filter(|entry| includes(&report.parts, &entry.parts)) {
            is_counted = true;
            // A request that was under way when the parts were quarantined is no trial.
            let is_trial = entry
                .last_trial
                .is_some_and(|trial| report.sent + MESSAGE_TOLERANCE >= trial);
            if is_trial && report.sent > entry.last_crash {
                entry.crashes = (entry.crashes + 1).max(FAILED_TRIAL_CRASHES);
            }
            entry.last_crash = entry.last_crash.max(report.crashed);
        }
        is_counted
    }

    /// Quarantines what the requests broken off by crashes have in common with a given one if the evidence
    /// suffices: the parts under which most servers crashed, and of these as many as possible.
    fn quarantine_common_parts(
        &mut self,
        report: &CrashReport,
        is_sufficient: impl Fn(&CrashEvidence) -> bool,
    ) {
        let suspects = report.parts.iter();
        let evidence = suspects.filter_map(|part| self.crash_evidence(*part));
        let found = evidence
            .filter(is_sufficient)
            .max_by_key(|evidence| (evidence.servers.len(), evidence.entry.parts.len()));
        if let Some(evidence) = found {
            self.insert_entry(evidence.entry);
        }
    }

    /// Returns what the crashed requests with a part have in common, and how many of the crashes occurred one
    /// after the other: each request was sent after the crash before. Crashes up to the part's last output don't
    /// count.
    fn crash_evidence(&self, part: PartKey) -> Option<CrashEvidence> {
        let mut reports = self.reports.iter().filter(|report| {
            report.parts.binary_search(&part).is_ok() && !self.is_cleared(part, report.crashed)
        });
        let mut evidence = CrashEvidence::new(reports.next()?);
        for report in reports {
            evidence.add(report);
        }
        let first = evidence.entry.first_crash;
        let parts = &mut evidence.entry.parts;
        parts.retain(|part| !self.is_cleared(*part, first));
        Some(evidence)
    }

    /// Inserts an entry unless it has no parts or its parts include those of another one; removes entries whose
    /// parts include those of the new one.
    fn insert_entry(&mut self, entry: QuarantineEntry) {
        if entry.parts.is_empty() {
            return;
        }
        let mut known = self.entries.iter_mut();
        if let Some(known) = known.find(|known| includes(&entry.parts, &known.parts)) {
            if known.parts == entry.parts {
                known.merge(&entry);
            }
            return;
        }
        self.entries
            .retain(|known| !includes(&known.parts, &entry.parts));
        let index = self
            .entries
            .partition_point(|known| known.parts < entry.parts);
        self.entries.insert(index, entry);
    }

    /// Returns whether a part had output after `time`.
    fn is_cleared(&self, part: PartKey, time: Instant) -> bool {
        let found = self
            .clearances
            .binary_search_by_key(&part, |known| known.part);
        found.is_ok_and(|index| self.clearances[index].cleared > time)
    }
}

/// Crashes that broke off requests with a part.
#[derive(Clone, Debug)]
struct CrashEvidence {
    entry: QuarantineEntry,   // What to quarantine if the evidence suffices.
    servers: Vec<(u32, u64)>, // Processes of servers that crashed; sorted.
    requests: Vec<u64>,       // Requests that they broke off; sorted.
    latest: Instant,
}

impl CrashEvidence {
    fn new(report: &CrashReport) -> CrashEvidence {
        CrashEvidence {
            entry: QuarantineEntry {
                parts: report.parts.clone(),
                crashes: 1,
                first_crash: report.crashed,
                last_crash: report.crashed,
                last_trial: None,
            },
            servers: vec![(report.server, report.start)],
            requests: vec![report.request],
            latest: report.crashed,
        }
    }

    /// Adds a crash that is not earlier than the ones before. It counts as a further one if its request was surely sent
    /// after the last one: several VMs may tell of one moment, and of one crash, but a request runs again only after
    /// its run before.
    fn add(&mut self, report: &CrashReport) {
        let tolerance = match self.requests.binary_search(&report.request) {
            Ok(_) => Duration::ZERO,
            Err(index) => {
                self.requests.insert(index, report.request);
                MESSAGE_TOLERANCE
            }
        };
        if report.sent > self.entry.last_crash + tolerance {
            self.entry.crashes += 1;
            self.entry.last_crash = report.crashed;
        }
        self.latest = report.crashed;
        let parts = &mut self.entry.parts;
        parts.retain(|part| report.parts.binary_search(part).is_ok());
        let server = (report.server, report.start);
        if let Err(index) = self.servers.binary_search(&server) {
            self.servers.insert(index, server);
        }
    }

    /// Returns whether the crashes suffice by themselves.
    fn is_sufficient(&self) -> bool {
        let is_repeated = self.entry.crashes > 1 && self.servers.len() >= MANY_SERVERS;
        self.entry.crashes >= QUARANTINE_CRASHES || is_repeated
    }

    /// Returns whether the crashes suffice since no output has followed.
    fn is_settled(&self, now: Instant) -> bool {
        self.servers.len() >= MANY_SERVERS && now >= self.latest + OUTPUT_WAIT
    }
}

/// Returns whether a request with the given parts, of which the last one is its own, may be sent, by the quarantines in
/// `entries`. A request that has crashed a server itself, so that its own part is among `suspects`, is no trial of
/// parts that it shares with others: it would hold them back again. A request that may wait for a limited time is tried
/// after that time in any case.
pub fn check_prompt(
    entries: &[QuarantineEntry],
    suspects: &[PartKey],
    parts: &[PartKey],
    terms: TrialTerms,
    now: Instant,
) -> PromptCheck {
    let own = parts.last();
    let has_crashed = own.is_some_and(|own| suspects.binary_search(own).is_ok());
    let mut result = PromptCheck::Allowed;
    let mut last_due = now;
    let concerned = entries.iter();
    for entry in concerned.filter(|entry| includes(parts, &entry.parts)) {
        let is_shared = own.is_some_and(|own| !entry.parts.contains(own));
        let is_limited = terms.longest_wait < Duration::MAX;
        let mut due = entry.trial_due(terms.longest_wait) + terms.turn;
        if has_crashed && is_shared && !is_limited {
            due = due.max(now + FIRST_TRIAL_DELAY);
        }
        if due > last_due {
            last_due = due;
            result = PromptCheck::Quarantined {
                retry_after: due - now,
                crashes: entry.crashes,
            };
        } else if result == PromptCheck::Allowed {
            result = PromptCheck::Trial;
        }
    }
    result
}

/// Returns whether all of `some` are in `all`; prompts have few parts, in any order.
fn includes(all: &[PartKey], some: &[PartKey]) -> bool {
    some.iter().all(|part| all.contains(part))
}
