//! The plain service stand-in: it counts how often each call ran.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use mulberryyoke_standin::service::Service;
use serde_json::{Value, json};

#[tokio::test]
async fn counts_each_run_of_an_operation() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let service = Service::bind(address, Duration::ZERO, 1)
        .await
        .expect("port 0");
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    for (op, ran) in [("a/1", 1), ("a/2", 1), ("a/1", 2)] {
        let uri = format!("http://{}/bookings", service.address());
        let body = Full::new(Bytes::from(json!({"op": op}).to_string()));
        let request = Request::post(uri).body(body).expect("request");
        let reply = client.request(request).await.expect("answer");
        assert_that!(reply.status(), eq(StatusCode::OK));
        let bytes = reply.into_body().collect().await.expect("body").to_bytes();
        let answer: Value = serde_json::from_slice(&bytes).expect("JSON");
        assert_that!(answer["ran"], eq(&json!(ran)));
    }
    assert_that!(service.journal().runs(), len(eq(3)));
}
