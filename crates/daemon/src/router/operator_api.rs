//! The operator API of a router.

mod nodes;
mod waiting;

use std::pin::Pin;
use std::sync::Arc;

use mulberryyoke_command as command;
use mulberryyoke_command::api::{Counts, Node, WaitingList};
use mulberryyoke_model::{Attempt, Config, Outcome};
use mulberryyoke_platform::kv;

use super::core::Core;
use super::error::Error;
use super::inspect::Inspector;
use crate::operator::{Api, Options, RouterState};

/// Binds the operator API.
pub(crate) async fn bind(core: &Arc<Core>) -> Result<Api, Error> {
    let settings = &core.settings;
    let kv = kv::Etcd::new(settings.kv.clone(), kv::Options::default());
    let options = Options {
        address: settings.operators,
        operators: settings.operator_keys.clone(),
        prefix: settings.prefix.clone(),
        retention_ms: settings.retention_ms,
        kv: Arc::new(kv),
        router: Arc::new(RouterSource {
            core: Arc::clone(core),
            inspector: Inspector::new(core),
        }),
        logger: core.logger.clone(),
    };
    Api::bind(options).await.map_err(Error::Operators)
}

/// Exposes the router's state through the operator API.
struct RouterSource {
    core: Arc<Core>,
    inspector: Inspector,
}

impl RouterState for RouterSource {
    fn name(&self) -> &str {
        &self.core.settings.name
    }

    fn is_ready(&self) -> bool {
        self.inspector.is_ready()
    }

    fn is_kv_up(&self) -> bool {
        self.core.fleet.is_kv_up()
    }

    fn config(&self) -> Arc<Config> {
        self.core.fleet.config()
    }

    fn nodes(&self) -> Vec<Node> {
        let mut nodes = nodes::routers(&self.core);
        nodes.extend(nodes::sidecars(&self.core, &self.inspector.servers()));
        nodes
    }

    fn unseen(&self) -> usize {
        nodes::unseen(&self.core, &self.inspector.servers())
    }

    fn control_bytes(&self) -> (u64, u64) {
        let bytes = self.core.fleet.control_bytes();
        (bytes.read(), bytes.written())
    }

    fn tally(&self) -> Counts {
        let customers = self.inspector.customers();
        Counts {
            customers: customers.len(),
            waiting: customers
                .iter()
                .map(|customer| u64::from(customer.waiting))
                .sum(),
            running: u64::from(self.core.running_counts.total()),
        }
    }

    fn waiting(&self, query: &command::Waiting) -> WaitingList {
        waiting::answer(self.name(), &self.inspector, query)
    }

    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>> {
        Box::pin(self.core.fleet.outcome(attempt))
    }
}
