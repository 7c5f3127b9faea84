//! Throughput of a layout, and a bound that no layout of the same engines exceeds.

use super::layout::{Engine, Layout, Part};

/// Tokens a second of a layout: the slowest layer range limits all others, and the replicas of a range add up.
pub fn throughput(engines: &[Engine], layout: &Layout) -> f64 {
    layout.parts.iter().map(|part| part_throughput(engines, part)).reduce(f64::min).unwrap_or(0.0)
}

/// Tokens a second of one layer range.
fn part_throughput(engines: &[Engine], part: &Part) -> f64 {
    let speed: f64 = part.engines.iter().filter_map(|index| engines.get(*index)).map(Engine::speed).sum();
    speed / f64::from(part.layers.len().max(1))
}

/// Returns a throughput that no layout of a model of `layers` layers over these engines exceeds.
///
/// An engine that runs `s` layers a second and holds `n` layers adds `s / n` tokens a second to each of them, `s` in
/// sum over all layers. At a throughput of `x` each layer needs `x` at least, so `x * layers` cannot be more than the
/// sum of the speeds. If the engines together hold fewer layers than the model has, there is no layout at all.
/// The relaxation ignores that engines cannot be divided, so it may be too high but is never too low.
pub fn upper_bound(engines: &[Engine], layers: u16) -> f64 {
    let held: u64 = engines.iter().map(|engine| u64::from(engine.most_layers)).sum();
    if layers == 0 || held < u64::from(layers) {
        return 0.0;
    }
    let useful = engines.iter().filter(|engine| engine.most_layers > 0);
    useful.map(Engine::speed).sum::<f64>() / f64::from(layers)
}
