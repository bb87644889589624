//! Parsers of option values.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use mulberryyoke_model::{Class, Kind, Route};

/// Default that gumdrop needs for a required address; never used.
pub(crate) const NO_ADDRESS: SocketAddr =
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Minimum length of a bearer key, in bytes.
const MIN_KEY_BYTES: usize = 16;

pub(crate) fn class(text: &str) -> Result<Class, String> {
    Class::parse(text).ok_or_else(|| "expected urgent, normal or deferrable".to_owned())
}

pub(crate) fn kind(text: &str) -> Result<Kind, String> {
    match text {
        "model" => Ok(Kind::Model),
        "service" => Ok(Kind::Service),
        _ => Err("expected model or service".to_owned()),
    }
}

pub(crate) fn name(text: &str) -> Result<String, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-/:".contains(c);
    let first = text.chars().next();
    if text.len() > MAX_NAME_BYTES || !first.is_some_and(|c| c.is_ascii_alphanumeric()) {
        return Err(format!(
            "a name has 1 to {MAX_NAME_BYTES} characters and starts with a letter or digit"
        ));
    }
    if !text.chars().all(allowed) {
        return Err("a name consists of letters, digits and . _ - / :".to_owned());
    }
    Ok(text.to_owned())
}

pub(crate) fn key(text: &str) -> Result<String, String> {
    if text.len() < MIN_KEY_BYTES || !text.chars().all(|c| c.is_ascii_graphic()) {
        return Err(format!(
            "a key has at least {MIN_KEY_BYTES} visible ASCII characters"
        ));
    }
    Ok(text.to_owned())
}

pub(crate) fn positive(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(0) | Err(_) => Err("expected an integer from 1 to 4294967295".to_owned()),
        Ok(number) => Ok(number),
    }
}

/// Parses a route: `METHOD PREFIX repeatable|once COST`.
pub(crate) fn route(text: &str) -> Result<Route, String> {
    const SYNTAX: &str = "expected \"METHOD /PREFIX repeatable|once COST\"";
    let words: Vec<&str> = text.split_whitespace().collect();
    let [method, prefix, repeat, cost] = words[..] else {
        return Err(SYNTAX.to_owned());
    };
    let any_method = method == "*";
    if !any_method && !method.chars().all(|c| c.is_ascii_uppercase()) {
        return Err(format!("{SYNTAX}; METHOD must be uppercase or *"));
    }
    if !prefix.starts_with('/') {
        return Err(format!("{SYNTAX}; PREFIX must start with /"));
    }
    let idempotent = match repeat {
        "repeatable" => true,
        "once" => false,
        _ => return Err(SYNTAX.to_owned()),
    };
    let cost = positive(cost).map_err(|reason| format!("{SYNTAX}; COST: {reason}"))?;
    Ok(Route {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        idempotent,
        cost,
    })
}
