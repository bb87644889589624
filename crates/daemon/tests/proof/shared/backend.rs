//! The stand-in of a backend server.

use std::net::{Ipv4Addr, SocketAddr};

use mulberryyoke_standin::engine::{self, Engine};
use mulberryyoke_standin::fleet::relay::Relay;
use mulberryyoke_standin::journal::{Journal, Run};
use mulberryyoke_standin::service::Service;

use super::Setup;

/// Cost of a call of the plain service, in tokens.
const COST: u32 = 10;

/// The stand-in of a backend server, reached through a relay.
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
    pub(crate) async fn engine(setup: &Setup) -> Self {
        let settings = engine::Settings {
            batch_size: setup.slots as usize,
            token_time: setup.token,
            ..engine::Settings::default()
        };
        let engine = Engine::bind(any(), settings).await.unwrap();
        Self {
            relay: Relay::bind(engine.address()).await.unwrap(),
            kind: Kind::Engine(engine),
        }
    }

    pub(crate) async fn service(setup: &Setup) -> Self {
        let service = Service::bind(any(), setup.latency, COST).await.unwrap();
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

    /// Runs of a request.
    pub(crate) fn runs(&self, op: &str) -> Vec<Run> {
        let mut runs = self.journal().runs();
        runs.retain(|run| run.op == op);
        runs
    }
}

fn any() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
