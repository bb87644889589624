//! The sum of what several gateways have.

use mulberryyoke_model::Incarnation;
use serde::{Deserialize, Serialize};

use super::State;

/// A life of a gateway and the number of a message of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageId {
    /// The gateway's life.
    pub origin: Incarnation,
    /// The message's number in that life.
    pub sequence: u32,
}

/// The sum of what several gateways have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sum {
    /// Gateways that it holds.
    pub gateways: u32,
    /// Those of the teller's zone, and what was last heard of each.
    pub members: Vec<MessageId>,
    /// What they have together.
    pub state: State,
}

impl Sum {
    /// Adds what a gateway told.
    pub(super) fn add(&mut self, origin: Incarnation, number: u32, state: &State) {
        self.gateways += 1;
        self.members.push(MessageId {
            origin,
            sequence: number,
        });
        self.state.add(state);
    }
}
