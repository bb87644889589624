//! Router and sidecar processes.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use parking_lot::Mutex;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use serde_json::Value;
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use super::error::Error;

/// Time that a process has to exit before it is killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(75);
/// Length of the end of a log that errors contain.
const LOG_TAIL_BYTES: usize = 2_000;

/// Ports of the loopback address that are reserved until this is dropped. Processes can bind them
/// any number of times.
#[derive(Debug, Default)]
pub struct ReservedPorts {
    sockets: Vec<TcpSocket>,
}

impl ReservedPorts {
    /// Reserves a port.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn reserve(&mut self) -> io::Result<SocketAddr> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        // Lets a process listen on the port, while sockets bound to port 0 do not get it.
        socket.set_reuseaddr(true)?;
        let address = socket.local_addr()?;
        self.sockets.push(socket);
        Ok(address)
    }
}

/// A router or sidecar. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    /// Name in the settings.
    pub name: String,
    /// Address of the health checks and metrics, and of a router's operator API.
    pub status: SocketAddr,
    daemon: PathBuf,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Process ID, until the process has been waited for.
    pid: Mutex<Option<Pid>>,
}

impl Process {
    /// Writes the settings file and starts the process.
    ///
    /// # Errors
    ///
    /// If the settings cannot be written or the process cannot be started.
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

    /// Starts or restarts the process.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub fn start(&self) -> Result<(), Error> {
        let child = self.spawn_child().map_err(|source| Error::Start {
            name: self.name.clone(),
            source,
        })?;
        let id = child.id().and_then(|id| i32::try_from(id).ok());
        *self.pid.lock() = id.and_then(Pid::from_raw);
        *self.child.lock() = Some(child);
        Ok(())
    }

    fn spawn_child(&self) -> io::Result<Child> {
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

    /// Sends a signal, unless the process has been waited for.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = *self.pid.lock() {
            kill_process(pid, signal).ok();
        }
    }

    /// Whether all threads of the process are stopped by a signal.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        let pid = *self.pid.lock();
        pid.is_some_and(|pid| matches!(waitid(WaitId::Pid(pid), options), Ok(Some(_))))
    }

    /// Sends a terminating signal, waits for the process and returns its exit code, if any.
    pub async fn terminate(&self, signal: Signal) -> Option<i32> {
        self.signal(signal);
        let mut child = self.child.lock().take()?;
        let exited = timeout(EXIT_TIMEOUT, child.wait()).await;
        *self.pid.lock() = None;
        exited.ok()?.ok()?.code()
    }

    /// Whether the process has exited without being terminated.
    pub fn has_exited(&self) -> bool {
        let mut child = self.child.lock();
        let exited = child
            .as_mut()
            .map(|child| matches!(child.try_wait(), Ok(Some(_))));
        exited.unwrap_or(false)
    }

    /// Log of the process, including previous starts.
    #[must_use]
    pub fn log(&self) -> String {
        let log = fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&log).into_owned()
    }

    /// End of the log.
    #[must_use]
    pub fn log_tail(&self) -> String {
        let log = fs::read(&self.log).unwrap_or_default();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&log[start..]).into_owned()
    }
}
