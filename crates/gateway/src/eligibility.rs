//! Which servers of a pool may run a request.

use mulberryyoke_model::{ServerId, VersionId};

use crate::server::Server;

/// Which servers of a pool may run a request, whatever their load.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Eligibility<'a> {
    /// Servers that have been tried.
    pub(crate) tried: &'a [ServerId],
    /// The version that a stream has begun on, on which alone it may go on.
    pub(crate) version: Option<VersionId>,
    /// Versions for which others wait; servers of other versions are preferred.
    pub(crate) reserved: &'a [VersionId],
    /// Versions that crash on a part of the prompt.
    pub(crate) barred: &'a [VersionId],
}

impl Eligibility<'_> {
    /// Whether the server has the required version, if there is one.
    pub(crate) fn has_version_of(&self, server: &Server) -> bool {
        self.version.is_none_or(|version| server.version == version)
    }

    /// Whether the request may run at the server's version.
    pub(crate) fn allows_version_of(&self, server: &Server) -> bool {
        self.has_version_of(server) && !self.barred.contains(&server.version)
    }

    /// Whether the server may run the request.
    pub(crate) fn allows(&self, server: &Server) -> bool {
        self.allows_version_of(server) && !self.tried.contains(&server.id)
    }
}
