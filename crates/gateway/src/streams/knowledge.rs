//! What a gateway knows of a pool's versions, for the log.

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{PoolId, VersionId};

use super::Streams;
use crate::clock;
use crate::core::Core;

/// Maximum number of pools whose versions are logged.
const MAX_LOGGED_POOLS: usize = 64;

/// What a gateway knows of a pool's versions.
#[derive(Clone, Copy, Debug)]
pub(super) struct Knowledge {
    /// Number of versions of registered servers.
    pub(super) registered: usize,
    /// Number of versions that are recorded in the key-value service.
    pub(super) recorded: usize,
    /// Number of versions that this gateway recently saw itself.
    pub(super) observed: usize,
    /// Number of versions that only other gateways or the records tell of.
    pub(super) told: usize,
    /// Time since the version was seen that was seen longest ago, in milliseconds.
    pub(super) age_ms: Option<u64>,
}

impl Streams {
    /// Returns what is known of a pool's versions.
    pub(super) fn knowledge(&self, core: &Core, pool: PoolId) -> Knowledge {
        let now_ms = clock::now_ms();
        let registered = core.registry.versions();
        let registered = registered.iter().filter(|(of, _)| *of == pool).count();
        let seen = self.inner.lock().versions.summary(pool, now_ms);
        Knowledge {
            registered,
            recorded: self.recorded.count(pool),
            observed: seen.observed,
            told: seen.told,
            age_ms: seen.oldest.map(|at| now_ms.saturating_sub(at)),
        }
    }
}

/// Logs what is known of the pools' versions once the first contents are applied.
pub(crate) fn log_first_contents(core: &Core, revision: u64) {
    let now_ms = clock::now_ms();
    let told = core.streams.inner.lock().versions.told(now_ms);
    log!(core.logger, Event::FirstContents,
        "revision" => revision,
        "registered" => describe(core.registry.versions()),
        "recorded" => describe(core.streams.recorded.all()),
        "told" => describe(told));
}

/// Formats versions by pool, as `POOL:VERSION+VERSION`.
fn describe(mut versions: Vec<(PoolId, VersionId)>) -> String {
    versions.sort_unstable();
    let pools = versions.chunk_by(|one, next| one.0 == next.0);
    let pools = pools.take(MAX_LOGGED_POOLS).map(|pool| {
        let versions = pool.iter().map(|(_, version)| format!("{:08x}", version.0));
        let versions: Vec<String> = versions.collect();
        let id = pool.first().map_or(0, |(id, _)| id.0);
        format!("{id:08x}:{}", versions.join("+"))
    });
    pools.collect::<Vec<String>>().join(" ")
}
