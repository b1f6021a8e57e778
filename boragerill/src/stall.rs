//! Decides what becomes of a stream whose backend server has sent no event for a time.
//!
//! A server may fall silent and go on, so its silence alone ends no response. A stream that may run again moves to
//! another server after a fraction of its longest pause, if such a server has room. Every other stream waits for its
//! server as long as its caller waits for the stream.

use std::time::Duration;

use crate::catalog::StreamTerms;

/// Fraction of the longest pause after which a stream moves to another server.
const MOVE_SHARE: f64 = 0.7;

/// Time from the start of a run to its first event after which a stream moves to another server, if that is longer than
/// other limits. The server reads the prompt first.
pub const FIRST_EVENT_MOVE: Duration = Duration::from_millis(700);

/// Number of longest pauses after which a silent server is avoided by other requests.
const SUSPECT_GAPS: u32 = 3;

/// Interval at which a server that stays silent is reported again.
const SUSPECT_PERIOD: Duration = Duration::from_millis(500);

/// Time for which events are still forwarded after the caller's timeout: the caller starts to wait when the last event
/// reaches it, which is later than this VM sent it.
const CALLER_MARGIN: Duration = Duration::from_millis(250);

/// Interval at which a stream that can't move yet looks for another server.
const MOVE_RETRY_PERIOD: Duration = Duration::from_millis(50);

/// Limits of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StallTerms {
    move_after: Duration,
    suspect_after: Duration,
    caller_timeout: Duration,
}

/// State of a stream between two events.
#[derive(Clone, Copy, Debug)]
pub struct StallState {
    /// Time since the server's last event, or since the run started if there has been none.
    pub server_silence: Duration,
    /// Time since the last event was sent to the caller.
    pub caller_wait: Duration,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Whether the stream may be resumed by another run.
    pub resumable: bool,
    /// Whether a server still runs it.
    pub running: bool,
    /// Whether the current run has sent an event.
    pub begun: bool,
}

/// What to do with a stream that has no event now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StallAction {
    /// Wait for the server's next event.
    Wait {
        /// Time after which to decide again.
        limit: Duration,
        /// Whether other requests should avoid the server.
        suspect: bool,
    },
    /// Resume the stream on another server if one has room.
    Move {
        /// Time after which to decide again if no other server has room.
        retry: Duration,
        /// Whether other requests should avoid the server.
        suspect: bool,
    },
    /// End the response.
    End(StallEnd),
}

/// Why a stream without events ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StallEnd {
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The caller has abandoned the stream.
    CallerTimeout,
    /// No server runs the stream, and none may run it again.
    NotResumable,
}

impl StallEnd {
    /// Returns the text used in logs.
    pub fn text(self) -> &'static str {
        match self {
            StallEnd::DeadlinePassed => "deadline passed",
            StallEnd::CallerTimeout => "no event before the caller's timeout",
            StallEnd::NotResumable => "stream can't be resumed",
        }
    }
}

impl StallTerms {
    /// Makes the limits of the streams of a route.
    pub fn new(terms: &StreamTerms) -> StallTerms {
        let unlimited = |limit: Duration| match limit.is_zero() {
            true => Duration::MAX,
            false => limit,
        };
        StallTerms {
            move_after: unlimited(terms.max_event_gap.mul_f64(MOVE_SHARE)),
            suspect_after: unlimited(terms.max_event_gap * SUSPECT_GAPS),
            caller_timeout: unlimited(terms.event_timeout).saturating_add(CALLER_MARGIN),
        }
    }

    /// Decides what to do with a stream.
    pub fn decide(&self, state: &StallState) -> StallAction {
        if state.remaining.is_zero() {
            return StallAction::End(StallEnd::DeadlinePassed);
        }
        let caller_remaining = self.caller_timeout.saturating_sub(state.caller_wait);
        if caller_remaining.is_zero() {
            return StallAction::End(StallEnd::CallerTimeout);
        }
        if !state.running && !state.resumable {
            return StallAction::End(StallEnd::NotResumable);
        }
        let end = state.remaining.min(caller_remaining);
        let suspect = state.running && state.server_silence >= self.suspect_after;
        let move_after = match state.begun {
            true => self.move_after,
            false => self.move_after.max(FIRST_EVENT_MOVE),
        };
        if state.resumable && (!state.running || state.server_silence >= move_after) {
            let retry = MOVE_RETRY_PERIOD.min(end);
            return StallAction::Move { retry, suspect };
        }
        let next_report = match suspect {
            true => SUSPECT_PERIOD,
            false => self.suspect_after - state.server_silence,
        };
        let next_move = match state.resumable {
            true => move_after - state.server_silence,
            false => Duration::MAX,
        };
        let limit = end.min(next_report).min(next_move);
        StallAction::Wait { limit, suspect }
    }
}
