//! Stand-in for the platform's load balancer: round robin over the entries that report ready.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use banyannotch::http::{Client, ClientSettings};
use banyannotch::pipeline::Address;
use futures_util::future::join_all;

/// Interval between two readiness checks of the entries.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a readiness check.
const CHECK_TIMEOUT_MS: u64 = 500;

/// Entries with their readiness at the last check.
#[derive(Debug, Default)]
pub struct Balancer {
    entries: RefCell<Vec<(Address, bool)>>,
    next: Cell<usize>,
}

impl Balancer {
    /// Creates the balancer; all entries count as ready until the first check.
    pub fn new(entries: impl IntoIterator<Item = Address>) -> Self {
        let entries = entries.into_iter().map(|address| (address, true)).collect();
        Self { entries: RefCell::new(entries), next: Cell::new(0) }
    }

    /// Adds an entry, which counts as unready until a check succeeds.
    pub fn add(&self, entry: Address) {
        self.entries.borrow_mut().push((entry, false));
    }

    /// Returns the next entry. Prefers a ready entry other than `avoided`, then any ready entry, then any
    /// entry.
    pub fn pick(&self, avoided: Option<Address>) -> Option<Address> {
        let entries = self.entries.borrow();
        let usable = |with_avoided: bool, with_unready: bool| -> Vec<Address> {
            let accepted = entries.iter().filter(|(address, ready)| {
                (*ready || with_unready) && (with_avoided || avoided != Some(*address))
            });
            accepted.map(|(address, _)| *address).collect()
        };
        let choices = [usable(false, false), usable(true, false), usable(true, true)];
        let choice = choices.into_iter().find(|choice| !choice.is_empty())?;
        let next = self.next.get();
        self.next.set(next.wrapping_add(1));
        choice.get(next % choice.len()).copied()
    }

    /// Checks the readiness of the entries until the future is dropped.
    pub async fn watch(self: Rc<Self>) {
        let client = Client::new(ClientSettings::default());
        loop {
            let addresses: Vec<Address> = self.entries.borrow().iter().map(|(address, _)| *address).collect();
            let checks = addresses.iter().map(|address| client.get(*address, "/readyz", CHECK_TIMEOUT_MS));
            let results = join_all(checks).await;
            for ((_, ready), result) in self.entries.borrow_mut().iter_mut().zip(results) {
                *ready = result.is_ok_and(|answer| answer.status == 200);
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
