//! Heavy-tailed distribution of lengths.

use banyannotch::random::Random;
use serde::Serialize;

/// A bounded Pareto distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Lengths {
    /// Smallest value.
    pub least: u32,
    /// Largest value.
    pub most: u32,
    /// Exponent; a smaller value gives a heavier tail.
    pub alpha: f64,
}

impl Lengths {
    /// Draws a length.
    pub fn draw(&self, random: &mut Random) -> u32 {
        let (min, max) = (f64::from(self.least), f64::from(self.most));
        let ratio = (min / max).powf(self.alpha);
        let length = min / (1.0 - random.unit() * (1.0 - ratio)).powf(1.0 / self.alpha);
        (length.round() as u32).clamp(self.least, self.most)
    }
}
