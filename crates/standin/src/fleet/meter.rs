//! Samples of service and backlog, taken at the engines and the callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::load::Load;
use super::setup::Fleet;

/// Time between samples.
pub(crate) const STEP: Duration = Duration::from_millis(100);

/// The state at one instant.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// Tokens of model answers so far, by customer.
    pub service: Vec<u64>,
    /// Whether model work waits, by customer.
    pub waiting: Vec<bool>,
    /// Busy slots of the usable engines.
    pub busy: u32,
    /// Slots of the usable engines.
    pub slots: u32,
}

/// Samples until an instant.
pub(crate) async fn watch(fleet: Arc<Fleet>, load: Arc<Load>, until: Instant) -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut ticks = interval(STEP);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while Instant::now() < until {
        ticks.tick().await;
        samples.push(sample(&fleet, &load));
    }
    samples
}

fn sample(fleet: &Fleet, load: &Load) -> Sample {
    let engines: Vec<_> = fleet
        .engines
        .iter()
        .map(|e| e.journal().customer_stats())
        .collect();
    let usable = engines.iter().zip(&fleet.down);
    let usable = usable.filter(|(_, down)| !down.load(Ordering::Relaxed));
    let busy = usable.clone().flat_map(|(tallies, _)| tallies.values());
    let slots = u32::try_from(fleet.plan.flags.slots).unwrap_or(u32::MAX);
    let mut sample = Sample {
        service: Vec::new(),
        waiting: Vec::new(),
        busy: busy.map(|tally| tally.running).sum(),
        slots: usable.map(|_| slots).sum(),
    };
    for (index, customer) in fleet.plan.customers.iter().enumerate() {
        let own = engines
            .iter()
            .filter_map(|tallies| tallies.get(&customer.name));
        let running: u32 = own.clone().map(|tally| tally.running).sum();
        sample.service.push(own.map(|tally| tally.tokens).sum());
        // A call that has just ended may still count as under way.
        sample.waiting.push(load.outstanding(index) > running + 1);
    }
    sample
}
