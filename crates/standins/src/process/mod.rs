//! HTTP server that all stand-ins share: it passes decoded messages to a policy and carries out its effects.
//!
//! A policy is a [`banyannotch::duty::Duty`] over [`Arrival`]s and [`Effect`]s, so it runs without sockets in
//! tests.

mod codec;
mod front;
mod options;
mod pacer;
#[cfg(test)]
mod tests;

pub use codec::{Codec, DecodeError, Result, decode_json, query_number, segments};
pub use front::{StartError, start};
pub use options::{name_option, option, port_option};
pub use pacer::Pacer;

/// Identifies a received message until it is answered.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A message that a stand-in received.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival<M> {
    /// Identifies the message in the effects.
    pub ticket: Ticket,
    /// The decoded message.
    pub message: M,
}

/// Action that a policy requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<A> {
    /// Send an answer after a delay.
    Send {
        /// Message to answer.
        ticket: Ticket,
        /// The answer.
        answer: A,
        /// Delay before the answer is sent, in microseconds; 0 sends it at once.
        delay_us: u64,
    },
    /// Close the connection without an answer.
    Close {
        /// Message that is not answered.
        ticket: Ticket,
    },
    /// Withhold the answer for good, and keep the connection open.
    Withhold {
        /// Message that is not answered.
        ticket: Ticket,
    },
    /// Exit the process immediately.
    Exit {
        /// Exit code.
        code: i32,
    },
}

/// Exit code of a stand-in whose injected crash was triggered.
pub const CRASH_EXIT_CODE: i32 = 101;
