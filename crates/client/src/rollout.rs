//! Waiting until every node has applied a change.

use std::time::{Duration, Instant};

use mulberryyoke_command::api::{Node, Output, Role};
use mulberryyoke_model::Revision;
use tokio::time::sleep;

use crate::error::Error;
use crate::session::Session;

/// Delay between queries of the lagging nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until every node has applied a revision.
///
/// # Errors
///
/// [`Error::Lagging`] at the session's deadline; the error of the query if it fails before
/// any lagging node is known.
pub(crate) async fn wait(session: &Session, revision: Revision) -> Result<(), Error> {
    let words = ["status", "--behind", &revision.to_string()].map(str::to_owned);
    let mut lagging = Vec::new();
    loop {
        match session.query(&words).await {
            Ok(Output::Status(status)) if status.nodes.is_empty() => return Ok(()),
            Ok(Output::Status(status)) => lagging = status.nodes,
            Ok(_) => return Err(Error::Protocol("expected a status".to_owned())),
            Err(error) if lagging.is_empty() => return Err(error),
            Err(_) => {}
        }
        if Instant::now() + POLL_INTERVAL >= session.deadline() {
            let nodes: Vec<String> = lagging.iter().map(describe).collect();
            let nodes = nodes.join(", ");
            return Err(Error::Lagging { revision, nodes });
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn describe(node: &Node) -> String {
    let role = match node.role {
        Role::Router => "router",
        Role::Sidecar => "sidecar",
    };
    match node.revision {
        Some(revision) => format!("{role} {} (at {revision})", node.name),
        None => format!("{role} {} (not heard of)", node.name),
    }
}
