//! One generation on its route: which step is awaited, what each cache holds, and how it goes on after a failure.

use super::error::StepFault;
use super::phase::Phase;
use super::state::{Context, Ending, Flow};
use super::{Action, Decision, Invariant, Method, StepInput, StepOrder, StepOutput, StepReport, StepResult};
use crate::clock::US_PER_MS;
use crate::ids::{Attempt, CacheId, EndpointId, RequestId};
use crate::pipeline::{Route, Stage, Target};
use crate::request::{Generation as Order, Reply, Submission};
use crate::routing::{Assignment, Need, Observation, Pace, Replacement, Reroute};

/// A generation that execution drives.
#[derive(Debug)]
pub(super) struct Generation {
    pub submission: Box<Submission>,
    pub phase: Phase,
    pub attempt: Attempt,
    pub tokens: Vec<u32>,
    pub awaiting: Awaiting,
    order: Order,
    route: Route,
    stages: Vec<StageState>,
    hidden_bytes: u64,
    prompt_positions: Option<u32>,
    credit_tokens: u32,
    /// Failures after which a step may have run.
    recoveries: u32,
    /// Failures since the last progress.
    setbacks: u32,
    progress_us: u64,
}

/// What a stage's endpoint holds, and the inputs that can be replayed to another one.
#[derive(Debug)]
struct StageState {
    cache: CacheId,
    pace: Pace,
    /// Positions in the cache.
    positions: u32,
    /// Inputs of the stage; empty for the first stage, whose inputs are the prompt and the tokens.
    inputs: Vec<u64>,
    /// Position of the first kept input. Above 0 the stage cannot be replayed.
    inputs_from: u32,
}

/// What a generation waits for.
#[derive(Debug)]
pub(super) enum Awaiting {
    /// The answer to a step.
    Step(Outstanding),
    /// Whether a broken connection was a crash.
    CrashCheck {
        /// Index of the stage whose endpoint broke the connection.
        stage: usize,
        /// The endpoint.
        target: Target,
        /// Whether the endpoint had finished no step of the request in this cache.
        first: bool,
    },
    /// A substitute from routing.
    Substitute {
        /// Index of the stage that failed.
        stage: usize,
        /// Endpoint that failed.
        failed: EndpointId,
        /// What routing was asked for.
        need: Need,
        /// When to ask again; none while an answer is due.
        retry_us: Option<u64>,
    },
    /// News from other entries, because its content may be crashing endpoints there too.
    News {
        /// Index of the stage.
        stage: usize,
    },
    /// Its turn at an endpoint, because its content may crash it.
    Turn {
        /// Index of the stage.
        stage: usize,
    },
    /// The caller, who has to take tokens first.
    Credit,
}

/// A step whose answer is due.
#[derive(Debug)]
pub(super) struct Outstanding {
    pub stage: usize,
    pub cache: CacheId,
    pub position: u32,
    pub target: Target,
    pub due_us: u64,
    /// Batches that the endpoint had finished at the last probe.
    pub batches: Option<u64>,
    count: Option<u32>,
    sent_us: u64,
}

/// Share of a position's text in bytes, to estimate a prompt's positions before they are known.
const PROMPT_BYTES_PER_POSITION: usize = 4;

/// Substitutes that are asked for without a pause after the last progress.
const IMMEDIATE_REROUTES: u32 = 3;

/// Longest pause between two requests for a substitute, in reroute intervals.
const MAX_PAUSES: u32 = 8;

/// A step is late only after this multiple of its expected time, because batches vary.
const EXPECTED_TIME_FACTOR: u64 = 4;

impl Generation {
    /// Creates a generation that has not been dispatched.
    pub fn new(
        submission: Box<Submission>,
        order: Order,
        route: Route,
        paces: &[Pace],
        context: &mut Context<'_>,
    ) -> Self {
        let hidden_bytes =
            submission.configuration.document.model(&order.model).map_or(0, |model| model.hidden_bytes);
        let stages = stage_states(&route, paces, context);
        Self {
            submission,
            phase: Phase::new(),
            attempt: Attempt(1),
            tokens: Vec::new(),
            awaiting: Awaiting::Turn { stage: 0 },
            order,
            route,
            stages,
            hidden_bytes,
            prompt_positions: None,
            credit_tokens: context.settings.credit_tokens,
            recoveries: 0,
            setbacks: 0,
            progress_us: context.now_us,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> RequestId {
        self.submission.request
    }

    /// Returns the endpoint of a stage.
    pub fn target(&self, stage: usize) -> Option<&Target> {
        self.route.stages().get(stage).map(|stage| &stage.target)
    }

    /// Sends the next step of a stage: everything that its cache lacks.
    pub fn send(&mut self, stage: usize, context: &mut Context<'_>) {
        let Some(order) = self.step_order(stage, context) else {
            context.act(Action::Violated { invariant: Invariant::PositionOnce, request: self.request() });
            return;
        };
        self.phase.mark_dispatched();
        let count = self.expected_count(&order.input);
        let pace = self.stages.get(stage).map(|state| state.pace).unwrap_or_default();
        let positions = count.unwrap_or_else(|| estimated_positions(&order.input));
        let expected_us = pace.step_us + u64::from(positions) * pace.position_us;
        self.awaiting = Awaiting::Step(Outstanding {
            stage,
            cache: order.cache,
            position: order.position,
            target: order.target.clone(),
            due_us: context.now_us + context.settings.step_timeout_us() + EXPECTED_TIME_FACTOR * expected_us,
            batches: None,
            count,
            sent_us: context.now_us,
        });
        context.act(Action::Step(Box::new(order)));
    }

    /// Takes the end of a step. A report that is not the awaited one is ignored.
    pub fn on_report(&mut self, report: StepReport, context: &mut Context<'_>) -> Flow {
        let Awaiting::Step(outstanding) = &self.awaiting else { return Flow::Continue };
        if outstanding.cache != report.cache || outstanding.position != report.position {
            return Flow::Continue;
        }
        match report.result {
            Ok(result) => self.on_result(result, context),
            Err(fault) => self.on_fault(&fault, context),
        }
    }

    /// Takes the failure of the awaited step.
    pub fn on_fault(&mut self, fault: &StepFault, context: &mut Context<'_>) -> Flow {
        let Awaiting::Step(outstanding) = &self.awaiting else { return Flow::Continue };
        let (stage, target) = (outstanding.stage, outstanding.target.clone());
        let first = outstanding.position == 0;
        let not_started = fault.not_started();
        let may_have_run = not_started.is_none();
        self.phase.mark_failed(not_started);
        context.act(Action::Decide(Decision::Fault {
            request: self.request(),
            endpoint: target.endpoint.clone(),
            fault: fault.to_string(),
        }));
        match fault {
            StepFault::Broken => {
                self.awaiting = Awaiting::CrashCheck { stage, target, first };
                Flow::Continue
            }
            StepFault::Refused { .. } | StepFault::NotSent | StepFault::TimedOut | StepFault::BadAnswer => {
                self.ask_substitute(stage, &target.endpoint, may_have_run, context)
            }
        }
    }

    /// Asks routing for a substitute of a failed stage: at once after the first failures, then with a growing pause, so
    /// that endpoints that refuse are not asked in a tight loop.
    ///
    /// Only failures after which the step may have run count against the limit; the others have cost the endpoint
    /// nothing.
    pub fn ask_substitute(
        &mut self,
        stage: usize,
        failed: &EndpointId,
        may_have_run: bool,
        context: &mut Context<'_>,
    ) -> Flow {
        self.recoveries += u32::from(may_have_run);
        if self.recoveries > context.settings.recoveries_limit {
            return Flow::End(Ending::Exhausted);
        }
        self.setbacks += 1;
        let need = if self.can_replay(stage) { Need::Stage { stage } } else { Need::Route };
        if self.setbacks <= IMMEDIATE_REROUTES {
            self.reroute(stage, failed.clone(), need, context);
        } else {
            let pauses = u64::from((self.setbacks - IMMEDIATE_REROUTES).min(MAX_PAUSES));
            let retry_us = context.now_us + pauses * context.settings.reroute_interval_ms * US_PER_MS;
            self.awaiting =
                Awaiting::Substitute { stage, failed: failed.clone(), need, retry_us: Some(retry_us) };
        }
        Flow::Continue
    }

    /// Takes routing's answer. Returns the stage to send to, once the request may run there.
    pub fn on_found(&mut self, found: Replacement, context: &mut Context<'_>) -> Option<usize> {
        let Awaiting::Substitute { stage, failed, need, .. } = &self.awaiting else { return None };
        let (stage, failed, need) = (*stage, failed.clone(), *need);
        match found {
            Replacement::Stage { stage: found_stage, target, pace } if found_stage == stage => {
                self.replace_stage(stage, &failed, target, pace, context)
            }
            Replacement::Assignment(Assignment::Pipeline { route, paces }) => {
                Some(self.restart(&failed, route, &paces, context))
            }
            Replacement::Stage { .. }
            | Replacement::Assignment(Assignment::Service(_))
            | Replacement::Unavailable => {
                let retry_us = context.now_us + context.settings.reroute_interval_ms * US_PER_MS;
                self.awaiting = Awaiting::Substitute { stage, failed, need, retry_us: Some(retry_us) };
                None
            }
        }
    }

    /// Asks routing again when the pause after its last answer is over.
    pub fn retry_reroute(&mut self, context: &mut Context<'_>) {
        let Awaiting::Substitute { stage, failed, need, retry_us: Some(retry_us) } = &self.awaiting else {
            return;
        };
        if *retry_us > context.now_us {
            return;
        }
        // A stage without a substitute may still be avoided by a route with other layer ranges, and the reverse.
        let (stage, failed) = (*stage, failed.clone());
        let need = match need {
            Need::Route if self.can_replay(stage) => Need::Stage { stage },
            Need::Stage { .. } | Need::Route | Need::Service => Need::Route,
        };
        self.reroute(stage, failed, need, context);
    }

    /// Takes credit from the caller and goes on if that was awaited.
    pub fn on_credit(&mut self, tokens: u32, context: &mut Context<'_>) {
        self.credit_tokens = self.credit_tokens.saturating_add(tokens).min(context.settings.credit_tokens);
        if matches!(self.awaiting, Awaiting::Credit) && self.credit_tokens > 0 {
            self.send(0, context);
        }
    }

    /// Frees the caches and the kept inputs.
    pub fn release(&mut self, context: &mut Context<'_>) {
        for (stage, state) in self.route.stages().iter().zip(&self.stages) {
            context.act(Action::Release { address: stage.target.address, cache: state.cache });
        }
        let kept: u64 = self.stages.iter().map(|state| state.inputs.len() as u64).sum();
        *context.retained_bytes = context.retained_bytes.saturating_sub(kept * self.hidden_bytes);
        for state in &mut self.stages {
            state.inputs.clear();
        }
    }

    fn on_result(&mut self, result: StepResult, context: &mut Context<'_>) -> Flow {
        let Awaiting::Step(outstanding) = &self.awaiting else { return Flow::Continue };
        let (stage, count) = (outstanding.stage, outstanding.count);
        let elapsed_us = context.now_us.saturating_sub(outstanding.sent_us);
        let endpoint = outstanding.target.endpoint.clone();
        let last = stage + 1 == self.stages.len();
        if count.is_some_and(|count| count != result.count) || !output_fits(&result, last) {
            return self.on_fault(&StepFault::BadAnswer, context);
        }
        self.phase.mark_ran();
        self.progress_us = context.now_us;
        self.setbacks = 0;
        context.act(Action::Observed(Observation { endpoint, positions: result.count, elapsed_us }));
        let Some(state) = self.stages.get_mut(stage) else { return Flow::Continue };
        state.positions += result.count;
        if stage == 0 && self.prompt_positions.is_none() {
            let known = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
            self.prompt_positions = Some(state.positions.saturating_sub(known));
        }
        self.forget_if_full(stage, context);
        match result.output {
            StepOutput::Hidden(hidden) => self.pass_on(stage, &hidden, context),
            StepOutput::Token { id, text, end } => self.deliver(id, text, end, context),
        }
    }

    /// Gives the outputs of a stage that the next one lacks to that one.
    fn pass_on(&mut self, stage: usize, hidden: &[u64], context: &mut Context<'_>) -> Flow {
        let next = stage + 1;
        let total = self.stages.get(stage).map_or(0, |state| state.positions);
        let Some(state) = self.stages.get_mut(next) else { return Flow::Continue };
        let known = state.inputs_from + u32::try_from(state.inputs.len()).unwrap_or(u32::MAX);
        // After a replay the outputs cover positions that the next stage has had already.
        let missing = usize::try_from(total.saturating_sub(known)).unwrap_or(usize::MAX);
        let Some(tail) = hidden.len().checked_sub(missing).and_then(|from| hidden.get(from..)) else {
            context.act(Action::Violated { invariant: Invariant::PositionsMatch, request: self.request() });
            return Flow::End(Ending::Exhausted);
        };
        state.inputs.extend_from_slice(tail);
        *context.retained_bytes += tail.len() as u64 * self.hidden_bytes;
        self.send(next, context);
        Flow::Continue
    }

    fn deliver(&mut self, id: u32, text: String, end: bool, context: &mut Context<'_>) -> Flow {
        let index = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        self.tokens.push(id);
        self.credit_tokens = self.credit_tokens.saturating_sub(1);
        context.act(Action::Reply(Reply::Token { request: self.request(), index, id, text }));
        if end || self.tokens.len() >= self.order.max_tokens as usize {
            return Flow::End(Ending::Completed);
        }
        if self.credit_tokens == 0 {
            self.awaiting = Awaiting::Credit;
        } else {
            self.send(0, context);
        }
        Flow::Continue
    }

    fn step_order(&self, stage: usize, context: &Context<'_>) -> Option<StepOrder> {
        let state = self.stages.get(stage)?;
        let planned = self.route.stages().get(stage)?;
        let remaining_us = self.submission.deadline_us.saturating_sub(context.now_us);
        Some(StepOrder {
            request: self.request(),
            attempt: self.attempt,
            target: planned.target.clone(),
            cache: state.cache,
            model: self.route.model().clone(),
            version: self.route.version(),
            layers: planned.layers,
            position: state.positions,
            input: self.input(stage, state)?,
            priority: self.submission.priority,
            limit_ms: remaining_us / US_PER_MS + 1,
        })
    }

    fn input(&self, stage: usize, state: &StageState) -> Option<StepInput> {
        if stage > 0 {
            let from = usize::try_from(state.positions.checked_sub(state.inputs_from)?).ok()?;
            return Some(StepInput::Hidden(state.inputs.get(from..)?.to_vec()));
        }
        if state.positions == 0 {
            return Some(StepInput::Prompt {
                prompt: self.order.prompt.clone(),
                tokens: self.tokens.clone(),
            });
        }
        self.tokens.last().map(|token| StepInput::Token(*token))
    }

    fn expected_count(&self, input: &StepInput) -> Option<u32> {
        match input {
            StepInput::Hidden(hidden) => u32::try_from(hidden.len()).ok(),
            StepInput::Token(_) => Some(1),
            StepInput::Prompt { tokens, .. } => {
                self.prompt_positions.map(|prompt| prompt + u32::try_from(tokens.len()).unwrap_or(u32::MAX))
            }
        }
    }

    fn can_replay(&self, stage: usize) -> bool {
        self.stages.get(stage).is_some_and(|state| state.inputs_from == 0)
    }

    /// Gives up the replay of a stage when the kept inputs of all requests exceed their limit.
    fn forget_if_full(&mut self, stage: usize, context: &mut Context<'_>) {
        if *context.retained_bytes <= context.settings.retained_limit_bytes {
            return;
        }
        let Some(state) = self.stages.get_mut(stage) else { return };
        let freed = state.inputs.len() as u64 * self.hidden_bytes;
        state.inputs_from += u32::try_from(state.inputs.len()).unwrap_or(u32::MAX);
        state.inputs.clear();
        *context.retained_bytes = context.retained_bytes.saturating_sub(freed);
    }

    fn reroute(&mut self, stage: usize, failed: EndpointId, need: Need, context: &mut Context<'_>) {
        context.act(Action::Reroute(Reroute { request: self.request(), need, failed: failed.clone() }));
        self.awaiting = Awaiting::Substitute { stage, failed, need, retry_us: None };
    }

    /// Puts another endpoint in place of a failed one, with an empty cache. The other stages keep theirs.
    fn replace_stage(
        &mut self,
        stage: usize,
        failed: &EndpointId,
        target: Target,
        pace: Pace,
        context: &mut Context<'_>,
    ) -> Option<usize> {
        let layers = self.route.stages().get(stage)?.layers;
        let old_address = self.target(stage)?.address;
        let endpoint = target.endpoint.clone();
        if self.route.replace(stage, Stage { target, layers }).is_err() {
            context.act(Action::Violated { invariant: Invariant::PositionOnce, request: self.request() });
            return None;
        }
        let cache = context.new_cache();
        let state = self.stages.get_mut(stage)?;
        let old_cache = std::mem::replace(&mut state.cache, cache);
        let positions = state.positions;
        state.positions = 0;
        state.pace = pace;
        let resent_bytes = state.inputs.len() as u64 * self.hidden_bytes;
        context.act(Action::Release { address: old_address, cache: old_cache });
        self.decide_recovered(Method::Replay, failed, endpoint, positions, resent_bytes, context);
        Some(stage)
    }

    /// Runs everything again on a new route, up to the tokens that are delivered already.
    fn restart(
        &mut self,
        failed: &EndpointId,
        route: Route,
        paces: &[Pace],
        context: &mut Context<'_>,
    ) -> usize {
        self.release(context);
        let positions = self.stages.iter().map(|state| state.positions).sum();
        self.stages = stage_states(&route, paces, context);
        self.route = route;
        self.attempt = Attempt(self.attempt.0 + 1);
        let links = self.stages.len().saturating_sub(1) as u64;
        let per_link = u64::from(self.prompt_positions.unwrap_or(0)) + self.tokens.len() as u64;
        let resent_bytes = links * per_link * self.hidden_bytes;
        if let Some(endpoint) = self.target(0).map(|target| target.endpoint.clone()) {
            self.decide_recovered(Method::NewAttempt, failed, endpoint, positions, resent_bytes, context);
        }
        0
    }

    fn decide_recovered(
        &self,
        method: Method,
        failed: &EndpointId,
        endpoint: EndpointId,
        positions: u32,
        resent_bytes: u64,
        context: &mut Context<'_>,
    ) {
        context.act(Action::Decide(Decision::Recovered {
            request: self.request(),
            attempt: self.attempt,
            method,
            failed: failed.clone(),
            endpoint,
            positions,
            resent_bytes,
            stalled_us: context.now_us.saturating_sub(self.progress_us),
        }));
    }
}

fn stage_states(route: &Route, paces: &[Pace], context: &mut Context<'_>) -> Vec<StageState> {
    (0..route.stages().len())
        .map(|stage| StageState {
            cache: context.new_cache(),
            pace: paces.get(stage).copied().unwrap_or_default(),
            positions: 0,
            inputs: Vec::new(),
            inputs_from: 0,
        })
        .collect()
}

fn output_fits(result: &StepResult, last: bool) -> bool {
    match &result.output {
        StepOutput::Hidden(hidden) => !last && hidden.len() == result.count as usize,
        StepOutput::Token { .. } => last,
    }
}

fn estimated_positions(input: &StepInput) -> u32 {
    match input {
        StepInput::Prompt { prompt, tokens } => {
            u32::try_from(prompt.len() / PROMPT_BYTES_PER_POSITION + tokens.len()).unwrap_or(u32::MAX)
        }
        StepInput::Token(_) => 1,
        StepInput::Hidden(hidden) => u32::try_from(hidden.len()).unwrap_or(u32::MAX),
    }
}
