//! Client of the VM list against the stand-in.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use googletest::prelude::*;
use mulberryyoke_platform::HttpError;
use mulberryyoke_platform::vm::{Error, Http, Role, State, Vm, Vms};
use mulberryyoke_standin::vms::{Handle, List, Update};

fn vm(name: &str, role: Role) -> Vm {
    Vm {
        name: name.to_owned(),
        role,
        region: "delta".to_owned(),
        zone: "delta-1".to_owned(),
        control: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000)),
        state: State::Live,
    }
}

async fn spawn() -> (Handle, Http) {
    let vms = vec![vm("router-1", Role::Router), vm("model-1", Role::Sidecar)];
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handle = List::bind(address, vms).await.expect("port");
    let client = Http::new(handle.address());
    (handle, client)
}

async fn states(client: &Http) -> Vec<(String, State)> {
    let list = client.list().await.expect("list");
    list.into_iter().map(|vm| (vm.name, vm.state)).collect()
}

fn set_leaving(lag_ms: u64) -> Update {
    Update {
        lag_ms: Some(lag_ms),
        states: BTreeMap::from([("model-1".to_owned(), State::Leaving)]),
        ..Update::default()
    }
}

fn expected_states(state: State) -> Vec<(String, State)> {
    vec![
        ("model-1".to_owned(), state),
        ("router-1".to_owned(), State::Live),
    ]
}

#[gtest]
#[tokio::test]
async fn the_list_contains_added_vms_and_no_removed_ones() {
    let (handle, client) = spawn().await;
    let expected = vec![vm("model-1", Role::Sidecar), vm("router-1", Role::Router)];
    expect_that!(client.list().await, ok(eq(&expected)));
    handle.update(Update {
        add: vec![vm("router-2", Role::Router), vm("database", Role::Other)],
        remove: vec!["model-1".to_owned(), "unknown".to_owned()],
        ..Update::default()
    });
    let names: Vec<String> = states(&client)
        .await
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    expect_that!(names, eq(&["database", "router-1", "router-2"]));
    expect_that!(handle.stats().total, eq(2));
}

#[gtest]
#[tokio::test]
async fn changes_appear_after_the_lag() {
    let (handle, client) = spawn().await;
    handle.update(set_leaving(3_600_000));
    expect_that!(states(&client).await, eq(&expected_states(State::Live)));
    handle.update(set_leaving(0));
    expect_that!(states(&client).await, eq(&expected_states(State::Leaving)));
}

#[gtest]
#[tokio::test]
async fn a_pending_change_appears_without_another_update() {
    let (handle, client) = spawn().await;
    handle.update(set_leaving(20));
    while states(&client).await != expected_states(State::Leaving) {}
}

#[gtest]
#[tokio::test]
async fn calls_fail_during_an_outage_only() {
    let (handle, client) = spawn().await;
    let outage = |outage| Update {
        outage: Some(outage),
        ..Update::default()
    };
    handle.update(outage(true));
    expect_that!(
        client.list().await,
        err(pat!(Error::Read(pat!(HttpError::Disconnected(_)))))
    );
    handle.update(outage(false));
    expect_that!(states(&client).await, eq(&expected_states(State::Live)));
}
