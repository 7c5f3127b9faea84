//! The last line that a single request prints.

use std::fmt;

use banyannotch_standins::caller::OutcomeBody;

/// Outcome of a request and whether its content is right.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary<'a> {
    /// Outcome that the entry reported.
    pub outcome: &'a OutcomeBody,
    /// Whether the content is whole and right.
    pub right: bool,
    /// Tokens that arrived; none for a call.
    pub tokens: Option<usize>,
}

impl Summary<'_> {
    /// Returns whether the request completed with the right content.
    pub fn passed(&self) -> bool {
        self.right && self.outcome.outcome == "completed"
    }
}

impl fmt::Display for Summary<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let checked = match (self.right, self.outcome.outcome.as_str()) {
            (true, _) => "ok",
            (false, "completed") => "wrong",
            // An incomplete answer is no wrong answer, but what arrived of it is not enough.
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
