//! Nodes that run the configuration policy on one fake log, driven step by step without threads.

use super::fake_log::FakeLog;
use crate::configuration::{
    Action, Claim, ConfigurationPolicy, ConfigurationSettings, Decision, Event, PeerReport, VersionContent,
};
use crate::duty::Duty;
use crate::ids::{ConfigVersion, EndpointId, Fingerprint, LogOffset};

/// Unix time at time 0 of every run.
pub(super) const UNIX_START_MS: u64 = 1_000_000_000;

/// An entry with its configuration policy and the outputs that the tests inspect.
pub(super) struct Node {
    pub name: String,
    pub policy: ConfigurationPolicy,
    pub read: Option<Read>,
    pub append: Option<String>,
    pub claim: Option<(VersionContent, LogOffset)>,
    pub published: Vec<(ConfigVersion, Fingerprint)>,
    /// Last published version that a test has checked.
    pub checked: ConfigVersion,
    pub decisions: Vec<Decision>,
    pub certain: bool,
    pub lines: Vec<String>,
    pub frozen: bool,
}

/// A read whose answer is pending.
#[derive(Clone, Copy, Debug)]
pub(super) struct Read {
    pub from: LogOffset,
    pub due_us: u64,
    pub give_up_us: u64,
}

impl Node {
    pub fn start(now_us: u64, name: &str, seed: u64, settings: &ConfigurationSettings) -> Self {
        let mut node = Self {
            name: name.to_owned(),
            policy: ConfigurationPolicy::new(settings, name, seed),
            read: None,
            append: None,
            claim: None,
            published: Vec::new(),
            checked: ConfigVersion(0),
            decisions: Vec::new(),
            certain: true,
            lines: Vec::new(),
            frozen: false,
        };
        node.run_timer(now_us);
        node
    }

    pub fn on_event(&mut self, now_us: u64, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(now_us, event, &mut actions);
        self.perform(now_us, actions);
    }

    pub fn run_timer(&mut self, now_us: u64) {
        if self.policy.next_timer_us().is_some_and(|due_us| due_us <= now_us) {
            let mut actions = Vec::new();
            self.policy.on_timer(now_us, &mut actions);
            self.perform(now_us, actions);
            let next_us = self.policy.next_timer_us();
            assert!(
                next_us.is_none_or(|due_us| due_us > now_us),
                "the timer is still due after it ran at {now_us} us"
            );
        }
    }

    /// Answers the pending read if it is due and the log has records, is down, or has waited long enough.
    pub fn run_read(&mut self, now_us: u64, log: &FakeLog) -> bool {
        let Some(read) = self.read.filter(|read| read.due_us <= now_us) else { return false };
        let records = log.read(read.from);
        let is_empty = records.as_ref().is_some_and(|records| records.records.is_empty());
        if is_empty && now_us < read.give_up_us {
            return false;
        }
        self.read = None;
        self.on_event(now_us, Event::Read { records, unix_ms: unix_ms(now_us) });
        true
    }

    pub fn run_append(&mut self, now_us: u64, log: &mut FakeLog) {
        let Some(data) = self.append.take() else { return };
        let succeeded = log.append(unix_ms(now_us), data).is_some();
        self.on_event(now_us, Event::Appended { succeeded });
    }

    pub fn version(&self) -> u64 {
        self.policy.published().0
    }

    /// Returns the claim for a peer that has the given version. It holds the content only if that version is
    /// older.
    pub fn claim_for(&self, version: ConfigVersion) -> Option<Claim> {
        let (content, through) = self.claim.as_ref()?;
        let sent = (content.version() > version).then(|| content.clone());
        Some(Claim { version: content.version(), through: *through, digest: content.digest(), content: sent })
    }

    fn perform(&mut self, now_us: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read { from, after_ms, wait_ms } => {
                    assert!(self.read.is_none(), "a read was requested while another one is pending");
                    let due_us = now_us + after_ms * 1_000;
                    self.read = Some(Read { from, due_us, give_up_us: due_us + wait_ms * 1_000 });
                }
                Action::Append(record) => {
                    assert!(self.append.is_none(), "an append was requested while another one is pending");
                    self.append = Some(serde_json::to_string(&record).expect("the record can be encoded"));
                    self.note(now_us, "append restate");
                }
                Action::Publish(content) => {
                    self.published.push((content.version(), content.digest()));
                    let preset = content.configuration.preset;
                    self.note(now_us, &format!("publish version={} preset={preset}", content.version()));
                }
                Action::Claim { content, through } => self.claim = Some((content, through)),
                Action::Certain(certain) => self.certain = certain,
                Action::CertainUntil(_) => {}
                Action::Peers(versions) => {
                    let versions: Vec<String> = versions
                        .iter()
                        .map(|peer| format!("{}@{} answers={}", peer.instance, peer.version, peer.answers))
                        .collect();
                    self.note(now_us, &format!("peers {}", versions.join(", ")));
                }
                Action::Decide(decision) => {
                    self.note(now_us, &decision.to_string());
                    self.decisions.push(decision);
                }
            }
        }
    }

    fn note(&mut self, now_us: u64, text: &str) {
        self.lines.push(format!("{:>7} ms {}: {text}", now_us / 1_000, self.name));
    }
}

pub(super) fn unix_ms(now_us: u64) -> u64 {
    UNIX_START_MS + now_us / 1_000
}

/// Lets one node call another; each receives the report of the other.
pub(super) fn exchange(now_us: u64, asked_us: u64, caller: &mut Node, callee: &mut Node) {
    let (to, from) =
        (caller.claim_for(callee.policy.published()), callee.claim_for(caller.policy.published()));
    let report = |node: &Node, claim, asked_us| PeerReport {
        entry: EndpointId::new(node.name.as_str(), 1),
        operators: None,
        claim,
        asked_us,
    };
    let (to, from) = (report(caller, to, None), report(callee, from, Some(asked_us)));
    callee.on_event(now_us, Event::Peer(to));
    caller.on_event(now_us, Event::Peer(from));
}

/// Runs reads, appends and timers of the nodes that are not frozen, in steps of 10 ms.
pub(super) fn run(nodes: &mut [Node], log: &mut FakeLog, from_us: u64, until_us: u64) {
    let mut now_us = from_us;
    while now_us <= until_us {
        for node in nodes.iter_mut().filter(|node| !node.frozen) {
            settle(node, log, now_us);
        }
        now_us += 10_000;
    }
}

/// Runs the due timer, append and reads of one node.
pub(super) fn settle(node: &mut Node, log: &mut FakeLog, now_us: u64) {
    node.run_timer(now_us);
    node.run_append(now_us, log);
    let mut reads = 0;
    while node.run_read(now_us, log) {
        reads += 1;
        assert!(reads < 10_000, "{reads} reads at {now_us} us: the log is read without a pause");
    }
}
