//! Request body of a caller.

use bytes::Bytes;
use parking_lot::Mutex;

use crate::buffers::RequestHold;

/// Request body of a caller, kept until no attempt can need it anymore.
#[derive(Debug, Default)]
pub(crate) struct RequestBody {
    kept: Mutex<(Bytes, Option<RequestHold>)>,
}

impl RequestBody {
    /// Creates a body that is accounted in `hold`.
    pub(crate) fn new(bytes: Bytes, hold: Option<RequestHold>) -> Self {
        Self {
            kept: Mutex::new((bytes, hold)),
        }
    }

    /// The body; empty once it has been released.
    pub(crate) fn bytes(&self) -> Bytes {
        self.kept.lock().0.clone()
    }

    /// Releases the body.
    pub(crate) fn release(&self) {
        let kept = std::mem::take(&mut *self.kept.lock());
        drop(kept);
    }
}
