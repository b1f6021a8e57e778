//! How long a call to the platform waits for one way before it takes another.

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
        first_success,
        HedgedAttempt,
        TryResult, //
    },
};
use tokio::time::{
    sleep,
    Instant, //
};

const PATIENCE: Duration = Duration::from_millis(150);

fn answer(status: u16) -> TryResult {
    Ok(ApiResponse {
        status,
        body: Default::default(),
    })
}

fn refused() -> TryResult {
    Err(ServeError::Unreachable(
        Step::Connect,
        "store".into(),
        "refused".into(),
    ))
}

/// Returns a try that ends after `takes`, or never.
fn ends(after: Duration, takes: Option<Duration>, result: TryResult) -> HedgedAttempt<'static> {
    let call = async move {
        match takes {
            Some(takes) => sleep(takes).await,
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
async fn lost_answers_on_two_ways_cost_two_waits() {
    // arrange
    let silent = |after| ends(after, None, answer(201));
    let third = ends(PATIENCE * 2, Some(Duration::from_millis(5)), answer(409));
    let begun = Instant::now();

    // act
    let result = first_success(vec![silent(Duration::ZERO), silent(PATIENCE), third]).await;

    // assert
    assert_eq!(result.expect("answer").status, 409);
    assert!(begun.elapsed() < PATIENCE * 2 + Duration::from_millis(10));
}

#[tokio::test(start_paused = true)]
async fn a_slow_answer_counts_though_later_tries_were_made() {
    // arrange
    let slow = Duration::from_millis(400);
    let tries = (0..4).map(|index| ends(PATIENCE * index, Some(slow), answer(200)));
    let begun = Instant::now();

    // act
    let result = first_success(tries.collect()).await;

    // assert
    assert_eq!(result.expect("answer").status, 200);
    assert!(begun.elapsed() < slow + Duration::from_millis(10));
}

#[tokio::test(start_paused = true)]
async fn two_refusals_end_a_call_at_once() {
    // arrange
    let tries = (0..4).map(|index| ends(PATIENCE * index, Some(Duration::ZERO), refused()));
    let begun = Instant::now();

    // act
    let result = first_success(tries.collect()).await;

    // assert
    assert!(result.is_err_and(|error| !error.is_ambiguous()));
    assert!(begun.elapsed() < PATIENCE);
}

#[tokio::test(start_paused = true)]
async fn a_failure_after_which_the_call_may_have_run_is_the_one_that_is_told() {
    // arrange
    let unclear = Err(ServeError::Timeout(Step::Receive, "store".into()));
    let first = ends(Duration::ZERO, Some(PATIENCE * 2), unclear);
    let second = ends(PATIENCE, Some(Duration::ZERO), refused());

    // act
    let result = first_success(vec![first, second]).await;

    // assert
    assert!(result.is_err_and(|error| error.is_ambiguous()));
}
