//! Reads of batch jobs: from this VM if it keeps the job, else from the VM that does, else from the store.

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
    jobs::{
        JobEntry,
        INPUT_KIND,
        JOB_KIND,
        RESULT_KIND, //
    },
    read_cache::StoredJob,
    response::plain,
    state::FleetState,
    wire::{
        ResultPage,
        MAX_READ_WAIT, //
    }, //
};

/// When a caller may come back after a read that could not be answered for sure.
const READ_RETRY: Duration = Duration::from_millis(300);

/// Longest time that another VM may take beyond the read's own wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a job is taken as it was last read from the store.
const FRESH_TIME: Duration = Duration::from_millis(400);

/// Share of an answer's limit that results fill; their JSON text is longer.
const PAGE_SHARE: u64 = 2;

/// Answers a read of results.
pub(crate) async fn read_results(
    state: &Arc<FleetState>,
    caller: &CallerRequest,
    id: &str,
    after: u64,
    workspace: &str,
) -> CallerResult {
    let wait = caller.wait.min(MAX_READ_WAIT);
    let until = Instant::now() + wait;
    let page = match state.jobs.find(id) {
        Some(entry) if entry.manifest.workspace == workspace => {
            wait_for_results(&entry, after, until).await;
            page_of(state, &entry, after)
        }
        Some(_) => return Err(unknown_job(id)),
        None => read_elsewhere(state, id, after, workspace, wait).await?,
    };
    let body = (state.format.encode_page)(&page);
    Ok(plain(200, "application/json", body))
}

/// Waits until a job has results from a position, or none will come.
pub(crate) async fn wait_for_results(entry: &JobEntry, after: u64, until: Instant) {
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

/// Returns the results that this VM knows to be stored.
pub(crate) fn page_of(state: &FleetState, entry: &JobEntry, after: u64) -> ResultPage {
    let progress = lock(&entry.progress);
    cut_page(state, progress.total() as u64, after, progress.listed())
}

fn cut_page(state: &FleetState, total: u64, after: u64, listed: &[JobResult]) -> ResultPage {
    let limit = state.settings.result_bytes / PAGE_SHARE;
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

/// Reads a job that this VM doesn't keep: from the VM that does, else from the one that reads it from the
/// store for all, else from the store.
async fn read_elsewhere(
    state: &Arc<FleetState>,
    id: &str,
    after: u64,
    workspace: &str,
    wait: Duration,
) -> Result<ResultPage, RefusalResponse> {
    let request = JobResultsRequest {
        id: id.to_owned(),
        workspace: workspace.to_owned(),
        after,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(0),
        load: false,
    };
    if let Some(report) = state.jobs.report(id) {
        if let Some(page) = ask_page(state, report.vm, request.clone(), wait).await {
            return Ok(page);
        }
    }
    let reader = lock(&state.members).first_ranked(hash_name(id), Instant::now());
    if let Some(reader) = reader {
        let request = JobResultsRequest {
            load: true,
            ..request
        };
        if let Some(page) = ask_page(state, reader, request, Duration::ZERO).await {
            return Ok(page);
        }
    }
    load_page(state, id, after, workspace).await
}

async fn ask_page(
    state: &Arc<FleetState>,
    vm: u64,
    request: JobResultsRequest,
    wait: Duration,
) -> Option<ResultPage> {
    let after = request.after;
    let answer =
        crate::peers::request(state, vm, Body::JobRead(request), wait + PEER_TIMEOUT).await;
    match answer {
        Ok(Body::JobPage(page)) if page.known => Some(decode_page(page, after)),
        _ => {
            counter!("job_reads_unanswered_total").increment(1);
            None
        }
    }
}

fn decode_page(page: JobResultsResponse, after: u64) -> ResultPage {
    let results = page.results.into_iter().map(|note| JobResult {
        id: note.id.into(),
        outcome: if note.completed {
            JobOutcome::Completed
        } else {
            JobOutcome::Failed
        },
        text: note.text.into(),
    });
    ResultPage {
        total: page.total,
        after,
        results: results.collect(),
    }
}

/// Writes a page for another VM.
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

/// Reads results from the store, or as this VM has just read them.
pub(crate) async fn load_page(
    state: &FleetState,
    id: &str,
    after: u64,
    workspace: &str,
) -> Result<ResultPage, RefusalResponse> {
    let cached = state.read_cache.find(id);
    let mut stored = match cached {
        Some(stored) => stored,
        None => StoredJob {
            manifest: owned_manifest(state, id, workspace).await?,
            chunks: Vec::new(),
            read: Instant::now()
                .checked_sub(FRESH_TIME)
                .unwrap_or_else(Instant::now),
        },
    };
    if stored.manifest.workspace != workspace {
        return Err(unknown_job(id));
    }
    if !stored.is_complete() && stored.read.elapsed() >= FRESH_TIME {
        let more = load_chunks(state, id, stored.next_chunk()).await;
        stored.chunks.extend(more.map_err(unsure)?);
        stored.read = Instant::now();
        state.read_cache.put(id, stored.clone());
    }
    let listed: Vec<JobResult> = stored.results().cloned().collect();
    Ok(cut_page(
        state,
        stored.manifest.items as u64,
        after,
        &listed,
    ))
}

/// Reads the chunks of results of a job, in their order and without a gap.
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
        let object = match state.platform.get_fixed(RESULT_KIND, &name).await {
            Ok(object) => object,
            Err(ServeError::Missing(..)) => break,
            Err(error) => return Err(error),
        };
        chunks.push(parse_object(&name, object.spec)?);
    }
    Ok(chunks)
}

/// Reads the value of an object of the store.
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
    let object = state.platform.get_fixed(JOB_KIND, id).await?;
    parse_object(id, object.spec)
}

/// Reads the manifest of a job of a workspace.
async fn owned_manifest(
    state: &FleetState,
    id: &str,
    workspace: &str,
) -> Result<JobManifest, RefusalResponse> {
    match load_manifest(state, id).await {
        Ok(manifest) if manifest.workspace == workspace => Ok(manifest),
        Ok(_) | Err(ServeError::Missing(..)) => Err(unknown_job(id)),
        Err(error) => Err(unsure(error)),
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
        let object = state.platform.get_fixed(INPUT_KIND, &name).await?;
        let part: InputPart = parse_object(&name, object.spec)?;
        items.extend(part.items);
    }
    Ok(items)
}

/// Checks that a job exists and belongs to a workspace.
pub(crate) async fn check_owner(
    state: &FleetState,
    id: &str,
    workspace: &str,
) -> Result<(), RefusalResponse> {
    match state.jobs.find(id) {
        Some(entry) if entry.manifest.workspace == workspace => Ok(()),
        Some(_) => Err(unknown_job(id)),
        None => owned_manifest(state, id, workspace).await.map(|_| ()),
    }
}

/// Answers a read of an item's body.
pub(crate) async fn read_body(
    state: &Arc<FleetState>,
    _caller: &CallerRequest,
    id: &str,
    item: &str,
    workspace: &str,
) -> CallerResult {
    let found = match state.jobs.find(id) {
        Some(entry) if entry.manifest.workspace == workspace => body_of(&entry, item),
        Some(_) => return Err(unknown_job(id)),
        None => match ask_body(state, id, item, workspace).await {
            Some(found) => found,
            None => load_body(state, id, item, workspace).await?,
        },
    };
    let body = found.ok_or_else(|| RefusalResponse::not_run(RefusalReason::JobUnknown, item))?;
    Ok(plain(200, "application/octet-stream", body))
}

/// Returns the body of an item of a job that is kept here.
pub(crate) fn body_of(entry: &JobEntry, item: &str) -> Option<Bytes> {
    let index = lock(&entry.progress).find(item)?;
    Some(entry.items[index].body.clone())
}

async fn ask_body(
    state: &Arc<FleetState>,
    id: &str,
    item: &str,
    workspace: &str,
) -> Option<Option<Bytes>> {
    let report = state.jobs.report(id)?;
    let request = Body::JobBodyAsk(ItemBodyRequest {
        id: id.to_owned(),
        workspace: workspace.to_owned(),
        item: item.to_owned(),
    });
    match crate::peers::request(state, report.vm, request, PEER_TIMEOUT).await {
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
    let items = load_items(state, &manifest).await.map_err(unsure)?;
    let found = items.into_iter().find(|known| known.id == item);
    Ok(found.map(|item| item.body))
}

fn unknown_job(id: &str) -> RefusalResponse {
    RefusalResponse::not_run(RefusalReason::JobUnknown, id)
}

fn unsure(error: ServeError) -> RefusalResponse {
    RefusalResponse::not_run(RefusalReason::PlatformUnavailable, error.to_string())
        .retry_after(READ_RETRY)
}
