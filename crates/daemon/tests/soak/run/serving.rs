//! Servers at which a resumed stream can go on.

use std::time::Instant;

use super::{MODEL_POOL, Run};
use crate::fault_log::Scope;
use crate::load::Call;
use crate::store_values::version_of;

impl Run {
    /// Number of servers at which a resumed stream could go on, undisturbed since it was sent. It has
    /// just ended.
    pub(crate) fn serving_for(&self, call: &Call) -> usize {
        let Some(first) = &call.first else {
            return 0;
        };
        let recorded = self.recorded.lock().expect("no panic");
        let mut runs = recorded.iter().filter(|run| run.executed);
        let Some(begun) = runs.find(|run| run.id == *first) else {
            return 0;
        };
        let version = version_of(&begun.server).to_owned();
        drop(recorded);
        let now = Instant::now();
        let serving = self.servers.iter().enumerate().filter(|(index, server)| {
            let name = server.backend.name();
            let scope = Scope::ServerConnection(*index);
            server.pool == MODEL_POOL
                && version_of(&name) == version
                && self.draining_since(&name).is_none()
                && self.fault_log.is_undisturbed(scope, call.sent_at, now)
        });
        serving.count()
    }
}
