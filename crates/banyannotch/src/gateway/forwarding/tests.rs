//! Tests that lost, duplicate, incomplete or reordered events are not forwarded, and that a response is not
//! taken for the response to another attempt.

use std::time::{Duration, Instant};

use super::answer::{ConnectionUse, ResponseKind, classify, describes_endpoint};
use super::budget::BodyBudget;
use super::events::EventSplitter;
use super::watch::WatchLimits;
use crate::caller_memory::PageBuffer;
use crate::gateway::ResponseInfo;
use crate::gateway::http1::{BodyQuota, ResponseHead};

fn split(last_id: Option<u64>, pieces: &[&str]) -> String {
    let mut splitter = EventSplitter::new(last_id);
    let mut out = PageBuffer::default();
    for piece in pieces {
        if let Err(error) = splitter.push(piece.as_bytes(), &mut out) {
            return format!("{:?} then: {error}", String::from_utf8_lossy(out.as_slice()));
        }
    }
    let inside = if splitter.is_inside_event() { ", inside an event" } else { "" };
    format!("{:?} last {:?}{inside}", String::from_utf8_lossy(out.as_slice()), splitter.last_id())
}

#[test]
fn splitter_emits_only_complete_events_with_consecutive_ids() {
    let cases: [(Option<u64>, &[&str]); 10] = [
        (None, &["id: 0\ndata: a\n\nid: 1\ndata: b\n\n"]),
        (None, &["id: 0\nda", "ta: a\n", "\nid: 1\nd"]),
        (None, &["id: 0\r\ndata: a\r\n\r\n"]),
        (Some(4), &["id: 5\ndata: a\n\n"]),
        (Some(4), &["id: 4\ndata: a\n\n"]),
        (Some(4), &["id: 6\ndata: a\n\n"]),
        (Some(u64::MAX), &["id: 0\ndata: a\n\n"]),
        (None, &["id: 0\n\n", "id: 2\n\n"]),
        (None, &["data: a\n\n"]),
        (None, &["weight-versions: 2\nid: 7\ndata: a\n\n"]),
    ];
    let lines: Vec<_> =
        cases.iter().map(|(last, pieces)| format!("{pieces:?}: {}", split(*last, pieces))).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// A response that is not certain to come from the endpoint must not take the endpoint out of use.
#[test]
fn announcements_of_foreign_responses_are_not_used() {
    let named = ResponseInfo { id: Some("a".into()), ..ResponseInfo::default() };
    let unnamed = ResponseInfo::default();
    let used = |kind| (describes_endpoint(kind, &named), describes_endpoint(kind, &unnamed));
    assert_eq!(used(ResponseKind::Foreign), (false, false));
    assert_eq!(used(ResponseKind::Invalid), (true, false));
    assert_eq!(used(ResponseKind::Ambiguous), (true, true));
    assert_eq!(used(ResponseKind::NotRun), (true, true));
}

#[test]
fn response_is_classified_by_status_id_signature_and_not_run_mark() {
    let own =
        |signed, not_run| ResponseInfo { id: Some("a".into()), signed, not_run, ..ResponseInfo::default() };
    let foreign = ResponseInfo { id: Some("b".into()), signed: true, ..ResponseInfo::default() };
    let without_id = |not_run| ResponseInfo { signed: true, not_run, ..ResponseInfo::default() };
    let sole_cases = [
        (200, own(true, false)),
        (200, own(false, false)),
        (200, foreign.clone()),
        (200, without_id(false)),
        (100, without_id(false)),
        (101, without_id(false)),
        (101, own(true, false)),
        (103, without_id(false)),
        (302, own(true, false)),
        (404, own(true, false)),
        (421, without_id(false)),
        (429, own(true, false)),
        (500, own(true, false)),
        (500, without_id(false)),
        (503, own(true, false)),
        (503, own(true, true)),
        (503, without_id(true)),
        (503, foreign.clone()),
    ];
    let shared_cases =
        [(421, without_id(false)), (503, without_id(true)), (503, foreign), (503, own(true, true))];
    let lines: Vec<_> = (sole_cases.iter().map(|case| (ConnectionUse::Sole, case)))
        .chain(shared_cases.iter().map(|case| (ConnectionUse::Shared, case)))
        .map(|(connection_use, (status, response_info))| {
            let head = ResponseHead { status: *status, ..ResponseHead::default() };
            let id = response_info.id.as_deref().unwrap_or("none");
            let (signed, not_run) = (response_info.signed, response_info.not_run);
            format!(
                "{connection_use:?} {status} id {id} signed {signed} not run {not_run}: {:?}",
                classify(&head, response_info, "a", connection_use)
            )
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// A report at the limit of silence must not wait for the end of an interval: with intervals of 0.9 s a stream was continued
/// elsewhere only after 1.8 s, when its caller had nearly given up.
#[test]
fn a_late_answer_is_reported_at_the_limit_of_silence() {
    let sent_at = Instant::now();
    let lines: Vec<_> = [400, 900, 1_400, 3_000]
        .into_iter()
        .map(|interval_ms| {
            let limits = WatchLimits {
                first: Duration::from_millis(600),
                interval: Duration::from_millis(interval_ms),
                silence: Duration::from_millis(1_400),
            };
            let mut report_at = sent_at + limits.first;
            let times: Vec<_> = std::iter::from_fn(|| {
                let reported_at = report_at;
                report_at = limits.next_report(reported_at, sent_at);
                Some((reported_at - sent_at).as_millis())
            })
            .take(4)
            .collect();
            format!("interval {interval_ms} ms: reports after {times:?} ms")
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Large bodies must not take more memory together than the process can spare, nor displace small ones. What a body took is
/// free again after it.
#[test]
fn large_bodies_share_a_limit_that_small_ones_do_not_need() {
    const MIB: usize = 1 << 20;
    let budget = BodyBudget::default();
    let mut shares = Vec::new();
    let mut lines = Vec::new();
    for round in ["empty", "full", "after the drop"] {
        let large = (0..40).filter(|_| {
            let mut share = budget.share();
            let is_accepted = (0..2).all(|_| share.take(MIB / 2).is_ok());
            shares.push(share);
            is_accepted
        });
        let large = large.count();
        let mut small = budget.share();
        let is_small_accepted = small.take(64 << 10).is_ok();
        lines.push(format!("{round}: {large} of 40 bodies of 1 MiB, one of 64 KiB: {is_small_accepted}"));
        if round == "full" {
            shares.clear();
        }
    }
    let mut single = BodyBudget::default().share();
    let whole = single.take(4 * MIB).map_err(|error| error.to_string());
    lines.push(format!(
        "4 MiB: {whole:?}, one byte more: {:?}",
        single.take(1).map_err(|error| error.to_string())
    ));
    insta::assert_snapshot!(lines.join("\n"));
}
