//! Who waits and who is refused when places are short.

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
    }
}

#[test]
fn fresh_request_waits_for_a_free_place_then_queues_then_is_refused() {
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

#[test]
fn after_an_outage_late_requests_leave_places_to_those_still_in_time() {
    // arrange
    let late = SlotWait {
        age: Duration::from_millis(1800),
        ..wait()
    };
    let crowded = SlotWait {
        on_time_waiting: 2,
        ..late
    };

    // act and assert
    assert_eq!(late.rule(), SlotRule::Headroom);
    assert_eq!(crowded.rule(), SlotRule::Wait);
}

#[test]
fn late_request_without_time_to_run_is_refused_unless_a_place_is_free() {
    // arrange
    let hopeless = SlotWait {
        age: Duration::from_secs(4),
        remaining: Duration::from_millis(900),
        ..wait()
    };

    // act and assert
    assert_eq!(hopeless.rule(), SlotRule::QueueOrRefuse(0));
}

#[test]
fn callers_that_come_back_are_told_by_the_time_they_have_left() {
    // arrange
    let now = Instant::now();
    let table = TimeoutTable::default();
    table.record("alarms", Duration::from_secs(5), now);

    // act
    let fresh = table.record("alarms", Duration::from_secs(5), now);
    let back = table.record("alarms", Duration::from_millis(2800), now);
    let other = table.record("status", Duration::from_secs(4), now);

    // assert
    assert_eq!(fresh, Duration::ZERO);
    assert_eq!(back, Duration::from_millis(2200));
    assert_eq!(other, Duration::ZERO);
}

#[test]
fn shorter_times_of_all_callers_are_learned() {
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

#[test]
fn servers_that_leave_without_replacement_let_no_caller_wait_without_an_answer() {
    // arrange: half of the servers are gone, so late requests find no spare place.
    let late = |idle_remaining| SlotWait {
        age: Duration::from_millis(1400),
        remaining: Duration::from_millis(3500),
        idle_remaining: Duration::from_millis(idle_remaining),
        on_time_waiting: 2,
        ..wait()
    };

    // act
    let rules = [1100, 1099].map(|idle_remaining| late(idle_remaining).rule());

    // assert
    assert_eq!(rules, [SlotRule::Wait, SlotRule::HeadroomOrRefuse]);
}

#[test]
fn late_request_is_refused_at_once_when_no_place_comes_before_its_caller_leaves() {
    // arrange
    let late = |expected| SlotWait {
        age: Duration::from_millis(1400),
        idle_remaining: Duration::from_millis(2000),
        expected,
        ..wait()
    };

    // act
    let rules = [901, 900].map(|millis| late(Duration::from_millis(millis)).rule());

    // assert
    assert_eq!(rules, [SlotRule::HeadroomOrRefuse, SlotRule::Headroom]);
}

/// What has become of the requests of a crest.
#[derive(Debug, Default)]
struct CrestCount {
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Plays a crest before one server that admits in order of arrival: how its requests fare by the rule.
fn play_crest(places: usize, run_ms: u64, every_ms: u64, length_ms: u64) -> CrestCount {
    let mut count = CrestCount::default();
    // Ends of runs; those from before the crest end one after the other.
    let mut running: Vec<u64> = (1..=places as u64)
        .map(|run| run * run_ms / places as u64)
        .collect();
    let mut queue: Vec<u64> = Vec::new(); // Arrivals of requests that wait at the server.
    let mut held: Vec<u64> = Vec::new(); // Arrivals of requests that wait here.
    for now in 0..length_ms + 2_000 {
        running.retain(|end| *end > now);
        while running.len() < places && !queue.is_empty() {
            running.push(now + run_ms);
            match now - queue.remove(0) < 300 {
                true => count.in_time += 1,
                false => count.late += 1,
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
                rule => panic!("a request that waits for {rule:?}"),
            };
            let taken = running.len() + queue.len();
            if taken < places + usize::try_from(waiting).expect("small") {
                queue.push(*arrival);
                return false;
            }
            count.refused += usize::from(last);
            !last
        });
    }
    count
}

#[test]
fn crest_with_half_the_servers_gone_serves_in_time_whom_it_serves() {
    // arrange: 8 places of 0.7 s carry 11 requests a second; 18 come.
    let (places, run_ms, every_ms, length_ms) = (8, 700, 55, 4_000);

    // act
    let count = play_crest(places, run_ms, every_ms, length_ms);

    // assert: no server stands idle, and nine in ten of the served are in time
    let served = count.in_time + count.late;
    let capacity = length_ms * places as u64 / run_ms;
    assert!(served as u64 >= capacity, "{count:?}");
    assert!(count.late * 10 <= served, "{count:?}");
    assert!(count.refused > 0, "{count:?}");
}
