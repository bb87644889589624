//! What is known about a source.

use mulberryyoke_model::Millis;

use super::Source;

/// What is known about a source.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record<P> {
    pub(super) source: Source<P>,
    /// Number of calls that have not ended.
    pub(super) calls: u32,
    /// Number of its last call; 0 if there was none since any source had current data.
    pub(super) asked: u64,
    /// Number of its last call that brought current data.
    pub(super) succeeded: u64,
    /// From when it may be asked in a search.
    pub(super) probe_at: Millis,
    /// From when it may be asked while another source is followed.
    pub(super) return_at: Millis,
}

impl<P> Record<P> {
    pub(super) const fn new(source: Source<P>) -> Self {
        Self {
            source,
            calls: 0,
            asked: 0,
            succeeded: 0,
            probe_at: 0,
            return_at: 0,
        }
    }
}
