//! Client of the platform's object API.

use std::time::Duration;

use compact_str::{
    CompactString,
    ToCompactString, //
};
use metrics::counter;
use reqwest::{
    Client,
    Method,
    RequestBuilder,
    Response,
    StatusCode, //
};
use serde::{
    de::DeserializeOwned,
    Deserialize, //
};
use serde_json::Value;

use crate::{
    config::Version,
    error::{
        ServeError,
        Step, //
    }, //
};

/// Time that the platform may take beyond a watch's own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Objects on one page of a listing.
const PAGE_LIMIT: usize = 1000;

/// An object as the platform returns it.
#[derive(Clone, Debug, Default, Deserialize)]
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
#[derive(Debug, Default, Deserialize)]
struct ObjectPage {
    items: Vec<PlatformObject>,
    next: Option<CompactString>,
    version: Version,
}

/// What a watch returned.
#[derive(Debug, Default, Deserialize)]
pub struct WatchBatch {
    /// Changed objects, oldest first.
    pub events: Vec<PlatformObject>,
    /// Version up to which the events are complete.
    pub version: Version,
}

/// Versions that a write produced.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct WriteReceipt {
    /// Version of the object after the write.
    pub version: Version,
}

/// One VM on the platform's list.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: CompactString,
    /// Failure domain of the VM.
    pub domain: CompactString,
    /// `live` or `leaving`.
    pub state: CompactString,
}

#[derive(Debug, Default, Deserialize)]
struct VmList {
    vms: Vec<ListedVm>,
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

/// Calls the platform and counts each call.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: CompactString,
    http: Client,
}

impl PlatformClient {
    /// Makes a client of the object API at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> PlatformClient {
        PlatformClient {
            base: base.trim_end_matches('/').into(),
            http: Client::new(),
        }
    }

    /// Returns the base URL.
    pub fn base(&self) -> &str {
        &self.base
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Missing` when the object doesn't exist.
    pub async fn get(&self, kind: &str, name: &str) -> Result<PlatformObject, ServeError> {
        let request = self.request(Method::GET, &format!("objects/{kind}/{name}"));
        self.call(Step::PlatformRead, request).await
    }

    /// Writes one object.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Conflict` when the object isn't as expected. After an ambiguous error
    /// the write may have taken effect.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Expected,
        label: &str,
        spec: &Value,
    ) -> Result<WriteReceipt, ServeError> {
        let request = self.request(Method::PUT, &format!("objects/{kind}/{name}"));
        let request = expect(request, expected)
            .header("x-label", label)
            .json(spec);
        self.call(Step::PlatformWrite, request).await
    }

    /// Writes one object; when the answer is lost, reads back whether the write took effect. The value
    /// must tell this writer from others.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::put`]; an ambiguous error remains only when reading back fails as well.
    pub async fn put_settled(
        &self,
        kind: &str,
        name: &str,
        expected: Expected,
        label: &str,
        spec: &Value,
    ) -> Result<WriteReceipt, ServeError> {
        let error = match self.put(kind, name, expected, label, spec).await {
            Ok(receipt) => return Ok(receipt),
            Err(error) => error,
        };
        // A conflict may be with an own earlier write of the same value whose answer was lost.
        if !error.is_ambiguous() && !matches!(error, ServeError::Conflict(..)) {
            return Err(error);
        }
        let known = match self.get(kind, name).await {
            Ok(known) => known,
            Err(ServeError::Missing(..)) => PlatformObject::default(),
            Err(_) => return Err(error),
        };
        if known.version > 0 && known.spec == *spec && known.label == label {
            return Ok(WriteReceipt {
                version: known.version,
            });
        }
        if expected == Expected::Absent && known.version > 0 {
            let peer = self.base.clone();
            return Err(ServeError::Conflict(
                Step::PlatformWrite,
                peer,
                known.version,
            ));
        }
        Err(error)
    }

    /// Deletes one object.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::put`], and `ServeError::Missing`.
    pub async fn delete(
        &self,
        kind: &str,
        name: &str,
        expected: Expected,
    ) -> Result<WriteReceipt, ServeError> {
        let request = self.request(Method::DELETE, &format!("objects/{kind}/{name}"));
        self.call(Step::PlatformWrite, expect(request, expected))
            .await
    }

    /// Lists all objects of a kind, converted page by page, and the version at which the listing began.
    ///
    /// # Errors
    ///
    /// Fails when any page fails.
    pub async fn list<T>(
        &self,
        kind: &str,
        convert: impl Fn(PlatformObject) -> T,
    ) -> Result<(Vec<T>, Version), ServeError> {
        self.list_pages(kind, "", "all", convert).await
    }

    /// Lists names, versions and labels of the objects whose name starts with `prefix`.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::list`].
    pub async fn list_names(
        &self,
        kind: &str,
        prefix: &str,
    ) -> Result<Vec<PlatformObject>, ServeError> {
        let (objects, _) = self
            .list_pages(kind, prefix, "names", |object| object)
            .await?;
        Ok(objects)
    }

    /// Waits for objects of the kinds that changed after a version.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Compacted` when a new listing is needed.
    pub async fn watch(
        &self,
        kinds: &[&str],
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, ServeError> {
        let request = self
            .request(Method::GET, "watch")
            .timeout(wait + CALL_TIMEOUT);
        let request = request.query(&[
            ("after", after.to_string()),
            ("kinds", kinds.join(",")),
            ("wait_ms", wait.as_millis().to_string()),
        ]);
        self.call(Step::PlatformRead, request).await
    }

    /// Reads the list of live and leaving VMs.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached.
    pub async fn list_vms(&self) -> Result<Vec<ListedVm>, ServeError> {
        let request = self.request(Method::GET, "vms");
        let list: VmList = self.call(Step::PlatformRead, request).await?;
        Ok(list.vms)
    }

    async fn list_pages<T>(
        &self,
        kind: &str,
        prefix: &str,
        fields: &str,
        convert: impl Fn(PlatformObject) -> T,
    ) -> Result<(Vec<T>, Version), ServeError> {
        let mut objects = Vec::new();
        let mut begun = None;
        let mut after = CompactString::default();
        loop {
            let request = self
                .request(Method::GET, &format!("objects/{kind}"))
                .query(&[
                    ("after", after.as_str()),
                    ("prefix", prefix),
                    ("fields", fields),
                    ("limit", &PAGE_LIMIT.to_string()),
                ]);
            let page: ObjectPage = self.call(Step::PlatformRead, request).await?;
            begun.get_or_insert(page.version);
            objects.extend(page.items.into_iter().map(&convert));
            match page.next {
                Some(next) => after = next,
                None => return Ok((objects, begun.unwrap_or_default())),
            }
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http
            .request(method, format!("{}/{path}", self.base))
            .timeout(CALL_TIMEOUT)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        step: Step,
        request: RequestBuilder,
    ) -> Result<T, ServeError> {
        counter!("platform_calls_total", "step" => step_name(step)).increment(1);
        let sent = request.send().await;
        let response = sent.map_err(|error| self.transport_error(step, &error))?;
        let response = self.check_status(step, response).await?;
        let body = response.json().await;
        body.map_err(|error| {
            ServeError::Malformed(step, self.base.clone(), error.to_compact_string())
        })
    }

    async fn check_status(&self, step: Step, response: Response) -> Result<Response, ServeError> {
        let peer = self.base.clone();
        match response.status() {
            status if status.is_success() => Ok(response),
            StatusCode::NOT_FOUND => Err(ServeError::Missing(step, peer)),
            StatusCode::GONE => Err(ServeError::Compacted(step, peer)),
            StatusCode::CONFLICT => {
                let receipt: WriteReceipt = response.json().await.unwrap_or_default();
                Err(ServeError::Conflict(step, peer, receipt.version))
            }
            status => Err(ServeError::Rejected(step, peer, status.to_compact_string())),
        }
    }

    fn transport_error(&self, step: Step, error: &reqwest::Error) -> ServeError {
        let peer = self.base.clone();
        if error.is_connect() {
            return ServeError::Unreachable(Step::Connect, peer, root_cause(error));
        }
        if error.is_timeout() {
            return ServeError::Timeout(step, peer);
        }
        ServeError::Unreachable(Step::Receive, peer, root_cause(error))
    }
}

/// Returns the innermost cause of an HTTP error, which names what really failed.
pub fn root_cause(error: &reqwest::Error) -> CompactString {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_compact_string()
}

fn expect(request: RequestBuilder, expected: Expected) -> RequestBuilder {
    match expected {
        Expected::Absent => request.header("if-match", "0"),
        Expected::At(version) => request.header("if-match", version.to_string()),
        Expected::Any => request,
    }
}

fn step_name(step: Step) -> &'static str {
    match step {
        Step::PlatformWrite => "write",
        _ => "read",
    }
}
