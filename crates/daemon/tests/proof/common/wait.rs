//! Waiting for events.

use std::time::{Duration, Instant};

/// Longest wait for anything. Far above what any event takes.
const BOUND: Duration = Duration::from_secs(30);

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// Looks until there is something; fails with what was seen last.
pub(crate) async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Result<T, String>) -> T {
    let begin = Instant::now();
    loop {
        match look().await {
            Ok(found) => return found,
            Err(seen) if begin.elapsed() > BOUND => panic!("waited for {what}; seen: {seen}"),
            Err(_) => tokio::time::sleep(LOOK).await,
        }
    }
}

/// Looks until something holds.
pub(crate) async fn holds(what: &str, mut look: impl FnMut() -> bool) {
    let look = async || {
        look()
            .then_some(())
            .ok_or_else(|| "it does not hold".to_owned())
    };
    until(what, look).await;
}
