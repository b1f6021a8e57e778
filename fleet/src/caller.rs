//! Heads of callers' requests: parsing, and the headers to forward.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    prompt::PromptParts,
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

/// Timeout of requests that don't state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Headers that concern one connection only and are never forwarded.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Further headers of this kind, for which `hyper` has no constant.
const CONNECTION_HEADER_NAMES: [&str; 4] = [
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
];

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Request id; empty if the caller sent none.
    pub(crate) id: CompactString,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: Uri,
    /// Host without port.
    pub(crate) host: CompactString,
    /// Headers to forward to a backend server.
    pub(crate) headers: HeaderMap,
    /// API key.
    pub(crate) key: Option<CompactString>,
    /// Time at which the head was received.
    pub(crate) arrived: Instant,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Longest time that a read of results may wait.
    pub(crate) wait: Duration,
    /// Parts of the prompt.
    pub(crate) prompt: PromptParts,
}

impl CallerRequest {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request has no host or its path can't be parsed.
    pub(crate) fn read(
        names: &HeaderNames,
        parts: &Parts,
        arrived: Instant,
    ) -> Result<CallerRequest, RefusalResponse> {
        let malformed =
            |field: &str| RefusalResponse::not_run(RefusalReason::RequestMalformed, field);
        let headers = &parts.headers;
        let id = header_text(headers, &names.request_id).unwrap_or_default();
        let host = parse_host(parts).ok_or_else(|| malformed("host"))?;
        let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let remaining = header_number(headers, &names.remaining_ms).map(Duration::from_millis);
        Ok(CallerRequest {
            id: id.into(),
            method: parts.method.clone(),
            target: target.parse().map_err(|_| malformed("path"))?,
            host: host.into(),
            key: parse_key(headers, names.auth_scheme),
            arrived,
            deadline: arrived + remaining.unwrap_or(DEFAULT_TIMEOUT),
            wait: Duration::from_millis(header_number(headers, &names.wait_ms).unwrap_or(0)),
            prompt: header_text(headers, &names.prefix)
                .map_or_else(PromptParts::default, PromptParts::parse),
            headers: forwardable_headers(names, headers),
        })
    }

    /// Returns the path, without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.path()
    }
}

/// Returns the host that a request addresses, without the port.
pub(crate) fn parse_host(parts: &Parts) -> Option<&str> {
    let authority = parts.uri.authority().map(|authority| authority.as_str());
    let host = authority.or_else(|| header_text(&parts.headers, &HOST))?;
    Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
}

/// Returns a header's value as text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the headers to forward: without those that concern one connection only, and without those that
/// only the system may set.
pub(crate) fn forwardable_headers(names: &HeaderNames, headers: &HeaderMap) -> HeaderMap {
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

/// Sets the header that names the workspace of a request.
pub(crate) fn set_workspace(names: &HeaderNames, headers: &mut HeaderMap, workspace: &str) {
    if let Ok(value) = HeaderValue::from_str(workspace) {
        headers.insert(names.workspace.clone(), value);
    }
}

/// Returns a header's value as a number.
fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}

/// Returns the API key of the `Authorization` header if its scheme is `scheme`.
fn parse_key(headers: &HeaderMap, scheme: &str) -> Option<CompactString> {
    let (named, key) = header_text(headers, &AUTHORIZATION)?.split_once(' ')?;
    let key = key.trim();
    (named.eq_ignore_ascii_case(scheme) && !key.is_empty()).then(|| key.into())
}
