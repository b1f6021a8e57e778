//! Address translation for datagrams between VMs, which loses some of them.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use boragerill::sync::lock;
use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};
use tokio::net::UdpSocket;

/// Largest size of a datagram, in bytes.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Addresses at which a VM sends and receives.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress {
    /// Address that the VM binds.
    pub own: SocketAddr,
    /// Address under which the others reach it.
    pub advertised: SocketAddr,
}

/// Datagrams that are lost.
#[derive(Clone, Debug)]
pub struct DatagramLoss {
    /// Indexes of the VMs that send them.
    pub from: Vec<usize>,
    /// Indexes of the VMs that they are sent to.
    pub to: Vec<usize>,
    /// Share of these datagrams that is lost.
    pub share: f64,
}

/// What is lost at present.
struct LossState {
    losses: Vec<(u64, DatagramLoss)>,
    next: u64,
    random: StdRng,
}

/// Sockets at the advertised addresses of all VMs. A datagram that arrives at one is sent on from that of its sender, so
/// that its receiver can respond.
pub struct DatagramRelay {
    peers: Vec<(PeerAddress, UdpSocket)>,
    state: Mutex<LossState>,
}

impl DatagramRelay {
    /// Binds the advertised addresses and forwards datagrams between the VMs.
    ///
    /// # Errors
    ///
    /// Returns the error of an address that can't be bound.
    pub async fn start(addresses: &[PeerAddress], seed: u64) -> io::Result<Arc<DatagramRelay>> {
        let mut peers = Vec::new();
        for &address in addresses {
            peers.push((address, UdpSocket::bind(address.advertised).await?));
        }
        let relay = Arc::new(DatagramRelay {
            peers,
            state: Mutex::new(LossState {
                losses: Vec::new(),
                next: 0,
                random: StdRng::seed_from_u64(seed),
            }),
        });
        for index in 0..addresses.len() {
            tokio::spawn(relay.clone().forward(index));
        }
        Ok(relay)
    }

    /// Begins a loss; returns its number.
    pub fn add_loss(&self, loss: DatagramLoss) -> u64 {
        let mut state = lock(&self.state);
        state.next += 1;
        let number = state.next;
        state.losses.push((number, loss));
        number
    }

    /// Ends the loss with a number.
    pub fn remove_loss(&self, number: u64) {
        lock(&self.state)
            .losses
            .retain(|(other, _)| *other != number);
    }

    /// Forwards the datagrams to a VM.
    async fn forward(self: Arc<Self>, to: usize) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        let (target, socket) = &self.peers[to];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let from = self.peers.iter().position(|peer| peer.0.own == sender);
            let Some(from) = from.filter(|&from| !lock(&self.state).is_lost(from, to)) else {
                continue;
            };
            // An error means that the VM doesn't run.
            let _ = self.peers[from]
                .1
                .send_to(&buffer[..length], target.own)
                .await;
        }
    }
}

impl LossState {
    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let random = &mut self.random;
        self.losses.iter().any(|(_, loss)| {
            loss.from.contains(&from) && loss.to.contains(&to) && random.random_bool(loss.share)
        })
    }
}
