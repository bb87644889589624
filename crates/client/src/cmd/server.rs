//! `mulberryyoke server`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{ConfigEntry, Output};
use mulberryyoke_model::{Object, State};

use crate::cmd::report_write;
use crate::error::Error;
use crate::print::{self, Table};
use crate::session::Session;

/// Runs a command on servers.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    words: Vec<String>,
) -> Result<(), Error> {
    let output = session.send(&words).await?;
    match &output {
        Output::Items(entries) if !command.json() => print!("{}", table(entries)),
        Output::Items(_) => print::json(&output, &[]),
        _ => return report_write(session, command, &output).await,
    }
    Ok(())
}

/// Table of the servers among the entries.
pub(crate) fn table(entries: &[ConfigEntry]) -> Table {
    let mut table = Table::new(&[
        "SERVER", "POOL", "ZONE", "STATE", "SLOTS", "CONTROL", "DATA", "REVISION",
    ]);
    for entry in entries {
        let Object::Server(server) = &entry.object else {
            continue;
        };
        let state = match server.state {
            State::Active => "active",
            State::Draining => "draining",
            State::Removed => "removed",
        };
        table.add_row([
            &server.name,
            &server.pool,
            &server.zone,
            &state,
            &server.slots,
            &server.control,
            &server.data,
            &entry.revision,
        ]);
    }
    table
}
