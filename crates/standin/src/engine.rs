//! A model engine: continuous batching without priorities.

mod api;
mod cache;
mod core;
mod order;
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

/// A running model engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    core: Arc<Core>,
}

impl Engine {
    /// Binds an engine.
    ///
    /// # Errors
    ///
    /// What the operating system says when the address cannot be bound.
    pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let core = Arc::new(Core::new(settings));
        tokio::spawn(core::publish(Arc::downgrade(&core)));
        let shared = Arc::clone(&core);
        let handler = move |request| api::answer(Arc::clone(&shared), request);
        let server = Server::bind(address, handler).await?;
        Ok(Self { server, core })
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it ran.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        self.core.journal()
    }
}
