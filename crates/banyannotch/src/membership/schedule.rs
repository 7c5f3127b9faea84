//! Schedules the fetches of load reports: spread over the interval, limited in number, and less frequent when
//! idle.

use super::Action;
use super::policy::Membership;
use super::state::{EndpointRecord, Standing};
use crate::clock::US_PER_MS;
use crate::ids::EndpointId;
use crate::random::mix;
use crate::table::Table;

/// Time after the last sign of work for which reports are fetched at `report_interval_ms`.
const ACTIVITY_HOLD_US: u64 = 2_000_000;

/// Time for which a listed endpoint that has not answered yet, or one that was removed, is polled at
/// `report_interval_ms`. It may be starting or overloaded.
const FREQUENT_POLL_US: u64 = 10_000_000;

/// Idle endpoints are polled in groups at multiples of this time, because a wake-up of the thread costs more
/// than the fetch itself.
const IDLE_SLOT_US: u64 = 200_000;

/// Fetches in progress, and the time until which the fleet counts as active.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    fetching: Table<EndpointId, Fetch>,
    active_until_us: u64,
}

/// A fetch in progress.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    started_us: u64,
    /// Whether it uses a slot for endpoints that did not answer before.
    unresponsive: bool,
}

impl Schedule {
    /// Frees the slot of a fetch and returns the time at which the fetch started.
    pub fn finish(&mut self, id: &EndpointId) -> Option<u64> {
        self.fetching.remove(id).map(|fetch| fetch.started_us)
    }

    fn unresponsive(&self) -> usize {
        self.fetching.iter().filter(|(_, fetch)| fetch.unresponsive).count()
    }
}

impl Membership {
    /// Records a sign of work. If the fleet was idle, the next fetches of all live endpoints are moved
    /// forward.
    pub(super) fn note_activity(&mut self, now_us: u64) {
        let was_idle = now_us >= self.schedule.active_until_us;
        self.schedule.active_until_us = now_us + ACTIVITY_HOLD_US;
        if !was_idle {
            return;
        }
        let interval_us = self.settings.report_interval_ms * US_PER_MS;
        for (id, record) in self.endpoints.iter_mut() {
            if record.standing == Standing::Live {
                record.due_us = record.due_us.min(now_us + phase_us(id, interval_us));
            }
        }
    }

    /// Schedules the next fetch of an endpoint's report. The first one after joining gets a phase in the
    /// interval that depends on the endpoint's name, so that endpoints that joined together are not polled
    /// together.
    pub(super) fn schedule_next_fetch(&mut self, now_us: u64, id: &EndpointId, joined: bool) {
        let active = now_us < self.schedule.active_until_us;
        let settings = &self.settings;
        let Some(record) = self.endpoints.get_mut(id) else { return };
        let new = record.role.is_none();
        let since_us = if new { record.first_seen_us } else { record.removed_us };
        let recent = now_us < since_us + FREQUENT_POLL_US;
        let interval_ms = match record.standing {
            Standing::Live if new && recent => settings.report_interval_ms,
            Standing::Removed if recent => settings.report_interval_ms,
            Standing::Live if new => settings.removed_interval_ms,
            Standing::Removed => settings.removed_interval_ms,
            Standing::Suspected => settings.retry_ms,
            Standing::Live if record.evidence.unanswered_fetches > 0 => settings.retry_ms,
            Standing::Live if active => settings.report_interval_ms,
            Standing::Live => settings.idle_interval_ms,
        };
        let interval_us = interval_ms * US_PER_MS;
        let due_us = now_us + if joined { phase_us(id, interval_us) } else { interval_us };
        let idle = record.standing == Standing::Live && interval_ms == settings.idle_interval_ms;
        record.due_us = if idle { due_us - due_us % IDLE_SLOT_US } else { due_us };
    }

    /// Returns the time of the next fetch, or none if there is no free slot or no endpoint to poll.
    pub(super) fn next_fetch_us(&self) -> Option<u64> {
        self.candidates(self.schedule.unresponsive() < self.unresponsive_limit())
            .map(|(_, record)| record.due_us)
            .min()
    }

    /// Starts the due fetches. Endpoints that did not answer last time share half of the slots, so that
    /// hanging ones do not delay the others.
    pub(super) fn fetch_due(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let mut due: Vec<(u64, EndpointId)> = self
            .candidates(true)
            .filter(|(_, record)| record.due_us <= now_us)
            .map(|(id, record)| (record.due_us, id.clone()))
            .collect();
        due.sort();
        let mut unresponsive_count = self.schedule.unresponsive();
        for (_, id) in due {
            let Some(record) = self.endpoints.get(&id) else { continue };
            let unresponsive = is_unresponsive(record);
            if self.schedule.fetching.len() >= self.settings.fetches_at_once.max(2) {
                break;
            }
            if unresponsive && unresponsive_count >= self.unresponsive_limit() {
                continue;
            }
            unresponsive_count += usize::from(unresponsive);
            actions.push(Action::FetchLoad {
                endpoint: id.clone(),
                address: record.address,
                kind: record.kind,
            });
            self.schedule.fetching.insert(id, Fetch { started_us: now_us, unresponsive });
        }
    }

    fn unresponsive_limit(&self) -> usize {
        (self.settings.fetches_at_once / 2).max(1)
    }

    fn candidates(&self, with_unresponsive: bool) -> impl Iterator<Item = (&EndpointId, &EndpointRecord)> {
        let room = self.schedule.fetching.len() < self.settings.fetches_at_once.max(2);
        self.endpoints.iter().filter(move |(id, record)| {
            room && (with_unresponsive || !is_unresponsive(record)) && !self.schedule.fetching.contains(id)
        })
    }
}

fn is_unresponsive(record: &EndpointRecord) -> bool {
    record.evidence.unanswered_fetches > 0 || record.standing == Standing::Removed
}

/// Returns an offset within the interval that depends only on the endpoint.
fn phase_us(id: &EndpointId, interval_us: u64) -> u64 {
    let hash = id.instance.as_str().bytes().fold(id.incarnation.0, |hash, byte| mix(hash ^ u64::from(byte)));
    hash.checked_rem(interval_us).unwrap_or(0)
}
