//! Runs the load and the random faults, and reports violations.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::{SoakOptions, random_faults};
use crate::faults::InjectedFault;
use crate::machine::build_profile;
use crate::report::{print, write_json};
use crate::run::{RunPlan, Violations, execute_plan, outcomes, reasons};
use crate::workload::Arrivals;
use crate::{Result, Verdict};

/// Report of a soak run.
#[derive(Clone, Debug, Serialize)]
struct SoakReport {
    seed: u64,
    seconds: u64,
    profile: &'static str,
    faults: Vec<InjectedFault>,
    planned: usize,
    missing: usize,
    outcomes: BTreeMap<&'static str, u64>,
    reasons: Vec<(String, u64)>,
    unread: Vec<String>,
    violations: Violations,
}

/// Injects random faults under moderate load. Any violation and any request without a record fail the
/// command.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start or a fault cannot be injected.
pub async fn soak(options: &SoakOptions) -> Result<Verdict> {
    let length = Duration::from_secs(options.seconds);
    let plan = RunPlan {
        scenario: options.scenario.clone(),
        seed: options.seed,
        length,
        load: options.load,
        arrivals: Arrivals::Poisson,
        retries: options.retries,
        faults: random_faults(options.seed, options.seconds * 1_000),
        replace: true,
    };
    // The seed is printed first, so that it is known even if the run does not end.
    print(&format!(
        "soak seed={} scenario={} profile={} seconds={} load={}",
        options.seed,
        plan.scenario.name,
        build_profile(),
        options.seconds,
        options.load
    ))?;
    let result = execute_plan(&plan, options.site_options.binaries()?).await?;
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
    print_report(&report)?;
    write_json(options.site_options.json.as_deref(), &report)?;
    Ok(Verdict::of(report.violations.total() == 0 && report.missing == 0))
}

fn print_report(report: &SoakReport) -> Result<()> {
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
