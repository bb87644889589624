//! Gateways before servers, played event by event.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use mulberryyoke_decide::engine::Load;
use mulberryyoke_decide::share::Flow;
use mulberryyoke_model::Millis;

use crate::gateway::{Gateway, PAUSE_MS, Sent};
use crate::load::{Job, KINDS, Pattern};
use crate::report::Report;
use crate::server::Server;

const SERVERS: usize = 9;
const GATEWAYS: usize = 6;

/// Tokens that a server keeps of shared parts.
const MEMORY: u32 = 300_000;

/// Time between beats, in milliseconds.
const BEAT_MS: f64 = 20.0;

/// Beats between tellings of what customers asked and were given.
const CUSTOMERS_BEATS: u64 = 5;

/// What the servers give together, in tokens a second.
const CAPACITY: f64 = 230_000.0;

/// Time after the last arrival for which beats go on, in milliseconds: refused callers are back by then.
const AFTER_MS: f64 = 5_000.0;

enum Event {
    Asked(Job),
    /// A request's first event at a server, by gateway.
    First {
        gateway: usize,
        sent: Sent,
        sent_ms: f64,
        stream_ms: f64,
    },
    /// The end of a stream.
    Ended {
        gateway: usize,
        sent: Sent,
        stream_ms: f64,
    },
    Beat,
}

pub(crate) struct World {
    pattern: Pattern,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    beats: u64,
    report: Report,
}

/// Plays a load to its end.
pub(crate) fn play(pattern: Pattern, seed: u64) -> Report {
    let mut world = World {
        pattern,
        servers: vec![Server::new(MEMORY, pattern.slots); SERVERS],
        gateways: (0..GATEWAYS)
            .map(|_| Gateway::new(SERVERS, MEMORY, pattern.slots))
            .collect(),
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        next: 0,
        beats: 0,
        report: Report::new(),
    };
    for job in pattern.jobs(seed) {
        world.push(job.at_ms, Event::Asked(job));
    }
    world.push(0.0, Event::Beat);
    world.run()
}

impl World {
    fn push(&mut self, at_ms: f64, event: Event) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some seconds in microseconds"
        )]
        let due = (at_ms * 1_000.0) as u64;
        self.queue.push(Reverse((due, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    fn run(mut self) -> Report {
        let end_ms = f64::from(self.pattern.seconds) * 1_000.0;
        while let Some(Reverse((at_us, key))) = self.queue.pop() {
            #[expect(clippy::cast_precision_loss, reason = "some seconds in microseconds")]
            let now_ms = at_us as f64 / 1_000.0;
            match self.events.remove(&key) {
                Some(Event::Asked(job)) => self.ask(job, now_ms),
                Some(Event::First {
                    gateway,
                    sent,
                    sent_ms,
                    stream_ms,
                }) => {
                    self.gateways[gateway].first(&sent, now_ms - sent_ms);
                    let ended = Event::Ended {
                        gateway,
                        sent,
                        stream_ms,
                    };
                    self.push(now_ms + stream_ms, ended);
                }
                Some(Event::Ended {
                    gateway,
                    sent,
                    stream_ms,
                }) => self.gateways[gateway].end(&sent, stream_ms),
                Some(Event::Beat) if now_ms < end_ms + AFTER_MS => {
                    self.beat(now_ms);
                    self.push(now_ms + BEAT_MS, Event::Beat);
                }
                Some(Event::Beat) | None => {}
            }
        }
        let busy: f64 = self.servers.iter().map(|server| server.busy_ms).sum();
        self.report.utilisation = busy / end_ms / f64::from(u32::try_from(SERVERS).unwrap_or(1));
        self.report
    }

    fn ask(&mut self, job: Job, now_ms: f64) {
        let gateway = usize::try_from(self.next).unwrap_or(0) % GATEWAYS;
        let tally = self.report.of(job.customer, job.kind);
        if job.attempt == 0 {
            tally.asked += 1;
            tally.tokens.0 += u64::from(job.prompt.tokens);
        }
        let gone: Vec<bool> = self.servers.iter().map(|server| server.is_gone).collect();
        match self.gateways[gateway].place(&job, &gone, millis(now_ms)) {
            Ok(sent) => self.send(gateway, &sent, &job, now_ms),
            Err(held) => self.refuse(job, held.retry_after_ms, now_ms),
        }
    }

    fn send(&mut self, gateway: usize, sent: &Sent, job: &Job, now_ms: f64) {
        let server = sent.server;
        let kept = self
            .servers
            .iter()
            .map(|server| server.cache.cached_tokens(&job.prompt))
            .max()
            .unwrap_or(0);
        let pause_ms = self.servers[server].pause_ms(now_ms);
        let met = self.servers[server].take(&job.prompt, now_ms, KINDS[job.kind].stream_ms);
        let uncached = job.prompt.tokens - met.read;
        self.report.again += u64::from(kept.saturating_sub(uncached));
        let kind = &KINDS[job.kind];
        let is_late = met.first_ms - now_ms > kind.objective_ms || pause_ms > PAUSE_MS;
        let tally = self.report.of(job.customer, job.kind);
        tally.tokens.1 += u64::from(job.prompt.tokens);
        match (is_late, job.attempt) {
            (true, _) => tally.late += 1,
            (false, 0) => tally.on_time += 1,
            (false, _) => tally.after_refusal += 1,
        }
        let first = Event::First {
            gateway,
            sent: *sent,
            sent_ms: now_ms,
            stream_ms: kind.stream_ms,
        };
        self.push(met.first_ms, first);
    }

    fn refuse(&mut self, mut job: Job, retry_ms: f64, now_ms: f64) {
        let tally = self.report.of(job.customer, job.kind);
        job.attempt += 1;
        if job.attempt > self.pattern.repeats.max(1) {
            tally.refused += 1;
            return;
        }
        let wait_ms = if self.pattern.repeats > 0 {
            1.0
        } else {
            retry_ms
        };
        self.push(now_ms + wait_ms, Event::Asked(job));
    }

    /// Every gateway hears what all others have at the servers, and servers change.
    fn beat(&mut self, now_ms: f64) {
        self.beats += 1;
        let now = millis(now_ms);
        let own: Vec<Vec<Load>> = self
            .gateways
            .iter()
            .map(|gateway| gateway.engines.iter().map(|engine| engine.own).collect())
            .collect();
        let reads: Vec<_> = self
            .gateways
            .iter_mut()
            .map(|gateway| std::mem::take(&mut gateway.reads))
            .collect();
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            for (server, engine) in gateway.engines.iter_mut().enumerate() {
                let mut others = Load::default();
                for (_, loads) in own.iter().enumerate().filter(|(other, _)| *other != index) {
                    others.add(loads[server]);
                }
                engine.others = others;
            }
            let others = reads
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            for (server, shared, tokens) in others.flat_map(|(_, reads)| reads) {
                let engine = &mut gateway.engines[*server];
                engine.cache.insert(shared);
                engine.recent_tokens.add(*tokens, now);
            }
        }
        if self.beats.is_multiple_of(CUSTOMERS_BEATS) {
            self.tell_customers();
        }
        for gateway in &mut self.gateways {
            let wait_ms = gateway.mean_wait_ms();
            gateway.shares.rebalance(CAPACITY, wait_ms, now);
        }
        if now_ms >= 6_000.0 {
            self.change_servers();
        }
    }

    fn tell_customers(&mut self) {
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

    fn change_servers(&mut self) {
        for (index, server) in self.servers.iter_mut().enumerate() {
            let part = f64::from(u32::try_from(index).unwrap_or(0))
                / f64::from(u32::try_from(SERVERS).unwrap_or(1));
            server.is_gone = part < self.pattern.gone;
            server.slow = if part >= 0.6 { self.pattern.slow } else { 1.0 };
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "some seconds in milliseconds"
)]
fn millis(ms: f64) -> Millis {
    ms as Millis
}
