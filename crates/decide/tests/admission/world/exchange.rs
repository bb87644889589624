//! Counting of service at the routers.

use mulberryyoke_model::{CustomerId, Incarnation, PoolId, Report, Usage};

use super::shape::{POOL, name};
use super::{Event, World};

impl World {
    /// A poll tells the fleet-wide counts.
    pub(super) fn poll(&mut self, router: usize, server: usize) {
        let node = &self.nodes[server];
        let Some(link) = node.links.get(&router).copied() else {
            return;
        };
        let counted = node.counted[&router];
        let counts = &self.routers[router].counts;
        let total = |index: u32| counts.values().map(|c| c[index as usize]).sum();
        let customers = 0..self.shape.customers;
        let fleet = customers.map(|index| Usage {
            pool: PoolId::of(POOL),
            customer: CustomerId::of(&name(index)),
            tokens: total(index),
        });
        let fleet: Vec<Usage> = fleet.collect();
        let heard = self.now.saturating_sub(self.shape.assumed);
        let admission = &mut self.nodes[server].admission;
        admission.poll(link, counted, &fleet, heard, self.now);
        self.flush(server);
    }

    /// Counts what grew since the report before, if it was this router's.
    pub(super) fn collect(&mut self, router: usize, sidecar: Incarnation, report: &Report) {
        let customers = self.customers.clone();
        let router = &mut self.routers[router];
        let (sequence, held) = router.reports.entry(sidecar).or_default();
        let follows = report.sequence == *sequence + 1;
        *sequence = report.sequence;
        let none = vec![0; customers.len()];
        let counts = router.counts.entry(router.incarnation).or_insert(none);
        for usage in &report.usage {
            let held = held.entry(usage.customer).or_default();
            if follows {
                counts[customers[&usage.customer] as usize] += usage.tokens - *held;
            }
            *held = usage.tokens;
        }
    }

    pub(super) fn exchange(&mut self) {
        let each = self.routers.iter();
        let told: Vec<_> = each
            .map(|router| (router.cut, router.counts.clone()))
            .collect();
        for router in &mut self.routers {
            let heard = told.iter().filter(|(cut, _)| *cut == router.cut);
            for (origin, counts) in heard.flat_map(|(_, counts)| counts) {
                let held = router
                    .counts
                    .entry(*origin)
                    .or_insert_with(|| counts.clone());
                for (held, count) in held.iter_mut().zip(counts) {
                    *held = (*held).max(*count);
                }
            }
        }
        // Time passes at every sidecar, too.
        for server in 0..self.nodes.len() {
            self.nodes[server].admission.tick(self.now);
            self.flush(server);
        }
        self.at(self.shape.lag, Event::Exchange);
    }
}
