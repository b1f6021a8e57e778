//! Stand-in of the platform's metadata store.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{read_request, respond, Request},
    json::Json,
};

/// Largest object.
pub const VALUE_BYTES: usize = 1_048_576;

/// Room for the metadata in a call.
const METADATA_BYTES: usize = 1024;

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>, // Sorted by kind and name.
    history: Vec<(bool, Object)>,
    compacted: u64, // History up to this revision is gone.
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("address"),
            state: Mutex::new(State { revision: 1, ..State::default() }),
            changed: Condvar::new(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a server does.
    pub fn write(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.state.lock().unwrap();
        state.put(kind, name, Some(spec), None);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the spec of an object.
    pub fn read(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.lock().unwrap();
        let index = state.find(kind, name).ok()?;
        Some(state.objects[index].spec.clone())
    }

    /// Adds objects of a kind that were written long ago, so that their history is gone.
    pub fn add_old(&self, kind: &str, objects: Vec<(String, Json)>) {
        let mut state = self.state.lock().unwrap();
        for (name, spec) in objects {
            state.revision += 1;
            let revision = state.revision;
            let (kind, status) = (kind.to_owned(), Json::Null);
            state.objects.push(Object { kind, name, revision, created: revision, spec, status });
        }
        state.objects.sort_by(|one, other| (&one.kind, &one.name).cmp(&(&other.kind, &other.name)));
        state.history.clear();
        state.compacted = state.revision;
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let kind = "Content-Type: application/json\r\n";
            let line = format!("{status} Status");
            if respond(&mut writer, &line, kind, body.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Json) {
        let nothing = || Json::object(vec![]);
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let is_status = parts.next() == Some("status");
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|pair| pair.0 == wanted).map(|pair| pair.1.to_owned())
        };
        if request.body.len() > VALUE_BYTES + METADATA_BYTES {
            return (413, nothing());
        }
        let body = Json::parse(&request.body);
        let expected = body.get("metadata").get("revision").as_u64();
        let expected = expected.or_else(|| parameter("revision")?.parse().ok());
        if request.method == "GET" {
            if let Some(after) = parameter("watch").and_then(|text| text.parse().ok()) {
                let wait = parameter("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                return self.watch(kind, after, Duration::from_millis(wait));
            }
        }
        let mut state = self.state.lock().unwrap();
        let named = name.unwrap_or(body.get("metadata").get("name").as_text()).to_owned();
        let found = state.find(kind, &named).ok();
        let answer = match (request.method.as_str(), name, found) {
            ("GET", None, _) => {
                let after = parameter("after").unwrap_or_default();
                let objects = state.objects.iter();
                let mut listed = objects.filter(|object| object.kind == kind && object.name > after);
                let items: Vec<Json> = listed.by_ref().take(500).map(Object::to_json).collect();
                let more = listed.next().is_some();
                (
                    200,
                    Json::object(vec![
                        ("items", Json::List(items)),
                        ("more_pages", Json::Bool(more)),
                        ("as_of", Json::number(state.revision)),
                    ]),
                )
            }
            ("GET", Some(_), Some(index)) => (200, state.objects[index].to_json()),
            ("POST", _, Some(index)) => (409, state.objects[index].to_json()),
            ("POST", _, None) => {
                let index = state.put(kind, &named, Some(body.get("spec").clone()), None);
                (200, state.objects[index].to_json())
            }
            (_, _, None) => (404, nothing()),
            (_, _, Some(index)) if expected.is_some_and(|known| known != state.objects[index].revision) => {
                (409, state.objects[index].to_json())
            }
            ("DELETE", _, Some(index)) => {
                state.revision += 1;
                let mut object = state.objects.remove(index);
                object.revision = state.revision;
                state.history.push((true, object));
                (200, nothing())
            }
            (_, _, Some(_)) => {
                let (spec, status) = match is_status {
                    true => (None, Some(body.get("status").clone())),
                    false => (Some(body.get("spec").clone()), None),
                };
                let index = state.put(kind, &named, spec, status);
                (200, state.objects[index].to_json())
            }
        };
        drop(state);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Json) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.compacted {
                return (410, Json::object(vec![]));
            }
            let newer = state.history.iter();
            let newer = newer.filter(|(_, object)| object.kind == kind && object.revision > after);
            let events: Vec<Json> = newer
                .map(|(deleted, object)| {
                    Json::object(vec![("object", object.to_json()), ("deleted", Json::Bool(*deleted))])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = Json::number(state.revision);
                return (200, Json::object(vec![("events", Json::List(events)), ("as_of", as_of)]));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn find(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|object| (object.kind.as_str(), object.name.as_str()).cmp(&(kind, name)))
    }

    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> usize {
        let index = match self.find(kind, name) {
            Ok(index) => {
                let object = &self.objects[index];
                let is_same = spec.as_ref().is_none_or(|spec| *spec == object.spec)
                    && status.as_ref().is_none_or(|status| *status == object.status);
                if is_same {
                    return index;
                }
                index
            }
            Err(index) => {
                let object = Object {
                    kind: kind.to_owned(),
                    name: name.to_owned(),
                    revision: 0,
                    created: self.revision + 1,
                    spec: Json::Null,
                    status: Json::Null,
                };
                self.objects.insert(index, object);
                index
            }
        };
        self.revision += 1;
        let object = &mut self.objects[index];
        object.revision = self.revision;
        object.spec = spec.unwrap_or(std::mem::replace(&mut object.spec, Json::Null));
        object.status = status.unwrap_or(std::mem::replace(&mut object.status, Json::Null));
        self.history.push((false, object.clone()));
        index
    }
}

impl Object {
    fn to_json(&self) -> Json {
        let metadata = Json::object(vec![
            ("name", Json::text(&self.name)),
            ("revision", Json::number(self.revision)),
            ("created", Json::number(self.created)),
            ("finalizers", Json::List(vec![])),
            ("deleting", Json::Bool(false)),
        ]);
        Json::object(vec![("metadata", metadata), ("spec", self.spec.clone()), ("status", self.status.clone())])
    }
}
