//! How requests, answers and declared objects are written, as data.
//!
//! The crate decides what happens; names of headers, paths and fields come from whoever starts it.

use std::time::Duration;

use boragerill::{
    backend::BackendServer,
    catalog::Catalog,
    job::{
        JobId,
        JobItem,
        JobResult, //
    }, //
};
use bytes::Bytes;
use compact_str::CompactString;
use hyper::{
    header::HeaderName,
    http::request::Parts, //
};
use serde_json::Value;

/// Names of the headers that the system reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies a request; servers repeat it in their answers.
    pub request_id: HeaderName,
    /// Time for which the caller waits, in milliseconds.
    pub remaining_ms: HeaderName,
    /// Workspace of a request, set by the system.
    pub workspace: HeaderName,
    /// Server that may run a request.
    pub expected_server: HeaderName,
    /// Proves that an answer is a server's.
    pub signature: HeaderName,
    /// Says that a server didn't run a request.
    pub not_run: HeaderName,
    /// Says in any answer of a server that it gets no new work any more.
    pub leaving: HeaderName,
    /// Running and waiting requests and places of a server, separated by commas.
    pub load: HeaderName,
    /// Number of the event after which a stream goes on.
    pub last_event: HeaderName,
    /// Parts of the prompt.
    pub prefix: HeaderName,
    /// Longest time that a read may wait, in milliseconds.
    pub wait_ms: HeaderName,
    /// Headers by which the system steers servers; callers' own are dropped.
    pub reserved: Vec<HeaderName>,
    /// Scheme of the header that carries the key.
    pub auth_scheme: &'static str,
}

/// What a caller's call asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOperation {
    /// A request to a route, or the submission of a job.
    Request,
    /// Results of a job.
    JobResults {
        /// The job.
        id: JobId,
        /// Position of the first result.
        after: u64,
    },
    /// Body of an item.
    ItemBody {
        /// The job.
        id: JobId,
        /// The item.
        item: CompactString,
    },
    /// End of a job.
    CancelJob {
        /// The job.
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

/// Kinds of the platform's objects.
#[derive(Clone, Copy, Debug)]
pub struct ObjectKinds {
    /// Holds the configuration.
    pub catalog: &'static str,
    /// Name of the object of the configuration.
    pub catalog_name: &'static str,
    /// Entries of backend servers.
    pub backends: &'static str,
    /// Orders to empty VMs.
    pub retirements: &'static str,
}

/// All that differs between the interfaces under which the crate can run.
#[derive(Clone)]
pub struct WireFormat {
    /// Names of headers.
    pub names: HeaderNames,
    /// Kinds of objects.
    pub kinds: ObjectKinds,
    /// Tells calls apart by method and path.
    pub classify: fn(&Parts) -> CallerOperation,
    /// Reads the items of a submission.
    pub decode_items: fn(&[u8]) -> Result<Vec<JobItem>, CompactString>,
    /// Writes a page of results.
    pub encode_page: fn(&ResultPage) -> Bytes,
    /// Reads a configuration.
    pub decode_catalog: fn(&Value) -> Result<Catalog, CompactString>,
    /// Reads the entry of a backend server; `None` when it names no server.
    pub decode_backend: fn(&str, &Value) -> Option<BackendServer>,
    /// Writes the status of a retirement: whether the VM is empty.
    pub encode_retirement: fn(bool) -> Value,
}

/// Most items of one submission.
pub const MAX_SUBMISSION_ITEMS: usize = 200;

/// Longest wait of one read of results.
pub const MAX_READ_WAIT: Duration = Duration::from_millis(1000);
