//! Measures processor time and memory of idle entries.

use std::time::{Duration, Instant};

use banyannotch_standins::harness::{DOCUMENT, LAYERS};
use serde::Serialize;

use super::IdleOptions;
use crate::layout::{Layout, Speed, start};
use crate::machine::{ProcessSample, build_profile};
use crate::report::{print, write_json};
use crate::{Result, Verdict};

/// Time from readiness to the measurement, in which the entry finishes its start-up work.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Goal for the share of a core that an idle entry uses.
const CORE_SHARE_GOAL: f64 = 0.005;

/// Goal for the resident memory of an idle entry.
const RESIDENT_GOAL_BYTES: u64 = 32 << 20;

/// Resource use of one idle entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct IdleEntry {
    instance: String,
    core_share: f64,
    resident_bytes: u64,
    threads: u64,
}

/// Measures the resource use of entries without requests. Fails if an entry cannot be measured.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start.
pub async fn idle(options: &IdleOptions) -> Result<Verdict> {
    let speed = Speed { step_us: 1_000, item_us: 10, prefill_us: 10, batch_limit: 32 };
    let mut layout = Layout::uniform(LAYERS, 3, options.replicas, speed);
    layout.services =
        (1..=options.services).map(|number| (format!("desk-{number}"), "zone-1".into())).collect();
    layout.entries =
        (1..=options.entries).map(|number| (format!("entry-{number}"), "zone-1".into())).collect();
    let site = start(options.site_options.binaries()?, layout, DOCUMENT).await?;
    actix_rt::time::sleep(SETTLE_TIME).await;
    let sample = || -> Vec<Option<ProcessSample>> {
        site.deployment.entries.iter().map(|entry| ProcessSample::take(entry.process.id())).collect()
    };
    let (begin, before) = (Instant::now(), sample());
    actix_rt::time::sleep(Duration::from_secs(options.seconds)).await;
    let (elapsed, after) = (begin.elapsed(), sample());
    let entries: Vec<IdleEntry> = site
        .deployment
        .entries
        .iter()
        .zip(before.iter().zip(&after))
        .filter_map(|(entry, (before, after))| {
            let (before, after) = ((*before)?, (*after)?);
            let run_s = after.run_ns.saturating_sub(before.run_ns) as f64 / 1e9;
            Some(IdleEntry {
                instance: entry.instance.clone(),
                core_share: run_s / elapsed.as_secs_f64(),
                resident_bytes: after.resident_bytes,
                threads: after.threads,
            })
        })
        .collect();
    for entry in &entries {
        print(&format!(
            "idle instance={} profile={} engines={} seconds={} core_share={:.4} (goal under {CORE_SHARE_GOAL}) \
             resident_mib={:.1} (goal under {}) threads={}",
            entry.instance,
            build_profile(),
            3 * options.replicas,
            options.seconds,
            entry.core_share,
            entry.resident_bytes as f64 / f64::from(1 << 20),
            RESIDENT_GOAL_BYTES >> 20,
            entry.threads,
        ))?;
    }
    write_json(options.site_options.json.as_deref(), &entries)?;
    Ok(Verdict::of(entries.len() == site.deployment.entries.len()))
}
