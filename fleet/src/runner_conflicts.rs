//! Two VMs that run the same job: the one that has stored fewer of its results gives the job up.
//!
//! Each learns of the other by its heartbeats. If they don't hear each other, VMs that hear both notify the outdated one.

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
        JobAck,
        JobClaim, //
    },
    job_directory::{
        OutdatedRunner,
        CLAIM_HOLD_TIME, //
    },
    rank::hash_name,
    sync::lock, //
};
use log::info;

use crate::{
    peers,
    state::FleetState,
    takeover::release, //
};

/// Timeout of a notice to an outdated runner.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of VMs that notify an outdated runner. Some of them may not reach it, or be the two runners themselves.
const NOTIFIERS: usize = 4;

/// Resolves a conflict with another VM that reports a job of this VM with `theirs` stored chunks: the VM with more stored chunks continues,
/// with equal numbers the one with the greater hash. A job that this VM has stopped is given up as well, since the other VM
/// may list more results.
pub(crate) fn resolve_duplicate(state: &FleetState, job: &str, vm: u64, theirs: u32) {
    let Some(entry) = state.jobs.find(job) else {
        return;
    };
    let is_preferred = vm > state.vm_hash;
    let (yields, cancelled, chunks) = {
        let progress = lock(&entry.progress);
        (
            progress.yields_to(theirs, is_preferred),
            progress.is_cancelled(),
            progress.chunks(),
        )
    };
    if yields && !entry.is_released() {
        info!(job, chunks, theirs, cancelled; "job released to a competing runner");
        release(state, &entry);
    }
}

/// Tells a VM that another one has stored more of a job's results, unless enough VMs of higher rank do so.
pub(crate) fn notify_outdated(state: &Arc<FleetState>, outdated: OutdatedRunner) {
    let OutdatedRunner { runner, current } = outdated;
    let job = current.id;
    let is_due = {
        let members = lock(&state.members);
        let now = Instant::now();
        let member = members.member(runner.vm);
        member.is_some_and(|member| {
            member.is_reachable(now) && member.info.incarnation == runner.incarnation
        }) && members.own_rank(hash_name(&job), now) < NOTIFIERS
    };
    let Some(successor) = current.runner.filter(|_| is_due) else {
        return;
    };
    let claim = JobClaim {
        id: job.to_string(),
        vm: successor.vm,
        chunks: current.chunks,
    };
    let state = state.clone();
    tokio::spawn(async move {
        // The next report of the outdated runner repeats a lost notice.
        let sent = peers::request(&state, runner.vm, Body::JobClaim(claim), NOTICE_TIMEOUT);
        if let Err(error) = sent.await {
            info!(job = job.as_str(), error = error.to_string().as_str(); "notifying an outdated runner failed");
        }
    });
}

/// Gives a job up to a VM that has stored more of its results, as a third VM has stated, and leaves it to that VM for a while.
pub(crate) fn handle_claim(state: &FleetState, claim: &JobClaim) -> JobAck {
    resolve_duplicate(state, &claim.id, claim.vm, claim.chunks);
    let until = Instant::now() + CLAIM_HOLD_TIME;
    state
        .jobs
        .update_directory(|directory| directory.postpone_takeover(&claim.id, until));
    JobAck { done: true }
}
