//! Statistics of many values.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest time that is recorded; longer times are counted as this one.
const MAX_TIME_US: u64 = 600_000_000;

/// Distribution of times in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Arithmetic mean.
    pub mean_us: u64,
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest value.
    pub max_us: u64,
}

impl Quantiles {
    /// Computes the distribution of the values.
    pub fn of(values_us: impl IntoIterator<Item = u64>) -> Self {
        // These constants are valid arguments, so creating the histogram does not fail.
        let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_TIME_US, 3) else {
            return Self::default();
        };
        for value_us in values_us {
            histogram.saturating_record(value_us.min(MAX_TIME_US));
        }
        Self {
            count: histogram.len(),
            mean_us: histogram.mean() as u64,
            p50_us: histogram.value_at_quantile(0.5),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: u64| us as f64 / 1e3;
        write!(
            formatter,
            "mean {:.2} ms, p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms, max {:.2} ms (n={})",
            ms(self.mean_us),
            ms(self.p50_us),
            ms(self.p95_us),
            ms(self.p99_us),
            ms(self.max_us),
            self.count
        )
    }
}

/// Returns the median, or 0 if there are no values.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    let at = |index: usize| sorted.get(index).copied().unwrap_or_default();
    if sorted.len().is_multiple_of(2) {
        (at(middle.saturating_sub(1)) + at(middle)) / 2.0
    } else {
        at(middle)
    }
}
