//! Property test with random operations. Routes have to cover the model, the counts of own work have to match
//! the placed requests, and endpoints that are drained or leaving must not get work.

use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::fixtures::{LAYERS, call, configuration, engine, generation, routing, send, service, table};
use crate::ids::{EndpointId, RequestId};
use crate::membership::{Endpoint, Health};
use crate::pipeline::LayerRange;
use crate::routing::{Action, Assignment, Event, Need, Observation, Replacement, Reroute};

const RANGES: [(u16, u16); 7] = [(0, 8), (0, 4), (4, 8), (0, 3), (3, 8), (3, 5), (5, 8)];

#[derive(Clone, Debug)]
enum Operation {
    Place { request: u8, call: bool },
    Finish(u8),
    Cancel(u8),
    Reroute { request: u8, stage: u8, whole: bool },
    Observe { endpoint: u8, elapsed_us: u16, positions: u8 },
    Table { present: u32, leaving: u32, suspected: u32 },
    Drain { drained: u32 },
    Timer,
}

impl Arbitrary for Operation {
    fn arbitrary(random: &mut Gen) -> Self {
        let request = u8::arbitrary(random) % 32;
        match u8::arbitrary(random) % 12 {
            0..=3 => Self::Place { request, call: bool::arbitrary(random) },
            4..=5 => Self::Finish(request),
            6 => Self::Cancel(request),
            7..=8 => {
                let (stage, whole) = (u8::arbitrary(random) % 3, bool::arbitrary(random));
                Self::Reroute { request, stage, whole }
            }
            9 => Self::Observe {
                endpoint: u8::arbitrary(random) % 24,
                elapsed_us: u16::arbitrary(random),
                positions: u8::arbitrary(random),
            },
            10 => {
                let (a, b) = (u32::arbitrary(random), u32::arbitrary(random));
                let (leaving, suspected) = (a & b, u32::arbitrary(random) & a);
                Self::Table { present: a | b | u32::arbitrary(random), leaving, suspected }
            }
            _ if bool::arbitrary(random) => Self::Timer,
            _ => Self::Drain { drained: u32::arbitrary(random) & u32::arbitrary(random) },
        }
    }
}

fn name(number: usize) -> String {
    format!("e{number:02}")
}

fn endpoints(present: u32, leaving: u32, suspected: u32) -> Vec<Endpoint> {
    let bit = |bits: u32, number: usize| bits >> number & 1 == 1;
    let endpoint = |number: usize| {
        let (begin, end) = RANGES[number % RANGES.len()];
        let endpoint = if number >= 21 { service(&name(number)) } else { engine(&name(number), begin, end) };
        let health = match (bit(leaving, number), bit(suspected, number)) {
            (true, _) => Health::Leaving,
            (false, true) => Health::Suspected,
            (false, false) => Health::Live,
        };
        Endpoint { health, ..endpoint }
    };
    (0..24).filter(|number| bit(present, *number)).map(endpoint).collect()
}

/// Endpoints of a request with the layers of their stages; no layers for a call.
type AssignedStages = Vec<(EndpointId, Option<LayerRange>)>;

/// Reference model of the state that routing should have.
struct Model {
    table: Vec<Endpoint>,
    drained: Vec<String>,
    /// Endpoints of the placed requests, by request number.
    placed: Vec<Option<AssignedStages>>,
}

impl Model {
    fn check_endpoint(&self, endpoint: &EndpointId, layers: Option<LayerRange>) {
        let listed = self.table.iter().find(|listed| listed.id == *endpoint).expect("a listed endpoint");
        assert_ne!(listed.health, Health::Leaving, "{endpoint} is leaving and got work");
        assert!(!self.drained.contains(&endpoint.instance.to_string()), "{endpoint} is drained and got work");
        if let (Some(layers), crate::membership::Role::Engine { layers: held, .. }) = (layers, &listed.role) {
            assert_eq!(layers, *held, "{endpoint} got layers that it does not hold");
        }
    }

    fn check_assignment(&self, assignment: &Assignment) -> AssignedStages {
        let assigned = match assignment {
            Assignment::Service(target) => vec![(target.endpoint.clone(), None)],
            Assignment::Pipeline { route, paces } => {
                let stages = route.stages();
                assert_eq!(paces.len(), stages.len());
                let covered: Vec<u16> =
                    stages.iter().flat_map(|stage| stage.layers.begin..stage.layers.end).collect();
                assert_eq!(covered, (0..LAYERS).collect::<Vec<_>>(), "the route does not cover the model");
                stages.iter().map(|stage| (stage.target.endpoint.clone(), Some(stage.layers))).collect()
            }
        };
        for (endpoint, layers) in &assigned {
            self.check_endpoint(endpoint, *layers);
        }
        assigned
    }

    fn apply(&mut self, request: usize, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start(start) => {
                    self.placed[request] =
                        start.assignment.as_ref().ok().map(|assignment| self.check_assignment(assignment));
                }
                Action::RerouteResult(result) => match &result.found {
                    Replacement::Unavailable => {}
                    Replacement::Assignment(assignment) => {
                        self.placed[request] = Some(self.check_assignment(assignment));
                    }
                    Replacement::Stage { stage, target, .. } => {
                        let layers = self.placed[request].as_ref().expect("placed")[*stage].1;
                        self.check_endpoint(&target.endpoint, layers);
                        self.placed[request].as_mut().expect("placed")[*stage].0 = target.endpoint.clone();
                    }
                },
                Action::OwnWorkMismatch { difference } => {
                    panic!("counted allocations differ from placed ones by {difference}")
                }
                Action::Cancel(_) | Action::Report(_) | Action::Decide(_) => {}
            }
        }
    }
}

#[allow(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
fn invariants_hold(seed: u64, operations: Vec<Operation>) -> bool {
    use crate::duty::Duty;
    let mut routing = routing(seed);
    let mut model = Model { table: endpoints(u32::MAX, 0, 0), drained: Vec::new(), placed: vec![None; 32] };
    let mut version = 1;
    let mut now_us = 0;
    send(&mut routing, 0, table(model.table.clone()));
    for operation in operations {
        now_us += 20_000;
        let submitted = configuration(1, &[]);
        match operation {
            Operation::Place { request, call: is_call } if model.placed[usize::from(request)].is_none() => {
                let id = u128::from(request);
                let submission = if is_call { call(id, &submitted) } else { generation(id, "p", &submitted) };
                let actions = send(&mut routing, now_us, Event::Place(submission));
                model.apply(usize::from(request), &actions);
            }
            Operation::Place { .. } => {}
            Operation::Finish(request) => {
                send(&mut routing, now_us, Event::Finished(RequestId(request.into())));
                model.placed[usize::from(request)] = None;
            }
            Operation::Cancel(request) => {
                send(&mut routing, now_us, Event::Cancel(RequestId(request.into())));
            }
            Operation::Reroute { request, stage, whole } => {
                let Some(stages) = &model.placed[usize::from(request)] else { continue };
                let stage = usize::from(stage) % stages.len();
                let (failed, layers) = stages[stage].clone();
                let need = match layers {
                    None => Need::Service,
                    Some(_) if whole => Need::Route,
                    Some(_) => Need::Stage { stage },
                };
                let reroute = Reroute { request: RequestId(request.into()), need, failed };
                let actions = send(&mut routing, now_us, Event::Reroute(reroute));
                model.apply(usize::from(request), &actions);
            }
            Operation::Observe { endpoint, elapsed_us, positions } => {
                let endpoint = EndpointId::new(name(usize::from(endpoint)).as_str(), 1);
                let (elapsed_us, positions) = (elapsed_us.into(), positions.into());
                let observation = Observation { endpoint, positions, elapsed_us };
                send(&mut routing, now_us, Event::Observed(vec![observation]));
            }
            Operation::Table { present, leaving, suspected } => {
                model.table = endpoints(present, leaving, suspected);
                send(&mut routing, now_us, table(model.table.clone()));
            }
            Operation::Drain { drained } => {
                version += 1;
                model.drained = (0..24).filter(|number| drained >> number & 1 == 1).map(name).collect();
                let drained: Vec<&str> = model.drained.iter().map(String::as_str).collect();
                send(&mut routing, now_us, Event::Configured(configuration(version, &drained)));
            }
            Operation::Timer => {
                let mut actions = Vec::new();
                routing.on_timer(now_us, &mut actions);
                model.apply(0, &actions);
            }
        }
        let stages: usize = model.placed.iter().flatten().map(Vec::len).sum();
        assert_eq!(
            routing.totals(),
            (stages as u64, stages as u64),
            "counted and placed allocations differ from the requests in flight"
        );
    }
    true
}

#[test]
fn routes_cover_the_model_counts_match_and_excluded_endpoints_get_no_work() {
    let generator = Gen::from_size_and_seed(300, 1);
    QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(invariants_hold as fn(u64, Vec<Operation>) -> bool);
}
