//! Property test: random runs of several entries that observe one fleet, with a lagging list that has
//! outages, restarts, overload, frozen endpoints and network failures.

use std::collections::VecDeque;

use quickcheck::{Gen, QuickCheck, TestResult};

use super::tests::{FETCH_LIMIT, listed, report};
use super::{
    Action, Endpoint, Event, Health, Membership, MembershipSettings, MissingReportReason, ObservedState,
};
use crate::backing::{InstanceState, Instances, ListedInstance};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::ids::EndpointId;

const SEED: u64 = 1;
const RUNS: u64 = 60;
const OPERATIONS: usize = 40;
const ENTRIES: usize = 3;
const INSTANCES: usize = 5;
const LIST_LAG_US: u64 = 4_000_000;
const PEER_DELAY_US: u64 = 200_000;
const ANSWER_DELAY_US: u64 = 2_000;

/// Time within which an endpoint that answers every third fetch returns to the tables: three times
/// `removed_interval_ms`, plus a margin.
const RETURN_US: u64 = 8_000_000;

/// Time after which a leaving endpoint gets no new work (P5 in `docs/design.md`).
const LEAVING_BOUND_US: u64 = 3_000_000;

/// Time within which every table is correct once all faults have ended.
const SETTLE_US: u64 = 20_000_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Runs,
    /// Answers every third fetch of each entry; the others are refused or get no answer.
    Overloaded,
    Frozen,
    Dead,
}

#[derive(Clone, Debug)]
struct Process {
    incarnation: u64,
    mode: Mode,
    mode_us: u64,
    leaving_us: Option<u64>,
    fetches: [u32; ENTRIES],
}

#[derive(Debug)]
struct Entry {
    policy: Membership,
    table: Vec<Endpoint>,
    disconnected: bool,
    connection_changed_us: u64,
    /// Endpoints that ran and were live in the table when this entry lost its network.
    live_before_disconnect: Vec<EndpointId>,
}

struct World {
    now_us: u64,
    processes: Vec<Process>,
    entries: Vec<Entry>,
    /// Past states of the list, oldest first.
    lists: VecDeque<(u64, Vec<ListedInstance>)>,
    list_down: bool,
    queue: Vec<(u64, usize, Event)>,
    leaving_seen: Vec<(usize, EndpointId)>,
    newest: Vec<[u64; ENTRIES]>,
}

const NAMES: [&str; INSTANCES] = ["engine-0", "engine-1", "engine-2", "engine-3", "engine-4"];

fn name(instance: usize) -> &'static str {
    NAMES[instance]
}

impl World {
    fn new() -> Self {
        let process =
            Process { incarnation: 1, mode: Mode::Runs, mode_us: 0, leaving_us: None, fetches: [0; 3] };
        let entries = (0..ENTRIES)
            .map(|number| Entry {
                policy: Membership::new(
                    MembershipSettings::default(),
                    format!("entry-{number}").as_str().into(),
                ),
                table: Vec::new(),
                disconnected: false,
                connection_changed_us: 0,
                live_before_disconnect: Vec::new(),
            })
            .collect();
        let mut world = Self {
            now_us: LIST_LAG_US,
            processes: vec![process; INSTANCES],
            entries,
            lists: VecDeque::new(),
            list_down: false,
            queue: Vec::new(),
            leaving_seen: Vec::new(),
            newest: vec![[0; ENTRIES]; INSTANCES],
        };
        world.lists.push_back((0, world.true_list()));
        world
    }

    fn true_list(&self) -> Vec<ListedInstance> {
        self.processes
            .iter()
            .enumerate()
            .map(|(number, process)| {
                let leaving = process.leaving_us.is_some();
                let state = if leaving { InstanceState::Leaving } else { InstanceState::Live };
                listed(name(number), process.incarnation, state)
            })
            .collect()
    }

    fn lagging_list(&self) -> Option<Instances> {
        let then_us = self.now_us - LIST_LAG_US;
        let shown = self.lists.iter().rev().find(|(at_us, _)| *at_us <= then_us);
        (!self.list_down)
            .then(|| Instances { instances: shown.map(|(_, list)| list.clone()).unwrap_or_default() })
    }

    fn set_mode(&mut self, instance: usize, mode: Mode) {
        let now_us = self.now_us;
        if let Some(process) = self.processes.get_mut(instance) {
            (process.mode, process.mode_us) = (mode, now_us);
        }
    }

    /// Applies one random operation.
    fn apply_operation(&mut self, kind: u8, target: u8) {
        let instance = usize::from(target) % INSTANCES;
        let entry = usize::from(target) % ENTRIES;
        let now_us = self.now_us;
        match kind % 10 {
            0 => self.set_mode(instance, Mode::Overloaded),
            1 => self.set_mode(instance, Mode::Frozen),
            2 => self.set_mode(instance, Mode::Dead),
            3 => {
                let process = &mut self.processes[instance];
                process.incarnation += 1;
                process.leaving_us = None;
                self.set_mode(instance, Mode::Runs);
            }
            4 if self.processes[instance].mode != Mode::Dead => {
                self.processes[instance].leaving_us.get_or_insert(now_us);
            }
            5 => self.list_down = !self.list_down,
            6 => self.toggle_connection(entry),
            7 => {
                let process = &self.processes[instance];
                if process.mode != Mode::Runs {
                    let endpoint = EndpointId::new(name(instance), process.incarnation);
                    let refused = process.mode == Mode::Dead;
                    self.queue.push((now_us, entry, Event::Failed { endpoint, refused }));
                }
            }
            8 if self.processes[instance].mode != Mode::Dead => self.set_mode(instance, Mode::Runs),
            _ => {}
        }
        self.lists.push_back((now_us, self.true_list()));
    }

    /// Disconnects an entry from everything, also from answers in transit, or connects it again.
    fn toggle_connection(&mut self, number: usize) {
        let runs = |id: &EndpointId| {
            let process = (0..INSTANCES).find(|instance| name(*instance) == id.instance.as_str());
            process.is_some_and(|instance| self.processes[instance].mode == Mode::Runs)
        };
        let entry = &mut self.entries[number];
        entry.disconnected = !entry.disconnected;
        entry.connection_changed_us = self.now_us;
        entry.live_before_disconnect.clear();
        if !entry.disconnected {
            return;
        }
        let shown =
            entry.table.iter().filter(|endpoint| endpoint.health == Health::Live && runs(&endpoint.id));
        entry.live_before_disconnect.extend(shown.map(|endpoint| endpoint.id.clone()));
        self.queue.retain(|(_, to, event)| *to != number || !matches!(event, Event::Observed(_)));
        for (_, _, event) in self.queue.iter_mut().filter(|(_, to, _)| *to == number) {
            match event {
                Event::Listed(list) => *list = None,
                Event::EngineReport { endpoint, .. } => {
                    *event =
                        Event::NoReport { endpoint: endpoint.clone(), reason: MissingReportReason::Silence };
                }
                _ => {}
            }
        }
    }

    fn answer_fetch(&mut self, entry: usize, endpoint: EndpointId) {
        let number = (0..INSTANCES).find(|number| name(*number) == endpoint.instance.as_str()).unwrap();
        let process = &mut self.processes[number];
        process.fetches[entry] += 1;
        assert!(process.fetches[entry] < FETCH_LIMIT as u32, "endless fetches of {endpoint}");
        let turn = process.fetches[entry] % 3;
        let answers = Event::EngineReport {
            report: report(&endpoint, process.incarnation, process.leaving_us.is_some(), turn),
            endpoint: endpoint.clone(),
        };
        let refuses = Event::NoReport { endpoint: endpoint.clone(), reason: MissingReportReason::Refused };
        let silent = Event::NoReport { endpoint, reason: MissingReportReason::Silence };
        let limit_us = MembershipSettings::default().fetch_limit_ms * US_PER_MS;
        let (after_us, event) = match process.mode {
            _ if self.entries[entry].disconnected => (limit_us, silent),
            Mode::Runs => (ANSWER_DELAY_US, answers),
            Mode::Overloaded if turn == 0 => (limit_us - ANSWER_DELAY_US, answers),
            Mode::Overloaded if number % 2 == 0 => (ANSWER_DELAY_US, refuses),
            Mode::Overloaded | Mode::Frozen => (limit_us, silent),
            Mode::Dead => (ANSWER_DELAY_US, refuses),
        };
        self.queue.push((self.now_us + after_us, entry, event));
    }

    fn perform(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::FetchList => {
                    let list = if self.entries[entry].disconnected { None } else { self.lagging_list() };
                    self.queue.push((self.now_us + ANSWER_DELAY_US, entry, Event::Listed(list)));
                }
                Action::FetchLoad { endpoint, .. } => self.answer_fetch(entry, endpoint),
                Action::Publish(table) => self.entries[entry].table = table.to_vec(),
                Action::Announce(observations) if !self.entries[entry].disconnected => {
                    for peer in
                        (0..ENTRIES).filter(|peer| *peer != entry && !self.entries[*peer].disconnected)
                    {
                        let event = Event::Observed(observations.clone());
                        self.queue.push((self.now_us + PEER_DELAY_US, peer, event));
                    }
                }
                Action::Announce(_) | Action::Entries(_) | Action::Decide(_) => {}
            }
        }
    }

    /// Runs until the given time and returns the first violated guarantee.
    fn run_until(&mut self, end_us: u64) -> Result<(), String> {
        loop {
            let timers = self.entries.iter().enumerate();
            let timer =
                timers.filter_map(|(entry, state)| Some((state.policy.next_timer_us()?, entry))).min();
            let event = self.queue.iter().enumerate().map(|(index, (at_us, ..))| (*at_us, index)).min();
            let timer_us = timer.map_or(u64::MAX, |(at_us, _)| at_us.max(self.now_us));
            let event_us = event.map_or(u64::MAX, |(at_us, _)| at_us);
            if timer_us.min(event_us) > end_us {
                self.now_us = end_us;
                return Ok(());
            }
            let mut actions = Vec::new();
            self.now_us = timer_us.min(event_us);
            let entry = if event_us <= timer_us {
                let (_, entry, event) = self.queue.remove(event.unwrap().1);
                self.entries[entry].policy.on_event(self.now_us, event, &mut actions);
                entry
            } else {
                let entry = timer.unwrap().1;
                self.entries[entry].policy.on_timer(self.now_us, &mut actions);
                entry
            };
            self.perform(entry, actions);
            self.check(entry)?;
        }
    }

    fn check(&mut self, entry: usize) -> Result<(), String> {
        let now_us = self.now_us;
        for endpoint in &self.entries[entry].table {
            let seen = (entry, endpoint.id.clone());
            if endpoint.health == Health::Leaving {
                if !self.leaving_seen.contains(&seen) {
                    self.leaving_seen.push(seen);
                }
            } else if self.leaving_seen.contains(&seen) {
                return Err(format!("{now_us}: entry {entry} shows {} again as not leaving", endpoint.id));
            }
        }
        for (number, process) in self.processes.iter().enumerate() {
            let state = &self.entries[entry];
            let shown: Vec<&Endpoint> =
                state.table.iter().filter(|endpoint| endpoint.id.instance.as_str() == name(number)).collect();
            if shown.len() > 1 {
                return Err(format!("{now_us}: entry {entry} shows two incarnations of engine-{number}"));
            }
            if let Some(endpoint) = shown.first() {
                let newest = &mut self.newest[number][entry];
                if endpoint.id.incarnation.0 < *newest {
                    return Err(format!(
                        "{now_us}: entry {entry} returned to the old incarnation {}",
                        endpoint.id
                    ));
                }
                *newest = endpoint.id.incarnation.0;
            }
            let connected_us = now_us - state.connection_changed_us;
            let late = process.leaving_us.is_some_and(|since_us| now_us > since_us + LEAVING_BOUND_US);
            let reports = process.mode == Mode::Runs && now_us > process.mode_us + LEAVING_BOUND_US;
            if late && reports && !state.disconnected && connected_us > LEAVING_BOUND_US {
                let current = shown.iter().find(|endpoint| endpoint.id.incarnation.0 == process.incarnation);
                if let Some(endpoint) = current.filter(|endpoint| endpoint.health != Health::Leaving) {
                    return Err(format!("{now_us}: entry {entry} gives work to leaving {}", endpoint.id));
                }
            }
            let is_newest = self.newest[number][entry] == process.incarnation;
            let answers = matches!(process.mode, Mode::Runs | Mode::Overloaded);
            let mode_changed_recently = now_us - process.mode_us < RETURN_US;
            let leaving = process.leaving_us.is_some();
            let settled = !mode_changed_recently && !state.disconnected && connected_us > RETURN_US;
            if is_newest && answers && settled && shown.is_empty() && !leaving {
                return Err(format!("{now_us}: entry {entry} removed engine-{number}, which answers"));
            }
        }
        let state = &self.entries[entry];
        let lost = |id: &&EndpointId| !state.table.iter().any(|endpoint| endpoint.id == **id);
        if let Some(id) = state.live_before_disconnect.iter().find(lost) {
            return Err(format!("{now_us}: entry {entry} removed {id} while it had no network"));
        }
        Ok(())
    }

    /// Ends all faults and checks that every table becomes correct.
    fn end_faults(&mut self) -> Result<(), String> {
        self.list_down = false;
        for entry in &mut self.entries {
            entry.disconnected = false;
            entry.connection_changed_us = self.now_us;
            entry.live_before_disconnect.clear();
        }
        for instance in 0..INSTANCES {
            if self.processes[instance].mode != Mode::Dead {
                self.set_mode(instance, Mode::Runs);
            }
        }
        self.lists.push_back((self.now_us, self.true_list()));
        self.run_until(self.now_us + SETTLE_US)?;
        let answering = self.processes.iter().filter(|process| process.mode != Mode::Dead).count();
        for (number, process) in self.processes.iter().enumerate() {
            let id = EndpointId::new(name(number), process.incarnation);
            let expected = match (process.mode, process.leaving_us) {
                (Mode::Dead, _) => None,
                (_, Some(_)) => Some(Health::Leaving),
                (_, None) => Some(Health::Live),
            };
            for (entry, state) in self.entries.iter().enumerate() {
                let found = state.table.iter().find(|endpoint| endpoint.id == id);
                let health = found.map(|endpoint| endpoint.health);
                // Without any other endpoint that answers, a dead one cannot be told from a network failure.
                let undecided = answering < 2 && process.mode == Mode::Dead && health != Some(Health::Live);
                if health != expected && !undecided {
                    return Err(format!("entry {entry} shows {id} as {health:?}, expected {expected:?}"));
                }
            }
        }
        Ok(())
    }
}

fn run(operations: &[(u8, u8, u16)]) -> Result<(), String> {
    let mut world = World::new();
    world.run_until(world.now_us + 3_000_000)?;
    for (kind, target, pause_ms) in operations {
        world.apply_operation(*kind, *target);
        world.run_until(world.now_us + u64::from(*pause_ms % 8_000) * US_PER_MS)?;
    }
    world.end_faults()
}

/// Guards against reviving leaving or old incarnations, new work for endpoints that have been leaving for
/// more than 3 s, removal of endpoints that answer, removal of endpoints because this entry has no network,
/// and tables that stay wrong after the faults have ended.
#[test]
fn tables_converge_to_the_fleet_after_random_faults() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(operations: Vec<(u8, u8, u16)>) -> TestResult {
        match run(&operations) {
            Ok(()) => TestResult::passed(),
            Err(violation) => TestResult::error(violation),
        }
    }
    let seeded = Gen::from_size_and_seed(OPERATIONS, SEED);
    QuickCheck::new().rng(seeded).tests(RUNS).quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> TestResult);
}

/// Guards against forwarding an observation of a peer, which would be counted as a second, independent
/// observation.
#[test]
fn observations_of_peers_are_not_forwarded() {
    let mut world = World::new();
    world.run_until(world.now_us + 3_000_000).unwrap();
    let observation =
        super::Observation { endpoint: EndpointId::new("engine-0", 1), state: ObservedState::Leaving };
    let mut actions = Vec::new();
    world.entries[0].policy.on_event(world.now_us, Event::Observed(vec![observation]), &mut actions);
    assert!(!actions.iter().any(|action| matches!(action, Action::Announce(_))), "{actions:?}");
}
