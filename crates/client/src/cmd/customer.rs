//! `mulberryyoke customer`.

use mulberryyoke_command::api::{ConfigEntry, Output};
use mulberryyoke_command::{Command, CustomerAction};
use mulberryyoke_model::Object;

use crate::cmd::report_write;
use crate::error::Error;
use crate::print::{self, Table};
use crate::session::Session;

/// Runs a command on customers.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    mut words: Vec<String>,
) -> Result<(), Error> {
    let key = needs_key(command).then(generate_key);
    if let Some(key) = &key {
        words.extend(["--key".to_owned(), key.clone()]);
        // Printed before sending: a lost response must not lose the key.
        eprintln!("bearer key, shown once: {key}");
    }
    let output = session.send(&words).await?;
    match &output {
        Output::Items(entries) if !command.json() => print!("{}", table(entries)),
        Output::Items(_) => print::json(&output, &[]),
        _ => return report_write(session, command, &output).await,
    }
    Ok(())
}

/// Table of the customers among the entries.
pub(crate) fn table(entries: &[ConfigEntry]) -> Table {
    let mut table = Table::new(&["CUSTOMER", "SHARE", "CLASS", "QUEUE", "KEYS", "REVISION"]);
    for entry in entries {
        let Object::Customer(customer) = &entry.object else {
            continue;
        };
        let queue = customer.queue.map_or("-".to_owned(), |n| n.to_string());
        let keys = customer
            .keys
            .iter()
            .map(|key| key.0.get(..8).unwrap_or("?"));
        let keys = keys.collect::<Vec<_>>().join(",");
        let class = customer.class.as_str();
        table.add_row([
            &customer.name,
            &customer.share,
            &class,
            &queue,
            &keys,
            &entry.revision,
        ]);
    }
    table
}

/// Whether the command adds a customer without a bearer key.
fn needs_key(command: &Command) -> bool {
    let Command::Customer(customer) = command else {
        return false;
    };
    matches!(&customer.action, Some(CustomerAction::Add(add)) if add.key.is_empty())
}

/// Generates a bearer key of 192 random bits.
fn generate_key() -> String {
    let words: [u64; 3] = rand::random();
    words.map(|word| format!("{word:016x}")).concat()
}
