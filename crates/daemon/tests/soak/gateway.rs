//! Gateway processes.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Configuration age from which requests with a key are refused, in milliseconds.
pub(crate) const KEYS_FRESH_MS: u64 = 2_000;

/// Grace period of a shutdown, in milliseconds.
pub(crate) const GRACE_MS: u64 = 6_000;

/// Retries per request, and number of retries allowed beyond this ratio.
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_SLACK: u32 = 20;

/// Memory of a gateway's VM, in megabytes, as in the smaller deployments.
pub(crate) const MEMORY_MB: u64 = 110;

const KIB_PER_MB: u64 = 1 << 10;

/// Name of the processes.
const EXECUTABLE: &str = "mulberryyoked";

/// A gateway process that is killed on drop.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) callers: SocketAddr,
    pub(crate) health: SocketAddr,
    #[allow(dead_code, reason = "only some tests call it")]
    pub(crate) control: SocketAddr,
    settings: PathBuf,
    #[allow(dead_code, reason = "only some tests read it")]
    pub(crate) log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Gateway {
    /// Writes the settings of a gateway that reaches the store at the address `store`.
    /// Gateways with more processors watch the store for the others.
    pub(crate) fn new(directory: &Path, index: usize, store: SocketAddr, processors: f64) -> Self {
        let name = format!("gate-{index}");
        let [callers, health, control] = free_addresses();
        let settings = directory.join(format!("{name}.json"));
        let text = json!({
            "name": name, "zone": "a", "callers": callers, "health": health, "control": control,
            "store": store, "keys_fresh_ms": KEYS_FRESH_MS, "grace_ms": GRACE_MS,
            "retry_ratio": RETRY_RATIO, "retry_slack": RETRY_SLACK,
            "memory_mb": MEMORY_MB, "processors": processors,
        });
        fs::write(&settings, text.to_string()).expect("the settings file is written");
        Self {
            callers,
            health,
            control,
            settings,
            log: directory.join(format!("{name}.log")),
            child: Mutex::new(None),
        }
    }

    /// Starts the process unless it is running.
    pub(crate) fn start(&self) {
        let mut child = self.child.lock();
        if child.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let started = Command::new(executable())
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdout(log.expect("the log file is opened"))
            .stderr(Stdio::inherit())
            .spawn();
        *child = Some(started.expect("the gateway process starts"));
    }

    /// Sends a signal if the process is running.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.lock();
        let id = child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // The process may have exited in the meantime.
            let _ = kill_process(pid, signal);
        }
    }

    /// Metrics of the process; empty if it does not answer.
    #[allow(dead_code, reason = "only some tests read them")]
    pub(crate) async fn fetch_metrics(&self) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.control).await {
            let request = b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            let _ = stream.write_all(request).await;
            let _ = stream.read_to_string(&mut text).await;
        }
        text
    }

    /// Resident memory of the process in megabytes, rounded down; `None` if it does not run.
    pub(crate) fn resident_mb(&self) -> Option<u64> {
        let child = self.child.lock();
        let status = format!("/proc/{}/status", child.as_ref()?.id());
        let status = fs::read_to_string(status).ok()?;
        let value = |name: &str| {
            let mut lines = status.lines();
            let value = lines.find_map(|line| line.strip_prefix(name))?;
            value.split_whitespace().next()
        };
        // A new process has the name and the memory of its parent until it runs the executable.
        if value("Name:")? != EXECUTABLE {
            return None;
        }
        let kib: u64 = value("VmRSS:")?.parse().ok()?;
        Some(kib / KIB_PER_MB)
    }

    #[allow(dead_code, reason = "only some tests limit it")]
    /// Processor time of the process so far; `None` if it does not run.
    pub(crate) fn processor_time(&self) -> Option<Duration> {
        let child = self.child.lock();
        let threads = fs::read_dir(format!("/proc/{}/task", child.as_ref()?.id())).ok()?;
        let times = threads.filter_map(|thread| {
            let text = fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse::<u64>().ok()
        });
        Some(Duration::from_nanos(times.sum()))
    }

    /// Waits for the process and returns its exit code, or `None` after the timeout.
    pub(crate) async fn wait_for_exit(&self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        loop {
            {
                let mut child = self.child.lock();
                let status = child.as_mut()?.try_wait().ok().flatten();
                if let Some(status) = status {
                    *child = None;
                    return Some(status.code().unwrap_or(-1));
                }
            }
            if Instant::now() >= deadline {
                return None;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut() {
            // The process may have exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The executable of the gateways, which `SOAK_GATEWAY` overrides.
fn executable() -> PathBuf {
    let overriding = std::env::var_os("SOAK_GATEWAY").map(PathBuf::from);
    overriding.unwrap_or_else(|| env!("CARGO_BIN_EXE_mulberryyoked").into())
}

/// Returns free addresses for a process. Their ports lie below the ephemeral range, so that no
/// outgoing connection takes one of them before the gateway binds it.
pub(crate) fn free_addresses() -> [SocketAddr; 3] {
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    let mut found = Vec::new();
    let begin = 20_000 + u16::try_from(std::process::id() % 8_000).unwrap_or(0);
    while found.len() < 3 {
        let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 12_000 + (begin + next) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    [found[0], found[1], found[2]]
}
