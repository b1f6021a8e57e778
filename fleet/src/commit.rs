//! Commits the results of a job: stores them in chunks and lists them once they are stored.

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
    sync::lock,
    write_pace::collect_time, //
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
    job_reads::parse_object,
    jobs::{
        JobEntry,
        RESULT_KIND, //
    },
    state::FleetState,
    takeover::release, //
};

/// First back-off before storing is retried; doubles up to `BACKOFF_MAX`.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest back-off before storing is retried.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Outcome of one attempt to store results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreOutcome {
    /// A chunk was stored, or none waits.
    Done,
    /// Another VM runs the job, or the job is closed and all results are stored.
    Ended,
    /// The store didn't respond or refused the write.
    Failed,
}

/// Stores results until the job is finished or cancelled and the results of all ended items are stored, or until
/// another runner's chunk fences this one.
pub(crate) async fn commit_results(state: Arc<FleetState>, entry: Arc<JobEntry>) {
    let mut backoff = BACKOFF_MIN;
    loop {
        wait_for_results(&state, &entry).await;
        match store_results(&state, &entry).await {
            StoreOutcome::Done => backoff = BACKOFF_MIN,
            StoreOutcome::Ended => return,
            StoreOutcome::Failed => {
                sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}

/// Stores the next chunk of results and lists them.
async fn store_results(state: &FleetState, entry: &JobEntry) -> StoreOutcome {
    let _storing = entry.storing.lock().await;
    if entry.is_released() {
        return StoreOutcome::Ended;
    }
    let next = lock(&entry.progress).next_chunk(&state.runner);
    let Some((number, chunk)) = next else {
        return match lock(&entry.progress).is_closed() {
            true => StoreOutcome::Ended,
            false => StoreOutcome::Done,
        };
    };
    lock(&entry.evidence).begin_write(Instant::now());
    match store_chunk(state, &entry.id, number, &chunk).await {
        Ok(stored) => match list_chunk(state, entry, number, &stored) {
            true => StoreOutcome::Done,
            false => StoreOutcome::Ended,
        },
        Err(error) => {
            // A conflict: the number is taken, by this VM's own chunk or another one.
            let may_be_stored = error.is_ambiguous() || matches!(error, ServeError::Conflict(..));
            lock(&entry.evidence).fail_write(may_be_stored);
            warn!(job = entry.id.as_str(), chunk = number, error = error.to_string().as_str(); "storing results failed");
            StoreOutcome::Failed
        }
    }
}

/// Lists the results of the chunk that is stored under this VM's next number. Returns `false` if another runner stored it,
/// to which the job is released.
pub(crate) fn list_chunk(
    state: &FleetState,
    entry: &JobEntry,
    number: u32,
    chunk: &ResultChunk,
) -> bool {
    if chunk.runner != state.runner {
        info!(job = entry.id.as_str(), chunk = number, runner = chunk.runner.as_str(); "job runs on another VM");
        release(state, entry);
        return false;
    }
    lock(&entry.progress).adopt_chunk(number, chunk);
    lock(&entry.evidence).end_write();
    entry.changed.notify_waiters();
    true
}

/// Waits until results can be stored: all items ended, the oldest result has waited for the [`collect_time`] of the job, or
/// the job is closed.
async fn wait_for_results(state: &FleetState, entry: &JobEntry) {
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
            if unlisted > 0 {
                let now = Instant::now();
                let has_abandoned = !progress.abandoned().is_empty();
                let end = now + collect_time(entry.time_left(state, now), has_abandoned);
                until = Some(until.map_or(end, |known| known.min(end)));
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

/// Stores a chunk and returns it, or the chunk that another runner stored under the same number.
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
        .put_confirmed(RESULT_KIND, &name, Expected::Absent, "", &value)
        .await;
    histogram!("results_store_seconds").record(started.elapsed().as_secs_f64());
    match written {
        Ok(_) => {
            counter!("results_stored_total").increment(chunk.results.len() as u64);
            Ok(chunk.clone())
        }
        Err(conflict @ ServeError::Conflict(..)) => {
            let read = state.platform.get(RESULT_KIND, &name).await;
            let object = read.map_err(|error| {
                warn!(job, chunk = number, error = error.to_string().as_str(); "reading a stored chunk failed");
                // It is still known that there is one.
                conflict
            })?;
            parse_object(&name, object.spec)
        }
        Err(error) => Err(error),
    }
}
