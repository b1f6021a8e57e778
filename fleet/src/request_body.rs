//! Reads bodies of callers' requests within the configured limits.

use std::{
    sync::Arc,
    time::Duration, //
};

use boragerill::{
    catalog::Catalog,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    },
};
use bytes::Bytes;
use compact_str::{
    format_compact,
    CompactString, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    http::request::Parts, //
};
use tokio::time::timeout;

use crate::byte_budget::{
    ByteBudget,
    ByteReservation, //
};

/// Time limit for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry delay for callers whose requests were shed.
const SHED_RETRY: Duration = Duration::from_millis(500);

/// Least growth of a body's buffer, in bytes.
const GROWTH_BYTES: usize = 1024;

/// Fraction of its size by which a body's buffer grows at least, so that it is seldom copied.
const GROWTH_DIVISOR: usize = 4;

/// Most bytes that are read of a body that is too large.
const DISCARD_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Time limit for reading a body that is too large.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a request's body.
///
/// # Errors
///
/// Returns a refusal if the head or the body exceeds its limit, or if the body can't be received in time.
pub(crate) async fn read_body(
    catalog: &Catalog,
    budget: &Arc<ByteBudget>,
    parts: &Parts,
    body: Incoming,
) -> Result<Bytes, RefusalResponse> {
    let limits = catalog.limits();
    let too_large =
        |detail: CompactString| RefusalResponse::not_run(RefusalReason::BodyTooLarge, detail);
    let head: usize = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if head > limits.header_bytes {
        let detail = format_compact!("head of {head} bytes, the limit is {}", limits.header_bytes);
        return Err(RefusalResponse::not_run(
            RefusalReason::HeaderTooLarge,
            detail,
        ));
    }
    let announced = body.size_hint().lower();
    if announced > limits.body_bytes as u64 {
        discard(body).await;
        return Err(too_large(format_compact!(
            "body of {announced} bytes, the limit is {}",
            limits.body_bytes
        )));
    }
    let malformed =
        |detail: CompactString| RefusalResponse::not_run(RefusalReason::RequestMalformed, detail);
    let mut held = HeldBody::new(budget);
    let reading = receive(&mut held, body, limits.body_bytes);
    match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(())) => {}
        Ok(Err(BodyFault::TooLarge)) => {
            let detail = format_compact!("the limit is {}", limits.body_bytes);
            return Err(too_large(detail));
        }
        Ok(Err(BodyFault::Shed)) => return Err(refuse_shed("body")),
        Ok(Err(BodyFault::Broken(error))) => {
            return Err(malformed(format_compact!(
                "receiving the body failed: {error}"
            )));
        }
        Err(_) => {
            return Err(malformed(format_compact!(
                "body not received within {BODY_TIMEOUT:?}"
            )));
        }
    }
    if !held.reservation.pin() {
        return Err(refuse_shed("body"));
    }
    Ok(Bytes::from_owner(held))
}

/// Refuses a request whose bytes were shed before it was sent anywhere.
pub(crate) fn refuse_shed(detail: &str) -> RefusalResponse {
    RefusalResponse::not_run(RefusalReason::MemoryShort, detail).retry_after(SHED_RETRY)
}

/// Body in one buffer that grows with what has arrived. Its bytes are reserved until the last part of it is dropped.
struct HeldBody {
    bytes: Vec<u8>,
    reservation: ByteReservation,
}

impl HeldBody {
    fn new(budget: &Arc<ByteBudget>) -> HeldBody {
        HeldBody {
            bytes: Vec::new(),
            reservation: budget.open(),
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

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a body isn't complete.
enum BodyFault {
    TooLarge,
    Shed,
    Broken(hyper::Error),
}

async fn receive(held: &mut HeldBody, mut body: Incoming, limit: usize) -> Result<(), BodyFault> {
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

/// Reads and drops the rest of a body that is too large. Closing the connection with unread data would
/// reset it, and the caller could lose the refusal.
async fn discard(body: Incoming) {
    let reading = async {
        let mut rest = Limited::new(body, DISCARD_LIMIT_BYTES);
        while let Some(Ok(_)) = rest.frame().await {}
    };
    // A caller that sends for longer may lose the refusal.
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}
