//! The router role: accepts callers' requests, queues them, sends each to a server
//! with a free slot, and forwards the answer.

mod answer;
mod attempt;
mod body;
mod broken;
mod call;
mod callers;
mod core;
mod demand_selector;
mod dispatch;
mod error;
mod handle;
mod header;
mod home;
pub mod inspect;
mod late;
mod link;
mod links;
mod operator_api;
mod outcome;
mod paced;
mod pending;
mod place;
mod pool_queue;
mod pool_queues;
mod queued_request;
mod queueing;
mod refusal;
mod refusals;
mod relay;
mod request;
mod request_table;
mod running;
mod running_counts;
mod sent_keys;
mod service;
mod stalls;
mod stop;

pub use error::Error;
pub use handle::Router;
pub use inspect::Inspector;
