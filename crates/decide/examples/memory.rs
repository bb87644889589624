//! Memory use of the admission state: resident bytes per customer, per declaration
//! of a link and per stored key. Prints one JSON object.
//!
//! `cargo run --release -p mulberryyoke-decide --example memory`

use mulberryyoke_decide::admission::{Admission, LinkKey, Scheduling, Setup};
use mulberryyoke_decide::key::{KeyState, PriorRecord, Store};
use mulberryyoke_model::{CustomerId, Incarnation, Interest, KeyId, Kind, PoolId, ServerId};
use serde_json::json;

const CUSTOMERS: u32 = 6_200;

const LINKS: u64 = 20;

/// Several sidecars, to keep the rounding to pages small.
const SIDECARS: usize = 20;

const KEYS: u64 = 60_000;

fn main() {
    let baseline = resident_bytes();
    let mut sidecars: Vec<Admission> = (0..SIDECARS).map(|_| open()).collect();
    for sidecar in &mut sidecars {
        declare(sidecar, 1);
    }
    let one = resident_bytes();
    for sidecar in &mut sidecars {
        for link in 2..=LINKS {
            declare(sidecar, link);
        }
    }
    let all = resident_bytes();
    let mut keys = Store::new(600_000, 0);
    keys.restore(&PriorRecord::Absent, 0);
    for key in 0..KEYS {
        keys.record(KeyId(key), KeyState::Completed(None), 1);
    }
    let with_keys = resident_bytes();
    let customers = u64::from(CUSTOMERS) * SIDECARS as u64;
    println!(
        "{}",
        json!({
            "bytes_per_customer_with_one_declaration": (one - baseline) / customers,
            "bytes_per_further_declaration": (all - one) / (customers * (LINKS - 1)),
            "bytes_per_key": (with_keys - all) / KEYS,
            "bytes_of_a_sidecar_with_6200_customers_and_20_links": (all - baseline) / SIDECARS as u64,
        })
    );
}

fn open() -> Admission {
    Admission::new(Setup {
        server: ServerId(1),
        pool: PoolId(1),
        kind: Kind::Model,
        incarnation: Incarnation(1),
        started_at: 0,
        slots: 0,
        scheduling: Scheduling::Fair,
        retention_ms: 600_000,
    })
}

fn declare(sidecar: &mut Admission, origin: u64) -> LinkKey {
    let link = sidecar.connect();
    sidecar.identify_router(link, Incarnation(origin), 0);
    let interest = (0..CUSTOMERS).map(|customer| Interest {
        customer: CustomerId(customer),
        waiting: [1, 1, 1],
        cost: 430,
        since: 1,
    });
    let interest: Vec<Interest> = interest.collect();
    sidecar.declare(link, true, &interest, 1);
    link
}

/// Resident set size of this process.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a Linux system");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<u64>().ok())
        .expect("a number")
        * 1_024
}
