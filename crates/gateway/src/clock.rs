//! Time in whole milliseconds, and what a suspension of the machine does to it.
//!
//! The steady clock, by which timers run, stands still while the machine is suspended. What
//! carries a promise (how old a configuration is, how long a caller waits, how long evidence
//! counts) goes by the boot clock, which counts that time and which no change of the time of
//! day moves.

use std::future::pending;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

/// Least time by which the boot clock goes ahead of the steady one in a suspension, in
/// milliseconds. The two are read one after the other, between which a process may wait for
/// its processor.
const SUSPENDED_MS: u64 = 200;

/// Time in which the machine is taken to have been suspended, in milliseconds.
static ADDED_MS: AtomicU64 = AtomicU64::new(0);

/// Milliseconds by which the boot clock was ahead of the steady one when they were compared.
static AHEAD_MS: AtomicU64 = AtomicU64::new(0);

/// When the machine was last seen to have woken; 0 if it never was.
static WOKE_MS: AtomicU64 = AtomicU64::new(0);

/// Wakes those that wait for an instant of the boot clock.
static WOKEN: Notify = Notify::const_new();

static START: OnceLock<(Duration, Instant)> = OnceLock::new();

/// Lets the boot clock go on by so many milliseconds and no other clock, as after a suspension
/// of the machine, which a process cannot bring about for itself alone. For tests.
#[doc(hidden)]
pub fn simulate_suspension(ms: u64) {
    ADDED_MS.fetch_add(ms, Ordering::Relaxed);
}

fn boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}

/// When both clocks were first read.
fn start() -> (Duration, Instant) {
    *START.get_or_init(|| (boot(), Instant::now()))
}

/// Milliseconds of the boot clock since the process first asked.
pub(crate) fn now_ms() -> u64 {
    let (start, _) = start();
    let elapsed = whole_ms(boot().saturating_sub(start));
    elapsed + ADDED_MS.load(Ordering::Relaxed)
}

/// When the machine was last seen to have woken from a suspension, in milliseconds of
/// [`now_ms`]; 0 if it never was.
pub(crate) fn last_resume_ms() -> u64 {
    let (_, start) = start();
    let now = now_ms();
    let ahead = now.saturating_sub(whole_ms(start.elapsed()));
    let known = AHEAD_MS.load(Ordering::Relaxed);
    if ahead > known + SUSPENDED_MS {
        AHEAD_MS.store(ahead, Ordering::Relaxed);
        WOKE_MS.store(now, Ordering::Relaxed);
        WOKEN.notify_waiters();
    }
    WOKE_MS.load(Ordering::Relaxed)
}

/// Waits until an instant of [`now_ms`], or, if the machine was suspended beyond it, until it
/// is seen to have woken.
pub(crate) async fn wait_until(at_ms: u64) {
    loop {
        let woken = WOKEN.notified();
        let left = at_ms.saturating_sub(now_ms());
        if left == 0 {
            return;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(left)) => {}
            () = woken => {}
        }
    }
}

/// Waits until an instant of the steady clock, if there is one; else for ever.
pub(crate) async fn sleep_until_opt(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds from one instant to a later one; 0 when it is not later.
pub(crate) fn between_ms(from: Instant, to: Instant) -> u64 {
    whole_ms(to.saturating_duration_since(from))
}

/// The instant a number of milliseconds after another.
pub(crate) fn after(at: Instant, ms: u64) -> Instant {
    at + Duration::from_millis(ms)
}
