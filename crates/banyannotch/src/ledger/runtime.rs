//! Thread of the ledger: rings in, the log, rings out. Nothing is decided here.

use std::time::Duration;

use super::{
    Action, Answer, Appending, Batch, Event, Input, Invariant, Ledger, LedgerSettings, Nonce, decode,
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

/// Rings of the duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// From execution.
    pub inbound: Vec<Receiver<Event>>,
    /// To execution.
    pub execution: Sender<execution::Event>,
    /// To telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the thread.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
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
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH).map(Input::Asked));
        // The clock alone is no reason to go on, except at the start.
        let started = std::mem::replace(&mut self.started, true);
        if started && events.len() == 1 {
            events.clear();
        }
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Read { shard, from, max, wait_ms, after_ms } => {
                self.read(shard, from, max, wait_ms, after_ms);
            }
            Action::Append { shard, batch, limit_ms } => self.append(shard, &batch, limit_ms),
            Action::Answer(answer) => self.answer(answer),
            Action::Decide(decision) => {
                Note::Decision(Decision::Ledger(decision)).send(&mut self.links.telemetry);
            }
            Action::Violated { invariant, nonce } => report(invariant, nonce),
        }
    }

    fn flush(&mut self) {
        self.links.execution.flush();
        self.links.telemetry.flush();
    }
}

impl<C: Clock, L: LogService> LedgerPorts<C, L> {
    fn read(&self, shard: usize, from: LogOffset, max: u32, wait_ms: u64, after_ms: u64) {
        let Some(stream) = self.streams.get(shard).cloned() else { return };
        let (log, mailbox) = (self.log.clone(), self.mailbox.clone());
        actix_rt::spawn(async move {
            if after_ms > 0 {
                actix_rt::time::sleep(Duration::from_millis(after_ms)).await;
            }
            let records = log.read(&stream, from, max, wait_ms).await;
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

    fn append(&self, shard: usize, batch: &Batch, limit_ms: u64) {
        let Some(stream) = self.streams.get(shard).cloned() else { return };
        let (log, mailbox) = (self.log.clone(), self.mailbox.clone());
        let record = match encode_batch(batch) {
            Ok(record) => record,
            Err(error) => {
                log::error!("event=batch_not_encoded stream={stream} error={error}");
                return mailbox.put(Input::Appended { shard, result: Appending::Refused });
            }
        };
        metrics::counter!("banyannotch_ledger_items_total").increment(batch.items.len() as u64);
        actix_rt::spawn(async move {
            let result = match log.append(&stream, &record, limit_ms).await {
                Ok(_) => Appending::Done,
                Err(error) => {
                    log::debug!("event=log_not_appended stream={stream} error={error}");
                    if error.may_have_been_appended() { Appending::Unclear } else { Appending::Refused }
                }
            };
            metrics::counter!("banyannotch_ledger_appends_total", "result" => name(result)).increment(1);
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

fn name(result: Appending) -> &'static str {
    match result {
        Appending::Done => "done",
        Appending::Refused => "refused",
        Appending::Unclear => "unclear",
    }
}

fn report(invariant: Invariant, nonce: Nonce) {
    let name = invariant.name();
    metrics::counter!("banyannotch_invariant_violations_total", "invariant" => name).increment(1);
    log::error!("event=invariant_violated invariant={name} nonce={}", nonce.0);
}
