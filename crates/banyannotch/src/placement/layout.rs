//! The planner's model of engines, and layouts.

use crate::ids::Zone;
use crate::pipeline::LayerRange;

/// An engine as the planner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Time of one step through one layer.
    pub layer_us: u64,
    /// Maximum number of layers that it can hold.
    pub max_layers: u16,
    /// Zone of its instance.
    pub zone: Zone,
}

impl Engine {
    /// Returns the number of layers that it runs per second.
    pub fn speed(&self) -> f64 {
        US_PER_S / self.layer_us.max(1) as f64
    }
}

const US_PER_S: f64 = 1_000_000.0;

/// One layer range with the engines that hold it, as indices into the slice of planned engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Layers of the range.
    pub layers: LayerRange,
    /// Indices of the engines that hold the range, in ascending order.
    pub engines: Vec<usize>,
}

/// Contiguous layer ranges that cover a model, in layer order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Layout {
    /// Ranges with their engines.
    pub parts: Vec<Part>,
}

/// Returns the layers of a model of `layers` layers that no chain of the given ranges covers.
///
/// A chain consists of adjoining ranges, each of which begins where the one before it ends. The result is
/// empty if a chain covers the whole model. Otherwise it is the gap between the furthest end of a chain from
/// the first layer and the next begin of a chain to the last layer.
pub fn uncovered_layers(held: &[LayerRange], layers: u16) -> Vec<LayerRange> {
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
