//! The endpoints by their entries in the store: which are known, missing or leaving.
//!
//! What the entries say is kept apart from what endpoints announce in their answers. Gateways pass on the former only, and an
//! announcement must not make the entry that follows it look like no change.

use std::sync::Arc;

use super::departures::{Departures, Start};
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
            reported: Departures::default(),
            announced: Departures::default(),
        }
    }

    /// Returns the endpoints that have an entry, as it describes them; several may have the same address.
    pub fn present(&self) -> impl Iterator<Item = &Endpoint> {
        let present = self.known.iter().filter(|(id, _)| !self.missing.contains(id));
        present.map(|(_, endpoint)| endpoint)
    }

    /// Returns when the next missing endpoint is removed.
    pub fn next_removal_us(&self) -> Option<u64> {
        self.missing.iter().map(|(_, removal_us)| *removal_us).min()
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
    /// endpoint was newly marked.
    pub fn mark_missing(&mut self, now_us: u64, id: &Arc<str>, recovered_us: Option<u64>) -> bool {
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
            self.known.remove(id);
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
