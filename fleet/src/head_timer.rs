//! Limits how long a caller may take to send the head of a request, and how long its connection may stay idle.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        Mutex, //
    },
    task::{
        ready,
        Context,
        Poll, //
    },
    time::Instant, //
};

use boragerill::{
    catalog::CallerLimits,
    connection_limit::ConnectionPhase,
    sync::lock, //
};
use http_body_util::BodyExt;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    sync::Notify,
    time::sleep_until,
};

use crate::response::ResponseBody;

/// Most bytes that are dropped after a head that was refused.
const DISCARD_BYTES: usize = 1024 * 1024;

/// Bytes that are dropped in one read.
const DISCARD_PIECE_BYTES: usize = 4096;

/// Times the heads of a connection's requests and the idle time between them.
///
/// The header timeout of hyper also counts while a kept connection is idle, so it can't be shorter than that.
#[derive(Debug)]
pub(crate) struct HeadTimer {
    phase: Mutex<ConnectionPhase>,
    changed: Notify,
}

/// Response in progress; the connection is idle once it is dropped.
struct OpenResponse {
    timer: Arc<HeadTimer>,
}

impl Drop for OpenResponse {
    fn drop(&mut self) {
        self.timer.set_phase(ConnectionPhase::Idle(Instant::now()));
    }
}

impl HeadTimer {
    /// Creates the timer of a connection that was just opened.
    pub(crate) fn new() -> Arc<HeadTimer> {
        Arc::new(HeadTimer {
            phase: Mutex::new(ConnectionPhase::Head(Instant::now())),
            changed: Notify::new(),
        })
    }

    /// Records that a head is complete.
    pub(crate) fn end_head(&self) {
        self.set_phase(ConnectionPhase::Body(Instant::now()));
    }

    /// Records that a body is complete.
    pub(crate) fn end_body(&self) {
        self.set_phase(ConnectionPhase::Response);
    }

    /// Records that a connection without heads was used.
    pub(crate) fn record_use(&self) {
        self.set_phase(ConnectionPhase::Idle(Instant::now()));
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.set_phase(ConnectionPhase::Closing);
    }

    /// Returns what the connection waits for.
    pub(crate) fn phase(&self) -> ConnectionPhase {
        *lock(&self.phase)
    }

    /// Returns whether the connection is to be closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.phase() == ConnectionPhase::Closing
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn wait_until_closed(&self) {
        while !self.is_closing() {
            self.changed.notified().await;
        }
    }

    /// Returns a body at whose end the connection becomes idle.
    pub(crate) fn watch_body(self: Arc<Self>, body: ResponseBody) -> ResponseBody {
        let open = OpenResponse { timer: self };
        let watched = body.map_frame(move |frame| {
            let _ = &open;
            frame
        });
        watched.boxed_unsync()
    }

    /// Waits until a head or a further request takes longer than the limits allow.
    pub(crate) async fn wait_until_expired(&self, limits: impl Fn() -> CallerLimits) {
        loop {
            let phase = *lock(&self.phase);
            let deadline = match phase {
                ConnectionPhase::Head(start) => Some(start + limits().header_timeout),
                ConnectionPhase::Idle(start) => Some(start + limits().idle_timeout),
                ConnectionPhase::Body(_) | ConnectionPhase::Response => None,
                ConnectionPhase::Closing => return,
            };
            let Some(deadline) = deadline else {
                self.changed.notified().await;
                continue;
            };
            if deadline <= Instant::now() {
                return;
            }
            // Bytes that arrived while the process stood still are read before the limit is checked again.
            tokio::select! {
                () = self.changed.notified() => {}
                () = sleep_until(deadline.into()) => {}
            }
        }
    }

    fn record_bytes(&self) {
        let mut phase = lock(&self.phase);
        match *phase {
            ConnectionPhase::Idle(_) => {
                *phase = ConnectionPhase::Head(Instant::now());
                self.changed.notify_one();
            }
            ConnectionPhase::Body(_) => *phase = ConnectionPhase::Body(Instant::now()),
            _ => {}
        }
    }

    fn set_phase(&self, next: ConnectionPhase) {
        let mut phase = lock(&self.phase);
        // A connection that is to be closed isn't kept by a request that arrives meanwhile.
        if *phase != ConnectionPhase::Closing {
            *phase = next;
        }
        drop(phase);
        self.changed.notify_one();
    }
}

/// Connection of a caller whose heads are timed.
pub(crate) struct TimedStream {
    /// Connection.
    pub(crate) stream: TcpStream,
    /// Timer that is told of received bytes.
    pub(crate) timer: Arc<HeadTimer>,
    /// Bytes that may still be dropped before the connection closes.
    pub(crate) discard: usize,
}

impl TimedStream {
    /// Creates a connection that was just opened.
    pub(crate) fn new(stream: TcpStream, timer: Arc<HeadTimer>) -> TimedStream {
        TimedStream {
            stream,
            timer,
            discard: DISCARD_BYTES,
        }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.timer.record_bytes();
        }
        polled
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Closes the connection. After a head that was refused, drops what the client still sends: closing with unread data
    /// would reset the connection, and the client could lose the refusal.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if !matches!(self.timer.phase(), ConnectionPhase::Head(_)) {
            return Poll::Ready(Ok(()));
        }
        let mut dropped = [0; DISCARD_PIECE_BYTES];
        while self.discard > 0 {
            let mut buf = ReadBuf::new(&mut dropped);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            match buf.filled().len() {
                0 => break,
                read => self.discard = self.discard.saturating_sub(read),
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
