//! Errors that are reported for invalid documents.

use crate::configuration::Document;

/// Guards against accepting a document with an invalid value, and against errors that name neither key nor
/// line.
#[test]
fn all_errors_of_a_document_are_reported() {
    let token = "0123456789abcdef".repeat(4);
    let cases = [
        ("empty", String::new()),
        (
            "whole",
            format!(
                "[[models]]\nname = \"m\"\nversion = 1\nlayers = 12\nhidden_bytes = 8\n\
                 [[services]]\nname = \"s\"\n[[teams]]\nname = \"t\"\ntoken_sha256 = \"{token}\"\nweight = 1\n\
                 [presets.maintenance]\nobjective = \"throughput\"\ndrain = [\"e1\"]\n"
            ),
        ),
        ("no toml", "a\nb =".to_owned()),
        ("unknown key", "[presets.peak]\nmax_tokens = 5\nin_flight = 3\n".to_owned()),
        ("unknown preset", "[presets.festive]\n".to_owned()),
        ("wrong type", "\n\n[presets.peak]\nmax_tokens = \"many\"\n".to_owned()),
        ("too large", "[presets.peak]\nmax_tokens = 5000000000\n".to_owned()),
        ("unknown objective", "[presets.peak]\nobjective = \"cheap\"\n".to_owned()),
        ("missing key", "[[models]]\nname = \"m\"\n".to_owned()),
        ("too long", "#".repeat(262_145)),
        (
            "ranges",
            format!(
                "[[models]]\nname = \"\"\nversion = 0\nlayers = 0\nhidden_bytes = 0\n\
                 [[services]]\nname = \"s\"\n[[services]]\nname = \"s\"\n\
                 [[teams]]\nname = \"t\"\ntoken_sha256 = \"{token}\"\nweight = 0\n\
                 [[teams]]\nname = \"u\"\ntoken_sha256 = \"{token}\"\nweight = 1\n\
                 [[teams]]\nname = \"v\"\ntoken_sha256 = \"{}\"\nweight = 1000001\n\
                 [presets.ordinary]\nin_flight_limit = 0\nmax_deadline_ms = 0\ndefault_deadline_ms = 0\n\
                 max_tokens = 0\nretry_budget_percent = 1001\n\
                 [presets.peak]\nqueue_limit = 1000001\ndefault_deadline_ms = 300001\ndrain = [\"e\", \"\", \"e\"]\n",
                token.to_uppercase()
            ),
        ),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        report.push_str(&format!("## {name}\n"));
        for error in Document::check_text(&text) {
            report.push_str(&format!("{error}\n"));
        }
        let first = Document::check_text(&text).into_iter().next();
        assert_eq!(Document::parse(&text).err(), first);
    }
    insta::assert_snapshot!(report);
}
