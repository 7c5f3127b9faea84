//! Policy of the configuration duty: evaluates the log in order, adopts newer versions of peers, and restates
//! the state in force before its records expire.

use std::sync::Arc;

use super::contact::{Contact, PeerVersions};
use super::restate::RestateSchedule;
use super::verdict::{ClaimOutcome, LogState, Verdict, find_claim, is_reset};
use super::{
    Action, Change, ChangeRecord, Claim, ConfigurationSettings, Decision, Event, PeerReport, Source,
    VersionContent,
};
use crate::backing::{Record, Records};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::ids::{ConfigVersion, LogOffset};
use crate::random::Random;

/// Pause before the log is read again after a failure.
const READ_RETRY_MS: u64 = 200;

/// Time for which the log waits for a record at its end. A failure of the log is detected after this time at
/// most.
const READ_WAIT_MS: u64 = 1_000;

/// A read whose answer is pending.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    from: LogOffset,
    wait_ms: u64,
    sent_us: u64,
}

/// Intake is notified when the end of certainty has moved by this much, so that not every answer of a peer
/// costs a message.
const CERTAINTY_NOTICE_STEP_US: u64 = 250 * US_PER_MS;

/// Policy of the configuration duty.
#[derive(Debug)]
pub struct ConfigurationPolicy {
    author: String,
    log_state: LogState,
    /// Next offset to read. It is beyond `log_state.through + 1` while records are missing; the policy then
    /// only looks for a claim that covers them and evaluates no record.
    next: LogOffset,
    pending_read: Option<PendingRead>,
    in_gap: bool,
    /// Whether the last page was empty, so that the log was read to its end.
    at_end: bool,
    published: ConfigVersion,
    claimed_through: LogOffset,
    contact: Contact,
    /// End of certainty that intake was last notified of.
    sent_until_us: u64,
    restate_schedule: RestateSchedule,
    peers: PeerVersions,
    started: bool,
}

impl ConfigurationPolicy {
    /// Creates the policy without any state. `name` is the author of its restating records.
    pub fn new(settings: &ConfigurationSettings, name: &str, seed: u64) -> Self {
        let uncertain_after_us = settings.uncertain_after_ms * US_PER_MS;
        Self {
            author: name.to_owned(),
            log_state: LogState::default(),
            next: LogOffset(1),
            pending_read: None,
            in_gap: false,
            at_end: false,
            published: ConfigVersion::default(),
            claimed_through: LogOffset::default(),
            contact: Contact::new(uncertain_after_us),
            sent_until_us: 0,
            restate_schedule: RestateSchedule::new(settings.retention_ms, Random::seeded(seed)),
            peers: PeerVersions::new(uncertain_after_us),
            started: false,
        }
    }

    /// Returns the state of the log up to the last evaluated record or claim.
    pub fn log_state(&self) -> &LogState {
        &self.log_state
    }

    /// Returns the version that was last published to the other duties.
    pub fn published(&self) -> ConfigVersion {
        self.published
    }

    fn on_page(
        &mut self,
        now_us: u64,
        pending_read: PendingRead,
        page: &Records,
        unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        // In an empty page `first` may be unset; a `next` beyond the requested offset then means that records
        // expired.
        let first = if page.records.is_empty() { page.first.max(page.next) } else { page.first };
        let begin = pending_read.from.max(first);
        if self.is_gap(begin) {
            self.note_gap(first, actions);
            self.find_covering_claim(page, actions);
        }
        self.at_end = page.records.is_empty();
        if self.is_gap(begin) {
            // A claim in this page may cover all records before the page. Reading then continues after the
            // claim.
            self.next =
                if self.is_gap(page.first) { page.next.max(begin) } else { after(self.log_state.through) };
            return;
        }
        self.in_gap = false;
        let through = self.log_state.through;
        for record in page.records.iter().filter(|record| record.offset > through) {
            self.apply_record(now_us, unix_ms, record, actions);
        }
        let before_next = LogOffset(page.next.0.saturating_sub(1));
        self.log_state.through = self.log_state.through.max(before_next);
        self.next = after(self.log_state.through);
        if self.at_end {
            self.contact.renew(pending_read.sent_us);
            self.restate_schedule.note_end(now_us);
        }
    }

    /// Returns whether records between the state and the offset `begin` are missing.
    fn is_gap(&self, begin: LogOffset) -> bool {
        begin > after(self.log_state.through)
    }

    fn note_gap(&mut self, first: LogOffset, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.in_gap, true) {
            actions.push(Action::Decide(Decision::Gap { through: self.log_state.through, first }));
        }
    }

    /// Returns whether the last read reached the end of the log without a gap.
    fn is_current(&self) -> bool {
        self.at_end && !self.is_gap(self.next)
    }

    /// Looks for a claim that covers the missing records. A restating record covers them only if all records
    /// between the offset of its claim and its own offset can still be read, because one of them may have
    /// been accepted before the restating record was appended.
    fn find_covering_claim(&mut self, page: &Records, actions: &mut Vec<Action>) {
        for record in &page.records {
            let Some(claim) = find_claim(record) else { continue };
            if after(claim.through) < page.first {
                continue;
            }
            self.apply_claim(&claim, Source::Record(record.offset), actions);
            if !self.is_gap(page.first) {
                return;
            }
        }
    }

    fn apply_record(&mut self, now_us: u64, unix_ms: u64, record: &Record, actions: &mut Vec<Action>) {
        let before = self.log_state.through;
        let verdict = self.log_state.apply(record);
        let is_checkpoint = match &verdict {
            Verdict::Accepted(content) => {
                actions.push(Action::Decide(Decision::Accepted {
                    version: content.version(),
                    author: content.author.to_string(),
                    preset: content.configuration.preset,
                }));
                is_reset(record)
            }
            Verdict::Restated(claim) => {
                self.check_claim(claim, Source::Record(record.offset), actions);
                claim.through >= before
            }
            Verdict::Refused { author, reason } => {
                let (author, reason) = (author.clone(), reason.clone());
                actions.push(Action::Decide(Decision::Refused { offset: record.offset, author, reason }));
                false
            }
        };
        if is_checkpoint || record.offset == LogOffset(1) {
            self.restate_schedule.note_checkpoint(now_us, unix_ms.saturating_sub(record.time_ms));
        }
    }

    /// Checks the claim of an evaluated record. It can add nothing to the state, but may contradict it.
    fn check_claim(&mut self, claim: &Claim, source: Source, actions: &mut Vec<Action>) {
        if self.log_state.apply_claim(claim) == ClaimOutcome::Contradiction {
            self.report_contradiction(claim, source, actions);
        }
    }

    fn apply_claim(&mut self, claim: &Claim, source: Source, actions: &mut Vec<Action>) -> ClaimOutcome {
        let outcome = self.log_state.apply_claim(claim);
        match outcome {
            ClaimOutcome::NewVersion => {
                if let Some(content) = &self.log_state.content {
                    actions.push(Action::Decide(Decision::Adopted {
                        version: content.version(),
                        preset: content.configuration.preset,
                        source,
                    }));
                }
                self.next = after(self.log_state.through);
            }
            ClaimOutcome::LaterOffset => self.next = after(self.log_state.through),
            ClaimOutcome::Unchanged => {}
            ClaimOutcome::Contradiction => self.report_contradiction(claim, source, actions),
        }
        outcome
    }

    fn report_contradiction(&self, claim: &Claim, source: Source, actions: &mut Vec<Action>) {
        actions.push(Action::Decide(Decision::Contradiction {
            version: claim.version,
            current: self.log_state.version(),
            source,
        }));
    }

    fn on_peer(&mut self, now_us: u64, report: &PeerReport, actions: &mut Vec<Action>) {
        if let Some(asked_us) = report.asked_us {
            self.contact.renew(asked_us);
        }
        let version = report.claim.as_ref().map(|claim| claim.version).unwrap_or_default();
        self.peers.note(now_us, &report.entry.instance, version, report.operators);
        let Some(claim) = &report.claim else { return };
        let outcome = self.apply_claim(claim, Source::Peer(report.entry.instance.clone()), actions);
        if outcome != ClaimOutcome::Contradiction && self.log_state.version() == claim.version {
            // The version is in force at a peer, so it is published even if this entry has not read the log
            // to its end.
            self.publish(actions);
        }
    }

    /// Publishes the version of the state if it is newer than the published one, and announces it to the
    /// peers.
    fn publish(&mut self, actions: &mut Vec<Action>) {
        let Some(content) = &self.log_state.content else { return };
        if content.version() > self.published {
            self.published = content.version();
            actions.push(Action::Publish(content.clone()));
        }
        if content.version() == self.published && self.log_state.through > self.claimed_through {
            self.claimed_through = self.log_state.through;
            actions.push(Action::Claim { content: content.clone(), through: self.claimed_through });
        }
    }

    fn read(&mut self, now_us: u64, after_ms: u64, actions: &mut Vec<Action>) {
        // An uncertain entry does not let the log wait for a record, so that it has contact as soon as the
        // log answers.
        let wait_ms = if self.at_end && self.contact.is_certain() { READ_WAIT_MS } else { 0 };
        self.pending_read =
            Some(PendingRead { from: self.next, wait_ms, sent_us: now_us + after_ms * US_PER_MS });
        actions.push(Action::Read { from: self.next, after_ms, wait_ms });
    }

    fn on_read(&mut self, now_us: u64, records: Option<&Records>, unix_ms: u64, actions: &mut Vec<Action>) {
        let Some(pending_read) = self.pending_read.take() else { return };
        let Some(page) = records else {
            self.read(now_us, READ_RETRY_MS, actions);
            return;
        };
        self.on_page(now_us, pending_read, page, unix_ms, actions);
        // Before the end of the log the state may be outdated. An entry without a published version waits for
        // the end.
        if self.is_current() || self.published > ConfigVersion::default() {
            self.publish(actions);
        }
        self.read(now_us, self.pause_ms(now_us, pending_read), actions);
    }

    /// Returns the pause before the next read. It prevents a busy loop at the end of a log that answers
    /// without waiting for a record, whether or not the read allows it to wait.
    fn pause_ms(&self, now_us: u64, last: PendingRead) -> u64 {
        let is_repeat = self.at_end && self.next == last.from;
        let is_early = now_us < last.sent_us + last.wait_ms * US_PER_MS / 2;
        let is_unwaited = last.wait_ms == 0 && !self.contact.is_certain();
        if is_repeat && (is_early || is_unwaited) { READ_RETRY_MS } else { 0 }
    }

    fn restate(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        // An entry that was frozen must not restate an outdated version.
        let may_append = self.is_current() && self.contact.is_certain();
        let Some(content) = self.log_state.content.as_ref().filter(|_| may_append) else { return };
        if self.restate_schedule.begin_append(now_us) {
            let record = self.restating_record(content);
            actions.push(Action::Append(Box::new(record)));
        }
    }

    fn restating_record(&self, content: &VersionContent) -> ChangeRecord {
        let change = Change::Restate {
            version: content.version(),
            document: content.text.to_string(),
            preset: content.configuration.preset,
            author: content.author.to_string(),
            through: self.log_state.through,
        };
        ChangeRecord { base: content.version(), author: self.author.clone(), change }
    }

    fn check_certainty(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if let Some(certain) = self.contact.check(now_us) {
            actions.push(Action::Decide(Decision::Certain(certain)));
            actions.push(Action::Certain(certain));
        }
        let until_us = self.contact.until_us();
        if self.contact.is_certain() && until_us >= self.sent_until_us + CERTAINTY_NOTICE_STEP_US {
            self.sent_until_us = until_us;
            actions.push(Action::CertainUntil(until_us));
        }
    }

    fn publish_peer_versions(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if let Some(versions) = self.peers.changed(now_us) {
            actions.push(Action::Peers(Arc::from(versions)));
        }
    }
}

impl Duty for ConfigurationPolicy {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        // An entry that was frozen becomes uncertain before it processes events that were queued meanwhile.
        self.check_certainty(now_us, actions);
        match event {
            Event::Read { records, unix_ms } => self.on_read(now_us, records.as_ref(), unix_ms, actions),
            Event::Appended { succeeded } => self.restate_schedule.end_append(now_us, succeeded),
            Event::Peer(report) => self.on_peer(now_us, &report, actions),
        }
        self.check_certainty(now_us, actions);
        self.publish_peer_versions(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        if !self.started {
            return Some(0);
        }
        let due = [self.contact.due_us(), self.restate_schedule.due_us(), self.peers.due_us()];
        due.into_iter().flatten().min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) {
            self.contact.renew(now_us);
            self.read(now_us, 0, actions);
        }
        self.check_certainty(now_us, actions);
        self.restate(now_us, actions);
        self.restate_schedule.postpone(now_us);
        self.publish_peer_versions(now_us, actions);
    }
}

fn after(offset: LogOffset) -> LogOffset {
    LogOffset(offset.0.saturating_add(1))
}
