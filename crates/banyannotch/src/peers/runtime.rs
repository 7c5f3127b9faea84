//! Thread of the peers.

use crate::duty::Supervisor;
use crate::ring::{Doorbell, Receiver};

use super::Event;

/// Rings of the duty.
#[derive(Debug)]
pub struct Links {
    /// Wakes the thread.
    pub bell: Doorbell,
    /// From execution, membership and configuration.
    pub inbound: Vec<Receiver<Event>>,
}

/// Starts the thread.
///
/// # Errors
/// Returns the error of the operating system when no thread can be created.
pub fn spawn(supervisor: &Supervisor, mut links: Links) -> std::io::Result<std::thread::JoinHandle<()>> {
    supervisor.spawn("peers", move || async move {
        loop {
            links.bell.wait().await;
            for ring in &mut links.inbound {
                while ring.receive().is_some() {}
            }
        }
    })
}
