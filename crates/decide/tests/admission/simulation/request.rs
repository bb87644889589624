//! Simulated requests.

use mulberryyoke_decide::admission::{Decision, Termination};
use mulberryyoke_model::{Attempt, Class, Ticket};
use rand::RngExt;

use super::{Event, METER_MS, Simulation, TOKEN_MS};

impl Simulation {
    pub(super) fn arrive(&mut self, router: usize, server: usize, customer: u32, grant: u64) {
        let Some(link) = self.sidecars[server].links.get(&router).copied() else {
            return;
        };
        let interest = self.interest_of(customer);
        if self.rng.random_bool(0.02) {
            self.declined += 1;
            let sidecar = &mut self.sidecars[server];
            sidecar
                .admission
                .declare(link, false, &[interest], self.now);
            sidecar.admission.decline(link, &[grant], self.now);
            return self.deliver(server);
        }
        let cost = self.cost();
        let origin = &mut self.routers[router];
        origin.next += 1;
        let attempt = Attempt {
            origin: origin.incarnation,
            request: origin.next,
            number: 0,
        };
        let ticket = Ticket {
            attempt,
            customer: interest.customer,
            class: Class::Normal,
            deadline: self.now + 60_000,
            hint: 0,
            cost: self.hint(customer, cost),
            grant: Some(grant),
            key: None,
        };
        let sidecar = &mut self.sidecars[server];
        sidecar
            .admission
            .declare(link, false, &[interest], self.now);
        if sidecar.admission.admit(&ticket, self.now) == Decision::Started {
            sidecar
                .remaining
                .insert(attempt, (customer, u64::from(cost)));
            self.started += 1;
            self.schedule(METER_MS, Event::Progress { server, attempt });
        }
        self.deliver(server);
    }

    /// Approximately log-normal with a mean of about 430 tokens.
    fn cost(&mut self) -> u32 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let cost = (5.7 + 0.85 * normal).exp();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "positive"
        )]
        let cost = cost.clamp(10.0, 4_000.0) as u32;
        cost
    }

    pub(super) fn progress(&mut self, server: usize, attempt: Attempt) {
        let sidecar = &mut self.sidecars[server];
        let Some((customer, remaining)) = sidecar.remaining.get_mut(&attempt) else {
            return;
        };
        let tokens = (METER_MS / TOKEN_MS).min(*remaining);
        *remaining -= tokens;
        self.service[*customer as usize] += tokens;
        let done = *remaining == 0;
        sidecar.admission.meter(attempt, tokens);
        if !done {
            return self.schedule(METER_MS, Event::Progress { server, attempt });
        }
        sidecar.remaining.remove(&attempt);
        sidecar
            .admission
            .end(attempt, Termination::Complete(None), self.now);
        self.deliver(server);
    }
}
