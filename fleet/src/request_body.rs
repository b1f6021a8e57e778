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

use crate::{
    byte_budget::ByteBudget,
    held_body::{
        receive,
        BodyFault,
        HeldBody, //
    }, //
};

/// Time limit for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry delay for callers whose requests were shed.
const SHED_RETRY: Duration = Duration::from_millis(500);

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
    if !held.pin() {
        return Err(refuse_shed("body"));
    }
    Ok(Bytes::from_owner(held))
}

/// Refuses a request whose bytes were shed before it was sent anywhere.
pub(crate) fn refuse_shed(detail: &str) -> RefusalResponse {
    RefusalResponse::not_run(RefusalReason::MemoryShort, detail).retry_after(SHED_RETRY)
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
