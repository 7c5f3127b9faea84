//! Thread of the ledger.

use super::{Answer, Event, Verdict};
use crate::duty::Supervisor;
use crate::execution;
use crate::request::NotRun;
use crate::ring::{Doorbell, Receiver, Sender};
use crate::telemetry::Note;

/// Rings of the duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// From execution.
    pub inbound: Vec<Receiver<Event>>,
    /// To execution.
    pub execution: Sender<execution::Event>,
    /// To telemetry.
    pub telemetry: Sender<Note>,
}

/// Starts the thread.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn(supervisor: &Supervisor, mut links: Links) -> std::io::Result<std::thread::JoinHandle<()>> {
    let own = supervisor.clone();
    supervisor.spawn("ledger", move || async move {
        loop {
            for ring in &mut links.inbound {
                while let Some(event) = ring.receive() {
                    if let Event::Claim(claim) = event {
                        let verdict = Verdict::Refused(NotRun::LedgerUnavailable);
                        let answer = Answer { request: claim.request, verdict };
                        let event = execution::Event::Claimed(answer);
                        links.execution.send_or_fail(event, "ledger_execution", &own);
                    }
                }
            }
            links.bell.wait().await;
        }
    })
}
