//! Load generator: callers with closed-loop and open-loop arrivals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hyper::Uri;
use hyper::header::{AUTHORIZATION, HeaderValue};
use mulberryyoke_model::CustomerId;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::call::{self, Call, CallOutcome, Client};
use super::operation::{self, Operation, OperationKind};
use super::plan::{Demand, LIGHT_DEMAND, Plan};

/// Maximum number of attempts of an operation.
const MAX_ATTEMPTS: usize = 12;
/// Delay before a retry without a `Retry-After` header.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Upper limit of the delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Rate of each customer's calls of the plain service.
const BOOKINGS_PER_SECOND: f64 = 1.5;

/// An operation and its calls, one per attempt.
#[derive(Clone, Debug)]
pub(crate) struct OperationRecord {
    pub(crate) operation: Operation,
    pub(crate) calls: Vec<Call>,
}

impl OperationRecord {
    /// Outcome of the last call.
    pub(crate) fn outcome(&self) -> CallOutcome {
        self.calls
            .last()
            .map_or(CallOutcome::NotRun, |call| call.outcome)
    }
}

/// Callers of all customers and the records of their operations.
#[derive(Debug)]
pub(crate) struct LoadGenerator {
    pub(crate) plan: Arc<Plan>,
    pub(crate) client: Client,
    routers: Vec<SocketAddr>,
    records: Mutex<Vec<OperationRecord>>,
    /// Number of model calls in flight, by customer.
    in_flight: Vec<AtomicU32>,
    cancellation: CancellationToken,
    tasks: TaskTracker,
}

impl LoadGenerator {
    pub(crate) fn new(plan: Arc<Plan>, routers: Vec<SocketAddr>) -> Self {
        let customers = plan.customers.iter();
        Self {
            in_flight: customers.map(|_| AtomicU32::new(0)).collect(),
            plan,
            client: call::client(),
            routers,
            records: Mutex::default(),
            cancellation: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Starts all callers.
    pub(crate) fn start(self: &Arc<Self>, until: Instant) {
        for (index, customer) in self.plan.customers.iter().enumerate() {
            match customer.demand {
                Demand::Backlog(count) => self.spawn_closed_loop(index, count, "b"),
                Demand::Light(rate) => {
                    self.spawn_open_loop(index, rate, Operation::chat, "l", until);
                }
            }
            self.spawn_open_loop(index, BOOKINGS_PER_SECOND, Operation::booking, "s", until);
        }
    }

    /// Keeps a fixed number of model requests of a customer outstanding.
    fn spawn_closed_loop(self: &Arc<Self>, customer: usize, count: usize, tag: &'static str) {
        for index in 0..count {
            let load = Arc::clone(self);
            self.tasks
                .spawn(async move { load.run_closed_loop(customer, index, tag).await });
        }
    }

    async fn run_closed_loop(&self, customer: usize, index: usize, tag: &str) {
        let mut rng = self.rng(customer, index, tag);
        sleep(RETRY_DELAY.mul_f64(rng.random::<f64>())).await;
        for number in 0_u32.. {
            if self.cancellation.is_cancelled() {
                return;
            }
            let name = format!("{tag}{index}-{number}");
            let operation = Operation::chat(&self.plan, customer, &name, &mut rng);
            self.run(operation, &mut rng).await;
        }
    }

    /// Starts a flood: the first customer with light demand sends `factor` times the rate that
    /// would use its share of the slots.
    pub(crate) fn start_flood(self: &Arc<Self>, factor: f64, until: Instant) {
        let customers = self.plan.customers.iter().enumerate();
        let mut rates = customers.filter_map(|(index, customer)| match customer.demand {
            Demand::Light(rate) => Some((index, rate / LIGHT_DEMAND)),
            Demand::Backlog(_) => None,
        });
        if let Some((customer, rate)) = rates.next() {
            let rate = factor * rate;
            let prefix = operation::FLOOD_PREFIX;
            self.spawn_open_loop(customer, rate, Operation::chat, prefix, until);
        }
    }

    /// Sends operations of a customer with exponential interarrival times.
    fn spawn_open_loop(
        self: &Arc<Self>,
        customer: usize,
        rate: f64,
        generate: fn(&Plan, usize, &str, &mut StdRng) -> Operation,
        tag: &'static str,
        until: Instant,
    ) {
        let load = Arc::clone(self);
        self.tasks.spawn(async move {
            let mut rng = load.rng(customer, 0, tag);
            let interarrival_times = Exp::new(rate).expect("rates are positive");
            for number in 0_u32.. {
                let delay = Duration::from_secs_f64(interarrival_times.sample(&mut rng));
                let delayed = load.cancellation.run_until_cancelled(sleep(delay)).await;
                if delayed.is_none() || Instant::now() > until {
                    return;
                }
                let name = format!("{tag}{number}");
                let operation = generate(&load.plan, customer, &name, &mut rng);
                let mut rng = StdRng::from_rng(&mut rng);
                let shared = Arc::clone(&load);
                load.tasks
                    .spawn(async move { shared.run(operation, &mut rng).await });
            }
        });
    }

    fn rng(&self, customer: usize, index: usize, tag: &str) -> StdRng {
        let stream = CustomerId::of(&format!("{customer}/{tag}{index}")).0;
        StdRng::seed_from_u64(self.plan.flags.seed << 32 | u64::from(stream))
    }

    /// Runs an operation, retrying it as long as a retry is safe.
    async fn run(&self, operation: Operation, rng: &mut StdRng) {
        let mut calls: Vec<Call> = Vec::new();
        let mut router = self.plan.pick_router(operation.customer, rng);
        while calls.len() < MAX_ATTEMPTS {
            let call = self.attempt(&operation, router, calls.len()).await;
            let (outcome, retry_after) = (call.outcome, call.retry_after);
            calls.push(call);
            let is_retryable = match outcome {
                CallOutcome::NotRun => true,
                CallOutcome::Unknown => operation.has_idempotency_key,
                CallOutcome::Complete
                | CallOutcome::Ran
                | CallOutcome::Truncated
                | CallOutcome::Mismatched
                | CallOutcome::TimedOut => false,
            };
            if !is_retryable {
                break;
            }
            sleep(retry_after.unwrap_or(RETRY_DELAY).min(MAX_RETRY_DELAY)).await;
            router = rng.random_range(0..self.routers.len());
        }
        self.records
            .lock()
            .push(OperationRecord { operation, calls });
    }

    async fn attempt(&self, operation: &Operation, router: usize, number: usize) -> Call {
        let attempt_id = operation.attempt_id(number);
        let mut request = operation.request(&self.plan, &attempt_id);
        let uri = format!("http://{}{}", self.routers[router], request.uri());
        *request.uri_mut() = Uri::try_from(uri).expect("the address is a valid authority");
        let key = format!("Bearer {}", self.plan.customers[operation.customer].key);
        let key = HeaderValue::try_from(key).expect("keys are valid header values");
        request.headers_mut().insert(AUTHORIZATION, key);
        let is_chat = operation.kind != OperationKind::Booking;
        let in_flight = &self.in_flight[operation.customer];
        in_flight.fetch_add(u32::from(is_chat), Ordering::Relaxed);
        let call = call::send(&self.client, request, attempt_id, operation.kind).await;
        in_flight.fetch_sub(u32::from(is_chat), Ordering::Relaxed);
        call
    }

    /// Number of a customer's model calls in flight.
    pub(crate) fn in_flight(&self, customer: usize) -> u32 {
        self.in_flight[customer].load(Ordering::Relaxed)
    }

    /// Number of operations completed so far.
    pub(crate) fn completed(&self) -> usize {
        self.records.lock().len()
    }

    /// Sends no further operations, waits for those in flight and returns all records.
    pub(crate) async fn stop(&self) -> Vec<OperationRecord> {
        self.cancellation.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        std::mem::take(&mut self.records.lock())
    }
}
