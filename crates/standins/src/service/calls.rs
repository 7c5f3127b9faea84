//! Policy of a plain service: runs calls and answers them after the configured delay.

use banyannotch::clock::US_PER_MS;
use banyannotch::duty::Duty;
use banyannotch::engine::{CallAnswer, CallRequest, ServiceLoad};
use serde_json::json;

use super::{Answer, Counts, Message, Refused, Runs, ServiceFaults, ServiceSettings};
use crate::control::take_one;
use crate::process::{Arrival, Effect, Ticket};

type Effects = Vec<Effect<Answer>>;

/// A call that has run and whose answer is due at `due_us`.
#[derive(Debug)]
struct PendingAnswer {
    due_us: u64,
    ticket: Ticket,
    answer: CallAnswer,
}

/// State of a plain service: its faults, unanswered calls and counters.
#[derive(Debug)]
pub struct Service {
    settings: ServiceSettings,
    faults: ServiceFaults,
    pending_answers: Vec<PendingAnswer>,
    counts: Counts,
    /// Messages that arrived while the `freeze` fault was active.
    deferred: Vec<Arrival<Message>>,
}

impl Service {
    /// Creates a service with the faults of its settings active.
    pub fn new(settings: ServiceSettings) -> Self {
        let faults = settings.faults.clone();
        Self {
            settings,
            faults,
            pending_answers: Vec::new(),
            counts: Counts::default(),
            deferred: Vec::new(),
        }
    }

    fn on_message(&mut self, now_us: u64, ticket: Ticket, message: Message, effects: &mut Effects) {
        let answer = match message {
            Message::Call(call) => match self.admit(&call) {
                Ok(()) => return self.run(now_us, ticket, &call),
                Err(refused) => {
                    self.counts.refused += 1;
                    Answer::Refused(refused)
                }
            },
            Message::Load => Answer::Load(self.load()),
            Message::SetFaults(patch) => {
                self.faults.merge(patch);
                Answer::Faults(self.faults.clone())
            }
            Message::Counts => Answer::Counts(self.counts.clone()),
        };
        effects.push(Effect::Send { ticket, answer, delay_us: 0 });
    }

    fn admit(&mut self, call: &CallRequest) -> std::result::Result<(), Refused> {
        let operations = &self.settings.operations;
        if self.faults.leaving {
            return Err(Refused::Leaving);
        }
        if !operations.is_empty() && !operations.contains(&call.operation) {
            return Err(Refused::UnknownOperation { operations: operations.clone() });
        }
        if take_one(&mut self.faults.refuse_next) {
            return Err(Refused::Fault);
        }
        Ok(())
    }

    /// Runs the call on arrival and schedules its answer, so that a caller whose connection breaks cannot
    /// tell whether the call ran.
    fn run(&mut self, now_us: u64, ticket: Ticket, call: &CallRequest) {
        self.counts.calls += 1;
        increment(&mut self.counts.operations, &call.operation);
        if let Some(key) = &call.key
            && increment(&mut self.counts.keys, key) > 1
        {
            self.counts.duplicates += 1;
        }
        let result = json!({
            "operation": call.operation,
            "payload": call.payload,
            "number": self.counts.calls,
        });
        let due_us = now_us + self.faults.delay_ms * US_PER_MS;
        self.pending_answers.push(PendingAnswer { due_us, ticket, answer: CallAnswer { result } });
    }

    fn answer_due(&mut self, now_us: u64, effects: &mut Effects) {
        let (due, not_due): (Vec<_>, Vec<_>) =
            self.pending_answers.drain(..).partition(|pending| pending.due_us <= now_us);
        self.pending_answers = not_due;
        for PendingAnswer { ticket, answer, .. } in due {
            if take_one(&mut self.faults.drop_answer_next) {
                self.counts.dropped_answers += 1;
                effects.push(Effect::Close { ticket });
            } else {
                effects.push(Effect::Send { ticket, answer: Answer::Called(answer), delay_us: 0 });
            }
        }
    }

    fn load(&self) -> ServiceLoad {
        ServiceLoad {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            service: self.settings.service.clone(),
            running: self.pending_answers.len() as u32,
            leaving: self.faults.leaving,
        }
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
}

/// Increments the number of runs under a key or operation and returns it.
fn increment(counters: &mut Vec<Runs>, name: &str) -> u64 {
    match counters.binary_search_by(|runs| runs.name.as_str().cmp(name)) {
        Ok(index) => counters.get_mut(index).map_or(0, |runs| {
            runs.runs += 1;
            runs.runs
        }),
        Err(index) => {
            counters.insert(index, Runs { name: name.to_owned(), runs: 1 });
            1
        }
    }
}

impl Duty for Service {
    type Event = Arrival<Message>;
    type Action = Effect<Answer>;

    fn on_event(&mut self, now_us: u64, event: Self::Event, actions: &mut Effects) {
        if self.faults.freeze && !event.message.is_control() {
            self.deferred.push(event);
            return;
        }
        self.on_message(now_us, event.ticket, event.message, actions);
        self.handle_deferred(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        if self.faults.freeze {
            return None;
        }
        self.pending_answers.iter().map(|pending| pending.due_us).min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Effects) {
        if !self.faults.freeze {
            self.answer_due(now_us, actions);
        }
    }
}
