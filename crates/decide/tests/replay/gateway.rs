//! What one gateway believes.

use mulberryyoke_decide::engine::{Candidate, Engine, Part, PoolStats};
use mulberryyoke_decide::share::Shares;
use mulberryyoke_decide::shed::{self, Objective, Rejection};
use mulberryyoke_model::{CustomerId, Millis, ServerId};

use crate::load::{Job, KINDS};

/// Longest pause of a stream on time, in milliseconds.
pub(crate) const PAUSE_MS: f64 = 600.0;

/// Where a request was sent.
#[derive(Clone, Copy)]
pub(crate) struct Sent {
    pub(crate) server: usize,
    /// Prompt tokens that the server is believed to have to read for it, and before it.
    pub(crate) tokens: u32,
    pub(crate) ahead: u32,
    /// Whether the server is believed to have had a free slot.
    pub(crate) had_slot: bool,
}

pub(crate) struct Gateway {
    pub(crate) engines: Vec<Engine>,
    /// What was learnt of all servers together.
    pace: PoolStats,
    pub(crate) shares: Shares,
    /// Shared parts that it had servers read since it last told its peers.
    pub(crate) reads: Vec<(usize, Vec<Part>, u32)>,
}

impl Gateway {
    pub(crate) fn new(servers: usize, memory: u32, slots: u32) -> Self {
        Self {
            engines: vec![Engine::new(slots, memory); servers],
            pace: PoolStats::default(),
            shares: Shares::default(),
            reads: Vec::new(),
        }
    }

    /// Notes the first event of a request.
    pub(crate) fn first(&mut self, sent: &Sent, elapsed_ms: f64) {
        let engine = &mut self.engines[sent.server];
        engine.record_first_token(sent.tokens);
        if sent.had_slot {
            let tokens = sent.ahead + sent.tokens;
            engine
                .relative_speed
                .record_prefill(tokens, elapsed_ms, self.pace);
            self.pace.record_prefill(tokens, elapsed_ms);
        }
        self.spread();
    }

    /// Notes the end of a request whose stream took so long.
    pub(crate) fn end(&mut self, sent: &Sent, stream_ms: f64) {
        let engine = &mut self.engines[sent.server];
        engine.record_completion();
        self.pace
            .record_hold(engine.first_token_ms(sent.tokens) + stream_ms);
        self.spread();
    }

    fn spread(&mut self) {
        for engine in &mut self.engines {
            engine.pool_stats = self.pace;
        }
    }

    /// Time that prompts are believed to wait at the servers on average, in milliseconds.
    pub(crate) fn mean_wait_ms(&self) -> f64 {
        let waits: f64 = self.engines.iter().map(Engine::wait_ms).sum();
        waits / f64::from(u32::try_from(self.engines.len()).unwrap_or(u32::MAX))
    }

    /// Sends a request to one of the servers that are not gone, or says why not.
    pub(crate) fn place(
        &mut self,
        job: &Job,
        gone: &[bool],
        now: Millis,
    ) -> Result<Sent, Rejection> {
        let customer = CustomerId(job.customer);
        self.shares.record_request(customer, job.prompt.cost());
        let standing = self.shares.usage(customer);
        let engines = self.engines.iter().enumerate();
        let open = engines.filter(|(index, _)| !gone[*index]);
        let candidates = open.map(|(index, engine)| Candidate {
            server: ServerId(u32::try_from(index).unwrap_or(u32::MAX)),
            engine,
            penalty_ms: 0.0,
        });
        let aim = Objective {
            first_token_ms: KINDS[job.kind].objective_ms,
            max_pause_ms: PAUSE_MS,
        };
        let placed = shed::admit(&job.prompt, candidates, aim, Some(standing), now);
        let choice = placed.expect("a server is there")?;
        self.shares.record_grant(customer, job.prompt.cost());
        let server = choice.server.0 as usize;
        let ahead = self.engines[server].backlog();
        let had_slot = self.engines[server].excess_requests() == 0;
        let tokens = self.engines[server].record_send(&job.prompt, now);
        let shared = job.prompt.shared.to_vec();
        self.reads.push((server, shared, tokens));
        Ok(Sent {
            server,
            tokens,
            ahead,
            had_slot,
        })
    }
}
