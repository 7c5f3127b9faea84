//! A replica answers a long request before it has read it, without a length, and resets the connection in the middle of
//! the answer.

use crate::fleet::Fleet;
use crate::replica::answer_body;

/// Requests of the caller. One answer in this many is reset, a share of 0.025.
const REQUESTS_FOR_EACH_RESET: usize = 40;
const RESETS: usize = 8;
/// Size of a long request, in bytes: the most that the configuration allows. The buffers of loopback connections take
/// nearly 4 MB; on a network link far shorter requests are still being sent when the answer comes.
const LONG_BYTES: usize = 4_194_304;

pub fn run(fleet: &mut Fleet, trouble: bool) -> Result<bool, String> {
    fleet.wait_ready()?;
    let caller = fleet.caller(1);
    let long = vec![b'x'; LONG_BYTES];
    let mut held = true;
    for number in 0..RESETS * REQUESTS_FOR_EACH_RESET {
        let is_long = number % REQUESTS_FOR_EACH_RESET == REQUESTS_FOR_EACH_RESET - 1;
        for replica in &fleet.replicas {
            replica.reset_next(trouble && is_long);
        }
        let attempt = format!("payout-{number}");
        let body: &[u8] = if is_long { &long } else { b"payout" };
        match caller.exchange("filing", &attempt, 10, body) {
            Ok(answer) if (200..300).contains(&answer.status()) => {
                let signature = answer.header("Server-Signature").unwrap_or_default().to_owned();
                if answer.body != answer_body(&signature).as_bytes() {
                    let (size, whole) = (answer.body.len(), answer_body(&signature).len());
                    fleet
                        .record
                        .line(&format!("MIXED: {attempt} got a success with {size} of {whole} bytes"));
                    held = false;
                }
            }
            Ok(answer) if !trouble => return Err(format!("{attempt} got {}", answer.first_line)),
            Err(error) if !trouble => return Err(error),
            _ => {}
        }
    }
    Ok(held)
}
