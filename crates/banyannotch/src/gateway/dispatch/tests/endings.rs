//! Tests of the sends that count as possible crashes although their connections did not break, and of those that must not,
//! because their endpoints may run on or were lost for another reason.

use std::sync::Arc;

use super::fixtures::{World, address, pipeline_engine, request};
use crate::gateway::dispatch::{BrokenBy, Ending, Event, ProbeResult, RefusalReason};
use crate::gateway::{Endpoint, EngineReport, RequestInfo};

/// An engine further down the path ends under a request, and the first one runs on: it closes the connection, answers with an
/// error or garbage, goes silent, or names the lost engine once it has waited for it. Only first engines counted.
#[test]
fn a_crash_further_down_the_path_counts() {
    let lost = address(12);
    let chain = |born_ms| {
        let engines = [("a", 11, 0, 4), ("a", 12, 4, 8)].map(|(zone, host, begin, end)| {
            let engine = pipeline_engine(host, zone, "fast", begin, end);
            Endpoint { born_ms: if engine.address == lost { born_ms } else { 1 }, ..engine }
        });
        Event::Endpoints(engines.to_vec().into())
    };
    let endings = [
        Ending::Broken { by: BrokenBy::Connection },
        Ending::Broken { by: BrokenBy::Garbled },
        Ending::Broken { by: BrokenBy::Silence },
        Ending::Failed { status: 502 },
        Ending::NotRun { status: 503, fault_at: Some(lost) },
    ];
    let mut counted = Vec::new();
    for ending in endings {
        let mut world = World::new();
        world.event(chain(1));
        for born_ms in 2..5 {
            let ticket = world.submit("/write/x");
            world.wait_ms(1_000);
            world.end(ticket, ending);
            let report = EngineReport { born_ms: 1, pace: 1.0, ..EngineReport::default() };
            world.event(Event::Report { address: address(11), report: Some(report) });
            world.end(ticket, Ending::Left);
            world.event(chain(born_ms));
            // Crashes less than 0.1 s apart could be one incident, and pauses of the engines end.
            world.wait_ms(2_000);
            world.confirm_configuration();
        }
        world.submit("/write/x");
        counted.push((ending, world.last_refusal.map(|refusal| refusal.reason)));
    }
    let is_refused = |(_, reason): &(Ending, _)| *reason == Some(RefusalReason::Quarantined);
    assert!(counted.iter().all(is_refused), "{counted:#?}");
}

/// One send is evidence of one crash: when all engines of its path are lost together, a sound request would else be refused
/// after a single send.
#[test]
fn engines_of_a_path_that_are_lost_together_count_once() {
    let mut world = World::new();
    world.event(Event::Endpoints(path_of_four(1).into()));
    let ticket = world.submit("/write/x");
    let hops = world.last_order.as_ref().map(|order| order.forwarding_info.path.len());
    assert_eq!(hops, Some(4), "{}", world.text());
    world.end(ticket, Ending::Broken { by: BrokenBy::Connection });
    world.event(Event::Report { address: address(13), report: None });
    world.event(Event::Endpoints(Arc::new([])));
    world.event(Event::Endpoints(path_of_four(2).into()));
    let crashes = world.publish_state().crash_findings.crashes;
    assert_eq!(crashes.iter().map(|crash| crash.address).collect::<Vec<_>>(), [address(13)]);
}

fn path_of_four(born_ms: u64) -> Vec<Endpoint> {
    let engines = (0..4).map(|number| {
        pipeline_engine(13 + number, "a", "slow", 2 * u16::from(number), 2 * u16::from(number) + 2)
    });
    engines.map(|engine| Endpoint { born_ms, ..engine }).collect()
}

/// What follows an error, garbage or silence shows a crash only if the endpoint has certainly ended: a stalled or cut-off
/// endpoint garbles, is silent, gives no report and takes no connection, too, and an error that blames the request is the
/// answer to a sound one. An endpoint that announced its departure did not crash.
#[test]
fn an_endpoint_that_may_run_on_is_no_crash_after_an_answer_or_silence() {
    let endings = [
        Ending::Broken { by: BrokenBy::Garbled },
        Ending::Broken { by: BrokenBy::Silence },
        Ending::Failed { status: 500 },
    ];
    let mut counted = Vec::new();
    for ending in endings {
        for sign in
            ["new start", "no report", "no connection", "entry removed", "entry returns", "leaving", "late"]
        {
            let mut world = World::with_small_model(2);
            for born_ms in 1..4 {
                let ticket = world.submit("/write/x");
                let address = world.last_order.take().expect("the request is sent").address;
                world.end(ticket, ending);
                world.end(ticket, Ending::Left);
                match sign {
                    "new start" => {}
                    "no report" => world.event(Event::Report { address, report: None }),
                    "no connection" => {
                        let ticket = world.submit_request(RequestInfo { digest: 8, ..request("/write/x") });
                        world.end(ticket, Ending::Unsent);
                        world.end(ticket, Ending::Left);
                    }
                    "entry removed" => world.event(Event::Endpoints(Arc::new([]))),
                    "entry returns" => {
                        world.event(Event::Endpoints(Arc::new([])));
                        world.event(small_engines(1, false));
                    }
                    "leaving" => {
                        world.event(small_engines(born_ms, true));
                        world.event(Event::Probed { address, result: ProbeResult::Refused });
                        world.event(Event::Endpoints(Arc::new([])));
                    }
                    _ => world.wait_ms(2_000),
                }
                if sign != "entry returns" {
                    world.wait_ms(if sign == "new start" || sign == "leaving" { 500 } else { 2_000 });
                    world.event(small_engines(born_ms + 1, false));
                }
                world.wait_ms(4_000);
                world.confirm_configuration();
            }
            let crashes = world.decisions.iter().filter(|line| line.contains("event=crash_counted")).count();
            counted.push(format!("{ending:?}, {sign}: {crashes} crashes"));
        }
    }
    let mut world = World::with_small_model(2);
    for born_ms in 2..6 {
        let ticket = world.submit("/write/x");
        world.end(ticket, Ending::Failed { status: 400 });
        world.end(ticket, Ending::Left);
        world.restart_engines(2, born_ms);
    }
    let crashes = world.decisions.iter().filter(|line| line.contains("event=crash_counted")).count();
    counted.push(format!("status 400, new start: {crashes} crashes"));
    insta::assert_snapshot!(counted.join("\n"));
}

fn small_engines(born_ms: u64, leaving: bool) -> Event {
    let engines = (0..2).map(|number| pipeline_engine(11 + number, "a", "fast", 0, 8));
    let engines: Vec<_> = engines.map(|engine| Endpoint { born_ms, leaving, ..engine }).collect();
    Event::Endpoints(engines.into())
}

/// The end of a run that is heard of before the end of the endpoint is: a retry that another endpoint answers clears the request.
/// Runs of requests are not retained while no crash is known, so that the crash was charged to it afterwards.
#[test]
fn an_answer_to_a_retry_clears_the_request() {
    for ending in [Ending::Broken { by: BrokenBy::Connection }, Ending::Failed { status: 500 }] {
        let mut world = World::with_small_model(2);
        let ticket = world.submit("/write/x");
        world.end(ticket, ending);
        world.wait_ms(20);
        let ticket =
            if ending == (Ending::Failed { status: 500 }) { world.submit("/write/x") } else { ticket };
        world.end(ticket, Ending::Completed { first_ms: 5 });
        world.event(small_engines(2, false));
        let is_counted = world.decisions.iter().any(|line| line.contains("event=crash_counted"));
        assert!(!is_counted, "{ending:?}: {:?}", world.decisions);
    }
}
