//! Cost of the router's decisions by number of customers that wait.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberryyoke_decide::declare::{DeclaredDemand, is_target};
use mulberryyoke_decide::limiter::Limiter;
use mulberryyoke_decide::placement::{Candidate, PromptPrefix, choose};
use mulberryyoke_decide::queue::{Entry, Queue};
use mulberryyoke_model::{Class, CustomerId, ServerId};

/// Customers of today, those backlogged at the aim, and all at the aim.
const CUSTOMERS: [u32; 3] = [16, 620, 6_200];

/// Requests of each that wait.
const EACH: u32 = 4;

/// Servers of a pool that a router is connected to.
const SERVERS: u32 = 20;

const HERE: ServerId = ServerId(1);

fn waiting(number: u32, customers: u32) -> Entry<u32> {
    let customer = CustomerId(number % customers);
    let class = Class::ALL[number as usize % 3];
    let deadline = 1_000_000 + u64::from(number.wrapping_mul(7_919) % 100_000);
    let mut waiting = Entry::new(customer, class, deadline, u64::from(number), number);
    waiting.cost = 430;
    waiting
}

fn filled(customers: u32) -> Queue<u32> {
    let mut queue = Queue::default();
    for number in 0..customers * EACH {
        queue.push(waiting(number, customers));
    }
    queue
}

/// A request comes and another goes: both limits, both ends of the queue.
fn turn(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue turn");
    for customers in CUSTOMERS {
        let mut queue = filled(customers);
        let mut limiter = Limiter::new(u32::MAX, u32::MAX);
        for number in 0..customers * EACH {
            limiter.readmit(CustomerId(number % customers), 1);
        }
        let mut number = customers * EACH;
        group.bench_function(BenchmarkId::from_parameter(customers), |bencher| {
            bencher.iter(|| {
                number = number.wrapping_add(1);
                let new = waiting(number, customers);
                let customer = new.customer;
                black_box(limiter.admit(customer, 1, None));
                queue.push(new);
                let taken = queue.pop(customer, HERE, |number| number % 5 == 0);
                limiter.remove(customer, true, u64::from(number));
                taken
            });
        });
    }
    group.finish();
}

/// What one sidecar is told after one customer's requests have changed.
fn declare(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("declaration to one sidecar");
    let open: Vec<ServerId> = (0..SERVERS).map(ServerId).collect();
    for customers in CUSTOMERS {
        let queue = filled(customers);
        let mut told = DeclaredDemand::default();
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
                    &open,
                    queue.subqueues(),
                    1,
                ));
                told.update(vec![interest])
            });
        });
    }
    group.finish();
}

/// The choice of a server for a request that can start at once.
fn place(criterion: &mut Criterion) {
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

criterion_group!(benches, turn, declare, place);
criterion_main!(benches);
