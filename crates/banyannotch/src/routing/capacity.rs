//! Estimates for admission how long requests take and how many may be in flight.

use super::balance::View;
use super::chain::{Edge, cheapest_chain};
use super::index::Group;
use super::limiter::Limiter;
use super::meter::Meter;
use super::state::State;
use crate::admission::{Capacity, Destination};
use crate::configuration::Model;
use crate::table::Table;

/// Minimum interval between two capacity reports.
pub(super) const REPORT_INTERVAL_US: u64 = 100_000;

/// Minimum relative change of a figure for a new report, in percent.
const MIN_CHANGE_PERCENT: u64 = 3;

/// Number of steps that an engine is assumed to run in one batch until it has reported more.
const DEFAULT_BATCH_STEPS: u32 = 4;

/// Ratio of the initial limit to the number of requests that keeps the bottleneck busy; above 1, because
/// arrivals are uneven.
const INITIAL_LIMIT_HEADROOM: f64 = 1.5;

/// Limits of the models and the last reported figures.
#[derive(Debug, Default)]
pub(super) struct CapacityReporter {
    limiters: Table<Destination, Limiter>,
    reported: Vec<Capacity>,
}

/// Estimated times and concurrency of the chain of one model.
#[derive(Clone, Copy, Debug, Default)]
struct ChainEstimate {
    /// Mean time of one token through all stages at the current load.
    token_us: f64,
    /// Mean time of one prompt position through all stages.
    position_us: f64,
    /// Mean time of one token through all stages without waiting.
    unloaded_us: f64,
    /// Maximum over the stages of the median slowdown of a stage's replicas; none if no step was measured
    /// recently.
    slowdown: Option<f64>,
    /// Steps per microsecond of the slowest stage if each of its replicas runs one step at a time.
    bottleneck_steps_per_us: f64,
    /// Maximum number of steps that any replica has reported as running.
    max_batch: u32,
}

impl CapacityReporter {
    /// Adapts the limits and returns the figures if any changed by more than [`MIN_CHANGE_PERCENT`].
    pub fn report(&mut self, state: &State, view: &View<'_>, entries: u32) -> Option<Vec<Capacity>> {
        let configuration = state.configuration.as_ref()?;
        let in_flight = in_flight(state);
        let mut capacities = Vec::new();
        for model in &configuration.document.models {
            let destination = Destination::Model(model.name.clone());
            let model_in_flight = in_flight.get(&destination).copied().unwrap_or(0);
            capacities.push(self.model_capacity(state, view, model, destination, model_in_flight, entries));
        }
        for service in &configuration.document.services {
            // Calls are not measured here, so only the preset's in-flight limit applies to them.
            let destination = Destination::Service(service.name.clone());
            let slots = state.index.service(&service.name).map_or(0, |_| u32::MAX);
            capacities.push(Capacity { destination, token_us: 0, position_us: 0, slots });
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
        destination: Destination,
        in_flight: u32,
        entries: u32,
    ) -> Capacity {
        let groups = state.index.model(&model.name, model.version);
        let Some(chain) = estimate_chain(groups, view, model.layers) else {
            return Capacity { destination, token_us: 0, position_us: 0, slots: 0 };
        };
        let share = 1.0 / f64::from(entries.max(1));
        let busy_requests = chain.bottleneck_steps_per_us * chain.unloaded_us * share;
        let initial_limit =
            INITIAL_LIMIT_HEADROOM * busy_requests * f64::from(chain.max_batch.max(DEFAULT_BATCH_STEPS));
        let slots = self.limiters.entry(destination.clone()).adapt(
            chain.slowdown,
            in_flight,
            busy_requests,
            initial_limit,
        );
        let (token_us, position_us) = (chain.token_us.ceil() as u64, chain.position_us.ceil() as u64);
        Capacity { destination, token_us, position_us, slots }
    }
}

/// Returns the number of this entry's placed requests for each model and service.
fn in_flight(state: &State) -> Table<Destination, u32> {
    let mut counts = Table::default();
    for (_, placed) in state.placed.iter() {
        *counts.entry(placed.task.destination()) += 1_u32;
    }
    counts
}

/// Returns the figures of the chain with the lowest mean time of a token.
fn estimate_chain(groups: &[Group], view: &View<'_>, layers: u16) -> Option<ChainEstimate> {
    let mean_us =
        |group: &Group| mean_over_members(group, |member| view.step_us(member, group.mean_other_steps));
    let usable_groups = || groups.iter().filter(|group| !group.pool().members.is_empty());
    let edges: Vec<Edge> = usable_groups()
        .filter_map(|group| Some(Edge { layers: group.layers?, cost_us: mean_us(group) }))
        .collect();
    let path = cheapest_chain(&edges, layers)?;
    let mut chain = ChainEstimate { bottleneck_steps_per_us: f64::INFINITY, ..ChainEstimate::default() };
    for index in path {
        let group = usable_groups().nth(index)?;
        let unloaded_us = mean_over_members(group, |member| {
            let found = view.endpoints.get(member).zip(view.meters.get(member));
            found.map_or(0.0, |(endpoint, meter)| meter.unloaded_us(view.context.link_us(endpoint)))
        });
        chain.token_us += edges.get(index)?.cost_us;
        chain.position_us +=
            mean_over_members(group, |member| view.meters.get(member).map_or(0.0, Meter::position_us));
        chain.unloaded_us += unloaded_us;
        let rate = group.pool().members.len() as f64 / unloaded_us.max(1.0);
        chain.bottleneck_steps_per_us = chain.bottleneck_steps_per_us.min(rate);
        chain.slowdown = max_known(chain.slowdown, median_slowdown(group, view));
        let meters = group.pool().members.iter().filter_map(|member| view.meters.get(*member));
        chain.max_batch = chain.max_batch.max(meters.map(|meter| meter.max_batch).max().unwrap_or(0));
    }
    Some(chain)
}

/// Returns the median slowdown of the replicas, so that one slow link does not lower the limit.
fn median_slowdown(group: &Group, view: &View<'_>) -> Option<f64> {
    let members = group.pool().members;
    let meters = members.iter().filter_map(|member| view.meters.get(*member));
    let mut slowdowns: Vec<f64> = meters.filter_map(|meter| meter.slowdown(view.now_us)).collect();
    slowdowns.sort_by(f64::total_cmp);
    slowdowns.get(slowdowns.len() / 2).copied()
}

/// Returns the greater value, or the one that is known.
fn max_known(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.max(b)),
        (a, b) => a.or(b),
    }
}

fn mean_over_members(group: &Group, value: impl Fn(usize) -> f64) -> f64 {
    let members = group.pool().members;
    members.iter().map(|member| value(*member)).sum::<f64>() / members.len().max(1) as f64
}

fn changed(old: &[Capacity], new: &[Capacity]) -> bool {
    let differs = |a: u64, b: u64| a.abs_diff(b) * 100 > MIN_CHANGE_PERCENT * a.max(b);
    old.len() != new.len()
        || old.iter().zip(new).any(|(old, new)| {
            old.destination != new.destination
                || differs(old.token_us, new.token_us)
                || differs(old.position_us, new.position_us)
                || differs(u64::from(old.slots), u64::from(new.slots))
        })
}
