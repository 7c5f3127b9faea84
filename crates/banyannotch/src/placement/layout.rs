//! What is planned over and what a plan is.

use crate::ids::Zone;
use crate::pipeline::LayerRange;

/// An engine as the planner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Time of one step through one layer.
    pub layer_us: u64,
    /// Most layers that it can hold.
    pub most_layers: u16,
    /// Zone that it is in.
    pub zone: Zone,
}

impl Engine {
    /// Returns how many layers it runs in a second.
    pub fn speed(&self) -> f64 {
        US_PER_S / self.layer_us.max(1) as f64
    }
}

const US_PER_S: f64 = 1_000_000.0;

/// One layer range and the engines that hold it, as indices into the planned engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Layers of the range.
    pub layers: LayerRange,
    /// Its replicas, in ascending order.
    pub engines: Vec<usize>,
}

/// Contiguous layer ranges that cover a model, in layer order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Layout {
    /// The ranges.
    pub parts: Vec<Part>,
}

/// Returns the layers that no chain of the given ranges reaches: empty if the ranges cover a model of `layers` layers
/// with adjoining ranges, otherwise what lies between the layers that can be reached from the first one and those from
/// which the last one can be reached.
pub fn uncovered(held: &[LayerRange], layers: u16) -> Vec<LayerRange> {
    let mut ranges: Vec<LayerRange> =
        held.iter().copied().filter(|range| !range.is_empty() && range.end <= layers).collect();
    ranges.sort();
    let mut reached = vec![0];
    for range in &ranges {
        if reached.contains(&range.begin) && !reached.contains(&range.end) {
            reached.push(range.end);
        }
    }
    if reached.contains(&layers) {
        return Vec::new();
    }
    let mut reaching = vec![layers];
    ranges.sort_by_key(|range| std::cmp::Reverse(range.end));
    for range in &ranges {
        if reaching.contains(&range.end) && !reaching.contains(&range.begin) {
            reaching.push(range.begin);
        }
    }
    let begin = reached.iter().copied().max().unwrap_or(0);
    let end = reaching.iter().copied().filter(|end| *end > begin).min().unwrap_or(layers);
    vec![LayerRange::new(begin, end)]
}
