//! Launcher of fleets of real processes on the loopback address. It starts routers, sidecars and
//! stand-ins, generates load, injects faults, and compares the outcomes that callers saw with the
//! runs that engines and services recorded.

mod audit;
mod build;
pub mod call;
mod error;
mod fairness;
mod fault;
mod flags;
mod injection;
mod load;
mod node;
mod operation;
pub mod operator;
mod overhead;
mod plan;
pub mod process;
pub mod relay;
mod report;
mod sampling;
mod scrape;
mod setup;
mod stats;

use std::io::{self, IsTerminal, Write};
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, interval, sleep_until};

use crate::journal::Run;

use self::injection::Injector;
use self::load::{LoadGenerator, OperationRecord};
use self::plan::Plan;
use self::setup::Fleet;

pub use self::error::Error;
pub use self::fairness::{FairnessGap, fairness_gap, utilisation};
pub use self::fault::Fault;
pub use self::flags::{Deployment, Flags, Policy};
pub use self::operation::OperationKind;
pub use self::report::Report;
pub use self::sampling::Sample;

/// Start of the faults, as a fraction of the load's duration.
const FAULT_START: f64 = 0.3;
/// End of the faults, as a fraction of the load's duration.
const FAULT_END: f64 = 0.6;

/// File of the samples, in the directory of the logs.
const SAMPLES_FILE: &str = "samples.json";
/// File of the findings, in the directory of the logs.
const FINDINGS_FILE: &str = "findings.txt";
/// Maximum number of findings that are printed.
const MAX_PRINTED_FINDINGS: usize = 20;

/// Runs a fleet. SIGINT and SIGTERM stop the fleet and all its processes.
///
/// # Errors
///
/// See [`Error`].
pub async fn run(flags: Flags) -> Result<Report, Error> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
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
    let added_ms = overhead::measure(&fleet).await;
    let load = Arc::new(LoadGenerator::new(
        Arc::clone(&plan),
        fleet.caller_addresses.clone(),
    ));
    let start = Instant::now();
    let duration = Duration::from_secs(plan.flags.seconds);
    let end = start + duration;
    let kv_calls_before = fleet.kv.stats().total;
    load.start(end);
    let (samples, control_bytes, violations, ()) = tokio::join!(
        sampling::sample_until(Arc::clone(&fleet), Arc::clone(&load), end),
        scrape::control_bytes(Arc::clone(&fleet), end),
        inject_faults(&fleet, &load, start, duration),
        print_progress(&load, start, end),
    );
    let kv_calls = fleet.kv.stats().total - kv_calls_before;
    let records = load.stop().await;
    let drain = end.elapsed();
    let mut report = build_report(&plan, &samples, &records, &collect_runs(&fleet));
    #[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
    {
        let seconds = duration.as_secs_f64();
        let nodes = (fleet.routers.len() + fleet.sidecars.len()) as f64;
        report.control_bytes_per_node_s = control_bytes / nodes / seconds;
        report.control_bytes_per_request = control_bytes / (records.len() as f64).max(1.0);
        report.kv_calls_per_s = kv_calls as f64 / seconds;
    }
    report.drain_s = drain.as_secs_f64();
    [report.added_ms_p50, report.added_ms_p95] = added_ms;
    report.broken_promises = violations.len();
    let findings = report.audit.findings.iter().chain(&violations);
    for finding in findings.clone().take(MAX_PRINTED_FINDINGS) {
        eprintln!("{finding}");
    }
    let findings = findings.map(|finding| format!("{finding}\n"));
    std::fs::write(
        fleet.directory.join(FINDINGS_FILE),
        findings.collect::<Vec<_>>().concat(),
    )
    .ok();
    let samples = serde_json::to_vec(&samples).expect("samples can be encoded as JSON");
    std::fs::write(fleet.directory.join(SAMPLES_FILE), samples).ok();
    if report.is_clean() && !plan.flags.keep {
        std::fs::remove_dir_all(&fleet.directory).ok();
    }
    Ok(report)
}

/// Injects all faults at the same time and returns the violations of guarantees.
async fn inject_faults(
    fleet: &Arc<Fleet>,
    load: &Arc<LoadGenerator>,
    start: Instant,
    duration: Duration,
) -> Vec<String> {
    let faults = &fleet.plan.flags.fault;
    if faults.is_empty() {
        return Vec::new();
    }
    sleep_until(start + duration.mul_f64(FAULT_START)).await;
    let injector = Injector {
        fleet: Arc::clone(fleet),
        load: Arc::clone(load),
        until: start + duration.mul_f64(FAULT_END),
    };
    let injections = faults.iter().map(|fault| injector.clone().inject(*fault));
    futures::future::join_all(injections).await.concat()
}

/// Prints progress if standard error is a terminal.
async fn print_progress(load: &LoadGenerator, start: Instant, end: Instant) {
    let mut ticks = interval(Duration::from_secs(1));
    while Instant::now() < end {
        ticks.tick().await;
        if io::stderr().is_terminal() {
            let seconds = start.elapsed().as_secs();
            eprint!("\r{seconds} s, {} completed ", load.completed());
            io::stderr().flush().ok();
        }
    }
    if io::stderr().is_terminal() {
        eprintln!();
    }
}

fn collect_runs(fleet: &Fleet) -> Vec<Run> {
    let engines = fleet.engines.iter().map(|engine| engine.journal().runs());
    let services = fleet
        .services
        .iter()
        .map(|service| service.journal().runs());
    engines.chain(services).flatten().collect()
}

fn build_report(
    plan: &Plan,
    samples: &[Sample],
    records: &[OperationRecord],
    runs: &[Run],
) -> Report {
    let shares: Vec<u32> = plan
        .customers
        .iter()
        .map(|customer| customer.share)
        .collect();
    let gap = fairness::fairness_gap(samples, &shares);
    let faults = plan.flags.fault.iter();
    let audit = audit::audit(records, runs);
    let may_interrupt = faults.clone().any(|fault| fault.may_interrupt_responses());
    Report {
        cut_off: if may_interrupt { 0 } else { audit.unknown },
        audit,
        broken_promises: 0,
        fairness_gap: gap.fraction,
        fairness_gap_tokens: gap.tokens,
        fairness_gap_5s: gap.fraction_5s,
        fairness_gap_window_s: gap.seconds,
        backlogged: gap.backlogged,
        recovery_s: recovery_seconds(plan, samples, &shares),
        utilisation: fairness::utilisation(samples),
        control_bytes_per_node_s: 0.0,
        control_bytes_per_request: 0.0,
        kv_calls_per_s: 0.0,
        first_token_ms_p50: report::first_token_ms(records, 0.5),
        first_token_ms_p95: report::first_token_ms(records, 0.95),
        drain_s: 0.0,
        longest_ms: report::max_duration_ms(records),
        added_ms_p50: 0.0,
        added_ms_p95: 0.0,
        policy: plan.flags.policy.name(),
        faults: faults.map(|fault| fault.name()).collect(),
        seed: plan.flags.seed,
    }
}

/// Seconds from the end of the faults until the fairness gap is no larger than before them.
fn recovery_seconds(plan: &Plan, samples: &[Sample], shares: &[u32]) -> Option<usize> {
    if plan.flags.fault.is_empty() {
        return None;
    }
    let second = |fraction: f64| {
        let duration = Duration::from_secs(plan.flags.seconds);
        usize::try_from(duration.mul_f64(fraction).as_secs()).ok()
    };
    fairness::recovery_seconds(samples, shares, second(FAULT_START)?, second(FAULT_END)?)
}
