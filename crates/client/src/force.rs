//! Waiting until a change is in force everywhere.

use std::time::{Duration, Instant};

use mulberryyoke_command::api::{Node, Output, Role};
use mulberryyoke_model::Revision;
use tokio::time::sleep;

use crate::error::Error;
use crate::session::Session;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(500);

/// Waits until a revision is in force on every node.
///
/// # Errors
///
/// [`Error::Lagging`] at the session's deadline.
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
        if Instant::now() + PAUSE >= session.deadline() {
            let nodes: Vec<String> = lagging.iter().map(name).collect();
            let nodes = nodes.join(", ");
            return Err(Error::Lagging { revision, nodes });
        }
        sleep(PAUSE).await;
    }
}

fn name(node: &Node) -> String {
    let role = match node.role {
        Role::Router => "router",
        Role::Sidecar => "sidecar",
    };
    match node.revision {
        Some(revision) => format!("{role} {} (at {revision})", node.name),
        None => format!("{role} {} (not heard of)", node.name),
    }
}
