//! Simulated batching engines: passes, KV memory, slots, a queue, and preemption when the memory runs out.

use crate::gateway::{Endpoint, Pipeline};
use crate::pipeline::{Address, LayerRange};

/// Number of requests that wait at the first engine of a path before further ones are rejected.
const QUEUE_LIMIT: usize = 4;
/// Factor on the duration of a pass that also processes a part of a prompt.
const PREFILL_PASS_FACTOR: f64 = 1.5;

/// A request at the engines of its path.
#[derive(Clone, Debug)]
pub struct Job {
    pub gateway: usize,
    pub ticket: u64,
    /// Index of each engine of the path and the number of layers that it runs.
    pub hops: Vec<(usize, f64)>,
    pub prompt_tokens: f64,
    pub answer_tokens: f64,
    generated_tokens: f64,
    stage: Stage,
    has_begun: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Queued,
    /// The prompt is processed by the engine with this index on the path.
    Prefill {
        hop: usize,
        done_tokens: f64,
    },
    Decoding,
}

/// What happened to a request at the engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    Begun { gateway: usize, ticket: u64 },
    Completed { gateway: usize, ticket: u64 },
}

impl Job {
    pub fn new(gateway: usize, ticket: u64, hops: Vec<(usize, f64)>, prompt: f64, answer: f64) -> Self {
        Self {
            gateway,
            ticket,
            hops,
            prompt_tokens: prompt,
            answer_tokens: answer,
            generated_tokens: 0.0,
            stage: Stage::Queued,
            has_begun: false,
        }
    }

    fn tokens(&self) -> f64 {
        self.prompt_tokens + self.generated_tokens
    }
}

/// State of one engine.
#[derive(Clone, Debug)]
struct Engine {
    address: Address,
    /// KV memory, in tokens times layers.
    memory: f64,
    slots: usize,
    step_factor: f64,
    read_factor: f64,
    /// Share of the model's layers that the engine holds.
    model_share: f64,
    used_memory: f64,
    running: usize,
    decoding: usize,
    /// Whether the engine processes prompts.
    is_reading: bool,
    /// Sum over the measured ticks of the used share of the memory or the slots.
    filled: f64,
}

/// All engines and the requests at them, in the order in which they arrived.
#[derive(Debug)]
pub struct Engines {
    pipeline: Pipeline,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    measured_ticks: u64,
    pub preemptions: u64,
    /// Tokens that were processed again after a preemption.
    pub reprocessed_tokens: f64,
    pub processed_tokens: f64,
}

impl Engines {
    pub fn new(pipeline: &Pipeline, endpoints: &[Endpoint]) -> Self {
        let engine = |endpoint: &Endpoint| {
            let kind = pipeline.accelerator(endpoint.accelerator.as_deref()?)?;
            let layers = endpoint.layers?.len();
            Some(Engine {
                address: endpoint.address,
                memory: pipeline.cache_size(kind.memory_mb, layers),
                slots: endpoint.slots as usize,
                step_factor: kind.step_factor,
                read_factor: kind.read_factor,
                model_share: f64::from(layers) / f64::from(pipeline.layers),
                used_memory: 0.0,
                running: 0,
                decoding: 0,
                is_reading: false,
                filled: 0.0,
            })
        };
        Self {
            pipeline: pipeline.clone(),
            engines: endpoints.iter().filter_map(engine).collect(),
            jobs: Vec::new(),
            measured_ticks: 0,
            preemptions: 0,
            reprocessed_tokens: 0.0,
            processed_tokens: 0.0,
        }
    }

    pub fn hops(&self, path: &[(Address, LayerRange)]) -> Vec<(usize, f64)> {
        let index = |address| self.engines.iter().position(|engine| engine.address == address);
        path.iter()
            .map(|(address, layers)| {
                (index(*address).expect("the path names a known engine"), f64::from(layers.len()))
            })
            .collect()
    }

    /// Queues a request, or returns the engine that has no room for it.
    pub fn accept(&mut self, job: Job) -> Result<(), Address> {
        let first = job.hops[0].0;
        let is_queued = |other: &&Job| other.stage == Stage::Queued && other.hops[0].0 == first;
        let lacking = self.lacking(&job);
        if let Some(lacking) = lacking
            && self.jobs.iter().filter(is_queued).count() >= QUEUE_LIMIT
        {
            return Err(self.engines[lacking].address);
        }
        self.jobs.push(job);
        Ok(())
    }

    /// Removes a request whose time is over.
    pub fn cancel(&mut self, gateway: usize, ticket: u64) {
        if let Some(index) = self.jobs.iter().position(|job| (job.gateway, job.ticket) == (gateway, ticket)) {
            let job = self.jobs.remove(index);
            self.release(&job);
        }
    }

    /// Index of an engine that has no slot or no memory for a request.
    fn lacking(&self, job: &Job) -> Option<usize> {
        let first = job.hops[0].0;
        if self.engines[first].running >= self.engines[first].slots {
            return Some(first);
        }
        let lacks = |hop: &&(usize, f64)| {
            let engine = &self.engines[hop.0];
            engine.used_memory + job.tokens() * hop.1 > engine.memory
        };
        job.hops.iter().find(lacks).map(|hop| hop.0)
    }

    fn release(&mut self, job: &Job) {
        if job.stage == Stage::Queued {
            return;
        }
        self.engines[job.hops[0].0].running -= 1;
        for (engine, layers) in &job.hops {
            let engine = &mut self.engines[*engine];
            engine.used_memory = (engine.used_memory - job.tokens() * layers).max(0.0);
            engine.decoding -= usize::from(job.stage == Stage::Decoding);
        }
    }

    /// Advances all engines by one tick.
    pub fn advance(&mut self, tick_ms: f64, is_measured: bool) -> Vec<Progress> {
        let mut progress = Vec::new();
        self.start_queued();
        self.process_prompts(tick_ms, &mut progress);
        self.decode(tick_ms, &mut progress);
        self.preempt();
        if is_measured {
            self.measured_ticks += 1;
            for engine in &mut self.engines {
                let memory_share = engine.used_memory / engine.memory;
                engine.filled += memory_share.max(engine.running as f64 / engine.slots as f64);
            }
        }
        progress
    }

    fn start_queued(&mut self) {
        let mut blocked = vec![false; self.engines.len()];
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            let first = job.hops[0].0;
            if job.stage != Stage::Queued || blocked[first] {
                continue;
            }
            if self.lacking(job).is_some() {
                blocked[first] = true;
                continue;
            }
            self.engines[first].running += 1;
            for (engine, layers) in &self.jobs[index].hops {
                self.engines[*engine].used_memory += self.jobs[index].tokens() * layers;
            }
            self.jobs[index].stage = Stage::Prefill { hop: 0, done_tokens: 0.0 };
        }
    }

    /// Each engine processes prompts in the order of arrival, in the time that decoding leaves.
    fn process_prompts(&mut self, tick_ms: f64, progress: &mut Vec<Progress>) {
        let (step_ms, sequence_ms) = (self.pipeline.step_ms, self.pipeline.sequence_ms);
        let tokens_per_ms = self.pipeline.prefill_tokens_per_s / 1_000.0;
        let mut free_ms: Vec<f64> = Vec::with_capacity(self.engines.len());
        for engine in &mut self.engines {
            engine.is_reading = false;
            let sequences_ms = sequence_ms * engine.decoding as f64;
            free_ms.push(tick_ms * (1.0 - sequences_ms / (step_ms + sequences_ms)));
        }
        for job in &mut self.jobs {
            let Stage::Prefill { hop, done_tokens } = job.stage else { continue };
            let engine = &mut self.engines[job.hops[hop].0];
            let token_ms = engine.read_factor * engine.model_share / tokens_per_ms;
            let free_ms = &mut free_ms[job.hops[hop].0];
            let tokens = (*free_ms / token_ms).min(job.tokens() - done_tokens);
            *free_ms -= tokens * token_ms;
            engine.is_reading = true;
            self.processed_tokens += tokens * engine.model_share;
            let done_tokens = done_tokens + tokens;
            job.stage = if done_tokens < job.tokens() - 1e-6 {
                Stage::Prefill { hop, done_tokens }
            } else if hop + 1 < job.hops.len() {
                Stage::Prefill { hop: hop + 1, done_tokens: 0.0 }
            } else {
                for (engine, _) in &job.hops {
                    self.engines[*engine].decoding += 1;
                }
                if !job.has_begun {
                    job.has_begun = true;
                    progress.push(Progress::Begun { gateway: job.gateway, ticket: job.ticket });
                }
                Stage::Decoding
            };
        }
    }

    /// A token passes all engines of the path; each adds the duration of its pass.
    fn decode(&mut self, tick_ms: f64, progress: &mut Vec<Progress>) {
        let pass_ms = |engine: &Engine| {
            let sequences_ms = self.pipeline.sequence_ms * engine.decoding as f64;
            let factor = if engine.is_reading { PREFILL_PASS_FACTOR } else { 1.0 };
            (self.pipeline.step_ms + sequences_ms) * engine.step_factor * engine.model_share * factor
        };
        let passes_ms: Vec<f64> = self.engines.iter().map(pass_ms).collect();
        let mut completed = Vec::new();
        for job in self.jobs.iter_mut().filter(|job| job.stage == Stage::Decoding) {
            let token_ms: f64 = job.hops.iter().map(|(engine, _)| passes_ms[*engine]).sum();
            let tokens = (tick_ms / token_ms).min(job.answer_tokens - job.generated_tokens);
            job.generated_tokens += tokens;
            for (engine, layers) in &job.hops {
                self.engines[*engine].used_memory += tokens * layers;
            }
            if job.generated_tokens >= job.answer_tokens - 1e-6 {
                completed.push((job.gateway, job.ticket));
            }
        }
        for (gateway, ticket) in completed {
            self.cancel(gateway, ticket);
            progress.push(Progress::Completed { gateway, ticket });
        }
    }

    /// An engine that runs out of memory preempts its newest request, whose tokens are processed again later.
    fn preempt(&mut self) {
        for index in 0..self.engines.len() {
            while self.engines[index].used_memory > self.engines[index].memory {
                let uses = |job: &Job| {
                    job.stage != Stage::Queued && job.hops.iter().any(|(engine, _)| *engine == index)
                };
                let Some(newest) = self.jobs.iter().rposition(uses) else { break };
                let job = self.jobs[newest].clone();
                self.release(&job);
                self.jobs[newest].stage = Stage::Queued;
                self.preemptions += 1;
                self.reprocessed_tokens += job.tokens();
            }
        }
    }

    /// Returns the mean used share of the engines with each speed.
    pub fn utilizations_by_speed(&self) -> Vec<(f64, f64)> {
        let mut speeds: Vec<f64> = self.engines.iter().map(|engine| engine.step_factor).collect();
        speeds.sort_by(f64::total_cmp);
        speeds.dedup();
        let mean = |speed: f64| {
            let same: Vec<&Engine> =
                self.engines.iter().filter(|engine| engine.step_factor == speed).collect();
            let filled: f64 = same.iter().map(|engine| engine.filled).sum();
            (speed, filled / (same.len() as f64 * self.measured_ticks.max(1) as f64))
        };
        speeds.into_iter().map(mean).collect()
    }

    /// Returns the mean used share of each engine's capacity.
    pub fn utilizations(&self) -> Vec<f64> {
        self.engines.iter().map(|engine| engine.filled / self.measured_ticks.max(1) as f64).collect()
    }
}
