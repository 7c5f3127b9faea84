//! A bounded record of the endpoints that are leaving.

use std::sync::Arc;

use crate::table::Table;

/// Maximum number of departures kept, the latest ones.
const DEPARTURE_LIMIT: usize = 4_096;

/// Name of an endpoint and Unix time of its start in milliseconds. A restart under the same name is another endpoint.
pub(super) type Start = (Arc<str>, u64);

/// Starts of endpoints that are leaving, each with its position in their order.
#[derive(Debug, Default)]
pub(super) struct Departures {
    positions: Table<Start, u64>,
    count: u64,
}

impl Departures {
    /// Records a departure, in place of the oldest one if too many are kept. Returns whether it is new.
    pub fn record(&mut self, start: Start) -> bool {
        if self.contains(&start) {
            return false;
        }
        if self.positions.len() >= DEPARTURE_LIMIT {
            let oldest = self.positions.iter().min_by_key(|(_, position)| **position);
            if let Some(oldest) = oldest.map(|(start, _)| start.clone()) {
                self.positions.remove(&oldest);
            }
        }
        self.count += 1;
        self.positions.insert(start, self.count);
        true
    }

    /// Returns whether the endpoint is leaving.
    pub fn contains(&self, start: &Start) -> bool {
        self.positions.contains(start)
    }
}

/// The latest start of each endpoint that was removed, for as many endpoints as [`Departures`] keeps.
#[derive(Debug, Default)]
pub(super) struct Removals {
    /// Unix time of the start in milliseconds, and the position in the order of removals.
    starts: Table<Arc<str>, (u64, u64)>,
    count: u64,
}

impl Removals {
    /// Records the removal of an endpoint, in place of the oldest one if too many are kept.
    pub fn record(&mut self, (id, born_ms): Start) {
        if self.starts.len() >= DEPARTURE_LIMIT && !self.starts.contains(&id) {
            let oldest = self.starts.iter().min_by_key(|(_, (_, position))| *position);
            if let Some(oldest) = oldest.map(|(id, _)| Arc::clone(id)) {
                self.starts.remove(&oldest);
            }
        }
        self.count += 1;
        self.starts.insert(id, (born_ms, self.count));
    }

    /// Returns whether this start of an endpoint was removed, or a later one.
    pub fn covers(&self, id: &Arc<str>, born_ms: u64) -> bool {
        self.starts.get(id).is_some_and(|(removed_ms, _)| born_ms <= *removed_ms)
    }

    /// Forgets the removal of an endpoint that is in use again.
    pub fn forget(&mut self, id: &Arc<str>) {
        self.starts.remove(id);
    }
}
