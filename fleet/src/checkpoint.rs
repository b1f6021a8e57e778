//! Stores the output of unfinished items, so that a new runner resumes them after the loss of their runner.

use std::{
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Instant,
};

use boragerill::{
    api::Expected,
    error::ServeError,
    job::JobCheckpoint,
    sync::lock,
    write_pace::checkpoint_period, //
};
use log::warn;
use metrics::counter;
use tokio::time::sleep;

use crate::{
    jobs::{
        JobEntry,
        CHECKPOINT_KIND, //
    },
    state::FleetState, //
};

/// Stores a checkpoint of a job periodically while this VM runs the job.
pub(crate) async fn store_checkpoints(state: Arc<FleetState>, entry: Arc<JobEntry>) {
    let mut stored = JobCheckpoint::default();
    let mut exists = false;
    loop {
        let time_left = entry.time_left(&state, Instant::now());
        sleep(checkpoint_period(time_left, !exists)).await;
        let checkpoint = {
            let progress = lock(&entry.progress);
            if progress.is_closed() || entry.released.load(Ordering::Relaxed) {
                return;
            }
            progress.checkpoint()
        };
        if checkpoint.outputs.is_empty() || checkpoint == stored {
            continue;
        }
        match store(&state, &entry.id, &checkpoint, exists).await {
            Ok(()) => {
                exists = true;
                stored = checkpoint;
                counter!("checkpoints_stored_total").increment(1);
            }
            Err(error) => {
                warn!(job = entry.id.as_str(), error = error.to_string().as_str(); "storing a checkpoint failed");
            }
        }
    }
}

async fn store(
    state: &FleetState,
    job: &str,
    checkpoint: &JobCheckpoint,
    exists: bool,
) -> Result<(), ServeError> {
    let value = serde_json::to_value(checkpoint).unwrap_or_default();
    let limit = usize::try_from(state.settings.value_bytes).unwrap_or(usize::MAX);
    let size: usize = checkpoint
        .outputs
        .iter()
        .map(|output| output.text.len())
        .sum();
    if size * 2 > limit {
        // Doubled, since the text is longer as JSON. A checkpoint beyond the limit doesn't fit into one object; a job
        // of that size has most of its results stored already.
        return Ok(());
    }
    let expected = if exists {
        Expected::Any
    } else {
        Expected::Absent
    };
    let put = |expected| {
        state
            .platform
            .put(CHECKPOINT_KIND, job, expected, "", &value)
    };
    match put(expected).await {
        // An earlier runner stored a checkpoint of this job.
        Err(ServeError::Conflict(..)) => put(Expected::Any).await.map(|_| ()),
        result => result.map(|_| ()),
    }
}
