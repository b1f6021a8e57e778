//! Tests of which requests wait and which are refused when slots are short.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::slot_wait::{
    SlotRule,
    SlotWait,
    TimeoutTable, //
};

fn wait() -> SlotWait {
    SlotWait {
        age: Duration::ZERO,
        held: Duration::ZERO,
        target: Duration::from_millis(300),
        remaining: Duration::from_secs(5),
        idle_remaining: Duration::from_secs(2),
        on_time_waiting: 0,
        expected: Duration::ZERO,
        limited_for: Duration::ZERO,
    }
}

#[test]
fn request_that_the_limits_admit_too_late_is_refused_at_once() {
    // arrange
    let limited_for = |millis| SlotWait {
        limited_for: Duration::from_millis(millis),
        ..wait()
    };

    // act
    let rules = [74, 75, 400].map(|millis| limited_for(millis).rule());

    // assert
    assert_eq!(
        rules,
        [
            SlotRule::Free,
            SlotRule::QueueOrRefuse(1),
            SlotRule::QueueOrRefuse(1)
        ]
    );
}

#[test]
fn on_time_request_waits_for_a_free_slot_then_queues_then_is_refused() {
    // arrange
    let held = |millis| SlotWait {
        held: Duration::from_millis(millis),
        ..wait()
    };

    // act
    let rules = [0, 59, 60, 75].map(|millis| held(millis).rule());

    // assert
    assert_eq!(
        rules,
        [
            SlotRule::Free,
            SlotRule::Free,
            SlotRule::Queue(1),
            SlotRule::QueueOrRefuse(1)
        ]
    );
}

/// After an outage, retried requests arrive together with new ones. Only the new ones can still be on time.
#[test]
fn overdue_requests_leave_slots_to_on_time_ones() {
    // arrange
    let overdue = SlotWait {
        age: Duration::from_millis(1800),
        ..wait()
    };
    let crowded = SlotWait {
        on_time_waiting: 2,
        ..overdue
    };

    // act and assert
    assert_eq!(overdue.rule(), SlotRule::Headroom);
    assert_eq!(crowded.rule(), SlotRule::Wait);
}

#[test]
fn overdue_request_without_time_to_run_is_refused_unless_a_slot_is_free() {
    // arrange
    let out_of_time = SlotWait {
        age: Duration::from_secs(4),
        remaining: Duration::from_millis(900),
        ..wait()
    };

    // act and assert
    assert_eq!(out_of_time.rule(), SlotRule::QueueOrRefuse(0));
}

#[test]
fn age_of_a_retried_request_is_estimated_from_the_time_left() {
    // arrange
    let now = Instant::now();
    let table = TimeoutTable::default();
    table.record("alarms", Duration::from_secs(5), now);

    // act
    let first = table.record("alarms", Duration::from_secs(5), now);
    let retried = table.record("alarms", Duration::from_millis(2800), now);
    let other = table.record("status", Duration::from_secs(4), now);

    // assert
    assert_eq!(first, Duration::ZERO);
    assert_eq!(retried, Duration::from_millis(2200));
    assert_eq!(other, Duration::ZERO);
}

#[test]
fn shorter_timeout_replaces_an_expired_longer_one() {
    // arrange
    let now = Instant::now();
    let table = TimeoutTable::default();
    table.record("alarms", Duration::from_secs(5), now);

    // act
    let later = now + Duration::from_secs(30);
    table.record("alarms", Duration::from_secs(2), later);

    // assert
    assert_eq!(
        table.record("alarms", Duration::from_secs(2), later),
        Duration::ZERO
    );
}

/// Servers that leave without a replacement must not keep overdue requests waiting until their callers disconnect
/// without a response.
#[test]
fn overdue_request_is_refused_before_its_caller_disconnects() {
    // arrange: half of the servers are gone, so that no server has headroom for overdue requests.
    let overdue = |idle_remaining| SlotWait {
        age: Duration::from_millis(1400),
        remaining: Duration::from_millis(3500),
        idle_remaining: Duration::from_millis(idle_remaining),
        on_time_waiting: 2,
        ..wait()
    };

    // act
    let rules = [1100, 1099].map(|idle_remaining| overdue(idle_remaining).rule());

    // assert
    assert_eq!(rules, [SlotRule::Wait, SlotRule::HeadroomOrRefuse]);
}

#[test]
fn overdue_request_is_refused_at_once_if_its_caller_disconnects_before_the_expected_slot() {
    // arrange
    let overdue = |expected| SlotWait {
        age: Duration::from_millis(1400),
        idle_remaining: Duration::from_millis(2000),
        expected,
        ..wait()
    };

    // act
    let rules = [901, 900].map(|millis| overdue(Duration::from_millis(millis)).rule());

    // assert
    assert_eq!(rules, [SlotRule::HeadroomOrRefuse, SlotRule::Headroom]);
}

/// Outcomes of the requests of a simulated overload.
#[derive(Debug, Default)]
struct OverloadCount {
    on_time: usize,
    overdue: usize,
    refused: usize,
}

/// Simulates an overload of one server that admits requests in order of arrival, and counts their outcomes.
fn simulate_overload(slots: usize, run_ms: u64, every_ms: u64, length_ms: u64) -> OverloadCount {
    let mut count = OverloadCount::default();
    // End times of runs. Those from before the overload are spread evenly.
    let mut running: Vec<u64> = (1..=slots as u64)
        .map(|run| run * run_ms / slots as u64)
        .collect();
    let mut queue: Vec<u64> = Vec::new(); // Arrival times of requests that wait at the server.
    let mut held: Vec<u64> = Vec::new(); // Arrival times of requests that wait at the VM.
    for now in 0..length_ms + 2_000 {
        running.retain(|end| *end > now);
        while running.len() < slots && !queue.is_empty() {
            running.push(now + run_ms);
            match now - queue.remove(0) < 300 {
                true => count.on_time += 1,
                false => count.overdue += 1,
            }
        }
        if now < length_ms && now % every_ms == 0 {
            held.push(now);
        }
        held.retain(|arrival| {
            let request = SlotWait {
                age: Duration::from_millis(now - arrival),
                held: Duration::from_millis(now - arrival),
                ..wait()
            };
            let (waiting, last) = match request.rule() {
                SlotRule::Free => (0, false),
                SlotRule::Queue(waiting) => (waiting, false),
                SlotRule::QueueOrRefuse(waiting) => (waiting, true),
                rule => panic!("unexpected rule {rule:?} for an on-time request"),
            };
            let taken = running.len() + queue.len();
            if taken < slots + usize::try_from(waiting).expect("small") {
                queue.push(*arrival);
                return false;
            }
            count.refused += usize::from(last);
            !last
        });
    }
    count
}

/// Loss of half of the servers at a load peak must not make all requests overdue: some are refused instead.
#[test]
fn overloaded_server_serves_most_requests_within_their_target() {
    // arrange: half of the servers are gone. 8 slots with runs of 0.7 s serve 11 requests a second; 18 arrive.
    let (slots, run_ms, every_ms, length_ms) = (8, 700, 55, 4_000);

    // act
    let count = simulate_overload(slots, run_ms, every_ms, length_ms);

    // assert: no slot is idle, and nine in ten of the served requests are on time
    let served = count.on_time + count.overdue;
    let capacity = length_ms * slots as u64 / run_ms;
    assert!(served as u64 >= capacity, "{count:?}");
    assert!(count.overdue * 10 <= served, "{count:?}");
    assert!(count.refused > 0, "{count:?}");
}
