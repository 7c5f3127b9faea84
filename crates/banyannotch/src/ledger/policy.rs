//! Decides which claims are granted. A claim is granted only after it was read back as the first one of its
//! key, and it is permanently given up before the answer that its request does not run.

use super::records::{Batch, Item, Page, PageRow, key_bytes, shard_of};
use super::shard::{Granted, PAGE_MAX_RECORDS, Pending, Shard, Stage};
use super::state::{Effect, Holder, KeyState, LedgerSettings};
use super::{
    Action, Answer, AppendResult, Claim, Decision, Event, Input, Invariant, Nonce, OutcomeReport,
    RecordedOutcome, Verdict,
};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::ids::{Incarnation, InstanceId, RequestId};
use crate::random::Random;
use crate::request::{IdempotencyKey, NotRun, UnknownReason};

/// How long a read waits for new records once the stream is caught up.
const READ_WAIT_MS: u64 = 2_500;

/// Delay before a failed read is retried.
const READ_RETRY_DELAY_MS: u64 = 100;

/// Interval at which waiting claims are checked again, because a holder can become lost without a new record.
const SWEEP_INTERVAL_US: u64 = 100 * US_PER_MS;

/// Interval at which expired keys are evicted.
const EVICTION_INTERVAL_US: u64 = 1_000 * US_PER_MS;

/// Maximum size of a key's team and key texts together, so that a record with a claim fits in an HTTP body.
const KEY_LIMIT_BYTES: usize = 4 << 10;

/// Maximum size of a recorded result. The result is JSON within JSON within a page, so escaping can quadruple
/// its size.
const RESULT_LIMIT_BYTES: usize = 64 << 10;

/// Ledger policy of one entry.
#[derive(Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    entry: InstanceId,
    incarnation: Incarnation,
    random: Random,
    shards: Vec<Shard>,
    /// Latest reading of the wall clock, taken at `wall_clock_read_us`. Later times are extrapolated from it.
    wall_clock_ms: u64,
    wall_clock_read_us: u64,
    /// First reading of the wall clock, if there was one.
    started_ms: Option<u64>,
    /// Earliest time at which a pending claim may have to be given up.
    next_give_up_us: Option<u64>,
    next_sweep_us: Option<u64>,
    next_eviction_us: u64,
}

impl Ledger {
    /// Creates the policy for one incarnation of an entry. The seed determines the nonces and must differ
    /// between incarnations.
    pub fn new(settings: LedgerSettings, entry: InstanceId, incarnation: Incarnation, seed: u64) -> Self {
        let shards = (0..settings.shards.max(1)).map(|_| Shard::new()).collect();
        Self {
            settings,
            entry,
            incarnation,
            random: Random::seeded(seed),
            shards,
            wall_clock_ms: 0,
            wall_clock_read_us: 0,
            started_ms: None,
            next_give_up_us: None,
            next_sweep_us: None,
            next_eviction_us: 0,
        }
    }

    /// Returns the memory use of the keys in bytes, and their number.
    pub fn index_size(&self) -> (usize, usize) {
        let sizes = self.shards.iter().map(|shard| (shard.index.bytes(), shard.index.len()));
        sizes.fold((0, 0), |(bytes, keys), (more_bytes, more_keys)| (bytes + more_bytes, keys + more_keys))
    }

    /// Returns whether everything that was in the streams when the entry started has been read.
    pub fn is_caught_up(&self) -> bool {
        self.shards.iter().all(|shard| shard.caught_up)
    }

    fn unix_ms(&self, now_us: u64) -> u64 {
        self.wall_clock_ms + now_us.saturating_sub(self.wall_clock_read_us) / US_PER_MS
    }

    fn on_clock(&mut self, now_us: u64, unix_ms: u64, actions: &mut Vec<Action>) {
        (self.wall_clock_ms, self.wall_clock_read_us) = (unix_ms, now_us);
        if self.started_ms.is_some() {
            return;
        }
        self.started_ms = Some(unix_ms);
        for index in 0..self.shards.len() {
            self.read(now_us, index, 0, actions);
        }
    }

    fn read(&mut self, now_us: u64, index: usize, delay_ms: u64, actions: &mut Vec<Action>) {
        let unix_ms = self.unix_ms(now_us);
        let Some(shard) = self.shards.get_mut(index) else { return };
        shard.read_started_ms = unix_ms;
        actions.push(Action::Read {
            shard: index,
            from: shard.next_offset,
            max_records: shard.page_max_records,
            wait_ms: if shard.caught_up { READ_WAIT_MS } else { 0 },
            delay_ms,
        });
    }

    fn on_claim(&mut self, now_us: u64, claim: Claim, actions: &mut Vec<Action>) {
        let unix_ms = self.unix_ms(now_us);
        let request = claim.request;
        let index = shard_of(&claim.key, self.shards.len());
        let waiting: usize = self.shards.iter().map(|shard| shard.pending.len() + shard.queued_items()).sum();
        let give_up_us = claim.deadline_us.saturating_sub(self.settings.answer_margin_ms * US_PER_MS);
        if claim.key.made_ms > unix_ms + self.settings.clock_margin_ms {
            return answer(request, Verdict::Refused(NotRun::KeyFromFuture), actions);
        }
        let overloaded = waiting >= self.settings.pending_limit || key_bytes(&claim.key) > KEY_LIMIT_BYTES;
        let deadline_ms = unix_ms + claim.deadline_us.saturating_sub(now_us) / US_PER_MS;
        let pending = Pending { claim, deadline_ms, give_up_us, stage: Stage::Waiting };
        let Some(shard) = self.shards.get_mut(index) else { return };
        shard.pending.insert(request, pending);
        if give_up_us <= now_us {
            return self.give_up(now_us, index, request, NotRun::Deadline, actions);
        }
        if overloaded {
            return self.give_up(now_us, index, request, NotRun::LedgerUnavailable, actions);
        }
        self.next_give_up_us =
            Some(self.next_give_up_us.map_or(give_up_us, |planned| planned.min(give_up_us)));
        self.next_sweep_us.get_or_insert(now_us + SWEEP_INTERVAL_US);
        self.advance(now_us, index, request, actions);
    }

    /// Answers a pending claim if the state of its key decides it, or claims the key if it is free.
    fn advance(&mut self, now_us: u64, index: usize, request: RequestId, actions: &mut Vec<Action>) {
        let Some(shard) = self.shards.get(index) else { return };
        let Some(pending) = shard.pending.get(&request) else { return };
        if let Some(verdict) = self.known_verdict(shard, pending) {
            return self.finish(now_us, index, request, verdict, actions);
        }
        let key = &pending.claim.key;
        let free = shard.index.get(key).is_none_or(|row| row.state == KeyState::Free);
        if pending.stage != Stage::Waiting || !shard.caught_up || !free {
            return;
        }
        if self.is_expired(self.unix_ms(now_us), index, key) {
            return self.finish(now_us, index, request, Verdict::Refused(NotRun::KeyExpired), actions);
        }
        // At most one claim of this entry for a key is queued or sent. The others continue when it is
        // decided.
        let has_claimed = |other: &Pending| other.stage != Stage::Waiting && other.claim.key == *key;
        if !shard.pending.iter().any(|(_, other)| has_claimed(other)) {
            self.send_claim(now_us, index, request);
        }
    }

    fn send_claim(&mut self, now_us: u64, index: usize, request: RequestId) {
        let nonce = Nonce(RequestId(self.random.bits()));
        let Some(shard) = self.shards.get_mut(index) else { return };
        let Some(pending) = shard.pending.get_mut(&request) else { return };
        pending.stage = Stage::Queued(nonce);
        let item = Item::Claim {
            key: pending.claim.key.clone(),
            payload: pending.claim.payload,
            nonce,
            deadline_ms: pending.deadline_ms,
        };
        shard.enqueue(now_us, item, &self.settings);
    }

    /// Returns the verdict on a claim, if the records read so far decide it.
    fn known_verdict(&self, shard: &Shard, pending: &Pending) -> Option<Verdict> {
        let row = shard.index.get(&pending.claim.key)?;
        match &row.state {
            KeyState::Free => None,
            KeyState::Done { payload, .. } if *payload != pending.claim.payload => {
                Some(Verdict::Refused(NotRun::KeyConflict))
            }
            KeyState::Done { outcome, .. } => Some(Verdict::Recorded(outcome.clone())),
            KeyState::Held(holder) if pending.stage != Stage::Waiting => {
                // The holder may release the key before this claim in log order, which is known only once
                // this claim has been read back.
                self.local_outcome(shard, holder, pending)
            }
            KeyState::Held(holder) if !shard.caught_up => self.local_outcome(shard, holder, pending),
            KeyState::Held(holder) if holder.payload != pending.claim.payload => {
                Some(Verdict::Refused(NotRun::KeyConflict))
            }
            KeyState::Held(holder) => {
                let local = self.local_outcome(shard, holder, pending);
                local.or_else(|| {
                    self.is_lost(shard, holder).then_some(Verdict::Unknown(UnknownReason::HolderLost))
                })
            }
        }
    }

    /// Returns the verdict if the holder is a claim of this entry whose outcome is known but not read back
    /// yet.
    fn local_outcome(&self, shard: &Shard, holder: &Holder, pending: &Pending) -> Option<Verdict> {
        let granted = shard.granted.get(&holder.nonce)?;
        let outcome =
            granted.outcome.as_ref().filter(|outcome| !matches!(outcome, RecordedOutcome::NotRun(_)))?;
        if granted.payload != pending.claim.payload {
            return Some(Verdict::Refused(NotRun::KeyConflict));
        }
        Some(Verdict::Recorded(outcome.clone()))
    }

    /// Returns whether the holder of a key can no longer be expected to record an outcome.
    fn is_lost(&self, shard: &Shard, holder: &Holder) -> bool {
        if holder.entry == self.entry {
            let live = holder.incarnation == self.incarnation;
            return !live || self.is_overdue(shard, holder);
        }
        shard.index.is_replaced(holder) || self.is_overdue(shard, holder)
    }

    fn is_overdue(&self, shard: &Shard, holder: &Holder) -> bool {
        holder.deadline_ms + self.settings.holder_grace_ms < shard.read_through_ms
    }

    /// Returns whether the key must not be claimed, because its records may be missing from the index or may
    /// leave the log before a claim of the key becomes invalid.
    fn is_expired(&self, unix_ms: u64, index: usize, key: &IdempotencyKey) -> bool {
        let low_watermark_ms = self.shards.get(index).map_or(u64::MAX, |shard| shard.index.low_watermark_ms);
        key.made_ms <= low_watermark_ms || unix_ms > self.settings.expiry_ms(key)
    }

    /// Ends a pending claim without a grant, and cancels the claim if it may be in the log and could still
    /// win.
    fn finish(
        &mut self,
        now_us: u64,
        index: usize,
        request: RequestId,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        let Some(shard) = self.shards.get_mut(index) else { return };
        let Some(pending) = shard.pending.remove(&request) else { return };
        match pending.stage {
            Stage::Waiting => {}
            Stage::Queued(nonce) => shard.remove_queued(nonce),
            // The key has its final outcome, so the claim cannot win.
            Stage::Sent(_) if matches!(verdict, Verdict::Recorded(_)) => {}
            Stage::Sent(nonce) => {
                shard.remove_queued(nonce);
                let item = Item::Cancel { key: pending.claim.key.clone(), nonce };
                shard.enqueue(now_us, item, &self.settings);
            }
        }
        answer(request, verdict, actions);
        if pending.stage != Stage::Waiting {
            self.advance_key(now_us, index, &pending.claim.key, actions);
        }
    }

    fn advance_key(&mut self, now_us: u64, index: usize, key: &IdempotencyKey, actions: &mut Vec<Action>) {
        for request in self.requests(index, |pending| pending.claim.key == *key) {
            self.advance(now_us, index, request, actions);
        }
    }

    fn requests(&self, index: usize, condition: impl Fn(&Pending) -> bool) -> Vec<RequestId> {
        let Some(shard) = self.shards.get(index) else { return Vec::new() };
        let matching = shard.pending.iter().filter(|(_, pending)| condition(pending));
        matching.map(|(request, _)| *request).collect()
    }

    fn on_abandon(&mut self, now_us: u64, request: RequestId, actions: &mut Vec<Action>) {
        let shard = self.shards.iter().position(|shard| shard.pending.contains(&request));
        // If the claim is not pending, its answer was already sent.
        if let Some(index) = shard {
            self.give_up(now_us, index, request, NotRun::Cancelled, actions);
        }
    }

    /// Answers an undecided claim. The answer is "not run" only if no other claim holds the key, because the
    /// request of such a claim may have run.
    fn give_up(
        &mut self,
        now_us: u64,
        index: usize,
        request: RequestId,
        reason: NotRun,
        actions: &mut Vec<Action>,
    ) {
        let Some(shard) = self.shards.get(index) else { return };
        let Some(pending) = shard.pending.get(&request) else { return };
        let verdict = self.known_verdict(shard, pending).unwrap_or_else(|| {
            match shard.index.get(&pending.claim.key).map(|row| &row.state) {
                Some(KeyState::Held(holder)) if pending.stage != Stage::Sent(holder.nonce) => {
                    if holder.payload == pending.claim.payload {
                        Verdict::Unknown(UnknownReason::NoAnswer)
                    } else {
                        Verdict::Refused(NotRun::KeyConflict)
                    }
                }
                _ => Verdict::Refused(reason),
            }
        });
        self.finish(now_us, index, request, verdict, actions);
    }

    fn on_outcome(&mut self, now_us: u64, report: OutcomeReport, actions: &mut Vec<Action>) {
        let OutcomeReport { key, nonce, outcome } = report;
        let index = shard_of(&key, self.shards.len());
        let Some(shard) = self.shards.get_mut(index) else { return };
        let Some(granted) = shard.granted.get_mut(&nonce) else { return };
        if granted.outcome.is_some() {
            return;
        }
        granted.outcome = Some(outcome.clone());
        let payload = granted.payload;
        // A result that does not fit in a record is recorded as unknown, which still prevents a second run.
        let outcome = if outcome.result_bytes() > RESULT_LIMIT_BYTES {
            RecordedOutcome::Unknown(UnknownReason::NoAnswer)
        } else {
            outcome
        };
        let item = Item::Outcome { key: key.clone(), payload, nonce, outcome };
        shard.enqueue(now_us, item, &self.settings);
        self.advance_key(now_us, index, &key, actions);
    }

    fn on_appended(&mut self, now_us: u64, index: usize, result: AppendResult, actions: &mut Vec<Action>) {
        let jitter = self.random.unit();
        let Some(shard) = self.shards.get_mut(index) else { return };
        let items = shard.finish_append();
        match result {
            AppendResult::Done => shard.on_success(),
            AppendResult::Refused => {
                let claims = items.iter().filter(|item| matches!(item, Item::Claim { .. }));
                let refused_claims: Vec<Nonce> = claims.map(Item::nonce).collect();
                let mut retried = Vec::with_capacity(items.len());
                for item in items {
                    let nonce = item.nonce();
                    // An earlier append of an unclear claim may have taken effect, so its cancellation is
                    // kept.
                    let is_kept = !refused_claims.contains(&nonce)
                        || shard.mark_queued(nonce)
                        || (shard.unclear.contains(&nonce) && !matches!(item, Item::Claim { .. }));
                    if is_kept {
                        retried.push(item);
                    } else if !shard.unclear.contains(&nonce) {
                        shard.remove_queued(nonce);
                    }
                }
                shard.on_failure(now_us, retried, jitter, &self.settings);
            }
            AppendResult::Unclear => {
                // Appending an item twice is safe: of two claims with the same nonce, the second one loses. A
                // claim that is no longer pending is not retried, because it was cancelled.
                let retried = items
                    .into_iter()
                    .filter(|item| match item {
                        Item::Claim { key, nonce, .. } => shard.mark_unclear(*nonce, key),
                        Item::Outcome { .. } | Item::Cancel { .. } => true,
                    })
                    .collect();
                shard.on_failure(now_us, retried, jitter, &self.settings);
            }
        }
        self.append(now_us, index, actions);
    }

    /// Starts the append of a shard if one is due.
    fn append(&mut self, now_us: u64, index: usize, actions: &mut Vec<Action>) {
        let Some(shard) = self.shards.get_mut(index) else { return };
        let Some(items) = shard.take_batch(now_us) else { return };
        shard.mark_sent(&items);
        let batch = Batch { entry: self.entry.clone(), incarnation: self.incarnation, items };
        shard.start_append(batch.clone());
        actions.push(Action::Append { shard: index, batch, timeout_ms: self.settings.append_timeout_ms });
    }

    fn on_read(&mut self, now_us: u64, index: usize, page: Option<Page>, actions: &mut Vec<Action>) {
        let Some(page) = page else { return self.on_read_failed(now_us, index, actions) };
        let unix_ms = self.unix_ms(now_us);
        self.check_gap(now_us, unix_ms, index, &page, actions);
        let mut affected_keys = Vec::new();
        for row in &page.rows {
            self.on_row(now_us, index, row, &mut affected_keys, actions);
        }
        let Some(shard) = self.shards.get_mut(index) else { return };
        shard.has_read_page = true;
        shard.next_offset = shard.next_offset.max(page.next);
        shard.page_max_records = (shard.page_max_records * 2).min(PAGE_MAX_RECORDS);
        let clock_margin_ms = self.settings.clock_margin_ms;
        let read_through_ms = match page.rows.last() {
            Some(row) => row.time_ms.saturating_sub(clock_margin_ms),
            None => shard.read_started_ms,
        };
        shard.read_through_ms = shard.read_through_ms.max(read_through_ms);
        let share_bytes = self.settings.index_limit_bytes / self.shards.len().max(1);
        let started_ms = self.started_ms.unwrap_or(u64::MAX);
        let Some(shard) = self.shards.get_mut(index) else { return };
        shard.index.evict_to_limit(share_bytes);
        // A record with such a time was appended after this entry started, even if the clocks differ.
        let past_start = shard.index.latest_record_ms > started_ms.saturating_add(clock_margin_ms);
        let reached_end = !shard.caught_up && (page.rows.is_empty() || past_start);
        shard.caught_up |= reached_end;
        if reached_end {
            self.advance_all(now_us, index, actions);
        } else {
            affected_keys.sort_unstable();
            affected_keys.dedup();
            for key in &affected_keys {
                self.advance_key(now_us, index, key, actions);
            }
        }
        self.read(now_us, index, 0, actions);
    }

    fn on_read_failed(&mut self, now_us: u64, index: usize, actions: &mut Vec<Action>) {
        if let Some(shard) = self.shards.get_mut(index) {
            // A page that is too large for a body would fail again, so the next one is smaller.
            shard.page_max_records = (shard.page_max_records / 2).max(1);
        }
        self.read(now_us, index, READ_RETRY_DELAY_MS, actions);
    }

    /// Stops serving the keys whose claims may be among records that left the log before they were read.
    ///
    /// A record claims only keys that were created at most two clock margins after it. The time of the
    /// missing records is at most that of the next record or, if there is none, the time of the read. Records
    /// that are missing from the first page left the log at the end of their retention time, so the
    /// configured retention bounds their time.
    fn check_gap(&mut self, now_us: u64, unix_ms: u64, index: usize, page: &Page, actions: &mut Vec<Action>) {
        let settings = &self.settings;
        let Some(shard) = self.shards.get_mut(index) else { return };
        if page.first <= shard.next_offset {
            return;
        }
        let read_time_ms = unix_ms + settings.clock_margin_ms;
        let last_missing_ms = if shard.has_read_page {
            page.rows.first().map_or(read_time_ms, |row| row.time_ms)
        } else {
            read_time_ms.saturating_sub(settings.retention_ms)
        };
        let low_watermark_ms = settings.newest_made_ms(last_missing_ms);
        shard.index.low_watermark_ms = shard.index.low_watermark_ms.max(low_watermark_ms);
        shard.next_offset = page.first;
        for request in self.requests(index, |pending| pending.claim.key.made_ms <= low_watermark_ms) {
            self.give_up(now_us, index, request, NotRun::KeyExpired, actions);
        }
    }

    fn on_row(
        &mut self,
        now_us: u64,
        index: usize,
        row: &PageRow,
        affected_keys: &mut Vec<IdempotencyKey>,
        actions: &mut Vec<Action>,
    ) {
        let Some(shard) = self.shards.get_mut(index) else { return };
        if row.offset < shard.next_offset {
            return;
        }
        shard.next_offset.0 = row.offset.0 + 1;
        shard.index.note_record(row.time_ms, row.batch.as_ref());
        let Some(batch) = &row.batch else { return };
        let own = batch.entry == self.entry && batch.incarnation == self.incarnation;
        for item in &batch.items {
            let Some(shard) = self.shards.get_mut(index) else { return };
            let effect = shard.index.apply(row.time_ms, batch, item, &self.settings);
            if effect == Effect::NotHolder && item.key().made_ms > shard.index.low_watermark_ms {
                let invariant = Invariant::OutcomeOfHolder;
                actions.push(Action::Violated { invariant, nonce: item.nonce() });
            }
            if own {
                self.on_own_item(now_us, index, item, effect, actions);
            }
            if let Some(shard) = self.shards.get(index)
                && !shard.pending.is_empty()
            {
                affected_keys.push(item.key().clone());
            }
        }
    }

    /// Handles an item of this incarnation that was read back.
    fn on_own_item(
        &mut self,
        now_us: u64,
        index: usize,
        item: &Item,
        effect: Effect,
        actions: &mut Vec<Action>,
    ) {
        match item {
            Item::Claim { key, nonce, .. } => self.on_own_claim(now_us, index, key, *nonce, effect, actions),
            Item::Outcome { nonce, .. } => {
                if let Some(shard) = self.shards.get_mut(index) {
                    shard.granted.remove(nonce);
                }
            }
            Item::Cancel { .. } => {}
        }
    }

    fn on_own_claim(
        &mut self,
        now_us: u64,
        index: usize,
        key: &IdempotencyKey,
        nonce: Nonce,
        effect: Effect,
        actions: &mut Vec<Action>,
    ) {
        let holds =
            |pending: &Pending| pending.stage == Stage::Sent(nonce) || pending.stage == Stage::Queued(nonce);
        let Some(request) = self.requests(index, holds).first().copied() else {
            return self.release(now_us, index, key, nonce, effect);
        };
        match effect {
            Effect::Won => self.grant(now_us, index, request, nonce, actions),
            Effect::Expired => {
                self.finish(now_us, index, request, Verdict::Refused(NotRun::KeyExpired), actions);
            }
            Effect::FromFuture => {
                self.finish(now_us, index, request, Verdict::Refused(NotRun::KeyFromFuture), actions);
            }
            Effect::Lost | Effect::Changed | Effect::Ignored | Effect::NotHolder => {
                let Some(shard) = self.shards.get_mut(index) else { return };
                if let Some(pending) = shard.pending.get_mut(&request) {
                    pending.stage = Stage::Waiting;
                }
            }
        }
    }

    /// Releases the key of a claim that won after it was given up.
    fn release(&mut self, now_us: u64, index: usize, key: &IdempotencyKey, nonce: Nonce, effect: Effect) {
        let Some(shard) = self.shards.get_mut(index) else { return };
        if effect != Effect::Won || shard.granted.contains(&nonce) || shard.has_cancellation(nonce) {
            return;
        }
        shard.enqueue(now_us, Item::Cancel { key: key.clone(), nonce }, &self.settings);
    }

    /// Grants a claim that was read back and won, unless its deadline has passed. Both clocks are checked,
    /// because the monotonic clock may stop while the machine is suspended.
    fn grant(
        &mut self,
        now_us: u64,
        index: usize,
        request: RequestId,
        nonce: Nonce,
        actions: &mut Vec<Action>,
    ) {
        let unix_ms = self.unix_ms(now_us);
        let Some(shard) = self.shards.get(index) else { return };
        let Some(pending) = shard.pending.get(&request) else { return };
        if self.is_expired(unix_ms, index, &pending.claim.key) {
            return self.finish(now_us, index, request, Verdict::Refused(NotRun::KeyExpired), actions);
        }
        if pending.give_up_us <= now_us || pending.deadline_ms <= unix_ms {
            let verdict = Verdict::Refused(NotRun::LedgerUnavailable);
            return self.finish(now_us, index, request, verdict, actions);
        }
        let Some(shard) = self.shards.get_mut(index) else { return };
        let Some(pending) = shard.pending.remove(&request) else { return };
        let Claim { key, payload, .. } = pending.claim;
        let Some(row) = shard.index.get_mut(&key) else { return };
        let earlier = row.granted.replace(nonce);
        if earlier.is_some() || shard.granted.contains(&nonce) {
            actions.push(Action::Violated { invariant: Invariant::GrantedOnce, nonce });
            return answer(request, Verdict::Unknown(UnknownReason::HolderLost), actions);
        }
        shard.remove_queued(nonce);
        shard.granted.insert(nonce, Granted { key, payload, outcome: None });
        answer(request, Verdict::Granted(nonce), actions);
    }

    fn advance_all(&mut self, now_us: u64, index: usize, actions: &mut Vec<Action>) {
        for request in self.requests(index, |pending| pending.stage == Stage::Waiting) {
            self.advance(now_us, index, request, actions);
        }
    }

    fn give_up_due(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.next_give_up_us.is_none_or(|give_up_us| give_up_us > now_us) {
            return;
        }
        for index in 0..self.shards.len() {
            for request in self.requests(index, |pending| pending.give_up_us <= now_us) {
                self.give_up(now_us, index, request, NotRun::LedgerUnavailable, actions);
            }
        }
        let pending = self.shards.iter().flat_map(|shard| shard.pending.iter());
        self.next_give_up_us = pending.map(|(_, pending)| pending.give_up_us).min();
    }

    fn sweep_due(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.next_sweep_us.is_none_or(|sweep_us| sweep_us > now_us) {
            return;
        }
        for index in 0..self.shards.len() {
            self.advance_all(now_us, index, actions);
        }
        let idle = self.shards.iter().all(|shard| shard.pending.is_empty());
        self.next_sweep_us = (!idle).then_some(now_us + SWEEP_INTERVAL_US);
    }

    fn evict_due(&mut self, now_us: u64) {
        if self.next_eviction_us > now_us {
            return;
        }
        self.next_eviction_us = now_us + EVICTION_INTERVAL_US;
        let unix_ms = self.unix_ms(now_us);
        let settings = &self.settings;
        for shard in &mut self.shards {
            let time_ms = shard.index.latest_record_ms.max(unix_ms.saturating_sub(settings.clock_margin_ms));
            shard.index.evict_expired(time_ms, settings);
            shard.drop_expired(time_ms, settings);
        }
    }

    /// Performs all due work. It also runs after each event, so that a late timer causes no delay.
    fn run_due(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.give_up_due(now_us, actions);
        self.sweep_due(now_us, actions);
        self.evict_due(now_us);
        for index in 0..self.shards.len() {
            self.append(now_us, index, actions);
        }
    }
}

impl Duty for Ledger {
    type Event = Input;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Input, actions: &mut Vec<Action>) {
        match event {
            Input::Clock { unix_ms } => self.on_clock(now_us, unix_ms, actions),
            Input::Event(Event::Claim(claim)) => self.on_claim(now_us, claim, actions),
            Input::Event(Event::RecordOutcome(report)) => self.on_outcome(now_us, report, actions),
            Input::Event(Event::Abandon(request)) => self.on_abandon(now_us, request, actions),
            Input::Read { shard, page } => self.on_read(now_us, shard, page, actions),
            Input::Appended { shard, result } => self.on_appended(now_us, shard, result, actions),
        }
        self.run_due(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        let appends = self.shards.iter().filter_map(Shard::due_us);
        appends.chain(self.next_give_up_us).chain(self.next_sweep_us).min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.run_due(now_us, actions);
    }

    fn measure(&self, mut gauge: impl FnMut(&'static str, f64)) {
        let (bytes, keys) = self.index_size();
        gauge("banyannotch_ledger_index_bytes", bytes as f64);
        gauge("banyannotch_ledger_index_keys", keys as f64);
        gauge("banyannotch_ledger_caught_up", f64::from(u8::from(self.is_caught_up())));
    }
}

fn answer(request: RequestId, verdict: Verdict, actions: &mut Vec<Action>) {
    actions.push(Action::Decide(Decision { request: Some(request), verdict: verdict.clone() }));
    actions.push(Action::Answer(Answer { request, verdict }));
}
