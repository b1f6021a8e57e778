//! Connections to backend servers and pools of idle ones.

use std::{
    collections::VecDeque,
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        atomic::Ordering,
        Mutex, //
    },
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
    rank::hash_name,
    response_end::ConnectionEnd,
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
    sync::oneshot,
    task::AbortHandle,
    time::timeout, //
};

use crate::server_stream::{
    ResponseFlag,
    ServerStream, //
};

/// Time limit for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which data sent to a server or another VM may stay unacknowledged before the connection is closed.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Idle time before the first keepalive probe, and the interval between probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Unacknowledged keepalive probes after which a connection is closed.
const MAX_PROBES: u32 = 2;

/// Longest idle time after which a connection is used again, whatever limit the server states: it may have fallen silent
/// for good since its last response. Less than the time after which VMs whose connections were lost have to serve again.
const MAX_IDLE_LIMIT: Duration = Duration::from_millis(2500);

/// Time before the server's own limit at which an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1000);

/// Most idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Number of requests on a connection after which a late response to an earlier one is no longer expected.
const MAX_LATE_REQUESTS: usize = 32;

/// Most bytes of a response that are buffered before its caller takes them, and largest head of a response.
const BUFFER_BYTES: usize = 64 * 1024;

/// Time within which a connection whose server has ended its side ends, unless the request isn't written to its end.
const END_TIME: Duration = Duration::from_millis(50);

/// An open connection. Dropping it closes the connection at once, even while a request is running.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    ended: oneshot::Receiver<ConnectionEnd>,
    expects_response: ResponseFlag,
    idle_limit: Duration,
    requests: VecDeque<u64>, // Hashes of the ids of the last requests that may have run, in the order of sending.
}

impl BackendConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Rejected` at step `Connect` if no process listens at the address,
    /// `ServeError::Timeout` or `ServeError::Unreachable` otherwise.
    pub(crate) async fn open(address: SocketAddr) -> Result<BackendConnection, ServeError> {
        let peer = address.to_compact_string();
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected = connecting.map_err(|_| ServeError::Timeout(Step::Connect, peer.clone()))?;
        let unreachable = |cause: &dyn std::error::Error| {
            ServeError::Unreachable(Step::Connect, peer.clone(), cause.to_compact_string())
        };
        let stream = connected.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => {
                ServeError::Rejected(Step::Connect, peer.clone(), error.to_compact_string())
            }
            _ => unreachable(&error),
        })?;
        set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT).map_err(|error| unreachable(&error))?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let expects_response = ResponseFlag::default();
        let stream = ServerStream::new(stream, expects_response.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| unreachable(&error))?;
        let (end, ended) = oneshot::channel();
        let task = tokio::spawn(async move {
            // Errors before the end of a response are reported to the request that uses the connection.
            let seen = match connection.await {
                Ok(()) => ConnectionEnd::Regular,
                Err(_) => ConnectionEnd::Reset,
            };
            // The receiver is gone if nobody uses the connection any more.
            let _ = end.send(seen);
        });
        Ok(BackendConnection {
            sender,
            task: task.abort_handle(),
            ended,
            expects_response,
            idle_limit: MAX_IDLE_LIMIT,
            requests: VecDeque::new(),
        })
    }

    /// Returns the handle for sending requests.
    pub(crate) fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Records that a request is sent.
    pub(crate) fn record_request(&mut self, id: &str) {
        self.expects_response.store(true, Ordering::Relaxed);
        if self.requests.len() >= MAX_LATE_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(hash_name(id));
    }

    /// Records that the last request didn't run, so that no late response to it has anything of a run.
    pub(crate) fn withdraw_request(&mut self) {
        self.requests.pop_back();
    }

    /// Returns how the connection ended after its server has ended its side. To be called once.
    pub(crate) async fn wait_end(&mut self) -> ConnectionEnd {
        match timeout(END_TIME, &mut self.ended).await {
            Ok(Ok(end)) => end,
            // The request isn't written to its end, or this process ends.
            Ok(Err(_)) | Err(_) => ConnectionEnd::Unfinished,
        }
    }

    /// Returns whether the server has left the connection open.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sets the idle limit from the server's keep-alive timeout, in seconds.
    pub(crate) fn set_keep_alive(&mut self, seconds: u64) {
        let stated = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
        self.idle_limit = stated.min(MAX_IDLE_LIMIT);
    }
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sets socket options: no delay, and timeouts after which the kernel closes the connection to a peer that no longer
/// acknowledges keepalive probes, or that doesn't take sent data for `unacknowledged`, also because it reads nothing.
pub(crate) fn set_socket_options(
    stream: &TcpStream,
    unacknowledged: Duration,
) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(unacknowledged))
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
}

/// Idle connections to one server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<Vec<IdleConnection>>, // Ordered by last use, the latest at the end.
}

impl ConnectionPool {
    /// Takes the most recently used connection for the request `id` unless it has been idle for longer than `max_idle`.
    /// Responses are told apart by the ids of their requests, and the runs of an item share one: a connection that has
    /// carried the id isn't taken, since a late response to the earlier run would count as the one to this request.
    pub(crate) fn take(
        &self,
        id: &str,
        max_idle: Duration,
        now: Instant,
    ) -> Option<BackendConnection> {
        let request = hash_name(id);
        let mut idle = lock(&self.idle);
        idle.retain(|entry| is_usable(entry, now));
        let mut newest_first = idle.iter().enumerate().rev();
        let found = newest_first.find(|(_, entry)| !entry.connection.requests.contains(&request));
        let (index, newest) = found?;
        if now.saturating_duration_since(newest.since) > max_idle {
            return None;
        }
        Some(idle.remove(index).connection)
    }

    /// Takes the most recently used connection. Nothing may be sent on it.
    pub(crate) fn take_unused(&self, now: Instant) -> Option<BackendConnection> {
        let mut idle = lock(&self.idle);
        idle.retain(|entry| is_usable(entry, now));
        idle.pop().map(|entry| entry.connection)
    }

    /// Adds a connection whose last response was read completely; closes the oldest one if the pool is full.
    pub(crate) fn put(&self, connection: BackendConnection, now: Instant) {
        connection.expects_response.store(false, Ordering::Relaxed);
        let mut idle = lock(&self.idle);
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            idle.remove(0);
        }
        idle.push(IdleConnection {
            connection,
            since: now,
        });
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn prune(&self, now: Instant) {
        lock(&self.idle).retain(|entry| is_usable(entry, now));
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        lock(&self.idle).clear();
    }
}

/// Returns whether a connection is open and within its idle limit.
fn is_usable(entry: &IdleConnection, now: Instant) -> bool {
    let idle = now.saturating_duration_since(entry.since);
    idle < entry.connection.idle_limit && entry.connection.is_open()
}
