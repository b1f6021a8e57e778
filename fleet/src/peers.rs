//! Calls between VMs: configuration, backend servers, jobs, and the platform on another's behalf.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    api::{
        ApiRequest,
        ApiResponse, //
    },
    backend::{
        BackendChange,
        BackendServer, //
    },
    error::{
        ServeError,
        Step, //
    },
    frame::FrameLink,
    generated::messages::{
        envelope::Body,
        BackendChangesRequest,
        BackendChangesResponse,
        BackendRecord,
        CancelledJob,
        CatalogRequest,
        CatalogResponse,
        ItemBodyRequest,
        ItemBodyResponse,
        JobAck,
        JobCancelRequest,
        JobResultsRequest,
        JobResultsResponse,
        StoreRequest,
        StoreResponse, //
    },
    hedge::is_refusal,
    rank::score,
    sync::lock, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use log::{
    info,
    warn, //
};
use metrics::counter;
use tokio::net::TcpListener;

use crate::{
    handover,
    job_reads,
    jobs,
    pool::set_socket_options,
    state::FleetState, //
};

/// Longest time for telling a VM that a job ended.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// VMs that are asked to carry out a call to the platform.
const RELAYS: usize = 3;

/// Time after which the next of them is asked.
const RELAY_PATIENCE: Duration = Duration::from_millis(250);

/// Longest time for fetching configuration and backend servers from another VM.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks another VM.
pub(crate) async fn request(
    state: &FleetState,
    vm: u64,
    body: Body,
    limit: Duration,
) -> Result<Body, ServeError> {
    let address = lock(&state.members)
        .find(vm)
        .filter(|member| member.is_reachable(Instant::now()))
        .map(|member| member.info.address.clone());
    let silent = || ServeError::Unreachable(Step::Connect, "vm".into(), "not heard".into());
    let address = address.ok_or_else(silent)?;
    state.links.request(&address, body, limit).await
}

/// Answers the calls of other VMs for as long as the process runs.
pub(crate) async fn serve_peers(state: Arc<FleetState>, listener: TcpListener) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(error = error.to_string().as_str(); "connection of a VM not accepted");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if let Err(error) = set_socket_options(&stream) {
            warn!(error = error.to_string().as_str(); "socket options not set");
        }
        let (link, mut inbox) = FrameLink::open(stream, &peer.to_string());
        let state = state.clone();
        tokio::spawn(async move {
            while let Some(envelope) = inbox.recv().await {
                let Some(body) = envelope.body else {
                    continue;
                };
                let (state, link, id) = (state.clone(), link.clone(), envelope.id);
                tokio::spawn(async move { answer(&state, &link, id, body).await });
            }
        });
    }
}

async fn answer(state: &Arc<FleetState>, link: &FrameLink, id: u64, body: Body) {
    let answer = match body {
        Body::CatalogAsk(request) => Body::CatalogAnswer(answer_catalog(state, &request)),
        Body::BackendAsk(request) => Body::BackendAnswer(answer_backends(state, &request)),
        Body::JobRead(request) => Body::JobPage(answer_read(state, request).await),
        Body::JobBodyAsk(request) => Body::JobBody(answer_body(state, &request)),
        Body::JobEnd(request) => Body::JobDone(answer_end(state, &request)),
        Body::JobHandover(request) => Body::JobDone(JobAck {
            done: handover::take_handover(state, request).await,
        }),
        Body::StoreCall(call) => Body::StoreAnswer(answer_store(state, call).await),
        _ => return,
    };
    if let Err(error) = link.push(id, answer) {
        counter!("peer_answers_lost_total").increment(1);
        info!(error = error.to_string().as_str(); "answer to a VM not sent");
    }
}

fn answer_catalog(state: &FleetState, request: &CatalogRequest) -> CatalogResponse {
    let raw = state
        .catalog
        .raw()
        .filter(|raw| raw.version > request.after);
    raw.map_or_else(CatalogResponse::default, |raw| CatalogResponse {
        version: raw.version,
        spec: raw.spec.to_vec(),
    })
}

fn answer_backends(state: &FleetState, request: &BackendChangesRequest) -> BackendChangesResponse {
    let (through, changes) = state
        .backends
        .read(|table| (table.through(), table.changes_since(request.backends_after)));
    let ends = state.cancellations.since(request.ends_after);
    BackendChangesResponse {
        backends_through: through,
        backends: changes.iter().map(backend_record).collect(),
        ends_through: state.cancellations.through(),
        ends: ends
            .into_iter()
            .map(|(revision, id)| CancelledJob {
                id: id.to_string(),
                revision,
            })
            .collect(),
    }
}

async fn answer_read(state: &Arc<FleetState>, request: JobResultsRequest) -> JobResultsResponse {
    let kept = state.jobs.find(&request.id);
    let page = match kept.filter(|entry| entry.manifest.workspace == request.workspace) {
        Some(entry) => {
            let until = Instant::now() + Duration::from_millis(request.wait_ms.into());
            job_reads::wait_for_results(&entry, request.after, until).await;
            job_reads::page_of(state, &entry, request.after)
        }
        None if request.load => {
            match job_reads::load_page(state, &request.id, request.after, &request.workspace).await
            {
                Ok(page) => page,
                Err(_) => return JobResultsResponse::default(),
            }
        }
        None => return JobResultsResponse::default(),
    };
    job_reads::encode_page(page)
}

fn answer_body(state: &FleetState, request: &ItemBodyRequest) -> ItemBodyResponse {
    let kept = state.jobs.find(&request.id);
    let Some(entry) = kept.filter(|entry| entry.manifest.workspace == request.workspace) else {
        return ItemBodyResponse::default();
    };
    let body = job_reads::body_of(&entry, &request.item);
    ItemBodyResponse {
        known: true,
        found: body.is_some(),
        body: body.unwrap_or_default().to_vec(),
    }
}

fn answer_end(state: &FleetState, request: &JobCancelRequest) -> JobAck {
    jobs::stop_job(state, &request.id);
    JobAck { done: true }
}

async fn answer_store(state: &FleetState, call: StoreRequest) -> StoreResponse {
    let Ok(method) = call.method.parse() else {
        return StoreResponse::default();
    };
    let mut request = ApiRequest::new(method, call.target);
    request.body = (!call.body.is_empty()).then(|| call.body.into());
    let limit = Duration::from_millis(call.timeout_ms.into());
    match state.platform.forward(request, limit).await {
        Ok(response) => StoreResponse {
            status: response.status.into(),
            body: response.body.to_vec(),
            ambiguous: false,
        },
        Err(error) => StoreResponse {
            ambiguous: error.is_ambiguous(),
            ..Default::default()
        },
    }
}

/// Has other VMs carry out a call to the platform, one after the other until one can.
pub(crate) async fn relay_store(
    state: &FleetState,
    request: ApiRequest,
    limit: Duration,
) -> Result<ApiResponse, ServeError> {
    counter!("platform_calls_relayed_total").increment(1);
    let addresses = followers(state);
    // Creating an object twice does no harm, nor does reading.
    let is_safe = matches!(request.method.as_str(), "GET" | "POST");
    let mut failure = ServeError::Unreachable(Step::Connect, "vm".into(), "none follows".into());
    for (index, address) in addresses.iter().enumerate() {
        let is_last = index + 1 == addresses.len();
        let patience = match is_safe && !is_last {
            true => RELAY_PATIENCE.min(limit),
            false => limit,
        };
        match relay_to(state, address, &request, patience).await {
            Ok(response) => return Ok(response),
            Err(error) if error.is_ambiguous() && !is_safe => return Err(error),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Returns the addresses of some VMs that follow the store, in a random order.
fn followers(state: &FleetState) -> Vec<CompactString> {
    let now = Instant::now();
    let draw: u64 = rand::random();
    let members = lock(&state.members);
    let following = members.reachable(now).filter(|member| member.info.follows);
    let mut following: Vec<_> = following
        .map(|member| (score(draw, member.hash), member.info.address.clone()))
        .collect();
    following.sort();
    following.truncate(RELAYS);
    following.into_iter().map(|entry| entry.1).collect()
}

async fn relay_to(
    state: &FleetState,
    address: &str,
    request: &ApiRequest,
    limit: Duration,
) -> Result<ApiResponse, ServeError> {
    let call = Body::StoreCall(StoreRequest {
        method: request.method.to_string(),
        target: request.target.clone(),
        body: request.body.clone().unwrap_or_default().to_vec(),
        timeout_ms: u32::try_from(limit.as_millis()).unwrap_or(u32::MAX),
    });
    let answer = state.links.request(address, call, limit).await?;
    let Body::StoreAnswer(answer) = answer else {
        let cause = "another answer".into();
        return Err(ServeError::Malformed(Step::Receive, address.into(), cause));
    };
    match u16::try_from(answer.status) {
        Ok(status) if status > 0 => {
            let response = ApiResponse {
                status,
                body: answer.body.into(),
            };
            if is_refusal(&response) {
                let cause = format_compact!("the platform answered {status}");
                return Err(ServeError::Rejected(Step::Send, address.into(), cause));
            }
            Ok(response)
        }
        _ if answer.ambiguous => Err(ServeError::Timeout(Step::Receive, address.into())),
        _ => {
            let cause = "platform not reached".into();
            Err(ServeError::Rejected(Step::Send, address.into(), cause))
        }
    }
}

/// Tells the VM that runs a job that its client ended it; the store tells the others.
pub(crate) fn announce_cancellation(state: &Arc<FleetState>, id: &str) {
    let Some(report) = state.jobs.report(id) else {
        return;
    };
    let (state, id) = (state.clone(), CompactString::from(id));
    tokio::spawn(async move {
        let body = Body::JobEnd(JobCancelRequest { id: id.to_string() });
        if let Err(error) = request(&state, report.vm, body, TELL_TIMEOUT).await {
            info!(job = id.as_str(), error = error.to_string().as_str(); "end not told");
        }
    });
}

/// Fetches the configuration from a VM that has a newer one.
pub(crate) async fn fetch_catalog(state: &FleetState, address: &str) -> Result<(), ServeError> {
    let request = Body::CatalogAsk(CatalogRequest {
        after: state.catalog.version(),
    });
    let answer = state.links.request(address, request, FETCH_TIMEOUT).await?;
    let Body::CatalogAnswer(answer) = answer else {
        return Ok(());
    };
    if answer.version > state.catalog.version() {
        crate::store_watch::apply_catalog(state, answer.spec.into(), "vm");
    }
    Ok(())
}

/// Fetches backend servers and ended jobs from a VM that knows newer ones.
pub(crate) async fn fetch_backends(state: &FleetState, address: &str) -> Result<(), ServeError> {
    let request = Body::BackendAsk(BackendChangesRequest {
        backends_after: state.backends.read(|table| table.through()),
        ends_after: state.cancellations.through(),
    });
    let answer = state.links.request(address, request, FETCH_TIMEOUT).await?;
    let Body::BackendAnswer(answer) = answer else {
        return Ok(());
    };
    let changes: Vec<BackendChange> = answer.backends.into_iter().map(backend_change).collect();
    crate::store_watch::log_changes(&changes, address);
    let now = Instant::now();
    state
        .backends
        .update(|table| table.apply_reported(changes, answer.backends_through, now));
    let ends = answer.ends.into_iter();
    let ends = ends.map(|job| (job.revision, job.id.into())).collect();
    for id in state.cancellations.apply(ends, answer.ends_through) {
        jobs::stop_job(state, &id);
    }
    Ok(())
}

fn backend_record(change: &BackendChange) -> BackendRecord {
    let record = BackendRecord {
        id: change.id.to_string(),
        revision: change.revision,
        missing: change.missing,
        ..Default::default()
    };
    let Some(server) = &change.server else {
        return record;
    };
    BackendRecord {
        address: server.address.to_string(),
        service: server.service.to_string(),
        domain: server.domain.to_string(),
        slots: server.slots,
        leaving: server.leaving,
        start: server.start,
        ..record
    }
}

fn backend_change(record: BackendRecord) -> BackendChange {
    let id = CompactString::from(record.id);
    let server = record.address.parse().ok().map(|address| BackendServer {
        id: id.clone(),
        address,
        service: record.service.into(),
        domain: record.domain.into(),
        slots: record.slots,
        leaving: record.leaving,
        start: record.start,
    });
    BackendChange {
        id,
        revision: record.revision,
        server,
        missing: record.missing,
    }
}
