//! Accepts connections of callers, readiness checks and metrics scrapers.

use std::{
    convert::Infallible,
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
    time::Duration,
};

use boragerill::{
    catalog::CallerLimits,
    error::{
        ServeError,
        Step, //
    },
    meter::MeterRecorder, //
};
use bytes::Bytes;
use compact_str::ToCompactString;
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    header::{
        HeaderValue,
        CONTENT_LENGTH, //
    },
    server::conn::http1,
    service::service_fn,
    Request,
    Version, //
};
use hyper_util::rt::TokioIo;
use log::warn;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    time::sleep, //
};

use crate::{
    admission,
    byte_budget::ShedSignal,
    connection_table::ConnectionTable,
    head_timer::{
        HeadTimer,
        TimedStream, //
    },
    pool::set_socket_options,
    response::{
        local_response,
        CallerResponse, //
    },
    state::FleetState, //
};

/// Pause after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for which a caller may take no data of its response. A caller that still waits may pause its reading.
const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Share of the grace period after which connections accept no further requests, so that running requests
/// have the rest of the period to complete.
const CLOSE_SHARE: f64 = 0.3;

/// Room for a request line beside the headers, in bytes; `max_header_bytes` counts only these.
const REQUEST_LINE_BYTES: usize = 8 * 1024;

/// Least size of a connection's buffers, in bytes.
const MIN_BUFFER_BYTES: usize = 16 * 1024;

/// Open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct CallerConnections {
    open: AtomicUsize,
    closed: Notify,      // Signals that a connection or the listener has closed.
    stop: Notify,        // Signals that no further connections are to be accepted.
    stopped: AtomicBool, // Whether the listener is closed.
}

/// Binds a listener to an address.
///
/// # Errors
///
/// Returns `ServeError::Unreachable` at step `Listen` when the address can't be bound.
pub(crate) async fn bind(address: &str) -> Result<TcpListener, ServeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| {
        ServeError::Unreachable(Step::Listen, address.into(), error.to_compact_string())
    })
}

impl CallerConnections {
    /// Accepts callers' connections until [`CallerConnections::drain`] is called.
    pub(crate) async fn accept(self: Arc<Self>, state: Arc<FleetState>, listener: TcpListener) {
        let table = ConnectionTable::new("callers", state.resources.callers);
        loop {
            let accepted = tokio::select! {
                accepted = accept_one(&listener) => accepted,
                () = self.stop.notified() => break,
            };
            let Some(stream) = accepted else {
                continue;
            };
            let timer = HeadTimer::new();
            let Some(place) = table.add(&timer) else {
                continue;
            };
            self.open.fetch_add(1, Ordering::Relaxed);
            let (connections, state) = (self.clone(), state.clone());
            tokio::spawn(async move {
                serve_connection(state, stream, timer).await;
                drop(place);
                connections.open.fetch_sub(1, Ordering::Relaxed);
                connections.closed.notify_waiters();
            });
        }
        drop(listener);
        self.stopped.store(true, Ordering::Release);
        self.closed.notify_waiters();
    }

    /// Waits until all connections have closed, stops accepting new ones, and waits for those accepted
    /// meanwhile.
    pub(crate) async fn drain(&self) {
        self.wait_until_closed().await;
        self.stop.notify_one();
        loop {
            let closed = self.closed.notified();
            if self.stopped.load(Ordering::Acquire) {
                break;
            }
            closed.await;
        }
        self.wait_until_closed().await;
    }

    async fn wait_until_closed(&self) {
        loop {
            let closed = self.closed.notified();
            if self.open.load(Ordering::Relaxed) == 0 {
                return;
            }
            closed.await;
        }
    }
}

/// Accepts a connection; returns `None` after a pause if that fails.
async fn accept_one(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            if let Err(error) = set_socket_options(&stream, CALLER_READ_TIMEOUT) {
                warn!(error = error.to_string().as_str(); "setting socket options failed");
            }
            Some(stream)
        }
        Err(error) => {
            warn!(error = error.to_string().as_str(); "accepting a connection failed");
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Serves the requests of a connection until it closes. During a shutdown it closes after its next response.
/// After [`CLOSE_SHARE`] of the grace period it accepts no further requests and closes once a running one has
/// completed.
async fn serve_connection(state: Arc<FleetState>, stream: TcpStream, timer: Arc<HeadTimer>) {
    let limits = || {
        let catalog = state.catalog.load();
        catalog.map_or_else(CallerLimits::default, |catalog| catalog.limits().clone())
    };
    let service = service_fn(|mut request: Request<Incoming>| {
        timer.end_head();
        request.extensions_mut().insert(timer.clone());
        let (state, timer) = (state.clone(), timer.clone());
        async move {
            let version = request.version();
            let mut response = admission::serve(&state, request).await;
            if let Some(signal) = response.extensions_mut().remove::<Arc<ShedSignal>>() {
                signal.close_with(timer.clone());
            }
            if version < Version::HTTP_11 {
                state_length(&mut response);
            }
            let mut response = response.map(|body| timer.watch_body(body));
            if state.is_shutting_down() {
                let value = HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(hyper::header::CONNECTION, value);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None).keep_alive(true);
    builder.max_buf_size(buffer_bytes(&limits()));
    let stream = TimedStream::new(stream, timer.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        state.wait_for_shutdown().await;
        let grace = Duration::from_secs_f64(state.settings.grace_s);
        sleep(grace.mul_f64(CLOSE_SHARE)).await;
    };
    let mut expired = std::pin::pin!(timer.wait_until_expired(limits));
    // An error means that the caller closed the connection. What it has sent is read before a limit counts.
    tokio::select! {
        biased;
        ended = connection.as_mut() => drop(ended),
        () = expired.as_mut() => {}
        () = closing => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                ended = connection => drop(ended),
                () = expired => {}
            }
        }
    }
}

/// Returns the size of a connection's buffers: the largest head and its request line. A larger head is refused with 431.
fn buffer_bytes(limits: &CallerLimits) -> usize {
    let bytes = limits.header_bytes.saturating_add(REQUEST_LINE_BYTES);
    bytes.max(MIN_BUFFER_BYTES)
}

/// States the length of a response whose body is known. HTTP/1.0 has no chunks, so that the end of the connection would
/// be the end of the response, also if this process is killed.
fn state_length(response: &mut CallerResponse) {
    if let Some(length) = response.body().size_hint().exact() {
        let headers = response.headers_mut();
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
}

/// Serves readiness checks.
pub(crate) async fn serve_ready(state: Arc<FleetState>, listener: TcpListener) {
    let table = ConnectionTable::new("readiness", state.resources.probes);
    serve_plain(listener, table, move || {
        if state.is_ready() {
            (200, Bytes::from_static(b"ready\n"))
        } else {
            (503, Bytes::from_static(b"not ready\n"))
        }
    })
    .await;
}

/// Serves metrics scrapers.
pub(crate) async fn serve_metrics(meters: MeterRecorder, limit: usize, listener: TcpListener) {
    let table = ConnectionTable::new("metrics", limit);
    serve_plain(listener, table, move || (200, meters.render().into())).await;
}

/// Serves the same kind of plain-text response to every request.
async fn serve_plain(
    listener: TcpListener,
    table: Arc<ConnectionTable>,
    response: impl Fn() -> (u16, Bytes) + Clone + Send + Sync + 'static,
) {
    loop {
        let Some(stream) = accept_one(&listener).await else {
            continue;
        };
        let response = response.clone();
        let timer = HeadTimer::new();
        let Some(place) = table.add(&timer) else {
            continue;
        };
        tokio::spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                timer.end_head();
                let (status, body) = response();
                let response = local_response(status, "text/plain", body);
                let response = response.map(|body| timer.clone().watch_body(body));
                async move { Ok::<_, Infallible>(response) }
            });
            let stream = TimedStream::new(stream, timer.clone());
            let mut builder = http1::Builder::new();
            builder.header_read_timeout(None);
            builder.max_buf_size(MIN_BUFFER_BYTES);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            // An error means that the client closed the connection.
            tokio::select! {
                ended = connection => drop(ended),
                () = timer.wait_until_expired(CallerLimits::default) => {}
            }
            drop(place);
        });
    }
}
