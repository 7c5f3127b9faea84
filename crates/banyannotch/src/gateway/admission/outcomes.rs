//! Admissions and refusals of each class in a sliding window, which show whether a class starves.

use std::collections::VecDeque;

use super::classes::RANK_LIMIT;
use crate::clock::US_PER_MS;

/// Number of slices of the window.
const SLICES: u64 = 20;
/// Number of requests of a class in the window below which its admission rate says nothing.
const SAMPLE_LIMIT: u32 = 4;
/// A class starves while its admission rate is below this share of that of all requests.
const STARVATION_SHARE: f64 = 0.5;

/// Numbers of requests that were admitted and refused for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    admitted: u32,
    refused: u32,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.admitted += other.admitted;
        self.refused += other.refused;
    }

    fn total(self) -> u32 {
        self.admitted + self.refused
    }

    fn admission_rate(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.total().max(1))
    }
}

/// Counts of each rank in one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    ranks: [Counts; RANK_LIMIT],
}

/// Admissions and refusals of the classes of one service within the window.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcomes {
    slices: VecDeque<Slice>,
}

impl Outcomes {
    /// Counts a request that was admitted or refused.
    pub fn record(&mut self, now_us: u64, window_ms: u64, rank: u8, is_admitted: bool) {
        let index = slice_index(now_us, window_ms);
        self.slices.retain(|slice| slice.index + SLICES >= index);
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        let one =
            if is_admitted { Counts { admitted: 1, refused: 0 } } else { Counts { admitted: 0, refused: 1 } };
        let counts = self.slices.back_mut().and_then(|slice| slice.ranks.get_mut(usize::from(rank)));
        if let Some(counts) = counts {
            counts.add(one);
        }
    }

    /// Returns whether the admission rate of a class in the window is less than half that of all requests.
    pub fn is_starving(&self, now_us: u64, window_ms: u64, rank: u8) -> bool {
        let index = slice_index(now_us, window_ms);
        let (mut own, mut all) = (Counts::default(), Counts::default());
        for slice in self.slices.iter().filter(|slice| slice.index + SLICES >= index) {
            own.add(slice.ranks.get(usize::from(rank)).copied().unwrap_or_default());
            slice.ranks.iter().for_each(|counts| all.add(*counts));
        }
        own.total() >= SAMPLE_LIMIT && own.admission_rate() < all.admission_rate() * STARVATION_SHARE
    }
}

fn slice_index(at_us: u64, window_ms: u64) -> u64 {
    at_us / (window_ms * US_PER_MS / SLICES).max(1)
}
