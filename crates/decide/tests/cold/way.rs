//! Ways of sharing out what a cold server bears.

use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::cold::{Members, Window, share};
use mulberryyoke_model::{Millis, ServerId};

use crate::BOUND;

/// A way of sharing out what a cold server bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Whole requests to a few gateways on which all agree.
    Holders,
    /// Evenly among all; each has one request to begin with.
    DividedAtOnce,
    /// Evenly among all; each waits its turn first.
    DividedInTurn,
}

/// One gateway and what it sent to the server.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) name: String,
    pub(crate) members: Members,
    /// When it last knew what others know.
    pub(crate) touched: Millis,
    window: Window,
    /// When its next request is due, where the bound is divided.
    due: Option<Millis>,
}

/// Time without news from which a gateway takes itself to be out of touch, in milliseconds.
const OUT_OF_TOUCH_MS: Millis = 2_000;

impl Gateway {
    pub(crate) fn new(name: String) -> Self {
        Self {
            name,
            members: Members::default(),
            touched: 0,
            window: Window::default(),
            due: None,
        }
    }

    /// Whether it sends the server a request now.
    pub(crate) fn sends(
        &mut self,
        way: Way,
        server: ServerId,
        cold_ms: Millis,
        now: Millis,
    ) -> bool {
        if now.saturating_sub(self.touched) > OUT_OF_TOUCH_MS {
            return false;
        }
        self.members.expire(now);
        let Some(ranks) = self.members.ranks(now) else {
            return false;
        };
        if way == Way::Holders {
            let share = share(
                server,
                BOUND.requests_per_s(),
                name_hash(&self.name),
                ranks.into_iter(),
            );
            return self.window.try_acquire(share, now);
        }
        let gateways = ranks.len() as u64 + 1;
        let interval = 1_000 * gateways / u64::from(BOUND.requests_per_s());
        let first = if way == Way::DividedAtOnce {
            cold_ms
        } else {
            cold_ms + name_hash(&self.name) % interval
        };
        let due = self.due.get_or_insert(first);
        let may = now >= *due;
        if may {
            *due = now + interval;
        }
        may
    }
}
