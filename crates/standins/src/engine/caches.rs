//! KV caches of an engine.

use banyannotch::ids::{Attempt, CacheId, RequestId};

/// KV cache of one sequence.
#[derive(Clone, Debug)]
pub struct Cache {
    /// Identifier that requests use.
    pub id: CacheId,
    /// Request and attempt of the first step that ran in the cache; `None` for an imported cache until a step
    /// runs.
    pub owner: Option<(RequestId, Attempt)>,
    /// Number of positions that have run.
    pub positions: u32,
    /// State of each layer, lowest layer first.
    pub states: Vec<u64>,
    /// Time of the last step or import, in microseconds.
    pub last_used_us: u64,
}

/// All caches of an engine, sorted by identifier.
#[derive(Debug, Default)]
pub struct Caches {
    caches: Vec<Cache>,
    positions: u64,
}

impl Caches {
    /// Returns the cache with an identifier, if it exists.
    pub fn get(&self, id: CacheId) -> Option<&Cache> {
        self.find(id).ok().and_then(|index| self.caches.get(index))
    }

    /// Returns the number of positions in a cache, or 0 if it does not exist.
    pub fn positions_of(&self, id: CacheId) -> u32 {
        self.get(id).map_or(0, |cache| cache.positions)
    }

    /// Returns the number of positions in all caches.
    pub fn positions(&self) -> u64 {
        self.positions
    }

    /// Returns the number of caches.
    pub fn len(&self) -> usize {
        self.caches.len()
    }

    /// Inserts a cache, replacing the one with the same identifier.
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

    /// Removes and returns a cache.
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

    /// Frees the caches that were last used before `before_us` and for which `keep` returns false. Returns
    /// their number.
    pub fn free_idle(&mut self, before_us: u64, keep: impl Fn(CacheId) -> bool) -> u64 {
        let count = self.caches.len();
        self.caches.retain(|cache| cache.last_used_us >= before_us || keep(cache.id));
        self.positions = self.caches.iter().map(|cache| u64::from(cache.positions)).sum();
        (count - self.caches.len()) as u64
    }

    fn find(&self, id: CacheId) -> std::result::Result<usize, usize> {
        self.caches.binary_search_by_key(&id, |cache| cache.id)
    }
}
