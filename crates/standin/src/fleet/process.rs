//! Processes of the system under test.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use super::error::Error;

/// Ports are taken from here up to [`LAST_PORT`], below those that outgoing
/// connections get, so that a process that is started again finds its own free.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;
/// Longest time that a process may take to end; then it is killed.
const LONGEST_END: Duration = Duration::from_secs(75);
/// Bytes of a log that are shown when a process fails.
const LOG_TAIL: usize = 2_000;

/// Free ports of the loopback address.
#[derive(Debug)]
pub(crate) struct Ports {
    next: u16,
}

impl Ports {
    /// Starts at a place that differs between launchers.
    pub(crate) fn open() -> Self {
        let place = std::process::id() * 131 % u32::from(LAST_PORT - FIRST_PORT);
        let place = u16::try_from(place).unwrap_or(0);
        Self {
            next: FIRST_PORT + place,
        }
    }

    /// Takes a port that is free now.
    pub(crate) fn take(&mut self) -> SocketAddr {
        loop {
            self.next += 1;
            if self.next >= LAST_PORT {
                self.next = FIRST_PORT;
            }
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}

/// A router or sidecar. Dropping it kills the process.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    /// Where health and metrics are served.
    pub(crate) status: SocketAddr,
    daemon: PathBuf,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Its id while it has not been waited for.
    pid: Mutex<Option<Pid>>,
}

impl Process {
    /// Writes settings and starts the process.
    pub(crate) fn spawn(
        daemon: &Path,
        directory: &Path,
        role: &'static str,
        status: SocketAddr,
        settings: &Value,
    ) -> Result<Self, Error> {
        let name = settings["name"].as_str().unwrap_or_default().to_owned();
        let process = Self {
            status,
            daemon: daemon.to_owned(),
            role,
            settings: directory.join(format!("{name}.json")),
            log: directory.join(format!("{name}.log")),
            child: Mutex::new(None),
            pid: Mutex::new(None),
            name,
        };
        fs::write(&process.settings, settings.to_string()).map_err(Error::Settings)?;
        process.start()?;
        Ok(process)
    }

    /// Starts the process, again if it has run before.
    pub(crate) fn start(&self) -> Result<(), Error> {
        let child = self.launch().map_err(|source| Error::Start {
            name: self.name.clone(),
            source,
        })?;
        let id = child.id().and_then(|id| i32::try_from(id).ok());
        *self.pid.lock() = id.and_then(Pid::from_raw);
        *self.child.lock() = Some(child);
        Ok(())
    }

    fn launch(&self) -> io::Result<Child> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        Command::new(&self.daemon)
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Sends a signal; a process that has been waited for gets none.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = *self.pid.lock() {
            kill_process(pid, signal).ok();
        }
    }

    /// Sends a signal that ends the process; returns its exit code, if any.
    pub(crate) async fn end(&self, signal: Signal) -> Option<i32> {
        self.signal(signal);
        let mut child = self.child.lock().take()?;
        let ended = timeout(LONGEST_END, child.wait()).await;
        *self.pid.lock() = None;
        ended.ok()?.ok()?.code()
    }

    /// Whether the process has ended by itself.
    pub(crate) fn has_ended(&self) -> bool {
        let mut child = self.child.lock();
        let ended = child
            .as_mut()
            .map(|child| matches!(child.try_wait(), Ok(Some(_))));
        ended.unwrap_or(false)
    }

    /// The end of its log.
    pub(crate) fn tail(&self) -> String {
        let log = fs::read(&self.log).unwrap_or_default();
        let start = log.len().saturating_sub(LOG_TAIL);
        String::from_utf8_lossy(&log[start..]).into_owned()
    }
}
