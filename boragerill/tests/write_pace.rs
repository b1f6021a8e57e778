//! Pace of a job's writes to the store.

use std::time::Duration;

use boragerill::write_pace::{
    checkpoint_period,
    collect_time, //
};

/// Guards against results that are ready but listed only after their job was due.
#[test]
fn results_of_a_job_that_is_due_soon_are_stored_soon() {
    let lefts = [0, 500, 2_000, 5_000].map(Duration::from_millis);

    let times = lefts.map(|left| collect_time(Some(left), false));

    assert_eq!(times, [Duration::from_millis(900); 4]);
}

/// Load: 150 jobs a minute of ten items that end one after the other within seven seconds. Guards against a write for each
/// item, which made writes of results the most frequent calls to the store.
#[test]
fn job_that_is_due_late_stores_its_results_in_few_writes() {
    let due = Duration::from_secs(18);
    let ends: Vec<Duration> = (1..=10)
        .map(|item| Duration::from_millis(700 * item))
        .collect();

    let mut writes = 0;
    let mut open_until: Option<Duration> = None;
    for end in &ends {
        if open_until.is_some_and(|until| *end > until) {
            open_until = None;
        }
        if open_until.is_none() {
            writes += 1;
            open_until = Some(*end + collect_time(Some(due - *end), false));
        }
    }

    assert!(writes <= 4, "{writes} writes for {} items", ends.len());
}

/// Guards against jobs without a due time, or overdue ones, whose work is stored seldom.
#[test]
fn jobs_without_time_left_keep_the_shortest_periods() {
    let periods = [None, Some(Duration::ZERO)].map(|left| checkpoint_period(left, false));

    assert_eq!(periods, [Duration::from_secs(2); 2]);
    assert_eq!(collect_time(None, false), Duration::from_millis(900));
    assert_eq!(
        checkpoint_period(Some(Duration::from_secs(3600)), false),
        Duration::from_secs(4)
    );
}

/// Guards against items that can never be done and run again after the loss of their runner, and against jobs that lose all
/// their output before their first checkpoint.
#[test]
fn first_checkpoints_and_abandoned_items_are_stored_soon() {
    let left = Some(Duration::from_secs(3600));

    let (checkpoint, results) = (checkpoint_period(left, true), collect_time(left, true));

    assert_eq!(checkpoint, Duration::from_secs(2));
    assert_eq!(results, Duration::from_millis(900));
}
