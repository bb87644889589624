//! A simulated gateway.

use mulberryyoke_decide::engine::{
    Candidate, Engine, Footprint, Part, PoolStats, Prompt, Reservation, Transfer,
};
use mulberryyoke_decide::share::Shares;
use mulberryyoke_decide::shed::{self, Objective, Rejection};
use mulberryyoke_model::{CustomerId, Millis, ServerId};

use crate::server::OUTPUT_TOKENS;
use crate::workload::{KINDS, Request};

/// Longest acceptable pause of a stream.
pub(crate) const MAX_PAUSE_MS: f64 = 600.0;

/// A request sent to a server.
#[derive(Clone)]
pub(crate) struct Dispatch {
    pub(crate) server: usize,
    /// Estimated prefill tokens of the request.
    pub(crate) tokens: u32,
    /// Estimated prefill tokens queued before it.
    pub(crate) ahead: u32,
    /// Whether the server was estimated to have a free slot.
    pub(crate) had_slot: bool,
    /// Server that prompt parts are fetched from.
    pub(crate) fetch_from: Option<usize>,
    reservation: Reservation,
    prompt: Prompt,
}

pub(crate) struct Gateway {
    pub(crate) engines: Vec<Engine>,
    /// Observations of all servers.
    pool_stats: PoolStats,
    footprint: Footprint,
    pub(crate) shares: Shares,
    /// Shared parts sent to servers since the last exchange with peers, with the prefill tokens.
    pub(crate) prefills: Vec<(usize, Vec<Part>, u32)>,
}

impl Gateway {
    pub(crate) fn new(
        servers: usize,
        memory_tokens: u32,
        slots: u32,
        transfer: Option<Transfer>,
    ) -> Self {
        let mut engine = Engine::new(slots, memory_tokens);
        engine.transfer = transfer;
        Self {
            engines: vec![engine; servers],
            pool_stats: PoolStats::default(),
            footprint: Footprint::default(),
            shares: Shares::default(),
            prefills: Vec::new(),
        }
    }

    /// Records the first event of a request.
    pub(crate) fn record_first_token(&mut self, dispatch: &Dispatch, elapsed_ms: f64, now: Millis) {
        let engine = &mut self.engines[dispatch.server];
        engine.record_first_token(dispatch.tokens);
        engine.settle(&dispatch.prompt.shared, now);
        if dispatch.had_slot && dispatch.fetch_from.is_none() {
            let tokens = dispatch.ahead + dispatch.tokens;
            engine
                .relative_speed
                .record_prefill(tokens, elapsed_ms, self.pool_stats);
            self.pool_stats.record_prefill(tokens, elapsed_ms);
        }
        self.update_engines();
    }

    /// Records the end of a request and the duration of its stream.
    pub(crate) fn record_completion(&mut self, dispatch: &Dispatch, stream_ms: f64) {
        let engine = &mut self.engines[dispatch.server];
        engine.record_completion();
        engine.release(dispatch.reservation, true);
        self.footprint
            .record_output(OUTPUT_TOKENS, dispatch.prompt.max_output_tokens);
        self.pool_stats
            .record_hold(engine.first_token_ms(dispatch.tokens) + stream_ms);
        self.update_engines();
    }

    fn update_engines(&mut self) {
        for engine in &mut self.engines {
            engine.pool_stats = self.pool_stats;
            engine.footprint = self.footprint;
        }
    }

    /// Estimated mean waiting time over the servers, in milliseconds.
    pub(crate) fn mean_wait_ms(&self) -> f64 {
        let waits: f64 = self.engines.iter().map(Engine::wait_ms).sum();
        waits / f64::from(u32::try_from(self.engines.len()).unwrap_or(u32::MAX))
    }

    /// Sends a request to one of the servers that are up, or rejects it.
    pub(crate) fn dispatch(
        &mut self,
        request: &Request,
        is_down: &[bool],
        now: Millis,
    ) -> Result<Dispatch, Rejection> {
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
        if choice.fetched > 0 {
            self.engines[server].record_fetch(&request.prompt, choice.fetched, now);
        }
        let tokens = self.engines[server].record_send(&request.prompt, now);
        let reservation = self.engines[server].reserve(&request.prompt);
        self.footprint.record_request(reservation);
        let shared = request.prompt.shared.to_vec();
        self.prefills.push((server, shared, tokens));
        Ok(Dispatch {
            server,
            tokens,
            ahead,
            had_slot,
            fetch_from: choice.fetch_from.map(|source| source.0 as usize),
            reservation,
            prompt: request.prompt.clone(),
        })
    }
}
