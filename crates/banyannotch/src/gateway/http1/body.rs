//! Incremental decoding of message bodies.

use bytes::{Buf, Bytes, BytesMut};

use super::{HttpError, Result};

/// Maximum number of bytes buffered of an incomplete chunk-size or trailer line. Chunk extensions are accepted
/// and ignored.
const CHUNK_LINE_LIMIT_BYTES: usize = 256;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By the last chunk of the chunked transfer coding.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

/// Result of one decoding step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decoded {
    /// The next bytes of the body.
    Data(Bytes),
    /// The buffer holds too few bytes to continue; more must be read from the connection.
    NeedMore,
    /// The body is complete.
    End,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// A limit on the size of a body that is buffered.
pub trait BodyQuota {
    /// Accounts for further bytes of the body, before they are buffered.
    ///
    /// # Errors
    /// Returns [`HttpError::BodyTooLarge`] or [`HttpError::BuffersFull`] when there is no room for them.
    fn take(&mut self, size_bytes: usize) -> Result<()>;
}

/// A limit on a single body.
#[derive(Clone, Copy, Debug)]
pub(super) struct FixedQuota {
    limit_bytes: usize,
    taken_bytes: usize,
}

impl FixedQuota {
    /// Creates the quota of a body that is still empty.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, taken_bytes: 0 }
    }
}

impl BodyQuota for FixedQuota {
    fn take(&mut self, size_bytes: usize) -> Result<()> {
        self.taken_bytes = self.taken_bytes.saturating_add(size_bytes);
        if self.taken_bytes > self.limit_bytes {
            Err(HttpError::BodyTooLarge(self.limit_bytes))
        } else {
            Ok(())
        }
    }
}

/// Decodes one body from a buffer that is filled incrementally.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the given framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Removes the next part of the body from the buffer and returns it.
    ///
    /// # Errors
    /// Returns [`HttpError::Malformed`] when the chunked coding is invalid.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded> {
        loop {
            match self.state {
                State::Done => return Ok(Decoded::End),
                State::UntilClose if buffer.is_empty() => return Ok(Decoded::NeedMore),
                State::UntilClose => return Ok(Decoded::Data(buffer.split().freeze())),
                State::Length(remaining) => {
                    let Some(data) = take_up_to(buffer, remaining) else { return Ok(Decoded::NeedMore) };
                    let remaining = remaining - data.len() as u64;
                    self.state = if remaining == 0 { State::Done } else { State::Length(remaining) };
                    return Ok(Decoded::Data(data));
                }
                State::Chunk(remaining) => {
                    let Some(data) = take_up_to(buffer, remaining) else { return Ok(Decoded::NeedMore) };
                    let remaining = remaining - data.len() as u64;
                    self.state = if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
                    return Ok(Decoded::Data(data));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer)? else { return Ok(Decoded::NeedMore) };
                    self.state = match parse_chunk_size(&line)? {
                        0 => State::Trailer,
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buffer)? else { return Ok(Decoded::NeedMore) };
                    if !line.is_empty() {
                        return Err(HttpError::Malformed("chunk is longer than its size"));
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer => {
                    let Some(line) = take_line(buffer)? else { return Ok(Decoded::NeedMore) };
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }

    /// Returns whether the body is complete if the peer closes the connection now.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }
}

fn take_up_to(buffer: &mut BytesMut, remaining: u64) -> Option<Bytes> {
    let size = usize::try_from(remaining).unwrap_or(usize::MAX).min(buffer.len());
    (size > 0).then(|| buffer.split_to(size).freeze())
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > CHUNK_LINE_LIMIT_BYTES {
            Err(HttpError::Malformed("chunk line is too long"))
        } else {
            Ok(None)
        };
    };
    let mut line = buffer.split_to(end).freeze();
    buffer.advance(1);
    if line.last() == Some(&b'\r') {
        line.truncate(line.len() - 1);
    }
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64> {
    let malformed = HttpError::Malformed("chunk size is no number");
    let text = std::str::from_utf8(line).map_err(|_| HttpError::Malformed("chunk size is no number"))?;
    let digits = text.split(';').next().unwrap_or_default().trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(malformed);
    }
    u64::from_str_radix(digits, 16).map_err(|_| malformed)
}
