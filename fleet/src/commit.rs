//! Stores the results of a job and lists them once they are stored.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    api::Expected,
    error::ServeError,
    job::{
        chunk_object_name,
        ResultChunk, //
    },
    sync::lock, //
};
use log::{
    info,
    warn, //
};
use metrics::{
    counter,
    histogram, //
};
use tokio::time::{
    sleep,
    timeout_at, //
};

use crate::{
    jobs::{
        JobEntry,
        RESULT_KIND, //
    },
    state::FleetState,
    takeover::release, //
};

/// Longest time for which results are collected before they are stored.
const COLLECT_TIME: Duration = Duration::from_millis(900);

/// First pause before storing is tried again; doubles up to the longest.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause before storing is tried again.
const RETRY_LIMIT: Duration = Duration::from_millis(800);

/// Stores results until the job is closed and everything that ended is stored.
pub(crate) async fn commit_results(state: Arc<FleetState>, entry: Arc<JobEntry>) {
    let mut pause = RETRY_PAUSE;
    loop {
        wait_for_results(&entry).await;
        let next = lock(&entry.progress).next_chunk(&state.runner);
        let Some((number, chunk)) = next else {
            if lock(&entry.progress).is_closed() {
                return;
            }
            continue;
        };
        match store_chunk(&state, &entry.id, number, &chunk).await {
            Ok(stored) if stored.runner != state.runner => {
                info!(job = entry.id.as_str(), chunk = number, runner = stored.runner.as_str(); "job runs elsewhere");
                release(&state, &entry);
                return;
            }
            Ok(stored) => {
                lock(&entry.progress).adopt_chunk(number, &stored);
                entry.changed.notify_waiters();
                pause = RETRY_PAUSE;
            }
            Err(error) => {
                warn!(job = entry.id.as_str(), chunk = number, error = error.to_string().as_str(); "results not stored yet");
                sleep(pause).await;
                pause = (pause * 2).min(RETRY_LIMIT);
            }
        }
    }
}

/// Waits until results are worth storing: all are there, or the oldest has waited long enough.
async fn wait_for_results(entry: &JobEntry) {
    let mut until: Option<Instant> = None;
    loop {
        let ended = entry.ended.notified();
        {
            let progress = lock(&entry.progress);
            let unlisted = progress.unlisted();
            let all_ended = progress.unfinished().next().is_none();
            if progress.is_closed() || (unlisted > 0 && all_ended) {
                return;
            }
            if unlisted > 0 && until.is_none() {
                until = Some(Instant::now() + COLLECT_TIME);
            }
        }
        let Some(until) = until else {
            ended.await;
            continue;
        };
        if timeout_at(until.into(), ended).await.is_err() {
            return;
        }
    }
}

/// Stores a chunk, or returns the one that another runner stored under its number.
pub(crate) async fn store_chunk(
    state: &FleetState,
    job: &str,
    number: u32,
    chunk: &ResultChunk,
) -> Result<ResultChunk, ServeError> {
    let name = chunk_object_name(job, number);
    let value = serde_json::to_value(chunk).unwrap_or_default();
    let started = Instant::now();
    let written = state
        .platform
        .put_settled(RESULT_KIND, &name, Expected::Absent, "", &value)
        .await;
    histogram!("results_store_seconds").record(started.elapsed().as_secs_f64());
    match written {
        Ok(_) => {
            counter!("results_stored_total").increment(chunk.results.len() as u64);
            Ok(chunk.clone())
        }
        Err(ServeError::Conflict(..)) => {
            let object = state.platform.get(RESULT_KIND, &name).await?;
            serde_json::from_value(object.spec).map_err(|error| {
                ServeError::Malformed(
                    boragerill::error::Step::PlatformRead,
                    name,
                    error.to_string().into(),
                )
            })
        }
        Err(error) => Err(error),
    }
}
