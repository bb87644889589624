//! What the client relies on, as one session against the stand-in. It writes below
//! `conformance/` only and ends with nothing left there.

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
    done(&swap.expect("put"))
}

fn done(swap: &Swap) -> u64 {
    match swap {
        Swap::Done(revision) => *revision,
        Swap::Conflict(held) => panic!("conflict with {held:?}"),
    }
}

async fn next(watch: &mut Watch) -> (String, Option<Vec<u8>>, u64) {
    let event = watch.next().await.expect("event").expect("no error");
    (event.key, event.value, event.revision)
}

async fn swaps(client: &Etcd) {
    let first = client.swap(KEY, Expect::Absent, Some("1".into()), None);
    let first = done(&first.await.expect("swap"));
    let refused = client.swap(KEY, Expect::Absent, Some("2".into()), None);
    let Swap::Conflict(Some(held)) = refused.await.expect("swap") else {
        panic!("created twice");
    };
    expect_that!((held.revision, held.value), eq(&(first, b"1".to_vec())));
    let second = client.swap(KEY, Expect::Revision(first), Some(Vec::new()), None);
    let second = done(&second.await.expect("swap"));
    expect_that!(second, gt(first));
    let held = client.get(KEY).await.expect("read").expect("there");
    expect_that!((held.revision, held.value), eq(&(second, Vec::new())));
    let stale = client.swap(KEY, Expect::Revision(first), None, None).await;
    expect_that!(stale, ok(pat!(Swap::Conflict(some(anything())))));
    let gone = client.swap(KEY, Expect::Revision(second), None, None).await;
    done(&gone.expect("swap"));
    expect_that!(client.get(KEY).await, ok(none()));
    let absent = client.swap(KEY, Expect::Revision(second), None, None).await;
    expect_that!(absent, ok(eq(&Swap::Conflict(None))));
}

async fn lists(client: &Etcd) {
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
    let held: Vec<String> = listing.entries.into_iter().map(|pair| pair.key).collect();
    expect_that!(held, eq(&keys));
    let all = client.range("").await.expect("listing");
    expect_that!(all.entries.len(), ge(keys.len()));
    for key in &keys {
        let gone = client.swap(key, Expect::Any, None, None).await;
        expect_that!(gone, ok(pat!(Swap::Done(gt(&listing.revision)))));
    }
}

async fn watches(client: &Etcd) {
    let first = put(client, KEY, "1", None).await;
    put(client, "conformanc", "not below the prefix", None).await;
    let mut watch = client.watch(PREFIX, first).await.expect("watch");
    expect_that!(watch.revision(), gt(first));
    expect_that!(
        next(&mut watch).await,
        eq(&(KEY.to_owned(), Some(b"1".to_vec()), first))
    );
    let second = put(client, OTHER, "2", None).await;
    expect_that!(
        next(&mut watch).await,
        eq(&(OTHER.to_owned(), Some(b"2".to_vec()), second))
    );
    for key in [KEY, OTHER, "conformanc"] {
        let gone = client.swap(key, Expect::Any, None, None).await;
        done(&gone.expect("swap"));
    }
    expect_that!(
        next(&mut watch).await,
        eq(&(KEY.to_owned(), None, second + 1))
    );
    let ahead = client.watch(PREFIX, second + 1_000).await.expect("watch");
    expect_that!(ahead.revision(), lt(second + 1_000));
}

async fn leases(client: &Etcd) {
    let lease = client.lease_grant(59_500).await.expect("lease");
    let kept = client.lease_keep_alive(lease.id).await.expect("kept");
    expect_that!(kept.id, eq(lease.id));
    expect_that!(kept.deadline, ge(lease.deadline));
    let revision = put(client, KEY, "leased", Some(lease.id)).await;
    let held = client.get(KEY).await.expect("read").expect("there");
    expect_that!(held.lease, some(eq(lease.id)));
    let mut watch = client.watch(PREFIX, revision + 1).await.expect("watch");
    expect_that!(client.lease_revoke(lease.id).await, ok(anything()));
    expect_that!(
        next(&mut watch).await,
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

async fn session(endpoint: SocketAddr) {
    let client = client(endpoint);
    swaps(&client).await;
    lists(&client).await;
    watches(&client).await;
    leases(&client).await;
    let left = client.range(PREFIX).await.expect("listing");
    expect_that!(left.entries, is_empty());
}

#[gtest]
#[tokio::test]
async fn the_stand_in_conforms() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handle = Store::bind(address).await.expect("port");
    session(handle.address()).await;
}
