//! Admissions and refusals of each class and request size in a sliding window, which show whether one of them starves.

use std::collections::VecDeque;

use super::classes::RANK_LIMIT;
use crate::clock::US_PER_MS;

/// Number of slices of the window.
const SLICES: u64 = 20;
/// Number of sizes that are told apart; each is up to four times the one before.
const SIZE_LIMIT: usize = 7;
/// Number of tokens up to which requests have the smallest size.
const SMALLEST_SIZE_TOKENS: f64 = 64.0;
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

/// Counts of each rank and size in one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    ranks: [[Counts; SIZE_LIMIT]; RANK_LIMIT],
}

/// Admissions and refusals of the classes of one service within the window.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcomes {
    slices: VecDeque<Slice>,
}

impl Outcomes {
    /// Counts a request that was admitted or refused.
    pub fn record(&mut self, now_us: u64, window_ms: u64, rank: u8, tokens: f64, is_admitted: bool) {
        let index = slice_index(now_us, window_ms);
        self.slices.retain(|slice| slice.index + SLICES >= index);
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        let sizes = self.slices.back_mut().and_then(|slice| slice.ranks.get_mut(usize::from(rank)));
        if let Some(counts) = sizes.and_then(|sizes| sizes.get_mut(size_of(tokens))) {
            if is_admitted {
                counts.admitted += 1;
            } else {
                counts.refused += 1;
            }
        }
    }

    /// Returns whether the admission rate of a class, or of its requests of one size if that is given, is less than half
    /// that of all requests in the window.
    pub fn is_starving(&self, now_us: u64, window_ms: u64, rank: u8, tokens: Option<f64>) -> bool {
        let index = slice_index(now_us, window_ms);
        let (mut own, mut all) = (Counts::default(), Counts::default());
        for slice in self.slices.iter().filter(|slice| slice.index + SLICES >= index) {
            let sizes = slice.ranks.get(usize::from(rank)).into_iter().flatten();
            for (size, counts) in sizes.enumerate() {
                if tokens.is_none_or(|tokens| size == size_of(tokens)) {
                    own.add(*counts);
                }
            }
            slice.ranks.iter().flatten().for_each(|counts| all.add(*counts));
        }
        own.total() >= SAMPLE_LIMIT && own.admission_rate() < all.admission_rate() * STARVATION_SHARE
    }
}

/// Returns the size of a request, from 0.
fn size_of(tokens: f64) -> usize {
    let size = (tokens / SMALLEST_SIZE_TOKENS).max(1.0).log2() / 2.0;
    (size.ceil() as usize).min(SIZE_LIMIT - 1)
}

fn slice_index(at_us: u64, window_ms: u64) -> u64 {
    at_us / (window_ms * US_PER_MS / SLICES).max(1)
}
