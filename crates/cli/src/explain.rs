//! `banyannotch explain`: prints the decisions about one request.

use serde_json::Value;

use crate::client::{EntryReply, get, query_entries};
use crate::error::{CommandError, Result};
use crate::options::ExplainOptions;

/// Queries the given entries and their peers one after another until one has decisions about the request.
pub async fn run(options: &ExplainOptions) -> Result<()> {
    let mut last_error = String::from(
        "no entry has decisions about this request; the entry that received it keeps only its most recent \
         decisions",
    );
    for EntryReply { address, .. } in query_entries(&options.fleet).await {
        match get(address, &format!("/v1/explain?request={}", options.request)).await {
            Ok(answer) => {
                let decisions =
                    answer.get("decisions").and_then(Value::as_array).cloned().unwrap_or_default();
                if !decisions.is_empty() {
                    print(&decisions);
                    return Ok(());
                }
            }
            Err(error) => last_error = error.to_string(),
        }
    }
    Err(CommandError::NoEntry(last_error))
}

fn print(decisions: &[Value]) {
    for decision in decisions {
        let time_ms = decision.get("time_ms").and_then(Value::as_u64).unwrap_or(0);
        let text = decision.get("decision").and_then(Value::as_str).unwrap_or("");
        println!("{time_ms} {text}");
    }
}
