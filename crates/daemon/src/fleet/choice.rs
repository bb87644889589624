//! Which servers this router stays connected to.

use mulberryyoke_decide::subset::{self, Selector};
use mulberryyoke_model::{PoolId, ServerId};

use super::Fleet;

impl Fleet {
    /// Servers of a pool to stay connected to.
    #[must_use]
    pub fn subset(&self, pool: PoolId) -> Vec<ServerId> {
        let routers = self.peers.names();
        subset::select(&self.selector(&routers), self.view().servers(pool))
    }

    /// Servers of a pool beyond those held to connect to while work waits, at most
    /// `most`: other routers said that they have free slots.
    #[must_use]
    pub fn widen(&self, pool: PoolId, held: &[ServerId], most: usize) -> Vec<ServerId> {
        let view = self.view();
        subset::widen(
            &self.selector(&[]),
            view.servers(pool),
            held,
            &self.idle(),
            most,
        )
    }

    /// Tells the peers which servers have free slots that this router can spare.
    pub fn set_idle(&self, servers: Vec<ServerId>) {
        *self.idle.lock() = servers;
    }

    /// Servers of which a peer said of late that they have free slots.
    #[must_use]
    pub fn idle(&self) -> Vec<ServerId> {
        self.peers.idle()
    }

    fn selector<'a>(&'a self, routers: &'a [String]) -> Selector<'a> {
        Selector {
            router: &self.member.name,
            zone: &self.member.zone,
            routers,
            size: usize::try_from(self.settings.limits.subset).unwrap_or(usize::MAX),
        }
    }
}
