//! Speed of servers: the time between the events of their responses, and the time until the first one.

use std::time::{
    Duration,
    Instant, //
};

use super::statement::weight;

/// Number of events of which the times are averaged before they are recorded.
const SAMPLE_EVENTS: u64 = 8;

/// Time after which fewer events are recorded as well, so that a server that has become slow is noticed.
const SAMPLE_TIME: Duration = Duration::from_millis(150);

/// Weight of a new sample in the usual interval.
const USUAL_WEIGHT: f64 = 0.1;

/// Age from which the last observed interval has no weight; as long as slowdowns last.
const RECENT_LIFETIME: Duration = Duration::from_millis(400);

/// Plausible intervals between events.
const INTERVALS: std::ops::RangeInclusive<Duration> =
    Duration::from_micros(50)..=Duration::from_secs(5);

/// Largest plausible number of prompt tokens to be read; clients may declare any number.
const MAX_READ_TOKENS: f64 = 200_000.0;

/// Multiple of the typical number of tokens above which a first event isn't used: one wrong number would otherwise
/// outweigh all others, as its square does.
const OUTLIER_FACTOR: f64 = 10.0;

/// Smallest number of tokens that counts as typical, so that prompts of ordinary length are never outliers.
const MIN_TYPICAL_TOKENS: f64 = 500.0;

/// Largest slowdown that is derived from observed intervals.
const MAX_SLOWDOWN: f64 = 10.0;

/// Ratio of observed to usual interval below which the server counts as being as fast as usual.
const NOTABLE_SLOWDOWN: f64 = 1.5;

/// Time without a read by the caller after which the times of events show the caller's speed, not the server's. Events
/// come every few milliseconds.
const CALLER_PAUSE: Duration = Duration::from_millis(5);

/// Factor by which older first events lose weight with each new one.
const FIRST_EVENT_DECAY: f64 = 0.98;

/// Weight of first events from which the prompt model is used.
const MIN_FIRST_EVENTS: f64 = 8.0;

/// Time until the first event that is assumed before any was observed.
const DEFAULT_DELAY_S: f64 = 0.05;

/// Observed time of some events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceSample {
    /// Number of events.
    pub events: u64,
    /// Time from the event before them to the last one.
    pub elapsed: Duration,
}

impl PaceSample {
    fn interval(self) -> Option<Duration> {
        let events = u32::try_from(self.events)
            .ok()
            .filter(|&events| events > 0)?;
        let interval = self.elapsed / events;
        INTERVALS.contains(&interval).then_some(interval)
    }
}

/// Collects the times of the events of one run, so that not each event has to be recorded.
#[derive(Clone, Copy, Debug)]
pub struct EventClock {
    since: Instant,
    count: u64,
}

impl EventClock {
    /// Starts at an event, after which `count` events have been received.
    pub fn start(now: Instant, count: u64) -> EventClock {
        EventClock { since: now, count }
    }

    /// Returns the clock after the caller hasn't read for a time; `None` if the times of events have to be collected anew.
    pub fn after_pause(self, pause: Duration) -> Option<EventClock> {
        (pause <= CALLER_PAUSE).then_some(self)
    }

    /// Returns a sample once enough events or time have passed; `count` is the number of events received so far.
    pub fn sample(&mut self, now: Instant, count: u64) -> Option<PaceSample> {
        let sample = PaceSample {
            events: count.saturating_sub(self.count),
            elapsed: now.saturating_duration_since(self.since),
        };
        let is_due = sample.events >= SAMPLE_EVENTS || sample.elapsed >= SAMPLE_TIME;
        if sample.events == 0 || !is_due {
            return None;
        }
        *self = EventClock::start(now, count);
        Some(sample)
    }
}

/// Learned speed of one server process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerPace {
    usual: Option<Duration>,             // Interval at usual speed.
    reported: Option<Duration>,          // As other VMs reported it.
    recent: Option<(Duration, Instant)>, // Last observed interval.
}

impl ServerPace {
    /// Records observed events while work took `slowdown` times as long as usual.
    pub(super) fn record(&mut self, sample: PaceSample, slowdown: f64, now: Instant) {
        let Some(interval) = sample.interval() else {
            return;
        };
        self.recent = Some((interval, now));
        let usual = interval.div_f64(slowdown);
        self.usual = Some(match self.usual {
            None => usual,
            Some(known) => known.mul_f64(1.0 - USUAL_WEIGHT) + usual.mul_f64(USUAL_WEIGHT),
        });
    }

    /// Records the usual interval that another VM reported.
    pub(super) fn record_reported(&mut self, interval: Duration) {
        if INTERVALS.contains(&interval) {
            self.reported = Some(interval);
        }
    }

    /// Returns the usual interval as this VM observed it.
    pub(super) fn observed(&self) -> Option<Duration> {
        self.usual
    }

    /// Returns the usual interval, from other VMs' reports if this VM hasn't observed it.
    pub(super) fn usual(&self) -> Option<Duration> {
        self.usual.or(self.reported)
    }

    /// Returns how much longer than usual the last observed events took, weighted by their age.
    pub(super) fn slowdown(&self, now: Instant) -> f64 {
        let (Some(usual), Some((recent, since))) = (self.usual, self.recent) else {
            return 1.0;
        };
        let ratio = recent.as_secs_f64() / usual.as_secs_f64();
        if ratio < NOTABLE_SLOWDOWN {
            return 1.0;
        }
        1.0 + (ratio.min(MAX_SLOWDOWN) - 1.0) * weight(since, RECENT_LIFETIME, now)
    }
}

/// Time until the first event in seconds, as a linear function of the prompt tokens to be read: decayed sums of a
/// least-squares fit, of requests at a server of median speed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PromptModel {
    weight: f64,
    tokens: f64,
    delay: f64,
    tokens_squared: f64,
    product: f64,
    typical: f64, // Average number of tokens, with outliers reduced to the limit.
}

impl PromptModel {
    /// Records an observed first event, unless the number of tokens is far above the typical one.
    pub(super) fn record(&mut self, tokens: f64, delay: f64) {
        if tokens > MAX_READ_TOKENS || self.is_outlier(tokens) {
            return;
        }
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.delay,
            &mut self.tokens_squared,
            &mut self.product,
        ] {
            *sum *= FIRST_EVENT_DECAY;
        }
        self.weight += 1.0;
        self.tokens += tokens;
        self.delay += delay;
        self.tokens_squared += tokens * tokens;
        self.product += tokens * delay;
    }

    /// Returns whether a number of tokens is far above the typical one, which it also changes: prompts that have become
    /// longer for good are outliers only at first.
    fn is_outlier(&mut self, tokens: f64) -> bool {
        if self.weight < MIN_FIRST_EVENTS {
            self.typical = (self.typical * self.weight + tokens) / (self.weight + 1.0);
            return false;
        }
        let limit = self.typical.max(MIN_TYPICAL_TOKENS) * OUTLIER_FACTOR;
        let counted = tokens.min(limit);
        self.typical = self.typical * FIRST_EVENT_DECAY + counted * (1.0 - FIRST_EVENT_DECAY);
        tokens > limit
    }

    /// Returns the expected time until the first event.
    pub(super) fn delay(&self, tokens: f64) -> f64 {
        if self.weight < MIN_FIRST_EVENTS {
            return DEFAULT_DELAY_S;
        }
        let mean_tokens = self.tokens / self.weight;
        let mean_delay = self.delay / self.weight;
        let variance = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        let covariance = self.product / self.weight - mean_tokens * mean_delay;
        // Prompts of one size tell nothing about others.
        let slope = match variance > 1.0 {
            true => (covariance / variance).max(0.0),
            false => 0.0,
        };
        let delay = mean_delay + slope * (tokens - mean_tokens);
        delay.max(0.0)
    }
}
