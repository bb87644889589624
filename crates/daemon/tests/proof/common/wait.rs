//! Polling until a condition holds.

use std::time::{Duration, Instant};

/// Maximum time to wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until `check` returns a value; panics with its last error on timeout.
pub(crate) async fn until<T>(what: &str, mut check: impl AsyncFnMut() -> Result<T, String>) -> T {
    let start = Instant::now();
    loop {
        match check().await {
            Ok(value) => return value,
            Err(error) if start.elapsed() > TIMEOUT => {
                panic!("timed out waiting for {what}: {error}")
            }
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Polls until `check` returns `true`.
pub(crate) async fn until_true(what: &str, mut check: impl FnMut() -> bool) {
    let check = async || {
        check()
            .then_some(())
            .ok_or_else(|| "condition is false".to_owned())
    };
    until(what, check).await;
}
