//! Check of this VM's list of a job's results against the store.
//!
//! A VM that has been out of touch may have been replaced as the runner of a job without knowing it. Before it answers from
//! its list, it looks for the chunk that follows its own.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    error::{
        ServeError,
        Step, //
    },
    job::{
        chunk_object_name,
        ResultChunk, //
    },
    sync::lock,
};
use metrics::counter;
use tokio::time::timeout;

use crate::{
    commit::list_chunk,
    job_reads::parse_object,
    jobs::{
        JobEntry,
        RESULT_KIND, //
    },
    state::FleetState, //
};

/// Timeout of a check. Clients wait longer for a response to a read.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Whether this VM may answer from its list of a job's results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ListStatus {
    /// No VM has listed more results.
    Current,
    /// Another VM runs the job.
    Released,
}

/// Returns whether this VM may answer from its list of a job's results. Asks the store only if the VM can't be sure; a job
/// that another VM runs is released.
///
/// # Errors
///
/// Returns the error of the store, or `ServeError::Timeout`, if neither is known.
pub(crate) async fn check_list(
    state: &FleetState,
    entry: &JobEntry,
) -> Result<ListStatus, ServeError> {
    if let Some(status) = known_status(state, entry) {
        return Ok(status);
    }
    match timeout(CHECK_TIMEOUT, compare_with_store(state, entry)).await {
        Ok(result) => result,
        Err(_) => Err(ServeError::Timeout(
            Step::PlatformRead,
            state.platform.base().into(),
        )),
    }
}

/// Returns what this VM knows without the store; `None` if other VMs may have listed more results.
fn known_status(state: &FleetState, entry: &JobEntry) -> Option<ListStatus> {
    if entry.is_released() {
        return Some(ListStatus::Released);
    }
    let is_current = lock(&entry.progress).is_complete() || {
        let evidence = *lock(&entry.evidence);
        evidence.holds(&lock(&state.members), Instant::now())
    };
    is_current.then_some(ListStatus::Current)
}

async fn compare_with_store(
    state: &FleetState,
    entry: &JobEntry,
) -> Result<ListStatus, ServeError> {
    let _storing = entry.storing.lock().await;
    loop {
        // A check or a write that this one waited for may have shown it.
        if let Some(status) = known_status(state, entry) {
            return Ok(status);
        }
        counter!("job_list_checks_total").increment(1);
        let started = Instant::now();
        let number = lock(&entry.progress).chunks();
        let name = chunk_object_name(&entry.id, number);
        let object = match state.platform.get(RESULT_KIND, &name).await {
            Ok(object) => object,
            Err(ServeError::Missing(..)) => {
                lock(&entry.evidence).record(started);
                return Ok(ListStatus::Current);
            }
            Err(error) => return Err(error),
        };
        let chunk: ResultChunk = parse_object(&name, object.spec)?;
        // Listed if it is this VM's own, of a write whose response was lost.
        list_chunk(state, entry, number, &chunk);
    }
}
