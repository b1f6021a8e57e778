//! Reads of batch jobs: from this VM if it has the job, else from the VM that reports it, else from the store.

use std::{
    sync::Arc,
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
    generated::messages::{
        envelope::Body,
        ItemBodyRequest,
        ItemBodyResponse,
        JobResultsRequest,
        JobResultsResponse,
        StoredResult, //
    },
    job::{
        chunk_object_name,
        part_object_name,
        InputPart,
        JobManifest,
        JobOutcome,
        JobResult,
        ResultChunk, //
    },
    job_owner::reaches_job,
    rank::hash_name,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    sync::lock, //
};
use bytes::Bytes;
use metrics::counter;
use tokio::time::timeout_at;

use crate::{
    admission::CallerResult,
    caller::CallerRequest,
    job_watch,
    jobs::{
        JobEntry,
        INPUT_KIND,
        JOB_KIND,
        RESULT_KIND, //
    },
    list_check::{
        check_list,
        ListStatus, //
    },
    read_cache::StoredJob,
    response::local_response,
    state::FleetState,
    stop_guard::wait_for_wait_end,
    wire::{
        ResultPage,
        MAX_READ_WAIT, //
    }, //
};

/// Retry delay for callers whose read failed because the store was unavailable.
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a read at another VM, in addition to the wait that the caller asked for.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which results read from the store are served without reading further chunks.
const CACHE_LIFETIME: Duration = Duration::from_millis(400);

/// Divides the limit on the size of a page; the JSON text of results is longer.
const PAGE_DIVISOR: u64 = 2;

/// A read of a job's results.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResultsRead<'a> {
    /// The job.
    pub(crate) id: &'a str,
    /// Workspace of the caller.
    pub(crate) workspace: &'a str,
    /// Position of the first result.
    pub(crate) after: u64,
    /// End of the wait for a result.
    pub(crate) until: Instant,
}

/// Serves a caller's read of results.
pub(crate) async fn read_results(
    state: &Arc<FleetState>,
    caller: &CallerRequest,
    id: &str,
    after: u64,
    workspace: &str,
) -> CallerResult {
    let read = ResultsRead {
        id,
        workspace,
        after,
        until: Instant::now() + caller.wait.min(MAX_READ_WAIT),
    };
    let page = match kept_page(state, read).await? {
        Some(page) => {
            count_page("memory");
            page
        }
        None => read_remote(state, read).await?,
    };
    let body = (state.format.encode_page)(&page);
    Ok(local_response(200, "application/json", body))
}

/// Returns a page of the results that this VM keeps, after a wait for a result; `None` if it doesn't have the job, or
/// another VM runs the job.
///
/// # Errors
///
/// Returns a refusal if the job belongs to another workspace, or if other VMs may have listed more results.
pub(crate) async fn kept_page(
    state: &FleetState,
    read: ResultsRead<'_>,
) -> Result<Option<ResultPage>, RefusalResponse> {
    let Some(entry) = state.jobs.find(read.id) else {
        return Ok(None);
    };
    if !reaches_job(&entry.manifest.workspace, read.workspace) {
        return Err(unknown_job(read.id));
    }
    let check = async || check_list(state, &entry).await.map_err(store_unavailable);
    if check().await? == ListStatus::Released {
        return Ok(None);
    }
    tokio::select! {
        () = wait_for_results(&entry, read.after, read.until) => {}
        () = wait_for_wait_end(state) => {}
    }
    // Another VM may have taken the job over meanwhile.
    if check().await? == ListStatus::Released {
        return Ok(None);
    }
    Ok(Some(local_page(state, &entry, read.after)))
}

/// Waits until a job has results from position `after`, is closed, or `until` has passed.
async fn wait_for_results(entry: &JobEntry, after: u64, until: Instant) {
    loop {
        let changed = entry.changed.notified();
        {
            let progress = lock(&entry.progress);
            let listed = progress.listed().len() as u64;
            if listed > after || progress.is_closed() {
                return;
            }
        }
        if timeout_at(until.into(), changed).await.is_err() {
            return;
        }
    }
}

/// Returns a page of the results that this VM knows to be stored.
fn local_page(state: &FleetState, entry: &JobEntry, after: u64) -> ResultPage {
    let progress = lock(&entry.progress);
    limit_page(state, progress.total() as u64, after, progress.listed())
}

/// Returns the results from position `after` that fit into a page, but at least one.
fn limit_page(state: &FleetState, total: u64, after: u64, listed: &[JobResult]) -> ResultPage {
    let limit = state.settings.result_bytes / PAGE_DIVISOR;
    let start = usize::try_from(after)
        .unwrap_or(usize::MAX)
        .min(listed.len());
    let mut size = 0;
    let fitting = listed[start..]
        .iter()
        .enumerate()
        .take_while(|(index, result)| {
            size += result.text.len() as u64;
            *index == 0 || size <= limit
        });
    ResultPage {
        total,
        after,
        results: fitting.map(|(_, result)| result.clone()).collect(),
    }
}

/// Reads a job that this VM doesn't have: from the VM that reports it, else from the VM that ranks first for
/// reading it from the store on behalf of all, else directly from the store.
async fn read_remote(
    state: &FleetState,
    read: ResultsRead<'_>,
) -> Result<ResultPage, RefusalResponse> {
    let wait = read.until.saturating_duration_since(Instant::now());
    let request = JobResultsRequest {
        id: read.id.to_owned(),
        workspace: read.workspace.to_owned(),
        after: read.after,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(0),
        load: false,
    };
    if let Some(runner) = state.jobs.runner(read.id) {
        if let Some(page) = request_page(state, runner.vm, request.clone(), wait).await {
            count_page("runner");
            return Ok(page);
        }
    }
    let reader = lock(&state.members).first_ranked(hash_name(read.id), Instant::now());
    if let Some(reader) = reader {
        let request = JobResultsRequest {
            load: true,
            ..request
        };
        if let Some(page) = request_page(state, reader, request, Duration::ZERO).await {
            count_page("reader");
            return Ok(page);
        }
    }
    let page = load_page(state, read).await?;
    count_page("store");
    Ok(page)
}

/// Counts a page of results by where it came from.
fn count_page(source: &'static str) {
    counter!("job_pages_total", "source" => source).increment(1);
}

async fn request_page(
    state: &FleetState,
    vm: u64,
    request: JobResultsRequest,
    wait: Duration,
) -> Option<ResultPage> {
    let after = request.after;
    let response =
        crate::peers::request(state, vm, Body::JobRead(request), wait + PEER_TIMEOUT).await;
    match response {
        Ok(Body::JobPage(page)) if page.known => Some(decode_page(page, after)),
        _ => {
            counter!("job_reads_unanswered_total").increment(1);
            None
        }
    }
}

fn decode_page(page: JobResultsResponse, after: u64) -> ResultPage {
    let results = page.results.into_iter().map(|stored| JobResult {
        id: stored.id.into(),
        outcome: if stored.completed {
            JobOutcome::Completed
        } else {
            JobOutcome::Failed
        },
        text: stored.text.into(),
    });
    ResultPage {
        total: page.total,
        after,
        results: results.collect(),
    }
}

/// Converts a page to a response for another VM.
pub(crate) fn encode_page(page: ResultPage) -> JobResultsResponse {
    let results = page.results.into_iter().map(|result| StoredResult {
        id: result.id.to_string(),
        completed: result.outcome == JobOutcome::Completed,
        text: result.text.to_string(),
    });
    JobResultsResponse {
        known: true,
        total: page.total,
        results: results.collect(),
    }
}

/// Reads a page of results from the store through the read cache.
pub(crate) async fn load_page(
    state: &FleetState,
    read: ResultsRead<'_>,
) -> Result<ResultPage, RefusalResponse> {
    let (id, workspace) = (read.id, read.workspace);
    let cached = state.read_cache.find(id);
    let mut stored = match cached {
        Some(stored) => stored,
        None => StoredJob {
            manifest: owned_manifest(state, id, workspace).await?,
            chunks: Vec::new(),
            read: Instant::now()
                .checked_sub(CACHE_LIFETIME)
                .unwrap_or_else(Instant::now),
        },
    };
    if !reaches_job(&stored.manifest.workspace, workspace) {
        return Err(unknown_job(id));
    }
    if !stored.is_complete() {
        job_watch::record_manifest(state, id, &stored.manifest);
    }
    if !stored.is_complete() && stored.read.elapsed() >= CACHE_LIFETIME {
        let more = load_chunks(state, id, stored.next_chunk()).await;
        stored.chunks.extend(more.map_err(store_unavailable)?);
        stored.read = Instant::now();
        state.read_cache.put(id, stored.clone());
    }
    let listed: Vec<JobResult> = stored.results().cloned().collect();
    Ok(limit_page(
        state,
        stored.manifest.items as u64,
        read.after,
        &listed,
    ))
}

/// Reads all chunks of results of a job in order, up to the first missing number.
pub(crate) async fn load_results(
    state: &FleetState,
    id: &str,
) -> Result<Vec<ResultChunk>, ServeError> {
    load_chunks(state, id, 0).await
}

async fn load_chunks(
    state: &FleetState,
    id: &str,
    first: u32,
) -> Result<Vec<ResultChunk>, ServeError> {
    let mut chunks = Vec::new();
    for index in first.. {
        let name = chunk_object_name(id, index);
        let object = match state.platform.get_immutable(RESULT_KIND, &name).await {
            Ok(object) => object,
            Err(ServeError::Missing(..)) => break,
            Err(error) => return Err(error),
        };
        chunks.push(parse_object(&name, object.spec)?);
    }
    Ok(chunks)
}

/// Parses the value of an object of the store.
///
/// # Errors
///
/// Returns `ServeError::Malformed` when the value doesn't have the expected form.
pub(crate) fn parse_object<T: serde::de::DeserializeOwned>(
    name: &str,
    spec: serde_json::Value,
) -> Result<T, ServeError> {
    serde_json::from_value(spec).map_err(|error| {
        ServeError::Malformed(Step::PlatformRead, name.into(), error.to_string().into())
    })
}

/// Reads the manifest of a job from the store.
pub(crate) async fn load_manifest(state: &FleetState, id: &str) -> Result<JobManifest, ServeError> {
    let object = state.platform.get_immutable(JOB_KIND, id).await?;
    parse_object(id, object.spec)
}

/// Reads the manifest of a job and checks that the job belongs to a workspace.
async fn owned_manifest(
    state: &FleetState,
    id: &str,
    workspace: &str,
) -> Result<JobManifest, RefusalResponse> {
    match load_manifest(state, id).await {
        Ok(manifest) if reaches_job(&manifest.workspace, workspace) => Ok(manifest),
        Ok(_) | Err(ServeError::Missing(..)) => Err(unknown_job(id)),
        Err(error) => Err(store_unavailable(error)),
    }
}

/// Reads all items of a job from the store.
pub(crate) async fn load_items(
    state: &FleetState,
    manifest: &JobManifest,
) -> Result<Vec<boragerill::job::JobItem>, ServeError> {
    let mut items = Vec::new();
    for index in 0..manifest.parts {
        let name = part_object_name(&manifest.input, index);
        let object = state.platform.get_immutable(INPUT_KIND, &name).await?;
        let part: InputPart = parse_object(&name, object.spec)?;
        items.extend(part.items);
    }
    Ok(items)
}

/// Checks that a job exists and belongs to a workspace; jobs of other workspaces count as unknown.
pub(crate) async fn check_owner(
    state: &FleetState,
    id: &str,
    workspace: &str,
) -> Result<(), RefusalResponse> {
    match state.jobs.find(id) {
        Some(entry) if reaches_job(&entry.manifest.workspace, workspace) => Ok(()),
        Some(_) => Err(unknown_job(id)),
        None => owned_manifest(state, id, workspace).await.map(|_| ()),
    }
}

/// Serves a caller's read of an item's body.
pub(crate) async fn read_body(
    state: &Arc<FleetState>,
    _caller: &CallerRequest,
    id: &str,
    item: &str,
    workspace: &str,
) -> CallerResult {
    let found = match state.jobs.find(id) {
        Some(entry) if reaches_job(&entry.manifest.workspace, workspace) => {
            local_body(&entry, item)
        }
        Some(_) => return Err(unknown_job(id)),
        None => match request_item_body(state, id, item, workspace).await {
            Some(found) => found,
            None => load_body(state, id, item, workspace).await?,
        },
    };
    let body = found.ok_or_else(|| RefusalResponse::not_run(RefusalReason::JobUnknown, item))?;
    Ok(local_response(200, "application/octet-stream", body))
}

/// Returns the body of an item of a job of this VM.
pub(crate) fn local_body(entry: &JobEntry, item: &str) -> Option<Bytes> {
    let index = lock(&entry.progress).item_index(item)?;
    Some(entry.items[index].body.clone())
}

async fn request_item_body(
    state: &Arc<FleetState>,
    id: &str,
    item: &str,
    workspace: &str,
) -> Option<Option<Bytes>> {
    let runner = state.jobs.runner(id)?;
    let request = Body::JobBodyAsk(ItemBodyRequest {
        id: id.to_owned(),
        workspace: workspace.to_owned(),
        item: item.to_owned(),
    });
    match crate::peers::request(state, runner.vm, request, PEER_TIMEOUT).await {
        Ok(Body::JobBody(ItemBodyResponse {
            known: true,
            found,
            body,
        })) => Some(found.then(|| body.into())),
        _ => None,
    }
}

async fn load_body(
    state: &FleetState,
    id: &str,
    item: &str,
    workspace: &str,
) -> Result<Option<Bytes>, RefusalResponse> {
    let manifest = owned_manifest(state, id, workspace).await?;
    let items = load_items(state, &manifest)
        .await
        .map_err(store_unavailable)?;
    let found = items.into_iter().find(|known| known.id == item);
    Ok(found.map(|item| item.body))
}

fn unknown_job(id: &str) -> RefusalResponse {
    RefusalResponse::not_run(RefusalReason::JobUnknown, id)
}

fn store_unavailable(error: ServeError) -> RefusalResponse {
    RefusalResponse::not_run(RefusalReason::PlatformUnavailable, error.to_string())
        .retry_after(READ_RETRY_DELAY)
}
