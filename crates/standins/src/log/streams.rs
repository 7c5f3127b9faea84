//! The policy of the log service.

use std::collections::VecDeque;

use banyannotch::backing::{Appended, Record, Records};
use banyannotch::clock::US_PER_MS;
use banyannotch::duty::Duty;
use banyannotch::ids::LogOffset;

use super::rate::TokenBucket;
use super::{Answer, Counts, LogFaults, LogSettings, Message, ReadRequest, Refused};
use crate::control::take_one;
use crate::process::{Arrival, Effect, Ticket};

/// Maximum content of a page, in bytes. A single larger record still forms a page of its own.
const MAX_PAGE_BYTES: usize = 1 << 20;

type Effects = Vec<Effect<Answer>>;

/// A stream of records. Offsets are never reused, even after records have expired.
#[derive(Debug)]
struct Stream {
    name: String,
    next: LogOffset,
    records: VecDeque<Record>,
}

impl Stream {
    fn new(name: &str) -> Self {
        Self { name: name.to_owned(), next: LogOffset(1), records: VecDeque::new() }
    }

    fn append(&mut self, time_ms: u64, data: String) -> LogOffset {
        let offset = self.next;
        self.next = LogOffset(offset.0 + 1);
        self.records.push_back(Record { offset, time_ms, data });
        offset
    }

    fn first(&self) -> LogOffset {
        self.records.front().map_or(self.next, |record| record.offset)
    }

    fn expire(&mut self, before_ms: u64) -> u64 {
        let expired = self.records.partition_point(|record| record.time_ms < before_ms);
        self.records.drain(..expired);
        expired as u64
    }

    fn page(&self, from: LogOffset, max: usize) -> Records {
        let first = self.first();
        let from = from.max(first);
        let skipped = self.records.partition_point(|record| record.offset < from);
        let mut bytes = 0;
        let records: Vec<Record> = self
            .records
            .iter()
            .skip(skipped)
            .take(max)
            .take_while(|record| {
                let fits = bytes == 0 || bytes + record.data.len() <= MAX_PAGE_BYTES;
                bytes += record.data.len();
                fits
            })
            .cloned()
            .collect();
        let next = records.last().map_or(from, |record| LogOffset(record.offset.0 + 1));
        Records { first, next, records }
    }
}

/// A long-polling read that waits for the first record of its page.
#[derive(Debug)]
struct PendingRead {
    deadline_us: u64,
    ticket: Ticket,
    request: ReadRequest,
}

/// The log service.
#[derive(Debug)]
pub struct Log {
    origin_unix_ms: u64,
    faults: LogFaults,
    bucket: TokenBucket,
    /// Sorted by name.
    streams: Vec<Stream>,
    pending_reads: Vec<PendingRead>,
    counts: Counts,
}

impl Log {
    /// Creates a log service without streams.
    pub fn new(settings: LogSettings) -> Self {
        Self {
            origin_unix_ms: settings.origin_unix_ms,
            faults: settings.faults,
            bucket: TokenBucket::full(),
            streams: Vec::new(),
            pending_reads: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn send(&self, ticket: Ticket, answer: Answer, effects: &mut Effects) {
        let control = matches!(answer, Answer::Faults(_) | Answer::Counts(_));
        let delay_us = if control { 0 } else { self.faults.delay_ms * US_PER_MS };
        effects.push(Effect::Send { ticket, answer, delay_us });
    }

    fn refuse(&mut self, ticket: Ticket, refused: Refused, effects: &mut Effects) {
        match refused {
            Refused::OverRate => self.counts.over_rate += 1,
            Refused::Down => self.counts.down += 1,
        }
        self.send(ticket, Answer::Refused(refused), effects);
    }

    fn append(&mut self, now_us: u64, ticket: Ticket, name: &str, data: String, effects: &mut Effects) {
        if self.faults.down {
            return self.refuse(ticket, Refused::Down, effects);
        }
        let rejected = take_one(&mut self.faults.reject_next);
        if rejected || !self.bucket.take(now_us, self.faults.rate_per_s) {
            return self.refuse(ticket, Refused::OverRate, effects);
        }
        let time_ms = self.unix_ms(now_us);
        let index = self.find_or_create(name);
        let Some(stream) = self.streams.get_mut(index) else {
            return;
        };
        let offset = stream.append(time_ms, data);
        self.counts.appended += 1;
        if take_one(&mut self.faults.lose_answer_next) {
            self.counts.lost_answers += 1;
            effects.push(Effect::Close { ticket });
        } else {
            self.send(ticket, Answer::Appended(Appended { offset }), effects);
        }
        self.answer_ready_reads(effects, |pending| pending.request.stream == name);
    }

    fn read(&mut self, now_us: u64, ticket: Ticket, request: ReadRequest, effects: &mut Effects) {
        if self.faults.down {
            return self.refuse(ticket, Refused::Down, effects);
        }
        let page = self.page(&request);
        if page.records.is_empty() && request.wait_ms > 0 {
            let deadline_us = now_us + request.wait_ms * US_PER_MS;
            self.pending_reads.push(PendingRead { deadline_us, ticket, request });
            return;
        }
        self.counts.reads += 1;
        self.send(ticket, Answer::Records(page), effects);
    }

    /// Answers the selected pending reads for which there is now a record.
    fn answer_ready_reads(&mut self, effects: &mut Effects, selected: impl Fn(&PendingRead) -> bool) {
        let (selected, rest): (Vec<_>, Vec<_>) = self.pending_reads.drain(..).partition(selected);
        self.pending_reads = rest;
        for pending in selected {
            let page = self.page(&pending.request);
            if page.records.is_empty() {
                self.pending_reads.push(pending);
            } else {
                self.counts.reads += 1;
                self.send(pending.ticket, Answer::Records(page), effects);
            }
        }
    }

    /// Answers the pending reads whose wait is over, with an empty page if there is still no record.
    fn answer_due_reads(&mut self, now_us: u64, effects: &mut Effects) {
        let (due, rest): (Vec<_>, Vec<_>) =
            self.pending_reads.drain(..).partition(|pending| pending.deadline_us <= now_us);
        self.pending_reads = rest;
        for pending in due {
            let page = self.page(&pending.request);
            self.counts.reads += 1;
            self.send(pending.ticket, Answer::Records(page), effects);
        }
    }

    fn set_faults(&mut self, ticket: Ticket, patch: super::LogFaultPatch, effects: &mut Effects) {
        self.faults.merge(patch);
        self.send(ticket, Answer::Faults(self.faults.clone()), effects);
        if self.faults.down {
            for pending in std::mem::take(&mut self.pending_reads) {
                self.refuse(pending.ticket, Refused::Down, effects);
            }
        }
    }

    fn page(&self, request: &ReadRequest) -> Records {
        match self.find(&request.stream).ok().and_then(|index| self.streams.get(index)) {
            Some(stream) => stream.page(request.from, request.max),
            None => Stream::new(&request.stream).page(request.from, request.max),
        }
    }

    /// Returns the index of a stream, and creates the stream if it does not exist.
    fn find_or_create(&mut self, name: &str) -> usize {
        self.find(name).unwrap_or_else(|index| {
            self.streams.insert(index, Stream::new(name));
            index
        })
    }

    fn find(&self, name: &str) -> std::result::Result<usize, usize> {
        self.streams.binary_search_by(|stream| stream.name.as_str().cmp(name))
    }

    fn expire(&mut self, now_us: u64) {
        if self.faults.retention_ms == 0 {
            return;
        }
        let before_ms = self.unix_ms(now_us).saturating_sub(self.faults.retention_ms);
        let expired: u64 = self.streams.iter_mut().map(|stream| stream.expire(before_ms)).sum();
        self.counts.expired += expired;
    }

    fn unix_ms(&self, now_us: u64) -> u64 {
        self.origin_unix_ms + now_us / US_PER_MS
    }
}

impl Duty for Log {
    type Event = Arrival<Message>;
    type Action = Effect<Answer>;

    fn on_event(&mut self, now_us: u64, event: Self::Event, actions: &mut Effects) {
        self.expire(now_us);
        let ticket = event.ticket;
        match event.message {
            Message::Append { stream, data } => self.append(now_us, ticket, &stream, data, actions),
            Message::Read(request) => self.read(now_us, ticket, request, actions),
            Message::SetFaults(patch) => self.set_faults(ticket, patch, actions),
            Message::Counts => {
                let counts = Counts { streams: self.streams.len() as u64, ..self.counts };
                self.send(ticket, Answer::Counts(counts), actions);
            }
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        self.pending_reads.iter().map(|pending| pending.deadline_us).min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Effects) {
        self.expire(now_us);
        self.answer_due_reads(now_us, actions);
    }
}
