//! Decides which features of requests are quarantined, and when a request with one is tried.

use super::crashes::{
    AGE_ERROR_US, CRASH_RETENTION_US, Crashes, INCIDENT_LIMIT, REQUEST_CRASH_LIMIT, RUN_RETENTION_US,
    WHOLE_REQUEST_DEPTH,
};
use super::messages::Feature;
use crate::random::Random;

/// Time after the last crash for which a quarantine lasts, in microseconds. It grows with each trial that fails.
const QUARANTINE_US: u64 = 180_000_000;
/// Time after the last crash before a gateway may try a quarantined feature once, in microseconds. It grows with each trial
/// that fails.
const TRIAL_PAUSE_US: u64 = 60_000_000;
/// Factor by which the pause and the quarantine grow with each failed trial.
const FAILED_TRIAL_FACTOR: u64 = 4;
/// Number of failed trials after which they grow no further. The longest pause is about an hour.
const GROWTH_LIMIT: u8 = 3;
/// Shortest time between two crashes of which the later one is a failed trial, in microseconds. Sends that were under way at the
/// first crash end before.
const FAILED_TRIAL_GAP_US: u64 = TRIAL_PAUSE_US / 2;
/// Time over which the trials are spread for each known gateway, in microseconds, so that mostly one gateway tries
/// before the others learn of the result.
const TRIAL_SPREAD_US: u64 = 2_000_000;
/// Time over which the trials of a part are spread for each known gateway if a request explains the same crashes, in
/// microseconds. The part is probably sound, so that it is tried at once.
const PROBATION_SPREAD_US: u64 = 250_000;
/// Maximum number of quarantined parts of prompts.
const PART_LIMIT: usize = 16;
/// Maximum number of quarantined requests.
const REQUEST_LIMIT: usize = 256;
/// Time after the last required incident in which runs that clear the feature can become known, in microseconds: some
/// rounds of gossip.
const SETTLING_US: u64 = 1_000_000;

/// Quarantine of a feature.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Quarantine {
    /// Depth of the feature.
    pub depth: u8,
    /// Number of trials that ended in a crash.
    pub failed_trials: u8,
    pub last_crash_us: u64,
    /// When this gateway may send one request with the feature.
    trial_at_us: u64,
    /// Time until the next trial if the result of one does not become known; it doubles with each trial.
    trial_pause_us: u64,
}

/// How long a quarantine lasts before the first trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Pause {
    /// Until gateways have agreed, because a request explains the crashes as well.
    Probation,
    /// Until the feature is likely to be sound again.
    Long,
}

/// Why a feature is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Judgement {
    /// It explains this number of incidents.
    Own { incidents: usize },
    /// Another gateway has quarantined it.
    Peer,
}

/// A change of the quarantined features.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Change {
    /// A feature was quarantined, by this gateway's judgement or because of another gateway's.
    Quarantined { feature: Feature, by: Judgement },
    /// A quarantine ended.
    Released { digest: u64, cause: &'static str },
}

/// Returns the time after the last crash for which a quarantine lasts, in microseconds.
pub(super) fn quarantine_us(failed_trials: u8) -> u64 {
    QUARANTINE_US * growth(failed_trials)
}

fn growth(failed_trials: u8) -> u64 {
    FAILED_TRIAL_FACTOR.pow(u32::from(failed_trials.min(GROWTH_LIMIT)))
}

impl Quarantine {
    /// Returns when the quarantine ends if there is no further crash.
    pub fn end_us(&self) -> u64 {
        self.last_crash_us + quarantine_us(self.failed_trials)
    }

    fn is_request(&self) -> bool {
        self.depth == WHOLE_REQUEST_DEPTH
    }
}

impl Crashes {
    pub(super) fn quarantine(
        &mut self,
        feature: Feature,
        last_crash_us: u64,
        by: Judgement,
        (pause, gateways): (Pause, usize),
        random: &mut Random,
    ) {
        let is_new = !self.quarantined.contains(&feature.digest);
        if is_new && !self.has_room_for(feature) {
            return;
        }
        let quarantine = self.quarantined.entry(feature.digest);
        if is_new || last_crash_us > quarantine.last_crash_us + AGE_ERROR_US {
            let has_failed_trial = !is_new && last_crash_us > quarantine.last_crash_us + FAILED_TRIAL_GAP_US;
            let failed_trials = quarantine.failed_trials.saturating_add(u8::from(has_failed_trial));
            let (pause_us, spread_us) = match pause {
                Pause::Probation => (SETTLING_US, PROBATION_SPREAD_US),
                Pause::Long => (TRIAL_PAUSE_US * growth(failed_trials), TRIAL_SPREAD_US),
            };
            let spread_us = random.unit() * gateways.max(1) as f64 * spread_us as f64;
            let last_crash_us = quarantine.last_crash_us.max(last_crash_us);
            let trial_at_us = (last_crash_us + pause_us + spread_us as u64).max(quarantine.trial_at_us);
            let depth = feature.depth;
            *quarantine =
                Quarantine { depth, failed_trials, last_crash_us, trial_at_us, trial_pause_us: pause_us };
        }
        if is_new {
            self.changes.push(Change::Quarantined { feature, by });
        }
    }

    /// Takes over the number of failed trials that another gateway knows, if it is higher.
    pub(super) fn raise_failed_trials(&mut self, digest: u64, failed_trials: u8) {
        let Some(quarantine) = self.quarantined.get_mut(&digest) else { return };
        if failed_trials > quarantine.failed_trials {
            let known_us = quarantine_us(quarantine.failed_trials);
            quarantine.failed_trials = failed_trials;
            // The pause is a fixed share of the time for which the quarantine lasts.
            let longer_us = (quarantine_us(failed_trials) - known_us) / (QUARANTINE_US / TRIAL_PAUSE_US);
            quarantine.trial_at_us += longer_us;
            quarantine.trial_pause_us += longer_us;
        }
    }

    /// Returns whether this gateway knows so many crashes with a feature that it does not rely on reports.
    pub(super) fn can_judge(&self, digest: u64, is_request: bool) -> bool {
        let limit = if is_request { REQUEST_CRASH_LIMIT } else { INCIDENT_LIMIT };
        self.crash_count(digest) >= limit
    }

    fn has_room_for(&self, feature: Feature) -> bool {
        let requests = self.quarantined.iter().filter(|(_, known)| known.is_request()).count();
        if feature.is_request() {
            requests < REQUEST_LIMIT
        } else {
            self.quarantined.len() - requests < PART_LIMIT
        }
    }

    /// Returns the requests under which so many endpoints crashed that they are refused, with the number of the crashes and
    /// the time of the last one.
    fn deadly_requests(&self) -> Vec<(Feature, usize, u64)> {
        let features = self.crashes.iter().flat_map(|(_, evidence)| {
            let features =
                evidence.features.iter().map(|(digest, depth)| Feature { digest: *digest, depth: *depth });
            features.filter(Feature::is_request).map(|feature| (feature, evidence.at_us))
        });
        let mut crashes: Vec<_> = features.collect();
        crashes.sort_unstable_by_key(|(feature, at_us)| (feature.digest, *at_us));
        let by_request = crashes.chunk_by(|(left, _), (right, _)| left.digest == right.digest);
        let summary = |crashes: &[(Feature, u64)]| {
            let (feature, last_crash_us) = *crashes.last()?;
            let is_deadly = crashes.len() >= REQUEST_CRASH_LIMIT && self.is_deadly(feature.digest);
            is_deadly.then_some((feature, crashes.len(), last_crash_us))
        };
        by_request.filter_map(summary).collect()
    }

    /// Decides which features are quarantined, and returns what has changed since the last call.
    pub fn judge(&mut self, now_us: u64, gateways: usize, random: &mut Random) -> Vec<Change> {
        self.crashes.retain(|_, crash| crash.at_us + CRASH_RETENTION_US > now_us);
        self.runs.retain(|_, begun_us| *begun_us + RUN_RETENTION_US > now_us);
        self.watched.retain(|_, watch| watch.until_us > now_us);
        for (feature, incidents, last_crash_us) in self.deadly_requests() {
            let by = Judgement::Own { incidents };
            self.quarantine(feature, last_crash_us, by, (Pause::Long, gateways), random);
        }
        let explanations = self.explanations();
        for found in &explanations {
            // Without a run that began after the crashes, every engine may have been lost for another reason.
            let is_settled =
                found.complete_us + SETTLING_US <= now_us && self.last_run_us >= found.complete_us;
            if is_settled || self.quarantined.contains(&found.digest) {
                let feature = Feature { digest: found.digest, depth: found.depth };
                let by = Judgement::Own { incidents: found.incidents };
                let pause = if found.is_alternative { Pause::Probation } else { Pause::Long };
                self.quarantine(feature, found.last_crash_us, by, (pause, gateways), random);
            }
        }
        let quarantined: Vec<_> = self.quarantined.iter().map(|(digest, known)| (*digest, *known)).collect();
        for (digest, quarantine) in quarantined {
            let is_explanation = explanations.iter().any(|found| found.digest == digest);
            let cause = if quarantine.end_us() <= now_us {
                "expired"
            } else if self.can_judge(digest, quarantine.is_request())
                && !is_explanation
                && !(quarantine.is_request() && self.is_deadly(digest))
            {
                "crashes_explained_by_another"
            } else {
                // The crash after a trial prolongs the quarantine.
                if !is_explanation
                    && let Some(last_crash_us) = self.crashes_with(digest).map(|crash| crash.at_us).max()
                {
                    let feature = Feature { digest, depth: quarantine.depth };
                    self.quarantine(feature, last_crash_us, Judgement::Peer, (Pause::Long, gateways), random);
                }
                continue;
            };
            self.quarantined.remove(&digest);
            self.changes.push(Change::Released { digest, cause });
        }
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of quarantined features.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns the quarantined feature of a request, if it has one. A request counts as soon as the last crash that its
    /// quarantine requires is known.
    pub fn quarantined_feature(&self, features: &[Feature]) -> Option<Feature> {
        let is_quarantined = |feature: &&Feature| {
            self.quarantined.contains(&feature.digest) || self.is_deadly_request(feature)
        };
        features.iter().find(is_quarantined).copied()
    }

    fn is_deadly_request(&self, feature: &Feature) -> bool {
        feature.is_request() && self.is_deadly(feature.digest)
    }

    /// Returns whether a new request is refused. From time to time one request with a quarantined feature is admitted,
    /// so that a feature that was quarantined wrongly can be cleared.
    pub fn refuses(&mut self, features: &[Feature], now_us: u64) -> bool {
        let is_new = |feature: &Feature| {
            self.is_deadly_request(feature) && !self.quarantined.contains(&feature.digest)
        };
        if features.iter().any(is_new) {
            return true;
        }
        let quarantined = self.quarantined.iter_mut();
        let mut quarantined =
            quarantined.filter(|(digest, _)| features.iter().any(|feature| feature.digest == **digest));
        let Some((_, quarantine)) = quarantined.next() else { return false };
        let is_trial = now_us >= quarantine.trial_at_us && quarantined.next().is_none();
        if is_trial {
            quarantine.trial_at_us = now_us + quarantine.trial_pause_us;
            let longest_us = TRIAL_PAUSE_US * growth(quarantine.failed_trials);
            quarantine.trial_pause_us = (quarantine.trial_pause_us * 2).min(longest_us);
        }
        !is_trial
    }
}
