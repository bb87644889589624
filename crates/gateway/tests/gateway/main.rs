//! Tests of gateways against simulated callers, backend servers, peers and key-value service.

mod admission;
mod backend;
mod cache_report;
mod caller;
mod cold;
mod configuration;
mod convictions;
mod crash_fleet;
mod crashes;
mod crashing_server;
mod evacuation;
mod exchange;
mod feed;
mod fleet;
mod handoff;
mod lagging;
mod leaving;
mod notices;
mod overload;
mod peers;
mod protocol;
mod responses;
mod restore;
mod retries;
mod shutdown;
mod streams;
