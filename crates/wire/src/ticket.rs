//! Encoding of request tickets in an HTTP header.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use mulberryyoke_model::Ticket;

use crate::Error;

/// Request header that carries an encoded [`Ticket`].
pub const HEADER: &str = "ticket";

/// Encodes a ticket as a value of [`HEADER`].
///
/// # Panics
///
/// Never: serialization of a ticket cannot fail.
#[must_use]
pub fn pack(ticket: &Ticket) -> String {
    let bytes = postcard::to_stdvec(ticket).expect("serialization of a ticket cannot fail");
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes a value of [`HEADER`].
///
/// # Errors
///
/// [`Error::Ticket`] if the text is not an encoded ticket.
pub fn unpack(text: &str) -> Result<Ticket, Error> {
    let bytes = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|error| Error::Ticket(error.to_string()))?;
    postcard::from_bytes(&bytes).map_err(|error| Error::Ticket(error.to_string()))
}
