//! Guards against offsets that repeat, a rejected append that took effect, and a lost answer whose append did not.

use banyannotch::duty::Duty;
use banyannotch::ids::LogOffset;
use serde_json::{Value, json};

use super::{Answer, Log, LogFaults, LogSettings, Message, ReadRequest, Refused};
use crate::process::{Arrival, Effect, Ticket};

struct Bench {
    log: Log,
    last: u64,
    report: Vec<String>,
}

impl Bench {
    fn new(faults: LogFaults) -> Self {
        Self { log: Log::new(LogSettings { origin_unix_ms: 1_000, faults }), last: 0, report: Vec::new() }
    }

    fn send(&mut self, now_ms: u64, message: Message) {
        self.last += 1;
        let mut effects = Vec::new();
        self.log.on_event(now_ms * 1_000, Arrival { ticket: Ticket(self.last), message }, &mut effects);
        self.note(now_ms, effects);
    }

    fn timer(&mut self, now_ms: u64) {
        let mut effects = Vec::new();
        if self.log.next_timer_us().is_some_and(|due_us| due_us <= now_ms * 1_000) {
            self.log.on_timer(now_ms * 1_000, &mut effects);
        }
        self.note(now_ms, effects);
    }

    fn note(&mut self, now_ms: u64, effects: Vec<Effect<Answer>>) {
        for effect in effects {
            let text = match effect {
                Effect::Send { ticket, answer, delay_us } => {
                    format!("{} +{delay_us} {}", ticket.0, brief(&answer))
                }
                Effect::Close { ticket } => format!("{} closed", ticket.0),
                other => format!("{other:?}"),
            };
            self.report.push(format!("{now_ms:>5} {text}"));
        }
    }

    fn faults(&mut self, now_ms: u64, patch: &Value) {
        let patch = serde_json::from_value(patch.clone()).expect("a patch");
        self.send(now_ms, Message::SetFaults(patch));
    }
}

fn brief(answer: &Answer) -> String {
    match answer {
        Answer::Appended(appended) => format!("appended {}", appended.offset),
        Answer::Records(page) => {
            let records: Vec<String> = page
                .records
                .iter()
                .map(|record| format!("{}@{}:{}", record.offset, record.time_ms, record.data))
                .collect();
            format!("first {} next {} [{}]", page.first, page.next, records.join(" "))
        }
        Answer::Refused(refused) => format!("refused: {refused}"),
        Answer::Faults(_) => "faults".to_owned(),
        Answer::Counts(counts) => format!("{counts:?}"),
    }
}

fn append(data: &str) -> Message {
    Message::Append { stream: "s".to_owned(), data: data.to_owned() }
}

fn read(from: u64, max: usize, wait_ms: u64) -> Message {
    Message::Read(ReadRequest { stream: "s".to_owned(), from: LogOffset(from), max, wait_ms })
}

#[test]
fn appends_and_reads() {
    let mut bench = Bench::new(LogFaults::default());
    bench.send(0, read(1, 10, 0));
    bench.send(0, read(1, 10, 100));
    bench.send(5, append("a"));
    bench.send(6, append("b"));
    bench.send(7, append("c"));
    bench.send(8, read(0, 2, 0));
    bench.send(8, read(3, 2, 0));
    bench.send(8, read(4, 2, 50));
    bench.timer(57);
    bench.timer(58);
    bench.send(60, read(9, 2, 0));
    insta::assert_snapshot!(bench.report.join("\n"));
}

#[test]
fn faults_and_outages() {
    let mut bench = Bench::new(LogFaults::default());
    bench.faults(0, &json!({ "lose_answer_next": 1, "delay_ms": 20 }));
    bench.send(1, append("lost answer"));
    bench.send(2, read(1, 10, 0));
    bench.faults(3, &json!({ "reject_next": 1, "delay_ms": 0 }));
    bench.send(4, append("rejected"));
    bench.send(5, read(2, 10, 1_000));
    bench.faults(6, &json!({ "down": true }));
    bench.send(7, append("while down"));
    bench.send(8, read(1, 10, 1_000));
    bench.faults(9, &json!({ "down": false }));
    bench.send(10, read(1, 10, 0));
    bench.send(10, Message::Counts);
    insta::assert_snapshot!(bench.report.join("\n"));
}

#[test]
fn records_expire_and_offsets_go_on() {
    let mut bench = Bench::new(LogFaults { retention_ms: 100, ..LogFaults::default() });
    bench.send(0, append("a"));
    bench.send(60, append("b"));
    bench.send(110, read(1, 10, 0));
    bench.send(200, read(1, 10, 0));
    bench.send(200, append("c"));
    bench.send(200, read(1, 10, 0));
    insta::assert_snapshot!(bench.report.join("\n"));
}

#[test]
fn the_rate_is_kept() {
    let mut log = Log::new(LogSettings::default());
    let (mut taken, mut refused) = (0, 0);
    for now_ms in 0..2_000_u64 {
        let mut effects = Vec::new();
        for ticket in 0..2 {
            log.on_event(
                now_ms * 1_000,
                Arrival { ticket: Ticket(ticket), message: append("x") },
                &mut effects,
            );
        }
        for effect in effects {
            match effect {
                Effect::Send { answer: Answer::Appended(_), .. } => taken += 1,
                Effect::Send { answer: Answer::Refused(Refused::OverRate), .. } => refused += 1,
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    // 500 a second for two seconds and a burst of 50; the last refill comes a millisecond before the end.
    assert_eq!((taken, refused), (1_049, 2_951));
}
