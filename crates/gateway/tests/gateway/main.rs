//! A gateway between callers, backend servers, peers and a key-value service that
//! are all played by the test.

mod admission;
mod backend;
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
mod kept;
mod lagging;
mod leaving;
mod notices;
mod peers;
mod protocol;
mod responses;
mod restore;
mod retries;
mod stop;
mod strain;
mod streams;
