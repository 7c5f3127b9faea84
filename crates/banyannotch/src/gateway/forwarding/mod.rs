//! Owns the connections of callers and endpoints, and forwards requests and their responses.
//!
//! A successful response is forwarded only if it has the id of the attempt and the signature of the endpoint.
//! A response that is not a stream is forwarded when its framing says that it is complete; of a stream, each
//! complete event is forwarded as it arrives. A failure of the endpoint needs no signature and is forwarded
//! when dispatch asks for it. The data of a stream stays on this thread. See `docs/platform.md`.

mod answer;
mod budget;
mod caller;
mod closing;
mod collect;
mod context;
mod events;
mod exchange;
mod handoff;
mod messages;
mod pool;
mod probe;
mod runtime;
mod send_buffer;
#[cfg(test)]
mod tests;
mod transfer;
mod watch;

pub use context::ConnectionLimits;
pub use messages::Event;
pub use runtime::{ForwardingSettings, Links, Listeners, spawn};
