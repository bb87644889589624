//! `mulberryyoke customer`.

use mulberryyoke_command::api::{ConfigEntry, Output};
use mulberryyoke_command::{Command, CustomerAction};
use mulberryyoke_model::Object;

use crate::cmd::report;
use crate::error::Error;
use crate::print::{self, Table};
use crate::session::Session;

/// Carries out a command on customers.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    mut words: Vec<String>,
) -> Result<(), Error> {
    let key = needs_key(command).then(new_key);
    if let Some(key) = &key {
        words.extend(["--key".to_owned(), key.clone()]);
        // Before the command is sent, so that a lost answer does not lose the key.
        eprintln!("bearer key, shown once: {key}");
    }
    let answer = session.send(&words).await?;
    match &answer {
        Output::Items(items) if !command.json() => print!("{}", table(items)),
        Output::Items(_) => print::json(&answer, &[]),
        _ => return report(session, command, &answer).await,
    }
    Ok(())
}

/// Customers as a table.
pub(crate) fn table(items: &[ConfigEntry]) -> Table {
    let mut table = Table::new(&["CUSTOMER", "SHARE", "CLASS", "QUEUE", "KEYS", "REVISION"]);
    for item in items {
        let Object::Customer(customer) = &item.object else {
            continue;
        };
        let queue = customer.queue.map_or("-".to_owned(), |n| n.to_string());
        let keys = customer
            .keys
            .iter()
            .map(|key| key.0.get(..8).unwrap_or("?"));
        let keys = keys.collect::<Vec<_>>().join(",");
        let class = customer.class.as_str();
        table.row([
            &customer.name,
            &customer.share,
            &class,
            &queue,
            &keys,
            &item.revision,
        ]);
    }
    table
}

fn needs_key(command: &Command) -> bool {
    let Command::Customer(customer) = command else {
        return false;
    };
    matches!(&customer.action, Some(CustomerAction::Add(add)) if add.key.is_empty())
}

/// A key of 192 random bits.
fn new_key() -> String {
    let words: [u64; 3] = rand::random();
    words.map(|word| format!("{word:016x}")).concat()
}
