//! One call on several ways at once: the first good answer counts.

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

/// What a try ends with.
pub type TryResult = Result<ApiResponse, ServeError>;

/// A call that isn't sent before it is polled.
pub type AttemptCall<'a> = Pin<Box<dyn Future<Output = TryResult> + Send + 'a>>;

/// One try of a call.
pub struct HedgedAttempt<'a> {
    /// Time after the first try at which this one is made while none has ended.
    pub after: Duration,
    /// The call.
    pub call: AttemptCall<'a>,
}

/// Tries made at once when those before have failed; further ones are for silence only.
const FAILED_TRIES: usize = 2;

/// Makes tries until one ends well, and returns its answer.
///
/// # Errors
///
/// Returns an ambiguous failure if there was one, since the call may have been carried out; else the
/// failure or refusal of the last try.
pub async fn first_success(tries: Vec<HedgedAttempt<'_>>) -> TryResult {
    let begun = Instant::now();
    let mut waiting = tries.into_iter().peekable();
    let mut running = FuturesUnordered::new();
    let mut failed: Option<TryResult> = None;
    let mut made = 0;
    loop {
        let silent = |next: &HedgedAttempt<'_>| begun.elapsed() >= next.after;
        let next = match running.is_empty() {
            true if made >= FAILED_TRIES => None,
            true => waiting.next(),
            false => waiting.next_if(silent),
        };
        if let Some(next) = next {
            running.push(next.call);
            made += 1;
            continue;
        }
        let due = waiting.peek().map(|next| begun + next.after);
        tokio::select! {
            ended = running.next() => match ended {
                Some(result) if is_conclusive(&result) => return result,
                Some(result) => failed = Some(worse(failed, result)),
                None => return failed.unwrap_or_else(nothing_tried),
            },
            () = sleep_until(due.unwrap_or(begun)), if due.is_some() && !running.is_empty() => {}
        }
    }
}

fn nothing_tried() -> TryResult {
    let cause = "no way to it".into();
    Err(ServeError::Unreachable(
        Step::Send,
        "platform".into(),
        cause,
    ))
}

/// Returns whether an answer tells what has become of the call.
pub fn is_conclusive(result: &TryResult) -> bool {
    result.as_ref().is_ok_and(|response| !is_refusal(response))
}

/// Returns whether the platform has turned a call away without carrying it out.
pub fn is_refusal(response: &ApiResponse) -> bool {
    response.status == 503 || response.status == 429
}

/// Returns what a caller has to know of two failures.
fn worse(before: Option<TryResult>, result: TryResult) -> TryResult {
    match before {
        Some(Err(error)) if error.is_ambiguous() => Err(error),
        Some(before) if result.is_err() && before.is_ok() => before,
        _ => result,
    }
}
