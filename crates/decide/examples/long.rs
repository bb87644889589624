//! A long run of the sidecars' decisions in virtual time, with faults. Every
//! invariant is asserted inside the decisions. Prints one JSON object.
//!
//! `cargo run --release -p mulberryyoke-decide --example long -- --seed 1 --events 1000000`

#[path = "../tests/admission/world/mod.rs"]
mod world;

use serde_json::json;
use world::{Gap, Shape, World};

/// Time between two samples of the gap, in milliseconds.
const SAMPLE: u64 = 1_000;

/// Time before the first sample, in milliseconds.
const WARM_UP: u64 = 20_000;

fn main() {
    let servers = flag("servers", 12);
    let lag = flag("lag", 1_000);
    let shape = Shape {
        seed: flag("seed", 1),
        servers,
        slots: flag("slots", 8),
        routers: flag("routers", 4),
        customers: flag("customers", 16),
        subset: flag("subset", 20),
        reach: flag("reach", servers),
        assumed: flag("assumed", lag),
        lag,
        faults: flag("faults", 0.0),
        only: Some(flag("only", u32::MAX)).filter(|only| *only < u32::MAX),
        cheats: flag("cheats", false),
    };
    let events = flag("events", 1_000_000_u64);
    let mut world = World::open(shape);
    let mut gap = Gap::open(shape.customers);
    let mut next = WARM_UP;
    let mut busy = (0, 0);
    let mut end = 0;
    let from = std::time::Instant::now();
    for _ in 0..events {
        end = world.step();
        if end >= next {
            next += SAMPLE;
            gap.sample(&world.service);
            busy.0 += world.busy().0;
            busy.1 += world.busy().1;
        }
    }
    let (tokens, part) = gap.largest();
    println!(
        "{}",
        json!({
            "events": events,
            "faults": world.faults,
            "started": world.started,
            "declined": world.declined,
            "virtual_ms": end,
            "wall_ms": from.elapsed().as_secs_f64() * 1_000.0,
            "gap_tokens_per_share": tokens,
            "gap_part": part,
            "mean_part_5s": gap.mean_part(5),
            "mean_part_20s": gap.mean_part(20),
            "utilisation": ratio(busy),
        })
    );
}

/// Reads `--name N`.
fn flag<T: std::str::FromStr>(name: &str, default: T) -> T {
    let mut args = std::env::args().skip_while(|arg| arg.strip_prefix("--") != Some(name));
    args.nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn ratio((part, whole): (u64, u64)) -> f64 {
    part as f64 / whole.max(1) as f64
}
