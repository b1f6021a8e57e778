//! Repeated submissions of batch jobs that are in the store already.

use std::sync::Arc;

use boragerill::{
    catalog::Catalog,
    error::ServeError,
    job::JobManifest,
    job_owner::{
        reaches_job,
        KeyTerms, //
    },
    refusal::{
        RefusalReason,
        RefusalResponse, //
    }, //
};
use bytes::Bytes;
use hyper::Method;
use log::info;
use metrics::counter;
use tokio::time::timeout_at;

use crate::{
    admission::CallerResult,
    caller::CallerRequest,
    job_reads::load_manifest,
    job_watch,
    jobs::{
        accepted,
        submission_digest,
        JOB_KIND,
        SUBMIT_LIMIT, //
    },
    response::CallerResponse,
    state::FleetState, //
};

/// Returns the name of the workspace, empty if there is none, of a request that may be a repeated submission of a job whose route
/// was removed: the configuration in force has no route for it, but has its key or needs none, and no prompt is stated, as
/// requests to servers do.
pub(crate) fn find_submitter<'a>(
    state: &FleetState,
    catalog: &'a Catalog,
    caller: &CallerRequest,
) -> Option<&'a str> {
    let is_submission = caller.method == Method::POST
        && !caller.headers.contains_key(&state.format.names.token_usage);
    if !is_submission || catalog.find_route(&caller.host, caller.path()).is_some() {
        return None;
    }
    let terms = KeyTerms {
        has_workspaces: catalog.needs_keys(),
        is_open: catalog.has_open_batch(),
    };
    let workspace = terms.caller(catalog.caller_key(caller.key.as_deref()));
    Some(
        workspace
            .ok()?
            .map_or("", |workspace| workspace.name.as_str()),
    )
}

/// Responds to a request for which the configuration in force has no route: acknowledges it if it repeats the submission
/// of a job that was accepted while there was a route, else returns `refused`. Jobs outlive their routes.
///
/// # Errors
///
/// Returns `refused` if there is no such job, another refusal if it has different content or the store can't be read.
pub(crate) async fn confirm_without_route(
    state: &Arc<FleetState>,
    catalog: &Catalog,
    caller: &CallerRequest,
    body: &Bytes,
    refused: RefusalResponse,
) -> CallerResult {
    let submitter = find_submitter(state, catalog, caller);
    let Some(workspace) = submitter.filter(|_| (state.format.is_submission)(body)) else {
        return Err(refused);
    };
    let id = caller.id.as_str();
    let known = match state.jobs.find(id) {
        Some(entry) => entry.manifest.clone(),
        None => {
            let until = (caller.arrived + SUBMIT_LIMIT).min(caller.deadline);
            let loading = timeout_at(until.into(), load_manifest(state, id)).await;
            match loading.map_err(|_| unsettled("reading the job timed out"))? {
                Ok(manifest) => manifest,
                Err(ServeError::Missing(..)) => return Err(refused),
                Err(error) => return Err(unsettled(&error.to_string())),
            }
        }
    };
    // Jobs of other workspaces count as unknown.
    if !reaches_job(&known.workspace, workspace) {
        return Err(refused);
    }
    counter!("jobs_resent_total").increment(1);
    info!(job = id, workspace, catalog = catalog.version(); "job without a route submitted again");
    confirm(state, id, &known, submission_digest(body))
}

/// Acknowledges a submission under the id of a job that this VM or another one runs; `account` is the hash of the
/// submission's workspace and route. Returns `None` if there is no such job.
///
/// # Errors
///
/// Returns a refusal if the job belongs to another workspace, or the store can't be asked whose it is.
pub(crate) async fn confirm_known(
    state: &FleetState,
    caller: &CallerRequest,
    workspace: &str,
    account: u64,
    body: &Bytes,
) -> Result<Option<CallerResponse>, RefusalResponse> {
    let id = caller.id.as_str();
    match state.jobs.find(id) {
        Some(entry) if !reaches_job(&entry.manifest.workspace, workspace) => return Err(conflict()),
        Some(_) => {}
        None => match state.jobs.known_account(id) {
            None => return Ok(None),
            Some(known) if known == account => {}
            // Another workspace's, or this one's through another route.
            Some(_) => {
                let submitted = JobManifest {
                    workspace: workspace.into(),
                    digest: submission_digest(body),
                    ..JobManifest::default()
                };
                let until = (caller.arrived + SUBMIT_LIMIT).min(caller.deadline);
                let confirming = confirm_stored(state, id, &submitted);
                let confirmed = timeout_at(until.into(), confirming).await;
                return confirmed
                    .map_err(|_| unsettled("reading the job timed out"))?
                    .map(Some);
            }
        },
    }
    counter!("jobs_resent_total").increment(1);
    Ok(Some(accepted(id)))
}

/// Acknowledges the submission of a job whose manifest exists already if both have the same content.
pub(crate) async fn confirm_stored(
    state: &FleetState,
    id: &str,
    manifest: &JobManifest,
) -> CallerResult {
    let known = state.platform.get(JOB_KIND, id).await;
    let known = known.map_err(|error| unsettled(&error.to_string()))?;
    let known: JobManifest = serde_json::from_value(known.spec).unwrap_or_default();
    if !reaches_job(&known.workspace, &manifest.workspace) {
        return Err(conflict());
    }
    confirm(state, id, &known, manifest.digest)
}

/// Acknowledges the submission of a known job of the same workspace if it has the same content.
fn confirm(state: &FleetState, id: &str, known: &JobManifest, digest: u64) -> CallerResult {
    if known.digest != digest {
        return Err(conflict());
    }
    job_watch::record_manifest(state, id, known);
    Ok(accepted(id))
}

fn conflict() -> RefusalResponse {
    let detail = "a job with this id and different content exists";
    RefusalResponse::not_run(RefusalReason::JobConflict, detail)
}

/// Refuses a submission without a statement on whether its job runs, since the job may exist.
fn unsettled(cause: &str) -> RefusalResponse {
    RefusalResponse::unknown(RefusalReason::JobUnsettled, cause)
}
