//! Faults, brought about in the middle of the load.

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
use super::load::Load;
use super::operator::{self, words};
use super::relay::Relay;
use super::setup::Fleet;

/// Time within which a draining server must get no new work any more.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Writes whose answers are lost.
const LOST_ANSWERS: u64 = 4;
/// Rounds of an operators' race.
const RACES: u32 = 5;
/// Demand of a flooding customer over its portion.
const FLOOD: f64 = 20.0;
/// Time between cuts when the exchange is lost in part.
const LOSS_STEP: Duration = Duration::from_millis(300);

/// What is at hand to bring a fault about.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) load: Arc<Load>,
    /// When the fault is to be over.
    pub(crate) until: Instant,
}

impl Scene {
    /// Brings a fault about and ends it; tells what did not go as promised.
    pub(crate) async fn play(self, fault: Fault) -> Vec<String> {
        let mut found = Vec::new();
        let played = match fault {
            Fault::RouterKill => self.kill_router().await,
            Fault::SidecarKill => self.end_sidecars(Signal::KILL, &mut found).await,
            Fault::SidecarRestart => self.end_sidecars(Signal::TERM, &mut found).await,
            Fault::SidecarFreeze => self.freeze(3 % self.fleet.engines.len()).await,
            Fault::LeaseLapse => self.lapse().await,
            Fault::RouterPartition => self.partition().await,
            Fault::ExchangeLoss => self.lose_exchange().await,
            Fault::KvOutage => self.kv_outage().await,
            Fault::KvLostAnswer => self.lose_answers().await,
            Fault::OperatorRace => self.race(&mut found).await,
            Fault::Flood => self.flood().await,
            Fault::ServerDrain => self.drain(&mut found).await,
            Fault::RouterStop => self.stop_router(&mut found).await,
        };
        found.extend(played.err().map(|error| error.to_string()));
        let told = |found: String| format!("{}: {found}", fault.word());
        found.into_iter().map(told).collect()
    }

    async fn kill_router(&self) -> Result<(), Error> {
        let router = &self.fleet.routers[0];
        router.terminate(Signal::KILL).await;
        sleep_until(self.until).await;
        router.start()?;
        self.fleet.ready(router).await
    }

    async fn stop_router(&self, found: &mut Vec<String>) -> Result<(), Error> {
        let router = self.fleet.routers.last().expect("there is a router");
        let code = router.terminate(Signal::TERM).await;
        if code != Some(0) {
            found.push(format!("{} ended with {code:?}", router.name));
        }
        sleep_until(self.until).await;
        router.start()?;
        self.fleet.ready(router).await
    }

    /// Ends the sidecars of one engine and one service and starts them again.
    async fn end_sidecars(&self, signal: Signal, found: &mut Vec<String>) -> Result<(), Error> {
        let service = self.fleet.engines.len();
        self.set_down(0, true);
        let pair = [&self.fleet.sidecars[0], &self.fleet.sidecars[service]];
        let codes = join(pair[0].terminate(signal), pair[1].terminate(signal)).await;
        if signal == Signal::TERM && codes != (Some(0), Some(0)) {
            found.push(format!("sidecars ended with {codes:?}"));
        }
        // A planned stop is followed by a start at once.
        if signal != Signal::TERM {
            sleep_until(self.until).await;
        }
        for sidecar in pair {
            sidecar.start()?;
            self.fleet.ready(sidecar).await?;
        }
        self.set_down(0, false);
        Ok(())
    }

    async fn freeze(&self, engine: usize) -> Result<(), Error> {
        // Not the service's sidecar that another fault may end.
        let service = self.fleet.sidecars.len() - 1;
        let pair = [&self.fleet.sidecars[engine], &self.fleet.sidecars[service]];
        self.set_down(engine, true);
        for sidecar in pair {
            sidecar.signal(Signal::STOP);
        }
        sleep_until(self.until).await;
        for sidecar in pair {
            sidecar.signal(Signal::CONT);
        }
        self.set_down(engine, false);
        Ok(())
    }

    async fn lapse(&self) -> Result<(), Error> {
        let lapse = Faults {
            once: vec![Action::ExpireLeases],
            ..Faults::default()
        };
        self.fleet.kv.set_faults(&lapse);
        self.freeze(1 % self.fleet.engines.len()).await
    }

    async fn partition(&self) -> Result<(), Error> {
        self.fleet.relays.iter().for_each(Relay::block);
        sleep_until(self.until).await;
        self.fleet.relays.iter().for_each(Relay::unblock);
        Ok(())
    }

    async fn lose_exchange(&self) -> Result<(), Error> {
        while Instant::now() < self.until {
            for relay in &self.fleet.relays {
                relay.block();
                relay.unblock();
            }
            sleep(LOSS_STEP).await;
        }
        Ok(())
    }

    async fn kv_outage(&self) -> Result<(), Error> {
        self.switch_kv(true);
        sleep_until(self.until).await;
        self.switch_kv(false);
        Ok(())
    }

    fn switch_kv(&self, outage: bool) {
        let switch = Faults {
            outage: Some(outage),
            ..Faults::default()
        };
        self.fleet.kv.set_faults(&switch);
    }

    /// Every command whose answer was lost must be settled by sending it again.
    async fn lose_answers(&self) -> Result<(), Error> {
        for number in 0..LOST_ANSWERS {
            let switch = Faults {
                lose_answers: Some(1),
                ..Faults::default()
            };
            self.fleet.kv.set_faults(&switch);
            // Not the customer that operators may race for.
            let name = &self.fleet.plan.customers[1].name;
            let queue = 1000 + number;
            let set = words(&format!("customer set {name} --queue {queue}"));
            self.fleet.command(0, &set).await?;
        }
        Ok(())
    }

    /// Of two changes to one customer at the same revision, one must win.
    async fn race(&self, found: &mut Vec<String>) -> Result<(), Error> {
        let name = &self.fleet.plan.customers[0].name;
        let show = words(&format!("customer show {name}"));
        for round in 0..RACES {
            let reply = self.send(0, &show).await?;
            let revision = serde_json::to_value(&reply.answer).unwrap_or_default();
            let Some(revision) = revision["items"][0]["revision"].as_u64() else {
                found.push(format!("no revision in {revision}"));
                return Ok(());
            };
            let set = |queue| {
                words(&format!(
                    "customer set {name} --queue {queue} --at {revision}"
                ))
            };
            let (one, other) = (set(2000 + 2 * round), set(2001 + 2 * round));
            let last = self.fleet.routers.len() - 1;
            let (one, other) = join(self.send(0, &one), self.send(last, &other)).await;
            let (one, other) = (one?, other?);
            let won = usize::from(one.ok) + usize::from(other.ok);
            let codes = [one, other].map(|reply| reply.error.map(|error| error.code));
            if won != 1 || !codes.contains(&Some(ErrorCode::Conflict)) {
                found.push(format!("{won} of two racing commands won: {codes:?}"));
            }
        }
        Ok(())
    }

    async fn send(&self, router: usize, words: &[String]) -> Result<Response, Error> {
        let address = self.fleet.routers[router].status;
        operator::execute(&self.fleet.client, address, words, rand::random()).await
    }

    async fn flood(&self) -> Result<(), Error> {
        self.load.flood(FLOOD, self.until);
        sleep_until(self.until).await;
        Ok(())
    }

    /// A draining server must get no new work after a few seconds.
    async fn drain(&self, found: &mut Vec<String>) -> Result<(), Error> {
        let engine = 2 % self.fleet.engines.len();
        let name = &self.fleet.sidecars[engine].name;
        let order = |verb| words(&format!("server {verb} {name}"));
        self.set_down(engine, true);
        self.fleet.command(0, &order("drain")).await?;
        let from = now();
        sleep(DRAIN_TIME).await;
        let quiet = now();
        sleep_until(self.until).await;
        let until = now();
        self.fleet.command(0, &order("resume")).await?;
        self.set_down(engine, false);
        let runs = self.fleet.engines[engine].journal().runs();
        let late = runs
            .iter()
            .filter(|run| (quiet..until).contains(&run.arrived))
            .count();
        if late > 0 {
            found.push(format!(
                "{late} runs reached {name} {DRAIN_TIME:?} after {from}"
            ));
        }
        Ok(())
    }

    fn set_down(&self, engine: usize, down: bool) {
        self.fleet.down[engine].store(down, Ordering::Relaxed);
    }
}
