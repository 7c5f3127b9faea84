//! Prints what was decided about one request.

use serde_json::Value;

use crate::client::{Asked, ask_all, get};
use crate::error::{CommandError, Result};
use crate::options::ExplainOptions;

/// Asks the given entries and their peers one after another until one knows the request.
pub async fn run(options: &ExplainOptions) -> Result<()> {
    let mut last =
        String::from("no entry knows this request; the entry that took it keeps its last decisions only");
    for Asked { address, .. } in ask_all(&options.fleet).await {
        match get(address, &format!("/v1/explain?request={}", options.request)).await {
            Ok(answer) => {
                let decisions =
                    answer.get("decisions").and_then(Value::as_array).cloned().unwrap_or_default();
                if !decisions.is_empty() {
                    print(&decisions);
                    return Ok(());
                }
            }
            Err(error) => last = error.to_string(),
        }
    }
    Err(CommandError::NoEntry(last))
}

fn print(decisions: &[Value]) {
    for decision in decisions {
        let time_ms = decision.get("time_ms").and_then(Value::as_u64).unwrap_or(0);
        let text = decision.get("decision").and_then(Value::as_str).unwrap_or("");
        println!("{time_ms} {text}");
    }
}
