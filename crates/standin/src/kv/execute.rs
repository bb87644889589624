//! Execution of calls other than watches.

use std::time::Instant;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::kv::data::{Data, key_range};
use crate::kv::error::Error;
use crate::kv::lease;
use crate::kv::request::{Lease, Operation, Put, Range, Txn};

/// Parses the body of a request.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|_| Error::MALFORMED)
}

/// Header of responses.
pub(crate) fn header(revision: u64) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": revision.to_string(),
        "raft_term": "1",
    })
}

impl Data {
    /// Executes a call and returns the body of the response.
    pub(crate) fn execute(&mut self, path: &str, body: &[u8]) -> Result<Value, Error> {
        match path {
            "/v3/kv/range" => self.read_range(&parse(body)?),
            "/v3/kv/put" => self.execute_single(Operation::Put(parse(body)?)),
            "/v3/kv/deleterange" => self.execute_single(Operation::Delete(parse(body)?)),
            "/v3/kv/txn" => self.execute_transaction(parse(body)?),
            "/v3/lease/grant" => Ok(self.grant_lease(&parse(body)?)),
            "/v3/lease/keepalive" => Ok(self.renew_lease(&parse(body)?)),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => self.revoke_lease(&parse(body)?),
            _ => Err(Error::UNKNOWN_PATH),
        }
    }

    fn read_range(&self, range: &Range) -> Result<Value, Error> {
        if range.key.is_empty() {
            return Err(Error::EMPTY_KEY);
        }
        let found = self.read(&key_range(&range.key, &range.end), range.revision)?;
        let mut response = json!({ "header": header(self.revision) });
        if found.is_empty() {
            return Ok(response);
        }
        let limit = match range.limit {
            0 => found.len(),
            limit => usize::try_from(limit).unwrap_or(usize::MAX),
        };
        let kvs = found.iter().take(limit);
        response["kvs"] = kvs.map(|(key, value)| value.json(key)).collect();
        response["count"] = found.len().to_string().into();
        if found.len() > limit {
            response["more"] = true.into();
        }
        Ok(response)
    }

    fn execute_single(&mut self, operation: Operation) -> Result<Value, Error> {
        self.validate(&operation)?;
        let (_, response) = self.execute_operation(self.revision + 1, operation)?;
        Ok(response)
    }

    fn execute_transaction(&mut self, txn: Txn) -> Result<Value, Error> {
        let mut conditions = txn.compare.iter();
        let succeeded = conditions.all(|compare| compare.holds(self.get(&compare.key)));
        let operations = if succeeded { txn.success } else { txn.failure };
        for operation in &operations {
            self.validate(operation)?;
        }
        let revision = self.revision + 1;
        let mut responses = Vec::new();
        for operation in operations {
            let (name, response) = self.execute_operation(revision, operation)?;
            responses.push(json!({ name: response }));
        }
        let mut response = json!({ "header": header(self.revision), "responses": responses });
        if succeeded {
            response["succeeded"] = true.into();
        }
        Ok(response)
    }

    /// Checks that an operation can be executed, so that a transaction is atomic.
    fn validate(&self, operation: &Operation) -> Result<(), Error> {
        match operation {
            Operation::Put(put) => self.validate_write(&put.key, &put.value, put.lease),
            Operation::Delete(range) => self.validate_write(&range.key, &[], 0),
            Operation::Range(range) => self.read_range(range).map(|_| ()),
        }
    }

    fn execute_operation(
        &mut self,
        revision: u64,
        operation: Operation,
    ) -> Result<(&'static str, Value), Error> {
        match operation {
            Operation::Range(range) => Ok(("response_range", self.read_range(&range)?)),
            Operation::Put(Put { key, value, lease }) => {
                self.put(revision, &key, value, lease);
                let response = json!({ "header": header(self.revision) });
                Ok(("response_put", response))
            }
            Operation::Delete(range) => {
                let deleted = self.delete(revision, &key_range(&range.key, &range.end));
                let response =
                    json!({ "header": header(self.revision), "deleted": deleted.to_string() });
                Ok(("response_delete_range", response))
            }
        }
    }

    fn grant_lease(&mut self, lease: &Lease) -> Value {
        let id = self.grant(lease.ttl_s, Instant::now());
        json!({
            "header": header(self.revision),
            "ID": id.to_string(),
            "TTL": lease.ttl_s.to_string(),
        })
    }

    /// Renews a lease. As in etcd, the response has no TTL if the lease does not exist.
    fn renew_lease(&mut self, lease: &Lease) -> Value {
        let mut result = json!({ "header": header(self.revision), "ID": lease.id.to_string() });
        if let Some(current) = self.leases.get_mut(&lease.id) {
            *current = lease::Lease::new(current.ttl_s, Instant::now());
            result["TTL"] = current.ttl_s.to_string().into();
        }
        json!({ "result": result })
    }

    fn revoke_lease(&mut self, lease: &Lease) -> Result<Value, Error> {
        if !self.revoke(lease.id) {
            return Err(Error::LEASE_NOT_FOUND);
        }
        Ok(json!({ "header": header(self.revision) }))
    }
}
