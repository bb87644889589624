//! Answers to calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::http::{self, Reply};
use crate::kv::data::{Data, span};
use crate::kv::fault::Fault;
use crate::kv::request::{Compaction, Delete, Lease, Operation, Put, Range, Txn, Watch};
use crate::kv::watcher::{self, header};
use crate::kv::{Store, Switch};

impl Store {
    /// Answers a request.
    pub(crate) async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Reply {
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        match path.as_str() {
            "/stats" => http::reply(StatusCode::OK, &self.stats()),
            "/switch" => self.set_switch(&body),
            _ => self.call(path, body).await,
        }
    }

    fn set_switch(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice::<Switch>(body) {
            Ok(switch) => {
                self.switch(&switch);
                http::reply(StatusCode::OK, &json!({ "ok": true }))
            }
            Err(error) => http::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Carries a call out in a task of its own, so that it takes effect even if the
    /// caller goes away meanwhile.
    async fn call(self: Arc<Self>, path: String, body: Bytes) -> Reply {
        if self.faults.lock().outage {
            return http::cut();
        }
        self.count(name(&path));
        let task = tokio::spawn(self.carry_out(path, body));
        task.await.unwrap_or_else(|_| http::cut())
    }

    async fn carry_out(self: Arc<Self>, path: String, body: Bytes) -> Reply {
        let delay_ms = self.faults.lock().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if let Some(failed) = self.failed() {
            return failed;
        }
        if path == "/v3/watch" {
            return match serde_json::from_slice::<Watch>(&body) {
                Ok(watch) => watcher::open(self, &watch.create_request),
                Err(_) => Fault::Malformed.answer(),
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
            return http::cut();
        }
        http::reply(StatusCode::OK, &value)
    }

    fn failed(&self) -> Option<Reply> {
        let mut faults = self.faults.lock();
        faults.fail.times = faults.fail.times.checked_sub(1)?;
        let status = StatusCode::from_u16(faults.fail.status).unwrap_or(StatusCode::OK);
        let mut reply = Response::new(http::full(faults.fail.body.clone()));
        *reply.status_mut() = status;
        Some(reply)
    }

    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock();
        if faults.lose_answers == 0 {
            return false;
        }
        faults.lose_answers -= 1;
        self.count_lost();
        true
    }
}

/// Name of a call in the counts.
fn name(path: &str) -> &'static str {
    match path {
        "/v3/kv/range" => "range",
        "/v3/kv/put" => "put",
        "/v3/kv/deleterange" => "delete_range",
        "/v3/kv/txn" => "txn",
        "/v3/kv/compaction" => "compaction",
        "/v3/watch" => "watch",
        "/v3/lease/grant" => "lease_grant",
        "/v3/lease/keepalive" => "lease_keep",
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => "lease_revoke",
        _ => "other",
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|_| Fault::Malformed)
}

impl Data {
    fn apply(&mut self, path: &str, body: &[u8]) -> Result<Value, Fault> {
        match path {
            "/v3/kv/range" => self.answer_range(&read(body)?),
            "/v3/kv/put" => self.alone(Operation::Put(read(body)?)),
            "/v3/kv/deleterange" => self.alone(Operation::Delete(read(body)?)),
            "/v3/kv/txn" => self.answer_txn(read(body)?),
            "/v3/kv/compaction" => self.answer_compaction(&read(body)?),
            "/v3/lease/grant" => Ok(self.answer_grant(&read(body)?)),
            "/v3/lease/keepalive" => Ok(self.answer_keep(&read(body)?)),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => self.answer_revoke(&read(body)?),
            _ => Err(Fault::NoPath),
        }
    }

    fn answer_range(&self, range: &Range) -> Result<Value, Fault> {
        let span = span(&range.key, &range.end);
        let found = self.range(&span, range.revision)?;
        let count = found.len();
        let limit = match range.limit {
            0 => count,
            limit => usize::try_from(limit).unwrap_or(usize::MAX),
        };
        let mut answer = json!({ "header": header(self.revision) });
        if count == 0 {
            return Ok(answer);
        }
        answer["count"] = count.to_string().into();
        if range.count_only {
            return Ok(answer);
        }
        let kvs = found.iter().take(limit);
        answer["kvs"] = kvs.map(|(key, value)| value.json(key)).collect();
        if count > limit {
            answer["more"] = true.into();
        }
        Ok(answer)
    }

    fn alone(&mut self, operation: Operation) -> Result<Value, Fault> {
        self.permit(&operation)?;
        let (_, mut answer) = self.operate(self.revision + 1, operation)?;
        answer["header"] = header(self.revision);
        Ok(answer)
    }

    fn answer_txn(&mut self, txn: Txn) -> Result<Value, Fault> {
        let mut conditions = txn.compare.iter();
        let succeeded = conditions.all(|compare| compare.holds(self.get(&compare.key)));
        let operations = if succeeded { txn.success } else { txn.failure };
        for operation in &operations {
            self.permit(operation)?;
        }
        let revision = self.revision + 1;
        let mut responses = Vec::new();
        for operation in operations {
            let (name, mut response) = self.operate(revision, operation)?;
            response["header"] = header(self.revision);
            responses.push(json!({ name: response }));
        }
        let mut answer = json!({ "header": header(self.revision), "responses": responses });
        if succeeded {
            answer["succeeded"] = true.into();
        }
        Ok(answer)
    }

    /// Checks that an operation can be carried out, so that a transaction has all of
    /// its effects or none.
    fn permit(&self, operation: &Operation) -> Result<(), Fault> {
        match operation {
            Operation::Put(put) => self.check(&put.value, put.lease),
            Operation::Range(range) => {
                let span = span(&range.key, &range.end);
                self.range(&span, range.revision).map(|_| ())
            }
            Operation::Delete(_) => Ok(()),
        }
    }

    fn operate(
        &mut self,
        revision: u64,
        operation: Operation,
    ) -> Result<(&'static str, Value), Fault> {
        match operation {
            Operation::Range(range) => Ok(("response_range", self.answer_range(&range)?)),
            Operation::Put(Put { key, value, lease }) => {
                self.put(revision, &key, value, lease);
                Ok(("response_put", json!({})))
            }
            Operation::Delete(Delete { key, end }) => {
                let deleted = self.delete(revision, &span(&key, &end));
                let answer = match deleted {
                    0 => json!({}),
                    count => json!({ "deleted": count.to_string() }),
                };
                Ok(("response_delete_range", answer))
            }
        }
    }

    fn answer_compaction(&mut self, compaction: &Compaction) -> Result<Value, Fault> {
        if compaction.revision > self.revision {
            return Err(Fault::Future);
        }
        if compaction.revision <= self.compacted {
            return Err(Fault::Compacted);
        }
        self.compacted = compaction.revision;
        Ok(json!({ "header": header(self.revision) }))
    }

    fn answer_grant(&mut self, lease: &Lease) -> Value {
        let id = self.grant(lease.id, lease.ttl_s, Instant::now());
        json!({
            "header": header(self.revision),
            "ID": id.to_string(),
            "TTL": lease.ttl_s.to_string(),
        })
    }

    /// A lease that is gone is answered without time left, as the real service does.
    fn answer_keep(&mut self, lease: &Lease) -> Value {
        let mut result = json!({ "header": header(self.revision), "ID": lease.id.to_string() });
        if let Some(held) = self.leases.get_mut(&lease.id) {
            *held = crate::kv::lease::Lease::open(held.ttl_s, Instant::now());
            result["TTL"] = held.ttl_s.to_string().into();
        }
        json!({ "result": result })
    }

    fn answer_revoke(&mut self, lease: &Lease) -> Result<Value, Fault> {
        if !self.revoke(lease.id) {
            return Err(Fault::NoLease);
        }
        Ok(json!({ "header": header(self.revision) }))
    }
}
