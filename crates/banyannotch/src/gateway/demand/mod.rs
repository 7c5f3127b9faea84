//! What the gateways tell each other of the demand for each service, from which each derives its part of what all share.
//!
//! See "View of demand" in `docs/overload-and-recovery.md`.

mod report;
#[cfg(test)]
mod tests;

pub use report::{DemandReport, SERVICE_LIMIT, ServiceDemand, service_digest};
