//! Boot-time clock in milliseconds, and detection of machine suspensions.
//!
//! `CLOCK_MONOTONIC`, which drives timers, stops while the machine is suspended. Ages, deadlines
//! and expiries use `CLOCK_BOOTTIME`, which includes suspensions and is not affected by changes of
//! the wall clock.

use std::future::pending;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

/// Minimum advance of the boot clock over the monotonic clock that counts as a suspension, in
/// milliseconds. The process may be descheduled between reading the two.
const MIN_SUSPENSION_MS: u64 = 200;

/// Total simulated suspension, in milliseconds.
static SIMULATED_MS: AtomicU64 = AtomicU64::new(0);

/// Advance of the boot clock over the monotonic clock at the last detected suspension.
static OFFSET_MS: AtomicU64 = AtomicU64::new(0);

/// When the last resume from a suspension was detected; 0 if there was none.
static RESUMED_MS: AtomicU64 = AtomicU64::new(0);

/// Wakes tasks that wait for a time of the boot clock.
static RESUMED: Notify = Notify::const_new();

static START: OnceLock<(Duration, Instant)> = OnceLock::new();

/// Advances the boot clock by `ms` milliseconds, as a suspension of the machine does. For tests.
#[doc(hidden)]
pub fn simulate_suspension(ms: u64) {
    SIMULATED_MS.fetch_add(ms, Ordering::Relaxed);
}

fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}

/// Returns the initial readings of both clocks.
fn start() -> (Duration, Instant) {
    *START.get_or_init(|| (boot_time(), Instant::now()))
}

/// Returns the milliseconds of the boot clock since it was first read by this process.
pub(crate) fn now_ms() -> u64 {
    let (start, _) = start();
    let elapsed = whole_ms(boot_time().saturating_sub(start));
    elapsed + SIMULATED_MS.load(Ordering::Relaxed)
}

/// Returns the time of [`now_ms`] that is `ms` milliseconds from now. A delay may be of any length, as
/// others state it.
pub(crate) fn ms_from_now(ms: u64) -> u64 {
    now_ms().saturating_add(ms)
}

/// Checks for a suspension and returns when the last resume was detected, in milliseconds of
/// [`now_ms`]; 0 if there was none.
pub(crate) fn last_resume_ms() -> u64 {
    let (_, start) = start();
    let now = now_ms();
    let offset = now.saturating_sub(whole_ms(start.elapsed()));
    let known = OFFSET_MS.load(Ordering::Relaxed);
    if offset > known + MIN_SUSPENSION_MS {
        OFFSET_MS.store(offset, Ordering::Relaxed);
        RESUMED_MS.store(now, Ordering::Relaxed);
        RESUMED.notify_waiters();
    }
    RESUMED_MS.load(Ordering::Relaxed)
}

/// Waits until a time of [`now_ms`]. If the machine is suspended beyond it, returns once the resume
/// is detected.
pub(crate) async fn wait_until(at_ms: u64) {
    loop {
        let resumed = RESUMED.notified();
        let left = at_ms.saturating_sub(now_ms());
        if left == 0 {
            return;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(left)) => {}
            () = resumed => {}
        }
    }
}

/// Sleeps until `at`; never returns if it is `None`.
pub(crate) async fn sleep_until_opt(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds from `from` to `to`; 0 if `to` is earlier.
pub(crate) fn between_ms(from: Instant, to: Instant) -> u64 {
    whole_ms(to.saturating_duration_since(from))
}

/// Returns the instant `ms` milliseconds after `at`.
pub(crate) fn after(at: Instant, ms: u64) -> Instant {
    at + Duration::from_millis(ms)
}
