//! Tests of retries, of the choice of a server, of ejections and of response checks.

use std::time::Duration;

use boragerill::{
    answer::{
        check_response,
        EventScanner,
        ResponseFault,
        StreamEvent, //
    },
    retry::{
        AttemptProgress,
        FailedAttempt,
        RetryBudget,
        RetryReason, //
    },
    route::{
        choose,
        RoutePolicy,
        RouteQuery,
        ServerHealth,
        ServerView, //
    },
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn failed(progress: AttemptProgress, idempotent: bool) -> FailedAttempt {
    FailedAttempt {
        progress,
        idempotent,
        attempts: 1,
        remaining: Duration::from_secs(5),
    }
}

fn view(index: u64, load: u32) -> ServerView {
    ServerView {
        hash: index * 77,
        local: index % 2 == 0,
        leaving: false,
        ejected: false,
        load,
        slots: 8,
    }
}

#[test]
fn only_safe_requests_are_retried() {
    // Act.
    let decide =
        |progress, idempotent| RetryBudget::default().decide(failed(progress, idempotent), 3);

    // Assert.
    for idempotent in [false, true] {
        assert_eq!(
            decide(AttemptProgress::NothingSent, idempotent),
            Some(RetryReason::ConnectFailed)
        );
        assert_eq!(decide(AttemptProgress::ResponseStarted, idempotent), None);
    }
    assert_eq!(
        decide(AttemptProgress::Sent, true),
        Some(RetryReason::ServerFailed)
    );
    assert_eq!(decide(AttemptProgress::Sent, false), None);
}

#[test]
fn retries_are_limited_to_a_tenth_of_successes() {
    // Arrange: an outage has used up the budget.
    let mut budget = RetryBudget::default();
    let retry = |budget: &mut RetryBudget| {
        budget
            .decide(failed(AttemptProgress::Sent, true), 3)
            .is_some()
    };
    let spent = (0..100).take_while(|_| retry(&mut budget)).count();

    // Act.
    (0..50).for_each(|_| budget.record_success());
    let refilled = (0..100).take_while(|_| retry(&mut budget)).count();

    // Assert.
    assert_eq!((spent, refilled), (10, 5));
}

#[test]
fn deadline_and_attempt_limit_end_retries() {
    // Arrange.
    let overdue = FailedAttempt {
        remaining: Duration::from_millis(5),
        ..failed(AttemptProgress::Sent, true)
    };
    let last = FailedAttempt {
        attempts: 3,
        ..failed(AttemptProgress::Sent, true)
    };

    // Act and assert.
    assert_eq!(RetryBudget::default().decide(overdue, 3), None);
    assert_eq!(RetryBudget::default().decide(last, 3), None);
}

#[test]
fn ejections_double_and_end_with_a_success() {
    // Arrange.
    let mut health = ServerHealth::default();

    // Act.
    (0..3).for_each(|_| health.record_failure(0));
    let first = [0, 999, 1000].map(|ms| health.is_ejected(ms));
    (0..3).for_each(|_| health.record_failure(1000));
    let second = [1000, 2999, 3000].map(|ms| health.is_ejected(ms));
    health.record_success();

    // Assert.
    assert_eq!(first, [true, true, false]);
    assert_eq!(second, [true, true, false]);
    assert!(!health.is_ejected(1000));
}

#[test]
fn events_are_split_and_checked() {
    // Arrange: events received in pieces that don't match event boundaries, after a comment.
    let mut scanner = EventScanner::new("r-1");
    let text = b": hello\n\ndata: {\"id\":\"r-1\"}\n\ndata: [DONE]\n\n";

    // Act.
    let mut events = Vec::new();
    for piece in text.chunks(5) {
        scanner.push(piece);
        while let Ok(Some(event)) = scanner.next_event() {
            events.push(event);
        }
    }
    scanner.push(b"data: {\"id\":\"r-2\"}\n\n");
    let mismatched = scanner.next_event();

    // Assert.
    assert!(matches!(
        &events[..],
        [StreamEvent::Part(_), StreamEvent::Done(_)]
    ));
    assert_eq!(mismatched, Err(ResponseFault::Mismatched));
    assert_eq!(
        check_response(b"{\"id\":\"r-1\",\"choi", "r-1"),
        Err(ResponseFault::Malformed)
    );
}

proptest! {
    #![proptest_config(config(6))]

    /// Draining and tried servers are never chosen, and ejected ones only if less than half of the servers are
    /// healthy. A server is chosen whenever one is eligible.
    #[test]
    fn only_eligible_servers_are_chosen(
        servers in prop::collection::vec((0_u32..20, any::<bool>(), any::<bool>()), 1..12),
        tried in prop::collection::vec(0_usize..12, 0..4),
        policy in prop_oneof![
            Just(RoutePolicy::PrefixBounded),
            Just(RoutePolicy::LeastInFlight),
            Just(RoutePolicy::RoundRobin),
            Just(RoutePolicy::PrefixOnly)
        ],
        prefix in prop::option::of(any::<u64>()),
        draw in any::<u64>(),
    ) {
        let views: Vec<ServerView> = servers
            .iter()
            .enumerate()
            .map(|(index, &(load, leaving, ejected))| ServerView { leaving, ejected, ..view(index as u64, load) })
            .collect();
        let query = RouteQuery { policy, prefix, draw, local_prefixes: false };
        let chosen = choose(&views, &tried, query);
        let available: Vec<usize> = (0..views.len()).filter(|&index| !views[index].leaving).collect();
        let healthy = available.iter().filter(|&&index| !views[index].ejected).count();
        let excludes_ejected = 2 * healthy >= available.len();
        let mut eligible = available.iter().filter(|&&index| !tried.contains(&index));
        let eligible = eligible.any(|&index| !excludes_ejected || !views[index].ejected);
        prop_assert_eq!(chosen.is_some(), eligible);
        if let Some(index) = chosen {
            prop_assert!(!views[index].leaving && !tried.contains(&index));
            prop_assert!(!excludes_ejected || !views[index].ejected);
        }
    }
}
