//! Tests of hedged calls: when further attempts are started, and which result is returned.

use std::{
    future::pending,
    time::Duration, //
};

use boragerill::{
    api::ApiResponse,
    error::{
        ServeError,
        Step, //
    },
    hedge::{
        first_conclusive_result,
        AttemptResult, //
        HedgedAttempt,
    },
};
use tokio::time::{
    sleep,
    Instant, //
};

const HEDGE_DELAY: Duration = Duration::from_millis(150);

fn response(status: u16) -> AttemptResult {
    Ok(ApiResponse {
        status,
        body: Default::default(),
    })
}

fn refused() -> AttemptResult {
    Err(ServeError::Unreachable(
        Step::Connect,
        "store".into(),
        "refused".into(),
    ))
}

/// Returns an attempt that ends `duration` after its start, or never.
fn attempt(
    after: Duration,
    duration: Option<Duration>,
    result: AttemptResult,
) -> HedgedAttempt<'static> {
    let call = async move {
        match duration {
            Some(duration) => sleep(duration).await,
            None => pending().await,
        }
        result
    };
    HedgedAttempt {
        after,
        call: Box::pin(call),
    }
}

#[tokio::test(start_paused = true)]
async fn two_lost_responses_delay_the_call_by_two_hedge_delays() {
    // arrange
    let lost = |after| attempt(after, None, response(201));
    let third = attempt(
        HEDGE_DELAY * 2,
        Some(Duration::from_millis(5)),
        response(409),
    );
    let start = Instant::now();

    // act
    let result =
        first_conclusive_result(vec![lost(Duration::ZERO), lost(HEDGE_DELAY), third]).await;

    // assert
    assert_eq!(result.expect("response").status, 409);
    assert!(start.elapsed() < HEDGE_DELAY * 2 + Duration::from_millis(10));
}

#[tokio::test(start_paused = true)]
async fn slow_response_is_accepted_after_later_attempts_started() {
    // arrange
    let slow = Duration::from_millis(400);
    let attempts = (0..4).map(|index| attempt(HEDGE_DELAY * index, Some(slow), response(200)));
    let start = Instant::now();

    // act
    let result = first_conclusive_result(attempts.collect()).await;

    // assert
    assert_eq!(result.expect("response").status, 200);
    assert!(start.elapsed() < slow + Duration::from_millis(10));
}

#[tokio::test(start_paused = true)]
async fn two_refused_connections_fail_the_call_at_once() {
    // arrange
    let attempts =
        (0..4).map(|index| attempt(HEDGE_DELAY * index, Some(Duration::ZERO), refused()));
    let start = Instant::now();

    // act
    let result = first_conclusive_result(attempts.collect()).await;

    // assert
    assert!(result.is_err_and(|error| !error.is_ambiguous()));
    assert!(start.elapsed() < HEDGE_DELAY);
}

#[tokio::test(start_paused = true)]
async fn ambiguous_failure_takes_precedence() {
    // arrange
    let ambiguous = Err(ServeError::Timeout(Step::Receive, "store".into()));
    let first = attempt(Duration::ZERO, Some(HEDGE_DELAY * 2), ambiguous);
    let second = attempt(HEDGE_DELAY, Some(Duration::ZERO), refused());

    // act
    let result = first_conclusive_result(vec![first, second]).await;

    // assert
    assert!(result.is_err_and(|error| error.is_ambiguous()));
}
