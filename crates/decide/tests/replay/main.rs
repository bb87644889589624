//! Seeded loads played against the decisions on prompts and a small model of engines:
//! no processes, no sockets, no clock.

mod gateway;
mod load;
mod report;
mod server;
mod world;

mod patterns;
