//! Snapshots of the decisions in specific situations.

use super::fake_log::{FakeLog, document, record, restate, text};
use super::world::{Node, exchange, run, unix_ms};
use crate::backing::Records;
use crate::configuration::{Change, ConfigurationSettings, Event, PeerReport, PresetName};
use crate::ids::{ConfigVersion, EndpointId, LogOffset};

const SECOND_US: u64 = 1_000_000;

fn settings() -> ConfigurationSettings {
    ConfigurationSettings { uncertain_after_ms: 5_000, retention_ms: 60_000 }
}

fn start(now_us: u64, name: &str) -> Node {
    Node::start(now_us, name, 7, &settings())
}

fn lines(nodes: &[Node]) -> String {
    nodes.iter().flat_map(|node| node.lines.iter()).map(|line| format!("{line}\n")).collect()
}

fn log_of(records: impl IntoIterator<Item = String>) -> FakeLog {
    let mut log = FakeLog::new(2);
    for data in records {
        log.append(unix_ms(0), data);
    }
    log
}

/// Guards against accepting both of two changes with the same base, and against a refusal that does not name
/// the author of the accepted one.
#[test]
fn first_of_two_concurrent_changes_is_accepted() {
    let mut log = log_of([
        record(0, "anna", document(1)),
        record(1, "anna", document(2)),
        record(1, "boris", Change::Preset(PresetName::Peak)),
        record(2, "boris", Change::Preset(PresetName::Peak)),
    ]);
    let mut nodes = [start(0, "a"), start(0, "b")];
    run(&mut nodes, &mut log, 0, SECOND_US);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against accepting an invalid record, and against a refusal with the wrong reason.
#[test]
fn invalid_records_are_refused_with_a_typed_reason() {
    let mut log = log_of([
        "{".to_owned(),
        "[]".to_owned(),
        record(0, "anna", Change::Preset(PresetName::Peak)),
        r#"{"base":0,"author":"anna","change":{"preset":"festive"}}"#.to_owned(),
        r#"{"base":0,"author":"anna","change":{"document":"","extra":1}}"#.to_owned(),
        r#"{"base":0,"author":"anna","change":{"document":""},"extra":1}"#.to_owned(),
        r#"{"base":-1,"author":"anna","change":{"document":""}}"#.to_owned(),
        record(0, "anna", Change::Document("models = 3".to_owned())),
        record(0, "anna", Change::Document("[presets.peak]\nmax_tokens = 0".to_owned())),
        record(0, "anna", Change::Document("# long\n".repeat(40_000))),
        record(5, "anna", restate(5, 11, 1, PresetName::Ordinary, "anna")),
        record(4, "anna", restate(5, 5, 1, PresetName::Ordinary, "anna")),
        record(12, "anna", document(1)),
        record(0, "anna", document(1)),
    ]);
    let mut nodes = [start(0, "a")];
    run(&mut nodes, &mut log, 0, SECOND_US);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against a reader that takes an empty page for the end of the log although records have expired
/// unread.
#[test]
fn empty_page_with_a_later_next_offset_is_a_gap() {
    let mut node = start(0, "a");
    let page = Records { first: LogOffset(0), next: LogOffset(8), records: Vec::new() };
    node.read = None;
    node.on_event(1_000, Event::Read { records: Some(page), unix_ms: unix_ms(0) });
    assert_eq!(node.policy.log_state().through, LogOffset(0));
    insta::assert_snapshot!(lines(&[node]));
}

/// Guards against a new reader that evaluates a record without the state before it.
#[test]
fn new_reader_behind_expired_records_evaluates_nothing_before_a_claim() {
    let mut log = FakeLog::new(2);
    for number in 0..4 {
        log.publish(unix_ms(number * SECOND_US), number, "anna", document(number));
    }
    log.expire_before(unix_ms(SECOND_US));
    let mut nodes = [start(10 * SECOND_US, "joiner")];
    run(&mut nodes, &mut log, 10 * SECOND_US, 12 * SECOND_US);
    assert_eq!(nodes[0].version(), 0);
    log.publish(unix_ms(13 * SECOND_US), 4, "e1", restate(4, 4, 3, PresetName::Ordinary, "anna"));
    log.publish(unix_ms(13 * SECOND_US), 4, "boris", document(9));
    run(&mut nodes, &mut log, 13 * SECOND_US, 14 * SECOND_US);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against a stale restating record that reverts a version, both for a reader of the whole log and for
/// readers that start behind expired records.
#[test]
fn stale_restating_record_reverts_no_version() {
    let mut log = log_of([
        record(0, "anna", document(1)),
        record(1, "boris", document(2)),
        record(1, "e1", restate(1, 1, 1, PresetName::Ordinary, "anna")),
    ]);
    let mut nodes = vec![start(0, "old")];
    run(&mut nodes, &mut log, 0, SECOND_US);
    log.records.remove(0);
    nodes.push(start(2 * SECOND_US, "new"));
    run(&mut nodes, &mut log, 2 * SECOND_US, 3 * SECOND_US);
    log.records.remove(0);
    nodes.push(start(4 * SECOND_US, "later"));
    run(&mut nodes, &mut log, 4 * SECOND_US, 5 * SECOND_US);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against a state that is lost when its records expire, and against restating by several entries.
#[test]
fn state_is_restated_once_before_its_records_expire() {
    let mut log =
        log_of([record(0, "anna", document(1)), record(1, "anna", Change::Preset(PresetName::Peak))]);
    let mut nodes: Vec<Node> =
        (0..6).map(|index| Node::start(0, &format!("e{index}"), index, &settings())).collect();
    run(&mut nodes, &mut log, 0, 59 * SECOND_US);
    let appended = log.history.len() - 2;
    log.expire_before(unix_ms(SECOND_US));
    let mut joiner = vec![start(60 * SECOND_US, "joiner")];
    run(&mut joiner, &mut log, 60 * SECOND_US, 61 * SECOND_US);
    insta::assert_snapshot!(format!("restated {appended} times by 6 entries\n{}", lines(&joiner)));
}

/// Guards against adopting an older version from a peer, and against accepting a claim that contradicts the
/// log.
#[test]
fn newer_version_of_a_peer_is_adopted_and_an_older_one_is_not() {
    let mut log = log_of([record(0, "anna", document(1)), record(1, "anna", document(2))]);
    let mut nodes = [start(0, "a"), start(0, "b")];
    run(&mut nodes[..1], &mut log, 0, SECOND_US);
    let [a, b] = &mut nodes;
    exchange(2 * SECOND_US, 2 * SECOND_US, b, a);
    let mut old_log = log_of([record(0, "anna", document(1))]);
    let mut old = [start(2 * SECOND_US, "old")];
    run(&mut old, &mut old_log, 2 * SECOND_US, 3 * SECOND_US);
    exchange(3 * SECOND_US, 3 * SECOND_US, b, &mut old[0]);
    let mut other_log = log_of([record(0, "eve", document(7)), record(1, "eve", document(8))]);
    let mut other = [start(3 * SECOND_US, "other")];
    run(&mut other, &mut other_log, 3 * SECOND_US, 4 * SECOND_US);
    exchange(5 * SECOND_US, 5 * SECOND_US, a, &mut other[0]);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against an entry that admits requests under an outdated version, because it has no contact.
#[test]
fn entry_without_contact_to_log_and_peers_becomes_uncertain() {
    let mut log = log_of([record(0, "anna", document(1))]);
    let mut nodes = [start(0, "a"), start(0, "b")];
    run(&mut nodes, &mut log, 0, 3 * SECOND_US);
    log.down = true;
    for second in 3..12 {
        run(&mut nodes, &mut log, second * SECOND_US, (second + 1) * SECOND_US);
        let [a, b] = &mut nodes;
        // The peers answer until the 8th second.
        if second < 8 {
            exchange((second + 1) * SECOND_US, second * SECOND_US, a, b);
        }
    }
    run(&mut nodes, &mut log, 12 * SECOND_US, 14 * SECOND_US);
    log.down = false;
    run(&mut nodes, &mut log, 14 * SECOND_US, 16 * SECOND_US);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against an entry that was frozen and counts the answer to a read from before the freeze as contact.
#[test]
fn resumed_entry_is_uncertain_until_it_has_contact() {
    let mut log = log_of([record(0, "anna", document(1))]);
    let mut nodes = [start(0, "a")];
    run(&mut nodes, &mut log, 0, 2 * SECOND_US);
    let stale = log.read(LogOffset(2));
    log.publish(unix_ms(60 * SECOND_US), 1, "anna", document(2));
    let now_us = 180 * SECOND_US;
    nodes[0].read = None;
    nodes[0].on_event(now_us, Event::Read { records: stale, unix_ms: unix_ms(now_us) });
    assert!(!nodes[0].certain);
    run(&mut nodes, &mut log, now_us + 20_000, now_us + SECOND_US);
    assert!(nodes[0].certain);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against an entry that was frozen and evaluates records behind a gap of expired ones.
#[test]
fn resumed_entry_behind_a_gap_adopts_the_state_of_a_claim() {
    let mut log = log_of([record(0, "anna", document(1))]);
    let mut nodes = [start(0, "a")];
    run(&mut nodes, &mut log, 0, 2 * SECOND_US);
    log.publish(unix_ms(60 * SECOND_US), 1, "anna", document(2));
    log.publish(unix_ms(61 * SECOND_US), 1, "boris", document(3));
    log.expire_before(unix_ms(61 * SECOND_US));
    let now_us = 180 * SECOND_US;
    run(&mut nodes, &mut log, now_us, now_us + 2 * SECOND_US);
    assert!(!nodes[0].certain, "the entry is certain although records are missing");
    log.publish(unix_ms(now_us), 2, "e1", restate(2, 3, 2, PresetName::Ordinary, "anna"));
    run(&mut nodes, &mut log, now_us + 3 * SECOND_US, now_us + 4 * SECOND_US);
    assert!(nodes[0].certain);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against a deployment that cannot be configured any more after every entry has lost the state.
#[test]
fn reset_is_accepted_by_readers_without_state() {
    let mut log = log_of([record(0, "anna", document(1)), record(1, "anna", document(2))]);
    let mut nodes = vec![start(0, "old")];
    run(&mut nodes, &mut log, 0, SECOND_US);
    log.expire_before(unix_ms(SECOND_US));
    nodes.push(start(2 * SECOND_US, "new"));
    run(&mut nodes, &mut log, 2 * SECOND_US, 3 * SECOND_US);
    let reset = Change::Reset { document: text(3), preset: PresetName::Maintenance };
    log.publish(unix_ms(4 * SECOND_US), 0, "anna", reset);
    run(&mut nodes, &mut log, 4 * SECOND_US, 5 * SECOND_US);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against a status that does not show which entries lag behind, or which ones no longer report.
#[test]
fn changed_versions_of_peers_are_reported() {
    let mut nodes = [start(0, "a")];
    for (second, peer) in [(1, "b"), (2, "c"), (3, "b"), (4, "b"), (5, "b")] {
        let report =
            PeerReport { entry: EndpointId::new(peer, 1), operators: None, claim: None, asked_us: None };
        nodes[0].on_event(second * SECOND_US, Event::Peer(report));
    }
    let mut log = FakeLog::new(2);
    run(&mut nodes, &mut log, 6 * SECOND_US, 130 * SECOND_US);
    insta::assert_snapshot!(lines(&nodes));
}

/// Guards against a busy loop on a log that answers an empty page at once instead of waiting.
#[test]
fn log_that_answers_without_waiting_is_read_with_pauses() {
    let mut node = start(0, "a");
    let mut now_us = 0;
    let mut reads = 0;
    while now_us < 10 * SECOND_US {
        let read = node.read.take().expect("a read is pending");
        now_us = now_us.max(read.due_us);
        reads += 1;
        assert!(reads < 100, "{reads} reads within {now_us} us: the log is read without a pause");
        let page = Records { first: LogOffset(1), next: LogOffset(1), records: Vec::new() };
        node.on_event(now_us, Event::Read { records: Some(page), unix_ms: unix_ms(now_us) });
        now_us += 1;
    }
    assert_eq!(node.policy.published(), ConfigVersion(0));
}
