//! Router state shown to operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use mulberryyoke_decide::exchange::Cursor;
use mulberryyoke_model::{Class, CustomerId, Incarnation, Millis, PoolId, Revision};
use serde::Serialize;

use super::core::Core;
use super::link::Link;

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WaitingRequest {
    /// Its request id.
    pub request: String,
    /// Name of its customer.
    pub customer: String,
    /// Name of its pool.
    pub pool: String,
    /// Its class on arrival.
    pub class: Class,
    /// Its deadline.
    pub deadline: Millis,
    /// When it arrived.
    pub since: Millis,
    /// Requests ahead of it in its subqueue at this router.
    pub position: usize,
    /// The server it is pinned to, if any.
    pub server: Option<String>,
}

/// A customer as seen by this router.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// Its weight.
    pub share: u32,
    /// Requests queued at this router.
    pub waiting: u32,
    /// Running requests sent by this router.
    pub running: u32,
    /// Known service across the fleet, in tokens.
    pub served: u64,
    /// Service per share, by which customers are compared.
    pub served_per_share: f64,
}

/// A sidecar as seen by this router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Name of its pool.
    pub pool: String,
    /// Whether its sidecar responds.
    pub up: bool,
    /// Whether the configuration or the VM list excludes it from new requests.
    pub excluded: bool,
    /// Whether its sidecar refuses new requests.
    pub draining: bool,
    /// Slots expected to be free.
    pub free: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Running requests sent by this router.
    pub running: u32,
    /// Highest configuration revision applied there.
    pub revision: Revision,
    /// Instance of its sidecar.
    pub incarnation: Option<Incarnation>,
    /// When a message was last received from it.
    pub last_response_at: Millis,
}

/// A handle for inspecting a running router.
#[derive(Clone, Debug)]
pub struct Inspector {
    core: Arc<Core>,
}

impl Inspector {
    pub(crate) fn new(core: &Arc<Core>) -> Self {
        Self {
            core: Arc::clone(core),
        }
    }

    /// Whether the router accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let stopping = self.core.shutdown.refuse.is_cancelled();
        !stopping && self.core.fleet.view().revision() > 0
    }

    /// Every request queued at this router.
    #[must_use]
    pub fn waiting_requests(&self) -> Vec<WaitingRequest> {
        let mut requests = Vec::new();
        for pool_queue in self.core.queues.all() {
            pool_queue.with_queue(|queue| {
                for (_, entry) in queue.iter() {
                    let pinned = entry.pinned_server;
                    let server = pinned.and_then(|server| self.core.links.get(server));
                    let server = server.map(|link| link.server.name.clone());
                    requests.push(WaitingRequest {
                        request: entry.payload.attempt.request_id(),
                        customer: self.customer_name(entry.customer),
                        pool: self.pool_name(pool_queue.pool),
                        class: entry.class,
                        deadline: entry.deadline,
                        since: entry.arrived_at,
                        position: queue.position(entry),
                        server,
                    });
                }
            });
        }
        requests
    }

    /// Every configured customer.
    #[must_use]
    pub fn customers(&self) -> Vec<Customer> {
        let view = self.core.fleet.view();
        let mut served: BTreeMap<CustomerId, u64> = BTreeMap::new();
        let totals = self.core.fleet.totals(&mut Cursor::default());
        for usage in totals {
            *served.entry(usage.customer).or_default() += usage.tokens;
        }
        let limiter = self.core.limiter.lock();
        let customers = view.customers().map(|(id, customer)| {
            let served = served.get(&id).copied().unwrap_or(0);
            Customer {
                name: customer.name.clone(),
                share: customer.share,
                waiting: limiter.waiting(id),
                running: self.core.running_counts.get(id),
                served,
                #[expect(clippy::cast_precision_loss, reason = "shown to operators only")]
                served_per_share: served as f64 / f64::from(customer.share.max(1)),
            }
        });
        let mut customers: Vec<Customer> = customers.collect();
        customers.sort_by(|a, b| a.name.cmp(&b.name));
        customers
    }

    /// Every sidecar that this router is, or tries to be, connected to.
    #[must_use]
    pub fn servers(&self) -> Vec<Server> {
        let links = self.core.links.all();
        let mut servers: Vec<Server> = links.iter().map(|link| server(link)).collect();
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        servers
    }

    fn customer_name(&self, id: CustomerId) -> String {
        let view = self.core.fleet.view();
        let customer = view.customer(id);
        customer.map_or_else(|| id.0.to_string(), |customer| customer.name.clone())
    }

    fn pool_name(&self, id: PoolId) -> String {
        let view = self.core.fleet.view();
        let pool = view.pool(id);
        pool.map_or_else(|| id.0.to_string(), |pool| pool.name.clone())
    }
}

fn server(link: &Link) -> Server {
    let load = link.status.load();
    Server {
        name: link.server.name.clone(),
        pool: link.server.pool.clone(),
        up: link.status.is_up(),
        excluded: link.status.is_excluded(),
        draining: load.is_some_and(|load| load.draining),
        free: link.status.free_slots(),
        slots: link.status.slots(),
        running: link.status.running(),
        revision: load.map_or(0, |load| load.revision),
        incarnation: load.map(|load| load.incarnation),
        last_response_at: link.status.last_response_at(),
    }
}
