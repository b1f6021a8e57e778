//! Relay of TCP connections that injects faults between two processes.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
        TcpListener,
        TcpStream, //
    },
    sync::watch,
};

/// Size of the buffer of each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// What a relay does with connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RelayMode {
    /// All bytes pass.
    #[default]
    Pass,
    /// No byte passes, and new connections are accepted. What was held back passes afterwards.
    Hold,
    /// Requests pass, and what comes back is held back.
    HoldResponses,
    /// Connections are closed, new ones too.
    Close,
}

/// State of a relay that its connections follow.
#[derive(Clone, Copy, Debug, Default)]
struct RelayState {
    mode: RelayMode,
    muted: u64, // Connections up to this number pass no byte any more.
}

/// Direction of the bytes of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayDirection {
    ToTarget,
    FromTarget,
}

/// A running relay in front of one address. It acknowledges bytes that it holds back, so that only a time limit of
/// their sender or receiver shows that they don't arrive.
#[derive(Clone, Debug)]
pub struct FaultRelay {
    address: SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
    opened: Arc<watch::Sender<u64>>, // Number of the newest connection.
}

impl FaultRelay {
    /// Starts a relay on a free port of a loopback address.
    ///
    /// # Panics
    ///
    /// Panics when no port can be bound.
    pub async fn start(target: SocketAddr) -> FaultRelay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        FaultRelay::start_on(listener, target)
    }

    /// Starts a relay on a bound listener.
    ///
    /// # Panics
    ///
    /// Panics when the listener has no address.
    pub fn start_on(listener: TcpListener, target: SocketAddr) -> FaultRelay {
        let relay = FaultRelay {
            address: listener.local_addr().expect("address"),
            state: Arc::new(watch::channel(RelayState::default()).0),
            opened: Arc::new(watch::channel(0).0),
        };
        let accepting = relay.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().carry(stream, target));
            }
        });
        relay
    }

    /// Returns the address of the relay.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to all connections from now on.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Lets the open connections go silent for good; new ones pass.
    pub fn mute_open_connections(&self) {
        let newest = *self.opened.borrow();
        self.state.send_modify(|state| state.muted = newest);
    }

    async fn carry(self, stream: TcpStream, target: SocketAddr) {
        let mut number = 0;
        self.opened.send_modify(|newest| {
            *newest += 1;
            number = *newest;
        });
        let mut states = self.state.subscribe();
        if states.borrow().mode == RelayMode::Close {
            return;
        }
        let Ok(onward) = TcpStream::connect(target).await else {
            return;
        };
        // Small requests and responses wait for nothing.
        let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
        let (from_client, to_client) = stream.into_split();
        let (from_target, to_target) = onward.into_split();
        let mut forward = tokio::spawn(copy(
            (from_client, to_target),
            RelayDirection::ToTarget,
            (number, self.state.subscribe()),
        ));
        let mut back = tokio::spawn(copy(
            (from_target, to_client),
            RelayDirection::FromTarget,
            (number, self.state.subscribe()),
        ));
        tokio::select! {
            _ = &mut forward => {}
            _ = &mut back => {}
            _ = states.wait_for(|state| state.mode == RelayMode::Close) => {}
        }
        // Dropping both directions closes the connections.
        forward.abort();
        back.abort();
    }
}

/// Copies one direction of a connection until it ends or fails.
async fn copy(
    (mut from, mut to): (OwnedReadHalf, OwnedWriteHalf),
    direction: RelayDirection,
    (number, mut states): (u64, watch::Receiver<RelayState>),
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        // An end of the connection, and an error, is held back like bytes.
        let length = from.read(&mut buffer).await.unwrap_or(0);
        let passes = states.wait_for(|state| number > state.muted && state.passes(direction));
        if passes.await.is_err() || length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

impl RelayState {
    fn passes(&self, direction: RelayDirection) -> bool {
        match self.mode {
            RelayMode::Pass => true,
            RelayMode::Hold | RelayMode::Close => false,
            RelayMode::HoldResponses => direction == RelayDirection::ToTarget,
        }
    }
}
