//! The rest of a small deployment: gateways and servers as processes, consumers and the record.

use std::fs::{self, File};
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reader, Response};
use crate::store::Store;

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

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An address that is free for TCP and UDP, below the ports that the system gives to outgoing connections.
pub fn free_address() -> SocketAddr {
    loop {
        let offset = (std::process::id() * 37 + NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % 12_000;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + u16::try_from(offset).unwrap()));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a process, and notes it for whoever ends what is left if the case breaks off.
fn spawn(folder: &Path, program: &Path, words: &[&str], log: &str) -> Child {
    let log = File::options().create(true).append(true).open(folder.join(log));
    let mut command = Command::new(program);
    command.args(words).env_clear().stdin(Stdio::null());
    command.stdout(log.map_or_else(|_| Stdio::null(), Stdio::from));
    let child = command.spawn().expect("the process starts");
    if let Ok(mut pids) = File::options().create(true).append(true).open(folder.join("pids")) {
        let _ = writeln!(pids, "{}", child.id());
    }
    child
}

pub fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file and the fields of its template, as on `lughz-cairo`.
    pub fn start(folder: &Path, zone: &str, store: SocketAddr) -> Self {
        let name = format!("edge-{zone}-1");
        let (front, ready) = (free_address(), free_address());
        let (control, handoff) = (free_address(), free_address());
        let settings: PathBuf = folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"name\":\"{name}\",\"zone\":\"{zone}\",\"callers\":\"{front}\",\"health\":\"{ready}\",\"control\":\"{control}\",\
             \"handoff\":\"{handoff}\",\"store\":\"{store}\",\"keys_fresh_ms\":5000,\"grace_ms\":8e3,\"retry_ratio\":0.2,\
             \"retry_slack\":52,\"processors\":0.19,\"memory_mb\":260,\"kv_writes_per_s\":400,\"descriptors\":4200}}"
        );
        fs::write(&settings, text).expect("settings can be written");
        let program = Path::new("target/release/mulberryyoked");
        let words = ["gateway", "--settings", settings.to_str().unwrap()];
        let child = spawn(folder, program, &words, &format!("{name}.log"));
        Self { name, front, ready, child }
    }

    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let get = "GET /mulberryyoke/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            if exchange(self.ready, get, Duration::from_secs(1)).is_some_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn end(mut self) {
        end(&mut self.child);
    }
}

/// A server process; each start is a new incarnation with a new id.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
}

impl Server {
    pub fn start(folder: &Path, store: &Store, service: &str, zone: &str, address: SocketAddr, number: u32) -> Self {
        Self::start_behind(folder, store, service, (zone, address), address, number, || ())
    }

    /// Starts a server that listens at `own` and is reached at `address`.
    pub fn start_behind(
        folder: &Path,
        store: &Store,
        service: &str,
        (zone, address): (&str, SocketAddr),
        own: SocketAddr,
        number: u32,
        when_it_listens: impl FnOnce(),
    ) -> Self {
        let id = format!("i-{number:010x}");
        let program = std::env::current_exe().expect("the path of this program");
        let log = folder.join("servers.log");
        let words = ["server", &id, &own.to_string(), log.to_str().unwrap()];
        let child = spawn(folder, &program, &words, "servers.out");
        while TcpStream::connect(own).is_err() {
            thread::sleep(Duration::from_millis(2));
        }
        when_it_listens();
        let registration = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1}}"
        );
        store.put(&format!("servers/{id}"), &registration);
        Self { id, address, child }
    }

    pub fn kill(&mut self) {
        end(&mut self.child);
    }
}

/// Sends a request on a new channel and reads the answer.
pub fn exchange(to: SocketAddr, message: &str, budget: Duration) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(budget));
    stream.write_all(message.as_bytes()).ok()?;
    Reader::new(&stream).response()
}

/// The manifest, as the operator writes it: three public routes of one plain service.
pub fn manifest(service: &str) -> String {
    manifest_with(service, 1_000)
}

/// The same, with this `timeoutMs` of streams.
pub fn manifest_with(service: &str, stream_ms: u32) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        let timeout_ms = if kind == "streaming" { stream_ms } else { 1_000 };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"sloMs\":150,\
             \"priority\":2,\"service\":\"{service}\",\"attempts\":{attempts},\"public\":true,\"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{},{}],\"services\":[{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"headerBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000,\"tokensPerS\":340000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"asnmgkcuyj8pjbvk9m68\"],\"priority\":1}}]}}",
        route("r-confirm", "/puxa403/", "non_idempotent", 1),
        route("r-cancel", "/lohu930/", "idempotent", 2),
        route("r-script", "/sova118/", "streaming", 1),
    )
}
