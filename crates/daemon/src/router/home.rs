//! Placing requests that must run at most once: only at their key's home.

use std::sync::Arc;

use hyper::StatusCode;
use mulberryyoke_decide::home::{self, Homes};
use mulberryyoke_model::{Outcome, ServerId};
use mulberryyoke_settings::Policy;

use super::call::{Call, Key};
use super::core::Core;
use super::link::Link;
use super::place::Place;
use super::refusal::Refusal;
use super::refusals::{SOON_S, doubtful, no_server, repeated};
use super::wait::{self, Waited};
use crate::clock;

/// Finds a slot at the key's home. Former homes have to give a withdrawal first.
pub(crate) async fn place(
    core: &Arc<Core>,
    call: &Call,
    key: Key,
    mut at_once: bool,
    mut again: bool,
) -> Result<Place, Refusal> {
    loop {
        let homes = homes(core, call, key);
        if key.given {
            for former in &homes.former {
                withdraw(core, call, key, *former).await?;
            }
        }
        let current = homes.current.ok_or_else(no_server)?;
        let link = link(core, current).ok_or_else(no_server)?;
        let baseline = core.settings.policy == Policy::Baseline;
        if baseline || at_once && take_free(core, call, &link) {
            return Ok(Place::direct(&link));
        }
        let gone = gone(core, call, key, &link);
        match wait::wait(core, call, Some(current), again, gone).await? {
            Waited::Place(place) => return Ok(place),
            Waited::Moved => (at_once, again) = (true, true),
        }
    }
}

/// Takes a slot that should be free, if nothing else waits. Without an order
/// nothing waits here at all.
fn take_free(core: &Core, call: &Call, link: &Link) -> bool {
    if core.settings.policy == Policy::Baseline {
        return link.standing.is_open();
    }
    let none_waits = core.rooms.get(call.pool).is_empty();
    none_waits && link.standing.is_open() && link.standing.take_free()
}

/// Resolves when waiting for a home has become pointless: when the key has
/// another one, or when its sidecar does not answer.
async fn gone(
    core: &Arc<Core>,
    call: &Call,
    key: Key,
    link: &Arc<Link>,
) -> Result<Waited, Refusal> {
    let mut revision = core.fleet.watch();
    loop {
        tokio::select! {
            () = link.wait_silent() => return Err(silent()),
            changed = revision.changed() => if changed.is_err() {
                return Err(silent());
            }
        }
        if homes(core, call, key).current != Some(link.id) {
            return Ok(Waited::Moved);
        }
    }
}

/// The only server that may run the request does not answer.
fn silent() -> Refusal {
    let message = "the only server that may run this request does not answer";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "home_silent", message).retry_after(SOON_S)
}

fn homes(core: &Core, call: &Call, key: Key) -> Homes {
    let view = core.fleet.view();
    let servers = view.all_servers(call.pool);
    home::find(servers, key.id, clock::now(), core.settings.retention_ms)
}

fn link(core: &Arc<Core>, server: ServerId) -> Option<Arc<Link>> {
    let view = core.fleet.view();
    let server = view.server(server)?;
    Some(core.links.require(core, server))
}

/// Makes sure that the key never starts at a former home. It counts as sent there:
/// should the sidecar fail and forget the bar, this router will tell it.
async fn withdraw(
    core: &Arc<Core>,
    call: &Call,
    key: Key,
    former: ServerId,
) -> Result<(), Refusal> {
    let link = link(core, former).ok_or_else(|| doubtful(None))?;
    link.wait_control().await;
    core.keys.remember(former, key.id, clock::now());
    let withdrawal = link.withdraw(call.attempt, Some(key.id)).await;
    let withdrawal = withdrawal.map_err(|_| doubtful(None))?;
    match withdrawal.outcome {
        Outcome::NotRun if !withdrawal.doubtful => Ok(()),
        Outcome::Running | Outcome::Ran | Outcome::Cut => Err(repeated(withdrawal.outcome)),
        Outcome::NotRun | Outcome::Waiting | Outcome::Unknown => Err(doubtful(None)),
    }
}
