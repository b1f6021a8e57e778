//! Tests of the lease by which a VM that watches the store vouches for its state.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::watch_lease::{
    WatchLease,
    RESPONSE_TIME, //
};
use proptest::prelude::*;

const KINDS: usize = 3;

/// Time within which the lease of the first watcher lapses after the store has fallen silent: with the time of a heartbeat
/// and of another VM's call, changes still arrive within 2 s.
const LAPSE_TIME: Duration = Duration::from_millis(1000);

/// As [`LAPSE_TIME`] for a rare kind: the longest wait of its calls and the time of a response. Half of the bound of 5 s for
/// evacuations remains for the next call, a heartbeat and a fetch by the other VMs.
const RARE_LAPSE_TIME: Duration = Duration::from_millis(2700);

/// One watcher whose calls the store answers at once, in steps of a millisecond, until it falls silent.
struct WatcherModel {
    lease: WatchLease,
    ends: [Option<Instant>; KINDS],
    start: Instant,
}

impl WatcherModel {
    fn new(start: Instant) -> WatcherModel {
        WatcherModel {
            lease: WatchLease::new(KINDS),
            ends: [None; KINDS],
            start,
        }
    }

    /// Ends due calls with an answer and begins the next ones; returns the number of calls that began.
    fn step(&mut self, now: Instant, is_first: bool) -> usize {
        let mut calls = 0;
        for kind in 0..KINDS {
            if self.ends[kind].is_some_and(|end| now < end) {
                continue;
            }
            self.lease.end_call(kind, true, now);
            let wait = self.lease.wait(kind, is_first, now - self.start);
            self.lease.begin_call(kind, wait, now);
            self.ends[kind] = Some(now + wait);
            calls += 1;
        }
        calls
    }
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

proptest! {
    // Guards against CONFIG and DRAIN: a VM stated that it watched the store for up to 2.5 s after the store had fallen
    // silent, and no other VM watched meanwhile.
    #[test]
    fn lease_of_the_first_watcher_lapses_soon_after_the_store_falls_silent(silent_after in 1500_u64..6000) {
        // arrange
        let start = Instant::now();
        let mut watcher = WatcherModel::new(start);
        for time in 0..silent_after {
            watcher.step(start + milliseconds(time), true);
        }
        let silent = start + milliseconds(silent_after);

        // act
        let valid_before = watcher.lease.is_valid(silent);
        let valid_after = watcher.lease.is_valid(silent + LAPSE_TIME);

        // assert
        prop_assert!(valid_before);
        prop_assert!(!valid_after);
    }

    #[test]
    fn lease_holds_while_the_store_answers(first_from in 0_u64..3000, seconds in 3_u64..40) {
        // arrange
        let start = Instant::now();
        let mut watcher = WatcherModel::new(start);

        for time in 0..seconds * 1000 {
            // act
            let now = start + milliseconds(time);
            watcher.step(now, time >= first_from);

            // assert
            prop_assert!(watcher.lease.is_valid(now));
        }
    }
}

#[test]
fn first_watcher_calls_once_a_second_for_each_kind() {
    // arrange
    let start = Instant::now();
    let mut watcher = WatcherModel::new(start);

    // act
    let calls: usize = (0..30_000)
        .map(|time| watcher.step(start + milliseconds(time), true))
        .sum();

    // assert
    assert!((87..=93).contains(&calls), "{calls}");
}

// Guards against CONFIG and DRAIN: a VM that had stopped watching one kind went on vouching for it as soon as a call of
// another kind was answered.
#[test]
fn lease_needs_an_answer_for_each_kind_after_it_was_released() {
    // arrange
    let now = Instant::now();
    let mut lease = WatchLease::new(KINDS);
    for kind in 0..KINDS {
        lease.end_call(kind, true, now);
    }
    let valid_before = lease.is_valid(now);

    // act
    lease.release(0);
    lease.end_call(1, true, now);
    let valid_after = lease.is_valid(now);

    // assert
    assert!(valid_before);
    assert!(!valid_after);
}

#[test]
fn failed_or_overdue_call_ends_the_lease_until_one_is_answered() {
    // arrange
    let now = Instant::now();
    let mut lease = WatchLease::new(1);
    lease.end_call(0, true, now);

    // act
    let due = lease.begin_call(0, milliseconds(100), now);
    let valid_until_due = lease.is_valid(due - milliseconds(1));
    let valid_when_due = lease.is_valid(due);
    lease.end_call(0, true, due + RESPONSE_TIME);
    let valid_after_answer = lease.is_valid(due + RESPONSE_TIME);
    lease.end_call(0, false, due + RESPONSE_TIME);
    let valid_after_failure = lease.is_valid(due + RESPONSE_TIME);

    // assert
    assert_eq!(due, now + milliseconds(100) + RESPONSE_TIME);
    assert!(valid_until_due);
    assert!(!valid_when_due);
    assert!(valid_after_answer);
    assert!(!valid_after_failure);
}

// Guards against calls to the store and listings in quick succession: VMs took turns in watching a store that responded
// slower than usual, though it did respond.
#[test]
fn lease_holds_while_the_store_responds_slowly() {
    // arrange: the first response shows that the store is slow
    let slow = milliseconds(430);
    let mut now = Instant::now();
    let mut lease = WatchLease::new(1);
    lease.end_call(0, true, now);
    lease.begin_call(0, Duration::ZERO, now);
    now += slow;
    lease.end_call(0, true, now);

    for _ in 0..20 {
        // act
        let wait = milliseconds(700);
        lease.begin_call(0, wait, now);
        now += wait + slow;
        let is_valid = lease.is_valid(now);
        lease.end_call(0, true, now);

        // assert
        assert!(is_valid);
    }
}

#[test]
fn lease_of_a_slow_store_lapses_within_a_second_of_the_end_of_its_wait() {
    // arrange
    let now = Instant::now();
    let mut lease = WatchLease::new(1);
    lease.begin_call(0, Duration::ZERO, now);
    lease.end_call(0, true, now + Duration::from_secs(5));

    // act
    let begin = now + Duration::from_secs(5);
    let due = lease.begin_call(0, milliseconds(300), begin);

    // assert
    assert!(due <= begin + milliseconds(300) + LAPSE_TIME);
}

// Guards against calls to the store, the largest cost of a deployment: the kind of evacuations, whose bound is 5 s, needs
// no call each second.
#[test]
fn first_watcher_calls_for_a_rare_kind_every_other_second() {
    // arrange
    let start = Instant::now();
    let mut lease = WatchLease::new(KINDS).with_rare_kind();
    let mut time = Duration::from_millis(700);
    let mut waits = Vec::new();

    // act
    for _ in 0..10 {
        let wait = lease.wait(KINDS, true, time);
        lease.begin_call(KINDS, wait, start + time);
        time += wait;
        lease.end_call(KINDS, true, start + time);
        waits.push(wait);
    }

    // assert
    assert!(waits[0] <= milliseconds(2400), "{:?}", waits[0]);
    assert!(waits[1..].iter().all(|wait| *wait == milliseconds(2000)));
}

// Guards against requests to an evacuated domain: a VM vouched for its list although the store, or the connection of this
// kind, had fallen silent.
#[test]
fn lease_needs_answers_for_a_rare_kind_too() {
    // arrange
    let now = Instant::now();
    let mut lease = WatchLease::new(KINDS).with_rare_kind();
    for kind in 0..KINDS {
        lease.end_call(kind, true, now);
        lease.begin_call(kind, milliseconds(60_000), now);
    }

    // act
    let before = lease.is_valid(now);
    lease.end_call(KINDS, true, now);
    let answered = lease.is_valid(now);
    lease.begin_call(KINDS, lease.wait(KINDS, true, Duration::ZERO), now);
    let silent = lease.is_valid(now + RARE_LAPSE_TIME);

    // assert
    assert!(!before && answered && !silent);
}
