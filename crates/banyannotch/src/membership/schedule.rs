//! When each endpoint's load report is fetched: spread over the interval, bounded in number, slower when idle.

use super::Action;
use super::policy::Membership;
use super::state::{Known, Standing};
use crate::clock::US_PER_MS;
use crate::ids::EndpointId;
use crate::random::mix;
use crate::table::Table;

/// How long reports are fetched at the busy interval after the last sign of work.
const ACTIVE_US: u64 = 2_000_000;

/// How long a listed endpoint that never answered, or one that was removed, is asked at the busy interval; it may be
/// starting or overloaded.
const HOPEFUL_US: u64 = 10_000_000;

/// Idle endpoints are asked together at multiples of this time, because each wake-up of the thread costs more than the
/// fetch itself.
const IDLE_SLOT_US: u64 = 200_000;

/// The fetches that are under way.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    fetching: Table<EndpointId, Fetch>,
    active_until_us: u64,
}

/// A fetch that is under way.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    started_us: u64,
    /// It uses a slot of the endpoints that did not answer before.
    slow: bool,
}

impl Schedule {
    /// Frees the slot of a fetch and returns when it started.
    pub fn finish(&mut self, id: &EndpointId) -> Option<u64> {
        self.fetching.remove(id).map(|fetch| fetch.started_us)
    }

    fn slow(&self) -> usize {
        self.fetching.iter().filter(|(_, fetch)| fetch.slow).count()
    }
}

impl Membership {
    /// Speeds up the reports of all endpoints when work begins.
    pub(super) fn note_activity(&mut self, now_us: u64) {
        let was_idle = now_us >= self.schedule.active_until_us;
        self.schedule.active_until_us = now_us + ACTIVE_US;
        if !was_idle {
            return;
        }
        let interval_us = self.settings.report_interval_ms * US_PER_MS;
        for (id, known) in self.known.iter_mut() {
            if known.standing == Standing::Live {
                known.due_us = known.due_us.min(now_us + phase_us(id, interval_us));
            }
        }
    }

    /// Sets the time of an endpoint's next report. A newcomer gets its place in the interval from its name, so that
    /// endpoints that joined together are not asked together.
    pub(super) fn plan_next(&mut self, now_us: u64, id: &EndpointId, joined: bool) {
        let active = now_us < self.schedule.active_until_us;
        let settings = &self.settings;
        let Some(known) = self.known.get_mut(id) else { return };
        let new = known.role.is_none();
        let since_us = if new { known.first_seen_us } else { known.removed_us };
        let hopeful = now_us < since_us + HOPEFUL_US;
        let interval_ms = match known.standing {
            Standing::Live if new && hopeful => settings.report_interval_ms,
            Standing::Removed if hopeful => settings.report_interval_ms,
            Standing::Live if new => settings.removed_interval_ms,
            Standing::Removed => settings.removed_interval_ms,
            Standing::Suspected => settings.retry_ms,
            Standing::Live if known.evidence.silences > 0 => settings.retry_ms,
            Standing::Live if active => settings.report_interval_ms,
            Standing::Live => settings.idle_interval_ms,
        };
        let interval_us = interval_ms * US_PER_MS;
        let due_us = now_us + if joined { phase_us(id, interval_us) } else { interval_us };
        let idle = known.standing == Standing::Live && interval_ms == settings.idle_interval_ms;
        known.due_us = if idle { due_us - due_us % IDLE_SLOT_US } else { due_us };
    }

    /// Returns when the next fetch starts, or none when there is no slot or no endpoint for it.
    pub(super) fn next_fetch_us(&self) -> Option<u64> {
        self.candidates(self.schedule.slow() < self.slow_limit()).map(|(_, known)| known.due_us).min()
    }

    /// Starts the fetches that are due. Endpoints that did not answer last time share half of the slots, so that
    /// hanging ones hold up no other.
    pub(super) fn fetch_due(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let mut due: Vec<(u64, EndpointId)> = self
            .candidates(true)
            .filter(|(_, known)| known.due_us <= now_us)
            .map(|(id, known)| (known.due_us, id.clone()))
            .collect();
        due.sort();
        let mut slow_count = self.schedule.slow();
        for (_, id) in due {
            let Some(known) = self.known.get(&id) else { continue };
            let slow = is_slow(known);
            if self.schedule.fetching.len() >= self.settings.fetches_at_once.max(2) {
                break;
            }
            if slow && slow_count >= self.slow_limit() {
                continue;
            }
            slow_count += usize::from(slow);
            actions.push(Action::FetchLoad {
                endpoint: id.clone(),
                address: known.address,
                kind: known.kind,
            });
            self.schedule.fetching.insert(id, Fetch { started_us: now_us, slow });
        }
    }

    fn slow_limit(&self) -> usize {
        (self.settings.fetches_at_once / 2).max(1)
    }

    fn candidates(&self, with_slow: bool) -> impl Iterator<Item = (&EndpointId, &Known)> {
        let room = self.schedule.fetching.len() < self.settings.fetches_at_once.max(2);
        self.known.iter().filter(move |(id, known)| {
            room && (with_slow || !is_slow(known)) && !self.schedule.fetching.contains(id)
        })
    }
}

fn is_slow(known: &Known) -> bool {
    known.evidence.silences > 0 || known.standing == Standing::Removed
}

/// Returns a place within the interval that depends only on the endpoint.
fn phase_us(id: &EndpointId, interval_us: u64) -> u64 {
    let hash = id.instance.as_str().bytes().fold(id.incarnation.0, |hash, byte| mix(hash ^ u64::from(byte)));
    hash.checked_rem(interval_us).unwrap_or(0)
}
