//! Bounded rings that connect the threads of the duties.
//!
//! A ring has one sender and one receiver. The receiving thread sleeps on its [`Doorbell`], and the doorbell of the
//! sending thread is rung when a full ring has room again, so that no thread spins. See "Shape of the code" in
//! `docs/design.md`.

mod doorbell;
mod error;
mod link;
#[cfg(test)]
mod tests;

pub use doorbell::Doorbell;
pub use error::{Full, Result};
pub use link::{HeldCount, Receiver, Sender, link, receive_batch};
