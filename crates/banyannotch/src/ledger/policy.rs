//! Grants a claim only after it was read back as the first one of its key, and gives up for good before it answers
//! that the request does not run.

use super::records::{Batch, Item, Page, PageRow, key_bytes, shard_of};
use super::shard::{Granted, PAGE_MAX, Pending, Shard, Stage};
use super::state::{Effect, Holder, LedgerSettings, Standing};
use super::{
    Action, Answer, Appending, Claim, Decision, Event, Input, Invariant, Nonce, Record, Recorded, Verdict,
};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::ids::{Incarnation, InstanceId, RequestId};
use crate::random::Random;
use crate::request::{IdempotencyKey, NotRun, UnknownReason};

/// How long a read waits for a record once the stream was read to its end.
const READ_WAIT_MS: u64 = 2_500;

/// Pause before the log is read again after a failure.
const READ_RETRY_MS: u64 = 100;

/// Interval at which claims that wait for another holder are looked at.
const SWEEP_US: u64 = 100 * US_PER_MS;

/// Interval at which expired keys are forgotten.
const FORGET_US: u64 = 1_000 * US_PER_MS;

/// Longest texts of a key, so that a record with a claim stays within the limit of a body.
const KEY_LIMIT_BYTES: usize = 4 << 10;

/// Longest result that is recorded. JSON inside JSON inside a page can take four bytes for each one of the result.
const RESULT_LIMIT_BYTES: usize = 64 << 10;

/// The policy of the ledger on one entry.
#[derive(Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    entry: InstanceId,
    incarnation: Incarnation,
    random: Random,
    shards: Vec<Shard>,
    /// Wall clock at `clock_us`; later times are extrapolated.
    clock_ms: u64,
    clock_us: u64,
    started_ms: Option<u64>,
    /// No pending claim is to be given up before this time.
    give_up_us: Option<u64>,
    sweep_us: Option<u64>,
    forget_us: u64,
}

impl Ledger {
    /// Creates the policy of one start of an entry. The seed determines the nonces and must differ between starts.
    pub fn new(settings: LedgerSettings, entry: InstanceId, incarnation: Incarnation, seed: u64) -> Self {
        let shards = (0..settings.shards.max(1)).map(|_| Shard::new()).collect();
        Self {
            settings,
            entry,
            incarnation,
            random: Random::seeded(seed),
            shards,
            clock_ms: 0,
            clock_us: 0,
            started_ms: None,
            give_up_us: None,
            sweep_us: None,
            forget_us: 0,
        }
    }

    /// Returns the memory that the keys take, and their number.
    pub fn index_size(&self) -> (usize, usize) {
        let sizes = self.shards.iter().map(|shard| (shard.index.bytes(), shard.index.len()));
        sizes.fold((0, 0), |(bytes, keys), (more_bytes, more_keys)| (bytes + more_bytes, keys + more_keys))
    }

    /// Returns whether each stream was read up to the end that it had when the entry started.
    pub fn is_caught_up(&self) -> bool {
        self.shards.iter().all(|shard| shard.caught_up)
    }

    fn unix_ms(&self, now_us: u64) -> u64 {
        self.clock_ms + now_us.saturating_sub(self.clock_us) / US_PER_MS
    }

    fn on_clock(&mut self, now_us: u64, unix_ms: u64, actions: &mut Vec<Action>) {
        (self.clock_ms, self.clock_us) = (unix_ms, now_us);
        if self.started_ms.is_some() {
            return;
        }
        self.started_ms = Some(unix_ms);
        for index in 0..self.shards.len() {
            self.read(now_us, index, 0, actions);
        }
    }

    fn read(&mut self, now_us: u64, index: usize, after_ms: u64, actions: &mut Vec<Action>) {
        let unix_ms = self.unix_ms(now_us);
        let Some(shard) = self.shards.get_mut(index) else { return };
        shard.read_began_ms = unix_ms;
        actions.push(Action::Read {
            shard: index,
            from: shard.next,
            max: shard.page_max,
            wait_ms: if shard.caught_up { READ_WAIT_MS } else { 0 },
            after_ms,
        });
    }

    fn on_claim(&mut self, now_us: u64, claim: Claim, actions: &mut Vec<Action>) {
        let unix_ms = self.unix_ms(now_us);
        let request = claim.request;
        let index = shard_of(&claim.key, self.shards.len());
        let waiting: usize =
            self.shards.iter().map(|shard| shard.pending.len() + shard.waiting_items()).sum();
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
        self.give_up_us = Some(self.give_up_us.map_or(give_up_us, |planned| planned.min(give_up_us)));
        self.sweep_us.get_or_insert(now_us + SWEEP_US);
        self.advance(now_us, index, request, actions);
    }

    /// Answers a waiting claim if its key's standing says enough, or claims the key if it is free.
    fn advance(&mut self, now_us: u64, index: usize, request: RequestId, actions: &mut Vec<Action>) {
        let Some(shard) = self.shards.get(index) else { return };
        let Some(pending) = shard.pending.get(&request) else { return };
        if let Some(verdict) = self.known_verdict(shard, pending) {
            return self.finish(now_us, index, request, verdict, actions);
        }
        let key = &pending.claim.key;
        let free = shard.index.get(key).is_none_or(|row| row.standing == Standing::Free);
        if pending.stage != Stage::Waiting || !shard.caught_up || !free {
            return;
        }
        if self.is_expired(self.unix_ms(now_us), index, key) {
            return self.finish(now_us, index, request, Verdict::Refused(NotRun::KeyExpired), actions);
        }
        // One claim of this entry is enough; the others of the key follow when it is decided.
        let claims = |other: &Pending| other.stage != Stage::Waiting && other.claim.key == *key;
        if !shard.pending.iter().any(|(_, other)| claims(other)) {
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
        shard.queue(now_us, item, &self.settings);
    }

    /// Returns the answer that the records give to a claim, if it does not depend on records to come.
    fn known_verdict(&self, shard: &Shard, pending: &Pending) -> Option<Verdict> {
        let row = shard.index.get(&pending.claim.key)?;
        match &row.standing {
            Standing::Free => None,
            Standing::Done { payload, .. } if *payload != pending.claim.payload => {
                Some(Verdict::Refused(NotRun::KeyConflict))
            }
            Standing::Done { outcome, .. } => Some(Verdict::Recorded(outcome.clone())),
            Standing::Held(holder) if pending.stage != Stage::Waiting => {
                // Whether the own claim follows the holder's release is known when it has been read back.
                self.local_outcome(shard, holder, pending)
            }
            Standing::Held(holder) if !shard.caught_up => self.local_outcome(shard, holder, pending),
            Standing::Held(holder) if holder.payload != pending.claim.payload => {
                Some(Verdict::Refused(NotRun::KeyConflict))
            }
            Standing::Held(holder) => {
                let local = self.local_outcome(shard, holder, pending);
                local.or_else(|| {
                    self.is_lost(shard, holder).then_some(Verdict::Unknown(UnknownReason::HolderLost))
                })
            }
        }
    }

    /// Returns the outcome of a claim of this entry that waits to be appended.
    fn local_outcome(&self, shard: &Shard, holder: &Holder, pending: &Pending) -> Option<Verdict> {
        let granted = shard.granted.get(&holder.nonce)?;
        let outcome = granted.outcome.as_ref().filter(|outcome| !matches!(outcome, Recorded::NotRun(_)))?;
        if granted.payload != pending.claim.payload {
            return Some(Verdict::Refused(NotRun::KeyConflict));
        }
        Some(Verdict::Recorded(outcome.clone()))
    }

    /// Returns whether no outcome is to be expected of a claim that holds a key.
    fn is_lost(&self, shard: &Shard, holder: &Holder) -> bool {
        if holder.entry == self.entry {
            let live = holder.incarnation == self.incarnation;
            return !live || self.is_overdue(shard, holder);
        }
        shard.index.is_replaced(holder) || self.is_overdue(shard, holder)
    }

    fn is_overdue(&self, shard: &Shard, holder: &Holder) -> bool {
        holder.deadline_ms + self.settings.holder_grace_ms < shard.read_to_ms
    }

    /// Whether the key's records may be missing here, or expire before a claim of it does.
    fn is_expired(&self, unix_ms: u64, index: usize, key: &IdempotencyKey) -> bool {
        let floor_ms = self.shards.get(index).map_or(u64::MAX, |shard| shard.index.floor_ms);
        key.made_ms <= floor_ms || unix_ms > self.settings.expiry_ms(key)
    }

    /// Ends a pending claim without a grant. If the claim may be in the log, it is cancelled.
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
            Stage::Queued(nonce) => shard.unqueue(nonce),
            // The key has its final outcome, so the claim cannot win any more.
            Stage::Sent(_) if matches!(verdict, Verdict::Recorded(_)) => {}
            Stage::Sent(nonce) => {
                shard.unqueue(nonce);
                let item = Item::Cancel { key: pending.claim.key.clone(), nonce };
                shard.queue(now_us, item, &self.settings);
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
        // Without a pending claim the answer is under way already.
        if let Some(index) = shard {
            self.give_up(now_us, index, request, NotRun::Cancelled, actions);
        }
    }

    /// Answers a claim that cannot wait any longer. "Not run" is said only if no other claim of the key is known that
    /// may have run.
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
            match shard.index.get(&pending.claim.key).map(|row| &row.standing) {
                Some(Standing::Held(holder)) if pending.stage != Stage::Sent(holder.nonce) => {
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

    fn on_record(&mut self, now_us: u64, record: Record, actions: &mut Vec<Action>) {
        let Record { key, nonce, outcome } = record;
        let index = shard_of(&key, self.shards.len());
        let Some(shard) = self.shards.get_mut(index) else { return };
        let Some(granted) = shard.granted.get_mut(&nonce) else { return };
        if granted.outcome.is_some() {
            return;
        }
        granted.outcome = Some(outcome.clone());
        let payload = granted.payload;
        // A result that does not fit a record is kept as unknown, which never lets the request run again.
        let outcome = if outcome.result_bytes() > RESULT_LIMIT_BYTES {
            Recorded::Unknown(UnknownReason::NoAnswer)
        } else {
            outcome
        };
        let item = Item::Outcome { key: key.clone(), payload, nonce, outcome };
        shard.queue(now_us, item, &self.settings);
        self.advance_key(now_us, index, &key, actions);
    }

    fn on_appended(&mut self, now_us: u64, index: usize, result: Appending, actions: &mut Vec<Action>) {
        let jitter = self.random.unit();
        let Some(shard) = self.shards.get_mut(index) else { return };
        let items = shard.land();
        match result {
            Appending::Done => shard.on_success(),
            Appending::Refused => {
                let claims = items.iter().filter(|item| matches!(item, Item::Claim { .. }));
                let refused: Vec<Nonce> = claims.map(Item::nonce).collect();
                let mut again = Vec::with_capacity(items.len());
                for item in items {
                    let nonce = item.nonce();
                    // An earlier append of an unclear claim may have taken effect, so its cancellation stays.
                    let is_kept = !refused.contains(&nonce)
                        || shard.mark_queued(nonce)
                        || (shard.unclear.contains(&nonce) && !matches!(item, Item::Claim { .. }));
                    if is_kept {
                        again.push(item);
                    } else if !shard.unclear.contains(&nonce) {
                        shard.unqueue(nonce);
                    }
                }
                shard.on_failure(now_us, again, jitter, &self.settings);
            }
            Appending::Unclear => {
                // Every item can stand in the log twice: of two claims with one nonce the second loses. A claim that nobody
                // waits for any more has been cancelled.
                let again = items
                    .into_iter()
                    .filter(|item| match item {
                        Item::Claim { key, nonce, .. } => shard.mark_unclear(*nonce, key),
                        Item::Outcome { .. } | Item::Cancel { .. } => true,
                    })
                    .collect();
                shard.on_failure(now_us, again, jitter, &self.settings);
            }
        }
        self.append(now_us, index, actions);
    }

    /// Appends what is due on a shard.
    fn append(&mut self, now_us: u64, index: usize, actions: &mut Vec<Action>) {
        let Some(shard) = self.shards.get_mut(index) else { return };
        let Some(items) = shard.take_batch(now_us) else { return };
        shard.mark_sent(&items);
        let batch = Batch { entry: self.entry.clone(), incarnation: self.incarnation, items };
        shard.fly(batch.clone());
        actions.push(Action::Append { shard: index, batch, limit_ms: self.settings.append_timeout_ms });
    }

    fn on_read(&mut self, now_us: u64, index: usize, page: Option<Page>, actions: &mut Vec<Action>) {
        let Some(page) = page else { return self.on_unread(now_us, index, actions) };
        let unix_ms = self.unix_ms(now_us);
        self.check_gap(now_us, unix_ms, index, &page, actions);
        let mut touched = Vec::new();
        for row in &page.rows {
            self.on_row(now_us, index, row, &mut touched, actions);
        }
        let Some(shard) = self.shards.get_mut(index) else { return };
        shard.touched = true;
        shard.next = shard.next.max(page.next);
        shard.page_max = (shard.page_max * 2).min(PAGE_MAX);
        let clock_margin_ms = self.settings.clock_margin_ms;
        let known_ms = match page.rows.last() {
            Some(row) => row.time_ms.saturating_sub(clock_margin_ms),
            None => shard.read_began_ms,
        };
        shard.read_to_ms = shard.read_to_ms.max(known_ms);
        let share_bytes = self.settings.index_limit_bytes / self.shards.len().max(1);
        let started_ms = self.started_ms.unwrap_or(u64::MAX);
        let Some(shard) = self.shards.get_mut(index) else { return };
        shard.index.shrink(share_bytes);
        // Such a record was appended after this entry had started, even if the clocks differ.
        let past_start = shard.index.latest_ms > started_ms.saturating_add(clock_margin_ms);
        let reached_end = !shard.caught_up && (page.rows.is_empty() || past_start);
        shard.caught_up |= reached_end;
        if reached_end {
            self.advance_all(now_us, index, actions);
        } else {
            touched.sort_unstable();
            touched.dedup();
            for key in &touched {
                self.advance_key(now_us, index, key, actions);
            }
        }
        self.read(now_us, index, 0, actions);
    }

    fn on_unread(&mut self, now_us: u64, index: usize, actions: &mut Vec<Action>) {
        if let Some(shard) = self.shards.get_mut(index) {
            // A page that is too large for a body fails each time, so the next one is smaller.
            shard.page_max = (shard.page_max / 2).max(1);
        }
        self.read(now_us, index, READ_RETRY_MS, actions);
    }

    /// Stops serving the keys whose claims may be among records that expired before they were read.
    ///
    /// A record's claims are of keys made at most two clock margins after it. The time of the missing records is bounded
    /// by that of the record behind them or, if there is none, by the time of the read. Before the first page, records
    /// that are missing have expired regularly, so that the retention in the settings bounds their time.
    fn check_gap(&mut self, now_us: u64, unix_ms: u64, index: usize, page: &Page, actions: &mut Vec<Action>) {
        let settings = &self.settings;
        let Some(shard) = self.shards.get_mut(index) else { return };
        if page.first <= shard.next {
            return;
        }
        let read_ms = unix_ms + settings.clock_margin_ms;
        let last_missing_ms = if shard.touched {
            page.rows.first().map_or(read_ms, |row| row.time_ms)
        } else {
            read_ms.saturating_sub(settings.retention_ms)
        };
        let floor_ms = settings.newest_made_ms(last_missing_ms);
        shard.index.floor_ms = shard.index.floor_ms.max(floor_ms);
        shard.next = page.first;
        for request in self.requests(index, |pending| pending.claim.key.made_ms <= floor_ms) {
            self.give_up(now_us, index, request, NotRun::KeyExpired, actions);
        }
    }

    fn on_row(
        &mut self,
        now_us: u64,
        index: usize,
        row: &PageRow,
        touched: &mut Vec<IdempotencyKey>,
        actions: &mut Vec<Action>,
    ) {
        let Some(shard) = self.shards.get_mut(index) else { return };
        if row.offset < shard.next {
            return;
        }
        shard.next.0 = row.offset.0 + 1;
        shard.index.see(row.time_ms, row.batch.as_ref());
        let Some(batch) = &row.batch else { return };
        let own = batch.entry == self.entry && batch.incarnation == self.incarnation;
        for item in &batch.items {
            let Some(shard) = self.shards.get_mut(index) else { return };
            let effect = shard.index.apply(row.time_ms, batch, item, &self.settings);
            if effect == Effect::Foreign && item.key().made_ms > shard.index.floor_ms {
                let invariant = Invariant::OutcomeOfHolder;
                actions.push(Action::Violated { invariant, nonce: item.nonce() });
            }
            if own {
                self.on_own_item(now_us, index, item, effect, actions);
            }
            if let Some(shard) = self.shards.get(index)
                && !shard.pending.is_empty()
            {
                touched.push(item.key().clone());
            }
        }
    }

    /// Takes an item of this entry that was read back.
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
            Effect::Lost | Effect::Changed | Effect::Ignored | Effect::Foreign => {
                let Some(shard) = self.shards.get_mut(index) else { return };
                if let Some(pending) = shard.pending.get_mut(&request) {
                    pending.stage = Stage::Waiting;
                }
            }
        }
    }

    /// Frees the key of a claim that was given up and won all the same.
    fn release(&mut self, now_us: u64, index: usize, key: &IdempotencyKey, nonce: Nonce, effect: Effect) {
        let Some(shard) = self.shards.get_mut(index) else { return };
        if effect != Effect::Won || shard.granted.contains(&nonce) || shard.cancels(nonce) {
            return;
        }
        shard.queue(now_us, Item::Cancel { key: key.clone(), nonce }, &self.settings);
    }

    /// Grants a claim that was read back and won, if its caller still waits. Both clocks are asked, because the
    /// monotonic one may stand still while the machine is suspended.
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
        shard.unqueue(nonce);
        shard.granted.insert(nonce, Granted { key, payload, outcome: None });
        answer(request, Verdict::Granted(nonce), actions);
    }

    fn advance_all(&mut self, now_us: u64, index: usize, actions: &mut Vec<Action>) {
        for request in self.requests(index, |pending| pending.stage == Stage::Waiting) {
            self.advance(now_us, index, request, actions);
        }
    }

    fn give_up_due(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.give_up_us.is_none_or(|give_up_us| give_up_us > now_us) {
            return;
        }
        for index in 0..self.shards.len() {
            for request in self.requests(index, |pending| pending.give_up_us <= now_us) {
                self.give_up(now_us, index, request, NotRun::LedgerUnavailable, actions);
            }
        }
        let pending = self.shards.iter().flat_map(|shard| shard.pending.iter());
        self.give_up_us = pending.map(|(_, pending)| pending.give_up_us).min();
    }

    fn sweep_due(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.sweep_us.is_none_or(|sweep_us| sweep_us > now_us) {
            return;
        }
        for index in 0..self.shards.len() {
            self.advance_all(now_us, index, actions);
        }
        let idle = self.shards.iter().all(|shard| shard.pending.is_empty());
        self.sweep_us = (!idle).then_some(now_us + SWEEP_US);
    }

    fn forget_due(&mut self, now_us: u64) {
        if self.forget_us > now_us {
            return;
        }
        self.forget_us = now_us + FORGET_US;
        let unix_ms = self.unix_ms(now_us);
        let settings = &self.settings;
        for shard in &mut self.shards {
            let time_ms = shard.index.latest_ms.max(unix_ms.saturating_sub(settings.clock_margin_ms));
            shard.index.forget(time_ms, settings);
            shard.drop_expired(time_ms, settings);
        }
    }

    /// Does everything that is due. It follows each event, so that a late timer delays nothing.
    fn settle(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.give_up_due(now_us, actions);
        self.sweep_due(now_us, actions);
        self.forget_due(now_us);
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
            Input::Asked(Event::Claim(claim)) => self.on_claim(now_us, claim, actions),
            Input::Asked(Event::Record(record)) => self.on_record(now_us, record, actions),
            Input::Asked(Event::Abandon(request)) => self.on_abandon(now_us, request, actions),
            Input::Read { shard, page } => self.on_read(now_us, shard, page, actions),
            Input::Appended { shard, result } => self.on_appended(now_us, shard, result, actions),
        }
        self.settle(now_us, actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        let appends = self.shards.iter().filter_map(Shard::due_us);
        appends.chain(self.give_up_us).chain(self.sweep_us).min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.settle(now_us, actions);
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
