//! The policy of a plain service.

use banyannotch::clock::US_PER_MS;
use banyannotch::duty::Duty;
use banyannotch::engine::{CallAnswer, CallRequest, ServiceLoad};
use serde_json::json;

use super::{Answer, Counts, Message, Refused, Runs, ServiceFaults, ServiceSettings};
use crate::control::take_one;
use crate::process::{Arrival, Effect, Ticket};

type Effects = Vec<Effect<Answer>>;

/// A call that ran and whose answer is due later.
#[derive(Debug)]
struct Running {
    due_us: u64,
    ticket: Ticket,
    answer: CallAnswer,
}

/// A plain service.
#[derive(Debug)]
pub struct Service {
    settings: ServiceSettings,
    faults: ServiceFaults,
    running: Vec<Running>,
    counts: Counts,
    /// Messages that arrived while the service was frozen.
    frozen: Vec<Arrival<Message>>,
}

impl Service {
    /// Creates a service.
    pub fn new(settings: ServiceSettings) -> Self {
        let faults = settings.faults.clone();
        Self { settings, faults, running: Vec::new(), counts: Counts::default(), frozen: Vec::new() }
    }

    fn on_message(&mut self, now_us: u64, ticket: Ticket, message: Message, effects: &mut Effects) {
        let answer = match message {
            Message::Call(call) => match self.check(&call) {
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

    fn check(&mut self, call: &CallRequest) -> std::result::Result<(), Refused> {
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

    /// Takes effect at once, so that a caller whose connection breaks cannot tell whether the call ran.
    fn run(&mut self, now_us: u64, ticket: Ticket, call: &CallRequest) {
        self.counts.calls += 1;
        count(&mut self.counts.operations, &call.operation);
        if let Some(key) = &call.key
            && count(&mut self.counts.keys, key) > 1
        {
            self.counts.duplicates += 1;
        }
        let result = json!({
            "operation": call.operation,
            "payload": call.payload,
            "number": self.counts.calls,
        });
        let due_us = now_us + self.faults.delay_ms * US_PER_MS;
        self.running.push(Running { due_us, ticket, answer: CallAnswer { result } });
    }

    fn answer_due(&mut self, now_us: u64, effects: &mut Effects) {
        let (due, rest): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|running| running.due_us <= now_us);
        self.running = rest;
        for Running { ticket, answer, .. } in due {
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
            running: self.running.len() as u32,
            leaving: self.faults.leaving,
        }
    }

    /// Takes the messages that arrived while frozen, once the fault is cleared.
    fn thaw(&mut self, now_us: u64, effects: &mut Effects) {
        if self.faults.freeze {
            return;
        }
        for arrival in std::mem::take(&mut self.frozen) {
            self.on_message(now_us, arrival.ticket, arrival.message, effects);
        }
    }
}

/// Adds one run and returns the number of runs under the name.
fn count(all: &mut Vec<Runs>, name: &str) -> u64 {
    match all.binary_search_by(|runs| runs.name.as_str().cmp(name)) {
        Ok(index) => all.get_mut(index).map_or(0, |runs| {
            runs.runs += 1;
            runs.runs
        }),
        Err(index) => {
            all.insert(index, Runs { name: name.to_owned(), runs: 1 });
            1
        }
    }
}

impl Duty for Service {
    type Event = Arrival<Message>;
    type Action = Effect<Answer>;

    fn on_event(&mut self, now_us: u64, event: Self::Event, actions: &mut Effects) {
        if self.faults.freeze && !event.message.is_control() {
            self.frozen.push(event);
            return;
        }
        self.on_message(now_us, event.ticket, event.message, actions);
        self.thaw(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        if self.faults.freeze {
            return None;
        }
        self.running.iter().map(|running| running.due_us).min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Effects) {
        if !self.faults.freeze {
            self.answer_due(now_us, actions);
        }
    }
}
