//! Service counts of the routers.

use mulberryyoke_model::{CustomerId, Incarnation, PoolId, Report, Usage};

use super::params::{POOL, name};
use super::{Event, Simulation};

impl Simulation {
    /// Polls a sidecar with the fleet-wide counts of a router.
    pub(super) fn poll(&mut self, router: usize, server: usize) {
        let sidecar = &self.sidecars[server];
        let Some(link) = sidecar.links.get(&router).copied() else {
            return;
        };
        let counted = sidecar.counted[&router];
        let counts = &self.routers[router].counts;
        let total = |index: u32| counts.values().map(|c| c[index as usize]).sum();
        let customers = 0..self.params.customers;
        let fleet = customers.map(|index| Usage {
            pool: PoolId::of(POOL),
            customer: CustomerId::of(&name(index)),
            tokens: total(index),
        });
        let fleet: Vec<Usage> = fleet.collect();
        let heard = self.now.saturating_sub(self.params.assumed_lag);
        let admission = &mut self.sidecars[server].admission;
        admission.poll(link, counted, &fleet, heard, self.now);
        self.deliver(server);
    }

    /// Adds the growth since the previous report, if this router received that one.
    pub(super) fn collect(&mut self, router: usize, sidecar: Incarnation, report: &Report) {
        let customers = self.customers.clone();
        let router = &mut self.routers[router];
        let (sequence, last) = router.reports.entry(sidecar).or_default();
        let is_consecutive = report.sequence == *sequence + 1;
        *sequence = report.sequence;
        let none = vec![0; customers.len()];
        let counts = router.counts.entry(router.incarnation).or_insert(none);
        for usage in &report.usage {
            let last = last.entry(usage.customer).or_default();
            if is_consecutive {
                counts[customers[&usage.customer] as usize] += usage.tokens - *last;
            }
            *last = usage.tokens;
        }
    }

    pub(super) fn exchange(&mut self) {
        let routers = self.routers.iter();
        let shared: Vec<_> = routers
            .map(|router| (router.partitioned, router.counts.clone()))
            .collect();
        for router in &mut self.routers {
            let received = shared
                .iter()
                .filter(|(partitioned, _)| *partitioned == router.partitioned);
            for (origin, counts) in received.flat_map(|(_, counts)| counts) {
                let current = router
                    .counts
                    .entry(*origin)
                    .or_insert_with(|| counts.clone());
                for (current, count) in current.iter_mut().zip(counts) {
                    *current = (*current).max(*count);
                }
            }
        }
        // Sidecars also expire grants here.
        for server in 0..self.sidecars.len() {
            self.sidecars[server].admission.tick(self.now);
            self.deliver(server);
        }
        self.schedule(self.params.exchange_interval, Event::Exchange);
    }
}
