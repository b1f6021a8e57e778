//! HTTP responses to callers.

use std::{
    io,
    time::Duration, //
};

use boragerill::refusal::{
    RefusalReason,
    RefusalResponse, //
};
use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{
    combinators::UnsyncBoxBody,
    BodyExt,
    Full,
    StreamBody, //
};
use hyper::{
    body::Frame,
    header::{
        HeaderValue,
        CONNECTION,
        CONTENT_TYPE,
        RETRY_AFTER, //
    },
    http::response::Parts,
    Response,
    StatusCode, //
};
use metrics::counter;

use crate::{
    caller::forwardable_headers,
    wire::HeaderNames, //
};

/// Body of a response. An error closes the connection, so that the response doesn't look complete.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// HTTP response to a caller.
pub(crate) type CallerResponse = Response<ResponseBody>;

/// Makes a body whose bytes are all known.
pub(crate) fn full_body(body: Bytes) -> ResponseBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes a body whose pieces are sent as they become available.
pub(crate) fn streamed_body(
    stream: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> ResponseBody {
    let frames = futures_util::StreamExt::map(stream, |piece| piece.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Makes a response that doesn't come from a backend server.
pub(crate) fn local_response(
    status: u16,
    content_type: &'static str,
    body: Bytes,
) -> CallerResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Makes the response to a refused or failed request, and counts the refusal.
pub(crate) fn refusal(names: &HeaderNames, refused: &RefusalResponse, id: &str) -> CallerResponse {
    refused.count();
    let body = refused.body(id).to_string();
    let mut response = local_response(refused.reason.status(), "application/json", body.into());
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(names.request_id.clone(), value);
    }
    if refused.reason == RefusalReason::MemoryShort {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(wait) = refused.retry_after {
        headers.insert(RETRY_AFTER, seconds(wait));
    }
    response
}

/// Makes the caller's response from the head of a server's response and a body.
pub(crate) fn forward_response(
    names: &HeaderNames,
    head: &Parts,
    body: ResponseBody,
) -> CallerResponse {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = forwardable_headers(names, &head.headers);
    counter!("answers_passed_total", "status" => head.status.as_str().to_owned()).increment(1);
    response
}

/// Formats a time in seconds with three decimals.
fn seconds(time: Duration) -> HeaderValue {
    let text = format!("{:.3}", time.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
