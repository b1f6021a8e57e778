//! When a failed attempt may be followed by another.

use std::time::Duration;

/// How far an attempt got before it failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptProgress {
    /// No byte of the request was sent.
    NothingSent,
    /// The request went out, and no part of an answer reached the caller.
    Sent,
    /// A part of the answer reached the caller.
    ResponseStarted,
}

/// Why an attempt was repeated; names the counter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// The server could not be reached, so nothing ran.
    ConnectFailed,
    /// The server failed, and the call is idempotent.
    ServerFailed,
}

impl RetryReason {
    /// Returns the name in counters.
    pub fn name(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::ServerFailed => "server_failed",
        }
    }
}

/// One failed attempt as the retry decision sees it.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How far the attempt got.
    pub progress: AttemptProgress,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}

/// Bounds retries to a share of recent successes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tenths: u32, // Of a retry.
}

/// Tenths of a retry that a retry costs; each success earns one.
const RETRY_TENTHS: u32 = 10;

/// Most tenths of a retry that can be saved up.
const LIMIT_TENTHS: u32 = 200;

/// Least time left for which another attempt is worth starting.
const LEAST_REMAINING: Duration = Duration::from_millis(20);

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            tenths: LIMIT_TENTHS / 2,
        }
    }
}

impl RetryBudget {
    /// Notes a success.
    pub fn record_success(&mut self) {
        self.tenths = (self.tenths + 1).min(LIMIT_TENTHS);
    }

    /// Decides on another attempt and pays for it.
    pub fn decide(&mut self, failed: FailedAttempt, most_attempts: u32) -> Option<RetryReason> {
        let reason = retry_reason(failed)?;
        if failed.attempts >= most_attempts
            || failed.remaining < LEAST_REMAINING
            || self.tenths < RETRY_TENTHS
        {
            return None;
        }
        self.tenths -= RETRY_TENTHS;
        Some(reason)
    }
}

/// Returns why the call may be repeated at all: a non-idempotent call only if nothing was sent.
fn retry_reason(failed: FailedAttempt) -> Option<RetryReason> {
    match failed.progress {
        AttemptProgress::NothingSent => Some(RetryReason::ConnectFailed),
        AttemptProgress::Sent if failed.idempotent => Some(RetryReason::ServerFailed),
        AttemptProgress::Sent | AttemptProgress::ResponseStarted => None,
    }
}
