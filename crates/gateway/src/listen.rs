//! Callers' connections, from the ports at which they are taken to their ends.

mod connection;
mod port;
mod way;

use std::sync::Arc;

use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;

pub(crate) use self::port::ACCEPT_PAUSE;
use self::port::take;
use self::way::Way;
use crate::core::Core;

/// Takes callers' connections, directly and as others hand them on, until the ports are closed,
/// then lets the open ones end.
pub(crate) async fn serve(core: Arc<Core>, callers: TcpListener, handoff: Option<TcpListener>) {
    let shutdown = GracefulShutdown::new();
    tokio::join!(
        take(&core, &shutdown, Some(callers), Way::Direct),
        take(&core, &shutdown, handoff, Way::HandedOn),
    );
    let ended = async {
        shutdown.shutdown().await;
        core.handed_on.close();
        core.handed_on.wait().await;
    };
    tokio::select! {
        () = core.shutdown.terminate.cancelled() => {}
        () = ended => core.shutdown.terminate.cancel(),
    }
}
