//! Stand-in of a backend server under the platform standard. It writes its answers byte by byte, so that
//! tests decide what a faulty server sends.

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
        TcpStream, //
    },
    time::sleep,
};

/// Signature that stands in every answer.
pub const SIGNATURE: &str = "3e1b.07.5a2";

/// A request as the server received it.
#[derive(Clone, Debug, Default)]
pub struct SeenRequest {
    /// Method and target.
    pub line: String,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl SeenRequest {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|header| header.0 == name)?;
        Some(found.1.as_str())
    }
}

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum AnswerStep {
    /// Writes bytes; `{id}` stands for the request's id.
    Write(String),
    /// Waits.
    Wait(Duration),
    /// Writes bytes again and again until the caller closes.
    Endless(String),
    /// Closes the connection.
    Close,
}

/// Decides what to answer.
pub type AnswerScript = Arc<dyn Fn(&SeenRequest) -> Vec<AnswerStep> + Send + Sync>;

/// A running server.
#[derive(Clone)]
pub struct StandardServer {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
    broken: Arc<Mutex<u32>>, // Connections that were closed while an answer was on its way.
    endless: Arc<AtomicU64>, // Bytes written by endless steps.
    script: Arc<Mutex<AnswerScript>>,
}

impl StandardServer {
    /// Starts a server that answers by a script.
    ///
    /// # Panics
    ///
    /// Panics when no port can be bound.
    pub async fn start(
        script: impl Fn(&SeenRequest) -> Vec<AnswerStep> + Send + Sync + 'static,
    ) -> StandardServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let script: AnswerScript = Arc::new(script);
        let server = StandardServer {
            address: listener.local_addr().expect("address"),
            seen: Arc::default(),
            broken: Arc::default(),
            endless: Arc::default(),
            script: Arc::new(Mutex::new(script)),
        };
        let serving = server.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("connection");
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        server
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests so far.
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.seen).clone()
    }

    /// Returns how many connections were closed while an answer was on its way.
    pub fn broken(&self) -> u32 {
        *lock(&self.broken)
    }

    /// Returns how many bytes endless steps have written.
    pub fn endless_bytes(&self) -> u64 {
        self.endless.load(Ordering::Relaxed)
    }

    /// Replaces the script.
    pub fn set_script(
        &self,
        script: impl Fn(&SeenRequest) -> Vec<AnswerStep> + Send + Sync + 'static,
    ) {
        *lock(&self.script) = Arc::new(script);
    }

    async fn serve(self, stream: TcpStream) {
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        while let Some(request) = read_request(&mut reader).await {
            lock(&self.seen).push(request.clone());
            let script = lock(&self.script).clone();
            let steps = script(&request);
            let finished = tokio::select! {
                finished = self.answer(&mut writer, &request, steps) => finished,
                _ = reader.fill_buf() => {
                    *lock(&self.broken) += 1;
                    false
                }
            };
            if !finished {
                return;
            }
        }
    }

    /// Carries out the steps of an answer; returns whether the connection stays open.
    async fn answer(
        &self,
        writer: &mut OwnedWriteHalf,
        request: &SeenRequest,
        steps: Vec<AnswerStep>,
    ) -> bool {
        let id = request.header("attempt-id").unwrap_or_default();
        for step in steps {
            match step {
                AnswerStep::Write(text) => {
                    let text = text.replace("{id}", id);
                    if writer.write_all(text.as_bytes()).await.is_err() {
                        return false;
                    }
                }
                AnswerStep::Endless(text) => {
                    while writer.write_all(text.as_bytes()).await.is_ok() {
                        self.endless.fetch_add(text.len() as u64, Ordering::Relaxed);
                    }
                    *lock(&self.broken) += 1;
                    return false;
                }
                AnswerStep::Wait(time) => sleep(time).await,
                AnswerStep::Close => return false,
            }
        }
        true
    }
}

async fn read_request(reader: &mut BufReader<OwnedReadHalf>) -> Option<SeenRequest> {
    let mut request = SeenRequest::default();
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
    let length = request.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).await.ok()?;
    Some(request)
}

/// Returns the head of an answer with the usual marks.
pub fn head(status: &str, extra: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nServer-Signature: {SIGNATURE}\r\n{extra}\r\n"
    )
}

/// Returns a whole answer.
pub fn whole(status: &str, body: &str) -> Vec<AnswerStep> {
    let length = format!("Content-Length: {}\r\n", body.len());
    let text = format!("{}{body}", head(status, &length));
    vec![AnswerStep::Write(text)]
}

/// Returns a refusal that says that the request didn't run.
pub fn refusal(status: &str) -> Vec<AnswerStep> {
    let extra = "Not-Executed: 1\r\nContent-Length: 0\r\n";
    vec![AnswerStep::Write(head(status, extra))]
}

/// Returns one event in a chunk of its own.
pub fn event_chunk(number: u64, data: &str) -> AnswerStep {
    let event = format!("id: {number}\ndata: {data}\n\n");
    AnswerStep::Write(format!("{:x}\r\n{event}\r\n", event.len()))
}

/// Returns the head of a stream.
pub fn stream_head() -> AnswerStep {
    let extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    AnswerStep::Write(head("200 OK", extra))
}

/// Returns the end of a stream.
pub fn stream_end() -> AnswerStep {
    AnswerStep::Write("0\r\n\r\n".to_owned())
}

/// Returns a stream of events from `first` to `last`, with a pause after each.
pub fn stream(first: u64, last: u64, pause: Duration) -> Vec<AnswerStep> {
    let mut steps = vec![stream_head()];
    for number in first..=last {
        steps.push(event_chunk(number, &format!("token {number}")));
        steps.push(AnswerStep::Wait(pause));
    }
    steps.push(stream_end());
    steps
}

/// Returns the number of the first event that a request asks for.
pub fn first_event(request: &SeenRequest) -> u64 {
    let last = request.header("last-event-id");
    last.and_then(|text| text.parse::<u64>().ok())
        .map_or(0, |last| last + 1)
}
