//! Which backend servers get new work while the store is away, comes back, or is heard of from others.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::backend::{
    BackendChange,
    BackendServer,
    BackendTable,
    Revision,
    RETURN_GRACE, //
};

fn server(id: &str) -> BackendServer {
    BackendServer {
        id: id.into(),
        address: "10.0.0.1:80".parse().expect("address"),
        service: "asesor-pivot".into(),
        domain: "zaragoza-a".into(),
        slots: 8,
        leaving: false,
        start: 1,
    }
}

fn ready(id: &str, revision: Revision) -> BackendChange {
    BackendChange {
        id: id.into(),
        revision,
        server: Some(server(id)),
        missing: false,
    }
}

fn gone(id: &str, revision: Revision) -> BackendChange {
    BackendChange {
        server: None,
        ..ready(id, revision)
    }
}

fn missing(id: &str, revision: Revision) -> BackendChange {
    BackendChange {
        missing: true,
        ..ready(id, revision)
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
    let mut table = table_of(vec![ready("a", 1), ready("b", 2)], 2, now);

    // act
    table.apply(vec![gone("a", 3)], 3, now);

    // assert
    assert_eq!(ids(&table), ["b"]);
}

#[test]
fn entries_that_lapsed_with_the_store_stay_until_servers_had_time() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![ready("a", 1), ready("b", 2)], 2, now);
    table.record_store_unavailable();

    // act: the store is back without the entries, and one server registers again
    let back = now + Duration::from_secs(10);
    table.record_store_available(back);
    table.replace(vec![], 5, back);
    let held = ids(&table);
    table.apply(vec![ready("b", 6)], 6, back + Duration::from_secs(1));
    table.expire(back + RETURN_GRACE);

    // assert
    assert_eq!(held, ["a", "b"]);
    assert_eq!(ids(&table), ["b"]);
}

#[test]
fn leaving_server_is_not_held_while_the_store_is_away() {
    // arrange
    let now = Instant::now();
    let mut leaving = ready("a", 1);
    leaving.server.as_mut().expect("server").leaving = true;
    let mut table = table_of(vec![leaving], 1, now);
    table.record_store_unavailable();

    // act
    table.apply(vec![gone("a", 2)], 2, now);

    // assert
    assert!(ids(&table).is_empty());
}

#[test]
fn gone_server_does_not_come_back_by_a_vm_that_missed_the_removal() {
    // arrange: this VM saw the removal; another one was cut off, lists anew and holds the entry
    let now = Instant::now();
    let mut table = table_of(vec![ready("a", 1)], 1, now);
    table.apply(vec![gone("a", 86)], 86, now);

    // act
    table.apply_reported(vec![missing("a", 90)], 90, now);

    // assert
    assert!(ids(&table).is_empty());
    assert_eq!(table.through(), 90);
}

#[test]
fn vm_without_the_store_believes_those_that_follow_it() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![ready("a", 1)], 1, now);
    table.record_store_unavailable();

    // act
    table.apply_reported(vec![gone("a", 86)], 86, now);

    // assert
    assert!(ids(&table).is_empty());
}

#[test]
fn held_entry_of_another_vm_lapses_here_too() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![ready("a", 1)], 1, now);

    // act
    table.apply_reported(vec![missing("a", 4)], 4, now);
    let held = ids(&table);
    table.expire(now + RETURN_GRACE);

    // assert
    assert_eq!(held, ["a"]);
    assert!(ids(&table).is_empty());
}

#[test]
fn older_listing_changes_nothing() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![ready("a", 5)], 5, now);

    // act
    table.replace(vec![], 4, now);
    table.apply(vec![gone("a", 3)], 3, now);

    // assert
    assert_eq!(ids(&table), ["a"]);
}

#[test]
fn changes_bring_another_vm_to_the_same_servers() {
    // arrange
    let now = Instant::now();
    let mut table = table_of(vec![ready("a", 1), ready("b", 2)], 2, now);
    let mut other = table.clone();
    table.apply(vec![gone("a", 3), ready("c", 4)], 4, now);

    // act
    other.apply_reported(table.changes_since(other.through()), table.through(), now);

    // assert
    assert_eq!(ids(&other), ids(&table));
    assert_eq!(other.through(), 4);
}

#[test]
fn server_that_lapsed_and_registered_again_within_one_batch_stays() {
    // arrange: the store names a deletion with the revision of the whole batch.
    let now = Instant::now();
    let mut table = table_of(vec![ready("a", 1), ready("b", 2)], 2, now);
    table.record_store_unavailable();
    table.record_store_available(now);

    // act
    let batch = vec![gone("a", 7), gone("b", 7), ready("a", 5), ready("b", 6)];
    table.apply(batch, 7, now);
    let told = table.changes_since(2);
    table.expire(now + RETURN_GRACE * 2);

    // assert
    assert_eq!(ids(&table), ["a", "b"]);
    assert!(told.iter().all(|change| !change.missing));
}

#[test]
fn half_of_the_servers_do_not_vanish_at_once_without_an_outage_of_the_store() {
    // arrange: a watch that was silent through the outage never failed.
    let now = Instant::now();
    let four = ["a", "b", "c", "d"].map(|id| ready(id, 1)).to_vec();
    let mut table = table_of(four.clone(), 1, now);
    let mut other = table_of(four, 1, now);

    // act
    table.apply(vec![gone("a", 2), gone("b", 2)], 2, now);
    let held = ids(&table);
    other.apply(vec![gone("a", 2)], 2, now);
    let removed = ids(&other);
    table.expire(now + RETURN_GRACE);

    // assert
    assert_eq!(held, ["a", "b", "c", "d"]);
    assert_eq!(removed, ["b", "c", "d"]);
    assert_eq!(ids(&table), ["c", "d"]);
}

#[test]
fn server_that_leaves_as_the_store_rejects_a_vm_no_longer_gets_no_work_two_seconds_later() {
    // arrange: the store rejected this VM for seconds, and lapsed nobody
    let now = Instant::now();
    let bound = Duration::from_secs(2);
    let slowest_look = Duration::from_millis(100);
    let four = ["a", "b", "c", "d"].map(|id| ready(id, 1)).to_vec();
    let mut table = table_of(four, 1, now);
    table.record_store_unavailable();
    table.record_store_available(now);

    // act
    table.apply(vec![gone("a", 2)], 2, now);
    table.expire(now + bound - slowest_look * 2);

    // assert
    assert_eq!(ids(&table), ["b", "c", "d"]);
}
