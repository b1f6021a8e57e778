//! Wires the entry process and answers its requests.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    answer::StreamEvent,
    error::ServeError,
    feed::{
        follow_any,
        SnapshotStore, //
    },
    generated::messages::Hello,
    platform::PlatformClient,
    process::{
        http_server,
        serve,
        wait_for_stop,
        HealthState, //
    },
    queue::QueueRequest,
    refusal::{
        RefusalAnswer,
        RefusalReason, //
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
use futures_util::StreamExt;
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
    response::stream::stream,
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
    sync::{
        oneshot,
        watch, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    admit::{
        check_age,
        check_exposure,
        check_key,
        check_workspace,
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
        AnswerStream,
        CheckedAnswer,
        ForwardClient,
        OutgoingRequest,
        SharedForward, //
    },
    gate::{
        GatePermit,
        GateTable, //
    },
    rate::RateClient,
    record::{
        begin_run,
        RecordHandle,
        RecordedAnswer,
        RunPermit, //
    },
    reply::{
        EntryReply,
        ReplyBody,
        ReplyStream, //
    },
    share::{
        share_loads,
        update_gates, //
    }, //
};

/// Methods that are passed on to services.
const METHODS: [Method; 5] = [
    Method::Get,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
];

/// Rank of the routes to services, after all of this process's own.
const SERVICE_RANK: isize = 30;

/// What the handlers share.
#[derive(Clone)]
pub(crate) struct EntryState {
    /// Settings of the process.
    pub(crate) settings: Arc<EntrySettings>,
    /// Configuration in force.
    pub(crate) store: Arc<SnapshotStore>,
    /// Client of the platform.
    pub(crate) platform: PlatformClient,
    /// Takes tokens of the workspaces' rates.
    pub(crate) rate: RateClient,
    /// Sends requests to backend servers.
    pub(crate) forward: SharedForward,
    /// Holds requests back while a service is short of capacity.
    pub(crate) gates: GateTable,
}

/// Runs the entry process until it is told to stop and every request has ended.
pub(crate) async fn run_entry(settings: EntrySettings) -> Result<(), ServeError> {
    let health = HealthState::install();
    let grace = Duration::from_millis(settings.shutdown_grace_ms);
    let listen = format!("{}:{}", settings.address, settings.port);
    let server = http_server(&settings.address, settings.port, grace, health.clone())?;
    let state = EntryState {
        store: Arc::default(),
        platform: PlatformClient::new(&settings.platform),
        rate: RateClient::new(&settings.vm),
        gates: GateTable::default(),
        forward: Arc::new(ForwardClient::new(policy_of(settings.policy), &settings)),
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
    tokio::spawn(follow_any(state.store.clone(), hello, controls, |_| {}));
    tokio::spawn(share_loads(state.clone()));
    tokio::spawn(update_gates(state.clone()));
    let forward = state.forward.clone();
    let on_totals = move |totals| forward.servers().note_totals(totals);
    tokio::spawn(
        state
            .rate
            .clone()
            .follow_roster(state.store.clone(), on_totals),
    );
    tokio::spawn(report_readiness(state.store.clone(), health.clone()));
    let drain = Duration::from_millis(state.settings.drain_ms);
    let routes: Vec<Route> = METHODS
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
            // An error means that the server has ended first.
            let _ = stopped.send(());
        });
    });
    tokio::select! {
        served = serving => served,
        Ok(()) = stopping => Ok(()),
    }
}

/// Fails readiness so that the balancer turns away, closes the listener after the drain time, and
/// waits for the running requests.
async fn stop_gracefully(
    shutdown: rocket::Shutdown,
    health: HealthState,
    draining: DrainState,
    drain: Duration,
    grace: Duration,
) {
    wait_for_stop().await;
    info!("stopping: no longer ready, new connections are taken for {drain:?}");
    health.set_ready(false);
    draining.start();
    sleep(drain).await;
    shutdown.notify();
    match timeout(grace, draining.wait_until_idle()).await {
        Ok(()) => info!("stopped: every request has ended"),
        Err(_) => warn!("stopped: requests were still running after {grace:?}"),
    }
}

fn policy_of(policy: EntrySettingsPolicy) -> RoutePolicy {
    match policy {
        EntrySettingsPolicy::PrefixBounded => RoutePolicy::PrefixBounded,
        EntrySettingsPolicy::LeastInFlight => RoutePolicy::LeastInFlight,
        EntrySettingsPolicy::RoundRobin => RoutePolicy::RoundRobin,
        EntrySettingsPolicy::PrefixOnly => RoutePolicy::PrefixOnly,
    }
}

async fn report_readiness(store: Arc<SnapshotStore>, health: HealthState) {
    let mut changes = store.subscribe();
    while store.age().is_none() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    health.set_ready(true);
}

/// Serves a request to a service.
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
        let reply = match serve_request(state, caller, data).await {
            Ok(reply) => reply,
            Err(answer) => {
                info!("request {id}: {}: {}", answer.reason.name(), answer.detail);
                EntryReply::refusal(&answer, &id)
            }
        };
        counter!("requests_total", "status" => reply.status.to_string()).increment(1);
        histogram!("answer_seconds").record(started.elapsed().as_secs_f64());
        rocket::route::Outcome::from(request, reply)
    })
}

async fn serve_request(
    state: &EntryState,
    caller: CallerRequest,
    data: Data<'_>,
) -> Result<EntryReply, RefusalAnswer> {
    check_age(state.store.age(), state.settings.max_config_age_ms)?;
    let snapshot = state.store.load();
    let route = find_route(&snapshot, &caller)?;
    let identity = if route.open {
        None
    } else {
        Some(identify(&snapshot, caller.key.as_deref())?)
    };
    if let Some(identity) = &identity {
        check_workspace(&route.service, &identity.workspace.name)?;
    }
    let body = read_body(data, state.settings.body_limit_kib).await?;
    let parsed = serde_json::from_slice::<Value>(&body).ok();
    check_exposure(&caller, &body, parsed.as_ref())?;
    if route.service.is_engine && parsed.is_none() && caller.method == Method::Post {
        return Err(RefusalAnswer::not_run(
            RefusalReason::RequestMalformed,
            "body is no JSON",
        ));
    }
    let request = outgoing(state, caller, route, &identity, body, parsed.as_ref());
    let permit = enter_gate(state, &request, identity.as_ref()).await?;
    // The token comes last: the request leaves at once, and not after waiting for capacity.
    if let Some(identity) = &identity {
        state.rate.take(&state.store, &identity.workspace).await?;
    }
    run_request(state, request, identity, permit).await
}

/// Waits until the service has capacity for the request.
async fn enter_gate(
    state: &EntryState,
    request: &OutgoingRequest,
    identity: Option<&CallerIdentity>,
) -> Result<GatePermit, RefusalAnswer> {
    let workspace = identity.map(|identity| &identity.workspace);
    if let Some(workspace) = workspace {
        state.rate.check_known(workspace)?;
    }
    let service = &request.route.service;
    let by_workspace = workspace.filter(|_| state.settings.queue == EntrySettingsQueue::Fair);
    let queued = QueueRequest {
        // All requests of one tag are served in the order in which they came.
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
        .gates
        .find(&service.name)
        .enter(queued, capacity)
        .await
}

fn outgoing(
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
    let patience = caller.timeout.map_or(limit, |named| named.min(limit));
    let chat = parsed.filter(|_| route.service.is_engine);
    OutgoingRequest {
        prefix: chat.and_then(|body| prefix_hash(&workspace, body)),
        streamed: chat.is_some_and(|body| body["stream"] == json!(true)),
        deadline: Instant::now() + patience,
        caller,
        route,
        workspace,
        body,
    }
}

/// Runs an admitted request, at most once in all when it carries an idempotency key.
async fn run_request(
    state: &EntryState,
    request: OutgoingRequest,
    identity: Option<CallerIdentity>,
    permit: GatePermit,
) -> Result<EntryReply, RefusalAnswer> {
    let record = match (&request.caller.idempotency_key, request.route.idempotent) {
        (Some(key), false) => {
            let parts: [&[u8]; 3] = [
                request.caller.method.as_str().as_bytes(),
                request.caller.path.as_bytes(),
                &request.body, //
            ];
            match begin_run(
                &state.platform,
                &request.workspace,
                key,
                &parts,
                &request.caller.id,
            )
            .await?
            {
                RunPermit::First(record) => Some(record),
                RunPermit::Ended(answer) => return Ok(recorded_reply(&request.caller.id, answer)),
            }
        }
        _ => None,
    };
    let forward = state.forward.clone();
    let id = request.caller.id.clone();
    let Some(record) = record else {
        let answer = run_guarded(state, &forward, &request, identity.as_ref()).await?;
        return Ok(to_reply(state, &request, identity, answer, permit));
    };
    // A recorded run goes on when its caller hangs up, so that a resend finds the answer.
    let running = tokio::spawn(async move { run_recorded(&forward, &request, record).await });
    match running.await {
        Ok(answer) => answer.map(|answer| recorded_reply(&id, answer)),
        Err(error) => Err(RefusalAnswer::unknown(
            RefusalReason::ServerFailed,
            error.to_string(),
        )),
    }
}

async fn run_recorded(
    forward: &ForwardClient,
    request: &OutgoingRequest,
    record: RecordHandle,
) -> Result<RecordedAnswer, RefusalAnswer> {
    match forward.run(request).await {
        Ok(CheckedAnswer::Whole {
            status,
            content_type,
            body,
        }) => {
            let answer = RecordedAnswer {
                status,
                content_type,
                body,
            };
            record.record_answer(&answer).await;
            Ok(answer)
        }
        Ok(CheckedAnswer::Stream(_)) => {
            let detail = "idempotency-key does not go with a stream";
            Err(RefusalAnswer::unknown(
                RefusalReason::RequestMalformed,
                detail,
            ))
        }
        Err(answer) => {
            if answer.state == boragerill::refusal::RunState::NotRun {
                record.withdraw().await;
            }
            Err(answer)
        }
    }
}

/// Runs a request and gives it up when its key is withdrawn meanwhile.
async fn run_guarded(
    state: &EntryState,
    forward: &ForwardClient,
    request: &OutgoingRequest,
    identity: Option<&CallerIdentity>,
) -> Result<CheckedAnswer, RefusalAnswer> {
    let Some(identity) = identity else {
        return forward.run(request).await;
    };
    let mut changes = state.store.subscribe();
    tokio::select! {
        answer = forward.run(request) => answer,
        refused = wait_for_withdrawal(&state.store, &mut changes, identity) => Err(refused),
    }
}

/// Waits until a key no longer works, and returns the refusal for its running request.
async fn wait_for_withdrawal(
    store: &SnapshotStore,
    changes: &mut watch::Receiver<u64>,
    identity: &CallerIdentity,
) -> RefusalAnswer {
    loop {
        if let Err(refused) = check_key(&store.load(), &identity.hash) {
            return RefusalAnswer::unknown(refused.reason, refused.detail);
        }
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn to_reply(
    state: &EntryState,
    request: &OutgoingRequest,
    identity: Option<CallerIdentity>,
    answer: CheckedAnswer,
    permit: GatePermit,
) -> EntryReply {
    let id = request.caller.id.clone();
    match answer {
        CheckedAnswer::Whole {
            status,
            content_type,
            body,
        } => recorded_reply(
            &id,
            RecordedAnswer {
                status,
                content_type,
                body,
            },
        ),
        CheckedAnswer::Stream(answer) => EntryReply {
            status: 200,
            headers: vec![
                ("content-type", "text/event-stream".into()),
                ("x-request-id", id.clone()),
            ],
            body: ReplyBody::Stream(pass_on(state.clone(), id, identity, answer, permit)),
        },
    }
}

fn recorded_reply(id: &CompactString, answer: RecordedAnswer) -> EntryReply {
    EntryReply {
        status: answer.status,
        headers: vec![
            ("content-type", answer.content_type),
            ("x-request-id", id.clone()),
        ],
        body: ReplyBody::Whole(answer.body),
    }
}

/// Passes an engine's events on; a stream that can't be completed ends with an error event and
/// without the end marker.
fn pass_on(
    state: EntryState,
    id: CompactString,
    identity: Option<CallerIdentity>,
    mut answer: Box<AnswerStream>,
    permit: GatePermit,
) -> ReplyStream {
    let patience = Duration::from_millis(state.settings.request_timeout_ms);
    stream! {
        let _permit = permit;
        let mut changes = state.store.subscribe();
        let mut event = answer.first.clone();
        loop {
            match event {
                StreamEvent::Done(bytes) => {
                    yield bytes;
                    return;
                }
                StreamEvent::Part(bytes) => yield bytes,
            }
            let next = next_event(&state, &mut changes, identity.as_ref(), &mut answer, patience).await;
            event = match next {
                Ok(event) => event,
                Err(refused) => {
                    info!("request {id}: stream from {} broke: {}", answer.server, refused.detail);
                    refused.count();
                    yield Bytes::from(format!("data: {}\n\n", refused.body(&id)));
                    return;
                }
            };
        }
    }
    .boxed()
}

async fn next_event(
    state: &EntryState,
    changes: &mut watch::Receiver<u64>,
    identity: Option<&CallerIdentity>,
    answer: &mut AnswerStream,
    patience: Duration,
) -> Result<StreamEvent, RefusalAnswer> {
    let withdrawn = async {
        match identity {
            Some(identity) => wait_for_withdrawal(&state.store, changes, identity).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        event = timeout(patience, read_event(answer)) => {
            event.unwrap_or_else(|_| Err(RefusalAnswer::unknown(RefusalReason::DeadlinePassed, "no further event")))
        }
        refused = withdrawn => Err(refused),
    }
}

async fn read_event(answer: &mut AnswerStream) -> Result<StreamEvent, RefusalAnswer> {
    let broken = |detail: String| RefusalAnswer::unknown(RefusalReason::ServerFailed, detail);
    loop {
        match answer.scanner.next_event() {
            Ok(Some(event)) => return Ok(event),
            Ok(None) => {}
            Err(fault) => return Err(broken(format!("stream {fault:?}"))),
        }
        match answer.response.chunk().await {
            Ok(Some(bytes)) => answer.scanner.push(&bytes),
            Ok(None) => return Err(broken("stream ended without its end marker".to_owned())),
            Err(error) => return Err(broken(error.to_string())),
        }
    }
}

async fn read_body(data: Data<'_>, limit_kib: u32) -> Result<Bytes, RefusalAnswer> {
    let read = data.open(limit_kib.kibibytes()).into_bytes().await;
    let malformed = |error: std::io::Error| {
        RefusalAnswer::not_run(RefusalReason::RequestMalformed, error.to_string())
    };
    let body = read.map_err(malformed)?;
    if !body.is_complete() {
        let detail = format!("body is larger than {limit_kib} KiB");
        return Err(RefusalAnswer::not_run(RefusalReason::BodyTooLarge, detail));
    }
    Ok(body.into_inner().into())
}
