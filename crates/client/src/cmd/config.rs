//! `mulberryyoke config`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{ConfigEntry, HistoryEntry, Output};
use mulberryyoke_model::Object;

use crate::cmd::{customer, pool, server, unexpected};
use crate::error::Error;
use crate::print::{self, Table, stamp};
use crate::session::Session;

/// Shows the configuration or its history.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    words: Vec<String>,
) -> Result<(), Error> {
    let answer = session.send(&words).await?;
    if command.json() {
        print::json(&answer, &[]);
        return Ok(());
    }
    match &answer {
        Output::Items(items) => show(items),
        Output::History(writes) => print!("{}", history(writes)),
        _ => return Err(unexpected()),
    }
    Ok(())
}

fn show(items: &[ConfigEntry]) {
    let any = |wanted: fn(&Object) -> bool| items.iter().any(|item| wanted(&item.object));
    if any(|object| matches!(object, Object::Customer(_))) {
        println!("{}", customer::table(items));
    }
    if any(|object| matches!(object, Object::Pool(_))) {
        println!("{}", pool::table(items));
    }
    if any(|object| matches!(object, Object::Server(_))) {
        println!("{}", server::table(items));
    }
}

fn history(writes: &[HistoryEntry]) -> Table {
    let mut table = Table::new(&["REVISION", "AT", "OPERATOR", "COMMAND", "KEY", "WORDS"]);
    for write in writes {
        let command = format!("{:016x}", write.command);
        let at = stamp(write.at);
        table.row([
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
