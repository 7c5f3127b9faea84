//! Thread of the ledger. It connects the policy to the rings and to the log service and makes no decisions of
//! its own.

use std::time::Duration;

use super::{
    Action, Answer, AppendResult, Batch, Event, Input, Invariant, Ledger, LedgerSettings, Nonce, decode,
    encode_batch, stream_name,
};
use crate::backing::{HttpLog, LogService};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::execution;
use crate::http::{Client, ClientSettings};
use crate::ids::{Incarnation, InstanceId, LogOffset};
use crate::pipeline::Address;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::telemetry::{Decision, Note};

/// Ring ends of the ledger duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// Events from execution.
    pub inbound: Vec<Receiver<Event>>,
    /// Answers to execution.
    pub execution: Sender<execution::Event>,
    /// Decisions for telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the ledger's thread.
///
/// # Errors
/// Returns the operating system's error if the thread cannot be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: LedgerSettings,
    entry: InstanceId,
    log: Address,
    seed: u64,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let own = supervisor.clone();
    supervisor.spawn("ledger", move || async move {
        let bell = links.bell.clone();
        let log = HttpLog::new(Client::new(ClientSettings::default()), log);
        let streams = (0..settings.shards.max(1)).map(stream_name).collect();
        let incarnation = Incarnation(clock.unix_ms());
        let ledger = Ledger::new(settings, entry, incarnation, seed);
        let mailbox = Mailbox::new(&bell);
        let ports = LedgerPorts {
            clock: clock.clone(),
            links,
            mailbox,
            log,
            streams,
            started: false,
            supervisor: own,
        };
        duty::run(clock, bell, ledger, ports).await;
    })
}

struct LedgerPorts<C, L> {
    clock: C,
    links: Links,
    mailbox: Mailbox<Input>,
    log: L,
    streams: Vec<String>,
    started: bool,
    supervisor: Supervisor,
}

impl<C: Clock, L: LogService> Ports for LedgerPorts<C, L> {
    type Event = Input;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Input>) {
        events.push(Input::Clock { unix_ms: self.clock.unix_ms() });
        self.mailbox.take_into(events);
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH).map(Input::Event));
        // A clock reading alone does not wake the policy, except for the first one, which starts the reads.
        let started = std::mem::replace(&mut self.started, true);
        if started && events.len() == 1 {
            events.clear();
        }
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Read { shard, from, max_records, wait_ms, delay_ms } => {
                self.read(shard, from, max_records, wait_ms, delay_ms);
            }
            Action::Append { shard, batch, timeout_ms } => self.append(shard, &batch, timeout_ms),
            Action::Answer(answer) => self.answer(answer),
            Action::Decide(decision) => {
                Note::Decision(Decision::Ledger(decision)).send(&mut self.links.telemetry);
            }
            Action::Violated { invariant, nonce } => report_violation(invariant, nonce),
        }
    }

    fn flush(&mut self) {
        self.links.execution.flush();
        self.links.telemetry.flush();
    }
}

impl<C: Clock, L: LogService> LedgerPorts<C, L> {
    fn read(&self, shard: usize, from: LogOffset, max_records: u32, wait_ms: u64, delay_ms: u64) {
        let Some(stream) = self.streams.get(shard).cloned() else { return };
        let (log, mailbox) = (self.log.clone(), self.mailbox.clone());
        actix_rt::spawn(async move {
            if delay_ms > 0 {
                actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
            }
            let records = log.read(&stream, from, max_records, wait_ms).await;
            if let Err(error) = &records {
                log::debug!("event=log_not_read stream={stream} error={error}");
            }
            let page = records.ok().map(|records| decode(&records));
            let unreadable =
                page.iter().flat_map(|page| &page.rows).filter(|row| row.batch.is_none()).count();
            if unreadable > 0 {
                log::warn!("event=records_unreadable stream={stream} records={unreadable}");
                metrics::counter!("banyannotch_ledger_unreadable_records_total").increment(unreadable as u64);
            }
            mailbox.put(Input::Read { shard, page });
        });
    }

    fn append(&self, shard: usize, batch: &Batch, timeout_ms: u64) {
        let Some(stream) = self.streams.get(shard).cloned() else { return };
        let (log, mailbox) = (self.log.clone(), self.mailbox.clone());
        let record = match encode_batch(batch) {
            Ok(record) => record,
            Err(error) => {
                log::error!("event=batch_not_encoded stream={stream} error={error}");
                return mailbox.put(Input::Appended { shard, result: AppendResult::Refused });
            }
        };
        metrics::counter!("banyannotch_ledger_items_total").increment(batch.items.len() as u64);
        actix_rt::spawn(async move {
            let result = match log.append(&stream, &record, timeout_ms).await {
                Ok(_) => AppendResult::Done,
                Err(error) => {
                    log::debug!("event=log_not_appended stream={stream} error={error}");
                    if error.may_have_been_appended() { AppendResult::Unclear } else { AppendResult::Refused }
                }
            };
            metrics::counter!("banyannotch_ledger_appends_total", "result" => result_label(result))
                .increment(1);
            mailbox.put(Input::Appended { shard, result });
        });
    }

    fn answer(&mut self, answer: Answer) {
        let verdict = answer.verdict.kind();
        metrics::counter!("banyannotch_ledger_answers_total", "verdict" => verdict).increment(1);
        let event = execution::Event::Claimed(answer);
        self.links.execution.send_or_fail(event, "ledger_execution", &self.supervisor);
    }
}

fn result_label(result: AppendResult) -> &'static str {
    match result {
        AppendResult::Done => "done",
        AppendResult::Refused => "refused",
        AppendResult::Unclear => "unclear",
    }
}

fn report_violation(invariant: Invariant, nonce: Nonce) {
    let name = invariant.name();
    metrics::counter!("banyannotch_invariant_violations_total", "invariant" => name).increment(1);
    log::error!("event=invariant_violated invariant={name} nonce={}", nonce.0);
}
