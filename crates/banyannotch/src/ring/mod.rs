//! Bounded rings that join the threads of the duties.
//!
//! A ring has one sender and one receiver. The receiving thread sleeps on its [`Doorbell`] and the sending thread is
//! rung when room appears, so that no thread spins. See "Shape of the code" in `docs/design.md`.

mod doorbell;
mod error;
mod link;
#[cfg(test)]
mod tests;

pub use doorbell::Doorbell;
pub use error::{Full, Result};
pub use link::{Fill, Receiver, Sender, link, receive_batch};
