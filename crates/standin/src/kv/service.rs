//! Answers to calls.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde_json::json;

use crate::http::{self, Response};
use crate::kv::request::Watch;
use crate::kv::{Faults, Store, answer, store, watcher};

impl Store {
    /// Answers a request.
    pub(crate) async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Response {
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        match path.as_str() {
            "/stats" => http::json(StatusCode::OK, &self.stats()),
            "/switch" => self.set_switch(&body),
            _ => self.call(path, body).await,
        }
    }

    fn set_switch(&self, body: &[u8]) -> Response {
        match serde_json::from_slice::<Faults>(body) {
            Ok(switch) => {
                self.set_faults(&switch);
                http::json(StatusCode::OK, &json!({ "ok": true }))
            }
            Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Carries a call out in a task of its own, so that it takes effect even if the
    /// caller goes away meanwhile.
    async fn call(self: Arc<Self>, path: String, body: Bytes) -> Response {
        if self.faults.borrow().outage {
            return http::abort();
        }
        self.count(name(&path));
        let task = tokio::spawn(self.carry_out(path, body));
        task.await.unwrap_or_else(|_| http::abort())
    }

    async fn carry_out(self: Arc<Self>, path: String, body: Bytes) -> Response {
        store::pause(&self).await;
        if let Some(failed) = self.failed() {
            return failed;
        }
        if path == "/v3/watch" {
            return match answer::read::<Watch>(&body) {
                Ok(watch) => watcher::open(self, &watch.create_request),
                Err(fault) => fault.answer(),
            };
        }
        let (before, done) = {
            let mut data = self.data.lock();
            data.lapse(Instant::now());
            let before = data.revision;
            let done = data.apply(&path, &body);
            self.revision.send_replace(data.revision);
            (before, done.map(|value| (value, data.revision)))
        };
        let (value, after) = match done {
            Ok(done) => done,
            Err(fault) => return fault.answer(),
        };
        if after > before && self.loses_answer() {
            return http::abort();
        }
        http::json(StatusCode::OK, &value)
    }

    fn failed(&self) -> Option<Response> {
        let mut fail = None;
        self.faults.send_if_modified(|faults| {
            fail = (faults.fail.times > 0).then(|| faults.fail.clone());
            faults.fail.times = faults.fail.times.saturating_sub(1);
            false
        });
        let fail = fail?;
        let status = StatusCode::from_u16(fail.status).unwrap_or(StatusCode::OK);
        let mut reply = Response::new(http::full_body(fail.body));
        *reply.status_mut() = status;
        Some(reply)
    }

    fn loses_answer(&self) -> bool {
        let mut is_lost = false;
        self.faults.send_if_modified(|faults| {
            is_lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            false
        });
        if is_lost {
            self.count_lost();
        }
        is_lost
    }
}

/// Name of a call in the counts.
fn name(path: &str) -> &'static str {
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
