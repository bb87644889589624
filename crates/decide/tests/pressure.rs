//! Pressure of a process near the limit of its memory.

use googletest::prelude::*;
use mulberryyoke_decide::pressure::{Gauge, Pressure};
use mulberryyoke_model::Millis;

const MIB: u64 = 1 << 20;
const LIMIT: u64 = 110 * MIB;

/// Interval between readings, in milliseconds.
const INTERVAL_MS: Millis = 500;

/// Pressure after each of these readings, in megabytes.
fn pressures(readings_mb: &[u64]) -> Vec<Pressure> {
    let mut gauge = Gauge::default();
    let readings = readings_mb.iter().zip(0..);
    let pressures = readings.map(|(megabytes, index)| {
        let now: Millis = index * INTERVAL_MS;
        gauge.record(megabytes * MIB, LIMIT, now)
    });
    pressures.collect()
}

#[gtest]
fn new_requests_are_refused_before_the_limit_and_only_while_memory_grows() {
    use Pressure::{Critical, Normal, Short};
    let table = [
        ("level and low", vec![60, 60, 60], vec![Normal; 3]),
        ("level and high", vec![108; 8], vec![Short; 8]),
        (
            "fast growth",
            vec![20, 45, 70, 95],
            vec![Normal, Normal, Normal, Critical],
        ),
        (
            "growth of 9 MB in two seconds",
            vec![84, 88, 92, 96, 100, 104, 108],
            vec![Normal, Normal, Normal, Normal, Critical, Critical, Critical],
        ),
        (
            "growth that has ended two seconds ago",
            vec![90, 104, 104, 104, 104, 104, 104],
            vec![Normal, Critical, Critical, Critical, Critical, Short, Short],
        ),
    ];
    for (name, readings, expected) in table {
        expect_that!(pressures(&readings), eq(&expected), "{name}");
    }
}
