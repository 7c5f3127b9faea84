//! A replica leaves without a report, and the store forgets its history before the next read.

use crate::fleet::{DRAIN_MS, Fleet};

/// Time from the acknowledged removal of the entry until the replica exits.
const LINGER_MS: u64 = 7_000;
/// Time after a disruption of the store from which machines are in touch again.
const CONTACT_MS: u64 = 3_000;

pub fn run(fleet: &mut Fleet, trouble: bool) -> Result<bool, String> {
    fleet.wait_ready()?;
    let leaver = fleet.replicas[1].clone();
    let warm_ms = fleet.record.now_ms() + 4_000;
    for gateway in [0, 1, 2] {
        let status = fleet.caller(gateway).send("filing", &format!("warm-{gateway}"), 30);
        if status != 200 {
            return Err(format!("a request before the trouble got {status}"));
        }
    }
    fleet.wait_until(warm_ms);
    fleet.store.wait_for_read("keyed.servers");
    leaver.leave_without_report();
    let acknowledged_ms = fleet.record.now_ms();
    fleet.record.line(&format!("replica {} leaves, its entry is removed", leaver.id));
    if trouble {
        fleet.store.forget_history("keyed.servers");
        fleet.record.line("the store forgets the history of the servers' entries");
    }
    let disrupted_ms = fleet.record.now_ms();
    fleet.wait_until(disrupted_ms + CONTACT_MS + 500);
    fleet.caller(2).send("filing", "quiet-2", 30);
    fleet.wait_until(acknowledged_ms + LINGER_MS - 150);
    let caller = fleet.caller(1);
    let last = std::thread::spawn(move || caller.send("filing", "quiet-1", 400));
    fleet.wait_until(acknowledged_ms + LINGER_MS);
    leaver.exit();
    fleet.record.line(&format!("replica {} has exited", leaver.id));
    let last_status = last.join().map_err(|_| "a caller failed".to_owned())?;
    fleet.copy_log_lines(&leaver.id);
    let late = |(at_ms, _): &&(u64, String)| *at_ms > acknowledged_ms + DRAIN_MS;
    let arrivals = leaver.arrivals();
    for (at_ms, attempt) in arrivals.iter().filter(late) {
        let after_ms = at_ms - acknowledged_ms;
        fleet.record.line(&format!("DRAIN: {attempt} reached {} after {after_ms} ms", leaver.id));
    }
    fleet.record.line(&format!("the last request got {last_status}"));
    Ok(!arrivals.iter().any(|arrival| late(&arrival)))
}
