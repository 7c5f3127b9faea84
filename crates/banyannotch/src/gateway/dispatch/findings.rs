//! What gateways tell each other of crashes, of runs that clear features, and of quarantines.

use std::cmp::Reverse;

use super::crashes::{
    AGE_ERROR_US, CRASH_RETENTION_US, Crash, Crashes, RUN_RETENTION_US, WATCH_US, WHOLE_REQUEST_DEPTH, Watch,
};
use super::messages::{CrashFindings, CrashReport, Feature, QuarantineReport};
use super::quarantine::{Judgement, Pause, Quarantine, quarantine_us};
use crate::clock::US_PER_MS;
use crate::random::Random;
use crate::table::Table;

/// Time for which a crash is reported with features that no other crash has, in microseconds; long enough to reach all
/// gateways.
const REPORT_US: u64 = 3_000_000;
/// Maximum number of features in the crash reports of one state, about 1 KB.
const REPORTED_FEATURE_LIMIT: usize = 96;
/// Maximum number of runs in one state, about 1 KB.
const REPORTED_RUN_LIMIT: usize = 96;
/// Maximum number of quarantines in one state, about 1 KB.
const REPORTED_QUARANTINE_LIMIT: usize = 80;

/// Time before the end of its retention from which on a finding is not reported, in microseconds. Gateways differ in the
/// end, and would otherwise learn again from each other what they have forgotten.
const REPORT_MARGIN_US: u64 = 10_000_000;

impl CrashFindings {
    /// Adds the time that has passed since the findings were made to their ages.
    pub fn add_age_ms(&mut self, elapsed_ms: u64) {
        let elapsed_ms = u32::try_from(elapsed_ms).unwrap_or(u32::MAX);
        let crashes = self.crashes.iter_mut().map(|report| &mut report.age_ms);
        let runs = self.runs.iter_mut().map(|(_, age_ms)| age_ms);
        let quarantined = self.quarantined.iter_mut().map(|report| &mut report.age_ms);
        crashes.chain(runs).chain(quarantined).for_each(|age_ms| *age_ms = age_ms.saturating_add(elapsed_ms));
    }
}

impl Crashes {
    /// Takes the findings of another gateway.
    pub fn update(&mut self, findings: &CrashFindings, now_us: u64, gateways: usize, random: &mut Random) {
        let at_us = |age_ms: u32| now_us.saturating_sub(u64::from(age_ms) * US_PER_MS);
        for (digest, age_ms) in findings.runs.iter().take(REPORTED_RUN_LIMIT) {
            let begun_us = at_us(*age_ms);
            if begun_us + RUN_RETENTION_US > now_us {
                self.last_run_us = self.last_run_us.max(begun_us);
                let known_us = self.runs.get(digest).copied();
                let is_known = known_us.is_some_and(|known_us| begun_us < known_us + AGE_ERROR_US);
                self.clear(*digest, known_us.filter(|_| is_known).unwrap_or(begun_us), now_us);
            }
        }
        for report in findings.crashes.iter().take(REPORTED_FEATURE_LIMIT) {
            if at_us(report.age_ms) + CRASH_RETENTION_US > now_us {
                let crash = Crash { address: report.address, born_ms: report.born_ms };
                self.record_crash(crash, at_us(report.age_ms), &report.features, now_us);
            }
        }
        for report in findings.quarantined.iter().take(REPORTED_QUARANTINE_LIMIT) {
            let QuarantineReport { feature, age_ms, failed_trials } = *report;
            let last_crash_us = at_us(age_ms);
            if self.runs.get(&feature.digest).is_some_and(|begun_us| *begun_us >= last_crash_us) {
                let watch = Watch { crash_us: last_crash_us, until_us: now_us + WATCH_US };
                self.watched.insert(feature.digest, watch);
                continue;
            }
            let is_valid = last_crash_us + quarantine_us(failed_trials) > now_us;
            if is_valid && !self.can_judge(feature.digest, feature.is_request()) {
                let pause = (Pause::Long, gateways);
                self.quarantine(feature, last_crash_us, Judgement::Peer, pause, random);
                self.raise_failed_trials(feature.digest, failed_trials);
            }
        }
    }

    /// Returns the findings that other gateways need. Of those that do not fit, other ones are drawn each time, so that each
    /// spreads however many endpoints are lost at the same time.
    pub fn findings(&self, now_us: u64, random: &mut Random) -> CrashFindings {
        let age_ms = |at_us: u64| u32::try_from(now_us.saturating_sub(at_us) / US_PER_MS).unwrap_or(u32::MAX);
        let mut counts: Table<u64, usize> = Table::default();
        for (digest, _) in self.crashes.iter().flat_map(|(_, evidence)| evidence.features.iter()) {
            *counts.entry(*digest) += 1;
        }
        let count = |digest: &u64| counts.get(digest).copied().unwrap_or_default();
        let mut reported: Vec<_> = self
            .crashes
            .iter()
            .flat_map(|(key, evidence)| {
                let features = evidence.features.iter();
                features.map(move |(digest, depth)| (count(digest), evidence.at_us, key, *digest, *depth))
            })
            .filter(|(count, at_us, ..)| {
                let report_us = if *count > 1 { CRASH_RETENTION_US - REPORT_MARGIN_US } else { REPORT_US };
                at_us + report_us > now_us
            })
            .collect();
        if reported.len() > REPORTED_FEATURE_LIMIT {
            // What several crashes have in common comes first. The quarantine of a request says all that others need.
            reported.sort_by_cached_key(|(count, _, _, digest, depth)| {
                let is_known = *depth == WHOLE_REQUEST_DEPTH && self.quarantined.contains(digest);
                (is_known, Reverse(*count), random.word())
            });
        }
        let mut crashes: Table<(Crash, u64), CrashReport> = Table::default();
        for (_, at_us, key, digest, depth) in reported.into_iter().take(REPORTED_FEATURE_LIMIT) {
            let report = crashes.entry(*key);
            let (crash, _) = key;
            (report.address, report.born_ms, report.age_ms) = (crash.address, crash.born_ms, age_ms(at_us));
            report.features.push(Feature { digest, depth });
        }
        let watched = self.watched.iter().filter_map(|(digest, watch)| {
            let begun_us = self.runs.get(digest).filter(|begun_us| **begun_us >= watch.crash_us)?;
            Some((*digest, age_ms(*begun_us)))
        });
        let mut runs: Vec<_> = watched.collect();
        if runs.len() > REPORTED_RUN_LIMIT {
            runs.sort_by_cached_key(|_| random.word());
            runs.truncate(REPORTED_RUN_LIMIT);
        }
        let is_reported =
            |(_, quarantine): &(&u64, &Quarantine)| quarantine.end_us() > now_us + REPORT_MARGIN_US;
        let mut quarantined: Vec<_> = self.quarantined.iter().filter(is_reported).collect();
        if quarantined.len() > REPORTED_QUARANTINE_LIMIT {
            quarantined.sort_by_cached_key(|_| random.word());
        }
        let report = |(digest, quarantine): (&u64, &Quarantine)| QuarantineReport {
            feature: Feature { digest: *digest, depth: quarantine.depth },
            age_ms: age_ms(quarantine.last_crash_us),
            failed_trials: quarantine.failed_trials,
        };
        CrashFindings {
            crashes: crashes.iter().map(|(_, report)| report.clone()).collect(),
            runs,
            quarantined: quarantined.into_iter().take(REPORTED_QUARANTINE_LIMIT).map(report).collect(),
        }
    }
}
