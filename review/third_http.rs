//! HTTP/1.1 as the stand-ins speak it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::OnceLock,
    time::{Duration, Instant},
};

/// Returns a name of the platform's wire, which stands in a text file.
pub fn wire(name: &str) -> &'static str {
    static NAMES: OnceLock<String> = OnceLock::new();
    let names = NAMES.get_or_init(|| {
        std::fs::read_to_string("review/third-wire.txt").expect("names of the wire")
    });
    let mut lines = names.lines().filter_map(|line| line.split_once(' '));
    lines
        .find(|line| line.0 == name)
        .map(|line| line.1)
        .expect("a name of the wire")
}

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name));
        found.map(|header| header.1.as_str())
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if message.line.is_empty() {
            message.line = text.to_owned();
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Reads a head and its body; `None` if the connection ends before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Opens a connection whose reads take `patience` at most.
pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    Ok(stream)
}

/// Formats a request.
pub fn request(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}

/// Sends a request on a connection of its own and returns the response.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Message> {
    let mut stream = connect(address, patience)?;
    stream.write_all(&request(line, headers, body))?;
    let response = read_message(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// What a client saw of a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamRecord {
    pub id: String,
    pub status: u16,
    pub events: Vec<(u64, String)>, // Number and data.
    pub complete: bool,
    pub cause: String, // Why it isn't complete.
}

/// Sends a request for a stream on a connection of its own and reads the stream to its end.
pub fn read_stream(
    address: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    more: &[(&str, &str)],
    until: Instant,
) -> StreamRecord {
    let mut record = StreamRecord {
        id: id.to_owned(),
        ..StreamRecord::default()
    };
    let result = receive_stream(address, path, id, key, more, until, &mut record);
    match result {
        Ok(()) => record.complete = record.status == 200,
        Err(error) => record.cause = error.to_string(),
    }
    record
}

fn receive_stream(
    address: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    more: &[(&str, &str)],
    until: Instant,
    record: &mut StreamRecord,
) -> io::Result<()> {
    let left = || {
        until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1))
    };
    let mut stream = connect(address, left())?;
    let remaining = left().as_millis().to_string();
    let prefix = format!("5c1e07a2:100,{id}:250");
    let authorization = format!("Token {key}");
    let mut headers = vec![
        ("Host", "desk.example"),
        (wire("id"), id),
        ("Model", "m"),
        (wire("usage"), "350,90"),
        (wire("prefix"), prefix.as_str()),
        (wire("remaining"), remaining.as_str()),
        ("Authorization", authorization.as_str()),
    ];
    headers.extend(more);
    stream.write_all(&request(&format!("POST {path}"), &headers, b"body"))?;
    let mut reader = BufReader::new(stream);
    let head =
        read_head(&mut reader)?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    record.status = head.status();
    if record.status != 200 {
        return Ok(());
    }
    let mut rest = String::new();
    while let Some(chunk) = read_chunk(&mut reader)? {
        rest += &String::from_utf8_lossy(&chunk);
        while let Some(end) = rest.find("\n\n") {
            record.events.push(parse_event(&rest[..end]));
            rest = rest[end + 2..].to_owned();
        }
        reader.get_ref().set_read_timeout(Some(left()))?;
    }
    Ok(())
}

fn parse_event(text: &str) -> (u64, String) {
    let field = |name: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(name))
            .unwrap_or_default()
    };
    (
        field("id: ").parse().unwrap_or(0),
        field("data: ").to_owned(),
    )
}
