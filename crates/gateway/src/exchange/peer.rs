//! A peer as its beats show it.

use std::collections::HashMap;

use mulberryyoke_decide::engine::Load;
use mulberryyoke_decide::share::Flow;
use mulberryyoke_model::{CustomerId, ServerId};
use mulberryyoke_wire::beat::{Beat, Server};
use tokio::time::Instant;

use crate::clock;

/// A peer as its beats show it.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    number: u32,
    heard: Option<Instant>,
    loads: HashMap<ServerId, Load>,
    sent: HashMap<ServerId, u32>,
    customers: HashMap<CustomerId, Flow>,
}

impl Peer {
    /// Takes a beat in, and returns the loads that it replaces; `None` if a later
    /// one has come before it.
    pub(crate) fn hear(&mut self, beat: &Beat, now: Instant) -> Option<HashMap<ServerId, Load>> {
        if self.heard.is_some() && beat.number <= self.number {
            return None;
        }
        self.number = beat.number;
        self.heard = Some(now);
        let loads = beat.servers.iter().map(|s| (s.id, s.load)).collect();
        let before = std::mem::replace(&mut self.loads, loads);
        if !beat.customers.is_empty() {
            let customers = beat.customers.iter().map(|customer| {
                let (asked, given) = (customer.asked, customer.given);
                let flow = Flow {
                    asked: f64::from(asked),
                    given: f64::from(given),
                };
                (customer.id, flow)
            });
            self.customers = customers.collect();
        }
        Some(before)
    }

    /// What customers asked of it and were given by it.
    pub(crate) fn customers(&self) -> impl Iterator<Item = (CustomerId, Flow)> {
        self.customers
            .iter()
            .map(|(&customer, &flow)| (customer, flow))
    }

    /// Tokens sent to a server since the beat before.
    pub(crate) fn sent(&mut self, server: &Server) -> u32 {
        let before = self.sent.insert(server.id, server.sent);
        before.map_or(0, |before| server.sent.wrapping_sub(before))
    }

    /// What it has at a server.
    pub(crate) fn load(&self, server: ServerId) -> Load {
        self.loads.get(&server).copied().unwrap_or_default()
    }

    /// Time since its last beat, in milliseconds.
    pub(crate) fn age_ms(&self, now: Instant) -> u64 {
        self.heard.map_or(0, |heard| clock::between_ms(heard, now))
    }
}
