//! Command-line options of the instance list.

use bpaf::{Parser, construct, long};

use super::ListFaults;
use crate::process::option;

/// Returns the parser of the lag and faults at the start.
pub fn options() -> impl Parser<ListFaults> {
    let down = long("down").help("Refuse reads").switch();
    let lag_ms = option("lag-ms", "Time after which a change is shown", 0);
    construct!(ListFaults { down, lag_ms })
}
