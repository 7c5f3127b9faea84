//! Changes of endpoints that gateways tell each other, so that each does not read them from the store.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::Engine;

/// Most changes that are kept; a gateway that is further behind reads the store.
const KEPT_LIMIT: usize = 1_024;
/// Most changes in one datagram, about 4 KB; the rest follows in the next round.
const TOLD_LIMIT: usize = 64;

/// A record that changed an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// The endpoint's entry is new or differs from the one before.
    Known(Engine),
    /// The endpoint's entry was removed or names no endpoint any more.
    Missing(Arc<str>),
}

impl Change {
    fn id(&self) -> &Arc<str> {
        match self {
            Self::Known(engine) => &engine.id,
            Self::Missing(id) => id,
        }
    }
}

/// All changes between two offsets of the endpoints' records, oldest first.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    /// Offset from which on nothing is left out.
    pub from: u64,
    /// Offset up to which nothing is left out.
    pub through: u64,
    /// The changes.
    pub list: Vec<Change>,
}

/// The latest changes, for gateways that know less.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    /// Changes after this offset are kept.
    floor: u64,
    through: u64,
    kept: VecDeque<(u64, Change)>,
}

impl ChangeLog {
    /// Adds changes. After a gap only the new ones can be told.
    pub fn push(&mut self, changes: Changes) {
        if changes.from > self.through {
            self.kept.clear();
            self.floor = changes.from;
        }
        let through = changes.through;
        self.kept.extend(changes.list.into_iter().map(|change| (through, change)));
        self.through = self.through.max(through);
        while self.kept.len() > KEPT_LIMIT {
            let Some((dropped, _)) = self.kept.pop_front() else { return };
            self.floor = dropped;
            // Changes of one read share an offset and are told together or not at all.
            while self.kept.front().is_some_and(|(offset, _)| *offset == dropped) {
                self.kept.pop_front();
            }
        }
    }

    /// Returns the changes after an offset, the last one of each endpoint; none if they are not all kept.
    pub fn after(&self, offset: u64) -> Option<Changes> {
        if offset < self.floor || offset >= self.through {
            return None;
        }
        let first = self.kept.partition_point(|(kept, _)| *kept <= offset);
        let mut through = self.through;
        if let Some((beyond, _)) = self.kept.get(first + TOLD_LIMIT) {
            // Changes that share an offset are not separated.
            let fitting = self.kept.iter().skip(first).take(TOLD_LIMIT).rev();
            through = fitting.map(|(kept, _)| *kept).find(|kept| kept < beyond)?;
        }
        let told: Vec<&Change> = self
            .kept
            .iter()
            .skip(first)
            .take_while(|(kept, _)| *kept <= through)
            .map(|(_, change)| change)
            .collect();
        let is_last = |index: usize, change: &Change| {
            told.iter().skip(index + 1).all(|later| later.id() != change.id())
        };
        let list = told.iter().enumerate().filter(|(index, change)| is_last(*index, change));
        let list = list.map(|(_, change)| (*change).clone()).collect();
        Some(Changes { from: offset, through, list })
    }
}
