//! Validation of value ranges and of values that depend on each other.

mod address;
mod range;

use std::collections::HashSet;

use mulberryyoke_model::KeyHash;

use crate::{Gateway, Limits, Operator, Router, Sidecar};

use self::address::{check_distinct, check_endpoints, check_not_empty};
use self::range::check_range;

/// Maximum interval between exchanges or heartbeats, in milliseconds.
const MAX_PERIOD_MS: u64 = 60_000;

/// Maximum duration of a planned shutdown, in milliseconds.
const MAX_DRAIN_MS: u64 = 3_600_000;

/// Maximum retention of idempotency keys, in milliseconds.
const MAX_RETENTION_MS: u64 = 86_400_000;

/// Minimum number of file descriptors of a gateway, in addition to those for files.
const MIN_DESCRIPTORS: u64 = 256;

/// Maximum memory of a gateway, in megabytes: one terabyte.
const MAX_MEMORY_MB: u64 = 1 << 20;

/// Number of hexadecimal digits of a key hash.
const HASH_HEX_DIGITS: usize = 64;

/// Field with an invalid value.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct InvalidField {
    pub(crate) field: String,
    pub(crate) reason: String,
}

impl InvalidField {
    fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// Validates the settings of a gateway.
pub(crate) fn gateway(gateway: &Gateway) -> Result<(), InvalidField> {
    check_not_empty("name", &gateway.name)?;
    check_not_empty("zone", &gateway.zone)?;
    let mut addresses = vec![
        ("callers", gateway.callers),
        ("health", gateway.health),
        ("control", gateway.control),
    ];
    addresses.extend(gateway.handoff.map(|address| ("handoff", address)));
    check_distinct(&addresses)?;
    check_endpoints("store", &[gateway.store])?;
    if let Some(fresh_ms) = gateway.keys_fresh_ms {
        check_range("keys_fresh_ms", fresh_ms, 1..=MAX_PERIOD_MS)?;
    }
    check_range("grace_ms", gateway.grace_ms, 0..=MAX_DRAIN_MS)?;
    let max = u64::from(u32::MAX);
    check_range("descriptors", gateway.descriptors, MIN_DESCRIPTORS..=max)?;
    if let Some(memory_mb) = gateway.memory_mb {
        check_range("memory_mb", memory_mb, 1..=MAX_MEMORY_MB)?;
    }
    if gateway.retry_slack < 0.0 {
        return Err(InvalidField::new("retry_slack", "must not be negative"));
    }
    if gateway.cold_overage < 1.0 {
        return Err(InvalidField::new("cold_overage", "must be 1 or more"));
    }
    if gateway.cold_slack < 0.0 {
        return Err(InvalidField::new("cold_slack", "must not be negative"));
    }
    if gateway.kv_writes_per_s.is_some_and(|rate| rate <= 0.0) {
        return Err(InvalidField::new("kv_writes_per_s", "must be more than 0"));
    }
    if gateway.processors <= 0.0 {
        return Err(InvalidField::new("processors", "must be more than 0"));
    }
    if !(0.0..=1.0).contains(&gateway.retry_ratio) {
        return Err(InvalidField::new("retry_ratio", "must be from 0 to 1"));
    }
    Ok(())
}

/// Validates the settings of a router.
pub(crate) fn router(router: &Router) -> Result<(), InvalidField> {
    check_not_empty("name", &router.name)?;
    check_not_empty("zone", &router.zone)?;
    check_distinct(&[
        ("callers", router.callers),
        ("operators", router.operators),
        ("control", router.control),
    ])?;
    check_endpoints("kv", &router.kv)?;
    check_endpoints("vms", &[router.vms])?;
    check_prefix(&router.prefix)?;
    check_operators(&router.operator_keys)?;
    check_limits(&router.limits)?;
    check_range("exchange_ms", router.exchange_ms, 1..=MAX_PERIOD_MS)?;
    check_range("heartbeat_ms", router.heartbeat_ms, 1..=MAX_PERIOD_MS)?;
    check_range("drain_ms", router.drain_ms, 0..=MAX_DRAIN_MS)?;
    check_range("retention_ms", router.retention_ms, 1..=MAX_RETENTION_MS)?;
    if router.retention_ms < router.limits.deadline_ms {
        let reason =
            "must not be below limits.deadline_ms, or keys of waiting requests would expire";
        return Err(InvalidField::new("retention_ms", reason));
    }
    Ok(())
}

/// Validates the settings of a sidecar.
pub(crate) fn sidecar(sidecar: &Sidecar) -> Result<(), InvalidField> {
    check_not_empty("name", &sidecar.name)?;
    check_not_empty("zone", &sidecar.zone)?;
    check_not_empty("pool", &sidecar.pool)?;
    check_distinct(&[
        ("control", sidecar.control),
        ("data", sidecar.data),
        ("status", sidecar.status),
        ("backend", sidecar.backend),
    ])?;
    check_endpoints("backend", &[sidecar.backend])?;
    check_endpoints("kv", &sidecar.kv)?;
    check_prefix(&sidecar.prefix)?;
    check_range("slots", u64::from(sidecar.slots), 1..=u64::from(u16::MAX))?;
    check_range("drain_ms", sidecar.drain_ms, 0..=MAX_DRAIN_MS)?;
    check_range("retention_ms", sidecar.retention_ms, 1..=MAX_RETENTION_MS)
}

fn check_prefix(prefix: &str) -> Result<(), InvalidField> {
    if prefix.starts_with('/') && prefix.ends_with('/') {
        return Ok(());
    }
    Err(InvalidField::new("prefix", "must start and end with /"))
}

fn check_operators(operators: &[Operator]) -> Result<(), InvalidField> {
    let mut names = HashSet::new();
    let mut keys = HashSet::new();
    for (index, operator) in operators.iter().enumerate() {
        let name = format!("operator_keys[{index}].name");
        check_not_empty(&name, &operator.name)?;
        if !names.insert(&operator.name) {
            return Err(InvalidField::new(
                name,
                "duplicate; each operator must have a unique name",
            ));
        }
        let key = format!("operator_keys[{index}].key");
        if !is_hash(&operator.key) {
            let reason = "must be the SHA-256 of the key: 64 lowercase hexadecimal digits";
            return Err(InvalidField::new(key, reason));
        }
        if !keys.insert(&operator.key) {
            return Err(InvalidField::new(
                key,
                "duplicate; each operator must have a unique key",
            ));
        }
    }
    Ok(())
}

fn is_hash(hash: &KeyHash) -> bool {
    let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    hash.0.len() == HASH_HEX_DIGITS && hash.0.chars().all(digit)
}

fn check_limits(limits: &Limits) -> Result<(), InvalidField> {
    let u32_max = u64::from(u32::MAX);
    let body_bytes = u64::try_from(limits.body_bytes).unwrap_or(u64::MAX);
    check_range("limits.body_bytes", body_bytes, 1..=1 << 30)?;
    let queue = u64::from(limits.queue_per_customer);
    check_range(
        "limits.queue_per_customer",
        queue,
        1..=u64::from(limits.queue_total),
    )?;
    check_range(
        "limits.queue_total",
        u64::from(limits.queue_total),
        1..=u32_max,
    )?;
    check_range(
        "limits.connections",
        u64::from(limits.connections),
        1..=u32_max,
    )?;
    check_range("limits.head_ms", limits.head_ms, 1..=MAX_PERIOD_MS)?;
    check_range("limits.stall_ms", limits.stall_ms, 1..=MAX_DRAIN_MS)?;
    check_range(
        "limits.deadline_ms",
        limits.deadline_ms,
        1..=MAX_RETENTION_MS,
    )?;
    check_range(
        "limits.retry_percent",
        u64::from(limits.retry_percent),
        0..=100,
    )?;
    check_range("limits.subset", u64::from(limits.subset), 1..=u32_max)
}
