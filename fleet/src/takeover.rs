//! Who runs a job whose runner is gone.

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
    error::ServeError,
    job::{
        JobCheckpoint,
        JobManifest,
        JobProgress,
        ResultChunk, //
    },
    member::{
        effective_silence,
        MemberTable, //
    },
    rank::hash_name,
    sync::lock,
    timer::{
        millis,
        TimerService, //
    },
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
    jobs::{
        stop_job,
        JobEntry,
        JobReport,
        CHECKPOINT_KIND,
        END_KIND,
        JOB_KIND, //
    },
    state::{
        wall_ms,
        FleetState, //
    },
};

/// Silence of a job's runner after which another VM takes the job over.
const RUNNER_SILENCE: Duration = Duration::from_millis(1000);

/// Silence of a whole failure domain after which its jobs are taken over. It is cut off more often than
/// lost, and its VMs go on running their jobs meanwhile.
const DOMAIN_SILENCE: Duration = Duration::from_millis(6500);

/// Time within which a VM that is heard names every job that it runs.
const NAME_PERIOD: Duration = Duration::from_millis(2500);

/// Period of looking for jobs whose runner is gone.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Longest time for which a VM waits after its start for others to tell which jobs they run.
const START_WAIT: Duration = Duration::from_millis(600);

/// Time in which every VM that is heard sends a whole heartbeat.
const BEAT_WAIT: Duration = Duration::from_millis(160);

/// Time that each further VM waits in which those that rank before it can take a job over.
const RANK_WAIT: Duration = Duration::from_millis(400);

/// Age beyond which a job found in the store is left alone.
const ORPHAN_AGE: Duration = Duration::from_secs(600);

/// Takes over jobs whose runner is gone, for as long as the process runs.
pub(crate) async fn watch_runners(state: Arc<FleetState>) {
    let mut timer = TimerService::default();
    let mut ticks = timer.subscribe(LOOK_PERIOD);
    let mut apart = None;
    while ticks.next().await.is_some() {
        if state.is_shutting_down() {
            return;
        }
        let now = Instant::now();
        if !lock(&state.members).reaches_half(now) {
            apart = Some(now);
        }
        for report in state.jobs.reports() {
            if !is_orphaned(&state, &report, apart, now) {
                continue;
            }
            let state = state.clone();
            // One after the other, so that a lost VM's jobs don't all hit the store at once.
            take_over(&state, &report.id, report.submitted).await;
        }
    }
}

/// Returns whether this VM is the one that takes a job over now. `apart` is when this VM last heard less
/// than half of the fleet.
fn is_orphaned(
    state: &FleetState,
    report: &JobReport,
    apart: Option<Instant>,
    now: Instant,
) -> bool {
    if report.closed
        || state.jobs.find(&report.id).is_some()
        || state.cancellations.contains(&report.id)
    {
        return false;
    }
    let members = lock(&state.members);
    let since_apart = apart.map_or(Duration::MAX, |apart| now.saturating_duration_since(apart));
    let silent = effective_silence(runner_silence(&members, report, now), since_apart);
    if silent < RUNNER_SILENCE {
        return false;
    }
    let limit = if members.is_domain_unreachable(report.vm, now) {
        DOMAIN_SILENCE
    } else {
        RUNNER_SILENCE
    };
    let rank = members.own_rank(hash_name(&report.id), now);
    silent >= limit + RANK_WAIT * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Returns for how long nobody has said that a job is run: its runner is silent, has started anew, or
/// names it no more.
fn runner_silence(members: &MemberTable, report: &JobReport, now: Instant) -> Duration {
    let named = now.saturating_duration_since(report.noted);
    let Some(runner) = members.find(report.vm) else {
        return named;
    };
    if runner.info.incarnation != report.incarnation {
        return named;
    }
    if runner.is_reachable(now) {
        // It names its jobs again once it is back.
        let since = report.noted.max(runner.since);
        return now
            .saturating_duration_since(since)
            .saturating_sub(NAME_PERIOD);
    }
    let heard = runner.last_heartbeat.unwrap_or(report.noted);
    now.saturating_duration_since(heard).min(named)
}

/// Takes a job over when nobody says that it runs it.
pub(crate) fn watch_orphan(state: &Arc<FleetState>, id: &str) {
    take_over_by_rank(state, id, RUNNER_SILENCE);
}

/// Takes a job over after a wait and this VM's turn, unless somebody says by then that it runs it.
fn take_over_by_rank(state: &Arc<FleetState>, id: &str, wait: Duration) {
    let (state, id) = (state.clone(), compact_str::CompactString::from(id));
    tokio::spawn(async move {
        let rank = lock(&state.members).own_rank(hash_name(&id), Instant::now());
        sleep(wait + RANK_WAIT * u32::try_from(rank).unwrap_or(0)).await;
        if state.jobs.report(&id).is_none() && state.jobs.find(&id).is_none() {
            take_over(&state, &id, Instant::now()).await;
        }
    });
}

/// Takes over the jobs in the store that nobody runs; called once after the start.
pub(crate) async fn find_orphans(state: Arc<FleetState>) {
    wait_for_fleet(&state).await;
    let heads = loop {
        let convert = |object: boragerill::api::PlatformObject| (object.name, object.spec);
        match state.platform.list(JOB_KIND, convert).await {
            Ok((heads, _)) => break heads,
            Err(error) => {
                warn!(error = error.to_string().as_str(); "jobs not listed");
                sleep(START_WAIT).await;
            }
        }
    };
    for (id, spec) in heads {
        let manifest: JobManifest = serde_json::from_value(spec).unwrap_or_default();
        let age = Duration::from_millis(wall_ms().saturating_sub(manifest.submitted_ms));
        let known = state.jobs.report(&id).is_some() || state.jobs.find(&id).is_some();
        if age > ORPHAN_AGE || known || state.cancellations.contains(&id) {
            continue;
        }
        take_over_by_rank(&state, &id, Duration::ZERO);
    }
}

/// Waits until every VM of the fleet could tell which jobs it runs.
async fn wait_for_fleet(state: &FleetState) {
    let until = Instant::now() + START_WAIT;
    sleep(BEAT_WAIT).await;
    while Instant::now() < until {
        let now = Instant::now();
        let all_heard = {
            let members = lock(&state.members);
            members.reachable_size(now) > 1 && members.reachable_size(now) >= members.fleet_size()
        };
        if all_heard {
            break;
        }
        sleep(BEAT_WAIT / 4).await;
    }
    sleep(BEAT_WAIT).await;
}

/// Runs a job from what the store knows of it.
pub(crate) async fn take_over(state: &Arc<FleetState>, id: &str, submitted: Instant) {
    match claim_job(state, id, submitted).await {
        Ok(Some(entry)) => {
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
        Ok(None) => state.jobs.put_off(id, Instant::now()),
        Err(error) => {
            state.jobs.put_off(id, Instant::now());
            warn!(job = id, error = error.to_string().as_str(); "job not taken over");
        }
    }
}

/// Loads a job and makes this process its runner, unless its client ended it or another VM has just taken
/// it over. A finished job is kept as it is: the others hear of it and needn't read it from the store.
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
    let mark = ResultChunk {
        runner: state.runner.clone(),
        results: Vec::new(),
    };
    let number = lock(&entry.progress).chunks();
    let stored = store_chunk(state, id, number, &mark).await?;
    if stored != mark {
        info!(job = id, runner = stored.runner.as_str(); "job runs elsewhere");
        return Ok(None);
    }
    lock(&entry.progress).adopt_chunk(number, &mark);
    Ok(Some(entry))
}

/// Starts what a job needs while this VM runs it, unless its client has ended it since it was read.
pub(crate) fn start_job(state: &Arc<FleetState>, entry: Arc<JobEntry>) {
    if state.cancellations.contains(&entry.id) {
        info!(job = entry.id.as_str(); "job ended while it was taken over");
        stop_job(state, &entry.id);
        return;
    }
    tokio::spawn(store_checkpoints(state.clone(), entry.clone()));
    tokio::spawn(commit_results(state.clone(), entry));
    state.jobs.work.notify_one();
    state.backends.changed.notify_one();
}

/// Loads a job that its client hasn't ended.
pub(crate) async fn load_job(
    state: &FleetState,
    id: &str,
    submitted: Instant,
) -> Result<Option<Arc<JobEntry>>, ServeError> {
    let manifest = load_manifest(state, id).await?;
    let chunks = load_results(state, id).await?;
    let listed: usize = chunks.iter().map(|chunk| chunk.results.len()).sum();
    let is_finished = listed >= manifest.items;
    if !is_finished && is_cancelled(state, id).await? {
        return Ok(None);
    }
    let items = load_items(state, &manifest).await?;
    let checkpoint = match is_finished {
        true => Default::default(),
        false => load_checkpoint(state, id).await?,
    };
    // The time of day is close enough for a job whose first runner can't be asked.
    let age =
        Duration::from_millis(wall_ms().saturating_sub(manifest.submitted_ms)).min(ORPHAN_AGE);
    let by_clock = Instant::now().checked_sub(age).unwrap_or(submitted);
    let entry = JobEntry::new(id, manifest, items, submitted.min(by_clock));
    restore(&mut lock(&entry.progress), &chunks);
    lock(&entry.progress).adopt_checkpoint(checkpoint);
    Ok(Some(Arc::new(entry)))
}

/// Reads the output that an earlier runner stored.
async fn load_checkpoint(state: &FleetState, id: &str) -> Result<JobCheckpoint, ServeError> {
    match state.platform.get(CHECKPOINT_KIND, id).await {
        Ok(object) => parse_object(id, object.spec),
        Err(ServeError::Missing(..)) => Ok(JobCheckpoint::default()),
        Err(error) => Err(error),
    }
}

/// Returns whether a job's client ended it.
async fn is_cancelled(state: &FleetState, id: &str) -> Result<bool, ServeError> {
    if state.cancellations.contains(id) {
        return Ok(true);
    }
    match state.platform.get(END_KIND, id).await {
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

/// Compares a job that this VM runs with what another VM says: one of the two goes on.
pub(crate) fn compare(state: &Arc<FleetState>, report: &JobReport) {
    let Some(entry) = state.jobs.find(&report.id) else {
        return;
    };
    let (closed, chunks) = {
        let progress = lock(&entry.progress);
        (progress.is_closed(), progress.chunks())
    };
    if closed || entry.released.load(Ordering::Relaxed) {
        return;
    }
    let other_first = report.vm > state.vm_hash;
    if report.chunks > chunks || (report.chunks == chunks && other_first) {
        info!(job = report.id.as_str(), chunks, theirs = report.chunks; "job left to another runner");
        release(state, &entry);
    }
}

/// Stops running a job that another VM runs.
pub(crate) fn release(state: &FleetState, entry: &JobEntry) {
    entry.released.store(true, Ordering::Relaxed);
    lock(&entry.progress).cancel();
    entry.changed.notify_waiters();
    entry.ended.notify_one();
    state.jobs.remove(&entry.id);
    state.jobs.work.notify_one();
}
