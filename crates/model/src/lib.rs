//! Configuration objects, identities and messages shared by all packages.
//!
//! A *customer* shares capacity with others, a *server* is a backend server with a
//! sidecar, a *zone* is an availability zone. `docs/GLOSSARY.md` defines further terms.

mod attempt;
mod class;
mod config;
mod customer;
mod digest;
mod grant;
mod id;
mod interest;
mod load;
mod outcome;
mod pool;
mod saturating;
mod server;
mod statement;
mod stream;
mod ticket;
mod time;
mod usage;

pub use attempt::Attempt;
pub use class::Class;
pub use config::{Change, Config, Entry, Object, Revision, Write};
pub use customer::{Customer, KeyHash};
pub use digest::Digest;
pub use grant::Grant;
pub use id::{CustomerId, Incarnation, KeyId, PoolId, ServerId, VersionId};
pub use interest::Interest;
pub use load::Load;
pub use outcome::Outcome;
pub use pool::{Kind, Pool, Route};
pub use saturating::{saturating_u32, saturating_u64};
pub use server::{Server, State};
pub use statement::{Flow, OriginCounters, OriginSum, PoolCounters, Relation, Statement};
pub use stream::StreamId;
pub use ticket::Ticket;
pub use time::Millis;
pub use usage::{Report, Usage};
