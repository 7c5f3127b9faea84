//! Which zones' engines this gateway may give orders to, by the partitions that it owns of the ordering group.

use super::LayoutSettings;
use crate::clock::US_PER_MS;
use crate::gateway::Group;
use crate::ids::Zone;

/// Part of the group's time to live for which an ownership is valid. The margin allows for clocks that
/// differ.
const LEASE_SAFETY_FACTOR: f64 = 0.8;

/// Membership in the ordering group, and until when it is certain.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    group: Group,
    lease_until_us: u64,
}

impl Ownership {
    /// Returns the era of the store in which the group was joined.
    pub fn era(&self) -> u64 {
        self.group.era
    }

    /// Starts anew in an era of the store, whose group has no members yet.
    pub fn enter_era(&mut self, era: u64) {
        *self = Self { group: Group { era, ..Group::default() }, ..Self::default() };
    }

    /// Takes the answer to a join that was sent at the given time.
    pub fn renew(&mut self, group: Group, sent_us: u64, settings: &LayoutSettings) {
        self.group = group;
        let lease_us = (settings.group_ttl_ms * US_PER_MS) as f64 * LEASE_SAFETY_FACTOR;
        self.lease_until_us = sent_us + lease_us as u64;
    }

    /// Returns the generation of the group.
    pub fn generation(&self) -> u64 {
        self.group.generation
    }

    /// Returns the partitions that the last join returned.
    pub fn partitions(&self) -> &[u64] {
        &self.group.partitions
    }

    /// Returns whether the gateway certainly owns a partition.
    pub fn is_owner(&self, now_us: u64) -> bool {
        now_us < self.lease_until_us && !self.group.partitions.is_empty()
    }

    /// Returns which of the zones of a service, sorted, are this gateway's. The zones of a service with few engines stay
    /// together, because their engines may form chains across zones.
    pub fn owned_zones<'z>(
        &self,
        now_us: u64,
        zones: &[&'z Zone],
        engines: usize,
        settings: &LayoutSettings,
    ) -> Vec<&'z Zone> {
        if now_us >= self.lease_until_us {
            return Vec::new();
        }
        let divided = engines > settings.undivided_engines;
        let partition_of = |index: usize| {
            if divided { index as u64 * settings.partitions / zones.len().max(1) as u64 } else { 0 }
        };
        let is_owned = |index: &usize| self.group.partitions.binary_search(&partition_of(*index)).is_ok();
        (0..zones.len()).filter(is_owned).filter_map(|index| zones.get(index).copied()).collect()
    }
}
