//! Splits a stream into events and checks that their ids are consecutive.

use thiserror::Error;

use crate::caller_memory::PageBuffer;

/// Maximum number of bytes buffered of an incomplete event. Events of a token stream take some hundred bytes.
const EVENT_LIMIT_BYTES: usize = 65_536;

/// Why the events of a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum EventError {
    #[error("event {found} is out of order after event {last}")]
    OutOfOrder { last: u64, found: u64 },
    #[error("an event has no numeric id")]
    NoId,
    #[error("an incomplete event is larger than {EVENT_LIMIT_BYTES} bytes")]
    TooLarge,
}

/// Size up to which the memory of the buffer is kept for the next event.
const KEPT_BYTES: usize = 16_384;

/// Buffers the bytes that one endpoint sends of a stream and emits only complete events with consecutive ids.
#[derive(Debug)]
pub(super) struct EventSplitter {
    /// The incomplete event.
    buffer: PageBuffer,
    /// Number of bytes in the buffer that were searched for the end of the event. They are not searched again, so the time
    /// does not grow with the square of the event's size.
    searched: usize,
    /// Offset at which the line after the searched bytes begins.
    line_start: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the given event. Without one, the first event may
    /// have any id.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { buffer: PageBuffer::default(), searched: 0, line_start: 0, last_id }
    }

    /// Adds bytes and appends all complete events to `out`. Returns the number of events.
    pub fn push(&mut self, data: &[u8], out: &mut PageBuffer) -> Result<usize, EventError> {
        self.buffer.extend_from_slice(data);
        let (mut start, mut count) = (0, 0);
        while let Some(size) = self.first_event_size(start) {
            let event = self.buffer.as_slice().get(start..start + size).unwrap_or_default();
            let found = parse_event_id(event).ok_or(EventError::NoId)?;
            if let Some(last) = self.last_id
                && last.checked_add(1) != Some(found)
            {
                return Err(EventError::OutOfOrder { last, found });
            }
            self.last_id = Some(found);
            out.extend_from_slice(event);
            start += size;
            count += 1;
        }
        self.buffer.discard_front(start);
        if self.buffer.capacity() > KEPT_BYTES && self.buffer.len() <= KEPT_BYTES {
            self.buffer.set_capacity(KEPT_BYTES);
        }
        if self.buffer.len() > EVENT_LIMIT_BYTES {
            return Err(EventError::TooLarge);
        }
        Ok(count)
    }

    /// Returns the size of the event that begins at `start` in bytes, including the empty line that ends it, or `None` while
    /// it is incomplete.
    fn first_event_size(&mut self, start: usize) -> Option<usize> {
        let buffer = self.buffer.as_slice().get(start..).unwrap_or_default();
        let unsearched = buffer.iter().enumerate().skip(self.searched);
        for (index, _) in unsearched.filter(|(_, byte)| **byte == b'\n') {
            let line = buffer.get(self.line_start..index).unwrap_or_default();
            if self.line_start > 0 && (line.is_empty() || line == b"\r") {
                (self.searched, self.line_start) = (0, 0);
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.searched = buffer.len();
        None
    }

    /// Returns the id of the last event that was emitted, or else the id that the stream continues after.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the size of the incomplete event in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the memory that the buffer takes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether the buffer holds the beginning of an incomplete event.
    pub fn is_inside_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn parse_event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
