//! A gateway as a process of its own.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::time::sleep;

/// Age of the configuration from which keys are refused, in milliseconds.
pub(crate) const KEYS_FRESH_MS: u64 = 2_000;

/// Longest time of a planned stop, in milliseconds.
pub(crate) const GRACE_MS: u64 = 6_000;

/// Retries for each request, and beyond.
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_SLACK: u32 = 20;

/// A gateway that is ended with its owner.
#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) callers: SocketAddr,
    pub(crate) health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Gate {
    /// Writes a gateway's settings; `store` is its way to the store.
    pub(crate) fn new(directory: &Path, index: usize, store: SocketAddr) -> Self {
        let name = format!("gate-{index}");
        let [callers, health, control] = free();
        let settings = directory.join(format!("{name}.json"));
        let text = json!({
            "name": name, "zone": "a", "callers": callers, "health": health, "control": control,
            "store": store, "keys_fresh_ms": KEYS_FRESH_MS, "grace_ms": GRACE_MS,
            "retry_ratio": RETRY_RATIO, "retry_slack": RETRY_SLACK,
        });
        fs::write(&settings, text.to_string()).expect("the settings are written");
        Self {
            callers,
            health,
            settings,
            log: directory.join(format!("{name}.log")),
            child: Mutex::new(None),
        }
    }

    /// Starts the process unless it runs.
    pub(crate) fn start(&self) {
        let mut child = self.child.lock();
        if child.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let started = Command::new(env!("CARGO_BIN_EXE_mulberryyoked"))
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdout(log.expect("a log"))
            .stderr(Stdio::inherit())
            .spawn();
        *child = Some(started.expect("the gateway starts"));
    }

    /// Sends a signal if it runs.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.lock();
        let id = child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // It may have ended a moment ago.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until the process has ended; `None` if it does not in time.
    pub(crate) async fn end(&self, longest: Duration) -> Option<i32> {
        let until = Instant::now() + longest;
        loop {
            {
                let mut child = self.child.lock();
                let status = child.as_mut()?.try_wait().ok().flatten();
                if let Some(status) = status {
                    *child = None;
                    return Some(status.code().unwrap_or(-1));
                }
            }
            if Instant::now() >= until {
                return None;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut() {
            // It may have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Free ports of a gateway, all bound at once so that they differ. None is used by a
/// connection of the run: these ports lie below the range from which the system takes them.
fn free() -> [SocketAddr; 3] {
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
