//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub type Headers = Vec<(String, String)>;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16, // 0 without a response.
    pub headers: Headers,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub fault: String,
}

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.0.eq_ignore_ascii_case(name));
    found.map(|header| header.1.as_str())
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Ok(None),
        _ => Ok(Some(line.trim_end().to_owned())),
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("head ended early"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("malformed header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("ended without the last chunk"))?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("malformed chunk"))?;
        let mut rest = size;
        while rest > 0 {
            let piece = reader.fill_buf()?;
            if piece.is_empty() {
                return Err(broken("ended within a chunk"));
            }
            let length = piece.len().min(rest);
            body.extend_from_slice(&piece[..length]);
            reader.consume(length);
            rest -= length;
        }
        let _ = read_line(reader)?.ok_or_else(|| broken("ended after a chunk"))?;
        if size == 0 {
            return Ok(());
        }
    }
}

fn is_chunked(headers: &Headers) -> bool {
    header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"))
}

fn length(headers: &Headers) -> Option<usize> {
    header(headers, "content-length")?.parse().ok()
}

/// Reads a request; `None` when the connection has ended before one.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let mut word = || words.next().unwrap_or_default().to_owned();
    let mut request = Request { method: word(), target: word(), ..Request::default() };
    request.headers = read_headers(reader)?;
    if is_chunked(&request.headers) {
        read_chunks(reader, &mut request.body)?;
    } else {
        request.body = vec![0; length(&request.headers).unwrap_or(0)];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Sends a request on a new connection and reads the response for at most `limit`.
pub fn call(address: SocketAddr, request: &Request, limit: Duration) -> Response {
    let mut response = Response::default();
    if let Err(error) = exchange(address, request, limit, &mut response) {
        response.fault = error.to_string();
    }
    response
}

fn exchange(address: SocketAddr, request: &Request, limit: Duration, response: &mut Response) -> io::Result<()> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    stream.write_all(&[head.as_bytes(), &request.body].concat())?;
    let mut reader = BufReader::new(Timed { stream, until });
    let line = read_line(&mut reader)?.ok_or_else(|| broken("closed without a response"))?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    response.status = status.ok_or_else(|| broken("no response"))?;
    response.headers = read_headers(&mut reader)?;
    if is_chunked(&response.headers) {
        read_chunks(&mut reader, &mut response.body)?;
    } else if let Some(length) = length(&response.headers) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        response.body = body;
    } else {
        reader.read_to_end(&mut response.body)?;
    }
    response.is_complete = true;
    Ok(())
}

/// Reads until a time.
struct Timed {
    stream: TcpStream,
    until: Instant,
}

impl Read for Timed {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the client stopped waiting"));
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
