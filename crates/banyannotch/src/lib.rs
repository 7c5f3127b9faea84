//! Router for model pipelines that span several machines, and for plain services beside them.
//!
//! The library contains all of the logic; the binaries only start it. Each duty is a folder with its own state,
//! messages, policy, thread and tests. See `docs/design.md` for the architecture and `docs/glossary.md` for the terms.

pub mod admission;
pub mod backing;
pub mod caller_memory;
pub mod clock;
pub mod configuration;
pub mod duty;
pub mod engine;
pub mod entry;
pub mod execution;
pub mod gateway;
pub mod http;
pub mod ids;
pub mod intake;
pub mod ledger;
pub mod membership;
pub mod peers;
pub mod pipeline;
pub mod placement;
pub mod random;
pub mod request;
pub mod ring;
pub mod routing;
pub mod settings;

pub mod table;
pub mod telemetry;
