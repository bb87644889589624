//! Names and addresses.

use std::net::SocketAddr;

use super::InvalidField;

/// Rejects an empty or blank string.
pub(crate) fn check_not_empty(field: &str, text: &str) -> Result<(), InvalidField> {
    if text.trim().is_empty() {
        return Err(InvalidField::new(field, "must not be empty"));
    }
    Ok(())
}

/// Rejects an empty list of addresses to connect to, and port 0.
pub(crate) fn check_endpoints(field: &str, addresses: &[SocketAddr]) -> Result<(), InvalidField> {
    if addresses.is_empty() {
        return Err(InvalidField::new(
            field,
            "must not be empty; expected a list of IP:PORT",
        ));
    }
    if let Some(address) = addresses.iter().find(|address| address.port() == 0) {
        let reason = format!("{address}: port must be from 1 to 65535");
        return Err(InvalidField::new(field, reason));
    }
    Ok(())
}

/// Rejects addresses that cannot be bound at the same time. Port 0 binds any free port.
pub(crate) fn check_distinct(addresses: &[(&'static str, SocketAddr)]) -> Result<(), InvalidField> {
    for (index, (field, address)) in addresses.iter().enumerate() {
        let earlier = &addresses[..index];
        if let Some((other, _)) = earlier
            .iter()
            .find(|(_, bound)| conflicts(*bound, *address))
        {
            let reason =
                format!("{address} is already the address of {other}; choose another port");
            return Err(InvalidField::new(*field, reason));
        }
    }
    Ok(())
}

fn conflicts(a: SocketAddr, b: SocketAddr) -> bool {
    let any_interface = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (any_interface || a.ip() == b.ip())
}
