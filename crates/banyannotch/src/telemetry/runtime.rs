//! Thread of telemetry: notes in, log lines and the operators' port out.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;

use metrics_exporter_prometheus::PrometheusHandle;

use super::metric::{Rings, describe};
use super::operators::Operators;
use super::state::{Line, RecordVerdict, State};
use super::{Decision, Note};
use crate::clock::Clock;
use crate::duty::{EVENT_BATCH, Supervisor};
use crate::http::{ServerSettings, listener_from_std, serve};
use crate::ids::Zone;
use crate::ring::{Doorbell, Receiver, Sender};
use crate::{configuration, intake};

/// Rings of the duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// From every other duty.
    pub inbound: Vec<Receiver<Note>>,
    /// To intake, for draining.
    pub intake: Sender<intake::Event>,
    /// Fill of the entry's rings, for metrics.
    pub rings: Rings,
}

/// Starts the thread.
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
                actix_rt::spawn(serve(listener, ServerSettings::default(), operators));
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
                    take(&mut state.borrow_mut(), clock.unix_ms(), note);
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

fn take(state: &mut State, unix_ms: u64, note: Note) {
    match note {
        Note::Decision(decision) => {
            let text = decision.to_string();
            log::info!(target: "decision", "{text}");
            if let Some(verdict) = record_verdict(&decision, &text) {
                state.keep_verdict(verdict);
            }
            state.keep(Line { unix_ms, request: decision.request(), text });
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
