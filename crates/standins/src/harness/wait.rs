//! Waiting for a condition with a bound.

use std::time::{Duration, Instant};

use super::{HarnessError, Result};

/// Pause between two looks at the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until the condition holds.
///
/// # Errors
/// Returns [`HarnessError::TimedOut`] when it does not hold within the limit.
pub async fn wait_until(limit: Duration, mut condition: impl AsyncFnMut() -> bool) -> Result<()> {
    wait_for(limit, async || condition().await.then_some(())).await
}

/// Waits until there is a value and returns it.
///
/// # Errors
/// Returns [`HarnessError::TimedOut`] when there is none within the limit.
pub async fn wait_for<T>(limit: Duration, mut value: impl AsyncFnMut() -> Option<T>) -> Result<T> {
    let begin = Instant::now();
    loop {
        let remaining = limit.saturating_sub(begin.elapsed());
        // One look may hang on a frozen process, so it has the bound as well.
        match actix_rt::time::timeout(remaining, value()).await {
            Ok(Some(value)) => return Ok(value),
            Ok(None) if begin.elapsed() < limit => actix_rt::time::sleep(POLL_INTERVAL).await,
            Ok(None) | Err(_) => return Err(HarnessError::TimedOut { limit }),
        }
    }
}
