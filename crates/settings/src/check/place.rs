//! Names and addresses.

use std::net::SocketAddr;

use super::Fault;

/// Refuses an empty text.
pub(crate) fn filled(field: &str, text: &str) -> Result<(), Fault> {
    if text.trim().is_empty() {
        return Err(Fault::new(field, "must not be empty"));
    }
    Ok(())
}

/// Refuses an empty list of addresses to connect to, and port 0 in it.
pub(crate) fn reachable(field: &str, addresses: &[SocketAddr]) -> Result<(), Fault> {
    if addresses.is_empty() {
        return Err(Fault::new(
            field,
            "must not be empty; allowed is a list of IP:PORT",
        ));
    }
    if let Some(address) = addresses.iter().find(|address| address.port() == 0) {
        let reason = format!("{address}: allowed are ports 1 to 65535");
        return Err(Fault::new(field, reason));
    }
    Ok(())
}

/// Refuses two addresses that cannot be listened on at once. Port 0 stands for
/// any free port.
pub(crate) fn apart(addresses: &[(&'static str, SocketAddr)]) -> Result<(), Fault> {
    for (index, (field, address)) in addresses.iter().enumerate() {
        let earlier = &addresses[..index];
        if let Some((other, _)) = earlier.iter().find(|(_, taken)| clash(*taken, *address)) {
            let reason = format!("{address} is the address of {other}; allowed is another port");
            return Err(Fault::new(*field, reason));
        }
    }
    Ok(())
}

fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    let everywhere = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (everywhere || a.ip() == b.ip())
}
