//! What a router sends along with a body.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use mulberryyoke_model::{Attempt, Class, CustomerId, KeyId, Millis};
use serde::{Deserialize, Serialize};

use crate::Error;

/// Request header that carries a [`Ticket`].
pub const HEADER: &str = "ticket";

/// Everything a sidecar needs to know of a request besides its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Which attempt this is.
    pub attempt: Attempt,
    /// Whose request it is.
    pub customer: CustomerId,
    /// Its urgency.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// The caller's rough hint of the cost, in tokens; 0 for none.
    pub hint: u32,
    /// Estimated cost in tokens, charged at the start.
    pub cost: u32,
    /// The reserved slot it uses, if any.
    pub grant: Option<u64>,
    /// Key of a request that must run at most once.
    pub key: Option<KeyId>,
}

impl Ticket {
    /// Packs the ticket for [`HEADER`].
    ///
    /// # Panics
    ///
    /// Never: every ticket has a packed form.
    #[must_use]
    pub fn pack(&self) -> String {
        let bytes = postcard::to_stdvec(self).expect("every ticket has a packed form");
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads what [`Ticket::pack`] wrote.
    ///
    /// # Errors
    ///
    /// [`Error::Ticket`] when the text is not a packed ticket.
    pub fn unpack(text: &str) -> Result<Self, Error> {
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|e| Error::Ticket(e.to_string()))?;
        postcard::from_bytes(&bytes).map_err(|e| Error::Ticket(e.to_string()))
    }
}
