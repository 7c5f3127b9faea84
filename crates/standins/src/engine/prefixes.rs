//! The prefix cache, which saves prefill time, and the events that report its content.

use std::collections::VecDeque;

use banyannotch::clock::US_PER_MS;
use banyannotch::engine::{CacheEvent, CacheEventKind, CacheEvents};
use banyannotch::ids::Fingerprint;
use banyannotch::random::mix;
use banyannotch::request::digest;

/// Prefixes are kept in whole blocks of this many positions.
pub const PREFIX_BLOCK_POSITIONS: usize = 16;

/// Events that are kept for readers.
const EVENT_LIMIT: usize = 4_096;

/// Most events in one page.
const PAGE_LIMIT: usize = 256;

/// One block, named by everything from the start of the prompt to its end.
#[derive(Clone, Copy, Debug)]
struct Block {
    key: u64,
    text: Option<Fingerprint>,
    used: u64,
}

/// Prefixes that need no prefill; the least recently used block is evicted first.
#[derive(Debug)]
pub struct PrefixCache {
    limit_blocks: usize,
    blocks: Vec<Block>,
    uses: u64,
}

impl PrefixCache {
    /// Creates a cache of a number of positions.
    pub fn new(limit_positions: u64) -> Self {
        let limit_blocks = usize::try_from(limit_positions).unwrap_or(usize::MAX) / PREFIX_BLOCK_POSITIONS;
        Self { limit_blocks, blocks: Vec::new(), uses: 0 }
    }

    /// Returns the number of leading positions that are cached.
    pub fn cached_positions(&self, values: &[u64]) -> usize {
        let hits = block_keys(values).take_while(|key| self.find(*key).is_ok()).count();
        hits * PREFIX_BLOCK_POSITIONS
    }

    /// Stores the blocks of an input. `prompt` is its text on the first stage; only blocks with a text are reported.
    pub fn store(
        &mut self,
        values: &[u64],
        prompt: Option<&str>,
        events: &mut Vec<(CacheEventKind, Fingerprint)>,
    ) {
        if self.limit_blocks == 0 {
            return;
        }
        let texts = prompt.map(prefix_digests).unwrap_or_default();
        for (index, key) in block_keys(values).enumerate() {
            self.uses += 1;
            let text = texts.get(index).copied();
            match self.find(key) {
                Ok(found) => {
                    if let Some(block) = self.blocks.get_mut(found) {
                        block.used = self.uses;
                    }
                }
                Err(place) => {
                    self.blocks.insert(place, Block { key, text, used: self.uses });
                    events.extend(text.map(|text| (CacheEventKind::Stored, text)));
                }
            }
            self.evict(events);
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self, events: &mut Vec<(CacheEventKind, Fingerprint)>) {
        let texts = self.blocks.drain(..).filter_map(|block| block.text);
        events.extend(texts.map(|text| (CacheEventKind::Evicted, text)));
    }

    fn evict(&mut self, events: &mut Vec<(CacheEventKind, Fingerprint)>) {
        if self.blocks.len() <= self.limit_blocks {
            return;
        }
        let oldest =
            self.blocks.iter().enumerate().min_by_key(|(_, block)| block.used).map(|(index, _)| index);
        if let Some(index) = oldest {
            let block = self.blocks.remove(index);
            events.extend(block.text.map(|text| (CacheEventKind::Evicted, text)));
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

/// Returns the digests of the prompt's text up to the end of each whole block of words.
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

/// Events that become visible late, some of them never.
#[derive(Debug)]
pub struct EventLog {
    lag_us: u64,
    gap_every: u64,
    last_seq: u64,
    events: VecDeque<(u64, CacheEvent)>,
}

impl EventLog {
    /// Creates a log; one event in `gap_every` is lost, none for 0.
    pub fn new(lag_ms: u64, gap_every: u64) -> Self {
        Self { lag_us: lag_ms * US_PER_MS, gap_every, last_seq: 0, events: VecDeque::new() }
    }

    /// Adds an event.
    pub fn push(&mut self, now_us: u64, kind: CacheEventKind, prefix: Fingerprint) {
        self.last_seq += 1;
        if self.gap_every > 0 && self.last_seq.is_multiple_of(self.gap_every) {
            return;
        }
        self.events.push_back((now_us + self.lag_us, CacheEvent { seq: self.last_seq, kind, prefix }));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// Returns the visible events from a sequence number on.
    pub fn page(&self, now_us: u64, from: u64) -> CacheEvents {
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .take_while(|(visible_us, _)| *visible_us <= now_us)
            .filter(|(_, event)| event.seq >= from)
            .take(PAGE_LIMIT)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CacheEvents { next, events }
    }
}
