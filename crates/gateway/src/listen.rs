//! Accepting and serving callers' connections.

mod acceptor;
mod connection;
mod origin;

use std::sync::Arc;

use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;

pub(crate) use self::acceptor::ACCEPT_RETRY_DELAY;
use self::acceptor::run;
use self::origin::Origin;
use crate::core::Core;

/// Serves callers' connections, both direct and handed off, until the ports are closed and the open
/// connections have ended.
pub(crate) async fn serve(core: Arc<Core>, callers: TcpListener, handoff: Option<TcpListener>) {
    let connections = GracefulShutdown::new();
    tokio::join!(
        run(&core, &connections, Some(callers), Origin::Direct),
        run(&core, &connections, handoff, Origin::HandedOff),
    );
    let ended = async {
        connections.shutdown().await;
        core.handoffs.close();
        core.handoffs.wait().await;
    };
    tokio::select! {
        () = core.shutdown.terminate.cancelled() => {}
        () = ended => core.shutdown.terminate.cancel(),
    }
}
