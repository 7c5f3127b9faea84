//! Classes of requests and their ranks.

use crate::gateway::{Configuration, Route, Team};
use crate::ids::ServiceId;
use crate::table::Table;

/// Least urgent priority; higher ones in the configuration are treated as this one.
const LEAST_URGENT_PRIORITY: u8 = 9;
/// Number of ranks that a service can have.
pub(super) const RANK_LIMIT: usize = LEAST_URGENT_PRIORITY as usize + 1;
/// Number of values between the header values of two ranks, so that a step towards more or less urgent requests stays
/// within the rank.
const RANK_STEP: u8 = 2;

/// Class of a request of a classed service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Class {
    /// Position of the class among the classes of the service; 0 is the most urgent.
    pub rank: u8,
}

impl Class {
    /// Returns the priority that engines are told, from 0 (first) to 9. It is one step more urgent for a continued stream
    /// or once half of the objective has elapsed, and less urgent for a request that can no longer meet its objective.
    pub fn wire_priority(self, elapsed_ms: u64, objective_ms: u64, is_continued: bool) -> u8 {
        let usual = self.rank.saturating_mul(RANK_STEP).saturating_add(1).min(LEAST_URGENT_PRIORITY - 1);
        if is_continued {
            usual - 1
        } else if elapsed_ms >= objective_ms {
            usual + 1
        } else if elapsed_ms * 2 >= objective_ms {
            usual - 1
        } else {
            usual
        }
    }
}

/// Priorities of the requests to one service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct ServiceClasses {
    /// Priorities that requests to the service can have, sorted.
    priorities: Vec<u8>,
    /// Whether requests are admitted by class.
    is_classed: bool,
    /// Whether requests without capacity may wait.
    is_enabled: bool,
}

/// Classes of all services in one version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Classes {
    services: Table<ServiceId, ServiceClasses>,
    /// Highest number of a priority that is clamped, if any.
    clamped_priority: Option<u8>,
}

impl Classes {
    /// Returns the classes that a configuration describes.
    pub fn of(configuration: &Configuration) -> Self {
        let mut services = Table::default();
        for service in &configuration.services {
            let (is_classed, is_enabled) =
                (is_classed(configuration, &service.id), is_enabled(configuration, &service.id));
            if is_classed || is_enabled {
                let priorities = possible_priorities(configuration, &service.id);
                services.insert(service.id.clone(), ServiceClasses { priorities, is_classed, is_enabled });
            }
        }
        let routes = configuration.routes.iter().map(|route| route.priority);
        let teams = configuration.teams.iter().filter_map(|team| team.priority);
        let clamped_priority = routes.chain(teams).filter(|priority| *priority > LEAST_URGENT_PRIORITY).max();
        Self { services, clamped_priority }
    }

    /// Returns the class of a request, or none if its service is not classed.
    pub fn class(&self, service: &ServiceId, route: &Route, team: Option<&Team>) -> Option<Class> {
        let classes = self.services.get(service).filter(|classes| classes.is_classed)?;
        let priority = clamp(team.and_then(|team| team.priority).unwrap_or(route.priority));
        let rank = classes.priorities.partition_point(|known| *known < priority);
        Some(Class { rank: u8::try_from(rank).unwrap_or(u8::MAX) })
    }

    /// Returns whether requests to a service that find no capacity may wait.
    pub fn is_enabled(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(|classes| classes.is_enabled)
    }

    /// Returns the services whose requests may wait, with their numbers of ranks.
    pub fn enabled(&self) -> impl Iterator<Item = (&ServiceId, usize)> {
        let enabled = self.services.iter().filter(|(_, classes)| classes.is_enabled);
        enabled.map(|(service, classes)| (service, classes.priorities.len().max(1)))
    }

    /// Returns the highest number of a priority that is treated as the least urgent one, if any is.
    pub fn clamped_priority(&self) -> Option<u8> {
        self.clamped_priority
    }
}

/// Returns whether requests to a service that find no capacity may wait. At present these are the classed services.
pub fn is_enabled(configuration: &Configuration, service: &ServiceId) -> bool {
    is_classed(configuration, service)
}

/// Returns whether routes to the service have different priorities, or teams state priorities that differ from those of
/// the routes.
fn is_classed(configuration: &Configuration, service: &ServiceId) -> bool {
    let mut priorities = routes_to(configuration, service).map(|route| clamp(route.priority));
    let Some(first) = priorities.next() else { return false };
    let has_keyed_route = routes_to(configuration, service).any(|route| knows_teams(configuration, route));
    let is_other =
        |priority: u8| routes_to(configuration, service).all(|route| clamp(route.priority) != priority);
    priorities.any(|priority| priority != first)
        || (has_keyed_route && team_priorities(configuration).any(is_other))
}

/// Returns the priorities that requests to a service can have, sorted.
fn possible_priorities(configuration: &Configuration, service: &ServiceId) -> Vec<u8> {
    let mut priorities = Vec::new();
    for route in routes_to(configuration, service) {
        let uses_route_priority = configuration.teams.iter().any(|team| team.priority.is_none());
        if !knows_teams(configuration, route) || uses_route_priority || configuration.teams.is_empty() {
            priorities.push(clamp(route.priority));
        }
        if knows_teams(configuration, route) {
            priorities.extend(team_priorities(configuration));
        }
    }
    priorities.sort_unstable();
    priorities.dedup();
    priorities
}

fn routes_to<'a>(
    configuration: &'a Configuration,
    service: &'a ServiceId,
) -> impl Iterator<Item = &'a Route> {
    let leads_to = move |route: &&Route| route.targets.iter().any(|target| target.service == *service);
    configuration.routes.iter().filter(leads_to)
}

fn team_priorities(configuration: &Configuration) -> impl Iterator<Item = u8> {
    configuration.teams.iter().filter_map(|team| team.priority).map(clamp)
}

fn knows_teams(configuration: &Configuration, route: &Route) -> bool {
    configuration.keyed && !route.anonymous
}

fn clamp(priority: u8) -> u8 {
    priority.min(LEAST_URGENT_PRIORITY)
}
