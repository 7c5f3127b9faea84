//! One generation on its route: its outstanding step, the state of each stage's cache, and its recovery after
//! a failure.

use super::error::StepFault;
use super::phase::Phase;
use super::state::{Context, Ending, Flow};
use super::{
    Action, Decision, Invariant, RecoveryMethod, StepCommand, StepInput, StepOutput, StepReport, StepResult,
};
use crate::clock::US_PER_MS;
use crate::ids::{Attempt, CacheId, EndpointId, RequestId};
use crate::pipeline::{Route, Stage, Target};
use crate::request::{Generation as GenerationWork, Reply, Submission};
use crate::routing::{Assignment, Need, Observation, Pace, Replacement, Reroute};

/// State of a generation in flight.
#[derive(Debug)]
pub(super) struct Generation {
    pub submission: Box<Submission>,
    pub phase: Phase,
    pub attempt: Attempt,
    pub tokens: Vec<u32>,
    pub awaiting: Awaiting,
    work: GenerationWork,
    route: Route,
    stages: Vec<StageState>,
    hidden_bytes: u64,
    prompt_positions: Option<u32>,
    credit_tokens: u32,
    /// Number of failures after which the step may have run.
    recoveries: u32,
    /// Number of failures since the last result of a step.
    failures_since_progress: u32,
    last_progress_us: u64,
}

/// State of a stage's cache, and the inputs that can be replayed to a substitute.
#[derive(Debug)]
struct StageState {
    cache: CacheId,
    pace: Pace,
    /// Number of positions in the cache.
    positions: u32,
    /// Retained inputs of the stage. Empty for the first stage, whose inputs are the prompt and the tokens.
    inputs: Vec<u64>,
    /// Position of the first retained input. The stage can be replayed only if this is 0.
    first_input_position: u32,
}

/// What a generation waits for.
#[derive(Debug)]
pub(super) enum Awaiting {
    /// The report of a step.
    Step(OutstandingStep),
    /// The probe that shows whether a broken connection was a crash.
    CrashCheck {
        /// Index of the stage whose connection broke.
        stage: usize,
        /// Endpoint of the stage.
        target: Target,
        /// Whether the step was the first one in its cache.
        first_step: bool,
    },
    /// A substitute from routing, or the pause before it is requested.
    Substitute {
        /// Index of the stage that failed.
        stage: usize,
        /// Endpoint that failed.
        failed: EndpointId,
        /// Kind of substitute that is needed.
        need: Need,
        /// Time of the next request to routing; none while routing's answer is outstanding.
        retry_us: Option<u64>,
    },
    /// The end of the hold on its content, during which reports of crashes can arrive from other entries.
    Hold {
        /// Index of the stage whose step is to be sent.
        stage: usize,
    },
    /// Its turn at an endpoint, because its content is suspected of crashing endpoints.
    Turn {
        /// Index of the stage whose step is to be sent.
        stage: usize,
    },
    /// Credit, which the caller grants by reading tokens.
    Credit,
}

/// A step that was sent and not reported yet.
#[derive(Debug)]
pub(super) struct OutstandingStep {
    pub stage: usize,
    pub cache: CacheId,
    pub position: u32,
    pub target: Target,
    pub due_us: u64,
    /// Number of batches that the endpoint had finished at the last probe.
    pub batches: Option<u64>,
    /// Number of positions that the result has to cover; none while the length of the prompt is unknown.
    expected_count: Option<u32>,
    sent_us: u64,
}

/// Assumed prompt bytes per position, to estimate a prompt's positions before the first step has reported
/// them.
const PROMPT_BYTES_PER_POSITION: usize = 4;

/// Number of requests for a substitute that are sent without a pause since the last progress.
const IMMEDIATE_REROUTES: u32 = 3;

/// Maximum pause between two requests for a substitute, in reroute intervals.
const MAX_PAUSE_INTERVALS: u32 = 8;

/// Multiple of the expected time of a step that is added to the step timeout before the step is late, because
/// the duration of batches varies.
const LATE_STEP_FACTOR: u64 = 4;

impl Generation {
    /// Creates a generation of which no step has been sent.
    pub fn new(
        submission: Box<Submission>,
        work: GenerationWork,
        route: Route,
        paces: &[Pace],
        context: &mut Context<'_>,
    ) -> Self {
        let hidden_bytes =
            submission.configuration.document.model(&work.model).map_or(0, |model| model.hidden_bytes);
        let stages = stage_states(&route, paces, context);
        Self {
            submission,
            phase: Phase::new(),
            attempt: Attempt(1),
            tokens: Vec::new(),
            awaiting: Awaiting::Turn { stage: 0 },
            work,
            route,
            stages,
            hidden_bytes,
            prompt_positions: None,
            credit_tokens: context.settings.credit_tokens,
            recoveries: 0,
            failures_since_progress: 0,
            last_progress_us: context.now_us,
        }
    }

    /// Returns the identifier of the request.
    pub fn request(&self) -> RequestId {
        self.submission.request
    }

    /// Returns the endpoint of a stage.
    pub fn target(&self, stage: usize) -> Option<&Target> {
        self.route.stages().get(stage).map(|stage| &stage.target)
    }

    /// Sends the next step of a stage, with all positions that its cache lacks.
    pub fn send(&mut self, stage: usize, context: &mut Context<'_>) {
        let Some(command) = self.step_command(stage, context) else {
            context.emit(Action::Violated { invariant: Invariant::PositionOnce, request: self.request() });
            return;
        };
        self.phase.mark_dispatched();
        let count = self.expected_count(&command.input);
        let pace = self.stages.get(stage).map(|state| state.pace).unwrap_or_default();
        let positions = count.unwrap_or_else(|| estimated_positions(&command.input));
        let expected_us = pace.step_us + u64::from(positions) * pace.position_us;
        self.awaiting = Awaiting::Step(OutstandingStep {
            stage,
            cache: command.cache,
            position: command.position,
            target: command.target.clone(),
            due_us: context.now_us + context.settings.step_timeout_us() + LATE_STEP_FACTOR * expected_us,
            batches: None,
            expected_count: count,
            sent_us: context.now_us,
        });
        context.emit(Action::Step(Box::new(command)));
    }

    /// Handles the report of a step. A report that does not belong to the outstanding step is ignored.
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

    /// Handles the failure of the outstanding step.
    pub fn on_fault(&mut self, fault: &StepFault, context: &mut Context<'_>) -> Flow {
        let Awaiting::Step(outstanding) = &self.awaiting else { return Flow::Continue };
        let (stage, target) = (outstanding.stage, outstanding.target.clone());
        let first_step = outstanding.position == 0;
        let not_started = fault.not_started();
        let may_have_run = not_started.is_none();
        self.phase.mark_failed(not_started);
        context.emit(Action::Decide(Decision::Fault {
            request: self.request(),
            endpoint: target.endpoint.clone(),
            fault: fault.to_string(),
        }));
        match fault {
            StepFault::Broken => {
                self.awaiting = Awaiting::CrashCheck { stage, target, first_step };
                Flow::Continue
            }
            StepFault::Refused { .. } | StepFault::NotSent | StepFault::TimedOut | StepFault::BadAnswer => {
                self.request_substitute(stage, &target.endpoint, may_have_run, context)
            }
        }
    }

    /// Requests a substitute for a failed stage from routing: at once after the first failures, then after a
    /// growing pause, so that endpoints that refuse steps are not retried in a tight loop.
    ///
    /// Only failures after which the step may have run count against the recovery limit. The others caused no
    /// work at the endpoint.
    pub fn request_substitute(
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
        self.failures_since_progress += 1;
        let need = if self.can_replay(stage) { Need::Stage { stage } } else { Need::Route };
        if self.failures_since_progress <= IMMEDIATE_REROUTES {
            self.reroute(stage, failed.clone(), need, context);
        } else {
            let pauses =
                u64::from((self.failures_since_progress - IMMEDIATE_REROUTES).min(MAX_PAUSE_INTERVALS));
            let retry_us = context.now_us + pauses * context.settings.reroute_interval_ms * US_PER_MS;
            self.awaiting =
                Awaiting::Substitute { stage, failed: failed.clone(), need, retry_us: Some(retry_us) };
        }
        Flow::Continue
    }

    /// Handles routing's answer. Returns the stage whose step is to be sent, if routing found a substitute.
    pub fn on_reroute_result(&mut self, found: Replacement, context: &mut Context<'_>) -> Option<usize> {
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

    /// Requests a substitute from routing again when the pause has ended.
    pub fn retry_reroute(&mut self, context: &mut Context<'_>) {
        let Awaiting::Substitute { stage, failed, need, retry_us: Some(retry_us) } = &self.awaiting else {
            return;
        };
        if *retry_us > context.now_us {
            return;
        }
        // Alternates between a stage and a whole route: where one stage has no substitute, a route with other
        // layer ranges may exist, and the reverse.
        let (stage, failed) = (*stage, failed.clone());
        let need = match need {
            Need::Route if self.can_replay(stage) => Need::Stage { stage },
            Need::Stage { .. } | Need::Route | Need::Service => Need::Route,
        };
        self.reroute(stage, failed, need, context);
    }

    /// Adds credit from the caller, and sends the next step if the generation was waiting for credit.
    pub fn on_credit(&mut self, tokens: u32, context: &mut Context<'_>) {
        self.credit_tokens = self.credit_tokens.saturating_add(tokens).min(context.settings.credit_tokens);
        if matches!(self.awaiting, Awaiting::Credit) && self.credit_tokens > 0 {
            self.send(0, context);
        }
    }

    /// Releases the caches and the retained inputs.
    pub fn release(&mut self, context: &mut Context<'_>) {
        for (stage, state) in self.route.stages().iter().zip(&self.stages) {
            context.emit(Action::Release { address: stage.target.address, cache: state.cache });
        }
        let retained_inputs: u64 = self.stages.iter().map(|state| state.inputs.len() as u64).sum();
        *context.retained_bytes = context.retained_bytes.saturating_sub(retained_inputs * self.hidden_bytes);
        for state in &mut self.stages {
            state.inputs.clear();
        }
    }

    fn on_result(&mut self, result: StepResult, context: &mut Context<'_>) -> Flow {
        let Awaiting::Step(outstanding) = &self.awaiting else { return Flow::Continue };
        let (stage, expected_count) = (outstanding.stage, outstanding.expected_count);
        let elapsed_us = context.now_us.saturating_sub(outstanding.sent_us);
        let endpoint = outstanding.target.endpoint.clone();
        let is_last_stage = stage + 1 == self.stages.len();
        if expected_count.is_some_and(|count| count != result.count)
            || !is_valid_output(&result, is_last_stage)
        {
            return self.on_fault(&StepFault::BadAnswer, context);
        }
        self.phase.mark_ran();
        self.last_progress_us = context.now_us;
        self.failures_since_progress = 0;
        context.emit(Action::Observed(Observation { endpoint, positions: result.count, elapsed_us }));
        let Some(state) = self.stages.get_mut(stage) else { return Flow::Continue };
        state.positions += result.count;
        if stage == 0 && self.prompt_positions.is_none() {
            let known_tokens = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
            self.prompt_positions = Some(state.positions.saturating_sub(known_tokens));
        }
        self.drop_inputs_if_over_limit(stage, context);
        match result.output {
            StepOutput::Hidden(hidden) => self.forward_outputs(stage, &hidden, context),
            StepOutput::Token { id, text, end } => self.deliver_token(id, text, end, context),
        }
    }

    /// Sends the outputs that the next stage lacks to the next stage.
    fn forward_outputs(&mut self, stage: usize, hidden: &[u64], context: &mut Context<'_>) -> Flow {
        let next = stage + 1;
        let total = self.stages.get(stage).map_or(0, |state| state.positions);
        let Some(state) = self.stages.get_mut(next) else { return Flow::Continue };
        let known_positions =
            state.first_input_position + u32::try_from(state.inputs.len()).unwrap_or(u32::MAX);
        // After a replay, the outputs also cover positions whose inputs the next stage has already received.
        let missing_positions = usize::try_from(total.saturating_sub(known_positions)).unwrap_or(usize::MAX);
        let Some(tail) = hidden.len().checked_sub(missing_positions).and_then(|from| hidden.get(from..))
        else {
            context.emit(Action::Violated { invariant: Invariant::PositionsMatch, request: self.request() });
            return Flow::End(Ending::Exhausted);
        };
        state.inputs.extend_from_slice(tail);
        *context.retained_bytes += tail.len() as u64 * self.hidden_bytes;
        self.send(next, context);
        Flow::Continue
    }

    fn deliver_token(&mut self, id: u32, text: String, end: bool, context: &mut Context<'_>) -> Flow {
        let index = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        self.tokens.push(id);
        self.credit_tokens = self.credit_tokens.saturating_sub(1);
        context.emit(Action::Reply(Reply::Token { request: self.request(), index, id, text }));
        if end || self.tokens.len() >= self.work.max_tokens as usize {
            return Flow::End(Ending::Completed);
        }
        if self.credit_tokens == 0 {
            self.awaiting = Awaiting::Credit;
        } else {
            self.send(0, context);
        }
        Flow::Continue
    }

    fn step_command(&self, stage: usize, context: &Context<'_>) -> Option<StepCommand> {
        let state = self.stages.get(stage)?;
        let planned = self.route.stages().get(stage)?;
        let remaining_us = self.submission.deadline_us.saturating_sub(context.now_us);
        Some(StepCommand {
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
            timeout_ms: remaining_us / US_PER_MS + 1,
        })
    }

    fn input(&self, stage: usize, state: &StageState) -> Option<StepInput> {
        if stage > 0 {
            let from = usize::try_from(state.positions.checked_sub(state.first_input_position)?).ok()?;
            return Some(StepInput::Hidden(state.inputs.get(from..)?.to_vec()));
        }
        if state.positions == 0 {
            return Some(StepInput::Prompt { prompt: self.work.prompt.clone(), tokens: self.tokens.clone() });
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
        self.stages.get(stage).is_some_and(|state| state.first_input_position == 0)
    }

    /// Drops the inputs of a stage, which can then no longer be replayed, if the retained inputs of all
    /// requests exceed their limit.
    fn drop_inputs_if_over_limit(&mut self, stage: usize, context: &mut Context<'_>) {
        if *context.retained_bytes <= context.settings.retained_limit_bytes {
            return;
        }
        let Some(state) = self.stages.get_mut(stage) else { return };
        let freed_bytes = state.inputs.len() as u64 * self.hidden_bytes;
        state.first_input_position += u32::try_from(state.inputs.len()).unwrap_or(u32::MAX);
        state.inputs.clear();
        *context.retained_bytes = context.retained_bytes.saturating_sub(freed_bytes);
    }

    fn reroute(&mut self, stage: usize, failed: EndpointId, need: Need, context: &mut Context<'_>) {
        context.emit(Action::Reroute(Reroute { request: self.request(), need, failed: failed.clone() }));
        self.awaiting = Awaiting::Substitute { stage, failed, need, retry_us: None };
    }

    /// Replaces the endpoint of a failed stage by a substitute with an empty cache. The other stages keep
    /// their caches.
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
            context.emit(Action::Violated { invariant: Invariant::PositionOnce, request: self.request() });
            return None;
        }
        let cache = context.new_cache();
        let state = self.stages.get_mut(stage)?;
        let old_cache = std::mem::replace(&mut state.cache, cache);
        let positions = state.positions;
        state.positions = 0;
        state.pace = pace;
        let resent_bytes = state.inputs.len() as u64 * self.hidden_bytes;
        context.emit(Action::Release { address: old_address, cache: old_cache });
        self.log_recovery(RecoveryMethod::Replay, failed, endpoint, positions, resent_bytes, context);
        Some(stage)
    }

    /// Restarts on a new route, where the prompt and the tokens that were already delivered run again.
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
        let link_count = self.stages.len().saturating_sub(1) as u64;
        let positions_per_link = u64::from(self.prompt_positions.unwrap_or(0)) + self.tokens.len() as u64;
        let resent_bytes = link_count * positions_per_link * self.hidden_bytes;
        if let Some(endpoint) = self.target(0).map(|target| target.endpoint.clone()) {
            self.log_recovery(RecoveryMethod::NewAttempt, failed, endpoint, positions, resent_bytes, context);
        }
        0
    }

    fn log_recovery(
        &self,
        method: RecoveryMethod,
        failed: &EndpointId,
        endpoint: EndpointId,
        positions: u32,
        resent_bytes: u64,
        context: &mut Context<'_>,
    ) {
        context.emit(Action::Decide(Decision::Recovered {
            request: self.request(),
            attempt: self.attempt,
            method,
            failed: failed.clone(),
            endpoint,
            positions,
            resent_bytes,
            stalled_us: context.now_us.saturating_sub(self.last_progress_us),
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
            first_input_position: 0,
        })
        .collect()
}

fn is_valid_output(result: &StepResult, is_last_stage: bool) -> bool {
    match &result.output {
        StepOutput::Hidden(hidden) => !is_last_stage && hidden.len() == result.count as usize,
        StepOutput::Token { .. } => is_last_stage,
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
