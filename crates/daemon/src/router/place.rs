//! A server that a request is to be sent to.

use std::sync::Arc;

use super::link::Link;

/// A server with a slot for a request: reserved by a grant, or thought free.
/// A reserved slot that is not used is given back.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) link: Arc<Link>,
    grant: Option<u64>,
}

impl Place {
    /// A slot that the sidecar has reserved.
    pub(crate) fn granted(link: &Arc<Link>, grant: u64) -> Self {
        Self {
            link: Arc::clone(link),
            grant: Some(grant),
        }
    }

    /// A slot that should be free.
    pub(crate) fn direct(link: &Arc<Link>) -> Self {
        Self {
            link: Arc::clone(link),
            grant: None,
        }
    }

    /// Takes the grant for use.
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
