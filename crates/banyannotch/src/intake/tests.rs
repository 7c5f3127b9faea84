//! Guards against requests that are accepted without validation, answers that reach another caller or arrive
//! out of order, and a drain that drops an open request.

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
        arrived_unix_ms: 2_000,
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

/// The policy and the current simulated time.
struct Harness {
    intake: Intake,
    now_us: u64,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self { intake: Intake::new(IntakeSettings::default()), now_us: 0 };
        harness.handle(Event::Configured(configuration()));
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.intake.on_event(self.now_us, event, &mut actions);
        actions
    }

    fn arrive(&mut self, request: CallerRequest) -> Vec<Action> {
        self.handle(Event::Arrived(Box::new(request)))
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

/// Formats one line for each action. Submissions are printed without their configuration.
fn format_actions(actions: &[Action]) -> String {
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
        writeln!(text, "  {line}").expect("writing to a string succeeds");
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
fn rejection_names_the_wrong_value_and_what_is_allowed() {
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
        write!(report, "{name}\n{}", format_actions(&Harness::new().arrive(request)))
            .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn requests_are_rejected_without_a_known_configuration() {
    let mut harness = Harness { intake: Intake::new(IntakeSettings::default()), now_us: 0 };
    let mut report = format!("none yet\n{}", format_actions(&harness.arrive(generate(1))));
    harness.handle(Event::Configured(configuration()));
    write!(report, "configured\n{}", format_actions(&harness.arrive(generate(2))))
        .expect("writing to a string succeeds");
    harness.handle(Event::ConfigurationCertain(false));
    write!(report, "cut off\n{}", format_actions(&harness.arrive(generate(3))))
        .expect("writing to a string succeeds");
    harness.handle(Event::ConfigurationCertain(true));
    write!(report, "in contact again\n{}", format_actions(&harness.arrive(generate(4))))
        .expect("writing to a string succeeds");
    insta::assert_snapshot!(report);
}

/// Guards against requests that a process accepts right after it was frozen, before its configuration duty
/// has run again.
#[test]
fn requests_after_a_freeze_are_rejected_until_contact_resumes() {
    let mut harness = Harness::new();
    harness.handle(Event::ConfigurationCertainUntil(5_000_000));
    harness.now_us = 4_999_999;
    let mut report = format!("within the time\n{}", format_actions(&harness.arrive(generate(1))));
    harness.now_us = 60_000_000;
    write!(report, "woken up\n{}", format_actions(&harness.arrive(generate(2))))
        .expect("writing to a string succeeds");
    harness.handle(Event::ConfigurationCertainUntil(65_000_000));
    write!(report, "in contact again\n{}", format_actions(&harness.arrive(generate(3))))
        .expect("writing to a string succeeds");
    insta::assert_snapshot!(report);
}

#[test]
fn tokens_out_of_order_or_after_the_end_are_not_sent_to_the_caller() {
    let mut harness = Harness::new();
    harness.arrive(generate(1));
    harness.arrive(generate(2));
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
        write!(report, "{name}\n{}", format_actions(&harness.handle(event)))
            .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn credit_is_granted_in_batches_as_the_caller_reads_tokens() {
    let mut harness = Harness::new();
    harness.arrive(generate(1));
    let credits: Vec<u32> = (0..40)
        .flat_map(|_| harness.handle(Event::TokensRead { request: RequestId(1), tokens: 1 }))
        .map(|action| match action {
            Action::Credit { tokens, .. } => tokens,
            other => unreachable!("{other:?}"),
        })
        .collect();
    assert_eq!(credits, [16, 16]);
}

#[test]
fn disconnect_cancels_the_request_once() {
    let mut harness = Harness::new();
    harness.arrive(generate(1));
    let mut report = format_actions(&harness.handle(Event::Disconnected(RequestId(1))));
    report.push_str(&format_actions(&harness.handle(Event::Disconnected(RequestId(1)))));
    report.push_str(&format_actions(&harness.handle(token(1, 0))));
    report.push_str(&format_actions(&harness.handle(ended(1, 1))));
    insta::assert_snapshot!(report);
}

#[test]
fn drain_accepts_requests_during_the_notice_and_completes_them() {
    let mut harness = Harness::new();
    harness.arrive(generate(1));
    let mut report = String::new();
    let mut add = |name: &str, actions: &[Action]| {
        write!(report, "{name}\n{}", format_actions(actions)).expect("writing to a string succeeds");
    };
    add("drain", &harness.handle(Event::Drain));
    harness.now_us = 2_000_000;
    add("during the notice", &harness.arrive(generate(2)));
    add("the notice ends", &harness.timer(3_000_000));
    add("after the notice", &harness.arrive(generate(3)));
    add("the first ends", &harness.handle(ended(1, 0)));
    add("the second ends", &harness.handle(ended(2, 0)));
    insta::assert_snapshot!(report);
}

/// Guards against reporting a request as not run when an earlier attempt, sent through another entry, may
/// have run.
#[test]
fn refused_resend_is_not_run_only_if_the_reason_covers_earlier_attempts() {
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
            let mut harness = Harness::new();
            harness.arrive(call(Some("k"), Some(made_ms), false));
            let outcome = Outcome::NotRun(reason);
            let actions = harness.handle(Event::Reply(Reply::Ended { request: RequestId(1), outcome }));
            write!(report, "{name}, {reason}\n{}", format_actions(&actions))
                .expect("writing to a string succeeds");
        }
        let mut harness = Harness::new();
        harness.handle(Event::ConfigurationCertain(false));
        let actions = harness.arrive(call(Some("k"), Some(made_ms), false));
        write!(report, "{name}, uncertain\n{}", format_actions(&actions))
            .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(report);
}
