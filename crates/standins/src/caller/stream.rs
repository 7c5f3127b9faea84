//! Decodes an answer event by event.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};

use super::{CallerError, Event, OutcomeBody, Result};

/// Parser of server-sent events whose bytes arrive in chunks of any size.
#[derive(Debug, Default)]
pub struct EventParser {
    /// Received bytes that are not parsed yet.
    buffer: Vec<u8>,
}

impl EventParser {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next event from the buffer and returns it, or `None` if no complete event has arrived.
    ///
    /// # Errors
    /// Returns [`CallerError::Malformed`] when the event is not one of the callers' protocol.
    pub fn next_event(&mut self) -> Result<Option<Event>> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") else { return Ok(None) };
        let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&block);
        let malformed = || CallerError::Malformed(text.clone().into_owned());
        let name = text.lines().find_map(|line| line.strip_prefix("event: ")).ok_or_else(malformed)?;
        let data = text.lines().find_map(|line| line.strip_prefix("data: ")).ok_or_else(malformed)?;
        let event = match name {
            "token" => serde_json::from_str(data).map(Event::Token),
            "outcome" => serde_json::from_str(data).map(Event::Outcome),
            _ => return Err(malformed()),
        };
        event.map(Some).map_err(|_| malformed())
    }
}

/// An answer whose events are read as they arrive.
#[derive(Debug)]
pub struct AnswerStream<S> {
    status: u16,
    body: S,
    parser: EventParser,
    /// Whether the body is a stream of server-sent events. Otherwise, it is a single JSON outcome.
    streamed: bool,
    /// Whether the outcome has been read.
    ended: bool,
}

/// The content of an answer that has been read so far, which is the whole answer after
/// [`AnswerStream::finish`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Token IDs in order of arrival.
    pub tokens: Vec<u32>,
    /// Positions of the tokens in the answer, in order of arrival.
    pub indexes: Vec<u32>,
    /// The outcome; the default value until it has arrived.
    pub outcome: OutcomeBody,
}

impl<S, E> AnswerStream<S>
where
    S: Stream<Item = std::result::Result<Bytes, E>> + Unpin,
    E: std::fmt::Display,
{
    /// Creates the stream over a response body. `streamed` says whether the body consists of server-sent
    /// events or is a single JSON outcome.
    pub fn new(status: u16, streamed: bool, body: S) -> Self {
        Self { status, body, parser: EventParser::default(), streamed, ended: false }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Waits for the next event. Returns `None` after the outcome.
    ///
    /// # Errors
    /// Returns [`CallerError`] when the response ends or breaks before the outcome, or when it is malformed.
    pub async fn next(&mut self) -> Result<Option<Event>> {
        if self.ended {
            return Ok(None);
        }
        loop {
            if self.streamed
                && let Some(event) = self.parser.next_event()?
            {
                self.ended = matches!(event, Event::Outcome(_));
                return Ok(Some(event));
            }
            match self.body.next().await {
                Some(Ok(bytes)) => self.parser.push(&bytes),
                Some(Err(error)) => return Err(CallerError::Broken(error.to_string())),
                None if self.streamed => return Err(CallerError::NoOutcome),
                None => return self.json_outcome().map(Some),
            }
        }
    }

    /// Reads the rest of the answer and adds it to `answer`, which holds what has been read before.
    ///
    /// # Errors
    /// Returns [`CallerError`] when the response ends or breaks before the outcome, or when it is malformed.
    pub async fn finish(mut self, mut answer: Answer) -> Result<Answer> {
        answer.status = self.status;
        while let Some(event) = self.next().await? {
            match event {
                Event::Token(token) => {
                    answer.tokens.push(token.id);
                    answer.indexes.push(token.index);
                }
                Event::Outcome(outcome) => answer.outcome = outcome,
            }
        }
        Ok(answer)
    }

    fn json_outcome(&mut self) -> Result<Event> {
        self.ended = true;
        serde_json::from_slice(&self.parser.buffer)
            .map(Event::Outcome)
            .map_err(|_| CallerError::Malformed(String::from_utf8_lossy(&self.parser.buffer).into_owned()))
    }
}
