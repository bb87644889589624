//! `mulberryyoke waiting`.

use mulberryyoke_command::Command;
use mulberryyoke_command::api::{CustomerQueue, Output, WaitingList, WaitingRequest};
use mulberryyoke_model::Outcome;

use crate::cmd::unexpected_output;
use crate::error::Error;
use crate::print::{self, Table, elapsed};
use crate::session::Session;

/// Prints the queued requests and why they wait.
pub(crate) async fn run(
    session: &Session,
    command: &Command,
    words: Vec<String>,
) -> Result<(), Error> {
    let output = session.send(&words).await?;
    let Output::Waiting(list) = &output else {
        return Err(unexpected_output());
    };
    if command.json() {
        print::json(&output, &[]);
        return Ok(());
    }
    if list.requests.is_empty() {
        println!("router {}: {}", list.router, describe_empty(list));
        return Ok(());
    }
    println!("{}", customer_table(&list.customers));
    print!("{}", request_table(&list.requests));
    if list.more > 0 {
        println!("and {} more", list.more);
    }
    Ok(())
}

/// Message for an empty list; the outcome is known if the query names a request.
fn describe_empty(list: &WaitingList) -> String {
    match list.outcome {
        None => "no queued requests".to_owned(),
        Some(Outcome::Waiting) => "the request is queued at another router".to_owned(),
        Some(outcome) => format!("the request is not queued; outcome: {}", outcome.as_str()),
    }
}

fn customer_table(customers: &[CustomerQueue]) -> Table {
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
    for queue in customers {
        let [urgent, normal, deferrable] = &queue.waiting;
        let per_share = format!("{:.0}", queue.per_share);
        let oldest = elapsed(queue.since);
        table.add_row([
            &queue.customer,
            &queue.share,
            urgent,
            normal,
            deferrable,
            &oldest,
            &queue.service,
            &per_share,
        ]);
    }
    table
}

fn request_table(requests: &[WaitingRequest]) -> Table {
    let mut table = Table::new(&[
        "REQUEST",
        "CUSTOMER",
        "POOL",
        "CLASS",
        "POSITION",
        "WAITS",
        "WAITS FOR",
    ]);
    for request in requests {
        let class = request.class.as_str();
        let waits = elapsed(request.since);
        table.add_row([
            &request.request,
            &request.customer,
            &request.pool,
            &class,
            &request.position,
            &waits,
            &request.reason,
        ]);
    }
    table
}
