//! Positions in the feeds of the store.
//!
//! A store that comes back from a backup assigns offsets anew, so an offset means nothing without the era in which it was
//! read. This type is the only place that compares offsets.

use serde::{Deserialize, Serialize};

/// Offset in a feed of the store, within an era.
///
/// The encoded form is the offset alone, as earlier versions of the gateway expect it. What carries positions carries their
/// era as well, and sets it after decoding.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "u64", into = "u64")]
pub struct StorePosition {
    era: u64,
    offset: u64,
}

impl StorePosition {
    /// Creates a position.
    pub fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the era of the store that the offset belongs to.
    pub fn era(self) -> u64 {
        self.era
    }

    /// Returns the offset for a call to the store, which is answered in the era of the store at that time.
    pub fn offset(self) -> u64 {
        self.offset
    }

    /// Returns the same offset in another era, for a position that was decoded without its era.
    #[must_use]
    pub fn in_era(self, era: u64) -> Self {
        Self { era, ..self }
    }

    /// Returns whether something was read before this position.
    pub fn is_read(self) -> bool {
        self.offset > 0
    }

    /// Returns whether this position is in the same era and not before the other one.
    pub fn reaches(self, other: Self) -> bool {
        self.era == other.era && self.offset >= other.offset
    }

    /// Returns whether this position is in the same era and after the other one.
    pub fn is_after(self, other: Self) -> bool {
        self.era == other.era && self.offset > other.offset
    }

    /// Returns the later position; in another era, the other one takes the place of this one.
    #[must_use]
    pub fn advanced_to(self, other: Self) -> Self {
        if self.is_after(other) { self } else { other }
    }
}

impl From<StorePosition> for u64 {
    fn from(position: StorePosition) -> Self {
        position.offset
    }
}

impl From<u64> for StorePosition {
    fn from(offset: u64) -> Self {
        Self { era: 0, offset }
    }
}
