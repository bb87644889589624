//! Values of options.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use mulberryyoke_model::{Class, Kind, Route};

/// Stands for an address until a required option has given it.
pub(crate) const NO_ADDRESS: SocketAddr =
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// Longest name, in bytes.
const MAX_NAME: usize = 128;

/// Shortest bearer key, in bytes.
const MIN_KEY: usize = 16;

/// Reads a class.
pub(crate) fn class(text: &str) -> Result<Class, String> {
    Class::parse(text).ok_or_else(|| "allowed are urgent, normal and deferrable".to_owned())
}

/// Reads the kind of a pool.
pub(crate) fn kind(text: &str) -> Result<Kind, String> {
    match text {
        "model" => Ok(Kind::Model),
        "service" => Ok(Kind::Service),
        _ => Err("allowed are model and service".to_owned()),
    }
}

/// Reads a name.
pub(crate) fn name(text: &str) -> Result<String, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-/:".contains(c);
    let first = text.chars().next();
    if text.len() > MAX_NAME || !first.is_some_and(|c| c.is_ascii_alphanumeric()) {
        return Err(format!(
            "a name has 1 to {MAX_NAME} characters and starts with a letter or digit"
        ));
    }
    if !text.chars().all(allowed) {
        return Err("a name consists of letters, digits and . _ - / :".to_owned());
    }
    Ok(text.to_owned())
}

/// Reads a bearer key.
pub(crate) fn key(text: &str) -> Result<String, String> {
    if text.len() < MIN_KEY || !text.chars().all(|c| c.is_ascii_graphic()) {
        return Err(format!(
            "a key has at least {MIN_KEY} visible ASCII characters"
        ));
    }
    Ok(text.to_owned())
}

/// Reads a positive number.
pub(crate) fn positive(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(0) | Err(_) => Err("allowed are whole numbers from 1 to 4294967295".to_owned()),
        Ok(number) => Ok(number),
    }
}

/// Reads a route: `METHOD PREFIX repeatable|once COST`.
pub(crate) fn route(text: &str) -> Result<Route, String> {
    const FORM: &str = "a route is written \"METHOD /PREFIX repeatable|once COST\"";
    let words: Vec<&str> = text.split_whitespace().collect();
    let [method, prefix, repeat, cost] = words[..] else {
        return Err(FORM.to_owned());
    };
    let any = method == "*";
    if !any && !method.chars().all(|c| c.is_ascii_uppercase()) {
        return Err(format!("{FORM}; METHOD is in upper case or *"));
    }
    if !prefix.starts_with('/') {
        return Err(format!("{FORM}; PREFIX starts with /"));
    }
    let idempotent = match repeat {
        "repeatable" => true,
        "once" => false,
        _ => return Err(FORM.to_owned()),
    };
    let cost = positive(cost).map_err(|reason| format!("{FORM}; COST: {reason}"))?;
    Ok(Route {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        idempotent,
        cost,
    })
}
