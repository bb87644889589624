//! Processes of the system under test.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use super::error::Error;

/// Longest time that a process may take to end; then it is killed.
const LONGEST_END: Duration = Duration::from_secs(75);
/// Bytes of a log that are shown when a process fails.
const LOG_TAIL: usize = 2_000;

/// Ports of the loopback address, kept for processes to bind, again and again,
/// until dropped.
#[derive(Debug, Default)]
pub struct ReservedPorts {
    held: Vec<TcpSocket>,
}

impl ReservedPorts {
    /// Takes a port.
    ///
    /// # Errors
    ///
    /// What the operating system says when there is none.
    pub fn reserve(&mut self) -> io::Result<SocketAddr> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        // From now on one may listen there; what just needs any port gets another.
        socket.set_reuseaddr(true)?;
        let address = socket.local_addr()?;
        self.held.push(socket);
        Ok(address)
    }
}

/// A router or sidecar. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    /// Name in the settings.
    pub name: String,
    /// Where health and metrics are served.
    pub status: SocketAddr,
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
    ///
    /// # Errors
    ///
    /// Settings that cannot be written, or a process that cannot be started.
    pub fn spawn(
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
    ///
    /// # Errors
    ///
    /// A process that cannot be started.
    pub fn start(&self) -> Result<(), Error> {
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
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = *self.pid.lock() {
            kill_process(pid, signal).ok();
        }
    }

    /// Sends a signal that ends the process; returns its exit code, if any.
    pub async fn terminate(&self, signal: Signal) -> Option<i32> {
        self.signal(signal);
        let mut child = self.child.lock().take()?;
        let ended = timeout(LONGEST_END, child.wait()).await;
        *self.pid.lock() = None;
        ended.ok()?.ok()?.code()
    }

    /// Whether the process has ended by itself.
    pub fn has_exited(&self) -> bool {
        let mut child = self.child.lock();
        let ended = child
            .as_mut()
            .map(|child| matches!(child.try_wait(), Ok(Some(_))));
        ended.unwrap_or(false)
    }

    /// Its log, over restarts.
    #[must_use]
    pub fn log(&self) -> String {
        let log = fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&log).into_owned()
    }

    /// The end of its log.
    #[must_use]
    pub fn log_tail(&self) -> String {
        let log = fs::read(&self.log).unwrap_or_default();
        let start = log.len().saturating_sub(LOG_TAIL);
        String::from_utf8_lossy(&log[start..]).into_owned()
    }
}
