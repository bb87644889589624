//! JSON bodies of requests and responses.

use googletest::prelude::*;
use mulberryyoke_command::api::{CommandError, ErrorCode, Output, Request, Response, WriteResult};
use serde_json::json;

#[gtest]
fn command_ids_are_parsed_from_numbers_and_hex_strings() {
    let cases = [
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
    for (body, command) in cases {
        let request: Request = serde_json::from_value(body).expect("request is valid");
        expect_that!(request.command, eq(command));
    }
    let invalid = json!({"words": ["status"], "command": "xyz"});
    expect_that!(serde_json::from_value::<Request>(invalid), err(anything()));
}

#[gtest]
fn command_ids_are_written_as_hex_strings() {
    let result = WriteResult {
        command: u64::MAX,
        key: "pool/chat".to_owned(),
        revision: 4,
        repeated: false,
        unchanged: false,
        replaced: None,
        object: None,
    };
    let response = Response::from(Ok(Output::Written(result)));
    let body = serde_json::to_value(&response).expect("response is serializable");
    expect_that!(
        body["answer"]["written"]["command"],
        eq("f".repeat(16).as_str())
    );
    expect_that!(serde_json::from_value::<Response>(body), ok(eq(&response)));
}

#[gtest]
fn errors_round_trip_through_json() {
    for code in [ErrorCode::Conflict, ErrorCode::Unknown, ErrorCode::Denied] {
        let error = CommandError {
            command: Some(7),
            ..CommandError::new(code, "reason")
        };
        let response = Response::from(Err(error));
        let body = serde_json::to_value(&response).expect("response is serializable");
        expect_that!(body["ok"], eq(&json!(false)));
        expect_that!(body["error"]["code"], eq(code.as_str()));
        expect_that!(serde_json::from_value::<Response>(body), ok(eq(&response)));
    }
}
