//! Finds the part of a prompt that crashes each engine that begins to answer on it, so that requests with this part are
//! quarantined although no two of them are alike.
//!
//! A feature of a request is a shared part of its prompt or the whole request. The features of the requests that an
//! endpoint had not begun to answer when it crashed are suspects of this crash; a later run with a feature that begins
//! and survives clears the feature. A feature that explains several separate incidents is quarantined. Gateways
//! exchange crashes, runs and quarantines; see `docs/platform.md`.

use serde::{Deserialize, Serialize};

use super::messages::{CrashFindings, CrashReport, Feature};
use crate::clock::US_PER_MS;
use crate::gateway::RequestInfo;
use crate::pipeline::Address;
use crate::random::Random;
use crate::table::Table;

/// Number of separate incidents that a feature must explain. The users allow five crashes before requests count.
const INCIDENT_LIMIT: usize = 3;
/// Crashes that are closer than this belong to one incident, in microseconds: engines that are lost together are no
/// evidence against a feature that many requests have.
const INCIDENT_GAP_US: u64 = 100_000;
/// Number of addresses at which the crashes must have occurred, because an engine that crashes repeatedly may itself be
/// faulty.
const ADDRESS_LIMIT: usize = 2;
/// Time after the last required incident in which runs that clear the feature can become known, in microseconds: some
/// rounds of gossip.
const SETTLING_US: u64 = 1_000_000;
/// Time for which a run must go on after its first event to clear its features, in microseconds.
pub(super) const SURVIVAL_US: u64 = 100_000;
/// Time after a broken connection in which its endpoint must be found down, in microseconds.
const CONFIRMATION_US: u64 = 6_000_000;
/// Time for which crashes are retained, in microseconds.
const CRASH_RETENTION_US: u64 = 120_000_000;
/// Time for which a crash is reported with features that no other crash has, in microseconds; long enough to reach all
/// gateways.
const REPORT_US: u64 = 3_000_000;
/// Time for which runs are retained, in microseconds. Reports of crashes arrive within it.
const RUN_RETENTION_US: u64 = 10_000_000;
/// Time for which runs with a feature are reported after a gateway has last reported a crash with it, in microseconds.
const WATCH_US: u64 = 3_000_000;
/// Time after the last crash for which a quarantine lasts, in microseconds.
const QUARANTINE_US: u64 = 180_000_000;
/// Time after the last crash before a gateway may try a quarantined feature once, in microseconds.
const TRIAL_PAUSE_US: u64 = 60_000_000;
/// Time over which the trials are spread for each known gateway, in microseconds, so that mostly one gateway tries
/// before the others learn of the result.
const TRIAL_SPREAD_US: u64 = 2_000_000;

/// Time over which the trials of a part are spread for each known gateway if a request explains the same crashes, in
/// microseconds. The part is probably sound, so that it is tried at once.
const PROBATION_SPREAD_US: u64 = 250_000;

/// Maximum number of broken connections that wait for a confirmation.
const UNCONFIRMED_LIMIT: usize = 256;
/// Maximum number of retained crashes.
const CRASH_LIMIT: usize = 64;
/// Maximum number of features of a crash.
const CRASH_FEATURE_LIMIT: usize = 128;
/// Maximum number of features whose last run is retained.
const RUN_LIMIT: usize = 4_096;
/// Maximum number of quarantined features.
const QUARANTINE_LIMIT: usize = 16;
/// Maximum number of features in the crash reports of one state, about 1 KB.
const REPORTED_FEATURE_LIMIT: usize = 96;
/// Maximum number of runs in one state, about 1 KB.
const REPORTED_RUN_LIMIT: usize = 96;

/// Depth of the feature that is the whole request, deeper than any part.
const WHOLE_REQUEST_DEPTH: u8 = u8::MAX;

/// Returns the features of a request, from general to specific. Only requests with shared parts have any.
pub(super) fn features(request: &RequestInfo) -> Vec<Feature> {
    if request.shared_parts.is_empty() {
        return Vec::new();
    }
    let parts = request.shared_parts.iter().zip(0_u8..);
    let mut features: Vec<_> = parts.map(|(digest, depth)| Feature { digest: *digest, depth }).collect();
    features.push(Feature { digest: request.digest, depth: WHOLE_REQUEST_DEPTH });
    features
}

/// One incarnation of an endpoint that ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Crash {
    /// Address of the endpoint.
    pub address: Address,
    /// Start of the incarnation, as Unix time in milliseconds.
    pub born_ms: u64,
}

/// A broken connection whose endpoint has not been found down so far.
#[derive(Clone, Debug)]
struct Unconfirmed {
    crash: Crash,
    features: Vec<Feature>,
    at_us: u64,
}

/// When a crash occurred, and the features that may have caused it, with their depths.
#[derive(Clone, Debug, Default)]
struct Evidence {
    at_us: u64,
    features: Table<u64, u8>,
}

/// Quarantine of a feature.
#[derive(Clone, Copy, Debug, Default)]
struct Quarantine {
    last_crash_us: u64,
    /// When this gateway may send one request with the feature.
    trial_at_us: u64,
    /// Time until the next trial if the result of one does not become known; it doubles with each trial.
    trial_pause_us: u64,
}

/// How long a quarantine lasts before the first trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pause {
    /// Until gateways have agreed, because a request explains the crashes as well.
    Probation,
    /// Until the feature is likely to be sound again.
    Long,
}

/// A crash of which other gateways reported a feature that has been cleared.
#[derive(Clone, Copy, Debug, Default)]
struct Watch {
    crash_us: u64,
    until_us: u64,
}

/// A feature that explains several incidents.
#[derive(Clone, Copy, Debug)]
struct Explanation {
    digest: u64,
    depth: u8,
    incidents: usize,
    /// Time of the last incident that the quarantine requires.
    complete_us: u64,
    last_crash_us: u64,
    /// Whether a whole request explains as many incidents.
    is_alternative: bool,
}

/// Why a feature is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Judgement {
    /// It explains this number of incidents.
    Own { incidents: usize, is_whole_request: bool },
    /// Another gateway has quarantined it.
    Peer,
}

/// A change of the quarantined features.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Change {
    /// A feature was quarantined, by this gateway's judgement or because of another gateway's.
    Quarantined { digest: u64, by: Judgement },
    /// A quarantine ended.
    Released { digest: u64, cause: &'static str },
}

/// Crashes, runs and quarantines that this gateway observed or heard of.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes {
    unconfirmed: Vec<Unconfirmed>,
    crashes: Table<Crash, Evidence>,
    /// Begin of the last run with each feature.
    runs: Table<u64, u64>,
    /// Begin of the last run of any request.
    last_run_us: u64,
    watched: Table<u64, Watch>,
    quarantined: Table<u64, Quarantine>,
    changes: Vec<Change>,
}

impl Crashes {
    /// Records that the connection to an endpoint broke before it had begun to answer a request with these features.
    pub fn record_break(&mut self, crash: Crash, features: Vec<Feature>, now_us: u64) {
        self.unconfirmed.retain(|unconfirmed| unconfirmed.at_us + CONFIRMATION_US > now_us);
        if !features.is_empty() && self.unconfirmed.len() < UNCONFIRMED_LIMIT {
            self.unconfirmed.push(Unconfirmed { crash, features, at_us: now_us });
        }
    }

    /// Counts the recent breaks of an endpoint as a crash, because it was found to be down or to have started anew.
    pub fn confirm(&mut self, address: Address, now_us: u64) {
        let is_confirmed = |unconfirmed: &mut Unconfirmed| unconfirmed.crash.address == address;
        let confirmed: Vec<_> = self.unconfirmed.extract_if(.., is_confirmed).collect();
        for Unconfirmed { crash, features, at_us } in confirmed {
            if at_us + CONFIRMATION_US > now_us {
                self.record_crash(crash, at_us, &features, now_us);
            }
        }
    }

    fn record_crash(&mut self, crash: Crash, at_us: u64, features: &[Feature], now_us: u64) {
        if self.crashes.len() >= CRASH_LIMIT && !self.crashes.contains(&crash) {
            let oldest = self.crashes.iter().min_by_key(|(_, evidence)| evidence.at_us);
            let Some(oldest) = oldest.map(|(crash, _)| *crash) else { return };
            self.crashes.remove(&oldest);
        }
        let at_us = self.crashes.get(&crash).map_or(at_us, |known| known.at_us.min(at_us));
        let evidence = self.crashes.entry(crash);
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
            self.crashes.remove(&crash);
        }
    }

    /// Records that a run with these features began and survived.
    pub fn record_run(&mut self, features: &[Feature], begun_us: u64, now_us: u64) {
        self.last_run_us = self.last_run_us.max(begun_us);
        for feature in features {
            // The digest of a request seldom comes again, so it is retained only if a crash is known.
            if feature.depth != WHOLE_REQUEST_DEPTH || self.crash_count(feature.digest) > 0 {
                self.clear(feature.digest, begun_us, now_us);
            }
        }
    }

    /// Removes a feature from the crashes before a run with it, and ends its quarantine.
    fn clear(&mut self, digest: u64, begun_us: u64, now_us: u64) {
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

    /// Takes the findings of another gateway.
    pub fn update(&mut self, findings: &CrashFindings, now_us: u64, gateways: usize, random: &mut Random) {
        let at_us = |age_ms: u32| now_us.saturating_sub(u64::from(age_ms) * US_PER_MS);
        for (digest, age_ms) in findings.runs.iter().take(REPORTED_RUN_LIMIT) {
            if at_us(*age_ms) + RUN_RETENTION_US > now_us {
                self.last_run_us = self.last_run_us.max(at_us(*age_ms));
                self.clear(*digest, at_us(*age_ms), now_us);
            }
        }
        for report in findings.crashes.iter().take(REPORTED_FEATURE_LIMIT) {
            if at_us(report.age_ms) + CRASH_RETENTION_US > now_us {
                let crash = Crash { address: report.address, born_ms: report.born_ms };
                self.record_crash(crash, at_us(report.age_ms), &report.features, now_us);
            }
        }
        for (digest, age_ms) in findings.quarantined.iter().take(QUARANTINE_LIMIT) {
            let last_crash_us = at_us(*age_ms);
            if self.runs.get(digest).is_some_and(|begun_us| *begun_us >= last_crash_us) {
                let watch = Watch { crash_us: last_crash_us, until_us: now_us + WATCH_US };
                self.watched.insert(*digest, watch);
                continue;
            }
            // A gateway that knows enough crashes judges by them.
            if self.crash_count(*digest) < INCIDENT_LIMIT && last_crash_us + QUARANTINE_US > now_us {
                self.quarantine(*digest, last_crash_us, Judgement::Peer, (Pause::Long, gateways), random);
            }
        }
    }

    fn quarantine(
        &mut self,
        digest: u64,
        last_crash_us: u64,
        by: Judgement,
        (pause, gateways): (Pause, usize),
        random: &mut Random,
    ) {
        let is_new = !self.quarantined.contains(&digest);
        if is_new && self.quarantined.len() >= QUARANTINE_LIMIT {
            return;
        }
        let quarantine = self.quarantined.entry(digest);
        if is_new || last_crash_us > quarantine.last_crash_us {
            let (pause_us, spread_us) = match pause {
                Pause::Probation => (SETTLING_US, PROBATION_SPREAD_US),
                Pause::Long => (TRIAL_PAUSE_US, TRIAL_SPREAD_US),
            };
            let spread_us = random.unit() * gateways.max(1) as f64 * spread_us as f64;
            let last_crash_us = quarantine.last_crash_us.max(last_crash_us);
            let trial_at_us = (last_crash_us + pause_us + spread_us as u64).max(quarantine.trial_at_us);
            *quarantine = Quarantine { last_crash_us, trial_at_us, trial_pause_us: pause_us };
        }
        if is_new {
            self.changes.push(Change::Quarantined { digest, by });
        }
    }

    /// Decides which features are quarantined, and returns what has changed since the last call.
    pub fn judge(&mut self, now_us: u64, gateways: usize, random: &mut Random) -> Vec<Change> {
        self.crashes.retain(|_, crash| crash.at_us + CRASH_RETENTION_US > now_us);
        self.runs.retain(|_, begun_us| *begun_us + RUN_RETENTION_US > now_us);
        self.watched.retain(|_, watch| watch.until_us > now_us);
        let explanations = self.explanations();
        for found in &explanations {
            // Without a run that began after the crashes, every engine may have been lost for another reason.
            let is_settled =
                found.complete_us + SETTLING_US <= now_us && self.last_run_us >= found.complete_us;
            if is_settled || self.quarantined.contains(&found.digest) {
                let is_whole_request = found.depth == WHOLE_REQUEST_DEPTH;
                let by = Judgement::Own { incidents: found.incidents, is_whole_request };
                let pause = if found.is_alternative { Pause::Probation } else { Pause::Long };
                self.quarantine(found.digest, found.last_crash_us, by, (pause, gateways), random);
            }
        }
        let quarantined: Vec<_> = self.quarantined.iter().map(|(digest, known)| (*digest, *known)).collect();
        for (digest, quarantine) in quarantined {
            let is_explanation = explanations.iter().any(|found| found.digest == digest);
            let cause = if quarantine.last_crash_us + QUARANTINE_US <= now_us {
                "expired"
            } else if self.crash_count(digest) >= INCIDENT_LIMIT && !is_explanation {
                "crashes_explained_by_another"
            } else {
                // The crash after a trial prolongs the quarantine.
                if !is_explanation
                    && let Some(last_crash_us) = self.crashes_with(digest).map(|crash| crash.at_us).max()
                {
                    self.quarantine(digest, last_crash_us, Judgement::Peer, (Pause::Long, gateways), random);
                }
                continue;
            };
            self.quarantined.remove(&digest);
            self.changes.push(Change::Released { digest, cause });
        }
        std::mem::take(&mut self.changes)
    }

    fn crashes_with(&self, digest: u64) -> impl Iterator<Item = &Evidence> {
        let has_feature = move |evidence: &&Evidence| evidence.features.contains(&digest);
        self.crashes.iter().map(|(_, evidence)| evidence).filter(has_feature)
    }

    fn crash_count(&self, digest: u64) -> usize {
        self.crashes_with(digest).count()
    }

    /// Returns the features that explain the most incidents, each without the crashes that an earlier one explains.
    fn explanations(&self) -> Vec<Explanation> {
        let mut open: Vec<(&Crash, &Evidence)> = self.crashes.iter().collect();
        let mut found = Vec::new();
        while open.len() >= INCIDENT_LIMIT {
            let mut suspects: Vec<(u64, u64, Address, u8)> = open
                .iter()
                .flat_map(|(crash, evidence)| {
                    let features = evidence.features.iter();
                    features.map(|(digest, depth)| (*digest, evidence.at_us, crash.address, *depth))
                })
                .collect();
            suspects.sort_unstable();
            let mut candidates: Vec<_> =
                suspects.chunk_by(|left, right| left.0 == right.0).filter_map(explain).collect();
            candidates.sort_by_key(|found| (found.incidents, found.depth, found.digest));
            let Some(best) = candidates.pop() else { break };
            if best.depth == WHOLE_REQUEST_DEPTH {
                // A request may be sent again so often that it explains as much as the part that crashes the engines.
                let is_alternative = |found: &&Explanation| {
                    found.depth < WHOLE_REQUEST_DEPTH && found.incidents == best.incidents
                };
                let part = candidates.iter().rfind(is_alternative);
                found.extend(part.map(|part| Explanation { is_alternative: true, ..*part }));
            }
            open.retain(|(_, evidence)| !evidence.features.contains(&best.digest));
            found.push(best);
        }
        found
    }

    /// Returns the number of quarantined features.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns the quarantined feature of a request, if it has one.
    pub fn quarantined_feature(&self, features: &[Feature]) -> Option<u64> {
        if self.quarantined.is_empty() {
            return None;
        }
        features.iter().map(|feature| feature.digest).find(|digest| self.quarantined.contains(digest))
    }

    /// Returns whether a new request is refused. From time to time one request with a quarantined feature is admitted,
    /// so that a feature that was quarantined wrongly can be cleared.
    pub fn refuses(&mut self, features: &[Feature], now_us: u64) -> bool {
        let quarantined = self.quarantined.iter_mut();
        let mut quarantined =
            quarantined.filter(|(digest, _)| features.iter().any(|feature| feature.digest == **digest));
        let Some((_, quarantine)) = quarantined.next() else { return false };
        let is_trial = now_us >= quarantine.trial_at_us && quarantined.next().is_none();
        if is_trial {
            quarantine.trial_at_us = now_us + quarantine.trial_pause_us;
            quarantine.trial_pause_us = (quarantine.trial_pause_us * 2).min(TRIAL_PAUSE_US);
        }
        !is_trial
    }

    /// Returns the findings that other gateways need.
    pub fn findings(&self, now_us: u64) -> CrashFindings {
        let age_ms = |at_us: u64| u32::try_from(now_us.saturating_sub(at_us) / US_PER_MS).unwrap_or(u32::MAX);
        let mut counts: Table<u64, usize> = Table::default();
        for (digest, _) in self.crashes.iter().flat_map(|(_, evidence)| evidence.features.iter()) {
            *counts.entry(*digest) += 1;
        }
        let count = |digest: &u64| counts.get(digest).copied().unwrap_or_default();
        let mut reported: Vec<_> = self
            .crashes
            .iter()
            .flat_map(|(crash, evidence)| {
                let features = evidence.features.iter();
                features.map(move |(digest, depth)| (count(digest), evidence.at_us, crash, *digest, *depth))
            })
            .filter(|(count, at_us, ..)| *count > 1 || at_us + REPORT_US > now_us)
            .collect();
        reported.sort_unstable_by(|left, right| right.cmp(left));
        let mut crashes: Table<Crash, CrashReport> = Table::default();
        for (_, at_us, crash, digest, depth) in reported.into_iter().take(REPORTED_FEATURE_LIMIT) {
            let report = crashes.entry(*crash);
            (report.address, report.born_ms, report.age_ms) = (crash.address, crash.born_ms, age_ms(at_us));
            report.features.push(Feature { digest, depth });
        }
        let watched = self.watched.iter().filter_map(|(digest, watch)| {
            let begun_us = self.runs.get(digest).filter(|begun_us| **begun_us >= watch.crash_us)?;
            Some((*digest, age_ms(*begun_us)))
        });
        CrashFindings {
            crashes: crashes.iter().map(|(_, report)| report.clone()).collect(),
            runs: watched.take(REPORTED_RUN_LIMIT).collect(),
            quarantined: self
                .quarantined
                .iter()
                .map(|(digest, quarantine)| (*digest, age_ms(quarantine.last_crash_us)))
                .collect(),
        }
    }
}

/// Returns the explanation that a feature offers for its crashes, which are sorted by time, if they are enough.
fn explain(crashes: &[(u64, u64, Address, u8)]) -> Option<Explanation> {
    let (mut incidents, mut complete_us, mut incident_us) = (0, 0, None);
    for (_, at_us, ..) in crashes {
        if incident_us.is_none_or(|begun_us| at_us - begun_us >= INCIDENT_GAP_US) {
            incident_us = Some(*at_us);
            incidents += 1;
            if incidents == INCIDENT_LIMIT {
                complete_us = *at_us;
            }
        }
    }
    let mut addresses: Vec<_> = crashes.iter().map(|(_, _, address, _)| *address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    let (digest, last_crash_us, ..) = *crashes.last()?;
    let depth = crashes.iter().map(|(.., depth)| *depth).max()?;
    let is_enough = incidents >= INCIDENT_LIMIT && addresses.len() >= ADDRESS_LIMIT;
    is_enough.then_some(Explanation {
        digest,
        depth,
        incidents,
        complete_us,
        last_crash_us,
        is_alternative: false,
    })
}
