//! Wake-up shared by everything that one thread waits for.

use std::sync::Arc;

use tokio::sync::Notify;

/// Wakes the thread that owns it. A ring while the thread is busy is kept, so none is lost.
#[derive(Clone, Debug, Default)]
pub struct Doorbell(Arc<Notify>);

impl Doorbell {
    /// Wakes the owner, or lets its next wait return at once.
    pub fn ring(&self) {
        self.0.notify_one();
    }

    /// Waits until the bell is rung.
    pub async fn wait(&self) {
        self.0.notified().await;
    }
}
