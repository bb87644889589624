//! Keys of operators, health and malformed requests.

use googletest::prelude::*;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use mulberryyoke_command::answer::{Answer, Code};

use crate::port::{KEY, Port};

const STATUS: &str = r#"{"words":["status"]}"#;

#[tokio::test]
async fn only_known_keys_are_let_in() {
    let port = Port::open().await;
    for key in ["", "noor", "the-key-of-noor-2"] {
        let (status, reply) = port.ask(key, STATUS.to_owned()).await;
        assert_that!(status, eq(StatusCode::UNAUTHORIZED));
        assert_that!(
            reply.error.map(|refusal| refusal.code),
            some(eq(Code::Denied))
        );
    }
    let bare = Request::post("/v1/command").header("host", "operators");
    let bare = bare.body(Full::from(STATUS)).expect("it is a request");
    assert_that!(port.send(bare).await.0, eq(StatusCode::UNAUTHORIZED));
    let (status, _) = port.ask(KEY, STATUS.to_owned()).await;
    assert_that!(status, eq(StatusCode::OK));
}

#[tokio::test]
async fn malformed_commands_are_refused() {
    let port = Port::open().await;
    let long = format!(r#"{{"words":["{}"]}}"#, "x".repeat(300 << 10));
    for body in ["", "{", "[]", r#"{"word":[]}"#, r#"{"words":[1]}"#, &long] {
        let (status, reply) = port.ask(KEY, body.to_owned()).await;
        assert_that!(status, eq(StatusCode::BAD_REQUEST));
        assert_that!(
            reply.error.map(|refusal| refusal.code),
            some(eq(Code::Usage))
        );
    }
    let refusal = port
        .run(1, "customer burn x")
        .await
        .expect_err("no command");
    assert_that!(refusal.code, eq(Code::Usage));
    let help = port.run(1, "server drain --help").await.expect("help");
    assert_that!(
        help,
        matches_pattern!(Answer::Help(contains_substring("server drain m-3")))
    );
}

#[tokio::test]
async fn health_readiness_and_metrics_need_no_key() {
    let port = Port::open().await;
    assert_that!(port.get("/healthz").await.0, eq(StatusCode::OK));
    assert_that!(
        port.get("/readyz").await.0,
        eq(StatusCode::SERVICE_UNAVAILABLE)
    );
    port.router.config.lock().revision = 1;
    assert_that!(port.get("/readyz").await.0, eq(StatusCode::OK));
    port.run(1, "status").await.expect("a status");
    let (status, metrics) = port.get("/metrics").await;
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
        port.get("/v1/command").await.0,
        eq(StatusCode::METHOD_NOT_ALLOWED)
    );
    assert_that!(port.get("/other").await.0, eq(StatusCode::NOT_FOUND));
}

#[tokio::test]
async fn a_stop_ends_the_port() {
    let port = Port::open().await;
    let address = port.operator.address();
    port.operator.stop().await;
    let refused = tokio::net::TcpStream::connect(address).await;
    assert_that!(refused.is_err(), eq(true));
}
