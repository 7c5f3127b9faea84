//! Settings of priority admission control.

/// Settings of priority admission control. Times are in milliseconds unless the name says otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Share of an engine's KV cache that each rank leaves to the more urgent one before it. None by default: while the known
    /// loads are late, a reserve leaves memory unused. See `docs/design/priority-admission.md`.
    pub class_reserve_share: f64,
    /// Window in which the admission rate of a class is compared with that of all requests of the service.
    pub starvation_window_ms: u64,
    /// Maximum number of requests that wait for a service. Each holds its body in memory, up to the limit of the
    /// configuration. None waits by default: while the known loads are late, what waited is sent too late.
    pub waiting_limit: usize,
    /// Share of the objective for which a request may wait.
    pub waiting_share: f64,
    /// Shortest objective of a request that may wait. The time in the queue is lost for the first event, and callers with a
    /// short objective leave before the answer of a request that waited.
    pub waiting_objective_min_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            class_reserve_share: 0.0,
            starvation_window_ms: 10_000,
            waiting_limit: 0,
            waiting_share: 1.0,
            waiting_objective_min_ms: 1_000,
        }
    }
}
