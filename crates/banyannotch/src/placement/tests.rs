//! Snapshots of the controller's orders in specific situations.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;

use super::runtime::while_held;
use super::{Action, Event, OrderResult, Placement, PlacementSettings, missing_layers};
use crate::backing::{Fencing, Record, Records};
use crate::clock::{Clock, US_PER_MS};
use crate::configuration::{Configuration, Document, Model, PresetName};
use crate::duty::Duty;
use crate::ids::{ConfigVersion, EndpointId, LogOffset, ModelVersion};
use crate::membership::{Endpoint, Health, Load, Role};
use crate::pipeline::LayerRange;

const LAYERS: u16 = 8;

fn endpoint(name: &str, layers: (u16, u16), fencing: Fencing) -> Endpoint {
    Endpoint {
        id: EndpointId::new(name, 1),
        zone: "zone-a".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        role: Role::Engine {
            model: "m".into(),
            version: ModelVersion(1),
            layers: LayerRange::new(layers.0, layers.1),
        },
        health: Health::Live,
        load: Load { step_us: 1_000 * u64::from(layers.1 - layers.0), ..Load::default() },
        fencing,
        joined_us: 0,
    }
}

fn model() -> Model {
    Model { name: "m".into(), version: ModelVersion(1), layers: LAYERS, hidden_bytes: 8 }
}

/// A placement policy that alone uses a log, with simulated engines and a transcript of its decisions.
struct Bench {
    placement: Placement,
    now_us: u64,
    endpoints: Vec<Endpoint>,
    log: Vec<String>,
    log_down: bool,
    transcript: String,
}

impl Bench {
    fn new(endpoints: Vec<Endpoint>, most_layers: u16) -> Self {
        let settings = PlacementSettings { most_layers, ..PlacementSettings::default() };
        Self::with(endpoints, &settings)
    }

    fn with(endpoints: Vec<Endpoint>, settings: &PlacementSettings) -> Self {
        let settings = PlacementSettings { enabled: true, ..settings.clone() };
        let mut bench = Self {
            placement: Placement::new(settings, EndpointId::new("entry-0", 1)),
            now_us: 1_000_000,
            endpoints,
            log: Vec::new(),
            log_down: false,
            transcript: String::new(),
        };
        let document = Document { models: vec![model()], ..Document::default() };
        let configuration =
            Configuration { version: ConfigVersion(1), document, preset: PresetName::Ordinary };
        bench.event(Event::Configured(Arc::new(configuration)));
        bench.show();
        bench
    }

    fn show(&mut self) {
        self.event(Event::Endpoints(self.endpoints.clone().into()));
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.placement.on_event(self.now_us, event, &mut actions);
        self.perform(actions);
    }

    /// Advances the time in steps of 100 ms. Each step reads the log; ordered engines load their layers at
    /// once.
    fn pass_ms(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now_us += 100 * US_PER_MS;
            let mut actions = Vec::new();
            if self.placement.next_timer_us().is_some_and(|due_us| due_us <= self.now_us) {
                self.placement.on_timer(self.now_us, &mut actions);
            }
            let due = self.placement.next_timer_us().is_some_and(|due_us| due_us <= self.now_us);
            assert!(
                !due || !actions.is_empty(),
                "the timer is still due at {} us after it ran without an action",
                self.now_us
            );
            self.perform(actions);
            let records = self.log.iter().enumerate().map(|(index, data)| Record {
                offset: LogOffset(index as u64 + 1),
                time_ms: 0,
                data: data.clone(),
            });
            let next = LogOffset(self.log.len() as u64 + 1);
            let page = Records { first: LogOffset(1), next, records: records.collect() };
            let page = (!self.log_down).then_some(page);
            self.event(Event::Read { requested_us: self.now_us, page });
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) if !self.log_down => {
                    self.log.push(serde_json::to_string(&record).unwrap());
                }
                Action::Append(_) | Action::Read { .. } => {}
                Action::Order(order) => {
                    let engine =
                        self.endpoints.iter_mut().find(|engine| engine.id == order.endpoint).unwrap();
                    let fencing = engine.fencing;
                    *engine = Endpoint {
                        address: engine.address,
                        ..endpoint(
                            order.endpoint.instance.as_str(),
                            (order.layers.begin, order.layers.end),
                            fencing,
                        )
                    };
                    self.show();
                }
                Action::Decide(decision) => {
                    writeln!(self.transcript, "{} {decision}", self.now_us / US_PER_MS).unwrap();
                }
            }
        }
    }
}

fn engines(ranges: &[(u16, u16)], fencing: Fencing) -> Vec<Endpoint> {
    let named = ranges.iter().enumerate();
    named.map(|(number, layers)| endpoint(&format!("engine-{number}"), *layers, fencing)).collect()
}

/// Guards against orders that change a layout which covers the model and is balanced.
#[test]
fn balanced_layout_is_kept() {
    let mut bench = Bench::new(engines(&[(0, 4), (4, 8), (0, 4), (4, 8)], Fencing::Checked), 4);
    bench.pass_ms(30_000);
    insta::assert_snapshot!(bench.transcript);
}

/// Guards against changing a layout for a gain of 2 percent, which is within the hysteresis.
#[test]
fn layout_within_the_hysteresis_is_kept() {
    let mut fleet = engines(&[(0, 4), (4, 8), (0, 4), (4, 8)], Fencing::Checked);
    for (number, engine) in fleet.iter_mut().enumerate() {
        engine.load.step_us = if number % 2 == 0 { 4_000 } else { 4_168 };
    }
    let mut kept = Bench::new(fleet.clone(), 4);
    kept.pass_ms(5_000);
    let settings =
        PlacementSettings { most_layers: 4, hysteresis_percent: 0, ..PlacementSettings::default() };
    let mut changed = Bench::with(fleet, &settings);
    changed.pass_ms(5_000);
    insta::assert_snapshot!(format!("kept:\n{}changed:\n{}", kept.transcript, changed.transcript));
}

/// Guards against a range that stays without a replica, and against taking the last replica of another range.
#[test]
fn missing_range_is_loaded_by_a_spare_replica() {
    let mut bench = Bench::new(engines(&[(0, 4), (0, 4), (0, 4)], Fencing::Checked), 4);
    bench.pass_ms(5_000);
    insta::assert_snapshot!(bench.transcript);
}

/// Guards against orders that leave layers without a replica while the new layout is loaded.
#[test]
fn model_stays_covered_while_engines_change_ranges() {
    let mut bench = Bench::new(engines(&[(0, 4), (4, 8), (4, 8), (4, 8), (4, 8)], Fencing::Checked), 8);
    for _ in 0..300 {
        bench.pass_ms(100);
        assert_eq!(missing_layers(&bench.endpoints, &model()), [], "{}", bench.transcript);
    }
    insta::assert_snapshot!(bench.transcript);
}

/// Guards against orders to engines that ignore fencing numbers while orders of an earlier holder may be in
/// transit.
#[test]
fn engines_that_ignore_fencing_are_ordered_after_the_longest_transit() {
    let settings =
        PlacementSettings { most_layers: 4, order_limit_ms: 3_000, ..PlacementSettings::default() };
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let mut bench = Bench::with(engines(&[(0, 4), (0, 4), (0, 4)], fencing), &settings);
        bench.pass_ms(7_000);
        insta::assert_snapshot!(format!("ordered_{fencing:?}"), bench.transcript);
    }
}

/// Guards against orders of a holder whose lease has ended while the log was down.
#[test]
fn no_orders_are_sent_after_the_lease_has_ended() {
    let mut bench = Bench::new(engines(&[(0, 4), (4, 8), (0, 4), (4, 8)], Fencing::Checked), 4);
    bench.pass_ms(5_000);
    bench.log_down = true;
    bench.pass_ms(15_000);
    bench.endpoints.retain(|engine| engine.role != endpoint("", (4, 8), Fencing::Checked).role);
    bench.show();
    bench.pass_ms(15_000);
    bench.log_down = false;
    bench.pass_ms(5_000);
    insta::assert_snapshot!(bench.transcript);
}

/// Guards against waiting for `load_limit_ms` before an order that failed is repeated.
#[test]
fn failed_order_is_repeated() {
    let mut bench = Bench::new(engines(&[(0, 4), (0, 4), (0, 4)], Fencing::Checked), 4);
    bench.pass_ms(2_000);
    bench.endpoints = engines(&[(0, 4), (0, 4), (0, 4)], Fencing::Checked);
    bench.show();
    for number in 0..3 {
        let endpoint = EndpointId::new(format!("engine-{number}").as_str(), 1);
        bench.event(Event::Ordered { endpoint, result: OrderResult::Failed });
    }
    bench.pass_ms(2_000);
    insta::assert_snapshot!(bench.transcript);
}

/// A clock that the test sets.
#[derive(Clone)]
struct ManualClock(Arc<std::sync::atomic::AtomicU64>);

impl Clock for ManualClock {
    fn now_us(&self) -> u64 {
        self.0.load(std::sync::atomic::Ordering::SeqCst)
    }

    fn unix_ms(&self) -> u64 {
        0
    }
}

/// Guards against an order that is sent after the end of the lease, because the holder was paused before or
/// while it connected.
#[test]
fn order_is_not_sent_if_the_holder_was_paused_past_its_lease() {
    const UNTIL_US: u64 = 1_000;
    for (pause_before_poll, expected_polls) in [(0, 0), (1, 1), (2, 2)] {
        let clock = ManualClock(Arc::default());
        let polls = Rc::new(Cell::new(0));
        if pause_before_poll == 0 {
            clock.0.store(UNTIL_US, std::sync::atomic::Ordering::SeqCst);
        }
        let (counted, moved) = (Rc::clone(&polls), clock.clone());
        let send = std::future::poll_fn(move |context| {
            counted.set(counted.get() + 1);
            if counted.get() == pause_before_poll {
                moved.0.store(UNTIL_US, std::sync::atomic::Ordering::SeqCst);
            }
            context.waker().wake_by_ref();
            if counted.get() < 5 { std::task::Poll::Pending } else { std::task::Poll::Ready(()) }
        });
        let sent = actix_rt::System::new().block_on(while_held(&clock, UNTIL_US, send));
        assert_eq!((sent, polls.get()), (None, expected_polls));
    }
}
