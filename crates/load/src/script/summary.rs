//! Last line of the output of a generation or call.

use std::fmt;

use banyannotch_standins::caller::OutcomeBody;

/// Outcome of a request and the result of checking its content.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary<'a> {
    /// Outcome that the entry reported.
    pub outcome: &'a OutcomeBody,
    /// Whether the content is complete and correct.
    pub right: bool,
    /// Number of tokens that arrived; `None` for a call.
    pub tokens: Option<usize>,
}

impl Summary<'_> {
    /// Returns whether the request completed with complete and correct content.
    pub fn passed(&self) -> bool {
        self.right && self.outcome.outcome == "completed"
    }
}

impl fmt::Display for Summary<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let checked = match (self.right, self.outcome.outcome.as_str()) {
            (true, _) => "ok",
            (false, "completed") => "wrong",
            // Without a completed outcome, the content counts as incomplete rather than wrong.
            (false, _) => "incomplete",
        };
        write!(formatter, "outcome={} checked={checked}", self.outcome.outcome)?;
        if let Some(reason) = &self.outcome.reason {
            write!(formatter, " reason={reason}")?;
        }
        if let Some(tokens) = self.tokens {
            write!(formatter, " tokens={tokens}")?;
        }
        write!(formatter, " request={}", self.outcome.request.as_deref().unwrap_or("none"))?;
        if let Some(error) = &self.outcome.error {
            write!(formatter, " error={error:?}")?;
        }
        Ok(())
    }
}
