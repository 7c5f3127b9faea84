//! Property test: random runs of several entries on one log, with outages, expiry, restarts, joins, frozen
//! entries and concurrent changes by operators. An oracle that sees every record determines the version that
//! must be in force.

use std::cell::RefCell;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::fake_log::{FakeLog, document, text};
use super::world::{Node, UNIX_START_MS, exchange, settle, unix_ms};
use crate::configuration::{Change, ConfigurationSettings, Decision, PresetName};
use crate::ids::{ConfigVersion, Fingerprint};
use crate::table::Table;

const RETENTION_MS: u64 = 60_000;
const STEP_US: u64 = 500_000;
const NODE_LIMIT: usize = 6;
const RUNS: u64 = 400;
const RUN_LENGTH: usize = 120;
const SEED: u64 = 20_261_204;

#[derive(Clone, Copy, Debug)]
enum Op {
    Advance(u8),
    Leap(u8),
    Outage(bool),
    Exchange(u8, u8),
    Restart(u8),
    Join,
    Freeze(u8),
    Wake(u8),
    Publish { node: u8, stale: bool, preset: bool },
    Race { node: u8 },
    Garbage(u8),
    StaleRestate(u8),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 24 {
            0..=5 => Self::Advance(a % 8),
            6 => Self::Leap(a),
            7 => Self::Outage(true),
            8 | 9 => Self::Outage(false),
            10..=13 => Self::Exchange(a, b),
            14 => Self::Restart(a),
            15 => Self::Join,
            16 => Self::Freeze(a),
            17 | 18 => Self::Wake(a),
            19 | 20 => Self::Publish { node: a, stale: b.is_multiple_of(4), preset: b.is_multiple_of(3) },
            21 => Self::Race { node: a },
            22 => Self::Garbage(a),
            _ => Self::StaleRestate(a),
        }
    }
}

/// Kind of a record, as the oracle sees it.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Change { base: u64 },
    Reset,
    Neutral,
    Garbage,
}

#[derive(Clone, Debug, Default)]
struct Tally {
    accepted: u64,
    refused: u64,
    adopted: u64,
    restated_by_entries: u64,
    gaps: u64,
    gaps_of_joiners: u64,
    lost_by_all: u64,
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.adopted += other.adopted;
        self.restated_by_entries += other.restated_by_entries;
        self.gaps += other.gaps;
        self.gaps_of_joiners += other.gaps_of_joiners;
        self.lost_by_all += other.lost_by_all;
    }
}

struct World {
    now_us: u64,
    log: FakeLog,
    nodes: Vec<Node>,
    starts: u64,
    documents: u64,
    kinds: Vec<Kind>,
    contents: Table<ConfigVersion, Fingerprint>,
    verdicts: Table<u64, String>,
    tally: Tally,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_us: 0,
            log: FakeLog::new(3),
            nodes: Vec::new(),
            starts: 0,
            documents: 0,
            kinds: Vec::new(),
            contents: Table::default(),
            verdicts: Table::default(),
            tally: Tally::default(),
        };
        for _ in 0..3 {
            world.join();
        }
        world
    }

    fn start(&mut self, name: &str) -> Node {
        self.starts += 1;
        let settings = ConfigurationSettings { uncertain_after_ms: 5_000, retention_ms: RETENTION_MS };
        Node::start(self.now_us, name, self.starts, &settings)
    }

    fn join(&mut self) {
        let name = format!("e{}", self.nodes.len());
        let node = self.start(&name);
        self.nodes.push(node);
    }

    /// Returns the version in force after an offset, computed from the rule of the design page independently
    /// of the policy.
    fn oracle(&self, through: u64) -> u64 {
        let mut version = 0;
        for (kind, offset) in self.kinds.iter().zip(1..=through) {
            match kind {
                Kind::Change { base } if *base == version => version = offset,
                Kind::Reset => version = offset,
                Kind::Change { .. } | Kind::Neutral | Kind::Garbage => {}
            }
        }
        version
    }

    fn end(&self) -> u64 {
        self.kinds.len() as u64
    }

    fn publish(&mut self, base: u64, change: Change, kind: Kind) {
        if self.log.publish(unix_ms(self.now_us), base, "operator", change).is_some() {
            self.kinds.push(kind);
        }
    }

    fn change(&mut self, base: u64, preset: bool) {
        // A preset change before the first document is refused, which the oracle does not model.
        let preset = preset && base > 0;
        self.documents += 1;
        let change = match (preset, self.documents % 2) {
            (true, 0) => Change::Preset(PresetName::Peak),
            (true, _) => Change::Preset(PresetName::Ordinary),
            (false, _) => document(self.documents),
        };
        self.publish(base, change, Kind::Change { base });
    }

    fn step(&mut self) {
        self.now_us += STEP_US;
        self.log.expire_before(unix_ms(self.now_us).saturating_sub(RETENTION_MS).max(UNIX_START_MS));
        for index in 0..self.nodes.len() {
            self.settle(index);
        }
    }

    fn settle(&mut self, index: usize) {
        if self.nodes[index].frozen {
            return;
        }
        let was_new = self.nodes[index].version() == 0;
        settle(&mut self.nodes[index], &mut self.log, self.now_us);
        while self.kinds.len() < self.log.history.len() {
            self.kinds.push(Kind::Neutral);
            self.tally.restated_by_entries += 1;
        }
        let newest = self.oracle(self.end());
        for (version, _) in self.nodes[index].published.iter().filter(|_| was_new) {
            assert_eq!(version.0, newest, "new entry {} published an old version", self.nodes[index].name);
        }
        self.check(index);
    }

    fn exchange(&mut self, a: usize, b: usize) {
        if a == b || self.nodes[a].frozen || self.nodes[b].frozen {
            return;
        }
        let (low, high) = (a.min(b), a.max(b));
        let (left, right) = self.nodes.split_at_mut(high);
        let (first, second) = (&mut left[low], &mut right[0]);
        if a < b {
            exchange(self.now_us, self.now_us, first, second);
        } else {
            exchange(self.now_us, self.now_us, second, first);
        }
        self.check(a);
        self.check(b);
    }

    fn check(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for (version, digest) in node.published.drain(..) {
            assert!(version > node.checked, "version {version} was published after version {}", node.checked);
            node.checked = version;
            let before = self.contents.insert(version, digest);
            assert!(
                before.is_none_or(|before| before == digest),
                "version {version} was published with two contents"
            );
        }
        let state = (node.policy.log_state().version().0, node.policy.log_state().through.0);
        let decisions = std::mem::take(&mut node.decisions);
        assert_eq!(state.0, self.oracle(state.1), "wrong version in the state through offset {}", state.1);
        for decision in decisions {
            self.check_decision(&decision);
        }
    }

    fn check_decision(&mut self, decision: &Decision) {
        let offset = match decision {
            Decision::Accepted { version, .. } => {
                self.tally.accepted += 1;
                assert_eq!(
                    self.oracle(version.0),
                    version.0,
                    "record {version} is accepted, but the oracle refuses it"
                );
                version.0
            }
            Decision::Refused { offset, .. } => {
                self.tally.refused += 1;
                assert_ne!(
                    self.oracle(offset.0),
                    offset.0,
                    "record {offset} is refused, but the oracle accepts it"
                );
                offset.0
            }
            Decision::Gap { through, .. } => {
                self.tally.gaps += 1;
                self.tally.gaps_of_joiners += u64::from(through.0 == 0);
                return;
            }
            Decision::Adopted { .. } => {
                self.tally.adopted += 1;
                return;
            }
            Decision::Contradiction { .. } => {
                panic!("a claim of a correct entry was found contradictory: {decision}")
            }
            Decision::Certain(_) => return,
        };
        let before = self.verdicts.insert(offset, decision.to_string());
        assert!(
            before.is_none_or(|before| before == decision.to_string()),
            "two verdicts on record {offset}, one of them {decision}"
        );
    }

    fn run(&mut self, op: Op) {
        let pick = |index: u8| usize::from(index) % self.nodes.len();
        match op {
            Op::Advance(steps) => (0..=steps).for_each(|_| self.step()),
            // Time jumps forward, so that records expire and entries become uncertain before any read.
            Op::Leap(seconds) => {
                self.now_us += u64::from(seconds % 64) * 1_000_000;
                self.step();
            }
            Op::Outage(down) => self.log.down = down,
            Op::Exchange(a, b) => {
                let (a, b) = (pick(a), pick(b));
                self.exchange(a, b);
            }
            Op::Restart(index) => {
                let index = pick(index);
                let name = self.nodes[index].name.clone();
                self.nodes[index] = self.start(&name);
            }
            Op::Join if self.nodes.len() < NODE_LIMIT => self.join(),
            Op::Join => {}
            Op::Freeze(index) => {
                let index = pick(index);
                self.nodes[index].frozen = true;
            }
            Op::Wake(index) => {
                let index = pick(index);
                self.nodes[index].frozen = false;
                self.settle(index);
            }
            Op::Publish { node, stale, preset } => {
                let version = self.nodes[pick(node)].version();
                self.change(if stale { version / 2 } else { version }, preset);
            }
            Op::Race { node } => {
                let version = self.nodes[pick(node)].version();
                self.change(version, false);
                self.change(version, true);
            }
            Op::Garbage(kind) => {
                let data = ["{", "null", r#"{"base":0,"author":"x","change":{"preset":"festive"}}"#];
                let data = data[usize::from(kind) % data.len()].to_owned();
                if self.log.append(unix_ms(self.now_us), data).is_some() {
                    self.kinds.push(Kind::Garbage);
                }
            }
            // An entry appends a restating record of an arbitrarily old claim.
            Op::StaleRestate(index) => {
                let node = &self.nodes[pick(index)];
                let Some((content, through)) = &node.claim else { return };
                let change = Change::Restate {
                    version: content.version(),
                    document: content.text.to_string(),
                    preset: content.configuration.preset,
                    author: content.author.to_string(),
                    through: *through,
                };
                self.publish(content.version().0, change, Kind::Neutral);
            }
        }
    }

    /// Ends all faults and checks that every entry reaches the newest accepted version.
    fn heal(&mut self) {
        self.log.down = false;
        for node in &mut self.nodes {
            node.frozen = false;
        }
        self.converge();
        let first = self.log.records.first().map_or(self.log.next, |record| record.offset.0);
        if self.nodes.iter().all(|node| node.policy.log_state().through.0 + 1 < first) {
            self.tally.lost_by_all += 1;
            let reset = Change::Reset { document: text(0), preset: PresetName::Ordinary };
            self.publish(0, reset, Kind::Reset);
            self.converge();
        }
        let newest = self.oracle(self.end());
        for node in &self.nodes {
            assert_eq!(node.version(), newest, "{} did not reach the newest version", node.name);
            assert!(node.certain, "{} is still uncertain after the faults", node.name);
        }
    }

    fn converge(&mut self) {
        for _ in 0..8 {
            self.step();
        }
        for _ in 0..2 {
            for a in 0..self.nodes.len() {
                for b in 0..self.nodes.len() {
                    self.exchange(a, b);
                }
            }
            self.step();
        }
        for _ in 0..8 {
            self.step();
        }
    }
}

thread_local! {
    /// How often the runs of this thread covered the situations that they are meant to test.
    static TALLY: RefCell<Tally> = RefCell::default();
}

fn run_all(ops: Vec<Op>) -> bool {
    let mut world = World::new();
    for op in ops {
        world.run(op);
    }
    world.heal();
    TALLY.with_borrow_mut(|tally| tally.add(&world.tally));
    true
}

/// Guards against decreasing versions, two contents of one version, two verdicts on one record, a new entry
/// that publishes an old version, and entries that do not converge after the faults.
#[test]
fn entries_agree_under_random_faults() {
    let generator = Gen::from_size_and_seed(RUN_LENGTH, SEED);
    QuickCheck::new().rng(generator).tests(RUNS).quickcheck(run_all as fn(Vec<Op>) -> bool);
    let tally = TALLY.with_borrow(Tally::clone);
    insta::assert_debug_snapshot!(tally);
}
