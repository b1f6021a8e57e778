//! Typed reasons for which a request is refused, and the response to its caller.

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
    /// The request has no key.
    KeyMissing,
    /// The key is unknown.
    KeyUnknown,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The body or the URL contains the key, which must not reach a backend server.
    KeyExposed,
    /// The workspace isn't permitted to call the service.
    WorkspaceForbidden,
    /// No service has a route for the path.
    RouteUnknown,
    /// The body is too large.
    BodyTooLarge,
    /// The request's headers are too large.
    HeaderTooLarge,
    /// The body or a header can't be parsed.
    RequestMalformed,
    /// The caller's HTTP version can't tell a complete stream from one that breaks off.
    ProtocolUnsupported,
    /// The workspace has exceeded its rate and burst.
    RateExceeded,
    /// No reachable member holds a share of the workspace's rate.
    RateUnavailable,
    /// The configuration is older than the allowed age.
    ConfigStale,
    /// No configuration has been received yet.
    ConfigMissing,
    /// The service has no backend server that accepts new requests.
    ServerUnavailable,
    /// No server in a region that the route and the workspace allow takes requests.
    RegionUnavailable,
    /// The failure domains of all servers of the service are evacuated.
    DomainsEvacuated,
    /// This VM doesn't know yet which failure domains are evacuated.
    EvacuationsMissing,
    /// All servers are full, and the request can't run in time.
    CapacityShort,
    /// It is unknown which version of the servers began the stream; the caller has to begin it anew.
    VersionUnknown,
    /// No server of the version that began the stream is left; the caller has to begin it anew.
    VersionUnavailable,
    /// Requests with the prompt crash backend servers.
    PromptQuarantined,
    /// The VM holds as many bytes for its callers as it may.
    MemoryShort,
    /// The process is shutting down.
    ShuttingDown,
    /// An earlier request with the same idempotency key hasn't ended, or its outcome is unknown.
    RunUnknown,
    /// The platform is unreachable, so that the request couldn't be recorded.
    PlatformUnavailable,
    /// A batch job with this name but other content exists.
    JobConflict,
    /// The batch job or its item doesn't exist.
    JobUnknown,
    /// The unfinished batch items of the workspace have reached its token limit.
    BacklogFull,
    /// The store may have stored the batch job, but its response was lost.
    JobUnsettled,
    /// The backend server failed after the request was sent.
    ServerFailed,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
}

/// Whether a refused or failed request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// No byte of the request was sent to a backend server.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Response to a refused or failed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalResponse {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub state: RunState,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Field, step or peer that caused the refusal.
    pub detail: CompactString,
}

impl RefusalResponse {
    /// Makes the response to a request of which nothing was sent to a backend server.
    pub fn not_run(reason: RefusalReason, detail: impl Into<CompactString>) -> RefusalResponse {
        RefusalResponse {
            reason,
            state: RunState::NotRun,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Makes the response to a request that failed after it was sent to a backend server.
    pub fn unknown(reason: RefusalReason, detail: impl Into<CompactString>) -> RefusalResponse {
        RefusalResponse {
            state: RunState::Unknown,
            ..RefusalResponse::not_run(reason, detail)
        }
    }

    /// Sets the delay after which the caller may retry.
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

    /// Returns the JSON body of the response.
    pub fn body(&self, request_id: &str) -> Value {
        json!({"error": {
            "reason": self.reason.name(),
            "outcome": self.state.name(),
            "detail": self.detail,
            "request_id": request_id,
            "retry_after_ms": self.retry_after.map(millis),
        }})
    }

    /// Increments the refusal counter.
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
    /// Returns the name used in response bodies and metric labels.
    pub fn name(self) -> &'static str {
        self.name_and_status().0
    }

    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        self.name_and_status().1
    }

    fn name_and_status(self) -> (&'static str, u16) {
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
            RefusalReason::ProtocolUnsupported => ("protocol_unsupported", 505),
            RefusalReason::RateExceeded => ("rate_exceeded", 429),
            RefusalReason::RateUnavailable => ("rate_unavailable", 503),
            RefusalReason::ConfigStale => ("config_stale", 503),
            RefusalReason::ConfigMissing => ("config_missing", 503),
            RefusalReason::ServerUnavailable => ("server_unavailable", 503),
            RefusalReason::RegionUnavailable => ("region_unavailable", 503),
            RefusalReason::DomainsEvacuated => ("domains_evacuated", 503),
            RefusalReason::EvacuationsMissing => ("evacuations_missing", 503),
            RefusalReason::CapacityShort => ("capacity_short", 503),
            RefusalReason::VersionUnknown => ("version_unknown", 503),
            RefusalReason::VersionUnavailable => ("version_unavailable", 503),
            RefusalReason::PromptQuarantined => ("prompt_quarantined", 503),
            RefusalReason::MemoryShort => ("memory_short", 503),
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
