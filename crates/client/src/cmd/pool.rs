//! `mulberryyoke pool`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{ConfigEntry, Output};
use mulberryyoke_model::{Kind, Object, Route};

use crate::cmd::report;
use crate::error::Error;
use crate::print::{self, Table};
use crate::session::Session;

/// Carries out a command on pools.
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

/// Pools as a table.
pub(crate) fn table(items: &[ConfigEntry]) -> Table {
    let mut table = Table::new(&["POOL", "KIND", "REVISION", "ROUTES"]);
    for item in items {
        let Object::Pool(pool) = &item.object else {
            continue;
        };
        let kind = match pool.kind {
            Kind::Model => "model",
            Kind::Service => "service",
        };
        let routes: Vec<String> = pool.routes.iter().map(route).collect();
        table.row([&pool.name, &kind, &item.revision, &routes.join("; ")]);
    }
    table
}

fn route(route: &Route) -> String {
    let repeat = if route.idempotent {
        "repeatable"
    } else {
        "once"
    };
    format!("{} {} {repeat} {}", route.method, route.prefix, route.cost)
}
