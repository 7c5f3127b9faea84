//! Guards against events that are lost, doubled, torn or out of order, and against answers that are not this request's.

use super::answer::meaning;
use super::events::EventSplitter;
use crate::gateway::ResponseInfo;
use crate::gateway::http1::ResponseHead;

fn split(last_id: Option<u64>, pieces: &[&str]) -> String {
    let mut splitter = EventSplitter::new(last_id);
    let mut out = Vec::new();
    for piece in pieces {
        if let Err(error) = splitter.push(piece.as_bytes(), &mut out) {
            return format!("{:?} then: {error}", String::from_utf8_lossy(&out));
        }
    }
    let inside = if splitter.is_inside_event() { ", inside an event" } else { "" };
    format!("{:?} last {:?}{inside}", String::from_utf8_lossy(&out), splitter.last_id())
}

#[test]
fn only_whole_events_in_order_come_out() {
    let cases: [(Option<u64>, &[&str]); 9] = [
        (None, &["id: 0\ndata: a\n\nid: 1\ndata: b\n\n"]),
        (None, &["id: 0\nda", "ta: a\n", "\nid: 1\nd"]),
        (None, &["id: 0\r\ndata: a\r\n\r\n"]),
        (Some(4), &["id: 5\ndata: a\n\n"]),
        (Some(4), &["id: 4\ndata: a\n\n"]),
        (Some(4), &["id: 6\ndata: a\n\n"]),
        (None, &["id: 0\n\n", "id: 2\n\n"]),
        (None, &["data: a\n\n"]),
        (None, &["weight-versions: 2\nid: 7\ndata: a\n\n"]),
    ];
    let lines: Vec<_> =
        cases.iter().map(|(last, pieces)| format!("{pieces:?}: {}", split(*last, pieces))).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn an_answer_means_what_its_head_proves() {
    let own =
        |signed, not_run| ResponseInfo { id: Some("a".into()), signed, not_run, ..ResponseInfo::default() };
    let foreign = ResponseInfo { id: Some("b".into()), signed: true, ..ResponseInfo::default() };
    let nameless = |not_run| ResponseInfo { signed: true, not_run, ..ResponseInfo::default() };
    let cases = [
        (200, own(true, false)),
        (200, own(false, false)),
        (200, foreign.clone()),
        (200, nameless(false)),
        (100, nameless(false)),
        (302, own(true, false)),
        (404, own(true, false)),
        (421, nameless(false)),
        (429, own(true, false)),
        (500, own(true, false)),
        (500, nameless(false)),
        (503, own(true, false)),
        (503, own(true, true)),
        (503, nameless(true)),
        (503, foreign),
    ];
    let lines: Vec<_> = cases
        .iter()
        .map(|(status, answered)| {
            let head = ResponseHead { status: *status, ..ResponseHead::default() };
            let id = answered.id.as_deref().unwrap_or("none");
            let (signed, not_run) = (answered.signed, answered.not_run);
            format!("{status} id {id} signed {signed} not run {not_run}: {:?}", meaning(&head, answered, "a"))
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
