//! Guards against a repeated call that is not counted as a duplicate, and against a refused call that runs.

use banyannotch::duty::Duty;
use banyannotch::engine::CallRequest;
use serde_json::json;

use super::{Message, Service, ServiceSettings};
use crate::process::{Arrival, Ticket};

fn call(operation: &str, key: &str) -> Message {
    let key = Some(key.to_owned());
    Message::Call(CallRequest { operation: operation.to_owned(), payload: json!({ "amount": 5 }), key })
}

fn faults(patch: &serde_json::Value) -> Message {
    Message::SetFaults(serde_json::from_value(patch.clone()).expect("the patch should name known faults"))
}

#[test]
fn calls_are_counted_and_faults_take_effect() {
    let operations = vec!["payout".to_owned()];
    let mut service = Service::new(ServiceSettings { operations, ..ServiceSettings::default() });
    let script = [
        call("payout", "k1"),
        call("payout", "k1"),
        call("filing", "k2"),
        faults(&json!({ "refuse_next": 1, "drop_answer_next": 1 })),
        call("payout", "k3"),
        call("payout", "k3"),
        faults(&json!({ "delay_ms": 20 })),
        call("payout", "k4"),
        Message::Load,
        faults(&json!({ "delay_ms": 0, "freeze": true })),
        call("payout", "k5"),
        Message::Load,
        Message::Counts,
        faults(&json!({ "freeze": false, "leaving": true })),
        call("payout", "k6"),
        Message::Counts,
    ];
    let mut effects = Vec::new();
    for (index, message) in (1_u64..).zip(script) {
        let now_us = index * 10_000;
        service.on_event(now_us, Arrival { ticket: Ticket(index), message }, &mut effects);
        if service.next_timer_us().is_some_and(|due_us| due_us <= now_us) {
            service.on_timer(now_us, &mut effects);
        }
    }
    insta::assert_debug_snapshot!(effects);
}
