//! Successes of a single request.

use mulberryyoke_model::{Millis, VersionId};
use smallvec::SmallVec;

/// Maximum number of versions remembered; the one with the oldest success is evicted first.
const MAX_VERSIONS: usize = 4;

/// The last success of a request on servers of each version.
#[derive(Clone, Debug, Default)]
pub(super) struct Successes {
    by_version: SmallVec<[(VersionId, Millis); 2]>,
}

impl Successes {
    pub(super) fn record(&mut self, version: VersionId, now: Millis) {
        self.by_version.retain(|(known, _)| *known != version);
        if self.by_version.len() == MAX_VERSIONS {
            self.by_version.remove(0);
        }
        self.by_version.push((version, now));
    }

    /// Returns the last success on any version.
    pub(super) fn last(&self) -> Option<Millis> {
        self.by_version.last().map(|(_, at)| *at)
    }

    /// Returns the last success on a version, or on any if the version is not known.
    pub(super) fn last_on(&self, version: Option<VersionId>) -> Option<Millis> {
        let Some(version) = version else {
            return self.last();
        };
        let mut successes = self.by_version.iter();
        let (_, at) = successes.find(|(known, _)| *known == version)?;
        Some(*at)
    }
}
