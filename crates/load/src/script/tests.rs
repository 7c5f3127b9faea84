//! Guards against reporting success to a script for an incomplete, wrong or refused answer.

use banyannotch_standins::caller::OutcomeBody;
use serde_json::json;

use super::Summary;
use super::call::echoes;

#[test]
fn only_complete_and_correct_answers_pass() {
    let outcome = |outcome: &str, reason: Option<&str>| OutcomeBody {
        outcome: outcome.into(),
        reason: reason.map(str::to_owned),
        request: Some("0f".into()),
        ..OutcomeBody::default()
    };
    let cases = [
        (outcome("completed", None), true),
        (outcome("completed", None), false),
        (outcome("failed", Some("deadline")), false),
        (outcome("unknown", None), true),
        (OutcomeBody { error: Some("no such team".into()), ..outcome("not_run", Some("team")) }, false),
    ];
    let lines = cases.map(|(outcome, right)| {
        let summary = Summary { outcome: &outcome, right, tokens: Some(3) };
        format!("{summary} -> {}", summary.passed())
    });
    insta::assert_debug_snapshot!(lines);
}

#[test]
fn result_of_another_call_is_rejected() {
    let payload = json!({ "amount": 5 });
    let result =
        |operation: &str, amount: u64| json!({ "operation": operation, "payload": { "amount": amount } });
    assert!(echoes(Some(&result("pay", 5)), "pay", &payload));
    assert!(!echoes(Some(&result("pay", 6)), "pay", &payload));
    assert!(!echoes(Some(&result("file", 5)), "pay", &payload));
    assert!(!echoes(None, "pay", &payload));
}
