//! Converts between the registry of quarantined prompts and its messages. Messages carry ages, since the VMs'
//! clocks differ.

use std::time::Instant;

use boragerill::{
    generated::messages::{
        ClearanceNotice,
        CrashNotice,
        Heartbeat,
        QuarantineNotice, //
    },
    quarantine::{
        CrashReport,
        PartClearance,
        QuarantineEntry, //
    }, //
};

use crate::{
    quarantine::QuarantineNews,
    timestamps::{
        age_us,
        time_before, //
    }, //
};

/// Adds news to a heartbeat.
pub(crate) fn add_news(heartbeat: &mut Heartbeat, news: &QuarantineNews) {
    let now = Instant::now();
    let reports = news.reports.iter();
    heartbeat.crashes = reports.map(|report| crash_notice(report, now)).collect();
    let clearances = news.clearances.iter();
    heartbeat.clearances = clearances
        .map(|clearance| ClearanceNotice {
            part: clearance.part,
            age_us: age_us(clearance.cleared, now),
        })
        .collect();
    let entries = news.entries.iter();
    heartbeat.quarantines = entries.map(|entry| quarantine_notice(entry, now)).collect();
}

/// Returns the news in a heartbeat that arrived at `now`.
pub(crate) fn read_news(heartbeat: &Heartbeat, now: Instant) -> QuarantineNews {
    let reports = heartbeat.crashes.iter();
    let clearances = heartbeat.clearances.iter();
    let entries = heartbeat.quarantines.iter();
    QuarantineNews {
        reports: reports.map(|notice| crash_report(notice, now)).collect(),
        clearances: clearances
            .map(|notice| PartClearance {
                part: notice.part,
                cleared: time_before(notice.age_us, now),
            })
            .collect(),
        entries: entries
            .map(|notice| quarantine_entry(notice, now))
            .collect(),
    }
}

fn crash_notice(report: &CrashReport, now: Instant) -> CrashNotice {
    CrashNotice {
        request: report.request,
        server: report.server,
        start: report.start,
        sent_age_us: age_us(report.sent, now),
        age_us: age_us(report.crashed, now),
        parts: report.parts.clone(),
    }
}

fn crash_report(notice: &CrashNotice, now: Instant) -> CrashReport {
    let mut parts = notice.parts.clone();
    parts.sort_unstable();
    CrashReport {
        request: notice.request,
        server: notice.server,
        start: notice.start,
        sent: time_before(notice.sent_age_us, now),
        crashed: time_before(notice.age_us, now),
        parts,
    }
}

fn quarantine_notice(entry: &QuarantineEntry, now: Instant) -> QuarantineNotice {
    QuarantineNotice {
        parts: entry.parts.clone(),
        crashes: entry.crashes,
        first_age_us: age_us(entry.first_crash, now),
        last_age_us: age_us(entry.last_crash, now),
        trial_age_us: entry.last_trial.map(|trial| age_us(trial, now)),
    }
}

fn quarantine_entry(notice: &QuarantineNotice, now: Instant) -> QuarantineEntry {
    let mut parts = notice.parts.clone();
    parts.sort_unstable();
    QuarantineEntry {
        parts,
        crashes: notice.crashes,
        first_crash: time_before(notice.first_age_us, now),
        last_crash: time_before(notice.last_age_us, now),
        last_trial: notice.trial_age_us.map(|age| time_before(age, now)),
    }
}
