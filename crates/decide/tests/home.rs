//! Home servers of idempotency keys.

use std::net::SocketAddr;
use std::sync::Arc;

use googletest::prelude::*;
use mulberryyoke_decide::home;
use mulberryyoke_model::{KeyId, Server, ServerId, State};

const NOW: u64 = 1_000_000;
const RETENTION_MS: u64 = 100_000;
const LONG_AGO: u64 = 1;

fn server(name: &str, state: State, added_at: u64, changed_at: u64) -> Arc<Server> {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Arc::new(Server {
        name: name.to_owned(),
        pool: "pool".to_owned(),
        region: String::new(),
        zone: "a".to_owned(),
        control: address,
        data: address,
        slots: 1,
        state,
        added_at,
        changed_at,
    })
}

fn unchanged_pool(count: usize) -> Vec<Arc<Server>> {
    (0..count)
        .map(|i| server(&format!("s{i}"), State::Active, LONG_AGO, LONG_AGO))
        .collect()
}

fn find(servers: &[Arc<Server>], key: u64) -> home::Homes {
    home::find(servers, KeyId(key), NOW, RETENTION_MS)
}

/// Names of the servers of a pool in descending order of their weight for a key.
fn order(key: u64, count: usize) -> Vec<String> {
    let mut left = unchanged_pool(count);
    let mut names = Vec::new();
    while let Some(id) = find(&left, key).current {
        let index = left.iter().position(|s| ServerId::of(&s.name) == id);
        names.push(left.remove(index.unwrap()).name.clone());
    }
    names
}

#[googletest::test]
fn an_unchanged_pool_has_one_home_and_no_former_ones() {
    let servers = unchanged_pool(7);
    let mut counts = std::collections::BTreeMap::new();
    for key in 0..7_000 {
        let homes = find(&servers, key);
        expect_that!(homes.former, is_empty());
        *counts.entry(homes.current.unwrap()).or_insert(0) += 1;
    }
    expect_that!(counts.len(), eq(7));
    expect_true!(counts.values().all(|count| (800..1_200).contains(count)));
}

#[googletest::test]
fn adding_or_removing_a_server_moves_only_its_own_keys() {
    let before = unchanged_pool(8);
    let mut after = before.clone();
    let removed = ServerId::of(&after.remove(3).name);
    for key in 0..4_000 {
        let old = find(&before, key).current.unwrap();
        let new = find(&after, key).current.unwrap();
        expect_true!(old == new || old == removed);
    }
}

#[googletest::test]
fn an_empty_pool_has_no_home() {
    expect_that!(find(&[], 1), eq(&home::Homes::default()));
}

/// Case name, states of the servers with the highest, second and third weight, and
/// indices of the current and the former homes.
type Row = (
    &'static str,
    [(State, u64, u64); 3],
    Option<usize>,
    &'static [usize],
);

#[googletest::test]
fn former_homes_are_those_within_the_retention_time() {
    use State::{Active, Draining, Removed};
    const START: u64 = NOW - RETENTION_MS;
    const OLD: (State, u64, u64) = (Active, LONG_AGO, LONG_AGO);
    let rows: [Row; 14] = [
        ("unchanged", [OLD, OLD, OLD], Some(0), &[]),
        (
            "first added",
            [(Active, NOW - 5, NOW - 5), OLD, OLD],
            Some(0),
            &[1],
        ),
        (
            "first added at the start of the retention time",
            [(Active, START, START), OLD, OLD],
            Some(0),
            &[],
        ),
        (
            "second added",
            [OLD, (Active, NOW - 5, NOW - 5), OLD],
            Some(0),
            &[],
        ),
        (
            "first draining",
            [(Draining, LONG_AGO, NOW - 5), OLD, OLD],
            Some(1),
            &[0],
        ),
        (
            "first removed",
            [(Removed, LONG_AGO, NOW - 5), OLD, OLD],
            Some(1),
            &[0],
        ),
        (
            "first drained earlier",
            [(Draining, LONG_AGO, START - 1), OLD, OLD],
            Some(1),
            &[],
        ),
        (
            "first removed earlier",
            [(Removed, LONG_AGO, START - 1), OLD, OLD],
            Some(1),
            &[],
        ),
        (
            "second removed",
            [OLD, (Removed, LONG_AGO, NOW - 5), OLD],
            Some(0),
            &[],
        ),
        (
            "first reactivated",
            [(Active, LONG_AGO, NOW - 5), OLD, OLD],
            Some(0),
            &[1],
        ),
        (
            "two added",
            [(Active, NOW - 5, NOW - 5), (Active, NOW - 9, NOW - 9), OLD],
            Some(0),
            &[1, 2],
        ),
        (
            "second added after first",
            [(Active, NOW - 9, NOW - 9), (Active, NOW - 5, NOW - 5), OLD],
            Some(0),
            &[2],
        ),
        (
            "first removed, second added",
            [
                (Removed, LONG_AGO, NOW - 5),
                (Active, NOW - 9, NOW - 9),
                OLD,
            ],
            Some(1),
            &[0, 2],
        ),
        (
            "none active",
            [
                (Removed, LONG_AGO, NOW - 5),
                (Draining, LONG_AGO, NOW - 9),
                (Removed, LONG_AGO, START - 9),
            ],
            None,
            &[0, 1],
        ),
    ];
    for key in 0..20 {
        let names = order(key, 3);
        let id = |index: usize| ServerId::of(&names[index]);
        for (case, states, current, former) in &rows {
            let servers: Vec<_> = names
                .iter()
                .zip(states)
                .map(|(name, (state, added, changed))| server(name, *state, *added, *changed))
                .collect();
            let former: Vec<_> = former.iter().copied().map(id).collect();
            let homes = find(&servers, key);
            expect_that!(homes.current, eq(current.map(id)), "{case}");
            expect_that!(homes.former, eq(&former), "{case}");
        }
    }
}
