//! Configurations, requests and a simulated model for the tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::admission::{Action, Admission, AdmissionSettings, Capacity, Destination, Event, Finished};
use crate::configuration::{Configuration, Document, Model, Preset, PresetName, Presets, Service, Team};
use crate::duty::Duty;
use crate::ids::{ConfigVersion, ModelVersion, RequestId, TeamId};
use crate::request::{Call, Generation, NotRun, Repeat, Submission, Work};

/// Time of one token of the simulated model.
pub const TOKEN_US: u64 = 1_000;

pub fn configuration(teams: &[(&str, u32)], preset: Preset) -> Arc<Configuration> {
    let mut teams: Vec<Team> = teams
        .iter()
        .map(|(name, weight)| Team { name: (*name).into(), token_sha256: "0".repeat(64), weight: *weight })
        .collect();
    teams.sort_by(|a, b| a.name.cmp(&b.name));
    let model =
        |name: &str| Model { name: name.into(), version: ModelVersion(1), layers: 8, hidden_bytes: 64 };
    let document = Document {
        models: vec![model("m"), model("n")],
        services: vec![Service { name: "s".into() }],
        teams,
        presets: Presets { ordinary: preset, ..Presets::default() },
    };
    Arc::new(Configuration { version: ConfigVersion(1), document, preset: PresetName::Ordinary })
}

pub fn preset(in_flight_limit: u32, queue_limit: u32) -> Preset {
    Preset { in_flight_limit, queue_limit, ..Preset::default() }
}

/// Properties of a submitted request.
#[derive(Clone, Copy, Debug)]
pub struct TestRequest {
    pub team: &'static str,
    pub tokens: u32,
    pub deadline_us: u64,
    pub priority: u8,
    pub call: bool,
}

impl Default for TestRequest {
    fn default() -> Self {
        Self { team: "a", tokens: 10, deadline_us: u64::MAX / 2, priority: 0, call: false }
    }
}

/// Admission with a simulated model that starts every placed request at once and takes the same time for each
/// token.
pub struct Harness {
    pub admission: Admission,
    pub configuration: Arc<Configuration>,
    pub now_us: u64,
    /// Tokens of the running requests, by end time.
    running: BTreeMap<(u64, RequestId), u32>,
    next_request: u128,
    tokens: BTreeMap<RequestId, u32>,
    pub deadlines_us: BTreeMap<RequestId, u64>,
    pub teams: BTreeMap<RequestId, TeamId>,
    pub arrived_us: BTreeMap<RequestId, u64>,
    pub placed_us: BTreeMap<RequestId, u64>,
    pub ended_us: BTreeMap<RequestId, u64>,
    pub refused: BTreeMap<RequestId, (u64, NotRun)>,
    /// Ratio of the time of a token to the time that routing reports.
    pub slowdown: u64,
}

impl Harness {
    pub fn new(configuration: &Arc<Configuration>, slots: u32) -> Self {
        let mut harness = Self {
            admission: Admission::new(AdmissionSettings { queue_total_limit: 400 }),
            configuration: Arc::clone(configuration),
            now_us: 1_000_000,
            running: BTreeMap::new(),
            next_request: 1,
            tokens: BTreeMap::new(),
            deadlines_us: BTreeMap::new(),
            teams: BTreeMap::new(),
            arrived_us: BTreeMap::new(),
            placed_us: BTreeMap::new(),
            ended_us: BTreeMap::new(),
            refused: BTreeMap::new(),
            slowdown: 1,
        };
        harness.send(Event::Configured(Arc::clone(configuration)));
        harness.report_capacity(slots);
        harness
    }

    pub fn report_capacity(&mut self, slots: u32) {
        let destination = Destination::Model("m".into());
        let capacity = Capacity { destination, token_us: TOKEN_US, position_us: 10, slots };
        self.send(Event::Capacity(vec![capacity]));
    }

    pub fn submit(&mut self, test_request: TestRequest) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let work = if test_request.call {
            Work::Call(Call {
                service: "s".into(),
                operation: "read".to_owned(),
                payload: "{}".to_owned(),
                repeat: Repeat::Idempotent,
            })
        } else {
            Work::Generate(Generation {
                model: "m".into(),
                prompt: String::new(),
                max_tokens: test_request.tokens,
            })
        };
        let submission = Submission {
            request,
            caller_reference: None,
            team: test_request.team.into(),
            arrived_us: self.now_us,
            deadline_us: test_request.deadline_us,
            priority: test_request.priority,
            work,
            configuration: Arc::clone(&self.configuration),
        };
        self.tokens.insert(request, test_request.tokens);
        self.deadlines_us.insert(request, test_request.deadline_us);
        self.teams.insert(request, test_request.team.into());
        self.arrived_us.insert(request, self.now_us);
        self.send(Event::Submit(Box::new(submission)));
        request
    }

    pub fn send(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.admission.on_event(self.now_us, event, &mut actions);
        self.apply(actions);
    }

    /// Advances the time to each end of a request and each timer, until none is left up to the given time.
    pub fn run_until(&mut self, end_us: u64) {
        loop {
            let ends_us = self.running.first_key_value().map(|((at_us, _), _)| *at_us);
            let timer_us = self.admission.next_timer_us();
            let Some(next_us) = ends_us.into_iter().chain(timer_us).min().filter(|at_us| *at_us <= end_us)
            else {
                self.now_us = self.now_us.max(end_us.min(u64::MAX / 4));
                return;
            };
            self.now_us = self.now_us.max(next_us);
            if timer_us == Some(next_us) {
                let mut actions = Vec::new();
                self.admission.on_timer(self.now_us, &mut actions);
                self.apply(actions);
                let again = self.admission.next_timer_us().is_some_and(|due_us| due_us <= self.now_us);
                assert!(!again, "the timer is due again at once, which would make the thread spin");
            } else if let Some(((_, request), tokens)) = self.running.pop_first() {
                self.ended_us.insert(request, self.now_us);
                let elapsed_us = self.now_us - self.placed_us[&request];
                self.send(Event::Finished(Finished { request, tokens, elapsed_us, completed: true }));
            }
        }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Place(submission) => {
                    let request = submission.request;
                    assert!(!self.refused.contains_key(&request), "{request} was refused and placed");
                    let before = self.placed_us.insert(request, self.now_us);
                    assert_eq!(before, None, "{request} was placed twice");
                    let tokens = self.tokens[&request];
                    let end_us = self.now_us + u64::from(tokens) * TOKEN_US * self.slowdown;
                    self.running.insert((end_us, request), tokens);
                }
                Action::Refuse { request, reason } => {
                    assert!(!self.placed_us.contains_key(&request), "{request} was placed and refused");
                    let before = self.refused.insert(request, (self.now_us, reason));
                    assert_eq!(before, None, "{request} was refused twice");
                }
                Action::Cancel(_) | Action::Decide(_) => {}
            }
        }
    }

    pub fn waited_us(&self, request: RequestId) -> u64 {
        self.placed_us[&request] - self.arrived_us[&request]
    }
}
