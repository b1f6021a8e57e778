//! Tests of the inference of network partitions from failed connections.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::reachability::ReachabilityTable;

#[test]
fn repeated_failures_of_one_server_are_no_partition() {
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
fn second_unreachable_server_of_a_domain_is_a_partition() {
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

/// Two servers of a domain that crash shortly after each other are no partition if the domain was reached since.
#[test]
fn successful_connection_in_between_rules_out_a_partition() {
    // arrange
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    table.record_unreachable("tudela-b", 1, now);

    // act
    table.record_reachable("tudela-b", 3, now + Duration::from_millis(100));
    let partitioned = table.record_unreachable("tudela-b", 2, now + Duration::from_millis(200));

    // assert
    assert!(!partitioned);
}

#[test]
fn failures_outside_the_window_are_no_partition() {
    // arrange
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    table.record_unreachable("tudela-b", 1, now);

    // act
    let later = table.record_unreachable("tudela-b", 2, now + Duration::from_secs(2));

    // assert
    assert!(!later);
}
