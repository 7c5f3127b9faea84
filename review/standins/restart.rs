//! A gateway freezes and wakes, a replica leaves without a report, and another gateway is restarted.

use crate::fleet::{DRAIN_MS, Fleet};
use crate::replica::Replica;

/// The departure is played several times, because it is chance which gateway a starting one asks first.
const ROUNDS: usize = 6;
/// Time in which the gateways know a replica before the trouble.
const USE_MS: u64 = 1_500;

const FREEZE_MS: u64 = 4_000;
/// Times after the wake-up.
const LEAVE_MS: u64 = 1_000;
const START_MS: u64 = 2_000;
/// Time from the start of a gateway until it is in touch.
const CONTACT_MS: u64 = 3_000;
/// Time from the acknowledged removal of the entry until the replica exits.
const LINGER_MS: u64 = 5_000;

pub fn run(fleet: &mut Fleet, trouble: bool) -> Result<bool, String> {
    fleet.wait_ready()?;
    fleet.wait_until(fleet.record.now_ms() + 3_000);
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

fn play_round(fleet: &mut Fleet, leaver: &Replica, round: usize, trouble: bool) -> Result<bool, String> {
    let warm_ms = fleet.record.now_ms() + USE_MS;
    fleet.wait_until(warm_ms);
    if trouble {
        fleet.gateways[0].signal("STOP")?;
        fleet.record.line("gateway edge-a-1 freezes");
    }
    let woken_ms = warm_ms + FREEZE_MS;
    fleet.wait_until(woken_ms - 1_500);
    fleet.gateways[2].signal("TERM")?;
    fleet.record.line("gateway edge-b-2 gets SIGTERM");
    fleet.wait_until(woken_ms);
    if trouble {
        fleet.gateways[0].signal("CONT")?;
        fleet.record.line("gateway edge-a-1 wakes");
    }
    fleet.wait_until(woken_ms + LEAVE_MS);
    leaver.leave_without_report();
    let acknowledged_ms = fleet.record.now_ms();
    fleet.record.line(&format!("replica {} leaves, its entry is removed", leaver.id));
    fleet.restart(2, woken_ms + START_MS)?;
    let started_ms = fleet.record.now_ms();
    fleet.wait_until(started_ms + CONTACT_MS + 500);
    fleet.caller(2).send("filing", &format!("late-{round}"), 30);
    fleet.wait_until(acknowledged_ms + LINGER_MS);
    leaver.exit();
    fleet.record.line(&format!("replica {} has exited", leaver.id));
    let late = |(at_ms, _): &&(u64, String)| *at_ms > acknowledged_ms + DRAIN_MS;
    let arrivals = leaver.arrivals();
    for (at_ms, attempt) in arrivals.iter().filter(late) {
        let after_ms = at_ms - acknowledged_ms;
        fleet.record.line(&format!("DRAIN: {attempt} reached {} after {after_ms} ms", leaver.id));
    }
    Ok(!arrivals.iter().any(|arrival| late(&arrival)))
}
