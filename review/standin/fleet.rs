//! The rest of a small deployment: gateways as processes, servers, consumers and the record.

use std::fs::{self, File};
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, header};
use crate::store::Store;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// Lines of `record.txt`, with the time of the case in milliseconds.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Arc::new(Self { started: Instant::now(), file })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>7} {line}", self.now_ms());
    }

    pub fn wait_until(&self, at_ms: u64) {
        thread::sleep(Duration::from_millis(at_ms.saturating_sub(self.now_ms())));
    }
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// A port that is free for TCP and UDP, below those that the system gives to outgoing connections.
fn free_port() -> u16 {
    loop {
        let first = u64::from(std::process::id()) * 37;
        let offset = (first + NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % 12_000;
        let port = 20_000 + u16::try_from(offset).unwrap();
        let address = (Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

/// Settings of a gateway that differ from site to site.
pub struct Site {
    pub memory_mb: u64,
    pub descriptors: u64,
    pub retry_slack: u64,
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    program: String,
    child: Mutex<Child>,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file and the fields of its template.
    pub fn start(folder: &Path, name: &str, zone: &str, site: &Site, store: &Arc<Store>) -> Arc<Self> {
        let (store_listener, store_address) = listen();
        store.serve(store_listener);
        let ports = [free_port(), free_port(), free_port(), free_port()];
        let at = |port: u16| format!("127.0.0.1:{port}");
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"name\":\"{name}\",\"zone\":\"{zone}\",\"callers\":\"{}\",\"health\":\"{}\",\"control\":\"{}\",\"handoff\":\"{}\",\
             \"store\":\"{store_address}\",\"keys_fresh_ms\":5000,\"grace_ms\":8e3,\"retry_ratio\":0.2,\"retry_slack\":{},\
             \"processors\":0.19,\"memory_mb\":{},\"descriptors\":{}}}",
            at(ports[0]), at(ports[1]), at(ports[2]), at(ports[3]), site.retry_slack, site.memory_mb, site.descriptors
        );
        fs::write(&settings, text).expect("settings can be written");
        let program = std::env::var("GATEWAY").unwrap_or_else(|_| "target/release/mulberryyoked".to_owned());
        let child = spawn(&program, &settings);
        let address = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Arc::new(Self {
            name: name.to_owned(),
            front: address(ports[0]),
            ready: address(ports[1]),
            settings,
            program,
            child: Mutex::new(child),
        })
    }

    pub fn is_ready(&self) -> bool {
        let Some(mut stream) = connect(self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(900)));
        let _ = stream.write_all(b"GET /mulberryyoke/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        let response = http::Reader::new(stream).response();
        response.is_some_and(|response| response.status == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Resident memory of the process, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let id = self.child.lock().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }

    /// Stops the process, or lets it go on.
    pub fn freeze(&self, is_frozen: bool) {
        let id = self.child.lock().unwrap().id();
        let signal = if is_frozen { "STOP" } else { "CONT" };
        let status = Command::new("sh").arg("-c").arg(format!("kill -{signal} {id}")).status();
        assert!(status.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Kills the process.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    pub fn restart(&self) {
        *self.child.lock().unwrap() = spawn(&self.program, &self.settings);
    }
}

fn spawn(program: &str, settings: &Path) -> Child {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"));
    let mut command = Command::new(program);
    command.arg("gateway").arg("--settings").arg(settings).env_clear();
    command.stdout(log.map_or_else(|_| Stdio::null(), Stdio::from));
    let child = command.spawn().expect("the gateway starts");
    // Whoever started the case ends what is left if it breaks off.
    let pids = File::options().create(true).append(true).open(settings.with_file_name("pids"));
    if let Ok(mut pids) = pids {
        let _ = writeln!(pids, "{}", child.id());
    }
    child
}

pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// A run of a request at a server.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    pub service: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A sound server of a plain service.
pub struct Server {
    id: String,
    service: String,
    work: Duration,
    record: Arc<Record>,
    runs: Runs,
}

impl Server {
    /// Starts a server and registers it.
    pub fn start(store: &Store, record: &Arc<Record>, runs: &Runs, service: &str, id: &str, work: Duration) {
        let (listener, address) = listen();
        let registration = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1}}"
        );
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            work,
            record: Arc::clone(record),
            runs: Arc::clone(runs),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        store.put(&format!("servers/{id}"), &registration);
    }

    fn serve(&self, mut stream: TcpStream) {
        let id = &self.id;
        let mut reader = http::Reader::new(stream.try_clone().unwrap());
        while let Some(request) = reader.request() {
            let request_id = header(&request.headers, "mulberryyoke-request-id").unwrap_or_default();
            let expected = header(&request.headers, "mulberryyoke-expect-instance");
            let (status, headers) = if request.target == "/health" {
                (200, format!("Mulberryyoke-Instance-Id: {id}\r\n"))
            } else if expected.is_some_and(|expected| expected != id) {
                (421, format!("Mulberryyoke-Request-Id: {request_id}\r\nMulberryyoke-Not-Executed: 1\r\n"))
            } else if request_id.is_empty() {
                (400, "Mulberryyoke-Not-Executed: 1\r\n".to_owned())
            } else {
                let run = Run { request: request_id.to_owned(), service: self.service.clone() };
                self.runs.lock().unwrap().push(run);
                self.record.write(&format!("run      {request_id} service {} server {id} {} {}", self.service, request.method, request.target));
                thread::sleep(self.work);
                (200, format!("Mulberryyoke-Request-Id: {request_id}\r\nMulberryyoke-Server-Seal: seal.{id}\r\n"))
            };
            if http::respond(&mut stream, status, &headers, b"done\n").is_err() {
                return;
            }
        }
    }
}

/// A kept channel of a consumer.
pub struct Channel {
    stream: TcpStream,
    reader: http::Reader,
    /// Number of requests sent on it.
    pub sent: u32,
}

/// What became of a request, as its consumer sees it.
pub enum Answer {
    Status(u16),
    /// The channel closed without an answer.
    Closed,
    /// Neither by the time budget.
    Silent,
}

impl Channel {
    pub fn open(front: SocketAddr) -> Option<Self> {
        let stream = connect(front)?;
        let reader = http::Reader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader, sent: 0 })
    }

    /// Sends a request and waits for its answer; `false` if the channel can't be used again.
    pub fn exchange(&mut self, id: &str, path: &str, budget: Duration, headers: &str) -> (Answer, bool) {
        self.sent += 1;
        let _ = self.stream.set_read_timeout(Some(budget));
        let message = format!(
            "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nMulberryyoke-Request-Id: {id}\r\n\
             Mulberryyoke-Deadline-Ms: {}\r\n{headers}Content-Length: 5\r\n\r\nhello",
            budget.as_millis()
        );
        let sent_at = Instant::now();
        if self.stream.write_all(message.as_bytes()).is_err() {
            return (Answer::Closed, false);
        }
        match self.reader.response() {
            Some(response) if response.is_whole => {
                let closes = header(&response.headers, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
                (Answer::Status(response.status), !closes)
            }
            _ if sent_at.elapsed() >= budget => (Answer::Silent, false),
            _ => (Answer::Closed, false),
        }
    }
}

/// A route of the manifest, as the operator writes it.
pub fn route(name: &str, prefix: &str, service: &str, is_public: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"prefix\":\"{prefix}\",\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\
         \"sloMs\":150,\"priority\":2,\"service\":\"{service}\",\"attempts\":1,\"public\":{is_public},\"sticky\":false,\"resumable\":false}}"
    )
}

pub fn manifest(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"headerBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":250000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"asnmgkcuyj8pjbvk9m68\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Routes that the manifest has grown by (`big_config`).
pub fn added_routes(count: usize, service: &str) -> Vec<String> {
    (0..count).map(|index| route(&format!("r-added{index:05}"), &format!("/added{index:05}/"), service, false)).collect()
}
