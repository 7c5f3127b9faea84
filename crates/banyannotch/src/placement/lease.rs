//! The controller lease: records on a stream of the log that every entry reads in log order.
//!
//! **Acceptance.** A record names `after`, the newest offset that its author had read. It is accepted if no
//! record after that offset has been accepted; otherwise its author did not know the lease in force, and the
//! record is refused. This depends on log order only, so every reader accepts the same records. The offset of
//! an accepted record is the fencing number of the lease.
//!
//! **Clocks.** The holder counts the term from before it appended its record, and stops a margin before its
//! end. All other entries count the term from when they read the record, and wait a margin longer before they
//! claim the lease. A record is read after it was appended, so the holder has stopped before any claim is
//! appended. This holds for pauses of a thread of any length, as long as the rates of two clocks differ by
//! less than the margin. Readers also wait after refused records: a reader that joined late cannot always
//! tell a refused record from an accepted one, and waiting is safe.
//!
//! **Lost answers.** An entry holds the lease only once it has read its own record back, not because an
//! append succeeded. A lost answer therefore needs no handling: if the record is in the log it will be read,
//! and since its term counts from before the append, little or nothing is left of the term of a late record.
//! A claim that is not read back is repeated under another nonce. If several of them reach the log, the first
//! one is accepted and the others are refused.
//!
//! **Expired records.** A claim may only be made within one term of the start of a read that reached the end
//! of the stream. If no append is delayed by as much as the log's retention time, a reader whose stream
//! begins after expired records therefore agrees with all others.
//!
//! See "Placement and orders" in `docs/design.md`.

use serde::{Deserialize, Serialize};

use crate::backing::Records;
use crate::clock::US_PER_MS;
use crate::ids::{EndpointId, FencingNumber, LogOffset};

/// Stream of the platform's log that holds the lease records.
pub const STREAM: &str = "placement";

/// Margin by which the holder counts the term shorter and all others count it longer, in percent of the term.
/// It covers clocks whose rates differ by less than 4 percent in total; quartz clocks differ by less than 0.1
/// percent.
const MARGIN_PERCENT: u64 = 2;

/// Maximum term of a lease. A record with a longer one is ignored, because it could block the lease forever.
const MAX_TERM_MS: u64 = 600_000;

/// A renewal is appended after the term divided by this.
const RENEW_DIVISOR: u64 = 3;

/// An append that has not been read back is repeated after the term divided by this.
const REPEAT_DIVISOR: u64 = 6;

/// Maximum number of own appends that are kept. More do not occur within one term.
const PENDING_LIMIT: usize = 16;

/// A record of the lease stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Entry that claims or renews the lease.
    pub holder: EndpointId,
    /// Number of the append, which distinguishes the appends of one holder.
    pub nonce: u64,
    /// Newest offset that the holder had read.
    pub after: LogOffset,
    /// Term of the lease.
    pub term_ms: u64,
}

/// A lease that this entry holds.
///
/// An endpoint that ignores fencing numbers accepts every order. Orders are sent to it only from
/// [`HeldLease::unfenced_from_us`] on, when no order of an earlier holder is in transit any more, and the
/// clock is checked again at the send. What remains is a pause of the process between that check and the
/// write to the socket: an order can then arrive after the end of its lease, by at most the length of the
/// pause plus the longest time that an order is in transit. The order states a layer range, so the holder at
/// that time sees the difference in the next load report and corrects it. Requests are not affected, because
/// each step names the layers and the version that it expects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Offset of the newest accepted record of this entry.
    pub fencing: FencingNumber,
    /// Time until which this entry may send orders.
    pub until_us: u64,
    /// Time at which this entry appended the first record of this lease, from which it was renewed without a
    /// gap. Every earlier lease had ended by then.
    pub since_us: u64,
}

impl HeldLease {
    /// Returns the time from which on orders may be sent to endpoints that ignore fencing numbers.
    /// `transit_us` is the longest time that an order is in transit after the clock was checked.
    pub fn unfenced_from_us(&self, transit_us: u64) -> u64 {
        self.since_us + transit_us * (100 + MARGIN_PERCENT) / 100
    }
}

/// Change of the holder of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseChange {
    /// This entry became the holder.
    Gained(FencingNumber),
    /// Another entry became the holder.
    Passed(FencingNumber),
}

/// An append of this entry whose record may still be read back.
#[derive(Clone, Copy, Debug)]
struct PendingAppend {
    nonce: u64,
    started_us: u64,
}

/// One entry's view of the lease.
#[derive(Debug)]
pub struct Lease {
    own: EndpointId,
    term_ms: u64,
    next: LogOffset,
    current: Option<(LogOffset, EndpointId)>,
    held: Option<HeldLease>,
    /// Time at which every lease that was read has certainly ended.
    free_us: u64,
    /// Start of the last read that reached the end of the stream.
    complete_read_us: Option<u64>,
    pending: Vec<PendingAppend>,
    last_nonce: u64,
}

impl Lease {
    /// Creates the view of an entry that has read nothing. `own` is the instance and incarnation of this
    /// entry.
    pub fn new(own: EndpointId, term_ms: u64) -> Self {
        Self {
            own,
            term_ms: term_ms.clamp(1, MAX_TERM_MS),
            next: LogOffset(1),
            current: None,
            held: None,
            free_us: 0,
            complete_read_us: None,
            pending: Vec::new(),
            last_nonce: 0,
        }
    }

    /// Returns the offset to read from.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the lease if this entry holds it at the given time.
    pub fn held(&self, now_us: u64) -> Option<HeldLease> {
        self.held.filter(|held| now_us < held.until_us)
    }

    /// Returns whether the newest accepted record is this entry's own, even if its lease has ended.
    pub fn owns_newest(&self) -> bool {
        self.held.is_some()
    }

    /// Processes a page of records at `now_us` whose read began at `requested_us`. `reached_end` says whether
    /// the page reached the end of the stream.
    pub fn on_records(
        &mut self,
        requested_us: u64,
        now_us: u64,
        page: &Records,
        reached_end: bool,
    ) -> Option<LeaseChange> {
        let mut change = None;
        let first = self.next;
        for record in page.records.iter().filter(|record| record.offset >= first) {
            let Ok(lease) = serde_json::from_str::<LeaseRecord>(&record.data) else { continue };
            if lease.term_ms > MAX_TERM_MS {
                continue;
            }
            self.free_us = self.free_us.max(now_us + waiting_term_us(lease.term_ms));
            change = self.apply_record(record.offset, &lease).or(change);
        }
        self.next = self.next.max(page.next);
        if reached_end {
            self.complete_read_us = Some(requested_us);
        }
        change
    }

    fn apply_record(&mut self, offset: LogOffset, record: &LeaseRecord) -> Option<LeaseChange> {
        let accepted = self.current.as_ref().map(|(offset, _)| *offset).unwrap_or_default();
        if record.after < accepted {
            return None;
        }
        let was_ours = self.current.as_ref().is_some_and(|(_, holder)| *holder == self.own);
        let is_ours = record.holder == self.own;
        self.current = Some((offset, record.holder.clone()));
        let fencing = FencingNumber(offset.0);
        if !is_ours {
            self.held = None;
            return Some(LeaseChange::Passed(fencing));
        }
        let pending = self.pending.iter().find(|pending| pending.nonce == record.nonce)?;
        let until_us = pending.started_us + holder_term_us(record.term_ms);
        let since_us = match self.held {
            // A renewal that was appended before the end of the lease continues it.
            Some(held) if was_ours && pending.started_us < held.until_us => held.since_us,
            _ => pending.started_us,
        };
        self.held = Some(HeldLease { fencing, until_us, since_us });
        (!was_ours).then_some(LeaseChange::Gained(fencing))
    }

    /// Returns the earliest time at which [`Lease::claim`] may return a record.
    pub fn next_claim_us(&self) -> Option<u64> {
        self.complete_read_us?;
        let repeat_us = self.pending.last().map_or(0, |pending| pending.started_us + self.repeat_us());
        Some(self.append_due_us().max(repeat_us))
    }

    /// Returns a record to append if this entry should renew its lease or may claim a free one now.
    pub fn claim(&mut self, now_us: u64) -> Option<LeaseRecord> {
        if self.next_claim_us().is_none_or(|due_us| now_us < due_us) {
            return None;
        }
        if self.complete_read_us.is_none_or(|at_us| now_us.saturating_sub(at_us) > self.term_us()) {
            // Waits for the next read. Otherwise the claim would stay due and the timer would spin.
            self.complete_read_us = None;
            return None;
        }
        self.last_nonce += 1;
        let oldest_us = now_us.saturating_sub(self.term_us());
        self.pending.retain(|pending| pending.started_us >= oldest_us);
        if self.pending.len() >= PENDING_LIMIT {
            self.pending.remove(0);
        }
        self.pending.push(PendingAppend { nonce: self.last_nonce, started_us: now_us });
        Some(LeaseRecord {
            holder: self.own.clone(),
            nonce: self.last_nonce,
            after: LogOffset(self.next.0.saturating_sub(1)),
            term_ms: self.term_ms,
        })
    }

    /// Returns when this entry should append a record: a renewal if the newest lease is its own, otherwise a
    /// claim once every lease has ended. A renewal is safe even after the end of the own lease, because it is
    /// refused if another entry's record was accepted in between.
    fn append_due_us(&self) -> u64 {
        let Some(held) = self.held else { return self.free_us };
        let started_us = held.until_us.saturating_sub(holder_term_us(self.term_ms));
        started_us + self.term_us() / RENEW_DIVISOR
    }

    fn term_us(&self) -> u64 {
        self.term_ms * US_PER_MS
    }

    fn repeat_us(&self) -> u64 {
        self.term_us() / REPEAT_DIVISOR
    }
}

/// Returns the part of a term for which the holder relies on the lease.
fn holder_term_us(term_ms: u64) -> u64 {
    term_ms * US_PER_MS * (100 - MARGIN_PERCENT) / 100
}

/// Returns the time for which all other entries wait for the end of a term.
fn waiting_term_us(term_ms: u64) -> u64 {
    term_ms * US_PER_MS * (100 + MARGIN_PERCENT) / 100
}
