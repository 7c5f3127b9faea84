//! Decides which entries to call and what to send to them. It is independent of the encoding.
//!
//! Each round calls a few entries in turn. A newer configuration or a new suspicion starts calls at once, and
//! the entries that receive it do the same, so that it spreads faster than the interval of the rounds.

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

/// Number of calls that an urgent update starts, as a multiple of the fanout. The receivers forward the
/// update.
const URGENT_CALLS_PER_FANOUT: usize = 2;

/// Maximum number of times that the pause after failed calls doubles. A long pause does no harm, because an
/// entry that recovers calls the others itself.
const PAUSE_DOUBLINGS: u32 = 3;

/// Order in which entries are called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallOrder {
    /// The entry whose last call is the longest ago comes first.
    LeastRecentlyCalled,
    /// As [`Self::LeastRecentlyCalled`], but entries that never answered or whose last call failed come last.
    AnsweringFirst,
}

/// The policy of the exchange.
#[derive(Debug)]
pub struct Exchange {
    settings: ExchangeSettings,
    own: EndpointId,
    operators: Option<Address>,
    known_peers: Vec<Address>,
    listed_peers: Vec<Address>,
    /// Addresses at which this entry itself answered its own call.
    own_addresses: Vec<Address>,
    claim: Option<(VersionContent, LogOffset)>,
    findings: Findings,
    peers: Table<Address, Peer>,
    round: u64,
    /// Number of calls still to be made for the latest urgent update.
    urgent_calls: usize,
    next_round_us: u64,
}

impl Exchange {
    /// Creates the policy of an entry. The known peers are called even before the instance list is available.
    pub fn new(settings: ExchangeSettings, own: EndpointId, known_peers: Vec<Address>) -> Self {
        let mut exchange = Self {
            settings,
            own,
            operators: None,
            known_peers,
            listed_peers: Vec::new(),
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

    /// Sets the address of the operators' port that digests announce. An unspecified address is not
    /// announced, because other machines cannot connect to it.
    pub fn with_operators(self, address: Address) -> Self {
        Self { operators: Some(address).filter(|address| !address.ip().is_unspecified()), ..self }
    }

    fn on_configured(
        &mut self,
        now_us: u64,
        content: VersionContent,
        through: LogOffset,
        actions: &mut Vec<Action>,
    ) {
        let is_newer = content.version() > self.version();
        self.claim = Some((content, through));
        if is_newer {
            self.start_urgent_calls(now_us, actions);
        }
    }

    fn on_entries(&mut self, entries: Vec<EntryAddress>, actions: &mut Vec<Action>) {
        // An address of this entry may have been reassigned to another entry. The next call to it shows who
        // answers.
        self.own_addresses.clear();
        self.listed_peers = entries.into_iter().map(|entry| entry.address).collect();
        self.update_peers(actions);
    }

    fn update_peers(&mut self, actions: &mut Vec<Action>) {
        let mut wanted: Vec<Address> = self.known_peers.iter().chain(&self.listed_peers).copied().collect();
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
        self.start_urgent_calls(now_us, actions);
    }

    fn add_own(&mut self, now_us: u64, findings: impl IntoIterator<Item = Finding>) {
        for finding in findings {
            self.findings.add_own(now_us, finding, &self.settings);
        }
    }

    fn observed_finding(&self, observation: Observation) -> Finding {
        let Observation { endpoint, state } = observation;
        Finding::Observed { observer: self.own.instance.clone(), endpoint, state }
    }

    fn on_call_received(&mut self, now_us: u64, call: CallId, digest: &Digest, actions: &mut Vec<Action>) {
        let caller = digest.entry.instance.clone();
        // The findings are selected before those of the call are stored, so that the reply does not repeat
        // them. The caller likewise leaves out findings that an earlier call of this entry sent.
        let acknowledged_sequence = self.peer_of(&digest.entry).map_or(0, |peer| peer.acknowledged_sequence);
        let (findings, _) = self.findings.after(now_us, acknowledged_sequence, Some(&caller), &self.settings);
        self.resume_calls_to(&caller);
        if caller != self.own.instance {
            self.apply_digest(now_us, digest, None, actions);
        }
        let claim = self.claim_for(digest.version());
        let answer = Digest { entry: self.own.clone(), operators: self.operators, claim, findings };
        actions.push(Action::Reply { call, digest: Box::new(answer) });
        self.continue_urgent_calls(now_us, actions);
    }

    /// Ends the pause of calls to an entry, because its call shows that it is running again.
    fn resume_calls_to(&mut self, instance: &InstanceId) {
        let is_same = |peer: &Peer| peer.entry.as_ref().is_some_and(|entry| entry.instance == *instance);
        for (_, peer) in self.peers.iter_mut().filter(|(_, peer)| is_same(peer)) {
            peer.paused_until_us = 0;
        }
    }

    fn on_answer(&mut self, now_us: u64, address: Address, digest: &Digest, actions: &mut Vec<Action>) {
        if digest.entry.instance == self.own.instance {
            self.own_addresses.push(address);
            self.update_peers(actions);
            return;
        }
        let Some(peer) = self.peers.get_mut(&address) else { return };
        let Some(call) = peer.pending_call.take() else { return };
        let is_same = peer.entry.as_ref() == Some(&digest.entry);
        // If another incarnation answered than the one that received the earlier findings, all are sent
        // again.
        peer.acknowledged_sequence =
            if is_same || peer.acknowledged_sequence == 0 { call.last_sequence } else { 0 };
        peer.entry = Some(digest.entry.clone());
        peer.consecutive_failures = 0;
        peer.version = digest.version().max(call.content_version);
        self.apply_digest(now_us, digest, Some(call.sent_us), actions);
        let is_behind = self.peers.get(&address).is_some_and(|peer| peer.version < self.version());
        if is_behind {
            self.call(now_us, address, actions);
        }
        self.continue_urgent_calls(now_us, actions);
    }

    fn on_call_failed(&mut self, now_us: u64, address: Address, actions: &mut Vec<Action>) {
        let pause_us = self.settings.retry_pause_ms * US_PER_MS;
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.pending_call = None;
            peer.paused_until_us = now_us + (pause_us << peer.consecutive_failures.min(PAUSE_DOUBLINGS));
            peer.consecutive_failures = peer.consecutive_failures.saturating_add(1);
        }
        self.continue_urgent_calls(now_us, actions);
    }

    /// Reports the configuration state in a digest, and forwards its new findings to membership and
    /// execution. A new suspicion is also an urgent update for other entries.
    fn apply_digest(
        &mut self,
        now_us: u64,
        digest: &Digest,
        asked_us: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let report = PeerReport {
            entry: digest.entry.clone(),
            operators: digest.operators,
            claim: digest.claim.clone(),
            asked_us,
        };
        actions.push(Action::Report(Box::new(report)));
        let (mut observations, mut suspicions) = (Vec::new(), Vec::new());
        for found in &digest.findings {
            let reports_duplicate = self.reports_duplicate(&found.finding, &digest.entry.instance);
            if self.is_own(&found.finding)
                || !(self.findings.add(now_us, found, &digest.entry.instance, &self.settings)
                    || reports_duplicate)
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
            self.urgent_calls = self.settings.fanout * URGENT_CALLS_PER_FANOUT;
            self.round += 1;
        }
    }

    /// Returns whether the finding is an observation of this entry that another entry sent back.
    fn is_own(&self, finding: &Finding) -> bool {
        matches!(finding, Finding::Observed { observer, .. } if *observer == self.own.instance)
    }

    /// Returns whether another entry's suspicion is reported to execution although this entry has the same
    /// suspicion, because both saw the same crash. Only the entry whose name comes later reports it, so that
    /// the two do not retry the suspected content at the same time.
    fn reports_duplicate(&self, finding: &Finding, other: &InstanceId) -> bool {
        matches!(finding, Finding::Suspected(_))
            && *other < self.own.instance
            && self.findings.has_own(finding)
    }

    /// Starts calls for an urgent update.
    fn start_urgent_calls(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.round += 1;
        self.urgent_calls = self.settings.fanout * URGENT_CALLS_PER_FANOUT;
        self.continue_urgent_calls(now_us, actions);
    }

    fn continue_urgent_calls(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        while self.urgent_calls > 0 && self.call_next(now_us, CallOrder::AnsweringFirst, actions) {
            self.urgent_calls -= 1;
        }
    }

    /// Calls one entry, unless the limit of calls in flight is reached. Returns whether an entry was called.
    fn call_next(&mut self, now_us: u64, order: CallOrder, actions: &mut Vec<Action>) -> bool {
        // A call that is unanswered after a whole interval is probably lost. It does not count, because
        // otherwise a few unresponsive entries could delay updates to all others until the timeout.
        let lost_after_us = self.settings.interval_ms * US_PER_MS;
        let calls = self.peers.iter().filter_map(|(_, peer)| peer.pending_call);
        let in_flight = calls.filter(|call| call.sent_us + lost_after_us > now_us).count();
        if in_flight >= self.settings.fanout {
            return false;
        }
        let next = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.pending_call.is_none() && peer.paused_until_us <= now_us)
            .filter(|(_, peer)| peer.last_called_round < self.round)
            .min_by_key(|(_, peer)| {
                let is_unresponsive = order == CallOrder::AnsweringFirst
                    && (peer.consecutive_failures > 0 || peer.entry.is_none());
                (is_unresponsive, peer.last_called_round)
            })
            .map(|(address, _)| *address);
        let Some(address) = next else { return false };
        self.call(now_us, address, actions);
        true
    }

    fn call(&mut self, now_us: u64, address: Address, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(&address) else { return };
        let receiver = peer.entry.as_ref().map(|entry| &entry.instance);
        let (findings, last_sequence) =
            self.findings.after(now_us, peer.acknowledged_sequence, receiver, &self.settings);
        // The content is sent only to an entry that is known to have a lower version. The version of an entry
        // that has never answered is unknown until its answer, after which it is called again if it is
        // behind.
        let claim = if peer.entry.is_some() {
            self.claim_for(peer.version)
        } else {
            self.claim_for(ConfigVersion(u64::MAX))
        };
        let content = claim.as_ref().filter(|claim| claim.content.is_some()).map(|claim| claim.version);
        let digest = Digest { entry: self.own.clone(), operators: self.operators, claim, findings };
        let round = self.round;
        let Some(peer) = self.peers.get_mut(&address) else { return };
        peer.last_called_round = round;
        peer.pending_call =
            Some(Call { sent_us: now_us, last_sequence, content_version: content.unwrap_or_default() });
        actions.push(Action::Call { address, digest: Box::new(digest) });
    }

    fn claim_for(&self, version: ConfigVersion) -> Option<Claim> {
        let (content, through) = self.claim.as_ref()?;
        let sent = (content.version() > version).then(|| content.clone());
        Some(Claim { version: content.version(), through: *through, digest: content.digest(), content: sent })
    }

    fn version(&self) -> ConfigVersion {
        self.claim.as_ref().map(|(content, _)| content.version()).unwrap_or_default()
    }

    fn peer_of(&self, entry: &EndpointId) -> Option<&Peer> {
        self.peers.iter().map(|(_, peer)| peer).find(|peer| peer.entry.as_ref() == Some(entry))
    }

    /// Returns the instances that have answered calls at the current peer addresses.
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
                    observations.into_iter().map(|observation| self.observed_finding(observation)).collect();
                self.add_own(now_us, findings);
            }
            Event::Configured { content, through } => self.on_configured(now_us, content, through, actions),
            Event::Entries(entries) => self.on_entries(entries, actions),
            Event::CallReceived { call, digest } => self.on_call_received(now_us, call, &digest, actions),
            Event::CallAnswered { address, digest } => self.on_answer(now_us, address, &digest, actions),
            Event::CallFailed { address } => self.on_call_failed(now_us, address, actions),
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
            if !self.call_next(now_us, CallOrder::LeastRecentlyCalled, actions) {
                return;
            }
        }
    }
}
