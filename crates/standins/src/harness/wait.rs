//! Waits for a condition with a timeout.

use std::time::{Duration, Instant};

use super::{HarnessError, Result};

/// Delay between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until the condition holds.
///
/// # Errors
/// Returns [`HarnessError::TimedOut`] when it does not hold within the limit.
pub async fn wait_until(limit: Duration, mut condition: impl AsyncFnMut() -> bool) -> Result<()> {
    wait_for(limit, async || condition().await.then_some(())).await
}

/// Waits until `value` returns `Some` and returns the value.
///
/// # Errors
/// Returns [`HarnessError::TimedOut`] when there is no value within the limit.
pub async fn wait_for<T>(limit: Duration, mut value: impl AsyncFnMut() -> Option<T>) -> Result<T> {
    let started = Instant::now();
    loop {
        let remaining = limit.saturating_sub(started.elapsed());
        // A single check may hang on a suspended process, so the timeout applies to it too.
        match actix_rt::time::timeout(remaining, value()).await {
            Ok(Some(value)) => return Ok(value),
            Ok(None) if started.elapsed() < limit => actix_rt::time::sleep(POLL_INTERVAL).await,
            Ok(None) | Err(_) => return Err(HarnessError::TimedOut { limit }),
        }
    }
}
