//! Responses to callers.

use std::pin::Pin;

use boragerill::refusal::RefusalResponse;
use bytes::Bytes;
use compact_str::{
    CompactString,
    ToCompactString, //
};
use futures_util::Stream;
use rocket::{
    http::{
        Header,
        Status, //
    },
    response::{
        self,
        stream::ByteStream,
        Responder, //
    },
    Request,
    Response, //
};
use serde_json::Value;

/// Chunks of a streamed response body.
pub(crate) type BodyStream = Pin<Box<dyn Stream<Item = Bytes> + Send>>;

/// Body of a response.
pub(crate) enum ResponseBody {
    /// A complete body.
    Complete(Bytes),
    /// A body that is sent in chunks as they become available.
    Stream(BodyStream),
}

/// A response to a caller.
pub(crate) struct CallerResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Headers.
    pub(crate) headers: Vec<(&'static str, CompactString)>,
    /// Body.
    pub(crate) body: ResponseBody,
}

impl CallerResponse {
    /// Returns a response with a JSON body.
    pub(crate) fn json(status: u16, value: &Value) -> CallerResponse {
        CallerResponse {
            status,
            headers: vec![("content-type", "application/json".into())],
            body: ResponseBody::Complete(value.to_string().into()),
        }
    }

    /// Returns the response for a refusal, and counts the refusal.
    pub(crate) fn refusal(refusal: &RefusalResponse, request_id: &str) -> CallerResponse {
        refusal.count();
        let mut response = CallerResponse::json(refusal.reason.status(), &refusal.body(request_id));
        response
            .headers
            .push(("x-boragerill-outcome", refusal.state.name().into()));
        response.headers.push(("x-request-id", request_id.into()));
        if let Some(seconds) = refusal.retry_after_seconds() {
            response
                .headers
                .push(("retry-after", seconds.to_compact_string()));
        }
        response
    }
}

impl<'r> Responder<'r, 'r> for CallerResponse {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let status = Status::new(self.status);
        let mut response = match self.body {
            ResponseBody::Complete(bytes) => {
                let mut response = Response::new();
                response.set_sized_body(bytes.len(), std::io::Cursor::new(bytes));
                response
            }
            ResponseBody::Stream(stream) => ByteStream(stream).respond_to(request)?,
        };
        response.set_status(status);
        for (name, value) in self.headers {
            response.set_header(Header::new(name, value.into_string()));
        }
        Ok(response)
    }
}
