//! Starts the deployment of a scenario, runs load and faults, and collects the result.

use std::rc::Rc;
use std::time::{Duration, Instant};

use banyannotch_standins::harness::Binaries;

use super::sender::Sender;
use super::{Balancer, Record, RunOptions, RunReport, plot};
use crate::bound::{Bound, MixMeans, bound};
use crate::faults::{FaultPlan, InjectedFault, Injector, Observed};
use crate::layout::start;
use crate::machine::MachineSample;
use crate::report::{print, write_json};
use crate::scenario::{Scenario, document};
use crate::workload::{Arrivals, means, schedule};
use crate::{Result, Verdict};

/// Time from the setup of the load generator to the start of the load.
const START_DELAY: Duration = Duration::from_millis(300);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Deployment and load.
    pub scenario: Scenario,
    /// Seed of the requests, arrivals and fault targets.
    pub seed: u64,
    /// Duration of the load.
    pub length: Duration,
    /// Offered rate of generations, as a multiple of the bound.
    pub load: f64,
    /// Variation of the arrival rate.
    pub arrivals: Arrivals,
    /// Maximum number of retries of a request.
    pub retries: usize,
    /// Faults to inject.
    pub faults: Vec<FaultPlan>,
    /// Whether killed instances are replaced.
    pub replace: bool,
}

/// Raw result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// Throughput bound of the complete layout.
    pub bound: Bound,
    /// Mean lengths of the generations.
    pub mix: MixMeans,
    /// Number of planned requests.
    pub planned: usize,
    /// Records of the requests that ended.
    pub records: Vec<Record>,
    /// Bounds of the working engines in requests per second, each with the time in microseconds from which it
    /// applies.
    pub bounds: Vec<(u64, f64)>,
    /// Injected faults.
    pub injected: Vec<InjectedFault>,
    /// Counts of the stand-ins and the entries.
    pub observed: Observed,
    /// Busy share of all processors during the load, over all programs on the machine.
    pub busy: f64,
}

/// Runs a scenario and prints its report. Any violation fails the command.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start, a fault cannot be injected, or a file
/// cannot be written.
pub async fn run(options: &RunOptions) -> Result<Verdict> {
    let mut scenario = options.scenario.clone();
    scenario.layout.prefix_cache = options.prefix_cache;
    let plan = RunPlan {
        scenario,
        seed: options.seed,
        length: Duration::from_secs(options.seconds),
        load: options.load,
        arrivals: options.arrivals,
        retries: options.retries,
        faults: options.faults.clone(),
        replace: options.replace,
    };
    let result = execute_plan(&plan, options.site_options.binaries()?).await?;
    let warm_up = Duration::from_secs(options.warm_up_seconds);
    let report = RunReport::new(&plan, &result, warm_up, Duration::from_millis(options.window_ms));
    print(&report.to_string())?;
    write_json(options.site_options.json.as_deref(), &report)?;
    if let Some(path) = &options.plot {
        plot::draw(path, &report)?;
    }
    Ok(Verdict::of(report.violations.total() == 0))
}

/// Starts the deployment of a plan and runs its load and faults.
///
/// # Errors
/// Returns [`crate::LoadError`] when the deployment does not start or a fault cannot be injected.
pub async fn execute_plan(plan: &RunPlan, binaries: Binaries) -> Result<RunResult> {
    let scenario = &plan.scenario;
    let (mix, generations) = means(&scenario.mix, scenario.layout.prefix_cache > 0);
    let bound = bound(&scenario.layout, mix);
    let rate_per_s = plan.load * bound.requests_per_s / generations.max(f64::MIN_POSITIVE);
    let length_s = plan.length.as_secs_f64();
    let requests = schedule(plan.seed, &scenario.mix, &scenario.teams, plan.arrivals, rate_per_s, length_s);
    let planned = requests.len();

    let site = start(binaries, scenario.layout.clone(), &document(&scenario.teams)).await?;
    let balancer = Rc::new(Balancer::new(site.deployment.entries.iter().map(|entry| entry.callers)));
    let watch = actix_rt::spawn(Rc::clone(&balancer).watch());
    let mut injector = Injector::new(site, Rc::clone(&balancer), mix, plan.seed, plan.replace);
    let begin = Instant::now() + START_DELAY;
    let sender = Rc::new(Sender::new(balancer, &scenario.teams, plan.retries, begin));
    let machine = MachineSample::take();
    let sending = actix_rt::spawn(sender.send_all(requests));
    injector.run(begin, begin + plan.length, &plan.faults).await?;
    let records = sending.await.unwrap_or_default();
    let busy = MachineSample::take().busy_since(&machine);
    watch.abort();
    let bounds = injector.bounds().to_vec();
    let (observed, injected, _site) = injector.finish().await;
    Ok(RunResult { bound, mix, planned, records, bounds, injected, observed, busy })
}
