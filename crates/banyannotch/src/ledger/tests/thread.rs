//! Runs the ledger threads of two entries over one log on loopback. Guards against errors in the calls of the
//! log and in the use of the rings, including appends that the log refuses at first.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::backing::{Appended, Record, Records};
use crate::clock::{Clock, SystemClock};
use crate::duty::Supervisor;
use crate::execution;
use crate::http::{Handler, Request, Response, ServerSettings, json, read_body, serve};
use crate::ids::{Fingerprint, LogOffset, RequestId};
use crate::ledger::{self, Claim, Event, LedgerSettings, Links, RecordedOutcome, Verdict};
use crate::pipeline::Address;
use crate::request::IdempotencyKey;
use crate::ring::{Doorbell, Receiver, Sender, link};

/// Deadline of the claims and timeout of each answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// How long the log holds a read open when it has no new record.
const LOG_WAIT_MS: u64 = 10;

/// Log service with one stream in memory.
#[derive(Clone, Default)]
struct Log {
    records: Rc<RefCell<Vec<Record>>>,
    /// Number of appends that are still to be refused with status 429.
    refusals: Rc<RefCell<u32>>,
}

impl Log {
    async fn append(&self, mut request: Request) -> Response {
        if *self.refusals.borrow() > 0 {
            *self.refusals.borrow_mut() -= 1;
            return json(429, &());
        }
        let body = read_body(&mut request, &ServerSettings::default()).await.expect("a body");
        let data = String::from_utf8(body.to_vec()).expect("a record is text");
        let offset = LogOffset(self.records.borrow().len() as u64 + 1);
        self.records.borrow_mut().push(Record { offset, time_ms: SystemClock::start().unix_ms(), data });
        json(200, &Appended { offset })
    }

    async fn read(&self, request: &Request) -> Response {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let from = query.split('&').find_map(|part| part.strip_prefix("from=")?.parse::<u64>().ok());
        let from = from.expect("a read names its first offset");
        if self.records.borrow().len() < from as usize && !query.ends_with("wait_ms=0") {
            actix_rt::time::sleep(Duration::from_millis(LOG_WAIT_MS)).await;
        }
        let records: Vec<Record> = self.records.borrow().iter().skip(from as usize - 1).cloned().collect();
        let next = LogOffset(from + records.len() as u64);
        json(200, &Records { first: LogOffset(1), next, records })
    }
}

impl Handler for Log {
    async fn handle(&self, request: Request) -> Response {
        assert_eq!(request.uri().path(), "/v1/streams/ledger-0/records");
        if request.method().as_str() == "POST" {
            self.append(request).await
        } else {
            self.read(&request).await
        }
    }
}

/// A ledger thread and the ends of its rings that execution uses.
struct Entry {
    bell: Doorbell,
    events: Sender<Event>,
    answers: Receiver<execution::Event>,
}

impl Entry {
    fn start(name: &str, supervisor: &Supervisor, clock: SystemClock, log: Address, seed: u64) -> Self {
        let (bell, ledger_bell, notes_bell) = (Doorbell::default(), Doorbell::default(), Doorbell::default());
        let (events, inbound) = link(16, 16, &bell, &ledger_bell);
        let (execution, answers) = link(16, 16, &ledger_bell, &bell);
        // The notes are not read. When their ring is full, only notes are lost.
        let (telemetry, _) = link(64, 64, &ledger_bell, &notes_bell);
        let links = Links { bell: ledger_bell, inbound: vec![inbound], execution, telemetry };
        let settings = LedgerSettings { shards: 1, ..LedgerSettings::default() };
        ledger::spawn(supervisor, clock, links, settings, name.into(), log, seed).expect("a thread");
        Self { bell, events, answers }
    }

    async fn claim(&mut self, request: u128, clock: SystemClock, key: &IdempotencyKey) -> Verdict {
        let deadline_us = clock.now_us() + ANSWER_TIMEOUT.as_micros() as u64;
        let (request, payload) = (RequestId(request), Fingerprint(5));
        let claim = Claim { request, key: key.clone(), payload, deadline_us };
        self.events.send(Event::Claim(claim)).expect("room in the ring");
        loop {
            if let Some(event) = self.answers.receive() {
                let execution::Event::Claimed(answer) = event else {
                    panic!("expected an answer to a claim, got {event:?}")
                };
                assert_eq!(answer.request, request);
                return answer.verdict;
            }
            self.bell.wait().await;
        }
    }
}

#[test]
fn outcome_recorded_by_one_entry_answers_a_resend_at_another() {
    actix_rt::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let log = Log::default();
        *log.refusals.borrow_mut() = 2;
        actix_rt::spawn(serve(listener, ServerSettings::default(), log.clone()));
        let (clock, supervisor) = (SystemClock::start(), Supervisor::default());
        let mut first = Entry::start("entry-1", &supervisor, clock, address, 1);
        let mut second = Entry::start("entry-2", &supervisor, clock, address, 2);
        let key = IdempotencyKey { team: "desk".into(), key: "k".to_owned(), made_ms: clock.unix_ms() };

        let granted =
            actix_rt::time::timeout(ANSWER_TIMEOUT, first.claim(1, clock, &key)).await.expect("an answer");
        let Verdict::Granted(nonce) = granted else { panic!("expected a grant, got {granted:?}") };
        let outcome = RecordedOutcome::Completed { result: "7".to_owned() };
        let report = ledger::OutcomeReport { key: key.clone(), nonce, outcome: outcome.clone() };
        first.events.send(Event::RecordOutcome(report)).expect("room in the ring");
        let resend =
            actix_rt::time::timeout(ANSWER_TIMEOUT, second.claim(2, clock, &key)).await.expect("an answer");
        assert_eq!(resend, Verdict::Recorded(outcome));
        assert_eq!(*log.refusals.borrow(), 0, "the log has refusals left that no append received");
    });
}
