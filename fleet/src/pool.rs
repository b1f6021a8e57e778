//! Connections to one backend server, kept for further requests.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    error::{
        ServeError,
        Step, //
    },
    sync::lock, //
};
use bytes::Bytes;
use compact_str::ToCompactString;
use http_body_util::Full;
use hyper::client::conn::http1::{
    self,
    SendRequest, //
};
use hyper_util::rt::TokioIo;
use socket2::{
    SockRef,
    TcpKeepalive, //
};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::timeout, //
};

/// Longest time for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which sent bytes may stay unacknowledged before a connection counts as lost.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);

/// Silence after which a connection is probed, and the time between probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as lost.
const PROBES: u32 = 2;

/// Idle time after which a connection is closed when the server names none.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Time before the server's own limit at which an idle connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(1000);

/// Idle connections that are kept for one server.
const IDLE_CONNECTIONS: usize = 24;

/// An open connection; dropping it closes it at once, also while a request runs.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    keep: Duration,
    /// Whether the connection has carried a request before.
    pub(crate) used: bool,
}

impl BackendConnection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> Result<BackendConnection, ServeError> {
        let peer = address.to_compact_string();
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected = connecting.map_err(|_| ServeError::Timeout(Step::Connect, peer.clone()))?;
        let unreachable = |cause: &dyn std::error::Error| {
            ServeError::Unreachable(Step::Connect, peer.clone(), cause.to_compact_string())
        };
        let stream = connected.map_err(|error| unreachable(&error))?;
        set_socket_options(&stream).map_err(|error| unreachable(&error))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| unreachable(&error))?;
        // Errors reach the request that runs on the connection.
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(BackendConnection {
            sender,
            task: task.abort_handle(),
            keep: IDLE_DEFAULT,
            used: false,
        })
    }

    /// Returns the handle that sends requests.
    pub(crate) fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Notes for how long the server keeps the connection when it is idle.
    pub(crate) fn note_keep_alive(&mut self, seconds: u64) {
        self.keep = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
    }
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes the kernel notice a peer that is silent although the connection is open.
pub(crate) fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
}

/// Idle connections to one server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<Vec<IdleConnection>>, // The last one used last.
}

impl ConnectionPool {
    /// Takes the connection that was used last, unless it was idle for longer than `most`.
    pub(crate) fn take(&self, most: Duration, now: Instant) -> Option<BackendConnection> {
        let mut idle = lock(&self.idle);
        idle.retain(|entry| is_usable(entry, now));
        let newest = idle.last()?;
        if now.saturating_duration_since(newest.since) > most {
            return None;
        }
        idle.pop().map(|entry| entry.connection)
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, connection: BackendConnection, now: Instant) {
        let mut idle = lock(&self.idle);
        if idle.len() >= IDLE_CONNECTIONS {
            idle.remove(0);
        }
        idle.push(IdleConnection {
            connection,
            since: now,
        });
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn prune(&self, now: Instant) {
        lock(&self.idle).retain(|entry| is_usable(entry, now));
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        lock(&self.idle).clear();
    }
}

fn is_usable(entry: &IdleConnection, now: Instant) -> bool {
    let idle = now.saturating_duration_since(entry.since);
    idle < entry.connection.keep && !entry.connection.sender.is_closed()
}
