//! Connections between the system's processes: length-prefixed `Envelope` messages over TCP.

use std::{
    io,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use compact_str::{
    CompactString,
    ToCompactString, //
};
use futures_util::{
    SinkExt,
    StreamExt, //
};
use metrics::counter;
use prost::Message;
use tokio::{
    net::TcpStream,
    sync::{
        mpsc,
        oneshot, //
    },
    time::timeout, //
};
use tokio_util::codec::{
    Decoder,
    Encoder,
    Framed,
    LengthDelimitedCodec, //
};

use crate::{
    error::{
        ServeError,
        Step, //
    },
    generated::messages::{
        envelope::Body,
        Envelope, //
    }, //
};

/// Maximum size of a frame's payload, in bytes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Size of the length field before each frame, in bytes.
const FRAME_HEADER_BYTES: u64 = 4;

/// Capacity of a connection's outgoing and incoming queues, in messages.
const QUEUE_MESSAGES: usize = 4096;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests that wait for their responses, by id.
type PendingResponses = Mutex<Vec<(u64, oneshot::Sender<Body>)>>;

/// Handle to an open connection; clones share the connection.
#[derive(Clone, Debug)]
pub struct FrameLink {
    peer: CompactString,
    outgoing: mpsc::Sender<Envelope>,
    pending: Arc<PendingResponses>,
    next_id: Arc<AtomicU64>,
}

/// Receiver of the messages on one connection that aren't responses to its requests.
pub type FrameInbox = mpsc::Receiver<Envelope>;

/// Is told of the bytes that a connection buffers, and returns whether it may go on.
pub type FrameWatch = Box<dyn Fn(usize) -> bool + Send>;

/// Splits what arrives into frames, and reports what is buffered of unfinished ones.
struct WatchedCodec {
    codec: LengthDelimitedCodec,
    watch: FrameWatch,
}

impl Decoder for WatchedCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let frame = self.codec.decode(source)?;
        let buffered = match &frame {
            Some(_) => 0,
            None => source.len(),
        };
        match (self.watch)(buffered) {
            true => Ok(frame),
            false => Err(io::ErrorKind::QuotaExceeded.into()),
        }
    }
}

impl Encoder<Bytes> for WatchedCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, target: &mut BytesMut) -> io::Result<()> {
        self.codec.encode(frame, target)
    }
}

impl PartialEq for FrameLink {
    /// Returns whether both handles belong to the same connection.
    fn eq(&self, other: &FrameLink) -> bool {
        self.outgoing.same_channel(&other.outgoing)
    }
}

impl FrameLink {
    /// Connects to another process.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Unreachable` or `ServeError::Timeout` at step `Connect`.
    pub async fn connect(address: &str) -> Result<(FrameLink, FrameInbox), ServeError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected =
            connecting.map_err(|_| ServeError::Timeout(Step::Connect, address.into()))?;
        let stream = connected.map_err(|error| {
            ServeError::Unreachable(Step::Connect, address.into(), error.to_compact_string())
        })?;
        Ok(FrameLink::open(stream, address))
    }

    /// Starts the task that serves an accepted or opened connection; must be called within a Tokio
    /// runtime.
    pub fn open(stream: TcpStream, peer: &str) -> (FrameLink, FrameInbox) {
        FrameLink::open_watched(stream, peer, Box::new(|_| true))
    }

    /// As [`FrameLink::open`]; `watch` is told how many bytes of unfinished frames are buffered, and returns whether the
    /// connection may go on.
    pub fn open_watched(
        stream: TcpStream,
        peer: &str,
        watch: FrameWatch,
    ) -> (FrameLink, FrameInbox) {
        // With Nagle's algorithm a heartbeat would wait for the acknowledgement of the previous one.
        let _ = stream.set_nodelay(true);
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME_BYTES);
        let (outgoing, outbox) = mpsc::channel(QUEUE_MESSAGES);
        let (incoming, inbox) = mpsc::channel(QUEUE_MESSAGES);
        let link = FrameLink {
            peer: peer.into(),
            outgoing,
            pending: Arc::default(),
            next_id: Arc::new(AtomicU64::new(1)),
        };
        tokio::spawn(run_link(
            Framed::new(stream, WatchedCodec { codec, watch }),
            outbox,
            incoming,
            link.pending.clone(),
        ));
        (link, inbox)
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.outgoing.is_closed()
    }

    /// Queues a message for sending and doesn't wait for a response.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Unreachable` when the connection is closed or its queue is full.
    pub fn push(&self, id: u64, body: Body) -> Result<(), ServeError> {
        let envelope = Envelope {
            id,
            body: Some(body),
        };
        self.outgoing.try_send(envelope).map_err(|error| {
            ServeError::Unreachable(Step::Send, self.peer.clone(), error.to_compact_string())
        })
    }

    /// Queues a message for sending, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Unreachable` when the connection is closed.
    pub async fn push_with_backpressure(&self, body: Body) -> Result<(), ServeError> {
        let envelope = Envelope {
            id: 0,
            body: Some(body),
        };
        let sent = self.outgoing.send(envelope).await;
        sent.map_err(|error| {
            ServeError::Unreachable(Step::Send, self.peer.clone(), error.to_compact_string())
        })
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Unreachable` when the connection closes and `ServeError::Timeout` after
    /// `limit`.
    pub async fn request(&self, body: Body, limit: Duration) -> Result<Body, ServeError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, response) = oneshot::channel();
        self.lock_pending().push((id, sender));
        if let Err(error) = self.push(id, body) {
            self.take_pending(id);
            return Err(error);
        }
        match timeout(limit, response).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(ServeError::Unreachable(
                Step::Receive,
                self.peer.clone(),
                "connection closed".into(),
            )),
            Err(_) => {
                self.take_pending(id);
                Err(ServeError::Timeout(Step::Receive, self.peer.clone()))
            }
        }
    }

    fn take_pending(&self, id: u64) -> Option<oneshot::Sender<Body>> {
        take_pending(&self.pending, id)
    }

    fn lock_pending(&self) -> std::sync::MutexGuard<'_, Vec<(u64, oneshot::Sender<Body>)>> {
        self.pending
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn take_pending(pending: &PendingResponses, id: u64) -> Option<oneshot::Sender<Body>> {
    let mut pending = pending
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    // Ids are assigned before the lock is taken, so the entries may be out of order.
    let index = pending.iter().position(|entry| entry.0 == id)?;
    Some(pending.swap_remove(index).1)
}

async fn run_link(
    framed: Framed<TcpStream, WatchedCodec>,
    mut outbox: mpsc::Receiver<Envelope>,
    incoming: mpsc::Sender<Envelope>,
    pending: Arc<PendingResponses>,
) {
    let (mut sink, mut stream) = framed.split();
    let mut writer = std::pin::pin!(async {
        let bytes_sent = counter!("frame_bytes_sent_total");
        while let Some(envelope) = outbox.recv().await {
            let frame = Bytes::from(envelope.encode_to_vec());
            bytes_sent.increment(frame.len() as u64 + FRAME_HEADER_BYTES);
            if sink.feed(frame).await.is_err() {
                return;
            }
            while let Ok(more) = outbox.try_recv() {
                let frame = Bytes::from(more.encode_to_vec());
                bytes_sent.increment(frame.len() as u64 + FRAME_HEADER_BYTES);
                if sink.feed(frame).await.is_err() {
                    return;
                }
            }
            if sink.flush().await.is_err() {
                return;
            }
        }
    });
    let mut reader = std::pin::pin!(async {
        while let Some(Ok(frame)) = stream.next().await {
            let Ok(envelope) = Envelope::decode(frame) else {
                return;
            };
            let Some(response) = take_pending(&pending, envelope.id) else {
                if incoming.send(envelope).await.is_err() {
                    return;
                }
                continue;
            };
            if let Some(body) = envelope.body {
                // Fails if the requester has timed out.
                let _ = response.send(body);
            }
        }
    });
    tokio::select! {
        () = &mut writer => {}
        () = &mut reader => {}
    }
    // Dropping the senders fails the requests that still wait.
    pending
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .clear();
}
