//! Simulation of several ledgers, a log in memory, and execution, which acts on the ledgers' answers.

use std::collections::VecDeque;
use std::fmt::Write as _;

use crate::duty::Duty;
use crate::ids::{Fingerprint, Incarnation, InstanceId, LogOffset, RequestId};
use crate::ledger::{
    Action, Answer, AppendResult, Batch, Claim, Event, Input, Item, Ledger, LedgerSettings, Nonce,
    OutcomeReport, Page, PageRow, RecordedOutcome, Verdict,
};
use crate::request::{Failure, IdempotencyKey, NotRun, UnknownReason};

/// Unix time at which a world begins, in milliseconds, to which the clocks of the nodes and of the log add
/// their skew.
pub const EPOCH_MS: u64 = 1_000_000;

/// Whether an append takes effect and what its node learns about it. A delayed append takes effect later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendDelivery {
    Done,
    AnswerLost,
    Lost,
    Refused,
    Delayed,
}

/// How a dispatched request ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Completed,
    Failed,
    NotRun,
    Unknown,
}

/// A request and its progress.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: RequestId,
    pub node: usize,
    pub incarnation: Incarnation,
    pub key: usize,
    pub payload: Fingerprint,
    pub deadline_us: u64,
    pub answer: Option<Verdict>,
    pub abandoned: bool,
    /// Whether the node was paused or stopped while the request was open, so that it need not be answered in
    /// time.
    pub unavailable: bool,
    pub phase: Phase,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Phase {
    Claimed,
    Granted(Nonce),
    Dispatched(Nonce),
    Ended(RecordedOutcome),
}

pub struct Node {
    pub ledger: Option<Ledger>,
    pub paused: bool,
    pub incarnation: Incarnation,
    /// How far the node's wall clock is ahead of [`EPOCH_MS`] plus the simulated time.
    pub skew_ms: u64,
    /// Offset after the last delivered page of each shard.
    pub read_to: Vec<LogOffset>,
    /// Whether a page of each shard was delivered since the node's start.
    has_read: Vec<bool>,
    reads: Vec<Option<(LogOffset, u32)>>,
    appends: Vec<Option<Batch>>,
    inbox: VecDeque<Input>,
}

#[derive(Clone, Default)]
struct Stream {
    rows: VecDeque<PageRow>,
    next: u64,
}

pub struct World {
    pub settings: LedgerSettings,
    pub now_us: u64,
    pub nodes: Vec<Node>,
    pub requests: Vec<Request>,
    pub keys: Vec<Option<IdempotencyKey>>,
    /// Outcome that execution reported for each key, unless it was "not run".
    pub final_outcomes: Vec<Option<RecordedOutcome>>,
    pub log_down: bool,
    /// Whether records were dropped before the end of their retention time. Nodes do not start on such a log.
    pub truncated: bool,
    /// Whether nodes may refuse keys as expired early: a node found a gap, or its index is too small for all
    /// keys.
    pub may_expire_early: bool,
    pub fault: Option<String>,
    /// Log of answers, appends and executions, one line each, if it is enabled.
    pub journal: Option<String>,
    streams: Vec<Stream>,
    delayed: Vec<(usize, Batch)>,
    /// Whether a running node was stopped.
    pub stopped: bool,
    starts: u64,
    actions: Vec<Action>,
}

/// Settings with a retention time that is short enough for keys to expire within a script.
pub fn small_settings() -> LedgerSettings {
    LedgerSettings {
        shards: 1,
        retention_ms: 60_000,
        retention_margin_ms: 4_000,
        clock_margin_ms: 1_000,
        holder_grace_ms: 2_000,
        ..LedgerSettings::default()
    }
}

impl World {
    pub fn new(settings: LedgerSettings, nodes: usize, keys: usize) -> Self {
        let shards = settings.shards;
        let mut world = Self {
            settings,
            now_us: 0,
            nodes: Vec::new(),
            requests: Vec::new(),
            keys: vec![None; keys],
            final_outcomes: vec![None; keys],
            log_down: false,
            truncated: false,
            may_expire_early: false,
            fault: None,
            journal: None,
            streams: vec![Stream { rows: VecDeque::new(), next: 1 }; shards],
            delayed: Vec::new(),
            stopped: false,
            starts: 0,
            actions: Vec::new(),
        };
        for node in 0..nodes {
            // The log's clock is 400 ms ahead of the first node's, and the clocks of the other nodes are not
            // behind the log's. All differences are within the clock margin.
            let skew_ms = node as u64 * 400;
            world.nodes.push(Node {
                ledger: None,
                paused: false,
                incarnation: Incarnation(0),
                skew_ms,
                read_to: Vec::new(),
                has_read: Vec::new(),
                reads: Vec::new(),
                appends: Vec::new(),
                inbox: VecDeque::new(),
            });
            world.start(node);
        }
        world
    }

    pub fn log_ms(&self) -> u64 {
        EPOCH_MS + 400 + self.now_us / 1_000
    }

    pub fn unix_ms(&self, node: usize) -> u64 {
        EPOCH_MS + self.nodes[node].skew_ms + self.now_us / 1_000
    }

    /// Restarts a node with a new incarnation and without its earlier state.
    pub fn start(&mut self, node: usize) {
        self.stop(node);
        if self.truncated {
            return;
        }
        self.starts += 1;
        let incarnation = Incarnation(self.starts);
        let name = InstanceId::new(format!("entry-{node}"));
        let shards = self.settings.shards;
        let state = &mut self.nodes[node];
        state.ledger = Some(Ledger::new(self.settings.clone(), name, incarnation, self.starts));
        state.incarnation = incarnation;
        state.read_to = vec![LogOffset(1); shards];
        state.has_read = vec![false; shards];
        state.reads = vec![None; shards];
        state.appends = vec![None; shards];
        self.deliver_inbox(node);
    }

    /// Stops a node abruptly. An append in flight may still take effect.
    pub fn stop(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        self.stopped |= state.ledger.take().is_some();
        state.paused = false;
        state.inbox.clear();
        let open: Vec<_> = state.appends.iter_mut().map(Option::take).enumerate().collect();
        self.delayed.extend(open.into_iter().filter_map(|(shard, batch)| Some((shard, batch?))));
        for request in &mut self.requests {
            if request.node == node {
                request.unavailable = true;
            }
        }
    }

    pub fn pause(&mut self, node: usize) {
        if self.nodes[node].ledger.is_none() {
            return;
        }
        self.nodes[node].paused = true;
        for request in &mut self.requests {
            if request.node == node {
                request.unavailable = true;
            }
        }
    }

    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        self.deliver_inbox(node);
    }

    /// Resumes a node in the middle of a batch, with the clock reading and the timers from before the pause.
    pub fn resume_between_inputs(&mut self, node: usize) {
        self.nodes[node].paused = false;
        while let Some(input) = self.nodes[node].inbox.pop_front() {
            self.input(node, input);
        }
    }

    pub fn is_live(&self, node: usize) -> bool {
        self.nodes[node].ledger.is_some() && !self.nodes[node].paused
    }

    /// Returns a key. It is created at its first use.
    pub fn key(&mut self, index: usize) -> IdempotencyKey {
        let made_ms = self.log_ms();
        self.keys[index]
            .get_or_insert_with(|| IdempotencyKey {
                team: "desk".into(),
                key: format!("key-{index}"),
                made_ms,
            })
            .clone()
    }

    /// Submits a request and returns its index, or `None` if the node is not running.
    pub fn submit(&mut self, node: usize, key: usize, payload: u128, wait_ms: u64) -> Option<usize> {
        if !self.is_live(node) {
            return None;
        }
        let idempotency_key = self.key(key);
        let request = Request {
            id: RequestId(self.requests.len() as u128 + 1),
            node,
            incarnation: self.nodes[node].incarnation,
            key,
            payload: Fingerprint(payload),
            deadline_us: self.now_us + wait_ms * 1_000,
            answer: None,
            abandoned: false,
            unavailable: false,
            phase: Phase::Claimed,
        };
        let claim = Claim {
            request: request.id,
            key: idempotency_key,
            payload: request.payload,
            deadline_us: request.deadline_us,
        };
        self.requests.push(request);
        self.send_event(node, Event::Claim(claim));
        Some(self.requests.len() - 1)
    }

    pub fn abandon(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.answer.is_some() || request.abandoned || !self.is_current(index) {
            return;
        }
        self.requests[index].abandoned = true;
        let (node, id) = (self.requests[index].node, self.requests[index].id);
        self.send_event(node, Event::Abandon(id));
        if self.requests[index].answer.is_none() {
            self.report_fault(format!("request {id} was abandoned and is not answered"));
        }
    }

    /// Performs the next step of a request in execution: dispatches it if it is granted, or ends it if it is
    /// dispatched. `late` simulates a pause between the check of the deadline and the dispatch.
    pub fn execute(&mut self, index: usize, end: End, late: bool) {
        if !self.is_current(index) {
            return;
        }
        let request = &self.requests[index];
        let (node, key, id) = (request.node, request.key, request.id);
        match request.phase.clone() {
            Phase::Granted(nonce) => {
                let past = request.deadline_us <= self.now_us && !late;
                if past || request.abandoned {
                    return self.end(index, nonce, RecordedOutcome::NotRun(NotRun::Deadline));
                }
                let ran = |other: &&Request| {
                    other.key == key
                        && match &other.phase {
                            Phase::Dispatched(_) => true,
                            Phase::Ended(outcome) => !matches!(outcome, RecordedOutcome::NotRun(_)),
                            Phase::Claimed | Phase::Granted(_) => false,
                        }
                };
                if let Some(other) = self.requests.iter().find(ran) {
                    let other = other.id;
                    self.report_fault(format!("key {key} is dispatched for request {other} and for {id}"));
                }
                self.requests[index].phase = Phase::Dispatched(nonce);
                self.note(format_args!("entry-{node} dispatches request {}", id.0));
            }
            Phase::Dispatched(nonce) => {
                let outcome = match end {
                    End::Completed => RecordedOutcome::Completed { result: format!("\"{id}\"") },
                    End::Failed => RecordedOutcome::Failed(Failure::Service),
                    End::NotRun => RecordedOutcome::NotRun(NotRun::Refused),
                    End::Unknown => RecordedOutcome::Unknown(UnknownReason::ConnectionLost),
                };
                self.end(index, nonce, outcome);
            }
            Phase::Claimed | Phase::Ended(_) => {}
        }
    }

    fn end(&mut self, index: usize, nonce: Nonce, outcome: RecordedOutcome) {
        let request = &mut self.requests[index];
        let (node, key) = (request.node, request.key);
        request.phase = Phase::Ended(outcome.clone());
        if !matches!(outcome, RecordedOutcome::NotRun(_)) {
            self.final_outcomes[key] = Some(outcome.clone());
        }
        let id = self.requests[index].id.0;
        self.note(format_args!("entry-{node} ends request {id} as {}", outcome.kind()));
        let key = self.key(key);
        self.send_event(node, Event::RecordOutcome(OutcomeReport { key, nonce, outcome }));
    }

    fn is_current(&self, index: usize) -> bool {
        let request = &self.requests[index];
        self.is_live(request.node) && self.nodes[request.node].incarnation == request.incarnation
    }

    /// Ends the append in flight of a node. Returns whether there was one.
    pub fn append(&mut self, node: usize, shard: usize, delivery: AppendDelivery) -> bool {
        let Some(batch) = self.nodes[node].appends.get_mut(shard).and_then(Option::take) else {
            return false;
        };
        let delivery = if self.log_down { AppendDelivery::Refused } else { delivery };
        self.note(format_args!("entry-{node} appends {}: {delivery:?}", describe(&batch)));
        let result = match delivery {
            AppendDelivery::Done => {
                self.store(shard, batch);
                AppendResult::Done
            }
            AppendDelivery::AnswerLost => {
                self.store(shard, batch);
                AppendResult::Unclear
            }
            AppendDelivery::Lost => AppendResult::Unclear,
            AppendDelivery::Delayed => {
                self.delayed.push((shard, batch));
                AppendResult::Unclear
            }
            AppendDelivery::Refused => AppendResult::Refused,
        };
        self.nodes[node].inbox.push_back(Input::Appended { shard, result });
        self.deliver_inbox(node);
        true
    }

    /// Applies the oldest delayed append.
    pub fn apply_delayed_append(&mut self) {
        if self.delayed.is_empty() || self.log_down {
            return;
        }
        let (shard, batch) = self.delayed.remove(0);
        self.note(format_args!("delayed append takes effect: {}", describe(&batch)));
        self.store(shard, batch);
    }

    fn store(&mut self, shard: usize, batch: Batch) {
        let time_ms = self.log_ms();
        let stream = &mut self.streams[shard];
        stream.rows.push_back(PageRow { offset: LogOffset(stream.next), time_ms, batch: Some(batch) });
        stream.next += 1;
    }

    /// Ends the open read of a node with a page of at most `max` records. Returns whether the page had
    /// records.
    pub fn read(&mut self, node: usize, shard: usize, max: usize) -> bool {
        let Some((from, limit)) = self.nodes[node].reads.get_mut(shard).and_then(Option::take) else {
            return false;
        };
        let page = (!self.log_down).then(|| self.page(shard, from, max.min(limit as usize)));
        let found = page.as_ref().is_some_and(|page| !page.rows.is_empty());
        self.nodes[node].inbox.push_back(Input::Read { shard, page });
        self.deliver_inbox(node);
        found
    }

    fn page(&self, shard: usize, from: LogOffset, max: usize) -> Page {
        let stream = &self.streams[shard];
        let first = stream.rows.front().map_or(stream.next, |row| row.offset.0);
        let rows = stream.rows.iter().filter(|row| row.offset >= from).take(max);
        let rows: Vec<PageRow> = rows.cloned().collect();
        let next = rows.last().map_or(from.0.max(first), |row| row.offset.0 + 1);
        Page { first: LogOffset(first), next: LogOffset(next), rows }
    }

    /// Drops the oldest record early, provided that every running node has read a page. Only such a node
    /// detects the gap.
    pub fn truncate(&mut self, shard: usize) {
        let all_read = self.nodes.iter().all(|node| node.ledger.is_none() || node.has_read[shard]);
        if all_read && self.streams[shard].rows.pop_front().is_some() {
            self.truncated = true;
        }
    }

    /// Advances time and fires the timers of running nodes when they are due.
    pub fn advance(&mut self, ms: u64) {
        let target_us = self.now_us + ms * 1_000;
        loop {
            let live = (0..self.nodes.len()).filter(|node| self.is_live(*node));
            let due = live.filter_map(|node| {
                let due_us = self.nodes[node].ledger.as_ref()?.next_timer_us()?;
                (due_us <= target_us).then_some((due_us, node))
            });
            let Some((due_us, node)) = due.min() else { break };
            self.now_us = self.now_us.max(due_us);
            self.deliver_inbox(node);
        }
        self.now_us = target_us;
        let log_ms = self.log_ms();
        for stream in &mut self.streams {
            let expired = |row: &PageRow| row.time_ms + self.settings.retention_ms < log_ms;
            while stream.rows.front().is_some_and(expired) {
                stream.rows.pop_front();
            }
        }
        let late = |request: &&Request| {
            !request.unavailable && request.answer.is_none() && request.deadline_us <= self.now_us
        };
        if let Some(request) = self.requests.iter().find(late) {
            self.report_fault(format!("request {} is not answered by its deadline", request.id));
        }
    }

    /// Ends all appends and reads of a node as a healthy log would, until nothing is left.
    pub fn pump(&mut self, node: usize) {
        for shard in 0..self.settings.shards {
            while self.is_live(node) {
                let appended = self.append(node, shard, AppendDelivery::Done);
                if !self.read(node, shard, usize::MAX) && !appended {
                    break;
                }
            }
        }
    }

    /// Delivers the clock and the inbox to a node, then fires its timers that are due.
    fn deliver_inbox(&mut self, node: usize) {
        if !self.is_live(node) {
            return;
        }
        self.input(node, Input::Clock { unix_ms: self.unix_ms(node) });
        while let Some(input) = self.nodes[node].inbox.pop_front() {
            if let Input::Read { shard, page: Some(page) } = &input {
                let state = &mut self.nodes[node];
                self.may_expire_early |= state.has_read[*shard] && page.first > state.read_to[*shard];
                state.read_to[*shard] = page.next;
                state.has_read[*shard] = true;
            }
            self.input(node, input);
        }
        let now_us = self.now_us;
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(ledger) = &mut self.nodes[node].ledger
            && ledger.next_timer_us().is_some_and(|due_us| due_us <= now_us)
        {
            ledger.on_timer(now_us, &mut actions);
        }
        self.perform(node, actions);
    }

    fn send_event(&mut self, node: usize, event: Event) {
        self.input(node, Input::Clock { unix_ms: self.unix_ms(node) });
        self.input(node, Input::Event(event));
    }

    fn input(&mut self, node: usize, input: Input) {
        let now_us = self.now_us;
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(ledger) = &mut self.nodes[node].ledger {
            ledger.on_event(now_us, input, &mut actions);
        }
        self.perform(node, actions);
    }

    fn perform(&mut self, node: usize, mut actions: Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Read { shard, from, max_records, .. } => {
                    let open = self.nodes[node].reads[shard].replace((from, max_records));
                    if open.is_some() {
                        self.report_fault(format!(
                            "entry-{node} reads shard {shard} while another read is open"
                        ));
                    }
                }
                Action::Append { shard, batch, .. } => {
                    let open = self.nodes[node].appends[shard].replace(batch);
                    if open.is_some() {
                        self.report_fault(format!(
                            "entry-{node} appends to shard {shard} while another append is open"
                        ));
                    }
                }
                Action::Answer(answer) => self.on_answer(node, answer),
                Action::Decide(_) => {}
                Action::Violated { invariant, nonce } => {
                    self.report_fault(format!(
                        "claim {1} violates the invariant {0}",
                        invariant.name(),
                        nonce.0
                    ));
                }
            }
        }
        self.actions = actions;
    }

    fn on_answer(&mut self, node: usize, answer: Answer) {
        let index = answer.request.0 as usize - 1;
        let text = describe_verdict(&answer.verdict);
        self.note(format_args!("entry-{node} answers request {}: {text}", answer.request.0));
        let (now_us, log_ms) = (self.now_us, self.log_ms());
        let request = &mut self.requests[index];
        let key = request.key;
        if request.answer.is_some() {
            return self.report_fault(format!("request {} is answered more than once", answer.request));
        }
        request.answer = Some(answer.verdict.clone());
        match answer.verdict {
            Verdict::Granted(nonce) => {
                request.phase = Phase::Granted(nonce);
                if request.deadline_us <= now_us {
                    self.report_fault(format!("request {} is granted after its deadline", answer.request));
                }
                let same = |other: &&Request| matches!(other.phase, Phase::Granted(n) | Phase::Dispatched(n) if n == nonce);
                if self.requests.iter().filter(same).count() > 1 {
                    self.report_fault(format!("claim {} is granted twice", nonce.0));
                }
            }
            Verdict::Recorded(outcome) => {
                if self.final_outcomes[key].as_ref() != Some(&outcome) {
                    self.report_fault(format!(
                        "request {} gets {outcome:?}, but the outcome of key {key} is {:?}",
                        answer.request, self.final_outcomes[key]
                    ));
                }
                let payload = self.requests[index].payload;
                let ran = |other: &&Request| {
                    other.key == key
                        && matches!(&other.phase, Phase::Ended(outcome) if !matches!(outcome, RecordedOutcome::NotRun(_)))
                };
                if self.requests.iter().find(ran).is_some_and(|other| other.payload != payload) {
                    self.report_fault(format!(
                        "request {} gets the outcome of another payload",
                        answer.request
                    ));
                }
            }
            Verdict::Refused(NotRun::KeyConflict) => {
                let payload = self.requests[index].payload;
                if !self.requests.iter().any(|other| other.key == key && other.payload != payload) {
                    self.report_fault(format!("request {} conflicts with no other payload", answer.request));
                }
            }
            Verdict::Refused(reason) => self.check_not_run(node, index, reason, log_ms),
            Verdict::Unknown(_) => {}
        }
    }

    /// Checks a refusal as "not run": no request with the key ran at this incarnation or, according to the
    /// records that the node has read, at another one.
    fn check_not_run(&mut self, node: usize, index: usize, reason: NotRun, log_ms: u64) {
        let key = self.requests[index].key;
        let Some(idempotency_key) = &self.keys[key] else { return };
        let margin_ms = 2 * self.settings.clock_margin_ms;
        if self.may_expire_early || log_ms + margin_ms > self.settings.expiry_ms(idempotency_key) {
            return;
        }
        let shard = crate::ledger::records::shard_of(idempotency_key, self.settings.shards);
        let ran = |request: &&Request| {
            request.key == key
                && matches!(
                    &request.phase,
                    Phase::Dispatched(_) | Phase::Ended(RecordedOutcome::Completed { .. })
                )
        };
        let Some(ran) = self.requests.iter().find(ran) else { return };
        let own = ran.node == node && ran.incarnation == self.nodes[node].incarnation;
        let outcome = |row: &PageRow| {
            let items = row.batch.iter().flat_map(|batch| &batch.items);
            let mut outcomes =
                items.filter(|item| matches!(item, Item::Outcome { .. }) && item.key() == idempotency_key);
            outcomes.any(|item| !matches!(item, Item::Outcome { outcome: RecordedOutcome::NotRun(_), .. }))
        };
        let known = self.streams[shard]
            .rows
            .iter()
            .any(|row| row.offset < self.nodes[node].read_to[shard] && outcome(row));
        if own || known {
            let id = self.requests[index].id;
            self.report_fault(format!(
                "request {id} is refused as {reason} although entry-{node} ran key {key} or has read its outcome"
            ));
        }
    }

    pub fn report_fault(&mut self, fault: String) {
        self.note(format_args!("FAULT {fault}"));
        self.fault.get_or_insert(fault);
    }

    pub fn note(&mut self, line: std::fmt::Arguments<'_>) {
        let now_us = self.now_us;
        if let Some(journal) = &mut self.journal {
            let (ms, us) = (now_us / 1_000, now_us % 1_000);
            writeln!(journal, "{ms:>6}.{us:03} {line}").expect("writing to a string does not fail");
        }
    }
}

fn describe_verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Granted(_) => "granted".to_owned(),
        Verdict::Recorded(outcome) => format!("recorded {}", outcome.kind()),
        Verdict::Refused(reason) => format!("refused {reason}"),
        Verdict::Unknown(reason) => format!("unknown {reason}"),
    }
}

fn describe(batch: &Batch) -> String {
    let items = batch.items.iter().map(|item| match item {
        Item::Claim { key, .. } => format!("claim {}", key.key),
        Item::Cancel { key, .. } => format!("cancel {}", key.key),
        Item::Outcome { key, outcome, .. } => format!("{} {}", outcome.kind(), key.key),
    });
    items.collect::<Vec<_>>().join(", ")
}
