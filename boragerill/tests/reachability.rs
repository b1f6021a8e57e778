//! When a failure domain counts as cut off.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::reachability::ReachabilityTable;

#[test]
fn one_lost_server_does_not_make_its_domain_unreachable() {
    // arrange
    let now = Instant::now();
    let mut table = ReachabilityTable::default();

    // act
    let first = table.record_unreachable("tudela-b", 1, now);
    let again = table.record_unreachable("tudela-b", 1, now + Duration::from_millis(100));

    // assert
    assert!(!first);
    assert!(!again);
}

#[test]
fn second_unreachable_server_of_a_domain_tells_of_a_cut() {
    // arrange
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    table.record_unreachable("tudela-b", 1, now);

    // act
    let other_domain = table.record_unreachable("huesca-c", 7, now);
    let same_domain = table.record_unreachable("tudela-b", 2, now + Duration::from_millis(300));

    // assert
    assert!(!other_domain);
    assert!(same_domain);
}

#[test]
fn domain_that_was_reached_meanwhile_is_not_cut_off() {
    // arrange
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    table.record_unreachable("tudela-b", 1, now);

    // act
    table.record_reachable("tudela-b", 3, now + Duration::from_millis(100));
    let crashed = table.record_unreachable("tudela-b", 2, now + Duration::from_millis(200));

    // assert
    assert!(!crashed);
}

#[test]
fn failures_that_are_far_apart_have_nothing_in_common() {
    // arrange
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    table.record_unreachable("tudela-b", 1, now);

    // act
    let later = table.record_unreachable("tudela-b", 2, now + Duration::from_secs(2));

    // assert
    assert!(!later);
}
