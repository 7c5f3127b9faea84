//! Prefix cache, which saves prefill time, and the log of events that report changes of its content.

use std::collections::VecDeque;

use banyannotch::clock::US_PER_MS;
use banyannotch::engine::{CacheEvent, CacheEventKind, CacheEvents};
use banyannotch::ids::Fingerprint;
use banyannotch::random::mix;
use banyannotch::request::digest;

/// Number of positions in a block; prefixes are stored in whole blocks.
pub const PREFIX_BLOCK_POSITIONS: usize = 16;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// Maximum number of events in one page.
const EVENTS_PER_PAGE: usize = 256;

/// One block. Its key is a hash of all input values from the start of the input to the end of the block.
#[derive(Clone, Copy, Debug)]
struct Block {
    key: u64,
    prompt_digest: Option<Fingerprint>,
    last_use: u64,
}

/// Cache of prefixes that need no prefill, with eviction of the least recently used block.
#[derive(Debug)]
pub struct PrefixCache {
    limit_blocks: usize,
    blocks: Vec<Block>,
    use_count: u64,
}

impl PrefixCache {
    /// Creates a cache with a capacity in positions, rounded down to whole blocks.
    pub fn new(limit_positions: u64) -> Self {
        let limit_blocks = usize::try_from(limit_positions).unwrap_or(usize::MAX) / PREFIX_BLOCK_POSITIONS;
        Self { limit_blocks, blocks: Vec::new(), use_count: 0 }
    }

    /// Returns the number of leading positions of an input that are cached.
    pub fn cached_positions(&self, values: &[u64]) -> usize {
        let hits = block_keys(values).take_while(|key| self.find(*key).is_ok()).count();
        hits * PREFIX_BLOCK_POSITIONS
    }

    /// Stores the blocks of an input. `prompt` is the text of the input on the first stage. Only blocks
    /// within the prompt have a text digest, and only those are reported as events.
    pub fn store(
        &mut self,
        values: &[u64],
        prompt: Option<&str>,
        events: &mut Vec<(CacheEventKind, Fingerprint)>,
    ) {
        if self.limit_blocks == 0 {
            return;
        }
        let digests = prompt.map(prefix_digests).unwrap_or_default();
        for (index, key) in block_keys(values).enumerate() {
            self.use_count += 1;
            let prompt_digest = digests.get(index).copied();
            match self.find(key) {
                Ok(found) => {
                    if let Some(block) = self.blocks.get_mut(found) {
                        block.last_use = self.use_count;
                    }
                }
                Err(insert_index) => {
                    self.blocks.insert(insert_index, Block { key, prompt_digest, last_use: self.use_count });
                    events.extend(prompt_digest.map(|prompt_digest| (CacheEventKind::Stored, prompt_digest)));
                }
            }
            self.evict(events);
        }
    }

    /// Evicts all blocks.
    pub fn clear(&mut self, events: &mut Vec<(CacheEventKind, Fingerprint)>) {
        let digests = self.blocks.drain(..).filter_map(|block| block.prompt_digest);
        events.extend(digests.map(|prompt_digest| (CacheEventKind::Evicted, prompt_digest)));
    }

    fn evict(&mut self, events: &mut Vec<(CacheEventKind, Fingerprint)>) {
        if self.blocks.len() <= self.limit_blocks {
            return;
        }
        let oldest =
            self.blocks.iter().enumerate().min_by_key(|(_, block)| block.last_use).map(|(index, _)| index);
        if let Some(index) = oldest {
            let block = self.blocks.remove(index);
            events.extend(block.prompt_digest.map(|prompt_digest| (CacheEventKind::Evicted, prompt_digest)));
        }
    }

    fn find(&self, key: u64) -> std::result::Result<usize, usize> {
        self.blocks.binary_search_by_key(&key, |block| block.key)
    }
}

/// Returns the keys of the whole blocks of an input.
fn block_keys(values: &[u64]) -> impl Iterator<Item = u64> + '_ {
    values.chunks_exact(PREFIX_BLOCK_POSITIONS).scan(0, |key, block| {
        *key = block.iter().fold(*key, |key: u64, value| mix(key.rotate_left(7) ^ value));
        Some(*key)
    })
}

/// Returns a digest for each whole block of words: that of the prompt's text up to the end of the block.
fn prefix_digests(prompt: &str) -> Vec<Fingerprint> {
    let start = prompt.as_ptr() as usize;
    prompt
        .split_whitespace()
        .skip(PREFIX_BLOCK_POSITIONS - 1)
        .step_by(PREFIX_BLOCK_POSITIONS)
        .filter_map(|word| prompt.get(..word.as_ptr() as usize - start + word.len()))
        .map(|prefix| digest(&[prefix]))
        .collect()
}

/// Log of cache events that become visible after a lag. Lost events leave gaps in the sequence numbers.
#[derive(Debug)]
pub struct EventLog {
    lag_us: u64,
    gap_every: u64,
    last_seq: u64,
    events: VecDeque<(u64, CacheEvent)>,
}

impl EventLog {
    /// Creates a log that loses one event in `gap_every`, or none if it is 0.
    pub fn new(lag_ms: u64, gap_every: u64) -> Self {
        Self { lag_us: lag_ms * US_PER_MS, gap_every, last_seq: 0, events: VecDeque::new() }
    }

    /// Appends an event, or drops it if it is one of those to lose.
    pub fn push(&mut self, now_us: u64, kind: CacheEventKind, prefix: Fingerprint) {
        self.last_seq += 1;
        if self.gap_every > 0 && self.last_seq.is_multiple_of(self.gap_every) {
            return;
        }
        self.events.push_back((now_us + self.lag_us, CacheEvent { seq: self.last_seq, kind, prefix }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns one page of the visible events whose sequence number is at least `from`.
    pub fn page(&self, now_us: u64, from: u64) -> CacheEvents {
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .take_while(|(visible_us, _)| *visible_us <= now_us)
            .filter(|(_, event)| event.seq >= from)
            .take(EVENTS_PER_PAGE)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CacheEvents { next, events }
    }
}
