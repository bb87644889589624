//! Bytes of a response that are accounted until they are taken.

use std::sync::Arc;

use super::Account;

/// Bytes of a response that are accounted until they are taken or dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    account: Arc<Account>,
    bytes: usize,
}

impl Drop for Hold {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.take(self.bytes);
        }
    }
}

impl Hold {
    /// Accounts this many bytes.
    pub(crate) fn new(account: &Arc<Account>, bytes: usize) -> Self {
        account.hold(bytes);
        Self {
            account: Arc::clone(account),
            bytes,
        }
    }

    /// Accounts this many more bytes.
    pub(crate) fn add(&mut self, bytes: usize) {
        self.account.hold(bytes);
        self.bytes += bytes;
    }

    /// Releases this many bytes, which the caller's connection has taken.
    pub(super) fn take(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.account.take(bytes);
        self.bytes -= bytes;
    }
}
