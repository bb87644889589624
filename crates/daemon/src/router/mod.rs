//! The router role: accepts callers' requests, queues them, sends each to a server
//! with a free slot, and forwards the response.

mod abandoned_attempt;
mod attempt;
mod body;
mod body_error;
mod call;
mod core;
mod demand_selector;
mod dispatch;
mod error;
mod header;
mod home;
mod in_flight;
pub mod inspect;
mod link;
mod links;
mod listener;
mod operator_api;
mod outcome;
mod pool_queue;
mod pool_queues;
mod queued_request;
mod queueing;
mod refusal;
mod refusals;
mod relay;
mod request;
mod request_table;
mod response;
mod response_body;
mod role;
mod running_counts;
mod sent_keys;
mod service;
mod shutdown;
mod slot;
mod stall_monitor;
mod timeout_stream;

pub use error::Error;
pub use inspect::Inspector;
pub use role::Router;
