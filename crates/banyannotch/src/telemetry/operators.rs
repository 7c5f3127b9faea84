//! The operators' port: health, metrics, status, decisions, configuration and draining.

use std::cell::RefCell;
use std::rc::Rc;

use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::{Value, json};

use super::OperatorCommand;
use super::metric::sample;
use super::state::State;
use crate::configuration::Configuration;
use crate::http::{Handler, Request, Response, empty, json as json_response, text};
use crate::intake;
use crate::membership::{Endpoint, Health, Role};
use crate::ring::{HeldCount, Sender};

/// Answers requests of operators from the state of telemetry.
#[derive(Clone)]
pub(super) struct Operators {
    pub state: Rc<RefCell<State>>,
    pub metrics: PrometheusHandle,
    pub intake: Rc<RefCell<Sender<intake::Event>>>,
    pub rings: Rc<[(&'static str, HeldCount)]>,
}

impl Handler for Operators {
    async fn handle(&self, request: Request) -> Response {
        let path = request.path().to_owned();
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/healthz") => json_response(200, &json!({ "status": "ok" })),
            ("GET", "/readyz") => self.ready(),
            ("GET", "/metrics") => {
                sample(&self.rings, &self.state.borrow().endpoints);
                text(200, self.metrics.render())
            }
            ("GET", "/v1/status") => json_response(200, &status(&self.state.borrow())),
            ("GET", "/v1/explain") => self.explain(request.uri().query().unwrap_or("")),
            ("GET", "/v1/configuration") => self.configuration(),
            ("GET", "/v1/verdict") => self.verdict(request.uri().query().unwrap_or("")),
            ("POST", "/v1/drain") => self.execute(OperatorCommand::Drain),
            _ => json_response(404, &json!({ "error": "unknown path", "path": path })),
        }
    }
}

impl Operators {
    fn ready(&self) -> Response {
        let state = self.state.borrow();
        let ready = state.configuration.is_some() && !state.draining;
        json_response(if ready { 200 } else { 503 }, &json!({ "ready": ready, "draining": state.draining }))
    }

    fn explain(&self, query: &str) -> Response {
        let Some(request) = query.strip_prefix("request=").and_then(|text| text.parse().ok()) else {
            return json_response(400, &json!({ "error": "expected ?request=<32 hex digits>" }));
        };
        let state = self.state.borrow();
        let decisions: Vec<Value> = state
            .explain(request)
            .map(|decision| json!({ "time_ms": decision.unix_ms, "decision": decision.text }))
            .collect();
        json_response(200, &json!({ "request": request, "decisions": decisions }))
    }

    fn configuration(&self) -> Response {
        let state = self.state.borrow();
        let Some(configuration) = state.configuration.as_deref() else {
            return json_response(404, &json!({ "error": "no configuration is in force" }));
        };
        match toml::to_string(&configuration.document) {
            Ok(document) => json_response(
                200,
                &json!({ "version": configuration.version, "preset": configuration.preset, "document": document }),
            ),
            Err(error) => json_response(500, &json!({ "error": error.to_string() })),
        }
    }

    /// Returns the verdict on the configuration record at an offset, or status 404 if this entry has none.
    fn verdict(&self, query: &str) -> Response {
        let Some(offset) = query.strip_prefix("offset=").and_then(|text| text.parse().ok()) else {
            return json_response(400, &json!({ "error": "expected ?offset=<number>" }));
        };
        match self.state.borrow().verdict(offset) {
            Some(verdict) => {
                json_response(200, &json!({ "accepted": verdict.accepted, "decision": verdict.text }))
            }
            None => json_response(404, &json!({ "error": "no verdict on this record here" })),
        }
    }

    fn execute(&self, command: OperatorCommand) -> Response {
        match command {
            OperatorCommand::Drain => {
                self.state.borrow_mut().draining = true;
                match self.intake.borrow_mut().send(intake::Event::Drain) {
                    Ok(()) => json_response(202, &json!({ "draining": true })),
                    Err(_) => empty(503),
                }
            }
        }
    }
}

fn status(state: &State) -> Value {
    json!({
        "instance": state.instance,
        "zone": state.zone,
        "draining": state.draining,
        "configuration": state.configuration.as_deref().map(configuration),
        "peers": &state.peers,
        "endpoints": state.endpoints.iter().map(endpoint).collect::<Vec<_>>(),
    })
}

fn configuration(configuration: &Configuration) -> Value {
    json!({ "version": configuration.version, "preset": configuration.preset })
}

fn endpoint(endpoint: &Endpoint) -> Value {
    let health = match endpoint.health {
        Health::Live => "live",
        Health::Suspected => "suspected",
        Health::Leaving => "leaving",
    };
    let role = match &endpoint.role {
        Role::Engine { model, version, layers } => {
            json!({ "model": model, "version": version, "layer_begin": layers.begin, "layer_end": layers.end })
        }
        Role::Service { service } => json!({ "service": service }),
    };
    json!({
        "instance": endpoint.id.instance,
        "incarnation": endpoint.id.incarnation,
        "zone": endpoint.zone,
        "address": endpoint.address,
        "health": health,
        "role": role,
        "running": endpoint.load.running,
        "queued": endpoint.load.queued,
        "step_us": endpoint.load.step_us,
    })
}
