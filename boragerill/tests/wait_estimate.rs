//! Tests of the estimated wait for a slot and of the retry delay.

use std::time::Duration;

use boragerill::wait_estimate::{
    retry_delay,
    SlotLoad,
    WaitEstimator, //
};

const SERVICE: u64 = 5;

/// Returns the estimator of a VM whose requests ran for half a second.
fn estimator() -> WaitEstimator {
    let estimator = WaitEstimator::default();
    estimator.record_run(SERVICE, Duration::from_millis(500));
    estimator
}

fn load(running: u32, ahead: u32) -> SlotLoad {
    SlotLoad { running, ahead }
}

/// After a power loss, all callers retry together; those that can't be served must be refused at once.
#[test]
fn expected_wait_grows_with_requests_ahead_and_shrinks_with_slots_held() {
    // arrange
    let estimator = estimator();

    // act
    let waits = [load(10, 0), load(10, 9), load(40, 9), load(0, 0)]
        .map(|load| estimator.expected_wait(SERVICE, load));

    // assert
    assert_eq!(waits, [50, 500, 125, 500].map(Duration::from_millis));
}

#[test]
fn expected_wait_follows_the_average_of_recent_runs() {
    // arrange
    let estimator = estimator();

    // act
    for _ in 0..60 {
        estimator.record_run(SERVICE, Duration::from_millis(1500));
    }

    // assert
    let wait = estimator.expected_wait(SERVICE, load(1, 0));
    assert!(wait > Duration::from_millis(1450), "{wait:?}");
}

/// Callers refused at a load peak must not retry all at the same moment.
#[test]
fn retry_delays_are_spread_and_bounded_by_the_time_left() {
    // arrange
    let remaining = Duration::from_secs(3);
    let expected = Duration::from_millis(500);

    // act
    let delays = [0.0, 0.5, 1.0].map(|draw| retry_delay(expected, remaining, draw));
    let short = retry_delay(expected, Duration::from_millis(600), 0.5);
    let soon = retry_delay(Duration::ZERO, remaining, 0.5);

    // assert
    assert_eq!(delays, [400, 500, 600].map(Duration::from_millis));
    assert_eq!(short, Duration::from_millis(200));
    assert_eq!(soon, Duration::from_millis(400));
}
