//! Requests that wait for capacity before their first send. See `docs/design/priority-admission.md`.
//!
//! The queue is in [`crate::gateway::admission`]. This part asks it for the next request when capacity may have become free, and
//! searches a path for that one only.

use std::sync::Arc;

use super::messages::{Action, AdmissionState, Decision, Ending, RefusalReason};
use super::policy::Dispatch;
use super::tickets::Ticket;
use crate::clock::US_PER_MS;
use crate::gateway::admission::{Offer, Waiting};
use crate::ids::ServiceId;

/// Maximum number of searches for waiting requests at one event. A search among a hundred engines is the most expensive
/// step of a decision.
const SEARCH_LIMIT: usize = 4;
/// Time after which further waiting requests are considered if the limit was reached.
const NEXT_SEARCHES_MS: u64 = 20;

impl Dispatch {
    /// Sends a request that was just submitted, unless requests wait that precede it.
    pub(super) fn send_first(&mut self, now_us: u64, ticket_id: u64, actions: &mut Vec<Action>) {
        let precedes = |request: &Waiting| {
            let ticket = self.tickets.get(&ticket_id);
            ticket.is_none_or(|ticket| self.admission.is_next(now_us, &ticket.service, request))
        };
        if self.waiting_of(ticket_id).is_none_or(|request| precedes(&request)) {
            self.send(now_us, ticket_id, actions);
        } else if !self.wait(now_us, ticket_id, actions) {
            self.refuse(now_us, ticket_id, RefusalReason::NoCapacity, actions);
        }
    }

    /// Lets a request that found no capacity wait. Returns false if it may not or is not expected to be sent in time.
    pub(super) fn wait(&mut self, now_us: u64, ticket_id: u64, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.waiting_of(ticket_id) else { return false };
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return false };
        let (rank, limit_us) = (request.rank, request.limit_us);
        let displaced = match self.admission.offer(now_us, &ticket.service, request) {
            Offer::Refused => return false,
            Offer::Waits => None,
            Offer::Displaces(displaced) => Some(displaced),
        };
        ticket.is_queued = true;
        let limit_ms = limit_us.saturating_sub(now_us) / US_PER_MS;
        let (id, route) = (Arc::clone(&ticket.request.id), Arc::clone(&ticket.route));
        let waiting = self.admission.waiting_count(&ticket.service);
        actions.push(Action::Decide(Decision::Queued { id, route, rank, waiting, limit_ms }));
        if let Some(displaced) = displaced {
            self.refuse(now_us, displaced, RefusalReason::NoCapacity, actions);
        }
        true
    }

    /// Returns the place of a request in the queue, or none if it must not wait: it was sent already, its service has no
    /// queue, its objective is too short, or the process is stopping.
    fn waiting_of(&self, ticket_id: u64) -> Option<Waiting> {
        let ticket = self.tickets.get(&ticket_id)?;
        let may_wait = self.admission.may_wait(&ticket.service, ticket.objective_ms);
        if ticket.sends > 0 || self.draining || !may_wait {
            return None;
        }
        let pipeline = self
            .configuration
            .as_deref()
            .and_then(|configuration| configuration.service(&ticket.service)?.pipeline.as_deref());
        let prompt_ms = pipeline.map_or(0.0, |pipeline| {
            f64::from(ticket.request.prompt_tokens) * 1_000.0 / pipeline.prefill_tokens_per_s.max(1.0)
        });
        let objective_us = ticket.objective_ms * US_PER_MS;
        let answer_by_us = ticket.deadline_us.saturating_sub(self.settings.min_remaining_ms * US_PER_MS);
        let patience_us = self.settings.caller_patience_ms(ticket) * US_PER_MS;
        let latest_us = answer_by_us.min(ticket.arrived_us + patience_us);
        Some(Waiting {
            ticket: ticket_id,
            rank: ticket.class.map_or(0, |class| class.rank),
            team: ticket.team.clone(),
            latest_send_us: (ticket.arrived_us + objective_us)
                .saturating_sub((prompt_ms * US_PER_MS as f64) as u64),
            limit_us: self.admission.limit_us(ticket.arrived_us, objective_us).min(latest_us),
            tokens: ticket.request.total_tokens(),
        })
    }

    /// Sends waiting requests as far as there is capacity for them. Each rank stops at the first request that finds none, and
    /// the ranks after it are considered only if their first request is smaller.
    pub(super) fn release_waiting(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.search_again_us = None;
        let mut searches = 0;
        for service in self.admission.services_with_waiting() {
            // The following ranks may use no more memory, so that a request of this size finds no path there either.
            let mut unplaced_tokens = f64::INFINITY;
            for rank in self.admission.ranks_in_order(now_us, &service) {
                while let Some(&Waiting { ticket, tokens, .. }) = self.admission.first(&service, rank) {
                    if tokens >= unplaced_tokens {
                        break;
                    }
                    if searches == SEARCH_LIMIT {
                        self.search_again_us = Some(now_us + NEXT_SEARCHES_MS * US_PER_MS);
                        return;
                    }
                    searches += 1;
                    match self.book(now_us, ticket, None) {
                        Ok(choice) => self.send_booked(now_us, ticket, choice, actions),
                        Err(RefusalReason::NoCapacity) => unplaced_tokens = tokens,
                        Err(reason) => self.refuse(now_us, ticket, reason, actions),
                    }
                }
            }
        }
    }

    /// Returns when the next waiting request must be answered or considered.
    pub(super) fn next_waiting_us(&self) -> Option<u64> {
        [self.admission.next_limit_us(), self.search_again_us].into_iter().flatten().min()
    }

    /// Refuses the requests that have waited as long as they may, and considers those that the last event left over.
    pub(super) fn update_waiting(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if self.search_again_us.is_some_and(|at_us| at_us <= now_us) {
            self.release_waiting(now_us, actions);
        }
        for ticket_id in self.admission.due(now_us) {
            self.refuse(now_us, ticket_id, RefusalReason::NoCapacity, actions);
        }
    }

    /// Refuses all requests that wait, because the process is stopping.
    pub(super) fn refuse_waiting(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for ticket_id in self.admission.waiting_tickets() {
            self.refuse(now_us, ticket_id, RefusalReason::NoCapacity, actions);
        }
    }

    /// Refuses the waiting requests that a new configuration does not admit, because their key, route or service is gone.
    pub(super) fn readmit_waiting(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for ticket_id in self.admission.waiting_tickets() {
            let Some(ticket) = self.tickets.get(&ticket_id) else { continue };
            let reason = match self.admit(now_us, &ticket.request) {
                Err(reason) => reason,
                Ok((configuration, ..)) if configuration.service(&ticket.service).is_none() => {
                    RefusalReason::NoCapacity
                }
                Ok(_) => continue,
            };
            self.refuse(now_us, ticket_id, reason, actions);
        }
    }

    /// Returns when the caller of a request of a classed service that is refused for lack of capacity is to return.
    pub(super) fn retry_after_capacity_ms(
        &mut self,
        now_us: u64,
        reason: RefusalReason,
        ticket: &Ticket,
    ) -> Option<u64> {
        let (RefusalReason::NoCapacity | RefusalReason::Rejected | RefusalReason::BudgetSpent) = reason
        else {
            return None;
        };
        let class = ticket.class?;
        let remaining_ms = ticket.caller_deadline_us().saturating_sub(now_us) / US_PER_MS;
        let position = self.random.unit();
        let usual_ms = self.settings.retry_after_ms;
        self.admission.return_after_ms(now_us, &ticket.service, Some(class), remaining_ms, usual_ms, position)
    }

    /// Reports the room and the waiting requests of the services whose requests may wait.
    pub(super) fn measure_admission(&self, actions: &mut Vec<Action>) {
        for (service, waiting) in self.admission.waiting_by_rank() {
            let room = self.room(&service);
            actions.push(Action::MeasureAdmission(Box::new(AdmissionState { service, room, waiting })));
        }
    }

    /// Returns the share of the memory of a service's engines that is free, by the known loads.
    fn room(&self, service: &ServiceId) -> Option<f64> {
        let pipeline = self.configuration.as_deref()?.service(service)?.pipeline.as_deref()?;
        let (mut size, mut used) = (0.0, 0.0);
        for engine in self.endpoints.iter().filter(|endpoint| endpoint.service == *service) {
            let kind = engine.accelerator.as_deref().and_then(|name| pipeline.accelerator(name));
            if let (Some(kind), Some(layers)) = (kind, engine.layers) {
                let engine_size = pipeline.cache_size(kind.memory_mb, layers.len());
                let load = self.health.get(&engine.address).map_or(0.0, |health| health.load().cache);
                size += engine_size;
                used += load.min(engine_size);
            }
        }
        (size > 0.0).then(|| 1.0 - used / size)
    }

    /// Lets waiting requests use the capacity that the end of a send has freed. A rejected or broken send frees
    /// nothing that its own retry does not need.
    pub(super) fn on_capacity_freed(&mut self, now_us: u64, ending: Ending, actions: &mut Vec<Action>) {
        if let Ending::Completed { .. } | Ending::Failed { .. } | Ending::Left | Ending::Expired = ending {
            self.release_waiting(now_us, actions);
        }
    }
}
