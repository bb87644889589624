//! A process of the fleet.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::process::Process;
use rustix::process::Signal;
use serde_json::Value;

use super::wait;

/// A router or sidecar.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) name: String,
    /// Where callers connect to a router, or routers to a sidecar for bodies.
    pub(crate) data: SocketAddr,
    process: Process,
    /// Where the log of the present life begins.
    born_at: AtomicUsize,
}

impl Node {
    pub(crate) fn new(process: Process, data: SocketAddr) -> Self {
        Self {
            name: process.name.clone(),
            data,
            process,
            born_at: AtomicUsize::new(0),
        }
    }

    /// The operators' port of a router, the status port of a sidecar.
    pub(crate) fn status(&self) -> SocketAddr {
        self.process.status
    }

    pub(crate) fn kill(&self) -> impl Future<Output = Option<i32>> {
        self.process.end(Signal::KILL)
    }

    /// Stops the process as planned; returns its exit code.
    pub(crate) fn stop(&self) -> impl Future<Output = Option<i32>> {
        self.process.end(Signal::TERM)
    }

    pub(crate) fn freeze(&self) {
        self.process.signal(Signal::STOP);
    }

    pub(crate) fn thaw(&self) {
        self.process.signal(Signal::CONT);
    }

    /// Starts a process again that has ended. It remembers nothing.
    pub(crate) fn start(&self) {
        self.born_at
            .store(self.process.log().len(), Ordering::Relaxed);
        self.process.start().unwrap();
    }

    /// Events of the present life.
    pub(crate) fn events(&self, event: Event) -> Vec<Value> {
        let log = self.process.log();
        let log = log.get(self.born_at.load(Ordering::Relaxed)..);
        let lines = log.unwrap_or_default().lines();
        let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines
            .filter(|line| line["event"] == event.number())
            .collect()
    }

    /// Waits for an event of the present life that is as wanted.
    pub(crate) async fn event(&self, event: Event, wanted: impl Fn(&Value) -> bool) -> Value {
        let what = format!("event {} of {}", event.number(), self.name);
        wait::until(&what, async || {
            let mut events = self.events(event);
            let found = events.iter().position(&wanted);
            let found = found.map(|place| events.swap_remove(place));
            found.ok_or_else(|| self.process.tail())
        })
        .await
    }
}
