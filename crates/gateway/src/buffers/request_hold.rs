//! Bytes of a request body that are accounted until they are released.

use std::sync::Arc;

use super::Account;

/// Bytes of a request body that are accounted until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestHold {
    account: Arc<Account>,
    bytes: usize,
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        self.account.release_request(self.bytes);
    }
}

impl RequestHold {
    pub(crate) fn new(account: &Arc<Account>) -> Self {
        Self {
            account: Arc::clone(account),
            bytes: 0,
        }
    }

    /// Accounts this many more bytes; `false` if there is no room for them.
    pub(crate) fn try_add(&mut self, bytes: usize) -> bool {
        let is_held = self.account.hold_request(bytes);
        self.bytes += if is_held { bytes } else { 0 };
        is_held
    }
}
