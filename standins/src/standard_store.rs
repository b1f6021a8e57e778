//! Stand-in of the platform standard's store: objects with revisions, conditional writes and watches.
//!
//! Tests inject faults at run time.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::sync::lock;
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn,
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper_util::rt::TokioIo;
use serde_json::{
    json,
    Value, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};

/// Delay of a response that counts as lost.
const LOST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Begins a spec that stands for bytes, as hexadecimal digits.
const BYTES_MARK: &str = "bytes of another writer: ";

/// Faults that the store injects.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Status with which all calls fail, without being executed.
    pub error_status: Option<u16>,
    /// Whether calls get no response within 30 s. A call is not executed if the client closes the connection
    /// within that time.
    pub unresponsive: bool,
    /// Number of next writes that are executed and get no response within 30 s.
    pub lost_write_responses: u32,
    /// Delay of each call.
    pub delay: Duration,
    /// Time after which the connection of a waiting watch call is closed.
    pub watch_cut_after: Option<Duration>,
    /// Delay of the response to a watch call, after its events.
    pub watch_response_delay: Duration,
    /// Delay of the response to a write that has been executed.
    pub write_response_delay: Duration,
    /// Kind of objects whose calls fail with status 503, without being executed.
    pub failing_kind: Option<&'static str>,
}

#[derive(Clone, Debug)]
struct StoredObject {
    kind: String,
    name: String,
    revision: u64,
    created: u64,
    spec: Value,
    status: Value,
}

#[derive(Clone, Debug)]
struct StoreEvent {
    kind: String,
    deleted: bool,
    object: StoredObject,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    objects: Vec<StoredObject>, // Sorted by kind and name.
    history: Vec<StoreEvent>,
    compacted: u64, // History up to this revision is no longer kept.
    faults: StoreFaults,
    calls: Vec<String>,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct StandardStore {
    address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

type StoreResponse = (u16, Value);

impl StandardStore {
    /// Starts a store on a free port.
    ///
    /// # Panics
    ///
    /// Panics when no port can be bound.
    pub async fn start() -> StandardStore {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let store = StandardStore {
            address: listener.local_addr().expect("address"),
            state: Arc::default(),
            changed: Arc::default(),
        };
        lock(&store.state).revision = 1;
        let serving = store.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("connection");
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        store
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Creates an object or replaces its spec, as the operator or a backend server does.
    pub fn write(&self, kind: &str, name: &str, spec: Value) {
        let mut state = lock(&self.state);
        let existing = state.find(kind, name);
        state.put(kind, name, existing, Some(spec), None);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes an object whose spec is the given bytes, which may be no valid JSON, as a faulty writer does.
    pub fn write_bytes(&self, kind: &str, name: &str, spec: &[u8]) {
        let digits: String = spec.iter().map(|byte| format!("{byte:02x}")).collect();
        self.write(kind, name, json!(format!("{BYTES_MARK}{digits}")));
    }

    /// Deletes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.state).remove(kind, name);
        self.changed.notify_waiters();
    }

    /// Discards the history, so that watches from older revisions fail with status 410.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Returns the spec of an object.
    pub fn read(&self, kind: &str, name: &str) -> Option<Value> {
        let state = lock(&self.state);
        let index = state.find(kind, name)?;
        Some(state.objects[index].spec.clone())
    }

    /// Returns the status of an object.
    pub fn read_status(&self, kind: &str, name: &str) -> Option<Value> {
        let state = lock(&self.state);
        let index = state.find(kind, name)?;
        Some(state.objects[index].status.clone())
    }

    /// Returns the method and target of all calls so far.
    pub fn calls(&self) -> Vec<String> {
        lock(&self.state).calls.clone()
    }

    async fn serve(self, stream: TcpStream) {
        let service = service_fn(|request: Request<Incoming>| {
            let store = self.clone();
            async move { store.respond_or_cut(request).await }
        });
        // An error means that the client has closed the connection.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    /// Responds to a call, unless it is a watch that waits for longer than the faults allow.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has to be closed.
    async fn respond_or_cut(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let limit = lock(&self.state).faults.watch_cut_after;
        let is_watch = request.uri().query().unwrap_or_default().contains("watch=");
        let Some(limit) = limit.filter(|_| is_watch) else {
            return Ok(self.respond(request).await);
        };
        timeout(limit, self.respond(request))
            .await
            .map_err(|_| io::ErrorKind::ConnectionAborted.into())
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let body = request.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let faults = {
            let mut state = lock(&self.state);
            state.calls.push(format!("{method} {path}?{query}"));
            state.faults.clone()
        };
        sleep(faults.delay).await;
        if faults.unresponsive {
            sleep(LOST_RESPONSE_TIMEOUT).await;
        }
        if let Some(status) = faults.error_status {
            return response((status, json!({})));
        }
        let (kind, name, is_status) = split_path(&path);
        if faults.failing_kind.is_some_and(|failing| failing == kind) {
            return response((503, json!({})));
        }
        if method == Method::GET {
            return response(self.get(&kind, name.as_deref(), &query).await);
        }
        let result = self.change(&method, &kind, name.as_deref(), is_status, &query, &body);
        self.changed.notify_waiters();
        if self.take_lost_response() {
            sleep(LOST_RESPONSE_TIMEOUT).await;
        }
        sleep(faults.write_response_delay).await;
        response(result)
    }

    /// Decrements the count of lost responses, and returns whether the response of this write is lost.
    fn take_lost_response(&self) -> bool {
        let faults = &mut lock(&self.state).faults;
        let loses = faults.lost_write_responses > 0;
        faults.lost_write_responses = faults.lost_write_responses.saturating_sub(1);
        loses
    }

    async fn get(&self, kind: &str, name: Option<&str>, query: &str) -> StoreResponse {
        if let Some(name) = name {
            let state = lock(&self.state);
            let found = state.find(kind, name);
            return found.map_or((404, json!({})), |index| {
                (200, state.objects[index].to_json())
            });
        }
        if let Some(after) = integer_parameter(query, "watch") {
            let wait = integer_parameter(query, "wait_ms").unwrap_or(0);
            let response = self.watch(kind, after, Duration::from_millis(wait)).await;
            let delay = lock(&self.state).faults.watch_response_delay;
            sleep(delay).await;
            return response;
        }
        let state = lock(&self.state);
        let after = text_parameter(query, "after").unwrap_or_default();
        let objects = state.objects.iter();
        let items: Vec<Value> = objects
            .filter(|object| object.kind == kind && object.name.as_str() > after)
            .map(StoredObject::to_json)
            .collect();
        let page = json!({"items": items, "more_pages": false, "as_of": state.revision});
        (200, page)
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> StoreResponse {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = lock(&self.state);
                if after < state.compacted {
                    return (410, json!({}));
                }
                let history = state.history.iter();
                let events: Vec<Value> = history
                    .filter(|event| event.kind == kind && event.object.revision > after)
                    .map(
                        |event| json!({"deleted": event.deleted, "object": event.object.to_json()}),
                    )
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return (200, json!({"events": events, "as_of": state.revision}));
                }
            }
            // After a timeout, the next round responds without events.
            let _ = timeout(until.saturating_duration_since(Instant::now()), changed).await;
        }
    }

    fn change(
        &self,
        method: &Method,
        kind: &str,
        name: Option<&str>,
        is_status: bool,
        query: &str,
        body: &Value,
    ) -> StoreResponse {
        let mut state = lock(&self.state);
        let body_name = body["metadata"]["name"].as_str().unwrap_or_default();
        let name = name.unwrap_or(body_name).to_owned();
        let existing = state.find(kind, &name);
        let expected = body["metadata"]["revision"].as_u64();
        let expected = expected.or_else(|| integer_parameter(query, "revision"));
        let conflicts = |state: &StoreState, index: usize| {
            expected.is_some_and(|revision| revision != state.objects[index].revision)
        };
        match (method.as_str(), existing) {
            ("POST", Some(index)) => (409, state.objects[index].to_json()),
            ("POST", None) => {
                let index = state.put(kind, &name, None, Some(body["spec"].clone()), None);
                (200, state.objects[index].to_json())
            }
            (_, None) => (404, json!({})),
            (_, Some(index)) if conflicts(&state, index) => (409, state.objects[index].to_json()),
            ("DELETE", Some(_)) => {
                state.remove(kind, &name);
                (200, json!({}))
            }
            (_, Some(index)) if is_status => {
                let status = Some(body["status"].clone());
                let index = state.put(kind, &name, Some(index), None, status);
                (200, state.objects[index].to_json())
            }
            (_, Some(index)) => {
                let spec = Some(body["spec"].clone());
                let index = state.put(kind, &name, Some(index), spec, None);
                (200, state.objects[index].to_json())
            }
        }
    }
}

impl StoreState {
    fn find(&self, kind: &str, name: &str) -> Option<usize> {
        let found = self.objects.binary_search_by(|object| {
            (object.kind.as_str(), object.name.as_str()).cmp(&(kind, name))
        });
        found.ok()
    }

    /// Writes an object's spec, status or both, and returns its index in `objects`. A write that changes
    /// nothing creates no revision.
    ///
    /// `existing` is the index of the object, if it exists.
    fn put(
        &mut self,
        kind: &str,
        name: &str,
        existing: Option<usize>,
        spec: Option<Value>,
        status: Option<Value>,
    ) -> usize {
        let before = existing.map(|index| self.objects[index].clone());
        let mut object = before.clone().unwrap_or_else(|| StoredObject {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision: 0,
            created: self.revision + 1,
            spec: Value::Null,
            status: Value::Null,
        });
        object.spec = spec.unwrap_or(object.spec);
        object.status = status.unwrap_or(object.status);
        if let (Some(index), Some(before)) = (existing, before) {
            if before.spec == object.spec && before.status == object.status {
                return index;
            }
        }
        self.revision += 1;
        object.revision = self.revision;
        self.history.push(StoreEvent {
            kind: kind.to_owned(),
            deleted: false,
            object: object.clone(),
        });
        match existing {
            Some(index) => {
                self.objects[index] = object;
                index
            }
            None => {
                let key = (kind, name);
                let index = self
                    .objects
                    .partition_point(|other| (other.kind.as_str(), other.name.as_str()) < key);
                self.objects.insert(index, object);
                index
            }
        }
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(index) = self.find(kind, name) else {
            return;
        };
        self.revision += 1;
        let mut object = self.objects.remove(index);
        object.revision = self.revision;
        self.history.push(StoreEvent {
            kind: kind.to_owned(),
            deleted: true,
            object,
        });
    }
}

impl StoredObject {
    fn to_json(&self) -> Value {
        json!({
            "metadata": {
                "name": self.name,
                "revision": self.revision,
                "created": self.created,
                "finalizers": [],
                "deleting": false,
            },
            "spec": self.spec,
            "status": self.status,
        })
    }
}

/// Returns the kind and the name in a path, and whether the path names the object's status.
fn split_path(path: &str) -> (String, Option<String>, bool) {
    let mut parts = path.trim_start_matches("/objects/").split('/');
    let kind = parts.next().unwrap_or_default().to_owned();
    let name = parts.next().map(str::to_owned);
    (kind, name, parts.next() == Some("status"))
}

fn text_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
}

fn integer_parameter(query: &str, name: &str) -> Option<u64> {
    text_parameter(query, name)?.parse().ok()
}

/// Returns the text of a response with the bytes of specs that were written as such.
fn encode_body(body: &Value) -> Vec<u8> {
    let text = body.to_string();
    let mark = format!("\"{BYTES_MARK}");
    let mut parts = text.split(&mark);
    let mut encoded = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_once('"').unwrap_or((part, ""));
        let bytes = (0..digits.len()).step_by(2);
        encoded.extend(bytes.filter_map(|at| u8::from_str_radix(&digits[at..at + 2], 16).ok()));
        encoded.extend_from_slice(rest.as_bytes());
    }
    encoded
}

fn response((status, body): StoreResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(encode_body(&body))));
    *response.status_mut() = StatusCode::from_u16(status).expect("status");
    response
}
