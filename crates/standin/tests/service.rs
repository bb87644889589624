//! Stand-in of a plain service.

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
async fn counts_the_runs_of_each_call() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let service = Service::bind(address, Duration::ZERO, 1)
        .await
        .expect("port 0");
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    for (op, run_count) in [("a/1", 1), ("a/2", 1), ("a/1", 2)] {
        let uri = format!("http://{}/bookings", service.address());
        let body = Full::new(Bytes::from(json!({"op": op}).to_string()));
        let request = Request::post(uri).body(body).expect("request");
        let response = client.request(request).await.expect("response");
        assert_that!(response.status(), eq(StatusCode::OK));
        let bytes = response
            .into_body()
            .collect()
            .await
            .expect("body")
            .to_bytes();
        let body: Value = serde_json::from_slice(&bytes).expect("JSON");
        assert_that!(body["ran"], eq(&json!(run_count)));
    }
    assert_that!(service.journal().runs(), len(eq(3)));
}
