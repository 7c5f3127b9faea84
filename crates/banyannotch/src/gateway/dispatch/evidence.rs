//! Updates the health of endpoints from answers, time-outs, engine reports and the state of other gateways.

use super::crashes::{Crash, EndSign, SURVIVAL_US, Suspicion, features};
use super::health::Load;
use super::messages::{Action, BrokenBy, Decision, Ending, Helper, PeerState, ProbeResult, Sections};
use super::policy::Dispatch;
use super::quarantine::{Change, Judgement};
use super::tickets::Reservation;
use crate::clock::US_PER_MS;
use crate::gateway::{Endpoint, EngineReport};
use crate::ids::{ServiceId, Zone};
use crate::pipeline::Address;
use crate::table::Table;

/// Weight of a time-out as a failure of each engine on the path, because it does not show which engine or
/// link caused it.
const TIMEOUT_FAILURE_WEIGHT: f64 = 0.5;

/// Number of gateways that must report an endpoint as down, or all if fewer are heard of.
const REPORTER_MIN: usize = 2;

/// Last state received from another gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub last_contact_us: u64,
    pub version: u64,
    pub zone: Zone,
    pub loads: Vec<(Address, Load)>,
    pub down: Vec<Address>,
    pub helper: Option<Helper>,
}

impl Dispatch {
    /// Subtracts the prompt of a request from the load of its engines, which have processed it.
    pub(super) fn on_stream_start(&mut self, now_us: u64, ticket_id: u64, actions: &mut Vec<Action>) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        ticket.begun_us = Some(now_us);
        ticket.has_begun = true;
        let mut answered = Vec::new();
        for (address, load) in &mut ticket.reservation.loads {
            answered.push(*address);
            let processed = Load { reading: std::mem::take(&mut load.reading), ..Load::default() };
            if let Some(health) = self.health.get_mut(address) {
                health.own.remove(&processed);
            }
        }
        for address in answered {
            self.record_answer(now_us, address, actions);
        }
    }

    /// Records the run of a send that ends, or else that the request may have crashed its endpoint.
    pub(super) fn record_progress(
        &mut self,
        now_us: u64,
        ticket_id: u64,
        reservation: &Reservation,
        ending: Ending,
    ) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        let survived_us = match ending {
            Ending::Completed { .. } => Some(ticket.begun_us.unwrap_or(reservation.sent_us)),
            _ => ticket.begun_us.filter(|begun_us| begun_us + SURVIVAL_US <= now_us),
        };
        if let Some(begun_us) = survived_us {
            ticket.has_survived = true;
            self.crashes.record_run(&features(&ticket.request), begun_us, now_us);
        }
        // A request that an endpoint has answered in part is sound.
        if !ticket.has_survived {
            self.record_possible_crash(now_us, ticket_id, reservation, ending);
        }
    }

    /// Records that the endpoints of a send may have crashed under it.
    fn record_possible_crash(
        &mut self,
        now_us: u64,
        ticket_id: u64,
        reservation: &Reservation,
        ending: Ending,
    ) {
        /// Lowest HTTP status of an error that is not the request's.
        const SERVER_ERROR_STATUS: u16 = 500;
        let Some(ticket) = self.tickets.get(&ticket_id) else { return };
        let Some((first, later)) = reservation.loads.split_first() else { return };
        let features = features(&ticket.request);
        let suspicion = match ending {
            Ending::Broken { by: BrokenBy::Connection } => Some(Suspicion::Broken),
            Ending::Broken { by: BrokenBy::Garbled } => Some(Suspicion::Answered),
            Ending::Broken { by: BrokenBy::Silence } => Some(Suspicion::Silent),
            Ending::Failed { status } if status >= SERVER_ERROR_STATUS => Some(Suspicion::Answered),
            _ => None,
        };
        let lost_later = match ending {
            // A quick rejection shows that the engine lacks room.
            Ending::NotRun { fault_at, .. } if self.has_waited_for_path(now_us, reservation) => fault_at,
            _ => None,
        };
        if let Some(suspicion) = suspicion {
            let crash = Crash { address: first.0, born_ms: reservation.born_ms };
            if suspicion == Suspicion::Broken || self.is_running(&crash) {
                self.crashes.record_end(crash, suspicion, ticket_id, features.clone(), now_us);
            }
        }
        for ((address, _), born_ms) in later.iter().zip(&reservation.later_born_ms) {
            let crash = Crash { address: *address, born_ms: *born_ms };
            let is_suspected = suspicion.is_some() || lost_later == Some(*address);
            if is_suspected && self.is_running(&crash) {
                self.crashes.record_end(crash, Suspicion::Silent, ticket_id, features.clone(), now_us);
            }
        }
    }

    /// Returns the starts of the engines after the first one of a path, as Unix times in milliseconds. An engine without an entry
    /// has 0.
    pub(super) fn later_starts(&self, loads: &[(Address, Load)]) -> Vec<u64> {
        let start = |(address, _): &(Address, Load)| {
            self.endpoint_at(*address).map_or(0, |endpoint| endpoint.born_ms)
        };
        loads.iter().skip(1).map(start).collect()
    }

    /// Returns whether an incarnation of an endpoint has an entry and has not announced its departure. If it has ended already, its
    /// end may have been planned.
    fn is_running(&self, crash: &Crash) -> bool {
        let endpoint = self.endpoint_at(crash.address);
        endpoint.is_some_and(|endpoint| endpoint.born_ms == crash.born_ms && !endpoint.leaving)
    }

    /// Returns whether a send has lasted for the time in which engines find others dead.
    fn has_waited_for_path(&self, now_us: u64, reservation: &Reservation) -> bool {
        now_us >= reservation.sent_us + self.settings.stall_limit_min_ms * US_PER_MS
    }

    /// Counts the recent ends of sends to an endpoint, because it was found to be down or to have started anew.
    pub(super) fn confirm_crash(
        &mut self,
        address: Address,
        now_us: u64,
        sign: EndSign,
        actions: &mut Vec<Action>,
    ) {
        if sign.is_connection() && self.reachability.is_in_doubt() {
            return self.reachability.defer(address, sign);
        }
        let broken = self.crashes.confirm(address, sign, now_us);
        let cause = sign.name();
        for same in broken.chunk_by(|left, right| left == right) {
            if let Some(crash) = same.first().copied() {
                let sends = same.len();
                actions.push(Action::Decide(Decision::CrashCounted { crash, cause, sends }));
            }
        }
    }

    /// Probes the endpoints that may have crashed without breaking a connection.
    pub(super) fn probe_suspects(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for address in self.crashes.due_probes(now_us) {
            if self.probes.insert(address, ()).is_none() {
                actions.push(Action::Probe(address));
            }
        }
    }

    /// Records the runs that have begun and survived, and decides which features are quarantined.
    pub(super) fn judge_crashes(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for (_, ticket) in self.tickets.iter_mut() {
            if let Some(begun_us) = ticket.begun_us.take_if(|begun_us| *begun_us + SURVIVAL_US <= now_us) {
                ticket.has_survived = true;
                self.crashes.record_run(&features(&ticket.request), begun_us, now_us);
            }
        }
        self.probe_suspects(now_us, actions);
        for change in self.crashes.judge(now_us, self.known_gateways, &mut self.random) {
            actions.push(Action::Decide(match change {
                Change::Quarantined { feature, by } => {
                    let kind = if feature.is_request() { "request" } else { "part" };
                    let (by, incidents) = match by {
                        Judgement::Own { incidents } => ("crashes", incidents),
                        Judgement::Peer => ("report", 0),
                    };
                    Decision::FeatureQuarantined { digest: feature.digest, kind, by, incidents }
                }
                Change::Released { digest, cause } => Decision::FeatureReleased { digest, cause },
            }));
        }
    }

    /// Records a rejection. An engine that does not hold its layers is excluded. A rejection that names another engine shows
    /// that this one lacks room or, after the time in which engines find others dead, that it may be dead. If gateways
    /// excluded an engine that only lacks room for each other, its whole chain would stand idle while others are overloaded.
    pub(super) fn record_rejection(
        &mut self,
        now_us: u64,
        reservation: &Reservation,
        fault_at: Option<Address>,
        status: u16,
        actions: &mut Vec<Action>,
    ) {
        /// HTTP status of an endpoint that is not the addressed one or does not hold the layers.
        const MISDIRECTED_STATUS: u16 = 421;
        let Some((first, _)) = reservation.loads.first() else { return };
        let faulty = fault_at.unwrap_or(*first);
        if status == MISDIRECTED_STATUS {
            self.suspect(now_us, faulty, "rejected", actions);
            return;
        }
        if fault_at.is_some() && self.has_waited_for_path(now_us, reservation) {
            self.ask_for_report(now_us, faulty, actions);
        }
        let (half_life_ms, pause_ms) = (self.settings.failure_half_life_ms, self.settings.full_pause_ms);
        let health = self.health.entry(faulty);
        health.record_failure(now_us, half_life_ms, 1.0);
        if fault_at.is_some() {
            health.exclude_full(now_us, pause_ms);
            let cause = "full";
            actions.push(Action::Decide(Decision::Excluded { address: faulty, for_ms: pause_ms, cause }));
        }
    }

    /// Records a failure of the first engine after a broken connection or an invalid answer, and of all
    /// engines of the path after a time-out. The first engine is then asked for a report, except after an invalid
    /// answer; the report names the engines that are stalled. After a time-out that is of use only on a path of several.
    pub(super) fn record_broken_answer(
        &mut self,
        now_us: u64,
        reservation: &Reservation,
        by: BrokenBy,
        actions: &mut Vec<Action>,
    ) {
        let Some((first, first_load)) = reservation.loads.first() else { return };
        let half_life_ms = self.settings.failure_half_life_ms;
        match by {
            BrokenBy::Connection => {
                self.health.entry(*first).record_failure(now_us, half_life_ms, 1.0);
                // The report also shows whether an engine that is a path of its own has crashed.
                let is_engine = first_load.sequences > 0;
                if is_engine && self.announcements.hold_off_end_us(first, now_us).is_none() {
                    actions.push(Action::Inspect(*first));
                } else if self.probes.insert(*first, ()).is_none() {
                    actions.push(Action::Probe(*first));
                }
            }
            BrokenBy::Garbled => self.health.entry(*first).record_failure(now_us, half_life_ms, 1.0),
            BrokenBy::Silence => {
                for (address, _) in &reservation.loads {
                    self.health.entry(*address).record_failure(now_us, half_life_ms, TIMEOUT_FAILURE_WEIGHT);
                }
                if reservation.loads.len() > 1 {
                    self.inspect(now_us, *first, actions);
                }
            }
        }
    }

    /// Counts the breaks of an endpoint at whose address nothing listens any more. Its entry would show that only after
    /// several missed heartbeats.
    pub(super) fn on_probe(
        &mut self,
        now_us: u64,
        address: Address,
        result: ProbeResult,
        actions: &mut Vec<Action>,
    ) {
        self.record_reachability(now_us, address, result, actions);
        let was_suspected = self.probes.remove(&address).is_some();
        if was_suspected && result == ProbeResult::Refused {
            self.confirm_crash(address, now_us, EndSign::Refused, actions);
            self.suspect(now_us, address, "refused", actions);
        }
    }

    /// Excludes an endpoint that may have failed, and asks it for a sign of life if it is an engine.
    pub(super) fn suspect(
        &mut self,
        now_us: u64,
        address: Address,
        cause: &'static str,
        actions: &mut Vec<Action>,
    ) {
        if self.reachability.is_cut_off() {
            return;
        }
        let settings = &self.settings;
        let health = self.health.entry(address);
        health.record_failure(now_us, settings.failure_half_life_ms, 1.0);
        let Some(for_ms) = health.suspect(now_us, settings.exclusion_initial_ms, settings.exclusion_max_ms)
        else {
            return;
        };
        actions.push(Action::Decide(Decision::Excluded { address, for_ms, cause }));
        self.ask_for_report(now_us, address, actions);
    }

    /// Requests a report of an engine, unless one is awaited.
    fn ask_for_report(&mut self, now_us: u64, address: Address, actions: &mut Vec<Action>) {
        let is_engine = self.endpoint_at(address).is_some_and(|endpoint| endpoint.accelerator.is_some());
        let is_held_off = self.announcements.hold_off_end_us(&address, now_us).is_some();
        if is_engine && !is_held_off && !self.inspections.contains(&address) {
            self.inspections.insert(address, ());
            actions.push(Action::Inspect(address));
        }
    }

    /// Asks the engines that are down for a sign of life again.
    pub(super) fn check_down(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let interval_ms = self.settings.down_check_interval_ms;
        let due: Vec<Address> = self
            .health
            .iter_mut()
            .filter_map(|(address, health)| health.take_due_check(now_us, interval_ms).then_some(*address))
            .collect();
        for address in due {
            self.ask_for_report(now_us, address, actions);
        }
    }

    /// Excludes an engine that gave no report until it gives one.
    fn record_no_answer(&mut self, now_us: u64, address: Address, actions: &mut Vec<Action>) {
        let for_ms = self.settings.exclusion_max_ms;
        let health = self.health.entry(address);
        health.record_failure(now_us, self.settings.failure_half_life_ms, 1.0);
        if health.record_no_answer(now_us, self.settings.down_check_interval_ms, for_ms) {
            let cause = "no_report";
            actions.push(Action::Decide(Decision::Excluded { address, for_ms, cause }));
        }
    }

    /// Records a sign of life of an endpoint.
    pub(super) fn record_answer(&mut self, now_us: u64, address: Address, actions: &mut Vec<Action>) {
        self.reachability.record_answer(now_us);
        if self.health.entry(address).record_answer(now_us) {
            actions.push(Action::Decide(Decision::Readmitted { address }));
        }
    }

    pub(super) fn on_report(
        &mut self,
        now_us: u64,
        address: Address,
        report: Option<&EngineReport>,
        actions: &mut Vec<Action>,
    ) {
        self.inspections.remove(&address);
        match report {
            None => {
                self.reachability.record_failure(now_us, address);
                self.check_reachability(now_us, actions);
                self.confirm_crash(address, now_us, EndSign::NoReport, actions);
                if !self.reachability.is_cut_off() {
                    self.record_no_answer(now_us, address, actions);
                }
            }
            Some(report) => {
                self.record_answer(now_us, address, actions);
                let known = self.endpoint_at(address);
                // A report without a start time says nothing about a restart.
                if report.born_ms != 0 && known.is_some_and(|endpoint| endpoint.born_ms != report.born_ms) {
                    self.confirm_crash(address, now_us, EndSign::Restarted, actions);
                }
                self.health.entry(address).record_slowdown(now_us, report.pace);
                // The report names an engine once for each request that waits for it.
                let mut stalled = report.stalled.clone();
                stalled.sort_unstable();
                stalled.dedup();
                for engine in stalled {
                    self.suspect(now_us, engine, "stalled", actions);
                }
            }
        }
        self.judge_late_streams(now_us, address, report, actions);
    }

    /// Stores the state of another gateway. Its loads take effect with the next call of
    /// [`Self::update_peer_loads`], because a state arrives for each of many datagrams.
    pub(super) fn update_peer(&mut self, now_us: u64, state: PeerState, known: usize, zone_known: usize) {
        let PeerState {
            instance,
            zone,
            zone_loads,
            other_loads,
            down,
            crash_findings,
            version,
            sections,
            ..
        } = state;
        if instance == self.settings.instance {
            return;
        }
        self.known_gateways = known;
        self.has_heard_of_peers |= version > 0;
        self.zone_gateways.insert(zone.clone(), zone_known);
        self.crashes.update(&crash_findings, now_us, known, &mut self.random);
        let mut loads = other_loads;
        loads.extend(zone_loads);
        let helper = sections.helper;
        self.peers.insert(instance, Peer { last_contact_us: now_us, version, zone, loads, down, helper });
    }

    /// Recomputes the load of the other gateways at each endpoint, without gateways that had no recent contact. The
    /// loads of the gateways with recent contact are extrapolated to all known gateways of their zone.
    pub(super) fn update_peer_loads(&mut self, now_us: u64) {
        let timeout_us = self.settings.peer_timeout_ms * US_PER_MS;
        for (_, health) in self.health.iter_mut() {
            health.peers = Load::default();
        }
        // A gateway counts for the division of the retry budget until a whole window has passed without
        // contact.
        let retention_us = self.settings.retry_window_ms * US_PER_MS;
        self.peers.retain(|_, peer| peer.last_contact_us + retention_us >= now_us);
        let mut recent: Table<&Zone, Vec<&Peer>> = Table::default();
        for (_, peer) in self.peers.iter().filter(|(_, peer)| peer.last_contact_us + timeout_us >= now_us) {
            recent.entry(&peer.zone).push(peer);
        }
        self.zone_gateways.retain(|zone, _| recent.contains(&zone));
        for (zone, peers) in recent.iter() {
            let known = self.zone_gateways.get(zone).copied().unwrap_or_default();
            let scale = known.max(peers.len()) as f64 / peers.len().max(1) as f64;
            for (address, load) in peers.iter().flat_map(|peer| &peer.loads) {
                self.health.entry(*address).peers.add(&load.scaled(scale));
            }
        }
    }

    /// Excludes the endpoints that several other gateways report as down. One gateway may be mistaken, or have lost its own
    /// links, and reports count for less than what this gateway observes. Reports that would exclude most endpoints of a
    /// service exclude none.
    pub(super) fn exclude_reported(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let timeout_us = self.settings.peer_timeout_ms * US_PER_MS;
        let recent: Vec<&Peer> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.last_contact_us + timeout_us >= now_us)
            .map(|(_, peer)| peer)
            .collect();
        let mut reports: Table<Address, usize> = Table::default();
        for address in recent.iter().flat_map(|peer| &peer.down) {
            *reports.entry(*address) += 1;
        }
        let reporter_min = REPORTER_MIN.min(recent.len());
        let mut agreed: Vec<Address> = reports
            .iter()
            .filter(|(_, reporters)| **reporters >= reporter_min)
            .map(|(address, _)| *address)
            .collect();
        let mut services: Table<&ServiceId, (usize, usize)> = Table::default();
        for endpoint in self.endpoints.iter() {
            let (known, reported) = services.entry(&endpoint.service);
            *known += 1;
            *reported += usize::from(agreed.contains(&endpoint.address));
        }
        agreed.retain(|address| {
            let service = self.endpoint_at(*address).and_then(|endpoint| services.get(&&endpoint.service));
            service.is_some_and(|(known, reported)| reported * 2 <= *known)
        });
        let for_ms = self.settings.peer_exclusion_ms;
        for address in agreed {
            let health = self.health.entry(address);
            if !health.has_answered_within(now_us, self.settings.sign_of_life_ms)
                && health.exclude_reported(now_us, for_ms)
            {
                let cause = "reported";
                actions.push(Action::Decide(Decision::Excluded { address, for_ms, cause }));
            }
        }
    }

    pub(super) fn update_endpoints(
        &mut self,
        now_us: u64,
        endpoints: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        let mut endpoints = endpoints.to_vec();
        endpoints.sort_by_key(|endpoint| endpoint.address);
        let mut ended = Vec::new();
        for known in &*self.endpoints {
            let successor = find_endpoint(&endpoints, known.address);
            let restarted = successor
                .is_some_and(|successor| (known.born_ms, &known.id) != (successor.born_ms, &successor.id));
            if restarted && let Some(health) = self.health.get_mut(&known.address) {
                health.reset();
            }
            // An endpoint that announced its departure did not crash.
            let is_planned =
                known.leaving || (!restarted && successor.is_some_and(|successor| successor.leaving));
            if is_planned {
                self.crashes.forget_sends(known.address);
            } else if restarted || successor.is_none() {
                let sign = if restarted { EndSign::EntryChanged } else { EndSign::EntryRemoved };
                ended.push((known.address, sign));
            }
        }
        // The entry of an endpoint that crashed may expire before the one of its next start arrives.
        let returned = self.crashes.suspected().filter(|crash| {
            find_endpoint(&self.endpoints, crash.address).is_none()
                && find_endpoint(&endpoints, crash.address)
                    .is_some_and(|endpoint| endpoint.born_ms != crash.born_ms)
        });
        ended.extend(returned.map(|crash| (crash.address, EndSign::EntryChanged)));
        for (address, sign) in ended {
            self.confirm_crash(address, now_us, sign, actions);
        }
        self.health
            .retain(|address, health| !health.own.is_idle() || find_endpoint(&endpoints, *address).is_some());
        self.announcements.retain_known(&endpoints, now_us);
        self.endpoints = endpoints.into();
    }

    /// Returns the endpoint at an address.
    pub(super) fn endpoint_at(&self, address: Address) -> Option<&Endpoint> {
        find_endpoint(&self.endpoints, address)
    }

    pub(super) fn publish_state(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let in_flight = self.health.iter().filter(|(_, health)| !health.own.is_idle());
        let in_own_zone = |address: Address| {
            self.endpoint_at(address).is_some_and(|endpoint| endpoint.zone.as_str() == self.settings.zone)
        };
        let (zone_loads, other_loads) = in_flight
            .map(|(address, health)| (*address, health.own))
            .partition(|(address, _)| in_own_zone(*address));
        let down = self
            .health
            .iter()
            .filter(|(_, health)| health.is_down(now_us) && !self.reachability.is_in_doubt())
            .map(|(address, _)| *address)
            .collect();
        actions.push(Action::PublishState(Box::new(PeerState {
            instance: self.settings.instance.clone(),
            zone: Zone::from(&*self.settings.zone),
            zone_loads,
            other_loads,
            down,
            crash_findings: self.crashes.findings(now_us, &mut self.random),
            version: self.version(),
            proof_age_ms: self.proof_age_ms(now_us),
            endpoints_change: self.endpoints_proof.position,
            endpoints_age_ms: now_us.saturating_sub(self.endpoints_proof.at_us) / US_PER_MS,
            sections: Sections { store_era: self.store_era, helper: self.own_helper_state(now_us) },
        })));
    }
}

/// Returns the endpoint at an address; the endpoints are sorted by address.
pub(super) fn find_endpoint(endpoints: &[Endpoint], address: Address) -> Option<&Endpoint> {
    let index = endpoints.binary_search_by_key(&address, |endpoint| endpoint.address).ok()?;
    endpoints.get(index)
}
