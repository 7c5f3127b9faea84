//! Tests that a change becomes visible only after the lag, and that it leaves other instances unchanged.

use banyannotch::duty::Duty;
use serde_json::{Value, json};

use super::{Answer, List, ListFaults, Message};
use crate::process::{Arrival, Effect, Ticket};

fn listed(instance: &str, state: &str) -> Value {
    json!({
        "instance": instance, "incarnation": 1, "kind": "engine", "zone": "z1",
        "address": "127.0.0.1:1", "state": state, "fencing": "checked",
    })
}

fn change(body: &Value) -> Message {
    Message::Change(serde_json::from_value(body.clone()).expect("the change is valid"))
}

#[test]
fn changes_become_visible_after_the_lag() {
    let mut list = List::new(ListFaults { lag_ms: 100, ..ListFaults::default() });
    let down =
        Message::SetFaults(serde_json::from_value(json!({ "down": true })).expect("the faults are valid"));
    let script = [
        (0, change(&json!({ "instances": [listed("e1", "live"), listed("e2", "live")] }))),
        (50, change(&listed("e1", "leaving"))),
        (99, Message::Read),
        (100, Message::Read),
        (120, change(&json!({ "remove": "e2" }))),
        (150, Message::Read),
        (220, Message::Read),
        (230, down),
        (240, Message::Read),
    ];
    let mut report = Vec::new();
    for (now_ms, message) in script {
        let mut effects = Vec::new();
        list.on_event(now_ms * 1_000, Arrival { ticket: Ticket(now_ms), message }, &mut effects);
        for effect in effects {
            let Effect::Send { answer, .. } = effect else { panic!("unexpected {effect:?}") };
            let text = match answer {
                Answer::Instances(all) => all
                    .instances
                    .iter()
                    .map(|one| format!("{} {:?}", one.instance, one.state))
                    .collect::<Vec<_>>()
                    .join(", "),
                other => format!("{other:?}"),
            };
            report.push(format!("{now_ms:>4} {text}"));
        }
    }
    insta::assert_snapshot!(report.join("\n"));
}
