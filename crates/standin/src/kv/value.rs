//! Values and writes.

use serde_json::json;

use crate::kv::encoding;

/// Value of a key with its metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Value {
    pub bytes: Vec<u8>,
    /// Revision at which the key was created.
    pub created: u64,
    /// Revision of the last write.
    pub modified: u64,
    /// Number of writes since the key was created.
    pub version: u64,
    /// Lease that the key is attached to; 0 for none.
    pub lease: u64,
}

/// A write. A value of `None` is a deletion.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub revision: u64,
    pub key: Vec<u8>,
    pub value: Option<Value>,
}

impl Value {
    /// JSON representation in the gateway, which omits fields with a value of zero.
    pub(crate) fn json(&self, key: &[u8]) -> serde_json::Value {
        let mut json = json!({
            "key": encoding::encode(key),
            "create_revision": self.created.to_string(),
            "mod_revision": self.modified.to_string(),
            "version": self.version.to_string(),
        });
        if !self.bytes.is_empty() {
            json["value"] = encoding::encode(&self.bytes).into();
        }
        if self.lease != 0 {
            json["lease"] = self.lease.to_string().into();
        }
        json
    }
}

impl Write {
    /// JSON representation in a watch message.
    pub(crate) fn json(&self) -> serde_json::Value {
        match &self.value {
            Some(value) => json!({ "kv": value.json(&self.key) }),
            None => json!({
                "type": "DELETE",
                "kv": {
                    "key": encoding::encode(&self.key),
                    "mod_revision": self.revision.to_string(),
                },
            }),
        }
    }
}
