//! Collects the crashes of endpoints and what they had in common, so that a request that crashes each endpoint that
//! begins to run it is quarantined, and a part of prompts that does so in requests of which no two are alike.
//!
//! A feature of a request is a shared part of its prompt or the whole request. The features of the requests that an
//! endpoint had not begun to answer when it crashed are suspects of this crash; a later run with a feature that begins
//! and survives clears the feature. A broken connection alone is no evidence: a network fault breaks the connections of
//! all requests. It counts once the endpoint is found to be down or to have started anew. Other endings of a send count too, with
//! stricter rules ([`Suspicion`]). Gateways pass on crashes, runs and quarantines; see `docs/platform.md`.

use serde::{Deserialize, Serialize};

use super::messages::Feature;
use super::quarantine::{Change, Quarantine};
use crate::gateway::RequestInfo;
use crate::pipeline::Address;
use crate::table::Table;

/// Number of crashes under a request at which it is quarantined. The users allow a request to crash three endpoints.
pub(super) const REQUEST_CRASH_LIMIT: usize = 3;
/// Number of separate incidents that a part must explain. The users allow five crashes before requests count.
pub(super) const INCIDENT_LIMIT: usize = 3;
/// Crashes that are closer than this belong to one incident, in microseconds: engines that are lost together are no
/// evidence against a feature that many requests have.
pub(super) const INCIDENT_GAP_US: u64 = 100_000;
/// Time for which a run must go on after its first event to clear its features, in microseconds.
pub(super) const SURVIVAL_US: u64 = 100_000;
/// Time after a broken connection in which its endpoint must be found down, in microseconds.
const CONFIRMATION_US: u64 = 6_000_000;
/// Time after another ending in which its endpoint must be found down, in microseconds. An endpoint that fails for some seconds
/// before it is lost ends many sends in these ways, and with 6 s sound requests were refused in a simulation with 83 gateways.
const FAULT_CONFIRMATION_US: u64 = 2_000_000;
/// Time after such an ending at which the endpoint is probed, in microseconds. Its entry would show the end only after several
/// missed heartbeats.
const PROBE_DELAY_US: u64 = 500_000;
/// Largest difference between what gateways take for the time of the same event, in microseconds. Ages do not contain the
/// time for which a datagram is on its way. Another time counts only if it differs by more, so that gateways that repeat an
/// event to each other do not move it each time.
pub(super) const AGE_ERROR_US: u64 = 250_000;
/// Time within which breaks of one incarnation belong to one crash, in microseconds. A connection to an endpoint that went
/// silent breaks up to 2 s later. Breaks that are further apart show that the endpoint started anew in between, although its
/// entry does not name the new start so far.
const SAME_CRASH_US: u64 = 2_500_000;
/// Time for which crashes are retained, in microseconds.
pub(super) const CRASH_RETENTION_US: u64 = 120_000_000;
/// Time for which runs are retained, in microseconds. Reports of crashes arrive within it.
pub(super) const RUN_RETENTION_US: u64 = 10_000_000;
/// Time for which runs with a feature are reported after a gateway has last reported a crash with it, in microseconds.
pub(super) const WATCH_US: u64 = 3_000_000;

/// Maximum number of possible crashes that wait for a confirmation.
const UNCONFIRMED_LIMIT: usize = 256;
/// Maximum number of retained crashes.
const RETAINED_CRASH_LIMIT: usize = 64;
/// Maximum number of features of a crash.
const CRASH_FEATURE_LIMIT: usize = 128;
/// Maximum number of features whose last run is retained.
const RUN_LIMIT: usize = 4_096;

/// Depth of the feature that is the whole request, deeper than any part.
pub(super) const WHOLE_REQUEST_DEPTH: u8 = u8::MAX;

/// Returns the features of a request, from general to specific. The last one is the whole request.
pub(super) fn features(request: &RequestInfo) -> Vec<Feature> {
    let parts = request.shared_parts.iter().zip(0_u8..);
    let mut features: Vec<_> = parts.map(|(digest, depth)| Feature { digest: *digest, depth }).collect();
    features.push(Feature { digest: request.digest, depth: WHOLE_REQUEST_DEPTH });
    features
}

impl Feature {
    /// Returns whether the feature is the whole request.
    pub(super) fn is_request(&self) -> bool {
        self.depth == WHOLE_REQUEST_DEPTH
    }
}

/// One incarnation of an endpoint that ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Crash {
    /// Address of the endpoint.
    pub address: Address,
    /// Start of the incarnation, as Unix time in milliseconds.
    pub born_ms: u64,
}

/// How a send ended under which an endpoint may have crashed. It decides which signs confirm the crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Suspicion {
    /// The connection broke, as when a process ends. Every sign confirms it.
    Broken,
    /// The endpoint answered with an error or garbage. One that is overloaded or behind a faulty link does so too, and then
    /// gives no report and takes no connection; but it keeps its entry.
    Answered,
    /// The endpoint sent nothing, or it is a later engine of the path. One that is stalled or cut off is also silent, makes the
    /// first engine answer with an error, and loses its entry, so that only the end of the process confirms a crash.
    Silent,
}

/// What shows that an endpoint has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EndSign {
    /// It gave no report.
    NoReport,
    /// No connection to it was made in time.
    NoConnection,
    /// Its entry was removed, without an announcement of its departure.
    EntryRemoved,
    /// Its entry names another start.
    EntryChanged,
    /// Its report names another start.
    Restarted,
    /// Nothing listens at its address.
    Refused,
}

impl EndSign {
    /// Returns whether the sign is a connection that failed, which may also be the fault of this gateway.
    pub fn is_connection(self) -> bool {
        matches!(self, Self::NoReport | Self::NoConnection | Self::Refused)
    }

    /// Returns the name of the sign in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoReport => "no_report",
            Self::NoConnection => "no_connection",
            Self::EntryRemoved => "entry_removed",
            Self::EntryChanged => "entry_changed",
            Self::Restarted => "restarted",
            Self::Refused => "refused",
        }
    }

    fn confirms(self, suspicion: Suspicion) -> bool {
        match self {
            Self::EntryChanged | Self::Restarted | Self::Refused => true,
            Self::EntryRemoved => suspicion != Suspicion::Silent,
            Self::NoReport | Self::NoConnection => suspicion == Suspicion::Broken,
        }
    }
}

/// A possible crash whose endpoint has not been found down so far.
#[derive(Clone, Debug)]
struct Unconfirmed {
    crash: Crash,
    features: Vec<Feature>,
    at_us: u64,
    suspicion: Suspicion,
    /// Number of the request.
    ticket: u64,
    /// Whether the endpoint was probed because of this send.
    is_probed: bool,
}

impl Unconfirmed {
    fn is_recent(&self, now_us: u64) -> bool {
        let limit_us = match self.suspicion {
            Suspicion::Broken => CONFIRMATION_US,
            Suspicion::Answered | Suspicion::Silent => FAULT_CONFIRMATION_US,
        };
        self.at_us + limit_us > now_us
    }
}

/// When a crash occurred, and the features that may have caused it, with their depths.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    pub at_us: u64,
    pub features: Table<u64, u8>,
}

/// A crash of which other gateways reported a feature that has been cleared.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Watch {
    pub crash_us: u64,
    pub until_us: u64,
}

/// Crashes, runs and quarantines that this gateway observed or heard of.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes {
    unconfirmed: Vec<Unconfirmed>,
    /// Crashes, each with the time at which it was first recorded.
    pub(super) crashes: Table<(Crash, u64), Evidence>,
    /// Begin of the last run with each feature.
    pub(super) runs: Table<u64, u64>,
    /// Begin of the last run of any request.
    pub(super) last_run_us: u64,
    pub(super) watched: Table<u64, Watch>,
    pub(super) quarantined: Table<u64, Quarantine>,
    pub(super) changes: Vec<Change>,
}

impl Crashes {
    /// Records how a send of a request with these features ended, before the endpoint had begun to answer it.
    pub fn record_end(
        &mut self,
        crash: Crash,
        suspicion: Suspicion,
        ticket: u64,
        features: Vec<Feature>,
        now_us: u64,
    ) {
        self.unconfirmed.retain(|unconfirmed| unconfirmed.is_recent(now_us));
        // Endpoints that garble answers leave room for broken connections.
        let limit = match suspicion {
            Suspicion::Broken => UNCONFIRMED_LIMIT,
            Suspicion::Answered | Suspicion::Silent => UNCONFIRMED_LIMIT / 2,
        };
        if !features.is_empty() && self.unconfirmed.len() < limit {
            self.unconfirmed.push(Unconfirmed {
                crash,
                features,
                at_us: now_us,
                suspicion,
                ticket,
                is_probed: false,
            });
        }
    }

    /// Counts the recent ends of sends to an endpoint as a crash, because a sign shows that it has ended. Returns the crash of
    /// each send. If no connection broke, a request counts once for all its sends: engines that fail and are then lost together
    /// would else be several crashes under a single request.
    pub fn confirm(&mut self, address: Address, sign: EndSign, now_us: u64) -> Vec<Crash> {
        let is_confirmed = |unconfirmed: &mut Unconfirmed| {
            unconfirmed.crash.address == address && sign.confirms(unconfirmed.suspicion)
        };
        let mut confirmed: Vec<_> = self.unconfirmed.extract_if(.., is_confirmed).collect();
        confirmed.retain(|unconfirmed| unconfirmed.is_recent(now_us));
        for Unconfirmed { crash, features, at_us, ticket, .. } in &confirmed {
            self.record_crash(*crash, *at_us, features, now_us);
            self.unconfirmed.retain(|other| other.ticket != *ticket || other.suspicion == Suspicion::Broken);
        }
        let mut crashes: Vec<_> = confirmed.iter().map(|unconfirmed| unconfirmed.crash).collect();
        crashes.sort_unstable();
        crashes
    }

    /// Forgets the sends to an endpoint that announced its departure, except those whose connections broke.
    pub fn forget_sends(&mut self, address: Address) {
        self.unconfirmed.retain(|unconfirmed| {
            unconfirmed.crash.address != address || unconfirmed.suspicion == Suspicion::Broken
        });
    }

    /// Returns the endpoints that may have crashed without breaking a connection and have not been probed since.
    pub fn due_probes(&mut self, now_us: u64) -> Vec<Address> {
        let is_due = |unconfirmed: &&mut Unconfirmed| {
            unconfirmed.suspicion != Suspicion::Broken
                && !unconfirmed.is_probed
                && unconfirmed.at_us + PROBE_DELAY_US <= now_us
                && unconfirmed.is_recent(now_us)
        };
        let mut addresses = Vec::new();
        for unconfirmed in self.unconfirmed.iter_mut().filter(is_due) {
            unconfirmed.is_probed = true;
            addresses.push(unconfirmed.crash.address);
        }
        addresses
    }

    /// Returns the endpoints that may have crashed, with the start of which this is so.
    pub fn suspected(&self) -> impl Iterator<Item = Crash> {
        self.unconfirmed.iter().map(|unconfirmed| unconfirmed.crash)
    }

    pub(super) fn record_crash(&mut self, crash: Crash, at_us: u64, features: &[Feature], now_us: u64) {
        let known = self.crashes.iter().find(|((known, _), evidence)| {
            *known == crash && evidence.at_us.abs_diff(at_us) <= SAME_CRASH_US
        });
        let (key, at_us) = match known {
            Some((key, known)) if at_us + AGE_ERROR_US <= known.at_us => (*key, at_us),
            Some((key, known)) => (*key, known.at_us),
            None => ((crash, at_us), at_us),
        };
        if self.crashes.len() >= RETAINED_CRASH_LIMIT && !self.crashes.contains(&key) {
            let oldest = self.crashes.iter().min_by_key(|(_, evidence)| evidence.at_us);
            let Some(oldest) = oldest.map(|(crash, _)| *crash) else { return };
            self.crashes.remove(&oldest);
        }
        let evidence = self.crashes.entry(key);
        evidence.at_us = at_us;
        for feature in features.iter().take(CRASH_FEATURE_LIMIT) {
            if self.runs.get(&feature.digest).is_some_and(|begun_us| *begun_us >= at_us) {
                let watch = Watch { crash_us: at_us, until_us: now_us + WATCH_US };
                self.watched.insert(feature.digest, watch);
            } else if evidence.features.len() < CRASH_FEATURE_LIMIT {
                evidence.features.insert(feature.digest, feature.depth);
            }
        }
        if evidence.features.is_empty() {
            self.crashes.remove(&key);
        }
    }

    /// Forgets the sends of a request that ended before it ran elsewhere. The run would clear the crash, but runs of requests are
    /// only retained once a crash is known.
    fn forget_ends(&mut self, digest: u64, begun_us: u64) {
        let is_cleared = |feature: &Feature| feature.is_request() && feature.digest == digest;
        for unconfirmed in self.unconfirmed.iter_mut().filter(|unconfirmed| unconfirmed.at_us <= begun_us) {
            unconfirmed.features.retain(|feature| !is_cleared(feature));
        }
        self.unconfirmed.retain(|unconfirmed| !unconfirmed.features.is_empty());
    }

    /// Records that a run with these features began and survived.
    pub fn record_run(&mut self, features: &[Feature], begun_us: u64, now_us: u64) {
        self.last_run_us = self.last_run_us.max(begun_us);
        for feature in features.iter().filter(|feature| feature.is_request()) {
            self.forget_ends(feature.digest, begun_us);
        }
        for feature in features {
            // The digest of a request seldom comes again, so it is retained only if a crash is known.
            if !feature.is_request()
                || self.crash_count(feature.digest) > 0
                || self.quarantined.contains(&feature.digest)
            {
                self.clear(feature.digest, begun_us, now_us);
            }
        }
    }

    /// Records that a request was answered as a whole. Whenever its run began, the request does not crash every endpoint.
    pub fn record_answer(&mut self, digest: u64, now_us: u64) {
        self.forget_ends(digest, now_us);
        if self.crash_count(digest) > 0 || self.quarantined.contains(&digest) {
            self.clear(digest, now_us, now_us);
        }
    }

    /// Removes a feature from the crashes before a run with it, and ends its quarantine.
    pub(super) fn clear(&mut self, digest: u64, begun_us: u64, now_us: u64) {
        if self.runs.len() < RUN_LIMIT || self.runs.contains(&digest) {
            let last_us = self.runs.entry(digest);
            *last_us = begun_us.max(*last_us);
        }
        let mut cleared_us = None;
        for (_, evidence) in self.crashes.iter_mut().filter(|(_, evidence)| evidence.at_us <= begun_us) {
            if evidence.features.remove(&digest).is_some() {
                cleared_us = cleared_us.max(Some(evidence.at_us));
            }
        }
        if let Some(crash_us) = cleared_us {
            self.watched.insert(digest, Watch { crash_us, until_us: now_us + WATCH_US });
            self.crashes.retain(|_, evidence| !evidence.features.is_empty());
        }
        let quarantine = self.quarantined.get(&digest).copied();
        if quarantine.is_some_and(|quarantine| quarantine.last_crash_us <= begun_us) {
            self.quarantined.remove(&digest);
            self.changes.push(Change::Released { digest, cause: "run_survived" });
        }
    }

    pub(super) fn crashes_with(&self, digest: u64) -> impl Iterator<Item = &Evidence> {
        let has_feature = move |evidence: &&Evidence| evidence.features.contains(&digest);
        self.crashes.iter().map(|(_, evidence)| evidence).filter(has_feature)
    }

    pub(super) fn crash_count(&self, digest: u64) -> usize {
        self.crashes_with(digest).count()
    }

    /// Returns whether so many endpoints crashed under a request that it is refused.
    pub(super) fn is_deadly(&self, digest: u64) -> bool {
        self.crash_count(digest) >= REQUEST_CRASH_LIMIT
            && self.separate_crash_count(digest) >= REQUEST_CRASH_LIMIT
    }

    /// Returns the number of crashes under a request. Those in an incident in which endpoints without the request crashed too
    /// count once together: such a loss has another cause, and a request that many callers send may be lost with it in many
    /// copies.
    fn separate_crash_count(&self, digest: u64) -> usize {
        let mut crashes_us: Vec<u64> = self.crashes_with(digest).map(|evidence| evidence.at_us).collect();
        crashes_us.sort_unstable();
        let has_other_cause = |at_us: u64| {
            let mut others = self.crashes.iter().filter(|(_, evidence)| !evidence.features.contains(&digest));
            others.any(|(_, evidence)| evidence.at_us.abs_diff(at_us) < INCIDENT_GAP_US)
        };
        let (mut count, mut incident_us) = (0, None);
        for at_us in crashes_us {
            let is_same = incident_us.is_some_and(|begun_us| at_us - begun_us < INCIDENT_GAP_US);
            if is_same {
                continue;
            }
            count += 1;
            if has_other_cause(at_us) {
                incident_us = Some(at_us);
            }
        }
        count
    }
}
