//! Records of requests in flight.

use std::sync::Arc;

use super::health::Load;
use crate::gateway::admission::Class;
use crate::gateway::{Configuration, RequestInfo, RetryMode, Route};
use crate::ids::{ServiceId, TeamId};
use crate::pipeline::{Address, LayerRange};

/// Endpoint or path that was chosen for a send.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Choice {
    pub address: Address,
    pub born_ms: u64,
    pub endpoint: Arc<str>,
    pub hops: Arc<[(Address, LayerRange)]>,
    pub loads: Vec<(Address, Load)>,
    pub cost_ms: f64,
    /// Expected time between two events of a stream.
    pub event_interval_ms: f64,
    pub idle_connections: usize,
    /// Time of the choice, in microseconds.
    pub booked_us: u64,
    /// Whether a retry was counted for the choice.
    pub is_retry: bool,
    /// Whether the destination is another gateway.
    pub is_handoff: bool,
}

/// Load that the current send of a request places on endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Reservation {
    /// Endpoints on the path and the load on each.
    pub loads: Vec<(Address, Load)>,
    /// Name of the endpoint that the request was sent to.
    pub endpoint: Arc<str>,
    /// Start of the incarnation of this endpoint, as Unix time in milliseconds.
    pub born_ms: u64,
    /// Starts of the other endpoints of `loads`, in their order.
    pub later_born_ms: Vec<u64>,
    /// Time of the send, in microseconds.
    pub sent_us: u64,
    /// Gateway that the request was handed on to.
    pub helper: Option<Address>,
}

/// One request in flight.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    pub request: RequestInfo,
    pub route: Arc<str>,
    pub retry_mode: RetryMode,
    pub service: ServiceId,
    /// Configuration under which the request was admitted. It describes the service if a newer one no longer has it.
    pub configuration: Arc<Configuration>,
    pub team: Option<TeamId>,
    /// Class of the request, if its service is classed.
    pub class: Option<Class>,
    /// Maximum number of endpoints that may run the request.
    pub endpoint_limit: u32,
    /// Latency objective of the route.
    pub objective_ms: u64,
    /// Objective for the gap between two events of a stream.
    pub event_gap_objective_ms: u64,
    pub arrived_us: u64,
    /// Time by which the final answer is due.
    pub deadline_us: u64,
    /// Whether the request waits for capacity.
    pub is_queued: bool,
    /// Whether another gateway handed the request on.
    pub is_handed_on: bool,
    /// Number of sends so far.
    pub sends: u32,
    /// Number of sends that could not be made and do not count, because the gateway itself may have been at fault.
    pub uncounted_sends: u32,
    /// Number of sends that may have reached an endpoint or another gateway.
    pub arrivals: u32,
    /// Number of sends in which the request may have run.
    pub possible_runs: u32,
    pub reservation: Reservation,
    /// Endpoint or path of the next send, chosen before the current send was abandoned. Its load and the retry are counted.
    pub successor: Option<Choice>,
    /// When the first event of the current send arrived, in microseconds.
    pub begun_us: Option<u64>,
    /// Whether events of a stream have been passed on, by this send or an earlier one.
    pub has_begun: bool,
    /// Whether an endpoint has begun to answer the request and survived it.
    pub has_survived: bool,
    /// Whether the next event of the current send is late and its first engine was asked for a report.
    pub is_waiting: bool,
    /// Number of the last report that the current send is late.
    pub late_report: u32,
    /// Endpoints on the paths of all sends so far.
    pub tried: Vec<Address>,
}

impl Ticket {
    /// Creates the record of a request that was just submitted.
    pub fn new(
        request: RequestInfo,
        route: &Route,
        service: ServiceId,
        configuration: Arc<Configuration>,
        team: Option<TeamId>,
        now_us: u64,
    ) -> Self {
        let limit_ms = request.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        Self {
            request,
            route: Arc::clone(&route.name),
            retry_mode: route.retry_mode,
            service,
            configuration,
            team,
            class: None,
            endpoint_limit: route.endpoint_limit,
            objective_ms: route.objective_ms,
            event_gap_objective_ms: route.event_gap_objective_ms,
            arrived_us: now_us,
            deadline_us: now_us + limit_ms * crate::clock::US_PER_MS,
            is_queued: false,
            is_handed_on: false,
            sends: 0,
            uncounted_sends: 0,
            arrivals: 0,
            possible_runs: 0,
            reservation: Reservation::default(),
            successor: None,
            begun_us: None,
            has_begun: false,
            has_survived: false,
            is_waiting: false,
            late_report: 0,
            tried: Vec::new(),
        }
    }

    /// Returns the deadline that the caller stated, or else that of the route.
    pub fn caller_deadline_us(&self) -> u64 {
        let stated_us = self.request.deadline_ms.map(|ms| self.arrived_us + ms * crate::clock::US_PER_MS);
        stated_us.unwrap_or(self.deadline_us)
    }

    /// Returns the priority that the endpoint of the next send is told, if the service is classed.
    pub fn wire_priority(&self, now_us: u64) -> Option<u8> {
        let elapsed_ms = now_us.saturating_sub(self.arrived_us) / crate::clock::US_PER_MS;
        let is_continued = self.has_begun || self.request.resume_after.is_some();
        self.class.map(|class| class.wire_priority(elapsed_ms, self.objective_ms, is_continued))
    }

    /// Returns whether the limits on sends and on possible runs allow another send.
    pub fn may_retry(&self, send_limit: u32) -> bool {
        let runs_allow = self.possible_runs == 0
            || (self.retry_mode.is_repeatable() && self.possible_runs < self.endpoint_limit);
        self.sends.saturating_sub(self.uncounted_sends) < send_limit && runs_allow
    }

    /// Returns whether another send is allowed if the endpoint of the current one may run the request.
    pub fn may_abandon(&self, send_limit: u32) -> bool {
        self.retry_mode.is_repeatable()
            && self.possible_runs + 1 < self.endpoint_limit
            && self.sends < send_limit
    }
}
