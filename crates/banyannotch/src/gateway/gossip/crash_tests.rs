//! Guards against requests that crash engines and are sent to more of them, and against sound ones that are refused,
//! over all gateways of a fleet.

use super::fleet::{Fleet, ROUND_US, round_us};
use crate::gateway::dispatch::fixtures::{World, address, pipeline_engine, request};
use crate::gateway::dispatch::{BrokenBy, Ending, Event, ProbeResult};
use crate::gateway::{Endpoint, EngineReport, RequestInfo};
use crate::pipeline::Address;
use crate::random::Random;

/// Number of crashes after which the users count further sends of the same request.
const CRASH_LIMIT: usize = 3;
/// Number of further sends that they allow.
pub(super) const EXCESS_LIMIT: usize = 3;
/// Time after the third crash from which further sends count, in rounds: the shortest `contact_ms`, 3 s.
pub(super) const CONTACT_ROUNDS: u64 = 12;
/// Rounds in which the gateways of a new fleet find each other.
pub(super) const DISCOVERY_ROUNDS: u64 = 24;
/// Time for which a crashed engine is down, in microseconds.
const DOWN_US: u64 = 3_000_000;
/// Time after a crash at which the entry of the engine has expired, in microseconds.
const EXPIRED_US: u64 = 1_000_000;
/// Number of engines, each with a whole model.
pub(super) const ENGINE_COUNT: u8 = 24;
/// Number of the first engine of [`World::with_small_model`].
pub(super) const FIRST_ENGINE: u8 = 11;
/// Digest of the request that crashes engines.
const DEADLY: u64 = 900_000;

/// Digest of a sound request.
pub(super) const SOUND: u64 = 800_000;

fn deadly_request() -> RequestInfo {
    RequestInfo { digest: DEADLY, ..request("/write/x") }
}

#[derive(Clone)]
pub(super) struct Engine {
    pub crashed_us: Option<u64>,
    pub born_ms: u64,
}

impl Engine {
    pub fn is_down(&self, now_us: u64) -> bool {
        self.crashed_us.is_some_and(|crashed_us| now_us < crashed_us + DOWN_US)
    }

    /// Returns the start that the engine's entry names, if it has an entry.
    fn entry_born_ms(&self, now_us: u64) -> Option<u64> {
        match self.crashed_us {
            Some(crashed_us) if now_us < crashed_us + EXPIRED_US => Some(self.born_ms - 1),
            Some(_) if self.is_down(now_us) => None,
            _ => Some(self.born_ms),
        }
    }
}

/// A fleet before engines that crash when they begin to run a deadly request.
pub(super) struct Play {
    pub fleet: Fleet,
    pub engines: Vec<Engine>,
    /// Starts in the entries that each gateway has read last.
    entries: Vec<Vec<Option<u64>>>,
    pub round: u64,
    /// Gateways that neither send nor reply.
    away: Vec<usize>,
    /// Times at which engines crashed.
    pub crashes_us: Vec<u64>,
    /// Sends of the deadly request that the users count.
    pub excess: usize,
    /// How a send of the deadly request ends.
    pub crash_ending: Ending,
    pub random: Random,
}

impl Play {
    pub fn new(gateways: usize) -> Self {
        let mut play = Self {
            fleet: Fleet::with_dispatch(gateways, ENGINE_COUNT),
            engines: vec![Engine { crashed_us: None, born_ms: 1 }; usize::from(ENGINE_COUNT)],
            entries: vec![vec![Some(1); usize::from(ENGINE_COUNT)]; gateways],
            round: 0,
            away: Vec::new(),
            crashes_us: Vec::new(),
            excess: 0,
            crash_ending: Ending::Broken { by: BrokenBy::Connection },
            random: Random::seeded(3),
        };
        play.rounds(DISCOVERY_ROUNDS);
        play
    }

    pub fn rounds(&mut self, count: u64) {
        for _ in 0..count {
            for index in self.present() {
                self.read_entries(index);
            }
            self.fleet.round(self.round, &self.away);
            self.round += 1;
        }
    }

    /// Returns the time between the last round and the next one.
    pub fn now_us(&self) -> u64 {
        round_us(self.round, 0)
    }

    fn present(&self) -> Vec<usize> {
        (0..self.fleet.gateways.len()).filter(|index| !self.away.contains(index)).collect()
    }

    /// Brings a gateway's clock, configuration and entries up to date.
    pub fn read_entries(&mut self, index: usize) {
        let now_us = self.now_us();
        let entries: Vec<_> = self.engines.iter().map(|engine| engine.entry_born_ms(now_us)).collect();
        let world = &mut self.fleet.worlds[index];
        world.now_us = now_us;
        world.confirm_configuration();
        world.lines.clear();
        if entries != self.entries[index] {
            let endpoint = |(number, born_ms): (u8, &Option<u64>)| {
                let engine = pipeline_engine(FIRST_ENGINE + number, "a", "fast", 0, 8);
                born_ms.map(|born_ms| Endpoint { born_ms, ..engine })
            };
            let endpoints: Vec<_> = (0..).zip(&entries).filter_map(endpoint).collect();
            world.event(Event::Endpoints(endpoints.into()));
            self.entries[index] = entries;
        }
        self.answer_inspections(index);
    }

    /// Answers the inspections and probes of a gateway.
    pub fn answer_inspections(&mut self, index: usize) {
        let world = &mut self.fleet.worlds[index];
        for probed in std::mem::take(&mut world.probed) {
            let engine = (FIRST_ENGINE..).zip(&self.engines).find(|(number, _)| address(*number) == probed);
            let is_refused = engine.is_some_and(|(_, engine)| engine.is_down(world.now_us));
            let result = if is_refused { ProbeResult::Refused } else { ProbeResult::Reached };
            world.event(Event::Probed { address: probed, result });
        }
        for inspected in std::mem::take(&mut world.inspected) {
            let engine =
                (FIRST_ENGINE..).zip(&self.engines).find(|(number, _)| address(*number) == inspected);
            let report = engine.filter(|(_, engine)| !engine.is_down(world.now_us)).map(|(_, engine)| {
                EngineReport { born_ms: engine.born_ms, pace: 1.0, ..EngineReport::default() }
            });
            world.event(Event::Report { address: inspected, report });
        }
    }

    /// Sends the deadly request to a gateway. Its caller leaves after the given number of crashes.
    pub fn attempt(&mut self, index: usize, crash_limit: usize) {
        self.read_entries(index);
        let now_us = self.now_us();
        let counts_from_us =
            self.crashes_us.get(CRASH_LIMIT - 1).map(|third_us| third_us + CONTACT_ROUNDS * ROUND_US);
        let world = &mut self.fleet.worlds[index];
        world.last_order = None;
        let ticket = world.submit_request(deadly_request());
        let mut crashes = 0;
        while let Some(order) = self.fleet.worlds[index].last_order.take() {
            let number = (FIRST_ENGINE..).position(|number| address(number) == order.address);
            let engine = &mut self.engines[number.expect("the address is that of an engine")];
            let ending = if engine.is_down(now_us) {
                Ending::Unsent
            } else {
                *engine = Engine { crashed_us: Some(now_us), born_ms: engine.born_ms + 1 };
                self.excess += usize::from(counts_from_us.is_some_and(|from_us| now_us > from_us));
                self.crashes_us.push(now_us);
                crashes += 1;
                self.crash_ending
            };
            self.fleet.worlds[index].end(ticket, ending);
            self.answer_inspections(index);
            if crashes == crash_limit {
                self.fleet.worlds[index].end(ticket, Ending::Left);
                return;
            }
        }
    }

    /// Returns the number of present gateways that would send the deadly request.
    fn unaware(&mut self) -> usize {
        let mut count = 0;
        for index in self.present() {
            let world = &mut self.fleet.worlds[index];
            world.confirm_configuration();
            count += usize::from(!refuses(world, deadly_request()));
        }
        count
    }
}

/// Returns whether a gateway refuses a request. A request that it would send is withdrawn before that.
fn refuses(world: &mut World, request: RequestInfo) -> bool {
    world.last_order = None;
    let ticket = world.submit_request(request);
    let is_refused = world.last_order.take().is_none();
    if !is_refused {
        world.end(ticket, Ending::Left);
    }
    is_refused
}

/// Most of 83 gateways sent a request on that had crashed three engines, because each counted only the crashes that it had
/// observed or that their observer had told it.
#[test]
fn a_request_that_crashes_engines_is_refused_by_all_gateways_in_time() {
    let mut text = String::new();
    let mut most = 0;
    for gateways in [6, 83, 295] {
        let mut play = Play::new(gateways);
        while play.round < DISCOVERY_ROUNDS + 3 * CONTACT_ROUNDS {
            let index = play.random.below(gateways);
            play.attempt(index, usize::MAX);
            play.rounds(1);
        }
        most = most.max(play.excess);
        let (crashes, excess) = (play.crashes_us.len(), play.excess);
        text.push_str(&format!("{gateways} gateways: {crashes} crashes, {excess} too late\n"));
    }
    assert!(most <= EXCESS_LIMIT, "{text}");
    insta::assert_snapshot!(text);
}

/// Three gateways have observed one crash each. The others learn of all three in time, also if the observers are lost.
#[test]
fn crashes_under_a_request_are_passed_on_although_their_observers_are_lost() {
    let mut text = String::new();
    let mut total = 0;
    for gateways in [6, 83, 295] {
        for lost_after in [CONTACT_ROUNDS, 4] {
            let mut play = Play::new(gateways);
            let observers = [gateways - 1, gateways / 2, 0];
            observers.iter().for_each(|observer| play.attempt(*observer, 1));
            let mut unaware = [0; 3];
            for unaware in &mut unaware {
                play.rounds(CONTACT_ROUNDS / 3);
                if play.round >= DISCOVERY_ROUNDS + lost_after {
                    play.away = observers.to_vec();
                }
                *unaware = play.unaware();
            }
            total += unaware[2];
            text.push_str(&format!(
                "{gateways} gateways, observers lost after {lost_after} rounds: {unaware:?} do not know in 1, 2 and 3 s\n"
            ));
        }
    }
    assert_eq!(total, 0, "{text}");
    insta::assert_snapshot!(text);
}

/// A gateway that was cut off during the crashes, and one that starts after them, know them after their first round, although
/// the observers are lost.
#[test]
fn gateways_that_start_or_return_know_the_crashes_after_one_round() {
    let mut unaware = Vec::new();
    for gateways in [6, 83, 295] {
        let mut play = Play::new(gateways);
        play.away = vec![1];
        let observers = [gateways - 1, gateways / 2, 0];
        observers.iter().for_each(|observer| play.attempt(*observer, 1));
        play.rounds(CONTACT_ROUNDS);
        play.away = observers.to_vec();
        play.fleet.restart(2, ENGINE_COUNT);
        play.rounds(1);
        unaware.push((gateways, play.unaware()));
    }
    assert_eq!(unaware, [(6, 0), (83, 0), (295, 0)]);
}

/// All engines are lost at the same moment, some of them under copies of a request that many callers send. Every gateway then
/// counted a crash for each copy, and refused the sound request for a minute.
#[test]
fn a_sound_request_is_served_after_its_engines_were_lost_with_others() {
    const GATEWAYS: usize = 6;
    const COPIES: usize = 4;
    let mut play = Play::new(GATEWAYS);
    let mut lost = Vec::new();
    for index in 0..GATEWAYS {
        play.read_entries(index);
        let world = &mut play.fleet.worlds[index];
        for number in 0..COPIES * 2 {
            let digest = if number < COPIES { SOUND } else { (index * COPIES + number) as u64 };
            let ticket = world.submit_request(RequestInfo { digest, ..request("/write/x") });
            lost.push((index, ticket, world.last_order.take().expect("the request is sent").address));
        }
    }
    let now_us = play.now_us();
    for (number, engine) in (FIRST_ENGINE..).zip(&mut play.engines) {
        if lost.iter().any(|(.., engine)| *engine == address(number)) {
            *engine = Engine { crashed_us: Some(now_us), born_ms: engine.born_ms + 1 };
        }
    }
    for (index, ticket, _) in lost {
        play.fleet.worlds[index].now_us = now_us;
        play.fleet.worlds[index].end(ticket, Ending::Broken { by: BrokenBy::Connection });
        play.fleet.worlds[index].end(ticket, Ending::Left);
        play.answer_inspections(index);
    }
    play.rounds(CONTACT_ROUNDS + 4);
    let mut refused = 0;
    for _ in 0..240 {
        let index = play.random.below(GATEWAYS);
        play.read_entries(index);
        let is_refused =
            refuses(&mut play.fleet.worlds[index], RequestInfo { digest: SOUND, ..request("/write/x") });
        refused += usize::from(is_refused);
        if is_refused {
            eprintln!("R {index} {} {:?}", play.round, play.fleet.worlds[index].lines.last());
        }
        play.rounds(1);
    }
    assert_eq!(refused, 0, "of 240 requests in a minute");
}

/// Gateways tell each other of a quarantine for as long as it lasts. Each took the report of another one for a later crash, by
/// the time that the report had been on its way, so that no quarantine ended while gateways exchanged states.
#[test]
fn a_quarantine_ends_although_gateways_repeat_it() {
    const GATEWAYS: usize = 6;
    const QUARANTINE_ROUNDS: u64 = 190 * 4;
    let mut play = Play::new(GATEWAYS);
    for observer in 0..CRASH_LIMIT {
        play.attempt(observer, 1);
    }
    play.rounds(CONTACT_ROUNDS);
    let first = play.unaware();
    play.rounds(QUARANTINE_ROUNDS);
    // The first request may be the trial of a quarantine that goes on.
    let last = [play.unaware(), play.unaware()];
    assert_eq!((first, last), (0, [GATEWAYS; 2]), "gateways that send the request");
}

/// A request that crashes engines comes again for ten minutes. It was let through once more each minute, so that the limit of the
/// users was passed on the fourth.
#[test]
fn a_request_that_keeps_coming_crashes_few_engines() {
    const ROUNDS: u64 = 600 * 4;
    let mut text = String::new();
    let mut most = 0;
    for gateways in [6, 20] {
        let mut play = Play::new(gateways);
        while play.round < DISCOVERY_ROUNDS + ROUNDS {
            let index = play.random.below(gateways);
            play.attempt(index, usize::MAX);
            play.rounds(1);
        }
        most = most.max(play.excess);
        text.push_str(&format!(
            "{gateways} gateways: {} crashes, {} too late\n",
            play.crashes_us.len(),
            play.excess
        ));
    }
    assert!(most <= EXCESS_LIMIT, "{text}");
    insta::assert_snapshot!(text);
}

/// Half of the engines are lost under hundreds of requests, between the first and the second crash under one request. The
/// states must stay small, and the crashes under that request must not be lost among the others.
#[test]
fn a_deadly_request_is_found_beside_a_loss_under_hundreds_of_requests() {
    const IN_FLIGHT: u64 = 6;
    let mut text = String::new();
    let mut total = 0;
    for gateways in [6, 83, 295] {
        let mut play = Play::new(gateways);
        let quiet_bytes = play.fleet.sent_bytes.iter().max().copied().unwrap_or_default();
        play.attempt(gateways - 1, 1);
        let mut sent = Vec::new();
        for index in 0..gateways {
            play.read_entries(index);
            for number in 0..IN_FLIGHT {
                let (unique, part) = (index as u64 * IN_FLIGHT + number, 1_000 + number);
                let request = RequestInfo { digest: unique, shared_parts: vec![part], ..request("/write/x") };
                let world = &mut play.fleet.worlds[index];
                let ticket = world.submit_request(request);
                sent.extend(world.last_order.take().map(|order| (index, ticket, order.address)));
            }
        }
        let lost = FIRST_ENGINE..FIRST_ENGINE + ENGINE_COUNT / 2;
        let is_lost = |engine: &Address| lost.clone().any(|number| address(number) == *engine);
        let now_us = play.now_us();
        for engine in &mut play.engines[..usize::from(ENGINE_COUNT / 2)] {
            *engine = Engine { crashed_us: Some(now_us), born_ms: engine.born_ms + 1 };
        }
        for (index, ticket, engine) in &sent {
            if is_lost(engine) {
                play.fleet.worlds[*index].end(*ticket, Ending::Broken { by: BrokenBy::Connection });
            }
            play.fleet.worlds[*index].end(*ticket, Ending::Left);
            play.answer_inspections(*index);
        }
        let mut most_bytes = 0;
        for (observer, crashes) in [(gateways / 2, 2), (0, CRASH_LIMIT)] {
            // Sends to engines of which a gateway does not know that they are down end without a crash.
            while play.crashes_us.len() < crashes {
                play.rounds(1);
                play.attempt(observer, 1);
            }
        }
        for _ in 0..CONTACT_ROUNDS {
            play.rounds(1);
            most_bytes = play.fleet.sent_bytes.iter().max().copied().unwrap_or_default().max(most_bytes);
        }
        let unaware = play.unaware();
        total += unaware;
        text.push_str(&format!(
            "{gateways} gateways: {} requests lost, {unaware} do not know the crashes in 3 s, at most {most_bytes} bytes \
             sent in a round, {quiet_bytes} before\n",
            sent.iter().filter(|(.., engine)| is_lost(engine)).count()
        ));
    }
    assert_eq!(total, 0, "{text}");
    insta::assert_snapshot!(text);
}
