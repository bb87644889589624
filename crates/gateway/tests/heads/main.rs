//! Tests of answers that are cut inside their head.
//!
//! They keep the processors busy, so they have their own binary and run one at a time.

#![allow(
    dead_code,
    reason = "the modules are shared with the other integration tests"
)]

#[path = "../gateway/backend.rs"]
mod backend;
#[path = "../gateway/caller.rs"]
mod caller;
mod cut_fleet;
mod cut_heads;
mod cut_peers;
#[path = "../gateway/feed.rs"]
mod feed;
#[path = "../gateway/fleet.rs"]
mod fleet;
mod planned_answer;
mod planned_server;
#[path = "../gateway/protocol.rs"]
mod protocol;
#[path = "../gateway/version_fleet.rs"]
mod version_fleet;

use tokio::sync::Mutex;

/// Held by the test that runs: gateways refuse connections while the machine is too busy.
static SERIAL: Mutex<()> = Mutex::const_new(());
