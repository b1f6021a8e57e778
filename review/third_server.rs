//! Stand-in of a backend server, a process of its own that registers in the store.
//!
//! Arguments: id, address, version, zone, address of the store, milliseconds from the start to its first write there,
//! milliseconds between two events, number of events, which of its answers it breaks off (each so many-th one; 0 for none), and
//! seconds after which it closes an idle connection (0 for never). With such a limit its answers end with their connections.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, read_message, wire, Message},
    json::{number, table, text},
};

/// Requests that a server runs at once.
pub const SLOTS: usize = 8;

/// Time between two writes of a server's entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

struct Server {
    id: String,
    version: String,
    pause: Duration,
    events: u64,
    running: AtomicUsize,
    answers: AtomicUsize,
    truncates: usize, // Each so many-th answer.
    idle_limit: u64,  // In seconds; 0 for none.
    is_draining: AtomicBool,
    born: u64,
    sequence: Mutex<u64>,
}

/// Time for which a server serves after the store has accepted that it drains.
const DRAIN_TIME: Duration = Duration::from_millis(3500);

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_millis() as u64)
}

/// Runs a server until the process is killed.
pub fn run(arguments: &[String]) {
    let [id, address, version, zone, store, first, pause, events, truncates, idle_limit] =
        arguments
    else {
        panic!("ten arguments");
    };
    let address: SocketAddr = address.parse().expect("address");
    let store: SocketAddr = store.parse().expect("address");
    let milliseconds = |text: &str| Duration::from_millis(text.parse().expect("milliseconds"));
    let listener = TcpListener::bind(address).expect("port");
    let server = Arc::new(Server {
        id: id.clone(),
        version: version.clone(),
        pause: milliseconds(pause),
        events: events.parse().expect("number"),
        running: AtomicUsize::new(0),
        answers: AtomicUsize::new(0),
        truncates: truncates.parse().expect("number"),
        idle_limit: idle_limit.parse().expect("number"),
        is_draining: AtomicBool::new(false),
        born: unix_ms(),
        sequence: Mutex::new(0),
    });
    println!("{} {id} {version} started", unix_ms());
    let (beating, zone, first) = (server.clone(), zone.clone(), milliseconds(first));
    let (draining, drained_zone) = (server.clone(), zone.clone());
    thread::spawn(move || beat(&beating, address, &zone, store, first));
    // A line on the standard input makes the server drain, as before a planned shutdown.
    thread::spawn(move || {
        let mut line = String::new();
        if io::stdin().read_line(&mut line).is_ok_and(|read| read > 0) {
            draining.is_draining.store(true, Ordering::SeqCst);
            draining.write_entry(address, &drained_zone, store);
            println!("{} {} {} drains", unix_ms(), draining.id, draining.version);
            thread::sleep(DRAIN_TIME);
            let line = format!("DELETE /objects/servers/{}", draining.id);
            let _ = http::call(
                store,
                &line,
                &[("Host", "store")],
                b"",
                Duration::from_secs(1),
            );
            println!(
                "{} {} {} has left",
                unix_ms(),
                draining.id,
                draining.version
            );
            std::process::exit(0);
        }
    });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(stream));
    }
}

/// Writes the server's entry, for the first time after `first`.
fn beat(server: &Server, address: SocketAddr, zone: &str, store: SocketAddr, first: Duration) {
    thread::sleep(first);
    server.write_entry(address, zone, store);
    println!("{} {} {} registered", unix_ms(), server.id, server.version);
    loop {
        thread::sleep(HEARTBEAT);
        server.write_entry(address, zone, store);
    }
}

impl Server {
    fn write_entry(&self, address: SocketAddr, zone: &str, store: SocketAddr) {
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        let state = match self.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let entry = table([
            ("service", text("desk")),
            ("address", text(address.to_string())),
            ("zone", text(zone)),
            ("version", text(&self.version)),
            ("slots", number(SLOTS as u64)),
            ("state", text(state)),
            ("cold_remaining_ms", number(0)),
            ("sequence", number(*sequence)),
            ("born", number(self.born)),
        ]);
        let metadata = table([("name", text(&self.id))]);
        let object = table([("metadata", metadata), ("spec", entry)]).to_string();
        let write = |line: &str| {
            let patience = Duration::from_secs(1);
            http::call(
                store,
                line,
                &[("Host", "store")],
                object.as_bytes(),
                patience,
            )
        };
        let written = write(&format!("PUT /objects/servers/{}", self.id));
        if written.is_ok_and(|response| response.status() == 404) {
            let _ = write("POST /objects/servers");
        }
    }
}

impl Server {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        if self.idle_limit > 0 {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(self.idle_limit)));
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let answered = self.answer(&mut writer, &reader, &request);
            if answered.is_err() || self.idle_limit > 0 {
                return;
            }
        }
    }

    fn answer(
        &self,
        writer: &mut TcpStream,
        reader: &BufReader<TcpStream>,
        request: &Message,
    ) -> io::Result<()> {
        let id = request.header(wire("id")).unwrap_or_default().to_owned();
        let refuse = |writer: &mut TcpStream, status: u16| {
            let head = format!(
                "HTTP/1.1 {status} X\r\n{}: {id}\r\n{}: 1\r\nContent-Length: 0\r\n\r\n",
                wire("id"),
                wire("not-run")
            );
            writer.write_all(head.as_bytes())
        };
        if request.line.starts_with("GET") {
            let head = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(head.as_bytes());
        }
        if request
            .header(wire("instance"))
            .is_some_and(|expected| expected != self.id)
        {
            return refuse(writer, 421);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return refuse(writer, 503);
        }
        let ended = self.run_request(writer, reader, request, &id);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let outcome = if ended.is_ok() { "complete" } else { "left" };
        println!("{} {} {} {outcome} {id}", unix_ms(), self.id, self.version);
        ended
    }

    fn run_request(
        &self,
        writer: &mut TcpStream,
        reader: &BufReader<TcpStream>,
        request: &Message,
        id: &str,
    ) -> io::Result<()> {
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse::<u64>().ok());
        let from = last.map_or(0, |last| last + 1);
        let tenant = request.header("tenant").unwrap_or("-");
        println!(
            "{} {} {} runs {id} from {from} tenant {tenant}",
            unix_ms(),
            self.id,
            self.version
        );
        if self.truncates > 0
            && (self.answers.fetch_add(1, Ordering::SeqCst) + 1) % self.truncates == 0
        {
            return self.break_off(writer, id);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: 3e1b.07.5a2\r\nServer-Load: {},0,{SLOTS}\r\nContent-Type: text/event-stream\r\n{}\r\n\r\n",
            wire("id"),
            wire("signature"),
            self.running.load(Ordering::SeqCst),
            match self.idle_limit {
                0 => "Transfer-Encoding: chunked".to_owned(),
                limit => format!("Keep-Alive: timeout={limit}"),
            }
        );
        let leaving = match self.is_draining.load(Ordering::SeqCst) {
            true => format!("\r\n{}: 1\r\n\r\n", wire("leaving")),
            false => "\r\n\r\n".to_owned(),
        };
        let head = format!("{}{leaving}", head.trim_end());
        writer.write_all(head.as_bytes())?;
        for event in from..self.events {
            let event = format!("id: {event}\ndata: {} event {event}\n\n", self.version);
            let piece = match self.idle_limit {
                0 => format!("{:x}\r\n{event}\r\n", event.len()),
                _ => event,
            };
            writer.write_all(piece.as_bytes())?;
            thread::sleep(self.pause);
            if has_left(reader) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        match self.idle_limit {
            0 => writer.write_all(b"0\r\n\r\n"),
            _ => Ok(()),
        }
    }
}

impl Server {
    /// Begins an answer without length or chunks, and ends the connection before the first event.
    fn break_off(&self, writer: &mut TcpStream, id: &str) -> io::Result<()> {
        println!(
            "{} {} {} breaks its answer to {id} off",
            unix_ms(),
            self.id,
            self.version
        );
        let (name, signature) = (wire("id"), wire("signature"));
        let head = format!("HTTP/1.1 200 OK\r\n{name}: {id}\r\n{signature}: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

/// Returns whether the caller has closed the connection.
fn has_left(reader: &BufReader<TcpStream>) -> bool {
    let stream = reader.get_ref();
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let seen = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match seen {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
