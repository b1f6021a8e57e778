//! Decides which requests a process still takes while it stops: those that end before it does.
//!
//! A request that is refused has not run, and its caller can send it elsewhere; one that is cut off has run for nothing, or
//! must not run again. So a request is taken if it ends in time for sure, since its caller's patience or its route's timeout
//! ends first, or if the runs of its route have lately been short enough. Short requests are served almost to the end.

use std::time::{
    Duration,
    Instant, //
};

/// Time before the end of the process by which every response has to be complete.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Factor by which a run may take longer than the longest one lately.
const RUN_FACTOR: f64 = 1.25;

/// Least time by which a run may take longer than the longest one lately.
const RUN_MARGIN: Duration = Duration::from_millis(300);

/// Share of the window in which requests of routes are taken of which no run has ended.
const UNKNOWN_SHARE: f64 = 0.3;

/// Share of the window after which callers that wait for results get what there is.
const WAIT_SHARE: f64 = 0.5;

/// Time for which a run counts as recent, at least.
const RECENT_TIME: Duration = Duration::from_secs(30);

/// Hash of the name of a route.
pub type RouteHash = u64;

/// Time between the signal by which a process is stopped and its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopWindow {
    /// Time of the signal.
    pub begun: Instant,
    /// Latest end of the process.
    pub end: Instant,
}

/// What is known of the end of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSpan {
    /// When it has ended in any case.
    pub latest_end: Instant,
    /// Longest recent run of its route; `None` if no run has ended.
    pub run_time: Option<Duration>,
}

impl StopWindow {
    /// Returns the time by which every response has to be complete.
    pub fn last_answer(&self) -> Instant {
        self.begun.max(before(self.end, ANSWER_MARGIN))
    }

    /// Returns the time until which callers may wait for results.
    pub fn wait_end(&self) -> Instant {
        self.begun + (self.end - self.begun).mul_f64(WAIT_SHARE)
    }

    /// Returns whether a request whose run begins now ends before the process does.
    pub fn admits(&self, span: RequestSpan, now: Instant) -> bool {
        let last = self.last_answer();
        if now >= last {
            return false;
        }
        let ends_by = match span.run_time {
            Some(time) => now + time.mul_f64(RUN_FACTOR).max(time + RUN_MARGIN),
            None if now < self.begun + (self.end - self.begun).mul_f64(UNKNOWN_SHARE) => now,
            None => span.latest_end,
        };
        ends_by.min(span.latest_end) <= last
    }
}

/// Returns the time that lies `duration` before another one.
fn before(time: Instant, duration: Duration) -> Instant {
    time.checked_sub(duration).unwrap_or(time)
}

/// How long requests of each route have run lately.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    routes: Vec<RouteRuns>, // Sorted by route.
}

#[derive(Clone, Debug)]
struct RouteRuns {
    route: RouteHash,
    open: Vec<Instant>, // Starts of the runs that go on, sorted.
    since: Instant,     // When `longest` began.
    longest: Option<Duration>,
    earlier: Option<Duration>, // Longest run of the time before.
}

impl RunTimes {
    /// Records that a run begins.
    pub fn begin(&mut self, route: RouteHash, now: Instant) {
        let runs = self.runs(route, now);
        let index = runs.open.partition_point(|&begun| begun <= now);
        runs.open.insert(index, now);
    }

    /// Records the end of a run that began at `begun`. The end of one that isn't whole, such as one whose caller has left,
    /// shows only how long runs take at least.
    pub fn end(&mut self, route: RouteHash, begun: Instant, is_whole: bool, now: Instant) {
        let runs = self.runs(route, now);
        if let Ok(index) = runs.open.binary_search(&begun) {
            runs.open.remove(index);
        }
        runs.rotate(now);
        let time = now.saturating_duration_since(begun);
        if is_whole || runs.has_ended() {
            runs.longest = runs.longest.max(Some(time));
        }
    }

    /// Returns the longest recent run of a route, the ones that go on included; `None` if no run has ended.
    pub fn longest(&self, route: RouteHash, now: Instant) -> Option<Duration> {
        let found = self.routes.binary_search_by_key(&route, |runs| runs.route);
        let runs = &self.routes[found.ok()?];
        let oldest = runs.open.first();
        let age = oldest.map(|&begun| now.saturating_duration_since(begun));
        let ended = runs.longest.max(runs.earlier)?;
        Some(ended.max(age.unwrap_or_default()))
    }

    fn runs(&mut self, route: RouteHash, now: Instant) -> &mut RouteRuns {
        let found = self.routes.binary_search_by_key(&route, |runs| runs.route);
        let index = found.unwrap_or_else(|index| {
            let runs = RouteRuns {
                route,
                open: Vec::new(),
                since: now,
                longest: None,
                earlier: None,
            };
            self.routes.insert(index, runs);
            index
        });
        &mut self.routes[index]
    }
}

impl RouteRuns {
    fn has_ended(&self) -> bool {
        self.longest.is_some() || self.earlier.is_some()
    }

    /// Forgets the runs of the time before the last one, once a run has ended since.
    fn rotate(&mut self, now: Instant) {
        if now.saturating_duration_since(self.since) >= RECENT_TIME && self.longest.is_some() {
            self.earlier = self.longest.take();
            self.since = now;
        }
    }
}
