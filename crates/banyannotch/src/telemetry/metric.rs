//! Names and descriptions of all metrics, and the gauges that are sampled at each scrape.

use metrics::Unit;

use crate::membership::{Endpoint, Health};
use crate::ring::HeldCount;

/// Name and number of held items of each ring of an entry. The name has the sender first.
pub type RingHeldCounts = Vec<(&'static str, HeldCount)>;

/// Type of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    Counter,
    Gauge,
    Histogram,
}

use Kind::{Counter, Gauge, Histogram};

/// All metrics with their type and description, sorted by name.
pub(super) const METRICS: &[(&str, Kind, &str)] = &[
    ("banyannotch_callers_connections", Gauge, "Open connections of callers"),
    ("banyannotch_callers_held_bytes", Gauge, "Memory that all callers together make the process hold"),
    (
        "banyannotch_callers_refused_total",
        Counter,
        "Requests, responses and connections of callers that were refused or dropped for memory or descriptors",
    ),
    ("banyannotch_configuration_certain", Gauge, "1 while it is known which configuration is in force"),
    ("banyannotch_configuration_gaps_total", Counter, "Expired records that the entry never read"),
    ("banyannotch_configuration_refused_total", Counter, "Configuration records that were refused"),
    ("banyannotch_configuration_version", Gauge, "Version of the configuration in force"),
    ("banyannotch_endpoints", Gauge, "Endpoints by health"),
    (
        "banyannotch_faults_total",
        Counter,
        "Steps or calls that an endpoint did not answer in time or broke off",
    ),
    ("banyannotch_foreign_answers_total", Counter, "Answers to another step than the endpoint was asked"),
    (
        "banyannotch_gateway_class_refusals_total",
        Counter,
        "Refusals of requests of classed services, by rank and reason",
    ),
    (
        "banyannotch_gateway_configuration_version",
        Gauge,
        "Version of the configuration that a gateway applies",
    ),
    ("banyannotch_gateway_connections_total", Counter, "Connections opened to endpoints"),
    (
        "banyannotch_gateway_crashes_total",
        Counter,
        "Ends of endpoints while they ran requests of a gateway, by what showed them",
    ),
    ("banyannotch_gateway_cut_off", Gauge, "Whether the gateway has lost its links to the endpoints"),
    (
        "banyannotch_gateway_datagrams_lost_total",
        Counter,
        "Datagrams to other gateways that could not be sent",
    ),
    ("banyannotch_gateway_endpoints", Gauge, "Endpoints that a gateway knows"),
    ("banyannotch_gateway_endpoints_leaving", Gauge, "Endpoints that announced their departure in an answer"),
    (
        "banyannotch_gateway_exclusions_total",
        Counter,
        "Exclusions of endpoints by a gateway, by the observation that led to them",
    ),
    ("banyannotch_gateway_failures_delivered_total", Counter, "Failures of endpoints passed on to callers"),
    (
        "banyannotch_gateway_first_answer_seconds",
        Histogram,
        "Time from a send to the first event or the head of a whole answer",
    ),
    (
        "banyannotch_gateway_handoffs_refused_total",
        Counter,
        "Connections of hosts that may not hand requests on",
    ),
    ("banyannotch_gateway_handoffs_total", Counter, "Requests that a gateway handed on to another one"),
    (
        "banyannotch_gateway_idle_connections_closed_total",
        Counter,
        "Connections of callers closed because they were idle for too long",
    ),
    (
        "banyannotch_gateway_load_skew",
        Gauge,
        "Utilization of the busiest endpoint as a multiple of the mean, for the service with the most uneven load",
    ),
    ("banyannotch_gateway_log_lines_dropped_total", Counter, "Log lines dropped because the queue was full"),
    ("banyannotch_gateway_orders_total", Counter, "Orders sent to engines"),
    ("banyannotch_gateway_path_searches", Gauge, "Searches for an endpoint or a path since the start"),
    ("banyannotch_gateway_peers", Gauge, "Other gateways that share their state"),
    (
        "banyannotch_gateway_quarantined_features",
        Gauge,
        "Parts of prompts and requests that are refused because they crashed endpoints",
    ),
    ("banyannotch_gateway_queued_total", Counter, "Requests that had to wait for capacity, by rank"),
    ("banyannotch_gateway_refusals_total", Counter, "Requests answered with a failure of our own, by reason"),
    ("banyannotch_gateway_requests_in_flight", Gauge, "Requests of a gateway that have no final answer yet"),
    (
        "banyannotch_gateway_responses_cut_total",
        Counter,
        "Responses to callers that ended before they were complete",
    ),
    ("banyannotch_gateway_room", Gauge, "Free share of the KV cache of a service's engines"),
    (
        "banyannotch_gateway_sends_abandoned_total",
        Counter,
        "Sends given up for another endpoint because their answer was late",
    ),
    ("banyannotch_gateway_sends_total", Counter, "Sends of requests to endpoints"),
    ("banyannotch_gateway_shares_lost_total", Counter, "States for other gateways that found a full ring"),
    (
        "banyannotch_gateway_snapshot_fetches_total",
        Counter,
        "Requests for the snapshot of another gateway, by result",
    ),
    ("banyannotch_gateway_store_reads_total", Counter, "Reads of the store by result"),
    ("banyannotch_gateway_store_restored_total", Counter, "Returns of the store from a backup"),
    ("banyannotch_gateway_waiting", Gauge, "Requests that wait for capacity, by service and rank"),
    ("banyannotch_in_flight", Gauge, "Requests in flight at the last decision of admission"),
    ("banyannotch_invariant_violations_total", Counter, "Invariants that did not hold"),
    ("banyannotch_ledger_answers_total", Counter, "Answers of the ledger by verdict"),
    ("banyannotch_ledger_appends_total", Counter, "Appends of the ledger by result"),
    ("banyannotch_ledger_caught_up", Gauge, "1 once the ledger has read its streams to their end"),
    ("banyannotch_ledger_index_bytes", Gauge, "Memory of the ledger's keys"),
    ("banyannotch_ledger_index_keys", Gauge, "Keys that the ledger remembers"),
    ("banyannotch_ledger_items_total", Counter, "Items that the ledger appended"),
    ("banyannotch_ledger_unreadable_records_total", Counter, "Records of the ledger that cannot be read"),
    ("banyannotch_notes_lost_total", Counter, "Decisions that were not logged because telemetry fell behind"),
    ("banyannotch_peer_calls_total", Counter, "Exchanges with other entries by result"),
    ("banyannotch_peer_reports_lost_total", Counter, "Reports of other entries that found a full ring"),
    ("banyannotch_quarantined_total", Counter, "Requests that were quarantined because they crash endpoints"),
    ("banyannotch_queued", Gauge, "Requests that wait in the queues of admission"),
    ("banyannotch_recoveries_total", Counter, "Recoveries of requests by method"),
    ("banyannotch_recovery_stall_seconds", Histogram, "Time without a token during a recovery"),
    ("banyannotch_rejected_total", Counter, "Requests that intake rejected by reason"),
    ("banyannotch_requests_total", Counter, "Requests by outcome"),
    ("banyannotch_retry_budget", Gauge, "Retries of calls that are left"),
    ("banyannotch_ring_held_items", Gauge, "Items that a sender holds back because the ring is full"),
];

/// Registers the descriptions of all metrics with the metrics recorder.
pub(crate) fn describe() {
    for (name, kind, help) in METRICS {
        match kind {
            Counter => metrics::describe_counter!(*name, *help),
            Gauge => metrics::describe_gauge!(*name, *help),
            Histogram => metrics::describe_histogram!(*name, Unit::Seconds, *help),
        }
    }
}

/// Sets the gauges that are sampled at each scrape.
pub(super) fn sample(rings: &[(&'static str, HeldCount)], endpoints: &[Endpoint]) {
    for (name, held_count) in rings {
        metrics::gauge!("banyannotch_ring_held_items", "ring" => *name).set(held_count.held() as f64);
    }
    for (name, health) in
        [("live", Health::Live), ("suspected", Health::Suspected), ("leaving", Health::Leaving)]
    {
        let count = endpoints.iter().filter(|endpoint| endpoint.health == health).count();
        metrics::gauge!("banyannotch_endpoints", "health" => name).set(count as f64);
    }
}
