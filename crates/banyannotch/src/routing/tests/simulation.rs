//! Compares [`ExpectedTime`] with the baselines in a discrete-event simulation, in which several entries
//! place requests on simulated engines. Guards against herding on lagging reports and against ignoring slow
//! endpoints or links. No thread runs and nothing sleeps.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use super::fixtures::{LAYERS, configuration, context, engine, generation, send, table};
use crate::ids::RequestId;
use crate::membership::Endpoint;
use crate::random::Random;
use crate::routing::{
    Action, Assignment, Balance, Event, ExpectedTime, LeastReported, Observation, RoundRobin, Routing,
    Uniform,
};

const ENTRIES: usize = 6;
const STAGES: u16 = 4;
const REPLICAS: usize = 9;
const REQUESTS: usize = 1_500;
/// Maximum number of tokens of a request. The numbers are distributed uniformly from 1.
const MAX_TOKENS: u32 = 15;
const SEEDS: [u64; 3] = [7, 8, 9];
const REPORT_INTERVAL_US: u64 = 250_000;
const REPORT_LAG_US: u64 = 200_000;

/// Maximum number of steps that a simulated engine runs in one batch.
const BATCH: usize = 4;

/// Time that each step adds to a batch, as a share of the engine's step time.
const BATCH_STEP_SHARE: f64 = 0.25;

/// Parameters that differ between the scenarios.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    /// Offered load as a share of the capacity of the engines.
    load: f64,
    /// Step times of the engines, repeated over the replicas of a range.
    step_us: [u64; 3],
    /// Round trip to the first replica of each range; 0 to the others.
    degraded_link_us: u64,
}

const SCENARIOS: [Scenario; 3] = [
    Scenario { name: "equal engines", load: 0.85, step_us: [2_000, 2_000, 2_000], degraded_link_us: 0 },
    Scenario {
        name: "engines of three speeds",
        load: 0.7,
        step_us: [1_000, 2_000, 4_000],
        degraded_link_us: 0,
    },
    Scenario { name: "slow links", load: 0.7, step_us: [2_000, 2_000, 2_000], degraded_link_us: 20_000 },
];

/// Waiting time of the requests of one run: the time beyond that of the same request on idle engines without
/// slow links.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    mean_us: f64,
    p99_us: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimulationEvent {
    Arrive(usize),
    StepArrives { request: usize, endpoint: usize },
    BatchEnds { endpoint: usize },
    StepAnswered { request: usize, endpoint: usize },
    TakeReports,
    DeliverReports(usize),
}

#[derive(Debug, Default)]
struct Engine {
    step_us: u64,
    link_us: u64,
    waiting: VecDeque<usize>,
    running: Vec<usize>,
}

#[derive(Debug, Default)]
struct RequestRun {
    arrived_us: u64,
    stages: Vec<usize>,
    stage: usize,
    /// Number of tokens that have not been generated yet.
    tokens: u32,
    steps: u32,
    sent_us: u64,
}

struct Simulation<B> {
    scenario: Scenario,
    entries: Vec<Routing<B>>,
    endpoints: Vec<Endpoint>,
    engines: Vec<Engine>,
    runs: Vec<RequestRun>,
    events: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    sequence: u64,
    reports: Vec<Vec<Endpoint>>,
    waits_us: Vec<u64>,
}

fn run<B: Balance + Clone>(scenario: Scenario, seed: u64, balance: &B) -> Waiting {
    let mut endpoints = Vec::new();
    let mut engines = Vec::new();
    let width = LAYERS / STAGES;
    for stage in 0..STAGES {
        for replica in 0..REPLICAS {
            let mut endpoint = engine(&format!("e{stage}{replica}"), stage * width, (stage + 1) * width);
            let step_us = scenario.step_us[replica % 3];
            endpoint.load.step_us = step_us;
            endpoints.push(endpoint);
            let link_us = if replica == 0 { scenario.degraded_link_us } else { 0 };
            engines.push(Engine { step_us, link_us, ..Engine::default() });
        }
    }
    let entries = (0..ENTRIES as u64)
        .map(|entry| Routing::new(seed * 100 + entry, context(), balance.clone()))
        .collect();
    let mut simulation = Simulation {
        scenario,
        entries,
        endpoints,
        engines,
        runs: Vec::new(),
        events: BinaryHeap::new(),
        sequence: 0,
        reports: Vec::new(),
        waits_us: Vec::new(),
    };
    simulation.run(seed)
}

impl<B: Balance> Simulation<B> {
    fn run(&mut self, seed: u64) -> Waiting {
        self.schedule_arrivals(seed);
        self.schedule(0, SimulationEvent::TakeReports);
        let configured = configuration(1, &[]);
        for entry in &mut self.entries {
            send(entry, 0, Event::Configured(configured.clone()));
            send(entry, 0, table(self.endpoints.clone()));
        }
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            self.handle(now_us, event);
        }
        assert_eq!(self.waits_us.len(), REQUESTS, "not every request finished");
        for entry in &self.entries {
            assert_eq!(entry.totals(), (0, 0), "own work is still counted after all requests ended");
        }
        self.waits_us.sort_unstable();
        let mean_us = self.waits_us.iter().sum::<u64>() as f64 / REQUESTS as f64;
        Waiting { mean_us, p99_us: self.waits_us[REQUESTS * 99 / 100] as f64 }
    }

    fn schedule_arrivals(&mut self, seed: u64) {
        let mut random = Random::seeded(seed);
        let batch_factor = 1.0 + BATCH_STEP_SHARE * BATCH as f64;
        let steps_per_us: f64 = (0..REPLICAS)
            .map(|replica| BATCH as f64 / (self.scenario.step_us[replica % 3] as f64 * batch_factor))
            .sum();
        let rate = self.scenario.load * steps_per_us / f64::from(MAX_TOKENS.midpoint(1));
        let mut at_us = 0.0;
        for request in 0..REQUESTS {
            at_us += -(1.0 - random.unit()).ln() / rate;
            let tokens = 1 + random.below(MAX_TOKENS as usize) as u32;
            self.runs.push(RequestRun { arrived_us: at_us as u64, tokens, ..RequestRun::default() });
            self.schedule(at_us as u64, SimulationEvent::Arrive(request));
        }
    }

    fn schedule(&mut self, at_us: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn handle(&mut self, now_us: u64, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive(request) => self.arrive(now_us, request),
            SimulationEvent::StepArrives { request, endpoint } => {
                self.engines[endpoint].waiting.push_back(request);
                self.begin_batch(now_us, endpoint);
            }
            SimulationEvent::BatchEnds { endpoint } => {
                let link_us = self.engines[endpoint].link_us;
                for request in std::mem::take(&mut self.engines[endpoint].running) {
                    self.schedule(now_us + link_us / 2, SimulationEvent::StepAnswered { request, endpoint });
                }
                self.begin_batch(now_us, endpoint);
            }
            SimulationEvent::StepAnswered { request, endpoint } => self.answer(now_us, request, endpoint),
            SimulationEvent::TakeReports => self.take_reports(now_us),
            SimulationEvent::DeliverReports(number) => {
                for entry in &mut self.entries {
                    send(entry, now_us, table(self.reports[number].clone()));
                }
            }
        }
    }

    fn arrive(&mut self, now_us: u64, request: usize) {
        let submission = generation(request as u128, &format!("{request}"), &configuration(1, &[]));
        let actions = send(&mut self.entries[request % ENTRIES], now_us, Event::Place(submission));
        let route = actions.iter().find_map(|action| match action {
            Action::Start(start) => match start.assignment.as_ref() {
                Ok(Assignment::Pipeline { route, .. }) => Some(route),
                _ => None,
            },
            _ => None,
        });
        let stages = route.expect("a route").stages();
        let index_of = |name| self.endpoints.iter().position(|endpoint| endpoint.id == name).expect("listed");
        self.runs[request].stages =
            stages.iter().map(|stage| index_of(stage.target.endpoint.clone())).collect();
        self.send_step(now_us, request);
    }

    fn send_step(&mut self, now_us: u64, request: usize) {
        let run = &mut self.runs[request];
        run.sent_us = now_us;
        let endpoint = run.stages[run.stage];
        let link_us = self.engines[endpoint].link_us;
        self.schedule(now_us + link_us / 2, SimulationEvent::StepArrives { request, endpoint });
    }

    fn begin_batch(&mut self, now_us: u64, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        if !engine.running.is_empty() || engine.waiting.is_empty() {
            return;
        }
        let count = engine.waiting.len().min(BATCH);
        engine.running = engine.waiting.drain(..count).collect();
        let factor = 1.0 + BATCH_STEP_SHARE * count as f64;
        let end_us = now_us + (engine.step_us as f64 * factor) as u64;
        self.schedule(end_us, SimulationEvent::BatchEnds { endpoint });
    }

    fn answer(&mut self, now_us: u64, request: usize, endpoint: usize) {
        let entry = &mut self.entries[request % ENTRIES];
        let run = &mut self.runs[request];
        let observation = Observation {
            endpoint: self.endpoints[endpoint].id.clone(),
            positions: 1,
            elapsed_us: now_us - run.sent_us,
        };
        send(entry, now_us, Event::Observed(vec![observation]));
        run.stage += 1;
        if run.stage == usize::from(STAGES) {
            run.stage = 0;
            run.tokens -= 1;
        }
        run.steps += 1;
        if run.tokens > 0 {
            return self.send_step(now_us, request);
        }
        let idle_us = self.scenario.step_us[0] as f64 * (1.0 + BATCH_STEP_SHARE);
        let idle_total_us = (idle_us * f64::from(run.steps)) as u64;
        self.waits_us.push((now_us - run.arrived_us).saturating_sub(idle_total_us));
        send(entry, now_us, Event::Finished(RequestId(request as u128)));
    }

    fn take_reports(&mut self, now_us: u64) {
        for (endpoint, engine) in self.endpoints.iter_mut().zip(&self.engines) {
            endpoint.load.running = engine.running.len() as u32;
            endpoint.load.queued = engine.waiting.len() as u32;
            endpoint.load.taken_us = now_us.max(1);
        }
        self.reports.push(self.endpoints.clone());
        self.schedule(now_us + REPORT_LAG_US, SimulationEvent::DeliverReports(self.reports.len() - 1));
        if self.waits_us.len() < REQUESTS {
            self.schedule(now_us + REPORT_INTERVAL_US, SimulationEvent::TakeReports);
        }
    }
}

/// Returns the mean over the runs with all seeds.
fn measure<B: Balance + Clone>(scenario: Scenario, balance: &B) -> Waiting {
    let runs = SEEDS.map(|seed| run(scenario, seed, balance));
    let mean = |figure: fn(&Waiting) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
    Waiting { mean_us: mean(|run| run.mean_us), p99_us: mean(|run| run.p99_us) }
}

fn assert_less_waiting_than_each_baseline(scenario: Scenario) {
    let own = measure(scenario, &ExpectedTime::default());
    let baselines = [
        ("random", measure(scenario, &Uniform)),
        ("round robin", measure(scenario, &RoundRobin::default())),
        ("least reported load", measure(scenario, &LeastReported)),
    ];
    println!("{}: own {own:.0?}", scenario.name);
    for (name, baseline) in &baselines {
        let (mean, p99) = (own.mean_us / baseline.mean_us, own.p99_us / baseline.p99_us);
        println!("  {name}: {baseline:.0?}, own/baseline mean {mean:.3} p99 {p99:.3}");
    }
    for (name, baseline) in &baselines {
        assert!(
            own.mean_us < baseline.mean_us,
            "{}: mean waiting is {:.0} us, expected less than the {:.0} us of {name}",
            scenario.name,
            own.mean_us,
            baseline.mean_us
        );
        assert!(
            own.p99_us < baseline.p99_us,
            "{}: p99 of waiting is {:.0} us, expected less than the {:.0} us of {name}",
            scenario.name,
            own.p99_us,
            baseline.p99_us
        );
    }
}

#[test]
fn expected_time_waits_less_than_the_baselines_with_equal_engines() {
    assert_less_waiting_than_each_baseline(SCENARIOS[0]);
}

#[test]
fn expected_time_waits_less_than_the_baselines_with_engines_of_three_speeds() {
    assert_less_waiting_than_each_baseline(SCENARIOS[1]);
}

#[test]
fn expected_time_waits_less_than_the_baselines_with_slow_links() {
    assert_less_waiting_than_each_baseline(SCENARIOS[2]);
}
