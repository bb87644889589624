//! Faults of a run.

use rand::RngExt;

use super::{Node, World};

impl World {
    pub(super) fn fault(&mut self) {
        self.faults += 1;
        let server = self.rng.random_range(0..self.shape.servers);
        let router = self.rng.random_range(0..self.shape.routers);
        let any = self.rng.random_range(0..4);
        match self.shape.only.unwrap_or(any) {
            0 => {
                self.unlink(router, server);
                self.link(router, server);
            }
            1 => self.restart_router(router),
            2 => self.restart_node(server),
            _ => self.routers[router].cut = !self.routers[router].cut,
        }
    }

    fn restart_router(&mut self, router: usize) {
        let linked = |node: &Node| node.links.contains_key(&router);
        let servers: Vec<usize> = (0..self.nodes.len())
            .filter(|s| linked(&self.nodes[*s]))
            .collect();
        self.routers[router] = self.router();
        for server in servers {
            self.unlink(router, server);
            self.link(router, server);
        }
    }

    fn restart_node(&mut self, server: usize) {
        let routers: Vec<usize> = self.nodes[server].links.keys().copied().collect();
        self.nodes[server] = self.node(server);
        for router in routers {
            self.link(router, server);
        }
    }
}
