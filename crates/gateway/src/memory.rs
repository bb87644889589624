//! Memory of the process as the kernel counts it.

use std::fs;

/// Status of the process in the format of proc(5).
const STATUS: &str = "/proc/self/status";

/// Line of the status that tells the resident memory, in kibibytes.
const RESIDENT: &str = "VmRSS:";

const BYTES_PER_KIB: u64 = 1 << 10;

/// Resident memory of the process, in bytes; `None` if the kernel does not tell it.
pub(crate) fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string(STATUS).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}

/// Records the resident memory in a gauge.
pub(crate) fn record_metrics() {
    let Some(bytes) = resident_bytes() else {
        return;
    };
    #[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
    metrics::gauge!("memory_resident_bytes").set(bytes as f64);
}
