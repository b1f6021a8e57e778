//! Typed reasons for refusing a request, with what the caller may do about each.

use std::time::Duration;

use compact_str::CompactString;
use metrics::counter;
use serde_json::{
    json,
    Value, //
};

use crate::timer::millis;

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No key came with the request.
    KeyMissing,
    /// The key is not known.
    KeyUnknown,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The body or the URL holds the key, which no backend server may see.
    KeyExposed,
    /// The workspace may not call the service.
    WorkspaceForbidden,
    /// No service has the path.
    RouteUnknown,
    /// The body is too large.
    BodyTooLarge,
    /// The head is too large.
    HeaderTooLarge,
    /// The body or a header can't be read.
    RequestMalformed,
    /// The workspace's rate and burst are used up.
    RateExceeded,
    /// No member that holds the workspace's rate can be reached.
    RateUnavailable,
    /// The configuration wasn't confirmed for longer than allowed.
    ConfigStale,
    /// No configuration has arrived yet.
    ConfigMissing,
    /// The service has no backend server that takes new work.
    ServerUnavailable,
    /// All servers are full and the deadline can't be met.
    CapacityShort,
    /// The process is shutting down.
    ShuttingDown,
    /// The first run of the same idempotency key hasn't ended, or its end is unknown.
    RunUnknown,
    /// The platform can't be reached, so nothing could be recorded.
    PlatformUnavailable,
    /// A batch job of this name with other content exists.
    JobConflict,
    /// No such batch job, or no such item of it, exists.
    JobUnknown,
    /// The workspace's unfinished batch items hold as many tokens as allowed.
    BacklogFull,
    /// The store may have taken the batch job over, but its answer is lost.
    JobUnsettled,
    /// The backend server failed after the request went out.
    ServerFailed,
    /// The deadline passed after the request went out.
    DeadlinePassed,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// No byte of the request went to a backend server.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A refusal as it is answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalResponse {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether it ran.
    pub state: RunState,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// Field, step or peer concerned.
    pub detail: CompactString,
}

impl RefusalResponse {
    /// Refuses a request of which nothing was sent to a backend server.
    pub fn not_run(reason: RefusalReason, detail: impl Into<CompactString>) -> RefusalResponse {
        RefusalResponse {
            reason,
            state: RunState::NotRun,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Reports a failure after the request went out.
    pub fn unknown(reason: RefusalReason, detail: impl Into<CompactString>) -> RefusalResponse {
        RefusalResponse {
            state: RunState::Unknown,
            ..RefusalResponse::not_run(reason, detail)
        }
    }

    /// Sets when the caller may come back.
    pub fn retry_after(self, wait: Duration) -> RefusalResponse {
        RefusalResponse {
            retry_after: Some(wait),
            ..self
        }
    }

    /// Returns the value of the `Retry-After` header: whole seconds, rounded up.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let wait = self.retry_after?;
        Some(wait.as_secs() + u64::from(wait.subsec_nanos() > 0))
    }

    /// Returns the JSON body.
    pub fn body(&self, request_id: &str) -> Value {
        json!({"error": {
            "reason": self.reason.name(),
            "outcome": self.state.name(),
            "detail": self.detail,
            "request_id": request_id,
            "retry_after_ms": self.retry_after.map(millis),
        }})
    }

    /// Counts the refusal.
    pub fn count(&self) {
        counter!("refusals_total", "reason" => self.reason.name(), "outcome" => self.state.name())
            .increment(1);
    }
}

impl RunState {
    /// Returns the value of the `x-boragerill-outcome` header.
    pub fn name(self) -> &'static str {
        match self {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
        }
    }
}

impl RefusalReason {
    /// Returns the name in bodies and counters.
    pub fn name(self) -> &'static str {
        self.entry().0
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        self.entry().1
    }

    fn entry(self) -> (&'static str, u16) {
        match self {
            RefusalReason::KeyMissing => ("key_missing", 401),
            RefusalReason::KeyUnknown => ("key_unknown", 401),
            RefusalReason::KeyWithdrawn => ("key_withdrawn", 401),
            RefusalReason::KeyExposed => ("key_exposed", 400),
            RefusalReason::WorkspaceForbidden => ("workspace_forbidden", 403),
            RefusalReason::RouteUnknown => ("route_unknown", 404),
            RefusalReason::BodyTooLarge => ("body_too_large", 413),
            RefusalReason::HeaderTooLarge => ("header_too_large", 431),
            RefusalReason::RequestMalformed => ("request_malformed", 400),
            RefusalReason::RateExceeded => ("rate_exceeded", 429),
            RefusalReason::RateUnavailable => ("rate_unavailable", 503),
            RefusalReason::ConfigStale => ("config_stale", 503),
            RefusalReason::ConfigMissing => ("config_missing", 503),
            RefusalReason::ServerUnavailable => ("server_unavailable", 503),
            RefusalReason::CapacityShort => ("capacity_short", 503),
            RefusalReason::ShuttingDown => ("shutting_down", 503),
            RefusalReason::RunUnknown => ("run_unknown", 409),
            RefusalReason::PlatformUnavailable => ("platform_unavailable", 503),
            RefusalReason::JobConflict => ("job_conflict", 409),
            RefusalReason::JobUnknown => ("job_unknown", 404),
            RefusalReason::BacklogFull => ("backlog_full", 429),
            RefusalReason::JobUnsettled => ("job_unsettled", 502),
            RefusalReason::ServerFailed => ("server_failed", 502),
            RefusalReason::DeadlinePassed => ("deadline_passed", 504),
        }
    }
}
