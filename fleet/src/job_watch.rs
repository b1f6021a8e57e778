//! Watch of the manifests in the store: finds the jobs that no VM reports.
//!
//! A VM reports the jobs that it runs in its heartbeats, but it may be lost before the first one. The manifests are
//! compared with what is known of all VMs' jobs whenever one is created, and all of them at intervals.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    api::PlatformObject,
    backend::Revision,
    error::ServeError,
    job::JobManifest,
    job_directory::{
        JobRecord,
        UNREPORTED_TIMEOUT, //
    },
};
use log::{
    info,
    warn, //
};
use tokio::time::sleep;

use crate::{
    job_reads::parse_object,
    jobs::{
        account,
        JOB_KIND, //
    },
    state::{
        wall_ms,
        FleetState, //
    },
    store_watch::is_first_watcher,
};

/// Time between two watch calls while jobs are submitted; each call returns all manifests created since the last one.
const WATCH_PAUSE: Duration = Duration::from_millis(1500);

/// Longest wait of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which all manifests are listed.
const LISTING_INTERVAL: Duration = Duration::from_secs(60);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval of the checks whether this VM has to watch.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Age beyond which a job that is found in the store isn't taken over.
pub(crate) const ORPHAN_AGE: Duration = Duration::from_secs(600);

/// Watches the manifests while this VM ranks first among the VMs that watch the store, until the process ends.
pub(crate) async fn watch_jobs(state: Arc<FleetState>) {
    let mut through = None; // Revision up to which the manifests are known, and when they were last listed.
    loop {
        if !is_first_watcher(&state) {
            sleep(DUTY_CHECK_INTERVAL).await;
            continue;
        }
        let listed = through
            .filter(|&(_, listed): &(Revision, Instant)| listed.elapsed() < LISTING_INTERVAL);
        let result = match listed {
            None => list(&state)
                .await
                .map(|revision| (revision, Instant::now())),
            Some((after, listed)) => watch(&state, after)
                .await
                .map(|revision| (revision, listed)),
        };
        match result {
            Ok(reached) => {
                through = Some(reached);
                sleep(WATCH_PAUSE).await;
            }
            Err(ServeError::Compacted(..)) => through = None,
            Err(error) => {
                info!(error = error.to_string().as_str(); "watching jobs failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn list(state: &FleetState) -> Result<Revision, ServeError> {
    let (objects, through) = state.platform.list(JOB_KIND, |object| object).await?;
    record_manifests(state, objects);
    Ok(through)
}

async fn watch(state: &FleetState, after: Revision) -> Result<Revision, ServeError> {
    let batch = state
        .platform
        .watch(&[JOB_KIND], after, WATCH_TIMEOUT)
        .await?;
    record_manifests(state, batch.events);
    Ok(batch.version.max(after))
}

/// Lists the jobs in the store once after the start of this VM, with retries. All VMs may have restarted, so jobs that
/// no VM has reported by now are due at once.
pub(crate) async fn list_jobs(state: Arc<FleetState>) {
    let objects = loop {
        match state.platform.list(JOB_KIND, |object| object).await {
            Ok((objects, _)) => break objects,
            Err(error) => {
                warn!(error = error.to_string().as_str(); "listing jobs failed");
                sleep(RETRY_DELAY).await;
            }
        }
    };
    let now = Instant::now();
    let refreshed = now.checked_sub(UNREPORTED_TIMEOUT).unwrap_or(now);
    let jobs = unknown_jobs(&state, objects, refreshed);
    state.jobs.update_directory(|directory| {
        for job in jobs {
            directory.record_unreported(job);
        }
    });
    state.jobs.found.notify_one();
}

/// Records a job that this VM found in the store, unless it is known.
pub(crate) fn record_manifest(state: &FleetState, id: &str, manifest: &JobManifest) {
    if state.jobs.is_known(id) || state.is_cancelled(id) {
        return;
    }
    if let Some(record) = unreported_record(id, manifest, Instant::now()) {
        state
            .jobs
            .update_directory(|directory| directory.record_found(record));
    }
}

/// Records the jobs that no VM has reported.
fn record_manifests(state: &FleetState, objects: Vec<PlatformObject>) {
    let jobs = unknown_jobs(state, objects, Instant::now());
    state.jobs.update_directory(|directory| {
        for job in jobs {
            directory.record_found(job);
        }
    });
}

/// Returns records of the jobs that are neither known nor cancelled; malformed manifests are logged.
fn unknown_jobs(
    state: &FleetState,
    objects: Vec<PlatformObject>,
    refreshed: Instant,
) -> Vec<JobRecord> {
    let unknown = objects.into_iter().filter(|object| {
        !object.deleted && !state.jobs.is_known(&object.name) && !state.is_cancelled(&object.name)
    });
    let records = unknown.filter_map(|object| {
        match parse_object::<JobManifest>(&object.name, object.spec) {
            Ok(manifest) => unreported_record(&object.name, &manifest, refreshed),
            Err(error) => {
                warn!(job = object.name.as_str(), error = error.to_string().as_str(); "malformed manifest");
                None
            }
        }
    });
    records.collect()
}

/// Returns the record of a job that no VM has reported since `refreshed`; `None` if the job is too old.
fn unreported_record(id: &str, manifest: &JobManifest, refreshed: Instant) -> Option<JobRecord> {
    // Clocks of VMs agree well enough to age a job whose runner isn't known.
    let age = Duration::from_millis(wall_ms().saturating_sub(manifest.submitted_ms));
    if age > ORPHAN_AGE {
        return None;
    }
    let now = Instant::now();
    Some(JobRecord {
        id: id.into(),
        runner: None,
        submitted: now.checked_sub(age).unwrap_or(now),
        waiting_tokens: manifest.tokens,
        account: account(&manifest.workspace, &manifest.host, &manifest.prefix),
        closed: false,
        chunks: 0,
        abandoned: Vec::new(),
        refreshed,
    })
}
