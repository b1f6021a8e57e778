//! Wire format of requests, responses and declared objects, supplied as data.
//!
//! This crate implements the behaviour; the program that uses it supplies the names of headers, paths and
//! fields.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    backend::BackendServer,
    catalog::Catalog,
    job::{
        JobId,
        JobItem,
        JobResult, //
    },
    load::LoadReading,
    server_limit::LimitStatement, //
};
use bytes::Bytes;
use compact_str::CompactString;
use hyper::{
    header::{
        HeaderMap,
        HeaderName, //
    },
    http::request::Parts, //
};
use serde_json::Value;

/// Names of the headers that this system reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request id; servers repeat it in their responses.
    pub request_id: HeaderName,
    /// Time until the caller's timeout, in milliseconds.
    pub remaining_ms: HeaderName,
    /// Workspace of a request, set by this system.
    pub workspace: HeaderName,
    /// Id of the only server that may run a request.
    pub expected_server: HeaderName,
    /// Signature by which a server proves that it sent a response.
    pub signature: HeaderName,
    /// Set in a response if the server didn't run the request.
    pub not_run: HeaderName,
    /// Set to `1` in a response of a server that is draining.
    pub leaving: HeaderName,
    /// Number of the last event received, after which a stream resumes.
    pub last_event: HeaderName,
    /// Id of the request that brought the first event of a stream, in a request that takes the stream up again.
    pub resumed_request: HeaderName,
    /// Parts of the prompt, separated by commas; the last is specific to the request.
    pub prefix: HeaderName,
    /// Tokens of the prompt and largest number of output tokens, separated by a comma.
    pub token_usage: HeaderName,
    /// Caller's estimate of the output tokens.
    pub length_hint: HeaderName,
    /// Longest time that a read of results may wait, in milliseconds.
    pub wait_ms: HeaderName,
    /// Headers by which the system steers servers; values from callers are dropped.
    pub reserved: Vec<HeaderName>,
    /// Scheme of the `Authorization` header that carries the API key.
    pub auth_scheme: &'static str,
}

/// Operation that a caller's HTTP request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOperation {
    /// Sends a request to a route, or submits a job.
    Request,
    /// Reads results of a job.
    JobResults {
        /// Id of the job.
        id: JobId,
        /// Position of the first result.
        after: u64,
    },
    /// Reads the body of an item.
    ItemBody {
        /// Id of the job.
        id: JobId,
        /// Id of the item.
        item: CompactString,
    },
    /// Cancels a job.
    CancelJob {
        /// Id of the job.
        id: JobId,
    },
}

/// A page of results.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: u64,
    /// Position of the first result.
    pub after: u64,
    /// Results.
    pub results: Vec<JobResult>,
}

/// Kinds of the objects in the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct ObjectKinds {
    /// Kind of the configuration object.
    pub catalog: &'static str,
    /// Name of the configuration object.
    pub catalog_name: &'static str,
    /// Kind of the backend servers' entries.
    pub backends: &'static str,
    /// Kind of the entries of failure domains that are evacuated; the entries are named after them.
    pub evacuations: &'static str,
    /// Kind of the orders to drain and retire a VM.
    pub retirements: &'static str,
}

/// Everything that differs between the platforms on which this crate can run.
#[derive(Clone)]
pub struct WireFormat {
    /// Header names.
    pub names: HeaderNames,
    /// Object kinds.
    pub kinds: ObjectKinds,
    /// Classifies a caller's request by method and path.
    pub classify: fn(&Parts) -> CallerOperation,
    /// Returns whether a body is a submission, without decoding its items.
    pub is_submission: fn(&[u8]) -> bool,
    /// Decodes the items of a submission.
    pub decode_items: fn(&[u8]) -> Result<Vec<JobItem>, CompactString>,
    /// Encodes a page of results.
    pub encode_page: fn(&ResultPage) -> Bytes,
    /// Decodes a configuration.
    pub decode_catalog: fn(&Value) -> Result<Catalog, CompactString>,
    /// Decodes the entry of a backend server; returns `None` if it describes no server.
    pub decode_backend: fn(&str, &Value) -> Option<BackendServer>,
    /// Decodes what the headers of a response, with the times of the request and of the response, state about the
    /// limit of the server.
    pub decode_limit: fn(&HeaderMap, Instant, Instant) -> Result<LimitStatement, CompactString>,
    /// Decodes what the headers of a response, with the times of the request and of the response, state about the load
    /// of the server.
    pub decode_load: fn(&HeaderMap, Instant, Instant) -> Option<LoadReading>,
    /// Decodes the remaining warm-up time that the headers of a response to a health check state, if any.
    pub decode_health: fn(&HeaderMap) -> Result<Option<Duration>, CompactString>,
    /// Encodes the status of a retirement: whether the VM has drained.
    pub encode_retirement: fn(bool) -> Value,
}

/// Most items in one submission.
pub const MAX_SUBMISSION_ITEMS: usize = 200;

/// Longest time that one read of results may wait.
pub const MAX_READ_WAIT: Duration = Duration::from_millis(1000);
