//! A running sidecar.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberryyoke_event::slog::Logger;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Millis;
use mulberryyoke_platform::kv::{self, Kv};
use mulberryyoke_settings as settings;
use mulberryyoke_wire as wire;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::record_writer::RecordWriter;
use super::shared::Shared;
use super::{Error, control, data, expiry, probe, status};
use crate::{clock, metric};

/// Timeout of flushing the last responses after the last request has ended, in
/// milliseconds.
const FLUSH_TIMEOUT_MS: Millis = 5_000;

/// A running sidecar.
#[derive(Debug)]
pub struct Sidecar {
    shared: Arc<Shared>,
    control: SocketAddr,
    data: SocketAddr,
    status: SocketAddr,
    record_task: JoinHandle<()>,
    data_task: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Sidecar {
    /// Binds the ports and starts serving.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn spawn(settings: settings::Sidecar, logger: Logger) -> Result<Self, Error> {
        let kv = kv::Etcd::new(settings.kv.clone(), kv::Options::default());
        Self::spawn_with_kv(settings, Arc::new(kv), logger).await
    }

    /// Like [`Self::spawn`], with the given client of the key-value store.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn spawn_with_kv(
        settings: settings::Sidecar,
        kv: Arc<dyn Kv>,
        logger: Logger,
    ) -> Result<Self, Error> {
        metric::install();
        let shared = Shared::new(settings, logger);
        let settings = &shared.settings;
        let control_port = bind_control(&shared).await?;
        let data_port = bind(settings.data).await?;
        let status_port = bind(settings.status).await?;
        let control = control_port
            .address()
            .map_err(control_error(settings.control))?;
        let data = local_address(&data_port, settings.data)?;
        let status = local_address(&status_port, settings.status)?;
        let record_task = tokio::spawn(RecordWriter::new(Arc::clone(&shared), kv).run());
        let data_task = tokio::spawn(data::run(data_port, Arc::clone(&shared)));
        let tasks = vec![
            tokio::spawn(control::run(control_port, Arc::clone(&shared))),
            tokio::spawn(status::run(status_port, Arc::clone(&shared))),
            tokio::spawn(expiry::run(Arc::clone(&shared))),
            tokio::spawn(probe::run(Arc::clone(&shared))),
        ];
        log!(shared.logger, Event::Ready, "role" => "sidecar",
            "control" => control.to_string(), "data" => data.to_string(),
            "status" => status.to_string());
        Ok(Self {
            shared,
            control,
            data,
            status,
            record_task,
            data_task,
            tasks,
        })
    }

    /// Address of the control port.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Address of the data port.
    #[must_use]
    pub fn data(&self) -> SocketAddr {
        self.data
    }

    /// Address of the status port.
    #[must_use]
    pub fn status(&self) -> SocketAddr {
        self.status
    }

    /// Waits until no request is running.
    pub async fn wait_idle(&self) {
        wait_idle(&self.shared).await;
    }

    /// Waits until this instance has written the home record.
    pub async fn wait_record_written(&self) {
        self.shared.registration.wait_written().await;
    }

    /// Rejects new requests, drains running ones until the drain deadline, interrupts
    /// the rest, and closes the ports.
    pub async fn stop(mut self) {
        let shared = Arc::clone(&self.shared);
        let deadline = clock::now() + shared.settings.drain_ms;
        log!(shared.logger, Event::Stopping, "deadline" => deadline);
        shared.decide(|admission, _| admission.stop());
        let idle = wait_idle(&shared);
        if tokio::time::timeout_at(clock::instant(deadline), idle)
            .await
            .is_err()
        {
            shared.drain_expired.cancel();
        }
        shared.tasks.close();
        shared.tasks.wait().await;
        shared.idle.cancel();
        // If the task failed, the record stays open and the next instance recovers.
        let _ = (&mut self.record_task).await;
        shared.closed.cancel();
        let flush_deadline = clock::instant(clock::now() + FLUSH_TIMEOUT_MS);
        // Responses that routers have not read by then are interrupted.
        let _ = tokio::time::timeout_at(flush_deadline, &mut self.data_task).await;
        log!(shared.logger, Event::Stopped, "role" => "sidecar");
    }
}

impl Drop for Sidecar {
    /// Aborts whatever [`Sidecar::stop`] has not ended.
    fn drop(&mut self) {
        self.shared.drain_expired.cancel();
        self.shared.closed.cancel();
        let tasks = self.tasks.iter();
        for task in tasks.chain([&self.record_task, &self.data_task]) {
            task.abort();
        }
    }
}

async fn wait_idle(shared: &Shared) {
    loop {
        let ended = shared.request_ended.notified();
        if shared.decide(|admission, _| admission.running_count()) == 0 {
            return;
        }
        ended.await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Bind { address, source })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, Error> {
    let local = listener.local_addr();
    local.map_err(|source| Error::Bind { address, source })
}

async fn bind_control(shared: &Shared) -> Result<wire::Listener, Error> {
    let address = shared.settings.control;
    let bytes = Arc::clone(&shared.control_bytes);
    let bound = wire::Listener::bind(address, bytes).await;
    bound.map_err(control_error(address))
}

fn control_error(address: SocketAddr) -> impl Fn(wire::Error) -> Error {
    move |source| Error::Control { address, source }
}
