//! Decides how much memory each connection of a caller may hold, and which connection is dropped when there is no more.

use super::AccountSettings;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Stage {
    /// It carries no request.
    #[default]
    Idle,
    /// A request arrives, or waits to be sent to an endpoint.
    Arriving,
    /// An endpoint works on the request.
    Working,
    /// The endpoint has answered completely, and the caller reads the response.
    Answered,
}

/// Decision on memory that a connection asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The connection holds the memory now.
    Granted,
    /// Other connections are being dropped for it. It must ask again once they have released their memory.
    Wait,
    /// There is no memory for it, and it is dropped itself.
    Dropped,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    is_open: bool,
    is_dropped: bool,
    /// Whether the connection has carried a complete request.
    has_served: bool,
    stage: Stage,
    held_bytes: usize,
    /// Sum of the bytes held times the microseconds for which they were held, since the stage was last [`Stage::Idle`] or
    /// since the connection became idle.
    byte_us: u64,
    updated_us: u64,
}

impl Entry {
    /// Returns how much memory was held for how long.
    fn score(&self, now_us: u64) -> u64 {
        let held_us = now_us.saturating_sub(self.updated_us);
        self.byte_us.saturating_add((self.held_bytes as u64).saturating_mul(held_us))
    }
}

/// Memory and number of the connections of callers.
#[derive(Debug)]
pub struct Account {
    settings: AccountSettings,
    entries: Vec<Entry>,
    free: Vec<usize>,
    open_count: usize,
    dropped_count: usize,
    held: Sum,
    /// The part of `held` that dropped connections have not released yet.
    releasing: Sum,
}

/// Memory that several connections hold.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    total_bytes: usize,
    /// Part of `total_bytes` that belongs to connections that are not small.
    large_bytes: usize,
}

impl Sum {
    fn change(&mut self, from_bytes: usize, to_bytes: usize, small_bytes: usize) {
        let large = |bytes: usize| if bytes > small_bytes { bytes } else { 0 };
        self.total_bytes = (self.total_bytes + to_bytes).saturating_sub(from_bytes);
        self.large_bytes = (self.large_bytes + large(to_bytes)).saturating_sub(large(from_bytes));
    }
}

impl Account {
    /// Creates an account without connections.
    pub fn new(settings: AccountSettings) -> Self {
        Self {
            settings,
            entries: Vec::new(),
            free: Vec::new(),
            open_count: 0,
            dropped_count: 0,
            held: Sum::default(),
            releasing: Sum::default(),
        }
    }

    /// Returns the bytes that all connections hold.
    pub fn held_bytes(&self) -> usize {
        self.held.total_bytes
    }

    /// Returns the number of open connections, without those that were dropped.
    pub fn connections(&self) -> usize {
        self.open_count - self.dropped_count
    }

    /// Changes the maximum number of connections. Those that are open remain.
    pub fn set_connection_limit(&mut self, connection_limit: usize) {
        self.settings.connection_limit = connection_limit;
    }

    /// Returns whether the connection was dropped.
    pub fn is_dropped(&self, id: usize) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.is_dropped)
    }

    /// Opens an entry for a new connection, or returns `None` if it must be refused. Appends the connection that is dropped
    /// for it to `victims`: the one without a request that has been idle for the longest time, one that never had a request
    /// before others; else the one whose request has taken the most memory for the longest time to arrive.
    pub fn open(&mut self, now_us: u64, victims: &mut Vec<usize>) -> Option<usize> {
        if self.connections() >= self.settings.connection_limit {
            let victim = self.connection_victim(now_us)?;
            self.set_dropped(victim, true);
            victims.push(victim);
        }
        let id = self.free.pop().unwrap_or_else(|| {
            self.entries.push(Entry::default());
            self.entries.len() - 1
        });
        *self.entries.get_mut(id)? = Entry { is_open: true, updated_us: now_us, ..Entry::default() };
        self.open_count += 1;
        match self.resize(id, self.settings.connection_bytes, now_us, victims) {
            Grant::Granted => Some(id),
            // The memory of a connection is small, so that it need not wait for its victims.
            Grant::Wait => {
                self.set_held(id, self.settings.connection_bytes, now_us);
                Some(id)
            }
            Grant::Dropped => {
                self.close(id);
                None
            }
        }
    }

    /// Removes the entry of a connection that has ended and released its memory.
    pub fn close(&mut self, id: usize) {
        self.set_held(id, 0, 0);
        let Some(entry) = self.entries.get_mut(id) else { return };
        if !entry.is_open {
            return;
        }
        if entry.is_dropped {
            self.dropped_count -= 1;
        }
        *entry = Entry::default();
        self.open_count -= 1;
        self.free.push(id);
    }

    /// Records what a connection is doing now.
    pub fn set_stage(&mut self, id: usize, stage: Stage, now_us: u64) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if stage == Stage::Idle || entry.stage == Stage::Idle {
            entry.byte_us = 0;
            entry.updated_us = now_us;
        }
        entry.has_served |= entry.stage != Stage::Idle && stage == Stage::Idle;
        entry.stage = stage;
    }

    /// Changes the memory that a connection holds. Appends connections that are dropped for it to `victims`.
    pub fn resize(&mut self, id: usize, held_bytes: usize, now_us: u64, victims: &mut Vec<usize>) -> Grant {
        let Some(entry) = self.entries.get(id).copied() else { return Grant::Dropped };
        if held_bytes <= entry.held_bytes {
            self.set_held(id, held_bytes, now_us);
            return Grant::Granted;
        }
        if entry.is_dropped {
            return Grant::Dropped;
        }
        let earlier_count = victims.len();
        while !self.fits(&entry, held_bytes, self.releasing) {
            match self.memory_victim(id, held_bytes, now_us) {
                Some(victim) if victim != id => {
                    self.set_dropped(victim, true);
                    victims.push(victim);
                }
                _ => {
                    // What the others would release is not enough.
                    for victim in victims.drain(earlier_count..) {
                        self.set_dropped(victim, false);
                    }
                    self.set_dropped(id, true);
                    return Grant::Dropped;
                }
            }
        }
        if !self.fits(&entry, held_bytes, Sum::default()) {
            return Grant::Wait;
        }
        self.set_held(id, held_bytes, now_us);
        Grant::Granted
    }

    /// Changes the memory that a connection holds if that leaves the reserved part free and needs no victim.
    pub fn resize_if_free(&mut self, id: usize, held_bytes: usize, now_us: u64) -> bool {
        let Some(entry) = self.entries.get(id).copied() else { return false };
        let total_bytes = self.held.total_bytes.saturating_sub(entry.held_bytes).saturating_add(held_bytes);
        let limit_bytes = self.settings.limit_bytes - self.settings.reserved_bytes;
        let is_free = held_bytes <= entry.held_bytes || total_bytes <= limit_bytes;
        if is_free {
            self.set_held(id, held_bytes, now_us);
        }
        is_free
    }

    fn fits(&self, entry: &Entry, held_bytes: usize, releasing: Sum) -> bool {
        let mut sum = self.held;
        sum.change(entry.held_bytes, held_bytes, self.settings.small_bytes);
        let total_bytes = sum.total_bytes.saturating_sub(releasing.total_bytes);
        let large_bytes = sum.large_bytes.saturating_sub(releasing.large_bytes);
        let large_limit_bytes = self.settings.limit_bytes - self.settings.reserved_bytes;
        total_bytes <= self.settings.limit_bytes
            && (held_bytes <= self.settings.small_bytes || large_bytes <= large_limit_bytes)
    }

    fn set_held(&mut self, id: usize, held_bytes: usize, now_us: u64) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let small_bytes = self.settings.small_bytes;
        self.held.change(entry.held_bytes, held_bytes, small_bytes);
        if entry.is_dropped {
            self.releasing.change(entry.held_bytes, held_bytes, small_bytes);
        }
        entry.byte_us = entry.score(now_us);
        entry.updated_us = now_us;
        entry.held_bytes = held_bytes;
    }

    fn set_dropped(&mut self, id: usize, is_dropped: bool) {
        let small_bytes = self.settings.small_bytes;
        match self.entries.get_mut(id) {
            Some(entry) if entry.is_dropped != is_dropped => {
                entry.is_dropped = is_dropped;
                if is_dropped {
                    self.dropped_count += 1;
                    self.releasing.change(0, entry.held_bytes, small_bytes);
                } else {
                    self.dropped_count -= 1;
                    self.releasing.change(entry.held_bytes, 0, small_bytes);
                }
            }
            _ => {}
        }
    }

    /// Returns the connection to drop for memory that another one asks for: the one that has held the most memory for the
    /// longest time, and one that an endpoint works on only if there is no other. A large request displaces only large
    /// ones.
    fn memory_victim(&self, id: usize, held_bytes: usize, now_us: u64) -> Option<usize> {
        let is_large = held_bytes > self.settings.small_bytes;
        let candidates = self.candidates().filter(|(other, entry)| {
            *other == id || !is_large || entry.held_bytes > self.settings.small_bytes
        });
        let victim = candidates.max_by_key(|(_, entry)| (entry.stage != Stage::Working, entry.score(now_us)));
        victim.map(|(id, _)| id)
    }

    fn connection_victim(&self, now_us: u64) -> Option<usize> {
        let candidates =
            self.candidates().filter(|(_, entry)| matches!(entry.stage, Stage::Idle | Stage::Arriving));
        let victim = candidates
            .max_by_key(|(_, entry)| (entry.stage == Stage::Idle, !entry.has_served, entry.score(now_us)));
        victim.map(|(id, _)| id)
    }

    fn candidates(&self) -> impl Iterator<Item = (usize, &Entry)> {
        self.entries.iter().enumerate().filter(|(_, entry)| entry.is_open && !entry.is_dropped)
    }
}
