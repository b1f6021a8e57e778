//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// A request or response as it was received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Names, in lower case, and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.0 == name)?;
        Some(found.1.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message. Its body has a length or comes in chunks; without either there is none.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message::default();
    message.line = read_line(reader)?;
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        let value = value.trim().to_owned();
        message.headers.push((name.to_ascii_lowercase(), value));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&read_line(reader)?, 16);
            let size = size.map_err(|_| io::Error::other("malformed chunk"))?;
            read_bytes(reader, size, &mut message.body)?;
            read_line(reader)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    read_bytes(reader, length, &mut message.body)?;
    Ok(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_bytes(reader: &mut impl Read, size: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let start = body.len();
    body.resize(start + size, 0);
    reader.read_exact(&mut body[start..])
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    (method, target): (&str, &str),
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = connect(address, limit)?;
    stream.write_all(&request_head((method, target), headers, body.len()))?;
    stream.write_all(body)?;
    read(&mut BufReader::new(stream))
}

/// Sends a request on a new connection and closes it after a time without reading an answer.
pub fn call_broken(
    address: SocketAddr,
    (method, target): (&str, &str),
    headers: &str,
    body: &[u8],
    after: Duration,
) -> io::Result<()> {
    let mut stream = connect(address, Duration::from_secs(1))?;
    stream.write_all(&request_head((method, target), headers, body.len()))?;
    stream.write_all(body)?;
    thread::sleep(after);
    Ok(())
}

/// Opens a connection whose reads end after `limit`.
fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    Ok(stream)
}

/// Returns the head of a request with a body of `length` bytes.
fn request_head((method, target): (&str, &str), headers: &str, length: usize) -> Vec<u8> {
    let head = format!("{method} {target} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
    head.into_bytes()
}

/// Returns a response with a body.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}
