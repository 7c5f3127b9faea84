//! A replica spoils one of its answers.

use crate::fleet::Fleet;

/// Requests of the caller. One answer of these is spoiled, a share of 0.025.
const REQUESTS: usize = 40;

pub fn run(fleet: &mut Fleet, trouble: bool) -> Result<bool, String> {
    fleet.wait_ready()?;
    let caller = fleet.caller(1);
    let mut held = true;
    for number in 0..REQUESTS {
        if trouble && number == REQUESTS / 2 {
            // The gateway is in the zone of this replica and sends it each request.
            fleet.replicas[1].spoil_next();
        }
        let attempt = format!("payout-{number}");
        match caller.exchange("filing", &attempt, 30, b"payout") {
            Ok(answer) if !is_status_line(&answer.first_line) => {
                fleet.record.line(&format!("MIXED: {attempt} got {:?}", answer.first_line));
                held = false;
            }
            Err(error) if !trouble => return Err(error),
            _ => {}
        }
    }
    Ok(held)
}

/// Returns whether a line is the first of a response: the version, a status of three digits from 100 to 599, and a reason,
/// which may be empty.
fn is_status_line(line: &str) -> bool {
    let Some(rest) = line.strip_prefix("HTTP/1.1 ") else { return false };
    let (status, _) = rest.split_once(' ').unwrap_or((rest, ""));
    status.len() == 3 && status.parse().is_ok_and(|status: u16| (100..600).contains(&status))
}
