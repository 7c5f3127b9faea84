//! The endpoints by their entries in the store: which are known, missing or leaving.
//!
//! What the entries say is kept apart from what endpoints announce in their answers. Gateways pass on the former only, and an
//! announcement must not make the entry that follows it look like no change.

use std::sync::Arc;

use super::departures::{Departures, Removals, Start};
use super::{Action, Decision};
use crate::clock::US_PER_MS;
use crate::gateway::Endpoint;
use crate::table::Table;

/// What an entry changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EntryChange {
    /// Nothing, or only the heartbeat.
    Unchanged,
    /// The entry had been missing; the endpoint is as before.
    Returned,
    /// The endpoint is new or has changed.
    Changed,
}

/// The endpoints of all services.
#[derive(Debug)]
pub(super) struct Entries {
    /// How long after an outage of the store an endpoint without an entry is kept, in milliseconds.
    return_grace_ms: u64,
    /// The endpoints as their entries describe them.
    known: Table<Arc<str>, Endpoint>,
    /// Endpoints whose entry is missing, and when they are removed.
    missing: Table<Arc<str>, u64>,
    /// Endpoints that were removed, whose entries may come back with a copy of the store.
    removed: Removals,
    /// Entries in a copy of the store of endpoints that had been removed, and when they count all the same. An endpoint that
    /// is alive writes its entry again before, and the entry of another one lapses.
    withheld: Table<Arc<str>, (Endpoint, u64)>,
    /// Departures that entries reported. They prevent a late record from reviving an endpoint that is leaving.
    reported: Departures,
    /// Departures that endpoints announced in their answers.
    announced: Departures,
}

impl Entries {
    /// Creates the state of a gateway that knows no endpoint.
    pub fn new(return_grace_ms: u64) -> Self {
        Self {
            return_grace_ms,
            known: Table::default(),
            missing: Table::default(),
            removed: Removals::default(),
            withheld: Table::default(),
            reported: Departures::default(),
            announced: Departures::default(),
        }
    }

    /// Returns the endpoints that have an entry, as it describes them; several may have the same address. Withheld ones are
    /// among them, because a gateway that never knew such an endpoint learns of it only so.
    pub fn present(&self) -> impl Iterator<Item = &Endpoint> {
        let present = self.known.iter().filter(|(id, _)| !self.missing.contains(id));
        let withheld = self.withheld.iter().map(|(_, (endpoint, _))| endpoint);
        present.map(|(_, endpoint)| endpoint).chain(withheld)
    }

    /// Returns when the next missing endpoint is removed, or the next withheld entry counts.
    pub fn next_removal_us(&self) -> Option<u64> {
        let withheld = self.withheld.iter().map(|(_, (_, until_us))| *until_us);
        self.missing.iter().map(|(_, removal_us)| *removal_us).chain(withheld).min()
    }

    /// Returns whether the entry in a copy of the store does not count yet, because its endpoint had been removed before
    /// the store came back. It counts from the next record that has it, or after a grace period.
    pub fn withhold(&mut self, now_us: u64, endpoint: &Endpoint) -> bool {
        let is_removed = self.removed.covers(&endpoint.id, endpoint.born_ms);
        if is_removed && !self.known.contains(&endpoint.id) {
            let until_us = now_us + self.return_grace_ms * US_PER_MS;
            self.withheld.insert(Arc::clone(&endpoint.id), (endpoint.clone(), until_us));
        }
        is_removed
    }

    /// Takes the withheld entries that count now.
    pub fn take_due_withheld(&mut self, now_us: u64) -> Vec<Endpoint> {
        let due = self.withheld.iter().filter(|(_, (_, until_us))| *until_us <= now_us);
        let due: Vec<Endpoint> = due.map(|(_, (endpoint, _))| endpoint.clone()).collect();
        for endpoint in &due {
            self.withheld.remove(&endpoint.id);
        }
        due
    }

    /// Drops the withheld entries, which are those of an earlier copy of the store.
    pub fn drop_withheld(&mut self) {
        self.withheld = Table::default();
    }

    /// Keeps missing endpoints for a further grace period, because an entry may return unnoticed while reads fail.
    pub fn extend_grace(&mut self, now_us: u64) {
        let extended_us = now_us + self.return_grace_ms * US_PER_MS;
        for (_, removal_us) in self.missing.iter_mut() {
            *removal_us = (*removal_us).max(extended_us);
        }
    }

    /// Adds or updates an endpoint from its entry.
    pub fn upsert(&mut self, mut endpoint: Endpoint, out: &mut Vec<Action>) -> EntryChange {
        self.withheld.remove(&endpoint.id);
        let known = self.known.get(&endpoint.id);
        if known.is_some_and(|known| known.born_ms > endpoint.born_ms) {
            // The record is late and belongs to an earlier start of the endpoint.
            return EntryChange::Unchanged;
        }
        let start = start_of(&endpoint);
        if endpoint.leaving {
            self.reported.record(start);
        } else {
            endpoint.leaving = self.reported.contains(&start);
        }
        let was_missing = self.missing.remove(&endpoint.id).is_some();
        if self.known.get(&endpoint.id) == Some(&endpoint) {
            return if was_missing { EntryChange::Returned } else { EntryChange::Unchanged };
        }
        let state = format!(
            "service={} address={} zone={} born_ms={} leaving={} accelerator={} layers={}",
            endpoint.service,
            endpoint.address,
            endpoint.zone,
            endpoint.born_ms,
            endpoint.leaving,
            endpoint.accelerator.as_deref().unwrap_or("none"),
            endpoint.layers.map_or_else(|| "none".to_owned(), |layers| layers.to_string()),
        );
        out.push(Action::Decide(Decision::Known { id: Arc::clone(&endpoint.id), state }));
        self.removed.forget(&endpoint.id);
        self.known.insert(Arc::clone(&endpoint.id), endpoint);
        EntryChange::Changed
    }

    /// Records the departure of an endpoint that announced it itself. Returns whether the endpoint changed.
    pub fn mark_leaving(&mut self, id: Arc<str>, born_ms: u64) -> bool {
        let known = self.known.get(&id);
        let is_in_use = known.is_some_and(|known| known.born_ms == born_ms && !known.leaving);
        self.announced.record((id, born_ms)) && is_in_use
    }

    /// Marks an endpoint whose entry is missing for removal. After an outage, in which the entry may have expired, the
    /// endpoint is kept for a grace period. `recovered_us` is when the last outage ended. Returns whether a known
    /// endpoint was newly marked, or a withheld entry was dropped.
    pub fn mark_missing(&mut self, now_us: u64, id: &Arc<str>, recovered_us: Option<u64>) -> bool {
        // Others may withhold the entry as well.
        if self.withheld.remove(id).is_some() {
            return true;
        }
        if !self.known.contains(id) || self.missing.contains(id) {
            return false;
        }
        let grace_us = self.return_grace_ms * US_PER_MS;
        let removal_us = recovered_us.map_or(now_us, |recovered_us| (recovered_us + grace_us).max(now_us));
        self.missing.insert(Arc::clone(id), removal_us);
        true
    }

    /// Marks the endpoints that a snapshot lacks for removal, as [`Self::mark_missing`] does. `present` has the names in the
    /// snapshot. Returns whether a known endpoint was newly marked.
    pub fn mark_absent(
        &mut self,
        now_us: u64,
        mut present: Vec<Arc<str>>,
        recovered_us: Option<u64>,
    ) -> bool {
        present.sort_unstable();
        let is_absent = |id: &&Arc<str>| present.binary_search(id).is_err();
        let absent: Vec<_> = self.known.iter().map(|(id, _)| id).filter(is_absent).cloned().collect();
        let mut marked = false;
        for id in &absent {
            marked |= self.mark_missing(now_us, id, recovered_us);
        }
        marked
    }

    /// Removes the missing endpoints whose grace period is over. Returns whether there were any.
    pub fn drop_missing(&mut self, now_us: u64, recovered_us: Option<u64>, out: &mut Vec<Action>) -> bool {
        let after_outage = recovered_us
            .is_some_and(|recovered_us| now_us < recovered_us + 2 * self.return_grace_ms * US_PER_MS);
        let due: Vec<_> = self
            .missing
            .iter()
            .filter(|(_, removal_us)| **removal_us <= now_us)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &due {
            self.missing.remove(id);
            if let Some(endpoint) = self.known.remove(id) {
                self.removed.record(start_of(&endpoint));
            }
            out.push(Action::Decide(Decision::Gone { id: Arc::clone(id), after_outage }));
        }
        !due.is_empty()
    }

    /// Publishes the endpoints; of several at one address, only the one that started last.
    pub fn publish(&self, out: &mut Vec<Action>) {
        let mut by_address: Vec<&Endpoint> = self.known.iter().map(|(_, endpoint)| endpoint).collect();
        by_address.sort_by_key(|endpoint| (endpoint.address, std::cmp::Reverse(endpoint.born_ms)));
        by_address.dedup_by_key(|endpoint| endpoint.address);
        let published = by_address.into_iter().map(|endpoint| {
            let leaving = endpoint.leaving || self.announced.contains(&start_of(endpoint));
            Endpoint { leaving, ..endpoint.clone() }
        });
        out.push(Action::Endpoints(published.collect()));
    }
}

fn start_of(endpoint: &Endpoint) -> Start {
    (Arc::clone(&endpoint.id), endpoint.born_ms)
}
