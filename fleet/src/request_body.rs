//! Reads bodies of callers' requests within the configured limits.

use std::time::Duration;

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

/// Time limit for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

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
    let reading = Limited::new(body, limits.body_bytes).collect();
    let malformed =
        |detail: CompactString| RefusalResponse::not_run(RefusalReason::RequestMalformed, detail);
    match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(read)) => Ok(read.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(too_large(format_compact!("{error}")))
        }
        Ok(Err(error)) => Err(malformed(format_compact!(
            "receiving the body failed: {error}"
        ))),
        Err(_) => Err(malformed(format_compact!(
            "body not received within {BODY_TIMEOUT:?}"
        ))),
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
