//! Client for the platform's object API.

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
        first_conclusive_result,
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

/// Timeout of a call, in addition to a watch's own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response, in bytes; a page of a listing has about a megabyte.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Timeout for opening a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Times after the first attempt of a hedged call at which further attempts start while earlier ones are
/// pending; the attempts alternate between the direct path and the relay.
const ATTEMPT_DELAYS: [Duration; MAX_WRITE_ATTEMPTS] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(350),
    Duration::from_millis(700),
];

/// Maximum number of attempts of a write, since the response of a write that took effect may be lost.
const MAX_WRITE_ATTEMPTS: usize = 4;

/// Maximum number of attempts of a read.
const MAX_READ_ATTEMPTS: usize = 2;

/// Time for which calls try the relay first after the direct path has failed.
const RELAY_FIRST_PERIOD: Duration = Duration::from_secs(2);

/// Idle time after which a TCP connection is probed, and the time between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered probes after which a TCP connection is considered lost.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Longest idle time after which a connection is used again: it may have fallen silent since its last response.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// VM in the platform's list.
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

/// Options of a [`PlatformClient`].
#[derive(Clone)]
pub struct ClientOptions {
    /// Wire format.
    pub codec: ApiCodec,
    /// Timeout of one call, in addition to a watch's own wait.
    pub timeout: Duration,
    /// Alternative path to the platform through another VM, for calls that fail on the direct path.
    pub relay: Option<ApiRelay>,
}

impl Default for ClientOptions {
    fn default() -> ClientOptions {
        ClientOptions {
            codec: ApiCodec::native(),
            timeout: CALL_TIMEOUT,
            relay: None,
        }
    }
}

/// Which objects of a kind are listed, and how.
#[derive(Clone, Copy, Debug, Default)]
struct ListQuery<'a> {
    kind: &'a str,
    prefix: &'a str, // Of the names.
    names_only: bool,
    stale: bool, // Whether the response may be some seconds old.
}

/// Client for the platform's object API; counts all calls in `platform_calls_total`.
#[derive(Clone)]
pub struct PlatformClient {
    base: CompactString,
    http: Client,
    options: ClientOptions,
    relay_first_until: Arc<Mutex<Option<Instant>>>, // Set while the direct path is known to fail.
}

impl std::fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// Creates a client for the object API at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> PlatformClient {
        PlatformClient::with_options(base, ClientOptions::default())
    }

    /// Creates a client with another wire format, timeout or relay.
    pub fn with_options(base: &str, options: ClientOptions) -> PlatformClient {
        let builder = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(MAX_IDLE_TIME)
            .tcp_nodelay(true)
            .tcp_keepalive(KEEPALIVE_PERIOD)
            .tcp_keepalive_interval(KEEPALIVE_PERIOD)
            .tcp_keepalive_retries(MAX_KEEPALIVE_PROBES)
            .tcp_user_timeout(KEEPALIVE_PERIOD * (MAX_KEEPALIVE_PROBES + 1))
            .no_proxy();
        PlatformClient {
            base: base.trim_end_matches('/').into(),
            http: builder.build().unwrap_or_default(),
            options,
            relay_first_until: Arc::default(),
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

    /// Reads an object that never changes once it exists, so that a stale response suffices if it has
    /// the object.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::get`].
    pub async fn get_immutable(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<PlatformObject, ServeError> {
        match self.read(kind, name, true).await {
            // The stale response may predate the object.
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
    /// Returns `ServeError::Conflict` when the precondition fails. After an ambiguous error the write
    /// may have taken effect.
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

    /// Writes one object; if the response is lost, reads the object back to find out whether the write
    /// took effect. The value must be unique to this writer.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::put`]. An ambiguous error is returned if the object can't be read back, or
    /// if its state doesn't show whether the write took effect.
    pub async fn put_confirmed(
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
        // The conflict may be with an earlier attempt of the same write whose response was lost.
        if !error.is_ambiguous() && !matches!(error, ServeError::Conflict(..)) {
            return Err(error);
        }
        let stored = match self.get(kind, name).await {
            Ok(stored) => stored,
            Err(ServeError::Missing(..)) => PlatformObject::default(),
            Err(_) => return Err(error),
        };
        if stored.version > 0 && stored.spec == *spec && stored.label == label {
            return Ok(WriteReceipt {
                version: stored.version,
            });
        }
        if expected == Expected::Absent && stored.version > 0 {
            let peer = self.base.clone();
            return Err(ServeError::Conflict(
                Step::PlatformWrite,
                peer,
                stored.version,
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

    /// Lists all objects of a kind, converted page by page, with the version of the first page.
    ///
    /// # Errors
    ///
    /// Fails when any page fails.
    pub async fn list<T>(
        &self,
        kind: &str,
        convert: impl Fn(PlatformObject) -> T,
    ) -> Result<(Vec<T>, Version), ServeError> {
        self.list_pages(
            ListQuery {
                kind,
                ..ListQuery::default()
            },
            convert,
        )
        .await
    }

    /// Lists all objects of a kind as they were at most some seconds ago, at a lower cost.
    ///
    /// # Errors
    ///
    /// As [`PlatformClient::list`].
    pub async fn list_stale(&self, kind: &str) -> Result<Vec<PlatformObject>, ServeError> {
        let query = ListQuery {
            kind,
            stale: true,
            ..ListQuery::default()
        };
        let (objects, _) = self.list_pages(query, |object| object).await?;
        Ok(objects)
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
        let query = ListQuery {
            kind,
            prefix,
            ..ListQuery::default()
        };
        let (objects, _) = self.list_pages(query, |object| object).await?;
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
        let query = ListQuery {
            kind,
            prefix,
            names_only: true,
            ..ListQuery::default()
        };
        let (objects, _) = self.list_pages(query, |object| object).await?;
        Ok(objects)
    }

    /// Waits until objects of the given kinds change after version `after`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Returns `ServeError::Compacted` when the platform no longer has the changes after `after`, so
    /// that a new listing is needed.
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

    /// Sends a request on behalf of another VM that can't reach the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform doesn't respond.
    pub async fn forward(
        &self,
        request: ApiRequest,
        timeout: Duration,
    ) -> Result<ApiResponse, ServeError> {
        self.send_direct(Step::PlatformRead, request, timeout).await
    }

    async fn list_pages<T>(
        &self,
        query: ListQuery<'_>,
        convert: impl Fn(PlatformObject) -> T,
    ) -> Result<(Vec<T>, Version), ServeError> {
        let mut objects = Vec::new();
        let mut listing_version = None;
        let mut after = CompactString::default();
        loop {
            let call = ApiCall::List {
                kind: query.kind,
                after: &after,
                prefix: query.prefix,
                names_only: query.names_only,
                stale: query.stale,
            };
            let decode = self.options.codec.decode_page;
            let page = self.call(Step::PlatformRead, call, decode).await?;
            listing_version.get_or_insert(page.version);
            let listed = page.items.len();
            let matching = page
                .items
                .into_iter()
                .filter(|object| object.name.starts_with(query.prefix));
            let before = objects.len();
            objects.extend(matching.map(&convert));
            let is_past_prefix = objects.len() - before < listed;
            match page.next {
                Some(next) if !is_past_prefix => after = next,
                _ => return Ok((objects, listing_version.unwrap_or_default())),
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
        let response = match (relay.filter(|_| is_relayable(&call)), is_repeatable(&call)) {
            (None, _) => self.send_direct(step, request, limit).await?,
            (Some(relay), true) => {
                let attempts = if matches!(call, ApiCall::Get { .. }) {
                    MAX_READ_ATTEMPTS
                } else {
                    MAX_WRITE_ATTEMPTS
                };
                self.send_hedged(step, request, limit, (relay, attempts))
                    .await?
            }
            (Some(relay), false) => self.send_at_most_once(step, request, limit, relay).await?,
        };
        let body = self.check_status(step, response)?;
        decode(&body).map_err(|error| {
            ServeError::Malformed(step, self.base.clone(), error.to_compact_string())
        })
    }

    /// Sends a request directly, and through the relay only if the direct attempt certainly had no effect.
    async fn send_at_most_once(
        &self,
        step: Step,
        request: ApiRequest,
        timeout: Duration,
        relay: &ApiRelay,
    ) -> Result<ApiResponse, ServeError> {
        let direct = self.send_direct(step, request.clone(), timeout).await;
        let refused = match &direct {
            Ok(response) => is_refusal(response),
            Err(error) => !error.is_ambiguous(),
        };
        if !refused {
            return direct;
        }
        match relay(request, timeout).await {
            Err(error) if !error.is_ambiguous() => direct,
            other => other,
        }
    }

    /// Sends a request that may take effect twice in hedged attempts that alternate between the direct
    /// path and the relay, until one succeeds.
    async fn send_hedged(
        &self,
        step: Step,
        request: ApiRequest,
        timeout: Duration,
        (relay, attempts): (&ApiRelay, usize),
    ) -> Result<ApiResponse, ServeError> {
        let direct_first = !self.prefers_relay();
        let delays = ATTEMPT_DELAYS.iter().take(attempts).enumerate();
        let attempts = delays.map(|(index, after)| {
            let call: AttemptCall<'_> = match (index % 2 == 0) == direct_first {
                true => Box::pin(self.send_direct(step, request.clone(), timeout)),
                false => relay(request.clone(), timeout),
            };
            HedgedAttempt {
                after: *after,
                call,
            }
        });
        first_conclusive_result(attempts.collect()).await
    }

    fn prefers_relay(&self) -> bool {
        lock(&self.relay_first_until).is_some_and(|until| Instant::now() < until)
    }

    /// Records whether the direct path works.
    fn record_direct_result(&self, result: &Result<ApiResponse, ServeError>) {
        let until = (!is_conclusive(result)).then(|| Instant::now() + RELAY_FIRST_PERIOD);
        *lock(&self.relay_first_until) = until;
    }

    async fn send_direct(
        &self,
        step: Step,
        request: ApiRequest,
        timeout: Duration,
    ) -> Result<ApiResponse, ServeError> {
        let result = self.exchange(step, request, timeout).await;
        self.record_direct_result(&result);
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
            if body.len() + piece.len() > MAX_RESPONSE_BYTES {
                let cause = CompactString::const_new("response too large");
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
        if error.is_timeout() || is_unacknowledged(error) {
            return ServeError::Timeout(step, peer);
        }
        ServeError::Unreachable(Step::Receive, peer, root_cause(error))
    }
}

/// Returns whether a call may use the relay. Watches and listings may not: a VM that reaches the platform
/// performs them instead.
fn is_relayable(call: &ApiCall<'_>) -> bool {
    !matches!(
        call,
        ApiCall::Watch { .. } | ApiCall::List { .. } | ApiCall::ListVms
    )
}

/// Returns whether a call may be executed twice.
fn is_repeatable(call: &ApiCall<'_>) -> bool {
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

/// Returns whether a connection failed since its peer acknowledged nothing for long.
fn is_unacknowledged(error: &reqwest::Error) -> bool {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(inner) = cause {
        let io = inner.downcast_ref::<std::io::Error>();
        if io.is_some_and(|error| error.kind() == std::io::ErrorKind::TimedOut) {
            return true;
        }
        cause = inner.source();
    }
    false
}

/// Returns the innermost source of an HTTP error, which names the actual failure.
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
