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
