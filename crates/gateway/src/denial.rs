//! Why a request is not sent to a server now.

use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::Rejection;

use crate::refusal::Refusal;

/// Why a request is not sent to a server now.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Denial {
    /// It cannot be sent for a reason other than load.
    Refused(Refusal),
    /// It would miss its latency objective, or its customer is above its share.
    Rejected {
        rejection: Rejection,
        /// Usage of the customer at that time.
        usage: Usage,
    },
}

impl From<Refusal> for Denial {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
