//! Thread of telemetry: receives notes, writes log lines and serves the operators' port.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;

use metrics_exporter_prometheus::PrometheusHandle;

use super::metric::{RingHeldCounts, describe};
use super::operators::Operators;
use super::state::{LoggedDecision, RecordVerdict, State};
use super::{Decision, Note};
use crate::caller_memory::{AccountSettings, CallerMemory};
use crate::clock::Clock;
use crate::duty::{EVENT_BATCH, Supervisor};
use crate::http::{ServerSettings, listener_from_std, serve_within};
use crate::ids::Zone;
use crate::ring::{Doorbell, Receiver, Sender};
use crate::{configuration, intake};

/// Rings of telemetry.
#[derive(Debug)]
pub struct Links {
    /// Doorbell of the thread.
    pub bell: Doorbell,
    /// Notes from the other duties, one ring for each sender.
    pub inbound: Vec<Receiver<Note>>,
    /// Events to intake, for draining.
    pub intake: Sender<intake::Event>,
    /// Number of held items of each ring of the entry, for metrics.
    pub rings: RingHeldCounts,
}

/// Starts the thread of telemetry.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn<C: Clock>(
    supervisor: &Supervisor,
    clock: C,
    links: Links,
    listener: TcpListener,
    metrics: PrometheusHandle,
    identity: (String, Zone),
) -> std::io::Result<std::thread::JoinHandle<()>> {
    supervisor.spawn("telemetry", move || async move {
        let Links { bell, mut inbound, intake, rings } = links;
        describe();
        let state = Rc::new(RefCell::new(State::new(identity.0, identity.1)));
        let operators = Operators {
            state: Rc::clone(&state),
            metrics,
            intake: Rc::new(RefCell::new(intake)),
            rings: rings.into(),
        };
        match listener_from_std(listener) {
            Ok(listener) => {
                let memory = CallerMemory::new(AccountSettings::for_operators(), "operators");
                actix_rt::spawn(serve_within(listener, ServerSettings::default(), memory, operators));
            }
            Err(error) => {
                log::error!("event=listener_failed port=operators error={error}");
                return;
            }
        }
        loop {
            let mut received = 0;
            for ring in &mut inbound {
                for note in std::iter::from_fn(|| ring.receive()).take(EVENT_BATCH) {
                    received += 1;
                    handle(&mut state.borrow_mut(), clock.unix_ms(), note);
                }
            }
            if received == 0 {
                bell.wait().await;
            } else {
                tokio::task::yield_now().await;
            }
        }
    })
}

fn handle(state: &mut State, unix_ms: u64, note: Note) {
    match note {
        Note::Decision(decision) => {
            let text = decision.to_string();
            log::info!(target: "decision", "{text}");
            if let Some(verdict) = record_verdict(&decision, &text) {
                state.keep_verdict(verdict);
            }
            state.keep_decision(LoggedDecision { unix_ms, request: decision.request(), text });
        }
        Note::Configuration(configuration) => state.configuration = Some(configuration),
        Note::Peers(peers) => state.peers = peers,
        Note::Endpoints(endpoints) => state.endpoints = endpoints,
        Note::Draining => state.draining = true,
    }
}

fn record_verdict(decision: &Decision, text: &str) -> Option<RecordVerdict> {
    let Decision::Configuration(decision) = decision else { return None };
    let (offset, accepted) = match decision {
        configuration::Decision::Accepted { version, .. } => (version.0, true),
        configuration::Decision::Refused { offset, .. } => (offset.0, false),
        _ => return None,
    };
    Some(RecordVerdict { offset, accepted, text: text.to_owned() })
}
