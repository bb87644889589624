//! Answers to calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde_json::json;

use crate::http::{self, Reply};
use crate::vms::Registry;

impl Registry {
    /// Answers a request.
    pub(crate) async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        match request.uri().path() {
            "/vms" => self.list().await,
            "/stats" => http::reply(StatusCode::OK, &self.stats()),
            "/switch" => self.set_switch(request.body()),
            _ => http::refuse(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn list(&self) -> Reply {
        let delay_ms = {
            let mut state = self.state.lock();
            if state.outage {
                return http::cut();
            }
            state.calls += 1;
            state.delay_ms
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let vms = self.state.lock().list(Instant::now());
        http::reply(StatusCode::OK, &json!({ "vms": vms }))
    }

    fn set_switch(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(switch) => {
                self.switch(switch);
                http::reply(StatusCode::OK, &json!({ "ok": true }))
            }
            Err(error) => http::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}
