//! Typed calls of the platform's object API and their encoding as HTTP requests.
//!
//! Object stores differ in their wire formats. An [`ApiCodec`] encodes typed calls as HTTP requests and
//! decodes the responses.

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

/// Maximum number of objects on one page of a listing.
const MAX_PAGE_OBJECTS: usize = 1000;

/// An object as the platform returns it.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct PlatformObject {
    /// Kind of the object.
    pub kind: CompactString,
    /// Name, unique within the kind.
    pub name: CompactString,
    /// Version that the last write produced.
    pub version: Version,
    /// Version that the object's creation produced.
    pub created: Version,
    /// Whether a watch event is the object's deletion.
    pub deleted: bool,
    /// Short text stored with the value; listings of names return it.
    pub label: CompactString,
    /// Value of the object.
    pub spec: Value,
}

/// One page of a listing.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub struct ObjectPage {
    /// Objects, sorted by name.
    pub items: Vec<PlatformObject>,
    /// Name after which the next page starts; `None` on the last page.
    pub next: Option<CompactString>,
    /// Version of the store at the time of the listing.
    pub version: Version,
}

/// Response to a watch call.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub struct WatchBatch {
    /// Changed objects, oldest first.
    pub events: Vec<PlatformObject>,
    /// Version up to which the events are complete.
    pub version: Version,
}

/// Response to a write.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct WriteReceipt {
    /// Version of the object after the write.
    pub version: Version,
}

/// Precondition of a write on the object's current version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The object must not exist.
    Absent,
    /// The object must be at this version.
    At(Version),
    /// No precondition.
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
        /// Whether the response may be some seconds old, if the platform serves stale reads at lower cost.
        stale: bool,
    },
    /// Reads one page of a listing.
    List {
        /// Kind of the objects.
        kind: &'a str,
        /// Name after which the page starts.
        after: &'a str,
        /// Prefix of the names.
        prefix: &'a str,
        /// Whether values are omitted.
        names_only: bool,
        /// Whether the response may be some seconds old, if the platform serves stale reads at lower cost.
        stale: bool,
    },
    /// Waits for changes (long polling).
    Watch {
        /// Kinds of the objects.
        kinds: &'a [&'a str],
        /// Version after which changes are returned.
        after: Version,
        /// Maximum wait for changes.
        wait: Duration,
    },
    /// Writes one object.
    Put {
        /// Kind of the object.
        kind: &'a str,
        /// Name of the object.
        name: &'a str,
        /// Precondition of the write.
        expected: Expected,
        /// Short text stored with the value.
        label: &'a str,
        /// Value to store.
        spec: &'a Value,
    },
    /// Writes the status of one object.
    PutStatus {
        /// Kind of the object.
        kind: &'a str,
        /// Name of the object.
        name: &'a str,
        /// Status to store.
        status: &'a Value,
    },
    /// Deletes one object.
    Delete {
        /// Kind of the object.
        kind: &'a str,
        /// Name of the object.
        name: &'a str,
        /// Precondition of the deletion.
        expected: Expected,
    },
    /// Reads the list of VMs.
    ListVms,
}

/// An HTTP request to the platform.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers other than the content type.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Option<Bytes>,
}

/// An HTTP response of the platform.
#[derive(Clone, Debug, Default)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

/// Sends a request to the platform through another VM, within a timeout.
pub type ApiRelay = Arc<
    dyn Fn(
            ApiRequest,
            Duration,
        ) -> Pin<Box<dyn Future<Output = Result<ApiResponse, ServeError>> + Send>>
        + Send
        + Sync,
>;

/// Result of decoding a response body.
pub type Decoded<T> = Result<T, serde_json::Error>;

/// Wire format of an object API: one encoder and the decoders of its responses.
#[derive(Clone, Copy, Debug)]
pub struct ApiCodec {
    /// Encodes a call as a request.
    pub encode: fn(&ApiCall<'_>) -> ApiRequest,
    /// Decodes one object.
    pub decode_object: fn(&[u8]) -> Decoded<PlatformObject>,
    /// Decodes one page of a listing.
    pub decode_page: fn(&[u8]) -> Decoded<ObjectPage>,
    /// Decodes the response to a watch.
    pub decode_watch: fn(&[u8]) -> Decoded<WatchBatch>,
    /// Decodes the response to a write, or the body of a conflict (status 409).
    pub decode_receipt: fn(&[u8]) -> Decoded<WriteReceipt>,
}

impl ApiCodec {
    /// Returns this project's native wire format.
    pub fn native() -> ApiCodec {
        ApiCodec {
            encode: encode_native,
            decode_object: |body| serde_json::from_slice(body),
            decode_page: |body| serde_json::from_slice(body),
            decode_watch: |body| serde_json::from_slice(body),
            decode_receipt: |body| serde_json::from_slice(body),
        }
    }
}

impl ApiRequest {
    /// Creates a request without headers or body.
    pub fn new(method: Method, target: String) -> ApiRequest {
        ApiRequest {
            method,
            target,
            headers: Vec::new(),
            body: None,
        }
    }

    /// Sets a JSON body.
    pub fn json(self, value: &Value) -> ApiRequest {
        ApiRequest {
            body: Some(value.to_string().into()),
            ..self
        }
    }
}

/// Formats a URL query, with the leading `?` and escaped values; empty without pairs.
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

/// Percent-encodes all bytes except the unreserved characters of a URL (RFC 3986).
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

fn encode_native(call: &ApiCall<'_>) -> ApiRequest {
    match *call {
        ApiCall::Get { kind, name, .. } => {
            ApiRequest::new(Method::GET, format!("/objects/{kind}/{name}"))
        }
        ApiCall::List {
            kind,
            after,
            prefix,
            names_only,
            ..
        } => {
            let query = query(&[
                ("after", after),
                ("prefix", prefix),
                ("fields", if names_only { "names" } else { "all" }),
                ("limit", &MAX_PAGE_OBJECTS.to_string()),
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
