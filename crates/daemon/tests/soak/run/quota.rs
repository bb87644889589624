//! Quotas of processor time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::time::sleep;

use super::Run;
use crate::gateway::Gateway;

/// Period of a quota, and interval between two readings of the processor time.
const PERIOD: Duration = Duration::from_millis(100);
const READ_INTERVAL: Duration = Duration::from_millis(4);

impl Run {
    /// Suspends each gateway that has used this share of a processor in a period, until its end.
    pub(super) async fn limit_processors(self: Arc<Self>, share: f64) {
        let quota = PERIOD.mul_f64(share);
        while !self.is_finished() {
            let until = Instant::now() + PERIOD;
            let gateways = self.gateways.iter();
            let begun: Vec<Option<Duration>> = gateways.map(Gateway::processor_time).collect();
            let mut suspended = vec![false; begun.len()];
            while Instant::now() < until {
                for (index, gateway) in self.gateways.iter().enumerate() {
                    let used = gateway.processor_time().zip(begun[index]);
                    let used = used.map(|(now, before)| now.saturating_sub(before));
                    if !suspended[index] && used.is_some_and(|used| used >= quota) {
                        suspended[index] = true;
                        gateway.signal(Signal::STOP);
                    }
                }
                sleep(READ_INTERVAL).await;
            }
            for (gateway, is_suspended) in self.gateways.iter().zip(suspended) {
                if is_suspended {
                    gateway.signal(Signal::CONT);
                }
            }
        }
    }
}
