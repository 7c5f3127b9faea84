//! Cheapest chain of layer ranges that covers a model: a shortest path over layer boundaries.

use crate::pipeline::LayerRange;

/// A layer range that can be part of a route, with its cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Edge {
    pub layers: LayerRange,
    pub cost_us: f64,
}

/// Cheapest path found so far from layer 0 to a layer boundary.
#[derive(Clone, Copy, Debug)]
struct PathToBoundary {
    boundary: u16,
    cost_us: f64,
    /// Number of edges on the path.
    edges: usize,
    /// Index of the last edge; none at layer 0.
    last: Option<usize>,
}

/// Returns the indices of the edges that cover layers `0..layers` at the lowest cost, in layer order. At
/// equal cost the path with fewer edges wins. The edges have to be sorted by their first layer.
pub(super) fn cheapest_chain(edges: &[Edge], layers: u16) -> Option<Vec<usize>> {
    let mut paths = vec![PathToBoundary { boundary: 0, cost_us: 0.0, edges: 0, last: None }];
    for (index, edge) in edges.iter().enumerate() {
        if edge.layers.is_empty() {
            continue;
        }
        let Some(from) = paths.iter().find(|path| path.boundary == edge.layers.begin).copied() else {
            continue;
        };
        let new = PathToBoundary {
            boundary: edge.layers.end,
            cost_us: from.cost_us + edge.cost_us,
            edges: from.edges + 1,
            last: Some(index),
        };
        match paths.iter_mut().find(|path| path.boundary == new.boundary) {
            Some(path) if (new.cost_us, new.edges) < (path.cost_us, path.edges) => *path = new,
            Some(_) => {}
            None => paths.push(new),
        }
    }
    backtrack(edges, &paths, layers)
}

/// Follows the last edges back from the final boundary to layer 0.
fn backtrack(edges: &[Edge], paths: &[PathToBoundary], layers: u16) -> Option<Vec<usize>> {
    let mut chain = Vec::new();
    let mut boundary = layers;
    while boundary > 0 {
        let last = paths.iter().find(|path| path.boundary == boundary)?.last?;
        chain.push(last);
        boundary = edges.get(last)?.layers.begin;
    }
    chain.reverse();
    Some(chain)
}
