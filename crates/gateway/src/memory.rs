//! Memory of the process: how much the parts may take that grow with what others send, and how
//! much is resident.

mod guard;

use std::fs;

pub(crate) use self::guard::Guard;

/// Status of the process in the format of proc(5).
const STATUS: &str = "/proc/self/status";

/// Line of the status that tells the resident memory, in kibibytes.
const RESIDENT: &str = "VmRSS:";

const BYTES_PER_KIB: u64 = 1 << 10;

/// Divisor of the memory of the process that gives the maximum size of the copied contents of the
/// key-value service. The superseded values that answers hold take as much.
const CONTENTS_DIVISOR: usize = 10;

/// Divisor of the memory of the process that gives the maximum size of a listing. One that is not
/// kept can still be applied.
const LISTING_DIVISOR: usize = 5;

/// Memory of a process without the setting, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 128;

/// Maximum size of the copied contents of the key-value service, in bytes, in a process with this
/// much memory, in megabytes.
pub(crate) fn max_contents_bytes(memory_mb: Option<u64>) -> usize {
    memory_bytes(memory_mb) / CONTENTS_DIVISOR
}

/// Maximum size of a listing that is read, in bytes, in a process with this much memory, in
/// megabytes.
pub(crate) fn max_listing_bytes(memory_mb: Option<u64>) -> usize {
    memory_bytes(memory_mb) / LISTING_DIVISOR
}

fn memory_bytes(memory_mb: Option<u64>) -> usize {
    let bytes = memory_mb
        .unwrap_or(DEFAULT_MEMORY_MB)
        .saturating_mul(1 << 20);
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// Resident memory of the process, in bytes; `None` if the kernel does not tell it.
#[must_use]
pub fn resident_bytes() -> Option<u64> {
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
