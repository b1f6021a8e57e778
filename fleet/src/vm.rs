//! Starts and stops all parts of one VM.

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
        wait_for_stop,
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
        timeout, //
    },
};

use crate::{
    handover,
    heartbeat::HeartbeatSocket,
    item_scheduler::ItemScheduler,
    listener::{
        self,
        CallerConnections, //
    },
    peers,
    retirement,
    state::FleetState,
    store_watch,
    takeover,
    wire::WireFormat, //
};

/// Kind of the objects by which VMs find each other.
const MEMBER_KIND: &str = "fleet-members";

/// Longest time for one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause between looks at whether this VM can serve.
const READY_PERIOD: Duration = Duration::from_millis(20);

/// Time after the start in which the other VMs are heard.
const RESTART_WAIT: Duration = Duration::from_millis(350);

/// Pause after a failed registration.
const REGISTER_PAUSE: Duration = Duration::from_millis(400);

/// Time before the end of the grace period at which the process ends.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Time for which the readiness check fails before the process ends at the earliest.
const LEAVE_TIME: Duration = Duration::from_millis(2500);

/// What a VM registers.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
struct MemberRecord {
    address: String,
    domain: String,
}

/// Runs all parts of a VM until the process is told to stop; `reload` reads the settings anew.
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
        () = wait_for_stop() => {}
        () = reload_settings(&state, reload) => {}
    }
    stop(&state, &connections).await;
    Ok(())
}

/// Reads the settings anew whenever the process is told to. Addresses stay as they were at the start;
/// seeds are asked for VMs that this one doesn't know.
async fn reload_settings(state: &FleetState, reload: impl Fn() -> Result<VmSettings, ServeError>) {
    let mut reloads = ReloadSignal::install();
    while reloads.next().await {
        match reload() {
            Ok(settings) => {
                info!(seeds = settings.seeds.len(); "settings read anew");
                state.set_seeds(settings.seeds);
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "settings not taken over");
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
            let starting =
                || ServeError::Unreachable(Step::Connect, "vm".into(), "not started".into());
            let state = state.ok_or_else(starting)?;
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
    // Set once, here.
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
        tokio::spawn(listener::serve_metrics(meters, metrics_listener));
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
    tokio::spawn(store_watch::expire_old(state.clone()));
    tokio::spawn(register(state.clone()));
    tokio::spawn(Arc::new(ItemScheduler::default()).run(state.clone()));
    tokio::spawn(takeover::watch_runners(state.clone()));
    tokio::spawn(takeover::find_orphans(state.clone()));
    tokio::spawn(watch_readiness(state.clone()));
    if !state.settings.first_start {
        tokio::spawn(add_restart_tokens(state.clone()));
    }
    Ok(())
}

/// Lets workspaces use a part of the tolerance of their rates when the whole fleet has started anew.
async fn add_restart_tokens(state: Arc<FleetState>) {
    sleep(RESTART_WAIT).await;
    let now = Instant::now();
    let view = state.fleet_view(now);
    if lock(&state.members).is_fleet_restarted(now) {
        info!(heard = view.reporting, fleet = view.size; "fleet has started anew");
        lock(&state.rate_limiter).add_restart_tokens(view, now);
    }
}

fn start_peers(state: &Arc<FleetState>, socket: UdpSocket) {
    let beats = Arc::new(HeartbeatSocket::new(state.clone(), socket));
    let (sender, receiver, joiner) = (beats.clone(), beats.clone(), beats);
    tokio::spawn(async move { sender.send_heartbeats().await });
    tokio::spawn(async move { receiver.receive_heartbeats().await });
    tokio::spawn(async move { joiner.join().await });
}

/// Registers this VM in the platform's store and learns which others there are.
async fn register(state: Arc<FleetState>) {
    let record = MemberRecord {
        address: format!("{}:{}", state.settings.address, state.settings.peer_port),
        domain: state.settings.domain.clone(),
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    let name = &state.settings.vm;
    loop {
        match register_once(&state, name, &value).await {
            Ok(()) => return,
            Err(error) => {
                warn!(error = error.to_string().as_str(); "not registered yet");
                sleep(REGISTER_PAUSE).await;
            }
        }
    }
}

async fn register_once(
    state: &FleetState,
    name: &str,
    value: &serde_json::Value,
) -> Result<(), ServeError> {
    let (known, _) = state.platform.list(MEMBER_KIND, |object| object).await?;
    let now = Instant::now();
    for object in &known {
        let record: MemberRecord = serde_json::from_value(object.spec.clone()).unwrap_or_default();
        let info = MemberInfo {
            vm: object.name.clone(),
            address: record.address.into(),
            domain: record.domain.into(),
            ..Default::default()
        };
        lock(&state.members).add_member(info, now);
    }
    let own = known.iter().find(|object| object.name == name);
    let expected = match own {
        Some(object) if object.spec == *value => return Ok(()),
        Some(object) => Expected::At(object.version),
        None => Expected::Absent,
    };
    state
        .platform
        .put_settled(MEMBER_KIND, name, expected, "", value)
        .await
        .map(|_| ())
}

/// Welcomes connections once this VM knows what to do with them.
async fn watch_readiness(state: Arc<FleetState>) {
    let started = Instant::now();
    while state.catalog.version() == 0 || state.backends.read(|table| table.through()) == 0 {
        sleep(READY_PERIOD).await;
    }
    info!(after_ms = millis(started.elapsed()); "able to serve");
    state.set_ready(true);
}

/// Ends what runs without cutting it: no new connections, jobs to others, running requests to their end.
async fn stop(state: &Arc<FleetState>, connections: &CallerConnections) {
    info!("stopping");
    let started = Instant::now();
    state.begin_shutdown();
    handover::hand_over_all(state).await;
    let grace = Duration::from_secs_f64(state.settings.grace_s).saturating_sub(END_MARGIN);
    if !state.settings.callers.is_empty() {
        sleep(LEAVE_TIME.saturating_sub(started.elapsed())).await;
    }
    let remaining = grace.saturating_sub(started.elapsed());
    let ended = match state.settings.callers.is_empty() {
        true => Ok(()),
        false => timeout(remaining, connections.end()).await,
    };
    if ended.is_err() {
        warn!("connections were still open at the end of the grace period");
    }
    info!(after_ms = millis(started.elapsed()); "stopped");
}
