//! Membership of the fleet as one VM derives it from heartbeats.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    member::{
        effective_silence,
        HeartbeatOutcome,
        MemberInfo,
        MemberTable,
        HEARTBEAT_TIMEOUT,
        ISOLATION_GRACE,
        MEMBER_EXPIRY,
        USAGE_TIMEOUT, //
    },
    rank::hash_name, //
};

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);

fn info(vm: &str, domain: &str) -> MemberInfo {
    MemberInfo {
        vm: vm.into(),
        address: "10.0.0.1:7360".into(),
        domain: domain.into(),
        incarnation: 1,
        ..Default::default()
    }
}

/// Returns the table of VM `own` in failure domain x, after a heartbeat of VM a in x and of b and c in y.
fn table(now: Instant) -> MemberTable {
    let mut table = MemberTable::new(info("own", "x"));
    for (vm, domain) in [("a", "x"), ("b", "y"), ("c", "y")] {
        table.record_heartbeat(info(vm, domain), 1, now);
    }
    table
}

#[test]
fn repeated_or_reordered_heartbeats_are_ignored() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);

    // act
    let next = table.record_heartbeat(info("a", "x"), 3, now + HEARTBEAT_PERIOD);
    let reordered = table.record_heartbeat(info("a", "x"), 2, now + HEARTBEAT_PERIOD);
    let repeated = table.record_heartbeat(info("a", "x"), 3, now + HEARTBEAT_PERIOD);

    // assert
    assert_eq!(next, HeartbeatOutcome::Current);
    assert_eq!(reordered, HeartbeatOutcome::Stale);
    assert_eq!(repeated, HeartbeatOutcome::Stale);
}

#[test]
fn timeout_and_restart_are_reported() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let silence = HEARTBEAT_TIMEOUT + HEARTBEAT_PERIOD;
    let restarted = MemberInfo {
        incarnation: 2,
        ..info("b", "y")
    };

    // act
    let returned = table.record_heartbeat(info("a", "x"), 9, now + silence);
    let after_restart = table.record_heartbeat(restarted, 1, now + HEARTBEAT_PERIOD);

    // assert
    assert_eq!(returned, HeartbeatOutcome::Returned(silence));
    assert_eq!(after_restart, HeartbeatOutcome::Returned(HEARTBEAT_PERIOD));
}

#[test]
fn short_heartbeats_count_only_from_a_known_process() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let hash = hash_name("a");

    // act
    let known = table.record_update(hash, 1, 2, now + HEARTBEAT_PERIOD);
    let old = table.record_update(hash, 1, 2, now + HEARTBEAT_PERIOD);
    let other_process = table.record_update(hash, 7, 9, now + HEARTBEAT_PERIOD);
    let unknown = table.record_update(hash_name("z"), 1, 1, now + HEARTBEAT_PERIOD);

    // assert
    assert_eq!(known, HeartbeatOutcome::Current);
    assert_eq!([old, other_process, unknown], [HeartbeatOutcome::Stale; 3]);
}

#[test]
fn fleet_size_survives_a_partition_but_not_a_shutdown() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let leaving = MemberInfo {
        leaving: true,
        ..info("c", "y")
    };
    table.record_heartbeat(leaving, 2, now);

    // act
    let partitioned = now + Duration::from_secs(10);
    let reachable = table.reachable_size(partitioned);
    let size = table.fleet_size();
    let removed = table.remove_expired(partitioned);
    let later = table.remove_expired(now + MEMBER_EXPIRY);

    // assert
    assert_eq!((reachable, size), (1, 3));
    assert_eq!(removed, [hash_name("c")]);
    assert_eq!(later.len(), 2);
}

#[test]
fn usage_is_unknown_before_the_vm_is_unreachable() {
    // arrange
    let now = Instant::now();
    let table = table(now);

    // act
    let short = table.reporting_size(now + USAGE_TIMEOUT - HEARTBEAT_PERIOD);
    let longer = table.reporting_size(now + USAGE_TIMEOUT);

    // assert
    assert_eq!((short, longer), (4, 1));
    assert_eq!(table.reachable_size(now + USAGE_TIMEOUT), 4);
}

#[test]
fn unreachable_domain_is_distinguished_from_a_lost_vm() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let later = now + HEARTBEAT_TIMEOUT;

    // act
    let both = table.is_domain_unreachable(hash_name("b"), later);
    table.record_heartbeat(info("c", "y"), 2, later);
    let one = table.is_domain_unreachable(hash_name("b"), later);
    let own_domain = table.is_domain_unreachable(hash_name("a"), later);

    // assert
    assert_eq!([both, one, own_domain], [true, false, false]);
}

#[test]
fn every_task_has_one_first_ranked_vm() {
    // arrange
    let now = Instant::now();
    let names = ["own", "a", "b", "c"];
    let table_of = |own: &str| {
        let mut table = MemberTable::new(info(own, "x"));
        for vm in names.iter().filter(|vm| **vm != own) {
            table.record_heartbeat(info(vm, "x"), 1, now);
        }
        table
    };

    for task in 0..50 {
        // act
        let ranks: Vec<usize> = names
            .iter()
            .map(|vm| table_of(vm).own_rank(task, now))
            .collect();

        // assert
        let mut sorted = ranks.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, [0, 1, 2, 3]);
        let first = names[ranks.iter().position(|&rank| rank == 0).expect("first")];
        assert_eq!(table_of(first).first_ranked(task, now), None);
    }
}

#[test]
fn only_reachable_watchers_rank_before_a_vm() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    for vm in ["a", "b", "c"] {
        let watcher = MemberInfo {
            follows: true,
            ..info(vm, "x")
        };
        table.record_heartbeat(watcher, 2, now);
    }

    // act
    let before: usize = (0..64).map(|task| table.watchers_before(task, now)).sum();
    let unreachable: usize = (0..64)
        .map(|task| table.watchers_before(task, now + HEARTBEAT_TIMEOUT))
        .sum();

    // assert
    assert!(before > 0);
    assert_eq!(unreachable, 0);
}

#[test]
fn short_heartbeat_after_a_partition_marks_the_vm_as_returned() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let hash = hash_name("a");
    let healed = now + HEARTBEAT_TIMEOUT + HEARTBEAT_PERIOD;

    // act
    let first = table.record_update(hash, 1, 2, healed);
    let next = table.record_update(hash, 1, 3, healed + HEARTBEAT_PERIOD);

    // assert
    assert_eq!(
        first,
        HeartbeatOutcome::Returned(HEARTBEAT_TIMEOUT + HEARTBEAT_PERIOD)
    );
    assert_eq!(next, HeartbeatOutcome::Current);
    assert_eq!(table.member(hash).map(|member| member.since), Some(healed));
}

#[test]
fn isolated_vm_waits_for_heartbeats_before_it_takes_over_jobs() {
    // arrange: a partition of six seconds that has just ended
    let silence = Duration::from_secs(6);

    // act
    let still_isolated = effective_silence(silence, Duration::ZERO);
    let just_reconnected = effective_silence(silence, Duration::from_millis(300));
    let never_isolated = effective_silence(silence, Duration::MAX);
    let beyond_the_grace = effective_silence(ISOLATION_GRACE + silence, Duration::ZERO);

    // assert
    assert_eq!(still_isolated, Duration::ZERO);
    assert_eq!(just_reconnected, Duration::from_millis(300));
    assert_eq!(never_isolated, silence);
    assert_eq!(beyond_the_grace, silence);
}

#[test]
fn partition_side_knows_whether_it_reaches_half() {
    // arrange: three other VMs, of which one stays reachable
    let now = Instant::now();
    let mut table = table(now);
    let partitioned = now + HEARTBEAT_TIMEOUT + HEARTBEAT_PERIOD;
    table.record_heartbeat(info("a", "x"), 2, partitioned);
    let half = table.reaches_half(partitioned);

    // act
    let alone = table.reaches_half(partitioned + HEARTBEAT_TIMEOUT + HEARTBEAT_PERIOD);

    // assert
    assert!(half);
    assert!(!alone);
}
