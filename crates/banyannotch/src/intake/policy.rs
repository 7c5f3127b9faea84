//! Validates requests, authenticates teams, and passes the tokens and the outcome of each request to its
//! caller in order.

use std::sync::Arc;

use subtle::ConstantTimeEq;

use super::state::{IntakeSettings, OpenRequest};
use super::{Action, CallerRequest, CallerWork, Event, Rejection, Result};
use crate::clock::US_PER_MS;
use crate::configuration::{Configuration, Preset};
use crate::duty::Duty;
use crate::execution::Invariant;
use crate::ids::{ModelId, RequestId, ServiceId, TeamId};
use crate::request::{
    Call, Generation, IdempotencyKey, Outcome, Repeat, Reply, Submission, UnknownReason, Work,
};
use crate::table::Table;

/// Highest priority; the lowest is 0.
const MAX_PRIORITY: u8 = 9;

/// Priority of a request that specifies none.
const DEFAULT_PRIORITY: u8 = 5;

/// Maximum age of a key at arrival up to which the request counts as sent for the first time. A caller
/// creates a key right before it first sends the request, and resends it only after a failure or a timeout.
const MAX_FIRST_ATTEMPT_KEY_AGE_MS: u64 = 1_000;

/// Maximum length of the key of a non-idempotent request.
const MAX_KEY_BYTES: u64 = 256;

/// The policy of intake.
#[derive(Debug)]
pub struct Intake {
    settings: IntakeSettings,
    configuration: Option<Arc<Configuration>>,
    configuration_certain: bool,
    /// Time until which it is certain which configuration is in force, even without further contact with the
    /// log or a peer.
    configuration_certain_until_us: u64,
    /// Time at which a draining entry stops accepting requests.
    close_at_us: Option<u64>,
    closed: bool,
    open_requests: Table<RequestId, OpenRequest>,
}

impl Intake {
    /// Creates the policy of an entry that has no configuration yet.
    pub fn new(settings: IntakeSettings) -> Self {
        Self {
            settings,
            configuration: None,
            configuration_certain: true,
            configuration_certain_until_us: u64::MAX,
            close_at_us: None,
            closed: false,
            open_requests: Table::default(),
        }
    }

    fn on_arrived(&mut self, now_us: u64, arrived: CallerRequest, actions: &mut Vec<Action>) {
        let request = arrived.request;
        let may_be_resend = may_be_resend(&arrived);
        match self.check(now_us, arrived) {
            Ok(submission) => {
                self.open_requests.insert(request, OpenRequest { may_be_resend, ..OpenRequest::default() });
                actions.push(Action::Submit(Box::new(submission)));
            }
            Err(rejection) => {
                let may_have_run = may_be_resend && rejection.may_differ_for_earlier_attempt();
                actions.push(Action::Reject { request, rejection, may_have_run });
            }
        }
    }

    fn check(&self, now_us: u64, arrived: CallerRequest) -> Result<Submission> {
        if self.closed {
            return Err(Rejection::Draining);
        }
        let configuration = self
            .configuration
            .as_ref()
            .filter(|_| self.configuration_certain && now_us < self.configuration_certain_until_us);
        let configuration = configuration.ok_or(Rejection::Unconfigured)?;
        let team = authenticate(configuration, &arrived.token_sha256)?;
        let preset = configuration.active();
        let deadline_ms = arrived.deadline_ms.unwrap_or(preset.default_deadline_ms);
        check_range("deadline_ms", deadline_ms, 1, preset.max_deadline_ms)?;
        let priority = arrived.priority.unwrap_or(DEFAULT_PRIORITY);
        check_range("priority", u64::from(priority), 0, u64::from(MAX_PRIORITY))?;
        let work = check_work(configuration, preset, &team, arrived.work)?;
        Ok(Submission {
            request: arrived.request,
            caller_reference: arrived.reference,
            team,
            arrived_us: now_us,
            deadline_us: now_us + deadline_ms * US_PER_MS,
            priority,
            work,
            configuration: Arc::clone(configuration),
        })
    }

    fn on_token(&mut self, request: RequestId, index: u32, id: u32, text: String, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        if open.next_index != index {
            actions.push(Action::Violated { request, invariant: Invariant::TokenOrder });
            return;
        }
        open.next_index += 1;
        if open.disconnected {
            return;
        }
        actions.push(Action::Token { request, index, id, text });
    }

    fn on_ended(&mut self, request: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.remove(&request) else {
            actions.push(Action::Violated { request, invariant: Invariant::OneOutcome });
            return;
        };
        if !open.disconnected {
            let outcome = outcome_across_attempts(outcome, open.may_be_resend);
            actions.push(Action::End { request, outcome, tokens: open.next_index });
        }
        self.check_drained(actions);
    }

    fn on_tokens_read(&mut self, request: RequestId, tokens: u32, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        open.uncredited_tokens += tokens;
        if open.uncredited_tokens >= self.settings.credit_batch_tokens {
            let tokens = std::mem::take(&mut open.uncredited_tokens);
            actions.push(Action::Credit { request, tokens });
        }
    }

    fn on_disconnected(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        if !std::mem::replace(&mut open.disconnected, true) {
            actions.push(Action::Cancel(request));
        }
    }

    fn check_drained(&self, actions: &mut Vec<Action>) {
        if self.closed && self.open_requests.is_empty() {
            actions.push(Action::Drained);
        }
    }
}

impl Duty for Intake {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrived) => self.on_arrived(now_us, *arrived, actions),
            Event::Reply(Reply::Token { request, index, id, text }) => {
                self.on_token(request, index, id, text, actions);
            }
            Event::Reply(Reply::Ended { request, outcome }) => self.on_ended(request, outcome, actions),
            Event::TokensRead { request, tokens } => self.on_tokens_read(request, tokens, actions),
            Event::Disconnected(request) => self.on_disconnected(request, actions),
            Event::Configured(configuration) => self.configuration = Some(configuration),
            Event::ConfigurationCertain(certain) => self.configuration_certain = certain,
            Event::ConfigurationCertainUntil(until_us) => self.configuration_certain_until_us = until_us,
            Event::Drain => {
                let notice_us = self.settings.drain_notice_ms * US_PER_MS;
                self.close_at_us.get_or_insert(now_us + notice_us);
            }
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        self.close_at_us.filter(|_| !self.closed)
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.close_at_us.is_some_and(|close_at_us| close_at_us <= now_us) {
            self.closed = true;
            self.check_drained(actions);
        }
    }
}

/// Returns the team with a token hash. The hash is compared with that of every team, each time in constant
/// time.
fn authenticate(configuration: &Configuration, token_sha256: &str) -> Result<TeamId> {
    let mut found = None;
    for team in &configuration.document.teams {
        let equal = team.token_sha256.as_bytes().ct_eq(token_sha256.as_bytes());
        if bool::from(equal) {
            found = Some(&team.name);
        }
    }
    found.cloned().ok_or(Rejection::UnknownTeam)
}

/// Returns whether the caller may have sent the request before with the same key.
fn may_be_resend(arrived: &CallerRequest) -> bool {
    match &arrived.work {
        CallerWork::Call { idempotent: false, key_time_ms: Some(made_ms), .. } => {
            arrived.arrived_unix_ms.saturating_sub(*made_ms) > MAX_FIRST_ATTEMPT_KEY_AGE_MS
        }
        CallerWork::Call { .. } | CallerWork::Generate { .. } => false,
    }
}

/// Returns the outcome that holds for all attempts to send a request. If an earlier attempt may have run,
/// "not run" becomes unknown, because it is a statement about the request and not about one attempt.
fn outcome_across_attempts(outcome: Outcome, may_be_resend: bool) -> Outcome {
    match outcome {
        Outcome::NotRun(reason) if may_be_resend && !reason.rules_out_earlier_sendings() => {
            Outcome::Unknown(UnknownReason::EarlierSending)
        }
        other => other,
    }
}

fn check_work(
    configuration: &Configuration,
    preset: &Preset,
    team: &TeamId,
    work: CallerWork,
) -> Result<Work> {
    match work {
        CallerWork::Generate { model, prompt, max_tokens } => {
            let name = ModelId::from(model.as_str());
            if configuration.document.model(&name).is_none() {
                return Err(Rejection::UnknownModel { name: model });
            }
            if prompt.is_empty() {
                return Err(Rejection::Missing { key: "prompt", allowed: "a text that is not empty" });
            }
            let max_tokens = max_tokens.unwrap_or(preset.max_tokens);
            check_range("max_tokens", u64::from(max_tokens), 1, u64::from(preset.max_tokens))?;
            Ok(Work::Generate(Generation { model: name, prompt, max_tokens }))
        }
        CallerWork::Call { service, operation, payload, idempotent, key, key_time_ms } => {
            let name = ServiceId::from(service.as_str());
            if configuration.document.service(&name).is_none() {
                return Err(Rejection::UnknownService { name: service });
            }
            let repeat = check_repeat(team, idempotent, key, key_time_ms)?;
            Ok(Work::Call(Call { service: name, operation, payload, repeat }))
        }
    }
}

fn check_repeat(
    team: &TeamId,
    idempotent: bool,
    key: Option<String>,
    key_time_ms: Option<u64>,
) -> Result<Repeat> {
    if idempotent {
        return Ok(Repeat::Idempotent);
    }
    let key = key.ok_or(Rejection::Missing { key: "key", allowed: "a text, unless idempotent is true" })?;
    check_range("key length", key.len() as u64, 1, MAX_KEY_BYTES)?;
    let made_ms = key_time_ms.ok_or(Rejection::Missing {
        key: "key_time_ms",
        allowed: "when the key was made, in Unix milliseconds",
    })?;
    Ok(Repeat::AtMostOnce(IdempotencyKey { team: team.clone(), key, made_ms }))
}

fn check_range(key: &'static str, value: u64, min: u64, max: u64) -> Result<()> {
    if (min..=max).contains(&value) { Ok(()) } else { Err(Rejection::OutOfRange { key, value, min, max }) }
}
