//! Guards against a drain set that is published although it takes the last engine of some layers, and against one that
//! is refused for a reason that it did not cause.

use banyannotch::configuration::{Document, PresetName};
use serde_json::json;

use super::{Gap, find_gaps};
use crate::client::EndpointStatus;

const DOCUMENT: &str = "[[models]]\nname = \"m\"\nversion = 1\nlayers = 8\nhidden_bytes = 8\n\
                        [[services]]\nname = \"desk\"\n[presets.maintenance]\ndrain = [DRAIN]\n";

fn endpoint(instance: &str, health: &str, role: &serde_json::Value) -> EndpointStatus {
    serde_json::from_value(json!({
        "instance": instance, "incarnation": 1, "zone": "z", "health": health, "role": role,
        "running": 0, "queued": 0, "step_us": 0,
    }))
    .expect("the status is right")
}

fn engine(instance: &str, health: &str, version: u32, begin: u16, end: u16) -> EndpointStatus {
    let role = json!({ "model": "m", "version": version, "layer_begin": begin, "layer_end": end });
    endpoint(instance, health, &role)
}

#[test]
fn what_a_drain_set_leaves_without_an_endpoint_is_named() {
    let both = [
        engine("a1", "live", 1, 0, 4),
        engine("a2", "live", 1, 0, 4),
        engine("b1", "live", 1, 4, 8),
        engine("b2", "suspected", 1, 4, 8),
        engine("old", "live", 2, 4, 8),
        endpoint("desk-1", "live", &json!({ "service": "desk" })),
    ];
    let half = [engine("a1", "live", 1, 0, 4), engine("a2", "live", 1, 0, 4)];
    let cases: [(&str, &[EndpointStatus], &str); 8] = [
        ("nothing drained", &both, ""),
        ("a replica is left", &both, "\"a1\""),
        ("no replica is left", &both, "\"a1\", \"a2\""),
        ("only a suspected one and another version are left", &both, "\"b1\""),
        ("all engines", &both, "\"a1\", \"a2\", \"b1\""),
        ("the service", &both, "\"desk-1\""),
        ("layers that were missing before", &half, "\"a1\""),
        ("no endpoint is known", &[], "\"a1\", \"a2\""),
    ];
    let mut report = Vec::new();
    for (name, endpoints, drain) in cases {
        let document = Document::parse(&DOCUMENT.replace("DRAIN", drain)).expect("the document is right");
        let gaps = find_gaps(&document, PresetName::Maintenance, endpoints);
        let gaps = gaps.iter().map(Gap::to_string).collect::<Vec<_>>().join("; ");
        report.push(format!("{name}: {}", if gaps.is_empty() { "accepted" } else { &gaps }));
        assert_eq!(find_gaps(&document, PresetName::Peak, endpoints), [], "another preset drains nothing");
    }
    insta::assert_snapshot!(report.join("\n"));
}
