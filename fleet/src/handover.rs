//! Handover of jobs from a VM that shuts down or retires to other VMs.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    generated::messages::{
        envelope::Body,
        ItemOutput,
        JobHandover, //
    },
    job::{
        JobCheckpoint,
        PartialOutput, //
    },
    rank::hash_name,
    sync::lock,
    timer::millis, //
};
use log::{
    info,
    warn, //
};
use tokio::time::{
    sleep,
    timeout_at, //
};

use crate::{
    jobs::JobEntry,
    peers,
    state::FleetState,
    takeover::{
        load_job,
        release,
        start_job, //
    },
};

/// Timeout of the handover of one job.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval at which a VM that shuts down looks for jobs that it still has.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(250);

/// Hands all open jobs over to other VMs, one after the other.
pub(crate) async fn hand_over_all(state: &Arc<FleetState>) {
    for entry in state.jobs.all() {
        if lock(&entry.progress).is_closed() {
            continue;
        }
        hand_over(state, &entry).await;
    }
}

/// Hands over the jobs that this VM accepts or takes over while it shuts down. Never returns.
pub(crate) async fn hand_over_later(state: &Arc<FleetState>) {
    loop {
        sleep(HANDOVER_INTERVAL).await;
        hand_over_all(state).await;
    }
}

async fn hand_over(state: &Arc<FleetState>, entry: &Arc<JobEntry>) {
    let now = Instant::now();
    let Some(rule) = state.job_residency(&entry.manifest) else {
        return;
    };
    let target = {
        let members = lock(&state.members);
        let candidates = members.reachable(now).filter(|member| {
            !member.info.leaving && state.regions.admits_domain(&rule, &member.info.domain)
        });
        let duty = hash_name(&entry.id);
        let best = candidates.max_by_key(|member| boragerill::rank::score(duty, member.hash));
        best.map(|member| member.hash)
    };
    let Some(target) = target else {
        return;
    };
    let until = now + HANDOVER_TIMEOUT;
    // The other VM has to find every result that this one lists.
    let Ok(_storing) = timeout_at(until.into(), entry.storing.lock()).await else {
        warn!(job = entry.id.as_str(); "job handover timed out");
        return;
    };
    let body = Body::JobHandover(JobHandover {
        id: entry.id.to_string(),
        age_ms: u32::try_from(millis(entry.submitted.elapsed())).unwrap_or(u32::MAX),
        partials: partials(entry),
        abandoned: encode_positions(&lock(&entry.progress).abandoned()),
    });
    let limit = until.saturating_duration_since(Instant::now());
    match peers::request(state, target, body, limit).await {
        Ok(Body::JobDone(done)) if done.done => {
            info!(job = entry.id.as_str(); "job handed over");
            release(state, entry);
        }
        Ok(_) => warn!(job = entry.id.as_str(); "job handover rejected"),
        Err(error) => {
            warn!(job = entry.id.as_str(), error = error.to_string().as_str(); "job handover failed");
        }
    }
}

fn partials(entry: &JobEntry) -> Vec<ItemOutput> {
    let checkpoint = lock(&entry.progress).checkpoint();
    let outputs = checkpoint.outputs.into_iter().map(|output| ItemOutput {
        item: u32::try_from(output.item).unwrap_or(u32::MAX),
        last_event: output.last,
        text: output.text.to_string(),
        whole: output.whole,
        version: output.version,
    });
    outputs.collect()
}

/// Converts positions of items for a message.
pub(crate) fn encode_positions(positions: &[usize]) -> Vec<u32> {
    let encoded = positions.iter().map(|&position| u32::try_from(position));
    encoded.flatten().collect()
}

/// Converts positions of items in a message.
pub(crate) fn item_positions(positions: &[u32]) -> Vec<usize> {
    let decoded = positions.iter().map(|&position| usize::try_from(position));
    decoded.flatten().collect()
}

fn checkpoint_of(partials: Vec<ItemOutput>) -> JobCheckpoint {
    let outputs = partials.into_iter().map(|output| PartialOutput {
        item: usize::try_from(output.item).unwrap_or(usize::MAX),
        last: output.last_event,
        text: output.text.into(),
        whole: output.whole,
        version: output.version,
    });
    JobCheckpoint {
        outputs: outputs.collect(),
    }
}

/// Accepts a job from another VM; returns whether the other VM may release the job.
pub(crate) async fn accept_handover(state: &Arc<FleetState>, handover: JobHandover) -> bool {
    if state.is_shutting_down() {
        return false;
    }
    if state.jobs.find(&handover.id).is_some() {
        return true;
    }
    let age = Duration::from_millis(handover.age_ms.into());
    let submitted = Instant::now().checked_sub(age).unwrap_or_else(Instant::now);
    let entry = match load_job(state, &handover.id, submitted).await {
        Ok(Some(entry)) => entry,
        // A cancelled job needs no runner.
        Ok(None) => return true,
        Err(error) => {
            warn!(job = handover.id.as_str(), error = error.to_string().as_str(); "accepting a job handover failed");
            return false;
        }
    };
    let checkpoint = checkpoint_of(handover.partials);
    {
        let mut progress = lock(&entry.progress);
        progress.adopt_checkpoint(checkpoint);
        progress.adopt_abandoned(&item_positions(&handover.abandoned));
    }
    if state.jobs.insert(entry.clone()).is_none() {
        info!(job = entry.id.as_str(); "job handover accepted");
        start_job(state, entry);
    }
    true
}
