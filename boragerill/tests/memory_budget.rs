//! Budget of bytes that are held for clients, and the choice of what is shed and closed when it is short.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    connection_limit::{
        choose_closed,
        ConnectionPhase,
        ResourceLimits, //
    },
    memory_budget::{
        MemoryBudget,
        ReserveDecision,
        SMALL_BYTES, //
    },
};
use proptest::prelude::*;

const KB: usize = 1024;

fn granted<T>(shed: Vec<T>) -> ReserveDecision<T> {
    ReserveDecision {
        is_granted: true,
        shed,
    }
}

/// Load: many bodies that stop short of their end. Guards against refusing the next ordinary caller instead.
#[test]
fn large_stalled_body_is_shed_before_a_small_one() {
    // arrange
    let start = Instant::now();
    let mut budget = MemoryBudget::new(1000 * KB);
    let old = budget.open("small and old", start);
    budget.resize(old, SMALL_BYTES, start);
    let later = start + Duration::from_secs(20);
    let large = budget.open("large", later);
    budget.resize(large, 980 * KB, later);

    // act
    let ordinary = budget.open("ordinary", later);
    let decision = budget.resize(ordinary, 8 * KB, later + Duration::from_secs(1));

    // assert
    assert_eq!(granted(vec!["large"]), decision);
    assert_eq!(Some(SMALL_BYTES), budget.bytes(old));
}

/// Load: large bodies, some of which stall. Guards against shedding a body that progresses.
#[test]
fn stalled_body_is_shed_before_one_of_the_same_size_that_progresses() {
    // arrange
    let start = Instant::now();
    let mut budget = MemoryBudget::new(1000 * KB);
    let (moving, stalled) = (budget.open("moving", start), budget.open("stalled", start));
    budget.resize(stalled, 450 * KB, start);
    budget.resize(moving, 400 * KB, start);
    let later = start + Duration::from_secs(1);

    // act
    let decision = budget.resize(moving, 600 * KB, later);

    // assert
    assert_eq!(granted(vec!["stalled"]), decision);
    assert_eq!(600 * KB, budget.held());
}

/// Load: requests that are sent to servers and hold all of the budget. Guards against shedding one that may run.
#[test]
fn complete_requests_are_never_shed() {
    // arrange
    let now = Instant::now();
    let mut budget = MemoryBudget::new(100 * KB);
    let complete = budget.open("complete", now);
    budget.resize(complete, 100 * KB, now);
    let is_held = budget.pin(complete);

    // act
    let next = budget.open("next", now);
    let decision = budget.resize(next, KB, now + Duration::from_secs(9));

    // assert
    assert!(is_held && !decision.is_granted && decision.shed.is_empty());
    assert_eq!(Some(100 * KB), budget.bytes(complete));
    assert_eq!(None, budget.bytes(next));
}

/// Load: more connections than descriptors allow. Guards against closing a connection whose request runs.
#[test]
fn longest_idle_connection_is_closed_first_and_running_ones_never() {
    // arrange
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut phases = vec![
        ConnectionPhase::Response,
        ConnectionPhase::Body(at(0)),
        ConnectionPhase::Head(at(1)),
        ConnectionPhase::Idle(at(5)),
        ConnectionPhase::Idle(at(4)),
    ];

    // act
    let mut closed = Vec::new();
    while let Some(index) = choose_closed(&phases) {
        phases[index] = ConnectionPhase::Closing;
        closed.push(index);
    }

    // assert
    assert_eq!(vec![4, 3, 2, 1], closed);
}

/// Guards against limits that leave no descriptors for servers, or refuse one body of the largest legal size.
#[test]
fn limits_of_the_smallest_vm_fit_into_it() {
    let limits = ResourceLimits::new(120, 3075);
    let open = limits.callers * 2 + limits.peers + limits.probes * 2;
    assert!(open < 3075, "{limits:?}");
    assert!(limits.caller_bytes >= 4 * 4 * KB * KB, "{limits:?}");
}

proptest! {
    /// The held bytes stay within the capacity and equal the sum of the reservations, and nothing is shed while
    /// something that holds at least as much, for at least as long without progress, is kept.
    #[test]
    fn budget_is_kept_and_sheds_in_order(
        steps in prop::collection::vec((0_usize..12, 0_usize..300, 0_u64..400, 0_u8..8), 1..200),
    ) {
        let mut now = Instant::now();
        let capacity = 1000 * KB;
        let mut budget = MemoryBudget::new(capacity);
        let mut open: Vec<(u64, usize, Instant, bool)> = Vec::new();
        for (chosen, kilobytes, pause, action) in steps {
            now += Duration::from_millis(pause);
            if open.len() <= chosen {
                let id = budget.open(open.len(), now);
                open.push((id, 0, now, false));
            }
            let index = chosen.min(open.len() - 1);
            let id = open[index].0;
            match action {
                0 => {
                    budget.remove(id);
                    open[index].1 = 0;
                }
                1 => open[index].3 |= budget.pin(id),
                _ => {
                    let decision = budget.resize(id, kilobytes * KB, now);
                    if decision.is_granted {
                        (open[index].1, open[index].2) = (kilobytes * KB, now);
                    } else {
                        open[index].1 = 0;
                    }
                    for &shed in &decision.shed {
                        let (_, bytes, progress, is_pinned) = open[shed];
                        prop_assert!(!is_pinned && shed != index);
                        for (kept, other) in open.iter().enumerate() {
                            let stays = kept != index && !decision.shed.contains(&kept) && !other.3;
                            let is_worse = other.1 > bytes && other.2 < progress;
                            prop_assert!(!(stays && is_worse), "{shed} was shed before {kept}");
                        }
                    }
                    for &shed in &decision.shed {
                        open[shed].1 = 0;
                    }
                }
            }
            let sum: usize = open.iter().filter_map(|entry| budget.bytes(entry.0)).sum();
            prop_assert_eq!(sum, budget.held());
            prop_assert!(budget.held() <= capacity);
        }
    }
}
