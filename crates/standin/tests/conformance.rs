//! Behavior of the key-value service that its client relies on, checked against the stand-in.
//!
//! The session deletes the keys that it writes.

use std::net::{Ipv4Addr, SocketAddr};

use futures::StreamExt;
use googletest::prelude::*;
use mulberryyoke_platform::kv::{Error, Etcd, Expect, Kv, LeaseId, Options, Swap, Watch};
use mulberryyoke_standin::kv::Store;

const PREFIX: &str = "conformance/";
const KEY: &str = "conformance/a";
const OTHER: &str = "conformance/b";

fn client(endpoint: SocketAddr) -> Etcd {
    let options = Options {
        page_size: 2,
        ..Options::default()
    };
    Etcd::new(vec![endpoint], options)
}

async fn put(client: &Etcd, key: &str, value: &str, lease: Option<LeaseId>) -> u64 {
    let value = Some(value.into());
    let swap = client.swap(key, Expect::Any, value, lease).await;
    swapped(&swap.expect("put"))
}

fn swapped(swap: &Swap) -> u64 {
    match swap {
        Swap::Done(revision) => *revision,
        Swap::Conflict(current) => panic!("conflict with {current:?}"),
    }
}

async fn next_event(watch: &mut Watch) -> (String, Option<Vec<u8>>, u64) {
    let event = watch.next().await.expect("event").expect("no error");
    (event.key, event.value, event.revision)
}

async fn check_swaps(client: &Etcd) {
    let first = client.swap(KEY, Expect::Absent, Some("1".into()), None);
    let first = swapped(&first.await.expect("swap"));
    let conflict = client.swap(KEY, Expect::Absent, Some("2".into()), None);
    let Swap::Conflict(Some(current)) = conflict.await.expect("swap") else {
        panic!("created twice");
    };
    expect_that!(
        (current.revision, current.value),
        eq(&(first, b"1".to_vec()))
    );
    let second = client.swap(KEY, Expect::Revision(first), Some(Vec::new()), None);
    let second = swapped(&second.await.expect("swap"));
    expect_that!(second, gt(first));
    let current = client.get(KEY).await.expect("read").expect("an entry");
    expect_that!((current.revision, current.value), eq(&(second, Vec::new())));
    let stale = client.swap(KEY, Expect::Revision(first), None, None).await;
    expect_that!(stale, ok(pat!(Swap::Conflict(some(anything())))));
    let deleted = client.swap(KEY, Expect::Revision(second), None, None).await;
    swapped(&deleted.expect("swap"));
    expect_that!(client.get(KEY).await, ok(none()));
    let absent = client.swap(KEY, Expect::Revision(second), None, None).await;
    expect_that!(absent, ok(eq(&Swap::Conflict(None))));
}

async fn check_ranges(client: &Etcd) {
    let keys: Vec<String> = (0..5)
        .map(|number| format!("{PREFIX}list/{number}"))
        .collect();
    for key in &keys {
        put(client, key, "v", None).await;
    }
    let listing = client
        .range(&format!("{PREFIX}list/"))
        .await
        .expect("listing");
    let listed: Vec<String> = listing.entries.into_iter().map(|pair| pair.key).collect();
    expect_that!(listed, eq(&keys));
    let all = client.range("").await.expect("listing");
    expect_that!(all.entries.len(), ge(keys.len()));
    for key in &keys {
        let deleted = client.swap(key, Expect::Any, None, None).await;
        expect_that!(deleted, ok(pat!(Swap::Done(gt(&listing.revision)))));
    }
}

async fn check_watches(client: &Etcd) {
    let first = put(client, KEY, "1", None).await;
    put(client, "conformanc", "not below the prefix", None).await;
    let mut watch = client.watch(PREFIX, first).await.expect("watch");
    expect_that!(watch.revision(), gt(first));
    expect_that!(
        next_event(&mut watch).await,
        eq(&(KEY.to_owned(), Some(b"1".to_vec()), first))
    );
    let second = put(client, OTHER, "2", None).await;
    expect_that!(
        next_event(&mut watch).await,
        eq(&(OTHER.to_owned(), Some(b"2".to_vec()), second))
    );
    for key in [KEY, OTHER, "conformanc"] {
        let deleted = client.swap(key, Expect::Any, None, None).await;
        swapped(&deleted.expect("swap"));
    }
    expect_that!(
        next_event(&mut watch).await,
        eq(&(KEY.to_owned(), None, second + 1))
    );
    let ahead = client.watch(PREFIX, second + 1_000).await.expect("watch");
    expect_that!(ahead.revision(), lt(second + 1_000));
}

async fn check_leases(client: &Etcd) {
    let lease = client.lease_grant(59_500).await.expect("lease");
    let renewed = client.lease_keep_alive(lease.id).await.expect("renewed");
    expect_that!(renewed.id, eq(lease.id));
    expect_that!(renewed.deadline, ge(lease.deadline));
    let revision = put(client, KEY, "leased", Some(lease.id)).await;
    let current = client.get(KEY).await.expect("read").expect("an entry");
    expect_that!(current.lease, some(eq(lease.id)));
    let mut watch = client.watch(PREFIX, revision + 1).await.expect("watch");
    expect_that!(client.lease_revoke(lease.id).await, ok(anything()));
    expect_that!(
        next_event(&mut watch).await,
        eq(&(KEY.to_owned(), None, revision + 1))
    );
    expect_that!(
        client.lease_keep_alive(lease.id).await,
        err(pat!(Error::LeaseExpired))
    );
    expect_that!(
        client.lease_revoke(lease.id).await,
        err(pat!(Error::Refused(_)))
    );
    let stale = client.swap(KEY, Expect::Any, Some("v".into()), Some(lease.id));
    expect_that!(stale.await, err(pat!(Error::Refused(_))));
}

async fn check_service(endpoint: SocketAddr) {
    let client = client(endpoint);
    check_swaps(&client).await;
    check_ranges(&client).await;
    check_watches(&client).await;
    check_leases(&client).await;
    let remaining = client.range(PREFIX).await.expect("listing");
    expect_that!(remaining.entries, is_empty());
}

#[gtest]
#[tokio::test]
async fn the_stand_in_behaves_as_its_client_expects() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handle = Store::bind(address).await.expect("port");
    check_service(handle.address()).await;
}
