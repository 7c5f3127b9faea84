//! Tests of the policy of the exchange, without sockets.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::{claim, digest_of, observed, suspected, suspicion, version_content};
use crate::duty::Duty;
use crate::ids::{EndpointId, LogOffset};
use crate::membership::{Observation, ObservedState};
use crate::peers::{Action, CallId, Digest, EntryAddress, Event, Exchange, ExchangeSettings, Finding};
use crate::pipeline::Address;

const MS_US: u64 = 1_000;

fn address(port: u16) -> Address {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn entry(name: &str, port: u16) -> EntryAddress {
    EntryAddress { entry: EndpointId::new(name, 1), address: address(port) }
}

fn text(digest: &Digest) -> String {
    let claim = digest.claim.as_ref().map_or_else(String::new, |claim| {
        let content = if claim.content.is_some() { " with content" } else { "" };
        format!(" version={} through={}{content}", claim.version, claim.through)
    });
    let findings: Vec<String> = digest
        .findings
        .iter()
        .map(|found| match &found.finding {
            Finding::Observed { observer, endpoint, state } => {
                format!("{observer}:{endpoint}:{state:?} {}ms", found.age_ms)
            }
            Finding::Suspected(suspicion) => {
                format!("{:x}:{} {}ms", suspicion.fingerprint.0, suspicion.endpoint, found.age_ms)
            }
        })
        .collect();
    format!("{}{claim} [{}]", digest.entry, findings.join(", "))
}

/// One entry and a log of its events and actions.
struct Run {
    policy: Exchange,
    lines: String,
}

impl Run {
    fn start(known: &[u16]) -> Self {
        let known = known.iter().map(|port| address(*port)).collect();
        let policy = Exchange::new(ExchangeSettings::default(), EndpointId::new("e0", 1), known);
        Self { policy, lines: String::new() }
    }

    fn event(&mut self, now_ms: u64, name: &str, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(now_ms * MS_US, event, &mut actions);
        self.write(now_ms, name, &actions);
    }

    fn timer(&mut self, now_ms: u64) {
        let mut actions = Vec::new();
        self.policy.on_timer(now_ms * MS_US, &mut actions);
        self.write(now_ms, "timer", &actions);
    }

    fn answer(&mut self, now_ms: u64, port: u16, digest: Digest) {
        let event = Event::CallAnswered { address: address(port), digest: Box::new(digest) };
        self.event(now_ms, &format!("answer of {port}"), event);
    }

    fn write(&mut self, now_ms: u64, name: &str, actions: &[Action]) {
        self.lines.push_str(&format!("{now_ms} ms {name}\n"));
        for action in actions {
            let line = match action {
                Action::Call { address, digest } => format!("call {}: {}", address.port(), text(digest)),
                Action::Reply { call, digest } => format!("reply {}: {}", call.0, text(digest)),
                Action::Close(address) => format!("close {}", address.port()),
                Action::Report(report) => {
                    let version = report.claim.as_ref().map_or(0, |claim| claim.version.0);
                    format!("report {} version={version} asked_us={:?}", report.entry, report.asked_us)
                }
                Action::Observed(observations) => {
                    let seen: Vec<String> = observations
                        .iter()
                        .map(|observation| format!("{}:{:?}", observation.endpoint, observation.state))
                        .collect();
                    format!("observed {}", seen.join(", "))
                }
                Action::Suspected(suspicions) => format!("suspected {}", suspicions.len()),
            };
            self.lines.push_str(&format!("    {line}\n"));
        }
    }
}

/// Guards against rounds that skip an entry, call an entry while an earlier call to it is pending, or call an
/// entry without a pause after a failed call.
#[test]
fn rounds_call_every_entry_in_turn() {
    let mut run = Run::start(&[1]);
    run.timer(0);
    run.event(0, "entries", Event::Entries((2..=5).map(|port| entry("x", port)).collect()));
    run.timer(500);
    run.answer(510, 1, digest_of("e1", None, Vec::new()));
    run.answer(510, 2, digest_of("e2", None, Vec::new()));
    run.event(510, "failure of 3", Event::CallFailed { address: address(3) });
    run.timer(1_000);
    run.timer(1_500);
    run.event(1_501, "entries", Event::Entries(vec![entry("x", 3)]));
    run.answer(1_502, 1, digest_of("e1", None, Vec::new()));
    run.timer(2_000);
    insta::assert_snapshot!(run.lines);
}

/// Guards against a new configuration that waits for the next round, and against sending content to an entry
/// that has it already.
#[test]
fn a_new_configuration_starts_calls_at_once() {
    let mut run = Run::start(&[1, 2, 3, 4]);
    run.timer(0);
    for port in 1..=3 {
        run.answer(1, port, digest_of(&format!("e{port}"), Some(claim(4, 4, false)), Vec::new()));
    }
    run.event(100, "configured", Event::Configured { content: version_content(5), through: LogOffset(5) });
    run.answer(101, 1, digest_of("e1", Some(claim(4, 4, false)), Vec::new()));
    run.answer(102, 2, digest_of("e2", Some(claim(5, 5, false)), Vec::new()));
    run.answer(103, 4, digest_of("e4", Some(claim(3, 3, false)), Vec::new()));
    run.event(
        104,
        "configured through 6",
        Event::Configured { content: version_content(5), through: LogOffset(6) },
    );
    let caller_digest = digest_of("e9", Some(claim(4, 4, false)), Vec::new());
    run.event(105, "call of e9", Event::CallReceived { call: CallId(1), digest: Box::new(caller_digest) });
    let caller_digest = digest_of("e9", Some(claim(5, 5, false)), Vec::new());
    run.event(106, "call of e9", Event::CallReceived { call: CallId(2), digest: Box::new(caller_digest) });
    insta::assert_snapshot!(run.lines);
}

/// Guards against findings that are sent twice to a peer, sent back to their source, attributed to a second
/// observer, or forwarded after they have expired.
#[test]
fn findings_are_forwarded_once_to_each_peer() {
    let mut run = Run::start(&[1]);
    let own = Observation { endpoint: EndpointId::new("engine-1", 1), state: ObservedState::Dead };
    run.event(0, "observed", Event::Observed(vec![own]));
    run.timer(0);
    run.answer(
        10,
        1,
        digest_of(
            "e1",
            None,
            vec![
                observed("e1", "engine-1", ObservedState::Dead, 100),
                observed("e2", "engine-1", ObservedState::Dead, 200),
                observed("e0", "engine-1", ObservedState::Dead, 5),
                // Observed by this entry before it restarted.
                observed("e0", "engine-5", ObservedState::Dead, 5),
                observed("e2", "engine-9", ObservedState::Leaving, 60_000),
                suspected(7, "engine-1", 30_000),
            ],
        ),
    );
    let again = vec![observed("e1", "engine-1", ObservedState::Dead, 600), suspected(7, "engine-1", 31_000)];
    let caller_digest = digest_of("e1", None, again);
    run.event(500, "call of e1", Event::CallReceived { call: CallId(1), digest: Box::new(caller_digest) });
    let caller_digest = digest_of("e3", None, Vec::new());
    run.event(
        510,
        "call of e3",
        Event::CallReceived { call: CallId(2), digest: Box::new(caller_digest.clone()) },
    );
    run.event(520, "suspected", Event::Suspected(vec![suspicion(8, "engine-2")]));
    run.timer(61_000);
    run.event(61_010, "call of e3", Event::CallReceived { call: CallId(3), digest: Box::new(caller_digest) });
    insta::assert_snapshot!(run.lines);
}

/// Guards against a restarted peer that does not get the earlier findings again, and against an entry that
/// keeps calling itself.
#[test]
fn a_restarted_peer_gets_all_findings_and_the_own_address_is_dropped() {
    let mut run = Run::start(&[1, 2]);
    run.event(0, "suspected", Event::Suspected(vec![suspicion(8, "engine-2")]));
    run.answer(1, 1, digest_of("e1", None, Vec::new()));
    run.answer(1, 2, digest_of("e0", None, Vec::new()));
    run.timer(500);
    let mut restarted = digest_of("e1", None, Vec::new());
    restarted.entry.incarnation.0 = 2;
    run.answer(501, 1, restarted.clone());
    run.timer(1_000);
    run.answer(1_001, 1, restarted);
    run.timer(1_500);
    insta::assert_snapshot!(run.lines);
}

/// Entries that exchange without a log, over a network with a delay of 5 ms that loses every fourth call.
struct Mesh {
    policies: Vec<Exchange>,
    calls: VecDeque<(u64, usize, Address, Box<Digest>)>,
    open_calls: Vec<(CallId, usize, Address)>,
    /// Calls to unresponsive entries, with the time at which each of them times out.
    timing_out: VecDeque<(u64, usize, Address)>,
    /// Number of entries, at the end of the list, that accept calls and never answer.
    unresponsive: usize,
    call_count: u64,
    received_versions: Vec<u64>,
}

impl Mesh {
    fn start(entries: u16, unresponsive: usize) -> Self {
        let ports: Vec<Address> = (1..=entries).map(address).collect();
        let policies = (1..=entries)
            .map(|port| {
                let own = EndpointId::new(format!("e{port}").as_str(), 1);
                Exchange::new(ExchangeSettings::default(), own, ports.clone())
            })
            .collect();
        let received_versions = vec![0; usize::from(entries)];
        Self {
            policies,
            calls: VecDeque::new(),
            open_calls: Vec::new(),
            timing_out: VecDeque::new(),
            unresponsive,
            call_count: 0,
            received_versions,
        }
    }

    fn answering(&self) -> usize {
        self.policies.len() - self.unresponsive
    }

    fn event(&mut self, now_us: u64, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.policies[index].on_event(now_us, event, &mut actions);
        self.perform(now_us, index, actions);
    }

    fn perform(&mut self, now_us: u64, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call { address, digest } => {
                    self.calls.push_back((now_us + 5_000, index, address, digest));
                }
                Action::Reply { call, digest } => {
                    let position = self
                        .open_calls
                        .iter()
                        .position(|(open_call, ..)| *open_call == call)
                        .expect("a call");
                    let (_, caller, address) = self.open_calls.remove(position);
                    self.event(now_us, caller, Event::CallAnswered { address, digest });
                }
                Action::Report(report) => {
                    let version_content = report.claim.and_then(|claim| claim.content);
                    if let Some(version_content) = version_content
                        .filter(|version_content| version_content.version().0 > self.received_versions[index])
                    {
                        self.received_versions[index] = version_content.version().0;
                        let through = LogOffset(version_content.version().0);
                        self.event(now_us, index, Event::Configured { content: version_content, through });
                    }
                }
                Action::Close(_) | Action::Observed(_) | Action::Suspected(_) => {}
            }
        }
    }

    /// Performs everything that is due at the given time.
    fn step(&mut self, now_us: u64) {
        while let Some((_, caller, address)) = self.timing_out.pop_front_if(|call| call.0 <= now_us) {
            self.event(now_us, caller, Event::CallFailed { address });
        }
        while let Some((_, caller, address, digest)) = self.calls.pop_front_if(|call| call.0 <= now_us) {
            self.call_count += 1;
            // Every fourth call is lost. For simplicity, the caller sees the failure at once.
            if self.call_count.is_multiple_of(4) {
                self.event(now_us, caller, Event::CallFailed { address });
                continue;
            }
            if usize::from(address.port()) > self.answering() {
                let timeout_us = ExchangeSettings::default().call_timeout_ms * MS_US;
                self.timing_out.push_back((now_us + timeout_us, caller, address));
                continue;
            }
            let call = CallId(self.call_count);
            self.open_calls.push((call, caller, address));
            self.event(now_us, usize::from(address.port()) - 1, Event::CallReceived { call, digest });
        }
        for index in 0..self.answering() {
            if self.policies[index].next_timer_us().is_some_and(|due_us| due_us <= now_us) {
                let mut actions = Vec::new();
                self.policies[index].on_timer(now_us, &mut actions);
                self.perform(now_us, index, actions);
            }
        }
    }
}

/// Guards against a configuration that takes longer than 2 s to reach all entries while the log is down.
#[test]
fn a_configuration_reaches_all_entries_within_2_s() {
    let mut report = String::new();
    for (entries, unresponsive) in [(2, 0), (6, 0), (6, 3), (20, 0), (20, 10)] {
        let mut mesh = Mesh::start(entries, unresponsive);
        let mut now_ms = 0;
        while now_ms < 3_000 {
            mesh.step(now_ms * MS_US);
            now_ms += 1;
        }
        let before = mesh.call_count;
        mesh.received_versions[0] = 7;
        mesh.event(
            now_ms * MS_US,
            0,
            Event::Configured { content: version_content(7), through: LogOffset(7) },
        );
        let begin_ms = now_ms;
        while mesh.received_versions.iter().take(mesh.answering()).any(|version| *version < 7) {
            now_ms += 1;
            assert!(now_ms < begin_ms + 2_000, "version 7 has not reached all answering entries within 2 s");
            mesh.step(now_ms * MS_US);
        }
        let (took_ms, calls) = (now_ms - begin_ms, mesh.call_count - before);
        report.push_str(&format!(
            "{entries} entries: {took_ms} ms, {calls} calls; {before} calls in 3 s before\n"
        ));
    }
    insta::assert_snapshot!(report);
}

/// Guards against two entries that see the same crash and retry the suspected content at the same time.
#[test]
fn only_the_entry_with_the_later_name_reports_a_suspicion_that_both_have() {
    let is_reported = |other: &str| {
        let mut run = Run::start(&[1]);
        run.event(0, "suspected", Event::Suspected(vec![suspicion(7, "engine-1")]));
        run.answer(1, 1, digest_of(other, None, vec![suspected(7, "engine-1", 0)]));
        run.lines.contains("suspected 1")
    };
    assert!(is_reported("a9"), "e0 comes after a9, so it reports the suspicion of a9");
    assert!(!is_reported("e1"), "e0 comes before e1, so it does not report the suspicion of e1");
}
