//! An inference engine with continuous batching and first-come, first-served scheduling.

mod api;
mod cache;
mod command;
mod core;
mod prompt;
mod settings;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::Server;
use crate::journal::Journal;

use self::core::Core;

pub use settings::Settings;

/// A running inference engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    core: Arc<Core>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let core = Arc::new(Core::new(settings));
        tokio::spawn(core::publish_load(Arc::downgrade(&core)));
        let shared = Arc::clone(&core);
        let handler = move |request| api::respond(Arc::clone(&shared), request);
        let server = Server::bind(address, handler).await?;
        Ok(Self { server, core })
    }

    /// Address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Record of the requests that the engine ran.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        self.core.journal()
    }
}
