//! Long admission simulation with fault injection. The sidecars assert their
//! invariants. Prints one JSON object.
//!
//! `cargo run --release -p mulberryyoke-decide --example long -- --seed 1 --events 1000000`

#[path = "../tests/admission/simulation/mod.rs"]
mod simulation;

use serde_json::json;
use simulation::{Gap, Params, Simulation};

/// Sampling interval of the gap, in milliseconds.
const SAMPLE_INTERVAL: u64 = 1_000;

/// Time before the first sample, in milliseconds.
const WARM_UP: u64 = 20_000;

fn main() {
    let servers = flag("servers", 12);
    let lag = flag("lag", 1_000);
    let params = Params {
        seed: flag("seed", 1),
        servers,
        slots: flag("slots", 8),
        routers: flag("routers", 4),
        customers: flag("customers", 16),
        links_per_router: flag("subset", 20),
        configured_servers: flag("reach", servers),
        assumed_lag: flag("assumed", lag),
        exchange_interval: lag,
        faults_per_million: flag("faults", 0.0),
        fault_kind: Some(flag("only", u32::MAX)).filter(|only| *only < u32::MAX),
        underestimates: flag("cheats", false),
    };
    let events = flag("events", 1_000_000_u64);
    let mut simulation = Simulation::new(params);
    let mut gap = Gap::new(params.customers);
    let mut next = WARM_UP;
    let mut busy = (0, 0);
    let mut end = 0;
    let started_at = std::time::Instant::now();
    for _ in 0..events {
        end = simulation.step();
        if end >= next {
            next += SAMPLE_INTERVAL;
            gap.sample(&simulation.service);
            busy.0 += simulation.slot_usage().0;
            busy.1 += simulation.slot_usage().1;
        }
    }
    let (tokens, relative) = gap.largest();
    println!(
        "{}",
        json!({
            "events": events,
            "faults": simulation.faults,
            "started": simulation.started,
            "declined": simulation.declined,
            "virtual_ms": end,
            "wall_ms": started_at.elapsed().as_secs_f64() * 1_000.0,
            "gap_tokens_per_share": tokens,
            "gap_part": relative,
            "mean_part_5s": gap.mean_relative_gap(5),
            "mean_part_20s": gap.mean_relative_gap(20),
            "utilisation": ratio(busy),
        })
    );
}

/// Parses `--name value` from the command line.
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
