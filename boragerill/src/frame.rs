//! Framed messages between the system's processes: length-prefixed `Envelope`s over TCP.

use std::{
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

use bytes::Bytes;
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

/// Largest frame, in bytes.
const FRAME_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Length that precedes each frame.
const FRAME_HEADER_BYTES: u64 = 4;

/// Messages that may wait for a slow connection before it is closed.
const SEND_QUEUE: usize = 4096;

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests whose answers are awaited, by id.
type WaitingAnswers = Mutex<Vec<(u64, oneshot::Sender<Body>)>>;

/// Handle to one open connection; clones share it.
#[derive(Clone, Debug)]
pub struct FrameLink {
    peer: CompactString,
    outgoing: mpsc::Sender<Envelope>,
    waiting: Arc<WaitingAnswers>,
    next_id: Arc<AtomicU64>,
}

/// Messages that arrive on one connection and are no answers.
pub type FrameInbox = mpsc::Receiver<Envelope>;

impl FrameLink {
    /// Connects to a control process.
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

    /// Runs an open connection; must be called inside the runtime.
    pub fn open(stream: TcpStream, peer: &str) -> (FrameLink, FrameInbox) {
        // A heartbeat must not wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(FRAME_LIMIT_BYTES);
        let (outgoing, outbox) = mpsc::channel(SEND_QUEUE);
        let (incoming, inbox) = mpsc::channel(SEND_QUEUE);
        let link = FrameLink {
            peer: peer.into(),
            outgoing,
            waiting: Arc::default(),
            next_id: Arc::new(AtomicU64::new(1)),
        };
        tokio::spawn(run_link(
            Framed::new(stream, codec),
            outbox,
            incoming,
            link.waiting.clone(),
        ));
        (link, inbox)
    }

    /// Returns the address of the other side.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.outgoing.is_closed()
    }

    /// Sends a message without waiting for an answer.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Unreachable` when the connection has ended or its queue is full.
    pub fn push(&self, id: u64, body: Body) -> Result<(), ServeError> {
        let envelope = Envelope {
            id,
            body: Some(body),
        };
        self.outgoing.try_send(envelope).map_err(|error| {
            ServeError::Unreachable(Step::Send, self.peer.clone(), error.to_compact_string())
        })
    }

    /// Sends a message, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Unreachable` when the connection has ended.
    pub async fn push_patiently(&self, body: Body) -> Result<(), ServeError> {
        let envelope = Envelope {
            id: 0,
            body: Some(body),
        };
        let sent = self.outgoing.send(envelope).await;
        sent.map_err(|error| {
            ServeError::Unreachable(Step::Send, self.peer.clone(), error.to_compact_string())
        })
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Unreachable` when the connection ends and `ServeError::Timeout` after `limit`.
    pub async fn request(&self, body: Body, limit: Duration) -> Result<Body, ServeError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        self.lock_waiting().push((id, answer));
        if let Err(error) = self.push(id, body) {
            self.take_waiting(id);
            return Err(error);
        }
        match timeout(limit, answered).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(ServeError::Unreachable(
                Step::Receive,
                self.peer.clone(),
                "connection ended".into(),
            )),
            Err(_) => {
                self.take_waiting(id);
                Err(ServeError::Timeout(Step::Receive, self.peer.clone()))
            }
        }
    }

    fn take_waiting(&self, id: u64) -> Option<oneshot::Sender<Body>> {
        take_waiting(&self.waiting, id)
    }

    fn lock_waiting(&self) -> std::sync::MutexGuard<'_, Vec<(u64, oneshot::Sender<Body>)>> {
        self.waiting
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn take_waiting(waiting: &WaitingAnswers, id: u64) -> Option<oneshot::Sender<Body>> {
    let mut waiting = waiting
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    // Ids are handed out before the lock is taken, so the order is only nearly sorted.
    let index = waiting.iter().position(|entry| entry.0 == id)?;
    Some(waiting.swap_remove(index).1)
}

async fn run_link(
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    mut outbox: mpsc::Receiver<Envelope>,
    incoming: mpsc::Sender<Envelope>,
    waiting: Arc<WaitingAnswers>,
) {
    let (mut sink, mut stream) = framed.split();
    let mut writer = std::pin::pin!(async {
        let sent = counter!("frame_bytes_sent_total");
        while let Some(envelope) = outbox.recv().await {
            let frame = Bytes::from(envelope.encode_to_vec());
            sent.increment(frame.len() as u64 + FRAME_HEADER_BYTES);
            if sink.feed(frame).await.is_err() {
                return;
            }
            while let Ok(more) = outbox.try_recv() {
                let frame = Bytes::from(more.encode_to_vec());
                sent.increment(frame.len() as u64 + FRAME_HEADER_BYTES);
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
            let Some(answer) = take_waiting(&waiting, envelope.id) else {
                if incoming.send(envelope).await.is_err() {
                    return;
                }
                continue;
            };
            if let Some(body) = envelope.body {
                // An error means that the asker has given up.
                let _ = answer.send(body);
            }
        }
    });
    tokio::select! {
        () = &mut writer => {}
        () = &mut reader => {}
    }
    waiting
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .clear();
}
