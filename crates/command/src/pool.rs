//! Commands on pools.

use gumdrop::Options;
use mulberryyoke_model::{Kind, Route};

use crate::value;

/// Pools of interchangeable servers: models and HTTP services.
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Pool {
    /// print this help
    pub help: bool,
    /// subcommand
    #[options(command, required)]
    pub action: Option<Action>,
}

/// Subcommands on pools.
#[derive(Clone, Debug, PartialEq, Eq, Options)]
pub enum Action {
    /// add a pool
    Add(Add),
    /// replace the routes of a plain service
    Set(Set),
    /// remove a pool without servers
    Remove(Remove),
    /// list all pools
    List(List),
}

/// Adds a pool. The name of a model's pool is the model name in requests. An HTTP
/// service has routes, each "METHOD /PREFIX repeatable|once COST": `repeatable` if
/// requests are idempotent, else `once`; COST is in tokens.
///
/// Example: mulberryyoke pool add booking --kind service --route "POST /bookings once 40"
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Add {
    /// print this help
    pub help: bool,
    /// unique name
    #[options(free, required, parse(try_from_str = "value::name"))]
    pub name: String,
    /// model or service
    #[options(
        required,
        meta = "KIND",
        default_expr = "Kind::Model",
        parse(try_from_str = "value::kind")
    )]
    pub kind: Kind,
    /// route of an HTTP service; may be given several times
    #[options(meta = "ROUTE", parse(try_from_str = "value::route"))]
    pub route: Vec<Route>,
    /// wait until every node has applied the change
    pub wait: bool,
    /// print JSON
    pub json: bool,
}

/// Replaces all routes of an HTTP service.
///
/// Example: mulberryyoke pool set booking --route "GET /bookings repeatable 10"
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Set {
    /// print this help
    pub help: bool,
    /// its name
    #[options(free, required, parse(try_from_str = "value::name"))]
    pub name: String,
    /// route of an HTTP service; may be given several times
    #[options(required, meta = "ROUTE", parse(try_from_str = "value::route"))]
    pub route: Vec<Route>,
    /// fail unless its latest write has this revision
    #[options(meta = "REVISION")]
    pub at: Option<u64>,
    /// wait until every node has applied the change
    pub wait: bool,
    /// print JSON
    pub json: bool,
}

/// Removes a pool that has no servers.
///
/// Example: mulberryyoke pool remove booking
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Remove {
    /// print this help
    pub help: bool,
    /// its name
    #[options(free, required, parse(try_from_str = "value::name"))]
    pub name: String,
    /// fail unless its latest write has this revision
    #[options(meta = "REVISION")]
    pub at: Option<u64>,
    /// wait until every node has applied the change
    pub wait: bool,
    /// print JSON
    pub json: bool,
}

/// Lists all pools with their routes.
///
/// Example: mulberryyoke pool list
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct List {
    /// print this help
    pub help: bool,
    /// print JSON
    pub json: bool,
}

impl Action {
    pub(crate) const fn is_write(&self) -> bool {
        matches!(self, Self::Add(_) | Self::Set(_) | Self::Remove(_))
    }

    pub(crate) const fn json(&self) -> bool {
        match self {
            Self::Add(add) => add.json,
            Self::Set(set) => set.json,
            Self::Remove(remove) => remove.json,
            Self::List(list) => list.json,
        }
    }

    pub(crate) const fn wait(&self) -> bool {
        match self {
            Self::Add(add) => add.wait,
            Self::Set(set) => set.wait,
            Self::Remove(remove) => remove.wait,
            Self::List(_) => false,
        }
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        match self {
            Self::Add(add) => add.check(),
            Self::Set(_) | Self::Remove(_) | Self::List(_) => Ok(()),
        }
    }
}

impl Add {
    fn check(&self) -> Result<(), String> {
        match self.kind {
            Kind::Model if !self.route.is_empty() => {
                Err("--route: only a pool of kind service has routes".to_owned())
            }
            Kind::Service if self.route.is_empty() => {
                Err("--route: a pool of kind service needs at least one route".to_owned())
            }
            Kind::Model | Kind::Service => Ok(()),
        }
    }
}
