//! Requests between VMs: configuration, backend servers, jobs, and forwarded platform requests.

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
        BackendServer,
        Revision, //
    },
    cancellation::JobCancellation,
    error::{
        ServeError,
        Step, //
    },
    evacuation::DomainEvacuation,
    frame::FrameLink,
    generated::messages::{
        envelope::Body,
        BackendChangesRequest,
        BackendChangesResponse,
        BackendRecord,
        CancelledJob,
        CatalogRequest,
        CatalogResponse,
        EvacuatedDomain,
        ItemBodyRequest,
        ItemBodyResponse,
        JobAck,
        JobCancelRequest,
        JobResultsRequest,
        JobResultsResponse,
        StoreRequest,
        StoreResponse, //
    },
    hedge::{
        is_refusal,
        merge_failures, //
    },
    job_owner::reaches_job,
    link_reuse::LinkChoice,
    rank::score,
    sync::lock,
    timer::millis,
    warmup::StatedWarmup, //
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
use tokio::{
    net::TcpListener,
    time::sleep, //
};

use crate::{
    catalog_store::{
        apply_catalog_text,
        unpack, //
    },
    connection_table::ConnectionTable,
    evacuations::apply_changes,
    handover,
    head_timer::HeadTimer,
    job_reads::{
        self,
        ResultsRead, //
    },
    jobs,
    pool::{
        set_socket_options,
        UNACKNOWLEDGED_TIMEOUT, //
    },
    runner_conflicts,
    state::FleetState,
    store_watch::{
        log_changes,
        record_own_revisions, //
    },
    stream_versions, //
};

/// Timeout of a request that announces a cancellation to another VM.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of the checks whether a VM that was asked for newer state is reachable.
const REACHABLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of VMs that a platform request is forwarded to, one after the other.
const RELAYS: usize = 3;

/// Time after which a request that is safe to repeat is forwarded to the next VM.
const RELAY_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends a request to another VM and returns its response.
///
/// # Errors
///
/// Returns `ServeError::Unreachable` when no heartbeat of the VM arrived recently, and the errors of the connection.
pub(crate) async fn request(
    state: &FleetState,
    vm: u64,
    body: Body,
    limit: Duration,
) -> Result<Body, ServeError> {
    request_on(state, vm, body, limit, LinkChoice::Recent).await
}

/// Sends a request as [`request`] does, on the given choice of connection.
async fn request_on(
    state: &FleetState,
    vm: u64,
    body: Body,
    limit: Duration,
    choice: LinkChoice,
) -> Result<Body, ServeError> {
    let address = lock(&state.members)
        .member(vm)
        .filter(|member| member.is_reachable(Instant::now()))
        .map(|member| member.info.address.clone());
    let unreachable =
        || ServeError::Unreachable(Step::Connect, "vm".into(), "no recent heartbeat".into());
    let address = address.ok_or_else(unreachable)?;
    state.links.request(&address, body, limit, choice).await
}

/// Sends a request for newer state, which other VMs may have as well. It fails as soon as the VM is unreachable: a VM that
/// stands still or is cut off doesn't respond within the limit either.
async fn request_newer(
    state: &FleetState,
    vm: u64,
    body: Body,
    limit: Duration,
    choice: LinkChoice,
) -> Result<Body, ServeError> {
    let unreachable = async {
        while lock(&state.members).reaches(vm, Instant::now()) {
            sleep(REACHABLE_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        response = request_on(state, vm, body, limit, choice) => response,
        () = unreachable => Err(ServeError::Timeout(Step::Receive, vm_name(state, vm))),
    }
}

/// Serves the requests of other VMs until the process ends.
pub(crate) async fn serve_peers(state: Arc<FleetState>, listener: TcpListener) {
    let table = ConnectionTable::new("peers", state.resources.peers);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(error = error.to_string().as_str(); "accepting a connection of a VM failed");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if let Err(error) = set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT) {
            warn!(error = error.to_string().as_str(); "setting socket options failed");
        }
        let timer = HeadTimer::new();
        let Some(place) = table.add(&timer) else {
            continue;
        };
        let reservation = Arc::new(state.peer_bytes.open());
        let watched = reservation.clone();
        let watch = Box::new(move |bytes| watched.resize(bytes));
        let (link, mut inbox) = FrameLink::open_watched(stream, &peer.to_string(), watch);
        let state = state.clone();
        tokio::spawn(async move {
            let _place = place;
            loop {
                let envelope = tokio::select! {
                    envelope = inbox.recv() => envelope,
                    () = timer.wait_until_closed() => break,
                    () = reservation.wait_until_shed() => break,
                };
                let Some(envelope) = envelope else {
                    break;
                };
                timer.record_use();
                let Some(body) = envelope.body else {
                    continue;
                };
                let (state, link, id) = (state.clone(), link.clone(), envelope.id);
                tokio::spawn(async move { respond(&state, &link, id, body).await });
            }
        });
    }
}

async fn respond(state: &Arc<FleetState>, link: &FrameLink, id: u64, body: Body) {
    let response = match body {
        Body::CatalogAsk(request) => Body::CatalogAnswer(catalog_response(state, &request)),
        Body::BackendAsk(request) => Body::BackendAnswer(backend_changes_response(state, &request)),
        Body::JobRead(request) => Body::JobPage(job_results_response(state, request).await),
        Body::StreamOriginAsk(request) => {
            Body::StreamOrigin(stream_versions::stream_origin_response(state, &request))
        }
        Body::JobBodyAsk(request) => Body::JobBody(item_body_response(state, &request)),
        Body::JobEnd(request) => Body::JobDone(handle_cancellation(state, &request)),
        Body::JobClaim(claim) => Body::JobDone(runner_conflicts::handle_claim(state, &claim)),
        Body::JobHandover(request) => Body::JobDone(JobAck {
            done: handover::accept_handover(state, request).await,
        }),
        Body::StoreCall(call) => Body::StoreAnswer(store_response(state, call).await),
        _ => return,
    };
    if let Err(error) = link.push(id, response) {
        counter!("peer_answers_lost_total").increment(1);
        info!(error = error.to_string().as_str(); "sending a response to a VM failed");
    }
}

fn catalog_response(state: &FleetState, request: &CatalogRequest) -> CatalogResponse {
    let raw = state.catalog.raw();
    let Some(raw) = raw.filter(|raw| raw.version > request.after) else {
        return CatalogResponse::default();
    };
    let version = raw.version;
    let Some(vm) = request.vm else {
        return CatalogResponse {
            version,
            spec: raw.spec.to_vec(),
            ..CatalogResponse::default()
        };
    };
    if !lock(&state.transfers).begin(vm, version, Instant::now()) {
        return CatalogResponse {
            busy: true,
            ..CatalogResponse::default()
        };
    }
    CatalogResponse {
        version,
        packed: raw.packed().to_vec(),
        ..CatalogResponse::default()
    }
}

fn backend_changes_response(
    state: &FleetState,
    request: &BackendChangesRequest,
) -> BackendChangesResponse {
    if request.backends_after == 0 && !state.cells.admits_first_transfer(state) {
        return BackendChangesResponse {
            ends_through: request.ends_after,
            ..BackendChangesResponse::default()
        };
    }
    let now = Instant::now();
    let (through, backends, is_full) = state.backends.read(|table| {
        let is_same = request.backends_digest == Some(table.digest());
        let is_full = !table.holds_changes_since(request.backends_after) && !is_same;
        let after = if is_full { 0 } else { request.backends_after };
        let changes = table.changes_since(after);
        let records = changes.iter().map(|change| {
            let age = table.missing_age(&change.id, now).unwrap_or_default();
            let server = change.server.as_ref();
            let process = server.map(|server| (server.key(), server.start));
            let warmup = process.and_then(|process| state.limits.remaining_warmup(process, now));
            BackendRecord {
                warmup_ms: warmup.map(|time| u32::try_from(millis(time)).unwrap_or(u32::MAX)),
                ..backend_record(change, age)
            }
        });
        (table.through(), records.collect(), is_full)
    });
    let (evacuations_through, evacuations) = newer_evacuations(state, request);
    let cancellations = lock(&state.cancellations);
    let ends = cancellations.since(request.ends_after);
    BackendChangesResponse {
        backends_through: through,
        backends,
        backends_full: is_full,
        evacuations_through,
        evacuations,
        ends_through: cancellations.through(),
        ends: ends
            .map(|cancellation| CancelledJob {
                id: cancellation.job.to_string(),
                revision: cancellation.revision,
            })
            .collect(),
    }
}

/// Returns the list of evacuated failure domains if it is newer than the one of the requesting VM.
fn newer_evacuations(
    state: &FleetState,
    request: &BackendChangesRequest,
) -> (Option<Revision>, Vec<EvacuatedDomain>) {
    let (through, entries) = state.evacuations.list();
    let is_newer = request
        .evacuations_after
        .is_some_and(|after| after < through);
    if !is_newer {
        return (None, Vec::new());
    }
    let domains = entries.into_iter().map(|entry| EvacuatedDomain {
        domain: entry.domain.to_string(),
        revision: entry.revision,
    });
    (Some(through), domains.collect())
}

async fn job_results_response(
    state: &Arc<FleetState>,
    request: JobResultsRequest,
) -> JobResultsResponse {
    let read = ResultsRead {
        id: &request.id,
        workspace: &request.workspace,
        after: request.after,
        until: Instant::now() + Duration::from_millis(request.wait_ms.into()),
    };
    let page = match job_reads::kept_page(state, read).await {
        Ok(None) if request.load => job_reads::load_page(state, read).await.map(Some),
        kept => kept,
    };
    // Without a page the other VM asks another one, or the store.
    match page {
        Ok(Some(page)) => job_reads::encode_page(page),
        Ok(None) | Err(_) => JobResultsResponse::default(),
    }
}

fn item_body_response(state: &FleetState, request: &ItemBodyRequest) -> ItemBodyResponse {
    let kept = state.jobs.find(&request.id);
    let is_reached =
        |entry: &Arc<jobs::JobEntry>| reaches_job(&entry.manifest.workspace, &request.workspace);
    let Some(entry) = kept.filter(is_reached) else {
        return ItemBodyResponse::default();
    };
    let body = job_reads::local_body(&entry, &request.item);
    ItemBodyResponse {
        known: true,
        found: body.is_some(),
        body: body.unwrap_or_default().to_vec(),
    }
}

fn handle_cancellation(state: &FleetState, request: &JobCancelRequest) -> JobAck {
    jobs::stop_job(state, &request.id);
    JobAck { done: true }
}

async fn store_response(state: &FleetState, call: StoreRequest) -> StoreResponse {
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

/// Forwards a platform request through other VMs, one after the other until one succeeds.
pub(crate) async fn relay_store(
    state: &FleetState,
    request: ApiRequest,
    limit: Duration,
) -> Result<ApiResponse, ServeError> {
    counter!("platform_calls_relayed_total").increment(1);
    let addresses = store_relays(state);
    // Reads, and creations of an object with the same content, are safe to repeat.
    let is_safe = matches!(request.method.as_str(), "GET" | "POST");
    let cause = "no VM is reachable".into();
    let mut failure = Err(ServeError::Unreachable(Step::Connect, "vm".into(), cause));
    for (index, address) in addresses.iter().enumerate() {
        let is_last = index + 1 == addresses.len();
        let timeout = match is_safe && !is_last {
            true => RELAY_ATTEMPT_TIMEOUT.min(limit),
            false => limit,
        };
        match relay_to(state, address, &request, timeout).await {
            Ok(response) => return Ok(response),
            Err(error) if error.is_ambiguous() && !is_safe => return Err(error),
            // An earlier VM may have forwarded the request.
            Err(error) => failure = merge_failures(Some(failure), Err(error)),
        }
    }
    failure
}

/// Returns the addresses of up to `RELAYS` reachable VMs, those first that watch the store, else in random order.
fn store_relays(state: &FleetState) -> Vec<CompactString> {
    let now = Instant::now();
    let draw: u64 = rand::random();
    // Calls and responses may carry bodies that other regions must not get.
    let is_restricted = state
        .catalog
        .load()
        .is_some_and(|catalog| catalog.is_restricted());
    let may_relay = |domain: &str| !is_restricted || state.regions.is_own_region(domain);
    let members = lock(&state.members);
    let mut relays: Vec<_> = members
        .reachable(now)
        .filter(|member| may_relay(&member.info.domain))
        .map(|member| {
            let order = (!member.info.follows, score(draw, member.hash));
            (order, member.info.address.clone())
        })
        .collect();
    relays.sort();
    relays.truncate(RELAYS);
    relays.into_iter().map(|entry| entry.1).collect()
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
    let response = state
        .links
        .request(address, call, limit, LinkChoice::Recent)
        .await?;
    let Body::StoreAnswer(relayed) = response else {
        let cause = "unexpected message type".into();
        return Err(ServeError::Malformed(Step::Receive, address.into(), cause));
    };
    match u16::try_from(relayed.status) {
        Ok(status) if status > 0 => {
            let response = ApiResponse {
                status,
                body: relayed.body.into(),
            };
            if is_refusal(&response) {
                let cause = format_compact!("the platform responded with status {status}");
                return Err(ServeError::Rejected(Step::Send, address.into(), cause));
            }
            Ok(response)
        }
        _ if relayed.ambiguous => Err(ServeError::Timeout(Step::Receive, address.into())),
        _ => {
            let cause = "the forwarding VM can't reach the platform".into();
            Err(ServeError::Rejected(Step::Send, address.into(), cause))
        }
    }
}

/// Announces a job's cancellation to the VM that runs it; the other VMs learn of it from the store.
pub(crate) fn announce_cancellation(state: &Arc<FleetState>, id: &str) {
    let Some(runner) = state.jobs.runner(id) else {
        return;
    };
    let (state, id) = (state.clone(), CompactString::from(id));
    tokio::spawn(async move {
        let body = Body::JobEnd(JobCancelRequest { id: id.to_string() });
        if let Err(error) = request(&state, runner.vm, body, CANCEL_TIMEOUT).await {
            info!(job = id.as_str(), error = error.to_string().as_str(); "announcing a cancellation failed");
        }
    });
}

/// Outcome of a request for newer state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FetchOutcome {
    /// The response was applied.
    Received,
    /// The VM sends its state to too many others now.
    Busy,
}

/// Fetches the configuration from a VM that has a newer one.
///
/// # Errors
///
/// Returns the error of the request, or `ServeError::Malformed`.
pub(crate) async fn fetch_catalog(
    state: &FleetState,
    vm: u64,
    limit: Duration,
    choice: LinkChoice,
) -> Result<FetchOutcome, ServeError> {
    let body = Body::CatalogAsk(CatalogRequest {
        after: state.catalog.version(),
        vm: Some(state.vm_hash),
    });
    let Body::CatalogAnswer(response) = request_newer(state, vm, body, limit, choice).await? else {
        return Err(unexpected_message(state, vm));
    };
    if response.busy {
        return Ok(FetchOutcome::Busy);
    }
    if response.version > state.catalog.version() {
        let source = vm_name(state, vm);
        let spec = match response.packed.is_empty() {
            true => response.spec.into(),
            false => unpack(&response.packed, &source)?,
        };
        apply_catalog_text(state, spec, &source)?;
    }
    Ok(FetchOutcome::Received)
}

/// Fetches changes of backend servers and cancelled jobs from a VM that knows newer ones.
///
/// # Errors
///
/// Returns the error of the request, or `ServeError::Malformed`.
pub(crate) async fn fetch_changes(
    state: &FleetState,
    vm: u64,
    limit: Duration,
    choice: LinkChoice,
) -> Result<FetchOutcome, ServeError> {
    let (through, digest) = state
        .backends
        .read(|table| (table.through(), table.digest()));
    let body = Body::BackendAsk(BackendChangesRequest {
        backends_after: through,
        ends_after: lock(&state.cancellations).through(),
        backends_digest: Some(digest),
        evacuations_after: state
            .settings
            .evacuations
            .then(|| state.evacuations.through()),
    });
    let Body::BackendAnswer(response) = request_newer(state, vm, body, limit, choice).await? else {
        return Err(unexpected_message(state, vm));
    };
    if response.backends_through == 0 {
        return Ok(FetchOutcome::Busy);
    }
    let source = vm_name(state, vm);
    let missing = response.backends.iter().filter(|record| record.missing);
    let missing_ages: Vec<(String, Duration)> = missing
        .map(|record| {
            let age = Duration::from_millis(record.missing_ms.into());
            (record.id.clone(), age)
        })
        .collect();
    let changes: Vec<BackendChange> = response.backends.into_iter().map(backend_change).collect();
    let news: Vec<&BackendChange> = state.backends.read(|table| {
        let news = changes.iter().filter(|change| table.is_news(change));
        news.collect()
    });
    log_changes(news.into_iter(), &source);
    let now = Instant::now();
    let through = response.backends_through;
    state.backends.update(|table| {
        match response.backends_full {
            true => table.replace_reported(changes, through, now),
            false => table.apply_reported(changes, through, now),
        }
        for (id, age) in missing_ages {
            table.record_missing_age(&id, age, now);
        }
    });
    let cancelled = response.ends.into_iter().map(|job| JobCancellation {
        revision: job.revision,
        job: job.id.into(),
    });
    jobs::apply_cancellations(state, cancelled.collect(), response.ends_through, &source);
    if let Some(through) = response
        .evacuations_through
        .filter(|_| state.settings.evacuations)
    {
        let entries = response.evacuations.into_iter();
        let entries = entries.map(|entry| DomainEvacuation {
            domain: entry.domain.into(),
            revision: entry.revision,
        });
        let changes = state.evacuations.replace(entries.collect(), through);
        apply_changes(state, changes, &source);
    }
    record_own_revisions(state);
    Ok(FetchOutcome::Received)
}

fn unexpected_message(state: &FleetState, vm: u64) -> ServeError {
    let cause = "unexpected message type".into();
    ServeError::Malformed(Step::Receive, vm_name(state, vm), cause)
}

/// Returns the name of a VM, for logs and errors.
fn vm_name(state: &FleetState, vm: u64) -> CompactString {
    let members = lock(&state.members);
    let member = members.member(vm);
    member.map_or_else(
        || format_compact!("{vm:016x}"),
        |member| member.info.vm.clone(),
    )
}

fn backend_record(change: &BackendChange, missing_age: Duration) -> BackendRecord {
    let record = BackendRecord {
        id: change.id.to_string(),
        revision: change.revision,
        missing: change.missing,
        missing_ms: u32::try_from(missing_age.as_millis()).unwrap_or(u32::MAX),
        ..Default::default()
    };
    let Some(server) = &change.server else {
        return record;
    };
    BackendRecord {
        address: server.address.to_string(),
        service: server.service.to_string(),
        domain: server.domain.to_string(),
        version: server.version.to_string(),
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
        version: record.version.into(),
        slots: record.slots,
        leaving: record.leaving,
        start: record.start,
        warmup: record.warmup_ms.map(|remaining| StatedWarmup {
            remaining: Duration::from_millis(remaining.into()),
            is_reported: true,
        }),
    });
    BackendChange {
        id,
        revision: record.revision,
        server,
        missing: record.missing,
    }
}
