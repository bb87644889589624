//! Checks of values that belong together or have bounds.

mod bound;
mod place;

use std::collections::HashSet;

use mulberryyoke_model::KeyHash;

use crate::{Gateway, Limits, Operator, Router, Sidecar};

use self::bound::within;
use self::place::{apart, filled, reachable};

/// Longest time between exchanges or heartbeats, in milliseconds.
const MAX_PERIOD_MS: u64 = 60_000;

/// Longest time of a planned stop, in milliseconds.
const MAX_DRAIN_MS: u64 = 3_600_000;

/// Longest time that keys are remembered, in milliseconds.
const MAX_RETENTION_MS: u64 = 86_400_000;

/// Fewest file descriptors with which a gateway can serve, beside those for files.
const MIN_DESCRIPTORS: u64 = 256;

/// Digits of a key's hash.
const HASH_DIGITS: usize = 64;

/// What is wrong with a field.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) field: String,
    pub(crate) reason: String,
}

impl Fault {
    fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// Checks a gateway's settings.
pub(crate) fn gateway(gateway: &Gateway) -> Result<(), Fault> {
    filled("name", &gateway.name)?;
    filled("zone", &gateway.zone)?;
    let mut addresses = vec![
        ("callers", gateway.callers),
        ("health", gateway.health),
        ("control", gateway.control),
    ];
    addresses.extend(gateway.handoff.map(|address| ("handoff", address)));
    apart(&addresses)?;
    reachable("store", &[gateway.store])?;
    if let Some(fresh_ms) = gateway.keys_fresh_ms {
        within("keys_fresh_ms", fresh_ms, 1..=MAX_PERIOD_MS)?;
    }
    within("grace_ms", gateway.grace_ms, 0..=MAX_DRAIN_MS)?;
    let most = u64::from(u32::MAX);
    within("descriptors", gateway.descriptors, MIN_DESCRIPTORS..=most)?;
    if gateway.retry_slack < 0.0 {
        return Err(Fault::new("retry_slack", "must not be negative"));
    }
    if gateway.cold_overage < 1.0 {
        return Err(Fault::new("cold_overage", "must be 1 or more"));
    }
    if gateway.cold_slack < 0.0 {
        return Err(Fault::new("cold_slack", "must not be negative"));
    }
    if gateway.processors <= 0.0 {
        return Err(Fault::new("processors", "must be more than 0"));
    }
    if !(0.0..=1.0).contains(&gateway.retry_ratio) {
        return Err(Fault::new("retry_ratio", "must be from 0 to 1"));
    }
    Ok(())
}

/// Checks a router's settings.
pub(crate) fn router(router: &Router) -> Result<(), Fault> {
    filled("name", &router.name)?;
    filled("zone", &router.zone)?;
    apart(&[
        ("callers", router.callers),
        ("operators", router.operators),
        ("control", router.control),
    ])?;
    reachable("kv", &router.kv)?;
    reachable("vms", &[router.vms])?;
    prefix(&router.prefix)?;
    operators(&router.operator_keys)?;
    limits(&router.limits)?;
    within("exchange_ms", router.exchange_ms, 1..=MAX_PERIOD_MS)?;
    within("heartbeat_ms", router.heartbeat_ms, 1..=MAX_PERIOD_MS)?;
    within("drain_ms", router.drain_ms, 0..=MAX_DRAIN_MS)?;
    within("retention_ms", router.retention_ms, 1..=MAX_RETENTION_MS)?;
    if router.retention_ms < router.limits.deadline_ms {
        let reason =
            "must not be below limits.deadline_ms: keys of waiting requests would be forgotten";
        return Err(Fault::new("retention_ms", reason));
    }
    Ok(())
}

/// Checks a sidecar's settings.
pub(crate) fn sidecar(sidecar: &Sidecar) -> Result<(), Fault> {
    filled("name", &sidecar.name)?;
    filled("zone", &sidecar.zone)?;
    filled("pool", &sidecar.pool)?;
    apart(&[
        ("control", sidecar.control),
        ("data", sidecar.data),
        ("status", sidecar.status),
        ("backend", sidecar.backend),
    ])?;
    reachable("backend", &[sidecar.backend])?;
    reachable("kv", &sidecar.kv)?;
    prefix(&sidecar.prefix)?;
    within("slots", u64::from(sidecar.slots), 1..=u64::from(u16::MAX))?;
    within("drain_ms", sidecar.drain_ms, 0..=MAX_DRAIN_MS)?;
    within("retention_ms", sidecar.retention_ms, 1..=MAX_RETENTION_MS)
}

fn prefix(prefix: &str) -> Result<(), Fault> {
    if prefix.starts_with('/') && prefix.ends_with('/') {
        return Ok(());
    }
    Err(Fault::new("prefix", "must begin and end with /"))
}

fn operators(operators: &[Operator]) -> Result<(), Fault> {
    let mut names = HashSet::new();
    let mut keys = HashSet::new();
    for (index, operator) in operators.iter().enumerate() {
        let name = format!("operator_keys[{index}].name");
        filled(&name, &operator.name)?;
        if !names.insert(&operator.name) {
            return Err(Fault::new(
                name,
                "stands twice; each operator has a name of its own",
            ));
        }
        let key = format!("operator_keys[{index}].key");
        if !is_hash(&operator.key) {
            let reason = "must be the SHA-256 of the key: 64 lower-case hexadecimal digits";
            return Err(Fault::new(key, reason));
        }
        if !keys.insert(&operator.key) {
            return Err(Fault::new(
                key,
                "stands twice; each operator has a key of its own",
            ));
        }
    }
    Ok(())
}

fn is_hash(hash: &KeyHash) -> bool {
    let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    hash.0.len() == HASH_DIGITS && hash.0.chars().all(digit)
}

fn limits(limits: &Limits) -> Result<(), Fault> {
    let u32_max = u64::from(u32::MAX);
    let body_bytes = u64::try_from(limits.body_bytes).unwrap_or(u64::MAX);
    within("limits.body_bytes", body_bytes, 1..=1 << 30)?;
    let queue = u64::from(limits.queue_per_customer);
    within(
        "limits.queue_per_customer",
        queue,
        1..=u64::from(limits.queue_total),
    )?;
    within(
        "limits.queue_total",
        u64::from(limits.queue_total),
        1..=u32_max,
    )?;
    within(
        "limits.connections",
        u64::from(limits.connections),
        1..=u32_max,
    )?;
    within("limits.head_ms", limits.head_ms, 1..=MAX_PERIOD_MS)?;
    within("limits.stall_ms", limits.stall_ms, 1..=MAX_RETENTION_MS)?;
    within("limits.stall_ms", limits.stall_ms, 1..=MAX_DRAIN_MS)?;
    within(
        "limits.deadline_ms",
        limits.deadline_ms,
        1..=MAX_RETENTION_MS,
    )?;
    within(
        "limits.retry_percent",
        u64::from(limits.retry_percent),
        0..=100,
    )?;
    within("limits.subset", u64::from(limits.subset), 1..=u32_max)
}
