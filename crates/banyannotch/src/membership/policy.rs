//! Policy of the membership duty: combines the instance list, load reports, failed calls and observations of
//! peers into one endpoint table.

use std::sync::Arc;

use super::schedule::Schedule;
use super::state::{EndpointRecord, Evidence, MembershipSettings, NewestIncarnation, Standing};
use super::{
    Action, Decision, Endpoint, EndpointKind, Event, Load, MissingReportReason, Observation, ObservedState,
    Role, Source, Verdict,
};
use crate::backing::{InstanceKind, InstanceState, Instances, ListedInstance};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::engine::{EngineLoad, ServiceLoad};
use crate::ids::{EndpointId, Incarnation, InstanceId};
use crate::peers::EntryAddress;
use crate::table::Table;

/// Time for which the newest incarnation of an instance is kept after the instance was last listed or
/// reported.
const INCARNATION_RETENTION_US: u64 = 3_600_000_000;

/// Time for which an own observation is announced repeatedly, for entries that missed the first announcement.
const ANNOUNCE_US: u64 = 10_000_000;

/// Interval between repeated announcements.
const ANNOUNCE_INTERVAL_US: u64 = 1_000_000;

/// Time for which peers' reports of death are ignored after the endpoint has answered. Peers repeat an
/// observation, and each repetition would make the endpoint suspected again.
pub(super) const PEER_REPORTS_IGNORED_US: u64 = ANNOUNCE_US + ANNOUNCE_INTERVAL_US;

/// Policy of the membership duty.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) endpoints: Table<EndpointId, EndpointRecord>,
    pub(super) schedule: Schedule,
    own: InstanceId,
    newest_incarnations: Table<InstanceId, NewestIncarnation>,
    entries: Vec<EntryAddress>,
    list_fetch_pending: bool,
    next_list_us: u64,
    next_announce_us: Option<u64>,
    publish_due_us: Option<u64>,
    published_us: u64,
}

/// Load report of an engine or a plain service in a common form.
struct Answer {
    instance: InstanceId,
    incarnation: Incarnation,
    role: Role,
    load: Load,
    batches: u64,
    leaving: bool,
}

impl Membership {
    /// Creates the policy without any endpoints. `own` is the instance of this entry.
    pub fn new(settings: MembershipSettings, own: InstanceId) -> Self {
        Self {
            settings,
            endpoints: Table::default(),
            schedule: Schedule::default(),
            own,
            newest_incarnations: Table::default(),
            entries: Vec::new(),
            list_fetch_pending: false,
            next_list_us: 0,
            next_announce_us: None,
            publish_due_us: None,
            published_us: 0,
        }
    }

    /// Schedules the publication of the table for the end of this batch of events, when the timer runs.
    pub(super) fn publish_now(&mut self) {
        self.publish_due_us = Some(0);
    }

    fn publish_soon(&mut self, now_us: u64) {
        let due_us = (self.published_us + self.settings.publish_interval_ms * US_PER_MS).max(now_us);
        self.publish_due_us = Some(self.publish_due_us.map_or(due_us, |known_us| known_us.min(due_us)));
    }

    fn on_listed(&mut self, now_us: u64, instances: &Instances, actions: &mut Vec<Action>) {
        for listed in &instances.instances {
            self.on_listed_instance(now_us, listed, actions);
        }
        let mut listed_ids: Vec<(&InstanceId, Incarnation)> =
            instances.instances.iter().map(|listed| (&listed.instance, listed.incarnation)).collect();
        listed_ids.sort();
        for (id, record) in self.endpoints.iter_mut() {
            if listed_ids.binary_search(&(&id.instance, id.incarnation)).is_ok() {
                record.missing_since_us = None;
            } else {
                record.missing_since_us.get_or_insert(now_us);
            }
        }
        self.forget_missing(now_us, actions);
        self.update_entries(instances, actions);
    }

    fn on_listed_instance(&mut self, now_us: u64, listed: &ListedInstance, actions: &mut Vec<Action>) {
        let kind = match listed.kind {
            InstanceKind::Engine => EndpointKind::Engine,
            InstanceKind::Service => EndpointKind::Service,
            InstanceKind::Entry => return,
        };
        let id = EndpointId { instance: listed.instance.clone(), incarnation: listed.incarnation };
        if !self.note_incarnation(now_us, &id, actions) {
            return;
        }
        match self.endpoints.get_mut(&id) {
            Some(record) => {
                let moved = record.address != listed.address || record.zone != listed.zone;
                record.address = listed.address;
                record.zone = listed.zone.clone();
                record.fencing = listed.fencing;
                if moved {
                    self.publish_now();
                }
            }
            None => self.insert_listed(now_us, &id, listed, kind),
        }
        if listed.state == InstanceState::Leaving {
            self.set_leaving(now_us, &id, Source::List, actions);
        }
    }

    fn insert_listed(&mut self, now_us: u64, id: &EndpointId, listed: &ListedInstance, kind: EndpointKind) {
        let leaving = self.newest_incarnations.get(&id.instance).is_some_and(|newest| newest.leaving);
        self.endpoints.insert(
            id.clone(),
            EndpointRecord {
                zone: listed.zone.clone(),
                address: listed.address,
                kind,
                fencing: listed.fencing,
                role: None,
                standing: Standing::Live,
                leaving,
                evidence: Evidence::default(),
                load: Load::default(),
                batches: 0,
                joined_us: now_us,
                first_seen_us: now_us,
                last_answer_us: None,
                removed_us: 0,
                missing_since_us: None,
                peer_reports_ignored_until_us: 0,
                announce_until_us: 0,
                due_us: now_us,
            },
        );
    }

    /// Records an incarnation of an instance. Returns false if a newer one is known; otherwise older ones are
    /// removed.
    fn note_incarnation(&mut self, now_us: u64, id: &EndpointId, actions: &mut Vec<Action>) -> bool {
        let newest = self.newest_incarnations.entry(id.instance.clone());
        newest.seen_us = now_us;
        if id.incarnation < newest.incarnation {
            return false;
        }
        if id.incarnation > newest.incarnation {
            *newest = NewestIncarnation { incarnation: id.incarnation, seen_us: now_us, leaving: false };
            self.remove_older(id, actions);
        }
        true
    }

    fn remove_older(&mut self, newest: &EndpointId, actions: &mut Vec<Action>) {
        let mut changed = false;
        self.endpoints.retain(|id, record| {
            let older = id.instance == newest.instance && id.incarnation < newest.incarnation;
            if older && record.standing != Standing::Removed {
                decide(id, Verdict::Removed, Source::Restart, actions);
                changed = true;
            }
            !older
        });
        if changed {
            self.publish_now();
        }
    }

    fn forget_missing(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let limit_us = self.settings.forget_ms * US_PER_MS;
        let long_ago = |since_us: u64| now_us.saturating_sub(since_us) >= limit_us;
        let mut changed = false;
        self.endpoints.retain(|id, record| {
            let silent = long_ago(record.last_answer_us.unwrap_or(record.first_seen_us));
            let forgotten = silent && record.missing_since_us.is_some_and(long_ago);
            if forgotten {
                decide(id, Verdict::Forgotten, Source::List, actions);
                changed = true;
            }
            !forgotten
        });
        self.newest_incarnations
            .retain(|_, newest| now_us.saturating_sub(newest.seen_us) < INCARNATION_RETENTION_US);
        if changed {
            self.publish_now();
        }
    }

    fn update_entries(&mut self, instances: &Instances, actions: &mut Vec<Action>) {
        let mut entries: Vec<EntryAddress> = instances
            .instances
            .iter()
            .filter(|listed| listed.kind == InstanceKind::Entry && listed.instance != self.own)
            .map(|listed| EntryAddress {
                entry: EndpointId { instance: listed.instance.clone(), incarnation: listed.incarnation },
                address: listed.address,
            })
            .collect();
        // The newest incarnation of each instance is sorted first, so that it is the one that is kept.
        entries.sort_by(|a, b| {
            (&a.entry.instance, b.entry.incarnation).cmp(&(&b.entry.instance, a.entry.incarnation))
        });
        entries.dedup_by(|later, first| later.entry.instance == first.entry.instance);
        if entries != self.entries {
            self.entries.clone_from(&entries);
            actions.push(Action::Entries(entries));
        }
    }

    pub(super) fn set_leaving(
        &mut self,
        now_us: u64,
        id: &EndpointId,
        source: Source,
        actions: &mut Vec<Action>,
    ) {
        if let Some(newest) = self.newest_incarnations.get_mut(&id.instance)
            && newest.incarnation == id.incarnation
        {
            newest.leaving = true;
        }
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if std::mem::replace(&mut record.leaving, true) {
            return;
        }
        decide(id, Verdict::Leaving, source, actions);
        if source != Source::Peer {
            self.announce(now_us, id, ObservedState::Leaving, actions);
        }
        self.publish_now();
    }

    /// Announces an own observation to the peers. Observations of peers are not forwarded, so that one
    /// observation is never counted twice.
    pub(super) fn announce(
        &mut self,
        now_us: u64,
        id: &EndpointId,
        state: ObservedState,
        actions: &mut Vec<Action>,
    ) {
        if let Some(record) = self.endpoints.get_mut(id) {
            record.announce_until_us = now_us + ANNOUNCE_US;
            self.next_announce_us.get_or_insert(now_us + ANNOUNCE_INTERVAL_US);
        }
        actions.push(Action::Announce(vec![Observation { endpoint: id.clone(), state }]));
    }

    fn repeat_announcements(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let observations: Vec<Observation> = self
            .endpoints
            .iter()
            .filter(|(_, record)| now_us < record.announce_until_us)
            .filter_map(|(id, record)| {
                let state = match (record.leaving, record.evidence.has_own()) {
                    (true, _) => ObservedState::Leaving,
                    (false, true) => ObservedState::Dead,
                    (false, false) => return None,
                };
                Some(Observation { endpoint: id.clone(), state })
            })
            .collect();
        self.next_announce_us = None;
        if !observations.is_empty() {
            actions.push(Action::Announce(observations));
            self.next_announce_us = Some(now_us + ANNOUNCE_INTERVAL_US);
        }
    }

    fn on_report(&mut self, now_us: u64, polled: &EndpointId, answer: Answer, actions: &mut Vec<Action>) {
        let started_us = self.schedule.finish(polled).unwrap_or(now_us);
        if answer.instance != polled.instance {
            // Another instance took over the address, so the polled endpoint is gone.
            self.remove(now_us, polled, Source::Endpoint, actions);
            self.schedule_next_fetch(now_us, polled, false);
            return;
        }
        let id = EndpointId { instance: answer.instance.clone(), incarnation: answer.incarnation };
        if answer.incarnation < polled.incarnation {
            // The older process still listens on the address; the newer one has not answered.
            self.on_no_report(now_us, polled, started_us, MissingReportReason::Silence, actions);
            return;
        }
        let before = self.endpoints.get(polled).cloned();
        if !self.note_incarnation(now_us, &id, actions) {
            return;
        }
        if !self.endpoints.contains(&id) {
            let Some(before) = before else { return };
            let leaving = self.newest_incarnations.get(&id.instance).is_some_and(|newest| newest.leaving);
            let restarted = EndpointRecord {
                role: None,
                standing: Standing::Live,
                leaving,
                evidence: Evidence::default(),
                batches: 0,
                first_seen_us: now_us,
                last_answer_us: None,
                removed_us: 0,
                missing_since_us: None,
                peer_reports_ignored_until_us: 0,
                announce_until_us: 0,
                ..before
            };
            self.endpoints.insert(id.clone(), restarted);
        }
        self.on_answer(now_us, &id, answer, actions);
    }

    fn on_answer(&mut self, now_us: u64, id: &EndpointId, answer: Answer, actions: &mut Vec<Action>) {
        self.clear_evidence(now_us, id, actions);
        let Some(record) = self.endpoints.get_mut(id) else { return };
        let worked = record.role.is_some() && answer.batches != record.batches;
        let busy = answer.load.running + answer.load.queued > 0;
        let figures_changed = busy || Load { taken_us: record.load.taken_us, ..answer.load } != record.load;
        record.load = answer.load;
        record.batches = answer.batches;
        let joined = record.role.is_none();
        let role_changed = record.role.as_ref() != Some(&answer.role);
        record.role = Some(answer.role);
        if joined {
            record.joined_us = now_us;
            let verdict = if record.leaving { Verdict::Leaving } else { Verdict::Joined };
            decide(id, verdict, Source::Endpoint, actions);
        }
        if role_changed {
            self.publish_now();
        } else if figures_changed {
            self.publish_soon(now_us);
        }
        if answer.leaving {
            self.set_leaving(now_us, id, Source::Endpoint, actions);
        }
        if busy || worked {
            self.note_activity(now_us);
        }
        self.schedule_next_fetch(now_us, id, joined);
    }

    fn on_observed(&mut self, now_us: u64, observations: &[Observation], actions: &mut Vec<Action>) {
        for Observation { endpoint, state } in observations {
            if !self.note_incarnation(now_us, endpoint, actions) {
                continue;
            }
            match state {
                ObservedState::Leaving => self.set_leaving(now_us, endpoint, Source::Peer, actions),
                ObservedState::Dead => self.on_peer_reported_dead(now_us, endpoint, actions),
            }
        }
    }

    fn publish(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let endpoints: Arc<[Endpoint]> = self
            .endpoints
            .iter()
            .filter_map(|(id, record)| {
                Some(Endpoint {
                    id: id.clone(),
                    zone: record.zone.clone(),
                    address: record.address,
                    role: record.role.clone()?,
                    health: record.health()?,
                    load: record.load,
                    fencing: record.fencing,
                    joined_us: record.joined_us,
                })
            })
            .collect();
        self.published_us = now_us;
        self.publish_due_us = None;
        actions.push(Action::Publish(endpoints));
    }
}

impl Duty for Membership {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Listed(instances) => {
                self.list_fetch_pending = false;
                if let Some(instances) = instances {
                    self.on_listed(now_us, &instances, actions);
                }
            }
            Event::EngineReport { endpoint, report } => {
                self.on_report(now_us, &endpoint, engine_answer(now_us, report), actions);
            }
            Event::ServiceReport { endpoint, report } => {
                self.on_report(now_us, &endpoint, service_answer(now_us, report), actions);
            }
            Event::NoReport { endpoint, reason } => {
                let started_us = self.schedule.finish(&endpoint).unwrap_or(now_us);
                self.on_no_report(now_us, &endpoint, started_us, reason, actions);
            }
            Event::Failed { endpoint, refused } => {
                self.note_activity(now_us);
                self.on_failed(now_us, &endpoint, refused, actions);
            }
            Event::Observed(observations) => self.on_observed(now_us, &observations, actions),
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        let list_us = (!self.list_fetch_pending).then_some(self.next_list_us);
        [list_us, self.next_announce_us, self.publish_due_us, self.next_fetch_us()]
            .into_iter()
            .flatten()
            .min()
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if !self.list_fetch_pending && self.next_list_us <= now_us {
            self.list_fetch_pending = true;
            self.next_list_us = now_us + self.settings.list_interval_ms * US_PER_MS;
            actions.push(Action::FetchList);
        }
        if self.next_announce_us.is_some_and(|due_us| due_us <= now_us) {
            self.repeat_announcements(now_us, actions);
        }
        self.fetch_due(now_us, actions);
        if self.publish_due_us.is_some_and(|due_us| due_us <= now_us) {
            self.publish(now_us, actions);
        }
    }
}

fn engine_answer(now_us: u64, report: EngineLoad) -> Answer {
    let load = Load {
        running: report.running,
        queued: report.queued,
        step_us: report.step_us,
        prefill_us_per_position: report.prefill_us_per_position,
        cache_used: report.cache_used,
        cache_limit: report.cache_limit,
        taken_us: now_us.saturating_sub(report.age_ms.saturating_mul(US_PER_MS)),
    };
    Answer {
        instance: report.instance,
        incarnation: report.incarnation,
        role: Role::Engine { model: report.model, version: report.version, layers: report.layers },
        load,
        batches: report.batches,
        leaving: report.leaving,
    }
}

fn service_answer(now_us: u64, report: ServiceLoad) -> Answer {
    Answer {
        instance: report.instance,
        incarnation: report.incarnation,
        role: Role::Service { service: report.service },
        load: Load { running: report.running, taken_us: now_us, ..Load::default() },
        batches: 0,
        leaving: report.leaving,
    }
}

pub(super) fn decide(endpoint: &EndpointId, verdict: Verdict, source: Source, actions: &mut Vec<Action>) {
    actions.push(Action::Decide(Decision { endpoint: endpoint.clone(), verdict, source }));
}
