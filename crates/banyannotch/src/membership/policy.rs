//! Combines what the list, the endpoints, execution and peers say.

use std::sync::Arc;

use super::state::{Known, MembershipSettings};
use super::{Action, Decision, Endpoint, EndpointKind, Event, Health, Load, Role, Source, Verdict};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::engine::{EngineLoad, ServiceLoad};
use crate::ids::EndpointId;
use crate::platform::{InstanceKind, InstanceState, Instances, ListedInstance};
use crate::table::Table;

/// Reports in a row that may stay away before an endpoint is suspected.
const SILENCE_LIMIT: u32 = 2;

/// The policy of membership.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    known: Table<EndpointId, Known>,
    next_list_us: u64,
    next_reports_us: u64,
}

impl Membership {
    /// Creates the policy of an entry that knows nothing yet.
    pub fn new(settings: MembershipSettings) -> Self {
        Self { settings, known: Table::default(), next_list_us: 0, next_reports_us: 0 }
    }

    fn on_listed(&mut self, now_us: u64, instances: &Instances, actions: &mut Vec<Action>) {
        for listed in &instances.instances {
            self.on_listed_instance(now_us, listed, actions);
        }
    }

    fn on_listed_instance(&mut self, now_us: u64, listed: &ListedInstance, actions: &mut Vec<Action>) {
        let kind = match listed.kind {
            InstanceKind::Engine => EndpointKind::Engine,
            InstanceKind::Service => EndpointKind::Service,
            InstanceKind::Entry => return,
        };
        let id = EndpointId { instance: listed.instance.clone(), incarnation: listed.incarnation };
        if !self.known.contains(&id) {
            self.known.insert(
                id.clone(),
                Known {
                    zone: listed.zone.clone(),
                    address: listed.address,
                    kind,
                    fencing: listed.fencing,
                    role: None,
                    health: Health::Live,
                    load: Load::default(),
                    joined_us: now_us,
                    silences: 0,
                    asked: false,
                },
            );
            self.ask(&id, actions);
        }
        if listed.state == InstanceState::Leaving {
            self.set_leaving(&id, Source::List, actions);
        }
    }

    fn ask(&mut self, id: &EndpointId, actions: &mut Vec<Action>) {
        let Some(known) = self.known.get_mut(id) else { return };
        if !std::mem::replace(&mut known.asked, true) {
            let (address, kind) = (known.address, known.kind);
            actions.push(Action::FetchLoad { endpoint: id.clone(), address, kind });
        }
    }

    fn set_leaving(&mut self, id: &EndpointId, source: Source, actions: &mut Vec<Action>) {
        let Some(known) = self.known.get_mut(id) else { return };
        if known.health != Health::Leaving {
            known.health = Health::Leaving;
            decide(id, Verdict::Leaving, source, actions);
        }
    }

    fn on_engine_report(
        &mut self,
        now_us: u64,
        id: &EndpointId,
        report: &EngineLoad,
        actions: &mut Vec<Action>,
    ) {
        if report.incarnation != id.incarnation {
            self.remove(id, Source::Endpoint, actions);
            return;
        }
        let load = Load {
            running: report.running,
            queued: report.queued,
            step_us: report.step_us,
            prefill_us_per_position: report.prefill_us_per_position,
            cache_used: report.cache_used,
            cache_limit: report.cache_limit,
            taken_us: now_us.saturating_sub(report.age_ms * US_PER_MS),
        };
        let role =
            Role::Engine { model: report.model.clone(), version: report.version, layers: report.layers };
        self.on_answer(id, role, load, report.leaving, actions);
    }

    fn on_service_report(
        &mut self,
        now_us: u64,
        id: &EndpointId,
        report: &ServiceLoad,
        actions: &mut Vec<Action>,
    ) {
        if report.incarnation != id.incarnation {
            self.remove(id, Source::Endpoint, actions);
            return;
        }
        let load = Load { running: report.running, taken_us: now_us, ..Load::default() };
        self.on_answer(id, Role::Service { service: report.service.clone() }, load, report.leaving, actions);
    }

    fn on_answer(
        &mut self,
        id: &EndpointId,
        role: Role,
        load: Load,
        leaving: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.known.get_mut(id) else { return };
        known.asked = false;
        known.silences = 0;
        known.load = load;
        if known.role.replace(role).is_none() {
            decide(id, Verdict::Joined, Source::Endpoint, actions);
        }
        if known.health == Health::Suspected {
            known.health = Health::Live;
            decide(id, Verdict::Cleared, Source::Endpoint, actions);
        }
        if leaving {
            self.set_leaving(id, Source::Endpoint, actions);
        }
    }

    fn on_silence(&mut self, id: &EndpointId, actions: &mut Vec<Action>) {
        let Some(known) = self.known.get_mut(id) else { return };
        known.asked = false;
        known.silences += 1;
        if known.silences >= SILENCE_LIMIT && known.health == Health::Live {
            known.health = Health::Suspected;
            decide(id, Verdict::Suspected, Source::Silence, actions);
        }
    }

    fn on_failed(&mut self, id: &EndpointId, refused: bool, actions: &mut Vec<Action>) {
        if refused {
            self.remove(id, Source::Execution, actions);
            return;
        }
        let Some(known) = self.known.get_mut(id) else { return };
        if known.health == Health::Live {
            known.health = Health::Suspected;
            decide(id, Verdict::Suspected, Source::Execution, actions);
        }
    }

    fn remove(&mut self, id: &EndpointId, source: Source, actions: &mut Vec<Action>) {
        if self.known.remove(id).is_some() {
            decide(id, Verdict::Removed, source, actions);
        }
    }

    fn publish(&self, actions: &mut Vec<Action>) {
        let endpoints: Arc<[Endpoint]> = self
            .known
            .iter()
            .filter_map(|(id, known)| {
                Some(Endpoint {
                    id: id.clone(),
                    zone: known.zone.clone(),
                    address: known.address,
                    role: known.role.clone()?,
                    health: known.health,
                    load: known.load,
                    fencing: known.fencing,
                    joined_us: known.joined_us,
                })
            })
            .collect();
        actions.push(Action::Publish(endpoints));
    }
}

impl Duty for Membership {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Listed(Some(instances)) => self.on_listed(now_us, &instances, actions),
            Event::Listed(None) => return,
            Event::EngineReport { endpoint, report: Some(report) } => {
                self.on_engine_report(now_us, &endpoint, &report, actions);
            }
            Event::ServiceReport { endpoint, report: Some(report) } => {
                self.on_service_report(now_us, &endpoint, &report, actions);
            }
            Event::EngineReport { endpoint, report: None }
            | Event::ServiceReport { endpoint, report: None } => {
                self.on_silence(&endpoint, actions);
            }
            Event::Failed { endpoint, refused } => self.on_failed(&endpoint, refused, actions),
            Event::Observed(_) => return,
        }
        self.publish(actions);
    }

    fn next_timer_us(&self) -> Option<u64> {
        Some(self.next_list_us.min(self.next_reports_us))
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.next_list_us <= now_us {
            self.next_list_us = now_us + self.settings.list_interval_ms * US_PER_MS;
            actions.push(Action::FetchList);
        }
        if self.next_reports_us <= now_us {
            self.next_reports_us = now_us + self.settings.report_interval_ms * US_PER_MS;
            let ids: Vec<EndpointId> = self.known.iter().map(|(id, _)| id.clone()).collect();
            for id in ids {
                self.ask(&id, actions);
            }
        }
    }
}

fn decide(endpoint: &EndpointId, verdict: Verdict, source: Source, actions: &mut Vec<Action>) {
    actions.push(Action::Decide(Decision { endpoint: endpoint.clone(), verdict, source }));
}
