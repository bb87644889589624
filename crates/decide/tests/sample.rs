//! Sampling of the servers that a node uses.

use googletest::prelude::*;
use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::sample::is_sampled;
use mulberryyoke_model::ServerId;

/// Number of servers that a node uses.
const SIZE: usize = 256;

/// Returns the servers that a node uses out of `servers`.
fn sample(node: &str, servers: u32) -> Vec<u32> {
    let count = usize::try_from(servers).expect("a few thousand");
    let sample = (0..servers).filter(|id| is_sampled(name_hash(node), ServerId(*id), count, SIZE));
    sample.collect()
}

#[gtest]
fn the_sample_size_does_not_grow_with_the_fleet() {
    for (servers, min, max) in [
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
                sample(node, servers).len(),
                all!(ge(min), le(max)),
                "{servers}"
            );
        }
    }
}

#[gtest]
fn servers_are_sampled_by_similar_numbers_of_nodes() {
    let mut nodes = vec![0_u32; 3_000];
    for node in 0..300 {
        for server in sample(&format!("edge-{node}"), 3_000) {
            nodes[server as usize] += 1;
        }
    }
    // 25.6 on average.
    expect_that!(nodes.iter().min(), some(ge(&8)));
    expect_that!(nodes.iter().max(), some(le(&50)));
}

#[gtest]
fn adding_a_server_changes_few_others() {
    let (before, after) = (sample("a", 3_000), sample("a", 3_001));
    let lost = before.iter().filter(|server| !after.contains(server));
    expect_that!(lost.count(), le(2));
}
