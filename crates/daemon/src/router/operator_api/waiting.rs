//! Lists waiting requests and the reasons why they wait.

use std::collections::BTreeMap;

use mulberryyoke_command as command;
use mulberryyoke_command::api::{CustomerQueue, WaitingList, WaitingRequest};
use mulberryyoke_model::Class;

use crate::router::inspect::{self, Customer, Inspector, Server};

/// Maximum number of customers named in a reason.
const MAX_NAMED: usize = 3;

/// Answers a query on waiting requests.
pub(crate) fn answer(router: &str, inspector: &Inspector, query: &command::Waiting) -> WaitingList {
    let requests = inspector.waiting_requests();
    let servers = inspector.servers();
    let counters = counters(&inspector.customers(), &requests);
    let mut matching: Vec<&inspect::WaitingRequest> = requests
        .iter()
        .filter(|request| matches_query(request, query, &servers))
        .collect();
    matching.sort_by_key(|request| (&request.customer, &request.pool, request.position));
    let limit = usize::try_from(query.limit).unwrap_or(usize::MAX);
    let more = matching.len().saturating_sub(limit);
    let listed = matching.iter().take(limit);
    WaitingList {
        router: router.to_owned(),
        requests: listed
            .map(|request| {
                describe(
                    request,
                    &service_order(&request.pool, &counters, &requests),
                    &servers,
                )
            })
            .collect(),
        customers: counters,
        more: u64::try_from(more).unwrap_or(u64::MAX),
        outcome: None,
    }
}

fn matches_query(
    request: &inspect::WaitingRequest,
    query: &command::Waiting,
    servers: &[Server],
) -> bool {
    let customer = query.customer.as_ref();
    let id = query.request.as_ref();
    let customer_matches = customer.is_none_or(|name| *name == request.customer);
    let id_matches = id.is_none_or(|id| *id == request.request);
    let server_matches = query.server.as_ref().is_none_or(|name| {
        let server = servers.iter().find(|server| server.name == *name);
        let pinned = request.server.as_ref();
        server.is_some_and(|server| server.pool == request.pool)
            && pinned.is_none_or(|pinned| pinned == name)
    });
    customer_matches && id_matches && server_matches
}

/// Returns the customers with waiting requests in the order of service.
fn counters(customers: &[Customer], requests: &[inspect::WaitingRequest]) -> Vec<CustomerQueue> {
    let mut waiting: BTreeMap<&str, ([u64; 3], u64)> = BTreeMap::new();
    for request in requests {
        let (classes, since) = waiting
            .entry(&request.customer)
            .or_insert(([0; Class::ALL.len()], request.since));
        classes[request.class.index()] += 1;
        *since = request.since.min(*since);
    }
    let with_requests = customers.iter().filter_map(|customer| {
        let (classes, since) = waiting.get(customer.name.as_str())?;
        Some(CustomerQueue {
            customer: customer.name.clone(),
            share: customer.share,
            waiting: *classes,
            service: customer.served,
            per_share: customer.served_per_share,
            since: *since,
        })
    });
    let mut counters: Vec<CustomerQueue> = with_requests.collect();
    counters.sort_by(|a, b| a.per_share.total_cmp(&b.per_share));
    counters
}

/// Returns the customers with waiting requests for a pool in the order of service.
fn service_order<'a>(
    pool: &str,
    counters: &'a [CustomerQueue],
    requests: &[inspect::WaitingRequest],
) -> Vec<&'a str> {
    let names = counters.iter().map(|counter| counter.customer.as_str());
    let waits = |name: &&str| {
        let mut pool_requests = requests.iter().filter(|request| request.pool == pool);
        pool_requests.any(|request| request.customer == *name)
    };
    names.filter(waits).collect()
}

fn describe(
    request: &inspect::WaitingRequest,
    service_order: &[&str],
    servers: &[Server],
) -> WaitingRequest {
    WaitingRequest {
        request: request.request.clone(),
        customer: request.customer.clone(),
        pool: request.pool.clone(),
        class: request.class,
        position: u64::try_from(request.position).unwrap_or(u64::MAX) + 1,
        since: request.since,
        deadline: request.deadline,
        reason: reason(request, service_order, servers),
    }
}

fn reason(request: &inspect::WaitingRequest, service_order: &[&str], servers: &[Server]) -> String {
    let pool = servers.iter().filter(|server| server.pool == request.pool);
    let pool: Vec<&Server> = pool.collect();
    if let Some(home) = &request.server {
        return match pool.iter().find(|server| server.name == *home) {
            Some(server) if server.up && !server.excluded => {
                format!(
                    "a free slot at {home}, the home of its key ({})",
                    slot_usage(&[*server])
                )
            }
            _ => format!("{home}, the home of its key, to take work again"),
        };
    }
    let eligible = pool
        .into_iter()
        .filter(|server| server.up && !server.excluded);
    let eligible: Vec<&Server> = eligible.collect();
    if eligible.is_empty() {
        return format!("a server of pool {} to take work", request.pool);
    }
    format!(
        "a free slot ({}); {}",
        slot_usage(&eligible),
        queue_position(request, service_order)
    )
}

fn slot_usage(servers: &[&Server]) -> String {
    let all: u32 = servers.iter().map(|server| server.slots).sum();
    let free: u32 = servers.iter().map(|server| server.free).sum();
    format!("{} of {all} busy", all.saturating_sub(free))
}

/// Describes which requests and customers come before the request.
fn queue_position(request: &inspect::WaitingRequest, service_order: &[&str]) -> String {
    let first = match request.position {
        0 => "it is its customer's next".to_owned(),
        count => format!("{count} of its customer's are before it"),
    };
    if service_order.len() < 2 {
        return format!("{first}; no other customer waits");
    }
    let own = service_order
        .iter()
        .position(|name| *name == request.customer);
    let before = &service_order[..own.unwrap_or(0)];
    if before.is_empty() {
        return format!("{first}; its customer has the least service per share");
    }
    let count = before.len().min(MAX_NAMED);
    let names = before[..count].join(", ");
    match before.len() - count {
        0 => format!("{first}; less service per share: {names}"),
        more => format!("{first}; less service per share: {names} and {more} more"),
    }
}
