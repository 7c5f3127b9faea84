//! Stand-ins (test doubles) for the platform: engines, plain services, the log service and the instance list.
//!
//! Each is a policy without side effects behind a small HTTP server. They implement the protocols of section
//! 6 of `docs/design.md`. Faults can be injected into each by command-line options or by
//! `POST /control/faults`.

pub mod caller;
pub mod control;
pub mod engine;
pub mod fleet;
pub mod harness;
pub mod list;
pub mod log;
pub mod model;
pub mod process;
pub mod service;
