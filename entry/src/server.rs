//! HTTP server of the entry process: start, shutdown and the handler that serves requests to services.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    error::ServeError,
    feed::{
        subscribe_any,
        SnapshotStore, //
    },
    generated::messages::Hello,
    platform::PlatformClient,
    process::{
        http_server,
        serve,
        wait_for_stop_signal,
        HealthState, //
    },
    queue::QueueRequest,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
    route::RoutePolicy,
    settings::{
        EntrySettings,
        EntrySettingsPolicy,
        EntrySettingsQueue, //
    }, //
};
use bytes::Bytes;
use compact_str::CompactString;
use log::{
    info,
    warn, //
};
use metrics::{
    counter,
    histogram, //
};
use rocket::{
    data::ToByteUnit,
    http::Method,
    outcome::Outcome as RouteOutcome,
    request::FromRequest,
    route::{
        BoxFuture,
        Route, //
    },
    Data,
    Request, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::{
    sync::oneshot,
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    admission::{
        check_config_age,
        check_key_exposure,
        check_workspace_access,
        find_route,
        identify,
        CallerIdentity,
        RequestRoute, //
    },
    batches,
    caller::CallerRequest,
    drain::DrainState,
    forward::{
        prefix_hash,
        ForwardClient,
        OutgoingRequest,
        SharedForward, //
    },
    load_reports::{
        report_loads,
        update_queues, //
    },
    rate::RateClient,
    relay::run_request,
    response::CallerResponse,
    service_queue::{
        QueueTable,
        RequestPermit, //
    }, //
};

/// Methods that are forwarded to services.
const FORWARDED_METHODS: [Method; 5] = [
    Method::Get,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
];

/// Rank of the routes to services. The process's own routes have lower ranks and are tried first.
const SERVICE_RANK: isize = 30;

/// State shared by the request handlers and background tasks.
#[derive(Clone)]
pub(crate) struct EntryState {
    /// Settings of the process.
    pub(crate) settings: Arc<EntrySettings>,
    /// Configuration in force.
    pub(crate) store: Arc<SnapshotStore>,
    /// Client for the platform.
    pub(crate) platform: PlatformClient,
    /// Takes tokens from the workspaces' rate limits.
    pub(crate) rate: RateClient,
    /// Sends requests to backend servers.
    pub(crate) forward: SharedForward,
    /// Queues of requests that wait for capacity, by service.
    pub(crate) queues: QueueTable,
}

/// Runs the entry process until a stop signal, then shuts it down gracefully.
pub(crate) async fn run_entry(settings: EntrySettings) -> Result<(), ServeError> {
    let health = HealthState::install();
    let grace = Duration::from_millis(settings.shutdown_grace_ms);
    let listen = format!("{}:{}", settings.address, settings.port);
    let server = http_server(&settings.address, settings.port, grace, health.clone())?;
    let state = EntryState {
        store: Arc::default(),
        platform: PlatformClient::new(&settings.platform),
        rate: RateClient::new(&settings.vm),
        queues: QueueTable::default(),
        forward: Arc::new(ForwardClient::new(route_policy(settings.policy), &settings)),
        settings: Arc::new(settings),
    };
    let controls = state
        .settings
        .controls
        .iter()
        .map(CompactString::from)
        .collect();
    let hello = Hello {
        vm: state.settings.vm.clone(),
        ..Default::default()
    };
    tokio::spawn(subscribe_any(state.store.clone(), hello, controls, |_| {}));
    tokio::spawn(report_loads(state.clone()));
    tokio::spawn(update_queues(state.clone()));
    let forward = state.forward.clone();
    let on_totals = move |totals| forward.servers().record_totals(totals);
    tokio::spawn(
        state
            .rate
            .clone()
            .watch_roster(state.store.clone(), on_totals),
    );
    tokio::spawn(report_readiness(state.store.clone(), health.clone()));
    let drain = Duration::from_millis(state.settings.drain_ms);
    let routes: Vec<Route> = FORWARDED_METHODS
        .iter()
        .map(|&method| Route::ranked(SERVICE_RANK, method, "/<_..>", handle))
        .collect();
    let server = server
        .manage(state)
        .mount("/", routes)
        .mount("/", batches::routes());
    let draining = DrainState::default();
    let server = server
        .attach(draining.count_requests())
        .attach(draining.close_connections());
    let (stopped, stopping) = oneshot::channel();
    info!("listening on {listen}");
    let serving = serve(server, &listen, |shutdown| {
        tokio::spawn(async move {
            stop_gracefully(shutdown, health, draining, drain, grace).await;
            // The receiver is gone if the server has already ended.
            let _ = stopped.send(());
        });
    });
    tokio::select! {
        served = serving => served,
        Ok(()) = stopping => Ok(()),
    }
}

/// Waits for a stop signal and shuts the server down.
///
/// Readiness fails at once, so that the load balancer stops sending requests. The listener closes after
/// the drain time. Running requests then have the grace period to finish.
async fn stop_gracefully(
    shutdown: rocket::Shutdown,
    health: HealthState,
    draining: DrainState,
    drain: Duration,
    grace: Duration,
) {
    wait_for_stop_signal().await;
    info!("shutting down: not ready, accepting connections for another {drain:?}");
    health.set_ready(false);
    draining.start();
    sleep(drain).await;
    shutdown.notify();
    match timeout(grace, draining.wait_until_idle()).await {
        Ok(()) => info!("shutdown complete: no requests in flight"),
        Err(_) => warn!("shutdown grace period of {grace:?} exceeded: requests still in flight"),
    }
}

fn route_policy(policy: EntrySettingsPolicy) -> RoutePolicy {
    match policy {
        EntrySettingsPolicy::PrefixBounded => RoutePolicy::PrefixBounded,
        EntrySettingsPolicy::LeastInFlight => RoutePolicy::LeastInFlight,
        EntrySettingsPolicy::RoundRobin => RoutePolicy::RoundRobin,
        EntrySettingsPolicy::PrefixOnly => RoutePolicy::PrefixOnly,
    }
}

/// Sets the process ready once the platform has confirmed a configuration.
async fn report_readiness(store: Arc<SnapshotStore>, health: HealthState) {
    let mut changes = store.subscribe();
    while store.age().is_none() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    health.set_ready(true);
}

/// Handles a request to a service, and records the status and the time until the response is ready.
fn handle<'r>(request: &'r Request<'_>, data: Data<'r>) -> BoxFuture<'r> {
    Box::pin(async move {
        let state = request
            .rocket()
            .state::<EntryState>()
            .expect("state is managed");
        let caller = match CallerRequest::from_request(request).await {
            RouteOutcome::Success(caller) => caller,
            _ => return rocket::route::Outcome::error(rocket::http::Status::BadRequest),
        };
        let started = Instant::now();
        let id = caller.id.clone();
        let response = match serve_request(state, caller, data).await {
            Ok(response) => response,
            Err(refusal) => {
                info!(
                    "request {id} failed: {}: {}",
                    refusal.reason.name(),
                    refusal.detail
                );
                CallerResponse::refusal(&refusal, &id)
            }
        };
        counter!("requests_total", "status" => response.status.to_string()).increment(1);
        histogram!("answer_seconds").record(started.elapsed().as_secs_f64());
        rocket::route::Outcome::from(request, response)
    })
}

async fn serve_request(
    state: &EntryState,
    caller: CallerRequest,
    data: Data<'_>,
) -> Result<CallerResponse, RefusalResponse> {
    check_config_age(state.store.age(), state.settings.max_config_age_ms)?;
    let snapshot = state.store.load();
    let route = find_route(&snapshot, &caller)?;
    let identity = if route.open {
        None
    } else {
        Some(identify(&snapshot, caller.key.as_deref())?)
    };
    if let Some(identity) = &identity {
        check_workspace_access(&route.service, &identity.workspace.name)?;
    }
    let body = read_body(data, state.settings.body_limit_kib).await?;
    let parsed = serde_json::from_slice::<Value>(&body).ok();
    check_key_exposure(&caller, &body, parsed.as_ref())?;
    if route.service.is_engine && parsed.is_none() && caller.method == Method::Post {
        return Err(RefusalResponse::not_run(
            RefusalReason::RequestMalformed,
            "body is not valid JSON",
        ));
    }
    let request = build_request(state, caller, route, &identity, body, parsed.as_ref());
    let permit = enter_queue(state, &request, identity.as_ref()).await?;
    // The token is taken last, so that a granted request is sent at once rather than after waiting for
    // capacity.
    if let Some(identity) = &identity {
        state
            .rate
            .take_token(&state.store, &identity.workspace)
            .await?;
    }
    run_request(state, request, identity, permit).await
}

/// Waits until the service has capacity for the request, in the order that the `queue` setting selects.
async fn enter_queue(
    state: &EntryState,
    request: &OutgoingRequest,
    identity: Option<&CallerIdentity>,
) -> Result<RequestPermit, RefusalResponse> {
    let workspace = identity.map(|identity| &identity.workspace);
    if let Some(workspace) = workspace {
        state.rate.check_cached_refusal(workspace)?;
    }
    let service = &request.route.service;
    let by_workspace = workspace.filter(|_| state.settings.queue == EntrySettingsQueue::Fair);
    let queued = QueueRequest {
        // Requests with the same hash run in the order of their arrival. With zero for all workspaces,
        // the fair queue becomes a FIFO queue.
        workspace: by_workspace.map_or(0, |workspace| workspace.limit.hash),
        weight: by_workspace.map_or(1, |workspace| workspace.weight),
        deadline: request.deadline,
    };
    let capacity = match state.settings.queue {
        EntrySettingsQueue::None => u32::MAX,
        EntrySettingsQueue::Fair | EntrySettingsQueue::Fifo => {
            state.forward.servers().capacity(service)
        }
    };
    state
        .queues
        .find(&service.name)
        .enter(queued, capacity)
        .await
}

/// Builds the request to the backend server; its deadline is the caller's timeout, at most the configured
/// request timeout.
fn build_request(
    state: &EntryState,
    caller: CallerRequest,
    route: RequestRoute,
    identity: &Option<CallerIdentity>,
    body: Bytes,
    parsed: Option<&Value>,
) -> OutgoingRequest {
    let workspace = identity
        .as_ref()
        .map(|identity| identity.workspace.name.clone())
        .unwrap_or_default();
    let limit = Duration::from_millis(state.settings.request_timeout_ms);
    let caller_timeout = caller
        .timeout
        .map_or(limit, |requested| requested.min(limit));
    let chat = parsed.filter(|_| route.service.is_engine);
    OutgoingRequest {
        prefix: chat.and_then(|body| prefix_hash(&workspace, body)),
        streamed: chat.is_some_and(|body| body["stream"] == json!(true)),
        deadline: Instant::now() + caller_timeout,
        caller,
        route,
        workspace,
        body,
    }
}

async fn read_body(data: Data<'_>, limit_kib: u32) -> Result<Bytes, RefusalResponse> {
    let read = data.open(limit_kib.kibibytes()).into_bytes().await;
    let malformed = |error: std::io::Error| {
        RefusalResponse::not_run(RefusalReason::RequestMalformed, error.to_string())
    };
    let body = read.map_err(malformed)?;
    if !body.is_complete() {
        let detail = format!("body is larger than {limit_kib} KiB");
        return Err(RefusalResponse::not_run(
            RefusalReason::BodyTooLarge,
            detail,
        ));
    }
    Ok(body.into_inner().into())
}
