//! Hedged calls: sends several attempts of a call and returns the first conclusive result.

use std::{
    future::Future,
    pin::Pin,
    time::Duration, //
};

use futures_util::{
    stream::FuturesUnordered,
    StreamExt, //
};
use tokio::time::{
    sleep_until,
    Instant, //
};

use crate::{
    api::ApiResponse,
    error::{
        ServeError,
        Step, //
    },
};

/// Result of an attempt.
pub type AttemptResult = Result<ApiResponse, ServeError>;

/// Future of one attempt; nothing is sent before it is first polled.
pub type AttemptCall<'a> = Pin<Box<dyn Future<Output = AttemptResult> + Send + 'a>>;

/// One attempt of a call.
pub struct HedgedAttempt<'a> {
    /// Time after the first attempt at which this one is started if none of the earlier ones has ended.
    pub after: Duration,
    /// Future of the attempt.
    pub call: AttemptCall<'a>,
}

/// Number of failed attempts with which the call fails if none is running. With fewer failed attempts, the next
/// one is started at once.
const MAX_FAILED_ATTEMPTS: usize = 2;

/// Starts attempts until one has a conclusive result, and returns its response.
///
/// # Errors
///
/// Returns an ambiguous failure if there was one, since the call may have been executed; otherwise the failure
/// or refusal of the last attempt.
pub async fn first_conclusive_result(attempts: Vec<HedgedAttempt<'_>>) -> AttemptResult {
    let start = Instant::now();
    let mut pending = attempts.into_iter().peekable();
    let mut running = FuturesUnordered::new();
    let mut failed: Option<AttemptResult> = None;
    let mut started = 0;
    loop {
        let is_due = |next: &HedgedAttempt<'_>| start.elapsed() >= next.after;
        let next = match running.is_empty() {
            true if started >= MAX_FAILED_ATTEMPTS => None,
            true => pending.next(),
            false => pending.next_if(is_due),
        };
        if let Some(next) = next {
            running.push(next.call);
            started += 1;
            continue;
        }
        let due = pending.peek().map(|next| start + next.after);
        tokio::select! {
            ended = running.next() => match ended {
                Some(result) if is_conclusive(&result) => return result,
                Some(result) => failed = Some(merge_failures(failed, result)),
                None => return failed.unwrap_or_else(no_attempt),
            },
            () = sleep_until(due.unwrap_or(start)), if due.is_some() && !running.is_empty() => {}
        }
    }
}

fn no_attempt() -> AttemptResult {
    let cause = "no attempt could be made".into();
    Err(ServeError::Unreachable(
        Step::Send,
        "platform".into(),
        cause,
    ))
}

/// Returns whether a result determines the outcome of the call: a response that isn't a refusal.
pub fn is_conclusive(result: &AttemptResult) -> bool {
    result.as_ref().is_ok_and(|response| !is_refusal(response))
}

/// Returns whether the platform refused a call without executing it.
pub fn is_refusal(response: &ApiResponse) -> bool {
    response.status == 503 || response.status == 429
}

/// Returns whether a call may have been executed despite its result: whether the attempt failed ambiguously.
pub fn is_unknown(result: &AttemptResult) -> bool {
    result.as_ref().is_err_and(|error| error.is_ambiguous())
}

/// Merges the failures of two attempts: an ambiguous error stays, whichever attempt it belongs to. Without one, an
/// earlier refusal stays if the later attempt failed with an error; otherwise the later failure is returned.
pub fn merge_failures(before: Option<AttemptResult>, result: AttemptResult) -> AttemptResult {
    match before {
        Some(before) if is_unknown(&before) => before,
        Some(before) if result.is_err() && !is_unknown(&result) && before.is_ok() => before,
        _ => result,
    }
}
