//! Changes of endpoints that gateways send each other, so that not every gateway has to read them from the store.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::Endpoint;

/// Maximum number of retained changes. A gateway that lacks more than these reads the store.
const RETAINED_CHANGE_LIMIT: usize = 1_024;
/// Maximum number of changes in one datagram, about 4 KB. The others follow in later rounds.
pub(super) const DATAGRAM_CHANGE_LIMIT: usize = 64;

/// A change of the set of endpoints.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// The endpoint's entry is new or has changed.
    Known(Endpoint),
    /// The endpoint's entry was removed or is no longer usable.
    Missing(Arc<str>),
}

impl Change {
    fn id(&self) -> &Arc<str> {
        match self {
            Self::Known(endpoint) => &endpoint.id,
            Self::Missing(id) => id,
        }
    }
}

/// All changes between two offsets of the feed of endpoints.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    /// Offset after which the changes start.
    pub from: u64,
    /// Offset up to which the changes are complete.
    pub through: u64,
    /// The changes, oldest first.
    pub list: Vec<Change>,
}

/// The latest changes, for gateways that lack them.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    /// Offset after which all changes are retained.
    floor: u64,
    /// Offset up to which the changes are complete.
    through: u64,
    /// Changes, each with the offset up to which the read that returned it was complete.
    retained: VecDeque<(u64, Change)>,
}

impl ChangeLog {
    /// Adds changes. If there is a gap before them, the changes retained so far are discarded.
    pub fn push(&mut self, changes: Changes) {
        if changes.from > self.through {
            self.retained.clear();
            self.floor = changes.from;
        }
        let through = changes.through;
        self.retained.extend(changes.list.into_iter().map(|change| (through, change)));
        self.through = self.through.max(through);
        while self.retained.len() > RETAINED_CHANGE_LIMIT {
            let Some((dropped, _)) = self.retained.pop_front() else { return };
            self.floor = dropped;
            // Changes of one read share an offset and can only be sent together.
            while self.retained.front().is_some_and(|(offset, _)| *offset == dropped) {
                self.retained.pop_front();
            }
        }
    }

    /// Returns the last change of each endpoint after the given offset, as many as fit into a datagram. Returns none if
    /// the log does not extend beyond the offset, if some of the changes after the offset are no longer retained, or if
    /// the changes of the first read after it do not fit into one datagram.
    pub fn after(&self, offset: u64) -> Option<Changes> {
        if offset < self.floor || offset >= self.through {
            return None;
        }
        let first = self.retained.partition_point(|(retained, _)| *retained <= offset);
        let mut through = self.through;
        if let Some((excess_offset, _)) = self.retained.get(first + DATAGRAM_CHANGE_LIMIT) {
            // Changes that share an offset must not be split over two datagrams.
            let fitting = self.retained.iter().skip(first).take(DATAGRAM_CHANGE_LIMIT).rev();
            through = fitting.map(|(retained, _)| *retained).find(|retained| retained < excess_offset)?;
        }
        let selected: Vec<&Change> = self
            .retained
            .iter()
            .skip(first)
            .take_while(|(retained, _)| *retained <= through)
            .map(|(_, change)| change)
            .collect();
        let is_last = |index: usize, change: &Change| {
            selected.iter().skip(index + 1).all(|later| later.id() != change.id())
        };
        let list = selected.iter().enumerate().filter(|(index, change)| is_last(*index, change));
        let list = list.map(|(_, change)| (*change).clone()).collect();
        Some(Changes { from: offset, through, list })
    }
}
