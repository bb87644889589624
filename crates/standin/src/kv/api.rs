//! HTTP API of the key-value service.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde_json::json;

use crate::http::{self, Response};
use crate::kv::request::Watch;
use crate::kv::{Faults, Store, execute, store, watcher};

impl Store {
    /// Handles a request.
    pub(crate) async fn respond(self: Arc<Self>, request: Request<Bytes>) -> Response {
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        match path.as_str() {
            "/stats" => http::json(StatusCode::OK, &self.stats()),
            "/switch" => self.update_faults(&body),
            _ => self.call(path, body).await,
        }
    }

    fn update_faults(&self, body: &[u8]) -> Response {
        match serde_json::from_slice::<Faults>(body) {
            Ok(faults) => {
                self.set_faults(&faults);
                http::json(StatusCode::OK, &json!({ "ok": true }))
            }
            Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Executes a call in its own task, so that it takes effect even if the client disconnects
    /// meanwhile.
    async fn call(self: Arc<Self>, path: String, body: Bytes) -> Response {
        if self.faults.borrow().outage {
            return http::abort();
        }
        self.count_call(method(&path));
        let task = tokio::spawn(self.execute(path, body));
        task.await.unwrap_or_else(|_| http::abort())
    }

    async fn execute(self: Arc<Self>, path: String, body: Bytes) -> Response {
        store::delay_call(&self).await;
        if let Some(response) = self.scripted_response() {
            return response;
        }
        if path == "/v3/watch" {
            return match execute::parse::<Watch>(&body) {
                Ok(watch) => watcher::open(self, &watch.create_request),
                Err(error) => error.response(),
            };
        }
        let (before, result) = {
            let mut data = self.data.lock();
            data.expire_leases(Instant::now());
            let before = data.revision;
            let result = data.execute(&path, &body);
            self.revision.send_replace(data.revision);
            (before, result.map(|value| (value, data.revision)))
        };
        let (value, after) = match result {
            Ok(result) => result,
            Err(error) => return error.response(),
        };
        if after > before && self.drops_response() {
            return http::abort();
        }
        http::json(StatusCode::OK, &value)
    }

    /// Takes the scripted response to this call.
    fn scripted_response(&self) -> Option<Response> {
        let mut script = None;
        self.faults.send_if_modified(|faults| {
            script = (faults.fail.times > 0).then(|| faults.fail.clone());
            faults.fail.times = faults.fail.times.saturating_sub(1);
            false
        });
        let script = script?;
        let status = StatusCode::from_u16(script.status).unwrap_or(StatusCode::OK);
        let mut response = Response::new(http::full_body(script.body));
        *response.status_mut() = status;
        Some(response)
    }

    /// Whether the response to this write is dropped.
    fn drops_response(&self) -> bool {
        let mut is_dropped = false;
        self.faults.send_if_modified(|faults| {
            is_dropped = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            false
        });
        if is_dropped {
            self.count_dropped_response();
        }
        is_dropped
    }
}

/// Method of a path in the statistics.
fn method(path: &str) -> &'static str {
    match path {
        "/v3/kv/range" => "range",
        "/v3/kv/put" => "put",
        "/v3/kv/deleterange" => "delete_range",
        "/v3/kv/txn" => "txn",
        "/v3/watch" => "watch",
        "/v3/lease/grant" => "lease_grant",
        "/v3/lease/keepalive" => "lease_keep",
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => "lease_revoke",
        _ => "other",
    }
}
