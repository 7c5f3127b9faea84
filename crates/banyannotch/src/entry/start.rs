//! Starts the listeners and threads of an entry.

use std::net::TcpListener;

use metrics_exporter_prometheus::PrometheusBuilder;

use super::rings::Links;
use super::{EntryError, Result};
use crate::clock::{Clock, SystemClock};
use crate::duty::Supervisor;
use crate::ids::{EndpointId, Incarnation};
use crate::pipeline::Address;
use crate::random::{Random, mix};
use crate::ring::{Doorbell, Sender};
use crate::settings::Settings;
use crate::{
    admission, configuration, execution, intake, ledger, membership, peers, placement, routing, telemetry,
};

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    addresses: Addresses,
    supervisor: Supervisor,
    drained: Doorbell,
    stop: Sender<intake::Event>,
}

/// Addresses that an entry listens on, with the actual port where the settings have port 0.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: Address,
    /// Listener for other entries.
    pub peers: Address,
    /// Listener for operators.
    pub operators: Address,
}

impl Entry {
    /// Starts an entry. Its threads run until the process ends.
    ///
    /// # Errors
    /// Returns [`EntryError`] if a listener cannot be bound, a thread cannot be created, or metrics cannot be
    /// recorded.
    pub fn start(settings: Settings) -> Result<Self> {
        let clock = SystemClock::start();
        let supervisor = Supervisor::default();
        let drained = Doorbell::default();
        let (callers, callers_address) = listen("callers", settings.callers)?;
        let (operators, operators_address) = listen("operators", settings.operators)?;
        let (peers, peers_address) = listen("peers", settings.peers)?;
        let metrics = PrometheusBuilder::new()
            .install_recorder()
            .map_err(|error| EntryError::Metrics(error.to_string()))?;

        let links = Links::connect(&drained);
        let mut seeds = Random::seeded(start_seed(&settings, &clock));
        let own =
            EndpointId { instance: settings.instance.clone(), incarnation: Incarnation(clock.unix_ms()) };
        let s = &supervisor;
        telemetry::spawn(
            s,
            clock,
            links.telemetry,
            operators,
            metrics,
            (settings.instance.to_string(), settings.zone.clone()),
        )?;
        peers::spawn(
            s,
            clock,
            links.peers,
            peers,
            settings.exchange,
            (own.clone(), operators_address),
            settings.known_peers,
        )?;
        ledger::spawn(
            s,
            clock,
            links.ledger,
            settings.ledger,
            settings.instance.clone(),
            settings.log,
            seeds.word(),
        )?;
        execution::spawn(s, clock, links.execution, settings.execution, seeds.word())?;
        routing::spawn(
            s,
            clock,
            links.routing,
            routing::RoutingContext { zone: settings.zone.clone(), settings: settings.routing },
            seeds.word(),
        )?;
        admission::spawn(s, clock, links.admission, settings.admission)?;
        membership::spawn(
            s,
            clock,
            links.membership,
            settings.membership,
            settings.instance_list,
            settings.instance.clone(),
        )?;
        configuration::spawn(
            s,
            clock,
            links.configuration,
            settings.configuration,
            settings.instance,
            settings.log,
            seeds.word(),
        )?;
        placement::spawn(s, clock, links.placement, settings.placement, settings.log, own)?;
        intake::spawn(s, clock, links.intake, callers, settings.intake, seeds.word())?;
        let addresses =
            Addresses { callers: callers_address, peers: peers_address, operators: operators_address };
        Ok(Self { addresses, supervisor, drained, stop: links.stop })
    }

    /// Returns the addresses that the entry listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Begins a graceful shutdown: the entry refuses new requests after a notice period and finishes those in
    /// flight.
    pub fn drain(&mut self) {
        self.stop.send_or_fail(intake::Event::Drain, "daemon_intake", &self.supervisor);
    }

    /// Waits until all requests of a draining entry have been answered.
    pub async fn drained(&self) {
        self.drained.wait().await;
    }

    /// Waits until the thread of a duty has ended. The entry cannot keep its guarantees after that.
    pub async fn failed(&self) {
        self.supervisor.wait().await;
    }
}

/// Returns a random seed that differs between starts, so that identifiers of two starts do not collide.
fn start_seed<C: Clock>(settings: &Settings, clock: &C) -> u64 {
    let name = settings.instance.as_str().bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
    mix(name ^ clock.unix_ms()) ^ mix(u64::from(std::process::id()))
}

fn listen(port: &'static str, address: Address) -> Result<(TcpListener, Address)> {
    let failed = |source| EntryError::Listen { port, address, source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
