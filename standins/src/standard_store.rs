//! Stand-in of the platform standard's store: objects with revisions, conditional writes and watches,
//! whose faults are switched at run time.

use std::{
    convert::Infallible,
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

/// Time after which a lost answer's connection is closed.
const LOST_HOLD: Duration = Duration::from_secs(30);

/// What goes wrong at the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Calls are answered with this status and not carried out.
    pub refuse: Option<u16>,
    /// Calls get no answer and are not carried out.
    pub silent: bool,
    /// The next writes are carried out and get no answer.
    pub lost_writes: u32,
    /// Time that each call takes.
    pub delay: Duration,
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
    forgotten: u64, // History up to this revision is gone.
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

type StoreAnswer = (u16, Value);

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

    /// Changes what goes wrong.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Writes an object as the operator or a backend server does.
    pub fn write(&self, kind: &str, name: &str, spec: Value) {
        let mut state = lock(&self.state);
        let known = state.find(kind, name);
        state.put(kind, name, known, Some(spec), None);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.state).remove(kind, name);
        self.changed.notify_waiters();
    }

    /// Drops the history, so that watches from older revisions fail.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// Returns the value of an object.
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

    /// Returns the method and target of each call so far.
    pub fn calls(&self) -> Vec<String> {
        lock(&self.state).calls.clone()
    }

    async fn serve(self, stream: TcpStream) {
        let service = service_fn(|request: Request<Incoming>| {
            let store = self.clone();
            async move { Ok::<_, Infallible>(store.answer(request).await) }
        });
        // Connections end when the other side closes them.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
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
        if faults.silent {
            sleep(LOST_HOLD).await;
        }
        if let Some(status) = faults.refuse {
            return response((status, json!({})));
        }
        let (kind, name, sub) = split_path(&path);
        if method == Method::GET {
            return response(self.get(&kind, name.as_deref(), &query).await);
        }
        let answer = self.change(&method, &kind, name.as_deref(), sub, &query, &body);
        self.changed.notify_waiters();
        if self.loses_answer() {
            sleep(LOST_HOLD).await;
        }
        response(answer)
    }

    fn loses_answer(&self) -> bool {
        let faults = &mut lock(&self.state).faults;
        let loses = faults.lost_writes > 0;
        faults.lost_writes = faults.lost_writes.saturating_sub(1);
        loses
    }

    async fn get(&self, kind: &str, name: Option<&str>, query: &str) -> StoreAnswer {
        if let Some(name) = name {
            let state = lock(&self.state);
            let found = state.find(kind, name);
            return found.map_or((404, json!({})), |index| {
                (200, state.objects[index].to_json())
            });
        }
        if let Some(after) = parameter(query, "watch") {
            let wait = parameter(query, "wait_ms").unwrap_or(0);
            return self.watch(kind, after, Duration::from_millis(wait)).await;
        }
        let state = lock(&self.state);
        let after = text_parameter(query, "after").unwrap_or_default();
        let listed = state.objects.iter();
        let items: Vec<Value> = listed
            .filter(|object| object.kind == kind && object.name.as_str() > after)
            .map(StoredObject::to_json)
            .collect();
        let page = json!({"items": items, "more_pages": false, "as_of": state.revision});
        (200, page)
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> StoreAnswer {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = lock(&self.state);
                if after < state.forgotten {
                    return (410, json!({}));
                }
                let newer = state.history.iter();
                let events: Vec<Value> = newer
                    .filter(|event| event.kind == kind && event.object.revision > after)
                    .map(
                        |event| json!({"deleted": event.deleted, "object": event.object.to_json()}),
                    )
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return (200, json!({"events": events, "as_of": state.revision}));
                }
            }
            // Running out of time only means to answer without events.
            let _ = timeout(until.saturating_duration_since(Instant::now()), changed).await;
        }
    }

    fn change(
        &self,
        method: &Method,
        kind: &str,
        name: Option<&str>,
        sub: bool,
        query: &str,
        body: &Value,
    ) -> StoreAnswer {
        let mut state = lock(&self.state);
        let named = body["metadata"]["name"].as_str().unwrap_or_default();
        let name = name.unwrap_or(named).to_owned();
        let known = state.find(kind, &name);
        let expected = body["metadata"]["revision"].as_u64();
        let expected = expected.or_else(|| parameter(query, "revision"));
        let conflicts = |state: &StoreState, index: usize| {
            expected.is_some_and(|revision| revision != state.objects[index].revision)
        };
        match (method.as_str(), known) {
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
            (_, Some(index)) if sub => {
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

    /// Writes an object and returns its position; a write that changes nothing makes no revision.
    fn put(
        &mut self,
        kind: &str,
        name: &str,
        known: Option<usize>,
        spec: Option<Value>,
        status: Option<Value>,
    ) -> usize {
        let before = known.map(|index| self.objects[index].clone());
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
        if let (Some(index), Some(before)) = (known, before) {
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
        match known {
            Some(index) => {
                self.objects[index] = object;
                index
            }
            None => {
                let key = (kind, name);
                let index = self
                    .objects
                    .partition_point(|known| (known.kind.as_str(), known.name.as_str()) < key);
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

/// Returns kind, name and whether the status is meant.
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

fn parameter(query: &str, name: &str) -> Option<u64> {
    text_parameter(query, name)?.parse().ok()
}

fn response((status, body): StoreAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).expect("status");
    response
}
