//! Policy of layout: when to plan, and when to inspect and order engines.

use std::collections::VecDeque;
use std::sync::Arc;

use super::ownership::Ownership;
use super::plan::{Card, assign_empty_engine, fill_gap, plan};
use super::{Action, Decision, Event, LayoutSettings};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::{Configuration, Endpoint, EngineReport, Group, OrderReply, Pipeline, StoreError};
use crate::ids::{ServiceId, Zone};
use crate::pipeline::{Address, LayerRange};
use crate::table::Table;

/// Number of inspections in a row without a report after which an engine that does not hold its planned layers is left
/// out of the plan.
const UNANSWERED_LIMIT: u32 = 3;

/// Layers that an engine is to hold, and its last known state.
#[derive(Clone, Debug)]
struct Target {
    id: Arc<str>,
    born_ms: u64,
    layers: Option<LayerRange>,
    /// Layers in the engine's last report, which is newer than its entry.
    reported_layers: Option<LayerRange>,
    busy: bool,
    /// Number of inspections since the last report.
    unanswered: u32,
    /// When the engine may be inspected again.
    next_inspection_us: u64,
}

/// Plans the layers of engines and orders engines to hold them.
#[derive(Debug)]
pub struct Layout {
    settings: LayoutSettings,
    configuration: Option<Arc<Configuration>>,
    /// Endpoints, sorted by address.
    endpoints: Arc<[Endpoint]>,
    targets: Table<Address, Target>,
    ownership: Ownership,
    was_owner: bool,
    /// Services and zones whose engines this gateway may give orders to, as of the last check.
    owned_zones: Table<(ServiceId, Zone), ()>,
    /// Engines that are to be inspected or ordered once fewer calls are in progress.
    waiting: VecDeque<Address>,
    /// Number of inspections and orders in progress.
    calls: usize,
    first_endpoint_us: Option<u64>,
    /// When the number of endpoints last increased.
    last_increase_us: u64,
    join_at_us: u64,
    check_at_us: u64,
    /// Number of gateways before this one in the order that all gateways share; the maximum until gossip reports it, so
    /// that gateways that start together do not all join the group.
    rank: usize,
    draining: bool,
    /// When to repeat a failed call to leave the group.
    leave_at_us: Option<u64>,
}

impl Layout {
    /// Creates the policy of a gateway that is not the owner yet.
    pub fn new(settings: LayoutSettings) -> Self {
        Self {
            settings,
            configuration: None,
            endpoints: Arc::new([]),
            targets: Table::default(),
            ownership: Ownership::default(),
            was_owner: false,
            owned_zones: Table::default(),
            waiting: VecDeque::new(),
            calls: 0,
            first_endpoint_us: None,
            last_increase_us: 0,
            join_at_us: 0,
            check_at_us: 0,
            rank: usize::MAX,
            draining: false,
            leave_at_us: None,
        }
    }

    fn is_owner(&self, now_us: u64) -> bool {
        self.ownership.is_owner(now_us) && !self.draining
    }

    /// Returns whether this gateway may give orders to an engine.
    fn owns(&self, now_us: u64, address: Address) -> bool {
        let engine = find_engine(&self.endpoints, address);
        self.is_owner(now_us)
            && engine.is_some_and(|engine| {
                self.owned_zones.contains(&(engine.service.clone(), engine.zone.clone()))
            })
    }

    /// Gives up the membership if the store has come back from a backup, and joins the group anew. The endpoints of that
    /// time refuse an order that was given twice, because orders name how many an engine has accepted.
    fn enter_era(&mut self, now_us: u64, era: u64, out: &mut Vec<Action>) {
        if era <= self.ownership.era() {
            return;
        }
        self.ownership.enter_era(era);
        self.join_at_us = now_us;
        self.update_ownership(now_us, out);
    }

    /// Handles the era that a response of the store states. The catalog tells it to the other duties.
    fn handle_response_era(&mut self, now_us: u64, era: u64, out: &mut Vec<Action>) {
        let known = self.ownership.era();
        if era > known {
            self.enter_era(now_us, era, out);
            out.push(Action::StoreEra(era));
        } else if era < known {
            let fault = StoreError::EarlierEra { era, known }.to_string();
            out.push(Action::Decide(Decision::NotJoined { fault }));
        }
    }

    fn handle_join(&mut self, now_us: u64, group: Group, sent_us: u64, out: &mut Vec<Action>) {
        if group.era != self.ownership.era() {
            // The response is late, or the store has come back since the call was sent, with the generation of a group
            // that no longer exists.
            return self.handle_response_era(now_us, group.era, out);
        }
        self.ownership.renew(group, sent_us, &self.settings);
        self.update_ownership(now_us, out);
    }

    fn update_ownership(&mut self, now_us: u64, out: &mut Vec<Action>) {
        let owner = self.is_owner(now_us);
        if owner != self.was_owner {
            self.was_owner = owner;
            let (generation, partitions) =
                (self.ownership.generation(), self.ownership.partitions().to_vec());
            out.push(Action::Decide(Decision::Owner { owner, generation, partitions }));
        }
        if !owner {
            self.set_owned_zones(Table::default());
        }
    }

    /// Takes the zones that this gateway owns now. Another owner may have given orders in those that are new, so their
    /// targets are taken from the engines again.
    fn set_owned_zones(&mut self, owned: Table<(ServiceId, Zone), ()>) {
        if owned == self.owned_zones {
            return;
        }
        let known = std::mem::replace(&mut self.owned_zones, owned);
        let (endpoints, owned) = (&self.endpoints, &self.owned_zones);
        self.targets.retain(|address, _| {
            let engine = find_engine(endpoints, *address);
            engine.is_some_and(|engine| {
                let zone = (engine.service.clone(), engine.zone.clone());
                owned.contains(&zone) && known.contains(&zone)
            })
        });
        self.waiting.clear();
    }

    fn update_endpoints(&mut self, now_us: u64, endpoints: Arc<[Endpoint]>) {
        let before = self.endpoints.len();
        if endpoints.len() > before {
            self.last_increase_us = now_us;
        }
        if !endpoints.is_empty() {
            self.first_endpoint_us.get_or_insert(now_us);
        }
        self.endpoints = endpoints;
        let known = &self.endpoints;
        self.targets.retain(|address, target| {
            let engine = find_engine(known, *address);
            engine.is_some_and(|engine| engine.id == target.id && engine.born_ms == target.born_ms)
        });
    }

    /// Returns whether endpoints that start together have had time to register.
    fn is_settled(&self, now_us: u64) -> bool {
        let Some(first_endpoint_us) = self.first_endpoint_us else { return false };
        let quiet = now_us >= self.last_increase_us + self.settings.settle_ms * US_PER_MS;
        quiet || now_us >= first_endpoint_us + self.settings.settle_max_ms * US_PER_MS
    }

    /// Plans layers and inspects engines of the zones that this gateway owns, once the endpoints have settled.
    fn check(&mut self, now_us: u64, out: &mut Vec<Action>) {
        if !self.is_owner(now_us) || !self.is_settled(now_us) {
            return;
        }
        let Some(configuration) = self.configuration.clone() else { return };
        let (mut owned, mut plans) = (Table::default(), Vec::new());
        for service in &configuration.services {
            let Some(pipeline) = &service.pipeline else { continue };
            let is_engine = |engine: &&Endpoint| engine.service == service.id && !engine.leaving;
            let engines: Vec<Endpoint> = self.endpoints.iter().filter(is_engine).cloned().collect();
            let mut zones: Vec<&Zone> = engines.iter().map(|engine| &engine.zone).collect();
            zones.sort_unstable();
            zones.dedup();
            let owned_zones = self.ownership.owned_zones(now_us, &zones, engines.len(), &self.settings);
            for zone in &owned_zones {
                owned.insert((service.id.clone(), Zone::clone(zone)), ());
            }
            if owned_zones.len() == zones.len() {
                plans.push((Arc::clone(pipeline), engines));
                continue;
            }
            for zone in owned_zones {
                let in_zone = engines.iter().filter(|engine| engine.zone == *zone).cloned().collect();
                plans.push((Arc::clone(pipeline), in_zone));
            }
        }
        self.set_owned_zones(owned);
        for (pipeline, engines) in plans {
            self.plan_targets(now_us, &pipeline, &engines, out);
        }
        self.inspect_mismatched(now_us);
        self.start_calls(now_us, out);
    }

    /// Plans layers for engines that have none, and moves engines into the gaps that remain.
    fn plan_targets(
        &mut self,
        now_us: u64,
        pipeline: &Pipeline,
        engines: &[Endpoint],
        out: &mut Vec<Action>,
    ) {
        for engine in engines {
            if !self.targets.contains(&engine.address) {
                let target = Target {
                    id: Arc::clone(&engine.id),
                    born_ms: engine.born_ms,
                    // Layers that the model does not have would count as held and hide a gap.
                    layers: engine.layers.filter(|layers| pipeline.has_layers(*layers)),
                    reported_layers: None,
                    busy: false,
                    unanswered: 0,
                    next_inspection_us: now_us,
                };
                self.targets.insert(engine.address, target);
            }
        }
        let answers = |engine: &&Endpoint| {
            let target = self.targets.get(&engine.address);
            target.is_some_and(|target| target.unanswered < UNANSWERED_LIMIT)
        };
        let (answering, silent): (Vec<&Endpoint>, Vec<&Endpoint>) = engines.iter().partition(answers);
        let mut cards: Vec<Card> =
            answering.into_iter().filter_map(|engine| self.card(pipeline, engine)).collect();
        // A first plan may have relied on engines at whose addresses nothing answers. The layers that they were to hold
        // cannot be given to engines that hold others alone.
        let relied_on_silent_ones = !silent.is_empty() && !holds_model(pipeline, &cards);
        if cards.iter().all(|card| card.layers.is_none()) || relied_on_silent_ones {
            let assignments = plan(pipeline, &cards, self.settings.layer_share);
            if !assignments.is_empty() || !relied_on_silent_ones {
                for assignment in assignments {
                    self.set_target(assignment.address, assignment.layers, out);
                }
                return;
            }
        }
        for index in 0..cards.len() {
            let Some(card) = cards.get(index).filter(|card| card.layers.is_none()).cloned() else { continue };
            let layers = assign_empty_engine(pipeline, &cards, &card, self.settings.layer_share);
            if let (Some(layers), Some(slot)) = (layers, cards.get_mut(index)) {
                slot.layers = Some(layers);
                self.set_target(card.address, layers, out);
            }
        }
        self.close_gaps(pipeline, &mut cards, out);
    }

    /// Moves engines into the gaps of their zones that empty engines did not fill.
    fn close_gaps(&mut self, pipeline: &Pipeline, cards: &mut [Card], out: &mut Vec<Action>) {
        // Each move fills a gap at least in part and opens none, so the loop ends.
        for _ in 0..cards.len() {
            let Some(assignment) = fill_gap(pipeline, cards, self.settings.layer_share) else { return };
            if let Some(card) = cards.iter_mut().find(|card| card.address == assignment.address) {
                card.layers = Some(assignment.layers);
            }
            self.set_target(assignment.address, assignment.layers, out);
        }
    }

    fn card(&self, pipeline: &Pipeline, engine: &Endpoint) -> Option<Card> {
        let kind = pipeline.accelerator(engine.accelerator.as_deref()?)?;
        let target = self.targets.get(&engine.address)?;
        Some(Card {
            id: Arc::clone(&engine.id),
            address: engine.address,
            zone: engine.zone.clone(),
            memory_mb: kind.memory_mb,
            step_factor: kind.step_factor,
            read_factor: kind.read_factor,
            slots: engine.slots,
            layers: target.layers,
        })
    }

    fn set_target(&mut self, address: Address, layers: LayerRange, out: &mut Vec<Action>) {
        if let Some(target) = self.targets.get_mut(&address) {
            let before = target.layers.replace(layers);
            out.push(Action::Decide(Decision::Planned { engine: Arc::clone(&target.id), before, layers }));
        }
    }

    /// Collects the engines that do not hold their planned layers.
    fn inspect_mismatched(&mut self, now_us: u64) {
        self.waiting.clear();
        for engine in &*self.endpoints {
            let Some(target) = self.targets.get(&engine.address) else { continue };
            let Some(planned) = target.layers else { continue };
            let holds = engine.layers == Some(planned) || target.reported_layers == Some(planned);
            if !holds && !engine.leaving && now_us >= target.next_inspection_us {
                self.waiting.push_back(engine.address);
            }
        }
    }

    /// Inspects waiting engines, as many as may be in progress. The report leads to an order.
    fn start_calls(&mut self, now_us: u64, out: &mut Vec<Action>) {
        let retry_us = self.settings.order_retry_ms * US_PER_MS;
        while self.calls < self.settings.calls_in_progress {
            let Some(address) = self.waiting.pop_front() else { return };
            let Some(target) = self.targets.get_mut(&address) else { continue };
            target.next_inspection_us = now_us + retry_us;
            self.calls += 1;
            out.push(Action::Inspect(address));
        }
    }

    /// Orders an engine that is idle and reports other layers than planned.
    fn handle_report(
        &mut self,
        now_us: u64,
        address: Address,
        report: Option<&EngineReport>,
        out: &mut Vec<Action>,
    ) {
        self.calls = self.calls.saturating_sub(1);
        if !self.owns(now_us, address) {
            return;
        }
        let Some(target) = self.targets.get_mut(&address) else { return };
        target.unanswered = if report.is_some() { 0 } else { target.unanswered.saturating_add(1) };
        let Some(report) = report.filter(|report| report.born_ms == target.born_ms || report.born_ms == 0)
        else {
            return;
        };
        target.reported_layers = report.layers.filter(|layers| !layers.is_empty());
        target.busy = report.busy;
        let Some(layers) = target.layers else { return };
        if target.busy || target.reported_layers == Some(layers) {
            return;
        }
        self.calls += 1;
        out.push(Action::Decide(Decision::OrderSent { address, layers, orders: report.orders }));
        out.push(Action::Place { address, layers, orders: report.orders });
    }

    fn handle_order_reply(
        &mut self,
        now_us: u64,
        address: Address,
        reply: OrderReply,
        out: &mut Vec<Action>,
    ) {
        self.calls = self.calls.saturating_sub(1);
        if let (OrderReply::Refused(_), Some(target)) = (&reply, self.targets.get_mut(&address)) {
            // The engine's state differs from its report, so it is inspected again at once.
            target.next_inspection_us = now_us;
        }
        out.push(Action::Decide(Decision::OrderAnswered { address, reply }));
    }
}

/// Returns whether the cards hold or are planned to hold every layer of the model together.
fn holds_model(pipeline: &Pipeline, cards: &[Card]) -> bool {
    let ranges: Vec<LayerRange> = cards.iter().filter_map(|card| card.layers).collect();
    (0..pipeline.layers).all(|layer| ranges.iter().any(|held| held.begin <= layer && layer < held.end))
}

/// Returns the endpoint at an address; the catalog publishes the endpoints sorted by address.
fn find_engine(endpoints: &[Endpoint], address: Address) -> Option<&Endpoint> {
    let index = endpoints.binary_search_by_key(&address, |endpoint| endpoint.address).ok()?;
    endpoints.get(index)
}

impl Duty for Layout {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Configuration(configuration) => self.configuration = Some(configuration),
            Event::Endpoints(endpoints) => self.update_endpoints(now_us, endpoints),
            Event::Joined { group, sent_us } => self.handle_join(now_us, group, sent_us, actions),
            Event::NotJoined { fault, era } => {
                actions.push(Action::Decide(Decision::NotJoined { fault }));
                if let Some(era) = era {
                    self.handle_response_era(now_us, era, actions);
                }
            }
            Event::StoreEra(era) => self.enter_era(now_us, era, actions),
            Event::Report { address, report } => {
                self.handle_report(now_us, address, report.as_ref(), actions);
                self.start_calls(now_us, actions);
            }
            Event::OrderAnswered { address, reply } => {
                self.handle_order_reply(now_us, address, reply, actions);
                self.start_calls(now_us, actions);
            }
            Event::Rank(rank) => {
                if rank < self.settings.member_limit && self.rank >= self.settings.member_limit {
                    self.join_at_us = now_us;
                }
                self.rank = rank;
            }
            Event::Draining => {
                self.draining = true;
                self.update_ownership(now_us, actions);
                actions.push(Action::Leave);
            }
            Event::NotLeft { fault } => {
                // No other gateway becomes the owner before this membership expires, which takes longer after
                // an outage.
                self.leave_at_us = Some(now_us + self.settings.join_interval_ms * US_PER_MS);
                actions.push(Action::Decide(Decision::NotLeft { fault }));
            }
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        if self.draining { self.leave_at_us } else { Some(self.join_at_us.min(self.check_at_us)) }
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.draining {
            if self.leave_at_us.take_if(|due_us| *due_us <= now_us).is_some() {
                actions.push(Action::Leave);
            }
            return;
        }
        if now_us >= self.join_at_us {
            self.join_at_us = now_us + self.settings.join_interval_ms * US_PER_MS;
            if self.rank < self.settings.member_limit {
                let ttl_ms = self.settings.group_ttl_ms;
                actions.push(Action::Join { generation: self.ownership.generation(), ttl_ms });
            }
        }
        if now_us >= self.check_at_us {
            self.update_ownership(now_us, actions);
            self.check(now_us, actions);
            // Only the owner inspects engines, so other gateways check less often.
            let pause_ms =
                if self.was_owner { self.settings.check_interval_ms } else { self.settings.join_interval_ms };
            self.check_at_us = now_us + pause_ms * US_PER_MS;
        }
    }
}
