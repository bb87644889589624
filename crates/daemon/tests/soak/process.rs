//! Servers as processes of their own, which signals stop and kill.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};

use crate::backend::{Backend, Framings};
use crate::gateway::free_addresses;

/// Environment variables that tell the process its name and address.
const NAME: &str = "SOAK_SERVER_NAME";
const ADDRESS: &str = "SOAK_SERVER_ADDRESS";

/// Test that runs in the process.
const ENTRY: &str = "process::runs_as_a_server";

/// A server's process, which is killed on drop.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) address: SocketAddr,
    child: Mutex<Child>,
}

impl Process {
    pub(crate) fn spawn(name: &str) -> Self {
        let [address, ..] = free_addresses();
        Self {
            address,
            child: Mutex::new(spawn(name, address)),
        }
    }

    /// Starts the next process at the address, and kills the one before if it still runs.
    pub(crate) fn replace(&self, name: &str) {
        let mut child = self.child.lock();
        end(&mut child);
        *child = spawn(name, self.address);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.lock().id()).ok();
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // The process may have exited in the meantime.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        end(self.child.get_mut());
    }
}

fn end(child: &mut Child) {
    // The process may have exited.
    let _ = child.kill();
    let _ = child.wait();
}

fn spawn(name: &str, address: SocketAddr) -> Child {
    let executable = std::env::current_exe().expect("the path of the test");
    let started = Command::new(executable)
        .args([ENTRY, "--exact", "--ignored", "--nocapture"])
        .env(NAME, name)
        .env(ADDRESS, address.to_string())
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn();
    started.expect("the server's process starts")
}

/// Serves until the standard input ends, as it does with the run.
#[test]
#[ignore = "runs in the processes that runs start"]
fn runs_as_a_server() {
    let name = std::env::var(NAME).expect("a name");
    let address = std::env::var(ADDRESS).expect("an address");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(async {
        let address = address.parse().expect("an address");
        let server = Backend::spawn_at(address, &name, std::sync::Arc::default()).await;
        server.set_framings(Framings::All);
        let input = tokio::task::spawn_blocking(|| std::io::read_to_string(std::io::stdin()));
        let _ = input.await;
    });
}
