//! What endpoints announced about themselves in their answers. Unlike an exclusion after a failure, an announcement binds:
//! the endpoint is not used as a last resort either. See "Announcements of endpoints" in `docs/platform.md`.

use std::sync::Arc;

use super::evidence::find_endpoint;
use super::messages::{Action, Decision, EndpointStart, RefusalReason};
use super::policy::Dispatch;
use super::tickets::Ticket;
use crate::clock::US_PER_MS;
use crate::gateway::Endpoint;
use crate::ids::ServiceId;
use crate::pipeline::{Address, LayerRange};
use crate::table::Table;

/// Longest hold-off, in milliseconds. A longer one is taken for a fault of the endpoint, because one wrong value would
/// take it out of use for as long as it runs.
const HOLD_OFF_LIMIT_MS: u64 = 3_600_000;
/// Callers wait as long as they are told up to this part of the time that they have left.
const CALLER_WAIT_DIVISOR: u64 = 3;

/// Announcements of one start of an endpoint.
#[derive(Clone, Debug, Default)]
struct Announcement {
    id: Arc<str>,
    born_ms: u64,
    leaving: bool,
    hold_off_until_us: u64,
}

/// Announcements by the address of the endpoint; there are none for most endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    by_address: Table<Address, Announcement>,
}

impl Announcements {
    /// Returns whether an endpoint takes no requests at the given time.
    pub fn declines(&self, address: &Address, at_us: u64) -> bool {
        self.by_address
            .get(address)
            .is_some_and(|announcement| announcement.leaving || at_us < announcement.hold_off_until_us)
    }

    /// Returns when an endpoint wants requests again, if it asked for none until after the given time.
    pub fn hold_off_end_us(&self, address: &Address, now_us: u64) -> Option<u64> {
        let end_us = self.by_address.get(address)?.hold_off_until_us;
        (now_us < end_us).then_some(end_us)
    }

    /// Returns the number of endpoints that announced their departure.
    pub fn leaving(&self) -> usize {
        self.by_address.iter().filter(|(_, announcement)| announcement.leaving).count()
    }

    /// Drops the announcements of endpoints that started anew, and of those without an entry and hold-off. An entry may
    /// return before the hold-off ends.
    pub fn retain_known(&mut self, endpoints: &[Endpoint], now_us: u64) {
        self.by_address.retain(|address, announcement| match find_endpoint(endpoints, *address) {
            Some(endpoint) => endpoint.id == announcement.id && endpoint.born_ms == announcement.born_ms,
            None => now_us < announcement.hold_off_until_us,
        });
    }

    fn of(&mut self, start: &EndpointStart) -> &mut Announcement {
        let announcement = self.by_address.entry(start.address);
        if announcement.id != start.id || announcement.born_ms != start.born_ms {
            *announcement =
                Announcement { id: Arc::clone(&start.id), born_ms: start.born_ms, ..Announcement::default() };
        }
        announcement
    }
}

impl Dispatch {
    /// Stops sending requests to an endpoint that announced its departure. The catalog records the departure, so that the
    /// layout replaces the engine and a late entry does not revive it.
    pub(super) fn on_leaving(&mut self, start: EndpointStart, actions: &mut Vec<Action>) {
        if !self.is_replaced(&start) {
            let announcement = self.announcements.of(&start);
            if announcement.leaving {
                return;
            }
            announcement.leaving = true;
        }
        actions.push(Action::Decide(Decision::Leaving(start.clone())));
        actions.push(Action::Leaving(start));
    }

    /// Sends no requests for a time to an endpoint that asked for none, nor to the engine that its rejection names, because
    /// either may be the one that wants none.
    pub(super) fn on_hold_off(
        &mut self,
        now_us: u64,
        start: EndpointStart,
        fault_at: Option<Address>,
        for_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let for_ms = for_ms.min(HOLD_OFF_LIMIT_MS);
        let named = fault_at.and_then(|address| self.endpoint_at(address)).map(EndpointStart::of);
        for start in std::iter::once(start).chain(named) {
            if self.is_replaced(&start) {
                continue;
            }
            let announcement = self.announcements.of(&start);
            let until_us = now_us + for_ms * US_PER_MS;
            if announcement.hold_off_until_us < until_us {
                announcement.hold_off_until_us = until_us;
                actions.push(Action::Decide(Decision::HeldOff { address: start.address, for_ms }));
            }
        }
    }

    /// Returns whether another start is known at the address of an endpoint.
    fn is_replaced(&self, start: &EndpointStart) -> bool {
        self.endpoint_at(start.address).is_some_and(|endpoint| EndpointStart::of(endpoint) != *start)
    }

    /// Requests a report of an engine, unless the engine wants no requests for a time.
    pub(super) fn inspect(&self, now_us: u64, address: Address, actions: &mut Vec<Action>) {
        if self.announcements.hold_off_end_us(&address, now_us).is_none() {
            actions.push(Action::Inspect(address));
        }
    }

    /// Returns when a caller may retry a request that is refused while the endpoints of its service take no requests.
    pub(super) fn retry_after_hold_off_ms(
        &self,
        now_us: u64,
        reason: RefusalReason,
        ticket: &Ticket,
    ) -> Option<u64> {
        let (RefusalReason::NoCapacity | RefusalReason::Rejected | RefusalReason::BudgetSpent) = reason
        else {
            return None;
        };
        let served_us = self.next_served_us(now_us, &ticket.service)?;
        let longest_us = ticket.caller_deadline_us().saturating_sub(now_us) / CALLER_WAIT_DIVISOR;
        Some((served_us - now_us).min(longest_us).div_ceil(US_PER_MS))
    }

    /// Returns when enough hold-offs of the endpoints of a service have ended to serve a request; none if that is so now,
    /// or if the remaining endpoints are leaving.
    fn next_served_us(&self, now_us: u64, service: &ServiceId) -> Option<u64> {
        let staying: Vec<&Endpoint> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.service == *service && !endpoint.leaving)
            .collect();
        let pipeline = self.configuration.as_deref()?.service(service)?.pipeline.as_deref();
        let is_served = |at_us: u64| {
            let mut taking =
                staying.iter().filter(|endpoint| !self.announcements.declines(&endpoint.address, at_us));
            match pipeline {
                None => taking.next().is_some(),
                Some(pipeline) => hold_all(pipeline.layers, taking.filter_map(|engine| engine.layers)),
            }
        };
        let mut ends_us: Vec<u64> = staying
            .iter()
            .filter_map(|endpoint| self.announcements.hold_off_end_us(&endpoint.address, now_us))
            .collect();
        if ends_us.is_empty() || is_served(now_us) {
            return None;
        }
        ends_us.sort_unstable();
        ends_us.get(ends_us.partition_point(|end_us| !is_served(*end_us))).copied()
    }
}

/// Returns whether ranges together contain all layers of a model.
fn hold_all(layers: u16, ranges: impl Iterator<Item = LayerRange>) -> bool {
    let mut ranges: Vec<LayerRange> = ranges.collect();
    ranges.sort_unstable_by_key(|range| range.begin);
    let mut end = 0;
    for range in ranges.iter().filter(|range| !range.is_empty()) {
        if range.begin > end {
            return false;
        }
        end = end.max(range.end);
    }
    end >= layers
}
