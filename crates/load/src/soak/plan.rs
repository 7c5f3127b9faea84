//! Draws random faults: on one target, on two targets at once, or twice in short succession.

use banyannotch::random::Random;

use crate::faults::{FaultKind, FaultPlan};

/// Time from the start of the load to the first fault.
const START_DELAY_MS: u64 = 2_000;

/// Minimum time between two draws of a fault.
const MIN_GAP_MS: u64 = 1_500;

/// Range of the random time that is added to `MIN_GAP_MS`.
const GAP_SPREAD_MS: usize = 3_000;

/// Minimum duration of a fault that is cleared.
const MIN_DURATION_MS: u64 = 300;

/// Range of the random time that is added to `MIN_DURATION_MS`.
const DURATION_SPREAD_MS: usize = 3_000;

/// Time from a fault to its repetition.
const REPEAT_DELAY_MS: u64 = 400;

/// Kinds of faults, each listed in proportion to its frequency; the loss of a zone is rare.
const KINDS: [FaultKind; 18] = [
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Freeze,
    FaultKind::Freeze,
    FaultKind::Slow,
    FaultKind::Slow,
    FaultKind::Link,
    FaultKind::Link,
    FaultKind::KillService,
    FaultKind::KillService,
    FaultKind::KillEntry,
    FaultKind::KillEntry,
    FaultKind::SuspendEntry,
    FaultKind::SuspendEntry,
    FaultKind::LogDown,
    FaultKind::ListDown,
    FaultKind::ZoneLoss,
];

/// Draws the faults of a run of the given duration.
pub fn random_faults(seed: u64, length_ms: u64) -> Vec<FaultPlan> {
    let mut random = Random::seeded(seed);
    let mut faults = Vec::new();
    let mut at_ms = START_DELAY_MS;
    while at_ms < length_ms {
        let fault = draw(&mut random, at_ms);
        // On average one fault in three hits two targets at once, and another one in three is repeated.
        match random.below(3) {
            0 => faults.push(FaultPlan { count: 2, ..fault }),
            1 => {
                faults.push(FaultPlan { at_ms: at_ms + REPEAT_DELAY_MS, ..fault.clone() });
                faults.push(fault);
            }
            _ => faults.push(fault),
        }
        at_ms += MIN_GAP_MS + random.below(GAP_SPREAD_MS) as u64;
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn draw(random: &mut Random, at_ms: u64) -> FaultPlan {
    let kind = KINDS.get(random.below(KINDS.len())).copied().unwrap_or(FaultKind::Kill);
    let duration_ms = MIN_DURATION_MS + random.below(DURATION_SPREAD_MS) as u64;
    FaultPlan { kind, at_ms, count: 1, lasts_ms: kind.is_reversible().then_some(duration_ms), target: None }
}
