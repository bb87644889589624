//! Stand-ins of backend servers.

use std::net::{Ipv4Addr, SocketAddr};

use mulberryyoke_standin::engine::{self, Engine};
use mulberryyoke_standin::fleet::relay::Relay;
use mulberryyoke_standin::journal::{Journal, Run};
use mulberryyoke_standin::service::Service;

use super::Setup;

/// Cost of a service call, in tokens.
const SERVICE_COST: u32 = 10;

/// Stand-in of a backend server, reached through a relay.
#[derive(Debug)]
pub(crate) struct Backend {
    kind: Kind,
    pub(crate) relay: Relay,
}

#[derive(Debug)]
enum Kind {
    Engine(Engine),
    Service(Service),
}

impl Backend {
    pub(crate) async fn spawn_engine(setup: &Setup) -> Self {
        let settings = engine::Settings {
            batch_size: setup.slots as usize,
            token_time: setup.token_time,
            resume_timeout: setup.resume_timeout,
            ..engine::Settings::default()
        };
        let engine = Engine::bind(any_port(), settings).await.unwrap();
        Self {
            relay: Relay::bind(engine.address()).await.unwrap(),
            kind: Kind::Engine(engine),
        }
    }

    pub(crate) async fn spawn_service(setup: &Setup) -> Self {
        let service = Service::bind(any_port(), setup.latency, SERVICE_COST)
            .await
            .unwrap();
        Self {
            relay: Relay::bind(service.address()).await.unwrap(),
            kind: Kind::Service(service),
        }
    }

    pub(crate) fn journal(&self) -> &Journal {
        match &self.kind {
            Kind::Engine(engine) => engine.journal(),
            Kind::Service(service) => service.journal(),
        }
    }

    /// Executions of a request.
    pub(crate) fn runs(&self, op: &str) -> Vec<Run> {
        let mut runs = self.journal().runs();
        runs.retain(|run| run.op == op);
        runs
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
