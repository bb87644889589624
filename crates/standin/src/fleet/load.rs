//! Callers, who behave as users do.

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
use super::op::{self, Op, OperationKind};
use super::plan::{Demand, LIGHT_DEMAND, Plan};

/// Most attempts at one thing.
const MOST_ATTEMPTS: usize = 12;
/// Pause before another attempt, when no other time was told.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest pause that a caller obeys.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Calls of the plain service that a customer makes, per second.
const BOOKINGS: f64 = 1.5;

/// A thing wanted, and every attempt at it.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) op: Op,
    pub(crate) calls: Vec<Call>,
}

impl Record {
    /// What the caller holds in the end.
    pub(crate) fn end(&self) -> CallOutcome {
        self.calls
            .last()
            .map_or(CallOutcome::NotRun, |call| call.end)
    }
}

/// Callers and what they hold.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) plan: Arc<Plan>,
    pub(crate) client: Client,
    routers: Vec<SocketAddr>,
    records: Mutex<Vec<Record>>,
    /// Model calls under way, by customer.
    outstanding: Vec<AtomicU32>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Load {
    pub(crate) fn new(plan: Arc<Plan>, routers: Vec<SocketAddr>) -> Self {
        let customers = plan.customers.iter();
        Self {
            outstanding: customers.map(|_| AtomicU32::new(0)).collect(),
            plan,
            client: call::client(),
            routers,
            records: Mutex::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Starts every caller.
    pub(crate) fn start(self: &Arc<Self>, until: Instant) {
        for (index, customer) in self.plan.customers.iter().enumerate() {
            match customer.demand {
                Demand::Backlog(count) => self.backlog(index, count, "b"),
                Demand::Light(rate) => self.arrive(index, rate, Op::chat, "l", until),
            }
            self.arrive(index, BOOKINGS, Op::booking, "s", until);
        }
    }

    /// Keeps a number of model requests of a customer outstanding.
    fn backlog(self: &Arc<Self>, customer: usize, count: usize, tag: &'static str) {
        for place in 0..count {
            let load = Arc::clone(self);
            self.tasks
                .spawn(async move { load.repeat(customer, place, tag).await });
        }
    }

    async fn repeat(&self, customer: usize, place: usize, tag: &str) {
        let mut rng = self.rng(customer, place, tag);
        sleep(PAUSE.mul_f64(rng.random::<f64>())).await;
        for number in 0_u32.. {
            if self.stop.is_cancelled() {
                return;
            }
            let number = format!("{tag}{place}-{number}");
            let op = Op::chat(&self.plan, customer, &number, &mut rng);
            self.settle(op, &mut rng).await;
        }
    }

    /// Lets the first customer of light demand ask for a multiple of its portion.
    pub(crate) fn flood(self: &Arc<Self>, factor: f64, until: Instant) {
        let light = self.plan.customers.iter().enumerate();
        let mut rates = light.filter_map(|(index, customer)| match customer.demand {
            Demand::Light(rate) => Some((index, rate / LIGHT_DEMAND)),
            Demand::Backlog(_) => None,
        });
        if let Some((customer, rate)) = rates.next() {
            self.arrive(customer, factor * rate, Op::chat, op::FLOOD, until);
        }
    }

    /// Lets a customer ask at random instants.
    fn arrive(
        self: &Arc<Self>,
        customer: usize,
        rate: f64,
        draw: fn(&Plan, usize, &str, &mut StdRng) -> Op,
        tag: &'static str,
        until: Instant,
    ) {
        let load = Arc::clone(self);
        self.tasks.spawn(async move {
            let mut rng = load.rng(customer, 0, tag);
            let gaps = Exp::new(rate).expect("rates are positive");
            for number in 0_u32.. {
                let gap = sleep(Duration::from_secs_f64(gaps.sample(&mut rng)));
                let stopped = load.stop.run_until_cancelled(gap).await.is_none();
                if stopped || Instant::now() > until {
                    return;
                }
                let op = draw(&load.plan, customer, &format!("{tag}{number}"), &mut rng);
                let mut rng = StdRng::from_rng(&mut rng);
                let shared = Arc::clone(&load);
                load.tasks
                    .spawn(async move { shared.settle(op, &mut rng).await });
            }
        });
    }

    fn rng(&self, customer: usize, place: usize, tag: &str) -> StdRng {
        let stream = CustomerId::of(&format!("{customer}/{tag}{place}")).0;
        StdRng::seed_from_u64(self.plan.flags.seed << 32 | u64::from(stream))
    }

    /// Attempts a thing until it is settled, as far as it may be repeated.
    async fn settle(&self, op: Op, rng: &mut StdRng) {
        let mut calls: Vec<Call> = Vec::new();
        let mut router = self.plan.router(op.customer, rng);
        while calls.len() < MOST_ATTEMPTS {
            let call = self.attempt(&op, router, calls.len()).await;
            let (end, retry) = (call.end, call.retry);
            calls.push(call);
            let again = match end {
                CallOutcome::NotRun => true,
                CallOutcome::Unknown => op.keyed,
                CallOutcome::Complete
                | CallOutcome::Ran
                | CallOutcome::Truncated
                | CallOutcome::Mismatched
                | CallOutcome::TimedOut => false,
            };
            if !again {
                break;
            }
            sleep(retry.unwrap_or(PAUSE).min(LONGEST_PAUSE)).await;
            router = rng.random_range(0..self.routers.len());
        }
        self.records.lock().push(Record { op, calls });
    }

    async fn attempt(&self, op: &Op, router: usize, number: usize) -> Call {
        let attempt = op.attempt(number);
        let mut request = op.request(&self.plan, &attempt);
        let target = format!("http://{}{}", self.routers[router], request.uri());
        *request.uri_mut() = Uri::try_from(target).expect("addresses make addresses");
        let key = format!("Bearer {}", self.plan.customers[op.customer].key);
        let key = HeaderValue::try_from(key).expect("keys are plain text");
        request.headers_mut().insert(AUTHORIZATION, key);
        let chat = op.work != OperationKind::Booking;
        let outstanding = &self.outstanding[op.customer];
        outstanding.fetch_add(u32::from(chat), Ordering::Relaxed);
        let call = call::call(&self.client, request, attempt, op.work).await;
        outstanding.fetch_sub(u32::from(chat), Ordering::Relaxed);
        call
    }

    /// Model calls of a customer under way.
    pub(crate) fn outstanding(&self, customer: usize) -> u32 {
        self.outstanding[customer].load(Ordering::Relaxed)
    }

    /// Things settled so far.
    pub(crate) fn settled(&self) -> usize {
        self.records.lock().len()
    }

    /// Stops asking and waits until every call has ended.
    pub(crate) async fn finish(&self) -> Vec<Record> {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        std::mem::take(&mut self.records.lock())
    }
}
