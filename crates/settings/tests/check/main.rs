//! What settings are refused, and with which words.

mod file;
mod gateway;

use std::fs;
use std::path::PathBuf;

use googletest::prelude::*;
use mulberryyoke_settings::{Role, check};
use serde_json::{Value, json};

use crate::file::{File, said};

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
fn accepts_both_roles() {
    for (settings, role) in [(router(), Role::Router), (sidecar(), Role::Sidecar)] {
        let file = File::new(&role.to_string(), &settings.to_string());
        expect_that!(check(&file.0, None), ok(eq(&role)));
        expect_that!(check(&file.0, Some(role)), ok(eq(&role)));
    }
}

#[gtest]
fn refuses_wrong_router_settings() {
    let doubled = json!([
        {"name": "noor", "key": "a".repeat(64)},
        {"name": "noor", "key": "b".repeat(64)},
    ]);
    let shared = json!([
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
            "control: 127.0.0.1:7001 is the address of callers",
        ),
        (
            "/operators",
            json!("0.0.0.0:7001"),
            "operators: 0.0.0.0:7001 is the address of callers",
        ),
        (
            "/kv",
            json!([]),
            "kv: must not be empty; allowed is a list of IP:PORT",
        ),
        (
            "/kv",
            json!(["127.0.0.1:0"]),
            "kv: 127.0.0.1:0: allowed are ports 1 to 65535",
        ),
        (
            "/prefix",
            json!("/mulberryyoke"),
            "prefix: must begin and end with /",
        ),
        (
            "/exchange_ms",
            json!(0),
            "exchange_ms: 0 is not allowed; allowed are 1 to 60000",
        ),
        (
            "/heartbeat_ms",
            json!(60001),
            "heartbeat_ms: 60001 is not allowed",
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
            "limits.subset: 0 is not allowed",
        ),
        (
            "/limits",
            json!({"queue": 1}),
            "limits.queue: unknown field `queue`",
        ),
        (
            "/limits",
            json!({"retry_percent": 101}),
            "limits.retry_percent: 101 is not allowed",
        ),
        (
            "/limits",
            json!({"queue_per_customer": 9, "queue_total": 8}),
            "limits.queue_per_customer: 9 is not allowed; allowed are 1 to 8",
        ),
        (
            "/operator_keys/0/key",
            json!("A".repeat(64)),
            "operator_keys[0].key: must be the SHA-256",
        ),
        (
            "/operator_keys",
            doubled,
            "operator_keys[1].name: stands twice",
        ),
        (
            "/operator_keys",
            shared,
            "operator_keys[1].key: stands twice",
        ),
    ];
    for (row, (pointer, value, reason)) in table.into_iter().enumerate() {
        let said = said(&format!("router-{row}"), router(), pointer, value);
        expect_that!(said, contains_substring(reason));
    }
}

#[gtest]
fn refuses_wrong_sidecar_settings() {
    let table = [
        (
            "/slots",
            json!(0),
            "slots: 0 is not allowed; allowed are 1 to 65535",
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
            "backend: 127.0.0.1:8000 is the address of data",
        ),
        (
            "/backend",
            json!("127.0.0.1:0"),
            "backend: 127.0.0.1:0: allowed are ports 1 to 65535",
        ),
        ("/pool", json!(""), "pool: must not be empty"),
    ];
    for (row, (pointer, value, reason)) in table.into_iter().enumerate() {
        let said = said(&format!("sidecar-{row}"), sidecar(), pointer, value);
        expect_that!(said, contains_substring(reason));
    }
}

#[gtest]
fn refuses_files_that_are_no_settings() {
    let missing = PathBuf::from("/nowhere/settings.json");
    let said = check(&missing, None)
        .expect_err("there is no such file")
        .to_string();
    expect_that!(
        said,
        starts_with("could not read settings: /nowhere/settings.json: ")
    );
    for (name, text) in [("cut", "{\"name\": "), ("twice", "{} {}"), ("empty", "")] {
        let file = File::new(name, text);
        let said = check(&file.0, None).expect_err("it is no JSON").to_string();
        expect_that!(said, starts_with("could not parse settings: "));
    }
}

/// The fields that an error names as those there are.
fn known_fields(settings: &Value) -> Vec<String> {
    let file = File::new(
        &settings["name"].to_string().replace('"', ""),
        &settings.to_string(),
    );
    let said = check(&file.0, None)
        .expect_err("a field is unknown")
        .to_string();
    let (_, listed) = said
        .split_once("expected one of ")
        .expect("it lists the fields");
    let quoted = listed.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

#[gtest]
fn every_field_stands_on_the_page() {
    let page = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/operating/settings.md");
    let page = fs::read_to_string(page).expect("the page is there");
    let (routers, rest) = page
        .split_once("## Limits")
        .expect("the page has a part on limits");
    let (limits, sidecars) = rest
        .split_once("## Sidecar")
        .expect("it has a part on sidecars");
    let mut of_limits = router();
    of_limits["limits"] = json!({"unknown": 1});
    let mut of_router = router();
    of_router["unknown"] = json!(1);
    let mut of_sidecar = sidecar();
    of_sidecar["unknown"] = json!(1);
    for (part, prefix, settings) in [
        (routers, "", of_router),
        (limits, "limits.", of_limits),
        (sidecars, "", of_sidecar),
    ] {
        let fields = known_fields(&settings);
        expect_that!(fields.len(), ge(8));
        for field in fields {
            let row = format!("| `{prefix}{field}` |");
            expect_that!(part, contains_substring(row.as_str()));
        }
    }
}
