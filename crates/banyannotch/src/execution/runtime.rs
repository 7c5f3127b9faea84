//! Thread of execution: receives events from the rings, and performs the actions of the policy. It makes no
//! decisions.

use std::time::Duration;

use super::error::{CallFault, StepFault};
use super::{
    Action, CallCommand, CallReport, Event, Execution, ExecutionSettings, ProbeResult, StepCommand,
    StepInput, StepOutput, StepReport, StepResult,
};
use crate::clock::Clock;
use crate::duty::{self, Mailbox, Ports, Supervisor};
use crate::engine::{
    CacheName, CallRequest, EndpointClient, EndpointError, Input, Output, StepAnswer, StepRequest,
};
use crate::http::{CallError, Client, ClientSettings};
use crate::pipeline::Target;
use crate::ring::{Doorbell, Receiver, Sender, receive_batch};
use crate::routing::Observation;
use crate::telemetry::{Decision, Note};
use crate::{admission, intake, ledger, membership, peers, routing};

/// Time limit for releasing a cache.
const RELEASE_TIMEOUT_MS: u64 = 1_000;

/// Number of observations that are collected before they are sent to routing, which avoids waking its thread
/// for each.
const OBSERVATION_BATCH: usize = 64;

/// Rings that connect execution to the other duties.
#[derive(Debug)]
pub struct Links {
    /// Doorbell that wakes the thread.
    pub bell: Doorbell,
    /// Rings from routing, intake, the ledger and the peers.
    pub inbound: Vec<Receiver<Event>>,
    /// Ring to intake.
    pub intake: Sender<intake::Event>,
    /// Ring to admission.
    pub admission: Sender<admission::Event>,
    /// Ring to routing.
    pub routing: Sender<routing::Event>,
    /// Ring to the ledger.
    pub ledger: Sender<ledger::Event>,
    /// Ring to membership.
    pub membership: Sender<membership::Event>,
    /// Ring to the peers.
    pub peers: Sender<peers::Event>,
    /// Ring to telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the thread of execution.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    settings: ExecutionSettings,
    seed: u64,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let thread_supervisor = supervisor.clone();
    supervisor.spawn("execution", move || async move {
        let bell = links.bell.clone();
        let probe_timeout_ms = settings.probe_timeout_ms;
        let client = EndpointClient::new(Client::new(ClientSettings::default()));
        let mailbox = Mailbox::new(&bell);
        let ports = ExecutionPorts {
            links,
            client,
            mailbox,
            probe_timeout_ms,
            supervisor: thread_supervisor,
            observations: Vec::new(),
        };
        duty::run(clock, bell, Execution::new(settings, seed), ports).await;
    })
}

struct ExecutionPorts {
    links: Links,
    client: EndpointClient,
    mailbox: Mailbox<Event>,
    probe_timeout_ms: u64,
    supervisor: Supervisor,
    observations: Vec<Observation>,
}

impl Ports for ExecutionPorts {
    type Event = Event;
    type Action = Action;

    fn receive(&mut self, events: &mut Vec<Event>) {
        self.mailbox.take_into(events);
        events.extend(receive_batch(&mut self.links.inbound, duty::EVENT_BATCH));
    }

    fn perform(&mut self, _now_us: u64, action: Action) {
        match action {
            Action::Step(command) => self.step(*command),
            Action::Call(command) => self.call(*command),
            Action::Release { address, cache } => {
                let client = self.client.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = client.cancel(address, CacheName { cache }, RELEASE_TIMEOUT_MS).await
                    {
                        log::debug!("event=release_failed cache={cache} error={error}");
                    }
                });
            }
            Action::Probe(target) => self.probe(target),
            Action::Reply(reply) => {
                self.links.intake.send_or_fail(
                    intake::Event::Reply(reply),
                    "execution_intake",
                    &self.supervisor,
                );
            }
            Action::Reroute(reroute) => {
                let event = routing::Event::Reroute(reroute);
                self.links.routing.send_or_fail(event, "execution_routing", &self.supervisor);
            }
            Action::Finished(finished) => {
                let event = routing::Event::Finished(finished.request);
                self.links.routing.send_or_fail(event, "execution_routing", &self.supervisor);
                let event = admission::Event::Finished(finished);
                self.links.admission.send_or_fail(event, "execution_admission", &self.supervisor);
            }
            Action::Observed(observation) => {
                self.observations.push(observation);
                if self.observations.len() >= OBSERVATION_BATCH {
                    let event = routing::Event::Observed(std::mem::take(&mut self.observations));
                    self.links.routing.send_or_fail(event, "execution_routing", &self.supervisor);
                }
            }
            Action::Failed { endpoint, refused } => {
                let event = membership::Event::Failed { endpoint, refused };
                self.links.membership.send_or_fail(event, "execution_membership", &self.supervisor);
            }
            Action::Ledger(event) => {
                self.links.ledger.send_or_fail(event, "execution_ledger", &self.supervisor);
            }
            Action::Announce(suspicions) => {
                let event = peers::Event::Suspected(suspicions);
                self.links.peers.send_or_fail(event, "execution_peers", &self.supervisor);
            }
            Action::Decide(decision) => {
                record_metrics(&decision);
                Note::Decision(Decision::Execution(decision)).send(&mut self.links.telemetry);
            }
            Action::Violated { invariant, request } => {
                metrics::counter!("banyannotch_invariant_violations_total", "invariant" => invariant.name())
                    .increment(1);
                log::error!("event=invariant_violated invariant={} request={request}", invariant.name());
            }
        }
    }

    fn flush(&mut self) {
        self.links.intake.flush();
        self.links.admission.flush();
        self.links.routing.flush();
        self.links.ledger.flush();
        self.links.membership.flush();
        self.links.peers.flush();
        self.links.telemetry.flush();
    }
}

impl ExecutionPorts {
    fn step(&self, command: StepCommand) {
        let (client, mailbox) = (self.client.clone(), self.mailbox.clone());
        actix_rt::spawn(async move {
            let address = command.target.address;
            let timeout_ms = command.timeout_ms;
            let request = step_request(command);
            let answer = client.step(address, &request, timeout_ms).await;
            let result = match answer {
                Ok(answer) => check_answer(&request, answer),
                Err(error) => Err(step_fault(error)),
            };
            let report = StepReport {
                request: request.request,
                cache: request.cache,
                position: request.position,
                result,
            };
            mailbox.put(Event::StepFinished(report));
        });
    }

    fn call(&self, command: CallCommand) {
        let (client, mailbox) = (self.client.clone(), self.mailbox.clone());
        actix_rt::spawn(async move {
            let result = match serde_json::from_str(&command.payload) {
                Ok(payload) => {
                    let request = CallRequest { operation: command.operation, payload, key: command.key };
                    let answer = client.call(command.target.address, &request, command.timeout_ms).await;
                    answer.map(|answer| answer.result.to_string()).map_err(|error| call_fault(&error))
                }
                // Intake accepts only JSON payloads. If one does not parse here, nothing is sent, so the call
                // counts as refused.
                Err(_) => Err(CallFault::Refused),
            };
            mailbox.put(Event::CallFinished(CallReport {
                request: command.request,
                attempt: command.attempt,
                result,
            }));
        });
    }

    fn probe(&self, target: Target) {
        let (client, mailbox, timeout_ms) =
            (self.client.clone(), self.mailbox.clone(), self.probe_timeout_ms);
        actix_rt::spawn(async move {
            let result = match client.engine_load(target.address, timeout_ms).await {
                Ok(load) if load.incarnation == target.endpoint.incarnation => {
                    ProbeResult::Batches(load.batches)
                }
                // Another incarnation at this address means that the probed one has ended.
                Ok(_) => ProbeResult::Refused,
                Err(EndpointError::Call(CallError::NotSent(_))) => ProbeResult::Refused,
                Err(EndpointError::Call(CallError::BadAnswer(_))) => ProbeResult::Batches(0),
                Err(_) => ProbeResult::NoAnswer,
            };
            mailbox.put(Event::Probed { endpoint: target.endpoint, result });
        });
    }
}

fn step_request(command: StepCommand) -> StepRequest {
    let input = match command.input {
        StepInput::Prompt { prompt, tokens } => Input::Prompt { prompt, tokens },
        StepInput::Token(token) => Input::Tokens { tokens: vec![token] },
        StepInput::Hidden(hidden) => Input::Hidden { hidden },
    };
    StepRequest {
        cache: command.cache,
        request: command.request,
        attempt: command.attempt,
        model: command.model,
        version: command.version,
        layers: command.layers,
        position: command.position,
        input,
        priority: command.priority,
    }
}

/// Rejects an answer that belongs to another step.
fn check_answer(step: &StepRequest, answer: StepAnswer) -> std::result::Result<StepResult, StepFault> {
    let is_match = step.cache == answer.cache
        && step.request == answer.request
        && step.attempt == answer.attempt
        && step.layers == answer.layers
        && step.position == answer.position;
    if !is_match {
        metrics::counter!("banyannotch_foreign_answers_total").increment(1);
        return Err(StepFault::BadAnswer);
    }
    let output = match answer.output {
        Output::Hidden(hidden) => StepOutput::Hidden(hidden),
        Output::Token(token) => StepOutput::Token { id: token.id, text: token.text, end: token.end },
    };
    Ok(StepResult { count: answer.count, output })
}

fn step_fault(error: EndpointError) -> StepFault {
    match error {
        EndpointError::Refused(refusal) => StepFault::Refused { reason: refusal.error },
        EndpointError::Status { .. } => StepFault::BadAnswer,
        EndpointError::Call(CallError::NotSent(_)) => StepFault::NotSent,
        EndpointError::Call(CallError::Broken(_)) => StepFault::Broken,
        EndpointError::Call(CallError::TimedOut { .. }) => StepFault::TimedOut,
        EndpointError::Call(CallError::BadAnswer(_)) => StepFault::BadAnswer,
    }
}

fn call_fault(error: &EndpointError) -> CallFault {
    match error {
        EndpointError::Refused(_) => CallFault::Refused,
        EndpointError::Status { .. } => CallFault::Failed,
        EndpointError::Call(CallError::NotSent(_)) => CallFault::NotSent,
        EndpointError::Call(CallError::Broken(_) | CallError::BadAnswer(_)) => CallFault::Broken,
        EndpointError::Call(CallError::TimedOut { .. }) => CallFault::TimedOut,
    }
}

fn record_metrics(decision: &super::Decision) {
    match decision {
        super::Decision::Ended { outcome, .. } => {
            metrics::counter!("banyannotch_requests_total", "outcome" => *outcome).increment(1);
        }
        super::Decision::Recovered { method, stalled_us, .. } => {
            metrics::counter!("banyannotch_recoveries_total", "method" => method.name()).increment(1);
            let stalled_s = Duration::from_micros(*stalled_us).as_secs_f64();
            metrics::histogram!("banyannotch_recovery_stall_seconds").record(stalled_s);
        }
        super::Decision::Fault { .. } => metrics::counter!("banyannotch_faults_total").increment(1),
        super::Decision::Quarantined { .. } => {
            metrics::counter!("banyannotch_quarantined_total").increment(1);
        }
        super::Decision::Dispatched { .. } => {}
    }
}
