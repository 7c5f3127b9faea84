//! What endpoints announced about themselves in their answers. Unlike an exclusion after a failure, an announcement binds:
//! the endpoint is not used as a last resort either. See "Announcements of endpoints" in `docs/platform.md`.

use std::sync::Arc;

use super::evidence::find_endpoint;
use super::messages::{Action, Decision, EndpointStart};
use super::policy::Dispatch;
use crate::gateway::Endpoint;
use crate::pipeline::Address;
use crate::table::Table;

/// Announcements of one start of an endpoint.
#[derive(Clone, Debug, Default)]
struct Announcement {
    id: Arc<str>,
    born_ms: u64,
    leaving: bool,
}

/// Announcements by the address of the endpoint; there are none for most endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    by_address: Table<Address, Announcement>,
}

impl Announcements {
    /// Returns whether an endpoint takes no requests now.
    pub fn declines(&self, address: &Address) -> bool {
        self.by_address.get(address).is_some_and(|announcement| announcement.leaving)
    }

    /// Returns the number of endpoints that announced their departure.
    pub fn leaving(&self) -> usize {
        self.by_address.iter().filter(|(_, announcement)| announcement.leaving).count()
    }

    /// Drops the announcements of endpoints that started anew or have no entry any more.
    pub fn retain_known(&mut self, endpoints: &[Endpoint]) {
        self.by_address.retain(|address, announcement| {
            find_endpoint(endpoints, *address).is_some_and(|endpoint| {
                endpoint.id == announcement.id && endpoint.born_ms == announcement.born_ms
            })
        });
    }

    fn of(&mut self, start: &EndpointStart) -> &mut Announcement {
        let announcement = self.by_address.entry(start.address);
        if announcement.id != start.id || announcement.born_ms != start.born_ms {
            *announcement =
                Announcement { id: Arc::clone(&start.id), born_ms: start.born_ms, leaving: false };
        }
        announcement
    }
}

impl Dispatch {
    /// Stops sending requests to an endpoint that announced its departure. The catalog records the departure, so that the
    /// layout replaces the engine and a late entry does not revive it.
    pub(super) fn on_leaving(&mut self, start: EndpointStart, actions: &mut Vec<Action>) {
        let is_known = self
            .endpoint_at(start.address)
            .is_some_and(|endpoint| endpoint.id == start.id && endpoint.born_ms == start.born_ms);
        if is_known {
            let announcement = self.announcements.of(&start);
            if announcement.leaving {
                return;
            }
            announcement.leaving = true;
        }
        actions.push(Action::Decide(Decision::Leaving(start.clone())));
        actions.push(Action::Leaving(start));
    }
}
