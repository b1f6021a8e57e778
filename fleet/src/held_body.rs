//! Bodies of requests and responses in one buffer each, whose bytes are reserved.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};

use crate::{
    byte_budget::{
        ByteBudget,
        ByteReservation,
        ShedSignal, //
    },
    response::ResponseBody, //
};

/// Bytes of a response that are handed to its connection at a time.
const RESPONSE_PIECE_BYTES: usize = 16 * 1024;

/// Least growth of a body's buffer, in bytes.
const GROWTH_BYTES: usize = 1024;

/// Fraction of its size by which a body's buffer grows at least, so that it is seldom copied.
const GROWTH_DIVISOR: usize = 4;

/// Body in one buffer that grows with what has arrived. Its bytes are reserved until the last part of it is dropped.
pub(crate) struct HeldBody {
    bytes: Vec<u8>,
    reservation: Arc<ByteReservation>,
}

impl HeldBody {
    /// Creates an empty body.
    pub(crate) fn new(budget: &Arc<ByteBudget>) -> HeldBody {
        HeldBody {
            bytes: Vec::new(),
            reservation: Arc::new(budget.open()),
        }
    }

    /// Appends bytes; returns `false` if the budget doesn't suffice.
    fn append(&mut self, piece: &[u8]) -> bool {
        let length = self.bytes.len() + piece.len();
        if length > self.bytes.capacity() {
            let grown = length.max(self.bytes.capacity() + self.bytes.capacity() / GROWTH_DIVISOR);
            let capacity = grown.next_multiple_of(GROWTH_BYTES);
            // Reserved before the memory is taken.
            if !self.reservation.resize(capacity) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        } else if !self.reservation.resize(self.bytes.capacity()) {
            return false;
        }
        self.bytes.extend_from_slice(piece);
        true
    }
}

impl HeldBody {
    /// Returns whether no byte has come.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Keeps the bytes from being shed; returns `false` if they were shed already.
    pub(crate) fn pin(&self) -> bool {
        self.reservation.pin()
    }

    /// Returns a response's body of these bytes, and what closes its connection when they are shed.
    pub(crate) fn into_response(self) -> (ResponseBody, Arc<ShedSignal>) {
        let reservation = self.reservation.clone();
        let signal = reservation.signal();
        let body = HeldResponse {
            bytes: Bytes::from_owner(self),
            reservation,
        };
        (body.boxed_unsync(), signal)
    }
}

/// Body of a response that its caller takes piece by piece. Until then its bytes may be shed, which closes the connection
/// before the response is complete.
struct HeldResponse {
    bytes: Bytes,
    reservation: Arc<ByteReservation>,
}

impl Body for HeldResponse {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        if !self.reservation.record_progress() {
            let error = io::Error::other("response shed, the memory budget is short");
            return Poll::Ready(Some(Err(error)));
        }
        let length = self.bytes.len().min(RESPONSE_PIECE_BYTES);
        let piece = self.bytes.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a body isn't complete.
pub(crate) enum BodyFault<E> {
    /// It is larger than allowed.
    TooLarge,
    /// Its bytes were shed.
    Shed,
    /// Its connection failed.
    Broken(E),
}

/// Reads a body until it is complete.
///
/// # Errors
///
/// Returns why it isn't.
pub(crate) async fn receive<B: Body<Data = Bytes> + Unpin>(
    held: &mut HeldBody,
    mut body: B,
    limit: usize,
) -> Result<(), BodyFault<B::Error>> {
    loop {
        let frame = tokio::select! {
            biased;
            () = held.reservation.wait_until_shed() => return Err(BodyFault::Shed),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(());
        };
        let frame = frame.map_err(BodyFault::Broken)?;
        let Some(piece) = frame.data_ref() else {
            continue;
        };
        if held.bytes.len() + piece.len() > limit {
            return Err(BodyFault::TooLarge);
        }
        if !held.append(piece) {
            return Err(BodyFault::Shed);
        }
    }
}
