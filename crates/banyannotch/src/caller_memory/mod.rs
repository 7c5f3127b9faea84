//! The account of all memory that callers can make a process hold, and the bound on their connections.
//!
//! [`Account`] decides what is granted and whose connection is dropped; it has no clock, socket or log. [`CallerMemory`]
//! shares one account among the connections of a thread. [`SocketBuffers`] limits what the operating system keeps for
//! them, and [`PageBuffer`] holds large messages. See `docs/design/caller-memory.md`.

mod account;
mod buffers;
mod hold;
mod pages;
mod settings;
#[cfg(test)]
mod tests;

pub use account::{Account, Grant, Stage};
pub use buffers::{BufferSettings, Direction, LargeBuffer, SocketBuffers, is_sent};
pub use hold::{CallerMemory, Hold, Part, Refused};
pub use pages::PageBuffer;
pub use settings::AccountSettings;
