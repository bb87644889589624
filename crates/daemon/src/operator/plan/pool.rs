//! Changes of pools.

use mulberryyoke_command::answer::Refusal;
use mulberryyoke_command::{PoolAdd, PoolSet};
use mulberryyoke_model::{Kind, Object, Pool, PoolId, Route, Server, State};

use super::{Plan, exists, missing, refused};

/// Adds a pool beside `others`.
pub(crate) fn add(add: &PoolAdd, held: Option<&Object>, others: &[Pool]) -> Result<Plan, Refusal> {
    let key = format!("pool/{}", add.name);
    let pool = Pool {
        name: add.name.clone(),
        kind: add.kind,
        routes: add.route.clone(),
    };
    check(&key, &pool, others)?;
    let object = Object::Pool(pool);
    match held {
        Some(held) if *held == object => Ok(Plan::Keep),
        Some(_) => Err(exists(&key)),
        None => Ok(Plan::Write(Some(object))),
    }
}

/// Replaces the routes of a plain service.
pub(crate) fn set(set: &PoolSet, held: Option<&Object>, others: &[Pool]) -> Result<Plan, Refusal> {
    let key = format!("pool/{}", set.name);
    let Some(Object::Pool(old)) = held else {
        return Err(missing(&key));
    };
    if old.kind == Kind::Model {
        return Err(refused(&key, "a model has no routes"));
    }
    let pool = Pool {
        routes: set.route.clone(),
        ..old.clone()
    };
    check(&key, &pool, others)?;
    Ok(Plan::put(Object::Pool(pool), held))
}

/// Removes a pool that has none of `servers`.
pub(crate) fn remove(
    name: &str,
    held: Option<&Object>,
    servers: &[Server],
) -> Result<Plan, Refusal> {
    let key = format!("pool/{name}");
    if held.is_none() {
        return Err(missing(&key));
    }
    let left = servers
        .iter()
        .find(|server| server.pool == name && server.state != State::Removed);
    match left {
        Some(server) => Err(refused(
            &key,
            format_args!("it has servers, {} for one; remove them first", server.name),
        )),
        None => Ok(Plan::Write(None)),
    }
}

/// Refuses identities and routes that another pool has.
fn check(key: &str, pool: &Pool, others: &[Pool]) -> Result<(), Refusal> {
    let id = PoolId::of(&pool.name);
    for other in others.iter().filter(|other| other.name != pool.name) {
        if PoolId::of(&other.name) == id {
            let reason = format_args!(
                "its identity is that of pool {}; choose another name",
                other.name
            );
            return Err(refused(key, reason));
        }
        if let Some(route) = pool.routes.iter().find(|route| takes(other, route)) {
            let reason = format_args!(
                "route {} {} belongs to pool {} already",
                route.method, route.prefix, other.name
            );
            return Err(refused(key, reason));
        }
    }
    Ok(())
}

fn takes(pool: &Pool, route: &Route) -> bool {
    pool.routes
        .iter()
        .any(|taken| taken.method == route.method && taken.prefix == route.prefix)
}
