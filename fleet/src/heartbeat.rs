//! Heartbeats between VMs: datagrams with the sender's address and its requests at each backend server.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    generated::messages::Heartbeat,
    sync::lock,
    timer::TimerService, //
};
use log::warn;
use metrics::counter;
use prost::Message;
use tokio::{
    net::UdpSocket,
    time::sleep, //
};

use crate::{
    heartbeat_builder::HeartbeatBuilder,
    heartbeat_receiver::HeartbeatReceiver,
    state::FleetState, //
};

/// Period of heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);

/// Time for which changes are collected before they are sent together.
const COLLECT_TIME: Duration = Duration::from_millis(2);

/// Period of join requests to the seeds while no other VM is reachable.
const JOIN_PERIOD: Duration = Duration::from_millis(200);

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 32 * 1024;

/// Sends and receives heartbeats.
pub(crate) struct HeartbeatSocket {
    state: Arc<FleetState>,
    socket: UdpSocket,
    builder: HeartbeatBuilder,
    receiver: HeartbeatReceiver,
}

impl HeartbeatSocket {
    /// Creates a sender and receiver on a bound socket.
    pub(crate) fn new(state: Arc<FleetState>, socket: UdpSocket) -> HeartbeatSocket {
        HeartbeatSocket {
            builder: HeartbeatBuilder::new(state.clone()),
            receiver: HeartbeatReceiver::new(state.clone()),
            state,
            socket,
        }
    }

    /// Sends heartbeats periodically, and changes between them as soon as they occur.
    pub(crate) async fn send_heartbeats(&self) {
        let mut timer = TimerService::default();
        let mut ticks = timer.subscribe(HEARTBEAT_PERIOD);
        loop {
            tokio::select! {
                tick = ticks.next() => {
                    if tick.is_none() {
                        return;
                    }
                    self.receiver.record_missed_heartbeats(Instant::now());
                    self.send_all(&self.builder.next_heartbeat()).await;
                }
                () = self.state.backends.changed.notified() => {
                    // Several changes within a short time are sent in one datagram.
                    sleep(COLLECT_TIME).await;
                    if let Some(heartbeat) = self.builder.changes() {
                        self.send_all(&heartbeat).await;
                    }
                }
            }
        }
    }

    /// Sends join requests to the seeds while no other VM is reachable.
    pub(crate) async fn join(&self) {
        loop {
            if lock(&self.state.members).reachable_size(Instant::now()) == 1 {
                let heartbeat = Heartbeat {
                    joins: true,
                    ..self.builder.full_heartbeat()
                };
                let bytes = heartbeat.encode_to_vec();
                for address in self.seed_addresses() {
                    self.send_to(&bytes, address).await;
                }
            }
            sleep(JOIN_PERIOD).await;
        }
    }

    /// Receives heartbeats.
    pub(crate) async fn receive_heartbeats(&self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    warn!(error = error.to_string().as_str(); "receiving a heartbeat failed");
                    sleep(COLLECT_TIME).await;
                    continue;
                }
            };
            match Heartbeat::decode(&buffer[..length]) {
                Ok(heartbeat) => {
                    if self.receiver.handle(&heartbeat) {
                        self.respond(from).await;
                    }
                }
                Err(error) => {
                    counter!("beats_malformed_total").increment(1);
                    warn!(peer = from.to_string().as_str(), error = error.to_string().as_str(); "malformed heartbeat");
                }
            }
        }
    }

    /// Sends a VM a full heartbeat with all known VMs.
    async fn respond(&self, address: SocketAddr) {
        let mut heartbeat = Heartbeat {
            members: self.builder.known_members(),
            ..self.builder.full_heartbeat()
        };
        self.state.limits.add_state(&mut heartbeat, true);
        self.send_to(&heartbeat.encode_to_vec(), address).await;
    }

    async fn send_all(&self, heartbeat: &Heartbeat) {
        let bytes = heartbeat.encode_to_vec();
        let addresses = self.targets(heartbeat.full);
        counter!("beat_bytes_sent_total").increment((bytes.len() * addresses.len()) as u64);
        for address in addresses {
            self.send_to(&bytes, address).await;
        }
    }

    /// Returns the addresses that a heartbeat is sent to. Unreachable VMs receive full heartbeats only; these
    /// let both sides find each other again.
    fn targets(&self, full: bool) -> Vec<SocketAddr> {
        let now = Instant::now();
        let members = lock(&self.state.members);
        let targets = members
            .members()
            .iter()
            .filter(|member| full || member.is_reachable(now));
        targets
            .filter_map(|member| member.info.address.parse().ok())
            .collect()
    }

    async fn send_to(&self, bytes: &[u8], address: SocketAddr) {
        // The next heartbeat replaces a lost one.
        if self.socket.send_to(bytes, address).await.is_err() {
            counter!("beats_unsent_total").increment(1);
        }
    }

    fn seed_addresses(&self) -> Vec<SocketAddr> {
        let own = lock(&self.state.members).own().address.clone();
        let port = self.state.settings.peer_port;
        let seeds = self.state.seeds();
        let hosts = seeds
            .iter()
            .map(|seed| seed.split(':').next().unwrap_or_default());
        hosts
            .filter_map(|host| format!("{host}:{port}").parse().ok())
            .filter(|address: &SocketAddr| address.to_string() != own)
            .collect()
    }
}
