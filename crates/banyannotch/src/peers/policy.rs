//! Decides what to exchange with whom, apart from how it is encoded.
//!
//! Every round calls a few entries in turn. A change of the own configuration or a new suspicion starts a round at
//! once, and entries that learn of it start theirs, so that news spread faster than the rounds.

use super::findings::Findings;
use super::state::{Call, Peer};
use super::{Action, CallId, Digest, EntryAddress, Event, ExchangeSettings, Finding};
use crate::clock::US_PER_MS;
use crate::configuration::{Claim, PeerReport, VersionContent};
use crate::duty::Duty;
use crate::ids::{ConfigVersion, EndpointId, InstanceId, LogOffset};
use crate::membership::Observation;
use crate::pipeline::Address;
use crate::table::Table;

/// Calls that news start, as a multiple of the fanout; the receivers pass the news on.
const URGENT_FACTOR: usize = 2;

/// The pause after failed calls doubles up to this often. An entry that comes back calls the others itself.
const PAUSE_DOUBLINGS: u32 = 3;

/// Which entry is called next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
    /// The one whose last call is the longest ago.
    LongestAgo,
    /// The same, but entries whose last call failed come last.
    AnsweringFirst,
}

/// The policy of the exchange.
#[derive(Debug)]
pub struct Exchange {
    settings: ExchangeSettings,
    own: EndpointId,
    operators: Option<Address>,
    known: Vec<Address>,
    listed: Vec<Address>,
    /// Addresses at which this entry itself answered.
    own_addresses: Vec<Address>,
    claim: Option<(VersionContent, LogOffset)>,
    findings: Findings,
    peers: Table<Address, Peer>,
    round: u64,
    /// Calls that may still be made for the latest news.
    urgent_calls: usize,
    next_round_us: u64,
}

impl Exchange {
    /// Creates the policy of an entry. Entries at the known addresses are called before the instance list names any.
    pub fn new(settings: ExchangeSettings, own: EndpointId, known: Vec<Address>) -> Self {
        let mut exchange = Self {
            settings,
            own,
            operators: None,
            known,
            listed: Vec::new(),
            own_addresses: Vec::new(),
            claim: None,
            findings: Findings::default(),
            peers: Table::default(),
            round: 0,
            urgent_calls: 0,
            next_round_us: 0,
        };
        exchange.update_peers(&mut Vec::new());
        exchange
    }

    /// Tells the other entries where this one takes operators' requests. An address that stands for all interfaces is
    /// kept back, because nobody could connect to it.
    pub fn with_operators(self, address: Address) -> Self {
        Self { operators: Some(address).filter(|address| !address.ip().is_unspecified()), ..self }
    }

    fn on_configured(
        &mut self,
        now_us: u64,
        stated: VersionContent,
        through: LogOffset,
        actions: &mut Vec<Action>,
    ) {
        let is_newer = stated.version() > self.version();
        self.claim = Some((stated, through));
        if is_newer {
            self.hurry(now_us, actions);
        }
    }

    fn on_entries(&mut self, entries: Vec<EntryAddress>, actions: &mut Vec<Action>) {
        // An address of this entry may belong to another one by now; a call tells.
        self.own_addresses.clear();
        self.listed = entries.into_iter().map(|entry| entry.address).collect();
        self.update_peers(actions);
    }

    fn update_peers(&mut self, actions: &mut Vec<Action>) {
        let mut wanted: Vec<Address> = self.known.iter().chain(&self.listed).copied().collect();
        wanted.retain(|address| !self.own_addresses.contains(address));
        self.peers.retain(|address, _| {
            let keep = wanted.contains(address);
            if !keep {
                actions.push(Action::Close(*address));
            }
            keep
        });
        for address in wanted {
            self.peers.entry(address);
        }
    }

    fn on_suspected(&mut self, now_us: u64, findings: Vec<Finding>, actions: &mut Vec<Action>) {
        self.add_own(now_us, findings);
        self.hurry(now_us, actions);
    }

    fn add_own(&mut self, now_us: u64, findings: impl IntoIterator<Item = Finding>) {
        for finding in findings {
            self.findings.add_own(now_us, finding, &self.settings);
        }
    }

    fn observed(&self, observation: Observation) -> Finding {
        let Observation { endpoint, state } = observation;
        Finding::Observed { observer: self.own.instance.clone(), endpoint, state }
    }

    fn on_asked(&mut self, now_us: u64, call: CallId, digest: &Digest, actions: &mut Vec<Action>) {
        let receiver = digest.entry.instance.clone();
        // The answer leaves out what the call tells, and the call leaves out what an earlier call of this entry told.
        let reached = self.peer_of(&digest.entry).map_or(0, |peer| peer.reached);
        let (findings, _) = self.findings.after(now_us, reached, Some(&receiver), &self.settings);
        self.note_alive(&receiver);
        if receiver != self.own.instance {
            self.take_in(now_us, digest, None, actions);
        }
        let claim = self.claim_for(digest.version());
        let answer = Digest { entry: self.own.clone(), operators: self.operators, claim, findings };
        actions.push(Action::Reply { call, digest: Box::new(answer) });
        self.call_urgent(now_us, actions);
    }

    /// An entry that calls can be called again.
    fn note_alive(&mut self, instance: &InstanceId) {
        let is_same = |peer: &Peer| peer.entry.as_ref().is_some_and(|entry| entry.instance == *instance);
        for (_, peer) in self.peers.iter_mut().filter(|(_, peer)| is_same(peer)) {
            peer.paused_until_us = 0;
        }
    }

    fn on_answered(&mut self, now_us: u64, address: Address, digest: &Digest, actions: &mut Vec<Action>) {
        if digest.entry.instance == self.own.instance {
            self.own_addresses.push(address);
            self.update_peers(actions);
            return;
        }
        let Some(peer) = self.peers.get_mut(&address) else { return };
        let Some(call) = peer.call.take() else { return };
        let is_same = peer.entry.as_ref() == Some(&digest.entry);
        // Another incarnation may have answered than the one that earlier calls reached.
        peer.reached = if is_same || peer.reached == 0 { call.findings } else { 0 };
        peer.entry = Some(digest.entry.clone());
        peer.failures = 0;
        peer.version = digest.version().max(call.content);
        self.take_in(now_us, digest, Some(call.sent_us), actions);
        let is_behind = self.peers.get(&address).is_some_and(|peer| peer.version < self.version());
        if is_behind {
            self.call(now_us, address, actions);
        }
        self.call_urgent(now_us, actions);
    }

    fn on_failed(&mut self, now_us: u64, address: Address, actions: &mut Vec<Action>) {
        let pause_us = self.settings.retry_pause_ms * US_PER_MS;
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.call = None;
            peer.paused_until_us = now_us + (pause_us << peer.failures.min(PAUSE_DOUBLINGS));
            peer.failures = peer.failures.saturating_add(1);
        }
        self.call_urgent(now_us, actions);
    }

    /// Gives the duties what another entry told, as far as it is new.
    fn take_in(&mut self, now_us: u64, digest: &Digest, asked_us: Option<u64>, actions: &mut Vec<Action>) {
        let report = PeerReport {
            entry: digest.entry.clone(),
            operators: digest.operators,
            claim: digest.claim.clone(),
            asked_us,
        };
        actions.push(Action::Report(Box::new(report)));
        let (mut observations, mut suspicions) = (Vec::new(), Vec::new());
        for found in &digest.findings {
            let yields = self.yields(&found.finding, &digest.entry.instance);
            if self.is_own(&found.finding)
                || !(self.findings.add(now_us, found, &digest.entry.instance, &self.settings) || yields)
            {
                continue;
            }
            match &found.finding {
                Finding::Observed { endpoint, state, .. } => {
                    observations.push(Observation { endpoint: endpoint.clone(), state: *state });
                }
                Finding::Suspected(suspicion) => suspicions.push(suspicion.clone()),
            }
        }
        if !observations.is_empty() {
            actions.push(Action::Observed(observations));
        }
        if !suspicions.is_empty() {
            actions.push(Action::Suspected(suspicions));
            self.urgent_calls = self.settings.fanout * URGENT_FACTOR;
            self.round += 1;
        }
    }

    /// Whether this entry observed it itself and heard it back.
    fn is_own(&self, finding: &Finding) -> bool {
        matches!(finding, Finding::Observed { observer, .. } if *observer == self.own.instance)
    }

    /// Whether this entry and another one saw the same crash with the same content. Execution of the entry whose name
    /// comes later hears of it, so that not both try the content again at the same time.
    fn yields(&self, finding: &Finding, other: &InstanceId) -> bool {
        matches!(finding, Finding::Suspected(_))
            && *other < self.own.instance
            && self.findings.holds_own(finding)
    }

    /// Calls entries at once, because there is news.
    fn hurry(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.round += 1;
        self.urgent_calls = self.settings.fanout * URGENT_FACTOR;
        self.call_urgent(now_us, actions);
    }

    fn call_urgent(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        while self.urgent_calls > 0 && self.call_next(now_us, Order::AnsweringFirst, actions) {
            self.urgent_calls -= 1;
        }
    }

    /// Calls one entry, unless enough calls are under way. Returns whether one was called.
    fn call_next(&mut self, now_us: u64, order: Order, actions: &mut Vec<Action>) -> bool {
        // A call that has waited for a whole interval is probably lost. Counting it would let a few silent entries keep
        // news from all others until the timeout.
        let lost_after_us = self.settings.interval_ms * US_PER_MS;
        let calls = self.peers.iter().filter_map(|(_, peer)| peer.call);
        let under_way = calls.filter(|call| call.sent_us + lost_after_us > now_us).count();
        if under_way >= self.settings.fanout {
            return false;
        }
        let next = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.call.is_none() && peer.paused_until_us <= now_us)
            .filter(|(_, peer)| peer.called_round < self.round)
            .min_by_key(|(_, peer)| {
                let is_doubtful =
                    order == Order::AnsweringFirst && (peer.failures > 0 || peer.entry.is_none());
                (is_doubtful, peer.called_round)
            })
            .map(|(address, _)| *address);
        let Some(address) = next else { return false };
        self.call(now_us, address, actions);
        true
    }

    fn call(&mut self, now_us: u64, address: Address, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(&address) else { return };
        let receiver = peer.entry.as_ref().map(|entry| &entry.instance);
        let (findings, last) = self.findings.after(now_us, peer.reached, receiver, &self.settings);
        // The content goes only to an entry that is known to be behind; an unknown one asks for it by its answer.
        let claim = if peer.entry.is_some() {
            self.claim_for(peer.version)
        } else {
            self.claim_for(ConfigVersion(u64::MAX))
        };
        let content = claim.as_ref().filter(|claim| claim.content.is_some()).map(|claim| claim.version);
        let digest = Digest { entry: self.own.clone(), operators: self.operators, claim, findings };
        let round = self.round;
        let Some(peer) = self.peers.get_mut(&address) else { return };
        peer.called_round = round;
        peer.call = Some(Call { sent_us: now_us, findings: last, content: content.unwrap_or_default() });
        actions.push(Action::Call { address, digest: Box::new(digest) });
    }

    fn claim_for(&self, version: ConfigVersion) -> Option<Claim> {
        let (stated, through) = self.claim.as_ref()?;
        let sent = (stated.version() > version).then(|| stated.clone());
        Some(Claim { version: stated.version(), through: *through, digest: stated.digest(), content: sent })
    }

    fn version(&self) -> ConfigVersion {
        self.claim.as_ref().map(|(stated, _)| stated.version()).unwrap_or_default()
    }

    fn peer_of(&self, entry: &EndpointId) -> Option<&Peer> {
        self.peers.iter().map(|(_, peer)| peer).find(|peer| peer.entry.as_ref() == Some(entry))
    }

    /// Returns the entries that answer, for tests and operators.
    pub fn answering(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.iter().filter_map(|(_, peer)| peer.entry.as_ref().map(|entry| &entry.instance))
    }
}

impl Duty for Exchange {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Suspected(suspicions) => {
                let findings = suspicions.into_iter().map(Finding::Suspected).collect();
                self.on_suspected(now_us, findings, actions);
            }
            Event::Observed(observations) => {
                let findings: Vec<Finding> =
                    observations.into_iter().map(|observation| self.observed(observation)).collect();
                self.add_own(now_us, findings);
            }
            Event::Configured { stated, through } => self.on_configured(now_us, stated, through, actions),
            Event::Entries(entries) => self.on_entries(entries, actions),
            Event::Asked { call, digest } => self.on_asked(now_us, call, &digest, actions),
            Event::Answered { address, digest } => self.on_answered(now_us, address, &digest, actions),
            Event::Failed { address } => self.on_failed(now_us, address, actions),
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        Some(self.next_round_us)
    }

    fn on_timer(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if now_us < self.next_round_us {
            return;
        }
        self.findings.expire(now_us);
        self.next_round_us = now_us + self.settings.interval_ms.max(1) * US_PER_MS;
        self.round += 1;
        for _ in 0..self.settings.fanout {
            if !self.call_next(now_us, Order::LongestAgo, actions) {
                return;
            }
        }
    }
}
