//! Injects faults during the load.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join;
use mulberryyoke_command::api::{ErrorCode, Response};
use rustix::process::Signal;
use tokio::time::{Instant, sleep, sleep_until};

use crate::journal::now;
use crate::kv::{Action, Faults};

use super::Error;
use super::fault::Fault;
use super::load::LoadGenerator;
use super::operator::{self, words};
use super::relay::Relay;
use super::setup::Fleet;

/// Time after which a draining server must get no new requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of writes whose responses are lost.
const LOST_RESPONSES: u64 = 4;
/// Number of pairs of concurrent operator commands.
const RACE_ROUNDS: u32 = 5;
/// Rate of a flood relative to the customer's share of the slots.
const FLOOD_FACTOR: f64 = 20.0;
/// Interval at which connections between routers are closed.
const DISCONNECT_INTERVAL: Duration = Duration::from_millis(300);

/// Injects faults into a fleet under load.
#[derive(Clone, Debug)]
pub(crate) struct Injector {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) load: Arc<LoadGenerator>,
    /// End of the faults.
    pub(crate) until: Instant,
}

impl Injector {
    /// Injects a fault, reverts it and returns the violations of guarantees.
    pub(crate) async fn inject(self, fault: Fault) -> Vec<String> {
        let mut violations = Vec::new();
        let result = match fault {
            Fault::RouterKill => self.kill_router().await,
            Fault::SidecarKill => self.restart_sidecars(Signal::KILL, &mut violations).await,
            Fault::SidecarRestart => self.restart_sidecars(Signal::TERM, &mut violations).await,
            Fault::SidecarFreeze => self.suspend_sidecars(3 % self.fleet.engines.len()).await,
            Fault::LeaseExpiry => self.expire_leases().await,
            Fault::RouterPartition => self.partition_routers().await,
            Fault::ExchangeLoss => self.disconnect_routers().await,
            Fault::KvOutage => self.interrupt_kv().await,
            Fault::KvLostResponse => self.lose_kv_responses().await,
            Fault::OperatorRace => self.race_operators(&mut violations).await,
            Fault::Flood => self.flood().await,
            Fault::ServerDrain => self.drain_server(&mut violations).await,
            Fault::RouterStop => self.stop_router(&mut violations).await,
        };
        violations.extend(result.err().map(|error| error.to_string()));
        let name = fault.name();
        let violations = violations.into_iter();
        violations
            .map(|violation| format!("{name}: {violation}"))
            .collect()
    }

    async fn kill_router(&self) -> Result<(), Error> {
        let router = &self.fleet.routers[0];
        router.terminate(Signal::KILL).await;
        sleep_until(self.until).await;
        router.start()?;
        self.fleet.wait_until_ready(router).await
    }

    async fn stop_router(&self, violations: &mut Vec<String>) -> Result<(), Error> {
        let router = self.fleet.routers.last().expect("there is a router");
        let code = router.terminate(Signal::TERM).await;
        if code != Some(0) {
            violations.push(format!("{} exited with {code:?}", router.name));
        }
        sleep_until(self.until).await;
        router.start()?;
        self.fleet.wait_until_ready(router).await
    }

    /// Terminates and restarts the sidecars of one engine and one service.
    async fn restart_sidecars(
        &self,
        signal: Signal,
        violations: &mut Vec<String>,
    ) -> Result<(), Error> {
        let service = self.fleet.engines.len();
        self.set_unavailable(0, true);
        let sidecars = [&self.fleet.sidecars[0], &self.fleet.sidecars[service]];
        let codes = join(sidecars[0].terminate(signal), sidecars[1].terminate(signal)).await;
        if signal == Signal::TERM && codes != (Some(0), Some(0)) {
            violations.push(format!("sidecars exited with {codes:?}"));
        }
        // A graceful restart has no pause.
        if signal != Signal::TERM {
            sleep_until(self.until).await;
        }
        for sidecar in sidecars {
            sidecar.start()?;
            self.fleet.wait_until_ready(sidecar).await?;
        }
        self.set_unavailable(0, false);
        Ok(())
    }

    /// Suspends the sidecars of one engine and one service.
    async fn suspend_sidecars(&self, engine: usize) -> Result<(), Error> {
        // The last service, since `restart_sidecars` may terminate the sidecar of the first.
        let service = self.fleet.sidecars.len() - 1;
        let sidecars = [&self.fleet.sidecars[engine], &self.fleet.sidecars[service]];
        self.set_unavailable(engine, true);
        for sidecar in sidecars {
            sidecar.signal(Signal::STOP);
        }
        sleep_until(self.until).await;
        for sidecar in sidecars {
            sidecar.signal(Signal::CONT);
        }
        self.set_unavailable(engine, false);
        Ok(())
    }

    async fn expire_leases(&self) -> Result<(), Error> {
        let faults = Faults {
            once: vec![Action::ExpireLeases],
            ..Faults::default()
        };
        self.fleet.kv.set_faults(&faults);
        self.suspend_sidecars(1 % self.fleet.engines.len()).await
    }

    async fn partition_routers(&self) -> Result<(), Error> {
        self.fleet.relays.iter().for_each(Relay::block);
        sleep_until(self.until).await;
        self.fleet.relays.iter().for_each(Relay::unblock);
        Ok(())
    }

    async fn disconnect_routers(&self) -> Result<(), Error> {
        while Instant::now() < self.until {
            for relay in &self.fleet.relays {
                relay.block();
                relay.unblock();
            }
            sleep(DISCONNECT_INTERVAL).await;
        }
        Ok(())
    }

    async fn interrupt_kv(&self) -> Result<(), Error> {
        self.set_kv_outage(true);
        sleep_until(self.until).await;
        self.set_kv_outage(false);
        Ok(())
    }

    fn set_kv_outage(&self, outage: bool) {
        let faults = Faults {
            outage: Some(outage),
            ..Faults::default()
        };
        self.fleet.kv.set_faults(&faults);
    }

    /// Checks that a retry returns the result of a command whose write has no response.
    async fn lose_kv_responses(&self) -> Result<(), Error> {
        for number in 0..LOST_RESPONSES {
            let faults = Faults {
                lose_answers: Some(1),
                ..Faults::default()
            };
            self.fleet.kv.set_faults(&faults);
            // `race_operators` may change the first customer concurrently.
            let name = &self.fleet.plan.customers[1].name;
            let queue = 1000 + number;
            let set = words(&format!("customer set {name} --queue {queue}"));
            self.fleet.execute(0, &set).await?;
        }
        Ok(())
    }

    /// Checks that exactly one of two concurrent changes at the same revision succeeds.
    async fn race_operators(&self, violations: &mut Vec<String>) -> Result<(), Error> {
        let name = &self.fleet.plan.customers[0].name;
        let show = words(&format!("customer show {name}"));
        for round in 0..RACE_ROUNDS {
            let response = self.execute(0, &show).await?;
            let revision = serde_json::to_value(&response.answer).unwrap_or_default();
            let Some(revision) = revision["items"][0]["revision"].as_u64() else {
                violations.push(format!("no revision in {revision}"));
                return Ok(());
            };
            let set = |queue| {
                words(&format!(
                    "customer set {name} --queue {queue} --at {revision}"
                ))
            };
            let (first, second) = (set(2000 + 2 * round), set(2001 + 2 * round));
            let last = self.fleet.routers.len() - 1;
            let responses = join(self.execute(0, &first), self.execute(last, &second)).await;
            let (first, second) = (responses.0?, responses.1?);
            let succeeded = usize::from(first.ok) + usize::from(second.ok);
            let codes = [first, second].map(|response| response.error.map(|error| error.code));
            if succeeded != 1 || !codes.contains(&Some(ErrorCode::Conflict)) {
                violations.push(format!(
                    "{succeeded} of two concurrent commands succeeded: {codes:?}"
                ));
            }
        }
        Ok(())
    }

    async fn execute(&self, router: usize, words: &[String]) -> Result<Response, Error> {
        let address = self.fleet.routers[router].status;
        operator::execute(&self.fleet.client, address, words, rand::random()).await
    }

    async fn flood(&self) -> Result<(), Error> {
        self.load.start_flood(FLOOD_FACTOR, self.until);
        sleep_until(self.until).await;
        Ok(())
    }

    /// Checks that a draining server gets no new requests after [`DRAIN_TIMEOUT`].
    async fn drain_server(&self, violations: &mut Vec<String>) -> Result<(), Error> {
        let engine = 2 % self.fleet.engines.len();
        let name = &self.fleet.sidecars[engine].name;
        let command = |verb| words(&format!("server {verb} {name}"));
        self.set_unavailable(engine, true);
        self.fleet.execute(0, &command("drain")).await?;
        let drain_start = now();
        sleep(DRAIN_TIMEOUT).await;
        let drained = now();
        sleep_until(self.until).await;
        let until = now();
        self.fleet.execute(0, &command("resume")).await?;
        self.set_unavailable(engine, false);
        let runs = self.fleet.engines[engine].journal().runs();
        let late = runs
            .iter()
            .filter(|run| (drained..until).contains(&run.arrived))
            .count();
        if late > 0 {
            violations.push(format!(
                "{late} requests reached {name} later than {DRAIN_TIMEOUT:?} after the drain at {drain_start}"
            ));
        }
        Ok(())
    }

    fn set_unavailable(&self, engine: usize, unavailable: bool) {
        self.fleet.unavailable[engine].store(unavailable, Ordering::Relaxed);
    }
}
