//! What all stand-ins share: an HTTP front that hands decoded messages to a policy and carries out its effects.
//!
//! A policy is a [`banyannotch::duty::Duty`] over [`Arrival`]s and [`Effect`]s, so it runs without sockets in tests.

mod codec;
mod front;
mod options;
mod pacer;
#[cfg(test)]
mod tests;

pub use codec::{Codec, DecodeError, Result, message, query_number, segments};
pub use front::{StartError, start};
pub use options::{name, option, port};
pub use pacer::Pacer;

/// Names one received message until it is answered.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A message that reached a stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival<M> {
    /// Names the message in the answer.
    pub ticket: Ticket,
    /// The decoded message.
    pub message: M,
}

/// What a policy wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<A> {
    /// Answer after a delay.
    Send {
        /// Message that is answered.
        ticket: Ticket,
        /// The answer.
        answer: A,
        /// Delay before it leaves.
        delay_us: u64,
    },
    /// Close the connection without an answer.
    Close {
        /// Message that stays unanswered.
        ticket: Ticket,
    },
    /// Never answer, and keep the connection open.
    Silence {
        /// Message that stays unanswered.
        ticket: Ticket,
    },
    /// End the process at once.
    Exit {
        /// Exit code.
        code: i32,
    },
}

/// Exit code of a stand-in that was made to crash.
pub const CRASH_CODE: i32 = 101;
