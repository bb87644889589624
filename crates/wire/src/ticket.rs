//! What a router sends along with a body.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use mulberryyoke_model::Ticket;

use crate::Error;

/// Request header that carries a packed [`Ticket`].
pub const HEADER: &str = "ticket";

/// Packs a ticket for [`HEADER`].
///
/// # Panics
///
/// Never: every ticket has a packed form.
#[must_use]
pub fn pack(ticket: &Ticket) -> String {
    let bytes = postcard::to_stdvec(ticket).expect("every ticket has a packed form");
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Reads what [`pack`] wrote.
///
/// # Errors
///
/// [`Error::Ticket`] when the text is not a packed ticket.
pub fn unpack(text: &str) -> Result<Ticket, Error> {
    let bytes = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|e| Error::Ticket(e.to_string()))?;
    postcard::from_bytes(&bytes).map_err(|e| Error::Ticket(e.to_string()))
}
