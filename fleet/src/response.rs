//! Answers to callers.

use std::{
    io,
    time::Duration, //
};

use boragerill::refusal::RefusalResponse;
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
        CONTENT_TYPE,
        RETRY_AFTER, //
    },
    http::response::Parts,
    Response,
    StatusCode, //
};
use metrics::counter;

use crate::{
    caller::forwarded,
    wire::HeaderNames, //
};

/// Body of an answer; an error breaks the connection off, so that the answer doesn't look complete.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Answer to a caller.
pub(crate) type CallerResponse = Response<AnswerBody>;

/// Makes a whole body.
pub(crate) fn whole(body: Bytes) -> AnswerBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes a body of pieces that are sent as they come.
pub(crate) fn pieces(stream: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> AnswerBody {
    let frames = futures_util::StreamExt::map(stream, |piece| piece.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Makes an answer of the system's own.
pub(crate) fn plain(status: u16, content_type: &'static str, body: Bytes) -> CallerResponse {
    let mut answer = Response::new(whole(body));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let value = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}

/// Makes the answer for a refused or failed request.
pub(crate) fn refusal(names: &HeaderNames, refused: &RefusalResponse, id: &str) -> CallerResponse {
    refused.count();
    let body = refused.body(id).to_string();
    let mut answer = plain(refused.reason.status(), "application/json", body.into());
    let headers = answer.headers_mut();
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(names.request_id.clone(), value);
    }
    if let Some(wait) = refused.retry_after {
        headers.insert(RETRY_AFTER, seconds(wait));
    }
    answer
}

/// Passes a server's answer on with another body.
pub(crate) fn pass_on(names: &HeaderNames, head: &Parts, body: AnswerBody) -> CallerResponse {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = forwarded(names, &head.headers);
    counter!("answers_passed_total", "status" => head.status.as_str().to_owned()).increment(1);
    answer
}

/// Writes a time in seconds with a fraction.
fn seconds(time: Duration) -> HeaderValue {
    let text = format!("{:.3}", time.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
