//! Simulated gateway and its strategies for splitting the rate limit of a cold server.

use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::cold::{Members, Window, share};
use mulberryyoke_model::{Millis, ServerId};

use crate::LIMIT;

/// How the rate limit of a cold server is split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// In whole requests, among a few gateways on which all agree.
    QuotaHolders,
    /// Evenly among all; each may send its first request at once.
    EvenSplit,
    /// Evenly among all; the first requests are staggered.
    PacedSplit,
}

#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) name: String,
    pub(crate) members: Members,
    /// When it last received membership updates.
    pub(crate) synced_at: Millis,
    window: Window,
    /// When the next request may be sent under an even split.
    next_send: Option<Millis>,
}

/// Time without updates after which a gateway considers itself partitioned, in milliseconds.
const PARTITION_TIMEOUT_MS: Millis = 2_000;

impl Gateway {
    pub(crate) fn new(name: String) -> Self {
        Self {
            name,
            members: Members::default(),
            synced_at: 0,
            window: Window::default(),
            next_send: None,
        }
    }

    /// Returns whether the gateway sends the server a request now.
    pub(crate) fn sends(
        &mut self,
        strategy: Strategy,
        server: ServerId,
        cold_ms: Millis,
        now: Millis,
    ) -> bool {
        if now.saturating_sub(self.synced_at) > PARTITION_TIMEOUT_MS {
            return false;
        }
        self.members.expire(now);
        let Some(ranks) = self.members.ranks(now) else {
            return false;
        };
        if strategy == Strategy::QuotaHolders {
            let share = share(
                server,
                LIMIT.requests_per_s(),
                name_hash(&self.name),
                ranks.into_iter(),
            );
            return self.window.try_acquire(share, now);
        }
        let gateways = ranks.len() as u64 + 1;
        let interval = 1_000 * gateways / u64::from(LIMIT.requests_per_s());
        let first = if strategy == Strategy::EvenSplit {
            cold_ms
        } else {
            cold_ms + name_hash(&self.name) % interval
        };
        let next_send = self.next_send.get_or_insert(first);
        let is_allowed = now >= *next_send;
        if is_allowed {
            *next_send = now + interval;
        }
        is_allowed
    }
}
