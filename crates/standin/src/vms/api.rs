//! HTTP API of the VM list.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde_json::json;

use crate::http::{self, Response};
use crate::vms::List;

impl List {
    /// Handles a request.
    pub(crate) async fn respond(self: Arc<Self>, request: Request<Bytes>) -> Response {
        match request.uri().path() {
            "/vms" => self.read().await,
            "/stats" => http::json(StatusCode::OK, &self.stats()),
            "/switch" => self.update_from(request.body()),
            _ => http::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn read(&self) -> Response {
        let delay_ms = {
            let mut state = self.state.lock();
            if state.outage {
                return http::abort();
            }
            state.calls += 1;
            state.delay_ms
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let vms = self.state.lock().visible(Instant::now());
        http::json(StatusCode::OK, &json!({ "vms": vms }))
    }

    fn update_from(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(update) => {
                self.update(update);
                http::json(StatusCode::OK, &json!({ "ok": true }))
            }
            Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}
