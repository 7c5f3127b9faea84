//! A small deployment, and a driver that records the actions of dispatch.

use std::sync::Arc;

use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::admission::AdmissionSettings;
use crate::gateway::dispatch::{
    Action, AdmissionState, CrashFindings, CrashReport, Decision, Dispatch, DispatchSettings, Ending,
    EndpointStart, EndpointsProof, Event, Feature, PeerState, ProbeResult, Proof, Refusal, SendOrder,
    Submission, Verdict,
};
use crate::gateway::{
    Accelerator, CallerLimits, Configuration, Credential, Endpoint, Pipeline, RequestInfo, RetryMode, Route,
    Service, StorePosition, Target, Team,
};
use crate::ids::{ServiceId, TeamId, Zone};
use crate::pipeline::{Address, LayerRange};

pub fn address(host: u8) -> Address {
    Address::from(([10, 0, 0, host], 80))
}

pub fn pipeline() -> Pipeline {
    let kind = |name: &str, memory_mb, step_factor, read_factor| Accelerator {
        name: name.into(),
        memory_mb,
        step_factor,
        read_factor,
    };
    Pipeline {
        layers: 8,
        layer_mb: 1_000.0,
        token_bytes: 800_000.0,
        step_ms: 1.0,
        sequence_ms: 0.01,
        prefill_tokens_per_s: 100_000.0,
        stride: 3,
        load_s: 4.0,
        usual_prompt_tokens: 800.0,
        usual_answer_tokens: 200.0,
        activation_bytes: 10_000.0,
        zone_link_mbps: 1_000.0,
        zone_delay_ms: 0.5,
        accelerators: vec![kind("fast", 8_000.0, 1.0, 1.0), kind("slow", 4_000.0, 4.0, 4.0)],
    }
}

fn route(prefix: &str, retry_mode: RetryMode, service: &str, endpoint_limit: u32) -> Route {
    Route {
        host: "h.example".into(),
        prefix: prefix.into(),
        name: prefix.trim_matches('/').into(),
        retry_mode,
        timeout_ms: 2_000,
        objective_ms: 300,
        event_gap_objective_ms: 200,
        priority: 1,
        targets: vec![Target { service: ServiceId::from(service), weight: 1 }],
        endpoint_limit,
        anonymous: false,
    }
}

pub fn configuration(version: u64) -> Configuration {
    let service = |id: &str, pipeline| Service {
        id: ServiceId::from(id),
        health_path: "/healthz".into(),
        connection_limit: 100,
        pipeline,
    };
    Configuration {
        version,
        routes: vec![
            route("/call/", RetryMode::Once, "desk", 1),
            route("/read/", RetryMode::Idempotent, "desk", 2),
            route("/write/", RetryMode::StreamResumable, "model", 2),
        ],
        services: vec![service("desk", None), service("model", Some(Arc::new(pipeline())))],
        limits: CallerLimits::default(),
        teams: vec![Team { id: TeamId::from("shop"), priority: Some(1) }],
        credentials: vec![Credential { key: "secret".into(), team: 0 }],
        keyed: true,
    }
}

pub fn plain_endpoint(host: u8, zone: &str) -> Endpoint {
    Endpoint {
        id: format!("desk-{host}").into(),
        born_ms: 1,
        service: ServiceId::from("desk"),
        address: address(host),
        zone: Zone::from(zone),
        slots: 6,
        leaving: false,
        accelerator: None,
        layers: None,
    }
}

pub fn pipeline_engine(host: u8, zone: &str, kind: &str, begin: u16, end: u16) -> Endpoint {
    Endpoint {
        id: format!("part-{host}").into(),
        service: ServiceId::from("model"),
        slots: 10,
        accelerator: Some(kind.into()),
        layers: Some(LayerRange::new(begin, end)),
        ..plain_endpoint(host, zone)
    }
}

/// Returns two chains of engines in zone a and one in zone b, and three replicas of a plain service.
pub fn endpoints() -> Vec<Endpoint> {
    vec![
        plain_endpoint(1, "a"),
        plain_endpoint(2, "a"),
        plain_endpoint(3, "b"),
        pipeline_engine(11, "a", "fast", 0, 4),
        pipeline_engine(12, "a", "fast", 4, 8),
        pipeline_engine(13, "a", "slow", 0, 2),
        pipeline_engine(14, "a", "slow", 2, 4),
        pipeline_engine(15, "a", "slow", 4, 6),
        pipeline_engine(16, "a", "slow", 6, 8),
        pipeline_engine(21, "b", "fast", 0, 5),
        pipeline_engine(22, "b", "fast", 5, 8),
    ]
}

pub fn request(path: &str) -> RequestInfo {
    RequestInfo {
        id: "attempt".into(),
        host: "h.example".into(),
        path: path.into(),
        key: Some("secret".into()),
        deadline_ms: Some(1_000),
        prompt_tokens: 100,
        answer_tokens: 50,
        resume_after: None,
        digest: 7,
        shared_parts: Vec::new(),
    }
}

/// Returns the endpoints that an order uses.
pub fn used_by(order: &SendOrder) -> Vec<Address> {
    let path = order.forwarding_info.path.iter().map(|(address, _)| *address);
    std::iter::once(order.address).chain(path).collect()
}

/// Drives dispatch with a manual clock and records its actions as lines of text.
pub struct World {
    pub dispatch: Dispatch,
    pub now_us: u64,
    pub lines: Vec<String>,
    pub last_order: Option<SendOrder>,
    pub last_refusal: Option<Refusal>,
    /// Engines that dispatch has asked for a report.
    pub inspected: Vec<Address>,
    /// Endpoints that dispatch has asked to probe.
    pub probed: Vec<Address>,
    /// Engines that were probed and have not answered yet.
    probed_engines: Vec<Address>,
    /// Whether the engines that are probed do not answer.
    pub links_are_lost: bool,
    /// Log lines of the decisions.
    pub decisions: Vec<String>,
    /// States of priority admission control that dispatch has reported.
    pub admission_states: Vec<AdmissionState>,
    next_ticket: u64,
}

impl World {
    pub fn new() -> Self {
        Self::with(endpoints())
    }

    /// Creates a gateway without a configuration and endpoints.
    pub fn unconfigured() -> Self {
        let settings = DispatchSettings {
            zone: "a".to_owned(),
            instance: "own".to_owned(),
            admission: AdmissionSettings {
                class_reserve_share: 0.12,
                waiting_limit: 64,
                waiting_objective_min_ms: 0,
                ..AdmissionSettings::default()
            },
            ..DispatchSettings::default()
        };
        let dispatch = Dispatch::new(settings, 1);
        Self {
            dispatch,
            now_us: 1_000_000,
            lines: Vec::new(),
            last_order: None,
            last_refusal: None,
            inspected: Vec::new(),
            probed: Vec::new(),
            probed_engines: Vec::new(),
            links_are_lost: false,
            decisions: Vec::new(),
            admission_states: Vec::new(),
            next_ticket: 1,
        }
    }

    pub fn with(endpoints: Vec<Endpoint>) -> Self {
        let mut world = Self::unconfigured();
        world.event(Event::Configuration(Arc::new(configuration(5))));
        world.event(Event::Endpoints(endpoints.into()));
        world.event(Event::EndpointsProof(EndpointsProof {
            position: StorePosition::new(0, 1),
            at_us: world.now_us,
        }));
        world.confirm_configuration();
        world.lines.clear();
        world
    }

    /// Creates a gateway before engines that each hold a whole small model.
    pub fn with_small_model(engine_count: u8) -> Self {
        let engines = (0..engine_count).map(|number| pipeline_engine(11 + number, "a", "fast", 0, 8));
        let mut world = Self::with(engines.collect());
        let mut small_model = configuration(6);
        if let Some(service) = small_model.services.get_mut(1) {
            service.pipeline = Some(Arc::new(Pipeline { layer_mb: 500.0, ..pipeline() }));
        }
        world.event(Event::Configuration(Arc::new(small_model)));
        world.event(Event::ConfigurationProof(Proof { version: 6, at_us: world.now_us }));
        world
    }

    /// Changes the settings.
    pub fn configure(&mut self, change: impl FnOnce(&mut DispatchSettings)) {
        change(&mut self.dispatch.settings);
        self.dispatch.admission.set_settings(self.dispatch.settings.admission.clone());
    }

    /// Confirms that the configuration is current now.
    pub fn confirm_configuration(&mut self) {
        let version = self.dispatch.version();
        self.event(Event::ConfigurationProof(Proof { version, at_us: self.now_us }));
    }

    /// Replaces each endpoint by one that was started anew at the same address.
    pub fn restart_endpoints(&mut self, born_ms: u64) {
        let restarted: Vec<Endpoint> =
            endpoints().into_iter().map(|endpoint| Endpoint { born_ms, ..endpoint }).collect();
        self.event(Event::Endpoints(restarted.into()));
    }

    /// Replaces the engines of [`Self::with_small_model`] by ones that were started anew.
    pub fn restart_engines(&mut self, engine_count: u8, born_ms: u64) {
        let engines = (0..engine_count).map(|number| pipeline_engine(11 + number, "a", "fast", 0, 8));
        let restarted: Vec<Endpoint> = engines.map(|engine| Endpoint { born_ms, ..engine }).collect();
        self.event(Event::Endpoints(restarted.into()));
    }

    /// Returns the known start of the endpoint at an address.
    pub fn start_at(&self, address: Address) -> EndpointStart {
        let endpoint = self.dispatch.endpoint_at(address).expect("an endpoint has the address");
        EndpointStart::of(endpoint)
    }

    /// Returns the endpoints that the last order uses.
    pub fn used(&self) -> Vec<Address> {
        self.last_order.as_ref().map(used_by).unwrap_or_default()
    }

    /// Lets another gateway report crashes of endpoints under a request.
    pub fn hear_of_crashes(&mut self, digest: u64, hosts: &[u8], age_ms: u32) {
        let report = |host: &u8| CrashReport {
            address: address(*host),
            born_ms: 1,
            age_ms,
            features: vec![Feature { digest, depth: u8::MAX }],
        };
        let crashes = hosts.iter().map(report).collect();
        let crash_findings = CrashFindings { crashes, ..CrashFindings::default() };
        let instance = "other".to_owned();
        let state = PeerState { instance, version: 5, crash_findings, ..PeerState::default() };
        self.event(Event::Peer { state: Box::new(state), known: 2, zone_known: 1 });
    }

    pub fn wait_ms(&mut self, ms: u64) {
        self.now_us += ms * US_PER_MS;
    }

    pub fn submit(&mut self, path: &str) -> u64 {
        self.submit_request(request(path))
    }

    pub fn submit_request(&mut self, request: RequestInfo) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.event(Event::Submit(Box::new(Submission { ticket, request, is_handed_on: false })));
        ticket
    }

    pub fn end(&mut self, ticket: u64, ending: Ending) {
        self.event(Event::Ended { ticket, ending });
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatch.on_event(self.now_us, event, &mut actions);
        for action in actions {
            self.record(action);
        }
        while !self.links_are_lost
            && let Some(address) = self.probed_engines.pop()
        {
            self.event(Event::Probed { address, result: ProbeResult::Reached });
        }
    }

    /// Returns the engines that were probed and have not answered yet.
    pub fn take_probed_engines(&mut self) -> Vec<Address> {
        std::mem::take(&mut self.probed_engines)
    }

    fn record(&mut self, action: Action) {
        let line = match action {
            Action::Reply { ticket, verdict: Verdict::Send(order) } => {
                let hops: Vec<_> = order
                    .forwarding_info
                    .path
                    .iter()
                    .map(|(to, layers)| format!("{}={layers}", to.ip()))
                    .collect();
                let line = format!(
                    "{ticket}: send to {} within {} ms {}",
                    order.forwarding_info.endpoint,
                    order.forwarding_info.deadline_ms,
                    hops.join(" ")
                );
                self.last_order = Some(*order);
                line.trim_end().to_owned()
            }
            Action::Reply { ticket, verdict: Verdict::Abandon { .. } } => format!("{ticket}: abandon"),
            Action::Reply { ticket, verdict: Verdict::Deliver } => format!("{ticket}: deliver"),
            Action::Reply { ticket, verdict: Verdict::Refuse(refusal) } => {
                self.last_refusal = Some(refusal);
                format!("{ticket}: {} {}", refusal.reason.status(), refusal.reason)
            }
            Action::Ready(ready) => format!("ready {ready}"),
            Action::Probe(address) => {
                self.probed.push(address);
                format!("probe {}", address.ip())
            }
            Action::ProbeEngine(address) => return self.probed_engines.push(address),
            Action::Gateways(_) => return,
            Action::Leaving(start) => format!("{} leaves", start.id),
            Action::Inspect(address) => {
                self.inspected.push(address);
                format!("inspect {}", address.ip())
            }
            Action::Decide(decision @ Decision::DecliningChosen { .. }) => panic!("{decision}"),
            Action::Decide(decision) => return self.decisions.push(decision.to_string()),
            Action::MeasureAdmission(state) => return self.admission_states.push(*state),
            Action::PublishState(_) => return,
        };
        self.lines.push(line);
    }

    /// Runs the timers that are due.
    pub fn run_timers(&mut self) {
        let mut actions = Vec::new();
        if self.dispatch.next_timer_us().is_some_and(|due_us| due_us <= self.now_us) {
            self.dispatch.on_timer(self.now_us, &mut actions);
        }
        actions.into_iter().for_each(|action| self.record(action));
    }

    /// Lets the publish interval pass and returns the state that the gateway publishes.
    pub fn publish_state(&mut self) -> PeerState {
        self.publish_state_at(self.now_us + 300 * US_PER_MS)
    }

    /// Returns the state that the gateway publishes at the given time, at least an interval after the last one.
    pub fn publish_state_at(&mut self, now_us: u64) -> PeerState {
        self.now_us = now_us;
        let mut actions = Vec::new();
        self.dispatch.on_timer(self.now_us, &mut actions);
        let mut state = None;
        for action in actions {
            match action {
                Action::PublishState(published) => state = Some(*published),
                action => self.record(action),
            }
        }
        state.expect("dispatch publishes its state after the interval")
    }

    pub fn text(&self) -> String {
        self.lines.join("\n")
    }
}
