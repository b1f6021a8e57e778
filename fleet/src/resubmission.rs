//! Repeated submissions of batch jobs that are in the store already.

use std::sync::Arc;

use boragerill::{
    catalog::{
        Catalog,
        CatalogWorkspace, //
    },
    error::ServeError,
    job::JobManifest,
    keys::hash_key,
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
    state::FleetState, //
};

/// Returns the workspace of a request that may be a repeated submission of a job whose route was removed: the
/// configuration in force has no route for it, but has its key, and no prompt is stated, as requests to servers do.
pub(crate) fn find_submitter<'a>(
    state: &FleetState,
    catalog: &'a Catalog,
    caller: &CallerRequest,
) -> Option<&'a CatalogWorkspace> {
    let is_submission = caller.method == Method::POST
        && !caller.headers.contains_key(&state.format.names.token_usage);
    if !is_submission || catalog.find_route(&caller.host, caller.path()).is_some() {
        return None;
    }
    catalog.find_key(&hash_key(caller.key.as_deref()?))
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
    if known.workspace != workspace.name {
        return Err(refused);
    }
    counter!("jobs_resent_total").increment(1);
    info!(job = id, workspace = workspace.name.as_str(), catalog = catalog.version(); "job without a route submitted again");
    confirm(state, id, &known, submission_digest(body))
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
    if known.workspace != manifest.workspace {
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
