//! Changes of servers.

use mulberryyoke_command::ServerAdd;
use mulberryyoke_command::answer::Refusal;
use mulberryyoke_model::{Millis, Object, Server, ServerId, State};

use super::{Plan, exists, missing, refused};

/// Adds a server beside `others`, or adds a removed one again.
pub(crate) fn add(
    add: &ServerAdd,
    held: Option<&Object>,
    others: &[Server],
    now: Millis,
) -> Result<Plan, Refusal> {
    let key = format!("server/{}", add.name);
    let old = match held {
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
    check(&key, &server, others)?;
    match old {
        Some(old) if old.state == State::Removed && old.pool != server.pool => {
            let reason = format_args!(
                "it belonged to pool {}; choose another name for pool {}",
                old.pool, server.pool
            );
            Err(refused(&key, reason))
        }
        Some(old) if old.state != State::Removed => unchanged(&key, old, server),
        _ => Ok(Plan::Write(Some(Object::Server(server)))),
    }
}

/// Moves a server to a state.
pub(crate) fn change(
    name: &str,
    state: State,
    held: Option<&Object>,
    now: Millis,
) -> Result<Plan, Refusal> {
    let key = format!("server/{name}");
    let Some(Object::Server(old)) = held else {
        return Err(missing(&key));
    };
    if old.state == state {
        return Ok(Plan::Keep);
    }
    if old.state == State::Removed {
        return Err(refused(&key, "it is removed; add it again"));
    }
    let server = Server {
        state,
        changed_at: now,
        ..old.clone()
    };
    Ok(Plan::Write(Some(Object::Server(server))))
}

fn unchanged(key: &str, old: &Server, asked: Server) -> Result<Plan, Refusal> {
    let asked = Server {
        state: old.state,
        changed_at: old.changed_at,
        ..asked
    };
    if asked == *old && old.state == State::Active {
        return Ok(Plan::Keep);
    }
    Err(exists(key))
}

/// Refuses identities and addresses that another server has.
fn check(key: &str, server: &Server, others: &[Server]) -> Result<(), Refusal> {
    let id = ServerId::of(&server.name);
    for other in others.iter().filter(|other| other.name != server.name) {
        if ServerId::of(&other.name) == id {
            let reason = format_args!(
                "its identity is that of server {}; choose another name",
                other.name
            );
            return Err(refused(key, reason));
        }
        let addresses = [server.control, server.data];
        let shared = addresses.contains(&other.control) || addresses.contains(&other.data);
        if shared && other.state != State::Removed {
            let reason = format_args!("server {} has one of its addresses", other.name);
            return Err(refused(key, reason));
        }
    }
    Ok(())
}
