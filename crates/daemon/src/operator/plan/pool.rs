//! Changes of pools.

use mulberryyoke_command::api::CommandError;
use mulberryyoke_command::{PoolAdd, PoolSet};
use mulberryyoke_model::{Kind, Object, Pool, PoolId, Route, Server, State};

use super::{Plan, already_exists, not_found, rejected};

/// Adds a pool. `others` are checked for duplicate IDs and routes.
pub(crate) fn add(
    add: &PoolAdd,
    current: Option<&Object>,
    others: &[Pool],
) -> Result<Plan, CommandError> {
    let key = format!("pool/{}", add.name);
    let pool = Pool {
        name: add.name.clone(),
        kind: add.kind,
        routes: add.route.clone(),
    };
    check_unique(&key, &pool, others)?;
    let object = Object::Pool(pool);
    match current {
        Some(current) if *current == object => Ok(Plan::Unchanged),
        Some(_) => Err(already_exists(&key)),
        None => Ok(Plan::Write(Some(object))),
    }
}

/// Replaces the routes of a plain service.
pub(crate) fn set(
    set: &PoolSet,
    current: Option<&Object>,
    others: &[Pool],
) -> Result<Plan, CommandError> {
    let key = format!("pool/{}", set.name);
    let Some(Object::Pool(old)) = current else {
        return Err(not_found(&key));
    };
    if old.kind == Kind::Model {
        return Err(rejected(&key, "a pool of kind model has no routes"));
    }
    let pool = Pool {
        routes: set.route.clone(),
        ..old.clone()
    };
    check_unique(&key, &pool, others)?;
    Ok(Plan::write_if_changed(Object::Pool(pool), current))
}

/// Removes a pool to which none of `servers` belongs.
pub(crate) fn remove(
    name: &str,
    current: Option<&Object>,
    servers: &[Server],
) -> Result<Plan, CommandError> {
    let key = format!("pool/{name}");
    if current.is_none() {
        return Err(not_found(&key));
    }
    let remaining = servers
        .iter()
        .find(|server| server.pool == name && server.state != State::Removed);
    match remaining {
        Some(server) => Err(rejected(
            &key,
            format_args!(
                "pool still has servers, for example {}; remove them first",
                server.name
            ),
        )),
        None => Ok(Plan::Write(None)),
    }
}

/// Rejects an ID or route that another pool has.
fn check_unique(key: &str, pool: &Pool, others: &[Pool]) -> Result<(), CommandError> {
    let id = PoolId::of(&pool.name);
    for other in others.iter().filter(|other| other.name != pool.name) {
        if PoolId::of(&other.name) == id {
            let reason = format_args!(
                "name has the same ID as pool {}; choose another name",
                other.name
            );
            return Err(rejected(key, reason));
        }
        if let Some(route) = pool.routes.iter().find(|route| has_route(other, route)) {
            let reason = format_args!(
                "route {} {} already belongs to pool {}",
                route.method, route.prefix, other.name
            );
            return Err(rejected(key, reason));
        }
    }
    Ok(())
}

fn has_route(pool: &Pool, route: &Route) -> bool {
    pool.routes
        .iter()
        .any(|existing| existing.method == route.method && existing.prefix == route.prefix)
}
