//! Starts a gateway: opens its listeners and connects the threads of its duties by rings.

use std::net::{TcpListener, UdpSocket};

use metrics_exporter_prometheus::PrometheusBuilder;

use super::admission::AdmissionSettings;
use super::catalog::CatalogSettings;
use super::dispatch::DispatchSettings;
use super::gossip::GossipSettings;
use super::layout::LayoutSettings;
use super::limits::{buffer_limits, caller_limits, connection_limits};
use super::{Dialect, EngineControl, GatewayError, GatewaySettings, Result, Store};
use super::{catalog, dispatch, forwarding, gossip, journal, layout};
use crate::caller_memory::SocketBuffers;
use crate::clock::{BootClock, Clock};
use crate::duty::Supervisor;
use crate::pipeline::Address;
use crate::random::mix;
use crate::ring::{Doorbell, Sender, link};

const MS_PER_S: f64 = 1_000.0;
/// Capacity of a ring, in items. It covers everything that a gateway has in flight.
const RING_CAPACITY: usize = 1_024;
/// Items that a sender may hold back while its ring is full. They cover everything that a gateway has in flight.
const HELD_LIMIT: usize = 65_536;
/// Capacity of the ring that passes the state of dispatch to gossip, in items. Gossip uses only the newest state.
const STATE_RING_CAPACITY: usize = 4;
/// Number of reads of the endpoint entries within `drain_ms`, so that a draining endpoint is detected in time.
const ENDPOINT_READS_PER_DRAIN: u64 = 4;

/// Share of `config_apply_ms` for which the reader's read waits for a change. The proof that follows it takes less than
/// the rest of the fallback age to reach all gateways.
const CONFIGURATION_WAIT_SHARE: f64 = 0.3;
/// Share of `config_apply_ms` at which a gateway that gets no proof from others reads the configuration itself. The rest
/// is for the read and its delay.
const CONFIGURATION_FALLBACK_SHARE: f64 = 0.7;
/// Share of `drain_ms` at which a gateway that gets no proof from others reads the endpoints itself.
const ENDPOINTS_FALLBACK_SHARE: f64 = 0.6;
/// Time after the start in which a gateway that is no seed gets a snapshot from a peer, in milliseconds.
const START_WAIT_MS: u64 = 1_000;
/// Time from the fallback age until the read that it leads to was sent, in milliseconds, with its random delay.
const FALLBACK_READ_MS: u64 = 600;

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    supervisor: Supervisor,
    drained: Doorbell,
    forwarding: Sender<forwarding::Event>,
    dispatch: Sender<dispatch::Event>,
    layout: Sender<layout::Event>,
}

impl Gateway {
    /// Starts a gateway, whose threads run until the process ends. `clients` creates the clients that a thread uses.
    ///
    /// A listener with port 0 gets a free port, which is logged.
    ///
    /// # Errors
    /// Returns [`GatewayError`] if a listener, a thread or the metrics recorder cannot be created.
    pub fn start<D, S, E>(
        settings: &GatewaySettings,
        dialect: D,
        clients: impl Fn() -> (S, E) + Clone + Send + 'static,
    ) -> Result<Self>
    where
        D: Dialect,
        S: Store,
        E: EngineControl,
    {
        let clock = BootClock;
        let supervisor = Supervisor::default();
        let drained = Doorbell::default();
        let listeners = forwarding::Listeners {
            callers: listen("callers", settings.callers)?,
            readiness: listen("readiness", settings.readiness)?,
            handoffs: settings.handoffs.map(|address| listen("handoffs", address)).transpose()?,
        };
        let handoff_address = listeners.handoffs.as_ref().map(TcpListener::local_addr).transpose()?;
        let metrics_listener = listen("metrics", settings.metrics)?;
        let (socket, exchange_listener) = bind_peers(settings.peers)?;
        SocketBuffers::new(buffer_limits(settings)).limit_receive(&exchange_listener);
        let peers = socket.local_addr()?;
        log::info!(
            "event=listening callers={} readiness={} peers={peers} metrics={} handoffs={}",
            listeners.callers.local_addr()?,
            listeners.readiness.local_addr()?,
            metrics_listener.local_addr()?,
            handoff_address.map_or("none".to_owned(), |address| address.to_string())
        );
        let metrics = PrometheusBuilder::new()
            .install_recorder()
            .map_err(|error| GatewayError::Metrics(error.to_string()))?;

        let bells: [Doorbell; 5] = Default::default();
        let [forwarding_bell, dispatch_bell, catalog_bell, layout_bell, gossip_bell] = &bells;
        let ring = |from: &Doorbell, to: &Doorbell| link(RING_CAPACITY, HELD_LIMIT, from, to);
        let (forwarding_to_dispatch, from_forwarding) = ring(forwarding_bell, dispatch_bell);
        let (catalog_to_dispatch, from_catalog) = ring(catalog_bell, dispatch_bell);
        let (gossip_to_dispatch, from_gossip) = ring(gossip_bell, dispatch_bell);
        let (daemon_to_dispatch, from_daemon) = ring(&drained, dispatch_bell);
        let (dispatch_to_forwarding, verdicts) =
            link(RING_CAPACITY, HELD_LIMIT, dispatch_bell, forwarding_bell);
        let (catalog_to_forwarding, limits) = link(RING_CAPACITY, HELD_LIMIT, catalog_bell, forwarding_bell);
        let (daemon_to_forwarding, stop_signals) = link(RING_CAPACITY, HELD_LIMIT, &drained, forwarding_bell);
        let (catalog_to_layout, layout_from_catalog) =
            link(RING_CAPACITY, HELD_LIMIT, catalog_bell, layout_bell);
        let (daemon_to_layout, layout_from_daemon) = link(RING_CAPACITY, HELD_LIMIT, &drained, layout_bell);
        let (gossip_to_layout, layout_from_gossip) =
            link(RING_CAPACITY, HELD_LIMIT, gossip_bell, layout_bell);
        let (dispatch_to_catalog, departures) = link(RING_CAPACITY, HELD_LIMIT, dispatch_bell, catalog_bell);
        let (layout_to_catalog, eras) = link(RING_CAPACITY, HELD_LIMIT, layout_bell, catalog_bell);
        let (gossip_to_catalog, peer_updates) = link(RING_CAPACITY, HELD_LIMIT, gossip_bell, catalog_bell);
        let (catalog_to_gossip, changes) = link(RING_CAPACITY, HELD_LIMIT, catalog_bell, gossip_bell);
        let (dispatch_to_gossip, states) =
            link(STATE_RING_CAPACITY, STATE_RING_CAPACITY, dispatch_bell, gossip_bell);

        let seed = start_seed(settings, &clock);
        journal::spawn(&supervisor, metrics_listener, metrics)?;
        gossip::spawn(
            &supervisor,
            clock,
            gossip::Links {
                bell: gossip_bell.clone(),
                inbound: states,
                changes,
                dispatch: gossip_to_dispatch,
                catalog: gossip_to_catalog,
                layout: gossip_to_layout,
            },
            GossipSettings::default(),
            (socket, peers),
            settings.seeds.clone(),
            seed,
        )?;
        let control = clients.clone();
        dispatch::spawn(
            &supervisor,
            clock,
            dispatch::Links {
                bell: dispatch_bell.clone(),
                inbound: vec![from_forwarding, from_catalog, from_gossip, from_daemon],
                forwarding: dispatch_to_forwarding,
                catalog: dispatch_to_catalog,
                gossip: dispatch_to_gossip,
            },
            DispatchSettings { handoff_address, ..dispatch_settings(settings, peers) },
            seed,
            move || control().1,
        )?;
        let group_clients = clients.clone();
        layout::spawn(
            &supervisor,
            clock,
            layout::Links {
                bell: layout_bell.clone(),
                inbound: vec![layout_from_catalog, layout_from_gossip, layout_from_daemon],
                catalog: layout_to_catalog,
            },
            layout_settings(settings),
            settings.instance.clone(),
            group_clients,
        )?;
        catalog::spawn(
            &supervisor,
            clock,
            catalog::Links {
                bell: catalog_bell.clone(),
                inbound: vec![peer_updates, departures, eras],
                dispatch: catalog_to_dispatch,
                layout: catalog_to_layout,
                forwarding: catalog_to_forwarding,
                gossip: catalog_to_gossip,
            },
            catalog_settings(settings, peers),
            exchange_listener,
            seed,
            move || clients().0,
        )?;
        forwarding::spawn(
            &supervisor,
            clock,
            forwarding::Links {
                bell: forwarding_bell.clone(),
                inbound: vec![verdicts, limits, stop_signals],
                dispatch: forwarding_to_dispatch,
                drained: drained.clone(),
            },
            listeners,
            dialect,
            forwarding::ForwardingSettings {
                grace_ms: (settings.grace_s * MS_PER_S) as u64,
                connections: connection_limits(settings),
                config_apply_ms: settings.config_apply_ms,
                callers: caller_limits(settings),
                buffers: buffer_limits(settings),
            },
        )?;
        Ok(Self {
            supervisor,
            drained,
            forwarding: daemon_to_forwarding,
            dispatch: daemon_to_dispatch,
            layout: daemon_to_layout,
        })
    }

    /// Starts a graceful shutdown.
    pub fn drain(&mut self) {
        // Dispatch withdraws readiness. Once that is visible, responses must close their connections already.
        self.forwarding.send_or_fail(forwarding::Event::Drain, "daemon_forwarding", &self.supervisor);
        self.dispatch.send_or_fail(dispatch::Event::Draining, "daemon_dispatch", &self.supervisor);
        self.layout.send_or_fail(layout::Event::Draining, "daemon_layout", &self.supervisor);
    }

    /// Waits until a draining gateway has answered all its requests.
    pub async fn drained(&self) {
        self.drained.wait().await;
    }

    /// Waits until the thread of a duty has ended. The gateway can then no longer meet its guarantees.
    pub async fn failed(&self) {
        self.supervisor.wait().await;
    }
}

fn dispatch_settings(settings: &GatewaySettings, own: Address) -> DispatchSettings {
    let defaults = DispatchSettings::default();
    DispatchSettings {
        zone: settings.zone.clone(),
        instance: settings.instance.clone(),
        max_proof_age_ms: settings.revoke_ms,
        strict_revocation: settings.strict_revocation,
        retry_ratio: settings.retry_ratio,
        retry_window_ms: (settings.retry_window_s * MS_PER_S) as u64,
        retry_allowance: settings.retry_allowance,
        admission: AdmissionSettings {
            waiting_limit: settings.waiting_limit,
            class_reserve_share: settings.class_reserve_share,
            ..AdmissionSettings::default()
        },
        size_mb: settings.memory_mb as u32,
        expects_peers: settings.seeds.iter().any(|seed| *seed != own),
        // The gateway must detect a stall well before the engine itself aborts the work.
        stall_limit_min_ms: defaults.stall_limit_min_ms.min(settings.stall_ms / 2),
        // A request that waits for a connection is sent well before an endpoint that leaves may refuse it.
        send_delay_limit_ms: defaults.send_delay_limit_ms.min(settings.drain_ms / 2),
        ..defaults
    }
}

fn catalog_settings(settings: &GatewaySettings, own: Address) -> CatalogSettings {
    let share = |limit_ms: u64, share: f64| (limit_ms as f64 * share) as u64;
    let configuration_wait_ms = share(settings.config_apply_ms, CONFIGURATION_WAIT_SHARE);
    let configuration_fallback_age_ms = share(settings.config_apply_ms, CONFIGURATION_FALLBACK_SHARE);
    let endpoints_fallback_age_ms = share(settings.drain_ms, ENDPOINTS_FALLBACK_SHARE);
    let fallback_age_ms = configuration_fallback_age_ms.max(endpoints_fallback_age_ms);
    CatalogSettings {
        configuration_wait_ms,
        endpoints_interval_ms: endpoints_interval_ms(settings),
        configuration_fallback_age_ms,
        endpoints_fallback_age_ms,
        // The others ask the seeds first, which therefore read the store at once.
        start_wait_ms: if settings.seeds.iter().all(|seed| *seed == own) || settings.seeds.contains(&own) {
            0
        } else {
            START_WAIT_MS
        },
        // A gateway without contact to peers reads at the fallback age, which is no outage.
        outage_gap_ms: fallback_age_ms + FALLBACK_READ_MS,
        ..CatalogSettings::default()
    }
}

/// Returns the interval at which the endpoint entries are read. It is a fraction of `drain_ms`, the time within which a
/// draining endpoint must be detected.
fn endpoints_interval_ms(settings: &GatewaySettings) -> u64 {
    settings.drain_ms / ENDPOINT_READS_PER_DRAIN
}

fn layout_settings(settings: &GatewaySettings) -> LayoutSettings {
    let defaults = LayoutSettings::default();
    LayoutSettings {
        group_ttl_ms: defaults.group_ttl_ms.max(settings.group_ttl_least_ms),
        partitions: settings.group_partitions,
        // Endpoints that start together register within one heartbeat, and the next read of the entries finds them.
        settle_ms: settings.heartbeat_ms + endpoints_interval_ms(settings),
        ..defaults
    }
}

/// Returns a seed that differs between instances and between starts. Under a clock with a fixed time of day it is
/// reproducible.
fn start_seed<C: Clock>(settings: &GatewaySettings, clock: &C) -> u64 {
    let name = settings.instance.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
    mix(name ^ clock.unix_ms())
}

fn listen(port: &'static str, address: Address) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|source| GatewayError::Listen { port, address, source })
}

/// Binds the port for other gateways: gossip uses it over UDP, the exchange of configurations over TCP.
fn bind_peers(address: Address) -> Result<(UdpSocket, TcpListener)> {
    /// Maximum number of attempts to find a port that is free for both protocols if any port may be used.
    const ATTEMPT_LIMIT: usize = 16;
    let bind = || {
        let socket = UdpSocket::bind(address)?;
        let listener = TcpListener::bind(socket.local_addr()?)?;
        Ok((socket, listener))
    };
    let attempts = if address.port() == 0 { ATTEMPT_LIMIT } else { 1 };
    let mut bound = bind();
    for _ in 1..attempts {
        if bound.is_ok() {
            break;
        }
        bound = bind();
    }
    bound.map_err(|source| GatewayError::Listen { port: "peers", address, source })
}
