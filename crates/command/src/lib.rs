//! The operators' command language and its answers.
//!
//! The same definitions parse words typed at the client and words sent to a
//! router's operator port. A definition only says what can be written; the
//! router's operator port does it. The doc comments of the definitions are the
//! help.

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
