//! Tests that offsets never repeat, that a rejected append has no effect, and that an append takes effect
//! even if its response is lost.

use banyannotch::duty::Duty;
use banyannotch::ids::LogOffset;
use serde_json::{Value, json};

use super::{Answer, Log, LogFaults, LogSettings, Message, ReadRequest, Refused};
use crate::process::{Arrival, Effect, Ticket};

struct LogFixture {
    log: Log,
    last_ticket: u64,
    report: Vec<String>,
}

impl LogFixture {
    fn new(faults: LogFaults) -> Self {
        Self {
            log: Log::new(LogSettings { origin_unix_ms: 1_000, faults }),
            last_ticket: 0,
            report: Vec::new(),
        }
    }

    fn send(&mut self, now_ms: u64, message: Message) {
        self.last_ticket += 1;
        let mut effects = Vec::new();
        self.log.on_event(
            now_ms * 1_000,
            Arrival { ticket: Ticket(self.last_ticket), message },
            &mut effects,
        );
        self.record(now_ms, effects);
    }

    fn timer(&mut self, now_ms: u64) {
        let mut effects = Vec::new();
        if self.log.next_timer_us().is_some_and(|due_us| due_us <= now_ms * 1_000) {
            self.log.on_timer(now_ms * 1_000, &mut effects);
        }
        self.record(now_ms, effects);
    }

    fn record(&mut self, now_ms: u64, effects: Vec<Effect<Answer>>) {
        for effect in effects {
            let text = match effect {
                Effect::Send { ticket, answer, delay_us } => {
                    format!("{} +{delay_us} {}", ticket.0, summary(&answer))
                }
                Effect::Close { ticket } => format!("{} closed", ticket.0),
                other => format!("{other:?}"),
            };
            self.report.push(format!("{now_ms:>5} {text}"));
        }
    }

    fn set_faults(&mut self, now_ms: u64, patch: &Value) {
        let patch = serde_json::from_value(patch.clone()).expect("the faults are valid");
        self.send(now_ms, Message::SetFaults(patch));
    }
}

fn summary(answer: &Answer) -> String {
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
    let mut log = LogFixture::new(LogFaults::default());
    log.send(0, read(1, 10, 0));
    log.send(0, read(1, 10, 100));
    log.send(5, append("a"));
    log.send(6, append("b"));
    log.send(7, append("c"));
    log.send(8, read(0, 2, 0));
    log.send(8, read(3, 2, 0));
    log.send(8, read(4, 2, 50));
    log.timer(57);
    log.timer(58);
    log.send(60, read(9, 2, 0));
    insta::assert_snapshot!(log.report.join("\n"));
}

#[test]
fn faults_and_outages() {
    let mut log = LogFixture::new(LogFaults::default());
    log.set_faults(0, &json!({ "lose_answer_next": 1, "delay_ms": 20 }));
    log.send(1, append("lost answer"));
    log.send(2, read(1, 10, 0));
    log.set_faults(3, &json!({ "reject_next": 1, "delay_ms": 0 }));
    log.send(4, append("rejected"));
    log.send(5, read(2, 10, 1_000));
    log.set_faults(6, &json!({ "down": true }));
    log.send(7, append("while down"));
    log.send(8, read(1, 10, 1_000));
    log.set_faults(9, &json!({ "down": false }));
    log.send(10, read(1, 10, 0));
    log.send(10, Message::Counts);
    insta::assert_snapshot!(log.report.join("\n"));
}

#[test]
fn offsets_continue_after_records_expire() {
    let mut log = LogFixture::new(LogFaults { retention_ms: 100, ..LogFaults::default() });
    log.send(0, append("a"));
    log.send(60, append("b"));
    log.send(110, read(1, 10, 0));
    log.send(200, read(1, 10, 0));
    log.send(200, append("c"));
    log.send(200, read(1, 10, 0));
    insta::assert_snapshot!(log.report.join("\n"));
}

#[test]
fn appends_over_the_rate_limit_are_refused() {
    let mut log = Log::new(LogSettings::default());
    let (mut appended, mut refused) = (0, 0);
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
                Effect::Send { answer: Answer::Appended(_), .. } => appended += 1,
                Effect::Send { answer: Answer::Refused(Refused::OverRate), .. } => refused += 1,
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    // 500 per second for 2 s plus a burst of 50, less the refill of the last millisecond.
    assert_eq!((appended, refused), (1_049, 2_951));
}
