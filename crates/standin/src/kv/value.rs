//! A key's value and its history.

use serde_json::json;

use crate::kv::number;

/// What is held under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Value {
    pub bytes: Vec<u8>,
    /// Revision at which the key came to be.
    pub created: u64,
    /// Revision of the last write.
    pub modified: u64,
    /// Writes since the key came to be.
    pub version: u64,
    /// Lease it goes with; 0 for none.
    pub lease: u64,
}

/// One write; `None` deletes the key.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub revision: u64,
    pub key: Vec<u8>,
    pub value: Option<Value>,
}

impl Value {
    /// The gateway's form; fields at zero are left out.
    pub(crate) fn json(&self, key: &[u8]) -> serde_json::Value {
        let mut json = json!({
            "key": number::encode(key),
            "create_revision": self.created.to_string(),
            "mod_revision": self.modified.to_string(),
            "version": self.version.to_string(),
        });
        if !self.bytes.is_empty() {
            json["value"] = number::encode(&self.bytes).into();
        }
        if self.lease != 0 {
            json["lease"] = self.lease.to_string().into();
        }
        json
    }
}

impl Write {
    /// The gateway's form in a watch.
    pub(crate) fn json(&self) -> serde_json::Value {
        match &self.value {
            Some(value) => json!({ "kv": value.json(&self.key) }),
            None => json!({
                "type": "DELETE",
                "kv": {
                    "key": number::encode(&self.key),
                    "mod_revision": self.revision.to_string(),
                },
            }),
        }
    }
}
