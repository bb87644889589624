//! Sum of the state of several gateways.

use mulberryyoke_model::Incarnation;
use serde::{Deserialize, Serialize};

use super::State;

/// Identifies a message of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageId {
    /// The gateway's incarnation.
    pub origin: Incarnation,
    /// Sequence number within the incarnation.
    pub sequence: u32,
}

/// Sum of the state of several gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sum {
    /// Number of gateways included.
    pub gateways: u32,
    /// Latest included message of each gateway in the sender's zone.
    pub members: Vec<MessageId>,
    /// Their combined state.
    pub state: State,
}

impl Sum {
    /// Adds the state of one gateway.
    pub(super) fn add(&mut self, origin: Incarnation, sequence: u32, state: &State) {
        self.gateways += 1;
        self.members.push(MessageId { origin, sequence });
        self.state.add(state);
    }
}
