//! Answers to calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde_json::json;

use crate::http::{self, Response};
use crate::vms::List;

impl List {
    /// Answers a request.
    pub(crate) async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Response {
        match request.uri().path() {
            "/vms" => self.list().await,
            "/stats" => http::json(StatusCode::OK, &self.stats()),
            "/switch" => self.set_switch(request.body()),
            _ => http::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn list(&self) -> Response {
        let delay_ms = {
            let mut state = self.state.lock();
            if state.outage {
                return http::abort();
            }
            state.calls += 1;
            state.delay_ms
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let vms = self.state.lock().list(Instant::now());
        http::json(StatusCode::OK, &json!({ "vms": vms }))
    }

    fn set_switch(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(switch) => {
                self.update(switch);
                http::json(StatusCode::OK, &json!({ "ok": true }))
            }
            Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}
