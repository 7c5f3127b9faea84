//! Policy of the placement duty: orders engines to load the planned layout while this entry holds the lease.

use std::sync::Arc;

use super::bound::throughput;
use super::layout::{Engine, Layout, Part, uncovered_layers};
use super::lease::{HeldLease, Lease, LeaseChange};
use super::plan::{plan, repair};
use super::{Action, Decision, Event, OrderAction, OrderResult, PlacementSettings};
use crate::backing::Fencing;
use crate::clock::US_PER_MS;
use crate::configuration::{Configuration, Model};
use crate::duty::Duty;
use crate::ids::{EndpointId, ModelVersion};
use crate::membership::{Endpoint, Health, Role};
use crate::pipeline::LayerRange;
use crate::table::Table;

/// Pause before the log is read again after a failure.
const READ_RETRY_MS: u64 = 500;

/// Interval at which the controller compares the target layout with the observed one.
const RECONCILE_INTERVAL_US: u64 = 1_000_000;

/// Maximum number of records of one read. A page with fewer records reached the end of the stream.
pub(super) const READ_LIMIT_RECORDS: usize = 256;

/// Assumed time per layer of an engine that has not reported its step time.
const DEFAULT_LAYER_US: u64 = 1_000;

/// Policy of the placement duty.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    lease: Lease,
    endpoints: Arc<[Endpoint]>,
    configuration: Option<Arc<Configuration>>,
    /// Orders that have not taken effect yet, with the time at which each counts as lost.
    pending_orders: Table<EndpointId, (LayerRange, u64)>,
    uncovered: Vec<Decision>,
    next_reconcile_us: u64,
    started: bool,
}

/// Engines of one model that are neither leaving nor drained. Both lists have the same order.
struct Fleet<'a> {
    endpoints: Vec<&'a Endpoint>,
    engines: Vec<Engine>,
}

impl Placement {
    /// Creates the policy. `own` is the instance and incarnation of this entry.
    pub fn new(settings: PlacementSettings, own: EndpointId) -> Self {
        let lease = Lease::new(own, settings.term_ms);
        Self {
            settings,
            lease,
            endpoints: Arc::new([]),
            configuration: None,
            pending_orders: Table::default(),
            uncovered: Vec::new(),
            next_reconcile_us: 0,
            started: false,
        }
    }

    fn reconcile(&mut self, now_us: u64, held: HeldLease, actions: &mut Vec<Action>) {
        let Some(configuration) = self.configuration.clone() else { return };
        let endpoints = Arc::clone(&self.endpoints);
        self.remove_finished_orders(now_us);
        let mut uncovered_now = Vec::new();
        for model in &configuration.document.models {
            for layers in missing_layers(&endpoints, model) {
                uncovered_now.push(Decision::Uncovered { model: model.name.clone(), layers });
            }
            let fleet = self.fleet(&endpoints, &configuration, model);
            let Some(target_layout) = self.target_layout(&fleet, &configuration, model) else { continue };
            for order in self.orders(now_us, held, &fleet, &target_layout, model) {
                self.pending_orders.insert(
                    order.endpoint.clone(),
                    (order.layers, now_us + self.settings.load_limit_ms * US_PER_MS),
                );
                actions.push(Action::Decide(Decision::Ordered {
                    endpoint: order.endpoint.clone(),
                    layers: order.layers,
                    fencing: order.fencing,
                }));
                actions.push(Action::Order(order));
            }
        }
        let new = uncovered_now.iter().filter(|decision| !self.uncovered.contains(decision));
        actions.extend(new.cloned().map(Action::Decide));
        self.uncovered = uncovered_now;
    }

    /// Removes orders that took effect, count as lost, or went to an engine that is gone.
    fn remove_finished_orders(&mut self, now_us: u64) {
        let endpoints = Arc::clone(&self.endpoints);
        self.pending_orders.retain(|id, (layers, lost_at_us)| {
            let current = endpoints.iter().find(|endpoint| endpoint.id == *id);
            let loaded = current.is_some_and(|endpoint| held_layers(endpoint) == Some(*layers));
            current.is_some() && !loaded && now_us < *lost_at_us
        });
    }

    fn fleet<'a>(
        &self,
        endpoints: &'a [Endpoint],
        configuration: &Configuration,
        model: &Model,
    ) -> Fleet<'a> {
        let drain = &configuration.active().drain;
        let endpoints: Vec<&Endpoint> = endpoints
            .iter()
            .filter(|endpoint| endpoint.health != Health::Leaving && !drain.contains(&endpoint.id.instance))
            .filter(
                |endpoint| matches!(&endpoint.role, Role::Engine { model: held, .. } if *held == model.name),
            )
            .collect();
        let engines = endpoints.iter().map(|endpoint| self.engine(endpoint)).collect();
        Fleet { endpoints, engines }
    }

    fn engine(&self, endpoint: &Endpoint) -> Engine {
        let held = held_layers(endpoint).map_or(0, |layers| layers.len());
        let layer_us = endpoint.load.step_us.checked_div(u64::from(held)).unwrap_or(0);
        Engine {
            layer_us: if layer_us == 0 { DEFAULT_LAYER_US } else { layer_us },
            max_layers: self.settings.most_layers.max(held),
            zone: endpoint.zone.clone(),
        }
    }

    /// Returns the target layout, or none if the observed one is good enough or no better one can be reached.
    fn target_layout(
        &self,
        fleet: &Fleet<'_>,
        configuration: &Configuration,
        model: &Model,
    ) -> Option<Layout> {
        let objective = configuration.active().objective;
        let best = plan(&fleet.engines, model.layers, objective, self.settings.hop_us)?;
        let kept_ratio = f64::from(100 - self.settings.hysteresis_percent.min(100)) / 100.0;
        let min_throughput = kept_ratio * throughput(&fleet.engines, &best);
        let Some(observed) = self.observed(fleet, model) else { return Some(best) };
        let now = throughput(&fleet.engines, &observed);
        if now >= min_throughput {
            return None;
        }
        // Coverage comes first: if layers are missing, any layout that covers the model is enough. It is
        // balanced later.
        let goal = if now > 0.0 { min_throughput } else { f64::MIN_POSITIVE };
        let repaired = repair(&fleet.engines, &observed, goal);
        let target_layout = if throughput(&fleet.engines, &repaired) >= goal { repaired } else { best };
        self.is_reachable(fleet, &target_layout, model).then_some(target_layout)
    }

    /// Returns whether the engines can move to a layout one after the other while the model stays covered.
    /// Otherwise the first moves would cost capacity and the last ones would never be made.
    fn is_reachable(&self, fleet: &Fleet<'_>, target_layout: &Layout, model: &Model) -> bool {
        let target = |index: usize| {
            let part = target_layout.parts.iter().find(|part| part.engines.contains(&index));
            part.map(|part| part.layers)
        };
        let ordered = |endpoint: &Endpoint| self.pending_orders.get(&endpoint.id).map(|(layers, _)| *layers);
        let mut ranges: Vec<Option<LayerRange>> = fleet
            .endpoints
            .iter()
            .map(|endpoint| ordered(endpoint).or_else(|| version_layers(endpoint, model.version)))
            .collect();
        let covers = |ranges: &[Option<LayerRange>]| {
            let held: Vec<LayerRange> = ranges.iter().copied().flatten().collect();
            uncovered_layers(&held, model.layers).is_empty()
        };
        if !covers(&ranges) {
            return true;
        }
        let mut waiting: Vec<usize> = (0..ranges.len())
            .filter(|index| target(*index).is_some_and(|layers| ranges.get(*index) != Some(&Some(layers))))
            .collect();
        while !waiting.is_empty() {
            let before = waiting.len();
            waiting.retain(|index| {
                let Some(slot) = ranges.get_mut(*index) else { return false };
                let old = slot.take();
                let free = covers(&ranges);
                if let Some(slot) = ranges.get_mut(*index) {
                    *slot = if free { target(*index) } else { old };
                }
                !free
            });
            if waiting.len() == before {
                return false;
            }
        }
        true
    }

    /// Returns the layout that the engines hold once the pending orders have taken effect, with a range
    /// without engines for each gap, or none if ranges overlap or exceed the model.
    fn observed(&self, fleet: &Fleet<'_>, model: &Model) -> Option<Layout> {
        let mut parts: Vec<Part> = Vec::new();
        for (index, endpoint) in fleet.endpoints.iter().enumerate() {
            let ordered = self.pending_orders.get(&endpoint.id).map(|(layers, _)| *layers);
            let Some(layers) = ordered.or_else(|| version_layers(endpoint, model.version)) else { continue };
            match parts.iter_mut().find(|part| part.layers == layers) {
                Some(part) => part.engines.push(index),
                None => parts.push(Part { layers, engines: vec![index] }),
            }
        }
        parts.sort_by_key(|part| part.layers);
        let mut complete = Vec::new();
        let mut end = 0;
        for part in parts {
            if part.layers.begin < end || part.layers.end > model.layers {
                return None;
            }
            if part.layers.begin > end {
                complete.push(Part { layers: LayerRange::new(end, part.layers.begin), engines: Vec::new() });
            }
            end = part.layers.end;
            complete.push(part);
        }
        if end < model.layers {
            complete.push(Part { layers: LayerRange::new(end, model.layers), engines: Vec::new() });
        }
        Some(Layout { parts: complete })
    }

    /// Returns the next orders towards a layout. They keep the limit of concurrent loads, and none of them
    /// takes away a live replica without which the model is no longer covered.
    fn orders(
        &self,
        now_us: u64,
        held: HeldLease,
        fleet: &Fleet<'_>,
        target_layout: &Layout,
        model: &Model,
    ) -> Vec<OrderAction> {
        let live = |endpoint: &&Endpoint| endpoint.health == Health::Live;
        let mut staying: Vec<&Endpoint> = fleet.endpoints.iter().copied().filter(live).collect();
        staying.retain(|endpoint| !self.pending_orders.contains(&endpoint.id));
        let covers = |endpoints: &[&Endpoint]| {
            let held: Vec<LayerRange> =
                endpoints.iter().filter_map(|endpoint| version_layers(endpoint, model.version)).collect();
            uncovered_layers(&held, model.layers).is_empty()
        };
        let covered = covers(&staying);
        let unfenced_us = held.unfenced_from_us(self.settings.order_limit_ms * US_PER_MS);
        let mut orders = Vec::new();
        for part in &target_layout.parts {
            for endpoint in part.engines.iter().filter_map(|index| fleet.endpoints.get(*index)) {
                let room = self.pending_orders.len() + orders.len() < self.settings.loads_at_once;
                let different = version_layers(endpoint, model.version) != Some(part.layers);
                let fenced = endpoint.fencing == Fencing::Checked || now_us >= unfenced_us;
                let free = endpoint.health == Health::Live && !self.pending_orders.contains(&endpoint.id);
                if !(room && different && fenced && free) {
                    continue;
                }
                let rest: Vec<&Endpoint> =
                    staying.iter().copied().filter(|other| other.id != endpoint.id).collect();
                if covered && !covers(&rest) {
                    continue;
                }
                staying = rest;
                orders.push(OrderAction {
                    endpoint: endpoint.id.clone(),
                    address: endpoint.address,
                    fencing: held.fencing,
                    model: model.name.clone(),
                    version: model.version,
                    layers: part.layers,
                    until_us: held.until_us,
                });
            }
        }
        orders
    }

    fn on_read(
        &mut self,
        now_us: u64,
        requested_us: u64,
        page: Option<&crate::backing::Records>,
        actions: &mut Vec<Action>,
    ) {
        let Some(page) = page else {
            actions.push(Action::Read { from: self.lease.next(), after_ms: READ_RETRY_MS });
            return;
        };
        let reached_end = page.records.len() < READ_LIMIT_RECORDS;
        match self.lease.on_records(requested_us, now_us, page, reached_end) {
            Some(LeaseChange::Gained(fencing)) => {
                self.pending_orders = Table::default();
                actions.push(Action::Decide(Decision::Gained(fencing)));
            }
            Some(LeaseChange::Passed(fencing)) => actions.push(Action::Decide(Decision::Passed(fencing))),
            None => {}
        }
        actions.push(Action::Read { from: self.lease.next(), after_ms: 0 });
    }
}

impl Duty for Placement {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Read { requested_us, page } => self.on_read(now_us, requested_us, page.as_ref(), actions),
            Event::Endpoints(endpoints) => self.endpoints = endpoints,
            Event::Configured(configuration) => self.configuration = Some(configuration),
            Event::Ordered { result: OrderResult::Taken, .. } => {}
            Event::Ordered { endpoint, result } => {
                self.pending_orders.remove(&endpoint);
                actions.push(Action::Decide(Decision::NotOrdered { endpoint, result }));
            }
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        if !self.settings.enabled {
            return None;
        }
        if !self.started {
            return Some(0);
        }
        let reconcile_us = self.lease.owns_newest().then_some(self.next_reconcile_us);
        [self.lease.next_claim_us(), reconcile_us].into_iter().flatten().min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) {
            actions.push(Action::Read { from: self.lease.next(), after_ms: 0 });
        }
        if let Some(record) = self.lease.claim(now_us) {
            actions.push(Action::Append(record));
        }
        if self.next_reconcile_us <= now_us {
            self.next_reconcile_us = now_us + RECONCILE_INTERVAL_US;
            if let Some(held) = self.lease.held(now_us) {
                self.reconcile(now_us, held, actions);
            }
        }
    }
}

/// Returns the layers of a model that no chain of live engines covers.
pub fn missing_layers(endpoints: &[Endpoint], model: &Model) -> Vec<LayerRange> {
    let held: Vec<LayerRange> = endpoints
        .iter()
        .filter(|endpoint| endpoint.health == Health::Live)
        .filter(|endpoint| matches!(&endpoint.role, Role::Engine { model: held, .. } if *held == model.name))
        .filter_map(|endpoint| version_layers(endpoint, model.version))
        .collect();
    uncovered_layers(&held, model.layers)
}

fn held_layers(endpoint: &Endpoint) -> Option<LayerRange> {
    match &endpoint.role {
        Role::Engine { layers, .. } => Some(*layers),
        Role::Service { .. } => None,
    }
}

fn version_layers(endpoint: &Endpoint, version: ModelVersion) -> Option<LayerRange> {
    match &endpoint.role {
        Role::Engine { version: held, layers, .. } if *held == version => Some(*layers),
        _ => None,
    }
}
