//! Tests of the table of backend servers: outages of the store, and changes reported by other VMs.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::backend::{
    BackendChange,
    BackendServer,
    BackendTable,
    Revision,
    REGISTRATION_GRACE, //
};

fn server(id: &str) -> BackendServer {
    BackendServer {
        id: id.into(),
        address: "10.0.0.1:80".parse().expect("address"),
        service: "asesor-pivot".into(),
        version: "v1".into(),
        domain: "zaragoza-a".into(),
        slots: 8,
        leaving: false,
        start: 1,
    }
}

fn registered(id: &str, revision: Revision) -> BackendChange {
    BackendChange {
        id: id.into(),
        revision,
        server: Some(server(id)),
        missing: false,
    }
}

fn removed(id: &str, revision: Revision) -> BackendChange {
    BackendChange {
        server: None,
        ..registered(id, revision)
    }
}

fn missing(id: &str, revision: Revision) -> BackendChange {
    BackendChange {
        missing: true,
        ..registered(id, revision)
    }
}

fn ids(table: &BackendTable) -> Vec<String> {
    table
        .servers()
        .map(|server| server.id.to_string())
        .collect()
}

fn table_of(changes: Vec<BackendChange>, through: Revision, now: Instant) -> BackendTable {
    let mut table = BackendTable::default();
    table.replace(changes, through, now);
    table
}

#[test]
fn removed_server_gets_no_new_work_at_once() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![registered("a", 1), registered("b", 2)], 2, now);

    // act
    table.apply(vec![removed("a", 3)], 3, now);

    // assert
    assert_eq!(ids(&table), ["b"]);
}

#[test]
fn entries_lost_in_a_store_outage_stay_until_the_grace_period_ends() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![registered("a", 1), registered("b", 2)], 2, now);
    table.record_store_unavailable();

    // act: the store is available again without the entries, and one server registers again
    let available = now + Duration::from_secs(10);
    table.record_store_available(available);
    table.replace(vec![], 5, available);
    let kept = ids(&table);
    table.apply(
        vec![registered("b", 6)],
        6,
        available + Duration::from_secs(1),
    );
    table.expire(available + REGISTRATION_GRACE);

    // assert
    assert_eq!(kept, ["a", "b"]);
    assert_eq!(ids(&table), ["b"]);
}

#[test]
fn draining_server_is_removed_during_a_store_outage() {
    // arrange
    let now = Instant::now();
    let mut draining = registered("a", 1);
    draining.server.as_mut().expect("server").leaving = true;
    let mut table = table_of(vec![draining], 1, now);
    table.record_store_unavailable();

    // act
    table.apply(vec![removed("a", 2)], 2, now);

    // assert
    assert!(ids(&table).is_empty());
}

#[test]
fn removed_server_is_not_restored_by_a_vm_that_missed_the_removal() {
    // arrange: this VM applied the removal; a partitioned VM missed it, lists all entries and keeps this one
    let now = Instant::now();
    let mut table = table_of(vec![registered("a", 1)], 1, now);
    table.apply(vec![removed("a", 86)], 86, now);

    // act
    table.apply_reported(vec![missing("a", 90)], 90, now);

    // assert
    assert!(ids(&table).is_empty());
    assert_eq!(table.through(), 90);
}

#[test]
fn vm_without_the_store_applies_removals_reported_by_other_vms() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![registered("a", 1)], 1, now);
    table.record_store_unavailable();

    // act
    table.apply_reported(vec![removed("a", 86)], 86, now);

    // assert
    assert!(ids(&table).is_empty());
}

#[test]
fn missing_entry_reported_by_another_vm_expires_here_too() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![registered("a", 1)], 1, now);

    // act
    table.apply_reported(vec![missing("a", 4)], 4, now);
    let kept = ids(&table);
    table.expire(now + REGISTRATION_GRACE);

    // assert
    assert_eq!(kept, ["a"]);
    assert!(ids(&table).is_empty());
}

#[test]
fn older_listing_and_older_changes_are_ignored() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![registered("a", 5)], 5, now);

    // act
    table.replace(vec![], 4, now);
    table.apply(vec![removed("a", 3)], 3, now);

    // assert
    assert_eq!(ids(&table), ["a"]);
}

#[test]
fn reported_changes_give_another_vm_the_same_servers() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![registered("a", 1), registered("b", 2)], 2, now);
    let mut other = table.clone();
    table.apply(vec![removed("a", 3), registered("c", 4)], 4, now);

    // act
    other.apply_reported(table.changes_since(other.through()), table.through(), now);

    // assert
    assert_eq!(ids(&other), ids(&table));
    assert_eq!(other.through(), 4);
}

#[test]
fn server_removed_and_registered_again_within_one_batch_stays() {
    // arrange: the store gives a deletion the revision of its whole batch.
    let now = Instant::now();
    let mut table = table_of(vec![registered("a", 1), registered("b", 2)], 2, now);
    table.record_store_unavailable();
    table.record_store_available(now);

    // act
    let batch = vec![
        removed("a", 7),
        removed("b", 7),
        registered("a", 5),
        registered("b", 6),
    ];
    table.apply(batch, 7, now);
    let changes = table.changes_since(2);
    table.expire(now + REGISTRATION_GRACE * 2);

    // assert
    assert_eq!(ids(&table), ["a", "b"]);
    assert!(changes.iter().all(|change| !change.missing));
}

#[test]
fn removal_of_half_of_the_servers_counts_as_a_store_outage() {
    // arrange: a watch that receives nothing during an outage doesn't fail, so the outage isn't recorded.
    let now = Instant::now();
    let four = ["a", "b", "c", "d"].map(|id| registered(id, 1)).to_vec();
    let mut table = table_of(four.clone(), 1, now);
    let mut other = table_of(four, 1, now);

    // act
    table.apply(vec![removed("a", 2), removed("b", 2)], 2, now);
    let kept = ids(&table);
    other.apply(vec![removed("a", 2)], 2, now);
    let removed = ids(&other);
    table.expire(now + REGISTRATION_GRACE);

    // assert
    assert_eq!(kept, ["a", "b", "c", "d"]);
    assert_eq!(removed, ["b", "c", "d"]);
    assert_eq!(ids(&table), ["c", "d"]);
}

#[test]
fn server_removed_just_after_a_store_outage_gets_no_requests_after_two_seconds() {
    // arrange: the store rejected this VM's requests for seconds, but expired no entries
    let now = Instant::now();
    let bound = Duration::from_secs(2);
    let longest_check_interval = Duration::from_millis(100);
    let four = ["a", "b", "c", "d"].map(|id| registered(id, 1)).to_vec();
    let mut table = table_of(four, 1, now);
    table.record_store_unavailable();
    table.record_store_available(now);

    // act
    table.apply(vec![removed("a", 2)], 2, now);
    table.expire(now + bound - longest_check_interval * 2);

    // assert
    assert_eq!(ids(&table), ["b", "c", "d"]);
}
