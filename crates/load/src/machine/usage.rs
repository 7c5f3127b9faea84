//! Processor time of the whole machine.

use std::fs;

/// Processor time of the whole machine at one point in time, in clock ticks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MachineSample {
    /// Total time of all processors, busy and idle.
    pub total: u64,
    /// Idle time of all processors, including the time waiting for I/O.
    pub idle: u64,
}

impl MachineSample {
    /// Reads the current times; zero if they cannot be read.
    pub fn take() -> Self {
        fs::read_to_string("/proc/stat").ok().and_then(|text| parse_machine(&text)).unwrap_or_default()
    }

    /// Returns the busy share of all processors since an earlier sample.
    pub fn busy_since(&self, earlier: &Self) -> f64 {
        let total = self.total.saturating_sub(earlier.total);
        let idle = self.idle.saturating_sub(earlier.idle);
        if total == 0 { 0.0 } else { total.saturating_sub(idle) as f64 / total as f64 }
    }
}

/// Parses the contents of `/proc/stat`.
pub fn parse_machine(stat: &str) -> Option<MachineSample> {
    let line = stat.lines().find_map(|line| line.strip_prefix("cpu "))?;
    // The fields after the eighth are guest times, which user time already includes.
    let fields: Vec<u64> = line.split_whitespace().take(8).filter_map(|field| field.parse().ok()).collect();
    let idle = fields.get(3)? + fields.get(4)?;
    Some(MachineSample { total: fields.iter().sum(), idle })
}
