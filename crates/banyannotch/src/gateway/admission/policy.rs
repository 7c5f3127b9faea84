//! State of priority admission control for all services.

use super::AdmissionSettings;
use super::classes::{Class, Classes};
use super::outcomes::Outcomes;
use crate::gateway::{Configuration, Route, Team};
use crate::ids::ServiceId;
use crate::table::Table;

/// Share of the usual limit of the memory that even the least urgent rank may use, so that many ranks do not leave it
/// without any.
const LEAST_MEMORY_SHARE: f64 = 0.4;

/// State of one classed service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    outcomes: Outcomes,
}

/// Classes of the services, and what this gateway has admitted and refused of each.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    settings: AdmissionSettings,
    classes: Classes,
    services: Table<ServiceId, ServiceState>,
}

impl Admission {
    /// Creates the state without a configuration.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Replaces the settings.
    #[cfg(test)]
    pub fn set_settings(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
    }

    /// Takes over a configuration. Returns the highest priority in it if it is above the largest one.
    pub fn configure(&mut self, configuration: &Configuration) -> Option<u8> {
        self.classes = Classes::of(configuration);
        self.services.retain(|service, _| configuration.service(service).is_some());
        self.classes.clamped_priority()
    }

    /// Returns the class of a request, or none if its service is not classed.
    pub fn class(&self, service: &ServiceId, route: &Route, team: Option<&Team>) -> Option<Class> {
        self.classes.class(service, route, team)
    }

    /// Returns the share of an engine's memory up to which requests of a class are admitted, from the one for requests
    /// without a class. More urgent ranks keep a reserve, which a class that starves may use as well.
    pub fn memory_share(
        &self,
        now_us: u64,
        service: &ServiceId,
        class: Option<Class>,
        unclassed_share: f64,
    ) -> f64 {
        let Some(Class { rank }) = class else { return unclassed_share };
        let reserve =
            f64::from(self.effective_rank(now_us, service, rank)) * self.settings.class_reserve_share;
        (unclassed_share - reserve).max(unclassed_share * LEAST_MEMORY_SHARE)
    }

    /// Counts a request that is sent for the first time.
    pub fn record_admitted(&mut self, now_us: u64, service: &ServiceId, class: Option<Class>) {
        self.record(now_us, service, class, true);
    }

    /// Counts a request that was refused for lack of capacity and was never sent.
    pub fn record_refused(&mut self, now_us: u64, service: &ServiceId, class: Option<Class>) {
        self.record(now_us, service, class, false);
    }

    fn record(&mut self, now_us: u64, service: &ServiceId, class: Option<Class>, is_admitted: bool) {
        let Some(Class { rank }) = class else { return };
        let window_ms = self.settings.starvation_window_ms;
        self.services.entry(service.clone()).outcomes.record(now_us, window_ms, rank, is_admitted);
    }

    /// Returns the rank as which a class is treated: a class that starves counts as the most urgent one.
    fn effective_rank(&self, now_us: u64, service: &ServiceId, rank: u8) -> u8 {
        let window_ms = self.settings.starvation_window_ms;
        let is_starving = self
            .services
            .get(service)
            .is_some_and(|state| state.outcomes.is_starving(now_us, window_ms, rank));
        if is_starving { 0 } else { rank }
    }
}
