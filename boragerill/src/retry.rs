//! Decides whether a failed attempt is retried.

use std::time::Duration;

/// How far an attempt got before it failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptProgress {
    /// No byte of the request was sent.
    NothingSent,
    /// The request was sent, and no part of a response reached the caller.
    Sent,
    /// A part of the response reached the caller.
    ResponseStarted,
}

/// Why an attempt was retried; used as a metric label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// No connection to the server could be opened, so the request didn't run.
    ConnectFailed,
    /// The server failed, and the request is idempotent.
    ServerFailed,
}

impl RetryReason {
    /// Returns the name used as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::ServerFailed => "server_failed",
        }
    }
}

/// State of a failed attempt that the retry decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How far the attempt got.
    pub progress: AttemptProgress,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of attempts so far, this one included.
    pub attempts: u32,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}

/// Retry budget: limits retries to a tenth of the recent successes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tenths: u32, // In tenths of a retry.
}

/// Cost of a retry in tenths; each success adds one tenth to the budget.
const RETRY_TENTHS: u32 = 10;

/// Largest budget, in tenths of a retry.
const MAX_TENTHS: u32 = 200;

/// Minimum time until the deadline for which another attempt is started.
const MIN_REMAINING: Duration = Duration::from_millis(20);

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            tenths: MAX_TENTHS / 2,
        }
    }
}

impl RetryBudget {
    /// Records a success, which adds to the budget.
    pub fn record_success(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_TENTHS);
    }

    /// Decides whether to retry, and takes the cost of the retry from the budget. At most `max_attempts`
    /// attempts are made.
    pub fn decide(&mut self, failed: FailedAttempt, max_attempts: u32) -> Option<RetryReason> {
        let reason = retry_reason(failed)?;
        if failed.attempts >= max_attempts
            || failed.remaining < MIN_REMAINING
            || self.tenths < RETRY_TENTHS
        {
            return None;
        }
        self.tenths -= RETRY_TENTHS;
        Some(reason)
    }
}

/// Returns why the request may be retried, regardless of the budget: a non-idempotent request only if nothing
/// of it was sent.
fn retry_reason(failed: FailedAttempt) -> Option<RetryReason> {
    match failed.progress {
        AttemptProgress::NothingSent => Some(RetryReason::ConnectFailed),
        AttemptProgress::Sent if failed.idempotent => Some(RetryReason::ServerFailed),
        AttemptProgress::Sent | AttemptProgress::ResponseStarted => None,
    }
}
