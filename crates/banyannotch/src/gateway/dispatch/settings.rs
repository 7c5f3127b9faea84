//! Settings of dispatch: limits, retry budget and cost weights.

use super::tickets::Ticket;
use crate::gateway::admission::AdmissionSettings;
use crate::pipeline::Address;

/// Settings of dispatch. Times are in milliseconds unless the name says otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Zone of this gateway.
    pub zone: String,
    /// Name of this gateway.
    pub instance: String,
    /// Maximum time since the configuration was confirmed to be current for which requests with a key are
    /// admitted.
    pub max_proof_age_ms: u64,
    /// Whether `max_proof_age_ms` is enforced.
    pub strict_revocation: bool,
    /// Retries allowed for each request, over all gateways.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window_ms: u64,
    /// Further retries allowed in each window, over all gateways.
    pub retry_allowance: f64,
    /// Share of the retry budget that is used, so that the gateways together stay within it although their
    /// counts differ.
    pub retry_budget_share: f64,
    /// Maximum number of sends for one attempt of a caller, rejected ones included.
    pub send_limit: u32,
    /// Share of an engine's KV cache up to which requests are admitted.
    pub cache_share: f64,
    /// Priority admission control.
    pub admission: AdmissionSettings,
    /// Minimum remaining time of a request for a retry.
    pub min_remaining_ms: u64,
    /// Duration of the first exclusion of an endpoint that may have failed; doubles with each further suspicion in a row.
    pub exclusion_initial_ms: u64,
    /// Maximum duration of an exclusion.
    pub exclusion_max_ms: u64,
    /// Interval at which an engine that gave no report is asked for one. It is excluded until it gives one, at most for the
    /// maximum duration.
    pub down_check_interval_ms: u64,
    /// Time for which a sign of life of an endpoint outweighs the reports of other gateways that it is down.
    pub sign_of_life_ms: u64,
    /// Duration of an exclusion that another gateway reports; longer than the interval at which the state is
    /// published.
    pub peer_exclusion_ms: u64,
    /// Time for which an engine is not used after it rejected a request for lack of room.
    pub full_pause_ms: u64,
    /// Half-life of an endpoint's failure share.
    pub failure_half_life_ms: f64,
    /// Cost added for an endpoint that failed all recent requests; in proportion for a smaller share.
    pub failure_cost_ms: f64,
    /// Cost of a change of zone within a path, as a multiple of its delay on an idle link between the zones.
    pub zone_change_factor: f64,
    /// Cost added when the first engine of a path, or the replica of a plain service, is not in the gateway's
    /// zone.
    pub foreign_zone_cost_ms: f64,
    /// Cost added for an endpoint that an earlier send of the same request used.
    pub tried_cost_ms: f64,
    /// Cost of each engine on a path, for passing the request's tokens on within the zone.
    pub hop_cost_ms: f64,
    /// Time limit for connecting to an endpoint.
    pub connect_limit_ms: u64,
    /// Time after the decision within which a request is sent. An endpoint that has asked for no requests may still get
    /// those that were sent within half a second.
    pub send_delay_limit_ms: u64,
    /// Minimum time without an event after which the path of a stream that can be continued on other endpoints is
    /// examined.
    pub stall_limit_min_ms: u64,
    /// Time without a first event after which the path of such a stream is examined.
    pub first_event_limit_ms: u64,
    /// Time between two events after which the path is examined, as a multiple of the expected time.
    pub stall_factor: f64,
    /// Minimum time without an event after which callers give up.
    pub caller_patience_min_ms: u64,
    /// Time after which a caller that was refused with status 503 may retry.
    pub retry_after_ms: u64,
    /// Time after which a caller may retry when another gateway may be able to serve the request at once.
    pub retry_elsewhere_after_ms: u64,
    /// Number of gateways up to which each takes the cheapest path. More gateways draw their paths: each knows so few of
    /// the loads that all would choose the same engines. See `docs/design/load-spreading.md`.
    pub cheapest_path_gateways: usize,
    /// Time after the start in which a gateway that has heard of no other assumes that there are many.
    pub discovery_ms: u64,
    /// Whether there are other gateways to hear of before this one is ready.
    pub expects_peers: bool,
    /// Interval at which the state is published to other gateways.
    pub publish_interval_ms: u64,
    /// Time without contact after which another gateway's load is dropped.
    pub peer_timeout_ms: u64,
    /// Address at which this gateway takes requests of other gateways; none if it takes none.
    pub handoff_address: Option<Address>,
    /// Memory of the machine in megabytes, as a measure of how many requests of other gateways this one can take.
    pub size_mb: u32,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            instance: String::new(),
            max_proof_age_ms: 5_000,
            strict_revocation: true,
            retry_ratio: 0.2,
            retry_window_ms: 10_000,
            retry_allowance: 100.0,
            retry_budget_share: 0.8,
            send_limit: 4,
            cache_share: 0.9,
            admission: AdmissionSettings::default(),
            min_remaining_ms: 40,
            exclusion_initial_ms: 500,
            exclusion_max_ms: 4_000,
            down_check_interval_ms: 500,
            sign_of_life_ms: 1_000,
            peer_exclusion_ms: 400,
            full_pause_ms: 200,
            failure_half_life_ms: 2_000.0,
            failure_cost_ms: 4_000.0,
            zone_change_factor: 12.0,
            foreign_zone_cost_ms: 30.0,
            tried_cost_ms: 1_000.0,
            hop_cost_ms: 40.0,
            connect_limit_ms: 250,
            send_delay_limit_ms: 400,
            stall_limit_min_ms: 400,
            first_event_limit_ms: 600,
            stall_factor: 3.0,
            caller_patience_min_ms: 2_000,
            retry_after_ms: 500,
            retry_elsewhere_after_ms: 20,
            cheapest_path_gateways: 128,
            discovery_ms: 1_000,
            expects_peers: false,
            publish_interval_ms: 250,
            peer_timeout_ms: 1_500,
            handoff_address: None,
            size_mb: 0,
        }
    }
}

impl DispatchSettings {
    /// Returns the time without an event after which a stream is continued on another path although its own seems sound,
    /// so that an event arrives before the caller gives up. Without another path it goes on.
    pub(super) fn silence_limit_ms(&self, ticket: &Ticket) -> u64 {
        /// Callers wait for this multiple of the objective for the gap between events.
        const GAP_FACTOR: u64 = 8;
        /// Share of the time that callers wait, in tenths.
        const SHARE_TENTHS: u64 = 7;
        let patience_ms = self.caller_patience_ms(ticket).max(ticket.event_gap_objective_ms * GAP_FACTOR);
        patience_ms * SHARE_TENTHS / 10
    }

    /// Returns the time that callers wait for the first event.
    pub(super) fn caller_patience_ms(&self, ticket: &Ticket) -> u64 {
        /// Callers wait for this multiple of the objective.
        const OBJECTIVE_FACTOR: u64 = 4;
        self.caller_patience_min_ms.max(ticket.objective_ms * OBJECTIVE_FACTOR)
    }
}
