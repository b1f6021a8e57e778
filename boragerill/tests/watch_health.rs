//! Tests of what calls of a watch show about the store.

use std::time::Duration;

use boragerill::watch_health::{
    check_pause,
    StoreHealth,
    WatchHealth,
    WatchOutcome, //
};

// Guards against DRAIN: a store that cut off waiting watches counted as unavailable until something changed in it, and
// servers that were removed meanwhile stayed in use.
#[test]
fn watches_that_are_cut_off_again_and_again_are_no_outage() {
    // arrange
    let mut health = WatchHealth::default();

    for _ in 0..5 {
        // act
        let cut = health.record(WatchOutcome::CutOff);
        let needs_answer = health.needs_answer();
        let answered = health.record(WatchOutcome::Answered);

        // assert
        assert_eq!(cut, StoreHealth::Unknown);
        assert!(needs_answer);
        assert_eq!(answered, StoreHealth::Available);
        assert!(!health.needs_answer());
    }
}

#[test]
fn store_that_closes_the_next_call_as_well_is_unavailable() {
    // arrange
    let mut health = WatchHealth::default();
    health.record(WatchOutcome::CutOff);

    // act
    let closed = health.record(WatchOutcome::CutOff);
    let again = health.record(WatchOutcome::CutOff);

    // assert
    assert_eq!(closed, StoreHealth::Unavailable);
    assert_eq!(again, StoreHealth::Unavailable);
    assert!(health.needs_answer());
}

#[test]
fn rejected_call_shows_an_outage_at_once() {
    // arrange
    let mut health = WatchHealth::default();

    // act
    let rejected = health.record(WatchOutcome::Failed);
    let needs_answer = health.needs_answer();
    let answered = health.record(WatchOutcome::Answered);

    // assert
    assert_eq!(rejected, StoreHealth::Unavailable);
    assert!(needs_answer);
    assert_eq!(answered, StoreHealth::Available);
}

/// Load: 68 VMs whose store falls silent for seven seconds. Guards against calls of every VM at the pace of one, which the
/// store rejects when it comes back.
#[test]
fn few_vms_check_an_unavailable_store_often() {
    let backoff = Duration::from_secs(1);

    let calls: f64 = (0..68)
        .map(|rank| 1.0 / check_pause(backoff, rank).as_secs_f64())
        .sum();

    assert!(calls <= 24.0, "{calls} calls a second");
}

/// Guards against an outage that ends unnoticed: the first VMs, or a VM that reaches no other, check as often as before.
#[test]
fn first_ranked_vms_check_as_often_as_a_vm_alone() {
    let backoff = Duration::from_millis(400);

    let pauses = [0, 1, 5].map(|rank| check_pause(backoff, rank));

    assert_eq!(pauses, [backoff; 3]);
    assert!(check_pause(Duration::from_secs(1), 10_000) <= Duration::from_secs(8));
}
