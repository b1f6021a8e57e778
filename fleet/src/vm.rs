//! Starts and stops all components of one VM.

use std::{
    sync::{
        Arc,
        OnceLock,
        Weak, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    api::{
        ApiCodec,
        ApiRelay,
        Expected, //
    },
    error::{
        ServeError,
        Step, //
    },
    member::MemberInfo,
    meter::MeterRecorder,
    platform::{
        ClientOptions,
        PlatformClient, //
    },
    process::{
        wait_for_stop_signal,
        ReloadSignal, //
    },
    settings::VmSettings,
    sync::lock,
    timer::millis, //
};
use compact_str::ToCompactString;
use log::{
    info,
    warn, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    net::UdpSocket,
    time::{
        sleep,
        timeout_at, //
    },
};

use crate::{
    handover,
    heartbeat::HeartbeatSocket,
    item_scheduler::ItemScheduler,
    job_reads::parse_object,
    job_watch,
    listener::{
        self,
        CallerConnections, //
    },
    peers,
    quarantine_store,
    retirement,
    state::{
        advertised_address,
        FleetState, //
    },
    state_fetch,
    store_watch,
    takeover,
    version_store,
    wire::WireFormat, //
};

/// Kind of the platform's objects in which VMs register their addresses.
const MEMBER_KIND: &str = "fleet-members";

/// Timeout of one platform request.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval of the checks for readiness.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time after the start within which heartbeats of all reachable VMs arrive.
const FLEET_RESTART_WAIT: Duration = Duration::from_millis(350);

/// Delay before a failed registration is retried.
const REGISTER_BACKOFF: Duration = Duration::from_millis(400);

/// Shortest time between the first failing readiness check and the end of the process.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(2500);

/// Registration of a VM in the platform's store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
struct MemberRecord {
    address: String,
    domain: String,
}

/// Runs all components of a VM until the process receives a stop signal; `reload` reads the settings again.
///
/// # Errors
///
/// Returns `ServeError::Unreachable` at step `Listen` when an address can't be bound.
pub async fn run_vm(
    settings: VmSettings,
    format: WireFormat,
    codec: ApiCodec,
    reload: impl Fn() -> Result<VmSettings, ServeError>,
) -> Result<(), ServeError> {
    let state = make_state(settings, format, codec);
    let connections = Arc::new(CallerConnections::default());
    start_parts(&state, &connections).await?;
    info!(vm = state.settings.vm.as_str(), incarnation = state.incarnation; "started");
    tokio::select! {
        () = wait_for_stop_signal() => {}
        () = reload_settings(&state, reload) => {}
    }
    stop(&state, &connections).await;
    Ok(())
}

/// Reloads the settings on each reload signal. Only the seeds take effect; addresses stay as they were at the
/// start.
async fn reload_settings(state: &FleetState, reload: impl Fn() -> Result<VmSettings, ServeError>) {
    let mut reloads = ReloadSignal::install();
    while reloads.next().await {
        match reload() {
            Ok(settings) => {
                info!(seeds = settings.seeds.len(); "settings reloaded");
                state.set_seeds(settings.seeds);
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "reloading settings failed");
            }
        }
    }
}

fn make_state(settings: VmSettings, format: WireFormat, codec: ApiCodec) -> Arc<FleetState> {
    let own: Arc<OnceLock<Weak<FleetState>>> = Arc::default();
    let relay_own = own.clone();
    let relay: ApiRelay = Arc::new(move |request, limit| {
        let state = relay_own.get().and_then(Weak::upgrade);
        Box::pin(async move {
            let not_started =
                || ServeError::Unreachable(Step::Connect, "vm".into(), "not started".into());
            let state = state.ok_or_else(not_started)?;
            peers::relay_store(&state, request, limit).await
        })
    });
    let options = ClientOptions {
        codec,
        timeout: PLATFORM_TIMEOUT,
        relay: Some(relay),
    };
    let platform = PlatformClient::with_options(&settings.platform, options);
    let state = Arc::new(FleetState::new(settings, format, platform));
    // Can't fail: the cell is set only here.
    let _ = own.set(Arc::downgrade(&state));
    state
}

async fn start_parts(
    state: &Arc<FleetState>,
    connections: &Arc<CallerConnections>,
) -> Result<(), ServeError> {
    let settings = &state.settings;
    let peer_address = format!("{}:{}", settings.address, settings.peer_port);
    let socket = UdpSocket::bind(&peer_address).await.map_err(|error| {
        let peer = peer_address.as_str().into();
        ServeError::Unreachable(Step::Listen, peer, error.to_compact_string())
    })?;
    let peers_listener = listener::bind(&peer_address).await?;
    if settings.metrics_port > 0 {
        let address = format!("{}:{}", settings.address, settings.metrics_port);
        let metrics_listener = listener::bind(&address).await?;
        let meters = MeterRecorder::default();
        meters.install().map_err(|error| {
            ServeError::Unreachable(Step::Listen, address.into(), error.to_compact_string())
        })?;
        tokio::spawn(listener::serve_metrics(
            meters,
            state.resources.probes,
            metrics_listener,
        ));
    }
    if !settings.ready.is_empty() {
        let ready_listener = listener::bind(&settings.ready).await?;
        tokio::spawn(listener::serve_ready(state.clone(), ready_listener));
    }
    if !settings.callers.is_empty() {
        let callers_listener = listener::bind(&settings.callers).await?;
        tokio::spawn(connections.clone().accept(state.clone(), callers_listener));
    } else {
        tokio::spawn(retirement::watch_retirement(state.clone()));
    }
    start_peers(state, socket);
    tokio::spawn(peers::serve_peers(state.clone(), peers_listener));
    store_watch::start(state);
    state_fetch::start(state);
    tokio::spawn(store_watch::prune_periodically(state.clone()));
    tokio::spawn(register(state.clone()));
    tokio::spawn(Arc::new(ItemScheduler::default()).run(state.clone()));
    tokio::spawn(takeover::watch_runners(state.clone()));
    tokio::spawn(job_watch::watch_jobs(state.clone()));
    tokio::spawn(quarantine_store::keep_stored(state.clone()));
    tokio::spawn(version_store::keep_stored(state.clone()));
    tokio::spawn(watch_readiness(state.clone()));
    if !state.settings.first_start {
        tokio::spawn(add_restart_tokens(state.clone()));
    }
    Ok(())
}

/// Adds tokens from the tolerance of the rates to the buckets when the whole fleet has restarted.
async fn add_restart_tokens(state: Arc<FleetState>) {
    sleep(FLEET_RESTART_WAIT).await;
    let now = Instant::now();
    let view = state.fleet_view(now);
    if lock(&state.members).is_fleet_restarted(now) {
        info!(heard = view.reporting, fleet = view.size; "fleet restarted");
        lock(&state.rate_limiter).add_restart_tokens(view, now);
    }
}

fn start_peers(state: &Arc<FleetState>, socket: UdpSocket) {
    let heartbeats = Arc::new(HeartbeatSocket::new(state.clone(), socket));
    let (sender, receiver, joiner) = (heartbeats.clone(), heartbeats.clone(), heartbeats);
    tokio::spawn(async move { sender.send_heartbeats().await });
    tokio::spawn(async move { receiver.receive_heartbeats().await });
    tokio::spawn(async move { joiner.join().await });
}

/// Registers this VM in the platform's store and adds the other registered VMs, with retries.
async fn register(state: Arc<FleetState>) {
    let record = MemberRecord {
        address: advertised_address(&state.settings).into(),
        domain: state.settings.domain.clone(),
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    let name = &state.settings.vm;
    loop {
        match register_once(&state, name, &value).await {
            Ok(()) => {
                state.limits.record_registration();
                return;
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "registration failed");
                sleep(REGISTER_BACKOFF).await;
            }
        }
    }
}

async fn register_once(
    state: &FleetState,
    name: &str,
    value: &serde_json::Value,
) -> Result<(), ServeError> {
    // VMs that registered in the last seconds send heartbeats; what a stale list lacks of this VM's own entry only fails the
    // condition of the write.
    let known = state.platform.list_stale(MEMBER_KIND).await?;
    let now = Instant::now();
    for object in &known {
        let record: MemberRecord = match parse_object(&object.name, object.spec.clone()) {
            Ok(record) => record,
            Err(error) => {
                warn!(error = error.to_string().as_str(); "malformed registration of a VM");
                continue;
            }
        };
        let info = MemberInfo {
            vm: object.name.clone(),
            address: record.address.into(),
            domain: record.domain.into(),
            ..Default::default()
        };
        lock(&state.members).add_member(info, now);
    }
    state.cells.record_registrations();
    let own = known.iter().find(|object| object.name == name);
    let expected = match own {
        Some(object) if object.spec == *value => return Ok(()),
        Some(object) => Expected::At(object.version),
        None => Expected::Absent,
    };
    state
        .platform
        .put_confirmed(MEMBER_KIND, name, expected, "", value)
        .await
        .map(|_| ())
}

/// Sets the VM ready once it has a configuration, the list of backend servers, and that of the evacuated failure domains if
/// it follows them.
async fn watch_readiness(state: Arc<FleetState>) {
    let started = Instant::now();
    while state.catalog.version() == 0
        || state.backends.read(|table| table.through()) == 0
        || !state.evacuations.is_known()
    {
        sleep(READINESS_CHECK_INTERVAL).await;
    }
    info!(after_ms = millis(started.elapsed()); "ready to serve");
    state.set_ready(true);
}

/// Shuts down gracefully: hands jobs over to other VMs, then waits for open requests until the grace period ends.
async fn stop(state: &Arc<FleetState>, connections: &CallerConnections) {
    info!("stopping");
    let started = Instant::now();
    state.begin_shutdown();
    handover::hand_over_all(state).await;
    let end = state.stop_window().map_or(started, |window| window.end);
    if !state.settings.callers.is_empty() {
        sleep(MIN_SHUTDOWN_TIME.saturating_sub(started.elapsed())).await;
        let ended = tokio::select! {
            ended = timeout_at(end.into(), connections.drain()) => ended,
            () = handover::hand_over_later(state) => Ok(()),
        };
        if ended.is_err() {
            warn!("connections still open at the end of the grace period");
        }
        // A job may have been accepted with the last requests.
        if timeout_at(end.into(), handover::hand_over_all(state))
            .await
            .is_err()
        {
            warn!("jobs are left to takeovers");
        }
    }
    info!(after_ms = millis(started.elapsed()); "stopped");
}
