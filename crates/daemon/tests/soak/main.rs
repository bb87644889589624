//! Randomized soak test: gateway processes on loopback, with stand-ins for the platform and
//! injected faults. The observations of callers and servers are checked against the guarantees
//! of the gateways.
//!
//! `cargo test --release -p mulberryyoked --test soak` runs the seeds in [`SEEDS`]. Environment
//! variables override the defaults, for example
//! `SOAK_SEEDS=100..150 SOAK_GATES=3 SOAK_CALLERS=24 SOAK_JOBS=4`.

#[path = "../../../../platform/tests/standin/answer.rs"]
mod answer;
#[path = "../../../../platform/tests/standin/backend.rs"]
mod backend;
#[path = "../../../../platform/tests/standin/caller.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod caller;
#[path = "../../../../platform/tests/standin/store.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod store;
#[path = "../../../../platform/tests/standin/operator.rs"]
mod store_values;

mod audit;
mod fault_log;
mod gateway;
mod load;
mod operator;
mod plan;
mod process;
mod proxy;
mod run;
mod subject;

use std::collections::BTreeMap;
use std::io::Write as _;
use std::sync::{Mutex, PoisonError};

use futures::StreamExt;
use futures::stream::iter;

use crate::run::Summary;
use crate::subject::Subject;

/// Default seeds, each with defects that it has detected.
const SEEDS: [(u64, &str); 5] = [
    (
        203,
        "draining servers get new requests; not-run status although the request may have run",
    ),
    (
        207,
        "only the first configuration is applied; not-run status although the request may have run",
    ),
    (208, "keys are accepted with an outdated configuration"),
    (212, "retries without a budget"),
    (
        4003,
        "servers that announce leaving get new requests; pushback is ignored",
    ),
];

/// Default number of concurrent runs.
const DEFAULT_JOBS: usize = 4;

fn number_from_env(name: &str, default: usize) -> usize {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Default seeds of runs in which a part of prompts crashes servers.
const PART_SEEDS: [u64; 2] = [6001, 6002];

/// Default seeds of runs in which callers resume streams and answers have no length.
const STREAM_SEEDS: [u64; 2] = [7001, 7002];

/// Default seeds of runs with a large configuration, each with defects that it has detected.
const CONTENTS_SEEDS: [(u64, &str); 2] = [
    (
        9001,
        "a follower is not back at the store while its peers lack current data",
    ),
    (9007, "superseded values are kept"),
];

/// Default seeds of runs in which the store is back for gateways whose peers are cut off, each with
/// another failure of the store.
const OUTAGE_SEEDS: [u64; 3] = [10_000, 10_001, 10_002];

/// Default seeds of runs in which all gateways are lost during releases.
const LOSS_SEEDS: [u64; 2] = [12_001, 12_002];

/// Default seeds of runs in which servers are processes that signals stop and kill, each with a defect
/// that it has detected.
const PROCESS_SEEDS: [(u64, &str); 2] = [
    (
        12_001,
        "a stream looks whole although its server was killed",
    ),
    (
        12_002,
        "a stream looks whole although its server was killed",
    ),
];

fn seeds(subject: Subject) -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return match subject {
            Subject::Faults => SEEDS.iter().map(|(seed, _)| *seed).collect(),
            Subject::Part => PART_SEEDS.into(),
            Subject::Streams => STREAM_SEEDS.into(),
            Subject::Contents => CONTENTS_SEEDS.iter().map(|(seed, _)| *seed).collect(),
            Subject::Outages => OUTAGE_SEEDS.into(),
            Subject::Losses => LOSS_SEEDS.into(),
            Subject::Processes => PROCESS_SEEDS.iter().map(|(seed, _)| *seed).collect(),
        };
    };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    let number = |text: &str| text.parse().expect("SOAK_SEEDS has numbers");
    (number(first)..number(last)).collect()
}

#[test]
fn guarantees_hold_while_faults_overlap() {
    check(Subject::Faults);
}

#[test]
fn guarantees_hold_while_a_part_of_prompts_crashes_servers() {
    check(Subject::Part);
}

#[test]
fn guarantees_hold_while_callers_resume_streams_and_answers_have_no_length() {
    check(Subject::Streams);
}

#[test]
fn guarantees_hold_while_a_large_configuration_changes_quickly() {
    check(Subject::Contents);
}

#[test]
fn gateways_are_back_at_the_store_although_all_that_watch_it_are_cut_off() {
    check(Subject::Outages);
}

#[test]
fn streams_go_on_at_their_version_while_all_gateways_are_lost_during_releases() {
    check(Subject::Losses);
}

#[test]
fn streams_stay_whole_while_processes_of_servers_are_stopped_and_killed() {
    check(Subject::Processes);
}

/// Held by the test that runs, so that the number of concurrent runs stays the same.
static TURN: Mutex<()> = Mutex::new(());

fn check(subject: Subject) {
    // Another test may have failed.
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (gateways, callers) = (
        number_from_env("SOAK_GATES", subject.gateways()),
        number_from_env("SOAK_CALLERS", subject.callers()),
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let summaries = runtime.expect("the runtime starts").block_on(async {
        let runs = iter(seeds(subject)).map(|seed| async move {
            let summary = run::execute(seed, gateways, callers, subject).await;
            report(seed, &summary);
            (seed, summary)
        });
        runs.buffer_unordered(number_from_env("SOAK_JOBS", DEFAULT_JOBS))
            .collect::<Vec<_>>()
            .await
    });
    let mut faults: BTreeMap<String, usize> = BTreeMap::new();
    let mut checked: BTreeMap<&str, u64> = BTreeMap::new();
    let mut failed = Vec::new();
    for (seed, summary) in &summaries {
        for (fault, count) in &summary.faults {
            *faults.entry(fault.clone()).or_default() += count;
        }
        for (guarantee, count) in &summary.audit.checked {
            *checked.entry(guarantee).or_default() += count;
        }
        if summary.audit.findings.is_empty() {
            // Only the logs of failed runs are kept.
            let _ = std::fs::remove_dir_all(&summary.logs);
            continue;
        }
        failed.push(*seed);
        println!("seed {seed}, logs in {}", summary.logs.display());
    }
    print_figures(summaries.iter().map(|(_, summary)| summary));
    println!("faults {faults:?}");
    println!("checks {checked:?}");
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}

/// Prints the result of a run past the capture of the test harness, so that it is not lost if later
/// runs are ended.
fn report(seed: u64, summary: &Summary) {
    let Summary {
        audit,
        requests,
        served,
        ..
    } = summary;
    let findings = audit.findings.len();
    let mut lines = vec![format!(
        "seed {seed}: {requests} requests, {served} served, {findings} findings"
    )];
    if findings > 0 {
        lines.push(format!("run again with SOAK_SEEDS={seed}..{}", seed + 1));
    }
    let findings = audit.findings.iter();
    lines.extend(findings.map(|finding| format!("  seed {seed}: {finding}")));
    let text = lines.join("\n") + "\n";
    // Without standard error there is nobody to read it.
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// Prints the distribution of each figure over all runs.
fn print_figures<'a>(summaries: impl Iterator<Item = &'a Summary>) {
    let mut figures: BTreeMap<&str, Vec<u128>> = BTreeMap::new();
    for (name, values) in summaries.flat_map(|summary| &summary.audit.figures) {
        figures.entry(name).or_default().extend(values);
    }
    for (name, mut values) in figures {
        values.sort_unstable();
        let at = |percent: usize| values[(values.len() - 1) * percent / 100];
        println!(
            "{name}: {} values, median {}, 90% {}, 99% {}, greatest {}",
            values.len(),
            at(50),
            at(90),
            at(99),
            at(100)
        );
    }
}
