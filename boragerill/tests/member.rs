//! What one VM makes of the heartbeats of the others.

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
        APART_SILENCE,
        EARNING_SILENCE,
        FORGET,
        SILENCE, //
    },
    rank::hash_name, //
};

const BEAT: Duration = Duration::from_millis(150);

fn info(vm: &str, domain: &str) -> MemberInfo {
    MemberInfo {
        vm: vm.into(),
        address: "10.0.0.1:7360".into(),
        domain: domain.into(),
        incarnation: 1,
        ..Default::default()
    }
}

/// Returns a table of VM `own` that has heard VMs a, b and c of three failure domains.
fn table(now: Instant) -> MemberTable {
    let mut table = MemberTable::new(info("own", "x"));
    for (vm, domain) in [("a", "x"), ("b", "y"), ("c", "y")] {
        table.record_heartbeat(info(vm, domain), 1, now);
    }
    table
}

#[test]
fn heartbeats_that_come_twice_or_out_of_order_are_passed_over() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);

    // act
    let next = table.record_heartbeat(info("a", "x"), 3, now + BEAT);
    let late = table.record_heartbeat(info("a", "x"), 2, now + BEAT);
    let twice = table.record_heartbeat(info("a", "x"), 3, now + BEAT);

    // assert
    assert_eq!(next, HeartbeatOutcome::Current);
    assert_eq!(late, HeartbeatOutcome::Stale);
    assert_eq!(twice, HeartbeatOutcome::Stale);
}

#[test]
fn silence_and_restart_are_told() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let silence = SILENCE + BEAT;
    let restarted = MemberInfo {
        incarnation: 2,
        ..info("b", "y")
    };

    // act
    let returned = table.record_heartbeat(info("a", "x"), 9, now + silence);
    let anew = table.record_heartbeat(restarted, 1, now + BEAT);

    // assert
    assert_eq!(returned, HeartbeatOutcome::Returned(silence));
    assert_eq!(anew, HeartbeatOutcome::Returned(BEAT));
}

#[test]
fn short_messages_count_only_from_a_known_process() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let hash = hash_name("a");

    // act
    let known = table.record_update(hash, 1, 2, now + BEAT);
    let old = table.record_update(hash, 1, 2, now + BEAT);
    let other_process = table.record_update(hash, 7, 9, now + BEAT);
    let unknown = table.record_update(hash_name("z"), 1, 1, now + BEAT);

    // assert
    assert_eq!(known, HeartbeatOutcome::Current);
    assert_eq!([old, other_process, unknown], [HeartbeatOutcome::Stale; 3]);
}

#[test]
fn fleet_keeps_its_size_through_a_cut_and_forgets_who_left() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let leaving = MemberInfo {
        leaving: true,
        ..info("c", "y")
    };
    table.record_heartbeat(leaving, 2, now);

    // act
    let cut = now + Duration::from_secs(10);
    let heard = table.reachable_size(cut);
    let size = table.fleet_size();
    let gone = table.remove_expired(cut);
    let later = table.remove_expired(now + FORGET);

    // assert
    assert_eq!((heard, size), (1, 3));
    assert_eq!(gone, [hash_name("c")]);
    assert_eq!(later.len(), 2);
}

#[test]
fn use_of_a_vm_counts_as_unknown_before_the_vm_counts_as_silent() {
    // arrange
    let now = Instant::now();
    let table = table(now);

    // act
    let short = table.reporting_size(now + EARNING_SILENCE - BEAT);
    let longer = table.reporting_size(now + EARNING_SILENCE);

    // assert
    assert_eq!((short, longer), (4, 1));
    assert_eq!(table.reachable_size(now + EARNING_SILENCE), 4);
}

#[test]
fn whole_domain_that_falls_silent_is_told_from_a_lost_vm() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let later = now + SILENCE;

    // act
    let both = table.is_domain_unreachable(hash_name("b"), later);
    table.record_heartbeat(info("c", "y"), 2, later);
    let one = table.is_domain_unreachable(hash_name("b"), later);
    let own_domain = table.is_domain_unreachable(hash_name("a"), later);

    // assert
    assert_eq!([both, one, own_domain], [true, false, false]);
}

#[test]
fn every_duty_has_one_first_vm() {
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

    for duty in 0..50 {
        // act
        let ranks: Vec<usize> = names
            .iter()
            .map(|vm| table_of(vm).own_rank(duty, now))
            .collect();

        // assert
        let mut sorted = ranks.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, [0, 1, 2, 3]);
        let first = names[ranks.iter().position(|&rank| rank == 0).expect("first")];
        assert_eq!(table_of(first).first_ranked(duty, now), None);
    }
}

#[test]
fn only_followers_that_are_heard_stand_before_a_vm() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    for vm in ["a", "b", "c"] {
        let following = MemberInfo {
            follows: true,
            ..info(vm, "x")
        };
        table.record_heartbeat(following, 2, now);
    }

    // act
    let before: usize = (0..64).map(|duty| table.watchers_before(duty, now)).sum();
    let silent: usize = (0..64)
        .map(|duty| table.watchers_before(duty, now + SILENCE))
        .sum();

    // assert
    assert!(before > 0);
    assert_eq!(silent, 0);
}

#[test]
fn a_vm_heard_by_short_messages_after_a_cut_counts_as_returned_since_then() {
    // arrange
    let now = Instant::now();
    let mut table = table(now);
    let hash = hash_name("a");
    let healed = now + SILENCE + BEAT;

    // act
    let first = table.record_update(hash, 1, 2, healed);
    let next = table.record_update(hash, 1, 3, healed + BEAT);

    // assert
    assert_eq!(first, HeartbeatOutcome::Returned(SILENCE + BEAT));
    assert_eq!(next, HeartbeatOutcome::Current);
    assert_eq!(table.find(hash).map(|member| member.since), Some(healed));
}

#[test]
fn vm_that_was_cut_off_itself_hears_the_others_before_it_takes_their_jobs() {
    // arrange: a cut of six seconds that has just ended
    let silence = Duration::from_secs(6);

    // act
    let still_apart = effective_silence(silence, Duration::ZERO);
    let just_back = effective_silence(silence, Duration::from_millis(300));
    let never_apart = effective_silence(silence, Duration::MAX);
    let alone_for_long = effective_silence(APART_SILENCE + silence, Duration::ZERO);

    // assert
    assert_eq!(still_apart, Duration::ZERO);
    assert_eq!(just_back, Duration::from_millis(300));
    assert_eq!(never_apart, silence);
    assert_eq!(alone_for_long, silence);
}

#[test]
fn part_of_a_fleet_knows_whether_it_is_the_smaller_one() {
    // arrange: three other VMs, of which one is heard on
    let now = Instant::now();
    let mut table = table(now);
    let cut = now + SILENCE + BEAT;
    table.record_heartbeat(info("a", "x"), 2, cut);
    let half = table.reaches_half(cut);

    // act
    let alone = table.reaches_half(cut + SILENCE + BEAT);

    // assert
    assert!(half);
    assert!(!alone);
}
