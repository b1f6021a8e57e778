//! Stand-in of a model server.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::Record,
    http::{header, read_request, respond, Request},
    json::Json,
    store::Store,
    wire,
};

/// Requests that a server runs at once.
pub const SLOTS: usize = 8;

/// Time between two writes of a server to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a server generates for a request.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    pub events: u64,
    pub pause: Duration,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    idle: Duration, // Time after which idle connections are closed.
    output: Box<dyn Fn(&Request) -> Output + Send + Sync>,
    running: AtomicUsize,
    runs: Mutex<Vec<String>>, // Ids of the requests that it ran.
}

impl Server {
    pub fn start(
        (id, zone, service): (&str, &str, &str),
        store: &Arc<Store>,
        idle: Duration,
        output: impl Fn(&Request) -> Output + Send + Sync + 'static,
    ) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let server = Arc::new(Server {
            id: id.to_owned(),
            address: listener.local_addr().expect("address"),
            idle,
            output: Box::new(output),
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (born, zone, service) = (born.as_millis() as u64, zone.to_owned(), service.to_owned());
        let entry = move |server: &Server, sequence| {
            Json::object(vec![
                ("service", Json::text(&service)),
                ("address", Json::text(&server.address.to_string())),
                ("zone", Json::text(&zone)),
                ("version", Json::text("v1")),
                ("slots", Json::number(SLOTS as u64)),
                ("state", Json::text("ready")),
                ("cold_remaining_ms", Json::number(0)),
                ("sequence", Json::number(sequence)),
                ("born", Json::number(born)),
            ])
        };
        store.write("servers", id, entry(&server, 1));
        let (beating, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                store.write("servers", &beating.id, entry(&beating, sequence));
            }
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(self.idle));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    /// Answers a request.
    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let id = header(&request.headers, wire::name("id")).unwrap_or_default();
        let own = format!("{}: {id}\r\nKeep-Alive: timeout={}\r\n", wire::name("id"), self.idle.as_secs());
        if request.target == "/health" {
            let headers = format!("Instance-Id: {}\r\n", self.id);
            return respond(writer, "200 OK", &headers, b"");
        }
        if header(&request.headers, wire::name("expected")).is_some_and(|named| named != self.id) {
            let headers = format!("{own}Instance-Id: {}\r\n{}: 1\r\n", self.id, wire::name("not-run"));
            return respond(writer, "421 Misdirected Request", &headers, b"");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = format!("{own}{}: 1\r\n", wire::name("not-run"));
            return respond(writer, "503 Service Unavailable", &headers, b"");
        }
        self.runs.lock().unwrap().push(id.to_owned());
        let written = self.generate(request, &own, writer);
        self.running.fetch_sub(1, Ordering::SeqCst);
        written
    }

    fn generate(&self, request: &Request, own: &str, writer: &mut TcpStream) -> io::Result<()> {
        let output = (self.output)(request);
        let signature = wire::name("signature");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n{signature}: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let last = header(&request.headers, "last-event-id").and_then(|text| text.parse().ok());
        for number in last.map_or(1, |last: u64| last + 1)..=output.events {
            thread::sleep(output.pause);
            let event = format!("id: {number}\ndata: token {number}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if is_closed(writer) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Writes to the record what the servers ran.
pub fn record_runs(servers: &[Arc<Server>], record: &Record) {
    for server in servers {
        let runs = server.runs.lock().unwrap();
        record.write(&format!("server {} ran {} requests: {}", server.id, runs.len(), runs.join(" ")));
    }
}

/// Returns whether the caller has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Returns the text of the whole output as a result of an item has it.
pub fn whole_text(events: u64) -> String {
    let data: Vec<String> = (1..=events).map(|number| format!("token {number}")).collect();
    data.join("\n")
}
