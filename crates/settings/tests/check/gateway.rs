//! What settings of a gateway are refused, and with which words.

use googletest::prelude::*;
use mulberryyoke_settings::{Role, check, read_gateway};
use serde_json::{Value, json};

use crate::file::{File, said};

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
fn a_gateways_settings_are_found_out_and_accepted() {
    let file = File::new("gateway", &gateway().to_string());
    expect_that!(check(&file.0, None), ok(eq(&Role::Gateway)));
}

#[gtest]
fn a_gateways_wrong_values_are_refused() {
    let table = [
        ("/name", json!(" "), "name: must not be empty"),
        ("/zone", json!(""), "zone: must not be empty"),
        (
            "/health",
            json!("127.0.0.1:7001"),
            "health: 127.0.0.1:7001 is the address of callers",
        ),
        (
            "/store",
            json!("127.0.0.1:0"),
            "store: 127.0.0.1:0: allowed are ports",
        ),
        (
            "/keys_fresh_ms",
            json!(0),
            "keys_fresh_ms: 0 is not allowed; allowed are 1 to 60000",
        ),
        ("/descriptors", json!(12), "descriptors: 12 is not allowed"),
        (
            "/retry_ratio",
            json!(1.5),
            "retry_ratio: must be from 0 to 1",
        ),
        ("/retry_slack", json!(-1), "retry_slack"),
        ("/unknown", json!(1), "unknown field `unknown`"),
    ];
    for (index, (pointer, value, text)) in table.into_iter().enumerate() {
        let name = format!("gateway-{index}");
        let said = said(&name, gateway(), pointer, value);
        expect_that!(said, contains_substring(text));
    }
}

#[gtest]
fn what_a_platform_fills_in_may_have_a_fraction() {
    // A fleet played at a part of its size has such bounds; every gateway ended at its start.
    let filled = json!({
        "keys_fresh_ms": 5_000.5,
        "grace_ms": 8.25e3,
        "retry_ratio": 0.2,
        "retry_slack": 36.176_470_588,
        "processors": 0.09,
        "descriptors": 4_100.0,
    });
    let mut settings = gateway();
    for (field, value) in filled.as_object().expect("an object") {
        settings[field] = value.clone();
    }
    let file = File::new("fractions", &settings.to_string());
    let gateway = read_gateway(&file.0).expect("the settings are good");
    expect_that!(gateway.keys_fresh_ms, some(eq(5_000)));
    expect_that!(gateway.grace_ms, eq(8_250));
    expect_that!(gateway.retry_slack, near(36.176, 0.001));
    expect_that!(gateway.descriptors, eq(4_100));
}

#[gtest]
fn says_what_is_wrong_with_a_gateways_numbers() {
    for (field, value, why) in [
        ("retry_slack", json!(-1), "must not be negative"),
        ("retry_ratio", json!(1.5), "must be from 0 to 1"),
        ("cold_overage", json!(0.5), "must be 1 or more"),
        ("cold_slack", json!(-1), "must not be negative"),
        ("processors", json!(0), "must be more than 0"),
        ("descriptors", json!(12), "12 is not allowed"),
        ("grace_ms", json!(-3), "is no number of this setting"),
        ("keys_fresh_ms", json!("soon"), "invalid type"),
        ("grace_ms", json!(1e300), "is no number of this setting"),
    ] {
        let name = format!("gateway-{field}");
        let text = said(&name, gateway(), &format!("/{field}"), value);
        expect_that!(text, contains_substring(why));
    }
}
