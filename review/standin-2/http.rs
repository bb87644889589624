//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{Read, Write};
use std::net::TcpStream;

pub type Headers = Vec<(String, String)>;

/// Finds a header by its lowercase name.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body ended as its head says.
    pub is_whole: bool,
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> Self {
        Self { stream: stream.try_clone().expect("a socket can be duplicated"), buffer: Vec::new() }
    }

    /// Reads more; `None` after an error, `Some(false)` at the end in order.
    fn fill(&mut self) -> Option<bool> {
        let mut bytes = [0; 16 << 10];
        let length = self.stream.read(&mut bytes).ok()?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Some(length > 0)
    }

    fn until(&mut self, mark: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = self.buffer.windows(mark.len()).position(|window| window == mark) {
                let text = self.buffer.drain(..at + mark.len()).collect::<Vec<u8>>();
                return Some(text[..at].to_vec());
            }
            if self.fill() != Some(true) {
                return None;
            }
        }
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>, Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill() != Some(true) {
                return Err(std::mem::take(&mut self.buffer));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn head(&mut self) -> Option<(String, Headers)> {
        let head = String::from_utf8_lossy(&self.until(b"\r\n\r\n")?).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Some((first, headers.collect()))
    }

    fn chunked(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let size = self.until(b"\r\n");
            let size = size.and_then(|line| usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).ok());
            let Some(size) = size else { return (body, false) };
            match self.take(size + 2) {
                Ok(_) if size == 0 => return (body, true),
                Ok(chunk) => body.extend_from_slice(&chunk[..size]),
                Err(rest) => {
                    body.extend_from_slice(&rest);
                    return (body, false);
                }
            }
        }
    }

    /// Reads a body. Without length and chunks, that of a response ends with its connection.
    fn body(&mut self, headers: &Headers, is_response: bool) -> (Vec<u8>, bool) {
        if header(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            return self.chunked();
        }
        let length = header(headers, "content-length").and_then(|value| value.parse().ok());
        match length {
            Some(length) => match self.take(length) {
                Ok(body) => (body, true),
                Err(rest) => (rest, false),
            },
            None if is_response => loop {
                match self.fill() {
                    Some(true) => {}
                    end => return (std::mem::take(&mut self.buffer), end.is_some()),
                }
            },
            None => (Vec::new(), true),
        }
    }

    /// Reads a request; `None` when the connection has ended.
    pub fn request(&mut self) -> Option<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (body, is_whole) = self.body(&headers, false);
        is_whole.then_some(Request { method, target, headers, body })
    }

    /// Reads a response; `None` if the connection ended before its head.
    pub fn response(&mut self) -> Option<Response> {
        let (first, headers) = self.head()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let (body, is_whole) = self.body(&headers, true);
        Some(Response { status, headers, body, is_whole })
    }
}

/// Writes a response with a length. `headers` are whole lines.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> std::io::Result<()> {
    let mut message = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}
