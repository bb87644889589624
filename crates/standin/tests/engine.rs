//! The engine stand-in: batch limit, streams, resume, cancel, cache, orders.

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

async fn bind(settings: Settings) -> Engine {
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
        .expect("answer")
}

async fn text(reply: Response<Incoming>) -> String {
    let body = reply.into_body().collect().await.expect("whole body");
    String::from_utf8(body.to_bytes().to_vec()).expect("UTF-8")
}

fn ask(op: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": "assistant",
        "messages": [{"role": "user", "content": "hello"}],
        "stream": stream,
        "standin": {"op": op, "tokens": tokens},
    })
}

const CHAT: &str = "/v1/chat/completions";

fn quick() -> Settings {
    Settings {
        token_time: Duration::from_millis(1),
        ..Settings::default()
    }
}

#[tokio::test]
async fn streams_every_token_once_in_order() {
    let engine = bind(quick()).await;
    let reply = send(&engine, Method::POST, CHAT, &ask("a/1", 5, true)).await;
    let body = text(reply).await;
    let events: Vec<&str> = body.split_terminator("\n\n").collect();
    assert_that!(events, len(eq(6)));
    for (index, event) in events[..5].iter().enumerate() {
        assert_that!(*event, contains_substring(format!("a/1:{index} ")));
    }
    assert_that!(events[5], eq("data: [DONE]"));
}

#[tokio::test]
async fn answers_whole() {
    let engine = bind(quick()).await;
    let reply = send(&engine, Method::POST, CHAT, &ask("a/1", 3, false)).await;
    let answer: Value = serde_json::from_str(&text(reply).await).expect("JSON");
    let content = &answer["choices"][0]["message"]["content"];
    assert_that!(content, eq(&json!("a/1:0 a/1:1 a/1:2 ")));
    assert_that!(answer["usage"]["completion_tokens"], eq(&json!(3)));
}

#[tokio::test]
async fn runs_no_more_than_the_batch_at_once_in_order_of_arrival() {
    let engine = bind(Settings {
        batch_size: 1,
        ..quick()
    })
    .await;
    let first = send(&engine, Method::POST, CHAT, &ask("a/1", 20, true)).await;
    let second = send(&engine, Method::POST, CHAT, &ask("a/2", 1, true)).await;
    let third = send(&engine, Method::POST, CHAT, &ask("a/3", 1, true)).await;
    let (_, _, _) = tokio::join!(text(first), text(second), text(third));
    let runs = engine.journal().runs();
    assert_that!(runs, len(eq(3)));
    for pair in runs.windows(2) {
        assert_that!(pair[1].started, ge(pair[0].ended));
    }
}

#[tokio::test]
async fn resumes_from_a_token() {
    let engine = bind(quick()).await;
    let mut reply = send(&engine, Method::POST, CHAT, &ask("a/1", 4, true)).await;
    let id = reply.headers()["x-stream-id"]
        .to_str()
        .expect("text")
        .to_owned();
    reply.body_mut().frame().await;
    drop(reply);
    let path = format!("/v1/streams/{id}?from=2");
    let rest = text(send(&engine, Method::GET, &path, &Value::Null).await).await;
    assert_that!(rest, starts_with("data: "));
    assert_that!(rest, contains_substring("a/1:2 "));
    assert_that!(rest, not(contains_substring("a/1:1 ")));
    assert_that!(rest, ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn cancels_on_order_and_breaks_the_stream_off() {
    let engine = bind(Settings {
        token_time: Duration::from_hours(1),
        ..quick()
    })
    .await;
    let reply = send(&engine, Method::POST, CHAT, &ask("a/1", 4, true)).await;
    let id = reply.headers()["x-stream-id"]
        .to_str()
        .expect("text")
        .to_owned();
    let path = format!("/v1/streams/{id}");
    let told = send(&engine, Method::DELETE, &path, &Value::Null).await;
    assert_that!(told.status(), eq(StatusCode::OK));
    assert_that!(reply.into_body().collect().await.is_err(), eq(true));
}

#[tokio::test]
async fn cancels_when_the_last_reader_goes() {
    let settings = Settings {
        batch_size: 1,
        token_time: Duration::from_hours(1),
        resume_timeout: Duration::ZERO,
        ..quick()
    };
    let engine = bind(settings).await;
    let reply = send(&engine, Method::POST, CHAT, &ask("a/1", 4, true)).await;
    drop(reply);
    // The slot comes free only by the cancellation.
    let next = send(&engine, Method::POST, CHAT, &ask("a/2", 1, true)).await;
    while engine.journal().runs()[1].stage == Stage::Waiting {
        tokio::task::yield_now().await;
    }
    drop(next);
    assert_that!(engine.journal().runs()[0].stage, eq(Stage::Cancelled));
}

#[tokio::test]
async fn refuses_old_fencing_numbers_only_when_told_to() {
    for (fencing, expected) in [(true, StatusCode::CONFLICT), (false, StatusCode::OK)] {
        let engine = bind(Settings { fencing, ..quick() }).await;
        let order = |fence| json!({"order": "load", "name": "other", "fence": fence});
        let new = send(&engine, Method::POST, "/v1/orders", &order(2)).await;
        assert_that!(new.status(), eq(StatusCode::OK));
        let old = send(&engine, Method::POST, "/v1/orders", &order(1)).await;
        assert_that!(old.status(), eq(expected));
    }
}

#[tokio::test]
async fn refuses_bad_requests() {
    let engine = bind(quick()).await;
    for (body, status) in [
        (
            json!({"model": "other", "messages": []}),
            StatusCode::NOT_FOUND,
        ),
        (json!({"messages": []}), StatusCode::BAD_REQUEST),
        (json!("text"), StatusCode::BAD_REQUEST),
    ] {
        let reply = send(&engine, Method::POST, CHAT, &body).await;
        assert_that!(reply.status(), eq(status));
    }
}
