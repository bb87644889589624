//! Which of very many servers a node uses.

use googletest::prelude::*;
use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::sample::is_sampled;
use mulberryyoke_model::ServerId;

/// Servers that a node uses.
const MOST: usize = 256;

/// The servers that a node uses of so many.
fn used(node: &str, servers: u32) -> Vec<u32> {
    let count = usize::try_from(servers).expect("a few thousand");
    let used = (0..servers).filter(|id| is_sampled(name_hash(node), ServerId(*id), count, MOST));
    used.collect()
}

#[gtest]
fn what_a_node_uses_does_not_grow_with_the_servers() {
    for (servers, least, most) in [
        (0, 0, 0),
        (1, 1, 1),
        (55, 55, 55),
        (256, 256, 256),
        (300, 240, 270),
        (3_001, 200, 310),
        (12_000, 200, 310),
    ] {
        for node in ["a", "b", "c"] {
            expect_that!(
                used(node, servers).len(),
                all!(ge(least), le(most)),
                "{servers}"
            );
        }
    }
}

#[gtest]
fn between_them_all_servers_are_used_by_about_as_many() {
    let mut nodes = vec![0_u32; 3_000];
    for node in 0..300 {
        for server in used(&format!("edge-{node}"), 3_000) {
            nodes[server as usize] += 1;
        }
    }
    // 25.6 on average.
    expect_that!(nodes.iter().min(), some(ge(&8)));
    expect_that!(nodes.iter().max(), some(le(&50)));
}

#[gtest]
fn few_change_when_one_server_comes_or_goes() {
    let (before, after) = (used("a", 3_000), used("a", 3_001));
    let lost = before.iter().filter(|server| !after.contains(server));
    expect_that!(lost.count(), le(2));
}
