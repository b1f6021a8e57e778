//! A process that stops takes the requests that end before it does, and no others.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::stop_window::{
    RequestSpan,
    RunTimes,
    StopWindow, //
};
use proptest::{
    prelude::*,
    sample::Index,
    test_runner::RngSeed, //
};
use proptest_state_machine::{
    prop_state_machine,
    ReferenceStateMachine,
    StateMachineTest, //
};

const WINDOW: Duration = Duration::from_millis(7700);

/// Longest run of each route; the shortest is nearly as long.
const LONGEST: [Duration; 3] = [
    Duration::from_millis(20),
    Duration::from_millis(900),
    Duration::from_millis(4500),
];

const LEAST_SHARE: f64 = 0.85;

/// Event in the life of a process that will stop.
#[derive(Clone, Debug)]
enum StopEvent {
    /// A request arrives whose run would take a share of the longest one of its route.
    Arrive {
        route: usize,
        share: f64,
        patience: Duration,
    },
    /// A caller leaves.
    Leave { request: Index },
    /// Time passes.
    Pass { time: Duration },
    /// The process is told to stop.
    Stop,
}

/// Reference without state: what each request needs is known to the model.
#[derive(Clone, Debug)]
struct StopReference;

impl ReferenceStateMachine for StopReference {
    type State = ();
    type Transition = StopEvent;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<StopEvent> {
        let patience = (50..20_000_u64).prop_map(Duration::from_millis);
        let arrive =
            (0..LONGEST.len(), LEAST_SHARE..=1.0, patience).prop_map(|(route, share, patience)| {
                StopEvent::Arrive {
                    route,
                    share,
                    patience,
                }
            });
        prop_oneof![
            8 => arrive,
            1 => any::<Index>().prop_map(|request| StopEvent::Leave { request }),
            6 => (1..1500_u64).prop_map(|time| StopEvent::Pass { time: Duration::from_millis(time) }),
            1 => Just(StopEvent::Stop),
        ]
        .boxed()
    }

    fn apply((): (), _: &StopEvent) {}
}

/// A request that the process has taken.
#[derive(Clone, Debug)]
struct TakenRequest {
    route: usize,
    begun: Instant,
    whole: Instant,      // When its run is whole.
    latest_end: Instant, // When its caller leaves.
    is_promised: bool,   // Whether the process knew that it would end in time.
}

struct StopModel {
    now: Instant,
    window: Option<StopWindow>,
    times: RunTimes,
    open: Vec<TakenRequest>,
    has_ended: [bool; LONGEST.len()], // Whether a run of the route was whole.
}

impl StopModel {
    fn arrive(&mut self, route: usize, share: f64, patience: Duration) {
        let span = RequestSpan {
            latest_end: self.now + patience,
            run_time: self.times.longest(route as u64, self.now),
        };
        assert!(span.run_time.is_some() || !self.has_ended[route]);
        let mut is_promised = false;
        if let Some(window) = self.window {
            let last = window.last_answer();
            let is_taken = window.admits(span, self.now);
            let ends_by = match span.run_time {
                Some(_) => self.now + LONGEST[route].mul_f64(1.25) + Duration::from_millis(300),
                None => span.latest_end,
            };
            let could_be_served = self.now < last && ends_by.min(span.latest_end) <= last;
            assert!(is_taken || !could_be_served, "{span:?} refused");
            if !is_taken {
                return;
            }
            let is_early = self.now < window.begun + WINDOW.mul_f64(0.3);
            is_promised = self.has_ended[route] || span.latest_end <= last || !is_early;
        }
        self.times.begin(route as u64, self.now);
        self.open.push(TakenRequest {
            route,
            begun: self.now,
            whole: self.now + LONGEST[route].mul_f64(share),
            latest_end: span.latest_end,
            is_promised,
        });
    }

    fn end(&mut self, index: usize, now: Instant) {
        let request = self.open.remove(index);
        let is_whole = request.whole <= now;
        self.has_ended[request.route] |= is_whole;
        self.times
            .end(request.route as u64, request.begun, is_whole, now);
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        loop {
            let ends = self
                .open
                .iter()
                .map(|request| request.whole.min(request.latest_end));
            let first = ends.enumerate().min_by_key(|end| end.1);
            let Some((index, end)) = first.filter(|end| end.1 <= until) else {
                break;
            };
            self.end(index, end);
        }
        self.now = until;
    }
}

struct StopTest;

impl StateMachineTest for StopTest {
    type SystemUnderTest = StopModel;
    type Reference = StopReference;

    fn init_test((): &()) -> StopModel {
        StopModel {
            now: Instant::now(),
            window: None,
            times: RunTimes::default(),
            open: Vec::new(),
            has_ended: [false; LONGEST.len()],
        }
    }

    fn apply(mut model: StopModel, (): &(), event: StopEvent) -> StopModel {
        match event {
            StopEvent::Arrive {
                route,
                share,
                patience,
            } => model.arrive(route, share, patience),
            StopEvent::Leave { request } if !model.open.is_empty() => {
                let index = request.index(model.open.len());
                model.end(index, model.now);
            }
            StopEvent::Leave { .. } => {}
            StopEvent::Pass { time } => model.pass(time),
            StopEvent::Stop => {
                let begun = model.now;
                let end = begun + WINDOW;
                model.window.get_or_insert(StopWindow { begun, end });
            }
        }
        model
    }

    fn check_invariants(model: &StopModel, (): &()) {
        let Some(window) = model.window.filter(|window| model.now >= window.end) else {
            return;
        };
        let cut = model.open.iter().find(|request| request.is_promised);
        assert!(cut.is_none(), "{cut:?} cut off at {:?}", window.end);
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(75),
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    // Guards against LOST: a process that stopped took requests by a fixed share of its time, and cut the long ones off.
    #[test]
    fn stopping_process_takes_what_it_can_end_and_nothing_else(sequential 1..120 => StopTest);
}

fn window() -> StopWindow {
    let begun = Instant::now();
    StopWindow {
        begun,
        end: begun + WINDOW,
    }
}

/// Guards against LOST: streams of 4.5 s were begun 3.2 to 4.8 s after the signal, with 2.9 s left at the end.
#[test]
fn stream_longer_than_the_rest_of_the_window_is_refused() {
    // arrange
    let window = window();
    let arrives = |millis| {
        let now = window.begun + Duration::from_millis(millis);
        let span = RequestSpan {
            latest_end: now + Duration::from_secs(5),
            run_time: Some(Duration::from_millis(4500)),
        };
        (span, now)
    };

    // act
    let taken = [0, 1500, 2400, 2500, 3300, 4700].map(|millis| {
        let (span, now) = arrives(millis);
        window.admits(span, now)
    });

    // assert
    assert_eq!(taken, [true, true, true, false, false, false]);
}

/// Guards against requests that are refused although they end in time: until 4.8 s after the signal all were taken, then none.
#[test]
fn short_requests_are_taken_almost_to_the_end() {
    // arrange
    let window = window();
    let span = RequestSpan {
        latest_end: window.begun + Duration::from_secs(60),
        run_time: Some(Duration::from_millis(20)),
    };

    // act
    let taken = [4700, 5500, 7000, 7400].map(|millis| {
        let now = window.begun + Duration::from_millis(millis);
        window.admits(span, now)
    });

    // assert
    assert_eq!(taken, [true, true, true, false]);
}

/// Guards against an estimate from requests whose callers left early, or of a time long ago.
#[test]
fn run_times_count_whole_and_recent_runs() {
    // arrange
    let second = Duration::from_secs(1);
    let begun = Instant::now();
    let mut times = RunTimes::default();
    let mut run = |at: Duration, time: Duration, is_whole| {
        times.begin(1, begun + at);
        times.end(1, begun + at, is_whole, begun + at + time);
        times.longest(1, begun + at + time)
    };

    // act
    let left_early = run(Duration::ZERO, second / 10, false);
    let whole = run(second, 4 * second, true);
    let left_late = run(6 * second, 6 * second, false);
    let next = run(40 * second, second, true);
    let later = run(80 * second, second, true);

    // assert
    assert_eq!((left_early, whole), (None, Some(4 * second)));
    assert_eq!((left_late, next), (Some(6 * second), Some(6 * second)));
    assert_eq!(later, Some(second));
}

/// Guards against a run that goes on and is longer than all before it, but isn't counted.
#[test]
fn run_that_goes_on_counts_with_its_age() {
    // arrange
    let second = Duration::from_secs(1);
    let begun = Instant::now();
    let mut times = RunTimes::default();
    times.begin(1, begun);
    times.begin(1, begun);

    // act
    times.end(1, begun, true, begun + second);
    let longest = times.longest(1, begun + 5 * second);

    // assert
    assert_eq!(longest, Some(5 * second));
}
