//! Cost of the router's scheduling decisions by number of backlogged customers.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberryyoke_decide::declare::{DeclaredDemand, is_target};
use mulberryyoke_decide::limiter::Limiter;
use mulberryyoke_decide::placement::{Candidate, PromptPrefix, choose};
use mulberryyoke_decide::queue::{Entry, Queue};
use mulberryyoke_model::{Class, CustomerId, ServerId};

/// Numbers of backlogged customers: a small deployment, the expected backlog at the
/// design size, and all customers at the design size.
const CUSTOMERS: [u32; 3] = [16, 620, 6_200];

/// Waiting requests per customer.
const PER_CUSTOMER: u32 = 4;

/// Servers that the router is connected to.
const SERVERS: u32 = 20;

const HERE: ServerId = ServerId(1);

fn entry(number: u32, customers: u32) -> Entry<u32> {
    let customer = CustomerId(number % customers);
    let class = Class::ALL[number as usize % 3];
    let deadline = 1_000_000 + u64::from(number.wrapping_mul(7_919) % 100_000);
    let mut entry = Entry::new(customer, class, deadline, u64::from(number), number);
    entry.cost = 430;
    entry
}

fn filled(customers: u32) -> Queue<u32> {
    let mut queue = Queue::default();
    for number in 0..customers * PER_CUSTOMER {
        queue.push(entry(number, customers));
    }
    queue
}

/// Queues one request and removes another, including the limiter.
fn push_and_pop(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue turn");
    for customers in CUSTOMERS {
        let mut queue = filled(customers);
        let mut limiter = Limiter::new(u32::MAX, u32::MAX);
        for number in 0..customers * PER_CUSTOMER {
            limiter.readmit(CustomerId(number % customers), 1);
        }
        let mut number = customers * PER_CUSTOMER;
        group.bench_function(BenchmarkId::from_parameter(customers), |bencher| {
            bencher.iter(|| {
                number = number.wrapping_add(1);
                let new = entry(number, customers);
                let customer = new.customer;
                black_box(limiter.admit(customer, 1, None));
                queue.push(new);
                let popped = queue.pop(customer, HERE, |number| number % 5 == 0);
                limiter.remove(customer, true, u64::from(number));
                popped
            });
        });
    }
    group.finish();
}

/// Computes the declaration to one sidecar after one customer's requests have
/// changed.
fn declare(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("declaration to one sidecar");
    let eligible: Vec<ServerId> = (0..SERVERS).map(ServerId).collect();
    for customers in CUSTOMERS {
        let queue = filled(customers);
        let mut declared = DeclaredDemand::default();
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(customers), |bencher| {
            bencher.iter(|| {
                number = (number + 1) % customers;
                let customer = CustomerId(number);
                let interest = queue.interest(customer, HERE);
                let salt = queue.salt(customer);
                black_box(is_target(
                    &interest,
                    salt,
                    HERE,
                    &eligible,
                    queue.subqueues(),
                    1,
                ));
                declared.update(vec![interest])
            });
        });
    }
    group.finish();
}

/// Chooses a server for a request that can start immediately.
fn choose_server(criterion: &mut Criterion) {
    let candidates: Vec<Candidate> = (0..SERVERS)
        .map(|server| Candidate {
            server: ServerId(server),
            same_zone: server % 3 == 0,
            free_slots: server % 4,
            slots: 8,
            running: server,
        })
        .collect();
    let prefix = PromptPrefix::of(CustomerId(1), b"a prompt");
    criterion.bench_function("choice of a server", |bencher| {
        bencher.iter(|| choose(black_box(&candidates), Some(prefix)));
    });
}

criterion_group!(benches, push_and_pop, declare, choose_server);
criterion_main!(benches);
