//! Remote calls on a control link.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberryyoke_model::{Attempt, KeyId, Outcome};
use mulberryyoke_wire::{SidecarClient, Withdrawal};
use tarpc::client::RpcError;
use tarpc::context::{self, Context};

use super::{Error, Link, MAX_MISSED_HEARTBEATS};

impl Link {
    /// Prevents an attempt from starting if it has not started yet.
    pub(crate) async fn withdraw(
        &self,
        attempt: Attempt,
        key: Option<KeyId>,
    ) -> Result<Withdrawal, Error> {
        let (client, context) = self.client_with_context()?;
        client
            .withdraw(context, attempt, key)
            .await
            .map_err(call_error)
    }

    /// Requests the outcome of an attempt.
    pub(crate) async fn outcome(
        &self,
        attempt: Attempt,
        key: Option<KeyId>,
    ) -> Result<Outcome, Error> {
        let (client, context) = self.client_with_context()?;
        client
            .outcome(context, attempt, key)
            .await
            .map_err(call_error)
    }

    /// Releases reserved slots in the background.
    pub(crate) fn decline(self: &Arc<Self>, grants: Vec<u64>) {
        if grants.is_empty() {
            return;
        }
        let Ok((client, context)) = self.client_with_context() else {
            return;
        };
        metrics::counter!("grants_declined_total").increment(grants.len() as u64);
        tokio::spawn(async move {
            // A grant that cannot be declined expires.
            let _ = client.decline(context, grants).await;
        });
    }

    fn client_with_context(&self) -> Result<(SidecarClient, Context), Error> {
        let client = self.client.load();
        let client = client.as_ref().ok_or(Error::Timeout)?;
        let timeout = self.heartbeat * MAX_MISSED_HEARTBEATS;
        Ok((client.as_ref().clone(), context_with_timeout(timeout)))
    }
}

/// Creates the context of a call with a timeout.
pub(super) fn context_with_timeout(timeout: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

#[expect(clippy::needless_pass_by_value, reason = "used with map_err")]
pub(super) fn call_error(error: RpcError) -> Error {
    Error::Call(error.to_string())
}
