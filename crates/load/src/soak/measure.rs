//! Runs the load and the faults and reports violations.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::{SoakOptions, random_faults};
use crate::faults::Injected;
use crate::machine::build_profile;
use crate::report::{print, write_json};
use crate::run::{Plan, Violations, carry_out, outcomes, reasons};
use crate::workload::Arrivals;
use crate::{Result, Verdict};

/// Result of a soak run.
#[derive(Clone, Debug, Serialize)]
struct SoakReport {
    seed: u64,
    seconds: u64,
    profile: &'static str,
    faults: Vec<Injected>,
    planned: usize,
    missing: usize,
    outcomes: BTreeMap<&'static str, u64>,
    reasons: Vec<(String, u64)>,
    unread: Vec<String>,
    violations: Violations,
}

/// Runs random faults under moderate load; any violation fails the command, as does a request without an end.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start or obey.
pub async fn soak(options: &SoakOptions) -> Result<Verdict> {
    let length = Duration::from_secs(options.seconds);
    let plan = Plan {
        scenario: options.scenario.clone(),
        seed: options.seed,
        length,
        load: options.load,
        arrivals: Arrivals::Poisson,
        retries: options.retries,
        faults: random_faults(options.seed, options.seconds * 1_000),
        replace: true,
    };
    // The seed comes first, so that it is known even when the run does not end.
    print(&format!(
        "soak seed={} scenario={} profile={} seconds={} load={}",
        options.seed,
        plan.scenario.name,
        build_profile(),
        options.seconds,
        options.load
    ))?;
    let result = carry_out(&plan, options.site_options.binaries()?).await?;
    let report = SoakReport {
        seed: options.seed,
        seconds: options.seconds,
        profile: build_profile(),
        planned: result.planned,
        missing: result.planned - result.records.len(),
        outcomes: outcomes(&result.records),
        reasons: reasons(&result.records),
        violations: Violations::count(&result.records, &result.observed),
        unread: result.observed.unread.clone(),
        faults: result.injected,
    };
    show(&report)?;
    write_json(options.site_options.json.as_deref(), &report)?;
    Ok(Verdict::of(report.violations.total() == 0 && report.missing == 0))
}

fn show(report: &SoakReport) -> Result<()> {
    for fault in &report.faults {
        let at_s = fault.at_us as f64 / 1e6;
        print(&format!("fault {} at {at_s:.2} s on [{}]", fault.kind.name(), fault.targets.join(", ")))?;
    }
    let outcomes: Vec<String> =
        report.outcomes.iter().map(|(outcome, count)| format!("{outcome}={count}")).collect();
    print(&format!(
        "requests: {} planned={} missing={}",
        outcomes.join(" "),
        report.planned,
        report.missing
    ))?;
    for (reason, count) in &report.reasons {
        print(&format!("  {count} {reason}"))?;
    }
    print(&format!("counts not read from: [{}]", report.unread.join(", ")))?;
    print(&format!("violations: {} {:?}", report.violations.total(), report.violations))
}
