//! Selection of the servers that this router connects to.

use mulberryyoke_decide::subset::{self, Selector};
use mulberryyoke_model::{PoolId, ServerId};

use super::Fleet;

impl Fleet {
    /// This router's subset of a pool's servers.
    #[must_use]
    pub fn subset(&self, pool: PoolId) -> Vec<ServerId> {
        let routers = self.peers.names();
        subset::select(&self.selector(&routers), self.view().servers(pool))
    }

    /// At most `max` further servers of a pool to connect to while requests wait: those
    /// that other routers reported as idle, without the connected ones.
    #[must_use]
    pub fn widen(&self, pool: PoolId, connected: &[ServerId], max: usize) -> Vec<ServerId> {
        let view = self.view();
        subset::widen(
            &self.selector(&[]),
            view.servers(pool),
            connected,
            &self.idle(),
            max,
        )
    }

    /// Sets the servers with free slots that are announced to the peers.
    pub fn set_idle(&self, servers: Vec<ServerId>) {
        *self.idle.lock() = servers;
    }

    /// Servers that a peer recently announced to have free slots.
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
