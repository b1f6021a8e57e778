//! What a server states about its load in a response.

use std::time::{
    Duration,
    Instant, //
};

use compact_str::CompactString;

/// Age from which stated numbers of requests have no weight. VMs report their requests to each other within
/// milliseconds, so that a statement only adds what they can't know, such as requests of VMs that are unreachable.
/// Requests take about half a second or longer; an older statement would mostly describe requests that have ended.
pub const USAGE_LIFETIME: Duration = Duration::from_millis(500);

/// Age from which a stated slowdown has no weight. Slowdowns last for some tenths of a second, so that an older figure
/// says as little about the present as none.
pub const SLOWDOWN_LIFETIME: Duration = Duration::from_millis(200);

/// Largest plausible number of requests or slots of a server.
const MAX_REQUESTS: f64 = 10_000.0;

/// Plausible slowdowns, in percent of the usual time.
const SLOWDOWN_PERCENT: std::ops::RangeInclusive<f64> = 10.0..=10_000.0;

/// Longest part of a malformed statement that a fault keeps, in characters.
const FAULT_TEXT_CHARS: usize = 48;

/// Numbers of requests that a server states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatedUsage {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests in the server's queue.
    pub waiting: u32,
    /// Requests that the server runs concurrently.
    pub slots: u32,
}

/// Valid figures of one statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadStatement {
    /// Numbers of requests.
    pub usage: Option<StatedUsage>,
    /// Time that work takes now, as a multiple of the usual time.
    pub slowdown: Option<f64>,
    /// When the request was sent.
    pub sent: Instant,
    /// When the head of the response was received.
    pub received: Instant,
}

/// Why figures were ignored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadFault {
    /// There are neither three nor four figures.
    FigureCount(CompactString),
    /// A number of requests or slots isn't a plausible whole number, or more requests run than there are slots.
    Usage(CompactString),
    /// The slowdown isn't a plausible number above 0.
    Slowdown(CompactString),
}

impl LoadFault {
    /// Returns the name as a metric label.
    pub fn name(&self) -> &'static str {
        match self {
            LoadFault::FigureCount(_) => "figure_count",
            LoadFault::Usage(_) => "usage",
            LoadFault::Slowdown(_) => "slowdown",
        }
    }

    /// Returns the beginning of the stated text.
    pub fn text(&self) -> &str {
        match self {
            LoadFault::FigureCount(text) | LoadFault::Usage(text) | LoadFault::Slowdown(text) => {
                text
            }
        }
    }
}

/// A statement as it was read: a fault of one figure leaves the others valid.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReading {
    /// Valid figures.
    pub statement: LoadStatement,
    /// Faults of the others.
    pub faults: Vec<LoadFault>,
}

impl LoadReading {
    /// Checks the figures of a statement: requests running, requests waiting, slots, and optionally the time that work
    /// takes in percent of the usual time.
    pub fn check(text: &str, figures: &[&str], sent: Instant, received: Instant) -> LoadReading {
        let mut statement = LoadStatement {
            usage: None,
            slowdown: None,
            sent,
            received,
        };
        let fault_text: CompactString = text.chars().take(FAULT_TEXT_CHARS).collect();
        let mut faults = Vec::new();
        if !(3..=4).contains(&figures.len()) {
            faults.push(LoadFault::FigureCount(fault_text));
            return LoadReading { statement, faults };
        }
        statement.usage = check_usage(&figures[..3]);
        if statement.usage.is_none() {
            faults.push(LoadFault::Usage(fault_text.clone()));
        }
        if let Some(figure) = figures.get(3) {
            let percent = figure.parse::<f64>().ok();
            let percent = percent.filter(|percent| SLOWDOWN_PERCENT.contains(percent));
            statement.slowdown = percent.map(|percent| percent / 100.0);
            if statement.slowdown.is_none() {
                faults.push(LoadFault::Slowdown(fault_text));
            }
        }
        LoadReading { statement, faults }
    }
}

fn check_usage(figures: &[&str]) -> Option<StatedUsage> {
    let number = |figure: &str| {
        let number = figure.parse::<f64>().ok()?;
        let is_plausible = (0.0..=MAX_REQUESTS).contains(&number) && number.fract() == 0.0;
        is_plausible.then_some(number as u32)
    };
    let usage = StatedUsage {
        running: number(figures[0])?,
        waiting: number(figures[1])?,
        slots: number(figures[2])?,
    };
    (usage.running <= usage.slots).then_some(usage)
}

/// Returns the weight of a figure by its age: 1 during the first half of its lifetime, then less, and 0 at its end.
pub(super) fn weight(since: Instant, lifetime: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(since);
    let rest = 1.0 - age.as_secs_f64() / lifetime.as_secs_f64();
    (2.0 * rest).clamp(0.0, 1.0)
}
