//! What a caller's request carries besides its body.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    rank::hash_name,
    refusal::{
        RefusalReason,
        RefusalResponse, //
    }, //
};
use compact_str::CompactString;
use hyper::{
    header::{
        HeaderMap,
        HeaderName,
        HeaderValue,
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        HOST,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
    http::request::Parts,
    Method,
    Uri, //
};

use crate::wire::HeaderNames;

/// Longest time that a request without a time of its own may take.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(60);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Further ones without a constant.
const CONNECTION_HEADER_NAMES: [&str; 4] = [
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
];

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Identifies the request; empty when the caller sent no id.
    pub(crate) id: CompactString,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: Uri,
    /// Host without its port.
    pub(crate) host: CompactString,
    /// Headers that go on to a server.
    pub(crate) headers: HeaderMap,
    /// Key that came with the request.
    pub(crate) key: Option<CompactString>,
    /// When the head had arrived.
    pub(crate) arrived: Instant,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Longest wait of a read.
    pub(crate) wait: Duration,
    /// Hash of the shared parts of the prompt.
    pub(crate) prefix: Option<u64>,
}

impl CallerRequest {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal for a request without a host, or with a path that can't be read.
    pub(crate) fn read(
        names: &HeaderNames,
        parts: &Parts,
        arrived: Instant,
    ) -> Result<CallerRequest, RefusalResponse> {
        let malformed =
            |field: &str| RefusalResponse::not_run(RefusalReason::RequestMalformed, field);
        let headers = &parts.headers;
        let id = text(headers, &names.request_id).unwrap_or_default();
        let authority = parts.uri.authority().map(|authority| authority.as_str());
        let host = authority.or_else(|| text(headers, &HOST));
        let host = host.ok_or_else(|| malformed("host"))?;
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let remaining = number(headers, &names.remaining_ms).map(Duration::from_millis);
        Ok(CallerRequest {
            id: id.into(),
            method: parts.method.clone(),
            target: target.parse().map_err(|_| malformed("path"))?,
            host: host.into(),
            key: scan_key(headers, names.auth_scheme),
            arrived,
            deadline: arrived + remaining.unwrap_or(DEFAULT_PATIENCE),
            wait: Duration::from_millis(number(headers, &names.wait_ms).unwrap_or(0)),
            prefix: text(headers, &names.prefix).and_then(shared_prefix),
            headers: forwarded(names, headers),
        })
    }

    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.path()
    }
}

/// Returns a header's text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the headers that go on: none of one connection, and none that only the system may set.
pub(crate) fn forwarded(names: &HeaderNames, headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let listed = headers.get_all(CONNECTION).iter();
    let listed = listed.filter_map(|value| value.to_str().ok());
    for name in listed.flat_map(|text| text.split(',')) {
        if let Ok(name) = HeaderName::try_from(name.trim()) {
            kept.remove(name);
        }
    }
    for name in &CONNECTION_HEADERS {
        kept.remove(name);
    }
    for name in CONNECTION_HEADER_NAMES {
        kept.remove(name);
    }
    kept.remove(AUTHORIZATION);
    kept.remove(&names.workspace);
    kept.remove(&names.expected_server);
    kept.remove(&names.remaining_ms);
    for name in &names.reserved {
        kept.remove(name);
    }
    kept
}

/// Sets the workspace that a request runs for.
pub(crate) fn set_workspace(names: &HeaderNames, headers: &mut HeaderMap, workspace: &str) {
    if let Ok(value) = HeaderValue::from_str(workspace) {
        headers.insert(names.workspace.clone(), value);
    }
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

fn scan_key(headers: &HeaderMap, scheme: &str) -> Option<CompactString> {
    let (named, key) = text(headers, &AUTHORIZATION)?.split_once(' ')?;
    let key = key.trim();
    (named.eq_ignore_ascii_case(scheme) && !key.is_empty()).then(|| key.into())
}

/// Returns the hash of a prompt's parts but the last one, which belongs to the request itself.
fn shared_prefix(parts: &str) -> Option<u64> {
    let (shared, _) = parts.rsplit_once(',')?;
    Some(hash_name(shared))
}
