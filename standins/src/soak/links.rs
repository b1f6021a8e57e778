//! Relays on the links of VMs, which play troubles.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use boragerill::sync::lock;
use tokio::net::TcpListener;

use super::trouble::{
    CutDirection,
    LinkTrouble,
    RelayScope,
    TroubleKind, //
};
use crate::{
    datagrams::{
        DatagramLoss,
        DatagramRelay,
        PeerAddress, //
    },
    relay::{
        FaultRelay,
        RelayMode, //
    },
};

/// A relay that several troubles may use at a time; the last one that began sets its mode.
struct SharedRelay {
    relay: FaultRelay,
    modes: Mutex<Vec<(usize, RelayMode)>>,
}

impl SharedRelay {
    fn new(relay: FaultRelay) -> SharedRelay {
        SharedRelay {
            relay,
            modes: Mutex::default(),
        }
    }

    /// Ends the mode of a trouble, and begins another one if it is given.
    fn replace(&self, trouble: usize, mode: Option<RelayMode>) {
        let mut modes = lock(&self.modes);
        modes.retain(|(other, _)| *other != trouble);
        modes.extend(mode.map(|mode| (trouble, mode)));
        let last = modes.last().map(|last| last.1);
        self.relay.set_mode(last.unwrap_or_default());
    }
}

/// Relays of a run.
pub(crate) struct SoakLinks {
    store: Vec<SharedRelay>, // Between each VM and the store.
    peers: Vec<SharedRelay>, // Between each VM and the connections of others.
    datagrams: Option<Arc<DatagramRelay>>,
}

impl SoakLinks {
    /// Starts the relays of a scope between VMs with the given addresses, and between them and the store.
    pub(crate) async fn start(
        scope: RelayScope,
        store: SocketAddr,
        addresses: &[PeerAddress],
        seed: u64,
    ) -> io::Result<SoakLinks> {
        let mut links = SoakLinks {
            store: Vec::new(),
            peers: Vec::new(),
            datagrams: None,
        };
        if scope == RelayScope::None {
            return Ok(links);
        }
        for _ in addresses {
            let relay = FaultRelay::start(store).await;
            links.store.push(SharedRelay::new(relay));
        }
        if scope == RelayScope::All {
            for address in addresses {
                let listener = TcpListener::bind(address.advertised).await?;
                let relay = FaultRelay::start_on(listener, address.own);
                links.peers.push(SharedRelay::new(relay));
            }
            links.datagrams = Some(DatagramRelay::start(addresses, seed).await?);
        }
        Ok(links)
    }

    /// Returns the address at which a VM reaches the store, if a relay stands between them.
    pub(crate) fn store_address(&self, vm: usize) -> Option<SocketAddr> {
        Some(self.store.get(vm)?.relay.address())
    }

    /// Begins the trouble with a number on the links of some VMs out of `count`; returns the losses that it consists of.
    pub(crate) fn begin(
        &self,
        number: usize,
        trouble: LinkTrouble,
        (group, count): (&[usize], usize),
    ) -> Vec<u64> {
        let set_modes = |relays: &[SharedRelay], mode| {
            for &vm in group {
                relays[vm].replace(number, Some(mode));
            }
        };
        let all: Vec<usize> = (0..count).collect();
        let others: Vec<usize> = (0..count).filter(|vm| !group.contains(vm)).collect();
        match trouble.kind {
            TroubleKind::StoreCut(mode) => set_modes(&self.store, mode),
            TroubleKind::StoreSilence => silence(&self.store, group),
            TroubleKind::PeerSilence => silence(&self.peers, group),
            TroubleKind::PeerCut(mode) => set_modes(&self.peers, mode),
            TroubleKind::DatagramLoss(share) => return self.lose(group, &all, (true, true), share),
            TroubleKind::GroupCut(direction) => {
                let mode = match direction {
                    CutDirection::FromGroup => RelayMode::HoldResponses,
                    _ => RelayMode::Hold,
                };
                set_modes(&self.peers, mode);
                let to = direction != CutDirection::FromGroup;
                let from = direction != CutDirection::ToGroup;
                return self.lose(group, &others, (from, to), 1.0);
            }
        }
        Vec::new()
    }

    /// Ends the trouble with a number, and its losses.
    pub(crate) fn end(&self, number: usize, losses: &[u64]) {
        for relay in self.store.iter().chain(&self.peers) {
            relay.replace(number, None);
        }
        if let Some(relay) = &self.datagrams {
            for &loss in losses {
                relay.remove_loss(loss);
            }
        }
    }

    /// Loses a share of the datagrams from or to a group, or both.
    fn lose(
        &self,
        group: &[usize],
        others: &[usize],
        (from, to): (bool, bool),
        share: f64,
    ) -> Vec<u64> {
        let Some(relay) = &self.datagrams else {
            return Vec::new();
        };
        let directions = [(from, group, others), (to, others, group)];
        let lost = directions.into_iter().filter(|direction| direction.0);
        lost.map(|(_, from, to)| {
            relay.add_loss(DatagramLoss {
                from: from.to_vec(),
                to: to.to_vec(),
                share,
            })
        })
        .collect()
    }
}

/// Lets the open connections of some relays go silent for good.
fn silence(relays: &[SharedRelay], group: &[usize]) {
    for &vm in group {
        relays[vm].relay.mute_open_connections();
    }
}
