//! Command-line options of the log service.

use bpaf::{Parser, construct, long};

use super::LogFaults;
use crate::process::option;

/// Returns the parser of the limits and faults at the start.
pub fn options() -> impl Parser<LogFaults> {
    let defaults = LogFaults::default();
    let down = long("down").help("Refuse everything").switch();
    let delay_ms = option("delay-ms", "Time from an append's effect to its answer", 0);
    let lose_answer_next = option("lose-answer-next", "Appends that take effect and get no answer", 0);
    let reject_next = option("reject-next", "Appends that are refused as over the rate", 0);
    let retention_ms = option("retention-ms", "Time for which records are kept, 0 for ever", 0);
    let rate_per_s = option("rate-per-s", "Appends in a second, 0 for no limit", defaults.rate_per_s);
    construct!(LogFaults { down, delay_ms, lose_answer_next, reject_next, retention_ms, rate_per_s })
}
