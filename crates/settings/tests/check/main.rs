//! Validation of settings and its error messages.

mod file;
mod gateway;

use std::fs;
use std::path::PathBuf;

use googletest::prelude::*;
use mulberryyoke_settings::{Role, check};
use serde_json::{Value, json};

use crate::file::{File, check_with};

fn router() -> Value {
    json!({
        "name": "entry-1",
        "zone": "a",
        "callers": "127.0.0.1:7001",
        "operators": "127.0.0.1:7003",
        "control": "127.0.0.1:7002",
        "kv": ["127.0.0.1:2379"],
        "vms": "127.0.0.1:7900",
        "operator_keys": [{"name": "noor", "key": "a".repeat(64)}],
    })
}

fn sidecar() -> Value {
    json!({
        "name": "m-1",
        "zone": "a",
        "pool": "falcon-7b",
        "kind": "model",
        "control": "127.0.0.1:7100",
        "data": "127.0.0.1:7101",
        "status": "127.0.0.1:7102",
        "backend": "127.0.0.1:8000",
        "slots": 8,
        "kv": ["127.0.0.1:2379"],
    })
}

#[gtest]
fn valid_settings_of_both_roles_are_accepted() {
    for (settings, role) in [(router(), Role::Router), (sidecar(), Role::Sidecar)] {
        let file = File::new(&role.to_string(), &settings.to_string());
        expect_that!(check(&file.0, None), ok(eq(&role)));
        expect_that!(check(&file.0, Some(role)), ok(eq(&role)));
    }
}

#[gtest]
fn invalid_router_settings_are_rejected() {
    let duplicate_names = json!([
        {"name": "noor", "key": "a".repeat(64)},
        {"name": "noor", "key": "b".repeat(64)},
    ]);
    let duplicate_keys = json!([
        {"name": "noor", "key": "a".repeat(64)},
        {"name": "amal", "key": "a".repeat(64)},
    ]);
    let table = [
        (
            "/port",
            json!(1),
            "port: unknown field `port`, expected one of `name`",
        ),
        (
            "/name",
            json!(7),
            "name: invalid type: integer `7`, expected a string",
        ),
        ("/name", json!(" "), "name: must not be empty"),
        (
            "/callers",
            json!("here:1"),
            "callers: invalid socket address",
        ),
        (
            "/control",
            json!("127.0.0.1:7001"),
            "control: 127.0.0.1:7001 is already the address of callers",
        ),
        (
            "/operators",
            json!("0.0.0.0:7001"),
            "operators: 0.0.0.0:7001 is already the address of callers",
        ),
        (
            "/kv",
            json!([]),
            "kv: must not be empty; expected a list of IP:PORT",
        ),
        (
            "/kv",
            json!(["127.0.0.1:0"]),
            "kv: 127.0.0.1:0: port must be from 1 to 65535",
        ),
        (
            "/prefix",
            json!("/mulberryyoke"),
            "prefix: must start and end with /",
        ),
        (
            "/exchange_ms",
            json!(0),
            "exchange_ms: 0 is out of range; must be from 1 to 60000",
        ),
        (
            "/heartbeat_ms",
            json!(60001),
            "heartbeat_ms: 60001 is out of range",
        ),
        (
            "/retention_ms",
            json!(1000),
            "retention_ms: must not be below limits.deadline_ms",
        ),
        (
            "/policy",
            json!("first"),
            "policy: unknown variant `first`, expected `fair` or `baseline`",
        ),
        (
            "/limits",
            json!({"subset": 0}),
            "limits.subset: 0 is out of range",
        ),
        (
            "/limits",
            json!({"queue": 1}),
            "limits.queue: unknown field `queue`",
        ),
        (
            "/limits",
            json!({"retry_percent": 101}),
            "limits.retry_percent: 101 is out of range",
        ),
        (
            "/limits",
            json!({"queue_per_customer": 9, "queue_total": 8}),
            "limits.queue_per_customer: 9 is out of range; must be from 1 to 8",
        ),
        (
            "/operator_keys/0/key",
            json!("A".repeat(64)),
            "operator_keys[0].key: must be the SHA-256",
        ),
        (
            "/operator_keys",
            duplicate_names,
            "operator_keys[1].name: duplicate",
        ),
        (
            "/operator_keys",
            duplicate_keys,
            "operator_keys[1].key: duplicate",
        ),
    ];
    for (row, (pointer, value, reason)) in table.into_iter().enumerate() {
        let message = check_with(&format!("router-{row}"), router(), pointer, value);
        expect_that!(message, contains_substring(reason));
    }
}

#[gtest]
fn invalid_sidecar_settings_are_rejected() {
    let table = [
        (
            "/slots",
            json!(0),
            "slots: 0 is out of range; must be from 1 to 65535",
        ),
        (
            "/slots",
            json!("8"),
            "slots: invalid type: string \"8\", expected u32",
        ),
        (
            "/kind",
            json!("engine"),
            "kind: unknown variant `engine`, expected `model` or `service`",
        ),
        (
            "/data",
            json!("127.0.0.1:8000"),
            "backend: 127.0.0.1:8000 is already the address of data",
        ),
        (
            "/backend",
            json!("127.0.0.1:0"),
            "backend: 127.0.0.1:0: port must be from 1 to 65535",
        ),
        ("/pool", json!(""), "pool: must not be empty"),
    ];
    for (row, (pointer, value, reason)) in table.into_iter().enumerate() {
        let message = check_with(&format!("sidecar-{row}"), sidecar(), pointer, value);
        expect_that!(message, contains_substring(reason));
    }
}

#[gtest]
fn unreadable_and_malformed_files_are_rejected() {
    let missing = PathBuf::from("/nowhere/settings.json");
    let message = check(&missing, None)
        .expect_err("the file does not exist")
        .to_string();
    expect_that!(
        message,
        starts_with("could not read settings: /nowhere/settings.json: ")
    );
    for (name, text) in [
        ("truncated", "{\"name\": "),
        ("twice", "{} {}"),
        ("empty", ""),
    ] {
        let file = File::new(name, text);
        let message = check(&file.0, None)
            .expect_err("the file is not valid JSON")
            .to_string();
        expect_that!(message, starts_with("could not parse settings: "));
    }
}

/// Returns the fields that the error for an unknown field lists.
fn known_fields(settings: &Value) -> Vec<String> {
    let file = File::new(
        &settings["name"].to_string().replace('"', ""),
        &settings.to_string(),
    );
    let message = check(&file.0, None)
        .expect_err("a field is unknown")
        .to_string();
    let (_, listed) = message
        .split_once("expected one of ")
        .expect("the error lists the fields");
    let quoted = listed.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

#[gtest]
fn every_field_is_documented() {
    let page = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/operating/settings.md");
    let page = fs::read_to_string(page).expect("the page is readable");
    let (routers, rest) = page
        .split_once("## Limits")
        .expect("the page has a section on limits");
    let (limits, sidecars) = rest
        .split_once("## Sidecar")
        .expect("the page has a section on sidecars");
    let mut limits_settings = router();
    limits_settings["limits"] = json!({"unknown": 1});
    let mut router_settings = router();
    router_settings["unknown"] = json!(1);
    let mut sidecar_settings = sidecar();
    sidecar_settings["unknown"] = json!(1);
    for (section, prefix, settings) in [
        (routers, "", router_settings),
        (limits, "limits.", limits_settings),
        (sidecars, "", sidecar_settings),
    ] {
        let fields = known_fields(&settings);
        expect_that!(fields.len(), ge(8));
        for field in fields {
            let row = format!("| `{prefix}{field}` |");
            expect_that!(section, contains_substring(row.as_str()));
        }
    }
}
