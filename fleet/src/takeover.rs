//! Takeover of jobs whose runner is gone.

use std::{
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    error::{
        ServeError,
        Step, //
    },
    job::{
        JobCheckpoint,
        JobProgress,
        ResultChunk, //
    },
    job_directory::{
        JobRecord,
        TakeoverView, //
    },
    sync::lock,
    timer::{
        millis,
        TimerService, //
    },
};
use futures_util::{
    stream,
    StreamExt, //
};
use log::{
    info,
    warn, //
};
use metrics::counter;
use tokio::time::sleep;

use crate::{
    checkpoint::store_checkpoints,
    commit::{
        commit_results,
        store_chunk, //
    },
    job_reads::{
        load_items,
        load_manifest,
        load_results,
        parse_object, //
    },
    job_watch::{
        self,
        ORPHAN_AGE, //
    },
    jobs::{
        stop_job,
        JobEntry,
        CANCELLATION_KIND,
        CHECKPOINT_KIND, //
    },
    state::{
        wall_ms,
        FleetState, //
    },
};

/// Interval of the checks for jobs whose runner is gone.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of jobs that are taken over concurrently, which limits the load on the store after the loss of a VM.
const MAX_TAKEOVERS: usize = 4;

/// Longest wait after the start of a VM for reports of other VMs' jobs.
const START_WAIT: Duration = Duration::from_millis(600);

/// Time within which every reachable VM sends a full heartbeat to a VM that joins.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(160);

/// Takes over jobs whose runner is gone, until the VM shuts down.
pub(crate) async fn watch_runners(state: Arc<FleetState>) {
    wait_for_fleet(&state).await;
    // Before the first start of the fleet no job was accepted.
    if !state.settings.first_start {
        tokio::spawn(job_watch::list_jobs(state.clone()));
    }
    let mut timer = TimerService::default();
    let mut ticks = timer.subscribe(CHECK_INTERVAL);
    let mut last_minority = None;
    loop {
        tokio::select! {
            tick = ticks.next() => {
                if tick.is_none() {
                    return;
                }
            }
            () = state.jobs.found.notified() => {}
        }
        if state.is_shutting_down() {
            return;
        }
        let now = Instant::now();
        if !lock(&state.members).reaches_half(now) {
            last_minority = Some(now);
        }
        let orphans = stream::iter(orphans(&state, last_minority));
        let state = &state;
        let taken = orphans.for_each_concurrent(MAX_TAKEOVERS, |job| async move {
            // The runner may have reported the job while others were taken over.
            if is_orphaned(state, &job, last_minority) {
                take_over(state, &job).await;
            }
        });
        taken.await;
    }
}

/// Returns the jobs of other VMs that this VM has to take over now. `last_minority` is when this VM last reached less
/// than half of the fleet.
fn orphans(state: &FleetState, last_minority: Option<Instant>) -> Vec<JobRecord> {
    let members = lock(&state.members);
    let view = TakeoverView {
        members: &members,
        last_minority,
    };
    state
        .jobs
        .read_directory(|directory| directory.orphans(view, Instant::now()))
}

fn is_orphaned(state: &FleetState, job: &JobRecord, last_minority: Option<Instant>) -> bool {
    if state.jobs.find(&job.id).is_some() || state.is_cancelled(&job.id) {
        return false;
    }
    let members = lock(&state.members);
    let view = TakeoverView {
        members: &members,
        last_minority,
    };
    state
        .jobs
        .read_directory(|directory| directory.is_orphaned(&job.id, view, Instant::now()))
}

/// Waits until every VM of the fleet had time to report its jobs.
async fn wait_for_fleet(state: &FleetState) {
    let until = Instant::now() + START_WAIT;
    sleep(HEARTBEAT_WAIT).await;
    while Instant::now() < until {
        let now = Instant::now();
        let all_reachable = {
            let members = lock(&state.members);
            members.reachable_size(now) > 1 && members.reachable_size(now) >= members.fleet_size()
        };
        if all_reachable {
            break;
        }
        sleep(HEARTBEAT_WAIT / 4).await;
    }
    sleep(HEARTBEAT_WAIT).await;
}

/// Takes a job over from its state in the store and runs it.
async fn take_over(state: &Arc<FleetState>, job: &JobRecord) {
    let id = job.id.as_str();
    match claim_job(state, id, job.submitted).await {
        Ok(Some(entry)) => {
            lock(&entry.progress).adopt_abandoned(&job.abandoned);
            if state.jobs.insert(entry.clone()).is_some() {
                return;
            }
            if lock(&entry.progress).is_closed() {
                counter!("jobs_found_finished_total").increment(1);
                info!(job = id; "job found finished");
                return;
            }
            counter!("jobs_taken_over_total").increment(1);
            let (listed, total) = {
                let progress = lock(&entry.progress);
                (progress.listed().len(), progress.total())
            };
            info!(
                job = id,
                listed,
                total,
                age_ms = millis(entry.submitted.elapsed());
                "job taken over"
            );
            start_job(state, entry);
        }
        Ok(None) => postpone(state, id),
        Err(error) => {
            postpone(state, id);
            warn!(job = id, error = error.to_string().as_str(); "job takeover failed");
        }
    }
}

fn postpone(state: &FleetState, id: &str) {
    let now = Instant::now();
    state
        .jobs
        .update_directory(|directory| directory.postpone_takeover(id, now));
}

/// Loads a job and makes this process its runner by a fencing chunk, unless the job was cancelled or another VM
/// has just taken it over. A finished job is loaded without a fence: this VM reports it, and the others don't
/// have to read it from the store.
async fn claim_job(
    state: &Arc<FleetState>,
    id: &str,
    submitted: Instant,
) -> Result<Option<Arc<JobEntry>>, ServeError> {
    let Some(entry) = load_job(state, id, submitted).await? else {
        return Ok(None);
    };
    if lock(&entry.progress).is_closed() {
        return Ok(Some(entry));
    }
    let fence = ResultChunk {
        runner: state.runner.clone(),
        results: Vec::new(),
    };
    let number = lock(&entry.progress).chunks();
    let stored = store_chunk(state, id, number, &fence).await?;
    if stored != fence {
        info!(job = id, runner = stored.runner.as_str(); "job runs on another VM");
        return Ok(None);
    }
    lock(&entry.progress).adopt_chunk(number, &fence);
    Ok(Some(entry))
}

/// Starts the tasks of a job that this VM runs, unless the job was cancelled since it was loaded.
pub(crate) fn start_job(state: &Arc<FleetState>, entry: Arc<JobEntry>) {
    if state.is_cancelled(&entry.id) {
        info!(job = entry.id.as_str(); "job cancelled during takeover");
        stop_job(state, &entry.id);
        return;
    }
    tokio::spawn(store_checkpoints(state.clone(), entry.clone()));
    tokio::spawn(commit_results(state.clone(), entry));
    state.jobs.work.notify_one();
    state.backends.changed.notify_one();
}

/// Loads a job from the store; `None` when it was cancelled.
pub(crate) async fn load_job(
    state: &FleetState,
    id: &str,
    submitted: Instant,
) -> Result<Option<Arc<JobEntry>>, ServeError> {
    let manifest = load_manifest(state, id).await?;
    if !state.may_run_job(&manifest) {
        counter!("restricted_jobs_declined_total").increment(1);
        let cause = "this VM is not in an allowed region".into();
        return Err(ServeError::Rejected(Step::PlatformRead, id.into(), cause));
    }
    let started = Instant::now();
    let chunks = load_results(state, id).await?;
    let listed: usize = chunks.iter().map(|chunk| chunk.results.len()).sum();
    let is_finished = listed >= manifest.items;
    if !is_finished && is_cancelled(state, id).await? {
        let now = Instant::now();
        state
            .jobs
            .update_directory(|directory| directory.record_closed(id, now));
        return Ok(None);
    }
    let items = load_items(state, &manifest).await?;
    let checkpoint = match is_finished {
        true => Default::default(),
        false => load_checkpoint(state, id).await?,
    };
    // Clocks of VMs agree well enough to age a job whose first runner is gone.
    let age =
        Duration::from_millis(wall_ms().saturating_sub(manifest.submitted_ms)).min(ORPHAN_AGE);
    let by_clock = Instant::now().checked_sub(age).unwrap_or(submitted);
    let entry = JobEntry::new(id, manifest, items, submitted.min(by_clock));
    restore(&mut lock(&entry.progress), &chunks);
    lock(&entry.progress).adopt_checkpoint(checkpoint);
    lock(&entry.evidence).record(started);
    Ok(Some(Arc::new(entry)))
}

/// Loads the checkpoint that an earlier runner stored, if any.
async fn load_checkpoint(state: &FleetState, id: &str) -> Result<JobCheckpoint, ServeError> {
    match state.platform.get(CHECKPOINT_KIND, id).await {
        // Items without a checkpoint run from the start, so a malformed one does no harm.
        Ok(object) => Ok(parse_object(id, object.spec).unwrap_or_else(|error| {
            warn!(job = id, error = error.to_string().as_str(); "malformed checkpoint");
            JobCheckpoint::default()
        })),
        Err(ServeError::Missing(..)) => Ok(JobCheckpoint::default()),
        Err(error) => Err(error),
    }
}

/// Returns whether a job was cancelled, by the registry or else the store.
async fn is_cancelled(state: &FleetState, id: &str) -> Result<bool, ServeError> {
    if state.is_cancelled(id) {
        return Ok(true);
    }
    match state.platform.get(CANCELLATION_KIND, id).await {
        Ok(_) => Ok(true),
        Err(ServeError::Missing(..)) => Ok(false),
        Err(error) => Err(error),
    }
}

fn restore(progress: &mut JobProgress, chunks: &[ResultChunk]) {
    for (number, chunk) in (0..).zip(chunks) {
        progress.adopt_chunk(number, chunk);
    }
}

/// Stops and removes a job that another VM runs now.
pub(crate) fn release(state: &FleetState, entry: &JobEntry) {
    entry.released.store(true, Ordering::Relaxed);
    lock(&entry.progress).cancel();
    entry.changed.notify_waiters();
    entry.ended.notify_one();
    state.jobs.remove(&entry.id);
    // The runner that this VM last knew of may have been silent for long.
    postpone(state, &entry.id);
    state.jobs.work.notify_one();
}
