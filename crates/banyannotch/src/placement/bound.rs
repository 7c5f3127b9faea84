//! Throughput of a layout, and an upper bound for all layouts of the same engines.

use super::layout::{Engine, Layout, Part};

/// Returns the tokens per second of a layout: the throughputs of the replicas of a range add up, and the
/// slowest range limits the layout.
pub fn throughput(engines: &[Engine], layout: &Layout) -> f64 {
    layout.parts.iter().map(|part| part_throughput(engines, part)).reduce(f64::min).unwrap_or(0.0)
}

/// Returns the tokens per second of one layer range.
fn part_throughput(engines: &[Engine], part: &Part) -> f64 {
    let speed: f64 = part.engines.iter().filter_map(|index| engines.get(*index)).map(Engine::speed).sum();
    speed / f64::from(part.layers.len().max(1))
}

/// Returns an upper bound of the throughput of all layouts of a model of `layers` layers over these engines.
///
/// An engine that runs `s` layers per second and holds `n` layers contributes `s / n` tokens per second to
/// each of them, which is `s` in total over all layers. A throughput of `x` requires at least `x` for each
/// layer, so `x * layers` is at most the sum of the speeds. If the engines together can hold fewer layers
/// than the model has, no layout exists and the bound is 0. The relaxation allows engines to be divided
/// between ranges, so the bound may be too high, but is never too low.
pub fn upper_bound(engines: &[Engine], layers: u16) -> f64 {
    let held: u64 = engines.iter().map(|engine| u64::from(engine.max_layers)).sum();
    if layers == 0 || held < u64::from(layers) {
        return 0.0;
    }
    let useful = engines.iter().filter(|engine| engine.max_layers > 0);
    useful.map(Engine::speed).sum::<f64>() / f64::from(layers)
}
