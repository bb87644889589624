//! Placing requests that must run at most once: only at their key's home.

use std::sync::Arc;

use mulberryyoke_decide::home::{self, Homes};
use mulberryyoke_model::{Outcome, ServerId};

use super::call::{Call, Key};
use super::core::Core;
use super::dispatch::{doubtful, no_server, repeated};
use super::link::Link;
use super::place::Place;
use super::refusal::Refusal;
use super::wait;
use crate::clock;

/// Finds a slot at the key's home. Former homes have to give a withdrawal first.
pub(crate) async fn place(
    core: &Arc<Core>,
    call: &Call,
    key: Key,
    at_once: bool,
    again: bool,
) -> Result<Place, Refusal> {
    let homes = homes(core, call, key);
    if key.given {
        for former in &homes.former {
            withdraw(core, call, key, *former).await?;
        }
    }
    let current = homes.current.ok_or_else(no_server)?;
    let link = link(core, current).ok_or_else(no_server)?;
    if at_once
        && link.standing.is_open()
        && core.rooms.get(call.pool).is_empty()
        && link.standing.take_free()
    {
        return Ok(Place::direct(&link));
    }
    wait::wait(core, call, Some(current), again).await
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

/// Makes sure that the key never starts at a former home.
async fn withdraw(
    core: &Arc<Core>,
    call: &Call,
    key: Key,
    former: ServerId,
) -> Result<(), Refusal> {
    let link = link(core, former).ok_or_else(|| doubtful(None))?;
    let withdrawal = link.withdraw(call.attempt, Some(key.id)).await;
    let withdrawal = withdrawal.map_err(|_| doubtful(None))?;
    match withdrawal.outcome {
        Outcome::NotRun if !withdrawal.doubtful => Ok(()),
        Outcome::Running | Outcome::Ran | Outcome::Cut => Err(repeated(withdrawal.outcome)),
        Outcome::NotRun | Outcome::Waiting | Outcome::Unknown => Err(doubtful(None)),
    }
}
