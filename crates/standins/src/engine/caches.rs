//! The KV caches of an engine.

use banyannotch::ids::{Attempt, CacheId, RequestId};

/// One cache.
#[derive(Clone, Debug)]
pub struct Cache {
    /// Name.
    pub id: CacheId,
    /// Request and attempt that ran in it first; unknown for an imported cache.
    pub owner: Option<(RequestId, Attempt)>,
    /// Number of positions.
    pub positions: u32,
    /// State of each layer.
    pub states: Vec<u64>,
    /// When it was last used.
    pub used_us: u64,
}

/// All caches, ordered by name.
#[derive(Debug, Default)]
pub struct Caches {
    caches: Vec<Cache>,
    positions: u64,
}

impl Caches {
    /// Returns a cache.
    pub fn get(&self, id: CacheId) -> Option<&Cache> {
        self.find(id).ok().and_then(|index| self.caches.get(index))
    }

    /// Returns the number of positions in a cache; an unknown cache has none.
    pub fn positions_of(&self, id: CacheId) -> u32 {
        self.get(id).map_or(0, |cache| cache.positions)
    }

    /// Returns the positions in all caches.
    pub fn positions(&self) -> u64 {
        self.positions
    }

    /// Returns the number of caches.
    pub fn len(&self) -> usize {
        self.caches.len()
    }

    /// Puts a cache in place of the one with its name.
    pub fn put(&mut self, cache: Cache) {
        self.positions += u64::from(cache.positions);
        match self.find(cache.id) {
            Ok(index) => {
                if let Some(slot) = self.caches.get_mut(index) {
                    self.positions -= u64::from(slot.positions);
                    *slot = cache;
                }
            }
            Err(index) => self.caches.insert(index, cache),
        }
    }

    /// Takes a cache out.
    pub fn take(&mut self, id: CacheId) -> Option<Cache> {
        let index = self.find(id).ok()?;
        let cache = self.caches.remove(index);
        self.positions -= u64::from(cache.positions);
        Some(cache)
    }

    /// Frees all caches.
    pub fn clear(&mut self) {
        self.caches.clear();
        self.positions = 0;
    }

    /// Frees the caches that were last used before a time, except those to keep, and returns their number.
    pub fn free_idle(&mut self, before_us: u64, keep: impl Fn(CacheId) -> bool) -> u64 {
        let count = self.caches.len();
        self.caches.retain(|cache| cache.used_us >= before_us || keep(cache.id));
        self.positions = self.caches.iter().map(|cache| u64::from(cache.positions)).sum();
        (count - self.caches.len()) as u64
    }

    fn find(&self, id: CacheId) -> std::result::Result<usize, usize> {
        self.caches.binary_search_by_key(&id, |cache| cache.id)
    }
}
