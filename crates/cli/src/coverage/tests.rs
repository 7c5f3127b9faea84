//! Guards against publishing a drain set that removes the last engine of some layers, and against refusing
//! one because of a gap that existed before.

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
    .expect("the endpoint status parses")
}

fn engine(instance: &str, health: &str, version: u32, begin: u16, end: u16) -> EndpointStatus {
    let role = json!({ "model": "m", "version": version, "layer_begin": begin, "layer_end": end });
    endpoint(instance, health, &role)
}

#[test]
fn drain_set_reports_uncovered_layers_and_services() {
    let all_stages = [
        engine("a1", "live", 1, 0, 4),
        engine("a2", "live", 1, 0, 4),
        engine("b1", "live", 1, 4, 8),
        engine("b2", "suspected", 1, 4, 8),
        engine("old", "live", 2, 4, 8),
        endpoint("desk-1", "live", &json!({ "service": "desk" })),
    ];
    let first_stage = [engine("a1", "live", 1, 0, 4), engine("a2", "live", 1, 0, 4)];
    let cases: [(&str, &[EndpointStatus], &str); 8] = [
        ("nothing drained", &all_stages, ""),
        ("a replica is left", &all_stages, "\"a1\""),
        ("no replica is left", &all_stages, "\"a1\", \"a2\""),
        ("only a suspected one and another version are left", &all_stages, "\"b1\""),
        ("all engines", &all_stages, "\"a1\", \"a2\", \"b1\""),
        ("the service", &all_stages, "\"desk-1\""),
        ("layers that were missing before", &first_stage, "\"a1\""),
        ("no endpoint is known", &[], "\"a1\", \"a2\""),
    ];
    let mut report = Vec::new();
    for (name, endpoints, drain) in cases {
        let document = Document::parse(&DOCUMENT.replace("DRAIN", drain)).expect("the document parses");
        let gaps = find_gaps(&document, PresetName::Maintenance, endpoints);
        let gaps = gaps.iter().map(Gap::to_string).collect::<Vec<_>>().join("; ");
        report.push(format!("{name}: {}", if gaps.is_empty() { "accepted" } else { &gaps }));
        assert_eq!(
            find_gaps(&document, PresetName::Peak, endpoints),
            [],
            "the peak preset has no drain set, so it must cause no gap"
        );
    }
    insta::assert_snapshot!(report.join("\n"));
}
