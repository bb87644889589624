//! What one gateway believes.

use mulberryyoke_decide::engine::{Candidate, Choice, Engine, Part};
use mulberryyoke_decide::share::Shares;
use mulberryyoke_decide::shed::{self, Aim, Held};
use mulberryyoke_model::{CustomerId, Millis, ServerId};

use crate::load::{Job, KINDS};

/// Longest pause of a stream on time, in milliseconds.
pub(crate) const PAUSE_MS: f64 = 600.0;

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

    /// Where a request goes among the servers that are not gone.
    pub(crate) fn place(
        &mut self,
        job: &Job,
        gone: &[bool],
        now: Millis,
    ) -> Option<Result<Choice, Held>> {
        let customer = CustomerId(job.customer);
        self.shares.ask(customer, job.prompt.cost());
        let standing = self.shares.standing(customer);
        let candidates = self
            .engines
            .iter()
            .enumerate()
            .filter(|(index, _)| !gone[*index]);
        let candidates = candidates.map(|(index, engine)| Candidate {
            server: ServerId(u32::try_from(index).unwrap_or(u32::MAX)),
            engine,
            penalty_ms: 0.0,
        });
        let aim = Aim {
            objective_ms: KINDS[job.kind].objective_ms,
            pause_ms: PAUSE_MS,
        };
        let placed = shed::place(&job.prompt, candidates, aim, Some(standing), now)?;
        if let Ok(choice) = &placed {
            self.shares.give(customer, job.prompt.cost());
            let server = choice.server.0 as usize;
            let tokens = self.engines[server].send(&job.prompt, now);
            self.reads
                .push((server, job.prompt.shared.to_vec(), tokens));
        }
        Some(placed)
    }
}
