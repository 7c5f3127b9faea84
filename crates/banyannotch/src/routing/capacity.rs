//! What the endpoints can carry, as admission needs it.

use super::balance::View;
use super::chain::{Edge, cheapest};
use super::index::Group;
use super::limiter::Limiter;
use super::meter::Meter;
use super::state::State;
use crate::admission::{Capacity, Destination};
use crate::configuration::Model;
use crate::table::Table;

/// Shortest time between two reports.
pub(super) const REPORT_INTERVAL_US: u64 = 100_000;

/// Change of a figure that is reported, in percent.
const CHANGE_PERCENT: u64 = 3;

/// Steps at once that an engine is assumed to batch before it has reported more.
const ASSUMED_BATCH: u32 = 4;

/// The first limit allows this many times the work that keeps the bottleneck busy, because arrivals are uneven.
const HEADROOM: f64 = 1.5;

/// Limits and the last report.
#[derive(Debug, Default)]
pub(super) struct Capacities {
    limiters: Table<Destination, Limiter>,
    reported: Vec<Capacity>,
}

/// Times and concurrency of the stages of one model.
#[derive(Clone, Copy, Debug, Default)]
struct Chain {
    token_us: f64,
    position_us: f64,
    unloaded_us: f64,
    growth: Option<f64>,
    /// Steps per microsecond that the bottleneck can run when each replica runs one at a time.
    bottleneck_rate: f64,
    batch: u32,
}

impl Capacities {
    /// Adapts the limits and returns the figures if they changed by more than a few percent.
    pub fn report(&mut self, state: &State, view: &View<'_>, entries: u32) -> Option<Vec<Capacity>> {
        let configuration = state.configuration.as_ref()?;
        let in_flight = in_flight(state);
        let mut capacities = Vec::new();
        for model in &configuration.document.models {
            let target = Destination::Model(model.name.clone());
            let own = in_flight.get(&target).copied().unwrap_or(0);
            capacities.push(self.model_capacity(state, view, model, target, own, entries));
        }
        for service in &configuration.document.services {
            // Steps of calls are not measured, so the limit of the preset holds for them.
            let target = Destination::Service(service.name.clone());
            let slots = state.index.service(&service.name).map_or(0, |_| u32::MAX);
            capacities.push(Capacity { target, token_us: 0, position_us: 0, slots });
        }
        if !changed(&self.reported, &capacities) {
            return None;
        }
        self.reported.clone_from(&capacities);
        Some(capacities)
    }

    fn model_capacity(
        &mut self,
        state: &State,
        view: &View<'_>,
        model: &Model,
        target: Destination,
        own: u32,
        entries: u32,
    ) -> Capacity {
        let groups = state.index.model(&model.name, model.version);
        let Some(chain) = chain(groups, view, model.layers) else {
            return Capacity { target, token_us: 0, position_us: 0, slots: 0 };
        };
        let share = 1.0 / f64::from(entries.max(1));
        let busy = chain.bottleneck_rate * chain.unloaded_us * share;
        let first = HEADROOM * busy * f64::from(chain.batch.max(ASSUMED_BATCH));
        let slots = self.limiters.entry(target.clone()).adapt(chain.growth, own, busy, first);
        let (token_us, position_us) = (chain.token_us.ceil() as u64, chain.position_us.ceil() as u64);
        Capacity { target, token_us, position_us, slots }
    }
}

fn in_flight(state: &State) -> Table<Destination, u32> {
    let mut counts = Table::default();
    for (_, placed) in state.placed.iter() {
        *counts.entry(placed.task.destination()) += 1_u32;
    }
    counts
}

/// Returns the figures of the chain with the least mean time of a token.
fn chain(groups: &[Group], view: &View<'_>, layers: u16) -> Option<Chain> {
    let mean_us = |group: &Group| mean(group, |place| view.step_us(place, group.mean_others));
    let usable = || groups.iter().filter(|group| !group.pool().members.is_empty());
    let edges: Vec<Edge> =
        usable().filter_map(|group| Some(Edge { layers: group.layers?, cost_us: mean_us(group) })).collect();
    let path = cheapest(&edges, layers)?;
    let mut chain = Chain { bottleneck_rate: f64::INFINITY, ..Chain::default() };
    for index in path {
        let group = usable().nth(index)?;
        let unloaded_us = mean(group, |place| {
            let known = view.endpoints.get(place).zip(view.meters.get(place));
            known.map_or(0.0, |(endpoint, meter)| meter.unloaded_us(view.surroundings.link_us(endpoint)))
        });
        chain.token_us += edges.get(index)?.cost_us;
        chain.position_us += mean(group, |place| view.meters.get(place).map_or(0.0, Meter::position_us));
        chain.unloaded_us += unloaded_us;
        let rate = group.pool().members.len() as f64 / unloaded_us.max(1.0);
        chain.bottleneck_rate = chain.bottleneck_rate.min(rate);
        chain.growth = worse(chain.growth, median_growth(group, view));
        let batches = group.pool().members.iter().filter_map(|place| view.meters.get(*place));
        chain.batch = chain.batch.max(batches.map(|meter| meter.batch).max().unwrap_or(0));
    }
    Some(chain)
}

/// Returns the median growth of the step time over replicas, so that one slow link does not lower the limit.
fn median_growth(group: &Group, view: &View<'_>) -> Option<f64> {
    let members = group.pool().members;
    let meters = members.iter().filter_map(|place| view.meters.get(*place));
    let mut growths: Vec<f64> = meters.filter_map(|meter| meter.growth(view.now_us)).collect();
    growths.sort_by(f64::total_cmp);
    growths.get(growths.len() / 2).copied()
}

fn worse(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.max(b)),
        (a, b) => a.or(b),
    }
}

fn mean(group: &Group, figure: impl Fn(usize) -> f64) -> f64 {
    let members = group.pool().members;
    members.iter().map(|place| figure(*place)).sum::<f64>() / members.len().max(1) as f64
}

fn changed(old: &[Capacity], new: &[Capacity]) -> bool {
    let differs = |a: u64, b: u64| a.abs_diff(b) * 100 > CHANGE_PERCENT * a.max(b);
    old.len() != new.len()
        || old.iter().zip(new).any(|(old, new)| {
            old.target != new.target
                || differs(old.token_us, new.token_us)
                || differs(old.position_us, new.position_us)
                || differs(u64::from(old.slots), u64::from(new.slots))
        })
}
