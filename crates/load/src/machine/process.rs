//! Resource use of one process.

use std::fs;

/// Resource use of a process at one point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessSample {
    /// Processor time in user and kernel mode, in clock ticks.
    pub ticks: u64,
    /// Processor time of the running threads in nanoseconds, because clock ticks are too coarse for an idle
    /// process.
    pub run_ns: u64,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Number of threads.
    pub threads: u64,
}

impl ProcessSample {
    /// Reads the resource use of a process; `None` if the process does not exist.
    pub fn take(id: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let run_ns = thread_run_ns(id).unwrap_or_default();
        Some(Self { run_ns, ..parse_process(&stat, &status)? })
    }
}

/// Parses the contents of `/proc/<id>/stat` and `/proc/<id>/status`. Leaves `run_ns` at 0.
pub fn parse_process(stat: &str, status: &str) -> Option<ProcessSample> {
    // The name of the process is in parentheses and may contain spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    // Fields are numbered from 1 in proc(5), and `fields` begins with field 3: user time is field 14, kernel
    // time field 15 and the number of threads field 20.
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let kernel: u64 = fields.get(12)?.parse().ok()?;
    let threads = fields.get(17)?.parse().ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kib: u64 = resident.split_whitespace().next()?.parse().ok()?;
    Some(ProcessSample { ticks: user + kernel, run_ns: 0, resident_bytes: resident_kib << 10, threads })
}

/// Returns the total processor time of the threads that currently exist.
fn thread_run_ns(id: u32) -> Option<u64> {
    let threads = fs::read_dir(format!("/proc/{id}/task")).ok()?;
    let times = threads.filter_map(|thread| {
        let text = fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Some(times.sum())
}
