//! Admission control in the sidecar, by number of customers with waiting requests.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberryyoke_decide::admission::{
    Admission, Decision, LinkKey, Scheduling, Setup, Termination,
};
use mulberryyoke_decide::key::PriorRecord;
use mulberryyoke_model::{
    Attempt, Class, CustomerId, Grant, Incarnation, Interest, Kind, PoolId, ServerId, Ticket, Usage,
};

/// Number of customers: a small fleet, and the waiting and all customers of a large one.
const CUSTOMERS: [u32; 3] = [16, 620, 6_200];

const GATEWAY: Incarnation = Incarnation(7);

const SLOTS: u32 = 8;

struct Fixture {
    admission: Admission,
    link: LinkKey,
    grants: Vec<Grant>,
    running: Vec<Attempt>,
    request: u64,
}

fn interest(customer: u32) -> Interest {
    Interest {
        customer: CustomerId(customer),
        waiting: [1, 8, 1],
        cost: 430,
        since: 1,
    }
}

impl Fixture {
    fn open(customers: u32) -> Self {
        let setup = Setup {
            server: ServerId(1),
            pool: PoolId(1),
            kind: Kind::Model,
            incarnation: Incarnation(1),
            started_at: 0,
            slots: SLOTS,
            scheduling: Scheduling::Fair,
            retention_ms: 600_000,
        };
        let mut admission = Admission::new(setup);
        admission.restore_record(&PriorRecord::Absent, &[GATEWAY], 0);
        let link = admission.connect();
        admission.identify_router(link, GATEWAY, 0);
        let all: Vec<Interest> = (0..customers).map(interest).collect();
        admission.declare(link, true, &all, 1);
        let mut fixture = Self {
            admission,
            link,
            grants: Vec::new(),
            running: Vec::new(),
            request: 0,
        };
        fixture.start_granted();
        fixture
    }

    /// Starts a request for each grant and declares the remaining ones.
    fn start_granted(&mut self) {
        self.admission.take_ready_links();
        let (grants, _) = self.admission.poll_response(self.link, 2);
        self.grants.extend(grants);
        while let Some(grant) = self.grants.pop() {
            self.request += 1;
            let attempt = Attempt {
                origin: GATEWAY,
                request: self.request,
                number: 0,
            };
            let ticket = Ticket {
                attempt,
                customer: grant.customer,
                class: Class::Normal,
                deadline: 1_000_000,
                hint: 0,
                cost: 430,
                grant: Some(grant.id),
                key: None,
            };
            assert_eq!(self.admission.admit(&ticket, 2), Decision::Started);
            self.running.push(attempt);
            let interest = [interest(grant.customer.0)];
            self.admission.declare(self.link, false, &interest, 2);
        }
    }

    /// Ends a request, then grants and starts the next.
    fn cycle(&mut self) {
        let attempt = self.running.remove(0);
        self.admission.meter(attempt, 430);
        self.admission.end(attempt, Termination::Complete(None), 2);
        self.start_granted();
    }
}

fn cycles(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("cycle");
    for customers in CUSTOMERS {
        let mut fixture = Fixture::open(customers);
        let id = BenchmarkId::from_parameter(customers);
        group.bench_function(id, |bencher| bencher.iter(|| fixture.cycle()));
    }
    group.finish();
}

fn meters(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("meter");
    for customers in CUSTOMERS {
        let mut fixture = Fixture::open(customers);
        let attempt = fixture.running[0];
        let id = BenchmarkId::from_parameter(customers);
        group.bench_function(id, |bencher| {
            bencher.iter(|| fixture.admission.meter(black_box(attempt), 1));
        });
    }
    group.finish();
}

fn polls(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("poll");
    for customers in CUSTOMERS {
        let mut fixture = Fixture::open(customers);
        let mut tokens = 0;
        let id = BenchmarkId::from_parameter(customers);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                tokens += 1;
                let fleet = (0..customers).map(|customer| Usage {
                    pool: PoolId(1),
                    customer: CustomerId(customer),
                    tokens,
                });
                let fleet: Vec<Usage> = fleet.collect();
                fixture.admission.poll(fixture.link, 0, &fleet, 2, 2);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, cycles, meters, polls);
criterion_main!(benches);
