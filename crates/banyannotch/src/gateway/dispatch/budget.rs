//! The retry budget of one service: counts of requests and retries in a sliding window.

use std::collections::VecDeque;

use crate::clock::US_PER_MS;

/// Number of slices of the window. The oldest slice counts in full, so no retry is forgotten before the
/// window has passed.
const SLICES: u64 = 20;

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries within the window.
#[derive(Clone, Debug, Default)]
pub(super) struct Budget {
    slices: VecDeque<Slice>,
}

impl Budget {
    /// Counts a request.
    pub fn count_request(&mut self, now_us: u64, window_ms: u64) {
        self.current_slice(now_us, window_ms).requests += 1;
    }

    /// Counts a retry.
    pub fn count_retry(&mut self, now_us: u64, window_ms: u64) {
        self.current_slice(now_us, window_ms).retries += 1;
    }

    /// Takes back a retry that was counted at the given time, because it was not sent.
    pub fn cancel_retry(&mut self, counted_us: u64, window_ms: u64) {
        let index = slice_index(counted_us, window_ms);
        if let Some(slice) = self.slices.iter_mut().find(|slice| slice.index == index) {
            slice.retries = slice.retries.saturating_sub(1);
        }
    }

    /// Returns how many retries this gateway may still send: `ratio` for each request in the window, plus
    /// `allowance`, minus the retries in the window.
    pub fn remaining(&mut self, now_us: u64, window_ms: u64, ratio: f64, allowance: f64) -> f64 {
        self.current_slice(now_us, window_ms);
        let (requests, retries) = self
            .slices
            .iter()
            .fold((0, 0), |(requests, retries), slice| (requests + slice.requests, retries + slice.retries));
        ratio * f64::from(requests) + allowance - f64::from(retries)
    }

    fn current_slice(&mut self, now_us: u64, window_ms: u64) -> &mut Slice {
        let index = slice_index(now_us, window_ms);
        self.slices.retain(|slice| slice.index + SLICES >= index);
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        let last = self.slices.len() - 1;
        #[allow(clippy::indexing_slicing, reason = "a slice was pushed just above if there was none")]
        &mut self.slices[last]
    }
}

fn slice_index(at_us: u64, window_ms: u64) -> u64 {
    at_us / (window_ms * US_PER_MS / SLICES).max(1)
}
