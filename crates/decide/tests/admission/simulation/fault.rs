//! Fault injection.

use rand::RngExt;

use super::{Sidecar, Simulation};

impl Simulation {
    pub(super) fn inject_fault(&mut self) {
        self.faults += 1;
        let server = self.rng.random_range(0..self.params.servers);
        let router = self.rng.random_range(0..self.params.routers);
        let any = self.rng.random_range(0..4);
        match self.params.fault_kind.unwrap_or(any) {
            0 => {
                self.unlink(router, server);
                self.link(router, server);
            }
            1 => self.restart_router(router),
            2 => self.restart_sidecar(server),
            _ => self.routers[router].partitioned = !self.routers[router].partitioned,
        }
    }

    fn restart_router(&mut self, router: usize) {
        let linked = |sidecar: &Sidecar| sidecar.links.contains_key(&router);
        let servers: Vec<usize> = (0..self.sidecars.len())
            .filter(|s| linked(&self.sidecars[*s]))
            .collect();
        self.routers[router] = self.new_router();
        for server in servers {
            self.unlink(router, server);
            self.link(router, server);
        }
    }

    fn restart_sidecar(&mut self, server: usize) {
        let routers: Vec<usize> = self.sidecars[server].links.keys().copied().collect();
        self.sidecars[server] = self.new_sidecar(server);
        for router in routers {
            self.link(router, server);
        }
    }
}
