//! Stand-in of the platform's store: objects with revisions, conditional writes and watches.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json,
};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Items on a page of a listing.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    watching: Vec<(String, Instant)>, // Watches that wait, by caller and kind, and their starts.
    cut_after: Option<Duration>,
    is_down: bool,
    cuts: Vec<Instant>, // When watches were cut off.
}

/// A running store. Each caller has an address of its own, so that the store can tell callers apart.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Makes an empty store.
    pub fn new() -> Store {
        let store = Store::default();
        store.state.lock().unwrap().revision = 1;
        store
    }

    /// Listens on a new address for the calls of one caller.
    pub fn listen(&self, caller: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let address = listener.local_addr().expect("address");
        let (store, caller) = (self.clone(), caller.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, caller) = (store.clone(), caller.clone());
                thread::spawn(move || store.serve(stream, &caller));
            }
        });
        address
    }

    /// Writes the spec of an object, as the operator or a server does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(kind, name, Some(spec), None);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
    }

    /// Sets whether the store answers each call with 503 and does nothing.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
    }

    /// Cuts off each watch that has waited for a time.
    pub fn cut_watches(&self, after: Duration) {
        self.state.lock().unwrap().cut_after = Some(after);
    }

    /// Returns whether a caller waits in a watch of a kind.
    pub fn is_watching(&self, caller: &str, kind: &str) -> bool {
        let entry = format!("{caller} {kind}");
        let state = self.state.lock().unwrap();
        state.watching.iter().any(|watch| watch.0 == entry)
    }

    /// Returns how long the oldest watch of a kind has waited.
    pub fn longest_watch(&self, kind: &str) -> Duration {
        let state = self.state.lock().unwrap();
        let watches = state
            .watching
            .iter()
            .filter(|watch| watch.0.ends_with(kind));
        watches
            .map(|watch| watch.1.elapsed())
            .max()
            .unwrap_or_default()
    }

    /// Returns when watches were cut off.
    pub fn cuts(&self) -> Vec<Instant> {
        self.state.lock().unwrap().cuts.clone()
    }

    fn serve(&self, stream: TcpStream, caller: &str) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read(&mut reader) {
            let Some((status, body)) = self.answer(&request, caller) else {
                return;
            };
            let answer = http::response(status, "Content-Type: application/json\r\n", &body);
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Answers a call. A watch that has waited takes the time of an answer from its event on.
    fn answer(&self, request: &Message, caller: &str) -> Option<(&'static str, String)> {
        let (method, target) = request.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        let watch = parameter(query, "watch").and_then(|text| text.parse::<u64>().ok());
        let is_down = self.state.lock().unwrap().is_down;
        if watch.is_none() || is_down {
            thread::sleep(ANSWER_TIME);
        }
        if is_down {
            return Some(("503 Service Unavailable", "{}".to_owned()));
        }
        let answer = match (method, name.clone()) {
            ("GET", None) if watch.is_some() => {
                let wait = parameter(query, "wait_ms").and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0));
                return self.watch((caller, &kind), watch.unwrap_or(0), wait);
            }
            ("GET", None) => self.list(&kind, parameter(query, "after").unwrap_or("")),
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) => ("200 OK", object_text(&name, object)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => self.change(method, &kind, name, is_status, (query, &request.text())),
        };
        Some(answer)
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let objects = state.objects.iter();
        let mut items: Vec<String> = objects
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| object_text(name, object))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let (items, revision) = (items.join(","), state.revision);
        let page = format!(r#"{{"items":[{items}],"more_pages":{more},"as_of":{revision}}}"#);
        ("200 OK", page)
    }

    /// Waits for events; `None` if the watch is cut off.
    fn watch(
        &self,
        (caller, kind): (&str, &str),
        after: u64,
        wait: Duration,
    ) -> Option<(&'static str, String)> {
        let start = Instant::now();
        let until = start + wait;
        let entry = format!("{caller} {kind}");
        let mut state = self.state.lock().unwrap();
        let watch = (entry, start);
        state.watching.push(watch.clone());
        loop {
            let events = state.events.iter();
            let events = events.filter(|event| event.kind == kind && event.revision > after);
            let events: Vec<&str> = events.map(|event| event.text.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            let cut_left = state
                .cut_after
                .map(|after| after.saturating_sub(start.elapsed()));
            if events.is_empty() && cut_left.is_some_and(|left| left.is_zero()) {
                state.end_watch(&watch);
                state.cuts.push(Instant::now());
                return None;
            }
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let batch = format!(r#"{{"events":[{events}],"as_of":{revision}}}"#);
                state.end_watch(&watch);
                drop(state);
                thread::sleep(ANSWER_TIME);
                return Some(("200 OK", batch));
            }
            let left = cut_left.map_or(left, |cut_left| cut_left.min(left));
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        is_status: bool,
        (query, body): (&str, &str),
    ) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let metadata = json::field(body, "metadata").unwrap_or("{}");
        let name = name.or_else(|| json::string(metadata, "name").map(str::to_owned));
        let name = name.unwrap_or_default();
        let expected = json::number(metadata, "revision");
        let expected = expected.or_else(|| parameter(query, "revision")?.parse().ok());
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let conflicts = |object: &Object| match method {
            "POST" => true,
            _ => expected.is_some_and(|revision| revision != object.revision),
        };
        if let Some(object) = known.as_ref().filter(|object| conflicts(object)) {
            return ("409 Conflict", object_text(&name, object));
        }
        if known.is_none() && method != "POST" {
            return ("404 Not Found", "{}".to_owned());
        }
        let text = match method {
            "DELETE" => {
                state.remove(kind, &name);
                "{}".to_owned()
            }
            _ if is_status => state.put(kind, &name, None, json::field(body, "status")),
            _ => state.put(kind, &name, json::field(body, "spec"), None),
        };
        drop(state);
        self.changed.notify_all();
        ("200 OK", text)
    }
}

impl State {
    fn end_watch(&mut self, watch: &(String, Instant)) {
        let index = self.watching.iter().position(|known| known == watch);
        index.map(|index| self.watching.remove(index));
    }

    /// Writes an object, unless that changes nothing, and returns its text.
    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        let next = self.revision + 1;
        let mut object = known.clone().unwrap_or_else(|| Object {
            revision: next,
            created: next,
            spec: "null".to_owned(),
            status: "null".to_owned(),
        });
        object.spec = spec.map_or(object.spec, str::to_owned);
        object.status = status.map_or(object.status, str::to_owned);
        let is_same = |known: &Object| known.spec == object.spec && known.status == object.status;
        if known.as_ref().is_some_and(is_same) {
            return object_text(name, &object);
        }
        self.revision = next;
        object.revision = next;
        let text = object_text(name, &object);
        self.record(kind, false, &text);
        self.objects.insert(key, object);
        text
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.revision += 1;
        self.record(kind, true, &object_text(name, &object));
    }

    fn record(&mut self, kind: &str, deleted: bool, object: &str) {
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            text: format!(r#"{{"object":{object},"deleted":{deleted}}}"#),
        });
    }
}

fn object_text(name: &str, object: &Object) -> String {
    let Object {
        revision,
        created,
        spec,
        status,
    } = object;
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{created},"finalizers":[],"deleting":false}},"spec":{spec},"status":{status}}}"#
    )
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
}
