//! Memory and descriptors of a process, as its machine counts them.
//!
//! A machine counts bytes that were received and not yet read, and the bytes that wait to be sent, beside the memory of the
//! process. See `docs/design/caller-memory.md`.

use std::fmt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// States in `/proc/net/tcp` whose queues do not contain bytes: of a listening socket they count connections, and of one that
/// connects the kernel reads the two ends of the queue while it sets them, which gives any number up to 4 GB.
const STATES_WITHOUT_BYTES: [&str; 2] = ["0A", "02"];

/// What a process uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Resident memory of the process, in kilobytes.
    pub resident_kb: u64,
    /// Bytes that its sockets have received and it has not read, in kilobytes.
    pub unread_kb: u64,
    /// Bytes that its sockets have not sent, or whose receipt was not confirmed, in kilobytes.
    pub unsent_kb: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Returns the memory that the machine counts, in kilobytes.
    pub fn total_kb(&self) -> u64 {
        self.resident_kb + self.unread_kb + self.unsent_kb
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { resident_kb, unread_kb, unsent_kb, descriptors } = self;
        let total_kb = self.total_kb();
        write!(
            formatter,
            "{total_kb} kB ({resident_kb} resident, {unread_kb} unread, {unsent_kb} unsent), {descriptors} descriptors"
        )
    }
}

/// The sockets of a process, by their ports.
#[derive(Clone, Debug, Default)]
pub struct Ports {
    /// Ports on which the process accepts connections.
    pub listening: Vec<u16>,
    /// Ports of other processes to which it connects.
    pub connected: Vec<u16>,
}

/// Returns what a process uses now, or `None` if it has ended.
pub fn usage(process: u32, ports: &Ports) -> Option<Usage> {
    let directory = Path::new("/proc").join(process.to_string());
    let status = std::fs::read_to_string(directory.join("status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kb = resident.trim().trim_end_matches("kB").trim().parse().ok()?;
    let descriptors = std::fs::read_dir(directory.join("fd")).ok()?.count();
    let sockets = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let (unread_bytes, unsent_bytes) = sockets
        .lines()
        .skip(1)
        .filter_map(|line| queues(line, ports))
        .fold((0, 0), |sum, queues| (sum.0 + queues.0, sum.1 + queues.1));
    Some(Usage { resident_kb, unread_kb: unread_bytes / 1_024, unsent_kb: unsent_bytes / 1_024, descriptors })
}

/// Returns the unread and the unsent bytes of a line of `/proc/net/tcp`, if it is a connection of the process.
fn queues(line: &str, ports: &Ports) -> Option<(u64, u64)> {
    let mut fields = line.split_whitespace().skip(1);
    let mut port = || u16::from_str_radix(fields.next()?.rsplit(':').next()?, 16).ok();
    let (local, remote) = (port()?, port()?);
    if !ports.listening.contains(&local) && !ports.connected.contains(&remote) {
        return None;
    }
    if STATES_WITHOUT_BYTES.contains(&fields.next()?) {
        return None;
    }
    let (unsent, unread) = fields.next()?.split_once(':')?;
    Some((u64::from_str_radix(unread, 16).ok()?, u64::from_str_radix(unsent, 16).ok()?))
}

/// Samples what a process uses, until it is stopped.
#[derive(Debug)]
pub struct UsageSampler {
    peak: Arc<Mutex<Usage>>,
    descriptors: Arc<Mutex<usize>>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl UsageSampler {
    /// Starts to sample a process.
    pub fn start(process: u32, ports: Ports) -> Self {
        let (peak, descriptors) = (Arc::<Mutex<Usage>>::default(), Arc::<Mutex<usize>>::default());
        let is_stopped = Arc::<AtomicBool>::default();
        let shared = (Arc::clone(&peak), Arc::clone(&descriptors), Arc::clone(&is_stopped));
        let thread = std::thread::spawn(move || {
            let (peak, descriptors, is_stopped) = shared;
            while !is_stopped.load(Ordering::Relaxed) {
                let Some(now) = usage(process, &ports) else { return };
                let mut peak = peak.lock().unwrap_or_else(PoisonError::into_inner);
                if now.total_kb() > peak.total_kb() {
                    *peak = now;
                }
                drop(peak);
                let mut descriptors = descriptors.lock().unwrap_or_else(PoisonError::into_inner);
                *descriptors = now.descriptors.max(*descriptors);
                drop(descriptors);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { peak, descriptors, is_stopped, thread: Some(thread) }
    }

    /// Returns the sample with the most memory so far, with the largest number of descriptors of all samples.
    pub fn peak(&self) -> Usage {
        let descriptors = *self.descriptors.lock().unwrap_or_else(PoisonError::into_inner);
        Usage { descriptors, ..*self.peak.lock().unwrap_or_else(PoisonError::into_inner) }
    }
}

impl Drop for UsageSampler {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A sampler that has panicked has printed why.
            drop(thread.join());
        }
    }
}
