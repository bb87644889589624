//! `mulberryyoke config`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{ConfigEntry, HistoryEntry, Output};
use mulberryyoke_model::Object;

use crate::cmd::{customer, pool, server, unexpected_output};
use crate::error::Error;
use crate::print::{self, Table, timestamp};
use crate::session::Session;

/// Prints the configuration or its history.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    words: Vec<String>,
) -> Result<(), Error> {
    let output = session.send(&words).await?;
    if command.json() {
        print::json(&output, &[]);
        return Ok(());
    }
    match &output {
        Output::Items(entries) => print_tables(entries),
        Output::History(writes) => print!("{}", history_table(writes)),
        _ => return Err(unexpected_output()),
    }
    Ok(())
}

fn print_tables(entries: &[ConfigEntry]) {
    let any = |matches: fn(&Object) -> bool| entries.iter().any(|entry| matches(&entry.object));
    if any(|object| matches!(object, Object::Customer(_))) {
        println!("{}", customer::table(entries));
    }
    if any(|object| matches!(object, Object::Pool(_))) {
        println!("{}", pool::table(entries));
    }
    if any(|object| matches!(object, Object::Server(_))) {
        println!("{}", server::table(entries));
    }
}

fn history_table(writes: &[HistoryEntry]) -> Table {
    let mut table = Table::new(&["REVISION", "AT", "OPERATOR", "COMMAND", "KEY", "WORDS"]);
    for write in writes {
        let command = format!("{:016x}", write.command);
        let at = timestamp(write.at);
        table.add_row([
            &write.revision,
            &at,
            &write.operator,
            &command,
            &write.key,
            &write.words,
        ]);
    }
    table
}
