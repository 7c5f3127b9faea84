//! Snapshots of the decisions of the membership policy in specific situations.

use std::collections::VecDeque;
use std::fmt::Write;

use super::{
    Action, Endpoint, Event, Health, Membership, MembershipSettings, MissingReportReason, Observation,
    ObservedState,
};
use crate::backing::{Fencing, InstanceKind, InstanceState, Instances, ListedInstance};
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::engine::EngineLoad;
use crate::ids::{EndpointId, Incarnation, InstanceId, ModelVersion};
use crate::pipeline::LayerRange;

/// More fetches than any situation needs. A policy that fetches endlessly at one instant exceeds it.
pub(super) const FETCH_LIMIT: usize = 20_000;

/// Reaction of an endpoint to a fetch of its load report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Behaviour {
    Answers,
    Busy,
    Leaves,
    Fails,
    Hangs,
    Refuses,
    RunsAs(u64),
}

/// A policy with simulated endpoints and a transcript of its decisions.
pub(super) struct Bench {
    pub membership: Membership,
    pub now_us: u64,
    pub behaviours: Vec<(InstanceId, Behaviour)>,
    /// The instance list, or none while it is down.
    pub list: Option<Vec<ListedInstance>>,
    pub table: Vec<Endpoint>,
    pub published: u32,
    pub fetched: Vec<(u64, EndpointId)>,
    pub hanging: Vec<(u64, EndpointId)>,
    /// Events that the policy has not processed yet.
    pub answers: VecDeque<Event>,
    pub announced: Vec<Observation>,
    pub transcript: String,
}

pub(super) fn listed(instance: &str, incarnation: u64, state: InstanceState) -> ListedInstance {
    ListedInstance {
        instance: instance.into(),
        incarnation: Incarnation(incarnation),
        kind: if instance.starts_with("entry") { InstanceKind::Entry } else { InstanceKind::Engine },
        zone: "zone-a".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        state,
        fencing: Fencing::Checked,
    }
}

pub(super) fn live(instances: &[&str]) -> Vec<ListedInstance> {
    instances.iter().map(|instance| listed(instance, 1, InstanceState::Live)).collect()
}

pub(super) fn report(id: &EndpointId, incarnation: u64, leaving: bool, running: u32) -> EngineLoad {
    EngineLoad {
        instance: id.instance.clone(),
        incarnation: Incarnation(incarnation),
        model: "m".into(),
        version: ModelVersion(1),
        layers: LayerRange::new(0, 4),
        running,
        queued: 0,
        batches: 0,
        step_us: 1_000,
        prefill_us_per_position: 10,
        cache_used: 0,
        cache_limit: 0,
        leaving,
        age_ms: 0,
    }
}

impl Bench {
    pub fn new(instances: &[&str]) -> Self {
        Self {
            membership: Membership::new(MembershipSettings::default(), "entry-0".into()),
            now_us: 1_000_000,
            behaviours: Vec::new(),
            list: Some(live(instances)),
            table: Vec::new(),
            published: 0,
            fetched: Vec::new(),
            hanging: Vec::new(),
            answers: VecDeque::new(),
            announced: Vec::new(),
            transcript: String::new(),
        }
    }

    pub fn set(&mut self, instance: &str, behaviour: Behaviour) {
        let name = InstanceId::from(instance);
        self.behaviours.retain(|(other, _)| *other != name);
        self.behaviours.push((name, behaviour));
    }

    fn behaviour(&self, instance: &InstanceId) -> Behaviour {
        let found = self.behaviours.iter().find(|(other, _)| other == instance);
        found.map_or(Behaviour::Answers, |(_, behaviour)| *behaviour)
    }

    pub fn event(&mut self, event: Event) {
        self.answers.push_back(event);
        self.take_answers();
        self.run_timers();
    }

    fn take_answers(&mut self) {
        while let Some(event) = self.answers.pop_front() {
            let mut actions = Vec::new();
            self.membership.on_event(self.now_us, event, &mut actions);
            self.perform(actions);
        }
    }

    fn run_timers(&mut self) {
        while self.membership.next_timer_us().is_some_and(|due_us| due_us <= self.now_us) {
            let mut actions = Vec::new();
            self.membership.on_timer(self.now_us, &mut actions);
            let due = self.membership.next_timer_us().is_some_and(|due_us| due_us <= self.now_us);
            assert!(
                !due || !actions.is_empty(),
                "the timer is still due at {} us after it ran without an action",
                self.now_us
            );
            self.perform(actions);
            self.take_answers();
        }
    }

    /// Advances the time. Fetches are answered at once; hanging ones end after the fetch timeout.
    pub fn pass_ms(&mut self, ms: u64) {
        let end_us = self.now_us + ms * US_PER_MS;
        loop {
            let timer_us = self.membership.next_timer_us().unwrap_or(u64::MAX);
            let hang_us = self.hanging.iter().map(|(due_us, _)| *due_us).min().unwrap_or(u64::MAX);
            let next_us = timer_us.min(hang_us).max(self.now_us);
            if next_us > end_us {
                break;
            }
            self.now_us = next_us;
            if let Some(index) = self.hanging.iter().position(|(due_us, _)| *due_us <= next_us) {
                let (_, endpoint) = self.hanging.remove(index);
                self.event(Event::NoReport { endpoint, reason: MissingReportReason::Silence });
            }
            self.run_timers();
        }
        self.now_us = end_us;
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::FetchList => {
                    let instances = self.list.clone().map(|instances| Instances { instances });
                    self.answers.push_back(Event::Listed(instances));
                }
                Action::FetchLoad { endpoint, .. } => self.fetch(endpoint),
                Action::Publish(table) => {
                    self.table = table.to_vec();
                    self.published += 1;
                }
                Action::Announce(observations) => {
                    let at_ms = self.now_us / US_PER_MS;
                    for observation in observations {
                        if !self.announced.contains(&observation) {
                            let Observation { endpoint, state } = &observation;
                            writeln!(self.transcript, "{at_ms} announce {endpoint} {state:?}").unwrap();
                        }
                        self.announced.push(observation);
                    }
                }
                Action::Entries(entries) => {
                    let names: Vec<String> = entries.iter().map(|entry| entry.entry.to_string()).collect();
                    writeln!(self.transcript, "{} entries {names:?}", self.now_us / US_PER_MS).unwrap();
                }
                Action::Decide(decision) => {
                    writeln!(self.transcript, "{} {decision}", self.now_us / US_PER_MS).unwrap();
                }
            }
        }
    }

    fn fetch(&mut self, endpoint: EndpointId) {
        self.fetched.push((self.now_us, endpoint.clone()));
        assert!(self.fetched.len() < FETCH_LIMIT, "endless fetches, the last one of {endpoint}");
        let incarnation = endpoint.incarnation.0;
        let event = match self.behaviour(&endpoint.instance) {
            Behaviour::Answers => {
                Event::EngineReport { report: report(&endpoint, incarnation, false, 0), endpoint }
            }
            Behaviour::Busy => {
                Event::EngineReport { report: report(&endpoint, incarnation, false, 3), endpoint }
            }
            Behaviour::Leaves => {
                Event::EngineReport { report: report(&endpoint, incarnation, true, 0), endpoint }
            }
            Behaviour::RunsAs(other) => {
                Event::EngineReport { report: report(&endpoint, other, false, 0), endpoint }
            }
            Behaviour::Fails => Event::NoReport { endpoint, reason: MissingReportReason::UnexpectedAnswer },
            Behaviour::Refuses => Event::NoReport { endpoint, reason: MissingReportReason::Refused },
            Behaviour::Hangs => {
                let limit_us = MembershipSettings::default().fetch_limit_ms * US_PER_MS;
                self.hanging.push((self.now_us + limit_us, endpoint));
                return;
            }
        };
        self.answers.push_back(event);
    }

    /// Returns the health of an incarnation in the published table.
    pub fn health(&self, id: &EndpointId) -> Option<Health> {
        self.table.iter().find(|endpoint| endpoint.id == *id).map(|endpoint| endpoint.health)
    }

    fn finish(mut self) -> String {
        let now_ms = self.now_us / US_PER_MS;
        self.announced.sort_by(|a, b| (&a.endpoint, a.state).cmp(&(&b.endpoint, b.state)));
        for same in self.announced.chunk_by(|a, b| a == b) {
            let Observation { endpoint, state } = &same[0];
            writeln!(self.transcript, "{now_ms} announced {endpoint} {state:?} {} times", same.len())
                .unwrap();
        }
        for endpoint in &self.table {
            let (id, health, joined_ms) = (&endpoint.id, endpoint.health, endpoint.joined_us / US_PER_MS);
            writeln!(self.transcript, "{now_ms} table {id} {health:?} joined={joined_ms}").unwrap();
        }
        self.transcript
    }
}

fn id(instance: &str, incarnation: u64) -> EndpointId {
    EndpointId::new(instance, incarnation)
}

fn observed(instance: &str, state: ObservedState) -> Event {
    Event::Observed(vec![Observation { endpoint: id(instance, 1), state }])
}

/// Guards against not detecting a leaving endpoint if only its own report shows that it leaves.
#[test]
fn leaving_endpoint_is_detected_from_its_report_while_the_list_is_down() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.pass_ms(3_000);
    bench.list = None;
    bench.set("a", Behaviour::Leaves);
    bench.pass_ms(3_000);
    bench.set("a", Behaviour::Answers);
    bench.pass_ms(3_000);
    insta::assert_snapshot!(bench.finish());
}

/// Guards against a lagging list that makes a leaving endpoint live again, and against forwarding
/// observations of peers.
#[test]
fn leaving_reported_by_a_peer_is_kept_when_the_list_shows_live() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.event(observed("c", ObservedState::Leaving));
    bench.pass_ms(1_000);
    bench.event(observed("a", ObservedState::Leaving));
    bench.pass_ms(1_000);
    bench.list = Some(live(&["a", "b", "c"]));
    bench.pass_ms(2_000);
    insta::assert_snapshot!(bench.finish());
}

/// Guards against removing an endpoint after one refused connection, and against never removing a dead one.
#[test]
fn refusing_endpoint_is_suspected_then_removed_although_listed_as_live() {
    let mut bench = Bench::new(&["a", "b", "c"]);
    bench.pass_ms(2_000);
    bench.set("a", Behaviour::Refuses);
    bench.event(Event::Failed { endpoint: id("a", 1), refused: true });
    bench.pass_ms(10_000);
    insta::assert_snapshot!(bench.finish());
}

/// Guards against removing an endpoint whose listener refuses a connection now and then, because its backlog
/// is full.
#[test]
fn suspicion_after_a_refused_connection_is_cleared_by_an_answer() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.pass_ms(2_000);
    for _ in 0..5 {
        bench.event(Event::Failed { endpoint: id("a", 1), refused: true });
        bench.pass_ms(400);
    }
    insta::assert_snapshot!(bench.finish());
}

/// Guards against removing an endpoint that is only overloaded, because execution and peers report its
/// time-outs.
#[test]
fn endpoint_that_answers_with_an_error_stays_live() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.pass_ms(2_000);
    bench.set("a", Behaviour::Fails);
    for _ in 0..20 {
        bench.event(Event::Failed { endpoint: id("a", 1), refused: false });
        bench.event(observed("a", ObservedState::Dead));
        bench.pass_ms(200);
    }
    let suspicions = bench.transcript.matches("suspected").count();
    assert_eq!(
        suspicions, 21,
        "expected one suspicion for each failed call and one for all reports of the peer"
    );
    assert!(!bench.transcript.contains("removed"));
    assert_eq!(bench.health(&id("a", 1)), Some(Health::Live));
}

/// Guards against removing an endpoint after a single refused connection, even if a peer reports it dead too.
#[test]
fn one_refusal_and_a_peer_report_only_suspect_an_endpoint() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.pass_ms(2_000);
    bench.set("a", Behaviour::Hangs);
    bench.event(observed("a", ObservedState::Dead));
    bench.pass_ms(100);
    bench.event(Event::Failed { endpoint: id("a", 1), refused: true });
    bench.pass_ms(3_000);
    insta::assert_snapshot!(bench.finish());
}

/// Guards against removing endpoints because this entry's own network is down.
#[test]
fn endpoints_are_only_suspected_while_the_own_network_is_down() {
    for cut in [Behaviour::Hangs, Behaviour::Refuses] {
        let mut bench = Bench::new(&["a", "b", "c", "d"]);
        bench.pass_ms(2_000);
        bench.list = None;
        for instance in ["a", "b", "c", "d"] {
            bench.set(instance, cut);
        }
        bench.pass_ms(120_000);
        let health: Vec<Health> = bench.table.iter().map(|endpoint| endpoint.health).collect();
        assert_eq!(health, [Health::Suspected; 4], "{cut:?}\n{}", bench.transcript);
        bench.behaviours.clear();
        bench.pass_ms(1_500);
        let health: Vec<Health> = bench.table.iter().map(|endpoint| endpoint.health).collect();
        assert_eq!(health, [Health::Live; 4], "{cut:?}\n{}", bench.transcript);
    }
}

/// Guards against removing most replicas of a layer range because they answer slowly.
#[test]
fn silence_removes_at_most_half_of_the_replicas() {
    let mut bench = Bench::new(&["a", "b", "c", "d", "e", "f"]);
    bench.pass_ms(2_000);
    for instance in ["a", "b", "c", "d", "e"] {
        bench.set(instance, Behaviour::Hangs);
    }
    bench.pass_ms(30_000);
    insta::assert_snapshot!(bench.finish());
}

/// Guards against keeping both incarnations, and against returning to the old one because the list still
/// shows it.
#[test]
fn a_restarted_instance_replaces_its_old_incarnation() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.pass_ms(2_000);
    bench.set("a", Behaviour::RunsAs(2));
    bench.pass_ms(5_000);
    bench.event(Event::EngineReport { endpoint: id("a", 1), report: report(&id("a", 1), 1, true, 0) });
    bench.event(Event::Failed { endpoint: id("a", 1), refused: true });
    bench.list = Some(vec![listed("a", 2, InstanceState::Live), listed("a", 1, InstanceState::Leaving)]);
    bench.pass_ms(1_000);
    insta::assert_snapshot!(bench.finish());
}

/// Guards against an endpoint that stays removed although it answers, and against giving it full load at
/// once.
#[test]
fn removed_endpoint_returns_with_a_new_join_time_when_it_answers() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.pass_ms(2_000);
    bench.set("a", Behaviour::Hangs);
    bench.pass_ms(10_000);
    bench.set("a", Behaviour::Answers);
    bench.pass_ms(5_000);
    insta::assert_snapshot!(bench.finish());
}

/// Guards against forgetting an endpoint that answers, and against keeping one that is gone.
#[test]
fn an_endpoint_missing_from_the_list_is_forgotten_only_when_silent() {
    let mut bench = Bench::new(&["a", "b", "c"]);
    bench.pass_ms(2_000);
    bench.list = Some(live(&["c"]));
    bench.set("a", Behaviour::Hangs);
    bench.pass_ms(70_000);
    insta::assert_snapshot!(bench.finish());
}

/// Guards against passing to the peers duty this entry itself, or an old incarnation of another entry.
#[test]
fn peers_get_the_newest_incarnation_of_all_other_entries() {
    let mut bench = Bench::new(&["entry-0", "entry-1", "entry-2", "a"]);
    bench.pass_ms(1_000);
    let mut list = live(&["entry-0", "entry-1", "entry-2", "a"]);
    list.push(listed("entry-2", 2, InstanceState::Live));
    bench.list = Some(list);
    bench.pass_ms(1_000);
    insta::assert_snapshot!(bench.finish());
}

/// Guards against fetches and published tables that an idle fleet does not need: 36 endpoints without work
/// must cost few fetches and no tables.
#[test]
fn idle_fleet_is_polled_slowly_and_no_table_is_published() {
    let names: Vec<String> = (0..36).map(|number| format!("engine-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut bench = Bench::new(&names);
    bench.pass_ms(5_000);
    (bench.published, bench.fetched) = (0, Vec::new());
    bench.pass_ms(24_000);
    assert_eq!((bench.published, bench.fetched.len()), (0, 360));
    let at_once = bench.fetched.chunk_by(|a, b| a.0 / 100_000 == b.0 / 100_000).map(<[_]>::len).max();
    assert!(at_once <= Some(8), "{at_once:?} fetches within 100 ms, expected at most 8");
    bench.set("engine-7", Behaviour::Busy);
    bench.pass_ms(5_000);
    (bench.published, bench.fetched) = (0, Vec::new());
    bench.pass_ms(10_000);
    assert_eq!(bench.fetched.len(), 1_440);
    assert!((1..=100).contains(&bench.published), "{} tables in 10 s, expected 1 to 100", bench.published);
}

/// Guards against hanging endpoints that occupy all fetch slots.
#[test]
fn hanging_endpoints_do_not_delay_polling_of_others() {
    let names: Vec<String> = (0..36).map(|number| format!("engine-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut bench = Bench::new(&names);
    bench.pass_ms(5_000);
    for name in names.iter().skip(1) {
        bench.set(name, Behaviour::Hangs);
    }
    bench.pass_ms(5_000);
    bench.set("engine-0", Behaviour::Leaves);
    bench.pass_ms(2_000);
    assert_eq!(bench.health(&id("engine-0", 1)), Some(Health::Leaving));
    assert!(bench.hanging.len() <= 8, "{} fetches hang, expected at most 8", bench.hanging.len());
}
