//! Changes of servers.

use mulberryyoke_command::ServerAdd;
use mulberryyoke_command::api::CommandError;
use mulberryyoke_model::{Millis, Object, Server, ServerId, State};

use super::{Plan, already_exists, not_found, rejected};

/// Adds a server or restores a removed one. `others` are checked for duplicate IDs and
/// addresses.
pub(crate) fn add(
    add: &ServerAdd,
    current: Option<&Object>,
    others: &[Server],
    now: Millis,
) -> Result<Plan, CommandError> {
    let key = format!("server/{}", add.name);
    let old = match current {
        Some(Object::Server(old)) => Some(old),
        _ => None,
    };
    let server = Server {
        name: add.name.clone(),
        pool: add.pool.clone(),
        region: add.region.clone(),
        zone: add.zone.clone(),
        control: add.control,
        data: add.data,
        slots: add.slots,
        state: State::Active,
        added_at: old.map_or(now, |old| old.added_at),
        changed_at: now,
    };
    check_unique(&key, &server, others)?;
    match old {
        Some(old) if old.state == State::Removed && old.pool != server.pool => {
            let reason = format_args!(
                "server belonged to pool {}; choose another name for pool {}",
                old.pool, server.pool
            );
            Err(rejected(&key, reason))
        }
        Some(old) if old.state != State::Removed => compare_existing(&key, old, server),
        _ => Ok(Plan::Write(Some(Object::Server(server)))),
    }
}

/// Changes the state of a server.
pub(crate) fn set_state(
    name: &str,
    state: State,
    current: Option<&Object>,
    now: Millis,
) -> Result<Plan, CommandError> {
    let key = format!("server/{name}");
    let Some(Object::Server(old)) = current else {
        return Err(not_found(&key));
    };
    if old.state == state {
        return Ok(Plan::Unchanged);
    }
    if old.state == State::Removed {
        return Err(rejected(&key, "server has been removed; add it again"));
    }
    let server = Server {
        state,
        changed_at: now,
        ..old.clone()
    };
    Ok(Plan::Write(Some(Object::Server(server))))
}

fn compare_existing(key: &str, old: &Server, requested: Server) -> Result<Plan, CommandError> {
    let requested = Server {
        state: old.state,
        changed_at: old.changed_at,
        ..requested
    };
    if requested == *old && old.state == State::Active {
        return Ok(Plan::Unchanged);
    }
    Err(already_exists(key))
}

/// Rejects an ID or address that another server has.
fn check_unique(key: &str, server: &Server, others: &[Server]) -> Result<(), CommandError> {
    let id = ServerId::of(&server.name);
    for other in others.iter().filter(|other| other.name != server.name) {
        if ServerId::of(&other.name) == id {
            let reason = format_args!(
                "name has the same ID as server {}; choose another name",
                other.name
            );
            return Err(rejected(key, reason));
        }
        let addresses = [server.control, server.data];
        let shared = addresses.contains(&other.control) || addresses.contains(&other.data);
        if shared && other.state != State::Removed {
            let reason = format_args!("address already in use by server {}", other.name);
            return Err(rejected(key, reason));
        }
    }
    Ok(())
}
