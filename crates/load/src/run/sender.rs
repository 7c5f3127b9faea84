//! Sends the planned requests at their intended times and records their results.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use banyannotch::clock::{Clock, SystemClock};
use banyannotch::pipeline::Address;
use banyannotch_standins::caller::{CallBody, Caller};
use banyannotch_standins::harness::{LAYERS, MODEL};
use banyannotch_standins::model::Model;

use super::Balancer;
use crate::client::{GenerationRequest, Generator, OutcomeKind, RequestResult, RoutedClient};
use crate::script::echoes;
use crate::workload::{PlannedRequest, Team, Work};

/// Time after the deadline in which an outcome may still arrive.
const OUTCOME_GRACE: Duration = Duration::from_millis(500);

/// Pause before the first retry; the pause grows linearly with the number of attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Name of the plain service.
const SERVICE: &str = "desk";

/// One attempt to send a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SendAttempt {
    /// Identifier of the request in the system, if the outcome contains one.
    pub request: Option<String>,
    /// Outcome of the attempt.
    pub kind: OutcomeKind,
}

/// Result of a planned request. Times are since the start of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Planned request.
    pub planned: Rc<PlannedRequest>,
    /// Time at which the first attempt was sent.
    pub sent_us: u64,
    /// Time at which the last attempt ended.
    pub end_us: u64,
    /// Time at which the last attempt was sent.
    pub last_attempt_us: u64,
    /// Time at which each token of the last attempt arrived.
    pub token_times_us: Vec<u64>,
    /// Outcome of the request; a later "not run" does not replace a broken connection.
    pub kind: OutcomeKind,
    /// Reason of the attempt that determined `kind`.
    pub reason: String,
    /// All attempts.
    pub attempts: Vec<SendAttempt>,
}

impl Record {
    /// Returns whether the answer was complete, correct and in time.
    pub fn is_good(&self) -> bool {
        self.kind == OutcomeKind::Right
            && self.end_us <= self.planned.at_us + self.planned.deadline_ms * 1_000
    }

    /// Returns whether it is a generation.
    pub fn is_generation(&self) -> bool {
        matches!(self.planned.work, Work::Generate { .. })
    }
}

/// Single-threaded sender of the planned requests.
pub struct Sender {
    /// Chooses the entry for each attempt.
    pub balancer: Rc<Balancer>,
    /// Clients of the teams, in the order of the scenario.
    pub callers: Vec<Caller>,
    /// Maximum number of retries after a request was not run or its connection broke.
    pub retries: usize,
    /// Start of the load.
    pub begin: Instant,
}

impl Sender {
    /// Creates the sender for the given teams.
    pub fn new(balancer: Rc<Balancer>, teams: &[Team], retries: usize, begin: Instant) -> Self {
        let callers = teams.iter().map(|team| Caller::new(&team.token())).collect();
        Self { balancer, callers, retries, begin }
    }

    /// Sends all requests at their times and waits until they have ended.
    pub async fn send_all(self: Rc<Self>, schedule: Vec<PlannedRequest>) -> Vec<Record> {
        let records = Rc::new(RefCell::new(Vec::with_capacity(schedule.len())));
        let mut tasks = Vec::with_capacity(schedule.len());
        for planned in schedule {
            let at = self.begin + Duration::from_micros(planned.at_us);
            actix_rt::time::sleep_until(at.into()).await;
            let (sender, records) = (Rc::clone(&self), Rc::clone(&records));
            tasks.push(actix_rt::spawn(async move {
                let record = sender.send(Rc::new(planned)).await;
                records.borrow_mut().push(record);
            }));
        }
        for task in tasks {
            // A task that panicked leaves no record, which the report counts as a missing request.
            let _ = task.await;
        }
        records.take()
    }

    fn elapsed_us(&self) -> u64 {
        u64::try_from(self.begin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    async fn send(&self, planned: Rc<PlannedRequest>) -> Record {
        let sent_us = self.elapsed_us();
        let deadline_us = planned.at_us + planned.deadline_ms * 1_000;
        let key_time_ms = SystemClock::start().unix_ms();
        let mut record = Record {
            planned: Rc::clone(&planned),
            sent_us,
            end_us: sent_us,
            last_attempt_us: sent_us,
            token_times_us: Vec::new(),
            kind: OutcomeKind::NotRun,
            reason: "no_time_to_send".to_owned(),
            attempts: Vec::new(),
        };
        let mut avoided = None;
        loop {
            let now_us = self.elapsed_us();
            let left_ms = deadline_us.saturating_sub(now_us) / 1_000;
            let Some(entry) = self.balancer.pick(avoided).filter(|_| left_ms > 0) else { return record };
            record.last_attempt_us = now_us;
            let received = self.attempt(entry, &planned, left_ms, key_time_ms).await;
            record.end_us = self.elapsed_us();
            record.attempts.push(SendAttempt { request: received.request, kind: received.kind });
            record.token_times_us = received.token_times_us.iter().map(|us| now_us + us).collect();
            // After a broken connection the request may have run, so "not run" for a later attempt does not
            // replace it.
            let keeps_broken = received.kind == OutcomeKind::NotRun && record.kind == OutcomeKind::Broken;
            if !keeps_broken || record.attempts.len() == 1 {
                record.kind = received.kind;
                record.reason = received.reason;
            }
            let retryable = matches!(received.kind, OutcomeKind::NotRun | OutcomeKind::Broken);
            if !retryable || record.attempts.len() > self.retries {
                return record;
            }
            avoided = Some(entry);
            actix_rt::time::sleep(RETRY_PAUSE * u32::try_from(record.attempts.len()).unwrap_or(1)).await;
        }
    }

    async fn attempt(
        &self,
        entry: Address,
        planned: &PlannedRequest,
        left_ms: u64,
        key_time_ms: u64,
    ) -> RequestResult {
        let limit = Duration::from_millis(left_ms) + OUTCOME_GRACE;
        let Some(caller) = self.callers.get(planned.team) else { return broken_result("no such team") };
        let sent = Instant::now();
        let attempt = async {
            match &planned.work {
                Work::Generate { prompt, max_tokens } => {
                    let routed = RoutedClient {
                        caller: caller.clone(),
                        entry,
                        model: Model::new(MODEL, 1),
                        layers: LAYERS,
                    };
                    let request = GenerationRequest {
                        prompt: prompt.clone(),
                        max_tokens: *max_tokens,
                        deadline_ms: left_ms,
                    };
                    routed.generate(&request).await
                }
                Work::Call { operation, payload, key } => {
                    let body = CallBody {
                        service: SERVICE.to_owned(),
                        operation: (*operation).to_owned(),
                        payload: payload.clone(),
                        deadline_ms: left_ms,
                        idempotent: key.is_none(),
                        key: key.clone(),
                        key_time_ms: key.as_ref().map(|_| key_time_ms),
                    };
                    match caller.call(entry, &body).await {
                        Ok(answer) => {
                            let right = echoes(answer.outcome.result.as_ref(), operation, payload);
                            RequestResult {
                                kind: OutcomeKind::of(&answer.outcome, right),
                                reason: answer.outcome.reason.unwrap_or_default(),
                                request: answer.outcome.request,
                                token_times_us: Vec::new(),
                                outcome_us: u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX),
                            }
                        }
                        Err(error) => broken_result(&error.to_string()),
                    }
                }
            }
        };
        match actix_rt::time::timeout(limit, attempt).await {
            Ok(received) => received,
            Err(_) => broken_result("no outcome by the deadline"),
        }
    }
}

fn broken_result(reason: &str) -> RequestResult {
    RequestResult {
        kind: OutcomeKind::Broken,
        reason: reason.to_owned(),
        request: None,
        token_times_us: Vec::new(),
        outcome_us: 0,
    }
}
