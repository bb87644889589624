//! Authentication, malformed commands, health checks and shutdown.

use googletest::prelude::*;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use mulberryyoke_command::api::{ErrorCode, Output};

use crate::fixture::{Fixture, KEY};

const STATUS: &str = r#"{"words":["status"]}"#;

#[tokio::test]
async fn unknown_bearer_keys_are_denied() {
    let fixture = Fixture::open().await;
    for key in ["", "noor", "the-key-of-noor-2"] {
        let (status, reply) = fixture.send_command(key, STATUS.to_owned()).await;
        assert_that!(status, eq(StatusCode::UNAUTHORIZED));
        assert_that!(
            reply.error.map(|error| error.code),
            some(eq(ErrorCode::Denied))
        );
    }
    let without_key = Request::post("/v1/command").header("host", "operators");
    let without_key = without_key
        .body(Full::from(STATUS))
        .expect("request is valid");
    assert_that!(
        fixture.send_request(without_key).await.0,
        eq(StatusCode::UNAUTHORIZED)
    );
    let (status, _) = fixture.send_command(KEY, STATUS.to_owned()).await;
    assert_that!(status, eq(StatusCode::OK));
}

#[tokio::test]
async fn malformed_commands_are_refused() {
    let fixture = Fixture::open().await;
    let long = format!(r#"{{"words":["{}"]}}"#, "x".repeat(300 << 10));
    for body in ["", "{", "[]", r#"{"word":[]}"#, r#"{"words":[1]}"#, &long] {
        let (status, reply) = fixture.send_command(KEY, body.to_owned()).await;
        assert_that!(status, eq(StatusCode::BAD_REQUEST));
        assert_that!(
            reply.error.map(|error| error.code),
            some(eq(ErrorCode::Usage))
        );
    }
    let error = fixture
        .run(1, "customer burn x")
        .await
        .expect_err("command is unknown");
    assert_that!(error.code, eq(ErrorCode::Usage));
    let help = fixture
        .run(1, "server drain --help")
        .await
        .expect("help is returned");
    assert_that!(
        help,
        matches_pattern!(Output::Help(contains_substring("server drain m-3")))
    );
}

#[tokio::test]
async fn health_readiness_and_metrics_need_no_bearer_key() {
    let fixture = Fixture::open().await;
    assert_that!(fixture.get("/healthz").await.0, eq(StatusCode::OK));
    assert_that!(
        fixture.get("/readyz").await.0,
        eq(StatusCode::SERVICE_UNAVAILABLE)
    );
    fixture.router.config.lock().revision = 1;
    assert_that!(fixture.get("/readyz").await.0, eq(StatusCode::OK));
    fixture.run(1, "status").await.expect("status is returned");
    let (status, metrics) = fixture.get("/metrics").await;
    assert_that!(status, eq(StatusCode::OK));
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    for metric in [
        "operator_commands_total",
        "router_config_revision",
        "router_nodes_behind",
    ] {
        assert_that!(metrics, contains_substring(metric));
    }
    assert_that!(
        fixture.get("/v1/command").await.0,
        eq(StatusCode::METHOD_NOT_ALLOWED)
    );
    assert_that!(fixture.get("/other").await.0, eq(StatusCode::NOT_FOUND));
}

#[tokio::test]
async fn stopping_closes_the_listener() {
    let fixture = Fixture::open().await;
    let address = fixture.api.address();
    fixture.api.stop().await;
    let connection = tokio::net::TcpStream::connect(address).await;
    assert_that!(connection.is_err(), eq(true));
}
