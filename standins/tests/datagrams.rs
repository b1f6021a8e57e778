//! The relay of datagrams between VMs.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use standins::{
    datagrams::{
        DatagramLoss,
        DatagramRelay,
        PeerAddress, //
    },
    ports::free_port,
};
use tokio::{
    net::UdpSocket,
    time::timeout, //
};

/// Time after which a datagram counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(300);

/// Two VMs' sockets with a relay between them.
struct RelayedPair {
    relay: Arc<DatagramRelay>,
    addresses: [PeerAddress; 2],
    sockets: [UdpSocket; 2],
}

async fn start_pair() -> RelayedPair {
    let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
    let addresses = [0, 1].map(|_| PeerAddress {
        own: address(),
        advertised: address(),
    });
    let bind = |index: usize| UdpSocket::bind(addresses[index].own);
    RelayedPair {
        relay: DatagramRelay::start(&addresses, 1).await.expect("relay"),
        addresses,
        sockets: [
            bind(0).await.expect("socket"),
            bind(1).await.expect("socket"),
        ],
    }
}

impl RelayedPair {
    /// Sends a datagram to the advertised address of a VM.
    async fn send(&self, from: usize, to: usize) {
        let target = self.addresses[to].advertised;
        let sent = self.sockets[from].send_to(b"state", target).await;
        sent.expect("datagram");
    }

    /// Returns the sender of the next datagram that a VM receives in time.
    async fn receive(&self, vm: usize) -> Option<SocketAddr> {
        let mut buffer = [0; 16];
        let received = timeout(LOST_AFTER, self.sockets[vm].recv_from(&mut buffer)).await;
        received.ok().map(|received| received.expect("datagram").1)
    }
}

#[tokio::test]
async fn datagrams_arrive_from_the_advertised_address_of_their_sender() {
    // arrange
    let pair = start_pair().await;

    // act
    pair.send(0, 1).await;
    let sender = pair.receive(1).await;

    // assert
    assert_eq!(sender, Some(pair.addresses[0].advertised));
}

#[tokio::test]
async fn a_loss_in_one_direction_leaves_the_other_whole_and_ends() {
    // arrange
    let pair = start_pair().await;
    let loss = pair.relay.add_loss(DatagramLoss {
        from: vec![0],
        to: vec![1],
        share: 1.0,
    });

    // act
    pair.send(0, 1).await;
    let lost = pair.receive(1).await;
    pair.send(1, 0).await;
    let back = pair.receive(0).await;
    pair.relay.remove_loss(loss);
    pair.send(0, 1).await;
    let after = pair.receive(1).await;

    // assert
    assert_eq!(lost, None);
    assert_eq!(back, Some(pair.addresses[1].advertised));
    assert_eq!(after, Some(pair.addresses[0].advertised));
}
