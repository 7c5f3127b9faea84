//! Guards against requests that pass without a check, answers that reach another caller or come out of order, and a
//! drain that cuts off a request.

use std::fmt::Write;
use std::sync::Arc;

use sha2::{Digest, Sha256};

use super::{Action, CallerRequest, CallerWork, Event, Intake, IntakeSettings};
use crate::configuration::{Configuration, Document, Model, PresetName, Service, Team};
use crate::duty::Duty;
use crate::ids::{ConfigVersion, ModelVersion, RequestId};
use crate::request::{Completion, NotRun, Outcome, Reply};

fn hash(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn configuration() -> Arc<Configuration> {
    let document = Document {
        models: vec![Model { name: "writer".into(), version: ModelVersion(1), layers: 12, hidden_bytes: 8 }],
        services: vec![Service { name: "desk".into() }],
        teams: vec![
            Team { name: "claims".into(), token_sha256: hash("claims-secret"), weight: 1 },
            Team { name: "portal".into(), token_sha256: hash("portal-secret"), weight: 2 },
        ],
        ..Document::default()
    };
    Arc::new(Configuration { version: ConfigVersion(3), document, preset: PresetName::Ordinary })
}

fn generate(number: u128) -> CallerRequest {
    CallerRequest {
        request: RequestId(number),
        token_sha256: hash("portal-secret"),
        deadline_ms: Some(1_000),
        priority: None,
        arrived_ms: 2_000,
        reference: None,
        work: CallerWork::Generate { model: "writer".into(), prompt: "p".into(), max_tokens: Some(5) },
    }
}

fn call(key: Option<&str>, key_time_ms: Option<u64>, idempotent: bool) -> CallerRequest {
    CallerRequest {
        work: CallerWork::Call {
            service: "desk".into(),
            operation: "order".into(),
            payload: "{}".into(),
            idempotent,
            key: key.map(str::to_owned),
            key_time_ms,
        },
        ..generate(1)
    }
}

/// A policy with the time of its last event.
struct Run {
    intake: Intake,
    now_us: u64,
}

impl Run {
    fn new() -> Self {
        let mut run = Self { intake: Intake::new(IntakeSettings::default()), now_us: 0 };
        run.take(Event::Configured(configuration()));
        run
    }

    fn take(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.intake.on_event(self.now_us, event, &mut actions);
        actions
    }

    fn arrive(&mut self, request: CallerRequest) -> Vec<Action> {
        self.take(Event::Arrived(Box::new(request)))
    }

    fn timer(&mut self, now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.now_us = now_us;
        if self.intake.next_timer_us().is_some_and(|due_us| due_us <= now_us) {
            self.intake.on_timer(now_us, &mut actions);
        }
        actions
    }
}

/// One line for each action; submissions without their configuration.
fn lines(actions: &[Action]) -> String {
    let mut text = String::new();
    for action in actions {
        let line = match action {
            Action::Submit(s) => {
                format!("submit {} team={} deadline_us={} {:?}", s.request.0, s.team, s.deadline_us, s.work)
            }
            Action::Reject { request, rejection, may_have_run } => {
                let may = if *may_have_run { " may_have_run" } else { "" };
                let (status, reason) = (rejection.status(), rejection.reason());
                format!("reject {}{may} status={status} reason={reason}: {rejection}", request.0)
            }
            other => format!("{other:?}"),
        };
        writeln!(text, "  {line}").expect("a string takes text");
    }
    text
}

fn token(request: u128, index: u32) -> Event {
    Event::Reply(Reply::Token { request: RequestId(request), index, id: index + 70, text: " a".into() })
}

fn ended(request: u128, tokens: u32) -> Event {
    let outcome = Outcome::Completed(Completion::Generated { tokens });
    Event::Reply(Reply::Ended { request: RequestId(request), outcome })
}

#[test]
fn each_wrong_value_is_named_with_what_is_allowed() {
    let work = |model: &str, prompt: &str, max_tokens| CallerRequest {
        work: CallerWork::Generate {
            model: model.into(),
            prompt: prompt.into(),
            max_tokens: Some(max_tokens),
        },
        ..generate(1)
    };
    let cases = [
        ("well-formed", generate(1)),
        ("no token", CallerRequest { token_sha256: String::new(), ..generate(1) }),
        ("unknown token", CallerRequest { token_sha256: hash("guess"), ..generate(1) }),
        ("unknown model", work("reader", "p", 5)),
        ("empty prompt", work("writer", "", 5)),
        ("no tokens", work("writer", "p", 0)),
        ("too many tokens", work("writer", "p", 5_000)),
        ("deadline in the past", CallerRequest { deadline_ms: Some(0), ..generate(1) }),
        ("deadline too far", CallerRequest { deadline_ms: Some(9_999_999), ..generate(1) }),
        ("priority too high", CallerRequest { priority: Some(10), ..generate(1) }),
        ("call with key", call(Some("k"), Some(1_700), false)),
        ("idempotent call", call(None, None, true)),
        ("call without key", call(None, Some(17), false)),
        ("call without key time", call(Some("k"), None, false)),
        ("call with empty key", call(Some(""), Some(17), false)),
        ("call with long key", call(Some(&"k".repeat(257)), Some(17), false)),
    ];
    let mut report = String::new();
    for (name, request) in cases {
        write!(report, "{name}\n{}", lines(&Run::new().arrive(request))).expect("a string takes text");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn without_certain_configuration_nothing_is_taken() {
    let mut run = Run { intake: Intake::new(IntakeSettings::default()), now_us: 0 };
    let mut report = format!("none yet\n{}", lines(&run.arrive(generate(1))));
    run.take(Event::Configured(configuration()));
    write!(report, "configured\n{}", lines(&run.arrive(generate(2)))).expect("a string takes text");
    run.take(Event::Certain(false));
    write!(report, "cut off\n{}", lines(&run.arrive(generate(3)))).expect("a string takes text");
    run.take(Event::Certain(true));
    write!(report, "in contact again\n{}", lines(&run.arrive(generate(4)))).expect("a string takes text");
    insta::assert_snapshot!(report);
}

/// Guards against requests that a process admits right after it was frozen, before configuration has run again.
#[test]
fn after_a_freeze_nothing_is_taken_until_there_is_contact() {
    let mut run = Run::new();
    run.take(Event::CertainUntil(5_000_000));
    run.now_us = 4_999_999;
    let mut report = format!("within the time\n{}", lines(&run.arrive(generate(1))));
    run.now_us = 60_000_000;
    write!(report, "woken up\n{}", lines(&run.arrive(generate(2)))).expect("a string takes text");
    run.take(Event::CertainUntil(65_000_000));
    write!(report, "in contact again\n{}", lines(&run.arrive(generate(3)))).expect("a string takes text");
    insta::assert_snapshot!(report);
}

#[test]
fn tokens_out_of_order_or_after_the_end_do_not_reach_the_caller() {
    let mut run = Run::new();
    run.arrive(generate(1));
    run.arrive(generate(2));
    let events = [
        ("first token", token(1, 0)),
        ("the same token again", token(1, 0)),
        ("a token too early", token(1, 2)),
        ("the other caller's first token", token(2, 0)),
        ("the next token", token(1, 1)),
        ("the end", ended(1, 2)),
        ("a second outcome", ended(1, 2)),
        ("a token after the end", token(1, 2)),
        ("the end of the other", ended(2, 1)),
    ];
    let mut report = String::new();
    for (name, event) in events {
        write!(report, "{name}\n{}", lines(&run.take(event))).expect("a string takes text");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn credit_follows_what_the_caller_takes() {
    let mut run = Run::new();
    run.arrive(generate(1));
    let credits: Vec<u32> = (0..40)
        .flat_map(|_| run.take(Event::Taken { request: RequestId(1), tokens: 1 }))
        .map(|action| match action {
            Action::Credit { tokens, .. } => tokens,
            other => unreachable!("{other:?}"),
        })
        .collect();
    assert_eq!(credits, [16, 16]);
}

#[test]
fn a_caller_who_goes_away_cancels_once() {
    let mut run = Run::new();
    run.arrive(generate(1));
    let mut report = lines(&run.take(Event::Gone(RequestId(1))));
    report.push_str(&lines(&run.take(Event::Gone(RequestId(1)))));
    report.push_str(&lines(&run.take(token(1, 0))));
    report.push_str(&lines(&run.take(ended(1, 1))));
    insta::assert_snapshot!(report);
}

#[test]
fn a_drain_takes_requests_during_the_notice_and_cuts_off_none() {
    let mut run = Run::new();
    run.arrive(generate(1));
    let mut report = String::new();
    let mut add = |name: &str, actions: &[Action]| {
        write!(report, "{name}\n{}", lines(actions)).expect("a string takes text");
    };
    add("drain", &run.take(Event::Drain));
    run.now_us = 2_000_000;
    add("during the notice", &run.arrive(generate(2)));
    add("the notice ends", &run.timer(3_000_000));
    add("after the notice", &run.arrive(generate(3)));
    add("the first ends", &run.take(ended(1, 0)));
    add("the second ends", &run.take(ended(2, 0)));
    insta::assert_snapshot!(report);
}

/// Guards against "not run" about a request whose earlier sending, through another entry, may have run.
#[test]
fn a_refused_resend_is_not_reported_as_not_run_unless_the_ledger_says_so() {
    let refusals = [
        NotRun::QueueFull,
        NotRun::NoRoute,
        NotRun::Deadline,
        NotRun::LedgerUnavailable,
        NotRun::KeyExpired,
        NotRun::KeyConflict,
        NotRun::Refused,
    ];
    let mut report = String::new();
    for (name, made_ms) in [("first sending", 1_500), ("possible resend", 500)] {
        for reason in refusals {
            let mut run = Run::new();
            run.arrive(call(Some("k"), Some(made_ms), false));
            let outcome = Outcome::NotRun(reason);
            let actions = run.take(Event::Reply(Reply::Ended { request: RequestId(1), outcome }));
            write!(report, "{name}, {reason}\n{}", lines(&actions)).expect("a string takes text");
        }
        let mut run = Run::new();
        run.take(Event::Certain(false));
        let actions = run.arrive(call(Some("k"), Some(made_ms), false));
        write!(report, "{name}, uncertain\n{}", lines(&actions)).expect("a string takes text");
    }
    insta::assert_snapshot!(report);
}
