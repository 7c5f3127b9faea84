//! Sends the planned requests at their times and records what came back.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use banyannotch::clock::{Clock, SystemClock};
use banyannotch::pipeline::Address;
use banyannotch_standins::caller::{CallBody, Caller};
use banyannotch_standins::harness::{LAYERS, MODEL};
use banyannotch_standins::model::Model;

use super::Balancer;
use crate::client::{Ask, Generator, Kind, Received, Routed};
use crate::script::echoes;
use crate::workload::{Planned, Team, Work};

/// Time after the deadline for an outcome to arrive.
const GRACE: Duration = Duration::from_millis(500);

/// Pause before the first retry; later ones pause longer in proportion.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Name of the plain service.
const SERVICE: &str = "desk";

/// One try of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Try {
    /// Name inside the system.
    pub request: Option<String>,
    /// How it ended.
    pub kind: Kind,
}

/// What became of a planned request. Times are since the start of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The request.
    pub planned: Rc<Planned>,
    /// When it was sent first.
    pub sent_us: u64,
    /// When it ended.
    pub end_us: u64,
    /// When the last try was sent.
    pub last_try_us: u64,
    /// When each token of the last try arrived.
    pub token_us: Vec<u64>,
    /// How it ended.
    pub kind: Kind,
    /// Reason of the last try.
    pub reason: String,
    /// All tries.
    pub tries: Vec<Try>,
}

impl Record {
    /// Returns whether the answer was whole, right and in time.
    pub fn is_good(&self) -> bool {
        self.kind == Kind::Right && self.end_us <= self.planned.at_us + self.planned.deadline_ms * 1_000
    }

    /// Returns whether it is a generation.
    pub fn is_generation(&self) -> bool {
        matches!(self.planned.work, Work::Generate { .. })
    }
}

/// Sends requests from one thread.
pub struct Sender {
    /// Chooses the entry.
    pub balancer: Rc<Balancer>,
    /// Clients of the teams, in their order.
    pub callers: Vec<Caller>,
    /// Further tries after a request was not run or its connection broke.
    pub retries: usize,
    /// Start of the load.
    pub begin: Instant,
}

impl Sender {
    /// Creates the sender.
    pub fn new(balancer: Rc<Balancer>, teams: &[Team], retries: usize, begin: Instant) -> Self {
        let callers = teams.iter().map(|team| Caller::new(&team.token())).collect();
        Self { balancer, callers, retries, begin }
    }

    /// Sends everything and waits for all ends.
    pub async fn send_all(self: Rc<Self>, schedule: Vec<Planned>) -> Vec<Record> {
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
            // A task that panicked left no record, which the report shows as a request without an end.
            let _ = task.await;
        }
        records.take()
    }

    fn elapsed_us(&self) -> u64 {
        u64::try_from(self.begin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    async fn send(&self, planned: Rc<Planned>) -> Record {
        let sent_us = self.elapsed_us();
        let deadline_us = planned.at_us + planned.deadline_ms * 1_000;
        let key_time_ms = SystemClock::start().unix_ms();
        let mut record = Record {
            planned: Rc::clone(&planned),
            sent_us,
            end_us: sent_us,
            last_try_us: sent_us,
            token_us: Vec::new(),
            kind: Kind::NotRun,
            reason: "no_time_to_send".to_owned(),
            tries: Vec::new(),
        };
        let mut avoided = None;
        loop {
            let now_us = self.elapsed_us();
            let left_ms = deadline_us.saturating_sub(now_us) / 1_000;
            let Some(entry) = self.balancer.pick(avoided).filter(|_| left_ms > 0) else { return record };
            record.last_try_us = now_us;
            let received = self.attempt(entry, &planned, left_ms, key_time_ms).await;
            record.end_us = self.elapsed_us();
            record.tries.push(Try { request: received.request, kind: received.kind });
            record.token_us = received.token_us.iter().map(|us| now_us + us).collect();
            // A later "not run" says nothing about an earlier try whose connection broke.
            let hides = received.kind == Kind::NotRun && record.kind == Kind::Broken;
            if !hides || record.tries.len() == 1 {
                record.kind = received.kind;
                record.reason = received.reason;
            }
            let again = matches!(received.kind, Kind::NotRun | Kind::Broken);
            if !again || record.tries.len() > self.retries {
                return record;
            }
            avoided = Some(entry);
            actix_rt::time::sleep(RETRY_PAUSE * u32::try_from(record.tries.len()).unwrap_or(1)).await;
        }
    }

    async fn attempt(&self, entry: Address, planned: &Planned, left_ms: u64, key_time_ms: u64) -> Received {
        let limit = Duration::from_millis(left_ms) + GRACE;
        let Some(caller) = self.callers.get(planned.team) else { return broken("no such team") };
        let sent = Instant::now();
        let attempt = async {
            match &planned.work {
                Work::Generate { prompt, max_tokens } => {
                    let routed =
                        Routed { caller: caller.clone(), entry, model: Model::new(MODEL, 1), layers: LAYERS };
                    let ask = Ask { prompt: prompt.clone(), max_tokens: *max_tokens, deadline_ms: left_ms };
                    routed.generate(&ask).await
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
                            Received {
                                kind: Kind::of(&answer.outcome, right),
                                reason: answer.outcome.reason.unwrap_or_default(),
                                request: answer.outcome.request,
                                token_us: Vec::new(),
                                whole_us: u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX),
                            }
                        }
                        Err(error) => broken(&error.to_string()),
                    }
                }
            }
        };
        match actix_rt::time::timeout(limit, attempt).await {
            Ok(received) => received,
            Err(_) => broken("no outcome by the deadline"),
        }
    }
}

fn broken(reason: &str) -> Received {
    Received {
        kind: Kind::Broken,
        reason: reason.to_owned(),
        request: None,
        token_us: Vec::new(),
        whole_us: 0,
    }
}
