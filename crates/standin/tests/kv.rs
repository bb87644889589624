//! Client of the key-value service against the stand-in.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Instant;

use futures::StreamExt;
use googletest::prelude::*;
use mulberryyoke_platform::HttpError;
use mulberryyoke_platform::kv::{
    Error, Etcd, Event, Expect, Kv, LeaseId, MAX_VALUE_BYTES, Options, Pair, Swap, Watch,
};
use mulberryyoke_standin::kv::{Action, Faults, Handle, ScriptedResponse, Store};

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Message that confirms the creation of a watch.
const CREATED: &str = r#"{"result":{"header":{"revision":"7"},"created":true}}"#;

async fn spawn() -> (Handle, Etcd) {
    let handle = Store::bind(LOOPBACK).await.expect("port");
    let client = client(&handle);
    (handle, client)
}

fn client(handle: &Handle) -> Etcd {
    Etcd::new(vec![handle.address()], Options::default())
}

fn execute(handle: &Handle, action: Action) {
    handle.set_faults(&Faults {
        once: vec![action],
        ..Faults::default()
    });
}

fn set_outage(handle: &Handle, outage: bool) {
    handle.set_faults(&Faults {
        outage: Some(outage),
        ..Faults::default()
    });
}

async fn put(client: &Etcd, key: &str, value: &str) -> u64 {
    let swap = client
        .swap(key, Expect::Any, Some(value.into()), None)
        .await;
    match swap.expect("put") {
        Swap::Done(revision) => revision,
        Swap::Conflict(_) => panic!("conflict without a precondition"),
    }
}

fn pair(key: &str, value: &str, revision: u64) -> Pair {
    Pair {
        key: key.to_owned(),
        value: value.into(),
        revision,
        lease: None,
    }
}

fn event(key: &str, value: Option<&str>, revision: u64) -> Event {
    Event {
        key: key.to_owned(),
        value: value.map(Into::into),
        revision,
    }
}

async fn next_event(watch: &mut Watch) -> Event {
    watch.next().await.expect("event").expect("no error")
}

#[gtest]
#[tokio::test]
async fn a_swap_takes_effect_only_if_its_precondition_holds() {
    let (_handle, client) = spawn().await;
    let done = Swap::Done;
    let conflict = |value, revision| Swap::Conflict(Some(pair("a", value, revision)));
    let cases = [
        (Expect::Revision(7), Some("0"), Swap::Conflict(None)),
        (Expect::Absent, Some("1"), done(2)),
        (Expect::Absent, Some("2"), conflict("1", 2)),
        (Expect::Revision(1), Some("2"), conflict("1", 2)),
        (Expect::Revision(2), Some("2"), done(3)),
        (Expect::Any, Some("3"), done(4)),
        (Expect::Revision(3), None, conflict("3", 4)),
        (Expect::Revision(4), None, done(5)),
        (Expect::Absent, Some(""), done(6)),
        (Expect::Absent, Some("4"), conflict("", 6)),
    ];
    for (precondition, value, expected) in cases {
        let value = value.map(Into::into);
        let swap = client.swap("a", precondition, value, None).await;
        expect_that!(swap, ok(eq(&expected)), "{precondition:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_range_contains_the_keys_with_a_prefix_at_one_revision() {
    let (_handle, client) = spawn().await;
    for (key, value) in [("a/1", "x"), ("a/2", "y"), ("b/1", "z"), ("a", "w")] {
        put(&client, key, value).await;
    }
    let cases = [
        ("a/", vec![pair("a/1", "x", 2), pair("a/2", "y", 3)]),
        ("b", vec![pair("b/1", "z", 4)]),
        ("c", vec![]),
    ];
    for (prefix, entries) in cases {
        let listing = client.range(prefix).await.expect("listing");
        expect_that!(listing.revision, eq(5));
        expect_that!(listing.entries, eq(&entries));
    }
    expect_that!(client.get("a/2").await, ok(some(eq(&pair("a/2", "y", 3)))));
    expect_that!(client.get("a/").await, ok(none()));
}

#[gtest]
#[tokio::test]
async fn exactly_one_of_many_concurrent_writers_creates_a_key() {
    let (handle, client) = spawn().await;
    let writers = (0..32).map(|writer: u32| {
        let client = client.clone();
        tokio::spawn(async move {
            let value = writer.to_string().into_bytes();
            client.swap("k", Expect::Absent, Some(value), None).await
        })
    });
    let mut created = 0;
    let mut conflicting = Vec::new();
    for writer in writers.collect::<Vec<_>>() {
        match writer.await.expect("task").expect("swap") {
            Swap::Done(revision) => {
                created += 1;
                expect_that!(revision, eq(2));
            }
            Swap::Conflict(pair) => conflicting.push(pair.expect("current value").value),
        }
    }
    let current = client
        .get("k")
        .await
        .expect("read")
        .expect("an entry")
        .value;
    expect_that!(created, eq(1));
    expect_that!(conflicting, each(eq(&current)));
    expect_that!(handle.stats().revision, eq(2));
}

#[gtest]
#[tokio::test]
async fn a_write_whose_response_is_lost_has_an_unknown_outcome_and_takes_effect() {
    let (handle, client) = spawn().await;
    handle.set_faults(&Faults {
        lose_answers: Some(1),
        ..Faults::default()
    });
    let lost = client
        .swap("k", Expect::Absent, Some("v".into()), None)
        .await;
    expect_that!(
        lost,
        err(pat!(Error::Unknown(pat!(HttpError::Disconnected(_)))))
    );
    expect_that!(client.get("k").await, ok(some(eq(&pair("k", "v", 2)))));
    let again = client
        .swap("k", Expect::Absent, Some("v".into()), None)
        .await;
    expect_that!(again, ok(eq(&Swap::Conflict(Some(pair("k", "v", 2))))));
    expect_that!(handle.stats().lost_answers, eq(1));
}

#[gtest]
#[tokio::test]
async fn the_outcome_is_unknown_in_an_outage_but_known_if_the_connection_is_refused() {
    let (handle, client) = spawn().await;
    put(&client, "k", "1").await;
    set_outage(&handle, true);
    let disconnected = client.swap("k", Expect::Any, Some("2".into()), None).await;
    expect_that!(disconnected, err(pat!(Error::Unknown(_))));
    set_outage(&handle, false);
    expect_that!(client.get("k").await, ok(some(eq(&pair("k", "1", 2)))));
    let address = handle.address();
    let store = handle.stop();
    let refused = client.swap("k", Expect::Any, Some("3".into()), None).await;
    expect_that!(refused, err(anything()));
    let refused = client.swap("k", Expect::Any, Some("3".into()), None).await;
    expect_that!(
        refused,
        err(pat!(Error::Unsent(pat!(HttpError::Connect(_)))))
    );
    let handle = store.rebind(address).await.expect("port");
    expect_that!(client.get("k").await, ok(some(eq(&pair("k", "1", 2)))));
    drop(handle);
}

#[gtest]
#[tokio::test]
async fn the_next_endpoint_is_called_if_one_is_down() {
    let (handle, _) = spawn().await;
    let (down, _) = spawn().await;
    let endpoints = vec![down.address(), handle.address()];
    drop(down);
    let client = Etcd::new(endpoints, Options::default());
    expect_that!(put(&client, "k", "v").await, eq(2));
    expect_that!(client.get("k").await, ok(some(eq(&pair("k", "v", 2)))));
}

#[gtest]
#[tokio::test]
async fn a_write_that_times_out_has_an_unknown_outcome_and_takes_effect_later() {
    let (handle, client) = spawn().await;
    let mut watch = client.watch("", 0).await.expect("watch");
    let options = Options {
        call_timeout_ms: 1_000,
        ..Options::default()
    };
    let timeout_client = Etcd::new(vec![handle.address()], options);
    handle.set_faults(&Faults {
        delay_ms: Some(3_600_000),
        ..Faults::default()
    });
    let timed_out = timeout_client
        .swap("k", Expect::Absent, Some("v".into()), None)
        .await;
    expect_that!(
        timed_out,
        err(pat!(Error::Unknown(pat!(HttpError::TimedOut))))
    );
    expect_that!(timeout_client.range("").await, err(pat!(Error::Unknown(_))));
    handle.set_faults(&Faults {
        delay_ms: Some(0),
        ..Faults::default()
    });
    expect_that!(next_event(&mut watch).await, eq(&event("k", Some("v"), 2)));
}

#[gtest]
#[tokio::test]
async fn a_watch_starts_at_a_past_revision() {
    let (handle, client) = spawn().await;
    put(&client, "a/1", "x").await;
    put(&client, "b/1", "y").await;
    put(&client, "a/1", "z").await;
    let mut watch = client.watch("a/", 2).await.expect("watch");
    expect_that!(watch.revision(), eq(4));
    expect_that!(
        next_event(&mut watch).await,
        eq(&event("a/1", Some("x"), 2))
    );
    expect_that!(
        next_event(&mut watch).await,
        eq(&event("a/1", Some("z"), 4))
    );
    client
        .swap("a/1", Expect::Any, None, None)
        .await
        .expect("delete");
    expect_that!(next_event(&mut watch).await, eq(&event("a/1", None, 5)));
    put(&client, "b/1", "").await;
    put(&client, "a/2", "").await;
    expect_that!(next_event(&mut watch).await, eq(&event("a/2", Some(""), 7)));
    expect_that!(handle.stats().calls["watch"], eq(1));
    expect_that!(handle.stats().watching, eq(1));
    drop(watch);
    handle.wait_for_watches(0).await;
}

#[gtest]
#[tokio::test]
async fn a_new_watch_continues_after_a_disconnect_without_gaps() {
    let (handle, client) = spawn().await;
    let mut watch = client.watch("", 0).await.expect("watch");
    put(&client, "k", "1").await;
    expect_that!(next_event(&mut watch).await, eq(&event("k", Some("1"), 2)));
    set_outage(&handle, true);
    expect_that!(watch.next().await, some(err(pat!(Error::Unknown(_)))));
    expect_that!(watch.next().await, none());
    expect_that!(
        client.watch("", 3).await.err(),
        some(pat!(Error::Unknown(_)))
    );
    set_outage(&handle, false);
    put(&client, "k", "2").await;
    let mut watch = client.watch("", 3).await.expect("watch");
    expect_that!(next_event(&mut watch).await, eq(&event("k", Some("2"), 3)));
}

#[gtest]
#[tokio::test]
async fn a_watch_from_a_compacted_revision_fails() {
    let (handle, client) = spawn().await;
    for value in ["1", "2", "3"] {
        put(&client, "k", value).await;
    }
    execute(&handle, Action::Compact);
    let mut watch = client.watch("", 2).await.expect("watch");
    expect_that!(
        watch.next().await,
        some(err(pat!(Error::Compacted(eq(&4)))))
    );
    expect_that!(watch.next().await, none());
    let mut watch = client.watch("", 5).await.expect("watch");
    put(&client, "k", "4").await;
    expect_that!(next_event(&mut watch).await, eq(&event("k", Some("4"), 5)));
}

#[gtest]
#[tokio::test]
async fn responses_after_a_restore_have_the_older_revision() {
    let (handle, client) = spawn().await;
    put(&client, "k", "1").await;
    execute(&handle, Action::Snapshot);
    put(&client, "k", "2").await;
    let mut watch = client.watch("", 0).await.expect("watch");
    execute(&handle, Action::Restore);
    expect_that!(watch.next().await, some(err(pat!(Error::Unknown(_)))));
    let listing = client.range("").await.expect("listing");
    expect_that!(listing.revision, eq(2));
    expect_that!(listing.entries, eq(&vec![pair("k", "1", 2)]));
    let watch = client.watch("", 4).await.expect("watch");
    expect_that!(watch.revision(), eq(2));
}

#[gtest]
#[tokio::test]
async fn an_expired_lease_deletes_its_keys() {
    let (handle, client) = spawn().await;
    let started = Instant::now();
    let lease = client.lease_grant(60_000).await.expect("lease");
    expect_that!(lease.deadline, gt(started));
    let swap = client
        .swap("k", Expect::Absent, Some("v".into()), Some(lease.id))
        .await;
    expect_that!(swap, ok(eq(&Swap::Done(2))));
    let current = client.get("k").await.expect("read").expect("an entry");
    expect_that!(current.lease, some(eq(lease.id)));
    let renewed = client.lease_keep_alive(lease.id).await.expect("renewed");
    expect_that!(renewed.deadline, ge(lease.deadline));
    let mut watch = client.watch("", 0).await.expect("watch");
    execute(&handle, Action::ExpireLeases);
    expect_that!(next_event(&mut watch).await, eq(&event("k", None, 3)));
    expect_that!(
        client.lease_keep_alive(lease.id).await,
        err(pat!(Error::LeaseExpired))
    );
}

#[gtest]
#[tokio::test]
async fn a_lease_ends_when_it_expires_or_is_revoked() {
    let (_handle, client) = spawn().await;
    let mut watch = client.watch("", 0).await.expect("watch");
    for (ttl_ms, is_revoked) in [(1_000, false), (60_000, true)] {
        let lease = client.lease_grant(ttl_ms).await.expect("lease");
        let swap = client
            .swap("k", Expect::Absent, Some("v".into()), Some(lease.id))
            .await;
        expect_that!(swap, ok(pat!(Swap::Done(_))));
        if is_revoked {
            expect_that!(client.lease_revoke(lease.id).await, ok(anything()));
        }
        expect_that!(next_event(&mut watch).await.value, some(anything()));
        expect_that!(next_event(&mut watch).await.value, none());
    }
}

#[gtest]
#[tokio::test]
async fn refused_writes_have_no_effect() {
    let (handle, client) = spawn().await;
    let missing = Some(LeaseId(77));
    let refused = client
        .swap("k", Expect::Any, Some("v".into()), missing)
        .await;
    expect_that!(refused, err(pat!(Error::Refused(_))));
    let large = vec![0; MAX_VALUE_BYTES + 1];
    let refused = client.swap("k", Expect::Any, Some(large), None).await;
    let too_large = pat!(Error::TooLarge {
        bytes: eq(&(MAX_VALUE_BYTES + 1)),
        limit: eq(&MAX_VALUE_BYTES)
    });
    expect_that!(refused, err(too_large));
    expect_that!(handle.stats().calls["txn"], eq(1));
    let largest = vec![0; MAX_VALUE_BYTES];
    let done = client.swap("k", Expect::Absent, Some(largest), None).await;
    expect_that!(done, ok(eq(&Swap::Done(2))));
}

#[gtest]
#[tokio::test]
async fn malformed_responses_leave_the_outcome_unknown() {
    let (handle, client) = spawn().await;
    let cases = [
        (200, "{"),
        (200, ""),
        (200, "[]"),
        (200, r#"{"header":{"revision":"x"}}"#),
        (
            200,
            r#"{"header":{"revision":"2"},"kvs":[{"key":"?","mod_revision":"2"}]}"#,
        ),
        (
            200,
            r#"{"header":{"revision":"2"},"kvs":[{"key":"?","mod_revision":"2"}]}"#,
        ),
        (500, "oops"),
        (503, r#"{"error":"etcdserver: no leader","code":14}"#),
    ];
    for (status, body) in cases {
        for is_write in [false, true] {
            let response = ScriptedResponse {
                times: 1,
                status,
                body: body.to_owned(),
            };
            handle.set_faults(&Faults {
                fail: Some(response),
                ..Faults::default()
            });
            let error = if is_write {
                client.swap("k", Expect::Any, None, None).await.err()
            } else {
                client.range("").await.err()
            };
            expect_that!(error, some(pat!(Error::Unknown(_))), "{status} {body}");
        }
    }
    expect_that!(put(&client, "k", "v").await, eq(2));
}

#[gtest]
#[tokio::test]
async fn malformed_messages_end_a_watch_with_an_error() {
    let (handle, client) = spawn().await;
    let progress = r#"{"result":{"header":{"revision":"8"}}}"#;
    let write = r#"{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"aw==","mod_revision":"8"}}]}}"#;
    let cases = [
        (vec!["?"], false, 0),
        (vec![progress], false, 0),
        (vec![r#"{"error":{"grpc_code":14}}"#], false, 0),
        (vec![CREATED], true, 0),
        (vec![CREATED, "?"], true, 0),
        (vec![CREATED, "{}"], true, 0),
        (vec![CREATED, r#"{"error":{"grpc_code":14}}"#], true, 0),
        (
            vec![CREATED, r#"{"result":{"header":{},"canceled":true}}"#],
            true,
            0,
        ),
        (vec![CREATED, progress, write, write, &write[..50]], true, 2),
    ];
    for (lines, is_opened, event_count) in cases {
        let response = ScriptedResponse {
            times: 1,
            status: 200,
            body: lines.join("\n"),
        };
        handle.set_faults(&Faults {
            fail: Some(response),
            ..Faults::default()
        });
        let watch = client.watch("k", 0).await;
        expect_that!(watch.is_ok(), eq(is_opened), "{lines:?}");
        let Ok(mut watch) = watch else {
            continue;
        };
        expect_that!(watch.revision(), eq(7));
        for _ in 0..event_count {
            expect_that!(next_event(&mut watch).await, eq(&event("k", Some(""), 8)));
        }
        expect_that!(watch.next().await, some(err(pat!(Error::Unknown(_)))));
        expect_that!(watch.next().await, none());
    }
}

#[gtest]
#[tokio::test]
async fn an_idle_watch_times_out() {
    let (handle, _) = spawn().await;
    let options = Options {
        watch_idle_timeout_ms: 50,
        ..Options::default()
    };
    let client = Etcd::new(vec![handle.address()], options);
    let mut watch = client.watch("k", 0).await.expect("watch");
    let timeout = pat!(Error::Unknown(pat!(HttpError::TimedOut)));
    expect_that!(watch.next().await, some(err(timeout)));
    expect_that!(watch.next().await, none());
    drop(watch);
    handle.wait_for_watches(0).await;
}

#[gtest]
#[tokio::test]
async fn a_range_is_read_in_pages() {
    let (handle, client) = spawn().await;
    let keys = ["a", "b", "c", "d", "e"];
    for key in keys {
        put(&client, key, "v").await;
    }
    let options = Options {
        page_size: 2,
        ..Options::default()
    };
    let client = Etcd::new(vec![handle.address()], options);
    let listing = client.range("").await.expect("listing");
    let listed: Vec<String> = listing.entries.into_iter().map(|pair| pair.key).collect();
    expect_that!(listed, eq(&keys));
    expect_that!(handle.stats().calls["range"], eq(3));
}

#[gtest]
#[tokio::test]
async fn a_watch_counts_as_one_call() {
    let (handle, client) = spawn().await;
    put(&client, "k", "1").await;
    client.range("").await.expect("listing");
    let mut watch = client.watch("", 2).await.expect("watch");
    next_event(&mut watch).await;
    let stats = handle.stats();
    expect_that!(stats.total, eq(3));
    expect_that!(stats.watching, eq(1));
    expect_that!(
        stats.calls.into_iter().collect::<Vec<_>>(),
        eq(&["range", "txn", "watch"].map(|method| (method.to_owned(), 1)))
    );
}

// One key that is no text hid all others.
#[gtest]
#[tokio::test]
async fn a_key_that_is_no_text_does_not_hide_the_others() {
    // "a" and "b", with the bytes ff fe between them.
    let pairs = r#"{"key":"YQ==","value":"eA==","mod_revision":"3"},{"key":"//4=","value":"eA==","mod_revision":"4"},{"key":"Yg==","value":"eA==","mod_revision":"5"}"#;
    let (handle, client) = spawn().await;
    let body = format!(r#"{{"header":{{"revision":"7"}},"kvs":[{pairs}]}}"#);
    handle.set_faults(&Faults {
        fail: Some(ScriptedResponse {
            times: 1,
            status: 200,
            body,
        }),
        ..Faults::default()
    });
    let listing = client.range("").await.expect("a listing");
    let keys: Vec<&str> = listing.entries.iter().map(|pair| &*pair.key).collect();
    expect_that!(keys, eq(&["a", "b"]));

    let events = pairs
        .replace(r#"{"key""#, r#"{"kv":{"key""#)
        .replace('}', "}}");
    let message = format!(r#"{{"result":{{"header":{{"revision":"7"}},"events":[{events}]}}}}"#);
    handle.set_faults(&Faults {
        fail: Some(ScriptedResponse {
            times: 1,
            status: 200,
            body: format!("{CREATED}\n{message}"),
        }),
        ..Faults::default()
    });
    let mut watch = client.watch("", 0).await.expect("a watch");
    for key in ["a", "b"] {
        let event = watch.next().await.expect("an event").expect("no failure");
        expect_that!(event.key, eq(key));
    }
}
