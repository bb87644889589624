//! What one gateway believes.

use mulberryyoke_decide::engine::{Candidate, Engine, Part};
use mulberryyoke_decide::share::Shares;
use mulberryyoke_decide::shed::{self, Aim, Held};
use mulberryyoke_model::{CustomerId, Millis, ServerId};

use crate::load::{Job, KINDS};

/// Longest pause of a stream on time, in milliseconds.
pub(crate) const PAUSE_MS: f64 = 600.0;

/// Where a request was sent.
pub(crate) struct Sent {
    pub(crate) server: usize,
    /// Prompt tokens that the server is believed to have to read for it, and before it.
    pub(crate) tokens: u32,
    pub(crate) ahead: u32,
}

pub(crate) struct Gateway {
    pub(crate) engines: Vec<Engine>,
    pub(crate) shares: Shares,
    /// Shared parts that it had servers read since it last told its peers.
    pub(crate) reads: Vec<(usize, Vec<Part>, u32)>,
}

impl Gateway {
    pub(crate) fn new(servers: usize, memory: u32) -> Self {
        Self {
            engines: vec![Engine::new(64, memory); servers],
            shares: Shares::default(),
            reads: Vec::new(),
        }
    }

    /// Sends a request to one of the servers that are not gone, or says why not.
    pub(crate) fn place(&mut self, job: &Job, gone: &[bool], now: Millis) -> Result<Sent, Held> {
        let customer = CustomerId(job.customer);
        self.shares.ask(customer, job.prompt.cost());
        let standing = self.shares.standing(customer);
        let engines = self.engines.iter().enumerate();
        let open = engines.filter(|(index, _)| !gone[*index]);
        let candidates = open.map(|(index, engine)| Candidate {
            server: ServerId(u32::try_from(index).unwrap_or(u32::MAX)),
            engine,
            penalty_ms: 0.0,
        });
        let aim = Aim {
            objective_ms: KINDS[job.kind].objective_ms,
            pause_ms: PAUSE_MS,
        };
        let placed = shed::place(&job.prompt, candidates, aim, Some(standing), now);
        let choice = placed.expect("a server is there")?;
        self.shares.give(customer, job.prompt.cost());
        let server = choice.server.0 as usize;
        let ahead = self.engines[server].backlog();
        let tokens = self.engines[server].send(&job.prompt, now);
        let shared = job.prompt.shared.to_vec();
        self.reads.push((server, shared, tokens));
        Ok(Sent {
            server,
            tokens,
            ahead,
        })
    }
}
