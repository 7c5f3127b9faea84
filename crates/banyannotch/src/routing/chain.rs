//! Shortest path over layer boundaries.

use crate::pipeline::LayerRange;

/// A layer range that can be part of a route, with its cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Edge {
    pub layers: LayerRange,
    pub cost_us: f64,
}

/// Best way to a layer boundary.
#[derive(Clone, Copy, Debug)]
struct Reached {
    boundary: u16,
    cost_us: f64,
    edges: usize,
    last: Option<usize>,
}

/// Returns the indices of the edges that cover layers `0..layers` at the least cost, in layer order. Equal costs are
/// decided by fewer edges. The edges have to be sorted by their first layer.
pub(super) fn cheapest(edges: &[Edge], layers: u16) -> Option<Vec<usize>> {
    let mut reached = vec![Reached { boundary: 0, cost_us: 0.0, edges: 0, last: None }];
    for (index, edge) in edges.iter().enumerate() {
        if edge.layers.is_empty() {
            continue;
        }
        let Some(from) = reached.iter().find(|known| known.boundary == edge.layers.begin).copied() else {
            continue;
        };
        let better = Reached {
            boundary: edge.layers.end,
            cost_us: from.cost_us + edge.cost_us,
            edges: from.edges + 1,
            last: Some(index),
        };
        match reached.iter_mut().find(|known| known.boundary == better.boundary) {
            Some(known) if (better.cost_us, better.edges) < (known.cost_us, known.edges) => *known = better,
            Some(_) => {}
            None => reached.push(better),
        }
    }
    walk_back(edges, &reached, layers)
}

fn walk_back(edges: &[Edge], reached: &[Reached], layers: u16) -> Option<Vec<usize>> {
    let mut path = Vec::new();
    let mut boundary = layers;
    while boundary > 0 {
        let last = reached.iter().find(|known| known.boundary == boundary)?.last?;
        path.push(last);
        boundary = edges.get(last)?.layers.begin;
    }
    path.reverse();
    Some(path)
}
