//! Commands on servers.

use std::net::SocketAddr;

use gumdrop::Options;

use crate::value;

/// Backend servers, each with a sidecar beside it.
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Server {
    /// print this help
    pub help: bool,
    /// subcommand
    #[options(command, required)]
    pub action: Option<Action>,
}

/// Subcommands on servers.
#[derive(Clone, Debug, PartialEq, Eq, Options)]
pub enum Action {
    /// add a server
    Add(Add),
    /// give a server no new work; what it runs ends
    Drain(Drain),
    /// give a drained server new work again
    Resume(Resume),
    /// remove a server
    Remove(Remove),
    /// list all servers
    List(List),
}

/// Adds a server to a pool, or adds a removed one again. The addresses are those
/// of its sidecar.
///
/// Example: mulberryyoke server add m-3 --pool falcon-7b --zone a --control 10.0.1.3:7100 --data 10.0.1.3:7101 --slots 8
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Add {
    /// print this help
    pub help: bool,
    /// unique name, as in the sidecar's settings
    #[options(free, required, parse(try_from_str = "value::name"))]
    pub name: String,
    /// pool it belongs to
    #[options(required, meta = "POOL", parse(try_from_str = "value::name"))]
    pub pool: String,
    /// region it runs in
    #[options(meta = "REGION")]
    pub region: String,
    /// availability zone it runs in
    #[options(required, meta = "ZONE")]
    pub zone: String,
    /// control address of its sidecar
    #[options(required, meta = "IP:PORT", default_expr = "value::NO_ADDRESS")]
    pub control: SocketAddr,
    /// data address of its sidecar
    #[options(required, meta = "IP:PORT", default_expr = "value::NO_ADDRESS")]
    pub data: SocketAddr,
    /// maximum number of concurrent requests
    #[options(required, meta = "N", parse(try_from_str = "value::positive"))]
    pub slots: u32,
    /// wait until every node has applied the change
    pub wait: bool,
    /// print JSON
    pub json: bool,
}

/// Drains a server: it gets no new requests, and those in progress complete. Its
/// sidecar stays connected.
///
/// Example: mulberryyoke server drain m-3 --wait
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Drain {
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

/// Sends new requests to a drained server again.
///
/// Example: mulberryyoke server resume m-3
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct Resume {
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

/// Removes a server: it gets no new requests, and routers disconnect from its
/// sidecar. Its entry is retained, to tell where non-idempotent requests may have
/// run. Drain it first to let requests in progress complete.
///
/// Example: mulberryyoke server remove m-3 --wait
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

/// Lists servers with their state; removed servers only with --all.
///
/// Example: mulberryyoke server list --pool falcon-7b
#[derive(Clone, Debug, PartialEq, Eq, Options)]
#[options(no_short)]
pub struct List {
    /// print this help
    pub help: bool,
    /// only servers of this pool
    #[options(meta = "POOL")]
    pub pool: Option<String>,
    /// include removed servers
    pub all: bool,
    /// print JSON
    pub json: bool,
}

impl Action {
    pub(crate) const fn is_write(&self) -> bool {
        !matches!(self, Self::List(_))
    }

    pub(crate) const fn json(&self) -> bool {
        match self {
            Self::Add(add) => add.json,
            Self::Drain(drain) => drain.json,
            Self::Resume(resume) => resume.json,
            Self::Remove(remove) => remove.json,
            Self::List(list) => list.json,
        }
    }

    pub(crate) const fn wait(&self) -> bool {
        match self {
            Self::Add(add) => add.wait,
            Self::Drain(drain) => drain.wait,
            Self::Resume(resume) => resume.wait,
            Self::Remove(remove) => remove.wait,
            Self::List(_) => false,
        }
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        match self {
            Self::Add(add) if add.control == add.data => {
                Err("--control and --data: addresses must differ".to_owned())
            }
            Self::Add(add) if add.control.port() == 0 || add.data.port() == 0 => {
                Err("--control and --data: ports must be from 1 to 65535".to_owned())
            }
            _ => Ok(()),
        }
    }
}
