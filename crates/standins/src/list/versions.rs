//! The policy of the instance list.

use std::collections::VecDeque;

use banyannotch::backing::{Instances, ListedInstance};
use banyannotch::clock::US_PER_MS;
use banyannotch::duty::Duty;

use super::{Answer, Change, ListFaults, Message};
use crate::process::{Arrival, Effect};

/// Maximum number of stored versions. Versions older than the visible one are kept too, because a
/// larger lag makes one of them visible again.
const MAX_VERSIONS: usize = 256;

/// The instance list.
#[derive(Debug)]
pub struct List {
    faults: ListFaults,
    /// Versions of the list with the time of the change that created each, oldest first.
    versions: VecDeque<(u64, Vec<ListedInstance>)>,
}

impl List {
    /// Creates an empty list.
    pub fn new(faults: ListFaults) -> Self {
        Self { faults, versions: VecDeque::new() }
    }

    fn visible_at(&self, now_us: u64) -> Instances {
        let lag_us = self.faults.lag_ms * US_PER_MS;
        let visible = self.versions.iter().rev().find(|(time_us, _)| time_us + lag_us <= now_us);
        Instances { instances: visible.map(|(_, instances)| instances.clone()).unwrap_or_default() }
    }

    fn change(&mut self, now_us: u64, change: Change) {
        let mut instances = self.versions.back().map(|(_, last)| last.clone()).unwrap_or_default();
        match change {
            Change::Replace { instances: all } => instances = all,
            Change::Remove { remove } => instances.retain(|listed| listed.instance != remove),
            Change::Put(put) => match instances.iter_mut().find(|listed| listed.instance == put.instance) {
                Some(listed) => *listed = put,
                None => instances.push(put),
            },
        }
        self.versions.push_back((now_us, instances));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }
}

impl Duty for List {
    type Event = Arrival<Message>;
    type Action = Effect<Answer>;

    fn on_event(&mut self, now_us: u64, event: Self::Event, actions: &mut Vec<Self::Action>) {
        let answer = match event.message {
            Message::Read if self.faults.down => Answer::Down,
            Message::Read => Answer::Instances(self.visible_at(now_us)),
            Message::Change(change) => {
                self.change(now_us, change);
                Answer::Done
            }
            Message::SetFaults(patch) => {
                self.faults.merge(patch);
                Answer::Faults(self.faults.clone())
            }
        };
        actions.push(Effect::Send { ticket: event.ticket, answer, delay_us: 0 });
    }

    fn next_timer_us(&self) -> Option<u64> {
        None
    }

    fn on_timer(&mut self, _now_us: u64, _actions: &mut Vec<Self::Action>) {}
}
