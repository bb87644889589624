//! A long run of the sidecars' decisions in virtual time, with faults. Every
//! invariant is asserted inside the decisions. Prints one JSON object.
//!
//! `cargo run --release -p mulberryyoke-decide --example long -- --seed 1 --events 1000000`

#[path = "../tests/admission/world.rs"]
mod world;

use serde_json::json;
use world::{Shape, World, share};

/// Time between two samples of the gap, in milliseconds.
const SAMPLE: u64 = 1_000;

/// Time before the first sample, in milliseconds.
const WARM_UP: u64 = 20_000;

fn main() {
    let shape = Shape {
        seed: flag("seed", 1),
        servers: flag("servers", 12) as usize,
        slots: flag("slots", 8) as u32,
        routers: flag("routers", 4) as usize,
        customers: flag("customers", 16) as u32,
        subset: flag("subset", 20) as usize,
        reach: flag("reach", flag("servers", 12)) as usize,
        assumed: flag("assumed", flag("lag", 1_000)),
        lag: flag("lag", 1_000),
        faults: flag("faults", 0) as f64 / 1_000.0,
        only: u32::try_from(flag("only", u64::MAX)).ok(),
        cheats: flag("cheats", 0) == 1,
    };
    let events = flag("events", 1_000_000);
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
            "wall_ms": from.elapsed().as_millis() as u64,
            "gap_tokens_per_share": tokens,
            "gap_part": part,
            "utilisation": busy.0 as f64 / f64::max(busy.1 as f64, 1.0),
        })
    );
}

/// Reads `--name N`.
fn flag(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|arg| arg.strip_prefix("--") != Some(name));
    args.nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Service per share of each customer over time.
struct Gap {
    first: Vec<f64>,
    last: Vec<f64>,
    /// Of each pair, the lowest and highest difference.
    pairs: Vec<(f64, f64)>,
}

impl Gap {
    fn open(customers: u32) -> Self {
        let customers = customers as usize;
        Self {
            first: Vec::new(),
            last: Vec::new(),
            pairs: vec![(f64::MAX, f64::MIN); customers * customers],
        }
    }

    fn sample(&mut self, service: &[u64]) {
        let share = |index: usize| f64::from(share(u32::try_from(index).expect("few")));
        let each = service.iter().enumerate();
        let now: Vec<f64> = each
            .map(|(index, tokens)| *tokens as f64 / share(index))
            .collect();
        for (a, one) in now.iter().enumerate() {
            for (b, other) in now.iter().enumerate() {
                let pair = &mut self.pairs[a * now.len() + b];
                *pair = (pair.0.min(one - other), pair.1.max(one - other));
            }
        }
        if self.first.is_empty() {
            self.first = now.clone();
        }
        self.last = now;
    }

    /// The largest difference over any window, in tokens for each unit of share,
    /// and as a part of the mean service in the whole run.
    fn largest(&self) -> (f64, f64) {
        let widths = self.pairs.iter().map(|(low, high)| high - low);
        let widest = widths.fold(0.0, f64::max);
        let given = self
            .last
            .iter()
            .zip(&self.first)
            .map(|(last, first)| last - first);
        let mean = given.sum::<f64>() / self.last.len() as f64;
        (widest, widest / mean)
    }
}
