//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::TcpStream;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// Whether the body ended as its head says.
    pub is_whole: bool,
}

/// Finds a header by its lowercase name.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more; `false` at the end or after an error.
    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.buffer.extend_from_slice(&bytes[..length]);
                true
            }
        }
    }

    fn head(&mut self) -> Option<(String, Vec<(String, String)>)> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if !self.fill() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Some((first, headers.collect()))
    }

    fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> Option<String> {
        let end = loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                break end;
            }
            if !self.fill() {
                return None;
            }
        };
        let line = self.take(end + 2)?;
        Some(String::from_utf8_lossy(&line[..end]).into_owned())
    }

    fn chunked(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(size) = self.line().and_then(|line| usize::from_str_radix(line.trim(), 16).ok()) else {
                return (body, false);
            };
            let Some(chunk) = self.take(size + 2) else { return (body, false) };
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    fn body(&mut self, headers: &[(String, String)]) -> (Vec<u8>, bool) {
        if header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            return self.chunked();
        }
        let length = header(headers, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        match self.take(length) {
            Some(body) => (body, true),
            None => (std::mem::take(&mut self.buffer), false),
        }
    }

    /// Reads a request; `None` when the connection has ended.
    pub fn request(&mut self) -> Option<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (body, is_whole) = self.body(&headers);
        is_whole.then_some(Request { method, target, headers, body })
    }

    /// Reads a response; `None` if the connection ended before its head.
    pub fn response(&mut self) -> Option<Response> {
        let (first, headers) = self.head()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let (_, is_whole) = self.body(&headers);
        Some(Response { status, headers, is_whole })
    }
}

/// Writes a response. `headers` are whole lines.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut message = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}
