//! The replica of a zone is emptied and taken away, and another one is added, several times. One gateway gets answers of
//! the replica all the time, the others have no requests for a few seconds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::fleet::{DRAIN_MS, Fleet};
use crate::replica::Replica;

const ROUNDS: usize = 5;
/// Time in which the gateways use a replica before it leaves. Varies by [`SHIFT_MS`] from round to round, so that the rounds
/// do not all meet the same moment between two reads of the store.
const USE_MS: u64 = 3_000;
const SHIFT_MS: u64 = 170;
/// Time from the acknowledged report of the replica until it exits.
const LINGER_MS: u64 = 6_000;
/// Callers that keep the first gateway busy.
const BUSY_CALLERS: usize = 6;

pub fn run(fleet: &mut Fleet, trouble: bool) -> Result<bool, String> {
    fleet.wait_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut busy = Vec::new();
    for number in 0..BUSY_CALLERS {
        let (caller, stop) = (fleet.caller(0), Arc::clone(&stop));
        busy.push(std::thread::spawn(move || {
            for round in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                caller.send("lookup", &format!("busy-{number}-{round}"), 60);
            }
        }));
    }
    let mut held = true;
    let mut replica = fleet.replicas[1].clone();
    for round in 1..=ROUNDS {
        held &= play_round(fleet, &replica, round, trouble)?;
        if trouble && round < ROUNDS {
            let id = format!("i-desk-b{}", round + 1);
            replica = Replica::start(&id, "riga-b", "127.0.30.2", &fleet.store, &fleet.record)
                .map_err(|error| error.to_string())?;
        }
    }
    stop.store(true, Ordering::SeqCst);
    for caller in busy {
        caller.join().map_err(|_| "a caller failed".to_owned())?;
    }
    fleet.copy_log_lines("i-desk-b");
    Ok(held)
}

fn play_round(fleet: &Fleet, leaver: &Replica, round: usize, trouble: bool) -> Result<bool, String> {
    fleet.wait_until(fleet.record.now_ms() + USE_MS + SHIFT_MS * round as u64);
    if leaver.arrivals().is_empty() {
        return Err("the first gateway does not use the replica".to_owned());
    }
    if trouble {
        leaver.drain();
    }
    let acknowledged_ms = fleet.record.now_ms();
    if trouble {
        fleet.record.line(&format!("replica {} leaves, acknowledged by the store", leaver.id));
    }
    // The requests of the other gateways come after the bound, in an ordinary pause between two requests.
    fleet.wait_until(acknowledged_ms + DRAIN_MS + 700);
    fleet.caller(2).send("filing", &format!("quiet-2-{round}"), 30);
    fleet.wait_until(acknowledged_ms + LINGER_MS - 150);
    let caller = fleet.caller(1);
    let attempt = format!("quiet-1-{round}");
    let last = std::thread::spawn(move || caller.send("filing", &attempt, 400));
    fleet.wait_until(acknowledged_ms + LINGER_MS);
    if trouble {
        leaver.exit();
        fleet.record.line(&format!("replica {} has exited", leaver.id));
    }
    let status = last.join().map_err(|_| "a caller failed".to_owned())?;
    if !trouble && status != 200 {
        return Err(format!("a request without trouble got {status}"));
    }
    let late = |(at_ms, _): &&(u64, String)| trouble && *at_ms > acknowledged_ms + DRAIN_MS;
    let arrivals = leaver.arrivals();
    for (at_ms, attempt) in arrivals.iter().filter(late) {
        let after_ms = at_ms - acknowledged_ms;
        fleet.record.line(&format!("DRAIN: {attempt} reached {} after {after_ms} ms", leaver.id));
    }
    Ok(!arrivals.iter().any(|arrival| late(&arrival)))
}
