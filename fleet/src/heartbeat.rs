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
    heartbeat_pace::{
        content_bytes,
        NEAR_PERIOD, //
    },
    member::FleetMember,
    rank::{
        hash_name,
        score, //
    },
    sync::lock,
    timer::TimerService, //
};
use log::warn;
use metrics::counter;
use prost::Message;
use tokio::{
    net::UdpSocket,
    time::{
        sleep,
        sleep_until, //
    },
};

use crate::{
    heartbeat_builder::HeartbeatBuilder,
    heartbeat_receiver::{
        HeartbeatReceiver,
        SenderNeed, //
    },
    state::FleetState, //
};

/// Time for which changes are collected before they are sent together.
const COLLECT_TIME: Duration = Duration::from_millis(2);

/// Period of join requests to the seeds while no other VM is reachable.
const JOIN_PERIOD: Duration = Duration::from_millis(200);

/// Number of seeds that a VM asks for the list of VMs at once.
const ASKED_SEEDS: usize = 2;

/// Period of the list of VMs that is sent to one random VM.
const LIST_PERIOD: Duration = Duration::from_secs(4);

/// Largest number of VMs in one datagram.
const LIST_PART: usize = 128;

/// Time after its last heartbeat for which a VM of another cell receives each heartbeat.
const LOST_TIME: Duration = Duration::from_secs(10);

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 32 * 1024;

/// What was last sent to single VMs.
#[derive(Debug, Default)]
struct SentLists {
    returned: Vec<u64>, // VMs that have become reachable and were sent the complete state once.
    generation: u64,    // Of the table of VMs when unheard ones were last sent the complete state.
    list: Option<Instant>,
}

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
        let mut ticks = timer.subscribe(NEAR_PERIOD);
        let mut sent = SentLists::default();
        loop {
            let due = self.builder.distant_due(Instant::now());
            tokio::select! {
                tick = ticks.next() => {
                    if tick.is_none() {
                        return;
                    }
                    self.receiver.record_missed_heartbeats(Instant::now());
                    if self.state.cells.update(&self.state) {
                        self.builder.restart_distant();
                    }
                    self.send_near(&self.builder.next_heartbeat()).await;
                    self.introduce(&mut sent).await;
                    self.send_list(&mut sent).await;
                }
                () = self.state.backends.changed.notified() => {
                    // Several changes within a short time are sent in one datagram.
                    sleep(COLLECT_TIME).await;
                    if let Some(heartbeat) = self.builder.changes() {
                        self.send_near(&heartbeat).await;
                    }
                    let returned = self.receiver.take_returned();
                    self.answer(&returned).await;
                    sent.returned.extend(returned);
                }
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                    // Several changes within a short time are sent in one datagram.
                    sleep(COLLECT_TIME).await;
                    let (near, heartbeat) = self.builder.distant_heartbeat(Instant::now());
                    if let Some(near) = near {
                        self.send_near(&near).await;
                    }
                    let addresses = self.distant_targets(heartbeat.full);
                    self.send_all(&heartbeat, addresses).await;
                }
            }
        }
    }

    /// Sends this VM's complete state to VMs that other VMs have listed and that it hasn't heard, and once more to those
    /// that have become reachable: a first message may be lost.
    async fn introduce(&self, sent: &mut SentLists) {
        self.answer(&std::mem::take(&mut sent.returned)).await;
        let unheard: Vec<u64> = {
            let members = lock(&self.state.members);
            if std::mem::replace(&mut sent.generation, members.generation()) == sent.generation {
                return;
            }
            let unheard = members.members().iter();
            let unheard = unheard.filter(|member| member.last_heartbeat.is_none());
            unheard.map(|member| member.hash).collect()
        };
        self.answer(&unheard).await;
    }

    /// Sends the VMs with these hashes this VM's complete state.
    async fn answer(&self, vms: &[u64]) {
        if vms.is_empty() {
            return;
        }
        let near = self.addresses(|member| member.is_near() && vms.contains(&member.hash));
        let distant = self.addresses(|member| !member.is_near() && vms.contains(&member.hash));
        let mut heartbeat = self.builder.answer();
        self.send_all(&heartbeat, near).await;
        self.builder.address_distant(&mut heartbeat);
        self.send_all(&heartbeat, distant).await;
    }

    /// Sends the list of VMs to a random reachable VM from time to time, so that the lists of all VMs become the same.
    async fn send_list(&self, sent: &mut SentLists) {
        let now = Instant::now();
        if sent.list.is_some_and(|list| now < list + LIST_PERIOD) {
            return;
        }
        sent.list = Some(now);
        let reachable = self.addresses(|member| member.is_reachable(now));
        if let Some(&address) = reachable.get(rand::random_range(0..reachable.len().max(1))) {
            self.respond(address).await;
        }
    }

    /// Sends join requests to the seeds while no other VM is reachable or none has sent the list of VMs.
    pub(crate) async fn join(&self) {
        let mut rejoin = Instant::now() + LIST_PERIOD;
        loop {
            let now = Instant::now();
            if now >= rejoin {
                rejoin = now + LIST_PERIOD;
                self.rejoin(now).await;
            }
            let is_alone = lock(&self.state.members).reachable_size(now) == 1;
            if is_alone || !self.state.cells.has_list() {
                let mut heartbeat = self.builder.full_heartbeat();
                let mut seeds = self.seed_addresses();
                // The list is long, so that only some seeds are asked for it.
                let draw: u64 = rand::random();
                seeds.sort_by_cached_key(|seed| score(draw, hash_name(&seed.to_string())));
                heartbeat.joins = true;
                let asked = seeds.len().min(ASKED_SEEDS);
                self.send_all(&heartbeat, seeds[..asked].to_vec()).await;
                if is_alone {
                    heartbeat.joins = false;
                    self.send_all(&heartbeat, seeds[asked..].to_vec()).await;
                }
            }
            sleep(JOIN_PERIOD).await;
        }
    }

    /// Sends a join request to a random seed that isn't reachable. VMs that joined through different seeds while these were
    /// cut off from each other would otherwise form two fleets.
    async fn rejoin(&self, now: Instant) {
        let reachable = self.addresses(|member| member.is_reachable(now));
        let mut seeds = self.seed_addresses();
        seeds.retain(|seed| !reachable.contains(seed));
        if let Some(&seed) = seeds.get(rand::random_range(0..seeds.len().max(1))) {
            let heartbeat = Heartbeat {
                joins: true,
                ..self.builder.full_heartbeat()
            };
            self.send_all(&heartbeat, vec![seed]).await;
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
                    if self.receiver.handle(&heartbeat) == SenderNeed::List {
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

    /// Sends a VM this VM's complete state and all known VMs, in several datagrams if there are many.
    async fn respond(&self, address: SocketAddr) {
        let members = self.builder.known_members();
        let mut parts = members.chunks(LIST_PART);
        let name = address.to_string();
        let matching =
            self.addresses(|member| !member.is_near() && member.info.address.as_str() == name);
        let is_distant = !matching.is_empty();
        let mut first = Heartbeat {
            members: parts.next().unwrap_or_default().to_vec(),
            ..self.builder.answer()
        };
        if is_distant {
            self.builder.address_distant(&mut first);
        }
        self.send_all(&first, vec![address]).await;
        for part in parts {
            let mut heartbeat = Heartbeat {
                members: part.to_vec(),
                ..self.builder.full_heartbeat()
            };
            if is_distant {
                self.builder.address_distant(&mut heartbeat);
            }
            self.send_all(&heartbeat, vec![address]).await;
        }
    }

    /// Sends a heartbeat to the VMs of the own cell, which are all VMs of a small fleet. Unreachable VMs receive full
    /// heartbeats only; these let both sides find each other again.
    async fn send_near(&self, heartbeat: &Heartbeat) {
        let now = Instant::now();
        let addresses = self
            .addresses(|member| member.is_near() && (heartbeat.full || member.is_reachable(now)));
        self.send_all(heartbeat, addresses).await;
    }

    /// Returns the addresses of VMs of other cells. Those that were heard long ago receive full heartbeats only.
    fn distant_targets(&self, full: bool) -> Vec<SocketAddr> {
        let now = Instant::now();
        self.addresses(|member| {
            let is_recent = |last| now < last + LOST_TIME;
            !member.is_near() && (full || member.last_heartbeat.is_some_and(is_recent))
        })
    }

    /// Returns the addresses of the VMs that `is_selected` accepts.
    fn addresses(&self, is_selected: impl Fn(&FleetMember) -> bool) -> Vec<SocketAddr> {
        let members = lock(&self.state.members);
        let selected = members.members().iter();
        let selected = selected.filter(|member| is_selected(member));
        selected
            .filter_map(|member| member.info.address.parse().ok())
            .collect()
    }

    async fn send_all(&self, heartbeat: &Heartbeat, addresses: Vec<SocketAddr>) {
        if addresses.is_empty() {
            return;
        }
        let bytes = heartbeat.encode_to_vec();
        count_sent(heartbeat, bytes.len(), addresses.len());
        for address in addresses {
            self.send_to(&bytes, address).await;
        }
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

/// Counts the sent bytes by the kind of their content.
fn count_sent(heartbeat: &Heartbeat, bytes: usize, receivers: usize) {
    let kinds = content_bytes(heartbeat, bytes);
    counter!("beat_bytes_sent_total").increment((bytes * receivers) as u64);
    for (content, bytes) in kinds.into_iter().filter(|kind| kind.1 > 0) {
        let bytes = (bytes * receivers) as u64;
        counter!("beat_content_bytes_sent_total", "content" => content).increment(bytes);
    }
}
