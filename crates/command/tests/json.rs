//! The JSON form of requests and answers.

use googletest::prelude::*;
use mulberryyoke_command::api::{CommandError, ErrorCode, Output, Request, Response, WriteResult};
use serde_json::json;

#[gtest]
fn reads_identities_as_number_or_digits() {
    let table = [
        (json!({"words": ["status"]}), None),
        (json!({"words": ["status"], "command": null}), None),
        (json!({"words": ["status"], "command": 255}), Some(255)),
        (
            json!({"words": ["status"], "command": "00000000000000ff"}),
            Some(255),
        ),
        (
            json!({"words": ["status"], "command": u64::MAX}),
            Some(u64::MAX),
        ),
    ];
    for (body, command) in table {
        let request: Request = serde_json::from_value(body).expect("it is a request");
        expect_that!(request.command, eq(command));
    }
    let wrong = json!({"words": ["status"], "command": "xyz"});
    expect_that!(serde_json::from_value::<Request>(wrong), err(anything()));
}

#[gtest]
fn writes_identities_as_digits() {
    let written = WriteResult {
        command: u64::MAX,
        key: "pool/chat".to_owned(),
        revision: 4,
        repeated: false,
        unchanged: false,
        replaced: None,
        object: None,
    };
    let reply = Response::from(Ok(Output::Written(written)));
    let body = serde_json::to_value(&reply).expect("it has a JSON form");
    expect_that!(
        body["answer"]["written"]["command"],
        eq("f".repeat(16).as_str())
    );
    expect_that!(serde_json::from_value::<Response>(body), ok(eq(&reply)));
}

#[gtest]
fn refusals_survive_the_wire() {
    for code in [ErrorCode::Conflict, ErrorCode::Unknown, ErrorCode::Denied] {
        let refusal = CommandError {
            command: Some(7),
            ..CommandError::new(code, "why")
        };
        let reply = Response::from(Err(refusal));
        let body = serde_json::to_value(&reply).expect("it has a JSON form");
        expect_that!(body["ok"], eq(&json!(false)));
        expect_that!(body["error"]["code"], eq(code.as_str()));
        expect_that!(serde_json::from_value::<Response>(body), ok(eq(&reply)));
    }
}
