//! Guards against an engine stand-in that runs steps it has to refuse, takes another time than configured, or
//! does not count work that ran twice.

use std::fmt::Write;

use banyannotch::backing::Fencing;
use banyannotch::duty::Duty;
use banyannotch::engine::{CacheName, Input, Order, Output, StepRequest, Token};
use banyannotch::ids::{Attempt, CacheId, FencingNumber, ModelVersion, RequestId};
use banyannotch::pipeline::LayerRange;
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

use super::{Answer, Counts, Engine, EngineFaultPatch, EngineSettings, Message};
use crate::model::{Model, reference_answer};
use crate::process::{Arrival, Effect, Ticket};

/// Seed of the random scripts; fixed so that failures are reproducible.
const SEED: u64 = 1;

/// An engine with a clock that the test advances, and the effects so far with their times in microseconds.
struct TestBench {
    engine: Engine,
    now_us: u64,
    last_ticket: Ticket,
    effects: Vec<(u64, Effect<Answer>)>,
}

impl TestBench {
    fn new(settings: EngineSettings) -> Self {
        Self { engine: Engine::new(settings), now_us: 0, last_ticket: Ticket(0), effects: Vec::new() }
    }

    fn send(&mut self, message: Message) -> Ticket {
        self.last_ticket = Ticket(self.last_ticket.0 + 1);
        let mut effects = Vec::new();
        self.engine.on_event(self.now_us, Arrival { ticket: self.last_ticket, message }, &mut effects);
        self.record_effects(effects);
        self.last_ticket
    }

    fn record_effects(&mut self, effects: Vec<Effect<Answer>>) {
        let now_us = self.now_us;
        self.effects.extend(effects.into_iter().map(|effect| (now_us, effect)));
    }

    /// Runs all timers that are due up to `end_us` and advances the clock to it.
    fn run_to(&mut self, end_us: u64) {
        while let Some(due_us) = self.engine.next_timer_us().filter(|due_us| *due_us <= end_us) {
            self.now_us = self.now_us.max(due_us);
            let mut effects = Vec::new();
            self.engine.on_timer(self.now_us, &mut effects);
            self.record_effects(effects);
        }
        self.now_us = end_us;
    }

    /// Sends a message, advances the clock until it is answered, and returns the answer. Panics if there is
    /// none within one second.
    fn send_and_wait(&mut self, message: Message) -> Answer {
        let ticket = self.send(message);
        let end_us = self.now_us + 1_000_000;
        while self.answer_to(ticket).is_none() && self.engine.next_timer_us().is_some_and(|due| due <= end_us)
        {
            let due_us =
                self.engine.next_timer_us().expect("the loop condition checked for a timer").max(self.now_us);
            self.run_to(due_us);
        }
        self.answer_to(ticket).expect("the engine should answer within one second")
    }

    fn answer_to(&self, wanted: Ticket) -> Option<Answer> {
        self.effects.iter().find_map(|(_, effect)| match effect {
            Effect::Send { ticket, answer, .. } if *ticket == wanted => Some(answer.clone()),
            _ => None,
        })
    }

    fn faults(&mut self, patch: &Value) {
        let patch: EngineFaultPatch =
            serde_json::from_value(patch.clone()).expect("the patch should name known faults");
        self.send(Message::SetFaults(patch));
    }

    fn counts(&mut self) -> Counts {
        match self.send_and_wait(Message::Counts) {
            Answer::Counts(counts) => counts,
            other => panic!("expected counts, got {other:?}"),
        }
    }

    /// Drains the effects so far and describes each in one line: time, ticket, delay and answer.
    fn report(&mut self) -> String {
        let mut report = String::new();
        for (now_us, effect) in self.effects.drain(..) {
            let text = match effect {
                Effect::Send { ticket, answer, delay_us } => {
                    format!("{} +{delay_us} {}", ticket.0, summarize(&answer))
                }
                Effect::Close { ticket } => format!("{} closed", ticket.0),
                Effect::Withhold { ticket } => format!("{} silent", ticket.0),
                Effect::Exit { code } => format!("exit {code}"),
            };
            writeln!(report, "{now_us:>7} {text}").expect("writing to a string does not fail");
        }
        report
    }
}

fn summarize(answer: &Answer) -> String {
    match answer {
        Answer::Step(step) => match &step.output {
            Output::Token(token) => {
                format!("step {} count {} token{}", step.position, step.count, token.text)
            }
            Output::Hidden(hidden) => {
                format!("step {} count {} hidden {hidden:x?}", step.position, step.count)
            }
        },
        Answer::Refused(refused) => format!("refused: {refused}"),
        Answer::Load(load) => format!(
            "load running {} queued {} batches {} used {} age {}",
            load.running, load.queued, load.batches, load.cache_used, load.age_ms
        ),
        other => format!("{other:?}"),
    }
}

/// Settings under which a batch of one step takes 2 ms and each additional step or position 1 ms.
fn round_settings() -> EngineSettings {
    EngineSettings {
        layers: LayerRange::new(0, 4),
        model_layers: 4,
        step_us: 250,
        item_us: 250,
        prefill_us: 250,
        batch_limit: 2,
        idle_cache_ms: 0,
        load_lag_ms: 0,
        event_lag_ms: 0,
        ..EngineSettings::default()
    }
}

fn step(cache: u128, position: u32, input: Input) -> StepRequest {
    StepRequest {
        cache: CacheId(cache),
        request: RequestId(cache),
        attempt: Attempt(1),
        model: "m".into(),
        version: ModelVersion(1),
        layers: LayerRange::new(0, 4),
        position,
        input,
        priority: 1,
    }
}

fn prompt(text: &str) -> Input {
    Input::Prompt { prompt: text.to_owned(), tokens: Vec::new() }
}

fn prefill(cache: u128) -> Message {
    Message::Step(step(cache, 0, prompt("hello")))
}

fn decode(cache: u128, position: u32) -> Message {
    Message::Step(step(cache, position, Input::Tokens { tokens: vec![7] }))
}

/// Generates tokens through a pipeline in which each stage has its own engine.
fn generate(stages: &mut [(LayerRange, TestBench)], text: &str, max_tokens: usize) -> Vec<Token> {
    let mut tokens = Vec::new();
    let mut input = prompt(text);
    let mut position = 0;
    while tokens.len() < max_tokens {
        let mut count = 0;
        for (layers, bench) in &mut *stages {
            let request = StepRequest { layers: *layers, ..step(9, position, input) };
            match bench.send_and_wait(Message::Step(request)) {
                Answer::Step(answer) => {
                    count = answer.count;
                    input = match answer.output {
                        Output::Hidden(hidden) => Input::Hidden { hidden },
                        Output::Token(token) => {
                            let next = Input::Tokens { tokens: vec![token.id] };
                            tokens.push(token);
                            next
                        }
                    };
                }
                other => panic!("expected a step answer, got {other:?}"),
            }
        }
        position += count;
    }
    tokens
}

#[test]
fn pipeline_of_engines_generates_reference_answer() {
    let mut stages: Vec<(LayerRange, TestBench)> = [(0, 1), (1, 3), (3, 4)]
        .map(|(begin, end)| LayerRange::new(begin, end))
        .map(|layers| (layers, TestBench::new(EngineSettings { layers, ..round_settings() })))
        .into();
    let text = "where is my refund for the delayed flight";
    let expected = reference_answer(&Model::new("m", 1), 4, text, 5);
    assert_eq!(generate(&mut stages, text, 5), expected);
    let counts: Vec<Counts> = stages.iter_mut().map(|(_, bench)| bench.counts()).collect();
    insta::assert_debug_snapshot!(counts);
}

#[test]
fn batches_run_by_priority_then_arrival_for_configured_time() {
    let mut bench = TestBench::new(round_settings());
    bench.send(prefill(1));
    bench.send(prefill(2));
    bench.send(prefill(3));
    bench.send(Message::Step(StepRequest { priority: 5, ..step(4, 0, prompt("one two three")) }));
    bench.run_to(1_000);
    bench.send(Message::Load);
    bench.run_to(20_000);
    bench.send(decode(1, 1));
    bench.run_to(40_000);
    bench.send(Message::Load);
    insta::assert_snapshot!(bench.report());
}

#[test]
fn refused_steps_do_not_run() {
    let mut bench = TestBench::new(EngineSettings { cache_limit: 4, ..round_settings() });
    bench.send_and_wait(prefill(1));
    let valid = step(2, 0, prompt("hello"));
    let cases = [
        StepRequest { model: "other".into(), ..valid.clone() },
        StepRequest { version: ModelVersion(2), ..valid.clone() },
        StepRequest { layers: LayerRange::new(0, 3), ..valid.clone() },
        StepRequest { position: 1, input: Input::Tokens { tokens: vec![7] }, ..valid.clone() },
        StepRequest { position: 1, ..valid.clone() },
        StepRequest { input: prompt(" "), ..valid.clone() },
        StepRequest { input: Input::Hidden { hidden: vec![1] }, ..valid.clone() },
        StepRequest { input: prompt("a b c d"), ..valid.clone() },
        step(1, 0, prompt("hello")),
        step(1, 2, Input::Tokens { tokens: vec![7] }),
    ];
    bench.effects.clear();
    for case in cases {
        bench.send_and_wait(Message::Step(case));
    }
    bench.faults(&json!({ "refuse": "busy" }));
    bench.send_and_wait(Message::Step(valid.clone()));
    bench.faults(&json!({ "refuse": "", "leaving": true }));
    bench.send_and_wait(Message::Step(valid));
    bench.send_and_wait(decode(1, 1));
    let counts = bench.counts();
    assert_eq!((counts.steps, counts.refused), (2, 12));
    insta::assert_snapshot!(bench.report());
}

#[test]
fn repeated_step_in_queue_is_refused() {
    let mut bench = TestBench::new(round_settings());
    bench.send_and_wait(prefill(1));
    bench.effects.clear();
    bench.send(decode(1, 1));
    bench.send(decode(1, 1));
    bench.send(decode(1, 2));
    bench.run_to(100_000);
    insta::assert_snapshot!(bench.report());
    assert_eq!(bench.counts().duplicates, 0);
}

#[test]
fn repeated_work_after_cancellation_counts_as_duplicate() {
    let mut bench = TestBench::new(round_settings());
    bench.send_and_wait(Message::Step(step(1, 0, prompt("one two three"))));
    bench.send_and_wait(Message::Cancel(CacheName { cache: CacheId(1) }));
    bench.send_and_wait(Message::Step(step(1, 0, prompt("one two"))));
    let counts = bench.counts();
    assert_eq!((counts.duplicates, counts.cancelled), (8, 1));
    bench.send_and_wait(Message::Step(StepRequest {
        request: RequestId(5),
        ..step(1, 2, Input::Tokens { tokens: vec![1] })
    }));
    assert_eq!(bench.counts().foreign, 1);
    insta::assert_debug_snapshot!(bench.send_and_wait(Message::Requests));
}

#[test]
fn faults_drop_delay_or_defer_answers() {
    let mut bench = TestBench::new(round_settings());
    bench.faults(&json!({ "freeze_next": 1, "drop_answer_next": 1, "link_delay_us": 300 }));
    bench.send(prefill(1));
    bench.send(prefill(2));
    bench.send(prefill(3));
    bench.run_to(50_000);
    bench.faults(&json!({ "freeze": true }));
    bench.send(decode(3, 1));
    bench.send(Message::Load);
    bench.run_to(90_000);
    bench.faults(&json!({ "freeze": false, "slow_factor": 10.0 }));
    bench.run_to(200_000);
    bench.faults(&json!({ "crash_on": "poison" }));
    bench.send(Message::Step(step(4, 0, prompt("some poisonous text"))));
    bench.run_to(300_000);
    insta::assert_snapshot!(bench.report());
}

#[test]
fn imported_cache_continues_at_its_position() {
    let mut from = TestBench::new(round_settings());
    let mut to = TestBench::new(round_settings());
    let mut reference_bench = TestBench::new(round_settings());
    from.send_and_wait(prefill(1));
    reference_bench.send_and_wait(prefill(1));
    let Answer::State(state) = from.send_and_wait(Message::Export(CacheName { cache: CacheId(1) })) else {
        panic!("expected the exported state of cache 1");
    };
    assert_eq!(to.send_and_wait(Message::Import(state.clone())), Answer::Done);
    assert_eq!(to.send_and_wait(decode(1, 1)), reference_bench.send_and_wait(decode(1, 1)));
    to.effects.clear();
    to.send_and_wait(Message::Import(state));
    to.send_and_wait(Message::Export(CacheName { cache: CacheId(8) }));
    insta::assert_snapshot!(to.report());
}

fn order(fencing: u64, begin: u16, end: u16) -> Message {
    Message::Order(Order {
        fencing: FencingNumber(fencing),
        model: "m".into(),
        version: ModelVersion(1),
        layers: LayerRange::new(begin, end),
    })
}

#[test]
fn stale_orders_are_refused_only_if_fencing_is_checked() {
    for (name, fencing) in [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)] {
        let mut bench = TestBench::new(EngineSettings { fencing, load_time_ms: 100, ..round_settings() });
        bench.send_and_wait(prefill(1));
        bench.effects.clear();
        bench.send(order(5, 0, 4));
        bench.send(decode(1, 1));
        bench.send(order(6, 0, 2));
        bench.send(decode(1, 2));
        bench.send(order(4, 0, 4));
        bench.send(order(7, 2, 9));
        bench.run_to(500_000);
        bench.send(decode(1, 1));
        bench.send(Message::Step(StepRequest { layers: LayerRange::new(0, 2), ..step(2, 0, prompt("a")) }));
        bench.run_to(600_000);
        insta::assert_snapshot!(format!("orders_{name}"), bench.report());
    }
}

#[test]
fn load_report_lags_but_batch_counter_is_current() {
    let mut bench = TestBench::new(EngineSettings { load_lag_ms: 50, ..round_settings() });
    bench.run_to(100_000);
    bench.send(prefill(1));
    for end_us in [110_000, 149_000, 170_000] {
        bench.run_to(end_us);
        bench.send(Message::Load);
    }
    insta::assert_snapshot!(bench.report());
}

#[test]
fn cached_prefixes_save_prefill_and_events_lag_with_gaps() {
    let settings = EngineSettings {
        prefix_cache: 48,
        event_lag_ms: 30,
        event_gap_every: 3,
        batch_limit: 1,
        ..round_settings()
    };
    let mut bench = TestBench::new(settings);
    let long = "w ".repeat(40);
    let other = "v ".repeat(33);
    bench.send(Message::Step(step(1, 0, prompt(&long))));
    bench.run_to(29_999);
    bench.send(Message::CacheEvents { from: 0 });
    bench.run_to(100_000);
    bench.send(Message::Step(step(2, 0, prompt(&long))));
    bench.run_to(110_000);
    bench.send(Message::Step(step(3, 0, prompt(&other))));
    bench.send(Message::CacheEvents { from: 0 });
    bench.run_to(400_000);
    bench.send(Message::CacheEvents { from: 2 });
    insta::assert_snapshot!(bench.report());
}

#[test]
fn idle_caches_are_freed() {
    let mut bench = TestBench::new(EngineSettings { idle_cache_ms: 1_000, ..round_settings() });
    bench.send_and_wait(prefill(1));
    bench.run_to(900_000);
    bench.send_and_wait(prefill(2));
    bench.run_to(1_500_000);
    let counts = bench.counts();
    assert_eq!((counts.idle_freed, counts.caches), (1, 1));
    let kept = [1, 2].map(|cache| bench.send_and_wait(Message::Export(CacheName { cache: CacheId(cache) })));
    assert!(
        matches!(kept, [Answer::Refused(_), Answer::State(_)]),
        "expected cache 1 freed and cache 2 kept, got {kept:?}"
    );
}

#[test]
fn short_batches_take_configured_time_on_average() {
    let mut bench = TestBench::new(EngineSettings {
        step_us: 20,
        item_us: 10,
        prefill_us: 10,
        batch_limit: 1,
        ..round_settings()
    });
    for cache in 1..=1_000 {
        bench.send(prefill(cache));
    }
    bench.run_to(10_000_000);
    let last_us =
        bench.effects.iter().map(|(now_us, _)| *now_us).max().expect("the engine should answer the steps");
    // Each batch takes 4 * (20 + 10) us; the pacer may hold back less than one timer resolution (1 ms).
    assert!(
        last_us.abs_diff(120_000) < 1_000,
        "expected the last answer at 120000 us +/- 1 ms, got {last_us} us"
    );
    assert_eq!(bench.counts().batches, 1_000);
}

/// Decodes a random triple to a message or fault and sends it, or advances the clock.
fn run_action(bench: &mut TestBench, (kind, cache, value): (u8, u8, u8)) {
    let name = CacheName { cache: CacheId(u128::from(cache % 4)) };
    let message = match kind % 16 {
        0..3 => Message::Step(step(name.cache.0, 0, prompt("one two"))),
        3..8 => decode(name.cache.0, u32::from(value % 6)),
        8 => Message::Cancel(name),
        9 => Message::Export(name),
        10 => order(u64::from(value), 0, if cache.is_multiple_of(2) { 4 } else { 2 }),
        11 => Message::Load,
        12 => return bench.faults(&json!({ "freeze": cache.is_multiple_of(2) })),
        13 => return bench.faults(&json!({ "freeze_next": cache % 2, "drop_answer_next": value % 2 })),
        14 => return bench.faults(&json!({ "leaving": cache.is_multiple_of(2) })),
        _ => {
            let end_us = bench.now_us + u64::from(value) * 100;
            return bench.run_to(end_us);
        }
    };
    bench.send(message);
}

#[test]
fn every_message_gets_one_effect_and_counts_match() {
    fn property(script: Vec<(u8, u8, u8)>) -> bool {
        let mut bench = TestBench::new(EngineSettings { load_time_ms: 5, ..round_settings() });
        for action in script {
            run_action(&mut bench, action);
        }
        bench.faults(&json!({ "freeze": false }));
        let end_us = bench.now_us + 10_000_000;
        bench.run_to(end_us);
        let counts = bench.counts();
        let (mut tickets, mut ran, mut refused) = (Vec::new(), 0, 0);
        for (_, effect) in &bench.effects {
            let ticket = match effect {
                Effect::Send { ticket, answer, .. } => {
                    ran += u64::from(matches!(answer, Answer::Step(_)));
                    refused += u64::from(matches!(answer, Answer::Refused(_)));
                    ticket
                }
                Effect::Close { ticket } => {
                    ran += 1;
                    ticket
                }
                Effect::Withhold { ticket } => ticket,
                Effect::Exit { .. } => return false,
            };
            tickets.push(*ticket);
        }
        tickets.sort_unstable();
        let all = (1..=bench.last_ticket.0).map(Ticket);
        tickets.into_iter().eq(all) && (counts.steps, counts.refused) == (ran, refused)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}
