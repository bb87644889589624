//! A launcher of real processes on loopback: it starts routers, sidecars and
//! stand-ins, drives a load, brings faults about, and compares what callers
//! hold with what engines and services ran.

mod audit;
mod build;
pub mod call;
mod error;
mod fault;
mod flags;
mod gap;
mod load;
mod meter;
mod node;
mod op;
pub mod operator;
mod overhead;
mod plan;
pub mod process;
pub mod relay;
mod report;
mod scene;
mod scrape;
mod setup;
mod stats;

use std::io::{self, IsTerminal, Write};
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, interval, sleep_until};

use crate::journal::Run;

use self::load::{Load, Record};
use self::plan::Plan;
use self::scene::Scene;
use self::setup::Fleet;

pub use self::error::Error;
pub use self::fault::Fault;
pub use self::flags::{Deployment, Flags, Policy};
pub use self::gap::{FairnessGap, fairness_gap, utilisation};
pub use self::meter::Sample;
pub use self::op::OperationKind;
pub use self::report::Report;

/// Faults begin and end after these parts of the load.
const FAULT_BEGIN: f64 = 0.3;
const FAULT_END: f64 = 0.6;

/// Files beside the logs that keep samples and findings.
const SAMPLES: &str = "samples.json";
const FINDINGS: &str = "findings.txt";
/// Findings shown, at most.
const MOST_SHOWN: usize = 20;

/// Makes a run; a signal that ends the launcher ends the run and all it started.
///
/// # Errors
///
/// See [`Error`].
pub async fn run(flags: Flags) -> Result<Report, Error> {
    let settings = |error| Error::Settings(error);
    let mut interrupt = signal(SignalKind::interrupt()).map_err(settings)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(settings)?;
    tokio::select! {
        report = launch(flags) => report,
        _ = interrupt.recv() => Err(Error::Interrupted),
        _ = terminate.recv() => Err(Error::Interrupted),
    }
}

async fn launch(flags: Flags) -> Result<Report, Error> {
    let daemon = match &flags.daemon {
        Some(daemon) => daemon.clone(),
        None => build::daemon().await?,
    };
    let plan = Arc::new(Plan::new(flags));
    let fleet = Arc::new(Fleet::spawn(Arc::clone(&plan), daemon).await?);
    eprintln!("logs in {}", fleet.directory.display());
    let added = overhead::measure(&fleet).await;
    let load = Arc::new(Load::new(Arc::clone(&plan), fleet.callers.clone()));
    let begin = Instant::now();
    let length = Duration::from_secs(plan.flags.seconds);
    let end = begin + length;
    let calls = fleet.kv.stats().total;
    load.start(end);
    let (samples, control, faults, ()) = tokio::join!(
        meter::watch(Arc::clone(&fleet), Arc::clone(&load), end),
        scrape::control(Arc::clone(&fleet), end),
        play(&fleet, &load, begin, length),
        progress(&load, begin, end),
    );
    let calls = fleet.kv.stats().total - calls;
    let records = load.finish().await;
    let drained = end.elapsed();
    let mut report = report(&plan, &samples, &records, &runs(&fleet));
    #[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
    {
        let seconds = length.as_secs_f64();
        let nodes = (fleet.routers.len() + fleet.sidecars.len()) as f64;
        report.control_bytes_per_node_s = control / nodes / seconds;
        report.control_bytes_per_request = control / (records.len() as f64).max(1.0);
        report.kv_calls_per_s = calls as f64 / seconds;
    }
    report.drain_s = drained.as_secs_f64();
    [report.added_ms_p50, report.added_ms_p95] = added;
    report.broken_promises = faults.len();
    let findings = report.audit.findings.iter().chain(&faults);
    for finding in findings.clone().take(MOST_SHOWN) {
        eprintln!("{finding}");
    }
    let findings = findings.map(|finding| format!("{finding}\n"));
    std::fs::write(
        fleet.directory.join(FINDINGS),
        findings.collect::<Vec<_>>().concat(),
    )
    .ok();
    let kept = serde_json::to_vec(&samples).expect("samples have a JSON form");
    std::fs::write(fleet.directory.join(SAMPLES), kept).ok();
    if report.is_clean() && !plan.flags.keep {
        std::fs::remove_dir_all(&fleet.directory).ok();
    }
    Ok(report)
}

/// Brings every fault about at once; tells the promises that were not kept.
async fn play(
    fleet: &Arc<Fleet>,
    load: &Arc<Load>,
    begin: Instant,
    length: Duration,
) -> Vec<String> {
    let faults = &fleet.plan.flags.fault;
    if faults.is_empty() {
        return Vec::new();
    }
    sleep_until(begin + length.mul_f64(FAULT_BEGIN)).await;
    let scene = Scene {
        fleet: Arc::clone(fleet),
        load: Arc::clone(load),
        until: begin + length.mul_f64(FAULT_END),
    };
    let played = faults.iter().map(|fault| scene.clone().play(*fault));
    futures::future::join_all(played).await.concat()
}

/// Shows progress on a terminal.
async fn progress(load: &Load, begin: Instant, end: Instant) {
    let mut ticks = interval(Duration::from_secs(1));
    while Instant::now() < end {
        ticks.tick().await;
        if io::stderr().is_terminal() {
            let seconds = begin.elapsed().as_secs();
            eprint!("\r{seconds} s, {} settled ", load.settled());
            io::stderr().flush().ok();
        }
    }
    if io::stderr().is_terminal() {
        eprintln!();
    }
}

fn runs(fleet: &Fleet) -> Vec<Run> {
    let engines = fleet.engines.iter().map(|engine| engine.journal().runs());
    let services = fleet
        .services
        .iter()
        .map(|service| service.journal().runs());
    engines.chain(services).flatten().collect()
}

fn report(plan: &Plan, samples: &[Sample], records: &[Record], runs: &[Run]) -> Report {
    let shares: Vec<u32> = plan
        .customers
        .iter()
        .map(|customer| customer.share)
        .collect();
    let gap = gap::fairness_gap(samples, &shares);
    let faults = plan.flags.fault.iter();
    let audit = audit::audit(records, runs);
    let may_cut = faults.clone().any(|fault| fault.cuts());
    Report {
        cut_off: if may_cut { 0 } else { audit.unknown },
        audit,
        broken_promises: 0,
        fairness_gap: gap.fraction,
        fairness_gap_tokens: gap.tokens,
        fairness_gap_5s: gap.fraction_5s,
        fairness_gap_window_s: gap.seconds,
        backlogged: gap.backlogged,
        recovery_s: recovery(plan, samples, &shares),
        utilisation: gap::utilisation(samples),
        control_bytes_per_node_s: 0.0,
        control_bytes_per_request: 0.0,
        kv_calls_per_s: 0.0,
        first_token_ms_p50: report::first_token(records, 0.5),
        first_token_ms_p95: report::first_token(records, 0.95),
        drain_s: 0.0,
        longest_ms: report::longest(records),
        added_ms_p50: 0.0,
        added_ms_p95: 0.0,
        policy: plan.flags.policy.word(),
        faults: faults.map(|fault| fault.word()).collect(),
        seed: plan.flags.seed,
    }
}

/// Seconds after the faults until the gap is as before.
fn recovery(plan: &Plan, samples: &[Sample], shares: &[u32]) -> Option<usize> {
    if plan.flags.fault.is_empty() {
        return None;
    }
    let second = |part: f64| {
        let length = Duration::from_secs(plan.flags.seconds);
        usize::try_from(length.mul_f64(part).as_secs()).ok()
    };
    gap::recovery(samples, shares, second(FAULT_BEGIN)?, second(FAULT_END)?)
}
