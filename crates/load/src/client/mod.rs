//! Clients that run generations, through an entry or directly on the engines, and check the answers.

mod direct;
mod messages;
mod routed;

pub use direct::{DirectClient, DirectStage, Replica};
pub use messages::{GenerationRequest, Generator, OutcomeKind, RequestResult};
pub use routed::RoutedClient;
