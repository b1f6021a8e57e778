//! Calls of the platform's object API as data, and how they are written on the wire.
//!
//! The client of the platform speaks to stores with different wire formats. An [`ApiCodec`] turns typed
//! calls into HTTP requests and their answers back into objects.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::CompactString;
use reqwest::Method;
use serde::Deserialize;
use serde_json::Value;

use crate::{
    config::Version,
    error::ServeError, //
};

/// Objects on one page of a listing.
const PAGE_LIMIT: usize = 1000;

/// An object as the platform returns it.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct PlatformObject {
    /// Kind of the object.
    pub kind: CompactString,
    /// Name, unique for the kind.
    pub name: CompactString,
    /// Version of the last write.
    pub version: Version,
    /// Version of the write that created the object.
    pub created: Version,
    /// Whether the event is a deletion.
    pub deleted: bool,
    /// Short text kept beside the value and returned by listings of names.
    pub label: CompactString,
    /// Declared value.
    pub spec: Value,
}

/// One page of a listing.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub struct ObjectPage {
    /// Objects in the order of their names.
    pub items: Vec<PlatformObject>,
    /// Name after which the next page begins.
    pub next: Option<CompactString>,
    /// Version of the store.
    pub version: Version,
}

/// What a watch returned.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub struct WatchBatch {
    /// Changed objects, oldest first.
    pub events: Vec<PlatformObject>,
    /// Version up to which the events are complete.
    pub version: Version,
}

/// Versions that a write produced.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct WriteReceipt {
    /// Version of the object after the write.
    pub version: Version,
}

/// What a write expects of the object it replaces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The object must not exist.
    Absent,
    /// The object must be at this version.
    At(Version),
    /// Any state will do.
    Any,
}

/// One call of the object API.
#[derive(Clone, Copy, Debug)]
pub enum ApiCall<'a> {
    /// Reads one object.
    Get {
        /// Kind of the object.
        kind: &'a str,
        /// Name of the object.
        name: &'a str,
        /// Whether the answer may be some seconds old, where the platform makes that cheaper.
        stale: bool,
    },
    /// Reads one page of a listing.
    List {
        /// Kind of the objects.
        kind: &'a str,
        /// Name after which the page begins.
        after: &'a str,
        /// Beginning of the names.
        prefix: &'a str,
        /// Whether values are left out.
        names_only: bool,
    },
    /// Waits for changes.
    Watch {
        /// Kinds of the objects.
        kinds: &'a [&'a str],
        /// Version after which changes are returned.
        after: Version,
        /// Longest wait.
        wait: Duration,
    },
    /// Writes one object.
    Put {
        /// Kind of the object.
        kind: &'a str,
        /// Name of the object.
        name: &'a str,
        /// What the write expects.
        expected: Expected,
        /// Short text beside the value.
        label: &'a str,
        /// Value.
        spec: &'a Value,
    },
    /// Writes the status of one object.
    PutStatus {
        /// Kind of the object.
        kind: &'a str,
        /// Name of the object.
        name: &'a str,
        /// Status.
        status: &'a Value,
    },
    /// Deletes one object.
    Delete {
        /// Kind of the object.
        kind: &'a str,
        /// Name of the object.
        name: &'a str,
        /// What the deletion expects.
        expected: Expected,
    },
    /// Reads the list of VMs.
    ListVms,
}

/// An HTTP request to the platform.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers beside the content type.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Option<Bytes>,
}

/// The platform's answer.
#[derive(Clone, Debug, Default)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Carries a request to the platform on another way than straight.
pub type ApiRelay = Arc<
    dyn Fn(
            ApiRequest,
            Duration,
        ) -> Pin<Box<dyn Future<Output = Result<ApiResponse, ServeError>> + Send>>
        + Send
        + Sync,
>;

/// Result of decoding a body.
pub type Decoded<T> = Result<T, serde_json::Error>;

/// A wire format of the object API.
#[derive(Clone, Copy, Debug)]
pub struct ApiCodec {
    /// Writes a call.
    pub encode: fn(&ApiCall<'_>) -> ApiRequest,
    /// Reads one object.
    pub decode_object: fn(&[u8]) -> Decoded<PlatformObject>,
    /// Reads a page of a listing.
    pub decode_page: fn(&[u8]) -> Decoded<ObjectPage>,
    /// Reads the answer to a watch.
    pub decode_watch: fn(&[u8]) -> Decoded<WatchBatch>,
    /// Reads the answer to a write, or the body of a conflict.
    pub decode_receipt: fn(&[u8]) -> Decoded<WriteReceipt>,
}

impl ApiCodec {
    /// Returns the project's own wire format.
    pub fn own() -> ApiCodec {
        ApiCodec {
            encode: encode_own,
            decode_object: |body| serde_json::from_slice(body),
            decode_page: |body| serde_json::from_slice(body),
            decode_watch: |body| serde_json::from_slice(body),
            decode_receipt: |body| serde_json::from_slice(body),
        }
    }
}

impl ApiRequest {
    /// Makes a request without a body.
    pub fn new(method: Method, target: String) -> ApiRequest {
        ApiRequest {
            method,
            target,
            headers: Vec::new(),
            body: None,
        }
    }

    /// Adds a JSON body.
    pub fn json(self, value: &Value) -> ApiRequest {
        ApiRequest {
            body: Some(value.to_string().into()),
            ..self
        }
    }
}

/// Writes names and values of a query.
pub fn query(pairs: &[(&str, &str)]) -> String {
    let mut text = String::new();
    for (name, value) in pairs {
        text.push(if text.is_empty() { '?' } else { '&' });
        text.push_str(name);
        text.push('=');
        text.push_str(&escape(value));
    }
    text
}

/// Percent-encodes everything that isn't unreserved in a URL.
pub fn escape(value: &str) -> String {
    let mut text = String::with_capacity(value.len());
    for byte in value.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}

fn encode_own(call: &ApiCall<'_>) -> ApiRequest {
    match *call {
        ApiCall::Get { kind, name, .. } => {
            ApiRequest::new(Method::GET, format!("/objects/{kind}/{name}"))
        }
        ApiCall::List {
            kind,
            after,
            prefix,
            names_only,
        } => {
            let query = query(&[
                ("after", after),
                ("prefix", prefix),
                ("fields", if names_only { "names" } else { "all" }),
                ("limit", &PAGE_LIMIT.to_string()),
            ]);
            ApiRequest::new(Method::GET, format!("/objects/{kind}{query}"))
        }
        ApiCall::Watch { kinds, after, wait } => {
            let query = query(&[
                ("after", &after.to_string()),
                ("kinds", &kinds.join(",")),
                ("wait_ms", &wait.as_millis().to_string()),
            ]);
            ApiRequest::new(Method::GET, format!("/watch{query}"))
        }
        ApiCall::Put {
            kind,
            name,
            expected,
            label,
            spec,
        } => {
            let mut request = ApiRequest::new(Method::PUT, format!("/objects/{kind}/{name}"));
            request.headers = expected_header(expected);
            request.headers.push(("x-label", label.to_owned()));
            request.json(spec)
        }
        ApiCall::PutStatus { kind, name, status } => {
            ApiRequest::new(Method::PUT, format!("/objects/status/{kind}.{name}")).json(status)
        }
        ApiCall::Delete {
            kind,
            name,
            expected,
        } => {
            let mut request = ApiRequest::new(Method::DELETE, format!("/objects/{kind}/{name}"));
            request.headers = expected_header(expected);
            request
        }
        ApiCall::ListVms => ApiRequest::new(Method::GET, "/vms".to_owned()),
    }
}

fn expected_header(expected: Expected) -> Vec<(&'static str, String)> {
    match expected {
        Expected::Absent => vec![("if-match", "0".to_owned())],
        Expected::At(version) => vec![("if-match", version.to_string())],
        Expected::Any => Vec::new(),
    }
}
