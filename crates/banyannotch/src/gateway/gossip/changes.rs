//! Changes of endpoints that gateways send each other, so that not every gateway has to read them from the store.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::{Endpoint, StorePosition};

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

/// All changes between two positions of the feed of endpoints, which are in the same era.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    /// Position after which the changes start.
    pub from: StorePosition,
    /// Position up to which the changes are complete.
    pub through: StorePosition,
    /// The changes, oldest first.
    pub list: Vec<Change>,
}

/// The latest changes, for gateways that lack them.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    /// Position after which all changes are retained.
    floor: StorePosition,
    /// Position up to which the changes are complete.
    through: StorePosition,
    /// Changes, each with the position up to which the read that returned it was complete.
    retained: VecDeque<(StorePosition, Change)>,
}

impl ChangeLog {
    /// Adds changes. If there is a gap before them, or the store has come back from a backup, the changes retained so far
    /// are discarded.
    pub fn push(&mut self, changes: Changes) {
        if !self.through.reaches(changes.from) {
            self.retained.clear();
            self.floor = changes.from;
        }
        let through = changes.through;
        self.retained.extend(changes.list.into_iter().map(|change| (through, change)));
        self.through = self.through.advanced_to(through);
        while self.retained.len() > RETAINED_CHANGE_LIMIT {
            let Some((dropped, _)) = self.retained.pop_front() else { return };
            self.floor = dropped;
            // Changes of one read share a position and can only be sent together.
            while self.retained.front().is_some_and(|(position, _)| *position == dropped) {
                self.retained.pop_front();
            }
        }
    }

    /// Returns the last change of each endpoint after the given position, as many as fit into a datagram. Returns none if
    /// the position is of another era, if the log does not extend beyond it, if some of the changes after it are no longer
    /// retained, or if the changes of the first read after it do not fit into one datagram.
    pub fn after(&self, position: StorePosition) -> Option<Changes> {
        if !position.reaches(self.floor) || !self.through.is_after(position) {
            return None;
        }
        let first = self.retained.partition_point(|(retained, _)| position.reaches(*retained));
        let mut through = self.through;
        if let Some((excess, _)) = self.retained.get(first + DATAGRAM_CHANGE_LIMIT) {
            // Changes that share a position must not be split over two datagrams.
            let fitting = self.retained.iter().skip(first).take(DATAGRAM_CHANGE_LIMIT).rev();
            through = fitting.map(|(retained, _)| *retained).find(|retained| excess.is_after(*retained))?;
        }
        let selected: Vec<&Change> = self
            .retained
            .iter()
            .skip(first)
            .take_while(|(retained, _)| through.reaches(*retained))
            .map(|(_, change)| change)
            .collect();
        let is_last = |index: usize, change: &Change| {
            selected.iter().skip(index + 1).all(|later| later.id() != change.id())
        };
        let list = selected.iter().enumerate().filter(|(index, change)| is_last(*index, change));
        let list = list.map(|(_, change)| (*change).clone()).collect();
        Some(Changes { from: position, through, list })
    }
}
