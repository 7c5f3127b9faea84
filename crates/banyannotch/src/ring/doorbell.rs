//! Wake-up signal of a thread, shared by all its sources of events.

use std::sync::Arc;

use tokio::sync::Notify;

/// Wakes the thread that owns it. A ring while the thread is busy is remembered until its next wait, so no wake-up is
/// lost.
#[derive(Clone, Debug, Default)]
pub struct Doorbell(Arc<Notify>);

impl Doorbell {
    /// Wakes the owner, or lets its next wait return at once.
    pub fn ring(&self) {
        self.0.notify_one();
    }

    /// Waits until the doorbell is rung.
    pub async fn wait(&self) {
        self.0.notified().await;
    }
}
