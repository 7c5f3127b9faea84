//! Tests of requests that wait for capacity. Before, a request that found none was refused at once, although its caller could
//! wait and a place became free within milliseconds: on one day 1,872 requests were refused for that reason.

use std::sync::Arc;

use super::admission::{PATHS, classed_configuration, classed_world, fill, sized_request};
use super::fixtures::World;
use crate::clock::US_PER_MS;
use crate::duty::Duty;
use crate::gateway::dispatch::{Ending, Event, Proof};
use crate::gateway::{Configuration, RequestInfo};
use crate::ids::ServiceId;
use crate::random::Random;

/// Key of the second team.
const OTHER_KEY: &str = "spare";

/// Numbers of the requests that run in [`full_world`].
const RUNNING: [u64; 9] = [1, 2, 3, 4, 5, 6, 8, 10, 11];

/// Returns a gateway whose engine is full for all classes.
fn full_world() -> World {
    let mut world = classed_world(1);
    for path in [PATHS[2], PATHS[1], PATHS[0]] {
        fill(&mut world, path);
    }
    // Each of the requests that filled the engine last waits.
    for ticket in world.dispatch.admission.waiting_tickets() {
        world.end(ticket, Ending::Left);
    }
    world.lines.clear();
    world
}

fn request_of(path: &str, key: &str) -> RequestInfo {
    RequestInfo { key: Some(key.into()), ..sized_request(path) }
}

fn waiting(world: &World) -> usize {
    world.dispatch.admission.waiting_count(&ServiceId::from("model"))
}

/// Ends a request that runs, which leaves room for one more.
fn end_one(world: &mut World, ticket: u64) {
    world.wait_ms(20);
    world.end(ticket, Ending::Completed { first_ms: 5 });
}

#[test]
fn a_request_without_capacity_is_sent_when_another_one_ends() {
    let mut world = full_world();
    let ticket = world.submit_request(sized_request(PATHS[0]));
    assert_eq!((world.text().as_str(), waiting(&world)), ("", 1));
    end_one(&mut world, 1);
    assert!(world.text().starts_with(&format!("{ticket}: send")), "{}", world.text());
    assert_eq!(waiting(&world), 0);
}

/// A refusal must come while the caller can still act on it, and not before the request had its chance.
#[test]
fn a_request_leaves_the_queue_when_its_objective_has_passed() {
    let mut world = full_world();
    let arrived_us = world.now_us;
    let ticket = world.submit_request(sized_request(PATHS[1]));
    while waiting(&world) > 0 {
        world.now_us = world.dispatch.next_timer_us().expect("a timer");
        world.run_timers();
    }
    assert_eq!(world.text(), format!("{ticket}: 503 no endpoint can take the request"));
    assert_eq!(world.now_us - arrived_us, 500 * US_PER_MS);
    end_one(&mut world, 1);
    assert_eq!(world.lines.len(), 1, "the refused request was sent: {}", world.text());
}

/// The most urgent class earned less than the least urgent one, because requests were served as they came.
#[test]
fn waiting_requests_are_sent_by_rank_then_by_team_in_turn() {
    let mut world = full_world();
    let mut names = Vec::new();
    for (name, path, key) in [
        ("patient", PATHS[2], "secret"),
        ("usual 1", PATHS[1], "secret"),
        ("usual 2", PATHS[1], "secret"),
        ("usual 3", PATHS[1], "secret"),
        ("usual other team", PATHS[1], OTHER_KEY),
        ("urgent", PATHS[0], "secret"),
    ] {
        world.wait_ms(1);
        names.push((world.submit_request(request_of(path, key)), name));
    }
    let mut order = Vec::new();
    for running in RUNNING {
        let before = world.lines.len();
        world.wait_ms(1);
        world.end(running, Ending::Completed { first_ms: 5 });
        for line in &world.lines[before..] {
            let name = names.iter().find(|(ticket, _)| line.starts_with(&format!("{ticket}: send")));
            order.push(name.expect("only waiting requests are sent").1);
        }
    }
    assert_eq!(order, ["urgent", "usual 1", "usual other team", "usual 2", "usual 3", "patient"]);
}

/// A caller that comes later, or again, must not be served before those that wait.
#[test]
fn a_new_request_is_not_sent_before_one_that_waits() {
    let mut world = full_world();
    let large = RequestInfo { answer_tokens: 1_600, ..sized_request(PATHS[0]) };
    let first = world.submit_request(large);
    end_one(&mut world, 1);
    let second = world.submit_request(sized_request(PATHS[0]));
    assert_eq!(world.text(), "", "the second request took the memory that the first one waits for");
    for running in 2..=5 {
        end_one(&mut world, running);
    }
    let sent: Vec<_> = world.lines.iter().filter_map(|line| line.split_once(": send")).collect();
    assert_eq!(sent.first().map(|(ticket, _)| *ticket), Some(&*first.to_string()), "{}", world.text());
    assert_eq!(sent.len(), 2, "{second} was not sent: {}", world.text());
}

/// A queue without a bound would hold all bodies of an overload in the memory of a small machine.
#[test]
fn a_full_queue_keeps_the_requests_that_come_first() {
    let mut world = full_world();
    world.configure(|settings| settings.admission.waiting_limit = 2);
    let patient = world.submit_request(sized_request(PATHS[2]));
    let usual = world.submit_request(sized_request(PATHS[1]));
    let refused = world.submit_request(sized_request(PATHS[2]));
    let urgent = world.submit_request(sized_request(PATHS[0]));
    let expected = [refused, patient].map(|ticket| format!("{ticket}: 503 no endpoint can take the request"));
    assert_eq!((world.lines.clone(), waiting(&world)), (expected.to_vec(), 2));
    assert_eq!(world.dispatch.admission.waiting_tickets(), [urgent, usual]);
}

/// Waiting without a prospect makes a refusal late: the caller could have tried elsewhere in that time.
#[test]
fn a_request_whose_turn_comes_too_late_is_refused_at_once() {
    let mut world = full_world();
    // One send ends every 100 ms, and its place is taken.
    for running in RUNNING {
        world.wait_ms(100);
        world.confirm_configuration();
        world.end(running, Ending::Completed { first_ms: 5 });
        world.submit_request(sized_request(PATHS[0]));
    }
    world.lines.clear();
    for _ in 0..9 {
        world.submit_request(sized_request(PATHS[0]));
    }
    let refused = world.lines.iter().filter(|line| line.contains(": 503")).count();
    assert_eq!((world.lines.len(), refused, waiting(&world)), (3, 3, 6), "{}", world.text());
}

#[test]
fn callers_that_leave_and_a_stop_empty_the_queue() {
    let mut world = full_world();
    let tickets: Vec<_> = (0..4).map(|_| world.submit_request(sized_request(PATHS[1]))).collect();
    world.end(tickets[0], Ending::Left);
    world.end(tickets[1], Ending::Expired);
    assert_eq!((world.text().as_str(), waiting(&world)), ("", 2));
    world.event(Event::Draining);
    let refusal = |ticket: &u64| format!("{ticket}: 503 no endpoint can take the request");
    let expected: Vec<_> = tickets[2..].iter().map(refusal).collect();
    assert_eq!((&world.lines[..2], waiting(&world)), (&*expected, 0));
    let late = world.submit_request(sized_request(PATHS[1]));
    assert_eq!(world.lines.last(), Some(&refusal(&late)), "a stopping process lets requests wait");
}

/// A request that waits under a key that is revoked meanwhile must not run.
#[test]
fn a_configuration_without_the_key_or_the_service_empties_places() {
    let answers = |change: fn(&mut Configuration)| {
        let mut world = full_world();
        let ticket = world.submit_request(request_of(PATHS[1], OTHER_KEY));
        let services = world.dispatch.configuration.as_ref().map(|known| known.services.clone());
        let mut next =
            Configuration { services: services.expect("a configuration"), ..classed_configuration(8) };
        change(&mut next);
        world.event(Event::Configuration(Arc::new(next)));
        world.event(Event::ConfigurationProof(Proof { version: 8, at_us: world.now_us }));
        (world.text().replace(&format!("{ticket}: "), ""), waiting(&world))
    };
    let unknown_key = "401 the key is missing or unknown".to_owned();
    let no_capacity = "503 no endpoint can take the request".to_owned();
    assert_eq!(answers(|_| {}), (String::new(), 1));
    assert_eq!(answers(|next| next.credentials.truncate(1)), (unknown_key, 0));
    assert_eq!(answers(|next| next.services.truncate(1)), (no_capacity, 0));
}

/// Requests of services without classes are refused at once, as before.
#[test]
fn requests_of_other_services_do_not_wait() {
    let mut world = World::with_small_model(1);
    let sent = fill(&mut world, "/write/x");
    assert_eq!((sent, waiting(&world)), (9, 0));
    assert!(world.text().ends_with("503 no endpoint can take the request"), "{}", world.text());
}

/// A search among a hundred engines is the most expensive step, so a single event must not cause one for each waiting
/// request.
#[test]
fn few_searches_are_made_at_one_event() {
    let mut world = full_world();
    for _ in 0..8 {
        world.submit_request(sized_request(PATHS[0]));
    }
    let engines = (0..3).map(|number| super::fixtures::pipeline_engine(11 + number, "a", "fast", 0, 8));
    world.event(Event::Endpoints(engines.collect()));
    let at_once = world.lines.len();
    world.wait_ms(20);
    world.run_timers();
    assert_eq!((at_once, world.lines.len()), (4, 8));
}

/// Without these an operator cannot tell which class is refused, and whether engines are full or the queue is.
#[test]
fn the_log_and_the_metrics_show_the_class() {
    let mut world = full_world();
    world.configure(|settings| settings.admission.waiting_limit = 1);
    world.decisions.clear();
    world.submit_request(sized_request(PATHS[1]));
    world.submit_request(sized_request(PATHS[2]));
    world.publish_state();
    let states: Vec<_> = world.admission_states.iter().map(|state| format!("{state:?}")).collect();
    insta::assert_snapshot!([world.decisions, states].concat().join("\n"));
}

/// What a caller has been told, and whether its request runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting,
    Running,
    Answered,
}

struct Played {
    ticket: u64,
    class: usize,
    key: &'static str,
    stage: Stage,
    sends: usize,
    has_waited: bool,
}

/// Each request gets exactly one final answer, one that waited and was refused was never sent, the queue stays within its
/// bound, and requests of a team and class are sent in the order of their arrival.
#[test]
fn random_events_give_each_request_one_answer_and_keep_the_order() {
    let (mut sent, mut refused) = (0, 0);
    for seed in 0..200 {
        let played = play_randomly(seed);
        let waited = played.iter().filter(|request| request.has_waited);
        let (waited_and_sent, others): (Vec<_>, Vec<_>) = waited.partition(|request| request.sends > 0);
        sent += waited_and_sent.len();
        refused += others.len();
    }
    assert!(sent > 2_000 && refused > 2_000, "{sent} requests were sent after a wait, {refused} were not");
}

fn play_randomly(seed: u64) -> Vec<Played> {
    let mut random = Random::seeded(seed);
    let mut world = classed_world(2);
    let waiting_limit = 1 + random.below(12);
    world.configure(|settings| {
        settings.admission.waiting_limit = waiting_limit;
        // Without the guard against starvation, no class precedes a more urgent one.
        settings.admission.starvation_window_ms = 1;
    });
    let mut played: Vec<Played> = Vec::new();
    let mut version = 7;
    for step in 0..300 {
        let at = format!("seed {seed} step {step}");
        world.wait_ms(random.below(40) as u64);
        world.confirm_configuration();
        let before = world.lines.len();
        world.run_timers();
        let mut submitted = None;
        match random.below(12) {
            0..6 => {
                let class = random.below(3);
                let key = ["secret", OTHER_KEY][random.below(2)];
                let answer_tokens = 100 + 300 * random.below(4) as u32;
                let request = RequestInfo { answer_tokens, ..request_of(PATHS[class], key) };
                let ticket = world.submit_request(RequestInfo { digest: step, ..request });
                played.push(Played {
                    ticket,
                    class,
                    key,
                    stage: Stage::Waiting,
                    sends: 0,
                    has_waited: false,
                });
                submitted = Some(ticket);
            }
            6..10 => {
                let running: Vec<_> =
                    played.iter().filter(|request| request.stage == Stage::Running).collect();
                if !running.is_empty() {
                    let ticket = running[random.below(running.len())].ticket;
                    let ending = match random.below(6) {
                        0 => Ending::NotRun { status: 503, fault_at: None },
                        1 => Ending::Left,
                        2 => Ending::Unsent,
                        _ => Ending::Completed { first_ms: 1 },
                    };
                    let request = played.iter_mut().find(|request| request.ticket == ticket);
                    request.expect("a known request").stage = match ending {
                        Ending::Completed { .. } | Ending::Left => Stage::Answered,
                        _ => Stage::Waiting,
                    };
                    world.end(ticket, ending);
                }
            }
            10 => {
                let waiting = world.dispatch.admission.waiting_tickets();
                if !waiting.is_empty() {
                    let ticket = waiting[random.below(waiting.len())];
                    let request = played.iter_mut().find(|request| request.ticket == ticket);
                    request.expect("a known request").stage = Stage::Answered;
                    world.end(ticket, [Ending::Left, Ending::Expired][random.below(2)]);
                }
            }
            _ => {
                let services = world.dispatch.configuration.as_ref().map(|known| known.services.clone());
                version += 1;
                let next = Configuration {
                    services: services.expect("a configuration"),
                    ..classed_configuration(version)
                };
                world.event(Event::Configuration(Arc::new(next)));
            }
        }
        let lines = world.lines[before..].to_vec();
        let waiting = world.dispatch.admission.waiting_tickets();
        for request in played.iter_mut().filter(|request| waiting.contains(&request.ticket)) {
            request.has_waited = true;
        }
        assert!(waiting.len() <= waiting_limit, "{at}: {} wait", waiting.len());
        check_lines(&at, &lines, &mut played);
        check_order(&at, &lines, &played, &waiting, submitted);
    }
    let before = world.lines.len();
    world.event(Event::Draining);
    check_lines("the end", &world.lines[before..], &mut played);
    let without_answer = played.iter().filter(|request| request.stage == Stage::Waiting).count();
    assert_eq!(without_answer, 0, "seed {seed}: requests without an answer");
    played
}

fn check_lines(at: &str, lines: &[String], played: &mut [Played]) {
    for line in lines {
        let Some((ticket, verdict)) = line.split_once(": ") else { continue };
        let request = played.iter_mut().find(|request| request.ticket.to_string() == ticket);
        let request = request.unwrap_or_else(|| panic!("{at}: {line} for an unknown request"));
        assert_eq!(request.stage, Stage::Waiting, "{at}: {line}");
        if verdict.starts_with("send") {
            request.sends += 1;
            request.stage = Stage::Running;
        } else {
            request.stage = Stage::Answered;
        }
    }
}

/// Checks that no request was sent while one that precedes it waits.
fn check_order(at: &str, lines: &[String], played: &[Played], waiting: &[u64], submitted: Option<u64>) {
    for line in lines {
        let Some((ticket, _)) = line.split_once(": send") else { continue };
        let sent = played.iter().find(|request| request.ticket.to_string() == ticket);
        let sent = sent.filter(|sent| sent.sends == 1).filter(|sent| !waiting.contains(&sent.ticket));
        let Some(sent) = sent else { continue };
        for other in played.iter().filter(|other| waiting.contains(&other.ticket)) {
            let is_before = (other.class, other.key) == (sent.class, sent.key) && other.ticket < sent.ticket;
            let is_overtaken = submitted == Some(sent.ticket) && other.class < sent.class;
            assert!(!is_before && !is_overtaken, "{at}: {line} while {} waits", other.ticket);
        }
    }
}
