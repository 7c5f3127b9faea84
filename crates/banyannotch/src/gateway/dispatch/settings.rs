//! Limits and weights of dispatch.

/// Settings of dispatch. Times are in milliseconds unless the name says otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Zone of this gateway.
    pub zone: String,
    /// Name of this gateway.
    pub instance: String,
    /// A request with a key is admitted only while the proof of the configuration is younger than this.
    pub proof_limit_ms: u64,
    /// Whether the age of the proof binds at all.
    pub strict_revocation: bool,
    /// Repeats for each request, over all gateways.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window_ms: u64,
    /// Repeats in a window in addition, over all gateways.
    pub retry_allowance: f64,
    /// Share of the retry budget that is used, so that gateways that count differently stay within it.
    pub retry_share: f64,
    /// Most sends of one attempt of a caller, counting those that an endpoint rejected.
    pub send_limit: u32,
    /// Share of an engine's KV cache that requests are admitted to.
    pub cache_share: f64,
    /// Least time left for which a request is sent again.
    pub least_left_ms: u64,
    /// First time for which an endpoint is left out after a failure; doubles with each further one.
    pub exclusion_ms: u64,
    /// Longest time for which an endpoint is left out.
    pub exclusion_most_ms: u64,
    /// Time for which an endpoint is left out when another gateway says so; longer than the interval of its words.
    pub heard_exclusion_ms: u64,
    /// Time after which half of an endpoint's failures are forgotten.
    pub fault_half_life_ms: f64,
    /// Addition to the cost of an endpoint that failed all its recent requests.
    pub fault_cost_ms: f64,
    /// Cost of a change of zone on a path, as a multiple of the delay without other traffic on the pipe.
    pub zone_change_factor: f64,
    /// Addition to the cost of a path that begins in another zone than the gateway's.
    pub foreign_zone_cost_ms: f64,
    /// Addition to the cost of an engine that an earlier send of the same request used.
    pub tried_cost_ms: f64,
    /// Cost of handing a request's tokens to the next engine in the same zone.
    pub hop_cost_ms: f64,
    /// Longest wait for a connection to an endpoint.
    pub connect_limit_ms: u64,
    /// Least wait for the next event of a stream before it is moved; clients leave after 2 s.
    pub stall_least_ms: u64,
    /// Least wait for the first event of a stream before it is moved.
    pub first_event_least_ms: u64,
    /// How many expected times between events a stream may be silent.
    pub stall_factor: f64,
    /// When a refused caller may come again.
    pub retry_after_ms: u64,
    /// When a caller may come again that another gateway can serve at once.
    pub elsewhere_retry_ms: u64,
    /// Interval at which the state is shared with other gateways.
    pub share_interval_ms: u64,
    /// After this time without a word, another gateway's load is forgotten.
    pub peer_memory_ms: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            instance: String::new(),
            proof_limit_ms: 5_000,
            strict_revocation: true,
            retry_ratio: 0.2,
            retry_window_ms: 10_000,
            retry_allowance: 100.0,
            retry_share: 0.8,
            send_limit: 4,
            cache_share: 0.9,
            least_left_ms: 40,
            exclusion_ms: 500,
            exclusion_most_ms: 4_000,
            heard_exclusion_ms: 400,
            fault_half_life_ms: 2_000.0,
            fault_cost_ms: 4_000.0,
            zone_change_factor: 12.0,
            foreign_zone_cost_ms: 30.0,
            tried_cost_ms: 1_000.0,
            hop_cost_ms: 40.0,
            connect_limit_ms: 250,
            stall_least_ms: 400,
            first_event_least_ms: 1_000,
            stall_factor: 8.0,
            retry_after_ms: 500,
            elsewhere_retry_ms: 20,
            share_interval_ms: 250,
            peer_memory_ms: 1_500,
        }
    }
}
