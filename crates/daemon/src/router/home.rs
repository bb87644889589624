//! Places requests that must run at most once on their key's home server.

use std::sync::Arc;

use hyper::StatusCode;
use mulberryyoke_decide::home::{self, Homes};
use mulberryyoke_model::{Outcome, ServerId};
use mulberryyoke_settings::Policy;

use super::call::{Call, IdempotencyKey};
use super::core::Core;
use super::link::Link;
use super::queueing::{self, WaitResult};
use super::refusal::Refusal;
use super::refusals::{RETRY_AFTER_S, key_doubtful, key_used, no_server};
use super::slot::Slot;
use crate::clock;

/// Finds a slot on the key's home server, after every former home has confirmed a
/// withdrawal of the key.
pub(crate) async fn find_slot(
    core: &Arc<Core>,
    call: &Call,
    key: IdempotencyKey,
    mut try_direct: bool,
    mut readmit: bool,
) -> Result<Slot, Refusal> {
    loop {
        let homes = homes(core, call, key);
        if key.from_caller {
            for former_home in &homes.former {
                withdraw(core, call, key, *former_home).await?;
            }
        }
        let home = homes.current.ok_or_else(no_server)?;
        let link = open_link(core, home).ok_or_else(no_server)?;
        let baseline = core.settings.policy == Policy::Baseline;
        if baseline || try_direct && take_free_slot(core, call, &link) {
            return Ok(Slot::unreserved(&link));
        }
        let home_changed = wait_home_change(core, call, key, &link);
        match queueing::wait_for_slot(core, call, Some(home), readmit, home_changed).await? {
            WaitResult::Granted(slot) => return Ok(slot),
            WaitResult::HomeChanged => (try_direct, readmit) = (true, true),
        }
    }
}

/// Takes a slot that is expected to be free, unless other requests are queued. The
/// baseline policy does not queue in the router.
fn take_free_slot(core: &Core, call: &Call, link: &Link) -> bool {
    if core.settings.policy == Policy::Baseline {
        return link.status.is_eligible();
    }
    let queue_is_empty = core.queues.get(call.pool).is_empty();
    queue_is_empty && link.status.is_eligible() && link.status.take_free_slot()
}

/// Resolves when the key's home has changed or its sidecar no longer responds.
async fn wait_home_change(
    core: &Arc<Core>,
    call: &Call,
    key: IdempotencyKey,
    link: &Arc<Link>,
) -> Result<WaitResult, Refusal> {
    let mut revision = core.fleet.watch();
    loop {
        tokio::select! {
            () = link.wait_unresponsive() => return Err(home_unresponsive()),
            changed = revision.changed() => if changed.is_err() {
                return Err(home_unresponsive());
            }
        }
        if homes(core, call, key).current != Some(link.id) {
            return Ok(WaitResult::HomeChanged);
        }
    }
}

fn home_unresponsive() -> Refusal {
    let message = "the only server that may run this request does not answer";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "home_silent", message).retry_after(RETRY_AFTER_S)
}

fn homes(core: &Core, call: &Call, key: IdempotencyKey) -> Homes {
    let view = core.fleet.view();
    let servers = view.all_servers(call.pool);
    home::find(servers, key.id, clock::now(), core.settings.retention_ms)
}

fn open_link(core: &Arc<Core>, server: ServerId) -> Option<Arc<Link>> {
    let view = core.fleet.view();
    let server = view.server(server)?;
    Some(core.links.get_or_open(core, server))
}

/// Prevents the key from starting on a former home. The key is recorded as sent
/// there, so that a restarted sidecar learns of it from this router.
async fn withdraw(
    core: &Arc<Core>,
    call: &Call,
    key: IdempotencyKey,
    former_home: ServerId,
) -> Result<(), Refusal> {
    let link = open_link(core, former_home).ok_or_else(|| key_doubtful(None))?;
    link.wait_connected().await;
    core.sent_keys.record(former_home, key.id, clock::now());
    let withdrawal = link.withdraw(call.attempt, Some(key.id)).await;
    let withdrawal = withdrawal.map_err(|_| key_doubtful(None))?;
    match withdrawal.outcome {
        Outcome::NotRun if !withdrawal.doubtful => Ok(()),
        Outcome::Running | Outcome::Ran | Outcome::Cut => Err(key_used(withdrawal.outcome)),
        Outcome::NotRun | Outcome::Waiting | Outcome::Unknown => Err(key_doubtful(None)),
    }
}
