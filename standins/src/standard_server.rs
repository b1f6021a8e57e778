//! Stand-in of a backend server under the platform standard.
//!
//! A script of the test determines each response down to its bytes, so that tests can send malformed ones.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::Duration,
};

use boragerill::sync::lock;
use socket2::SockRef;
use tokio::{
    io::{
        AsyncBufReadExt,
        AsyncReadExt,
        AsyncWriteExt,
        BufReader, //
    },
    net::{
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::watch,
    time::sleep,
};

use crate::ports::free_port;

/// Value of the `Server-Signature` header in every response.
pub const SIGNATURE: &str = "3e1b.07.5a2";

/// Receive buffer of a server that leaves bodies unread, so that a long one can't be sent to its end.
const SMALL_BUFFER_BYTES: u32 = 16 * 1024;

/// Segments of its connections. The kernel gives the other end a send buffer of some of them.
const SMALL_SEGMENT_BYTES: u32 = 536;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 128;

/// How much of a request a server reads before it responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestReading {
    Whole,
    HeadOnly,
}

/// A request as the server received it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Method and target, separated by a space.
    pub line: String,
    /// Names, in lower case, and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Number of the connection, counted from 0.
    pub connection: u64,
}

impl ReceivedRequest {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|header| header.0 == name)?;
        Some(found.1.as_str())
    }
}

/// One step of a response.
#[derive(Clone, Debug)]
pub enum ResponseStep {
    /// Writes a text, in which `{id}` is replaced by the request's id.
    Write(String),
    /// Sends nothing for a time.
    Wait(Duration),
    /// Writes a text repeatedly until the caller closes the connection.
    Endless(String),
    /// Ends this side of the connection.
    EndSide,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Closes the listener for good; connections go on.
    StopListening,
    /// Closes all connections and the listener, and starts again after a time.
    Crash(Duration),
    /// Closes all connections, as if another process had taken the address by the time anyone looks.
    Replace,
}

/// What happens to the connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseEnd {
    KeepAlive,
    Close,
    Reset,
}

/// Determines the response to a request.
pub type ResponseScript = Arc<dyn Fn(&ReceivedRequest) -> Vec<ResponseStep> + Send + Sync>;

/// A running backend server.
#[derive(Clone)]
pub struct StandardServer {
    address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    aborted_responses: Arc<Mutex<u32>>, // Connections that the caller closed during a response.
    endless: Arc<AtomicU64>,            // Bytes written by endless steps.
    connections: Arc<AtomicU64>,        // Number of connections that were accepted.
    reading: RequestReading,
    script: Arc<Mutex<ResponseScript>>,
    crash: watch::Sender<Option<Duration>>, // Downtime of the last crash.
    stop: watch::Sender<()>,                // Signals that the listener has to be closed for good.
    down: watch::Sender<()>, // Signals that the listener is closed; connections close after it.
}

impl StandardServer {
    /// Starts a server on a free port that responds by a script.
    ///
    /// # Panics
    ///
    /// Panics when no port can be bound.
    pub async fn start(
        script: impl Fn(&ReceivedRequest) -> Vec<ResponseStep> + Send + Sync + 'static,
    ) -> StandardServer {
        StandardServer::start_reading(RequestReading::Whole, Arc::new(script))
    }

    /// Starts a server that responds as soon as it has a request's head, and never reads the body.
    ///
    /// # Panics
    ///
    /// Panics when no port can be bound.
    pub async fn start_early(
        script: impl Fn(&ReceivedRequest) -> Vec<ResponseStep> + Send + Sync + 'static,
    ) -> StandardServer {
        StandardServer::start_reading(RequestReading::HeadOnly, Arc::new(script))
    }

    fn start_reading(reading: RequestReading, script: ResponseScript) -> StandardServer {
        // Not an ephemeral port: another process could take it while the server is down.
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let listener = listen(address, reading);
        let server = StandardServer {
            address,
            received: Arc::default(),
            aborted_responses: Arc::default(),
            endless: Arc::default(),
            connections: Arc::default(),
            reading,
            script: Arc::new(Mutex::new(script)),
            crash: watch::Sender::new(None),
            stop: watch::Sender::new(()),
            down: watch::Sender::new(()),
        };
        tokio::spawn(server.clone().run(listener));
        server
    }

    /// Accepts connections; after a crash, listens again once the downtime is over.
    async fn run(self, mut listener: TcpListener) {
        let mut crash = self.crash.subscribe();
        let mut stop = self.stop.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("connection");
                    let (server, mut down) = (self.clone(), self.down.subscribe());
                    tokio::spawn(async move {
                        tokio::select! {
                            () = server.serve(stream) => {}
                            _ = down.changed() => {}
                        }
                    });
                }
                _ = stop.changed() => return,
                _ = crash.changed() => {
                    let downtime = crash.borrow_and_update().unwrap_or_default();
                    drop(listener);
                    self.down.send_replace(());
                    sleep(downtime).await;
                    listener = listen(self.address, self.reading);
                    crash.mark_unchanged();
                }
            }
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that were received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.received).clone()
    }

    /// Returns the number of connections that the caller closed during a response.
    pub fn aborted_responses(&self) -> u32 {
        *lock(&self.aborted_responses)
    }

    /// Returns the number of bytes that endless steps have written.
    pub fn endless_bytes(&self) -> u64 {
        self.endless.load(Ordering::Relaxed)
    }

    /// Closes all connections and the listener, and starts again after a time.
    pub fn crash(&self, downtime: Duration) {
        self.crash.send_replace(Some(downtime));
    }

    /// Replaces the script.
    pub fn set_script(
        &self,
        script: impl Fn(&ReceivedRequest) -> Vec<ResponseStep> + Send + Sync + 'static,
    ) {
        *lock(&self.script) = Arc::new(script);
    }

    async fn serve(self, stream: TcpStream) {
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let connection = self.connections.fetch_add(1, Ordering::Relaxed);
        while let Some(request) = read_request(&mut reader, self.reading).await {
            let request = ReceivedRequest {
                connection,
                ..request
            };
            lock(&self.received).push(request.clone());
            let script = lock(&self.script).clone();
            let steps = script(&request);
            let end = tokio::select! {
                end = self.respond(&mut writer, &request, steps) => end,
                // Bytes of an unread body don't show that the caller has left.
                _ = reader.fill_buf(), if self.reading == RequestReading::Whole => {
                    *lock(&self.aborted_responses) += 1;
                    ResponseEnd::Close
                }
            };
            match end {
                ResponseEnd::KeepAlive => {}
                ResponseEnd::Close => return,
                // Dropping the writer would close the connection regularly first.
                ResponseEnd::Reset => return writer.forget(),
            }
        }
    }

    /// Executes the steps of a response, and returns what happens to the connection.
    async fn respond(
        &self,
        writer: &mut OwnedWriteHalf,
        request: &ReceivedRequest,
        steps: Vec<ResponseStep>,
    ) -> ResponseEnd {
        let id = request.header("attempt-id").unwrap_or_default();
        for step in steps {
            match step {
                ResponseStep::Write(text) => {
                    let text = text.replace("{id}", id);
                    if writer.write_all(text.as_bytes()).await.is_err() {
                        *lock(&self.aborted_responses) += 1;
                        return ResponseEnd::Close;
                    }
                }
                ResponseStep::Endless(text) => {
                    while writer.write_all(text.as_bytes()).await.is_ok() {
                        self.endless.fetch_add(text.len() as u64, Ordering::Relaxed);
                    }
                    *lock(&self.aborted_responses) += 1;
                    return ResponseEnd::Close;
                }
                ResponseStep::Wait(time) => sleep(time).await,
                ResponseStep::StopListening => {
                    self.stop.send_replace(());
                }
                ResponseStep::EndSide => {
                    // An error means that the caller has left.
                    let _ = writer.shutdown().await;
                }
                ResponseStep::Close => return ResponseEnd::Close,
                ResponseStep::Reset => {
                    let socket = SockRef::from(writer.as_ref());
                    socket
                        .set_linger(Some(Duration::ZERO))
                        .expect("open socket");
                    return ResponseEnd::Reset;
                }
                ResponseStep::Crash(downtime) => {
                    self.crash(downtime);
                    // The connection closes with all others, after the listener.
                    std::future::pending::<()>().await;
                }
                ResponseStep::Replace => {
                    self.down.send_replace(());
                    std::future::pending::<()>().await;
                }
            }
        }
        ResponseEnd::KeepAlive
    }
}

/// Binds a listener.
fn listen(address: SocketAddr, reading: RequestReading) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_reuseaddr(true).expect("open socket");
    if reading == RequestReading::HeadOnly {
        // Connections take both over from their listener.
        let sized = socket.set_recv_buffer_size(SMALL_BUFFER_BYTES);
        sized.expect("open socket");
        let sized = SockRef::from(&socket).set_tcp_mss(SMALL_SEGMENT_BYTES);
        sized.expect("open socket");
    }
    socket.bind(address).expect("free port");
    socket.listen(BACKLOG).expect("bound socket")
}

/// Reads a request; returns `None` when the connection ends.
async fn read_request(
    reader: &mut BufReader<OwnedReadHalf>,
    reading: RequestReading,
) -> Option<ReceivedRequest> {
    let mut request = ReceivedRequest::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        match text.split_once(": ") {
            _ if text.is_empty() => break,
            Some((name, value)) => request
                .headers
                .push((name.to_ascii_lowercase(), value.to_owned())),
            None => request.line = text.trim_end_matches(" HTTP/1.1").to_owned(),
        }
    }
    if reading == RequestReading::HeadOnly {
        return Some(request);
    }
    let length = request.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).await.ok()?;
    Some(request)
}

/// Returns a response head with the request's id, the server's signature and further headers.
pub fn head(status: &str, extra: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nServer-Signature: {SIGNATURE}\r\n{extra}\r\n"
    )
}

/// Returns a complete response.
pub fn complete_response(status: &str, body: &str) -> Vec<ResponseStep> {
    let length = format!("Content-Length: {}\r\n", body.len());
    let text = format!("{}{body}", head(status, &length));
    vec![ResponseStep::Write(text)]
}

/// Returns a response which states that the request was not executed.
pub fn rejection(status: &str) -> Vec<ResponseStep> {
    let extra = "Not-Executed: 1\r\nContent-Length: 0\r\n";
    vec![ResponseStep::Write(head(status, extra))]
}

/// Returns an event as one chunk of the body.
pub fn event_chunk(number: u64, data: &str) -> ResponseStep {
    let event = format!("id: {number}\ndata: {data}\n\n");
    ResponseStep::Write(format!("{:x}\r\n{event}\r\n", event.len()))
}

/// Returns the head of a stream.
pub fn stream_head() -> ResponseStep {
    let extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    ResponseStep::Write(head("200 OK", extra))
}

/// Returns the last chunk of a stream.
pub fn stream_end() -> ResponseStep {
    ResponseStep::Write("0\r\n\r\n".to_owned())
}

/// Returns a complete stream of the events `first` to `last`, with a pause after each.
pub fn stream(first: u64, last: u64, pause: Duration) -> Vec<ResponseStep> {
    let mut steps = vec![stream_head()];
    for number in first..=last {
        steps.push(event_chunk(number, &format!("token {number}")));
        steps.push(ResponseStep::Wait(pause));
    }
    steps.push(stream_end());
    steps
}

/// Returns the number of the first event that a request needs: the one after its `last-event-id`.
pub fn first_event(request: &ReceivedRequest) -> u64 {
    let last = request.header("last-event-id");
    last.and_then(|text| text.parse::<u64>().ok())
        .map_or(0, |last| last + 1)
}
