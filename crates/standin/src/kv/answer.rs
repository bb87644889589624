//! Answers of the gateway to calls other than watches.

use std::time::Instant;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::kv::data::{Data, span};
use crate::kv::fault::Fault;
use crate::kv::lease;
use crate::kv::request::{Lease, Operation, Put, Range, Txn};

pub(crate) fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|_| Fault::MALFORMED)
}

/// What every answer begins with.
pub(crate) fn header(revision: u64) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": revision.to_string(),
        "raft_term": "1",
    })
}

impl Data {
    /// Carries a call out and answers it.
    pub(crate) fn apply(&mut self, path: &str, body: &[u8]) -> Result<Value, Fault> {
        match path {
            "/v3/kv/range" => self.list(&read(body)?),
            "/v3/kv/put" => self.alone(Operation::Put(read(body)?)),
            "/v3/kv/deleterange" => self.alone(Operation::Delete(read(body)?)),
            "/v3/kv/txn" => self.transact(read(body)?),
            "/v3/lease/grant" => Ok(self.open_lease(&read(body)?)),
            "/v3/lease/keepalive" => Ok(self.keep_lease(&read(body)?)),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => self.end_lease(&read(body)?),
            _ => Err(Fault::NO_PATH),
        }
    }

    fn list(&self, range: &Range) -> Result<Value, Fault> {
        if range.key.is_empty() {
            return Err(Fault::NO_KEY);
        }
        let found = self.range(&span(&range.key, &range.end), range.revision)?;
        let mut answer = json!({ "header": header(self.revision) });
        if found.is_empty() {
            return Ok(answer);
        }
        let limit = match range.limit {
            0 => found.len(),
            limit => usize::try_from(limit).unwrap_or(usize::MAX),
        };
        let kvs = found.iter().take(limit);
        answer["kvs"] = kvs.map(|(key, value)| value.json(key)).collect();
        answer["count"] = found.len().to_string().into();
        if found.len() > limit {
            answer["more"] = true.into();
        }
        Ok(answer)
    }

    fn alone(&mut self, operation: Operation) -> Result<Value, Fault> {
        self.permit(&operation)?;
        let (_, answer) = self.operate(self.revision + 1, operation)?;
        Ok(answer)
    }

    fn transact(&mut self, txn: Txn) -> Result<Value, Fault> {
        let mut conditions = txn.compare.iter();
        let succeeded = conditions.all(|compare| compare.holds(self.get(&compare.key)));
        let operations = if succeeded { txn.success } else { txn.failure };
        for operation in &operations {
            self.permit(operation)?;
        }
        let revision = self.revision + 1;
        let mut responses = Vec::new();
        for operation in operations {
            let (name, response) = self.operate(revision, operation)?;
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
            Operation::Put(put) => self.check(&put.key, &put.value, put.lease),
            Operation::Delete(range) => self.check(&range.key, &[], 0),
            Operation::Range(range) => self.list(range).map(|_| ()),
        }
    }

    fn operate(
        &mut self,
        revision: u64,
        operation: Operation,
    ) -> Result<(&'static str, Value), Fault> {
        match operation {
            Operation::Range(range) => Ok(("response_range", self.list(&range)?)),
            Operation::Put(Put { key, value, lease }) => {
                self.put(revision, &key, value, lease);
                let answer = json!({ "header": header(self.revision) });
                Ok(("response_put", answer))
            }
            Operation::Delete(range) => {
                let deleted = self.delete(revision, &span(&range.key, &range.end));
                let answer =
                    json!({ "header": header(self.revision), "deleted": deleted.to_string() });
                Ok(("response_delete_range", answer))
            }
        }
    }

    fn open_lease(&mut self, lease: &Lease) -> Value {
        let id = self.grant(lease.ttl_s, Instant::now());
        json!({
            "header": header(self.revision),
            "ID": id.to_string(),
            "TTL": lease.ttl_s.to_string(),
        })
    }

    /// A lease that is gone is answered without time left, as the real service does.
    fn keep_lease(&mut self, lease: &Lease) -> Value {
        let mut result = json!({ "header": header(self.revision), "ID": lease.id.to_string() });
        if let Some(held) = self.leases.get_mut(&lease.id) {
            *held = lease::Lease::open(held.ttl_s, Instant::now());
            result["TTL"] = held.ttl_s.to_string().into();
        }
        json!({ "result": result })
    }

    fn end_lease(&mut self, lease: &Lease) -> Result<Value, Fault> {
        if !self.revoke(lease.id) {
            return Err(Fault::NO_LEASE);
        }
        Ok(json!({ "header": header(self.revision) }))
    }
}
