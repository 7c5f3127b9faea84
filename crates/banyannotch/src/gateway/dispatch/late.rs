//! Decisions on sends whose answer or next event is late.
//!
//! A silent endpoint may be sound and go on, so silence alone never ends an answer: a send is abandoned only once another
//! endpoint is booked for the request. See "Failures" in `docs/platform.md`.

use std::sync::Arc;

use super::messages::{Action, Decision, Verdict};
use super::policy::Dispatch;
use crate::clock::US_PER_MS;
use crate::gateway::EngineReport;
use crate::pipeline::Address;

impl Dispatch {
    /// Handles an answer that is late. A stream of an engine goes on until the engine's report shows that its path has
    /// stalled, or until its caller would give up. Other endpoints give no reports.
    pub(super) fn on_late_answer(
        &mut self,
        now_us: u64,
        ticket_id: u64,
        report: u32,
        silent_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id).filter(|ticket| !ticket.is_queued) else {
            return;
        };
        ticket.late_report = report;
        let is_overdue =
            !ticket.retry_mode.is_stream() || silent_ms >= self.settings.silence_limit_ms(ticket);
        if !is_overdue || !self.abandon(now_us, ticket_id, "silent", actions) {
            self.request_report(now_us, ticket_id, actions);
        }
    }

    /// Requests a report of the first engine of a late stream, unless the engine wants no requests for a time.
    fn request_report(&mut self, now_us: u64, ticket_id: u64, actions: &mut Vec<Action>) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        let Some((first, load)) = ticket.reservation.loads.first().copied() else { return };
        let is_engine = load.sequences > 0;
        if !is_engine || self.announcements.hold_off_end_us(&first, now_us).is_some() {
            return;
        }
        ticket.is_waiting = true;
        if !self.inspections.contains(&first) {
            self.inspections.insert(first, ());
            actions.push(Action::Inspect(first));
        }
    }

    /// Keeps the current send of a request whose answer goes on.
    pub(super) fn on_resumed_answer(&mut self, ticket_id: u64) {
        let Some(ticket) = self.tickets.get_mut(&ticket_id) else { return };
        ticket.is_waiting = false;
        if let Some(unused) = ticket.successor.take() {
            let service = ticket.service.clone();
            self.cancel_booking(&service, &unused);
        }
    }

    /// Decides on the late streams whose first engine has reported: those that wait for a stalled engine, or whose first
    /// engine does not answer, continue elsewhere. The others are slow but sound.
    pub(super) fn judge_late_streams(
        &mut self,
        now_us: u64,
        address: Address,
        report: Option<&EngineReport>,
        actions: &mut Vec<Action>,
    ) {
        let mut judged = Vec::new();
        for (ticket_id, ticket) in self.tickets.iter_mut().filter(|(_, ticket)| ticket.is_waiting) {
            let loads = &ticket.reservation.loads;
            if loads.first().is_none_or(|(first, _)| *first != address) {
                continue;
            }
            ticket.is_waiting = false;
            let evidence = match report {
                None => "no_report",
                Some(report) if loads.iter().any(|(engine, _)| report.stalled.contains(engine)) => "stalled",
                Some(_) => "sound",
            };
            judged.push((*ticket_id, evidence));
        }
        for (ticket_id, evidence) in judged {
            if evidence == "sound" || !self.abandon(now_us, ticket_id, evidence, actions) {
                self.log_late_answer(ticket_id, false, evidence, actions);
            }
        }
    }

    /// Books another endpoint for the request and then abandons its current send. Returns false, and lets the send go on,
    /// if no other endpoint can take the request.
    fn abandon(
        &mut self,
        now_us: u64,
        ticket_id: u64,
        evidence: &'static str,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(ticket) = self.tickets.get(&ticket_id) else { return false };
        if ticket.successor.is_some() {
            return true;
        }
        let remaining_ms = ticket.deadline_us.saturating_sub(now_us) / US_PER_MS;
        // A proof that expires while the next endpoint is connected would leave the request without any endpoint.
        let is_certain = self.valid_until_us(ticket_id) > now_us + self.settings.connect_limit_ms * US_PER_MS;
        let is_allowed = is_certain
            && ticket.may_abandon(self.settings.send_limit)
            && remaining_ms >= self.settings.min_remaining_ms;
        if !is_allowed {
            return false;
        }
        // A stalled engine is excluded already, and a path with another one in its place may begin at the same engine.
        let silent = ticket.reservation.loads.first().map(|(address, _)| *address);
        let avoided = silent.filter(|_| evidence != "stalled");
        let report = ticket.late_report;
        let Ok(choice) = self.book(now_us, ticket_id, avoided) else { return false };
        if let Some(ticket) = self.tickets.get_mut(&ticket_id) {
            ticket.successor = Some(choice);
        }
        self.log_late_answer(ticket_id, true, evidence, actions);
        actions.push(Action::Reply { ticket: ticket_id, verdict: Verdict::Abandon { report } });
        true
    }

    fn log_late_answer(
        &self,
        ticket_id: u64,
        abandoned: bool,
        evidence: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let Some(ticket) = self.tickets.get(&ticket_id) else { return };
        let Some((address, _)) = ticket.reservation.loads.first().copied() else { return };
        let id = Arc::clone(&ticket.request.id);
        actions.push(Action::Decide(Decision::Judged { id, address, abandoned, evidence }));
    }
}
