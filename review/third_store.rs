//! Stand-in of the platform's store: objects with revisions, conditional writes and watches.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{read_message, Message},
    json::{number, table, text, Json},
};

#[derive(Clone, Debug)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

impl Object {
    fn to_json(&self) -> Json {
        let metadata = table([
            ("name", text(&self.name)),
            ("revision", number(self.revision)),
            ("created", number(self.created)),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        table([
            ("metadata", metadata),
            ("spec", self.spec.clone()),
            ("status", self.status.clone()),
        ])
    }
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: Vec<Object>,
    history: Vec<(bool, Object)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let store = Store {
            address: listener.local_addr().expect("address"),
            content: Arc::default(),
        };
        store.content.0.lock().unwrap().revision = 1;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Creates an object or replaces its spec, as the operator does.
    pub fn write(&self, kind: &str, name: &str, spec: Json) {
        let mut content = self.content.0.lock().unwrap();
        content.put(kind, name, Some(spec), None);
        self.content.1.notify_all();
    }

    /// Returns the spec of an object.
    pub fn read(&self, kind: &str, name: &str) -> Option<Json> {
        let content = self.content.0.lock().unwrap();
        content
            .find(kind, name)
            .map(|index| content.objects[index].spec.clone())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut reader) {
            let (status, body) = self.answer(&call);
            if respond(&mut writer, status, &body.to_string()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Json) {
        let mut words = call.line.split(' ');
        let (method, target) = (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        );
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let is_status = parts.next() == Some("status");
        let body = Json::parse(&String::from_utf8_lossy(&call.body));
        match (method, name) {
            ("GET", Some(name)) => {
                let content = self.content.0.lock().unwrap();
                let found = content.find(kind, name);
                found.map_or((404, table([])), |index| {
                    (200, content.objects[index].to_json())
                })
            }
            ("GET", None) => match parameter(query, "watch").and_then(|after| after.parse().ok()) {
                Some(after) => {
                    let wait = parameter(query, "wait_ms").and_then(|wait| wait.parse().ok());
                    (
                        200,
                        self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0))),
                    )
                }
                None => (
                    200,
                    self.list(kind, parameter(query, "after").unwrap_or_default()),
                ),
            },
            _ => {
                let mut content = self.content.0.lock().unwrap();
                let answer = content.change(method, kind, name, is_status, query, &body);
                self.content.1.notify_all();
                answer
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let content = self.content.0.lock().unwrap();
        let mut items: Vec<&Object> = content
            .objects
            .iter()
            .filter(|object| object.kind == kind && object.name.as_str() > after)
            .collect();
        items.sort_by(|one, other| one.name.cmp(&other.name));
        table([
            (
                "items",
                Json::List(items.into_iter().map(Object::to_json).collect()),
            ),
            ("more_pages", Json::Bool(false)),
            ("as_of", number(content.revision)),
        ])
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Json {
        let until = Instant::now() + wait;
        let mut content = self.content.0.lock().unwrap();
        loop {
            let news = content
                .history
                .iter()
                .filter(|event| event.1.kind == kind && event.1.revision > after);
            let events: Vec<Json> = news
                .map(|event| {
                    table([
                        ("object", event.1.to_json()),
                        ("deleted", Json::Bool(event.0)),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return table([
                    ("events", Json::List(events)),
                    ("as_of", number(content.revision)),
                ]);
            }
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
    }
}

impl Content {
    fn find(&self, kind: &str, name: &str) -> Option<usize> {
        self.objects
            .iter()
            .position(|object| object.kind == kind && object.name == name)
    }

    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> usize {
        let found = self.find(kind, name);
        let mut object = match found {
            Some(index) => self.objects[index].clone(),
            None => Object {
                kind: kind.to_owned(),
                name: name.to_owned(),
                revision: 0,
                created: self.revision + 1,
                spec: Json::Null,
                status: Json::Null,
            },
        };
        object.spec = spec.unwrap_or(object.spec);
        object.status = status.unwrap_or(object.status);
        if let Some(index) = found {
            let before = &self.objects[index];
            if before.spec == object.spec && before.status == object.status {
                return index;
            }
        }
        self.revision += 1;
        object.revision = self.revision;
        self.history.push((false, object.clone()));
        match found {
            Some(index) => {
                self.objects[index] = object;
                index
            }
            None => {
                self.objects.push(object);
                self.objects.len() - 1
            }
        }
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(index) = self.find(kind, name) {
            self.revision += 1;
            let mut object = self.objects.remove(index);
            object.revision = self.revision;
            self.history.push((true, object));
        }
    }

    fn change(
        &mut self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        is_status: bool,
        query: &str,
        body: &Json,
    ) -> (u16, Json) {
        let metadata = body.get("metadata");
        let name = name.unwrap_or(metadata.get("name").text()).to_owned();
        let found = self.find(kind, &name);
        let expected = metadata.get("revision").number();
        let expected = expected.or_else(|| parameter(query, "revision")?.parse().ok());
        match (method, found) {
            ("POST", Some(index)) => (409, self.objects[index].to_json()),
            ("POST", None) => {
                let index = self.put(kind, &name, Some(body.get("spec").clone()), None);
                (200, self.objects[index].to_json())
            }
            (_, None) => (404, table([])),
            (_, Some(index))
                if expected.is_some_and(|revision| revision != self.objects[index].revision) =>
            {
                (409, self.objects[index].to_json())
            }
            ("DELETE", Some(_)) => {
                self.remove(kind, &name);
                (200, table([]))
            }
            (_, Some(_)) => {
                let (spec, status) = match is_status {
                    true => (None, Some(body.get("status").clone())),
                    false => (Some(body.get("spec").clone()), None),
                };
                let index = self.put(kind, &name, spec, status);
                (200, self.objects[index].to_json())
            }
        }
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
}

fn respond(writer: &mut impl Write, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())
}
