//! `mulberryyoke pool`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{ConfigEntry, Output};
use mulberryyoke_model::{Kind, Object, Route};

use crate::cmd::report_write;
use crate::error::Error;
use crate::print::{self, Table};
use crate::session::Session;

/// Runs a command on pools.
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

/// Table of the pools among the entries.
pub(crate) fn table(entries: &[ConfigEntry]) -> Table {
    let mut table = Table::new(&["POOL", "KIND", "REVISION", "ROUTES"]);
    for entry in entries {
        let Object::Pool(pool) = &entry.object else {
            continue;
        };
        let kind = match pool.kind {
            Kind::Model => "model",
            Kind::Service => "service",
        };
        let routes: Vec<String> = pool.routes.iter().map(format_route).collect();
        table.add_row([&pool.name, &kind, &entry.revision, &routes.join("; ")]);
    }
    table
}

fn format_route(route: &Route) -> String {
    let repeat = if route.idempotent {
        "repeatable"
    } else {
        "once"
    };
    format!("{} {} {repeat} {}", route.method, route.prefix, route.cost)
}
