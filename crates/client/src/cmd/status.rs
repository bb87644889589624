//! `mulberryyoke status`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{Node, Output, Role, Status};

use crate::cmd::unexpected;
use crate::error::Error;
use crate::print::{self, Table};
use crate::session::Session;

/// Shows the state of the fleet.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    words: Vec<String>,
) -> Result<(), Error> {
    let answer = session.send(&words).await?;
    let Output::Status(status) = &answer else {
        return Err(unexpected());
    };
    if command.json() {
        print::json(&answer, &[]);
        return Ok(());
    }
    print!("{}", head(status));
    print!("{}", table(&status.nodes));
    Ok(())
}

fn head(status: &Status) -> String {
    let kv = if status.kv {
        "reachable"
    } else {
        "unreachable"
    };
    let tally = &status.tally;
    format!(
        "router {}: configuration {}, key-value service {kv}, {} customers, \
         {} requests waiting, {} running\n\n",
        status.router, status.revision, tally.customers, tally.waiting, tally.running
    )
}

fn table(nodes: &[Node]) -> Table {
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
        let revision = text(node.revision);
        let pool = node.pool.as_deref().unwrap_or("-");
        let (slots, free) = (text(node.slots), text(node.free));
        table.row([
            &node.name, &role, &node.zone, &state, &revision, &pool, &slots, &free,
        ]);
    }
    table
}

fn text(number: Option<impl ToString>) -> String {
    number.map_or("-".to_owned(), |number| number.to_string())
}
