//! Clients that run one generation and check it: through an entry, or directly against the engines.

mod direct;
mod messages;
mod routed;

pub use direct::{Direct, DirectStage, Replica};
pub use messages::{Ask, Generator, Kind, Received};
pub use routed::Routed;
