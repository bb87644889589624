//! `mulberryyoke server`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{ConfigEntry, Output};
use mulberryyoke_model::{Object, State};

use crate::cmd::report;
use crate::error::Error;
use crate::print::{self, Table};
use crate::session::Session;

/// Carries out a command on servers.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    words: Vec<String>,
) -> Result<(), Error> {
    let answer = session.send(&words).await?;
    match &answer {
        Output::Items(items) if !command.json() => print!("{}", table(items)),
        Output::Items(_) => print::json(&answer, &[]),
        _ => return report(session, command, &answer).await,
    }
    Ok(())
}

/// Servers as a table.
pub(crate) fn table(items: &[ConfigEntry]) -> Table {
    let mut table = Table::new(&[
        "SERVER", "POOL", "ZONE", "STATE", "SLOTS", "CONTROL", "DATA", "REVISION",
    ]);
    for item in items {
        let Object::Server(server) = &item.object else {
            continue;
        };
        let state = match server.state {
            State::Active => "active",
            State::Draining => "draining",
            State::Removed => "removed",
        };
        table.row([
            &server.name,
            &server.pool,
            &server.zone,
            &state,
            &server.slots,
            &server.control,
            &server.data,
            &item.revision,
        ]);
    }
    table
}
