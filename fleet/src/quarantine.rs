//! Registry of the prompts that crash backend servers, shared with the other VMs.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use arc_swap::ArcSwap;
use boragerill::{
    prompt::{
        PartKey,
        PromptParts, //
    },
    quarantine::{
        check_prompt,
        CrashReport,
        PartClearance,
        PromptCheck,
        QuarantineEntry,
        QuarantineTable,
        TrialTerms, //
    },
    sync::lock,
    timer::millis, //
};
use log::info;
use metrics::gauge;
use tokio::sync::Notify;

/// Time for which this VM repeats its crash reports and clearances to the other VMs.
const REPEAT_TIME: Duration = Duration::from_secs(10);

/// Largest number of crash reports that this VM repeats.
const MAX_REPEATED_REPORTS: usize = 32;

/// Number of events from which on a server is taken to be able to run a request. A server that crashes as it
/// begins to respond may still have sent the first one.
const PROVEN_EVENTS: u64 = 2;

/// What a request needs to know, published whenever the table changes.
#[derive(Debug, Default)]
struct QuarantineView {
    suspects: Vec<PartKey>, // Sorted.
    entries: Vec<QuarantineEntry>,
}

/// What this VM tells the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuarantineNews {
    /// Crashes that this VM saw.
    pub(crate) reports: Vec<CrashReport>,
    /// Parts that this VM cleared.
    pub(crate) clearances: Vec<PartClearance>,
    /// Quarantines that this VM knows; empty if they are unchanged.
    pub(crate) entries: Vec<QuarantineEntry>,
}

impl QuarantineNews {
    /// Returns whether there is nothing to tell.
    pub(crate) fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.clearances.is_empty() && self.entries.is_empty()
    }
}

/// Registry of the prompts that crash backend servers.
#[derive(Debug, Default)]
pub(crate) struct QuarantineRegistry {
    table: Mutex<QuarantineTable>,
    view: ArcSwap<QuarantineView>,
    found: Mutex<QuarantineNews>, // Crashes and clearances found by this VM, repeated for `REPEAT_TIME`.
    untold: Mutex<QuarantineNews>, // What no heartbeat has carried yet.
    /// Signals that this VM has changed a quarantine, which has to be stored.
    pub(crate) unstored: Notify,
}

impl QuarantineRegistry {
    /// Returns whether any prompt is quarantined.
    pub(crate) fn is_active(&self) -> bool {
        !self.view.load().entries.is_empty()
    }

    /// Returns whether a request may be sent, without counting it as a trial.
    pub(crate) fn check(
        &self,
        prompt: &PromptParts,
        terms: TrialTerms,
        now: Instant,
    ) -> PromptCheck {
        let view = self.view.load();
        check_prompt(&view.entries, &view.suspects, prompt.keys(), terms, now)
    }

    /// Returns whether a request may be sent now; a trial counts as sent.
    pub(crate) fn admit(
        &self,
        prompt: &PromptParts,
        terms: TrialTerms,
        now: Instant,
    ) -> PromptCheck {
        let check = self.check(prompt, terms, now);
        if check != PromptCheck::Trial {
            return check;
        }
        self.change(|table| {
            let check = table.check(prompt.keys(), terms, now);
            if check == PromptCheck::Trial {
                info!(prompt = prompt.text(); "quarantined prompt is tried again");
                table.start_trial(prompt.keys(), now);
            }
            check
        })
    }

    /// Records a request that a crash broke off before the server had proved that it can run it.
    pub(crate) fn record_crash(&self, report: CrashReport) {
        lock(&self.found).reports.push(report.clone());
        lock(&self.untold).reports.push(report.clone());
        self.change(|table| table.record_crash(report));
    }

    /// Records that a server has proved that it can run a request with the given prompt.
    fn record_output(&self, prompt: &PromptParts, now: Instant) {
        let view = self.view.load();
        let is_suspect = |part: &PartKey| view.suspects.binary_search(part).is_ok();
        if !prompt.keys().iter().any(is_suspect) {
            return;
        }
        let cleared = self.change(|table| table.record_output(prompt.keys(), now));
        lock(&self.found).clearances.extend(&cleared);
        lock(&self.untold).clearances.extend(&cleared);
    }

    /// Records what another VM, or the store, tells.
    pub(crate) fn record_news(&self, news: QuarantineNews) {
        if news.is_empty() {
            return;
        }
        let mut table = lock(&self.table);
        let mut is_changed = false;
        for clearance in news.clearances {
            is_changed |= table.record_clearance(clearance);
        }
        for report in news.reports {
            is_changed |= table.record_crash(report);
        }
        for entry in news.entries {
            is_changed |= table.record_entry(entry);
        }
        if is_changed {
            self.publish(&table);
        }
    }

    /// Returns what no heartbeat has carried yet.
    pub(crate) fn take_untold(&self) -> QuarantineNews {
        std::mem::take(&mut lock(&self.untold))
    }

    /// Returns everything that this VM repeats to the other VMs.
    pub(crate) fn repeated_news(&self) -> QuarantineNews {
        let found = lock(&self.found);
        let newest = found.reports.len().saturating_sub(MAX_REPEATED_REPORTS);
        QuarantineNews {
            reports: found.reports[newest..].to_vec(),
            clearances: found.clearances.clone(),
            entries: self.entries(),
        }
    }

    /// Returns the quarantines that are known.
    pub(crate) fn entries(&self) -> Vec<QuarantineEntry> {
        self.view.load().entries.clone()
    }

    /// Removes what is too old to matter, and looks for parts that have had no output since crashes.
    pub(crate) fn review(&self, now: Instant) {
        let mut found = lock(&self.found);
        found
            .reports
            .retain(|report| now < report.crashed + REPEAT_TIME);
        found
            .clearances
            .retain(|clearance| now < clearance.cleared + REPEAT_TIME);
        drop(found);
        let view = self.view.load();
        if view.suspects.is_empty() && view.entries.is_empty() {
            return;
        }
        self.change(|table| {
            table.remove_expired(now);
            table.review(now);
        });
    }

    /// Changes the table by a finding of this VM, and tells and stores the quarantines if they change.
    fn change<T>(&self, change: impl FnOnce(&mut QuarantineTable) -> T) -> T {
        let mut table = lock(&self.table);
        let before = table.entries().to_vec();
        let result = change(&mut table);
        let entries = table.entries().to_vec();
        self.publish(&table);
        drop(table);
        if entries != before {
            lock(&self.untold).entries = entries;
            self.unstored.notify_one();
        }
        result
    }

    fn publish(&self, table: &QuarantineTable) {
        let view = QuarantineView {
            suspects: table.suspects(),
            entries: table.entries().to_vec(),
        };
        let before = self.view.swap(std::sync::Arc::new(view));
        gauge!("quarantined_prompts").set(table.entries().len() as f64);
        log_changes(&before.entries, table.entries());
    }
}

fn log_changes(before: &[QuarantineEntry], after: &[QuarantineEntry]) {
    for entry in after {
        let known = before.iter().find(|known| known.parts == entry.parts);
        if known.is_none_or(|known| known.crashes != entry.crashes) {
            let age = millis(entry.last_crash.elapsed());
            info!(parts = part_names(&entry.parts).as_str(), crashes = entry.crashes, crash_age_ms = age; "prompt quarantined");
        }
    }
    for entry in before {
        if !after.iter().any(|known| known.parts == entry.parts) {
            info!(parts = part_names(&entry.parts).as_str(), crashes = entry.crashes; "quarantine of a prompt ended");
        }
    }
}

/// Returns the parts in the notation of prompts.
fn part_names(parts: &[PartKey]) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    names.join(",")
}

/// Whether a server has proved that it can run a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunProof {
    is_proven: bool,
}

impl RunProof {
    /// Records the number of events received, or the end of a complete response.
    pub(crate) fn record(
        &mut self,
        registry: &QuarantineRegistry,
        prompt: &PromptParts,
        progress: RunProgress,
    ) {
        let is_proven = match progress {
            RunProgress::Events(count) => count >= PROVEN_EVENTS,
            RunProgress::Complete => true,
        };
        if is_proven && !self.is_proven {
            self.is_proven = true;
            registry.record_output(prompt, Instant::now());
        }
    }

    /// Returns whether the server has proved that it can run the request.
    pub(crate) fn is_proven(self) -> bool {
        self.is_proven
    }
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunProgress {
    /// Number of events received so far.
    Events(u64),
    /// The response is complete.
    Complete,
}
