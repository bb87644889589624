//! Membership of routers.

use googletest::prelude::*;
use mulberryyoke_decide::member::{Limits, Neighbors, Router, Table};

const SUSPECT_MS: u64 = 3_000;

fn router(name: &str) -> Router {
    Router {
        name: name.to_owned(),
        region: "north".to_owned(),
        zone: "a".to_owned(),
    }
}

fn limits() -> Limits {
    Limits {
        suspect_ms: SUSPECT_MS,
        ..Limits::default()
    }
}

fn table(names: &[&str]) -> Table {
    let mut table = Table::new(router("r1"), limits());
    table.set_listed(names.iter().copied().map(router).collect(), 0);
    table
}

#[googletest::test]
fn a_small_fleet_is_a_full_mesh() {
    let neighbors = table(&["r1", "r2", "r3"]).neighbors(0);
    let expected = Neighbors {
        peers: vec!["r2".to_owned(), "r3".to_owned()],
        ..Neighbors::default()
    };
    expect_that!(neighbors, eq(&expected));
}

#[googletest::test]
fn a_router_is_suspect_after_calls_fail_for_the_timeout() {
    let mut table = table(&["r1", "r2", "r3"]);
    expect_false!(table.record_failure("r2", 1_000));
    expect_false!(table.record_failure("r2", 2_000));
    expect_false!(table.is_suspect("r2", 1_000 + SUSPECT_MS - 1));
    let at = 1_000 + SUSPECT_MS;
    expect_true!(table.is_suspect("r2", at));
    let neighbors = table.neighbors(at);
    expect_that!(neighbors.peers, elements_are![eq("r3")]);
    expect_that!(neighbors.probe, elements_are![eq("r2")]);
    expect_that!(
        table.alive_names(at),
        unordered_elements_are![eq("r1"), eq("r3")]
    );
    expect_true!(table.record_failure("r2", at));
    expect_false!(table.record_failure("r2", at + 1));
    table.record_contact("r2", at);
    expect_false!(table.is_suspect("r2", at));
    expect_that!(table.neighbors(at).probe, is_empty());
}

#[googletest::test]
fn an_unlisted_router_is_kept_while_in_contact() {
    let mut table = table(&["r1", "r2", "r3"]);
    table.record_contact("r2", 5_000);
    table.set_listed(vec![router("r1")], 5_000);
    expect_that!(
        table.alive_names(5_000),
        unordered_elements_are![eq("r1"), eq("r2")]
    );
    table.set_listed(vec![router("r1")], 5_000 + SUSPECT_MS);
    expect_that!(
        table.alive_names(5_000 + SUSPECT_MS),
        elements_are![eq("r1")]
    );
}

#[googletest::test]
fn a_large_zone_has_few_watchers() {
    let names: Vec<String> = (1..=20).map(|index| format!("r{index}")).collect();
    let tables = names.iter().map(|own| {
        let mut table = Table::new(router(own), limits());
        table.set_listed(names.iter().map(|name| router(name)).collect(), 0);
        table
    });
    let watchers = tables.filter(|table| table.is_watcher(0)).count();
    expect_that!(watchers, eq(Limits::default().watchers_per_zone));
    expect_true!(table(&["r1", "r2"]).is_watcher(0));
}
