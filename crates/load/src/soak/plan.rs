//! Random faults: singly, in pairs, or the same one twice in short succession.

use banyannotch::random::Random;

use crate::faults::{FaultKind, FaultPlan};

/// Time before the first fault.
const LEAD_MS: u64 = 2_000;

/// Shortest time between two faults.
const LEAST_GAP_MS: u64 = 1_500;

/// Longest further time between two faults.
const FURTHER_GAP_MS: usize = 3_000;

/// Shortest length of a fault that is cleared.
const LEAST_LENGTH_MS: u64 = 300;

/// Longest further length.
const FURTHER_LENGTH_MS: usize = 3_000;

/// Time from a fault to its repetition.
const REPEAT_MS: u64 = 400;

/// Kinds in proportion to how often they are drawn: a zone is lost seldom.
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

/// Draws the faults of a run of a given length.
pub fn random_faults(seed: u64, length_ms: u64) -> Vec<FaultPlan> {
    let mut random = Random::seeded(seed);
    let mut faults = Vec::new();
    let mut at_ms = LEAD_MS;
    while at_ms < length_ms {
        let fault = draw(&mut random, at_ms);
        // One in three hits two targets at once, another one comes twice.
        match random.below(3) {
            0 => faults.push(FaultPlan { count: 2, ..fault }),
            1 => {
                faults.push(FaultPlan { at_ms: at_ms + REPEAT_MS, ..fault.clone() });
                faults.push(fault);
            }
            _ => faults.push(fault),
        }
        at_ms += LEAST_GAP_MS + random.below(FURTHER_GAP_MS) as u64;
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn draw(random: &mut Random, at_ms: u64) -> FaultPlan {
    let kind = KINDS.get(random.below(KINDS.len())).copied().unwrap_or(FaultKind::Kill);
    let length_ms = LEAST_LENGTH_MS + random.below(FURTHER_LENGTH_MS) as u64;
    FaultPlan { kind, at_ms, count: 1, lasts_ms: kind.is_reversible().then_some(length_ms), target: None }
}
