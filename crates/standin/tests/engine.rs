//! Stand-in of the inference engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use mulberryyoke_standin::engine::{Engine, Settings};
use mulberryyoke_standin::journal::Stage;
use serde_json::{Value, json};

const CHAT_PATH: &str = "/v1/chat/completions";

async fn spawn(settings: Settings) -> Engine {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Engine::bind(address, settings).await.expect("port 0")
}

async fn send(engine: &Engine, method: Method, path: &str, body: &Value) -> Response<Incoming> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}{path}", engine.address());
    let body = Full::new(Bytes::from(body.to_string()));
    let request = Request::builder().method(method).uri(uri).body(body);
    client
        .request(request.expect("request"))
        .await
        .expect("response")
}

async fn send_chat(
    engine: &Engine,
    op: &str,
    tokens: u32,
    is_streamed: bool,
) -> Response<Incoming> {
    let body = json!({
        "model": "assistant",
        "messages": [{"role": "user", "content": "hello"}],
        "stream": is_streamed,
        "standin": {"op": op, "tokens": tokens},
    });
    send(engine, Method::POST, CHAT_PATH, &body).await
}

async fn body_text(response: Response<Incoming>) -> String {
    let body = response.into_body().collect().await.expect("complete body");
    String::from_utf8(body.to_bytes().to_vec()).expect("UTF-8")
}

fn fast_settings() -> Settings {
    Settings {
        token_time: Duration::from_millis(1),
        ..Settings::default()
    }
}

#[tokio::test]
async fn streams_every_token_once_and_in_order() {
    let engine = spawn(fast_settings()).await;
    let response = send_chat(&engine, "a/1", 5, true).await;
    let body = body_text(response).await;
    let events: Vec<&str> = body.split_terminator("\n\n").collect();
    assert_that!(events, len(eq(6)));
    for (index, event) in events[..5].iter().enumerate() {
        assert_that!(*event, contains_substring(format!("a/1:{index} ")));
    }
    assert_that!(events[5], eq("data: [DONE]"));
}

#[tokio::test]
async fn returns_a_complete_response_without_streaming() {
    let engine = spawn(fast_settings()).await;
    let response = send_chat(&engine, "a/1", 3, false).await;
    let completion: Value = serde_json::from_str(&body_text(response).await).expect("JSON");
    let content = &completion["choices"][0]["message"]["content"];
    assert_that!(content, eq(&json!("a/1:0 a/1:1 a/1:2 ")));
    assert_that!(completion["usage"]["completion_tokens"], eq(&json!(3)));
}

#[tokio::test]
async fn limits_concurrent_requests_and_runs_them_in_order_of_arrival() {
    let engine = spawn(Settings {
        batch_size: 1,
        ..fast_settings()
    })
    .await;
    let first = send_chat(&engine, "a/1", 20, true).await;
    let second = send_chat(&engine, "a/2", 1, true).await;
    let third = send_chat(&engine, "a/3", 1, true).await;
    let (_, _, _) = tokio::join!(body_text(first), body_text(second), body_text(third));
    let runs = engine.journal().runs();
    assert_that!(runs, len(eq(3)));
    for pair in runs.windows(2) {
        assert_that!(pair[1].started, ge(pair[0].ended));
    }
}

#[tokio::test]
async fn resumes_a_stream_from_a_token_index() {
    let engine = spawn(fast_settings()).await;
    let mut response = send_chat(&engine, "a/1", 4, true).await;
    let id = response.headers()["x-stream-id"]
        .to_str()
        .expect("text")
        .to_owned();
    response.body_mut().frame().await;
    drop(response);
    let path = format!("/v1/streams/{id}?from=2");
    let remaining = body_text(send(&engine, Method::GET, &path, &Value::Null).await).await;
    assert_that!(remaining, starts_with("data: "));
    assert_that!(remaining, contains_substring("a/1:2 "));
    assert_that!(remaining, not(contains_substring("a/1:1 ")));
    assert_that!(remaining, ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn aborts_the_response_of_a_cancelled_stream() {
    let engine = spawn(Settings {
        token_time: Duration::from_hours(1),
        ..fast_settings()
    })
    .await;
    let response = send_chat(&engine, "a/1", 4, true).await;
    let id = response.headers()["x-stream-id"]
        .to_str()
        .expect("text")
        .to_owned();
    let path = format!("/v1/streams/{id}");
    let cancelled = send(&engine, Method::DELETE, &path, &Value::Null).await;
    assert_that!(cancelled.status(), eq(StatusCode::OK));
    assert_that!(response.into_body().collect().await.is_err(), eq(true));
}

#[tokio::test]
async fn cancels_a_stream_when_its_last_reader_disconnects() {
    let settings = Settings {
        batch_size: 1,
        token_time: Duration::from_hours(1),
        resume_timeout: Duration::ZERO,
        ..fast_settings()
    };
    let engine = spawn(settings).await;
    let response = send_chat(&engine, "a/1", 4, true).await;
    drop(response);
    // The only slot becomes free by the cancellation.
    let next = send_chat(&engine, "a/2", 1, true).await;
    while engine.journal().runs()[1].stage == Stage::Waiting {
        tokio::task::yield_now().await;
    }
    drop(next);
    assert_that!(engine.journal().runs()[0].stage, eq(Stage::Cancelled));
}

#[tokio::test]
async fn rejects_stale_fencing_tokens_only_if_enabled() {
    for (fencing, expected) in [(true, StatusCode::CONFLICT), (false, StatusCode::OK)] {
        let engine = spawn(Settings {
            fencing,
            ..fast_settings()
        })
        .await;
        let command = |fence| json!({"order": "load", "name": "other", "fence": fence});
        let newer = send(&engine, Method::POST, "/v1/orders", &command(2)).await;
        assert_that!(newer.status(), eq(StatusCode::OK));
        let stale = send(&engine, Method::POST, "/v1/orders", &command(1)).await;
        assert_that!(stale.status(), eq(expected));
    }
}

#[tokio::test]
async fn rejects_invalid_requests() {
    let engine = spawn(fast_settings()).await;
    for (body, status) in [
        (
            json!({"model": "other", "messages": []}),
            StatusCode::NOT_FOUND,
        ),
        (json!({"messages": []}), StatusCode::BAD_REQUEST),
        (json!("text"), StatusCode::BAD_REQUEST),
    ] {
        let response = send(&engine, Method::POST, CHAT_PATH, &body).await;
        assert_that!(response.status(), eq(status));
    }
}
