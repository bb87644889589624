//! Requests of a run.

use mulberryyoke_decide::admission::{Decision, Termination};
use mulberryyoke_model::{Attempt, Class, Ticket};
use rand::RngExt;

use super::{Event, METER, TOKEN, World};

impl World {
    pub(super) fn arrive(&mut self, router: usize, server: usize, customer: u32, grant: u64) {
        let Some(link) = self.nodes[server].links.get(&router).copied() else {
            return;
        };
        let interest = self.interest_of(customer);
        if self.rng.random_bool(0.02) {
            self.declined += 1;
            let node = &mut self.nodes[server];
            node.admission.declare(link, false, &[interest], self.now);
            node.admission.decline(link, &[grant], self.now);
            return self.flush(server);
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
        let node = &mut self.nodes[server];
        node.admission.declare(link, false, &[interest], self.now);
        if node.admission.admit(&ticket, self.now) == Decision::Started {
            node.left.insert(attempt, (customer, u64::from(cost)));
            self.started += 1;
            self.at(METER, Event::Progress { server, attempt });
        }
        self.flush(server);
    }

    /// Log-normal with a mean near 430 tokens.
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
        let node = &mut self.nodes[server];
        let Some((customer, left)) = node.left.get_mut(&attempt) else {
            return;
        };
        let tokens = (METER / TOKEN).min(*left);
        *left -= tokens;
        self.service[*customer as usize] += tokens;
        let done = *left == 0;
        node.admission.meter(attempt, tokens);
        if !done {
            return self.at(METER, Event::Progress { server, attempt });
        }
        node.left.remove(&attempt);
        node.admission
            .end(attempt, Termination::Complete(None), self.now);
        self.flush(server);
    }
}
