//! A replica leaves without a report, and the store forgets its history before the next read.

use crate::fleet::{DRAIN_MS, Fleet};
use crate::replica::Replica;

/// The departure is played several times, because a gateway may happen to read a snapshot of the store itself.
const ROUNDS: usize = 5;
/// Time in which the gateways know a replica before the trouble.
const USE_MS: u64 = 3_000;

/// Time from the acknowledged removal of the entry until the replica exits.
const LINGER_MS: u64 = 6_500;
/// Time after a disruption of the store from which machines are in touch again.
const CONTACT_MS: u64 = 3_000;

pub fn run(fleet: &mut Fleet, trouble: bool) -> Result<bool, String> {
    fleet.wait_ready()?;
    let mut replica = fleet.replicas[1].clone();
    let mut held = true;
    for round in 1..=ROUNDS {
        held &= play_round(fleet, &replica, round, trouble)?;
        if round < ROUNDS {
            let id = format!("i-desk-b{}", round + 1);
            replica = Replica::start(&id, "riga-b", "127.0.30.2", &fleet.store, &fleet.record)
                .map_err(|error| error.to_string())?;
        }
    }
    fleet.copy_log_lines("i-desk-b");
    Ok(held)
}

fn play_round(fleet: &Fleet, leaver: &Replica, round: usize, trouble: bool) -> Result<bool, String> {
    fleet.wait_until(fleet.record.now_ms() + USE_MS);
    fleet.store.wait_for_read("keyed.servers");
    leaver.leave_without_report();
    let acknowledged_ms = fleet.record.now_ms();
    fleet.record.line(&format!("replica {} leaves, its entry is removed", leaver.id));
    if trouble {
        fleet.store.forget_history("keyed.servers");
        fleet.record.line("the store forgets the history of the servers' entries");
    }
    let disrupted_ms = fleet.record.now_ms();
    // The loss of the history may disturb the store for a second or so.
    fleet.wait_until(disrupted_ms + CONTACT_MS + 1_800);
    fleet.caller(2).send("filing", &format!("quiet-2-{round}"), 30);
    fleet.wait_until(acknowledged_ms + LINGER_MS - 150);
    let caller = fleet.caller(1);
    let attempt = format!("quiet-1-{round}");
    let last = std::thread::spawn(move || caller.send("filing", &attempt, 400));
    fleet.wait_until(acknowledged_ms + LINGER_MS);
    leaver.exit();
    fleet.record.line(&format!("replica {} has exited", leaver.id));
    let last_status = last.join().map_err(|_| "a caller failed".to_owned())?;
    let late = |(at_ms, _): &&(u64, String)| *at_ms > acknowledged_ms + DRAIN_MS;
    let arrivals = leaver.arrivals();
    for (at_ms, attempt) in arrivals.iter().filter(late) {
        let after_ms = at_ms - acknowledged_ms;
        fleet.record.line(&format!("DRAIN: {attempt} reached {} after {after_ms} ms", leaver.id));
    }
    fleet.record.line(&format!("the last request got {last_status}"));
    Ok(!arrivals.iter().any(|arrival| late(&arrival)))
}
