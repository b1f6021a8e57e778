//! Stand-in of a model server, which answers each request with a stream of events.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    wire,
};

/// What a server does with each request.
#[derive(Clone, Copy)]
pub struct Work {
    /// Requests that run at once; further ones are rejected.
    pub slots: usize,
    /// Events of a complete answer.
    pub events: u64,
    /// Pause before each event.
    pub pause: Duration,
}

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: Instant,
    /// Server.
    pub server: String,
    /// Id of the request.
    pub id: String,
}

/// A running server.
pub struct Server {
    /// Name of its entry.
    pub id: String,
    address: SocketAddr,
    work: Work,
    running: Arc<Mutex<usize>>,
    has_ended: AtomicBool,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Server {
    /// Starts a server that adds the requests that it runs to `arrivals`.
    pub fn start(id: &str, work: Work, arrivals: Arc<Mutex<Vec<Arrival>>>) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let server = Arc::new(Server {
            id: id.to_owned(),
            address: listener.local_addr().expect("address"),
            work,
            running: Arc::default(),
            has_ended: AtomicBool::new(false),
            arrivals,
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                if server.has_ended() {
                    return;
                }
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Ends the server: its connections close, also in the middle of an answer.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        // The listener closes at the next connection.
        let _ = TcpStream::connect(self.address);
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    /// Returns the entry with which the server registers.
    pub fn entry(&self, zone: &str) -> String {
        let (address, slots) = (self.address, self.work.slots);
        format!(
            r#"{{"service":"desk","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":4,"born":1700000000000}}"#
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read(&mut reader) {
            if self.has_ended() || !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection can go on.
    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header(wire::name("request id")).unwrap_or("");
        if request.line.starts_with("GET ") {
            let headers = format!("Instance-Id: {}\r\n", self.id);
            return writer
                .write_all(&http::response("200 OK", &headers, ""))
                .is_ok();
        }
        let rejection = wire::rejection_headers(id, &self.id);
        let expected = request.header(wire::name("expected server"));
        if expected.is_some_and(|expected| expected != self.id) {
            let answer = http::response("421 Misdirected Request", &rejection, "");
            return writer.write_all(&answer).is_ok();
        }
        if !self.take_slot() {
            let answer = http::response("503 Service Unavailable", &rejection, "");
            return writer.write_all(&answer).is_ok();
        }
        self.arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            server: self.id.clone(),
            id: id.to_owned(),
        });
        let is_whole = self.stream(request, id, writer);
        *self.running.lock().unwrap() -= 1;
        is_whole
    }

    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        let is_free = *running < self.work.slots;
        *running += usize::from(is_free);
        is_free
    }

    /// Sends the events from the one after the last that the caller has; stops once the connection is closed.
    fn stream(&self, request: &Message, id: &str, writer: &mut TcpStream) -> bool {
        let last = request.header(wire::name("last event"));
        let last: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
        let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", wire::stream_headers(id));
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in last + 1..=self.work.events {
            thread::sleep(self.work.pause);
            let event = format!("id: {number}\ndata: token {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if self.has_ended() || is_closed(writer) || writer.write_all(chunk.as_bytes()).is_err()
            {
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns whether the caller has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let ended = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    ended
}
