//! Processor time and memory of one process.

use std::fs;

/// Processor time and memory of a process at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessSample {
    /// Processor time in clock ticks, in user and kernel mode.
    pub ticks: u64,
    /// Processor time of all its threads in nanoseconds; a clock tick is too coarse for an idle process.
    pub run_ns: u64,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: u64,
}

impl ProcessSample {
    /// Reads the figures of a process; none when it is gone.
    pub fn take(id: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let run_ns = thread_run_ns(id).unwrap_or_default();
        Some(Self { run_ns, ..parse_process(&stat, &status)? })
    }
}

/// Parses `/proc/<id>/stat` and `/proc/<id>/status`.
pub fn parse_process(stat: &str, status: &str) -> Option<ProcessSample> {
    // The name of the process is in parentheses and may contain spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    // After the name come the fields from number 3 on; user and kernel time are numbers 14 and 15.
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let kernel: u64 = fields.get(12)?.parse().ok()?;
    let threads = fields.get(17)?.parse().ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kib: u64 = resident.split_whitespace().next()?.parse().ok()?;
    Some(ProcessSample { ticks: user + kernel, run_ns: 0, resident_bytes: resident_kib << 10, threads })
}

/// Sums the processor time of the threads that run now.
fn thread_run_ns(id: u32) -> Option<u64> {
    let threads = fs::read_dir(format!("/proc/{id}/task")).ok()?;
    let times = threads.filter_map(|thread| {
        let text = fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Some(times.sum())
}
