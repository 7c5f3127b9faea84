//! Command-line options of a plain service.

use banyannotch::ids::{Incarnation, InstanceId, ServiceId};
use bpaf::{Parser, construct, long};

use super::{ServiceFaults, ServiceSettings};
use crate::process::{name_option, option};

/// Returns the parser for the options.
pub fn options() -> impl Parser<ServiceSettings> {
    let service = name_option("service", "Name of the service", "service").map(ServiceId::new);
    let instance = name_option("instance", "Name of the instance", "service").map(InstanceId::new);
    let incarnation = option("incarnation", "Start of the instance", 1).map(Incarnation);
    let operations = long("operation")
        .help("Operation that exists; may be repeated, and without it any operation exists")
        .argument::<String>("NAME")
        .many();
    let faults = faults();
    construct!(ServiceSettings { service, instance, incarnation, operations, faults })
}

fn faults() -> impl Parser<ServiceFaults> {
    let delay_ms = option("delay-ms", "Time from a call's effect to its answer", 0);
    let drop_answer_next = option("drop-answer-next", "Calls that run and get no answer", 0);
    let refuse_next = option("refuse-next", "Calls that are refused before they start", 0);
    let freeze = long("freeze").help("Accept everything, run and answer nothing").switch();
    let leaving = long("leaving").help("Report leaving and refuse calls").switch();
    construct!(ServiceFaults { delay_ms, drop_answer_next, refuse_next, freeze, leaving })
}
