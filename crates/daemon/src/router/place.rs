//! The server selected for a request.

use std::sync::Arc;

use super::link::Link;

/// A slot on a server, either reserved by a grant or assumed to be free.
/// Dropping it declines an unused grant.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) link: Arc<Link>,
    grant: Option<u64>,
}

impl Place {
    /// Creates a place for a slot that the sidecar has reserved.
    pub(crate) fn granted(link: &Arc<Link>, grant: u64) -> Self {
        Self {
            link: Arc::clone(link),
            grant: Some(grant),
        }
    }

    /// Creates a place for a slot that is assumed to be free.
    pub(crate) fn direct(link: &Arc<Link>) -> Self {
        Self {
            link: Arc::clone(link),
            grant: None,
        }
    }

    /// Takes the grant, which is then no longer declined on drop.
    pub(crate) fn take(&mut self) -> Option<u64> {
        self.grant.take()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.link.decline(vec![grant]);
        }
    }
}
