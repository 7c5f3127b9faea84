//! Endpoints, configurations and requests for the tests.

use std::sync::Arc;

use crate::backing::Fencing;
use crate::configuration::{Configuration, Document, Model, Preset, PresetName, Presets, Service};
use crate::duty::Duty;
use crate::ids::{ConfigVersion, EndpointId, ModelVersion, RequestId};
use crate::membership::{Endpoint, Health, Load, Role};
use crate::pipeline::LayerRange;
use crate::request::{Call, Generation, Repeat, Submission, Work};
use crate::routing::{
    Action, Assignment, Balance, Event, ExpectedTime, Need, Replacement, Reroute, Routing, RoutingContext,
    RoutingSettings,
};

/// Number of layers of the test model.
pub const LAYERS: u16 = 8;

pub fn context() -> RoutingContext {
    RoutingContext { zone: "z1".into(), settings: RoutingSettings::default() }
}

pub fn routing(seed: u64) -> Routing<ExpectedTime> {
    Routing::new(seed, context(), ExpectedTime::default())
}

pub fn configuration(version: u64, drain: &[&str]) -> Arc<Configuration> {
    let preset = Preset { drain: drain.iter().map(|name| (*name).into()).collect(), ..Preset::default() };
    let document = Document {
        models: vec![Model { name: "m".into(), version: ModelVersion(1), layers: LAYERS, hidden_bytes: 64 }],
        services: vec![Service { name: "s".into() }],
        presets: Presets { ordinary: preset, ..Presets::default() },
        ..Document::default()
    };
    Arc::new(Configuration { version: ConfigVersion(version), document, preset: PresetName::Ordinary })
}

pub fn engine(name: &str, begin: u16, end: u16) -> Endpoint {
    Endpoint {
        id: EndpointId::new(name, 1),
        zone: "z1".into(),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        role: Role::Engine {
            model: "m".into(),
            version: ModelVersion(1),
            layers: LayerRange::new(begin, end),
        },
        health: Health::Live,
        load: Load { step_us: 1_000, prefill_us_per_position: 10, taken_us: 1, ..Load::default() },
        fencing: Fencing::Checked,
        joined_us: 0,
    }
}

pub fn service(name: &str) -> Endpoint {
    Endpoint { role: Role::Service { service: "s".into() }, ..engine(name, 0, 0) }
}

pub fn generation(request: u128, prompt: &str, configuration: &Arc<Configuration>) -> Box<Submission> {
    let work = Work::Generate(Generation { model: "m".into(), prompt: prompt.to_owned(), max_tokens: 16 });
    submission(request, work, configuration)
}

pub fn call(request: u128, configuration: &Arc<Configuration>) -> Box<Submission> {
    let work = Work::Call(Call {
        service: "s".into(),
        operation: "read".to_owned(),
        payload: "{}".to_owned(),
        repeat: Repeat::Idempotent,
    });
    submission(request, work, configuration)
}

fn submission(request: u128, work: Work, configuration: &Arc<Configuration>) -> Box<Submission> {
    Box::new(Submission {
        request: RequestId(request),
        caller_reference: None,
        team: "t".into(),
        arrived_us: 0,
        deadline_us: 1_000_000_000,
        priority: 0,
        work,
        configuration: Arc::clone(configuration),
    })
}

pub fn table(mut endpoints: Vec<Endpoint>) -> Event {
    endpoints.sort_by(|a, b| a.id.cmp(&b.id));
    Event::Endpoints(endpoints.into())
}

pub fn send<B: Balance>(routing: &mut Routing<B>, now_us: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    routing.on_event(now_us, event, &mut actions);
    actions
}

pub fn reroute(request: u128, need: Need, failed: &str) -> Event {
    Event::Reroute(Reroute { request: RequestId(request), need, failed: EndpointId::new(failed, 1) })
}

/// Returns the endpoints that were assigned to a request, in the order of their stages.
pub fn endpoints_of(actions: &[Action]) -> Option<Vec<EndpointId>> {
    actions.iter().find_map(|action| match action {
        Action::Start(start) => start.assignment.as_ref().ok().map(assigned),
        Action::RerouteResult(result) => match &result.found {
            Replacement::Stage { target, .. } => Some(vec![target.endpoint.clone()]),
            Replacement::Assignment(assignment) => Some(assigned(assignment)),
            Replacement::Unavailable => None,
        },
        _ => None,
    })
}

fn assigned(assignment: &Assignment) -> Vec<EndpointId> {
    match assignment {
        Assignment::Pipeline { route, .. } => {
            route.stages().iter().map(|stage| stage.target.endpoint.clone()).collect()
        }
        Assignment::Service(target) => vec![target.endpoint.clone()],
    }
}

/// Formats the actions for snapshots, one per line.
pub fn lines(actions: &[Action]) -> String {
    let line = |action: &Action| match action {
        Action::Decide(decision) => decision.to_string(),
        Action::Start(start) => match &start.assignment {
            Ok(assignment) => format!("start {}", names(&assigned(assignment))),
            Err(reason) => format!("start not_run={reason}"),
        },
        Action::RerouteResult(result) => match &result.found {
            Replacement::Unavailable => "substitute nothing".to_owned(),
            Replacement::Stage { stage, target, .. } => {
                format!("substitute stage={stage} {}", target.endpoint)
            }
            Replacement::Assignment(assignment) => format!("substitute {}", names(&assigned(assignment))),
        },
        Action::Cancel(_) => "cancel".to_owned(),
        Action::Report(capacities) => format!("report {capacities:?}"),
        Action::OwnWorkMismatch { difference } => format!("own_work_mismatch difference={difference}"),
    };
    actions.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn names(endpoints: &[EndpointId]) -> String {
    endpoints.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
}
