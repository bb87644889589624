//! A simulated gateway.

use mulberryyoke_decide::engine::{Candidate, Engine, Part, PoolStats, Position};
use mulberryyoke_decide::share::Shares;
use mulberryyoke_decide::shed::{self, Objective, Rejection};
use mulberryyoke_model::{CustomerId, Millis, ServerId};

use crate::workload::{KINDS, Request};

/// Longest acceptable pause of a stream.
pub(crate) const MAX_PAUSE_MS: f64 = 600.0;

/// A request sent to a server.
#[derive(Clone, Copy)]
pub(crate) struct Dispatch {
    pub(crate) server: usize,
    /// Place in the server's backlog, with the estimated prefill tokens.
    pub(crate) position: Position,
    /// Estimated prefill tokens queued before it.
    pub(crate) ahead: u32,
    /// Whether the server was estimated to have a free slot.
    pub(crate) had_slot: bool,
}

pub(crate) struct Gateway {
    pub(crate) engines: Vec<Engine>,
    /// Observations of all servers.
    pool_stats: PoolStats,
    pub(crate) shares: Shares,
    /// Shared parts sent to servers since the last exchange with peers, with the prefill tokens.
    pub(crate) prefills: Vec<(usize, Vec<Part>, u32)>,
}

impl Gateway {
    pub(crate) fn new(servers: usize, cache_tokens: u32, slots: u32) -> Self {
        Self {
            engines: vec![Engine::new(slots, cache_tokens); servers],
            pool_stats: PoolStats::default(),
            shares: Shares::default(),
            prefills: Vec::new(),
        }
    }

    /// Records the first event of a request.
    pub(crate) fn record_first_token(&mut self, dispatch: &Dispatch, elapsed_ms: f64, now: Millis) {
        let engine = &mut self.engines[dispatch.server];
        engine.advance(now);
        engine.record_first_token(dispatch.position);
        if dispatch.had_slot {
            let tokens = dispatch.ahead + dispatch.position.tokens;
            engine
                .speed
                .record_first_token(tokens, elapsed_ms, self.pool_stats.latency(), now);
            self.pool_stats.record_first_token(tokens, elapsed_ms);
        }
        self.update_engines();
    }

    /// Records the end of a request and the duration of its stream.
    pub(crate) fn record_completion(&mut self, dispatch: &Dispatch, stream_ms: f64) {
        let engine = &mut self.engines[dispatch.server];
        engine.record_completion();
        self.pool_stats
            .record_hold(engine.first_token_ms(dispatch.position.tokens) + stream_ms);
        self.update_engines();
    }

    fn update_engines(&mut self) {
        for engine in &mut self.engines {
            engine.pool_stats = self.pool_stats;
        }
    }

    /// Sets the time that the estimates refer to.
    pub(crate) fn advance(&mut self, now: Millis) {
        for engine in &mut self.engines {
            engine.advance(now);
        }
    }

    /// Estimated mean waiting time over the servers, in milliseconds.
    pub(crate) fn mean_wait_ms(&self) -> f64 {
        let waits: f64 = self.engines.iter().map(Engine::queue_ms).sum();
        waits / f64::from(u32::try_from(self.engines.len()).unwrap_or(u32::MAX))
    }

    /// Sends a request to one of the servers that are up, or rejects it.
    pub(crate) fn dispatch(
        &mut self,
        request: &Request,
        is_down: &[bool],
        now: Millis,
    ) -> Result<Dispatch, Rejection> {
        self.advance(now);
        let customer = CustomerId(request.customer);
        self.shares.record_request(customer, request.prompt.cost());
        let usage = self.shares.usage(customer);
        let engines = self.engines.iter().enumerate();
        let up = engines.filter(|(index, _)| !is_down[*index]);
        let candidates = up.map(|(index, engine)| Candidate {
            server: ServerId(u32::try_from(index).unwrap_or(u32::MAX)),
            engine,
            penalty_ms: 0.0,
        });
        let objective = Objective {
            first_token_ms: KINDS[request.kind].objective_ms,
            max_pause_ms: MAX_PAUSE_MS,
        };
        let admitted = shed::admit(&request.prompt, candidates, objective, Some(usage), now);
        let choice = admitted.expect("a server is up")?;
        self.shares.record_grant(customer, request.prompt.cost());
        let server = choice.server.0 as usize;
        let ahead = self.engines[server].backlog();
        let had_slot = self.engines[server].excess_requests() == 0;
        let position = self.engines[server].record_send(&request.prompt, now);
        let shared = request.prompt.shared.to_vec();
        self.prefills.push((server, shared, position.tokens));
        Ok(Dispatch {
            server,
            position,
            ahead,
            had_slot,
        })
    }
}
