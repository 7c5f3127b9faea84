//! Processor time of the whole machine.

use std::fs;

/// Processor time of the whole machine at one moment, in clock ticks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MachineSample {
    /// Time of all processors, busy or not.
    pub total: u64,
    /// Time in which they had nothing to do.
    pub idle: u64,
}

impl MachineSample {
    /// Reads the figures.
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

/// Parses `/proc/stat`.
pub fn parse_machine(stat: &str) -> Option<MachineSample> {
    let line = stat.lines().find_map(|line| line.strip_prefix("cpu "))?;
    // Guest time, after the eighth field, is part of user time.
    let fields: Vec<u64> = line.split_whitespace().take(8).filter_map(|field| field.parse().ok()).collect();
    let idle = fields.get(3)? + fields.get(4)?;
    Some(MachineSample { total: fields.iter().sum(), idle })
}
