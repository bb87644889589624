//! Discrete-event simulation of gateways and servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use mulberryyoke_decide::engine::Load;
use mulberryyoke_decide::share::Flow;
use mulberryyoke_model::Millis;

use crate::gateway::{Dispatch, Gateway, MAX_PAUSE_MS};
use crate::report::Report;
use crate::server::Server;
use crate::workload::{KINDS, Request, Scenario};

/// Interval between exchanges of the gateways.
const EXCHANGE_MS: f64 = 20.0;

/// Every how many exchanges the customers' usage is included.
const USAGE_PERIOD: u64 = 5;

/// Time after the last arrival for which exchanges continue, long enough for all retries.
const DRAIN_MS: f64 = 5_000.0;

enum Event {
    Arrival(Request),
    /// First event of a stream.
    FirstToken {
        gateway: usize,
        dispatch: Dispatch,
        sent_ms: f64,
        stream_ms: f64,
    },
    /// End of a stream.
    Completion {
        gateway: usize,
        dispatch: Dispatch,
        stream_ms: f64,
    },
    Exchange,
    /// The time of a waiting request is up.
    Expiry {
        gateway: usize,
    },
}

pub(crate) struct Simulation {
    scenario: Scenario,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    exchanges: u64,
    report: Report,
}

/// Simulates a scenario to its end.
pub(crate) fn simulate(scenario: Scenario, seed: u64) -> Report {
    let mut simulation = Simulation {
        scenario,
        servers: vec![Server::new(scenario.memory_tokens, scenario.slots); scenario.servers],
        gateways: (0..scenario.gateways)
            .map(|_| {
                Gateway::new(
                    scenario.servers,
                    scenario.memory_tokens,
                    scenario.slots,
                    scenario.transfer,
                )
            })
            .collect(),
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        next_event: 0,
        exchanges: 0,
        report: Report::new(),
    };
    for (index, server) in simulation.servers.iter_mut().enumerate() {
        server.fixed_ms = scenario.fixed_ms;
        if index % 4 == 0 {
            server.slowdown = scenario.slow_quarter;
        }
    }
    for request in scenario.requests(seed) {
        simulation.push(request.at_ms, Event::Arrival(request));
    }
    simulation.push(0.0, Event::Exchange);
    simulation.run()
}

impl Simulation {
    fn push(&mut self, at_ms: f64, event: Event) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "seconds in microseconds"
        )]
        let due = (at_ms * 1_000.0) as u64;
        self.queue.push(Reverse((due, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn run(mut self) -> Report {
        let end_ms = f64::from(self.scenario.seconds) * 1_000.0;
        while let Some(Reverse((at_us, key))) = self.queue.pop() {
            #[expect(clippy::cast_precision_loss, reason = "seconds in microseconds")]
            let now_ms = at_us as f64 / 1_000.0;
            match self.events.remove(&key) {
                Some(Event::Arrival(request)) => self.arrive(request, now_ms),
                Some(Event::FirstToken {
                    gateway,
                    dispatch,
                    sent_ms,
                    stream_ms,
                }) => {
                    self.gateways[gateway].record_first_token(
                        &dispatch,
                        now_ms - sent_ms,
                        millis(now_ms),
                    );
                    let completion = Event::Completion {
                        gateway,
                        dispatch,
                        stream_ms,
                    };
                    self.push(now_ms + stream_ms, completion);
                    self.serve(gateway, now_ms);
                }
                Some(Event::Completion {
                    gateway,
                    dispatch,
                    stream_ms,
                }) => {
                    self.gateways[gateway].record_completion(&dispatch, stream_ms);
                    self.serve(gateway, now_ms);
                }
                Some(Event::Exchange) if now_ms < end_ms + DRAIN_MS => {
                    self.exchange(now_ms);
                    for gateway in 0..self.scenario.gateways {
                        self.serve(gateway, now_ms);
                    }
                    self.push(now_ms + EXCHANGE_MS, Event::Exchange);
                }
                Some(Event::Expiry { gateway }) => self.serve(gateway, now_ms),
                Some(Event::Exchange) | None => {}
            }
        }
        let busy: f64 = self.servers.iter().map(|server| server.busy_ms).sum();
        self.report.utilisation =
            busy / end_ms / f64::from(u32::try_from(self.scenario.servers).unwrap_or(1));
        self.report
    }

    fn arrive(&mut self, mut request: Request, now_ms: f64) {
        request.at_ms = now_ms;
        let gateway = usize::try_from(self.next_event).unwrap_or(0) % self.scenario.gateways;
        let tally = self.report.tally(request.customer, request.kind);
        if request.attempt == 0 {
            tally.total += 1;
            tally.tokens.0 += u64::from(request.prompt.tokens);
        }
        let is_down = self.is_down();
        let now = millis(now_ms);
        let rejection = match self.gateways[gateway].dispatch(&request, &is_down, now) {
            Ok(dispatch) => return self.send(gateway, &dispatch, &request, now_ms),
            Err(rejection) => rejection,
        };
        let retry_after_ms = rejection.retry_after_ms;
        if !self.scenario.has_queue {
            return self.reject(request, retry_after_ms, now_ms);
        }
        let (until, removed) = self.gateways[gateway].enqueue(request, &rejection, now);
        if let Some(until) = until {
            #[expect(clippy::cast_precision_loss, reason = "seconds in milliseconds")]
            let until_ms = until as f64;
            self.push(until_ms, Event::Expiry { gateway });
        }
        for request in removed {
            self.reject(request, retry_after_ms, now_ms);
        }
    }

    fn is_down(&self) -> Vec<bool> {
        self.servers.iter().map(|server| server.is_down).collect()
    }

    /// Sends or rejects the requests that leave a gateway's queue now.
    fn serve(&mut self, gateway: usize, now_ms: f64) {
        let is_down = self.is_down();
        let left = self.gateways[gateway].serve(&is_down, millis(now_ms));
        for (request, result) in left {
            let wait = (now_ms - request.at_ms) / KINDS[request.kind].objective_ms;
            self.report.longest_wait = self.report.longest_wait.max(wait);
            match result {
                Ok(dispatch) => {
                    self.report.sent_after_wait += 1;
                    self.send(gateway, &dispatch, &request, now_ms);
                }
                Err(rejection) => self.reject(request, rejection.retry_after_ms, now_ms),
            }
        }
    }

    fn send(&mut self, gateway: usize, dispatch: &Dispatch, request: &Request, now_ms: f64) {
        let server = dispatch.server;
        for server in &mut self.servers {
            server.end_requests(now_ms);
        }
        let max_cached = self
            .servers
            .iter()
            .map(|server| server.cache.cached_tokens(&request.prompt))
            .max()
            .unwrap_or(0);
        let pause_ms = self.servers[server].pause_ms(now_ms);
        let fetch = dispatch.fetch_from.and_then(|source| {
            let ready = self.servers[source].ready_tokens(&request.prompt, now_ms);
            Some((ready, self.scenario.transfer?))
        });
        let stream_ms = KINDS[request.kind].stream_ms * self.scenario.stream_factor;
        let execution = self.servers[server].execute(&request.prompt, now_ms, stream_ms, fetch);
        let cached = request.prompt.tokens - execution.prefilled;
        self.report.recomputed += u64::from(max_cached.saturating_sub(cached));
        self.report.prefilled += u64::from(execution.prefilled);
        self.report.missed +=
            u64::from(dispatch.position.tokens.saturating_sub(execution.prefilled));
        self.report.unexpected +=
            u64::from(execution.prefilled.saturating_sub(dispatch.position.tokens));
        let kind = &KINDS[request.kind];
        self.report.sent += 1;
        self.report.overfull += u32::from(execution.is_overfull);
        self.report.first_token_ms += execution.first_ms - now_ms;
        let is_late =
            execution.first_ms - request.at_ms > kind.objective_ms || pause_ms > MAX_PAUSE_MS;
        let tally = self.report.tally(request.customer, request.kind);
        tally.tokens.1 += u64::from(request.prompt.tokens);
        match (is_late, request.attempt) {
            (true, _) => tally.late += 1,
            (false, 0) => tally.on_time += 1,
            (false, _) => tally.on_time_after_retry += 1,
        }
        let first = Event::FirstToken {
            gateway,
            dispatch: dispatch.clone(),
            sent_ms: now_ms,
            stream_ms,
        };
        self.push(execution.first_ms, first);
    }

    fn reject(&mut self, mut request: Request, retry_after_ms: f64, now_ms: f64) {
        let tally = self.report.tally(request.customer, request.kind);
        if request.attempt == 0 {
            tally.refused += 1;
        }
        request.attempt += 1;
        if request.attempt > self.scenario.immediate_retries.max(1) {
            tally.rejected += 1;
            return;
        }
        let wait_ms = if self.scenario.immediate_retries > 0 {
            1.0
        } else {
            retry_after_ms
        };
        self.push(now_ms + wait_ms, Event::Arrival(request));
    }

    /// Exchanges load and prefilled parts between all gateways and applies server faults.
    fn exchange(&mut self, now_ms: f64) {
        self.exchanges += 1;
        let now = millis(now_ms);
        for gateway in &mut self.gateways {
            gateway.advance(now);
        }
        let own: Vec<Vec<Load>> = self
            .gateways
            .iter()
            .map(|gateway| gateway.engines.iter().map(|engine| engine.own).collect())
            .collect();
        let prefills: Vec<_> = self
            .gateways
            .iter_mut()
            .map(|gateway| std::mem::take(&mut gateway.prefills))
            .collect();
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            for (server, engine) in gateway.engines.iter_mut().enumerate() {
                let mut others = Load::default();
                for (_, loads) in own.iter().enumerate().filter(|(other, _)| *other != index) {
                    others.add(loads[server]);
                }
                engine.set_others(others, now);
            }
            let others = prefills
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            for (server, shared, tokens) in others.flat_map(|(_, prefills)| prefills) {
                let engine = &mut gateway.engines[*server];
                engine.record_peer_prefill(shared, now);
                engine.recent_tokens.add(*tokens, now);
            }
        }
        if self.exchanges.is_multiple_of(USAGE_PERIOD) {
            self.exchange_usage();
        }
        for gateway in &mut self.gateways {
            let wait_ms = gateway.mean_wait_ms();
            gateway
                .shares
                .rebalance(self.scenario.capacity, wait_ms, now);
        }
        if now_ms >= 6_000.0 {
            self.apply_faults();
        }
    }

    fn exchange_usage(&mut self) {
        let own: Vec<HashMap<_, Flow>> = self
            .gateways
            .iter()
            .map(|gateway| gateway.shares.local().collect())
            .collect();
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let mut others: HashMap<_, Flow> = HashMap::new();
            for (_, flows) in own.iter().enumerate().filter(|(other, _)| *other != index) {
                for (&customer, flow) in flows {
                    let sum = others.entry(customer).or_default();
                    sum.requested += flow.requested;
                    sum.granted += flow.granted;
                }
            }
            gateway.shares.set_remote(&others);
        }
    }

    fn apply_faults(&mut self) {
        for (index, server) in self.servers.iter_mut().enumerate() {
            let position = f64::from(u32::try_from(index).unwrap_or(0))
                / f64::from(u32::try_from(self.scenario.servers).unwrap_or(1));
            server.is_down = position < self.scenario.down;
            if position >= 0.6 && self.scenario.slowdown > 1.0 {
                server.slowdown = self.scenario.slowdown;
            }
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "seconds in milliseconds"
)]
fn millis(ms: f64) -> Millis {
    ms as Millis
}
