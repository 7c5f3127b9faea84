//! Guards against requests that are refused because engines were lost for other reasons while they ran, and against those that
//! crash engines in other ways than by a broken connection, over all gateways of a fleet.

use super::crash_tests::{
    CONTACT_ROUNDS, DISCOVERY_ROUNDS, ENGINE_COUNT, EXCESS_LIMIT, Engine, FIRST_ENGINE, Play, SOUND,
};
use crate::gateway::RequestInfo;
use crate::gateway::dispatch::fixtures::{address, request};
use crate::gateway::dispatch::{BrokenBy, Ending, RefusalReason};
use crate::random::Random;

/// A fault of the engines in [`a_sound_request_is_never_refused_for_the_faults_of_engines`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EngineFault {
    /// Half of the engines end at the same moment, every 3 s.
    Losses,
    /// Four engines end again and again, each as soon as it is back.
    Restarts,
    /// A third of the engines answers with errors and garbage or not at all, for 4 s, and a few of them end after that.
    Garbled,
}

/// Sound requests come again while engines are lost for other reasons, one often and others each few seconds. Sends under way at a
/// lost engine end in each way that counts as a possible crash. None may be refused, at any number of gateways.
#[test]
fn a_sound_request_is_never_refused_for_the_faults_of_engines() {
    const ROUNDS: u64 = 60;
    const SENDS_PER_ROUND: usize = 12;
    /// Number of requests that come seldom.
    const RARE: usize = 60;
    let endings = [
        Ending::Broken { by: BrokenBy::Connection },
        Ending::Broken { by: BrokenBy::Garbled },
        Ending::Broken { by: BrokenBy::Silence },
        Ending::Failed { status: 500 },
    ];
    let mut text = String::new();
    let mut total = 0;
    for (gateways, seeds) in [(6, 6), (83, 2), (295, 1)] {
        for fault in [EngineFault::Losses, EngineFault::Restarts, EngineFault::Garbled] {
            let (mut refused, mut sent, mut lost) = ([0; 2], 0, 0);
            for seed in 0..seeds {
                let mut play = Play::new(gateways);
                play.random = Random::seeded(3 + seed);
                for round in 0..ROUNDS {
                    let now_us = play.now_us();
                    let mut under_way = Vec::new();
                    for number in 0..SENDS_PER_ROUND {
                        let index = play.random.below(gateways);
                        play.read_entries(index);
                        let rare = SOUND + 1 + play.random.below(RARE) as u64;
                        let digest = if number % 2 == 0 { SOUND } else { rare };
                        let world = &mut play.fleet.worlds[index];
                        world.last_order = None;
                        world.last_refusal = None;
                        let ticket = world.submit_request(RequestInfo { digest, ..request("/write/x") });
                        let is_refused = world
                            .last_refusal
                            .is_some_and(|refusal| refusal.reason == RefusalReason::Quarantined);
                        refused[number % 2] += usize::from(is_refused);
                        under_way.extend(world.last_order.take().map(|order| (index, ticket, order.address)));
                    }
                    let is_garbled = |number: usize| {
                        fault == EngineFault::Garbled && round % 24 < 16 && number.is_multiple_of(3)
                    };
                    for number in 0..usize::from(ENGINE_COUNT) {
                        let ends = match fault {
                            EngineFault::Losses => round % 12 == 6 && play.random.unit() < 0.5,
                            EngineFault::Restarts => number < 4,
                            EngineFault::Garbled => round % 24 == 16 && number.is_multiple_of(6),
                        };
                        if ends && !play.engines[number].is_down(now_us) {
                            let born_ms = play.engines[number].born_ms + 1;
                            play.engines[number] = Engine { crashed_us: Some(now_us), born_ms };
                        }
                    }
                    for (index, ticket, mut engine) in under_way {
                        play.fleet.worlds[index].now_us = now_us;
                        let mut is_first = true;
                        // A caller gives up after some sends.
                        for _ in 0..3 {
                            sent += 1;
                            let number = (FIRST_ENGINE..)
                                .position(|number| address(number) == engine)
                                .unwrap_or_default();
                            let has_ended = play.engines[number].crashed_us == Some(now_us) && is_first;
                            let drawn = endings[play.random.below(endings.len())];
                            let ending = if has_ended {
                                lost += 1;
                                drawn
                            } else if play.engines[number].is_down(now_us) {
                                Ending::Unsent
                            } else if is_garbled(number) {
                                drawn
                            } else {
                                Ending::Completed { first_ms: 5 }
                            };
                            is_first = false;
                            play.fleet.worlds[index].end(ticket, ending);
                            play.answer_inspections(index);
                            match play.fleet.worlds[index].last_order.take() {
                                Some(order) => engine = order.address,
                                None => break,
                            }
                        }
                        play.fleet.worlds[index].end(ticket, Ending::Left);
                    }
                    play.rounds(1);
                }
            }
            total += refused[0] + refused[1];
            text.push_str(&format!(
                "{gateways} gateways, {seeds} seeds, {fault:?}: {sent} sends, {lost} lost with their engines, {} frequent and {} rare requests refused\n",
                refused[0], refused[1]
            ));
        }
    }
    assert_eq!(total, 0, "{text}");
    insta::assert_snapshot!(text);
}

/// A request that crashes engines after they have answered it with an error or garbage, or have gone silent, is refused in time
/// by all gateways like one that breaks its connections.
#[test]
fn a_request_that_crashes_engines_after_an_answer_is_refused_in_time() {
    let mut text = String::new();
    let mut most = 0;
    for gateways in [6, 83, 295] {
        for ending in [
            Ending::Broken { by: BrokenBy::Garbled },
            Ending::Broken { by: BrokenBy::Silence },
            Ending::Failed { status: 500 },
        ] {
            let mut play = Play::new(gateways);
            play.crash_ending = ending;
            while play.round < DISCOVERY_ROUNDS + 3 * CONTACT_ROUNDS {
                let index = play.random.below(gateways);
                play.attempt(index, usize::MAX);
                play.rounds(1);
            }
            most = most.max(play.excess);
            let (crashes, excess) = (play.crashes_us.len(), play.excess);
            text.push_str(&format!(
                "{gateways} gateways, {ending:?}: {crashes} crashes, {excess} too late\n"
            ));
        }
    }
    assert!(most <= EXCESS_LIMIT, "{text}");
    insta::assert_snapshot!(text);
}
