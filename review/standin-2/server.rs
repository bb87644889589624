//! A sound server of a plain service, as a process of its own. Its answers have neither a length nor chunks and end
//! with their channel, and it writes them as it makes them.

use std::fs::File;
use std::io::Write as _;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::http::{self, header, Reader};

/// Time from the request to the first byte of the body.
const WORK: Duration = Duration::from_millis(15);

/// A part of a body, and the time that it takes to make.
const PART_BYTES: usize = 200;
const PART_TIME: Duration = Duration::from_millis(3);

/// Events of a stream, and the time between two.
pub const EVENTS: u32 = 20;
const EVENT_TIME: Duration = Duration::from_millis(20);

/// The same for targets with this part.
pub const LONG: &str = "/long";
pub const LONG_EVENTS: u32 = 40;
const LONG_EVENT_TIME: Duration = Duration::from_millis(50);

/// Prefix of the routes whose answers are streams.
const STREAMS: &str = "/sova118/";

/// Part of the targets whose answers have a length and leave the channel open, and the time that these take.
pub const KEPT: &str = "/kept";
const KEPT_TIME: Duration = Duration::from_millis(30);

/// The whole body of the answer to a request: 800 to 4,800 bytes.
pub fn body(request: &str) -> Vec<u8> {
    let length = 800 + hash(request.as_bytes()) % 4_001;
    let mut body = Vec::new();
    while body.len() < length as usize {
        body.extend_from_slice(format!("{request} {}\n", body.len()).as_bytes());
    }
    body.truncate(length as usize);
    body
}

/// The stamp under a body.
pub fn seal(server: &str, body: &[u8]) -> String {
    format!("{server}.{}.{:08x}", body.len(), hash(body))
}

fn hash(bytes: &[u8]) -> u32 {
    bytes.iter().fold(2_166_136_261, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(16_777_619))
}

pub fn run(id: &str, address: &str, log: &Path) {
    let listener = TcpListener::bind(address).expect("the server's address is free");
    for stream in listener.incoming().flatten() {
        let (id, log) = (id.to_owned(), log.to_owned());
        thread::spawn(move || serve(&id, &log, stream));
    }
}

fn serve(id: &str, log: &Path, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut log = File::options().create(true).append(true).open(log).expect("the server's log can be written");
    let mut reader = Reader::new(&stream);
    while let Some(request) = reader.request() {
        let request_id = header(&request.headers, "mulberryyoke-request-id").unwrap_or_default().to_owned();
        let echo = format!("Mulberryyoke-Request-Id: {request_id}\r\n");
        let expected = header(&request.headers, "mulberryyoke-expect-instance");
        let result = if request.target == "/health" {
            http::respond(&mut stream, 200, &format!("Mulberryyoke-Instance-Id: {id}\r\n"), b"")
        } else if expected.is_some_and(|expected| expected != id) {
            http::respond(&mut stream, 421, &format!("{echo}Mulberryyoke-Not-Executed: 1\r\n"), b"")
        } else if request_id.is_empty() {
            http::respond(&mut stream, 400, "Mulberryyoke-Not-Executed: 1\r\n", b"")
        } else {
            let _ = log.write_all(format!("{id} runs {request_id} {} {}\n", request.method, request.target).as_bytes());
            let is_kept = request.target.contains(KEPT);
            let result = match is_kept {
                true => answer_with_length(id, &request_id, &mut stream),
                false => answer(id, &request_id, &request.target, &mut stream),
            };
            let end = if result.is_ok() { "has ended" } else { "could not end" };
            let _ = log.write_all(format!("{id} {end} {request_id}\n").as_bytes());
            if is_kept {
                continue;
            }
            // The answer ends with its channel.
            return;
        };
        if result.is_err() {
            return;
        }
    }
}

fn answer(id: &str, request_id: &str, target: &str, stream: &mut TcpStream) -> std::io::Result<()> {
    let body = body(request_id);
    thread::sleep(WORK);
    if target.starts_with(STREAMS) {
        let is_long = target.contains(LONG);
        let (events, time) = if is_long { (LONG_EVENTS, LONG_EVENT_TIME) } else { (EVENTS, EVENT_TIME) };
        let head = format!(
            "HTTP/1.1 200 OK\r\nMulberryyoke-Request-Id: {request_id}\r\nMulberryyoke-Server-Seal: {id}.{events}\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in 1..=events {
            stream.write_all(format!("id: {event}\ndata: {request_id} {event}\n\n").as_bytes())?;
            thread::sleep(time);
        }
        return Ok(());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nMulberryyoke-Request-Id: {request_id}\r\nMulberryyoke-Server-Seal: {}\r\n\
         Content-Type: text/plain\r\nConnection: close\r\n\r\n",
        seal(id, &body)
    );
    stream.write_all(head.as_bytes())?;
    for part in body.chunks(PART_BYTES) {
        stream.write_all(part)?;
        thread::sleep(PART_TIME);
    }
    Ok(())
}

fn answer_with_length(id: &str, request_id: &str, stream: &mut TcpStream) -> std::io::Result<()> {
    let body = body(request_id);
    thread::sleep(KEPT_TIME);
    let head = format!("Mulberryyoke-Request-Id: {request_id}\r\nMulberryyoke-Server-Seal: {}\r\n", seal(id, &body));
    http::respond(stream, 200, &head, &body)
}
