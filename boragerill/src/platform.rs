//! Client of the platform's object API.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::{
    Bytes,
    BytesMut, //
};
use compact_str::{
    CompactString,
    ToCompactString, //
};
use metrics::counter;
use reqwest::Client;
use serde::Deserialize;
use serde_json::Value;

use crate::{
    api::{
        ApiCall,
        ApiCodec,
        ApiRelay,
        ApiRequest,
        ApiResponse,
        Decoded, //
    },
    config::Version,
    error::{
        ServeError,
        Step, //
    },
    hedge::{
        first_success,
        is_conclusive,
        is_refusal,
        AttemptCall,
        HedgedAttempt, //
    },
    sync::lock, //
};

pub use crate::api::{
    Expected,
    ObjectPage,
    PlatformObject,
    WatchBatch,
    WriteReceipt, //
};

/// Time that the platform may take beyond a watch's own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer of the platform, in bytes: a page holds about a megabyte.
const ANSWER_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Longest time for opening a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Times without an answer after which a call is made again, on the two ways in turn.
const TRY_TIMES: [Duration; WRITE_TRIES] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(350),
    Duration::from_millis(700),
];

/// Tries of a write at most; the answer of a write that was carried out may be lost.
const WRITE_TRIES: usize = 4;

/// Tries of a read at most.
const READ_TRIES: usize = 2;

/// Time for which calls go the other way first after the straight one has failed.
const AVOID_PERIOD: Duration = Duration::from_secs(2);

/// Silence of a connection after which it is probed, and the time between probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as lost.
const PROBES: u32 = 2;

/// One VM on the platform's list.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: CompactString,
    /// Failure domain of the VM.
    pub domain: CompactString,
    /// `live` or `leaving`.
    pub state: CompactString,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
struct VmList {
    vms: Vec<ListedVm>,
}

/// How a client reaches the platform.
#[derive(Clone)]
pub struct ClientOptions {
    /// Wire format.
    pub codec: ApiCodec,
    /// Longest time for one call, beyond a watch's own wait.
    pub timeout: Duration,
    /// Other way to the platform, taken when the straight one fails.
    pub relay: Option<ApiRelay>,
}

impl Default for ClientOptions {
    fn default() -> ClientOptions {
        ClientOptions {
            codec: ApiCodec::own(),
            timeout: CALL_TIMEOUT,
            relay: None,
        }
    }
}

/// Calls the platform and counts each call.
#[derive(Clone)]
pub struct PlatformClient {
    base: CompactString,
    http: Client,
    options: ClientOptions,
    avoid_until: Arc<Mutex<Option<Instant>>>, // While the straight way is known to fail.
}

impl std::fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// Makes a client of the object API at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> PlatformClient {
        PlatformClient::with_options(base, ClientOptions::default())
    }

    /// Makes a client with another wire format, time-out or way.
    pub fn with_options(base: &str, options: ClientOptions) -> PlatformClient {
        let builder = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .tcp_keepalive(PROBE_PERIOD)
            .tcp_keepalive_interval(PROBE_PERIOD)
            .tcp_keepalive_retries(PROBES)
            .tcp_user_timeout(PROBE_PERIOD * (PROBES + 1))
            .no_proxy();
        PlatformClient {
            base: base.trim_end_matches('/').into(),
            http: builder.build().unwrap_or_default(),
            options,
            avoid_until: Arc::default(),
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
        self.read(kind, name, false).await
    }

    /// Reads one object that never changes once it exists: an old answer that holds it is good enough.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::get`].
    pub async fn get_fixed(&self, kind: &str, name: &str) -> Result<PlatformObject, ServeError> {
        match self.read(kind, name, true).await {
            // It may have been created since.
            Err(ServeError::Missing(..)) => self.get(kind, name).await,
            result => result,
        }
    }

    async fn read(
        &self,
        kind: &str,
        name: &str,
        stale: bool,
    ) -> Result<PlatformObject, ServeError> {
        let call = ApiCall::Get { kind, name, stale };
        self.call(Step::PlatformRead, call, self.options.codec.decode_object)
            .await
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
        let call = ApiCall::Put {
            kind,
            name,
            expected,
            label,
            spec,
        };
        self.call(Step::PlatformWrite, call, self.options.codec.decode_receipt)
            .await
    }

    /// Writes the status of one object.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::put`], and `ServeError::Missing`.
    pub async fn put_status(
        &self,
        kind: &str,
        name: &str,
        status: &Value,
    ) -> Result<WriteReceipt, ServeError> {
        let call = ApiCall::PutStatus { kind, name, status };
        self.call(Step::PlatformWrite, call, self.options.codec.decode_receipt)
            .await
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
        let call = ApiCall::Delete {
            kind,
            name,
            expected,
        };
        self.call(Step::PlatformWrite, call, self.options.codec.decode_receipt)
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
        self.list_pages(kind, "", false, convert).await
    }

    /// Lists the objects whose name starts with `prefix`.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::list`].
    pub async fn list_prefix(
        &self,
        kind: &str,
        prefix: &str,
    ) -> Result<Vec<PlatformObject>, ServeError> {
        let (objects, _) = self
            .list_pages(kind, prefix, false, |object| object)
            .await?;
        Ok(objects)
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
        let (objects, _) = self.list_pages(kind, prefix, true, |object| object).await?;
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
        let call = ApiCall::Watch { kinds, after, wait };
        self.call(Step::PlatformRead, call, self.options.codec.decode_watch)
            .await
    }

    /// Reads the list of live and leaving VMs.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached.
    pub async fn list_vms(&self) -> Result<Vec<ListedVm>, ServeError> {
        let decode = |body: &[u8]| serde_json::from_slice::<VmList>(body);
        let list = self
            .call(Step::PlatformRead, ApiCall::ListVms, decode)
            .await?;
        Ok(list.vms)
    }

    /// Carries out a request for another VM that can't reach the platform itself.
    ///
    /// # Errors
    ///
    /// Fails when no answer came.
    pub async fn forward(
        &self,
        request: ApiRequest,
        timeout: Duration,
    ) -> Result<ApiResponse, ServeError> {
        self.send_straight(Step::PlatformRead, request, timeout)
            .await
    }

    async fn list_pages<T>(
        &self,
        kind: &str,
        prefix: &str,
        names_only: bool,
        convert: impl Fn(PlatformObject) -> T,
    ) -> Result<(Vec<T>, Version), ServeError> {
        let mut objects = Vec::new();
        let mut begun = None;
        let mut after = CompactString::default();
        loop {
            let call = ApiCall::List {
                kind,
                after: &after,
                prefix,
                names_only,
            };
            let decode = self.options.codec.decode_page;
            let page = self.call(Step::PlatformRead, call, decode).await?;
            begun.get_or_insert(page.version);
            let listed = page.items.len();
            let fitting = page
                .items
                .into_iter()
                .filter(|object| object.name.starts_with(prefix));
            let before = objects.len();
            objects.extend(fitting.map(&convert));
            let passed = objects.len() - before < listed;
            match page.next {
                Some(next) if !passed => after = next,
                _ => return Ok((objects, begun.unwrap_or_default())),
            }
        }
    }

    async fn call<T>(
        &self,
        step: Step,
        call: ApiCall<'_>,
        decode: impl Fn(&[u8]) -> Decoded<T>,
    ) -> Result<T, ServeError> {
        let wait = match call {
            ApiCall::Watch { wait, .. } => wait,
            _ => Duration::ZERO,
        };
        let request = (self.options.codec.encode)(&call);
        let limit = wait + self.options.timeout;
        let relay = self.options.relay.as_ref();
        let response = match (relay.filter(|_| is_relayed(&call)), is_safe(&call)) {
            (None, _) => self.send_straight(step, request, limit).await?,
            (Some(relay), true) => {
                let tries = if matches!(call, ApiCall::Get { .. }) {
                    READ_TRIES
                } else {
                    WRITE_TRIES
                };
                self.send_safely(step, request, limit, (relay, tries))
                    .await?
            }
            (Some(relay), false) => self.send_once(step, request, limit, relay).await?,
        };
        let body = self.check_status(step, response)?;
        decode(&body).map_err(|error| {
            ServeError::Malformed(step, self.base.clone(), error.to_compact_string())
        })
    }

    /// Sends a request straight, and the other way only when it has certainly not been carried out.
    async fn send_once(
        &self,
        step: Step,
        request: ApiRequest,
        timeout: Duration,
        relay: &ApiRelay,
    ) -> Result<ApiResponse, ServeError> {
        let straight = self.send_straight(step, request.clone(), timeout).await;
        let refused = match &straight {
            Ok(response) => is_refusal(response),
            Err(error) => !error.is_ambiguous(),
        };
        if !refused {
            return straight;
        }
        match relay(request, timeout).await {
            Err(error) if !error.is_ambiguous() => straight,
            other => other,
        }
    }

    /// Sends a request that may be carried out twice on both ways in turn, until one answers.
    async fn send_safely(
        &self,
        step: Step,
        request: ApiRequest,
        timeout: Duration,
        (relay, tries): (&ApiRelay, usize),
    ) -> Result<ApiResponse, ServeError> {
        let straight_first = !self.avoids_straight();
        let ways = TRY_TIMES.iter().take(tries).enumerate();
        let tries = ways.map(|(index, after)| {
            let call: AttemptCall<'_> = match (index % 2 == 0) == straight_first {
                true => Box::pin(self.send_straight(step, request.clone(), timeout)),
                false => relay(request.clone(), timeout),
            };
            HedgedAttempt {
                after: *after,
                call,
            }
        });
        first_success(tries.collect()).await
    }

    fn avoids_straight(&self) -> bool {
        lock(&self.avoid_until).is_some_and(|until| Instant::now() < until)
    }

    /// Notes whether the straight way works.
    fn note_straight(&self, result: &Result<ApiResponse, ServeError>) {
        let until = (!is_conclusive(result)).then(|| Instant::now() + AVOID_PERIOD);
        *lock(&self.avoid_until) = until;
    }

    async fn send_straight(
        &self,
        step: Step,
        request: ApiRequest,
        timeout: Duration,
    ) -> Result<ApiResponse, ServeError> {
        let result = self.exchange(step, request, timeout).await;
        self.note_straight(&result);
        result
    }

    async fn exchange(
        &self,
        step: Step,
        request: ApiRequest,
        timeout: Duration,
    ) -> Result<ApiResponse, ServeError> {
        counter!("platform_calls_total", "step" => step_name(step)).increment(1);
        let url = format!("{}{}", self.base, request.target);
        let mut outgoing = self.http.request(request.method, url).timeout(timeout);
        for (name, value) in request.headers {
            outgoing = outgoing.header(name, value);
        }
        if let Some(body) = request.body {
            outgoing = outgoing
                .header("content-type", "application/json")
                .body(body);
        }
        let sent = outgoing.send().await;
        let mut response = sent.map_err(|error| self.transport_error(step, &error))?;
        let status = response.status().as_u16();
        let mut body = BytesMut::new();
        loop {
            let piece = response.chunk().await;
            let Some(piece) = piece.map_err(|error| self.transport_error(step, &error))? else {
                break;
            };
            if body.len() + piece.len() > ANSWER_LIMIT_BYTES {
                let cause = CompactString::const_new("answer too large");
                return Err(ServeError::Malformed(step, self.base.clone(), cause));
            }
            body.extend_from_slice(&piece);
        }
        let body = body.freeze();
        Ok(ApiResponse { status, body })
    }

    fn check_status(&self, step: Step, response: ApiResponse) -> Result<Bytes, ServeError> {
        let peer = self.base.clone();
        match response.status {
            200..=299 => Ok(response.body),
            404 => Err(ServeError::Missing(step, peer)),
            410 => Err(ServeError::Compacted(step, peer)),
            409 => {
                let receipt = (self.options.codec.decode_receipt)(&response.body);
                let version = receipt.unwrap_or_default().version;
                Err(ServeError::Conflict(step, peer, version))
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

/// Returns whether a call may go another way than straight: one that waits or lists is taken up again
/// by whoever reaches the platform.
fn is_relayed(call: &ApiCall<'_>) -> bool {
    !matches!(
        call,
        ApiCall::Watch { .. } | ApiCall::List { .. } | ApiCall::ListVms
    )
}

/// Returns whether a call may be carried out twice.
fn is_safe(call: &ApiCall<'_>) -> bool {
    matches!(
        call,
        ApiCall::Get { .. }
            | ApiCall::PutStatus { .. }
            | ApiCall::Put {
                expected: Expected::Absent,
                ..
            }
    )
}

/// Returns the innermost cause of an HTTP error, which names what really failed.
pub fn root_cause(error: &reqwest::Error) -> CompactString {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_compact_string()
}

fn step_name(step: Step) -> &'static str {
    match step {
        Step::PlatformWrite => "write",
        _ => "read",
    }
}
