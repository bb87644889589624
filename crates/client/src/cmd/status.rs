//! `mulberryyoke status`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{Node, Output, Role, Status};

use crate::cmd::unexpected_output;
use crate::error::Error;
use crate::print::{self, Table};
use crate::session::Session;

/// Prints the state of the fleet.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    words: Vec<String>,
) -> Result<(), Error> {
    let output = session.send(&words).await?;
    let Output::Status(status) = &output else {
        return Err(unexpected_output());
    };
    if command.json() {
        print::json(&output, &[]);
        return Ok(());
    }
    print!("{}", summary(status));
    print!("{}", node_table(&status.nodes));
    Ok(())
}

fn summary(status: &Status) -> String {
    let kv = if status.kv {
        "reachable"
    } else {
        "unreachable"
    };
    let counts = &status.tally;
    format!(
        "router {}: configuration {}, key-value service {kv}, {} customers, \
         {} requests waiting, {} running\n\n",
        status.router, status.revision, counts.customers, counts.waiting, counts.running
    )
}

fn node_table(nodes: &[Node]) -> Table {
    let mut table = Table::new(&[
        "NODE", "ROLE", "ZONE", "STATE", "REVISION", "POOL", "SLOTS", "FREE",
    ]);
    for node in nodes {
        let role = match node.role {
            Role::Router => "router",
            Role::Sidecar => "sidecar",
        };
        let state = match (node.up, node.leaving) {
            (true, true) => "leaving",
            (true, false) => "up",
            (false, _) => "not heard of",
        };
        let revision = or_dash(node.revision);
        let pool = node.pool.as_deref().unwrap_or("-");
        let (slots, free) = (or_dash(node.slots), or_dash(node.free));
        table.add_row([
            &node.name, &role, &node.zone, &state, &revision, &pool, &slots, &free,
        ]);
    }
    table
}

fn or_dash(number: Option<impl ToString>) -> String {
    number.map_or("-".to_owned(), |number| number.to_string())
}
