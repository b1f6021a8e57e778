//! Limits and warm-ups of backend servers together, which decide whether one request may be sent.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    server_limit::{
        LimitTable,
        ProcessKey,
        SendClass,
        SendTerms, //
    },
    warmup::{
        ProcessWarmup,
        WarmupGate,
        WarmupRate,
        WarmupReport,
        WarmupTable,
        WarmupTolerance, //
    },
};

/// Time within which a request has to be sent to a server that is warming up once its token has been taken. Requests
/// whose connections are opened late would otherwise arrive together.
const TOKEN_LIFETIME: Duration = Duration::from_millis(100);

/// Token of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendToken {
    /// The process that the request is sent to.
    pub process: ProcessKey,
    /// Class of the request.
    pub class: SendClass,
    /// When the token was taken; `None` if none was needed then.
    pub taken: Option<Instant>,
}

/// Limits, warm-ups and what this VM knows of the fleet.
#[derive(Clone, Debug)]
pub struct SendTables {
    /// Limits that servers state, and the buckets of all processes.
    pub limits: LimitTable,
    /// Which processes are warming up.
    pub warmups: WarmupTable,
    /// Whether this VM may send to them.
    pub gate: WarmupGate,
    tolerance: WarmupTolerance,
}

impl SendTables {
    /// Returns tables without limits and servers for a VM whose process starts now.
    pub fn new(tolerance: WarmupTolerance, now: Instant) -> SendTables {
        SendTables {
            limits: LimitTable::default(),
            warmups: WarmupTable::default(),
            gate: WarmupGate::new(now),
            tolerance,
        }
    }

    /// Returns whether no request needs a token.
    pub fn is_off(&self) -> bool {
        self.limits.is_empty() && self.warmups.is_off()
    }

    /// Applies the present warm-ups to the buckets, and returns those that begin.
    pub fn apply_warmups(&mut self, now: Instant) -> Vec<ProcessWarmup> {
        if self.is_off() {
            return Vec::new();
        }
        let warmups = self.warmups.warmups(now);
        let rate = |warmup: &ProcessWarmup| WarmupRate::new(warmup.service, self.tolerance);
        let terms: Vec<_> = warmups
            .iter()
            .map(|warmup| (warmup.process, rate(warmup), warmup.until))
            .collect();
        let begun = self.limits.set_warmups(&terms, now);
        let is_begun = |warmup: &ProcessWarmup| begun.binary_search(&warmup.process).is_ok();
        warmups.into_iter().filter(is_begun).collect()
    }

    /// Records that this VM's process runs, and returns whether it was paused: it may then have missed which servers have
    /// begun to warm up, and what the other VMs have sent to them. The warm-ups have to be applied then.
    pub fn record_activity(&mut self, now: Instant) -> bool {
        if !self.gate.record_activity(now) || self.warmups.is_off() {
            return false;
        }
        self.limits.empty_warming(now);
        self.warmups.presume_all(now);
        true
    }

    /// Records the warm-ups that another VM reported, and returns whether the warm-ups have to be applied then.
    pub fn record_reports(
        &mut self,
        reports: impl IntoIterator<Item = (ProcessKey, WarmupReport)>,
        now: Instant,
    ) -> bool {
        let mut is_changed = false;
        for (process, report) in reports {
            is_changed |= self.warmups.record_report(process, report, now);
        }
        is_changed
    }

    /// Takes the token that a request needs now; returns `None` if the request isn't admitted.
    pub fn take<F>(
        &mut self,
        process: ProcessKey,
        class: SendClass,
        terms: &SendTerms<F>,
    ) -> Option<SendToken>
    where
        F: Fn(u64) -> usize,
    {
        let is_bound = self.limits.is_bound(process, terms.now);
        let is_admitted = self.limits.take(process, class, terms);
        is_admitted.then_some(SendToken {
            process,
            class,
            taken: is_bound.then_some(terms.now),
        })
    }

    /// Returns whether a request may be sent without a further token: its process isn't warming up, or the token has
    /// been taken just before.
    pub fn is_valid(&self, token: &SendToken, now: Instant) -> bool {
        !self.limits.is_warming(token.process, now)
            || token
                .taken
                .is_some_and(|taken| now < taken + TOKEN_LIFETIME)
    }

    /// Returns the token of a request that wasn't sent.
    pub fn return_token(&mut self, token: &SendToken) {
        if token.taken.is_some() {
            self.limits.return_token(token.process);
        }
    }
}
