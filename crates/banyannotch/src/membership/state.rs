//! Settings of the membership duty and its record of each endpoint.

use serde::{Deserialize, Serialize};

use super::{EndpointKind, Health, Load, Role};
use crate::backing::Fencing;
use crate::ids::{Incarnation, Zone};
use crate::pipeline::Address;

/// Settings of the membership duty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Interval between fetches of the instance list.
    pub list_interval_ms: u64,
    /// Interval between fetches of an endpoint's load report while any endpoint has work.
    pub report_interval_ms: u64,
    /// The same interval while no endpoint has work. Together with `fetch_limit_ms` it stays below the 3 s
    /// within which a leaving endpoint must be detected.
    pub idle_interval_ms: u64,
    /// Interval between fetches from an endpoint that was removed some time ago, or that has never answered.
    pub removed_interval_ms: u64,
    /// Timeout of a fetch.
    pub fetch_limit_ms: u64,
    /// Maximum number of concurrent fetches of load reports.
    pub fetches_at_once: usize,
    /// Pause after an unanswered fetch before the load report is fetched again.
    pub retry_ms: u64,
    /// Time for which an endpoint must refuse every connection before this entry alone considers it dead;
    /// half of it if another entry reports it dead too. Removal need not be fast, because a suspected
    /// endpoint already gets no work that another one can take.
    pub refusing_ms: u64,
    /// The same time for an endpoint that does not answer. It is longer, because a frozen or overloaded
    /// endpoint does not answer either.
    pub silent_ms: u64,
    /// Maximum share of the replicas of one layer range or service that may be removed because of silence
    /// alone.
    pub silence_share_percent: u32,
    /// Time for which an endpoint must be missing from the list and silent before it is forgotten.
    pub forget_ms: u64,
    /// Minimum time between two published tables that differ only in load figures.
    pub publish_interval_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            list_interval_ms: 500,
            report_interval_ms: 250,
            idle_interval_ms: 2_400,
            removed_interval_ms: 2_000,
            fetch_limit_ms: 500,
            fetches_at_once: 16,
            retry_ms: 200,
            refusing_ms: 1_000,
            silent_ms: 2_000,
            silence_share_percent: 50,
            forget_ms: 60_000,
            publish_interval_ms: 100,
        }
    }
}

/// State of one endpoint, as far as this entry has observed it.
#[derive(Clone, Debug)]
pub(super) struct EndpointRecord {
    pub zone: Zone,
    pub address: Address,
    pub kind: EndpointKind,
    pub fencing: Fencing,
    /// None until the first answer, before which the endpoint is not in the table.
    pub role: Option<Role>,
    pub standing: Standing,
    /// Whether the endpoint is leaving. Never reset, since an incarnation that leaves does not come back.
    pub leaving: bool,
    pub evidence: Evidence,
    pub load: Load,
    /// Batch counter of the last report. A change shows work that began and ended between two reports.
    pub batches: u64,
    pub joined_us: u64,
    pub first_seen_us: u64,
    pub last_answer_us: Option<u64>,
    pub removed_us: u64,
    /// Time since which the fetched lists do not contain the endpoint.
    pub missing_since_us: Option<u64>,
    /// Time until which peers' reports of death are ignored, because the endpoint answered after an earlier
    /// one.
    pub peer_reports_ignored_until_us: u64,
    /// Time until which this entry repeats the announcement of its own observation.
    pub announce_until_us: u64,
    /// Time of the next fetch of its load report.
    pub due_us: u64,
}

/// Whether the endpoint is considered to run. Leaving is a separate flag, because a leaving endpoint still
/// runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Standing {
    Live,
    Suspected,
    /// Not in the table. Its load report is still fetched, and it returns when it answers.
    Removed,
}

/// Signs of death since the last answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Evidence {
    pub first_refusal_us: Option<u64>,
    pub last_refusal_us: u64,
    /// Time since which the endpoint counts as silent.
    pub silent_since_us: Option<u64>,
    pub last_silence_us: u64,
    /// Number of consecutive fetches without a report.
    pub unanswered_fetches: u32,
    /// Whether another entry reported the endpoint dead.
    pub reported_by_peer: bool,
    /// Time of the first answer of another endpoint after the first sign that this entry saw itself. It shows
    /// that this entry's network works.
    pub other_answered_us: Option<u64>,
}

impl Evidence {
    /// Returns whether this entry saw a sign of death itself, in contrast to a peer's report.
    pub fn has_own(&self) -> bool {
        self.first_refusal_us.is_some() || self.silent_since_us.is_some()
    }

    /// Returns whether there is any sign of death.
    pub fn has_any(&self) -> bool {
        self.has_own() || self.reported_by_peer
    }
}

/// Newest known incarnation of an instance. Older ones are never accepted again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct NewestIncarnation {
    pub incarnation: Incarnation,
    pub seen_us: u64,
    /// Whether that incarnation is leaving. Kept here, because a peer may report it before the list shows the
    /// endpoint, and because it must outlast the endpoint's record.
    pub leaving: bool,
}

impl EndpointRecord {
    /// Returns the health in the published table, or none if the endpoint is removed.
    pub fn health(&self) -> Option<Health> {
        match (self.standing, self.leaving) {
            (Standing::Removed, _) => None,
            (_, true) => Some(Health::Leaving),
            (Standing::Suspected, false) => Some(Health::Suspected),
            (Standing::Live, false) => Some(Health::Live),
        }
    }
}
