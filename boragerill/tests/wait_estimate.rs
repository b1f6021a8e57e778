//! Who is told at once that it can't be served, and when callers are asked to come back.

use std::time::Duration;

use boragerill::wait_estimate::{
    retry_delay,
    SlotLoad,
    WaitEstimator, //
};

const SERVICE: u64 = 5;

/// Returns what a VM knows whose requests ran for half a second.
fn table() -> WaitEstimator {
    let table = WaitEstimator::default();
    table.record_run(SERVICE, Duration::from_millis(500));
    table
}

fn load(running: u32, ahead: u32) -> SlotLoad {
    SlotLoad { running, ahead }
}

#[test]
fn wait_after_a_power_loss_grows_with_those_ahead_and_shrinks_with_the_places_held() {
    // arrange
    let table = table();

    // act
    let waits = [load(10, 0), load(10, 9), load(40, 9), load(0, 0)]
        .map(|load| table.expected_wait(SERVICE, load));

    // assert
    assert_eq!(waits, [50, 500, 125, 500].map(Duration::from_millis));
}

#[test]
fn runs_of_a_service_are_averaged_over_the_last_ones() {
    // arrange
    let table = table();

    // act
    for _ in 0..60 {
        table.record_run(SERVICE, Duration::from_millis(1500));
    }

    // assert
    let wait = table.expected_wait(SERVICE, load(1, 0));
    assert!(wait > Duration::from_millis(1450), "{wait:?}");
}

#[test]
fn callers_of_a_crest_come_back_over_the_trough_and_not_at_one_moment() {
    // arrange
    let remaining = Duration::from_secs(3);
    let expected = Duration::from_millis(500);

    // act
    let times = [0.0, 0.5, 1.0].map(|draw| retry_delay(expected, remaining, draw));
    let short = retry_delay(expected, Duration::from_millis(600), 0.5);
    let soon = retry_delay(Duration::ZERO, remaining, 0.5);

    // assert
    assert_eq!(times, [400, 500, 600].map(Duration::from_millis));
    assert_eq!(short, Duration::from_millis(200));
    assert_eq!(soon, Duration::from_millis(400));
}
