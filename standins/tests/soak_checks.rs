//! The soak's checks of the order of events, and its load.

use std::time::{
    Duration,
    Instant, //
};

use standins::soak::{
    events::{
        event_text,
        BreachKind,
        OrderCheck,
        ServerRun,
        ServerRuns, //
    },
    SoakLoad, //
};

fn runs(afters: &[Option<u64>]) -> ServerRuns {
    let runs = ServerRuns::default();
    for &after in afters {
        runs.begin(ServerRun {
            request: "r".to_owned(),
            server: "i-000".to_owned(),
            version: "v1".to_owned(),
            after,
            is_framed: true,
            fault: None,
            at: Instant::now(),
        });
    }
    runs
}

/// Returns the outcome of the events (version, number, run) of a stream of four.
fn check(is_resumable: bool, events: &[(&str, u64, u64)]) -> Result<(), BreachKind> {
    // The second run was asked to go on after event 1.
    let runs = runs(&[None, Some(1)]);
    let mut check = OrderCheck::new("a", is_resumable);
    for &(version, number, run) in events {
        let text = event_text("a", version, number, run);
        check.accept(&text, &runs).map_err(|breach| breach.kind)?;
    }
    check.end(3, &runs).map_err(|breach| breach.kind)
}

#[test]
fn whole_stream_of_one_run_or_of_a_resumed_one_is_in_order() {
    let one = [("v1", 0, 0), ("v1", 1, 0), ("v1", 2, 0), ("v1", 3, 0)];
    let two = [("v1", 0, 0), ("v1", 1, 0), ("v1", 2, 1), ("v1", 3, 1)];
    assert_eq!(check(false, &one), Ok(()));
    assert_eq!(check(true, &two), Ok(()));
}

#[test]
fn each_kind_of_wrong_order_is_told_apart() {
    let joined = [("v1", 0, 0), ("v1", 1, 0), ("v1", 2, 1)];
    let unasked = [("v1", 0, 0), ("v1", 1, 1)];
    let doubled = [("v1", 0, 0), ("v1", 0, 0)];
    let missing = [("v1", 0, 0), ("v1", 2, 0)];
    let other = [("v1", 0, 0), ("v1", 1, 0), ("v2", 2, 1)];
    assert_eq!(check(false, &joined), Err(BreachKind::Unasked));
    assert_eq!(check(true, &unasked), Err(BreachKind::Unasked));
    assert_eq!(check(true, &doubled), Err(BreachKind::Doubled));
    assert_eq!(check(true, &missing), Err(BreachKind::Missing));
    assert_eq!(check(true, &other), Err(BreachKind::OtherVersion));
    assert_eq!(check(true, &joined), Err(BreachKind::TooEarly));
}

#[test]
fn stepped_load_falls_and_rises_in_turn_and_the_plain_one_is_constant() {
    let (plain, stepped) = (SoakLoad::default(), SoakLoad::stepped());
    let factors = |load: &SoakLoad| {
        let times = [0, 3700, 3900, 6500, 6700, 10_500];
        times.map(|millis| load.factor_at(Duration::from_millis(millis)))
    };
    assert_eq!(factors(&plain), [1.0; 6]);
    assert_eq!(factors(&stepped), [0.38, 0.38, 1.84, 1.84, 0.38, 1.84]);
}
