//! Method, URL and headers of a caller's request.

use std::time::Duration;

use boragerill::keys::parse_bearer;
use compact_str::{
    format_compact,
    CompactString, //
};
use rocket::{
    http::Method,
    request::{
        FromRequest,
        Outcome, //
    },
    Request, //
};

/// Headers that are forwarded to backend servers; all others are dropped.
const FORWARDED_HEADERS: [&str; 4] = ["accept", "content-type", "traceparent", "tracestate"];

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Id assigned by this process; backend servers return it in the `x-request-id` header.
    pub(crate) id: CompactString,
    /// HTTP method.
    pub(crate) method: Method,
    /// Percent-encoded path.
    pub(crate) path: CompactString,
    /// Percent-encoded query.
    pub(crate) query: Option<CompactString>,
    /// API key, from the `authorization` or `x-api-key` header.
    pub(crate) key: Option<CompactString>,
    /// Service, from the `x-boragerill-service` header.
    pub(crate) service: Option<CompactString>,
    /// Idempotency key, from the `idempotency-key` header.
    pub(crate) idempotency_key: Option<CompactString>,
    /// Caller's timeout, from the `x-boragerill-timeout-ms` header.
    pub(crate) timeout: Option<Duration>,
    /// Headers that are forwarded to the backend server.
    pub(crate) headers: Vec<(&'static str, CompactString)>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallerRequest {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<CallerRequest, ()> {
        let header = |name| request.headers().get_one(name);
        let text = |name| header(name).map(CompactString::from);
        let bearer = header("authorization")
            .and_then(parse_bearer)
            .map(CompactString::from);
        let forwarded = FORWARDED_HEADERS
            .iter()
            .filter_map(|&name| Some((name, text(name)?)));
        Outcome::Success(CallerRequest {
            id: format_compact!("{:016x}", random_number()),
            method: request.method(),
            path: request.uri().path().as_str().into(),
            query: request.uri().query().map(|query| query.as_str().into()),
            key: bearer.or_else(|| text("x-api-key")),
            service: text("x-boragerill-service"),
            idempotency_key: text("idempotency-key"),
            timeout: header("x-boragerill-timeout-ms")
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
            headers: forwarded.collect(),
        })
    }
}

/// Returns a random 64-bit number, which is unlikely to repeat on any VM.
pub(crate) fn random_number() -> u64 {
    rand::random()
}
