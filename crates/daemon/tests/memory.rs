//! Memory of a gateway process while large values change quickly.

#[path = "soak/gateway.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod gateway;
#[path = "../../../platform/tests/standin/operator.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod operator;
#[path = "../../../platform/tests/standin/store.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod store;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::gateway::{Gateway, MEMORY_MB};
use crate::operator::{CONFIG_KEY, configuration};
use crate::store::Store;

/// Number of changes, and the interval between them: several in one response of the store.
const CHANGES: u64 = 400;
const CHANGE_INTERVAL: Duration = Duration::from_millis(25);

/// Size of the configuration, in bytes: all changes together take more than the memory.
const CONFIGURATION_BYTES: usize = 400_000;

/// Number of peers that read no answer, and of changes between two of their calls.
const STALLED_PEERS: u64 = 100;
const CALL_INTERVAL: u64 = CHANGES / STALLED_PEERS;

/// Time limit for the gateway to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A configuration whose customer has so many keys that it has [`CONFIGURATION_BYTES`].
fn large_configuration(version: u64) -> Vec<u8> {
    let key = "k".repeat(1_000);
    let keys = (0..CONFIGURATION_BYTES / key.len()).map(|index| format!("{key}{index}"));
    configuration(version, false, &keys.collect::<Vec<String>>())
}

async fn start(name: &str) -> (Store, Gateway, PathBuf) {
    let directory = std::env::temp_dir().join(format!("memory-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let store = Store::spawn().await;
    store.put(CONFIG_KEY, &large_configuration(1));
    let gateway = Gateway::new(&directory, 0, store.address, 1.0);
    gateway.start();
    let deadline = Instant::now() + START_TIMEOUT;
    while TcpStream::connect(gateway.control).await.is_err() {
        assert!(Instant::now() < deadline, "the gateway listens in time");
        sleep(Duration::from_millis(20)).await;
    }
    (store, gateway, directory)
}

/// Opens a connection that asks a gateway for a listing and reads nothing.
async fn ask_and_stall(gateway: &Gateway) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(gateway.control).await.ok()?;
    let request = "GET /relay/list HTTP/1.1\r\nhost: peer\r\n\r\n";
    stream.write_all(request.as_bytes()).await.ok()?;
    Some(stream)
}

/// Guards against a history of the key-value service that keeps each superseded value: gateways
/// were killed for their memory, with the requests of all their callers.
#[gtest]
#[tokio::test]
async fn changes_of_a_large_configuration_do_not_pile_up() {
    let (store, gateway, directory) = start("changes").await;
    let mut peak_mb = 0;
    for version in 2..CHANGES {
        store.put(CONFIG_KEY, &large_configuration(version));
        sleep(CHANGE_INTERVAL).await;
        let resident_mb = gateway.resident_mb();
        peak_mb = peak_mb.max(resident_mb.expect("the gateway runs"));
    }
    expect_that!(peak_mb, lt(MEMORY_MB));
    drop(std::fs::remove_dir_all(directory));
}

/// Guards against answers that peers do not take, each with a copy of another version.
#[gtest]
#[tokio::test]
async fn answers_to_stalled_peers_do_not_pile_up() {
    let (store, gateway, directory) = start("stalled").await;
    let mut peak_mb = 0;
    let mut stalled = Vec::new();
    for version in 2..CHANGES {
        store.put(CONFIG_KEY, &large_configuration(version));
        if version % CALL_INTERVAL == 0 {
            stalled.push(ask_and_stall(&gateway).await);
        }
        sleep(CHANGE_INTERVAL).await;
        let resident_mb = gateway.resident_mb();
        peak_mb = peak_mb.max(resident_mb.expect("the gateway runs"));
    }
    expect_that!(peak_mb, lt(MEMORY_MB));
    drop(std::fs::remove_dir_all(directory));
}
