//! Servers of a run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use super::MODEL_POOL;
use crate::backend::{Backend, Framings, RecordedRequest};
use crate::process::Process;
use crate::proxy::Proxy;
use crate::store_values::name_in_release;
use crate::subject::Subject;

/// Requests that servers received.
pub(crate) type Recorded = Arc<Mutex<Vec<RecordedRequest>>>;

/// A server, the proxy in front of it and its pool.
pub(super) struct Server {
    pub(super) backend: Backend,
    pub(super) proxy: Proxy,
    /// Process that serves, if it is not the backend itself.
    pub(super) process: Option<Process>,
    /// Address in its registration.
    pub(super) address: SocketAddr,
    pub(super) pool: &'static str,
}

impl Server {
    pub(super) async fn spawn(index: usize, subject: Subject, recorded: Recorded) -> Self {
        let pool = if index < subject.plain_servers() {
            "desk"
        } else {
            MODEL_POOL
        };
        let name = match (subject, pool) {
            (Subject::Losses, MODEL_POOL) => name_in_release(0, index as u64),
            _ => format!("s-{index}"),
        };
        let backend = Backend::spawn(&name, recorded).await;
        match subject {
            Subject::Streams => backend.set_framings(Framings::AllAndBroken),
            Subject::Processes => backend.set_framings(Framings::All),
            _ => {}
        }
        let proxy = Proxy::spawn_for_server(backend.address).await;
        // The others have a proxy, which would listen on for a process that has ended.
        let is_process =
            subject == Subject::Processes && pool == MODEL_POOL && index.is_multiple_of(2);
        let process = is_process.then(|| Process::spawn(&name));
        let address = process.as_ref().map_or(proxy.address, |it| it.address);
        Self {
            backend,
            proxy,
            process,
            address,
            pool,
        }
    }
}
