//! Validation of gateway settings and its error messages.

use googletest::prelude::*;
use mulberryyoke_settings::{Role, check, read_gateway};
use serde_json::{Value, json};

use crate::file::{File, check_with};

fn gateway() -> Value {
    json!({
        "name": "entry-1",
        "zone": "a",
        "callers": "127.0.0.1:7001",
        "health": "127.0.0.1:7002",
        "control": "127.0.0.1:7003",
        "store": "127.0.0.1:8781",
    })
}

#[gtest]
fn gateway_role_is_detected() {
    let file = File::new("gateway", &gateway().to_string());
    expect_that!(check(&file.0, None), ok(eq(&Role::Gateway)));
}

#[gtest]
fn invalid_gateway_settings_are_rejected() {
    let table = [
        ("/name", json!(" "), "name: must not be empty"),
        ("/zone", json!(""), "zone: must not be empty"),
        (
            "/health",
            json!("127.0.0.1:7001"),
            "health: 127.0.0.1:7001 is already the address of callers",
        ),
        (
            "/store",
            json!("127.0.0.1:0"),
            "store: 127.0.0.1:0: port must be from",
        ),
        (
            "/keys_fresh_ms",
            json!(0),
            "keys_fresh_ms: 0 is out of range; must be from 1 to 60000",
        ),
        ("/descriptors", json!(12), "descriptors: 12 is out of range"),
        ("/memory_mb", json!(0.5), "memory_mb: 0 is out of range"),
        (
            "/retry_ratio",
            json!(1.5),
            "retry_ratio: must be from 0 to 1",
        ),
        ("/retry_slack", json!(-1), "retry_slack"),
        (
            "/kv_writes_per_s",
            json!(0),
            "kv_writes_per_s: must be more than 0",
        ),
        ("/unknown", json!(1), "unknown field `unknown`"),
    ];
    for (index, (pointer, value, reason)) in table.into_iter().enumerate() {
        let name = format!("gateway-{index}");
        let message = check_with(&name, gateway(), pointer, value);
        expect_that!(message, contains_substring(reason));
    }
}

#[gtest]
fn integer_settings_accept_fractions() {
    // Guards against gateways that fail to start on fractional values from a template.
    let fractional = json!({
        "keys_fresh_ms": 5_000.5,
        "grace_ms": 8.25e3,
        "retry_ratio": 0.2,
        "retry_slack": 36.176_470_588,
        "processors": 0.09,
        "descriptors": 4_100.0,
        "memory_mb": 119.5,
        "kv_writes_per_s": 400.5,
    });
    let mut settings = gateway();
    for (field, value) in fractional.as_object().expect("an object") {
        settings[field] = value.clone();
    }
    let file = File::new("fractions", &settings.to_string());
    let gateway = read_gateway(&file.0).expect("the settings are valid");
    expect_that!(gateway.keys_fresh_ms, some(eq(5_000)));
    expect_that!(gateway.grace_ms, eq(8_250));
    expect_that!(gateway.retry_slack, near(36.176, 0.001));
    expect_that!(gateway.descriptors, eq(4_100));
    expect_that!(gateway.memory_mb, some(eq(119)));
    expect_that!(gateway.kv_writes_per_s, some(eq(400.5)));
}

#[gtest]
fn memory_is_optional() {
    // Guards against platforms without the value: their gateways keep the fixed channels.
    let file = File::new("memory", &gateway().to_string());
    let gateway = read_gateway(&file.0).expect("the settings are valid");
    expect_that!(gateway.memory_mb, none());
    expect_that!(gateway.kv_writes_per_s, none());
}

#[gtest]
fn invalid_gateway_numbers_are_reported() {
    for (field, value, reason) in [
        ("retry_slack", json!(-1), "must not be negative"),
        ("retry_ratio", json!(1.5), "must be from 0 to 1"),
        ("cold_overage", json!(0.5), "must be 1 or more"),
        ("cold_slack", json!(-1), "must not be negative"),
        ("processors", json!(0), "must be more than 0"),
        ("descriptors", json!(12), "12 is out of range"),
        (
            "grace_ms",
            json!(-3),
            "is out of range; must be from 0 to 9e15",
        ),
        ("keys_fresh_ms", json!("soon"), "invalid type"),
        (
            "grace_ms",
            json!(1e300),
            "is out of range; must be from 0 to 9e15",
        ),
    ] {
        let name = format!("gateway-{field}");
        let message = check_with(&name, gateway(), &format!("/{field}"), value);
        expect_that!(message, contains_substring(reason));
    }
}
