//! Heartbeats between VMs: datagrams that say who is there and how many requests each has where.

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
const BEAT_PERIOD: Duration = Duration::from_millis(150);

/// Time for which changes are collected before they are told.
const COLLECT_TIME: Duration = Duration::from_millis(2);

/// Period of asking the seeds for the other VMs until one answers.
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
    /// Uses a bound socket.
    pub(crate) fn new(state: Arc<FleetState>, socket: UdpSocket) -> HeartbeatSocket {
        HeartbeatSocket {
            builder: HeartbeatBuilder::new(state.clone()),
            receiver: HeartbeatReceiver::new(state.clone()),
            state,
            socket,
        }
    }

    /// Sends heartbeats periodically and changes as soon as they come.
    pub(crate) async fn send_heartbeats(&self) {
        let mut timer = TimerService::default();
        let mut ticks = timer.subscribe(BEAT_PERIOD);
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
                    // Changes that come together go out together.
                    sleep(COLLECT_TIME).await;
                    if let Some(heartbeat) = self.builder.changes() {
                        self.send_all(&heartbeat).await;
                    }
                }
            }
        }
    }

    /// Asks the seeds for the other VMs whenever none is heard.
    pub(crate) async fn join(&self) {
        loop {
            if lock(&self.state.members).reachable_size(Instant::now()) == 1 {
                let heartbeat = Heartbeat {
                    joins: true,
                    ..self.builder.whole()
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
                    warn!(error = error.to_string().as_str(); "no heartbeat received");
                    sleep(COLLECT_TIME).await;
                    continue;
                }
            };
            match Heartbeat::decode(&buffer[..length]) {
                Ok(heartbeat) => {
                    if self.receiver.hear(&heartbeat, from) {
                        self.answer(from).await;
                    }
                }
                Err(error) => {
                    counter!("beats_malformed_total").increment(1);
                    warn!(peer = from.to_string().as_str(), error = error.to_string().as_str(); "heartbeat can't be read");
                }
            }
        }
    }

    /// Tells a VM everything, and which others there are.
    async fn answer(&self, address: SocketAddr) {
        let heartbeat = Heartbeat {
            members: self.builder.known_members(),
            ..self.builder.whole()
        };
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

    /// Returns the VMs that get a heartbeat: silent ones only whole ones, by which they are found again.
    fn targets(&self, whole: bool) -> Vec<SocketAddr> {
        let now = Instant::now();
        let members = lock(&self.state.members);
        let targets = members
            .members()
            .iter()
            .filter(|member| whole || member.is_reachable(now));
        targets
            .filter_map(|member| member.info.address.parse().ok())
            .collect()
    }

    async fn send_to(&self, bytes: &[u8], address: SocketAddr) {
        // A lost heartbeat is made up for by the next one.
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
