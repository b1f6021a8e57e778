//! HTTP routes of batch jobs: submission, status, results and cancellation.

use std::time::Duration;

use boragerill::{
    batch::{
        chunk_name,
        RESULT_KIND, //
    },
    error::ServeError,
    kinds::BatchJobSpec,
    platform::{
        Expected,
        PlatformClient, //
    },
    refusal::{
        RefusalReason,
        RefusalResponse,
        RunState, //
    },
    submit::{
        read_progress,
        status_value,
        JobRequest,
        JobSubmission,
        LINE_LIMIT_BYTES, //
    }, //
};
use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use futures_util::StreamExt;
use log::warn;
use rocket::{
    data::ToByteUnit,
    delete,
    get,
    put,
    response::stream::stream,
    routes,
    Data,
    Route,
    State, //
};
use serde_json::{
    json,
    Value, //
};
use tokio_util::codec::{
    FramedRead,
    LinesCodec, //
};

use crate::{
    admission::{
        check_config_age,
        check_workspace_access,
        identify,
        CallerIdentity, //
    },
    caller::{
        random_number,
        CallerRequest, //
    },
    response::{
        CallerResponse,
        ResponseBody, //
    },
    server::EntryState,
};

/// Largest body of a submission, in GiB.
const MAX_SUBMISSION_GIB: u64 = 8;

/// Default due time of a job after its submission, in seconds.
const DEFAULT_DUE_SECONDS: u64 = 86_400;

/// `Retry-After` of a refusal while the platform is unavailable.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Attempts at a conditional update before a conflict with other writers is reported to the caller.
const MAX_UPDATE_ATTEMPTS: u32 = 8;

type HandlerResult = Result<CallerResponse, RefusalResponse>;

/// Returns the HTTP routes of batch jobs.
pub(crate) fn routes() -> Vec<Route> {
    routes![submit, status, results, cancel]
}

#[put("/v1/batches/<name>?<service>&<path>&<due_seconds>", data = "<data>")]
async fn submit(
    state: &State<EntryState>,
    caller: CallerRequest,
    name: &str,
    service: Option<&str>,
    path: Option<&str>,
    due_seconds: Option<u64>,
    data: Data<'_>,
) -> CallerResponse {
    let target = (service.unwrap_or_default(), path.unwrap_or_default());
    let due_seconds = due_seconds.unwrap_or(DEFAULT_DUE_SECONDS);
    to_response(
        &caller,
        accept(state, &caller, name, target, due_seconds, data).await,
    )
}

#[get("/v1/batches/<name>")]
async fn status(state: &State<EntryState>, caller: CallerRequest, name: &str) -> CallerResponse {
    to_response(&caller, read_status(state, &caller, name).await)
}

#[get("/v1/batches/<name>/results")]
async fn results(state: &State<EntryState>, caller: CallerRequest, name: &str) -> CallerResponse {
    to_response(&caller, read_results(state, &caller, name).await)
}

#[delete("/v1/batches/<name>")]
async fn cancel(state: &State<EntryState>, caller: CallerRequest, name: &str) -> CallerResponse {
    to_response(&caller, cancel_job(state, &caller, name).await)
}

fn to_response(caller: &CallerRequest, result: HandlerResult) -> CallerResponse {
    result.unwrap_or_else(|refusal| CallerResponse::refusal(&refusal, &caller.id))
}

async fn accept(
    state: &EntryState,
    caller: &CallerRequest,
    name: &str,
    (service, path): (&str, &str),
    due_seconds: u64,
    data: Data<'_>,
) -> HandlerResult {
    let identity = identify_caller(state, caller)?;
    let job = job_name(&identity, name);
    if let Err(refused) = check_target(state, &identity, service, path) {
        // A job outlives its route, and its submission may be repeated.
        let is_routeless = refused.reason == RefusalReason::RouteUnknown;
        if !is_routeless || !has_job(&state.platform, &job, (service, path)).await? {
            return Err(refused);
        }
    }
    let request = JobRequest {
        name: job,
        workspace: identity.workspace.name.clone(),
        service: service.into(),
        path: path.into(),
        due_seconds,
    };
    let submission = JobSubmission::new(state.platform.clone(), request, random_number());
    let mut submission = submission.map_err(submission_refusal)?;
    let codec = LinesCodec::new_with_max_length(LINE_LIMIT_BYTES);
    let mut lines = FramedRead::new(data.open(MAX_SUBMISSION_GIB.gibibytes()), codec);
    while let Some(line) = lines.next().await {
        let malformed =
            |cause: String| RefusalResponse::not_run(RefusalReason::RequestMalformed, cause);
        let line = line.map_err(|error| malformed(error.to_string()))?;
        submission
            .push_line(line.as_bytes())
            .await
            .map_err(submission_refusal)?;
    }
    let receipt = submission.finish().await.map_err(submission_refusal)?;
    let status = if receipt.found { 200 } else { 201 };
    Ok(CallerResponse::json(
        status,
        &json!({ "name": name, "items": receipt.items, "found": receipt.found }),
    ))
}

/// Checks that the service has a route for the job's path and that the workspace may call the service, so
/// that a job with a wrong target is refused at submission rather than failing item by item.
fn check_target(
    state: &EntryState,
    identity: &CallerIdentity,
    service: &str,
    path: &str,
) -> Result<(), RefusalResponse> {
    let snapshot = state.store.load();
    let found = snapshot.find_route(path, Some(service));
    let detail = || format_compact!("service {service:?} has no route for path {path:?}");
    let (record, _) =
        found.ok_or_else(|| RefusalResponse::not_run(RefusalReason::RouteUnknown, detail()))?;
    check_workspace_access(record, &identity.workspace.name)
}

/// Returns whether a job with this name and target exists.
///
/// # Errors
///
/// Returns a refusal without a statement on whether the job runs if the platform doesn't say.
async fn has_job(
    platform: &PlatformClient,
    name: &str,
    target: (&str, &str),
) -> Result<bool, RefusalResponse> {
    match find_job(platform, name).await {
        Ok((_, spec)) => Ok((spec.service.as_str(), spec.path.as_str()) == target),
        Err(refused) if refused.reason == RefusalReason::RouteUnknown => Ok(false),
        Err(refused) => Err(RefusalResponse {
            state: RunState::Unknown,
            ..refused
        }),
    }
}

async fn read_status(state: &EntryState, caller: &CallerRequest, name: &str) -> HandlerResult {
    let identity = identify_caller(state, caller)?;
    let name = job_name(&identity, name);
    let (_, spec) = find_job(&state.platform, &name).await?;
    let progress = read_progress(&state.platform, &name, &spec.submission)
        .await
        .map_err(platform_refusal)?;
    Ok(CallerResponse::json(200, &status_value(&spec, progress.0)))
}

async fn read_results(state: &EntryState, caller: &CallerRequest, name: &str) -> HandlerResult {
    let identity = identify_caller(state, caller)?;
    let name = job_name(&identity, name);
    let (_, spec) = find_job(&state.platform, &name).await?;
    let (_, done) = read_progress(&state.platform, &name, &spec.submission)
        .await
        .map_err(platform_refusal)?;
    let platform = state.platform.clone();
    let complete = done.len() as u64 == u64::from(spec.chunks);
    let body = stream! {
        for index in done {
            let chunk = chunk_name(&name, &spec.submission, index);
            match platform.get(RESULT_KIND, &chunk).await {
                Ok(object) => yield result_lines(&object.spec),
                Err(error) => {
                    warn!("failed to read the results of chunk {chunk}: {error}");
                    yield Bytes::from(format!("{}\n", json!({"error": error.to_string()})));
                    return;
                }
            }
        }
    };
    Ok(CallerResponse {
        status: 200,
        headers: vec![
            ("content-type", "application/jsonl".into()),
            ("x-boragerill-complete", format_compact!("{complete}")),
        ],
        body: ResponseBody::Stream(body.boxed()),
    })
}

fn result_lines(spec: &Value) -> Bytes {
    let results = spec["results"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let lines: String = results.iter().map(|result| format!("{result}\n")).collect();
    lines.into()
}

async fn cancel_job(state: &EntryState, caller: &CallerRequest, name: &str) -> HandlerResult {
    let identity = identify_caller(state, caller)?;
    let name = job_name(&identity, name);
    for _ in 0..MAX_UPDATE_ATTEMPTS {
        let (version, spec) = find_job(&state.platform, &name).await?;
        let spec = BatchJobSpec {
            cancelled: true,
            ..spec
        };
        let value = serde_json::to_value(&spec).unwrap_or_default();
        match state
            .platform
            .put_confirmed("batchjob", &name, Expected::At(version), "", &value)
            .await
        {
            Ok(_) => return Ok(CallerResponse::json(202, &json!({"state": "cancelling"}))),
            Err(ServeError::Conflict(..)) => {}
            Err(error) => return Err(platform_refusal(error)),
        }
    }
    Err(RefusalResponse::not_run(
        RefusalReason::PlatformUnavailable,
        "too many conflicting updates",
    )
    .retry_after(PLATFORM_RETRY_AFTER))
}

async fn find_job(
    platform: &PlatformClient,
    name: &str,
) -> Result<(u64, BatchJobSpec), RefusalResponse> {
    let object = platform
        .get("batchjob", name)
        .await
        .map_err(platform_refusal)?;
    let malformed = |error: serde_json::Error| {
        RefusalResponse::not_run(
            RefusalReason::RequestMalformed,
            format!("job can't be read: {error}"),
        )
    };
    Ok((
        object.version,
        serde_json::from_value(object.spec).map_err(malformed)?,
    ))
}

fn identify_caller(
    state: &EntryState,
    caller: &CallerRequest,
) -> Result<CallerIdentity, RefusalResponse> {
    check_config_age(state.store.age(), state.settings.max_config_age_ms)?;
    identify(&state.store.load(), caller.key.as_deref())
}

/// Returns the name of a job's object on the platform. The name starts with the caller's workspace, so a
/// caller can't access another workspace's jobs.
fn job_name(identity: &CallerIdentity, name: &str) -> CompactString {
    format_compact!("{}.{name}", identity.workspace.name)
}

fn submission_refusal(error: ServeError) -> RefusalResponse {
    match error {
        ServeError::Invalid(_, _, field, cause) => RefusalResponse::not_run(
            RefusalReason::RequestMalformed,
            format_compact!("{field}: {cause}"),
        ),
        ServeError::Conflict(..) => RefusalResponse::not_run(
            RefusalReason::JobConflict,
            "a job of this name with other content exists",
        ),
        // The job may have been created; submitting it again returns the existing job.
        error if error.is_ambiguous() => {
            RefusalResponse::unknown(RefusalReason::PlatformUnavailable, error.to_string())
                .retry_after(PLATFORM_RETRY_AFTER)
        }
        error => platform_refusal(error),
    }
}

fn platform_refusal(error: ServeError) -> RefusalResponse {
    if let ServeError::Missing(..) = error {
        return RefusalResponse::not_run(RefusalReason::RouteUnknown, "no such batch job");
    }
    RefusalResponse::not_run(RefusalReason::PlatformUnavailable, error.to_string())
        .retry_after(PLATFORM_RETRY_AFTER)
}
