//! A slot on the server selected for a request.

use std::sync::Arc;

use super::link::Link;

/// A slot on a server, either reserved by a grant or assumed to be free.
/// Dropping it declines an unused grant.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) link: Arc<Link>,
    grant: Option<u64>,
}

impl Slot {
    /// A slot that the sidecar has reserved with a grant.
    pub(crate) fn granted(link: &Arc<Link>, grant: u64) -> Self {
        Self {
            link: Arc::clone(link),
            grant: Some(grant),
        }
    }

    /// A slot that is assumed to be free.
    pub(crate) fn unreserved(link: &Arc<Link>) -> Self {
        Self {
            link: Arc::clone(link),
            grant: None,
        }
    }

    /// Takes the grant, which is then no longer declined on drop.
    pub(crate) fn take_grant(&mut self) -> Option<u64> {
        self.grant.take()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.link.decline(vec![grant]);
        }
    }
}
