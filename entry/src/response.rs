//! Answers to callers.

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

/// Parts of an answer as they become ready.
pub(crate) type BodyStream = Pin<Box<dyn Stream<Item = Bytes> + Send>>;

/// Body of an answer.
pub(crate) enum ResponseBody {
    /// The whole body.
    Complete(Bytes),
    /// A body that is still being made.
    Stream(BodyStream),
}

/// An answer to a caller.
pub(crate) struct CallerResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Headers.
    pub(crate) headers: Vec<(&'static str, CompactString)>,
    /// Body.
    pub(crate) body: ResponseBody,
}

impl CallerResponse {
    /// Makes an answer with a JSON body.
    pub(crate) fn json(status: u16, value: &Value) -> CallerResponse {
        CallerResponse {
            status,
            headers: vec![("content-type", "application/json".into())],
            body: ResponseBody::Complete(value.to_string().into()),
        }
    }

    /// Makes and counts a refusal.
    pub(crate) fn refusal(answer: &RefusalResponse, request_id: &str) -> CallerResponse {
        answer.count();
        let mut reply = CallerResponse::json(answer.reason.status(), &answer.body(request_id));
        reply
            .headers
            .push(("x-boragerill-outcome", answer.state.name().into()));
        reply.headers.push(("x-request-id", request_id.into()));
        if let Some(seconds) = answer.retry_after_seconds() {
            reply
                .headers
                .push(("retry-after", seconds.to_compact_string()));
        }
        reply
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
