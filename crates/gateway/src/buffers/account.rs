//! Account of what a request and its response hold.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use mulberryyoke_decide::buffer::AccountKey;
use tokio::sync::Notify;

use super::Buffers;

/// Account of what a request and its response hold, closed when dropped.
pub(crate) struct Account {
    buffers: Arc<Buffers>,
    key: AccountKey,
    /// ID of the request.
    pub(super) request: String,
    /// Name of the customer.
    pub(super) customer: Option<String>,
    /// Notified if the caller is cut; closes its connection.
    connection: Arc<Notify>,
    /// Notified when the caller takes something.
    pub(super) taken: Notify,
    is_cut: AtomicBool,
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut account = f.debug_struct("Account");
        account.field("request", &self.request);
        account.finish_non_exhaustive()
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.buffers.close(self.key);
    }
}

impl Account {
    pub(super) fn new(
        buffers: Arc<Buffers>,
        key: AccountKey,
        request: String,
        customer: Option<String>,
        connection: Arc<Notify>,
    ) -> Self {
        Self {
            buffers,
            key,
            request,
            customer,
            connection,
            taken: Notify::new(),
            is_cut: AtomicBool::new(false),
        }
    }

    /// Records that the response holds this many more bytes.
    pub(super) fn hold(&self, bytes: usize) {
        let bytes = count(bytes);
        self.buffers
            .update(|budget, now| budget.hold(self.key, bytes, now));
    }

    /// Records that this many bytes of the response were taken or dropped.
    pub(super) fn take(&self, bytes: usize) {
        let bytes = count(bytes);
        self.buffers.update(|budget, now| {
            budget.take(self.key, bytes, now);
            Vec::new()
        });
        self.taken.notify_one();
    }

    /// Records that the request body takes this many more bytes, if there is room for them.
    pub(super) fn hold_request(&self, bytes: usize) -> bool {
        let bytes = count(bytes);
        let mut is_held = true;
        self.buffers.update(|budget, _| {
            is_held = budget.hold_request(self.key, bytes);
            Vec::new()
        });
        is_held
    }

    /// Records that this many bytes of the request body were released.
    pub(super) fn release_request(&self, bytes: usize) {
        let bytes = count(bytes);
        self.buffers.update(|budget, _| {
            budget.release_request(self.key, bytes);
            Vec::new()
        });
    }

    /// Records that the response is offered to the caller.
    pub(crate) fn offer(&self) {
        self.buffers.update(|budget, now| {
            budget.offer(self.key, now);
            Vec::new()
        });
    }

    /// Returns whether more of the response may be read from its server.
    pub(super) fn may_read(&self) -> bool {
        let may_read = self.buffers.query(|budget| budget.may_read(self.key));
        may_read.unwrap_or(true)
    }

    /// Closes the caller's connection.
    pub(super) fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
        self.connection.notify_one();
    }

    /// Whether the caller was cut.
    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }
}

fn count(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
