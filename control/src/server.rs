//! Starts the control process, and serves framed messages to peers and to the processes of the own VM.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    config::{
        split_delta,
        Version, //
    },
    error::{
        ServeError,
        Step, //
    },
    feed::CONFIRM_PERIOD,
    frame::{
        FrameInbox,
        FrameLink, //
    },
    generated::messages::{
        envelope::Body,
        ConfigDelta, //
    },
    process::{
        http_server,
        serve,
        wait_for_stop_signal,
        HealthState, //
    },
    settings::ControlSettings,
    timer::TimerService, //
};
use compact_str::{
    CompactString,
    ToCompactString, //
};
use log::info;
use tokio::{
    net::TcpListener,
    sync::{
        broadcast::error::RecvError,
        mpsc, //
    },
    time::interval, //
};

use crate::{
    hub::{
        ControlHub,
        HubChange, //
    },
    membership::maintain_roster,
    peers::{
        send_heartbeats, //
        subscribe_to_peers,
    },
    status::write_statuses,
    watcher::watch_platform, //
};

/// Capacity of the queue of statuses to be written.
const STATUS_QUEUE_CAPACITY: usize = 1024;

/// Time that HTTP requests in flight get to complete on shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// Runs the control process until it receives a stop signal.
pub(crate) async fn run_control(settings: ControlSettings) -> Result<(), ServeError> {
    let health = HealthState::install();
    let http = http_server(
        &settings.address,
        settings.http_port,
        SHUTDOWN_GRACE,
        health.clone(),
    )?;
    let http_listen = format!("{}:{}", settings.address, settings.http_port);
    let listen = format!("{}:{}", settings.address, settings.port);
    let listener = TcpListener::bind(&listen).await.map_err(|error| {
        ServeError::Unreachable(
            Step::Listen,
            listen.as_str().into(),
            error.to_compact_string(),
        )
    })?;
    let hub = Arc::new(ControlHub::new(settings));
    let (statuses, status_requests) = mpsc::channel(STATUS_QUEUE_CAPACITY);
    tokio::spawn(write_statuses(hub.clone(), status_requests));
    tokio::spawn(watch_platform(hub.clone(), statuses));
    tokio::spawn(subscribe_to_peers(hub.clone()));
    tokio::spawn(run_periodic_tasks(hub.clone()));
    tokio::spawn(accept_links(hub.clone(), listener));
    tokio::spawn(report_readiness(hub, health));
    info!("listening on {listen}, health on {http_listen}");
    tokio::select! {
        served = serve(http, &http_listen, |_| {}) => served,
        () = wait_for_stop_signal() => Ok(()),
    }
}

async fn run_periodic_tasks(hub: Arc<ControlHub>) {
    let mut heartbeat_timer = TimerService::default();
    let mut roster_timer = TimerService::default();
    tokio::join!(
        send_heartbeats(hub.clone(), &mut heartbeat_timer),
        maintain_roster(hub, &mut roster_timer)
    );
}

/// Reports the process as ready once it has received the configuration.
async fn report_readiness(hub: Arc<ControlHub>, health: HealthState) {
    let mut changes = hub.store.subscribe();
    while hub.store.age().is_none() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    health.set_ready(true);
}

async fn accept_links(hub: Arc<ControlHub>, listener: TcpListener) {
    loop {
        // A failed accept affects one connection only.
        let Ok((stream, address)) = listener.accept().await else {
            continue;
        };
        let (link, inbox) = FrameLink::open(stream, &address.to_compact_string());
        tokio::spawn(serve_link(hub.clone(), link, inbox));
    }
}

async fn serve_link(hub: Arc<ControlHub>, link: FrameLink, mut inbox: FrameInbox) {
    let mut vm = CompactString::default();
    while let Some(envelope) = inbox.recv().await {
        match envelope.body {
            Some(Body::Hello(hello)) => {
                if hello.takes_loads {
                    hub.add_load_subscriber(link.clone());
                }
                vm = hello.vm.into();
            }
            Some(Body::LoadShare(load)) => {
                hub.forward_load(&load);
                // A lost response is replaced by the response to the next load report.
                let _ = link.push(0, Body::LoadTotals(hub.record_loads(&load)));
            }
            Some(Body::Subscribe(subscribe)) => {
                tokio::spawn(feed_subscriber(hub.clone(), link.clone(), subscribe.after));
            }
            Some(Body::ShareLend(grant)) if !vm.is_empty() => {
                hub.record_feeder(&vm, grant.feeds);
                hub.lock_share().receive_grant(&vm, grant, Instant::now());
            }
            Some(Body::TokenAsk(request)) => {
                let response = hub.answer_token_request(&request);
                // The tokens of a lost response are lost; the requester sends a new request.
                let _ = link.push(envelope.id, Body::TokenAnswer(response));
            }
            _ => {}
        }
    }
}

/// Sends the configuration after version `after` to a subscriber, then every change, and confirmations while
/// nothing changes.
async fn feed_subscriber(hub: Arc<ControlHub>, link: FrameLink, after: Version) {
    let mut sent_through = after;
    let mut ticks = interval(CONFIRM_PERIOD);
    loop {
        let (missing, mut changes) = hub.subscribe(sent_through);
        for delta in missing {
            if !send_delta(&link, delta, &mut sent_through).await {
                return;
            }
        }
        loop {
            let delta = tokio::select! {
                change = changes.recv() => match change.as_deref() {
                    Ok(HubChange::Delta(delta)) => delta.clone(),
                    Ok(HubChange::Relisted) | Err(RecvError::Lagged(_)) => break,
                    Err(RecvError::Closed) => return,
                },
                _ = ticks.tick() => {
                    // The message is lost only together with the connection, which ends the feed.
                    let _ = link.push(0, Body::FeederList(hub.feeder_list()));
                    hub.confirmation(sent_through)
                }
            };
            if !send_delta(&link, delta, &mut sent_through).await {
                return;
            }
        }
    }
}

/// Sends a delta in parts and updates the version sent so far; returns false when the connection has closed.
async fn send_delta(link: &FrameLink, delta: ConfigDelta, sent_through: &mut Version) -> bool {
    if !delta.partial {
        *sent_through = (*sent_through).max(delta.through);
    }
    for part in split_delta(delta) {
        if link
            .push_with_backpressure(Body::ConfigDelta(part))
            .await
            .is_err()
        {
            return false;
        }
    }
    true
}
