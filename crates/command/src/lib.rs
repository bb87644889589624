//! Operator commands and the JSON bodies of the operator API.
//!
//! The client and the routers parse commands with the same definitions; routers execute
//! them. The doc comments of the definitions are the help texts.

pub mod api;
mod command;
mod config;
mod customer;
mod error;
mod pool;
mod redact;
mod server;
mod status;
mod value;
mod waiting;

pub use api::{CommandError, Output, Request, Response};
pub use command::Command;
pub use config::{Action as ConfigAction, Config, History as ConfigHistory, Show as ConfigShow};
pub use customer::{
    Action as CustomerAction, Add as CustomerAdd, Customer, List as CustomerList,
    Remove as CustomerRemove, Set as CustomerSet, Show as CustomerShow,
};
pub use error::ParseError;
pub use pool::{
    Action as PoolAction, Add as PoolAdd, List as PoolList, Pool, Remove as PoolRemove,
    Set as PoolSet,
};
pub use redact::redact;
pub use server::{
    Action as ServerAction, Add as ServerAdd, Drain as ServerDrain, List as ServerList,
    Remove as ServerRemove, Resume as ServerResume, Server,
};
pub use status::Status;
pub use waiting::Waiting;
