//! A simulated fleet of gateways before a simulated store, for the tests of a store that comes back from a backup. Each
//! gateway runs the policies of the catalog, gossip and dispatch.

use std::collections::VecDeque;
use std::sync::Arc;

use super::exchange::Snapshot;
use super::{Action, Catalog, CatalogSettings, Event, PeerUpdate};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::dispatch::fixtures::{configuration, request};
use crate::gateway::dispatch::{self, Dispatch, DispatchSettings, Submission, Verdict};
use crate::gateway::gossip::{self, Gossip, GossipSettings, decode_datagram, encode_datagram};
use crate::gateway::{
    Batch, Configuration, Credential, Endpoint, Feed, Record, RequestInfo, StoreError, StoreFailure,
    StorePosition, StoreResult,
};
use crate::pipeline::Address;

/// Step of the simulated time, which is also how long a call to the store or a request for a snapshot takes.
const STEP_MS: u64 = 10;
/// Interval at which an endpoint writes its entry.
const HEARTBEAT_MS: u64 = 500;
/// When the simulation starts.
const START_US: u64 = 10_000_000;

/// A store that can be replaced by an earlier copy of itself.
#[derive(Default)]
pub(super) struct SimulatedStore {
    /// Era that responses state; none from a store that states none.
    pub era: Option<u64>,
    pub is_down: bool,
    /// Records with the time at which each was written.
    configurations: Vec<(u64, Record)>,
    entries: Vec<(u64, Record)>,
    /// Number of reads of the newest records.
    pub snapshots: usize,
    /// Number of all reads.
    pub reads: usize,
}

impl SimulatedStore {
    fn records(&self, feed: Feed) -> &[(u64, Record)] {
        match feed {
            Feed::Configuration => &self.configurations,
            Feed::Endpoints => &self.entries,
        }
    }

    /// Returns whether a read is answered now; one that waits for a record is not.
    fn is_ready(&self, call: &Call, now_us: u64) -> bool {
        let Some(from) = call.from else { return true };
        self.is_down || self.records(call.feed).len() as u64 != from.offset() || now_us >= call.until_us
    }

    fn answer(&mut self, call: &Call, states_era: bool) -> StoreResult<Batch> {
        let era = if states_era { self.era.unwrap_or_default() } else { 0 };
        let failure = |error| StoreFailure { error, era: Some(era) };
        self.reads += 1;
        if self.is_down {
            return Err(StoreError::Unavailable.into());
        }
        let records = self.records(call.feed);
        let next = records.len() as u64;
        let Some(from) = call.from else {
            let mut newest: Vec<Record> = Vec::new();
            for (_, record) in records {
                newest.retain(|known| key(known) != key(record));
                newest.push(record.clone());
            }
            newest.retain(|record| !matches!(record, Record::NoEndpoint { .. }));
            self.snapshots += 1;
            return Ok(Batch { records: newest, next, era, bytes: 0 });
        };
        let rest = records.get(from.offset() as usize..).ok_or_else(|| failure(StoreError::Expired))?;
        let records = rest.iter().map(|(_, record)| record.clone()).collect();
        Ok(Batch { records, next, era, bytes: 0 })
    }
}

fn key(record: &Record) -> &str {
    match record {
        Record::Endpoint(endpoint) => &endpoint.id,
        Record::NoEndpoint { id, .. } => id,
        Record::Configuration(_) | Record::Unreadable { .. } => "",
    }
}

/// A read of the store that is in progress.
struct Call {
    feed: Feed,
    from: Option<StorePosition>,
    sent_us: u64,
    until_us: u64,
}

/// One gateway.
pub(super) struct Node {
    pub catalog: Catalog,
    gossip: Gossip,
    pub dispatch: Dispatch,
    calls: Vec<Call>,
    offer: Option<Snapshot>,
    /// Requests for the snapshot of a peer, which are answered in the next step.
    fetches: Vec<Address>,
    /// Datagrams that arrive in the next step.
    datagrams: VecDeque<(Address, Vec<u8>)>,
    /// The endpoints as they were published last.
    pub endpoints: Arc<[Endpoint]>,
    /// Lines of the decisions.
    pub lines: Vec<String>,
    /// Whether it is of the version that knows no eras: it does not read the header and the sections, and sends none.
    pub is_old: bool,
    /// Whether its calls to the store fail.
    pub is_cut_off: bool,
    next_ticket: u64,
}

impl Node {
    fn new(index: usize, now_us: u64) -> Self {
        let settings = DispatchSettings {
            instance: format!("g{index}"),
            zone: "a".to_owned(),
            ..DispatchSettings::default()
        };
        let seeds = (0..3).map(node_address).collect();
        let mut dispatch = Dispatch::new(settings, index as u64);
        dispatch.on_timer(now_us + (index as u64 % 25) * STEP_MS * US_PER_MS, &mut Vec::new());
        Self {
            catalog: Catalog::new(CatalogSettings::default(), index as u64),
            gossip: Gossip::new(GossipSettings::default(), node_address(index), seeds, index as u64),
            dispatch,
            calls: Vec::new(),
            offer: None,
            fetches: Vec::new(),
            datagrams: VecDeque::new(),
            endpoints: Arc::new([]),
            lines: Vec::new(),
            is_old: false,
            is_cut_off: false,
            next_ticket: 1,
        }
    }

    /// Returns how many log lines contain a text.
    pub fn count(&self, text: &str) -> usize {
        self.lines.iter().filter(|line| line.contains(text)).count()
    }

    pub fn has(&self, id: &str) -> bool {
        self.endpoints.iter().any(|endpoint| &*endpoint.id == id && !endpoint.leaving)
    }

    /// Submits a request with a key, and returns the endpoint that it is sent to; none if it is refused.
    pub fn submit(&mut self, now_us: u64, key: &str) -> Option<Arc<str>> {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let request = RequestInfo { key: Some(key.into()), ..request("/call/x") };
        let mut actions = Vec::new();
        let event = dispatch::Event::Submit(Box::new(Submission { ticket, request, is_handed_on: false }));
        self.dispatch.on_event(now_us, event, &mut actions);
        let sent = actions.into_iter().find_map(|action| match action {
            dispatch::Action::Reply { verdict: Verdict::Send(order), .. } => {
                Some(order.forwarding_info.endpoint)
            }
            _ => None,
        });
        let ending = dispatch::Ending::Completed { first_ms: 1 };
        self.dispatch.on_event(now_us, dispatch::Event::Ended { ticket, ending }, &mut Vec::new());
        sent
    }

    fn catalog_event(&mut self, now_us: u64, event: Event) {
        let mut actions = Vec::new();
        self.catalog.on_event(now_us, event, &mut actions);
        self.perform(now_us, actions);
    }

    fn perform(&mut self, now_us: u64, actions: Vec<Action>) {
        for action in actions {
            let event = match action {
                Action::Configuration(configuration) => dispatch::Event::Configuration(configuration),
                Action::Endpoints(endpoints) => {
                    self.endpoints = Arc::clone(&endpoints);
                    dispatch::Event::Endpoints(endpoints)
                }
                Action::ConfigurationProof(proof) => dispatch::Event::ConfigurationProof(proof),
                Action::EndpointsProof(proof) => dispatch::Event::EndpointsProof(proof),
                Action::StoreEra(era) => dispatch::Event::StoreEra(era),
                Action::Changed(changes) => {
                    self.gossip.on_event(now_us, gossip::Event::Changed(changes), &mut Vec::new());
                    continue;
                }
                Action::Read { feed, from, wait_ms } => {
                    let until_us = now_us + wait_ms * US_PER_MS;
                    self.calls.push(Call { feed, from, sent_us: now_us, until_us });
                    continue;
                }
                Action::Offer(snapshot) => {
                    self.offer = Some(*snapshot);
                    continue;
                }
                Action::Fetch { from } => {
                    self.fetches.push(from);
                    continue;
                }
                Action::Decide(decision) => {
                    self.lines.push(decision.to_string());
                    continue;
                }
            };
            self.dispatch.on_event(now_us, event, &mut Vec::new());
        }
    }

    /// Handles actions of gossip, and returns the datagrams to send.
    fn perform_gossip(&mut self, now_us: u64, actions: Vec<gossip::Action>) -> Vec<(Address, Vec<u8>)> {
        let mut sent = Vec::new();
        for action in actions {
            match action {
                gossip::Action::Rank(_) => {}
                gossip::Action::Send { to, message } => {
                    let bytes = if self.is_old {
                        postcard::to_allocvec(&*message)
                    } else {
                        encode_datagram(&message)
                    };
                    sent.push((to, bytes.expect("it serializes")));
                }
                gossip::Action::PeerUpdate { from, state, asked_us, changes, known, zone_known, rank } => {
                    let update = PeerUpdate {
                        from,
                        version: state.version,
                        version_proof_age_ms: state.proof_age_ms,
                        store_era: state.sections.store_era,
                        change: state.endpoints_change,
                        change_proof_age_ms: state.endpoints_age_ms,
                        asked_us,
                        changes,
                        rank,
                    };
                    self.catalog_event(now_us, Event::PeerUpdate(update));
                    let event = dispatch::Event::Peer { state, known, zone_known };
                    self.dispatch.on_event(now_us, event, &mut Vec::new());
                }
            }
        }
        sent
    }

    fn run_timers(&mut self, now_us: u64) -> Vec<(Address, Vec<u8>)> {
        let mut actions = Vec::new();
        if self.catalog.next_timer_us().is_some_and(|due_us| due_us <= now_us) {
            self.catalog.on_timer(now_us, &mut actions);
        }
        self.perform(now_us, actions);
        let (mut sent, mut published) = (Vec::new(), Vec::new());
        if self.dispatch.next_timer_us().is_some_and(|due_us| due_us <= now_us) {
            self.dispatch.on_timer(now_us, &mut published);
        }
        for action in published {
            if let dispatch::Action::PublishState(state) = action {
                let mut actions = Vec::new();
                self.gossip.on_event(now_us, gossip::Event::State(state), &mut actions);
                sent.extend(self.perform_gossip(now_us, actions));
            }
        }
        sent
    }

    fn receive(&mut self, now_us: u64) -> Vec<(Address, Vec<u8>)> {
        let mut sent = Vec::new();
        for (from, bytes) in std::mem::take(&mut self.datagrams) {
            let message = if self.is_old { postcard::from_bytes(&bytes) } else { decode_datagram(&bytes) };
            let message = Box::new(message.expect("it can be read"));
            let mut actions = Vec::new();
            self.gossip.on_event(now_us, gossip::Event::Received { from, message }, &mut actions);
            sent.extend(self.perform_gossip(now_us, actions));
        }
        sent
    }

    fn read_store(&mut self, now_us: u64, store: &mut SimulatedStore) {
        for call in std::mem::take(&mut self.calls) {
            if !self.is_cut_off && (now_us == call.sent_us || !store.is_ready(&call, now_us)) {
                self.calls.push(call);
                continue;
            }
            let answer = if self.is_cut_off {
                Err(StoreError::Unavailable.into())
            } else {
                store.answer(&call, !self.is_old)
            };
            let (feed, sent_us, snapshot) = (call.feed, call.sent_us, call.from.is_none());
            let event = match answer {
                Ok(batch) => Event::Read { feed, batch, snapshot, sent_us },
                Err(failure) => Event::Failed { feed, error: failure.error, era: failure.era },
            };
            self.catalog_event(now_us, event);
        }
    }
}

/// The gateways, the store, and the endpoints that are alive.
pub(super) struct Fleet {
    pub now_us: u64,
    pub store: SimulatedStore,
    pub nodes: Vec<Node>,
    /// Endpoints that write their entries again and again.
    pub alive: Vec<Endpoint>,
    next_heartbeat_us: u64,
}

fn node_address(index: usize) -> Address {
    Address::from(([10, 9, (index / 200) as u8, (index % 200) as u8], 80))
}

fn node_index(address: Address) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else { panic!("{address} is not in the fleet") };
    let [_, _, block, host] = ip.octets();
    usize::from(block) * 200 + usize::from(host)
}

/// Returns a configuration in which one key is valid.
pub(super) fn with_key(version: u64, key: &str) -> Configuration {
    let credentials = vec![Credential { key: key.into(), team: 0 }];
    Configuration { credentials, ..configuration(version) }
}

impl Fleet {
    pub fn new(count: usize, era: Option<u64>, alive: Vec<Endpoint>) -> Self {
        Self {
            now_us: START_US,
            store: SimulatedStore { era, ..SimulatedStore::default() },
            nodes: (0..count).map(|index| Node::new(index, START_US)).collect(),
            alive,
            next_heartbeat_us: START_US,
        }
    }

    /// Starts a gateway anew, which forgets everything.
    pub fn restart(&mut self, index: usize, start_wait_ms: u64) {
        let settings = CatalogSettings { start_wait_ms, ..CatalogSettings::default() };
        let catalog = Catalog::new(settings, index as u64);
        self.nodes[index] = Node { catalog, ..Node::new(index, self.now_us) };
    }

    pub fn write_configuration(&mut self, configuration: Configuration) {
        let record = Record::Configuration(Arc::new(configuration));
        self.store.configurations.push((self.now_us, record));
    }

    pub fn write_entry(&mut self, record: Record) {
        self.store.entries.push((self.now_us, record));
    }

    /// Replaces the store by a copy of it that is this old.
    pub fn rewind(&mut self, age_ms: u64) {
        let copied_us = self.now_us - age_ms * US_PER_MS;
        self.store.configurations.retain(|(at_us, _)| *at_us <= copied_us);
        self.store.entries.retain(|(at_us, _)| *at_us <= copied_us);
        self.store.era = Some(self.store.era.unwrap_or_default() + 1);
    }

    /// Lets time pass, and calls a check after each step.
    pub fn run_ms(&mut self, ms: u64, mut check: impl FnMut(&mut Self)) {
        let end_us = self.now_us + ms * US_PER_MS;
        while self.now_us < end_us {
            self.step();
            check(self);
        }
    }

    fn step(&mut self) {
        self.now_us += STEP_MS * US_PER_MS;
        let now_us = self.now_us;
        if now_us >= self.next_heartbeat_us && !self.store.is_down {
            self.next_heartbeat_us = now_us + HEARTBEAT_MS * US_PER_MS;
            let entries = self.alive.iter().cloned().map(|endpoint| (now_us, Record::Endpoint(endpoint)));
            self.store.entries.extend(entries);
        }
        for index in 0..self.nodes.len() {
            for from in std::mem::take(&mut self.nodes[index].fetches) {
                let peer = &self.nodes[node_index(from)];
                let bytes = peer.offer.as_ref().map(|snapshot| {
                    let encoded =
                        if peer.is_old { postcard::to_allocvec(snapshot) } else { snapshot.encode() };
                    encoded.expect("it serializes")
                });
                let reads_era = !self.nodes[index].is_old;
                let event = match bytes {
                    Some(bytes) if reads_era => {
                        let snapshot = Snapshot::decode(&bytes).expect("it can be read");
                        Event::Fetched(Box::new(snapshot))
                    }
                    Some(bytes) => {
                        Event::Fetched(Box::new(postcard::from_bytes(&bytes).expect("it can be read")))
                    }
                    None => Event::NotFetched { from, fault: "no bytes".to_owned() },
                };
                self.nodes[index].catalog_event(now_us, event);
            }
            let node = &mut self.nodes[index];
            node.read_store(now_us, &mut self.store);
            let mut sent = node.receive(now_us);
            sent.extend(node.run_timers(now_us));
            for (to, bytes) in sent {
                if let Some(receiver) = self.nodes.get_mut(node_index(to)) {
                    receiver.datagrams.push_back((node_address(index), bytes));
                }
            }
        }
    }
}
