//! A process of the fleet.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::process::Process;
use rustix::process::Signal;
use serde_json::Value;

use super::wait;

/// A router or sidecar process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) name: String,
    /// Address for callers of a router; data address of a sidecar.
    pub(crate) data_address: SocketAddr,
    process: Process,
    /// Offset in the log at which the process was last started.
    log_start: AtomicUsize,
}

impl Node {
    pub(crate) fn new(process: Process, data_address: SocketAddr) -> Self {
        Self {
            name: process.name.clone(),
            data_address,
            process,
            log_start: AtomicUsize::new(0),
        }
    }

    /// Address for operators of a router; status address of a sidecar.
    pub(crate) fn status_address(&self) -> SocketAddr {
        self.process.status
    }

    pub(crate) fn kill(&self) -> impl Future<Output = Option<i32>> {
        self.process.terminate(Signal::KILL)
    }

    /// Shuts the process down gracefully; returns its exit code.
    pub(crate) fn stop(&self) -> impl Future<Output = Option<i32>> {
        self.process.terminate(Signal::TERM)
    }

    /// Suspends the process and waits until it is: on a busy machine, its threads run on for a
    /// while after the signal.
    pub(crate) async fn suspend(&self) {
        self.process.signal(Signal::STOP);
        wait::until_true("suspension", || self.process.is_stopped()).await;
    }

    pub(crate) fn resume(&self) {
        self.process.signal(Signal::CONT);
    }

    /// Restarts a process that has exited. State in memory is lost.
    pub(crate) fn restart(&self) {
        self.log_start
            .store(self.process.log().len(), Ordering::Relaxed);
        self.process.start().unwrap();
    }

    /// Events logged since the process was last started.
    pub(crate) fn events(&self, event: Event) -> Vec<Value> {
        let log = self.process.log();
        let log = log.get(self.log_start.load(Ordering::Relaxed)..);
        let lines = log.unwrap_or_default().lines();
        let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines
            .filter(|line| line["event"] == event.number())
            .collect()
    }

    /// Waits for a matching event logged since the process was last started.
    pub(crate) async fn wait_event(
        &self,
        event: Event,
        predicate: impl Fn(&Value) -> bool,
    ) -> Value {
        let what = format!("event {} of {}", event.number(), self.name);
        wait::until(&what, async || {
            let mut events = self.events(event);
            let index = events.iter().position(&predicate);
            let found = index.map(|index| events.swap_remove(index));
            found.ok_or_else(|| self.process.log_tail())
        })
        .await
    }
}
