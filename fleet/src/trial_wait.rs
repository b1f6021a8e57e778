//! Turns in which VMs start items with quarantined prompts as trials.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    rank::hash_name,
    sync::lock, //
};

use crate::state::FleetState;

/// Name of the task for which VMs are ranked to start trials.
const TRIAL_TASK: &str = "trial";

/// Time between the turns of two VMs to start a request with a quarantined prompt as a trial.
const TRIAL_TURN: Duration = Duration::from_millis(50);

/// Longest wait for a turn.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);

/// Time without a check after which a wait for a turn is over and the next check begins another one.
const TRIAL_WAIT_PAUSE: Duration = Duration::from_millis(200);

/// Returns the time after which this VM lets a due trial through, unless another one has before.
pub(crate) fn trial_turn(state: &FleetState, now: Instant) -> Duration {
    let rank = lock(&state.members).own_rank(hash_name(TRIAL_TASK), now);
    TRIAL_TURN.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
}

/// Wait for this VM's turn to start an item as a trial.
#[derive(Debug, Default)]
pub(crate) struct TrialWait {
    checks: Option<(Instant, Instant)>, // The first and the last check of this wait.
}

impl TrialWait {
    /// Checks whether the turn has come that begins `turn` after the first check.
    pub(crate) fn is_over(&mut self, turn: Duration, now: Instant) -> bool {
        let ongoing = self
            .checks
            .filter(|(_, last)| now < *last + TRIAL_WAIT_PAUSE);
        let first = ongoing.map_or(now, |(first, _)| first);
        self.checks = Some((first, now));
        now >= first + turn.min(MAX_TRIAL_WAIT)
    }
}
