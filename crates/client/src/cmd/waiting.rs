//! `mulberryyoke waiting`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{CustomerQueue, Output, WaitingList, WaitingRequest};
use mulberryyoke_model::Outcome;

use crate::cmd::unexpected;
use crate::error::Error;
use crate::print::{self, Table, since};
use crate::session::Session;

/// Shows who is waiting, and why.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    words: Vec<String>,
) -> Result<(), Error> {
    let answer = session.send(&words).await?;
    let Output::Waiting(waiting) = &answer else {
        return Err(unexpected());
    };
    if command.json() {
        print::json(&answer, &[]);
        return Ok(());
    }
    if waiting.requests.is_empty() {
        println!("router {}: {}", waiting.router, elsewhere(waiting));
        return Ok(());
    }
    println!("{}", counters(&waiting.customers));
    print!("{}", requests(&waiting.requests));
    if waiting.more > 0 {
        println!("and {} more", waiting.more);
    }
    Ok(())
}

/// What is known when nothing that was asked for waits at the asked router.
fn elsewhere(waiting: &WaitingList) -> String {
    match waiting.outcome {
        None => "nothing waits".to_owned(),
        Some(Outcome::Waiting) => "the request waits at another router".to_owned(),
        Some(outcome) => format!("the request does not wait; outcome: {}", outcome.as_str()),
    }
}

fn counters(customers: &[CustomerQueue]) -> Table {
    let mut table = Table::new(&[
        "CUSTOMER",
        "SHARE",
        "URGENT",
        "NORMAL",
        "DEFERRABLE",
        "OLDEST",
        "TOKENS",
        "PER SHARE",
    ]);
    for counter in customers {
        let [urgent, normal, deferrable] = &counter.waiting;
        let per_share = format!("{:.0}", counter.per_share);
        let oldest = since(counter.since);
        table.row([
            &counter.customer,
            &counter.share,
            urgent,
            normal,
            deferrable,
            &oldest,
            &counter.service,
            &per_share,
        ]);
    }
    table
}

fn requests(requests: &[WaitingRequest]) -> Table {
    let mut table = Table::new(&[
        "REQUEST",
        "CUSTOMER",
        "POOL",
        "CLASS",
        "POSITION",
        "WAITS",
        "WAITS FOR",
    ]);
    for waiter in requests {
        let class = waiter.class.as_str();
        let waits = since(waiter.since);
        table.row([
            &waiter.request,
            &waiter.customer,
            &waiter.pool,
            &class,
            &waiter.position,
            &waits,
            &waiter.reason,
        ]);
    }
    table
}
