//! Policy of an engine: continuous batching of the queued steps.

use banyannotch::backing::Fencing;
use banyannotch::clock::US_PER_MS;
use banyannotch::duty::Duty;
use banyannotch::engine::{CacheName, CacheState, EngineLoad, Input, Order, Output, StepAnswer, StepRequest};
use banyannotch::ids::FencingNumber;
use banyannotch::pipeline::LayerRange;

use super::caches::{Cache, Caches};
use super::load::LoadHistory;
use super::prefixes::{EventLog, PrefixCache};
use super::queue::{QueuedStep, StepQueue};
use super::runs::RunLog;
use super::{Answer, Counts, EngineFaults, EngineSettings, Message, Refused, Result};
use crate::control::take_one;
use crate::model::{Model, input_values};
use crate::process::{Arrival, CRASH_EXIT_CODE, Effect, Pacer, Ticket};

/// Smoothing of the mean step time: the newest batch has a weight of one in this many.
const MEAN_STEP_SMOOTHING: u64 = 8;

/// Number of sweeps for idle caches per idle time.
const SWEEPS_PER_IDLE_TIME: u64 = 4;

type Effects = Vec<Effect<Answer>>;

/// A running batch. Its answers are computed when it starts and sent when its planned time has passed.
#[derive(Debug)]
struct Batch {
    begin_us: u64,
    planned_us: u64,
    step_count: u32,
    answers: Vec<(Ticket, Answer)>,
}

/// Loading of layers in progress.
#[derive(Debug)]
struct Loading {
    loaded_at_us: u64,
}

/// State of an engine: its model and layers, caches, step queue and running batch.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    faults: EngineFaults,
    model: Model,
    layers: LayerRange,
    fencing: FencingNumber,
    loading: Option<Loading>,
    caches: Caches,
    queue: StepQueue,
    batch: Option<Batch>,
    pacer: Pacer,
    finished_batches: u64,
    mean_step_us: u64,
    prefixes: PrefixCache,
    events: EventLog,
    load_history: LoadHistory,
    runs: RunLog,
    counts: Counts,
    next_sweep_us: Option<u64>,
    /// Messages that arrived while the `freeze` fault was active.
    deferred: Vec<Arrival<Message>>,
}

impl Engine {
    /// Creates an engine with the model and layers of its settings loaded.
    pub fn new(settings: EngineSettings) -> Self {
        let sweep_us = settings.idle_cache_ms * US_PER_MS / SWEEPS_PER_IDLE_TIME;
        let mut engine = Self {
            faults: settings.faults.clone(),
            model: settings.model.clone(),
            layers: settings.layers,
            fencing: FencingNumber(0),
            loading: None,
            caches: Caches::default(),
            queue: StepQueue::default(),
            batch: None,
            pacer: Pacer::default(),
            finished_batches: 0,
            mean_step_us: 0,
            prefixes: PrefixCache::new(settings.prefix_cache),
            events: EventLog::new(settings.event_lag_ms, settings.event_gap_every),
            load_history: LoadHistory::new(settings.load_lag_ms),
            runs: RunLog::default(),
            counts: Counts::default(),
            next_sweep_us: (sweep_us > 0).then_some(sweep_us),
            deferred: Vec::new(),
            settings,
        };
        engine.mean_step_us = engine.batch_us(1, 0);
        engine.load_history.record(0, engine.current_load());
        engine
    }

    fn on_message(&mut self, now_us: u64, ticket: Ticket, message: Message, effects: &mut Effects) {
        let answer = match message {
            Message::Step(step) => return self.on_step(ticket, step, effects),
            Message::Cancel(name) => Ok(self.cancel(name, effects)),
            Message::Export(name) => self.export(name),
            Message::Import(state) => self.import(now_us, state),
            Message::Load => Ok(self.lagging_load(now_us)),
            Message::CacheEvents { from } => Ok(Answer::CacheEvents(self.events.page(now_us, from))),
            Message::Order(order) => self.order(now_us, order, effects),
            Message::SetFaults(patch) => {
                self.faults.merge(patch);
                Ok(Answer::Faults(self.faults.clone()))
            }
            Message::Counts => Ok(Answer::Counts(self.current_counts())),
            Message::Requests => Ok(Answer::Requests(self.runs.newest())),
        };
        self.send(ticket, answer, effects);
    }

    fn send(&mut self, ticket: Ticket, answer: Result<Answer>, effects: &mut Effects) {
        let answer = answer.unwrap_or_else(|refused| {
            self.counts.refused += 1;
            Answer::Refused(refused)
        });
        let control = matches!(answer, Answer::Faults(_) | Answer::Counts(_) | Answer::Requests(_));
        let delay_us = if control { 0 } else { self.faults.link_delay_us };
        effects.push(Effect::Send { ticket, answer, delay_us });
    }

    fn on_step(&mut self, ticket: Ticket, step: StepRequest, effects: &mut Effects) {
        let values = input_values(&step.input);
        match self.admit(&step, values.len()) {
            Err(refused) => self.send(ticket, Err(refused), effects),
            Ok(()) if take_one(&mut self.faults.freeze_next) => effects.push(Effect::Withhold { ticket }),
            Ok(()) => self.queue.push(QueuedStep { ticket, step, values }),
        }
    }

    /// Checks a step on arrival. If other steps of its cache are queued, its position is not checked yet.
    /// Position and cache capacity are checked when its batch starts, after the earlier steps have run.
    fn admit(&self, step: &StepRequest, count: usize) -> Result<()> {
        self.check_target(step)?;
        self.check_input(step, count)?;
        if self.queue.len() >= self.settings.queue_limit {
            return Err(Refused::Busy { reason: "the queue is full" });
        }
        if !self.queue.contains_cache(step.cache) {
            self.check_cache(step)?;
        }
        self.check_cache_capacity(self.queue.positions() + count as u64)
    }

    fn check_target(&self, step: &StepRequest) -> Result<()> {
        if !self.faults.refuse.is_empty() {
            return Err(Refused::Fault { error: self.faults.refuse.clone() });
        }
        if self.loading.is_some() {
            return Err(Refused::Busy { reason: "layers are loading" });
        }
        if step.model != self.model.name {
            return Err(Refused::UnknownModel { held: self.model.name.clone() });
        }
        if step.version != self.model.version {
            return Err(Refused::WrongVersion { held: self.model.version });
        }
        if step.layers != self.layers {
            return Err(Refused::WrongLayers { held: self.layers });
        }
        Ok(())
    }

    fn check_input(&self, step: &StepRequest, count: usize) -> Result<()> {
        let first_stage = self.layers.begin == 0;
        let expected = match &step.input {
            _ if count == 0 => "at least one position",
            Input::Hidden { .. } if first_stage => "a prompt or tokens",
            Input::Prompt { .. } | Input::Tokens { .. } if !first_stage => "hidden values",
            Input::Prompt { .. } if step.position != 0 => "position 0 for a prompt",
            _ if u32::try_from(count).ok().and_then(|count| step.position.checked_add(count)).is_none() => {
                "a position below 2^32"
            }
            _ => return Ok(()),
        };
        Err(Refused::BadInput { expected })
    }

    fn check_cache(&self, step: &StepRequest) -> Result<()> {
        let positions = self.caches.positions_of(step.cache);
        if step.position != positions {
            return Err(Refused::CacheMismatch { positions });
        }
        if self.faults.leaving && positions == 0 {
            return Err(Refused::Leaving);
        }
        Ok(())
    }

    fn check_cache_capacity(&self, additional: u64) -> Result<()> {
        if self.caches.positions() + additional > self.settings.cache_limit {
            return Err(Refused::Busy { reason: "the cache is full" });
        }
        Ok(())
    }

    fn start_batch(&mut self, now_us: u64, effects: &mut Effects) {
        let steps = self.queue.take_batch(self.settings.batch_limit);
        if steps.iter().any(|queued| self.triggers_crash(&queued.step)) {
            effects.push(Effect::Exit { code: CRASH_EXIT_CODE });
            return;
        }
        let mut answers = Vec::with_capacity(steps.len());
        let mut prefill = 0;
        for queued in steps {
            let checked = self
                .check_cache(&queued.step)
                .and_then(|()| self.check_cache_capacity(queued.values.len() as u64));
            match checked {
                Err(refused) => self.send(queued.ticket, Err(refused), effects),
                Ok(()) => {
                    prefill += self.prefill_positions(now_us, &queued);
                    let answer = self.run_step(now_us, &queued);
                    answers.push((queued.ticket, Answer::Step(answer)));
                }
            }
        }
        if answers.is_empty() {
            return;
        }
        let step_count = answers.len() as u32;
        let duration_us = self.batch_us(u64::from(step_count), prefill);
        let step_us = self.batch_us(u64::from(step_count), 0);
        self.mean_step_us = (self.mean_step_us * (MEAN_STEP_SMOOTHING - 1) + step_us) / MEAN_STEP_SMOOTHING;
        self.counts.batches += 1;
        let planned_us = self.pacer.plan(duration_us);
        self.batch = Some(Batch { begin_us: now_us, planned_us, step_count, answers });
    }

    fn triggers_crash(&self, step: &StepRequest) -> bool {
        let text = &self.faults.crash_on;
        matches!(&step.input, Input::Prompt { prompt, .. } if !text.is_empty() && prompt.contains(text))
    }

    /// Returns the number of positions after the first that need prefill. At position 0, stores the input's
    /// prefix.
    fn prefill_positions(&mut self, now_us: u64, queued: &QueuedStep) -> u64 {
        let count = queued.values.len();
        if queued.step.position != 0 {
            return count as u64 - 1;
        }
        let cached = self.prefixes.cached_positions(&queued.values);
        let prompt = match &queued.step.input {
            Input::Prompt { prompt, .. } => Some(prompt.as_str()),
            Input::Tokens { .. } | Input::Hidden { .. } => None,
        };
        let mut changes = Vec::new();
        self.prefixes.store(&queued.values, prompt, &mut changes);
        for (kind, prefix) in changes {
            self.events.push(now_us, kind, prefix);
        }
        (count - 1).saturating_sub(cached) as u64
    }

    fn run_step(&mut self, now_us: u64, queued: &QueuedStep) -> StepAnswer {
        let step = &queued.step;
        let count = queued.values.len() as u32;
        let owner = (step.request, step.attempt);
        let mut cache = self.caches.take(step.cache).unwrap_or_else(|| Cache {
            id: step.cache,
            owner: None,
            positions: 0,
            states: self.model.initial_states(self.layers),
            last_used_us: now_us,
        });
        if *cache.owner.get_or_insert(owner) != owner {
            self.counts.foreign += 1;
        }
        let outputs: Vec<u64> = queued
            .values
            .iter()
            .map(|value| self.model.run_position(self.layers, &mut cache.states, *value))
            .collect();
        cache.positions += count;
        cache.last_used_us = now_us;
        self.caches.put(cache);
        self.count_step(step, count);
        StepAnswer {
            cache: step.cache,
            request: step.request,
            attempt: step.attempt,
            layers: step.layers,
            position: step.position,
            count,
            output: self.output(outputs),
        }
    }

    fn count_step(&mut self, step: &StepRequest, count: u32) {
        self.counts.steps += 1;
        self.counts.positions += u64::from(count);
        self.counts.layer_positions += u64::from(count) * u64::from(step.layers.len());
        self.counts.duplicates += self.runs.record(step, count);
    }

    fn output(&mut self, outputs: Vec<u64>) -> Output {
        if self.layers.end < self.settings.model_layers {
            return Output::Hidden(outputs);
        }
        self.counts.tokens += 1;
        Output::Token(self.model.token(outputs.last().copied().unwrap_or_default()))
    }

    /// Returns the time of a batch, in microseconds: for each layer, linear in the steps and the prefill
    /// positions.
    fn batch_us(&self, step_count: u64, prefill: u64) -> u64 {
        let settings = &self.settings;
        let layer_us = settings.step_us + settings.item_us * step_count + settings.prefill_us * prefill;
        self.scaled_us(layer_us * u64::from(self.layers.len()))
    }

    fn scaled_us(&self, time_us: u64) -> u64 {
        (time_us as f64 * self.faults.slow_factor.max(0.0)) as u64
    }

    fn finish_batch(&mut self, now_us: u64, effects: &mut Effects) {
        let Some(batch) = self.batch.take() else {
            return;
        };
        if batch.planned_us > 0 {
            self.pacer.record_elapsed(batch.planned_us, now_us.saturating_sub(batch.begin_us));
        }
        self.finished_batches += 1;
        for (ticket, answer) in batch.answers {
            if take_one(&mut self.faults.drop_answer_next) {
                self.counts.dropped_answers += 1;
                effects.push(Effect::Close { ticket });
            } else {
                self.send(ticket, Ok(answer), effects);
            }
        }
    }

    fn cancel(&mut self, name: CacheName, effects: &mut Effects) -> Answer {
        if self.caches.take(name.cache).is_some() {
            self.counts.cancelled += 1;
        }
        for queued in self.queue.take_cache(name.cache) {
            self.send(queued.ticket, Err(Refused::CacheMismatch { positions: 0 }), effects);
        }
        Answer::Done
    }

    fn export(&self, name: CacheName) -> Result<Answer> {
        let cache = self.caches.get(name.cache).ok_or(Refused::CacheMismatch { positions: 0 })?;
        let state = CacheState { cache: cache.id, positions: cache.positions, state: cache.states.clone() };
        Ok(Answer::State(state))
    }

    fn import(&mut self, now_us: u64, state: CacheState) -> Result<Answer> {
        if self.loading.is_some() {
            return Err(Refused::Busy { reason: "layers are loading" });
        }
        if self.faults.leaving {
            return Err(Refused::Leaving);
        }
        let positions = self.caches.positions_of(state.cache);
        if positions > 0 {
            return Err(Refused::CacheMismatch { positions });
        }
        if state.positions == 0 || state.state.len() != usize::from(self.layers.len()) {
            return Err(Refused::BadInput { expected: "positions, and one state for each layer" });
        }
        self.check_cache_capacity(u64::from(state.positions))?;
        let CacheState { cache: id, positions, state: states } = state;
        self.caches.put(Cache { id, owner: None, positions, states, last_used_us: now_us });
        Ok(Answer::Done)
    }

    fn order(&mut self, now_us: u64, order: Order, effects: &mut Effects) -> Result<Answer> {
        if self.settings.fencing == Fencing::Checked && order.fencing < self.fencing {
            return Err(Refused::StaleFencing { current: self.fencing });
        }
        if order.layers.is_empty() || order.layers.end > self.settings.model_layers {
            return Err(Refused::BadInput { expected: "a range of the model's layers" });
        }
        self.fencing = self.fencing.max(order.fencing);
        self.counts.orders += 1;
        let held = (&self.model.name, self.model.version, self.layers);
        if held != (&order.model, order.version, order.layers) {
            self.start_loading(now_us, order, effects);
        }
        Ok(Answer::Done)
    }

    /// Frees all caches and prefixes and starts loading the layers of an order. Queued steps are refused; the
    /// running batch is still answered, because its steps ran when it started.
    fn start_loading(&mut self, now_us: u64, order: Order, effects: &mut Effects) {
        self.model.name = order.model;
        self.model.version = order.version;
        self.layers = order.layers;
        self.loading = Some(Loading { loaded_at_us: now_us + self.settings.load_time_ms * US_PER_MS });
        self.caches.clear();
        let mut changes = Vec::new();
        self.prefixes.clear(&mut changes);
        for (kind, prefix) in changes {
            self.events.push(now_us, kind, prefix);
        }
        for queued in self.queue.take_batch(usize::MAX) {
            self.send(queued.ticket, Err(Refused::Busy { reason: "layers are loading" }), effects);
        }
    }

    fn current_counts(&self) -> Counts {
        Counts { caches: self.caches.len() as u64, ..self.counts }
    }

    fn current_load(&self) -> EngineLoad {
        EngineLoad {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            model: self.model.name.clone(),
            version: self.model.version,
            layers: self.layers,
            running: self.batch.as_ref().map_or(0, |batch| batch.step_count),
            queued: self.queue.len() as u32,
            batches: self.finished_batches,
            step_us: self.mean_step_us,
            prefill_us_per_position: self.scaled_us(self.settings.prefill_us * u64::from(self.layers.len())),
            cache_used: self.caches.positions(),
            cache_limit: self.settings.cache_limit,
            leaving: self.faults.leaving,
            age_ms: 0,
        }
    }

    fn lagging_load(&mut self, now_us: u64) -> Answer {
        let lagging = self.load_history.report(now_us).unwrap_or_else(|| self.current_load());
        Answer::Load(EngineLoad { batches: self.finished_batches, ..lagging })
    }

    fn free_idle_caches(&mut self, now_us: u64) {
        let idle_us = self.settings.idle_cache_ms * US_PER_MS;
        let Some(before_us) = now_us.checked_sub(idle_us) else {
            return;
        };
        let queue = &self.queue;
        self.counts.idle_freed += self.caches.free_idle(before_us, |cache| queue.contains_cache(cache));
    }

    /// Handles the deferred messages once the `freeze` fault is cleared.
    fn handle_deferred(&mut self, now_us: u64, effects: &mut Effects) {
        if self.faults.freeze {
            return;
        }
        for arrival in std::mem::take(&mut self.deferred) {
            self.on_message(now_us, arrival.ticket, arrival.message, effects);
        }
    }

    fn batch_due_us(&self) -> Option<u64> {
        match &self.batch {
            Some(batch) => Some(batch.begin_us + batch.planned_us),
            None => (!self.queue.is_empty()).then_some(0),
        }
    }
}

impl Duty for Engine {
    type Event = Arrival<Message>;
    type Action = Effect<Answer>;

    fn on_event(&mut self, now_us: u64, event: Self::Event, actions: &mut Effects) {
        if self.faults.freeze && !event.message.is_control() {
            self.deferred.push(event);
            return;
        }
        self.on_message(now_us, event.ticket, event.message, actions);
        self.handle_deferred(now_us, actions);
        let load = self.current_load();
        self.load_history.record(now_us, load);
    }

    fn next_timer_us(&self) -> Option<u64> {
        if self.faults.freeze {
            return None;
        }
        let loaded_us = self.loading.as_ref().map(|loading| loading.loaded_at_us);
        [self.batch_due_us(), loaded_us, self.next_sweep_us].into_iter().flatten().min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Effects) {
        if self.faults.freeze {
            return;
        }
        if self.loading.as_ref().is_some_and(|loading| loading.loaded_at_us <= now_us) {
            self.loading = None;
        }
        if let Some(sweep_us) = self.next_sweep_us.as_mut().filter(|sweep_us| **sweep_us <= now_us) {
            *sweep_us = now_us + self.settings.idle_cache_ms * US_PER_MS / SWEEPS_PER_IDLE_TIME;
            self.free_idle_caches(now_us);
        }
        while self.batch_due_us().is_some_and(|due_us| due_us <= now_us) {
            self.finish_batch(now_us, actions);
            self.start_batch(now_us, actions);
        }
        let load = self.current_load();
        self.load_history.record(now_us, load);
    }
}
