//! Periodic samples of service and backlog, taken from engines and callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::load::LoadGenerator;
use super::setup::Fleet;

/// Interval between samples.
pub(crate) const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// State at one instant.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// Tokens generated so far, by customer.
    pub service: Vec<u64>,
    /// Whether model requests are waiting, by customer.
    pub waiting: Vec<bool>,
    /// Busy slots of the available engines.
    pub busy: u32,
    /// Slots of the available engines.
    pub slots: u32,
}

/// Takes samples until an instant.
pub(crate) async fn sample_until(
    fleet: Arc<Fleet>,
    load: Arc<LoadGenerator>,
    until: Instant,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut ticks = interval(SAMPLE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while Instant::now() < until {
        ticks.tick().await;
        samples.push(sample(&fleet, &load));
    }
    samples
}

fn sample(fleet: &Fleet, load: &LoadGenerator) -> Sample {
    let engines: Vec<_> = fleet
        .engines
        .iter()
        .map(|engine| engine.journal().customer_stats())
        .collect();
    let available = engines.iter().zip(&fleet.unavailable);
    let available = available.filter(|(_, unavailable)| !unavailable.load(Ordering::Relaxed));
    let busy = available.clone().flat_map(|(stats, _)| stats.values());
    let slots = u32::try_from(fleet.plan.flags.slots).unwrap_or(u32::MAX);
    let mut sample = Sample {
        service: Vec::new(),
        waiting: Vec::new(),
        busy: busy.map(|stats| stats.running).sum(),
        slots: available.map(|_| slots).sum(),
    };
    for (index, customer) in fleet.plan.customers.iter().enumerate() {
        let own = engines.iter().filter_map(|stats| stats.get(&customer.name));
        let running: u32 = own.clone().map(|stats| stats.running).sum();
        sample.service.push(own.map(|stats| stats.tokens).sum());
        // Tolerates one call whose run has ended but whose response is still in transit.
        sample.waiting.push(load.in_flight(index) > running + 1);
    }
    sample
}
