//! Messages that the forwarding thread receives.

use std::net::IpAddr;
use std::sync::Arc;

use crate::gateway::CallerLimits;
use crate::gateway::dispatch::Verdict;

/// A message to the forwarding thread.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Dispatch has decided what to do with a request.
    Verdict {
        /// Number of the request, assigned by forwarding.
        ticket: u64,
        /// The decision.
        verdict: Verdict,
    },
    /// Whether readiness checks are answered with "ready", so that the balancer sends callers to this
    /// instance.
    Ready(bool),
    /// The limits for callers have changed.
    Limits(CallerLimits),
    /// Only the gateways at these addresses may hand requests on to this one.
    Gateways(Arc<[IpAddr]>),
    /// The process is shutting down.
    Drain,
}
